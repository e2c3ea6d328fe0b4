"""The server list.

Owns the calls to discovery at one address: one watch after the other, without a gap, from the version that is
held, the whole list where none is, and the back-off when discovery fails, refuses or is silent. It must never
decide what a list means for a flow, act on an answer that is not a list, ask for more than it lacks, or tell
anything once it is closed.
"""

import contextlib
import json
import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, reactor, task
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from lotusroute.errors import InvalidValueError
from lotusroute.net.config import parse_address
from lotusroute.net.discovery_source import UpdateSource
from lotusroute.net.structured_log import log_event
from lotusroute.routing import events
from lotusroute.service_config import look_up, parse_number

STATES = {"SERVING": events.READY, "DRAINING": events.DRAINING, "DELETED": events.REMOVED}
# One clock for all: whatever becomes of the calls, a change counts as told LATEST after discovery had it.
# Each call, wait and pause has to fit into what is left of that, and of the grace of a drain, since the last
# whole answer. Counted each by itself, a silent watch and a refusal after it passed both by up to 4 s.
LATEST = 6.0  # s after which, by the protocol, a change counts as told
HOLD = 2_000  # ms that a watch waits at most
LINE = 2.0  # s that calls of many stand in line, where lists have to be asked for, before they fail
PATIENCE = LINE + 0.3  # s beyond the wait for a whole answer
PROMPT = 1.0  # s beyond it for a watch where nothing stands in line: the last answer came within half of it
QUICK = 0.1, 1.0  # s, least and most of it where an agent of our own machine has the list and answers at once
STALL = 0.05  # s by which a time-out comes late when we were held up, and says nothing of discovery
FAILED = 0.1, 1.0  # s, first and longest pause after a failed call; the first within the 200 ms of a watch
REFUSED = 1.2  # s, least room for the pause after a refusal: 200 refused together are then no herd again
AT_HAND = 0.5  # s, the longest where an agent has the list: it costs nothing to ask
SLACK = 0.15  # s for a busy core and the way of an answer
SPREAD = 0.2  # share of a pause that is waited at least; the rest is drawn, that 40 refused come one by one
CALL, ANSWER, REFUSAL, BODY = "no answer", "an answer in part", "a refusal", "an answer that is no list"
UNREADABLE = KeyError, TypeError, ValueError, AttributeError, InvalidValueError  # what a spoilt answer raises
REFUSALS = 429, 502, 503, 504  # statuses that say nothing of the version asked from


class EndpointUpdate(NamedTuple):
    """What discovery told: a list or changes to it, with where each server is dialled."""

    scope: str
    servers: tuple[events.Server, ...]
    dials: dict[str, tuple[str, int]]


class DiscoveryFailed(NamedTuple):
    """A call that brought nothing, and how far it had come."""

    reached: str
    why: str


def parse_endpoint_list(told: dict, scope: str, counters: Counter | None = None) -> EndpointUpdate:
    """Decode a list in discovery's form. Its clock is Unix time in ms, and so is the owner's. Entries that
    cannot be read are counted and named, the others used: one spoilt server had all drains go unheard. Raises
    InvalidValueError where there are entries and none can be read.

    >>> told = {"hosts": [{"host": "s-1", "dial": "10.1.0.18:9000", "health": "SERVING", "born_ms": 0}, 7]}
    >>> parse_endpoint_list(told, events.COMPLETE).dials
    {'s-1': ('10.1.0.18', 9000)}
    """
    servers, dials, unread = [], {}, []
    for entry in told["hosts"]:
        try:
            server, dial = _entry(entry)
        except (*UNREADABLE, OverflowError) as fault:
            unread.append(f"{type(fault).__name__}: {fault} in {entry!r}"[:200])
            continue
        servers.append(server)
        if dial is not None:
            dials[server.id] = dial
    if unread:
        if counters is not None:
            counters["malformed_list_entries"] += len(unread)
        log_event("malformed list entries", logging.WARNING, entries=len(unread), first=unread[0])
        if not servers:
            raise InvalidValueError(unread[0])
    return EndpointUpdate(scope, tuple(servers), dials)


def _entry(entry: dict) -> tuple[events.Server, tuple[str, int] | None]:
    """Decode one entry; where it is dialled is None for a server that is gone."""
    state, server = look_up(STATES, entry["health"], "health"), entry["host"]
    if not (isinstance(server, str) and server):
        raise InvalidValueError(f"host: {server!r} is no name")
    dial = None if state == events.REMOVED else parse_address(entry["dial"])
    return events.Server(
        server,
        str(entry.get("site", "")),
        int(entry.get("block") or 0),
        state,
        parse_number(str(entry.get("share", 1.0))),
        parse_number(str(entry.get("born_ms") or 0)),
    ), dial


