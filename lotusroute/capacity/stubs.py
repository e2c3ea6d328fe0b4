"""What the stubs beside the measured processes have in common."""

from lotusroute.process_control.config_files import JsonValue

CHANGED_HOST = "s-0"  # the server whose entry a discovery stub changes
BURST_CHANGES = 50  # that a discovery stub makes within a second on SIGHUP
DISCARD_PORT = 9  # of servers to which nothing connects

EndpointDocument = dict[str, JsonValue]  # a server as discovery lists it
