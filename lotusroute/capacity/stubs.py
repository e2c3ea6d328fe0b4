"""What the stubs beside the measured processes have in common."""

from typing import Any

CHANGED_HOST = "s-0"  # the server whose entry a discovery stub changes
BURST_CHANGES = 50  # that a discovery stub makes within a second on SIGHUP
DISCARD_PORT = 9  # of servers to which nothing connects

EndpointEntry = dict[str, Any]  # a server as discovery lists it


def endpoint_entry(name: str, port: int = DISCARD_PORT, health: str = "SERVING") -> EndpointEntry:
    """Return the entry of a server on loopback in the endpoint list."""
    return {"host": name, "dial": f"127.0.0.1:{port}", "health": health, "share": 1.0, "born_ms": 0}
