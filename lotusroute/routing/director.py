"""Every decision of the balancer, and nothing else.

`Director(vip, seed)` is one balancer of one virtual ip. `decide(now, event)` takes an event and returns
actions; `lotusroute/routing/events.py` defines both. It is pure: the host brings clock, seed and news.

The design: a client's key hashes to a segment, a segment has a default server by highest hash, shared
by all balancers (a large one several); when usage is uneven one moves from the busiest to the idlest.
Beside it stand five mechanisms, the smallest departures that were found to work:
  1. set-aside      a server that fails connects gets nothing for a fixed time with a random part
  2. spill          a jammed server passes new flows down the segment's hash order, a few steps at most
  3. turns          balancers take turns at cold and jammed servers, which get no more than they can bear
  4. further tries  a failed connect goes down the hash order, unless most connects fail wherever they go
  5. polite moves   connections leave an overdriven server, the heaviest first
"""

import math
import random
from collections import Counter, deque
from zlib import crc32

from lotusroute.routing import events

SEGMENT_BITS = 10  # bits: 1024 segments, so that few groups share one; 8 mixed them, 12 gave no more
MAX_LOAD_RATIO = 1.4  # mean servers' connections that one server can take: at 40% load, with the cost of a group
PRIOR_FLOWS = 5  # connections: so many of no group at all are thought in, so that chance spreads none
RECENT_FLOWS = 64  # flows asked for, the last, that tell what servers and segments are wanted for: many cost
PRIOR_RECENT_FLOWS = 20  # flows of the usual mix thought in beside them: at 200 balancers each has asked for as many
REBALANCE_RATIO = 0.8  # ratio: the paper's value; 0.6 to 0.9 measured alike
MIN_CONNECTIONS_TO_REBALANCE = 4  # connections: under this the busiest server is left alone, chance rules such counts
SPILL_DEPTH = 4  # servers of a segment's order it may spill over: more scatter groups that share work
OVERLOADED_SPILL_DEPTH = 2  # the same while much of the fleet is jammed
OVERLOADED_FLEET_FRACTION = 0.5  # share of servers: what much of the fleet means; 0.75 cost 0.03 on overloaded days
DEPARTURE_GRACE = 5_000.0  # ms after a server has left: its clients come back within two, its list is seconds late
UNKNOWN_SERVER_SKIP_PROBABILITY = 0.75  # share of returning clients that pass by a server of which nothing is known; 0.5 did less
TICK_INTERVAL = 1_000.0  # ms: upkeep; as often as servers speak of slow messages
REBALANCE_TICKS = 5  # ticks: the design's 5 s between checks; each tick where no server says it is slow
NEW_SERVER_PERIOD = 10_000.0  # ms: a new server counts at the mean for so long, its count says nothing yet
EJECTION_TIME = 4_000.0  # ms: most of the list's lateness about a dead server, and again half as random part
EJECTION_SCORE = 0.45  # share: two failed connects in a row, or one that found nobody
SLOW_SETUP_TTL = 2_500.0  # ms: two and a half of the notes that come once a second
OVERLOAD_LATENCY_FACTOR = 3.0  # times the least that is noted: at the whole message target a server is late, from a third slow
LATENCY_REPORT_TTL = 8_000.0  # ms: a server says when its messages are well again, but only over own connections
SLOW_SETUP_RATIO = 2.5  # times the quickest other server's set-up: most of a fleet was slow and its median said nothing
FLEET_SETUP_FRACTION = 0.5  # share of the average set-up lately that counts like the quickest server's: a crowd slows all
SETUP_TIME_CONSTANT = 200.0  # ms over which set-ups are averaged: at one every few seconds that is the last two or three
RECENT_SETUPS_WEIGHT = 2.0  # set-ups that the last few are: a mean of twenty hid for seconds that a server was jammed
SERVER_SETUP_WEIGHT, FLEET_SETUP_WEIGHT = 1.0, 2.3  # set-ups that weigh on as history, of a server and of all: so few make a mean
INITIAL_SETUP_DEVIATION = 0.25  # of the logarithm of set-ups, mean deviation: thought of before any is measured
SETUP_DEVIATION_GAIN = 0.05  # share: it is averaged over some twenty set-ups anywhere
SIGNIFICANT_DEVIATIONS = 2.0  # times the deviation of what is compared, 1.6 sigma: one in 20 by chance, of those that are signs
SIGNIFICANT_DELAY_FRACTION = 1 / 24  # of the least setup target: by so much, added up, set-ups are late before it is a sign
STALL_WINDOW = 100.0  # ms: connects begun within it are one sign, for a stall of ours lengthens all alike
ISOLATED_TIMEOUT_SCORE = 0.05  # what is held against a server after three set-ups in a row: under it a late connect is chance
SETUPS_TO_RECOVER = 8  # set-ups in time after which a jammed server counts as well: at few a second RECOVERY is less
FALLBACK_CANDIDATES = 8  # servers beside the segment's own that are looked at before a flow is refused
ATTEMPT_TIMEOUT_TARGETS = 2.0  # setup targets: how long one connect may take while others could follow
ATTEMPT_DEADLINE_FRACTION = 0.8  # of the time left, where no server says it is slow: the rest serves for one more
MAX_FAILURE_RATIO, FAILURE_ALLOWANCE = 0.5, 4.0  # failed connects per one that stands, as a cut zone brings; so few say nothing
MAX_RESET_RATIO, RESET_ALLOWANCE = 0.25, 1.0  # the same of those failed or cut, for who returns: one in five is a jam
MIGRATION_INTERVAL = 2_000.0  # ms: until notes can show what the last moves did
OVERLOAD_AFTERMATH = 20_000.0  # ms: half of what connections live; filled again at once it jammed again and again
MIGRATION_FRACTION = 0.15  # share of own connections that leave at a time, times how late messages are
UNREPORTED_MIGRATION_FRACTION = 0.34  # the same where no server says that its messages are slow: what set-ups show is late and large
DEFAULT_MIGRATION_RATE = 0.2  # share a second of connections that come home to a new server; 0.5 came as a crowd
RECOVERY_RATE = 0.5  # times the mean first arrivals that a server jammed just now gets while it recovers
RECOVERY_DOUBLING_TIME = 4_000.0  # ms without a sign of trouble after which that pace doubles
RECOVERY_TIME = 12_000.0  # ms without a sign of trouble until a jammed server counts as well
PRIOR_FLOWS_PER_TICK = 1.0  # flows a tick thought in: a balancer that sees one in three ticks took each for a crowd
SLOT_ROUND = 3_000.0  # ms: in which the turn at a cold server passes all balancers; the time in which one falls
GROUP_LOAD_FACTOR = 2.0  # times the mean that one server may be asked for by a large group; 1 broke the rule
MIN_CAPACITY_FRACTION = 0.05  # share of its capacity that a server is thought to have at least when it starts
RECOVERY_SLOT_FACTOR = 4.0  # the same at a jammed one, to which more come than arrive at first; 2 measured alike
RATE_GAIN = 0.1  # share: arrivals are averaged over about ten ticks
SUBSCRIBE_BACKOFF = 500.0  # ms: first wait after a refused call to the list; doubles up to half of ask_every
HASH_MULTIPLIER, HASH_MASK = 0xBF58476D1CE4E5B9, (1 << 64) - 1  # the odd multiplier of SplitMix64; any will do
RETRY_AFTER = 1_000.0  # ms: a turned-away client stays away about as long as a tick, then news is in


