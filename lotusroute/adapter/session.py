"""A simulation session: passes each event to the balancer instance it is for, and builds the replies.

A batch of lines begins with `mark`, which gives its time, and ends with `your_turn`. An `at` line selects the
instance that the following lines are for. A `roster` line announces a server list; the `row` lines after it
are its servers, and `registry` events refer to it by number. Input that violates the protocol raises
`ProtocolError` with the line number. Times are in milliseconds.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lotusroute.adapter import wire
from lotusroute.errors import InvalidValueError, ProtocolError
from lotusroute.routing import events
from lotusroute.routing.director import Director
from lotusroute.service_config import look_up, parse_number

MAX_LIST_NUMBER = 15
ROSTER_VALUE_COUNT = 2
REGISTRY_VALUE_COUNT = 3


def generate_replies(lines: Iterable[str]) -> Iterator[str]:
    """Yield the reply to each batch; a malformed line raises `ProtocolError` with its number and a reason.

    >>> list(generate_replies(["mark 8412.25", "your_turn"]))
    ['finished\\n']
    """
    session = SimulatorSession()
    for line_number, line in enumerate(lines, 1):
        text = line.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = session.process_line(text)
        except (InvalidValueError, ValueError, KeyError, OverflowError) as error:
            # The routing logic raises Python's own errors for events that contradict earlier ones.
            raise ProtocolError(f"line {line_number}: {error}") from None
        if reply is not None:
            yield reply


@dataclass(slots=True)
class Batch:
    """A batch that has not been read to its end."""

    now: float  # the time of all events of the batch
    instance: int | None = None  # the instance that the next lines are for
    reply: list[str] = field(default_factory=list)
    last_replying_instance: int | None = None  # the instance whose actions were last added to the reply


@dataclass(slots=True)
class PartialServerList:
    """A server list whose rows have not all been read."""

    number: int
    missing_rows: int
    servers: list[events.Server] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Instance:
    """One simulated balancer."""

    service: events.ServiceConfig
    director: Director


class SimulatorSession:
    """The state of a simulation: its instances, and the server lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}  # attached instances, by their numbers
        # Server lists by their numbers, which are between 0 and MAX_LIST_NUMBER.
        self.lists: dict[int, tuple[events.Server, ...]] = {}
        self.partial_list: PartialServerList | None = None
        self.batch: Batch | None = None

    def process_line(self, line: str) -> str | None:
        """Process one line; return the reply if the line ends a batch, else None."""
        name, *values = line.split(" ")
        if name == "row":
            self._add_server(values)
            return None
        if self.partial_list is not None:
            missing, number = self.partial_list.missing_rows, self.partial_list.number
            raise ProtocolError(f"roster {number} is incomplete: {missing} 'row' lines are missing")
        if name == "mark":
            self._begin_batch(values)
            return None
        if self.batch is None:
            raise ProtocolError(f"'{name}' outside a batch: 'mark' must come first")
        if name == "your_turn":
            return self._end_batch(self.batch)
        self._read_in_batch(self.batch, name, values)
        return None

    def _begin_batch(self, values: list[str]) -> None:
        if self.batch is not None:
            raise ProtocolError("'mark' inside a batch: 'your_turn' must end it first")
        wire.check_value_count("mark", values, 1)
        self.batch = Batch(parse_number(values[0]))

    def _end_batch(self, batch: Batch) -> str:
        self.batch = None
        return "\n".join([*batch.reply, "finished\n"])

    def _read_in_batch(self, batch: Batch, name: str, values: list[str]) -> None:
        if name == "at":
            wire.check_value_count(name, values, 1)
            batch.instance = wire.parse_integer(values[0])
        elif name == "roster":
            self._begin_list(values)
        elif batch.instance is None:
            raise ProtocolError(f"'{name}' without an instance: 'at' must come first")
        elif name == "attach":
            self._add_instance(batch.instance, values)
        else:
            self._handle_event(batch, batch.instance, name, values)

    def _begin_list(self, values: list[str]) -> None:
        wire.check_value_count("roster", values, ROSTER_VALUE_COUNT)
        number = wire.parse_integer(values[0])
        rows = wire.parse_integer(values[1])
        if number > MAX_LIST_NUMBER:
            raise ProtocolError(f"roster number {number} is not between 0 and {MAX_LIST_NUMBER}")
        if rows:
            self.partial_list = PartialServerList(number, rows)
        else:
            self.lists[number] = ()

    def _add_server(self, values: list[str]) -> None:
        pending = self.partial_list
        if pending is None:
            raise ProtocolError(
                "'row' without a 'roster' line, or beyond the number of rows that it announced"
            )
        pending.servers.append(wire.parse_server(values))
        pending.missing_rows -= 1
        if not pending.missing_rows:
            self.lists[pending.number] = tuple(pending.servers)
            self.partial_list = None

    def _add_instance(self, number: int, values: list[str]) -> None:
        if not values:
            raise ProtocolError("'attach' has no values; the first one must be a seed")
        seed, *settings = values
        service = wire.parse_settings(settings)
        self.instances[number] = Instance(service, Director(service, wire.parse_integer(seed)))

    def _handle_event(self, batch: Batch, number: int, name: str, values: list[str]) -> None:
        instance = self.instances.get(number)
        if instance is None:
            raise ProtocolError(f"'{name}' for instance {number}, which is not attached")
        if name == "stop":
            del self.instances[number]
            return
        event = self._parse_endpoint_list(values) if name == "registry" else wire.parse_event(name, values)
        if event is None:
            return
        _check_service_type(instance.service, event)
        actions = instance.director.decide(batch.now, event)
        if actions and batch.last_replying_instance != number:
            batch.last_replying_instance = number
            batch.reply.append(f"speaking {number}")
        batch.reply.extend(wire.format_action(action) for action in actions)

    def _parse_endpoint_list(self, values: list[str]) -> events.EndpointList:
        wire.check_value_count("registry", values, REGISTRY_VALUE_COUNT)
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
        known = ", ".join(service.service_types) or "none"
        raise ProtocolError(f"unknown service type '{service_type}'; service types of the instance: {known}")
