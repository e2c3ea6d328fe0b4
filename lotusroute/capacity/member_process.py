"""Runs many members of a fleet in one process, on the reactor that the program uses.

Importing this module installs that reactor: a process of members has to import it before any module that
imports Twisted's reactor.
"""

import signal
import sys
from collections.abc import Callable, Mapping, Sequence

from lotusroute.capacity.signals import call_on_signal
from lotusroute.net import monotonic_reactor, structured_log

monotonic_reactor.install()

from lotusroute.net.reactor import reactor  # noqa: E402  the installation has to come first


def run_members(
    names: Sequence[str],
    start: Callable[[str, int], object],
    interval: float,
    signal_handlers: Mapping[signal.Signals, Callable[[], object]],
    log_level: str = "INFO",
) -> None:
    """Start a member each `interval` seconds, with its name and its index, and run until killed.

    The starts are spread because a process that starts a hundred members at once is blocked for as long.
    After the last one `event=ready` is printed on standard error, whatever the log level.
    """
    structured_log.configure_logging(log_level)
    for index, name in enumerate(names):
        reactor.callLater(interval * index, start, name, index)
    for number, handler in signal_handlers.items():
        call_on_signal(reactor, number, handler)
    reactor.callLater(interval * len(names), print, "event=ready", file=sys.stderr, flush=True)
    reactor.run(installSignalHandlers=False)
