"""Unix signals as events of Twisted's reactor."""

import signal
from collections.abc import Callable

from twisted.internet.base import ReactorBase


def call_on_signal(reactor: ReactorBase, number: signal.Signals, callback: Callable[[], object]) -> None:
    """Have the reactor call `callback` whenever the process receives a signal."""

    def handle(_number: int, _frame: object) -> None:
        # A signal handler may interrupt any code; the reactor calls back between two events.
        reactor.callFromThread(callback)

    signal.signal(number, handle)
