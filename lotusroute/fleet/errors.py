"""The errors of calls between peers.

A handler that raises one of them rejects the call. The error's message is sent to the caller, where it
becomes a `CallError` with the same text; only `UNIDENTIFIED_PEER_DESCRIPTION` becomes the subclass
`UnidentifiedPeerError`.
"""

from lotusroute.errors import LotusrouteError

UNIDENTIFIED_PEER_DESCRIPTION = "stranger"  # the text that stands for `UnidentifiedPeerError` on the wire


class CallError(LotusrouteError):
    """A call to a peer failed; the message is the reason, or the text with which the peer rejected it."""


# Calls without a response


class PeerUnreachableError(CallError):
    """There is no connection to the peer, or the connection ended during the call."""

    def __init__(self, peer: str) -> None:
        super().__init__(f"no connection to '{peer}'")
        self.peer = peer


class CallTimeoutError(CallError):
    """The peer did not respond in time."""

    def __init__(self, peer: str, timeout_s: float) -> None:
        super().__init__(f"no response from '{peer}' within {timeout_s:g} s")
        self.peer = peer
        self.timeout_s = timeout_s


class CallLimitError(CallError):
    """Another call to the peer would exceed the limit of calls or of bytes in flight."""

    def __init__(
        self, peer: str, calls_in_flight: int, bytes_in_flight: int, max_calls: int, max_bytes: int
    ) -> None:
        super().__init__(
            f"{calls_in_flight} calls, {bytes_in_flight} bytes to '{peer}' are in flight; "
            f"another call would exceed {max_calls} calls or {max_bytes} bytes"
        )
        self.peer = peer
        self.calls_in_flight = calls_in_flight
        self.bytes_in_flight = bytes_in_flight
        self.max_calls = max_calls
        self.max_bytes = max_bytes


class BodyTooLargeError(CallError):
    """The body of a call does not fit into one message."""

    def __init__(self, size: int, max_size: int) -> None:
        super().__init__(f"a body of {size} bytes is larger than {max_size}")
        self.size = size
        self.max_size = max_size


# Calls that the peer rejects


class UnidentifiedPeerError(CallError):
    """The caller has not sent a valid `Hello`."""

    def __init__(self) -> None:
        super().__init__("the peer rejected a call that it received before a valid Hello")


class ObserverCallError(CallError):
    """An observer, which is a command-line client, made a call other than the one that reads the status."""

    def __init__(self, allowed_kind: str) -> None:
        super().__init__(f"observers may only call '{allowed_kind}'")


class UnknownCallError(CallError):
    """There is no call of this kind."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"unknown call '{kind[:32]}'")
        self.kind = kind


class NotAnAcceptorError(CallError):
    """A lease request reached a process that is not an acceptor."""

    def __init__(self) -> None:
        super().__init__("this process is not an acceptor")


class MalformedRequestError(CallError):
    """The body of a lease request cannot be decoded."""

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(f"malformed '{kind}' request: {detail}")
        self.kind = kind


class SpoofedRequestError(CallError):
    """A lease request names a proposer that belongs to a process other than the caller."""

    def __init__(self, kind: str, proposer: str) -> None:
        super().__init__(f"'{kind}' request for '{proposer[:64]}', a proposer of another process")
        self.kind = kind
        self.proposer = proposer


class DeposedHolderError(CallError):
    """A message carries a lower fencing token than an accepted one: its sender no longer holds the lease."""

    def __init__(self, fencing_token: int, highest_fencing_token: int) -> None:
        super().__init__(f"deposed: fencing token {fencing_token} is lower than {highest_fencing_token}")
        self.fencing_token = fencing_token
        self.highest_fencing_token = highest_fencing_token


class UpdateNotFollowedError(CallError):
    """A shared update reached a process that does not apply its sender's updates."""

    def __init__(self) -> None:
        super().__init__("this process does not follow the sender's updates")
