"""What all stubs beside the measured processes have in common."""

CHANGED_HOST = "s-0"  # the server whose entry a discovery stub changes
BURST_CHANGES = 50  # changes that a discovery stub makes within a second on SIGHUP


def entry(name: str, port: int = 9, health: str = "SERVING") -> dict:
    """Return a server in the form in which discovery lists it."""
    return {"host": name, "dial": f"127.0.0.1:{port}", "health": health, "share": 1.0, "born_ms": 0}
