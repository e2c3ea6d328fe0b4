"""Unix signals as events of Twisted's reactor."""

import signal
from collections.abc import Callable


def call_on_signal(reactor, number: signal.Signals, callback: Callable[[], object]) -> None:
    """Have the reactor call `callback` each time the process receives a signal."""

    def handle(_number: int, _frame: object) -> None:
        # In the reactor's thread but at any point of it: the reactor calls it between two events.
        reactor.callFromThread(callback)

    signal.signal(number, handle)
