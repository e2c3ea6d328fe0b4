"""A fake host for tests of the routing logic: a director with a clock, servers and flows."""

import collections
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from lotusroute.routing import events, segments
from lotusroute.routing.director import Director

SERVICE_CONFIG = events.ServiceConfig(
    {"live": events.ServiceType(300.0)},
    max_attempts=4,
    max_retry_after=1000.0,
    slow_start_share=0.2,
    slow_start_duration=20_000.0,
    slow_start_burst=3.0,
)
KEYS = [f"key-{index}" for index in range(200)]  # client keys that flow requests carry
FLOW_TIMEOUT_MS = 1_800.0
TICK_MS = 1_000.0  # the interval of the director's timer

ActionType = TypeVar("ActionType")


class FakeHost:
    """A director with a clock in ms; flows are numbered in the order in which they are requested."""

    def __init__(
        self,
        servers: int = 4,
        config: events.ServiceConfig = SERVICE_CONFIG,
        seed: int = 7,
        **config_changes: Any,
    ) -> None:
        """Start a director that knows `servers` servers; `config_changes` replace fields of `config`."""
        self.director = Director(config._replace(**config_changes), seed)
        self.now = 0.0
        self.last_flow_id = 0
        self.update_endpoints(
            *(events.Server(f"s{n}", zone=f"z{n % 2}", cell=n % 2) for n in range(servers)),
            scope=events.ListScope.COMPLETE,
        )

    def decide(self, event: events.Event) -> list[events.Action]:
        """Pass an event to the director; returns its actions."""
        return self.director.decide(self.now, event)

    def update_endpoints(
        self, *servers: events.Server, scope: events.ListScope = events.ListScope.CHANGES
    ) -> list[events.Action]:
        """Pass an endpoint update to the director; returns its actions."""
        return self.decide(events.EndpointList(scope, servers))

    def request(
        self, key: str = "k", group: str | None = None, tenant: str | None = None, **fields: Any
    ) -> Any:  # `Any`, because each test expects an action of a certain type
        """Request a new flow; returns the director's first action."""
        self.last_flow_id += 1
        deadline = self.now + FLOW_TIMEOUT_MS
        return self.decide(
            events.FlowRequest(self.last_flow_id, "live", tenant, group, key, deadline, **fields)
        )[0]

    def default_server(self, key: str) -> str:
        """Return the default server of a key's segment, which is the same in all balancers."""
        state = self.director.state
        segment = segments.segment_of(state, events.FlowRequest(0, "live", None, None, key, 0.0))
        return segments.preference_order(state, segment)[0].id

    def establish(self, key: str = "k", **fields: Any) -> events.Connect:
        """Request a flow and establish it; returns its `Connect` action."""
        connect: events.Connect = self.request(key, **fields)
        self.decide(events.Established(connect.id, connect.server))
        return connect

    def establish_each(
        self, setup_time: Callable[[str], float], flows: int, gap: float = 5.0
    ) -> collections.Counter[type]:
        """Open flows one after the other, each established after `setup_time(server)` ms and ended at once.

        Returns the number of the director's answers by action type.
        """
        answers: collections.Counter[type] = collections.Counter()
        for index in range(flows):
            action = self.request(f"key{index}")
            answers[type(action)] += 1
            if isinstance(action, events.Connect):
                self.now += setup_time(action.server)
                self.decide(events.Established(action.id, action.server))
                self.end(action, events.ConnectionResult.OK, final=True)
            self.now += gap
        return answers

    def end(
        self, connect: events.Connect, result: events.ConnectionResult, final: bool = False
    ) -> list[events.Action]:
        """End the connection that a `Connect` action started; returns the director's actions."""
        return self.decide(events.ConnectionEnded(connect.id, connect.server, final, result))

    def advance(self, ms: float) -> list[events.Action]:
        """Advance the clock, firing the director's timer at each interval; returns all actions."""
        actions: list[events.Action] = []
        end = self.now + ms
        while self.now + TICK_MS <= end:
            self.now += TICK_MS
            actions += self.decide(events.TimerFired("tick"))
        self.now = end
        return actions


def actions_of(action_type: type[ActionType], actions: Iterable[object]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]
