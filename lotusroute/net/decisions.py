"""Passes events to the Director and carries out the commands that it returns.

Owns the table from types of commands to their handlers. Times are milliseconds of Unix time.
"""

from lotusroute.net.event_loop import EventLoop, Handler, Handlers
from lotusroute.routing import events
from lotusroute.routing.director import Director


class DecisionExecutor:
    """The only caller of the Director."""

    def __init__(self, director: Director, loop: EventLoop) -> None:
        self._director = director
        self._loop = loop
        self._clock = loop.clock
        self._handlers: dict[type, Handler] = {}

    def register(self, handlers: Handlers) -> None:
        """Add handlers, by the type of the commands that they carry out."""
        self._handlers.update(handlers)

    def decide(self, event: events.Event) -> None:
        """Pass an event to the Director and carry out its commands."""
        for command in self._director.decide(self._clock(), event):
            try:
                self._handlers[type(command)](command)
            except Exception:
                # Any exception: the Director relies on the other commands being carried out.
                self._loop.report_failure(command, getattr(command, "id", 0))
