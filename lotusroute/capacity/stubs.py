"""What all stubs beside the measured processes have in common."""

from lotusroute.process_control.config_files import JsonValue, endpoint_entry

CHANGED_HOST = "s-0"  # the server whose entry a discovery stub changes
BURST_CHANGES = 50  # changes that a discovery stub makes within a second on SIGHUP


def entry(name: str, port: int = 9, health: str = "SERVING") -> dict[str, JsonValue]:
    """Return a server in the form in which discovery lists it."""
    return endpoint_entry(name, port, health)
