"""One process's part of a simulation: routes each event to its instance and collects the reply of a batch.

A batch begins with `mark` and ends with `your_turn`; `at` names the instance that the lines after it concern.
A `roster` line announces a server list and is followed by its rows; `registry` events refer to the list by
its number. Input that does not follow the protocol raises `ProtocolError` with the number of the line.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lotusroute.adapter import wire
from lotusroute.errors import InvalidValueError, ProtocolError
from lotusroute.routing import events
from lotusroute.routing.director import Director
from lotusroute.service_config import look_up, parse_number

MAX_LIST_NUMBER = 15
ROSTER_VALUES = 2
REGISTRY_VALUES = 3


@dataclass(slots=True)
class Batch:
    """The batch being read."""

    now: float  # ms, of all its events
    instance: int | None = None  # that the next events concern
    reply: list[str] = field(default_factory=list)
    replying: int | None = None  # the instance whose actions the reply lists last


@dataclass(slots=True)
class IncompleteList:
    """A server list some of whose rows are still to come."""

    number: int
    rows_missing: int
    servers: list[events.Server] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Instance:
    """One simulated balancer."""

    service: events.ServiceConfig
    director: Director


class SimulatorSession:
    """All instances of this process, and the server lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, tuple[events.Server, ...]] = {}  # bounded by MAX_LIST_NUMBER
        self.incomplete_list: IncompleteList | None = None
        self.batch: Batch | None = None

    def read_line(self, line: str) -> str | None:
        """Handle one line; return the reply when it ends a batch."""
        name, *values = line.split(" ")
        if name == "row":
            self._add_server(values)
            return None
        if self.incomplete_list is not None:
            missing, number = self.incomplete_list.rows_missing, self.incomplete_list.number
            raise ProtocolError(f"{missing} rows of roster {number} are missing")
        if name == "mark":
            self._begin_batch(values)
            return None
        if self.batch is None:
            raise ProtocolError(f"'{name}' outside of a batch")
        if name == "your_turn":
            return self._end_batch(self.batch)
        self._read_in_batch(self.batch, name, values)
        return None

    def _begin_batch(self, values: list[str]) -> None:
        if self.batch is not None or len(values) != 1:
            raise ProtocolError("a mark stands at the start of a batch, with the clock")
        self.batch = Batch(parse_number(values[0]))

    def _end_batch(self, batch: Batch) -> str:
        self.batch = None
        return "\n".join([*batch.reply, "finished\n"])

    def _read_in_batch(self, batch: Batch, name: str, values: list[str]) -> None:
        if name == "at":
            batch.instance = wire.parse_integer(values[0] if len(values) == 1 else "")
        elif name == "roster":
            self._begin_list(values)
        elif batch.instance is None:
            raise ProtocolError(f"'{name}' before any 'at'")
        elif name == "attach":
            self._add_instance(batch.instance, values)
        else:
            self._handle_event(batch, batch.instance, name, values)

    def _begin_list(self, values: list[str]) -> None:
        if len(values) != ROSTER_VALUES:
            raise ProtocolError(f"roster has {ROSTER_VALUES} values, not {len(values)}")
        number = wire.parse_integer(values[0])
        rows = wire.parse_integer(values[1])
        if number > MAX_LIST_NUMBER:
            raise ProtocolError(f"roster {number} is not between 0 and {MAX_LIST_NUMBER}")
        if rows:
            self.incomplete_list = IncompleteList(number, rows)
        else:
            self.lists[number] = ()

    def _add_server(self, values: list[str]) -> None:
        pending = self.incomplete_list
        if pending is None:
            raise ProtocolError("a row outside of a roster")
        pending.servers.append(wire.parse_server(values))
        pending.rows_missing -= 1
        if not pending.rows_missing:
            self.lists[pending.number] = tuple(pending.servers)
            self.incomplete_list = None

    def _add_instance(self, number: int, values: list[str]) -> None:
        if not values:
            raise ProtocolError("attach has no seed")
        seed, *settings = values
        service = wire.parse_settings(settings)
        self.instances[number] = Instance(service, Director(service, wire.parse_integer(seed)))

    def _handle_event(self, batch: Batch, number: int, name: str, values: list[str]) -> None:
        instance = self.instances.get(number)
        if instance is None:
            raise ProtocolError(f"'{name}' for instance {number}, which has not been attached")
        if name == "stop":
            del self.instances[number]
            return
        event = self._parse_endpoint_list(values) if name == "registry" else wire.parse_event(name, values)
        if event is None:
            return
        _check_service_type(instance.service, event)
        actions = instance.director.decide(batch.now, event)
        if actions and batch.replying != number:
            batch.replying = number
            batch.reply.append(f"speaking {number}")
        batch.reply.extend(wire.format_action(action) for action in actions)

    def _parse_endpoint_list(self, values: list[str]) -> events.EndpointList:
        if len(values) != REGISTRY_VALUES:
            raise ProtocolError(f"registry has {REGISTRY_VALUES} values, not {len(values)}")
        number, _version, scope_name = values
        scope = look_up(wire.SCOPES, scope_name, "scope")
        if scope == events.ListScope.REJECTED:
            return events.EndpointList(scope)
        return events.EndpointList(scope, look_up(self.lists, wire.parse_integer(number), "roster"))


def _check_service_type(service: events.ServiceConfig, event: events.Event) -> None:
    match event:
        case events.FlowRequest():
            service_type = event.service_type
        case events.ExistingConnection():
            service_type = event.request.service_type
        case _:
            return
    if service_type not in service.service_types:
        raise ProtocolError(f"unknown class '{service_type}'")


def generate_replies(lines: Iterable[str]) -> Iterator[str]:
    """Yield the reply of each batch; a malformed line raises ProtocolError with its number and fault.

    >>> list(generate_replies(["mark 8412.25", "your_turn"]))
    ['finished\\n']
    """
    session = SimulatorSession()
    for line_number, line in enumerate(lines, 1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = session.read_line(text)
        except (InvalidValueError, ValueError, KeyError, OverflowError) as error:
            # The latter ones come from the decisions, for events that contradict earlier ones.
            raise ProtocolError(f"line {line_number}: {error}") from None
        if reply is not None:
            yield reply
