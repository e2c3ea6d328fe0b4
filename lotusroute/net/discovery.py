"""The server list.

Owns the calls to discovery at one address: one watch after the other, without a gap, from the version that is
held, the whole list where none is, and the back-off when discovery fails, refuses or is silent. It must never
decide what a list means for a flow, hold the start up, act on an answer that is not a list, ask for more than
it lacks, or tell anything once it is closed.
"""

import contextlib
import json
import random
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import defer, reactor, task
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from lotusroute import interface as i
from lotusroute.net.log import say
from lotusroute.net.startup import address
from lotusroute.vip import Malformed, number, one_of

STATES = {"SERVING": i.READY, "DRAINING": i.DRAINING, "DELETED": i.GONE}
HOLD = 4_000  # ms that a watch waits: so long a call may hang unnoticed when the agent falls silent
PATIENCE = 3.0  # s beyond the wait for an answer: calls of many stand in line for 2 s before they fail
FAILED = 0.1, 2.0  # s, first and longest pause after a failed call: the first within the 200 ms of a watch
# s, the same after a refusal: it costs discovery too, and 40 every second kept it busy. News count as told
# after 6 s, and 2 s later nothing may be sent by the old list: a pause and an answer's 2 s fit in between.
REFUSED = 3.0, 6.0
SPREAD = 0.2  # share of a pause that is waited at least; the rest is drawn, that 40 refused come one by one
CALL, ANSWER, REFUSAL, BODY = "no answer", "an answer in part", "a refusal", "an answer that is no list"
REFUSALS = 429, 502, 503, 504  # statuses that say nothing of the version asked from


class Listed(NamedTuple):
    """What discovery told: a list or changes to it, with where each server is dialled."""

    scope: str
    servers: tuple[i.Server, ...]
    dials: dict[str, tuple[str, int]]


class Failed(NamedTuple):
    """A call that brought nothing, and how far it had come."""

    reached: str
    why: str


def listed(told: dict, scope: str) -> Listed:
    """Decode a list in discovery's form. Its clock is Unix time in ms, and so is the owner's.

    >>> told = {"hosts": [{"host": "s-1", "dial": "10.1.0.18:9000", "health": "SERVING", "born_ms": 0}]}
    >>> listed(told, i.WHOLE).dials
    {'s-1': ('10.1.0.18', 9000)}
    """
    servers, dials = [], {}
    for entry in told["hosts"]:
        state = one_of(STATES, entry["health"], "health")
        server = str(entry["host"])
        if state != i.GONE:
            dials[server] = address(entry["dial"])
        servers.append(i.Server(
            server, str(entry.get("site", "")), int(entry.get("block") or 0), state,
            number(str(entry.get("share", 1.0))), number(str(entry.get("born_ms") or 0)),
        ))  # fmt: skip
    return Listed(scope, tuple(servers), dials)


def version(seq: object) -> int:
    """Check a list's version.

    >>> version(41)
    41
    """
    if isinstance(seq, bool) or not isinstance(seq, int) or seq < 0:
        raise Malformed(f"seq: {seq!r} is no version")
    return seq


class Discovery:
    """Follows the server list and puts what it learns into the owner's queue."""

    def __init__(self, where: tuple[str, int], seq: int | None, seed: int, put: Callable, counts) -> None:
        self.base = f"http://{where[0]}:{where[1]}/api/targets"
        self.put, self.counts = put, counts
        self.chance = random.Random(seed)
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, connectTimeout=PATIENCE, pool=self.pool)
        self.seq = seq  # of the list that is held; None: the whole list is needed
        self.waiting: defer.Deferred | None = None  # the call or the pause in hand
        self.watch = None  # who else calls, where balancers share what they hear; asked before each call
        self.closed = False

    def close(self) -> None:
        """Drop the call in hand and the connections: discovery has another address now."""
        self.closed = True
        if self.waiting is not None:
            self.waiting.cancel()
        if self.watch is not None:
            self.watch.wake()
        self.pool.closeCachedConnections()

    async def follow(self) -> None:
        """Go on until closed, or for as long as the balancer runs."""
        pause = 0.0
        while not self.closed:
            if self.watch is not None:
                await self.watch.turn(self)
                if self.closed:
                    return
            news = await self._call()
            if self.closed:
                # What the old address still told is not put behind news from the new one.
                return
            if isinstance(news, Listed):
                pause = 0.0
                if news.servers or news.scope == i.WHOLE:
                    self.put(news)
                continue
            self.counts["discovery_failed"] += 1
            if self.watch is not None:
                self.watch.failed()
            if not pause:
                say("discovery failed", reached=news.reached, why=news.why)
            first, longest = REFUSED if news.reached == REFUSAL else FAILED
            pause = min(max(first, 2 * pause), longest)
            self.waiting = task.deferLater(reactor, pause * self.chance.uniform(SPREAD, 1.0))
            with contextlib.suppress(defer.CancelledError):
                await self.waiting

    async def _call(self) -> Listed | Failed:
        """Ask once; whatever goes wrong comes back as a value."""
        url, wait = self.base, PATIENCE
        if self.seq is not None:
            url, wait = f"{url}?from={self.seq}&hold_ms={HOLD}", PATIENCE + HOLD / 1000
        reached = CALL
        self.counts["discovery_calls"] += 1
        try:
            answer = await self._within(self.agent.request(b"GET", url.encode()), wait)
            reached = ANSWER
            body = await self._within(readBody(answer), PATIENCE)
            reached = BODY
            if answer.code in REFUSALS:
                # Forty that were refused a watch asked for all lines instead, and none got a list all day.
                return Failed(REFUSAL, f"status {answer.code}")
            if answer.code != 200:
                raise Malformed(f"status {answer.code}")
            told, since = json.loads(body), self.seq
            news = self._checked(told)
            if self.watch is not None:
                self.watch.answered(told, since)
            return news
        except (KeyError, TypeError, ValueError, AttributeError, Malformed) as fault:
            self.seq = None
            return Failed(reached, f"{type(fault).__name__}: {fault}")
        except Exception as fault:  # the HTTP client has dozens, and none may stop the following
            return Failed(reached, f"{type(fault).__name__}: {fault}"[:200])

    def _checked(self, told: dict) -> Listed:
        """Decode what was told and take its version; raises where it is no list or does not follow ours."""
        news = listed(told, i.WHOLE if told["whole"] else i.CHANGES)
        seq = version(told["seq"])
        if news.scope == i.CHANGES and (self.seq is None or seq < self.seq):
            raise Malformed(f"changes up to {seq} of a list held at {self.seq}")
        self.seq = seq
        return news

    def handed(self, told: dict, since: int | None) -> bool:
        """Take what another balancer heard from the same discovery, checked like discovery's own; false where
        it is no list, is older than ours, or is changes to another than ours. We then call by ourselves."""
        try:
            if self.closed or self.seq is not None and version(told["seq"]) < self.seq or (
                not told["whole"] and since != self.seq
            ):
                return False
            news = self._checked(told)
        except (KeyError, TypeError, ValueError, AttributeError, Malformed):
            return False
        if news.servers or news.scope == i.WHOLE:
            self.put(news)
        return True

    def _within(self, deferred: defer.Deferred, seconds: float) -> defer.Deferred:
        self.waiting = deferred.addTimeout(seconds, reactor)
        return deferred
