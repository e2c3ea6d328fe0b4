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
from lotusroute.net.discovery import EndpointUpdate
from lotusroute.net.downstream import DownstreamClosed, DownstreamConnection, FlowRequested, OpenRequest
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.line_protocol import BUSY, ERR
from lotusroute.net.structured_log import LOGGER, log_event, log_exception
from lotusroute.net.upstream import (
    CONNECTING,
    REACHES,
    STANDING,
    AttemptEnded,
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

    number: int
    link: UpstreamAttempt


class RetryExisting(NamedTuple):
    """A standing connection is to be tried once more."""

    number: int


class CloseGraceExpired(NamedTuple):
    """A server has had its time to end a connection whose client has left."""

    number: int


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
                self._failed(event, getattr(event, "number", 0))
        self.running = False

    def _failed(self, event: object, number: int) -> None:
        self.counters["internal_errors"] += 1
        log_exception("event failed", kind=type(event).__name__)
        self._forget(number)
        if isinstance(event, events.TimerFired | DrainStep):
            # Without its next one the upkeep, or our end, would stand still for good.
            self._later(STEP if isinstance(event, DrainStep) else LOOK, event)
        elif isinstance(event, FlowRequested) and not event.number:
            event.side.answer(ERR)
        elif isinstance(event, EndpointUpdate) and self.relist is not None:
            # Half of it may have been taken, a drain not: it does not come again by itself.
            self.relist()

    def _forget(self, number: int) -> None:
        """Answer a flow over which something broke, so that it is not lost."""
        flow = self.flows.get(number)
        if flow is not None:
            self._drop(flow)
            self._hang_up(flow)
            if flow.established:
                flow.downstream.move()
            else:
                flow.downstream.answer(ERR)
            self.put(events.ClientDisconnected(number))

    def _drop(self, flow: ActiveFlow) -> None:
        """A flow is answered, or its connection over. Only those who copied its id use it again."""
        del self.flows[flow.number]
        self.ended.append((self.clock(), flow.opening.id))

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
        opening, side = event.opening, event.side
        if side.gone or side.left():
            # Nothing is begun for it: hundreds who had left unread filled a server's queue.
            self.counters["client_disconnects"] += 1
        elif self._unusable(opening) or (opening.at and self.clock() > self.began + STAND_FROM):
            side.reject_malformed()
        elif self.stopping:
            self._turn_away(side, STOP_ADVICE)
        elif not opening.at and (len(self.flows) >= self.room or len(self.queue) > QUEUE):
            self._turn_away(side, FULL_ADVICE)
        else:
            self.next += 1
            self.ids.add(opening.id)
            due = event.at + opening.wait - min(MARGIN, MARGIN_SHARE * opening.wait)
            kind = self.posting.vip.service_types[opening.service_type]
            flow = self.flows[self.next] = ActiveFlow(self.next, opening, kind, due, side)
            side.number = flow.number
            self._trace(
                "flow requested",
                flow,
                c=opening.service_type,
                g=opening.group,
                returned=opening.returned,
                at=opening.at,
            )
            if opening.at:
                flow.deadline = min(flow.deadline, event.at + STAND_LONGEST)
                self._stand(flow)
            else:
                self._decide(self._flow(flow))

    def _unusable(self, opening: OpenRequest) -> bool:
        """Whether no server could use it. The id of an open flow, sent by another client, had servers answer
        ERR to healthy flows' namesakes, and the servers set aside for it."""
        tenants, tenant = self.posting.tenants, opening.tenant
        unknown = opening.service_type not in self.posting.vip.service_types
        return unknown or opening.id in self.ids or bool(tenants and tenant and tenant not in tenants)

    def _flow(self, flow: ActiveFlow) -> events.Flow:
        o = flow.opening
        return events.Flow(
            flow.number, o.service_type, o.tenant, o.group, o.key, flow.deadline, reconnecting=o.returned
        )

    def _turn_away(self, side: DownstreamConnection, advice: float) -> None:
        self.counters["load_shed"] += 1
        side.answer(self._busy(advice))

    def _busy(self, advice: float) -> bytes:
        """A refusal, with the ms after which to come again where that may be said."""
        advice = round(min(advice, self.posting.vip.max_retry_after))
        return b"%b %d" % (BUSY, advice) if advice > 0 else BUSY

    def _stand(self, flow: ActiveFlow) -> None:
        """A connection that stood before we started goes to its server, undecided."""
        if flow.opening.at in self.dials:
            flow.attempts += 1
            self._begin(flow, flow.opening.at, min(flow.deadline, self.clock() + STAND))
        else:
            self._stand_again(flow)

    def _stand_again(self, flow: ActiveFlow) -> None:
        if flow.attempts >= self.posting.vip.max_attempts or self.clock() + AGAIN >= flow.deadline:
            self.counters["existing_connections_lost"] += 1
            self._answer(flow, ERR)
        else:
            self._later(AGAIN * max(1, flow.attempts), RetryExisting(flow.number))

    def _again(self, event: RetryExisting) -> None:
        flow = self.flows.get(event.number)
        if flow is not None and not flow.established:
            self._stand(flow)

    def _begin(self, flow: ActiveFlow, server: str, until: float) -> None:
        if flow.downstream.left():
            # Its end lay unread behind its own lines when an earlier connect failed: the next was begun.
            self._left(DownstreamClosed(flow.number))
            return
        now = flow.attempt_started_at = self.clock()
        wait = until - now
        link = flow.upstream = UpstreamAttempt(
            flow.number,
            server,
            flow.opening.rewritten(wait),
            self.put,
            self.clock,
            self.counters,
            may_send=lambda: flow.may_send(self.clock(), self.posting.grace),
        )
        limit = self.posting.come_up
        flow.attempt_deadline = until
        link.start(self.dials[server], wait < limit)
        flow.timer = self._later(min(limit, wait), AttemptTimedOut(flow.number, link))
        self.counters["connects"] += 1
        self._trace("connect started", flow, server=server, wait=wait)

    def _answered(self, event: ReceiptReceived) -> None:
        flow = self.flows.get(event.number)
        if flow is None or flow.upstream is not event.link:
            self.counters["late_receipts"] += 1
            event.link.abort()
            return
        if flow.downstream.gone:
            # It broke off in the reactor turn of the receipt; its `DownstreamClosed` is queued behind this.
            self._left(DownstreamClosed(flow.number))
            return
        self._quiet(flow)
        flow.established = True
        self.counters["established"] += 1
        server = event.link.server
        self._trace("established", flow, server=server, ms=self.clock() - flow.attempt_started_at)
        flow.downstream.join(event.link, event.receipt)
        if server in self.draining:
            self._step_on()
        if flow.opening.at:
            self._decide(events.ExistingConnection(self._flow(flow), server))
        else:
            self._decide(events.Established(flow.number, server))

    def _fell(self, event: AttemptEnded) -> None:
        flow = self.flows.get(event.number)
        if flow is None or flow.upstream is not event.link:
            return
        self._ended(flow, event.result)

    def _overdue(self, event: AttemptTimedOut) -> None:
        """The time to come up, or all time, has passed. That comes through the queue, behind whatever the
        sockets brought while we were held up: a stall of ours must not have healthy servers set aside."""
        flow, link = self.flows.get(event.number), event.link
        if flow is None or flow.upstream is not link or link.reach >= STANDING:
            return
        left = flow.attempt_deadline - self.clock()
        if link.reach > CONNECTING and left > 0:
            flow.timer = self._later(left, event)
        else:
            self._ended(flow, link.abort())

    def _ended(self, flow: ActiveFlow, result: str) -> None:
        """A connect, or the connection that came of it, is over."""
        self._quiet(flow)
        server, came, flow.upstream = flow.upstream.server, REACHES[flow.upstream.came], None
        self.counters[f"ended_{result}"] += 1
        self._trace("connection ended", flow, server=server, result=result, came=came)
        if flow.established:
            self._drop(flow)
            self._decide(events.ConnectionEnded(flow.number, server, True, result))
            return
        flow.record_attempt_result(result)
        if flow.opening.at:
            if result in events.NEVER_RAN or flow.service_type.effect == events.IDEMPOTENT:
                self._stand_again(flow)
            else:
                self.counters["existing_connections_lost"] += 1
                self._answer(flow, ERR)
        else:
            self._decide(events.ConnectionEnded(flow.number, server, False, result))
            if flow.upstream is None and flow.number in self.flows:
                raise RuntimeError("flow left without a connect or an answer")

    def _left(self, event: DownstreamClosed) -> None:
        flow = self.flows.get(event.number)
        if flow is None:
            return
        if flow.established:
            # Its server ends it now, or has ended it; one that is gone never will.
            if not flow.client_left_at:
                flow.client_left_at = self.clock()
                flow.timer = self._later(GOING, CloseGraceExpired(flow.number))
            return
        self.counters["client_disconnects"] += 1
        self._trace("client disconnected", flow, server=flow.upstream and flow.upstream.server)
        self._drop(flow)
        self._hang_up(flow)
        flow.downstream.answer(ERR)
        if not flow.opening.at:
            self._decide(events.ClientDisconnected(flow.number))

    def _gone(self, event: CloseGraceExpired) -> None:
        flow = self.flows.get(event.number)
        if flow is not None:
            flow.upstream.abort()
            flow.downstream.half_close()
            self._ended(flow, events.CANCELLED)

    def _loaded(self, event: LoadReported) -> None:
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event("load report", logging.DEBUG, flow=event.number, load=event.load)
        if event.number in self.flows:
            self._decide(events.LoadReport(event.number, event.load))

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
        for flow in list(self.flows.values()):
            link = flow.upstream
            if link is None or link.reach != CONNECTING or flow.opening.at:
                continue
            if link.server in self.draining or link.server not in self.dials:
                self.counters["connects_cancelled"] += 1
                link.abort()
                self._ended(flow, events.UNSENT)

    # The look at open connections

    def _look(self, _: PeriodicCheck) -> None:
        """Note slow servers, as the decisions expect it: once a second while it lasts, and once after."""
        self._later(LOOK, PeriodicCheck())
        now, silent, quiet = self.clock(), [], []
        while self.ended and (self.ended[0][0] < now - CLOSED_FLOW_ID_TTL or len(self.ended) > IDS):
            self.ids.discard(self.ended.popleft()[1])
        for flow in self.flows.values():
            if not flow.established or flow.upstream is None:
                continue
            waited = flow.upstream.oldest_wait(now)
            if waited >= self.director.slow:
                self.delays.setdefault(flow.upstream.server, []).append(waited)
            if flow.upstream.server_silence(now) >= SILENT:
                silent.append(flow)
            elif flow.upstream.client_idle_time(now) >= QUIET:
                quiet.append(flow)
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
        for flow in quiet:
            self._move(events.Migrate(flow.number))
        for flow in silent:
            # A machine that vanished says nothing, and TCP does not notice.
            self.counters["unresponsive_connections"] += 1
            flow.upstream.abort()
            flow.downstream.move()
            self._ended(flow, events.RESET)

    # What is to be done

    def _connect(self, action: events.Connect) -> None:
        flow = self.flows.get(action.id)
        if flow is None or flow.established or flow.upstream is not None:
            return
        if action.server not in self.dials:
            raise RuntimeError(f"no address of {action.server}")
        within = action.within or math.inf
        self._begin(flow, action.server, min(flow.deadline, self.clock() + within))

    def _reject(self, action: events.Reject) -> None:
        flow = self.flows.get(action.id)
        if flow is not None and not flow.established:
            self.counters["rejected"] += 1
            self._answer(flow, self._busy(action.retry_after))

    def _abort(self, action: events.Abort) -> None:
        flow = self.flows.get(action.id)
        if flow is not None and not flow.established:
            self.counters["aborted"] += 1
            self._answer(flow, ERR)

    def _move(self, action: events.Migrate) -> None:
        flow = self.flows.get(action.id)
        if flow is not None and flow.established and not flow.client_left_at:
            self.counters["migrated"] += 1
            self._trace("client migrated", flow, server=flow.upstream.server)
            flow.downstream.move()
            flow.upstream.leave()
            self._ended(flow, events.CANCELLED)

    def _wake_me(self, action: events.SetTimer) -> None:
        self._later(action.delay, events.TimerFired(action.mark))

    def _say(self, action: events.LogMessage) -> None:
        log_event(action.line)

    def _nothing(self, action: events.Action) -> None:
        """Discovery watches by itself."""

    def _answer(self, flow: ActiveFlow, words: bytes) -> None:
        self._drop(flow)
        self._hang_up(flow)
        self._trace("answered", flow, words=words.decode())
        flow.downstream.answer(words)

    @staticmethod
    def _trace(event: str, flow: ActiveFlow, **fields: object) -> None:
        """Name a step of a flow by its client's id, the same at every balancer, where asked to."""
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event(event, logging.DEBUG, id=flow.opening.id, flow=flow.number, **fields)

    def _quiet(self, flow: ActiveFlow) -> None:
        if flow.timer is not None and flow.timer.active():
            flow.timer.cancel()
        flow.timer = None

    def _hang_up(self, flow: ActiveFlow) -> None:
        self._quiet(flow)
        if flow.upstream is not None:
            flow.upstream.abort()

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
            self._send_away(
                [flow for flow in self._standing() if flow.upstream.server == server], until - now
            )
        if self.stopping:
            self._stop_on(now - self.stopping, self._standing())
        elif any(flow.upstream.server in self.draining for flow in self.flows.values() if flow.upstream):
            self._step_on()

    def _standing(self) -> list[ActiveFlow]:
        return [flow for flow in self.flows.values() if flow.established and not flow.client_left_at]

    def _send_away(self, up: list[ActiveFlow], left: float) -> None:
        """Move as many of them as brings all away in the time left, so that the others see no crowd. Parts of
        one are drawn: two hundred that rounded up their one or two were a crowd in the first step."""
        for flow in up[: int(len(up) / max(1.0, left / STEP) + self.chance.random())]:
            self._move(events.Migrate(flow.number))

    def _stop_on(self, gone: float, up: list[ActiveFlow]) -> None:
        last = min(self.posting.longest, STOP_LONGEST) + STOP_REST
        if gone >= STOP_MOVES:
            # Where all connect timeouts are short the kill comes before the spread is over.
            self._send_away(up, min(STOP_MOVES + STOP_SPREAD, last - STOP_REST) - gone)
        if gone >= last:
            for flow in list(self.flows.values()):
                self._cut(flow)
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

    def _cut(self, flow: ActiveFlow) -> None:
        if flow.established or flow.upstream is not None and flow.upstream.reach == STANDING:
            return  # its receipt stands in the queue
        if flow.upstream is not None:
            flow.record_attempt_result(flow.upstream.abort())
        self._answer(flow, flow.final_rejection(self._busy(STOP_ADVICE)))

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
