"""Errors of the balancer process other than invalid input."""

from lotusroute.errors import LotusrouteError


class NoUpstreamError(LotusrouteError):
    """A flow has no connection to a server where it should have one."""

    def __init__(self, flow_number: int) -> None:
        super().__init__(f"flow {flow_number} has no connection to a server")
        self.flow_number = flow_number


class UnansweredFlowError(LotusrouteError):
    """A failed attempt was followed neither by another attempt nor by an answer."""

    def __init__(self, flow_number: int) -> None:
        super().__init__(f"flow {flow_number} has neither an attempt nor an answer")
        self.flow_number = flow_number


class UnknownServerError(LotusrouteError):
    """The routing decisions named a server that is not in the endpoint list."""

    def __init__(self, server: str) -> None:
        super().__init__(f"server {server} is not in the endpoint list")
        self.server = server


class WallClockReactorError(LotusrouteError):
    """A reactor whose timers use the wall clock is installed already."""

    def __init__(self) -> None:
        super().__init__(
            "the timers of the installed reactor use the wall clock; "
            "import lotusroute.net.reactor before twisted.internet.reactor"
        )


class PollTimedOutError(LotusrouteError):
    """Discovery has not responded to a poll within its timeout."""

    def __init__(self, timeout: float) -> None:
        super().__init__(f"no complete response within {timeout:.2f} s")


class TruncatedResponseError(LotusrouteError):
    """A response without a length ended before its document was whole."""

    def __init__(self, received: int) -> None:
        super().__init__(f"the response ended after {received} bytes, before its document was whole")


class ResponseTooLongError(LotusrouteError):
    """A response is longer than any endpoint list."""

    def __init__(self, longest: int) -> None:
        super().__init__(f"the response is longer than {longest} bytes")
