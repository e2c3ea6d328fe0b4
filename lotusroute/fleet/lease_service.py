"""Leases on the link: the one module that joins the pure machines to sockets, timers and the disk.

Owns this balancer's asker, its keeper where it is one, and what travels between them. It must never grant or
hold by itself, write to disk on the reactor's thread, or touch a flow: with all of it gone the balancer goes
on as without.
"""

import math
import os
import random
import time
from collections.abc import Callable

import msgspec
from twisted.internet import threads

from lotusroute.errors import InvalidValueError
from lotusroute.fleet import acceptor_storage
from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.transport import LOOKER, CallFailed, PeerTransport
from lotusroute.leases.acceptor import BALLOT_BLOCK, Acceptor, PersistBallots
from lotusroute.leases.messages import (
    LeaseAcquired,
    LeaseLost,
    LeaseReleased,
    Prepare,
    Propose,
    Release,
    ReleaseLease,
    Reply,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)
from lotusroute.leases.proposer import Proposer
from lotusroute.net.structured_log import log_event

WORDS = {"prepare": Prepare, "propose": Propose, "release": Release}  # calls to a keeper, by kind
SOONEST = 5.0  # ms between two looks at the clock


class LeaseService:
    """The fleet's part of one balancer."""

    def __init__(
        self,
        reactor,
        plan: FleetConfig,
        name: str,
        counters,
        changed: Callable = lambda task, fencing_token: None,
    ) -> None:
        """`changed(task, fence)` is called as a task becomes this balancer's, and with 0 as it ends."""
        if name not in plan.peers:
            raise InvalidValueError(f"LB_FLEET: peers: '{name}', this balancer, is not among them")
        self.reactor, self.plan, self.name, self.counters, self.changed = (
            reactor,
            plan,
            name,
            counters,
            changed,
        )
        chance = random.Random(os.urandom(16))
        # A process that comes back under its name is not the one that held.
        self.proposer = Proposer(f"{name}#{os.urandom(4).hex()}", plan.terms, chance)
        self.serves: dict[str, Callable[[str, bytes], bytes]] = {}  # further calls, by kind; set at the start
        self.shows: dict[str, Callable[[], object]] = {}  # what further parts show, by name; set at the start
        self.left: Callable[[str], object] = str  # called as a peer's last connection here ends
        self.link = PeerTransport(
            reactor, plan, name, chance, counters, self._serve, left=lambda peer: self.left(peer)
        )
        self.acceptor: Acceptor | None = None
        self.reserving = False
        self.timer = None
        self.stopped = False
        if name in plan.terms.acceptors:
            if not plan.state or not os.path.isdir(plan.state):
                raise InvalidValueError(
                    f"LB_FLEET: state: '{plan.state}' is no folder, and a keeper needs one"
                )
            self.acceptor = Acceptor(plan.terms, self.clock(), acceptor_storage.load(plan.state))

    @staticmethod
    def clock() -> float:
        """Milliseconds of the machine's own clock, which nothing sets."""
        return time.monotonic() * 1000

    def start(self):
        """Open the link and ask for the tasks; brings the listening, or its failure."""
        for acceptor in self.plan.terms.acceptors:
            if acceptor != self.name:
                self.link.dial(acceptor)
        if self.acceptor is not None:
            self._reserve(PersistBallots(self.acceptor.ballot_floor + BALLOT_BLOCK))
            silent = self.acceptor.serving_from - self.clock()
            self.reactor.callLater(
                max(0.0, silent) / 1000, log_event, "acceptor serving", floor=self.acceptor.ballot_floor
            )
        for task in self.plan.tasks:
            self._decide(RequestLease(task))
        return self.link.listen()

    def stop(self) -> None:
        """Let go of all, so that the next holder has it at once."""
        if self.stopped:
            return
        self.stopped = True
        for task in list(self.proposer.states):
            self._decide(ReleaseLease(task))
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def fencing_token(self, task: str, longest: float) -> int:
        """The fence for an act that takes `longest` ms at most; 0 where it must not begin."""
        return self.proposer.fencing_token(task, self.clock(), longest)

    def others(self) -> list[str]:
        """All balancers of the fleet but this one."""
        return [peer for peer in self.plan.peers if peer != self.name]

    # The asker

    def _decide(self, event) -> None:
        for action in self.proposer.handle(self.clock(), event):
            if isinstance(action, SendRequest):
                self._ask(action)
            elif isinstance(action, LeaseAcquired):
                self.counters["leases_acquired"] += 1
                log_event("lease acquired", task=action.task, fence=action.fencing_token)
                self.changed(action.task, action.fencing_token)
            elif isinstance(action, LeaseLost):
                self.counters[f"leases_lost_{action.reason.replace(' ', '_')}"] += 1
                log_event("lease lost", task=action.task, why=action.reason)
                self.changed(action.task, 0)
        self._again()

    def _again(self) -> None:
        if self.stopped:
            return
        due = self.proposer.next_tick_in(self.clock())
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if due < math.inf:
            self.timer = self.reactor.callLater(max(SOONEST, due) / 1000, self._decide, Tick())

    def _ask(self, request: SendRequest) -> None:
        if request.acceptor == self.name:
            # In a turn of its own: the asker is in the middle of deciding.
            self.reactor.callLater(0, lambda: self._told(self.name, self._keep(request.request)))
            return
        kind = type(request.request).__name__.lower()
        call = self.link.call(request.acceptor, kind, msgspec.msgpack.encode(request.request))
        call.addCallback(msgspec.msgpack.decode, type=Reply)
        call.addCallbacks(lambda reply: self._told(request.acceptor, reply), self._no_answer)

    def _told(self, acceptor: str, reply: Reply | None) -> None:
        if reply is not None and not self.stopped:
            self._decide(ReplyReceived(acceptor, reply))

    def _no_answer(self, reason) -> None:
        """A keeper that is away says nothing, and time does the rest."""
        reason.trap(CallFailed, msgspec.MsgspecError)
        self.counters["lease_requests_unanswered"] += 1

    # The keeper

    def _serve(self, peer: str, kind: str, body: bytes):
        if kind == "show":
            return msgspec.json.encode(self.show())
        if peer == LOOKER:
            raise CallFailed("a command may only look")
        if kind == "freed":
            self._decide(msgspec.msgpack.decode(body, type=LeaseReleased))
            return b""
        if kind in self.serves:
            return self.serves[kind](peer, body)
        if kind not in WORDS or self.acceptor is None:
            raise CallFailed(f"no keeper, or no call '{kind[:32]}'")
        try:
            request = msgspec.msgpack.decode(body, type=WORDS[kind])
        except msgspec.MsgspecError as fault:
            self.counters["peer_malformed_input"] += 1
            raise CallFailed(f"{kind}: {fault}") from None
        if request.proposer.partition("#")[0] != peer:
            self.counters["lease_requests_spoofed"] += 1
            raise CallFailed(f"{kind}: asked for another")
        return msgspec.msgpack.encode(self._keep(request))

    def _keep(self, request: Prepare | Propose | Release) -> Reply | None:
        if self.acceptor is None:
            return None
        reply, reserve, freed = self.acceptor.handle(self.clock(), request)
        if not reply.accepted:
            self.counters[f"acceptor_rejected_{reply.reason}"] += 1
        if reserve is not None:
            self._reserve(reserve)
        for waiting in freed:
            self._free(waiting, request.task)
        return reply

    def _free(self, proposer: str, task: str) -> None:
        peer = proposer.partition("#")[0]
        if peer == self.name:
            self.reactor.callLater(0, lambda: self.stopped or self._decide(LeaseReleased(task)))
            return
        call = self.link.call_back(peer, "freed", msgspec.msgpack.encode(LeaseReleased(task)))
        call.addErrback(self._no_answer)

    def _reserve(self, reserve: PersistBallots) -> None:
        if self.reserving:
            return
        self.reserving = True
        writing = threads.deferToThread(acceptor_storage.store, self.plan.state, reserve.persisted_below)

        def stored(_: object) -> None:
            self.reserving = False
            self.acceptor.ballots_persisted(reserve.persisted_below)

        def failed(reason) -> None:
            # Nothing above what disk has is promised: the fleet goes on with the other keepers.
            self.reserving = False
            self.counters["acceptor_storage_failures"] += 1
            log_event("acceptor storage failed", why=str(reason.value)[:200])

        writing.addCallbacks(stored, failed)

    # What operators see

    def show(self) -> dict:
        """Tasks, connections and keeper, for `leases show` and `fleet show`; times in ms from now."""
        now = self.clock()
        tasks = {
            task: {
                "holds": state.holds(now),
                "fence": state.ballot if state.holds(now) else 0,
                "left_ms": round(state.held_until - now) if state.holds(now) else 0,
                "step": state.phase,
                "asks_in_ms": round(max(0.0, state.retry_at - now)) if state.retry_at > -math.inf else 0,
                "highest_seen": state.highest_ballot,
            }
            for task, state in self.proposer.states.items()
        }
        acceptor_states = {}
        if self.acceptor is not None:
            acceptor_states = {
                task: {
                    "holder": entry.holder,
                    "fence": entry.ballot,
                    "promised": entry.promised,
                    "left_ms": round(max(0.0, entry.held_until - now)) if entry.holder else 0,
                }
                for task, entry in self.acceptor.states.items()
            }
        silent = round(max(0.0, self.acceptor.serving_from - now)) if self.acceptor else 0
        return {
            "name": self.name,
            "fleet": self.plan.name,
            "tasks": tasks,
            "keeps": acceptor_states,
            "keeper": self.acceptor is not None,
            "keeper_silent_ms": silent,
            "connections": {"out": sorted(self.link.out), "in": sorted(self.link.came_in)},
            **{name: show() for name, show in self.shows.items()},
        }
