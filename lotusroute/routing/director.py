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

P = 10  # bits: 1024 segments, so that few groups share one; 8 mixed them, 12 gave no more
FILL = 1.4  # mean servers' connections that one server can take: at 40% load, with the cost of a group
UNSURE = 5  # connections: so many of no group at all are thought in, so that chance spreads none
SEEN = 64  # flows asked for, the last, that tell what servers and segments are wanted for: many cost
USUAL = 20  # flows of the usual mix thought in beside them: at 200 balancers each has asked for as many
R = 0.8  # ratio: the paper's value; 0.6 to 0.9 measured alike
FEW = 4  # connections: under this the busiest server is left alone, chance rules such counts
DEPTH = 4  # servers of a segment's order it may spill over: more scatter groups that share work
JAMMED_DEPTH = 2  # the same while much of the fleet is jammed
JAMMED = 0.5  # share of servers: what much of the fleet means; 0.75 cost 0.03 on overloaded days
EXPLAINED = 5_000.0  # ms after a server has left: its clients come back within two, its list is seconds late
DOUBT = 0.75  # share of returning clients that pass by a server of which nothing is known; 0.5 did less
TICK = 1_000.0  # ms: upkeep; as often as servers speak of slow messages
CHECK = 5  # ticks: the design's 5 s between checks; each tick where no server says it is slow
NEW_FOR = 10_000.0  # ms: a new server counts at the mean for so long, its count says nothing yet
ASIDE = 4_000.0  # ms: most of the list's lateness about a dead server, and again half as random part
BAD = 0.45  # share: two failed connects in a row, or one that found nobody
HOT_FOR = 2_500.0  # ms: two and a half of the notes that come once a second
LATE = 3.0  # times the least that is noted: at the whole message target a server is late, from a third slow
NOTED_FOR = 8_000.0  # ms: a server says when its messages are well again, but only over own connections
SLOWER = 2.5  # times the quickest other server's set-up: most of a fleet was slow and its median said nothing
LATELY = 0.5  # share of the average set-up lately that counts like the quickest server's: a crowd slows all
RECENT = 200.0  # ms over which set-ups are averaged: at one every few seconds that is the last two or three
MEMORY = 2.0  # set-ups that the last few are: a mean of twenty hid for seconds that a server was jammed
OWN, ANYWHERE = 1.0, 2.3  # set-ups that weigh on as history, of a server and of all: so few make a mean
SPREAD = 0.25  # of the logarithm of set-ups, mean deviation: thought of before any is measured
SPREAD_GAIN = 0.05  # share: it is averaged over some twenty set-ups anywhere
SURE = 2.0  # times the deviation of what is compared, 1.6 sigma: one in 20 by chance, of those that are signs
WORTH = 1 / 24  # of the least setup target: by so much, added up, set-ups are late before it is a sign
STALL = 100.0  # ms: connects begun within it are one sign, for a stall of ours lengthens all alike
LONE = 0.05  # what is held against a server after three set-ups in a row: under it a late connect is chance
SOUND = 8  # set-ups in time after which a jammed server counts as well: at few a second RECOVERY is less
LAST_LOOK = 8  # servers beside the segment's own that are looked at before a flow is refused
PATIENCE = 2.0  # setup targets: how long one connect may take while others could follow
WAIT = 0.8  # of the time left, where no server says it is slow: the rest serves for one more
FAILING, SPARE = 0.5, 4.0  # failed connects per one that stands, as a cut zone brings; so few say nothing
CUT, CUT_SPARE = 0.25, 1.0  # the same of those failed or cut, for who returns: one in five is a jam
MOVE_EVERY = 2_000.0  # ms: until notes can show what the last moves did
AFTER = 20_000.0  # ms: half of what connections live; filled again at once it jammed again and again
MOVE_SHARE = 0.15  # share of own connections that leave at a time, times how late messages are
UNTOLD = 0.34  # the same where no server says that its messages are slow: what set-ups show is late and large
HOME = 0.2  # share a second of connections that come home to a new server; 0.5 came as a crowd
PACE = 0.5  # times the mean first arrivals that a server jammed just now gets while it recovers
DOUBLING = 4_000.0  # ms without a sign of trouble after which that pace doubles
RECOVERY = 12_000.0  # ms without a sign of trouble until a jammed server counts as well
THOUGHT = 1.0  # flows a tick thought in: a balancer that sees one in three ticks took each for a crowd
ROUND = 3_000.0  # ms: in which the turn at a cold server passes all balancers; the time in which one falls
LUMP = 2.0  # times the mean that one server may be asked for by a large group; 1 broke the rule
COLDEST = 0.05  # share of its capacity that a server is thought to have at least when it starts
CROWD = 4.0  # the same at a jammed one, to which more come than arrive at first; 2 measured alike
RATE_GAIN = 0.1  # share: arrivals are averaged over about ten ticks
BACK_OFF = 500.0  # ms: first wait after a refused call to the list; doubles up to half of ask_every
MIX, MASK = 0xBF58476D1CE4E5B9, (1 << 64) - 1  # the odd multiplier of SplitMix64; any will do
ADVICE = 1_000.0  # ms: a turned-away client stays away about as long as a tick, then news is in


