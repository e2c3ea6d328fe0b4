"""Exceptions raised by the routing logic."""

from lotusroute.errors import LotusrouteError


class UnknownEventError(LotusrouteError, TypeError):
    """The director was passed an object that is not an event."""

    def __init__(self, event: object) -> None:
        super().__init__(f"unknown event {event!r}; expected one of the types in `events.Event`")
        self.event = event