def _hash(text: str) -> int:
    return crc32(text.encode()) * HASH_MULTIPLIER & HASH_MASK


class DecayingMean:
    """A running mean of what came within RECENT, or of the last few where little comes."""

    __slots__ = ("value", "weight", "min_weight", "max_weight", "updated_at")

    def __init__(self, value: float, min_weight: float, max_weight: float = math.inf) -> None:
        self.value, self.weight, self.min_weight, self.max_weight, self.updated_at = value, 0.0, min_weight, max_weight, 0.0

    def add(self, now: float, value: float) -> None:
        retained = self.weight * math.exp((self.updated_at - now) / SETUP_TIME_CONSTANT)
        self.weight = min(max(self.min_weight, retained), self.max_weight - 1) + 1
        self.value += (value - self.value) / self.weight
        self.updated_at = now


class ServerState:
    """A server as this balancer knows it."""

    __slots__ = ("id", "hash", "zone", "cell", "state", "size", "started_at", "listed_at",
                 "connections", "failure_score", "ejected_until", "overloaded_until", "last_slot_at", "last_quota_at", "quota_flows", "recovering_until", "migrated_at", "latency",
                 "setup_time", "recent_setup_time", "deprioritized_until", "confirmed_slow_until", "setup_delay", "slow_signs", "slow_sign_at", "timely_setups")  # fmt: skip

    def __init__(self, endpoint: events.Server, now: float) -> None:
        self.id, self.started_at, self.listed_at = endpoint.id, endpoint.started, now
        self.state = events.REMOVED  # until its line is read
        self.hash = _hash(endpoint.id)
        self.connections: dict[int, FlowState] = {}  # own connections, emptied as each ends
        self.failure_score = self.ejected_until = self.overloaded_until = self.recovering_until = self.migrated_at = self.latency = 0.0
        self.size = 1.0  # what it counts by listed size
        self.setup_time: DecayingMean | None = None  # ms that set-ups took
        self.recent_setup_time: DecayingMean | None = None  # and the last few
        self.deprioritized_until = self.confirmed_slow_until = 0.0  # until when set-ups advise against it, and against staying there
        self.slow_sign_at = 0.0  # when the connect of the last sign was begun
        self.setup_delay = 0.0  # ms by which set-ups in a row were late
        self.slow_signs = self.timely_setups = 0  # signs in a row by set-ups; set-ups in time since it was jammed
        self.last_slot_at, self.last_quota_at, self.quota_flows = -math.inf, now, 0  # last flows by turn, while cold or jammed


class FlowState:
    """A flow that this balancer has not finished."""

    __slots__ = ("request", "segment", "attempted", "possibly_ran_on", "possibly_ran_at", "attempted_at", "server", "established", "load", "replica")

    def __init__(self, request: events.Flow, segment: int) -> None:
        self.request, self.segment = request, segment
        self.replica = 0  # of the segment's servers, the one that is its entry
        self.attempted: list[str] = []
        self.possibly_ran_on: ServerState | None = None  # where it may have run first, and the time of that connect
        self.server: ServerState | None = None
        self.established, self.load, self.possibly_ran_at, self.attempted_at = False, 0.0, 0.0, 0.0


