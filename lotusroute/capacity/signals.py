"""Delivers Unix signals as events of Twisted's reactor."""

import signal
from collections.abc import Callable

from twisted.internet.base import ReactorBase


def call_on_signal(reactor: ReactorBase, number: signal.Signals, callback: Callable[[], object]) -> None:
    """Make the reactor call `callback` whenever the process receives this signal."""

    def handle(_number: int, _frame: object) -> None:
        # A signal handler can interrupt any code, so the callback is left to the reactor, which runs it
        # between two events.
        reactor.callFromThread(callback)

    signal.signal(number, handle)