def _word(text: str) -> int:
    return crc32(text.encode()) * MIX & MASK


class _Mean:
    """A running mean of what came within RECENT, or of the last few where little comes."""

    __slots__ = ("value", "weight", "least", "most", "at")

    def __init__(self, value: float, least: float, most: float = math.inf) -> None:
        self.value, self.weight, self.least, self.most, self.at = value, 0.0, least, most, 0.0

    def add(self, now: float, value: float) -> None:
        kept = self.weight * math.exp((self.at - now) / RECENT)
        self.weight = min(max(self.least, kept), self.most - 1) + 1
        self.value += (value - self.value) / self.weight
        self.at = now


class _Host:
    """A server as this balancer knows it."""

    __slots__ = ("id", "word", "zone", "cell", "state", "size", "started", "listed",
                 "open", "bad", "aside", "hot", "turn", "own_turn", "turns", "weak", "moved", "delay",
                 "setup", "last", "mild", "sure", "late", "signs", "sign_at", "sound")  # fmt: skip

    def __init__(self, line: events.Server, now: float) -> None:
        self.id, self.started, self.listed = line.id, line.started, now
        self.state = events.REMOVED  # until its line is read
        self.word = _word(line.id)
        self.open: dict[int, _Held] = {}  # own connections, emptied as each ends
        self.bad = self.aside = self.hot = self.weak = self.moved = self.delay = 0.0
        self.size = 1.0  # what it counts by listed size
        self.setup: _Mean | None = None  # ms that set-ups took
        self.last: _Mean | None = None  # and the last few
        self.mild = self.sure = 0.0  # until when set-ups advise against it, and against staying there
        self.sign_at = 0.0  # when the connect of the last sign was begun
        self.late = 0.0  # ms by which set-ups in a row were late
        self.signs = self.sound = 0  # signs in a row by set-ups; set-ups in time since it was jammed
        self.turn, self.own_turn, self.turns = -math.inf, now, 0  # last flows by turn, while cold or jammed


class _Held:
    """A flow that this balancer has not finished."""

    __slots__ = ("flow", "segment", "tried", "ran", "ran_at", "sent_at", "host", "up", "load", "place")

    def __init__(self, flow: events.Flow, segment: int) -> None:
        self.flow, self.segment = flow, segment
        self.place = 0  # of the segment's servers, the one that is its entry
        self.tried: list[str] = []
        self.ran: _Host | None = None  # where it may have run first, and the time of that connect
        self.host: _Host | None = None
        self.up, self.load, self.ran_at, self.sent_at = False, 0.0, 0.0, 0.0


