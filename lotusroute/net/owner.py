"""The one owner of the decisions.

Owns the Director, its clock and timers, and what happens to every flow in hand. Sockets only put events into
its queue; it alone calls `decide` and hands out the actions. It must never read or write a socket
itself, nor decide where a flow goes.
"""

import logging
import math
import random
import time
from collections import deque
from statistics import median
from typing import NamedTuple

from twisted.internet import reactor

from lotusroute.net.config import BalancerConfig
from lotusroute.net.downstream import DownstreamClosed, DownstreamConnection, FlowRequested
from lotusroute.net.endpoint_list import EndpointUpdate
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.line_protocol import BUSY, ERR
from lotusroute.net.open_request import OpenRequest
from lotusroute.net.structured_log import LOGGER, log_event, log_exception
from lotusroute.net.upstream import (
    AttemptEnded,
    AttemptStage,
    LoadReported,
    ReceiptReceived,
    ReplyTimed,
    UpstreamAttempt,
)
from lotusroute.routing import events
from lotusroute.routing.director import Director

MARGIN = 40.0  # ms before a flow's connect timeout by which it is answered: what a busy core may hold us up
MARGIN_SHARE = 0.25  # of a short wait, which must leave time to serve
LOOK = 1_000.0  # ms between looks at open connections; servers are judged slow by the second
SILENT = 2_500.0  # ms without a line though one waits: sound servers answer at once, clients bear 7 s
QUIET = 60_000.0  # ms without a line from a client, who should send one every 2 s: its machine is gone
GOING = 2_000.0  # ms for a server to end a connection that its client has left
RESERVE = 8, 64  # part of the descriptors, and the least, kept from flows: our own, and newcomers'
BASE = 32  # MB that the program takes by itself: 24 measured, and the interpreter's growth
FLOW = 1 / 16  # MB that a flow may take: what both its sides may hold, read and unwritten, and its objects
QUEUE = 4096  # events that may wait before newcomers are rejected unseen: some 100 ms of work
CLOSED_FLOW_ID_TTL = (
    60_000.0  # ms that an id stays known after its flow: servers hold it open as long as any client
)
IDS = 20_000  # ended flows whose ids are known at most: some 3 MB
AGAIN = 1_000.0  # ms before a standing connection that found no server is tried again
STAND = 8_000.0  # ms that its server has to take it back; the start is the busiest time of all
STAND_FROM = 60_000.0  # ms from our start in which they come; later such lines are made up, and took any room
STAND_LONGEST = 35_000.0  # ms until it is given up; it counts as lost after 40 s
FULL_ADVICE = 1_000.0  # ms for a newcomer who finds no descriptor left: connections end by the second
STOP_MOVES = 450.0  # ms after the order to stop: until then the front sends newcomers, moved ones too
STOP_SPREAD = 1_300.0  # ms over which clients are moved then, so that the others see no crowd
DRAIN_SPREAD = 1_000.0  # ms over which the clients of a draining server are moved: it leaves within seconds
STEP = 50.0  # ms between groups of clients that are moved
STOP_STAY = 900.0  # ms that we stay at least: newcomers come for 400, and later still on a busy core
STOP_LONGEST = 3_000.0  # ms: the longest connect timeout that is waited for before the kill
STOP_REST = 350.0  # ms of the 700 beyond it after which nothing more may be in hand
STOP_FLUSH = 200.0  # ms between the last answer and the end, in which it is written and read
STOP_ADVICE = 400.0  # ms after which a newcomer meets the others: the front has heard by then


class AttemptTimedOut(NamedTuple):
    """A connect's time is up."""

    flow_id: int
    attempt: UpstreamAttempt


class RetryExisting(NamedTuple):
    """A standing connection is to be tried once more."""

    flow_id: int


class CloseGraceExpired(NamedTuple):
    """A server has had its time to end a connection whose client has left."""

    flow_id: int


class PeriodicCheck(NamedTuple):
    """It is time to look at the open connections."""


class DrainStep(NamedTuple):
    """It is time to move the next clients whose server, or whose balancer, leaves."""


