"""The reactor that the program runs on: Twisted's own over epoll, without a log context around each event.

Owns which reactor is installed. It must never hold state of a connection, or change what an event does.
"""

import contextlib

from twisted.internet import error


def install() -> None:
    """Install the reactor, before anything imports Twisted's; where there is no epoll, Twisted chooses."""
    with contextlib.suppress(ImportError, error.ReactorAlreadyInstalledError):
        from twisted.internet import epollreactor, main

        class Poller(epollreactor.EPollReactor):
            """Twisted's reactor sets up a log context for each read and write, a ninth of a flow's CPU; no
            line of ours names the socket by it."""

            def doPoll(self, timeout: float | None) -> None:
                ready = self._poller.poll(-1 if timeout is None else timeout, max(1, len(self._selectables)))
                for fd, event in ready:
                    # An earlier event of this turn may have closed it.
                    selectable = self._selectables.get(fd)
                    if selectable is not None:
                        self._doReadOrWrite(selectable, fd, event)

            doIteration = doPoll

        main.installReactor(Poller())
