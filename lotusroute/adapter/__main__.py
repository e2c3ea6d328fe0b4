"""Reads batches of events, hands each to its instance's director, writes one reply a batch."""

import sys
from collections.abc import Iterable, Iterator

from lotusroute.adapter import wire
from lotusroute.errors import InvalidValueError
from lotusroute.routing import events
from lotusroute.routing.director import Director
from lotusroute.service_config import look_up, parse_number


class Host:
    """All instances of this process and the lists that their events refer to."""

    def __init__(self) -> None:
        self.directors: dict[int, Director] = {}
        self.vips: dict[int, events.ServiceConfig] = {}
        self.rosters: dict[int, tuple[events.Server, ...]] = {}  # at most 16, replaced by number
        self.at: int | None = None
        self.now: float | None = None
        self.rows: list[events.Server] = []
        self.rows_due = 0
        self.sheet = 0
        self.reply: list[str] = []
        self.speaking: int | None = None

    def read(self, text: str) -> str | None:
        """Take one line; return the reply once the batch is complete."""
        name, *values = text.split(" ")
        if self.rows_due and name != "row":
            raise InvalidValueError(f"{self.rows_due} rows of roster {self.sheet} are missing")
        if name == "row":
            self._row(values)
        elif name == "mark":
            if self.now is not None or len(values) != 1:
                raise InvalidValueError("a mark stands at the start of a batch, with the clock")
            self.now, self.reply, self.speaking, self.at = parse_number(values[0]), [], None, None
        elif self.now is None:
            raise InvalidValueError(f"'{name}' outside of a batch")
        elif name == "your_turn":
            self.now = None
            self.reply.append("finished\n")
            return "\n".join(self.reply)
        elif name == "at":
            self.at = wire.integer(values[0] if len(values) == 1 else "")
        elif name == "roster":
            self._roster(values)
        elif self.at is None:
            raise InvalidValueError(f"'{name}' before any 'at'")
        elif name == "attach":
            if not values:
                raise InvalidValueError("attach has no seed")
            self.vips[self.at] = wire.vip(values[1:])
            self.directors[self.at] = Director(self.vips[self.at], wire.integer(values[0]))
        else:
            self._event(name, values)
        return None

    def _event(self, name: str, values: list[str]) -> None:
        director = self.directors.get(self.at)
        if director is None:
            raise InvalidValueError(f"'{name}' for instance {self.at}, which has not been attached")
        if name == "stop":
            del self.directors[self.at], self.vips[self.at]
            return
        event = self._registry(values) if name == "registry" else wire.event(name, values)
        if event is None:
            return
        flow = event.flow if name == "already_open" else event
        if name in ("ask", "already_open") and flow.service_type not in self.vips[self.at].service_types:
            raise InvalidValueError(f"unknown class '{flow.service_type}'")
        actions = director.decide(self.now, event)
        if actions and self.speaking != self.at:
            self.speaking = self.at
            self.reply.append(f"speaking {self.at}")
        self.reply.extend(map(wire.line, actions))

    def _row(self, values: list[str]) -> None:
        if not self.rows_due:
            raise InvalidValueError("a row outside of a roster")
        self.rows.append(wire.row(values))
        self.rows_due -= 1
        if not self.rows_due:
            self.rosters[self.sheet] = tuple(self.rows)

    def _roster(self, values: list[str]) -> None:
        if len(values) != 2:
            raise InvalidValueError(f"roster has 2 values, not {len(values)}")
        self.sheet, self.rows_due, self.rows = wire.integer(values[0]), wire.integer(values[1]), []
        if self.sheet > 15:
            raise InvalidValueError(f"roster {self.sheet} is not between 0 and 15")
        if not self.rows_due:
            self.rosters[self.sheet] = ()

    def _registry(self, values: list[str]) -> events.EndpointList:
        if len(values) != 3:
            raise InvalidValueError(f"registry has 3 values, not {len(values)}")
        scope = look_up(wire.SCOPES, values[2], "scope")
        if scope == events.REFUSED:
            return events.EndpointList(scope)
        return events.EndpointList(scope, look_up(self.rosters, wire.integer(values[0]), "roster"))


def replies(lines: Iterable[str]) -> Iterator[str]:
    """Turn lines of the wire into replies; a malformed line ends it, by its number and fault.

    >>> list(replies(["mark 8412.25", "your_turn"]))
    ['finished\\n']
    """
    host = Host()
    for at, text in enumerate(lines, 1):
        text = text.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = host.read(text)
        except (InvalidValueError, ValueError, KeyError, OverflowError) as fault:
            raise InvalidValueError(f"line {at}: {fault}") from None
        if reply is not None:
            yield reply


def main() -> int:
    """Serve standard input until it ends."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")
    try:
        for reply in replies(sys.stdin):
            sys.stdout.write(reply)
            sys.stdout.flush()
    except InvalidValueError as fault:
        print(f"lotusroute: {fault}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