class Owner:
    """The task that owns the Director."""

    def __init__(self, posting: BalancerConfig, counters) -> None:
        self.posting, self.counters = posting, counters
        self.director = Director(posting.vip, posting.seed)
        self.chance = random.Random(posting.seed + 1)  # its own row: what is drawn here shifts no decision
        # Unix time, as servers' starts are told in it and balancers take turns by it, but steady.
        self.epoch = time.time() * 1000 - time.monotonic() * 1000
        self.began = self.clock()
        self.queue: deque = deque()  # bounded: newcomers are rejected beyond QUEUE, others are few a flow
        self.running = False
        self.flows: dict[int, ActiveFlow] = {}  # in hand; each leaves with its answer or its connection's end
        self.ids: set[str] = set()  # of the flows in hand and those ended lately; leave with `ended`
        self.ended: deque[tuple[float, str]] = deque()  # ids with their ends; each leaves after REMEMBERED
        self.next = 0
        self.dials: dict[str, tuple[str, int]] = {}  # leave with their server
        self.delays: dict[str, list[float]] = {}  # answers timed since the last look, which empties it
        self.slow: set[str] = set()  # servers noted as slow; leave when noted as well again, or gone
        self.room = 1
        self.allow(posting)
        self.draining: dict[str, float] = {}  # when their clients shall be gone; leave by the list
        self.stepping = False
        self.stopping = 0.0
        self.busy = 0.0  # ms after the order to stop when flows were last in hand
        self.stopped = None  # called when all are gone
        self.owing = bool  # whether clients without a flow are owed something yet
        self.relist = None  # asks discovery for the whole list again
        self._later(LOOK, PeriodicCheck())

    def clock(self) -> float:
        """Milliseconds of Unix time, never going back."""
        return self.epoch + time.monotonic() * 1000

    def ready(self) -> bool:
        """Whether flows can be taken."""
        return bool(self.dials) and not self.stopping

    def allow(self, posting: BalancerConfig) -> None:
        """Take flows for the descriptors and the memory that are told."""
        sockets = (posting.sockets - max(RESERVE[1], posting.sockets // RESERVE[0])) // 2
        self.room = max(1, min(sockets, int((posting.memory_mb - BASE) / FLOW)))

    # The queue

    def put(self, event: object) -> None:
        """Take an event; this is the only way in."""
        self.queue.append(event)
        if not self.running:
            self.running = True
            reactor.callLater(0, self._run)

    def _run(self) -> None:
        while self.queue:
            event = self.queue.popleft()
            try:
                self._on[type(event)](self, event)
            except Exception:
                # A fault over one event must not take the others with it.
                self._failed(event, getattr(event, "flow_id", 0))
        self.running = False

    def _failed(self, event: object, number: int) -> None:
        self.counters["internal_errors"] += 1
        log_exception("event failed", kind=type(event).__name__)
        self._forget(number)
        if isinstance(event, events.TimerFired | DrainStep):
            # Without its next one the upkeep, or our end, would stand still for good.
            self._later(STEP if isinstance(event, DrainStep) else LOOK, event)
        elif isinstance(event, FlowRequested) and not event.flow_id:
            event.connection.send_final_answer(ERR)
        elif isinstance(event, EndpointUpdate) and self.relist is not None:
            # Half of it may have been taken, a drain not: it does not come again by itself.
            self.relist()

    def _forget(self, number: int) -> None:
        """Answer a flow over which something broke, so that it is not lost."""
        held = self.flows.get(number)
        if held is not None:
            self._drop(held)
            self._hang_up(held)
            if held.up:
                held.client.send_migrate()
            else:
                held.client.send_final_answer(ERR)
            self.put(events.ClientDisconnected(number))

    def _drop(self, held: ActiveFlow) -> None:
        """A flow is answered, or its connection over. Only those who copied its id use it again."""
        del self.flows[held.number]
        self.ended.append((self.clock(), held.opening.id))

    def _later(self, ms: float, event: object):
        return reactor.callLater(max(0.0, ms) / 1000, self.put, event)

    def _decide(self, event: events.Event) -> None:
        for action in self.director.decide(self.clock(), event):
            try:
                self._do[type(action)](self, action)
            except Exception:
                # The others are owed all the same: the decisions count on them.
                self._failed(action, getattr(action, "id", 0))

    # What comes in

    def _asked(self, event: FlowRequested) -> None:
        opening, side = event.request, event.connection
        if side.disconnected or side.has_disconnected():
            # Nothing is begun for it: hundreds who had left unread filled a server's queue.
            self.counters["client_disconnects"] += 1
        elif self._unusable(opening) or (opening.existing_server and self.clock() > self.began + STAND_FROM):
            side.reject_malformed()
        elif self.stopping:
            self._turn_away(side, STOP_ADVICE)
        elif not opening.existing_server and (len(self.flows) >= self.room or len(self.queue) > QUEUE):
            self._turn_away(side, FULL_ADVICE)
        else:
            self.next += 1
            self.ids.add(opening.id)
            due = event.received_at + opening.wait - min(MARGIN, MARGIN_SHARE * opening.wait)
            kind = self.posting.vip.service_types[opening.service_type]
            held = self.flows[self.next] = ActiveFlow(self.next, opening, kind, due, side)
            side.flow_id = held.number
            self._trace(
                "flow requested",
                held,
                c=opening.service_type,
                g=opening.group,
                returned=opening.reconnecting,
                at=opening.existing_server,
            )
            if opening.existing_server:
                held.due = min(held.due, event.received_at + STAND_LONGEST)
                self._stand(held)
            else:
                self._decide(self._flow(held))

    def _unusable(self, opening: OpenRequest) -> bool:
        """Whether no server could use it. The id of an open flow, sent by another client, had servers answer
        ERR to healthy flows' namesakes, and the servers set aside for it."""
        tenants, tenant = self.posting.tenants, opening.tenant
        unknown = opening.service_type not in self.posting.vip.service_types
        return unknown or opening.id in self.ids or bool(tenants and tenant and tenant not in tenants)

    def _flow(self, held: ActiveFlow) -> events.Flow:
        o = held.opening
        return events.Flow(
            held.number, o.service_type, o.tenant, o.group, o.key, held.due, reconnecting=o.reconnecting
        )

    def _turn_away(self, side: DownstreamConnection, advice: float) -> None:
        self.counters["load_shed"] += 1
        side.send_final_answer(self._busy(advice))

    def _busy(self, advice: float) -> bytes:
        """A refusal, with the ms after which to come again where that may be said."""
        advice = round(min(advice, self.posting.vip.max_retry_after))
        return b"%b %d" % (BUSY, advice) if advice > 0 else BUSY

    def _stand(self, held: ActiveFlow) -> None:
        """A connection that stood before we started goes to its server, undecided."""
        if held.opening.existing_server in self.dials:
            held.tries += 1
            self._begin(held, held.opening.existing_server, min(held.due, self.clock() + STAND))
        else:
            self._stand_again(held)

    def _stand_again(self, held: ActiveFlow) -> None:
        if held.tries >= self.posting.vip.max_attempts or self.clock() + AGAIN >= held.due:
            self.counters["existing_connections_lost"] += 1
            self._answer(held, ERR)
        else:
            self._later(AGAIN * max(1, held.tries), RetryExisting(held.number))

    def _again(self, event: RetryExisting) -> None:
        held = self.flows.get(event.flow_id)
        if held is not None and not held.up:
            self._stand(held)

    def _begin(self, held: ActiveFlow, server: str, until: float) -> None:
        if held.client.has_disconnected():
            # Its end lay unread behind its own lines when an earlier connect failed: the next was begun.
            self._left(DownstreamClosed(held.number))
            return
        now = held.began = self.clock()
        wait = until - now
        link = held.link = UpstreamAttempt(
            held.number,
            server,
            held.opening.rewritten(wait),
            self.put,
            self.clock,
            self.counters,
            may_send=lambda: held.may_send(self.clock(), self.posting.grace),
        )
        limit = self.posting.come_up
        held.until = until
        link.connect(self.dials[server], wait < limit)
        held.timer = self._later(min(limit, wait), AttemptTimedOut(held.number, link))
        self.counters["connects"] += 1
        self._trace("connect started", held, server=server, wait=wait)

    def _answered(self, event: ReceiptReceived) -> None:
        held = self.flows.get(event.flow_id)
        if held is None or held.link is not event.attempt:
            self.counters["late_receipts"] += 1
            event.attempt.abort()
            return
        if held.client.disconnected:
            # It broke off in the turn in which the receipt came; its `DownstreamClosed` is queued behind this.
            self._left(DownstreamClosed(held.number))
            return
        self._quiet(held)
        held.up = True
        self.counters["established"] += 1
        server = event.attempt.server
        self._trace("established", held, server=server, ms=self.clock() - held.began)
        held.client.attach_upstream(event.attempt, event.receipt)
        if server in self.draining:
            self._step_on()
        if held.opening.existing_server:
            self._decide(events.ExistingConnection(self._flow(held), server))
        else:
            self._decide(events.Established(held.number, server))

    def _fell(self, event: AttemptEnded) -> None:
        held = self.flows.get(event.flow_id)
        if held is None or held.link is not event.attempt:
            return
        self._ended(held, event.result)

    def _overdue(self, event: AttemptTimedOut) -> None:
        """The time to come up, or all time, has passed. That comes through the queue, behind whatever the
        sockets brought while we were held up: a stall of ours must not have healthy servers set aside."""
        held, link = self.flows.get(event.flow_id), event.attempt
        if held is None or held.link is not link or link.stage >= AttemptStage.ESTABLISHED:
            return
        left = held.until - self.clock()
        if link.stage > AttemptStage.CONNECTING and left > 0:
            held.timer = self._later(left, event)
        else:
            self._ended(held, link.abort())

    def _ended(self, held: ActiveFlow, result: str) -> None:
        """A connect, or the connection that came of it, is over."""
        self._quiet(held)
        server, came, held.link = held.link.server, held.link.final_stage.log_name, None
        self.counters[f"ended_{result}"] += 1
        self._trace("connection ended", held, server=server, result=result, came=came)
        if held.up:
            self._drop(held)
            self._decide(events.ConnectionEnded(held.number, server, True, result))
            return
        held.over(result)
        if held.opening.existing_server:
            if result in events.NEVER_RAN or held.kind.effect == events.IDEMPOTENT:
                self._stand_again(held)
            else:
                self.counters["existing_connections_lost"] += 1
                self._answer(held, ERR)
        else:
            self._decide(events.ConnectionEnded(held.number, server, False, result))
            if held.link is None and held.number in self.flows:
                raise RuntimeError("flow left without a connect or an answer")

    def _left(self, event: DownstreamClosed) -> None:
        held = self.flows.get(event.flow_id)
        if held is None:
            return
        if held.up:
            # Its server ends it now, or has ended it; one that is gone never will.
            if not held.left:
                held.left = self.clock()
                held.timer = self._later(GOING, CloseGraceExpired(held.number))
            return
        self.counters["client_disconnects"] += 1
        self._trace("client disconnected", held, server=held.link and held.link.server)
        self._drop(held)
        self._hang_up(held)
        held.client.send_final_answer(ERR)
        if not held.opening.existing_server:
            self._decide(events.ClientDisconnected(held.number))

    def _gone(self, event: CloseGraceExpired) -> None:
        held = self.flows.get(event.flow_id)
        if held is not None:
            held.link.abort()
            held.client.half_close()
            self._ended(held, events.CANCELLED)

    def _loaded(self, event: LoadReported) -> None:
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event("load report", logging.DEBUG, flow=event.flow_id, load=event.load)
        if event.flow_id in self.flows:
            self._decide(events.LoadReport(event.flow_id, event.load))

    def _timed(self, event: ReplyTimed) -> None:
        self.delays.setdefault(event.server, []).append(event.delay)

    def _listed(self, event: EndpointUpdate) -> None:
        self.counters["endpoint_updates"] += 1
        if event.scope != events.CHANGES:
            self.dials.clear()
        for server in event.servers:
            if server.state == events.REMOVED:
                self.dials.pop(server.id, None)
            if server.state != events.DRAINING:
                self.draining.pop(server.id, None)
            elif server.id not in self.draining:
                # Not every server sends its clients away; those it still holds when it leaves are cut off.
                self.draining[server.id] = self.clock() + DRAIN_SPREAD
                self._step_on()
        self.dials.update(event.dials)
        self.slow &= self.dials.keys()
        self.draining = {s: until for s, until in self.draining.items() if s in self.dials}
        if LOGGER.isEnabledFor(logging.DEBUG):
            for server in event.servers:
                log_event(
                    "endpoint update",
                    logging.DEBUG,
                    scope=event.scope,
                    server=server.id,
                    state=server.state,
                    at=server.started,
                    cell=server.cell,
                )
        self._decide(events.EndpointList(event.scope, event.servers))
        self._withdraw()

    def _withdraw(self) -> None:
        """Connects that have not come up are not for servers that take nothing new: one that came up late
        wrote its first byte when the grace was over. Standing connections go where they stood."""
        for held in list(self.flows.values()):
            link = held.link
            if link is None or link.stage != AttemptStage.CONNECTING or held.opening.existing_server:
                continue
            if link.server in self.draining or link.server not in self.dials:
                self.counters["connects_cancelled"] += 1
                link.abort()
                self._ended(held, events.UNSENT)

    # The look at open connections

    def _look(self, _: PeriodicCheck) -> None:
        """Note slow servers, as the decisions expect it: once a second while it lasts, and once after."""
        self._later(LOOK, PeriodicCheck())
        now, silent, quiet = self.clock(), [], []
        while self.ended and (self.ended[0][0] < now - CLOSED_FLOW_ID_TTL or len(self.ended) > IDS):
            self.ids.discard(self.ended.popleft()[1])
        for held in self.flows.values():
            if not held.up or held.link is None:
                continue
            waited = held.link.oldest_wait(now)
            if waited >= self.director.slow:
                self.delays.setdefault(held.link.server, []).append(waited)
            if held.link.server_silence(now) >= SILENT:
                silent.append(held)
            elif held.link.client_idle_time(now) >= QUIET:
                quiet.append(held)
        for server, delays in self.delays.items():
            delay = median(delays)
            if delay >= self.director.slow:
                self.slow.add(server)
            elif server in self.slow:
                self.slow.discard(server)
            else:
                continue
            self.counters["latency_reports"] += 1
            log_event("server slow", logging.DEBUG, server=server, delay=delay, of=len(delays))
            self._decide(events.LatencyReport(server, delay))
        self.delays = {}
        for held in quiet:
            self._move(events.Migrate(held.number))
        for held in silent:
            # A machine that vanished says nothing, and TCP does not notice.
            self.counters["unresponsive_connections"] += 1
            held.link.abort()
            held.client.send_migrate()
            self._ended(held, events.RESET)

    # What is to be done

    def _connect(self, action: events.Connect) -> None:
        held = self.flows.get(action.id)
        if held is None or held.up or held.link is not None:
            return
        if action.server not in self.dials:
            raise RuntimeError(f"no address of {action.server}")
        within = action.within or math.inf
        self._begin(held, action.server, min(held.due, self.clock() + within))

    def _reject(self, action: events.Reject) -> None:
        held = self.flows.get(action.id)
        if held is not None and not held.up:
            self.counters["rejected"] += 1
            self._answer(held, self._busy(action.retry_after))

    def _abort(self, action: events.Abort) -> None:
        held = self.flows.get(action.id)
        if held is not None and not held.up:
            self.counters["aborted"] += 1
            self._answer(held, ERR)

    def _move(self, action: events.Migrate) -> None:
        held = self.flows.get(action.id)
        if held is not None and held.up and not held.left:
            self.counters["migrated"] += 1
            self._trace("client migrated", held, server=held.link.server)
            held.client.send_migrate()
            held.link.close_after_migration()
            self._ended(held, events.CANCELLED)

    def _wake_me(self, action: events.SetTimer) -> None:
        self._later(action.delay, events.TimerFired(action.mark))

    def _say(self, action: events.LogMessage) -> None:
        log_event(action.line)

    def _nothing(self, action: events.Action) -> None:
        """Discovery watches by itself."""

    def _answer(self, held: ActiveFlow, words: bytes) -> None:
        self._drop(held)
        self._hang_up(held)
        self._trace("answered", held, words=words.decode())
        held.client.send_final_answer(words)

    @staticmethod
    def _trace(event: str, held: ActiveFlow, **fields: object) -> None:
        """Name a step of a flow by its client's id, the same at every balancer, where asked to."""
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event(event, logging.DEBUG, id=held.opening.id, flow=held.number, **fields)

    def _quiet(self, held: ActiveFlow) -> None:
        if held.timer is not None and held.timer.active():
            held.timer.cancel()
        held.timer = None

    def _hang_up(self, held: ActiveFlow) -> None:
        self._quiet(held)
        if held.link is not None:
            held.link.abort()

    # Those who leave: a draining server, or this balancer

    def stop(self, stopped) -> None:
        """Finish what is in hand and send all clients away; call `stopped` when they are gone."""
        if not self.stopping:
            self.stopping, self.stopped = self.clock(), stopped
            log_event("shutdown started", flows=len(self.flows))
            self._step_on()

    def _step_on(self) -> None:
        if not self.stepping:
            self.stepping = True
            self._later(STEP, DrainStep())

    def _step(self, _: DrainStep) -> None:
        self.stepping, now = False, self.clock()
        for server, until in self.draining.items():
            # Looked up anew for each: the first of two that drained at once had left none to the second.
            self._send_away([held for held in self._standing() if held.link.server == server], until - now)
        if self.stopping:
            self._stop_on(now - self.stopping, self._standing())
        elif any(held.link.server in self.draining for held in self.flows.values() if held.link):
            self._step_on()

    def _standing(self) -> list[ActiveFlow]:
        return [held for held in self.flows.values() if held.up and not held.left]

    def _send_away(self, up: list[ActiveFlow], left: float) -> None:
        """Move as many of them as brings all away in the time left, so that the others see no crowd. Parts of
        one are drawn: two hundred that rounded up their one or two were a crowd in the first step."""
        for held in up[: int(len(up) / max(1.0, left / STEP) + self.chance.random())]:
            self._move(events.Migrate(held.number))

    def _stop_on(self, gone: float, up: list[ActiveFlow]) -> None:
        last = min(self.posting.longest, STOP_LONGEST) + STOP_REST
        if gone >= STOP_MOVES:
            # Where all connect timeouts are short the kill comes before the spread is over.
            self._send_away(up, min(STOP_MOVES + STOP_SPREAD, last - STOP_REST) - gone)
        if gone >= last:
            for held in list(self.flows.values()):
                self._cut(held)
        if up or self.flows:
            # Ending in the step that moved the last clients cut them off: their MOVE was never written.
            self.busy = gone
        end = last + STOP_FLUSH
        if gone >= min(end, max(STOP_STAY, self.busy + STOP_FLUSH)) and (
            # By counts, not by time alone: who came while we were held up is still to be read and answered.
            gone >= end + STEP or not (self.owing() or self.queue)
        ):
            self.stopped()
        else:
            self._step_on()

    def _cut(self, held: ActiveFlow) -> None:
        if held.up or held.link is not None and held.link.stage == AttemptStage.ESTABLISHED:
            return  # its receipt stands in the queue
        if held.link is not None:
            held.over(held.link.abort())
        self._answer(held, held.refusal(self._busy(STOP_ADVICE)))

    _on = {
        FlowRequested: _asked,
        ReceiptReceived: _answered,
        AttemptEnded: _fell,
        AttemptTimedOut: _overdue,
        DownstreamClosed: _left,
        LoadReported: _loaded,
        ReplyTimed: _timed,
        EndpointUpdate: _listed,
        RetryExisting: _again,
        CloseGraceExpired: _gone,
        PeriodicCheck: _look,
        DrainStep: _step,
        events.TimerFired: _decide,
        events.ClientDisconnected: _decide,
    }
    _do = {
        events.Connect: _connect,
        events.Reject: _reject,
        events.Abort: _abort,
        events.Migrate: _move,
        events.SetTimer: _wake_me,
        events.LogMessage: _say,
        events.Subscribe: _nothing,
    }
