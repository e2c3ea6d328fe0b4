"""Errors of the routing decisions."""

from lotusroute.errors import LotusrouteError


class UnknownEventError(LotusrouteError, TypeError):
    """The director was given an object that is not one of its events."""

    def __init__(self, event: object) -> None:
        super().__init__(f"unknown event {event!r}")
        self.event = event
