"""Constants and types shared by the stubs and the processes that start them."""

from lotusroute.process_control.config_files import JsonValue

CHANGED_HOST = "s-0"  # the server whose entry the discovery stub changes
BURST_CHANGES = 50  # changes that the discovery stub makes within a second on SIGHUP
DISCARD_PORT = 9  # port of servers that are in endpoint lists only: nothing connects to them

EndpointDocument = dict[str, JsonValue]  # a server's entry as discovery sends it
