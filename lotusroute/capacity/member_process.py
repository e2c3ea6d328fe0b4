"""Runs many members (hollow balancers, subscribers or discovery clients) in one process.

They share one reactor, the one that the program uses.
"""

import signal
import sys
from collections.abc import Callable, Mapping, Sequence

from lotusroute.capacity.signals import call_on_signal
from lotusroute.net import structured_log
from lotusroute.net.reactor import reactor


def run_members(
    names: Sequence[str],
    start: Callable[[str, int], object],
    interval_s: float,
    signal_handlers: Mapping[signal.Signals, Callable[[], object]],
    log_level: str = "INFO",
) -> None:
    """Start a member every `interval_s` with its name and index, and run until the process is killed.

    Starts are spread out because starting a hundred members at once would block the reactor until all of them
    have started. After the last start, `event=ready` is printed to standard error, whatever the log level.
    """
    structured_log.configure_logging(log_level)
    for index, name in enumerate(names):
        reactor.callLater(interval_s * index, start, name, index)
    for number, handler in signal_handlers.items():
        call_on_signal(reactor, number, handler)
    reactor.callLater(interval_s * len(names), print, "event=ready", file=sys.stderr, flush=True)
    reactor.run(installSignalHandlers=False)