def parse_version(seq: object) -> int:
    """Check a list's version.

    >>> parse_version(41)
    41
    """
    if isinstance(seq, bool) or not isinstance(seq, int) or seq < 0:
        raise InvalidValueError(f"seq: {seq!r} is no version")
    return seq


class Discovery:
    """Follows the server list and puts what it learns into the owner's queue."""

    def __init__(
        self,
        where: tuple[str, int],
        seq: int | None,
        seed: int,
        put: Callable,
        counters,
        grace: float = 2_000.0,
        pushed: bool = False,
    ) -> None:
        """`grace`: ms after news of a drain until nothing may be sent; `pushed`: an agent has the list."""
        self.base = f"http://{where[0]}:{where[1]}/api/targets"
        self.put, self.counters = put, counters
        self.chance = random.Random(seed)
        self.within = LATEST + grace / 1000 - SLACK  # s from one whole answer in which the next has to be in
        self.as_of = reactor.seconds()  # when the list was last known: the last whole answer, or the start
        # Discovery may be back just after a call was sent that nobody answers: that call, this pause, a
        # refusal and a call that stands in line have to fit.
        self.longest = min(FAILED[1], max(FAILED[0], self.within - PATIENCE - REFUSED - LINE))
        self.patience, self.prompt, self.line = PATIENCE, PROMPT, LINE  # s
        if pushed:
            # What the agent gets while we do not hear it counts as told at once: half of the grace to notice
            # that it is silent, a quarter for the pause. Nobody stands in line at it.
            self.patience = self.prompt = min(max(QUICK[0], grace / 2000), QUICK[1])
            self.longest = min(AT_HAND, max(FAILED[0], grace / 4000))
            self.line = 0.0
        self.pushed = pushed
        self.most_hold = HOLD  # ms that a watch waits at most
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, connectTimeout=PATIENCE, pool=self.pool)
        self.alarm = None  # when the call in hand is given up
        self.silent = True  # the last call brought no answer, or there was none: the next does not wait
        self.stands = True  # the last answer may have stood in line, or there was none
        self.heard = None  # called once, after the first call, whatever it brought
        self.seq = seq  # of the list that is held; None: the whole list is needed
        self.waiting: defer.Deferred | None = None  # the call or the pause in hand
        # Who else calls, where balancers share what they hear; asked before each call.
        self.watch: UpdateSource | None = None
        self.closed = False

    def close(self) -> None:
        """Drop the call in hand and the connections: discovery has another address now."""
        self.closed = True
        if self.waiting is not None:
            self.waiting.cancel()
        if self.watch is not None:
            self.watch.wake()
        self.pool.closeCachedConnections()

    def forget(self) -> None:
        """Ask for the whole list the next time: what was told was not taken."""
        self.seq = None

    async def follow(self) -> None:
        """Go on until closed, or for as long as the balancer runs."""
        pause, refusals = 0.0, 0
        while not self.closed:
            if self.watch is not None:
                await self.watch.wait_for_turn(self)
                if self.closed:
                    return
                self.as_of = max(self.as_of, reactor.seconds() - self.watch.age())
            begun, was = reactor.seconds(), self.silent
            news = await self._call()
            self.silent = isinstance(news, DiscoveryFailed) and news.reached in (CALL, ANSWER)
            if was and self.silent:
                # Twice in a row: discovery is away, and what it gets counts from its return on.
                self.as_of = max(self.as_of, begun)
            if self.closed:
                # What the old address still told is not put behind news from the new one.
                return
            self._first_word()
            if isinstance(news, EndpointUpdate):
                pause, refusals = 0.0, 0
                if news.servers or news.scope == events.COMPLETE:
                    self.put(news)
                continue
            self.counters["discovery_failures"] += 1
            if self.watch is not None:
                self.watch.on_failure()
            if not pause:
                log_event("discovery failed", reached=news.reached, why=news.why)
            if news.reached == REFUSAL:
                refusals += 1
                pause = self._after_refusal(refusals == 1)
            else:
                pause = min(max(FAILED[0], 2 * pause), self.longest)
            self.waiting = task.deferLater(reactor, pause * self.chance.uniform(SPREAD, 1.0))
            with contextlib.suppress(defer.CancelledError):
                await self.waiting

    def remaining(self) -> float:
        """What is left, in s, until the next whole answer has to be in."""
        return self.as_of + self.within - reactor.seconds()

    def _after_refusal(self, first: bool) -> float:
        """The longest pause, in s. A refusal costs discovery too, and 40 every second kept it busy: who has
        time takes it, and the call after the pause has to stand in line within what is left."""
        if self.pushed:
            return self.longest
        left, whole = self.remaining(), self.within - self.line
        if left - self.line >= REFUSED or first and left > 0:
            return max(min(whole / 2, left - self.line), min(REFUSED, left))
        return whole  # late whatever comes, and the oftener all call the fewer are served

    async def _call(self) -> EndpointUpdate | DiscoveryFailed:
        """Ask once; whatever goes wrong comes back as a value."""
        url, hold, begun = self.base, 0.0, reactor.seconds()
        wait = self.patience if self.stands or self.silent else self.prompt
        if self.seq is not None:
            # After silence what was missed is asked for at once: a call that waits tells nothing of whether
            # discovery is back, and what it has got meanwhile counts as told. Else the watch leaves room
            # for what may come of it: it is noticed too late, the next call is refused, its next one waits.
            # Not where calls stand in line: shorter watches were more calls, and the line stayed for good.
            room = self.remaining() - wait - FAILED[0] - self.line
            room -= 0.0 if self.pushed or self.stands else REFUSED
            hold = 0.0 if self.silent else max(0.0, min(self.most_hold / 1000, room))
            url, wait = f"{url}?from={self.seq}&hold_ms={int(1000 * hold)}", wait + hold
        reached = CALL
        self.counters["discovery_requests"] += 1
        self._time(wait, max(SLACK, self.remaining() - wait - self.patience))
        try:
            self.waiting = self.agent.request(b"GET", url.encode())
            answer = await self.waiting
            reached = ANSWER
            # The same time runs on: half an answer is no better than none.
            self.waiting = readBody(answer)
            body = await self.waiting
            reached = BODY
            if answer.code in REFUSALS:
                # Forty that were refused a watch asked for all lines instead, and none got a list all day.
                return DiscoveryFailed(REFUSAL, f"status {answer.code}")
            if answer.code != 200:
                raise InvalidValueError(f"status {answer.code}")
            told, since = json.loads(body), self.seq
            news = self._checked(told)
            now = reactor.seconds()
            # Read late by us, it may be as old as a call can get.
            self.as_of = min(now, begun + wait)
            self.stands = now - begun - (0.0 if news.servers else hold) > self.prompt / 2
            if self.watch is not None:
                self.watch.on_response(told, since)
            return news
        except UNREADABLE as fault:
            self.seq = None
            return DiscoveryFailed(reached, f"{type(fault).__name__}: {fault}")
        except Exception as fault:  # the HTTP client has dozens, and none may stop the following
            return DiscoveryFailed(reached, f"{type(fault).__name__}: {fault}"[:200])
        finally:
            if self.alarm.active():
                self.alarm.cancel()

    def _time(self, seconds: float, extra: float) -> None:
        """Give the call in hand up after so long. Where we were held up meanwhile its answer may lie unread:
        it has `extra` seconds more then, a patience at a time."""
        due = reactor.seconds() + seconds

        def over() -> None:
            if reactor.seconds() > due + STALL and extra > 0:
                self._time(min(self.patience, extra), extra - self.patience)
            else:
                self.waiting.cancel()

        self.alarm = reactor.callLater(seconds, over)

    def _checked(self, told: dict) -> EndpointUpdate:
        """Decode what was told and take its version; raises where it is no list or does not follow ours."""
        news = parse_endpoint_list(told, events.COMPLETE if told["whole"] else events.CHANGES, self.counters)
        seq = parse_version(told["seq"])
        if news.scope == events.CHANGES and (self.seq is None or seq < self.seq):
            raise InvalidValueError(f"changes up to {seq} of a list held at {self.seq}")
        self.seq = seq
        return news

    def apply_shared_update(self, told: dict, since: int | None) -> bool:
        """Take what another balancer heard from the same discovery, checked like discovery's own; false where
        it is no list, is older than ours, or is changes to another than ours. We then call by ourselves."""
        try:
            if (
                self.closed
                or self.seq is not None
                and parse_version(told["seq"]) < self.seq
                or (not told["whole"] and since != self.seq)
            ):
                return False
            news = self._checked(told)
        except UNREADABLE:
            return False
        if news.servers or news.scope == events.COMPLETE:
            self.put(news)
        self._first_word()
        return True

    def _first_word(self) -> None:
        """Something has been heard, or a call come to nothing: who waits for that waits no longer."""
        heard, self.heard = self.heard, None
        if heard is not None:
            heard()
