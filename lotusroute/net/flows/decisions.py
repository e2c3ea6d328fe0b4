"""Passes events to the Director and executes the commands that it returns.

Owns the table that maps each type of command to its handler. Times are milliseconds of Unix time.
"""

from lotusroute.net.event_loop import EventLoop, Handler, Handlers
from lotusroute.routing import events
from lotusroute.routing.director import Director


class DecisionExecutor:
    """Executes the commands of the Director, of which it is the only caller."""

    def __init__(self, director: Director, loop: EventLoop) -> None:
        self._director = director
        self._loop = loop
        self._clock = loop.clock
        self._handlers: dict[type, Handler] = {}

    def register(self, handlers: Handlers) -> None:
        """Add handlers, keyed by the type of command that they execute."""
        self._handlers.update(handlers)

    def decide(self, event: events.Event) -> None:
        """Pass an event to the Director and execute its commands."""
        for command in self._director.decide(self._clock(), event):
            try:
                self._handlers[type(command)](command)
            except Exception:
                # Any exception is caught: the Director relies on the other commands being executed.
                self._loop.report_failure(command, getattr(command, "id", 0))