class Director:
    """One balancer of one virtual ip."""

    def __init__(self, config: events.ServiceConfig, seed: int) -> None:
        self.config = config
        self.lacks_latency_reports = not config.reports_latency  # no server says that its messages are slow, as on sockets
        self.rng = random.Random(seed)
        self.min_setup_target = min((t.setup_target for t in config.service_types.values()), default=0.0)
        # By the set-up target where none is told: 28 ms counted as well again beside messages wanted in 50.
        self.slow_latency_threshold = (self.min_setup_target if self.lacks_latency_reports else config.latency_objective or self.min_setup_target) / 3
        self.overload_latency_threshold = self.slow_latency_threshold * (1 if self.lacks_latency_reports else OVERLOAD_LATENCY_FACTOR)
        self.now = 0.0
        self.actions: list[events.Action] = []
        self.servers: dict[str, ServerState] = {}  # servers listed; gone ones leave with their last connection
        self.ready: list[ServerState] = []  # as of the last list
        self.reconnects_expected_until = 0.0  # until when returning clients are no news
        self.total_size = self.largest_size = 1.0  # their sizes added up, and the largest
        self.recently_overloaded: dict[str, ServerState] = {}  # those jammed lately; each leaves when its time is over
        self.preference_orders: dict[int, list[ServerState]] = {}  # by segment, 2^P at most; cleared when the list changes
        self.overrides: dict[tuple[int, int], ServerState] = {}  # overrides; leave with their server or as defaults
        self.flows_per_segment: dict[int, int] = {}  # own flows by segment; a segment leaves at 0
        self.flows: dict[int, FlowState] = {}  # flows not finished; each leaves with its end
        self.recent_replicas: deque[tuple[int, int]] = deque(maxlen=RECENT_FLOWS)  # segments and places of the last flows
        self.ticks = 0
        self.spill_depth = SPILL_DEPTH  # of spilling, by the last tick's look at the fleet
        self.failed_connects = self.established_connects = self.reset_connections = 0.0  # connects that failed (or were not made), stood, were cut
        self.first_arrivals = self.arrivals = 0  # since the last tick: first arrivals, and all flows
        self.decayed_arrivals, self.decayed_arrivals_at = 0.0, 0.0  # what `_came` was at the last flow, and when that was
        self.first_arrival_rate = self.arrival_rate = 0.0  # the same a tick
        self.fleet_setup_time: DecayingMean | None = None  # ms that set-ups take lately, anywhere
        self.setup_deviation = INITIAL_SETUP_DEVIATION  # mean deviation of their logarithm
        self.servers_by_setup_time: list[ServerState] = []  # servers by set-up, the quickest first, as of `quick_at`
        self.sorted_at = -math.inf
        self.subscribed, self.refusals, self.subscribe_at = False, 0, 0.0

    def decide(self, now: float, event: events.Event) -> list[events.Action]:
        """Take one event and return the actions it calls for, in order."""
        self.now, self.actions = now, []
        self._handlers[type(event)](self, event)
        return self.actions

    # The server list

    def _update_endpoints(self, event: events.EndpointList) -> None:
        if event.scope == events.REFUSED:
            # A broken subscription goes unnoticed unless renewed; all renewing at once breaks it again.
            self.subscribed = False
            self.refusals += 1
            wait = min(self.config.poll_interval / 2, SUBSCRIBE_BACKOFF * 2**self.refusals)
            self.subscribe_at = self.now + self.rng.uniform(0.2, 1.0) * wait
            return
        if not self.ticks:
            self.ticks = 1
            self.actions.append(events.SetTimer(self.rng.uniform(0.0, TICK_INTERVAL), "tick"))
        elif self.config.polls_discovery:
            self.subscribed, self.refusals = True, 0
        if event.scope != events.CHANGES:
            listed_ids = {endpoint.id for endpoint in event.servers}
            for server in self.servers.values():
                if server.id not in listed_ids:
                    server.state = events.REMOVED
        for endpoint in event.servers:
            self._update_server(endpoint)
        for server in [h for h in self.servers.values() if h.state == events.REMOVED and not h.connections]:
            del self.servers[server.id]
        previous, self.ready = self.ready, [h for h in self.servers.values() if h.state == events.READY]
        if self.lacks_latency_reports and (not previous or any(h.state != events.READY for h in previous)):
            # Who comes back now may come from those that left, or from another balancer that died with us.
            self.reconnects_expected_until = self.now + DEPARTURE_GRACE
        self.total_size = sum(h.size for h in self.ready) or 1.0
        self.largest_size = max((h.size for h in self.ready), default=1.0)
        self.preference_orders.clear()
        self.overrides = {s: h for s, h in self.overrides.items() if h.state == events.READY}

    def _update_server(self, endpoint: events.Server) -> None:
        server = self.servers.get(endpoint.id)
        if server is None:
            if endpoint.state == events.REMOVED:
                return
            # On sockets those of the first list are not new: one stood idle for 10 s beside 29 connections.
            initial = self.lacks_latency_reports and self.ticks <= 1
            server = self.servers[endpoint.id] = ServerState(endpoint, self.now)
            server.listed_at -= NEW_SERVER_PERIOD * initial
        elif endpoint.started != server.started_at:
            # Back from the dead: what was held against the old process says nothing of the new one.
            server.started_at, server.listed_at = endpoint.started, self.now
            server.failure_score = server.ejected_until = server.overloaded_until = server.recovering_until = server.deprioritized_until = server.confirmed_slow_until = 0.0
            server.setup_time = server.recent_setup_time = None
            server.slow_signs, server.setup_delay = 0, 0.0
            server.last_slot_at, server.last_quota_at, server.quota_flows = -math.inf, self.now, 0
        server.zone, server.cell, server.state = endpoint.zone, endpoint.cell, endpoint.state
        # Squared: a heavy connection and its group's cost are little to a large server, half of a small one.
        server.size = endpoint.size**2 if self.config.trusts_weights and endpoint.size > 0 else 1.0

    # The design: segments, defaults and moves

    def _segment_of(self, request: events.Flow) -> int:
        shared = request.group if self.config.groups_share_work else None
        return crc32((shared or request.key or str(request.id)).encode()) >> (32 - SEGMENT_BITS)

    def _replica_count(self, segment: int) -> int:
        """Over how many servers of its order a segment is spread. One alone cannot hold a group that is a
        tenth of all flows of 80 servers; what this balancer holds of it tells how large it is."""
        if self.lacks_latency_reports and len(self.flows) < len(self.ready):
            # Of four flows held none was of the same group: 36 groups stood on the homes of a third of 60
            # servers, the rest idle. What came lately tells more, and beside it how few groups there are.
            counts, recent = Counter(s for s, _ in self.recent_replicas), len(self.recent_replicas)
            collision_probability = sum(c * (c - 1) for c in counts.values()) / (recent * (recent - 1) + PRIOR_RECENT_FLOWS)
            if collision_probability * len(self.ready) > MAX_LOAD_RATIO:  # the usual group is more than one server takes
                ratio = (counts[segment] + PRIOR_RECENT_FLOWS * collision_probability) / (recent + PRIOR_RECENT_FLOWS)
                return min(1 + int(ratio * len(self.ready) / MAX_LOAD_RATIO), 2 * SPILL_DEPTH)
        others = (self.flows_per_segment[segment] - 1) * len(self.ready)
        return min(1 + int(others / (MAX_LOAD_RATIO * (len(self.flows) + PRIOR_FLOWS))), 2 * SPILL_DEPTH)

    def _preference_order(self, segment: int) -> list[ServerState]:
        """The first of a segment's servers by weighted rendezvous, made when a flow asks for them. Ranking
        all anew for each segment after each list cost 377 balancers on 185 servers five times their CPU."""
        order = self.preference_orders.get(segment)
        if order is None:
            segment_hash = _hash(str(segment))

            def rank(server: ServerState) -> tuple[float, str, ServerState]:
                sample = ((segment_hash ^ server.hash) * HASH_MULTIPLIER & HASH_MASK) + 1
                return -math.log(sample / (HASH_MASK + 2)) / server.size, server.id, server

            # Whoever ranks under `within` hashes to `least` or more; the first are among so many.
            timeout = 6 * SPILL_DEPTH / self.total_size
            least = int(HASH_MASK * math.exp(-timeout * self.largest_size))
            ranks = sorted(rank(h) for h in self.ready if (segment_hash ^ h.hash) * HASH_MULTIPLIER & HASH_MASK >= least)
            if sum(r[0] <= timeout for r in ranks) < 2 * SPILL_DEPTH:
                ranks = sorted(map(rank, self.ready))
            order = self.preference_orders[segment] = [r[2] for r in ranks[: 2 * SPILL_DEPTH]]
        return order

    def _rebalance(self) -> None:
        """Move one segment from the busiest server to the idlest, where their ratio is under R."""
        busy = any(len(h.connections) >= MIN_CONNECTIONS_TO_REBALANCE for h in self.ready)
        established_servers = [h for h in self.ready if busy and h.ejected_until <= self.now and h.listed_at + NEW_SERVER_PERIOD <= self.now]
        if len(established_servers) < 2:
            return
        usage = {h.id: len(h.connections) / h.size for h in established_servers}
        busiest = max(established_servers, key=lambda h: (usage[h.id], h.id))
        idlest = min(established_servers, key=lambda h: (usage[h.id], h.id))
        if len(busiest.connections) < MIN_CONNECTIONS_TO_REBALANCE or usage[idlest.id] >= REBALANCE_RATIO * usage[busiest.id]:
            return
        gap = (usage[busiest.id] - usage[idlest.id]) / usage[busiest.id] * len(busiest.connections) / 2
        own = [s for s in {(x.segment, x.replica) for x in busiest.connections.values()} if self._assigned_server(*s) is busiest]
        if own:
            spot = min(own, key=lambda spot: (abs(self.flows_per_segment[spot[0]] - gap), spot))
            self.overrides.pop(spot, None)
            if self._assigned_server(*spot) is not idlest:
                self.overrides[spot] = idlest

    def _assigned_server(self, segment: int, replica: int, use_overrides: bool = True) -> ServerState | None:
        override = self.overrides.get((segment, replica)) if use_overrides else None
        return override or next(iter(self._preference_order(segment)[replica:]), None)

    # Flows

    def _flow_requested(self, request: events.Flow) -> None:
        self.arrivals += 1
        self.decayed_arrivals, self.decayed_arrivals_at = 1 + self._recent_arrivals(), self.now
        self.first_arrivals += not (request.reconnecting or request.mid_flow)
        self._attempt(self._register_flow(request))

    def _register_flow(self, request: events.Flow) -> FlowState:
        flow = self.flows[request.id] = FlowState(request, self._segment_of(request))
        self.flows_per_segment[flow.segment] = self.flows_per_segment.get(flow.segment, 0) + 1
        flow.replica = crc32((request.key or str(request.id)).encode()) % self._replica_count(flow.segment)
        self.recent_replicas.append((flow.segment, flow.replica))
        return flow

    def _select_server(self, flow: FlowState) -> ServerState | None:
        """The segment's entry, or the next in its hash order that is fit for this flow."""
        order = self._preference_order(flow.segment)
        assigned = self._assigned_server(flow.segment, flow.replica, not flow.request.mid_flow)
        if assigned is not None:
            order = [assigned, *(server for server in order if server is not assigned)]
        overloaded = ejected = unknown = deprioritized = None
        steps_left, warming_up_target = self.spill_depth, None
        for server in order:
            # A cold server is no step: when a fleet grew fourfold all four were cold, and flows were refused.
            warming_up = self._warming_up(server)
            steps_left -= not warming_up
            if steps_left < 0:
                break
            # What a jammed fleet spills pushes cold servers over: they get the flows of their own segments.
            # Where none tells, the first gets what is spilled too, within that part: two of three stood idle.
            warming_up_target = warming_up_target or (server if warming_up else None)
            only_warming_up = warming_up_target if self.lacks_latency_reports else assigned
            if server.id in flow.attempted or not self._may_repeat_on(flow, server) or warming_up and server is not only_warming_up:
                continue
            if server.ejected_until > self.now:
                ejected = ejected or server
            elif server.overloaded_until > self.now and not flow.request.mid_flow:
                overloaded = server
            elif server.deprioritized_until > self.now and not flow.request.mid_flow:
                deprioritized = deprioritized or server
            elif (flow.request.reconnecting and not flow.request.mid_flow and not server.connections and not warming_up
                  and self.now >= self.reconnects_expected_until and self.rng.random() < UNKNOWN_SERVER_SKIP_PROBABILITY):
                # Where siblings are many, clients cut off by a jammed server are the only news of it. Not
                # when one has left the list: forty that each held next to nothing passed by the defaults of
                # all who came from draining servers, and groups stood on twice as many servers.
                unknown = server
            elif self._admits(server, flow.request.reconnecting):
                return server
        if unknown is not None and self._admits(unknown, flow.request.reconnecting):
            return unknown
        if self.lacks_latency_reports and (fallback := self._fallback_server(flow)) is not None:
            return fallback
        if deprioritized is not None and self._admits(deprioritized, flow.request.reconnecting):
            return deprioritized
        if ejected is not None and overloaded is None and self._admits(ejected, flow.request.reconnecting):
            return ejected
        return None

    def _fallback_server(self, flow: FlowState) -> ServerState | None:
        """A server outside the segment's order, before a flow is refused or goes where signs are: it was
        refused beside idle servers, for all four of its own had a sign."""
        start = int(self.rng.random() * len(self.ready))
        for server in (self.ready[start:start + FALLBACK_CANDIDATES] + self.ready[:min(start, FALLBACK_CANDIDATES)])[:FALLBACK_CANDIDATES]:
            signs = max(server.ejected_until, server.overloaded_until, server.recovering_until, server.deprioritized_until)
            if (signs <= self.now and not self._warming_up(server) and server.id not in flow.attempted
                    and self._may_repeat_on(flow, server)):  # fmt: skip
                return server
        return None

    def _throttled(self, request: events.Flow) -> bool:
        """Where most connects fail whatever the server, something that all share is down, and further
        tries keep it down: at a jammed session store 36 connects a flow were made, all day."""
        failures, successes, ratio, allowance = self.failed_connects, self.established_connects, MAX_FAILURE_RATIO, FAILURE_ALLOWANCE
        few_connections = self.lacks_latency_reports and request.reconnecting and len(self.flows) < len(self.ready)
        if few_connections:  # What was cut came back at once and was cut elsewhere: 370 connects a second, not 105.
            failures, successes, ratio, allowance = failures + self.reset_connections, max(0.0, successes - self.reset_connections), MAX_RESET_RATIO, RESET_ALLOWANCE
        excess = failures - ratio * successes - allowance
        if request.mid_flow or excess <= 0 or self.rng.random() > excess / (failures + successes):
            return False
        self.failed_connects += not few_connections
        return True

    def _may_repeat_on(self, flow: FlowState, server: ServerState) -> bool:
        """A referenced flow that may have run goes only where its repeat is known and dropped."""
        if flow.possibly_ran_on is None:
            return True
        service_type = self.config.service_types[flow.request.service_type]
        if service_type.effect != events.IDEMPOTENCY_KEY:
            return service_type.effect != events.NON_IDEMPOTENT
        same = {"zone": server.zone == flow.possibly_ran_on.zone, "cell": server.cell == flow.possibly_ran_on.cell}
        known = same.get(service_type.dedup_scope, service_type.dedup_scope == "all")
        return self.now < flow.possibly_ran_at + service_type.dedup_window and known

    def _attempt(self, flow: FlowState) -> None:
        request, server = flow.request, None
        if len(flow.attempted) < self.config.max_attempts and self.now < request.deadline and not self._throttled(request):
            server = self._select_server(flow)
        if server is None:
            self._reject_flow(flow)
            return
        time_left = request.deadline - self.now
        if len(flow.attempted) + 1 >= self.config.max_attempts:
            timeout = 0.0
        elif self.lacks_latency_reports:
            # A shared store that took 1.5 s had all give up and call again: it never emptied, none was up.
            # Where a server does not come up at all, the host ends the connect sooner.
            timeout = ATTEMPT_DEADLINE_FRACTION * time_left
        else:
            timeout = min(time_left / 2, ATTEMPT_TIMEOUT_TARGETS * self.config.service_types[request.service_type].setup_target)
        flow.attempted.append(server.id)
        flow.attempted_at, flow.server = self.now, server
        server.connections[request.id] = flow
        self.actions.append(events.Connect(request.id, server.id, timeout))

    def _reject_flow(self, flow: FlowState) -> None:
        service_type = self.config.service_types[flow.request.service_type]
        if service_type.safe_to_retry(flow.possibly_ran_on is not None):
            self.actions.append(events.Reject(flow.request.id, min(self.config.max_retry_after, RETRY_AFTER)))
        else:
            self.actions.append(events.Abort(flow.request.id))
        self._finish_flow(flow)

    def _finish_flow(self, flow: FlowState | None) -> None:
        if flow is None or self.flows.pop(flow.request.id, None) is None:
            return
        self.flows_per_segment[flow.segment] -= 1
        if not self.flows_per_segment[flow.segment]:
            del self.flows_per_segment[flow.segment]
        if flow.server is not None:
            flow.server.connections.pop(flow.request.id, None)

    def _connection_exists(self, event: events.ExistingConnection) -> None:
        flow = self._register_flow(event.flow)
        server = flow.server = self.servers.get(event.server)
        flow.established = True
        if server is not None:
            server.connections[event.flow.id] = flow
            if self.config.groups_share_work and server.state == events.READY:
                # Groups that stood elsewhere than their defaults were paid for twice: 12 places became 25.
                self.overrides[flow.segment, flow.replica] = server

    def _established(self, event: events.Established) -> None:
        if (flow := self.flows.get(event.id)) is not None:
            flow.established = True
            self.established_connects += 1
            if flow.server is not None:
                self._record_setup_time(flow.server, flow)

    def _connection_ended(self, event: events.ConnectionEnded) -> None:
        flow = self.flows.get(event.id)
        if flow is None:
            return
        server = flow.server
        self.failed_connects += not flow.established and event.result != events.OK
        self.reset_connections += flow.established and event.result == events.RESET
        if server is not None:
            self._record_result(server, flow, event.result)
            server.connections.pop(event.id, None)
        if event.final:
            self._finish_flow(flow)
            return
        if event.result not in events.NEVER_RAN and flow.possibly_ran_on is None:
            flow.possibly_ran_on, flow.possibly_ran_at = server, flow.attempted_at
        self._attempt(flow)

    # The health of servers

    def _record_result(self, server: ServerState, flow: FlowState, result: str) -> None:
        if result == events.OK:
            server.failure_score *= 0.5
        elif result == events.FULL:
            self._start_recovery(server)
            server.overloaded_until = max(server.overloaded_until, self.now + TICK_INTERVAL)
        elif result == events.UNREACHABLE:
            # Silent death shows in connects long before the list tells of it.
            self._record_failure(server, 0.6)
        elif result in (events.ERROR, events.TIMEOUT, events.RESET):
            # Many connections cut at once: the process is gone. One cut now and then: it sheds load.
            reset = result == events.RESET and flow.established
            if reset or result == events.TIMEOUT and not self._isolated_timeout(server):
                self._start_recovery(server)
            self._record_failure(server, 0.15 if reset else 0.3)

    def _isolated_timeout(self, server: ServerState) -> bool:
        """Whether many connects stood just now beside one that took too long: one in 28 had sound servers
        paced for 12 s, and three of four flows refused."""
        return server.failure_score < ISOLATED_TIMEOUT_SCORE and server.setup_time is not None and server.setup_time.updated_at + TICK_INTERVAL > self.now

    def _record_setup_time(self, server: ServerState, flow: FlowState) -> None:
        """Where no server tells that its messages are slow, one stood overdriven beside idle ones for 15 s.
        Its set-ups took two to four times the others'. But a bare ratio of set-ups of 1 to 8 ms, which chance
        and our own scheduling make, had more than half of the flows refused by idle servers. So the ratio has
        to stand out of the spread measured, by how many set-ups there are, and to matter for the target.
        One sign steers new flows past; a second in a row, of a later connect, refuses and moves."""
        setup_time, server.failure_score = self.now - flow.attempted_at, server.failure_score * 0.5
        self.fleet_setup_time = self.fleet_setup_time or DecayingMean(setup_time, FLEET_SETUP_WEIGHT, FLEET_SETUP_WEIGHT + 1)
        fleet_setup_time = self.fleet_setup_time.value
        self.fleet_setup_time.add(self.now, setup_time)
        if server.setup_time is None:
            server.setup_time, server.recent_setup_time = DecayingMean(fleet_setup_time, SERVER_SETUP_WEIGHT), DecayingMean(fleet_setup_time, SERVER_SETUP_WEIGHT, RECENT_SETUPS_WEIGHT)
        deviation = abs(math.log(max(setup_time, 1e-3) / max(server.recent_setup_time.value, 1e-3)))
        self.setup_deviation += SETUP_DEVIATION_GAIN * (min(1.0, deviation) - self.setup_deviation)
        server.setup_time.add(self.now, setup_time)
        server.recent_setup_time.add(self.now, setup_time)
        if not self.lacks_latency_reports or self._warming_up(server):
            return
        reference = self._reference_setup_time(server)
        if reference is None:
            return
        least = max(FLEET_SETUP_FRACTION * fleet_setup_time, reference.value, 1e-3)
        slow = min(setup_time, server.recent_setup_time.value)
        if slow <= least * SLOW_SETUP_RATIO:
            server.setup_delay, server.slow_signs = 0.0, server.slow_signs if server.deprioritized_until > self.now else 0
            server.timely_setups += 1
            server.recovering_until = min(server.recovering_until, self.now) if server.timely_setups >= SETUPS_TO_RECOVER else server.recovering_until
            return
        server.setup_delay += slow - least
        if server.setup_delay < SIGNIFICANT_DELAY_FRACTION * self.min_setup_target:
            return
        if not server.slow_signs or flow.attempted_at >= server.slow_sign_at + STALL_WINDOW:
            server.slow_signs, server.slow_sign_at = server.slow_signs + 1, flow.attempted_at
        server.deprioritized_until = self.now + SLOW_SETUP_TTL
        self.recently_overloaded[server.id] = server
        threshold_ratio = math.exp(SIGNIFICANT_DEVIATIONS * self.setup_deviation * math.sqrt(1 / server.setup_time.weight + 1 / reference.weight))
        significant = server.setup_time.value > least * max(SLOW_SETUP_RATIO, threshold_ratio)
        if server.setup_time.value > max(least * SLOW_SETUP_RATIO, least + SIGNIFICANT_DELAY_FRACTION * self.min_setup_target) and (significant or server.slow_signs > 1):
            server.confirmed_slow_until = server.deprioritized_until
            if significant and server.slow_signs > 1:
                server.overloaded_until = max(server.overloaded_until, server.deprioritized_until)
                self._start_recovery(server, SLOW_SETUP_TTL)

    def _reference_setup_time(self, server: ServerState) -> DecayingMean | None:
        """Set-ups of the quickest other server, of many the one that an eighth are quicker than: the least of
        many small samples is luck. Worked out anew after a ms a server, so that its cost does not grow."""
        if self.now >= self.sorted_at + len(self.ready):
            fleet_setup_time = self.fleet_setup_time.value
            self.servers_by_setup_time = sorted(self.ready, key=lambda h: (h.setup_time.value if h.setup_time else fleet_setup_time, h.id))
            self.sorted_at = self.now
        others = [h for h in self.servers_by_setup_time[: len(self.servers_by_setup_time) // 8 + 2] if h is not server]
        return (others[min(len(self.servers_by_setup_time) // 8, len(others) - 1)].setup_time or self.fleet_setup_time) if others else None

    def _record_failure(self, server: ServerState, weight: float) -> None:
        server.failure_score += weight * (1 - server.failure_score)
        if server.failure_score >= EJECTION_SCORE and server.ejected_until <= self.now:
            server.ejected_until = self.now + EJECTION_TIME + self.rng.uniform(0.0, EJECTION_TIME / 2)
            self.actions.append(events.OutlierEjected(server.id))

    def _load_reported(self, event: events.LoadReport) -> None:
        if (flow := self.flows.get(event.id)) is not None:
            flow.load = event.load

    def _latency_reported(self, event: events.LatencyReport) -> None:
        """Slow steers new flows past while others serve, late refuses and moves: with one grade for both a
        full fleet moved all day. One that is well again stays slow to us while what filled it leaves."""
        if (server := self.servers.get(event.server)) is None:
            return
        until, server.latency = self.now + LATENCY_REPORT_TTL, event.delay
        server.deprioritized_until = until if event.delay >= self.slow_latency_threshold else 0.0 if self.lacks_latency_reports else self.now + OVERLOAD_AFTERMATH
        server.overloaded_until = until if event.delay >= self.overload_latency_threshold else 0.0
        if server.overloaded_until:
            self._start_recovery(server)
        elif server.deprioritized_until:
            self.recently_overloaded[server.id] = server

    def _admit_warming_up(self, server: ServerState, reconnecting: bool) -> bool:
        """Its own part of the budget, which with few balancers is most of what a crowd leaves, or a turn."""
        if self.lacks_latency_reports:
            return self._take_slot(server, self._warming_up_fraction(server, reconnecting))
        capacity_factor = self.config.slow_start_burst * self._capacity_fraction(server)
        quota_rate = self.first_arrival_rate * self.config.instance_count / TICK_INTERVAL * capacity_factor * server.size / max(self.total_size, server.size)
        quota_turn = self.config.instance_count if server.quota_flows else self.config.instance_index + 1
        if self.now >= server.last_quota_at + quota_turn / max(quota_rate, 1e-9):
            server.last_quota_at = self.now
            server.quota_flows += 1
            return True
        # A group asks as much of a small server: 25 flows in a second had one of two cores fall over.
        fraction = capacity_factor / GROUP_LOAD_FACTOR * (server.size * len(self.ready) / max(self.total_size, server.size))
        if reconnecting:
            fraction *= (self.first_arrival_rate + PRIOR_FLOWS_PER_TICK) / (max(self.arrival_rate, self.arrivals, self.first_arrival_rate) + PRIOR_FLOWS_PER_TICK)
        return self._take_slot(server, fraction)

    def _warming_up_fraction(self, server: ServerState, reconnecting: bool) -> float:
        """What part of the flows for a cold server is let in: as much as the rule lets it bear, at its
        coldest what fills a mean server over the warm-up, more the warmer it is. However fast flows come, a
        balancer adds up to its part of that within a ROUND: the part falls as they do. What a server that
        leaves held may be one group, back at once: by 20 balancers, with a flow each, its home fell."""
        warm_fraction = max(self.config.slow_start_share, MIN_CAPACITY_FRACTION) * max(self.config.slow_start_duration, 1.0)
        even_share, capacity_factor = self._even_share_factor(server), self.config.slow_start_burst * self._capacity_fraction(server) * SLOT_ROUND / warm_fraction
        group_returning = reconnecting and self.config.groups_share_work and self.now < self.reconnects_expected_until
        limit = capacity_factor / GROUP_LOAD_FACTOR * min(1.0, even_share * max(1.0, len(self.ready) / len(self.recent_replicas))) if group_returning else 1.0
        return min(1.0, limit, capacity_factor * len(self.flows) / max(1.0, self._recent_arrivals()) * even_share)

    def _recent_arrivals(self) -> float:
        """Flows asked for within a ROUND, the older the less."""
        return self.decayed_arrivals * math.exp((self.decayed_arrivals_at - self.now) / SLOT_ROUND)

    def _even_share_factor(self, server: ServerState) -> float:
        """A server's even share over the part of flows it is wanted for: C of the last N, this one counted.
        Whatever the true part w is, the mean of N / C is (1 - (1 - w)^N) / w, so that all balancers together
        let in its even share at most. With five thought in at an even share, 200 that held four each did not
        see that a tenth of all flows were for one server, and it fell over."""
        wanted_count = sum(self._warming_up_target(*spot) is server for spot in self.recent_replicas)
        return server.size / max(self.total_size, server.size) * len(self.recent_replicas) / max(1, wanted_count)

    def _warming_up_target(self, segment: int, replica: int) -> ServerState | None:
        """The one cold server that a segment's flows may come to: its entry, or the first of its order."""
        assigned = self._assigned_server(segment, replica)
        candidates = (server for server in self._preference_order(segment) if self._warming_up(server))
        return assigned if assigned is None or self._warming_up(assigned) else next(candidates, None)

    def _admit_recovering(self, server: ServerState) -> bool:
        """One flow a turn is a crumb of hundreds a second: where the pace brings several it alone counts."""
        capacity_factor = RECOVERY_RATE * 2 ** ((self.now + RECOVERY_TIME - server.recovering_until) / RECOVERY_DOUBLING_TIME)
        own = max(self.first_arrival_rate, self.first_arrivals) / TICK_INTERVAL * capacity_factor * server.size / self.total_size
        if own * SLOT_ROUND <= RECOVERY_SLOT_FACTOR:
            return self._take_slot(server, capacity_factor / RECOVERY_SLOT_FACTOR)
        if self.now < server.last_slot_at + 1 / own:
            return False
        server.last_slot_at = self.now
        return True

    def _take_slot(self, server: ServerState, fraction: float) -> bool:
        """One flow while the turn is this balancer's. Turns pass by own number, each such a part of a round
        as the server bears, in multiples of what a warm one gets. 377 that waited for all left 555 idle."""
        phase = (self.config.instance_index / self.config.instance_count + self.now / SLOT_ROUND) % 1
        if phase >= fraction or self.now < server.last_slot_at + fraction * SLOT_ROUND:
            return False
        server.last_slot_at = self.now
        return True

    def _warming_up(self, server: ServerState) -> bool:
        return server.started_at > 0 and self.now < server.started_at + self.config.slow_start_duration

    def _admits(self, server: ServerState, reconnecting: bool) -> bool:
        """Pace what goes to a cold or jammed server: under several balancers that each think themselves
        alone the one falls over, and a crowd of returning clients never lets the other recover."""
        if self._warming_up(server):
            return self._admit_warming_up(server, reconnecting)
        return server.recovering_until <= self.now or self._admit_recovering(server)

    def _start_recovery(self, server: ServerState, duration: float = RECOVERY_TIME) -> None:
        if server.recovering_until <= self.now:
            server.last_slot_at = self.now
        server.recovering_until, server.timely_setups = max(server.recovering_until, self.now + duration), 0
        self.recently_overloaded[server.id] = server

    # Upkeep

    def _timer_fired(self, event: events.TimerFired) -> None:
        self.actions.append(events.SetTimer(TICK_INTERVAL, "tick"))
        gain = max(RATE_GAIN, 1 / self.ticks)
        self.first_arrival_rate += gain * (self.first_arrivals - self.first_arrival_rate)
        self.arrival_rate += gain * (self.arrivals - self.arrival_rate)
        self.ticks, self.first_arrivals, self.arrivals = self.ticks + 1, 0, 0
        self.failed_connects, self.established_connects, self.reset_connections = (x * (1 - RATE_GAIN) for x in (self.failed_connects, self.established_connects, self.reset_connections))
        if self.config.polls_discovery and not self.subscribed and self.now >= self.subscribe_at:
            self.subscribe_at = self.now + self.config.poll_interval / 2
            self.actions.append(events.Subscribe())
        self.recently_overloaded = {h.id: h for h in self.recently_overloaded.values()
                     if max(h.recovering_until, h.deprioritized_until) > self.now and h.state == events.READY}  # fmt: skip
        for server in self.recently_overloaded.values():
            if server.connections and max(server.overloaded_until, server.confirmed_slow_until) > self.now >= server.migrated_at + MIGRATION_INTERVAL:
                self._migrate_from_overloaded(server)
        if self.lacks_latency_reports:
            self._migrate_to_defaults()
        # Where much of the fleet is jammed, scattered groups cost more than the spill relieves.
        self.spill_depth = SPILL_DEPTH if len(self.recently_overloaded) <= OVERLOADED_FLEET_FRACTION * len(self.ready) else OVERLOADED_SPILL_DEPTH
        if self.lacks_latency_reports or not self.ticks % REBALANCE_TICKS:
            self._rebalance()

    def _migrate_to_defaults(self) -> None:
        """A segment belongs to its default, also one that joined after its connections: with seven
        of twelve servers replaced five old ones held everything, and two were overdriven. Each of many moves
        by chance, the sooner the warmer the server is, so that they do not come as a crowd."""
        for flow in [flow for flow in self.flows.values() if flow.established]:
            server = next(iter(self._preference_order(flow.segment)[flow.replica:]), flow.server)
            fit = max(server.ejected_until, server.overloaded_until, server.recovering_until, server.deprioritized_until) <= self.now
            if server is flow.server or not (server.started_at and fit):
                continue
            # One that was moved but not let in went elsewhere and was moved again, every 4 s, by all.
            # What it lets in is asked of few: for each of thousands it would hold up the tick.
            sample, probability = self.rng.random(), DEFAULT_MIGRATION_RATE * self._capacity_fraction(server)
            if sample < probability and (not self._warming_up(server) or sample < probability * self._warming_up_fraction(server, True)):
                self.overrides.pop((flow.segment, flow.replica), None)
                flow.established = False
                self.actions.append(events.Migrate(flow.request.id))

    def _capacity_fraction(self, server: ServerState) -> float:
        """What part of its full capacity a server that has started has at least."""
        warm_fraction = min(1.0, max(0.0, self.now - server.started_at) / max(self.config.slow_start_duration, 1.0))
        return self.config.slow_start_share + (1 - self.config.slow_start_share) * warm_fraction

    def _migrate_from_overloaded(self, server: ServerState) -> None:
        server.migrated_at = self.now
        migratable = [h for h in server.connections.values() if h.established]
        # A group torn apart is paid for twice: where it can be told in time, the largest leave whole.
        groups = Counter(h.segment for h in migratable if self.config.groups_share_work and self.lacks_latency_reports)
        migratable.sort(key=lambda h: (-groups[h.segment], bool(groups) * h.segment, -h.load, h.request.id))
        fraction = 1 / (1 + len(migratable))
        if self.lacks_latency_reports:
            fraction = max(UNREPORTED_MIGRATION_FRACTION, fraction)
        else:
            # Half of all left where each of many balancers held one: as many as messages are late now.
            fraction = max(MIGRATION_FRACTION, min(fraction, MIGRATION_FRACTION * server.latency / self.overload_latency_threshold))
        fit = []
        if groups:
            # ica69c5: looked for at each of 2,000 moves a second among 251 servers, a third of the CPU.
            fit = [h for h in self.ready if max(h.ejected_until, h.overloaded_until) <= self.now and not self._warming_up(h)]
        for flow in migratable[: int(len(migratable) * fraction + self.rng.random())]:
            self.actions.append(events.Migrate(flow.request.id))
            flow.established = False
            if fit and self._assigned_server(flow.segment, flow.replica) is server:
                self.overrides[flow.segment, flow.replica] = min(fit, key=lambda h: (len(h.connections) / h.size, h.id))

    _handlers = {
        events.EndpointList: _update_endpoints, events.Flow: _flow_requested, events.ExistingConnection: _connection_exists,
        events.Established: _established, events.ConnectionEnded: _connection_ended, events.TimerFired: _timer_fired,
        events.LoadReport: _load_reported, events.LatencyReport: _latency_reported,
        events.ClientDisconnected: lambda self, event: self._finish_flow(self.flows.get(event.id)),
    }  # fmt: skip
