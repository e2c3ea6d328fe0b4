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
from lotusroute.fleet.peer_connection import OBSERVER, CallError
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.acceptor import BALLOT_BLOCK, Acceptor, PersistBallots
from lotusroute.leases.messages import (
    REQUEST_TYPES,
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

MIN_TICK_INTERVAL = 5.0  # ms between two looks at the clock


class LeaseService:
    """The fleet's part of one balancer."""

    def __init__(
        self,
        reactor,
        config: FleetConfig,
        name: str,
        counters,
        on_lease_changed: Callable = lambda task, fencing_token: None,
    ) -> None:
        """`changed(task, fence)` is called as a task becomes this balancer's, and with 0 as it ends."""
        if name not in config.peers:
            raise InvalidValueError(f"LB_FLEET: peers: '{name}', this balancer, is not among them")
        self.reactor, self.config, self.name, self.counters, self.on_lease_changed = (
            reactor,
            config,
            name,
            counters,
            on_lease_changed,
        )
        rng = random.Random(os.urandom(16))
        # A process that comes back under its name is not the one that held.
        self.proposer = Proposer(f"{name}#{os.urandom(4).hex()}", config.terms, rng)
        self.call_handlers: dict[
            str, Callable[[str, bytes], bytes]
        ] = {}  # further calls, by kind; set at the start
        self.status_providers: dict[
            str, Callable[[], object]
        ] = {}  # what further parts show, by name; set at the start
        self.on_peer_disconnected: Callable[[str], object] = (
            str  # called as a peer's last connection here ends
        )
        self.transport = PeerTransport(
            reactor,
            config,
            name,
            rng,
            counters,
            self.handle_call,
            on_disconnected=lambda peer: self.on_peer_disconnected(peer),
        )
        self.acceptor: Acceptor | None = None
        self.persisting = False
        self.tick_timer = None
        self.stopped = False
        if name in config.terms.acceptors:
            if not config.state_dir or not os.path.isdir(config.state_dir):
                raise InvalidValueError(
                    f"LB_FLEET: state: '{config.state_dir}' is no folder, and a keeper needs one"
                )
            self.acceptor = Acceptor(config.terms, self.clock(), acceptor_storage.load(config.state_dir))

    @staticmethod
    def clock() -> float:
        """Milliseconds of the machine's own clock, which nothing sets."""
        return time.monotonic() * 1000

    def start(self):
        """Open the link and ask for the tasks; brings the listening, or its failure."""
        for acceptor in self.config.terms.acceptors:
            if acceptor != self.name:
                self.transport.connect(acceptor)
        if self.acceptor is not None:
            self._persist_ballots(PersistBallots(self.acceptor.ballot_floor + BALLOT_BLOCK))
            silent = self.acceptor.serving_from - self.clock()
            self.reactor.callLater(
                max(0.0, silent) / 1000, log_event, "acceptor serving", floor=self.acceptor.ballot_floor
            )
        for task in self.config.tasks:
            self.handle_event(RequestLease(task))
        return self.transport.listen()

    def stop(self) -> None:
        """Let go of all, so that the next holder has it at once."""
        if self.stopped:
            return
        self.stopped = True
        for task in list(self.proposer.states):
            self.handle_event(ReleaseLease(task))
        if self.tick_timer is not None and self.tick_timer.active():
            self.tick_timer.cancel()

    def fencing_token(self, task: str, max_duration: float) -> int:
        """The fence for an act that takes `longest` ms at most; 0 where it must not begin."""
        return self.proposer.fencing_token(task, self.clock(), max_duration)

    def other_peers(self) -> list[str]:
        """All balancers of the fleet but this one."""
        return [peer for peer in self.config.peers if peer != self.name]

    # The asker

    def handle_event(self, event) -> None:
        for action in self.proposer.handle(self.clock(), event):
            if isinstance(action, SendRequest):
                self._send_request(action)
            elif isinstance(action, LeaseAcquired):
                self.counters["leases_acquired"] += 1
                log_event("lease acquired", task=action.task, fence=action.fencing_token)
                self.on_lease_changed(action.task, action.fencing_token)
            elif isinstance(action, LeaseLost):
                self.counters[f"leases_lost_{action.reason.replace(' ', '_')}"] += 1
                log_event("lease lost", task=action.task, why=action.reason)
                self.on_lease_changed(action.task, 0)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self.stopped:
            return
        due = self.proposer.next_tick_in(self.clock())
        if self.tick_timer is not None and self.tick_timer.active():
            self.tick_timer.cancel()
        if due < math.inf:
            self.tick_timer = self.reactor.callLater(
                max(MIN_TICK_INTERVAL, due) / 1000, self.handle_event, Tick()
            )

    def _send_request(self, request: SendRequest) -> None:
        if request.acceptor == self.name:
            # In a turn of its own: the asker is in the middle of deciding.
            self.reactor.callLater(
                0, lambda: self._on_reply(self.name, self._answer_request(request.request))
            )
            return
        kind = request.request.kind
        call = self.transport.call(request.acceptor, kind, msgspec.msgpack.encode(request.request))
        call.addCallback(msgspec.msgpack.decode, type=Reply)
        call.addCallbacks(lambda reply: self._on_reply(request.acceptor, reply), self._on_request_failed)

    def _on_reply(self, acceptor: str, reply: Reply | None) -> None:
        if reply is not None and not self.stopped:
            self.handle_event(ReplyReceived(acceptor, reply))

    def _on_request_failed(self, reason) -> None:
        """A keeper that is away says nothing, and time does the rest."""
        reason.trap(CallError, msgspec.MsgspecError)
        self.counters["lease_requests_unanswered"] += 1

    # The keeper

    def handle_call(self, peer: str, kind: str, body: bytes):
        if kind == "show":
            return msgspec.json.encode(self.show())
        if peer == OBSERVER:
            raise CallError("a command may only look")
        if kind == "freed":
            self.handle_event(msgspec.msgpack.decode(body, type=LeaseReleased))
            return b""
        if kind in self.call_handlers:
            return self.call_handlers[kind](peer, body)
        if kind not in REQUEST_TYPES or self.acceptor is None:
            raise CallError(f"no keeper, or no call '{kind[:32]}'")
        try:
            request = msgspec.msgpack.decode(body, type=REQUEST_TYPES[kind])
        except msgspec.MsgspecError as fault:
            self.counters["peer_malformed_input"] += 1
            raise CallError(f"{kind}: {fault}") from None
        if request.proposer.partition("#")[0] != peer:
            self.counters["lease_requests_spoofed"] += 1
            raise CallError(f"{kind}: asked for another")
        return msgspec.msgpack.encode(self._answer_request(request))

    def _answer_request(self, request: Prepare | Propose | Release) -> Reply | None:
        if self.acceptor is None:
            return None
        reply, reserve, waiters = self.acceptor.handle(self.clock(), request)
        if not reply.accepted:
            self.counters[f"acceptor_rejected_{reply.reason}"] += 1
        if reserve is not None:
            self._persist_ballots(reserve)
        for waiter in waiters:
            self._notify_released(waiter, request.task)
        return reply

    def _notify_released(self, proposer: str, task: str) -> None:
        peer = proposer.partition("#")[0]
        if peer == self.name:
            self.reactor.callLater(0, lambda: self.stopped or self.handle_event(LeaseReleased(task)))
            return
        call = self.transport.call_inbound(peer, "freed", msgspec.msgpack.encode(LeaseReleased(task)))
        call.addErrback(self._on_request_failed)

    def _persist_ballots(self, reserve: PersistBallots) -> None:
        if self.persisting:
            return
        self.persisting = True
        writing = threads.deferToThread(acceptor_storage.store, self.config.state_dir, reserve.below)

        def stored(_: object) -> None:
            self.persisting = False
            self.acceptor.ballots_persisted(reserve.below)

        def failed(reason) -> None:
            # Nothing above what disk has is promised: the fleet goes on with the other keepers.
            self.persisting = False
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
            "fleet": self.config.name,
            "tasks": tasks,
            "keeps": acceptor_states,
            "keeper": self.acceptor is not None,
            "keeper_silent_ms": silent,
            "connections": {"out": sorted(self.transport.outbound), "in": sorted(self.transport.inbound)},
            **{name: show() for name, show in self.status_providers.items()},
        }
