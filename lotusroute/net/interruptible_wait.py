"""A timed wait of a coroutine that other code can end early."""

from twisted.internet import defer
from twisted.internet.base import ReactorBase


class InterruptibleWait:
    """A wait that one coroutine at a time may use."""

    def __init__(self, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._pending: defer.Deferred[None] | None = None

    def wait(self, seconds: float) -> "defer.Deferred[None]":
        """Return a Deferred that fires after `seconds`, or on `wake` if that comes first."""
        self._pending = defer.Deferred()
        timer = self._reactor.callLater(seconds, self.wake)

        def cancel_timer(_: object) -> None:
            if timer.active():
                timer.cancel()

        return self._pending.addBoth(cancel_timer)

    def wake(self) -> None:
        """End the pending wait, if there is one."""
        pending = self._pending
        self._pending = None
        if pending is not None:
            pending.callback(None)
