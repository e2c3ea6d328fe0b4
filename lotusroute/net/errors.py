"""Errors of the balancer process that are not about input."""

from lotusroute.errors import LotusrouteError


class NoUpstreamError(LotusrouteError):
    """A flow has no connection to a server where it should have one."""

    def __init__(self, flow_number: int) -> None:
        super().__init__(f"flow {flow_number} has no connection")
        self.flow_number = flow_number


class UnansweredFlowError(LotusrouteError):
    """A failed attempt was followed neither by another attempt nor by an answer."""

    def __init__(self, flow_number: int) -> None:
        super().__init__(f"flow {flow_number} was left without an attempt or an answer")
        self.flow_number = flow_number


class UnknownServerError(LotusrouteError):
    """The routing decisions named a server that is not in the endpoint list."""

    def __init__(self, server: str) -> None:
        super().__init__(f"no address of {server}")
        self.server = server


class WallClockReactorError(LotusrouteError):
    """Another reactor is installed already."""

    def __init__(self) -> None:
        super().__init__(
            "a reactor is installed whose timers go by the wall clock; "
            "import lotusroute.net.reactor before twisted.internet.reactor"
        )
