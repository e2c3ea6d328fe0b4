"""Installs the reactor that the program runs on: Twisted's epoll reactor without a log context per event.

Import this and call `install` before anything imports `twisted.internet.reactor`.
"""

import contextlib

from twisted.internet import error


def install() -> None:
    """Install the reactor unless one is installed; on a system without epoll, Twisted chooses its own."""
    with contextlib.suppress(ImportError, error.ReactorAlreadyInstalledError):
        from twisted.internet import epollreactor, main

        class EPollReactor(epollreactor.EPollReactor):
            """Calls sockets directly.

            Twisted's reactor sets up a log context for each read and write, which took a ninth of a flow's
            CPU; none of our log lines use it.
            """

            def doPoll(self, timeout: float | None) -> None:
                """Wait for events for at most `timeout` seconds and handle them."""
                poll_timeout = -1 if timeout is None else timeout
                ready = self._poller.poll(poll_timeout, max(1, len(self._selectables)))
                for descriptor, event in ready:
                    # An earlier event of this iteration may have closed it.
                    selectable = self._selectables.get(descriptor)
                    if selectable is not None:
                        self._doReadOrWrite(selectable, descriptor, event)

            doIteration = doPoll

        main.installReactor(EPollReactor())