class Director:
    """One balancer of one virtual ip."""

    def __init__(self, vip: events.ServiceConfig, seed: int) -> None:
        self.vip = vip
        self.untold = not vip.reports_latency  # no server says that its messages are slow, as on sockets
        self.chance = random.Random(seed)
        self.target = min((t.setup_target for t in vip.service_types.values()), default=0.0)
        # By the set-up target where none is told: 28 ms counted as well again beside messages wanted in 50.
        self.slow = (self.target if self.untold else vip.latency_objective or self.target) / 3
        self.late = self.slow * (1 if self.untold else LATE)
        self.now = 0.0
        self.out: list[events.Action] = []
        self.hosts: dict[str, _Host] = {}  # servers listed; gone ones leave with their last connection
        self.ready: list[_Host] = []  # as of the last list
        self.explained = 0.0  # until when returning clients are no news
        self.capacity = self.largest = 1.0  # their sizes added up, and the largest
        self.sick: dict[str, _Host] = {}  # those jammed lately; each leaves when its time is over
        self.orders: dict[int, list[_Host]] = {}  # by segment, 2^P at most; cleared when the list changes
        self.moved: dict[tuple[int, int], _Host] = {}  # overrides; leave with their server or as defaults
        self.counts: dict[int, int] = {}  # own flows by segment; a segment leaves at 0
        self.held: dict[int, _Held] = {}  # flows not finished; each leaves with its end
        self.seen: deque[tuple[int, int]] = deque(maxlen=SEEN)  # segments and places of the last flows
        self.ticks = 0
        self.depth = DEPTH  # of spilling, by the last tick's look at the fleet
        self.failed = self.stood = self.cut = 0.0  # connects that failed (or were not made), stood, were cut
        self.arrived = self.asked = 0  # since the last tick: first arrivals, and all flows
        self.crowd, self.crowd_at = 0.0, 0.0  # what `_came` was at the last flow, and when that was
        self.rate = self.asks = 0.0  # the same a tick
        self.usual: _Mean | None = None  # ms that set-ups take lately, anywhere
        self.spread = SPREAD  # mean deviation of their logarithm
        self.quick: list[_Host] = []  # servers by set-up, the quickest first, as of `quick_at`
        self.quick_at = -math.inf
        self.subscribed, self.refusals, self.ask_at = False, 0, 0.0

    def decide(self, now: float, event: events.Event) -> list[events.Action]:
        """Take one event and return the actions it calls for, in order."""
        self.now, self.out = now, []
        self._on[type(event)](self, event)
        return self.out

    # The server list

    def _server_list(self, event: events.EndpointList) -> None:
        if event.scope == events.REFUSED:
            # A broken subscription goes unnoticed unless renewed; all renewing at once breaks it again.
            self.subscribed = False
            self.refusals += 1
            wait = min(self.vip.poll_interval / 2, BACK_OFF * 2**self.refusals)
            self.ask_at = self.now + self.chance.uniform(0.2, 1.0) * wait
            return
        if not self.ticks:
            self.ticks = 1
            self.out.append(events.SetTimer(self.chance.uniform(0.0, TICK), "tick"))
        elif self.vip.polls_discovery:
            self.subscribed, self.refusals = True, 0
        if event.scope != events.CHANGES:
            listed = {line.id for line in event.servers}
            for host in self.hosts.values():
                if host.id not in listed:
                    host.state = events.REMOVED
        for line in event.servers:
            self._listed(line)
        for host in [h for h in self.hosts.values() if h.state == events.REMOVED and not h.open]:
            del self.hosts[host.id]
        before, self.ready = self.ready, [h for h in self.hosts.values() if h.state == events.READY]
        if self.untold and (not before or any(h.state != events.READY for h in before)):
            # Who comes back now may come from those that left, or from another balancer that died with us.
            self.explained = self.now + EXPLAINED
        self.capacity = sum(h.size for h in self.ready) or 1.0
        self.largest = max((h.size for h in self.ready), default=1.0)
        self.orders.clear()
        self.moved = {s: h for s, h in self.moved.items() if h.state == events.READY}

    def _listed(self, line: events.Server) -> None:
        host = self.hosts.get(line.id)
        if host is None:
            if line.state == events.REMOVED:
                return
            # On sockets those of the first list are not new: one stood idle for 10 s beside 29 connections.
            first = self.untold and self.ticks <= 1
            host = self.hosts[line.id] = _Host(line, self.now)
            host.listed -= NEW_FOR * first
        elif line.started != host.started:
            # Back from the dead: what was held against the old process says nothing of the new one.
            host.started, host.listed = line.started, self.now
            host.bad = host.aside = host.hot = host.weak = host.mild = host.sure = 0.0
            host.setup = host.last = None
            host.signs, host.late = 0, 0.0
            host.turn, host.own_turn, host.turns = -math.inf, self.now, 0
        host.zone, host.cell, host.state = line.zone, line.cell, line.state
        # Squared: a heavy connection and its group's cost are little to a large server, half of a small one.
        host.size = line.size**2 if self.vip.trusts_weights and line.size > 0 else 1.0

    # The design: segments, defaults and moves

    def _segment(self, flow: events.Flow) -> int:
        shared = flow.group if self.vip.groups_share_work else None
        return crc32((shared or flow.key or str(flow.id)).encode()) >> (32 - P)

    def _places(self, segment: int) -> int:
        """Over how many servers of its order a segment is spread. One alone cannot hold a group that is a
        tenth of all flows of 80 servers; what this balancer holds of it tells how large it is."""
        if self.untold and len(self.held) < len(self.ready):
            # Of four flows held none was of the same group: 36 groups stood on the homes of a third of 60
            # servers, the rest idle. What came lately tells more, and beside it how few groups there are.
            counts, asked = Counter(s for s, _ in self.seen), len(self.seen)
            alike = sum(c * (c - 1) for c in counts.values()) / (asked * (asked - 1) + USUAL)
            if alike * len(self.ready) > FILL:  # the usual group is more than one server takes
                part = (counts[segment] + USUAL * alike) / (asked + USUAL)
                return min(1 + int(part * len(self.ready) / FILL), 2 * DEPTH)
        others = (self.counts[segment] - 1) * len(self.ready)
        return min(1 + int(others / (FILL * (len(self.held) + UNSURE))), 2 * DEPTH)

    def _order(self, segment: int) -> list[_Host]:
        """The first of a segment's servers by weighted rendezvous, made when a flow asks for them. Ranking
        all anew for each segment after each list cost 377 balancers on 185 servers five times their CPU."""
        order = self.orders.get(segment)
        if order is None:
            word = _word(str(segment))

            def rank(host: _Host) -> tuple[float, str, _Host]:
                drawn = ((word ^ host.word) * MIX & MASK) + 1
                return -math.log(drawn / (MASK + 2)) / host.size, host.id, host

            # Whoever ranks under `within` hashes to `least` or more; the first are among so many.
            within = 6 * DEPTH / self.capacity
            least = int(MASK * math.exp(-within * self.largest))
            ranks = sorted(rank(h) for h in self.ready if (word ^ h.word) * MIX & MASK >= least)
            if sum(r[0] <= within for r in ranks) < 2 * DEPTH:
                ranks = sorted(map(rank, self.ready))
            order = self.orders[segment] = [r[2] for r in ranks[: 2 * DEPTH]]
        return order

    def _check(self) -> None:
        """Move one segment from the busiest server to the idlest, where their ratio is under R."""
        held = any(len(h.open) >= FEW for h in self.ready)
        old = [h for h in self.ready if held and h.aside <= self.now and h.listed + NEW_FOR <= self.now]
        if len(old) < 2:
            return
        usage = {h.id: len(h.open) / h.size for h in old}
        busiest = max(old, key=lambda h: (usage[h.id], h.id))
        idlest = min(old, key=lambda h: (usage[h.id], h.id))
        if len(busiest.open) < FEW or usage[idlest.id] >= R * usage[busiest.id]:
            return
        gap = (usage[busiest.id] - usage[idlest.id]) / usage[busiest.id] * len(busiest.open) / 2
        own = [s for s in {(x.segment, x.place) for x in busiest.open.values()} if self._entry(*s) is busiest]
        if own:
            spot = min(own, key=lambda spot: (abs(self.counts[spot[0]] - gap), spot))
            self.moved.pop(spot, None)
            if self._entry(*spot) is not idlest:
                self.moved[spot] = idlest

    def _entry(self, segment: int, place: int, overrides: bool = True) -> _Host | None:
        override = self.moved.get((segment, place)) if overrides else None
        return override or next(iter(self._order(segment)[place:]), None)

    # Flows

    def _flow(self, flow: events.Flow) -> None:
        self.asked += 1
        self.crowd, self.crowd_at = 1 + self._came(), self.now
        self.arrived += not (flow.reconnecting or flow.mid_flow)
        self._connect(self._hold(flow))

    def _hold(self, flow: events.Flow) -> _Held:
        held = self.held[flow.id] = _Held(flow, self._segment(flow))
        self.counts[held.segment] = self.counts.get(held.segment, 0) + 1
        held.place = crc32((flow.key or str(flow.id)).encode()) % self._places(held.segment)
        self.seen.append((held.segment, held.place))
        return held

    def _pick(self, held: _Held) -> _Host | None:
        """The segment's entry, or the next in its hash order that is fit for this flow."""
        order = self._order(held.segment)
        entry = self._entry(held.segment, held.place, not held.flow.mid_flow)
        if entry is not None:
            order = [entry, *(host for host in order if host is not entry)]
        hot = aside = doubted = mild = None
        steps, cold_home = self.depth, None
        for host in order:
            # A cold server is no step: when a fleet grew fourfold all four were cold, and flows were refused.
            cold = self._cold(host)
            steps -= not cold
            if steps < 0:
                break
            # What a jammed fleet spills pushes cold servers over: they get the flows of their own segments.
            # Where none tells, the first gets what is spilled too, within that part: two of three stood idle.
            cold_home = cold_home or (host if cold else None)
            only = cold_home if self.untold else entry
            if host.id in held.tried or not self._remembers(held, host) or cold and host is not only:
                continue
            if host.aside > self.now:
                aside = aside or host
            elif host.hot > self.now and not held.flow.mid_flow:
                hot = host
            elif host.mild > self.now and not held.flow.mid_flow:
                mild = mild or host
            elif (held.flow.reconnecting and not held.flow.mid_flow and not host.open and not cold
                  and self.now >= self.explained and self.chance.random() < DOUBT):
                # Where siblings are many, clients cut off by a jammed server are the only news of it. Not
                # when one has left the list: forty that each held next to nothing passed by the defaults of
                # all who came from draining servers, and groups stood on twice as many servers.
                doubted = host
            elif self._turn_taken(host, held.flow.reconnecting):
                return host
        if doubted is not None and self._turn_taken(doubted, held.flow.reconnecting):
            return doubted
        if self.untold and (beside := self._beside(held)) is not None:
            return beside
        if mild is not None and self._turn_taken(mild, held.flow.reconnecting):
            return mild
        if aside is not None and hot is None and self._turn_taken(aside, held.flow.reconnecting):
            return aside
        return None

    def _beside(self, held: _Held) -> _Host | None:
        """A server outside the segment's order, before a flow is refused or goes where signs are: it was
        refused beside idle servers, for all four of its own had a sign."""
        start = int(self.chance.random() * len(self.ready))
        for host in (self.ready[start:start + LAST_LOOK] + self.ready[:min(start, LAST_LOOK)])[:LAST_LOOK]:
            signs = max(host.aside, host.hot, host.weak, host.mild)
            if (signs <= self.now and not self._cold(host) and host.id not in held.tried
                    and self._remembers(held, host)):  # fmt: skip
                return host
        return None

    def _throttled(self, flow: events.Flow) -> bool:
        """Where most connects fail whatever the server, something that all share is down, and further
        tries keep it down: at a jammed session store 36 connects a flow were made, all day."""
        bad, good, part, spare = self.failed, self.stood, FAILING, SPARE
        blind = self.untold and flow.reconnecting and len(self.held) < len(self.ready)
        if blind:  # What was cut came back at once and was cut elsewhere: 370 connects a second, not 105.
            bad, good, part, spare = bad + self.cut, max(0.0, good - self.cut), CUT, CUT_SPARE
        excess = bad - part * good - spare
        if flow.mid_flow or excess <= 0 or self.chance.random() > excess / (bad + good):
            return False
        self.failed += not blind
        return True

    def _remembers(self, held: _Held, host: _Host) -> bool:
        """A referenced flow that may have run goes only where its repeat is known and dropped."""
        if held.ran is None:
            return True
        kind = self.vip.service_types[held.flow.service_type]
        if kind.effect != events.IDEMPOTENCY_KEY:
            return kind.effect != events.NON_IDEMPOTENT
        same = {"zone": host.zone == held.ran.zone, "cell": host.cell == held.ran.cell}
        known = same.get(kind.dedup_scope, kind.dedup_scope == "all")
        return self.now < held.ran_at + kind.dedup_window and known

    def _connect(self, held: _Held) -> None:
        flow, host = held.flow, None
        if len(held.tried) < self.vip.max_attempts and self.now < flow.deadline and not self._throttled(flow):
            host = self._pick(held)
        if host is None:
            self._give_up(held)
            return
        left = flow.deadline - self.now
        if len(held.tried) + 1 >= self.vip.max_attempts:
            within = 0.0
        elif self.untold:
            # A shared store that took 1.5 s had all give up and call again: it never emptied, none was up.
            # Where a server does not come up at all, the host ends the connect sooner.
            within = WAIT * left
        else:
            within = min(left / 2, PATIENCE * self.vip.service_types[flow.service_type].setup_target)
        held.tried.append(host.id)
        held.sent_at, held.host = self.now, host
        host.open[flow.id] = held
        self.out.append(events.Connect(flow.id, host.id, within))

    def _give_up(self, held: _Held) -> None:
        kind = self.vip.service_types[held.flow.service_type]
        if kind.safe_to_retry(held.ran is not None):
            self.out.append(events.Reject(held.flow.id, min(self.vip.max_retry_after, ADVICE)))
        else:
            self.out.append(events.Abort(held.flow.id))
        self._finish(held)

    def _finish(self, held: _Held | None) -> None:
        if held is None or self.held.pop(held.flow.id, None) is None:
            return
        self.counts[held.segment] -= 1
        if not self.counts[held.segment]:
            del self.counts[held.segment]
        if held.host is not None:
            held.host.open.pop(held.flow.id, None)

    def _already_open(self, event: events.ExistingConnection) -> None:
        held = self._hold(event.flow)
        host = held.host = self.hosts.get(event.server)
        held.up = True
        if host is not None:
            host.open[event.flow.id] = held
            if self.vip.groups_share_work and host.state == events.READY:
                # Groups that stood elsewhere than their defaults were paid for twice: 12 places became 25.
                self.moved[held.segment, held.place] = host

    def _established(self, event: events.Established) -> None:
        if (held := self.held.get(event.id)) is not None:
            held.up = True
            self.stood += 1
            if held.host is not None:
                self._set_up(held.host, held)

    def _ended(self, event: events.ConnectionEnded) -> None:
        held = self.held.get(event.id)
        if held is None:
            return
        host = held.host
        self.failed += not held.up and event.result != events.OK
        self.cut += held.up and event.result == events.RESET
        if host is not None:
            self._judge(host, held, event.result)
            host.open.pop(event.id, None)
        if event.final:
            self._finish(held)
            return
        if event.result not in events.NEVER_RAN and held.ran is None:
            held.ran, held.ran_at = host, held.sent_at
        self._connect(held)

    # The health of servers

    def _judge(self, host: _Host, held: _Held, result: str) -> None:
        if result == events.OK:
            host.bad *= 0.5
        elif result == events.FULL:
            self._weaken(host)
            host.hot = max(host.hot, self.now + TICK)
        elif result == events.UNREACHABLE:
            # Silent death shows in connects long before the list tells of it.
            self._blame(host, 0.6)
        elif result in (events.ERROR, events.TIMEOUT, events.RESET):
            # Many connections cut at once: the process is gone. One cut now and then: it sheds load.
            cut = result == events.RESET and held.up
            if cut or result == events.TIMEOUT and not self._lone(host):
                self._weaken(host)
            self._blame(host, 0.15 if cut else 0.3)

    def _lone(self, host: _Host) -> bool:
        """Whether many connects stood just now beside one that took too long: one in 28 had sound servers
        paced for 12 s, and three of four flows refused."""
        return host.bad < LONE and host.setup is not None and host.setup.at + TICK > self.now

    def _set_up(self, host: _Host, held: _Held) -> None:
        """Where no server tells that its messages are slow, one stood overdriven beside idle ones for 15 s.
        Its set-ups took two to four times the others'. But a bare ratio of set-ups of 1 to 8 ms, which chance
        and our own scheduling make, had more than half of the flows refused by idle servers. So the ratio has
        to stand out of the spread measured, by how many set-ups there are, and to matter for the target.
        One sign steers new flows past; a second in a row, of a later connect, refuses and moves."""
        took, host.bad = self.now - held.sent_at, host.bad * 0.5
        self.usual = self.usual or _Mean(took, ANYWHERE, ANYWHERE + 1)
        usual = self.usual.value
        self.usual.add(self.now, took)
        if host.setup is None:
            host.setup, host.last = _Mean(usual, OWN), _Mean(usual, OWN, MEMORY)
        off = abs(math.log(max(took, 1e-3) / max(host.last.value, 1e-3)))
        self.spread += SPREAD_GAIN * (min(1.0, off) - self.spread)
        host.setup.add(self.now, took)
        host.last.add(self.now, took)
        if not self.untold or self._cold(host):
            return
        quick = self._quickest(host)
        if quick is None:
            return
        least = max(LATELY * usual, quick.value, 1e-3)
        slow = min(took, host.last.value)
        if slow <= least * SLOWER:
            host.late, host.signs = 0.0, host.signs if host.mild > self.now else 0
            host.sound += 1
            host.weak = min(host.weak, self.now) if host.sound >= SOUND else host.weak
            return
        host.late += slow - least
        if host.late < WORTH * self.target:
            return
        if not host.signs or held.sent_at >= host.sign_at + STALL:
            host.signs, host.sign_at = host.signs + 1, held.sent_at
        host.mild = self.now + HOT_FOR
        self.sick[host.id] = host
        doubt = math.exp(SURE * self.spread * math.sqrt(1 / host.setup.weight + 1 / quick.weight))
        sure = host.setup.value > least * max(SLOWER, doubt)
        if host.setup.value > max(least * SLOWER, least + WORTH * self.target) and (sure or host.signs > 1):
            host.sure = host.mild
            if sure and host.signs > 1:
                host.hot = max(host.hot, host.mild)
                self._weaken(host, HOT_FOR)

    def _quickest(self, host: _Host) -> _Mean | None:
        """Set-ups of the quickest other server, of many the one that an eighth are quicker than: the least of
        many small samples is luck. Worked out anew after a ms a server, so that its cost does not grow."""
        if self.now >= self.quick_at + len(self.ready):
            usual = self.usual.value
            self.quick = sorted(self.ready, key=lambda h: (h.setup.value if h.setup else usual, h.id))
            self.quick_at = self.now
        others = [h for h in self.quick[: len(self.quick) // 8 + 2] if h is not host]
        return (others[min(len(self.quick) // 8, len(others) - 1)].setup or self.usual) if others else None

    def _blame(self, host: _Host, weight: float) -> None:
        host.bad += weight * (1 - host.bad)
        if host.bad >= BAD and host.aside <= self.now:
            host.aside = self.now + ASIDE + self.chance.uniform(0.0, ASIDE / 2)
            self.out.append(events.OutlierEjected(host.id))

    def _load_noted(self, event: events.LoadReport) -> None:
        if (held := self.held.get(event.id)) is not None:
            held.load = event.load

    def _delay_noted(self, event: events.LatencyReport) -> None:
        """Slow steers new flows past while others serve, late refuses and moves: with one grade for both a
        full fleet moved all day. One that is well again stays slow to us while what filled it leaves."""
        if (host := self.hosts.get(event.server)) is None:
            return
        until, host.delay = self.now + NOTED_FOR, event.delay
        host.mild = until if event.delay >= self.slow else 0.0 if self.untold else self.now + AFTER
        host.hot = until if event.delay >= self.late else 0.0
        if host.hot:
            self._weaken(host)
        elif host.mild:
            self.sick[host.id] = host

    def _cold_turn(self, host: _Host, returned: bool) -> bool:
        """Its own part of the budget, which with few balancers is most of what a crowd leaves, or a turn."""
        if self.untold:
            return self._turn(host, self._filling(host, returned))
        bears = self.vip.slow_start_burst * self._share(host)
        pace = self.rate * self.vip.instance_count / TICK * bears * host.size / max(self.capacity, host.size)
        number = self.vip.instance_count if host.turns else self.vip.instance_index + 1
        if self.now >= host.own_turn + number / max(pace, 1e-9):
            host.own_turn = self.now
            host.turns += 1
            return True
        # A group asks as much of a small server: 25 flows in a second had one of two cores fall over.
        turn = bears / LUMP * (host.size * len(self.ready) / max(self.capacity, host.size))
        if returned:
            turn *= (self.rate + THOUGHT) / (max(self.asks, self.asked, self.rate) + THOUGHT)
        return self._turn(host, turn)

    def _filling(self, host: _Host, returned: bool) -> float:
        """What part of the flows for a cold server is let in: as much as the rule lets it bear, at its
        coldest what fills a mean server over the warm-up, more the warmer it is. However fast flows come, a
        balancer adds up to its part of that within a ROUND: the part falls as they do. What a server that
        leaves held may be one group, back at once: by 20 balancers, with a flow each, its home fell."""
        warm = max(self.vip.slow_start_share, COLDEST) * max(self.vip.slow_start_duration, 1.0)
        even, bears = self._even(host), self.vip.slow_start_burst * self._share(host) * ROUND / warm
        whole = returned and self.vip.groups_share_work and self.now < self.explained
        most = bears / LUMP * min(1.0, even * max(1.0, len(self.ready) / len(self.seen))) if whole else 1.0
        return min(1.0, most, bears * len(self.held) / max(1.0, self._came()) * even)

    def _came(self) -> float:
        """Flows asked for within a ROUND, the older the less."""
        return self.crowd * math.exp((self.crowd_at - self.now) / ROUND)

    def _even(self, host: _Host) -> float:
        """A server's even share over the part of flows it is wanted for: C of the last N, this one counted.
        Whatever the true part w is, the mean of N / C is (1 - (1 - w)^N) / w, so that all balancers together
        let in its even share at most. With five thought in at an even share, 200 that held four each did not
        see that a tenth of all flows were for one server, and it fell over."""
        wanted = sum(self._cold_home(*spot) is host for spot in self.seen)
        return host.size / max(self.capacity, host.size) * len(self.seen) / max(1, wanted)

    def _cold_home(self, segment: int, place: int) -> _Host | None:
        """The one cold server that a segment's flows may come to: its entry, or the first of its order."""
        entry = self._entry(segment, place)
        homes = (host for host in self._order(segment) if self._cold(host))
        return entry if entry is None or self._cold(entry) else next(homes, None)

    def _jammed_turn(self, host: _Host) -> bool:
        """One flow a turn is a crumb of hundreds a second: where the pace brings several it alone counts."""
        bears = PACE * 2 ** ((self.now + RECOVERY - host.weak) / DOUBLING)
        own = max(self.rate, self.arrived) / TICK * bears * host.size / self.capacity
        if own * ROUND <= CROWD:
            return self._turn(host, bears / CROWD)
        if self.now < host.turn + 1 / own:
            return False
        host.turn = self.now
        return True

    def _turn(self, host: _Host, turn: float) -> bool:
        """One flow while the turn is this balancer's. Turns pass by own number, each such a part of a round
        as the server bears, in multiples of what a warm one gets. 377 that waited for all left 555 idle."""
        passed = (self.vip.instance_index / self.vip.instance_count + self.now / ROUND) % 1
        if passed >= turn or self.now < host.turn + turn * ROUND:
            return False
        host.turn = self.now
        return True

    def _cold(self, host: _Host) -> bool:
        return host.started > 0 and self.now < host.started + self.vip.slow_start_duration

    def _turn_taken(self, host: _Host, returned: bool) -> bool:
        """Pace what goes to a cold or jammed server: under several balancers that each think themselves
        alone the one falls over, and a crowd of returning clients never lets the other recover."""
        if self._cold(host):
            return self._cold_turn(host, returned)
        return host.weak <= self.now or self._jammed_turn(host)

    def _weaken(self, host: _Host, lasts: float = RECOVERY) -> None:
        if host.weak <= self.now:
            host.turn = self.now
        host.weak, host.sound = max(host.weak, self.now + lasts), 0
        self.sick[host.id] = host

    # Upkeep

    def _wake(self, event: events.TimerFired) -> None:
        self.out.append(events.SetTimer(TICK, "tick"))
        gain = max(RATE_GAIN, 1 / self.ticks)
        self.rate += gain * (self.arrived - self.rate)
        self.asks += gain * (self.asked - self.asks)
        self.ticks, self.arrived, self.asked = self.ticks + 1, 0, 0
        self.failed, self.stood, self.cut = (x * (1 - RATE_GAIN) for x in (self.failed, self.stood, self.cut))
        if self.vip.polls_discovery and not self.subscribed and self.now >= self.ask_at:
            self.ask_at = self.now + self.vip.poll_interval / 2
            self.out.append(events.Subscribe())
        self.sick = {h.id: h for h in self.sick.values()
                     if max(h.weak, h.mild) > self.now and h.state == events.READY}  # fmt: skip
        for host in self.sick.values():
            if host.open and max(host.hot, host.sure) > self.now >= host.moved + MOVE_EVERY:
                self._move_off(host)
        if self.untold:
            self._go_home()
        # Where much of the fleet is jammed, scattered groups cost more than the spill relieves.
        self.depth = DEPTH if len(self.sick) <= JAMMED * len(self.ready) else JAMMED_DEPTH
        if self.untold or not self.ticks % CHECK:
            self._check()

    def _go_home(self) -> None:
        """A segment belongs to its default, also one that joined after its connections: with seven
        of twelve servers replaced five old ones held everything, and two were overdriven. Each of many moves
        by chance, the sooner the warmer the server is, so that they do not come as a crowd."""
        for held in [held for held in self.held.values() if held.up]:
            host = next(iter(self._order(held.segment)[held.place:]), held.host)
            fit = max(host.aside, host.hot, host.weak, host.mild) <= self.now
            if host is held.host or not (host.started and fit):
                continue
            # One that was moved but not let in went elsewhere and was moved again, every 4 s, by all.
            # What it lets in is asked of few: for each of thousands it would hold up the tick.
            drawn, chance = self.chance.random(), HOME * self._share(host)
            if drawn < chance and (not self._cold(host) or drawn < chance * self._filling(host, True)):
                self.moved.pop((held.segment, held.place), None)
                held.up = False
                self.out.append(events.Migrate(held.flow.id))

    def _share(self, host: _Host) -> float:
        """What part of its full capacity a server that has started has at least."""
        warm = min(1.0, max(0.0, self.now - host.started) / max(self.vip.slow_start_duration, 1.0))
        return self.vip.slow_start_share + (1 - self.vip.slow_start_share) * warm

    def _move_off(self, host: _Host) -> None:
        host.moved = self.now
        able = [h for h in host.open.values() if h.up]
        # A group torn apart is paid for twice: where it can be told in time, the largest leave whole.
        groups = Counter(h.segment for h in able if self.vip.groups_share_work and self.untold)
        able.sort(key=lambda h: (-groups[h.segment], bool(groups) * h.segment, -h.load, h.flow.id))
        share = 1 / (1 + len(able))
        if self.untold:
            share = max(UNTOLD, share)
        else:
            # Half of all left where each of many balancers held one: as many as messages are late now.
            share = max(MOVE_SHARE, min(share, MOVE_SHARE * host.delay / self.late))
        fit = []
        if groups:
            # ica69c5: looked for at each of 2,000 moves a second among 251 servers, a third of the CPU.
            fit = [h for h in self.ready if max(h.aside, h.hot) <= self.now and not self._cold(h)]
        for held in able[: int(len(able) * share + self.chance.random())]:
            self.out.append(events.Migrate(held.flow.id))
            held.up = False
            if fit and self._entry(held.segment, held.place) is host:
                self.moved[held.segment, held.place] = min(fit, key=lambda h: (len(h.open) / h.size, h.id))

    _on = {
        events.EndpointList: _server_list, events.Flow: _flow, events.ExistingConnection: _already_open,
        events.Established: _established, events.ConnectionEnded: _ended, events.TimerFired: _wake,
        events.LoadReport: _load_noted, events.LatencyReport: _delay_noted,
        events.ClientDisconnected: lambda me, event: me._finish(me.held.get(event.id)),
    }  # fmt: skip
