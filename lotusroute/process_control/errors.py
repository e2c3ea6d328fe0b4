"""The errors of controlled processes."""

from collections.abc import Sequence

from lotusroute.errors import LotusrouteError

LINES_SHOWN = 20


class ProcessControlError(LotusrouteError):
    """A controlled process did not do what its controller waited for."""


class LogTimeoutError(ProcessControlError):
    """What was awaited in a log was not seen before the timeout, or before the process ended."""

    def __init__(self, awaited: str, timeout: float, lines: Sequence[object]) -> None:
        shown = "\n".join(str(line).rstrip("\n") for line in lines[-LINES_SHOWN:])
        super().__init__(f"{awaited} not seen within {timeout:g} s; the last lines:\n{shown}")
        self.awaited = awaited
        self.timeout = timeout


class NotReadyError(ProcessControlError):
    """A balancer did not answer a health check before the timeout."""

    def __init__(self, port: int, timeout: float) -> None:
        super().__init__(f"port {port}: no balancer answered a health check within {timeout:g} s")
        self.port = port
        self.timeout = timeout
