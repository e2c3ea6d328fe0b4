"""The lease service of one process: connects the pure proposer and acceptor to peers, timers and the disk.

It sends the proposer's requests to the acceptors, answers those of other processes with the own acceptor, if
this process is one, and persists ballots on a thread. The process serves traffic without it all the same: no
decision about a flow depends on a lease.
"""

import math
import os
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import defer, threads
from twisted.internet.base import DelayedCall, ReactorBase
from twisted.python.failure import Failure

from lotusroute.errors import ConfigError
from lotusroute.fleet import acceptor_storage
from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.peer_connection import OBSERVER, SHOW_CALL, CallError
from lotusroute.fleet.transport import PeerTransport, ignore_peer
from lotusroute.leases.acceptor import BALLOT_BLOCK, Acceptor, AcceptorState, PersistBallots
from lotusroute.leases.messages import (
    REQUEST_TYPES,
    LeaseAcquired,
    LeaseAction,
    LeaseEvent,
    LeaseLost,
    LeaseReleased,
    LeaseRequest,
    ReleaseLease,
    Reply,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)
from lotusroute.leases.proposer import Proposer, ProposerState
from lotusroute.monotonic_clock import monotonic_ms
from lotusroute.net.structured_log import log_event

RELEASED_CALL = "freed"  # the kind of the call that notifies a waiting proposer of a release
MIN_TICK_INTERVAL = 5.0  # ms


def ignore_lease(task: str, fencing_token: int) -> None:
    """Ignore a change of leases; the default callback."""


def peer_of(proposer: str) -> str:
    """Return the name of the process that a proposer belongs to.

    >>> peer_of("n1#0a1b2c3d")
    'n1'
    """
    return proposer.partition("#")[0]


class LeaseService:
    """The proposer of one process, its acceptor if it is one, and their connections to the peers."""

    def __init__(
        self,
        reactor: ReactorBase,
        config: FleetConfig,
        name: str,
        counters: Counter,
        on_lease_changed: Callable[[str, int], object] = ignore_lease,
    ) -> None:
        """Set up without connecting; raises `ConfigError` where the configuration does not fit this process.

        `on_lease_changed(task, fencing_token)` is called when this process acquires a lease, and with 0 when
        it loses one.
        """
        if name not in config.peers:
            raise ConfigError(f"LB_FLEET: peers: '{name}', this balancer, is not among them")
        self.reactor = reactor
        self.config = config
        self.name = name
        self.counters = counters
        self.on_lease_changed = on_lease_changed
        self.on_peer_disconnected: Callable[[str], object] = ignore_peer
        # Further kinds of calls and further sections of the status; services add theirs before the start.
        self.call_handlers: dict[str, Callable[[str, bytes], bytes]] = {}
        self.status_providers: dict[str, Callable[[], object]] = {}
        rng = random.Random(os.urandom(16))
        # The suffix is unique to this start: what an earlier process of this name holds is not ours.
        self.proposer = Proposer(f"{name}#{os.urandom(4).hex()}", config.terms, rng)
        self.transport = PeerTransport(
            reactor, config, name, rng, counters, self.handle_call, on_disconnected=self._peer_disconnected
        )
        self.acceptor = self._create_acceptor()
        self.persisting = False
        self.tick_timer: DelayedCall | None = None
        self.stopped = False

    def _create_acceptor(self) -> Acceptor | None:
        """Create the acceptor with its persisted ballot; None if this process is not an acceptor."""
        if self.name not in self.config.terms.acceptors:
            return None
        state_dir = self.config.state_dir
        if not state_dir or not os.path.isdir(state_dir):
            raise ConfigError(f"LB_FLEET: state: '{state_dir}' is no folder, and a keeper needs one")
        return Acceptor(self.config.terms, self.clock(), acceptor_storage.load(state_dir))

    clock = staticmethod(monotonic_ms)

    def start(self) -> "defer.Deferred[None]":
        """Connect to the acceptors and request the configured tasks; the result is that of listening."""
        for acceptor in self.config.terms.acceptors:
            if acceptor != self.name:
                self.transport.connect(acceptor)
        if self.acceptor is not None:
            self._start_acceptor(self.acceptor)
        for task in self.config.tasks:
            self.handle_event(RequestLease(task))
        return self.transport.listen()

    def _start_acceptor(self, acceptor: Acceptor) -> None:
        floor = acceptor.ballot_floor
        self._persist_ballots(acceptor, PersistBallots(floor + BALLOT_BLOCK))
        silent = max(0.0, acceptor.serving_from - self.clock())
        self.reactor.callLater(silent / 1000, log_event, "acceptor serving", floor=floor)

    def stop(self) -> None:
        """Release all leases, so that other processes can acquire them at once."""
        if self.stopped:
            return
        self.stopped = True
        for task in list(self.proposer.states):
            self.handle_event(ReleaseLease(task))
        self._cancel_tick()

    def fencing_token(self, task: str, max_duration: float) -> int:
        """Return the fencing token for an act of at most `max_duration` ms; 0 if it must not begin."""
        return self.proposer.fencing_token(task, self.clock(), max_duration)

    def other_peers(self) -> list[str]:
        """Return all processes of the fleet but this one."""
        return [peer for peer in self.config.peers if peer != self.name]

    def _peer_disconnected(self, peer: str) -> None:
        self.on_peer_disconnected(peer)

    # The proposer

    def handle_event(self, event: LeaseEvent) -> None:
        """Pass an event to the proposer and carry out its actions."""
        for action in self.proposer.handle(self.clock(), event):
            self._carry_out(action)
        self._schedule_tick()

    def _carry_out(self, action: LeaseAction) -> None:
        match action:
            case SendRequest(acceptor, request):
                self._send_request(acceptor, request)
            case LeaseAcquired(task, fencing_token):
                self.counters["leases_acquired"] += 1
                log_event("lease acquired", task=task, fencing_token=fencing_token)
                self.on_lease_changed(task, fencing_token)
            case LeaseLost(task, reason):
                self.counters[f"leases_lost_{reason.replace(' ', '_')}"] += 1
                log_event("lease lost", task=task, reason=reason)
                self.on_lease_changed(task, 0)

    def _schedule_tick(self) -> None:
        if self.stopped:
            return
        delay = self.proposer.next_tick_in(self.clock())
        self._cancel_tick()
        if delay < math.inf:
            delay = max(MIN_TICK_INTERVAL, delay)
            self.tick_timer = self.reactor.callLater(delay / 1000, self.handle_event, Tick())

    def _cancel_tick(self) -> None:
        if self.tick_timer is not None and self.tick_timer.active():
            self.tick_timer.cancel()

    def _send_request(self, acceptor: str, request: LeaseRequest) -> None:
        if acceptor == self.name:
            # On the reactor's next iteration: the proposer is still handling an event.
            self.reactor.callLater(0, self._request_locally, request)
            return
        call = self.transport.call(acceptor, request.kind, msgspec.msgpack.encode(request))
        reply = call.addCallback(msgspec.msgpack.decode, type=Reply)
        reply.addCallbacks(lambda reply: self._on_reply(acceptor, reply), self._on_call_failed)

    def _request_locally(self, request: LeaseRequest) -> None:
        """Send a request of the own proposer to the own acceptor."""
        if self.acceptor is not None:
            self._on_reply(self.name, self._answer_request(self.acceptor, request))

    def _on_reply(self, acceptor: str, reply: Reply) -> None:
        if not self.stopped:
            self.handle_event(ReplyReceived(acceptor, reply))

    def _on_call_failed(self, failure: Failure) -> None:
        """Count an unanswered call; the proposer's timeouts handle it."""
        failure.trap(CallError, msgspec.MsgspecError)
        self.counters["lease_requests_unanswered"] += 1

    # Calls from peers

    def handle_call(self, peer: str, kind: str, body: bytes) -> bytes:
        """Handle a call of a peer and return the response's body; raises `CallError` to reject it."""
        if kind == SHOW_CALL:
            return msgspec.json.encode(self.show())
        if peer == OBSERVER:
            raise CallError("a command may only look")
        if kind == RELEASED_CALL:
            self.handle_event(msgspec.msgpack.decode(body, type=LeaseReleased))
            return b""
        if kind in self.call_handlers:
            return self.call_handlers[kind](peer, body)
        return self._handle_request(peer, kind, body)

    # The acceptor

    def _handle_request(self, peer: str, kind: str, body: bytes) -> bytes:
        if kind not in REQUEST_TYPES or self.acceptor is None:
            raise CallError(f"no keeper, or no call '{kind[:32]}'")
        try:
            request = msgspec.msgpack.decode(body, type=REQUEST_TYPES[kind])
        except msgspec.MsgspecError as error:
            self.counters["peer_malformed_input"] += 1
            raise CallError(f"{kind}: {error}") from None
        if peer_of(request.proposer) != peer:
            self.counters["lease_requests_spoofed"] += 1
            raise CallError(f"{kind}: asked for another")
        return msgspec.msgpack.encode(self._answer_request(self.acceptor, request))

    def _answer_request(self, acceptor: Acceptor, request: LeaseRequest) -> Reply:
        decision = acceptor.handle(self.clock(), request)
        if not decision.reply.accepted:
            self.counters[f"acceptor_rejected_{decision.reply.reason}"] += 1
        if decision.persist is not None:
            self._persist_ballots(acceptor, decision.persist)
        for proposer in decision.notify:
            self._notify_released(proposer, request.task)
        return decision.reply

    def _notify_released(self, proposer: str, task: str) -> None:
        """Notify a waiting proposer that the holder released the lease."""
        peer = peer_of(proposer)
        released = LeaseReleased(task)
        if peer == self.name:
            self.reactor.callLater(0, self._on_local_release, released)
            return
        call = self.transport.call_inbound(peer, RELEASED_CALL, msgspec.msgpack.encode(released))
        call.addErrback(self._on_call_failed)

    def _on_local_release(self, released: LeaseReleased) -> None:
        if not self.stopped:
            self.handle_event(released)

    def _persist_ballots(self, acceptor: Acceptor, persist: PersistBallots) -> None:
        """Write a ballot on a thread; one write at a time."""
        if self.persisting:
            return
        self.persisting = True
        writing = threads.deferToThread(acceptor_storage.store, self.config.state_dir, persist.below)
        writing.addCallbacks(lambda _: self._persisted(acceptor, persist.below), self._persist_failed)

    def _persisted(self, acceptor: Acceptor, below: int) -> None:
        self.persisting = False
        acceptor.ballots_persisted(below)

    def _persist_failed(self, failure: Failure) -> None:
        # No ballot above the persisted one is promised: the fleet goes on with the other acceptors.
        self.persisting = False
        self.counters["acceptor_storage_failures"] += 1
        log_event("acceptor storage failed", reason=str(failure.value)[:200])

    # The status

    def show(self) -> dict[str, Any]:
        """Return the status for `leases show` and `fleet show`; times in ms from now."""
        now = self.clock()
        acceptor_states: dict[str, AcceptorState] = {}
        silent = 0
        if self.acceptor is not None:
            acceptor_states = self.acceptor.states
            silent = round(max(0.0, self.acceptor.serving_from - now))
        return {
            "name": self.name,
            "fleet": self.config.name,
            "tasks": {task: _show_proposer(state, now) for task, state in self.proposer.states.items()},
            "keeps": {task: _show_acceptor(state, now) for task, state in acceptor_states.items()},
            "keeper": self.acceptor is not None,
            "keeper_silent_ms": silent,
            "connections": {"out": sorted(self.transport.outbound), "in": sorted(self.transport.inbound)},
            **{name: provide() for name, provide in self.status_providers.items()},
        }


def _show_proposer(state: ProposerState, now: float) -> dict[str, Any]:
    holds = state.holds(now)
    retry_in = 0.0
    if state.retry_at > -math.inf:
        retry_in = max(0.0, state.retry_at - now)
    return {
        "holds": holds,
        "fence": state.ballot if holds else 0,
        "left_ms": round(state.expires_at - now) if holds else 0,
        "step": state.phase,
        "asks_in_ms": round(retry_in),
        "highest_seen": state.highest_ballot,
    }


def _show_acceptor(state: AcceptorState, now: float) -> dict[str, Any]:
    return {
        "holder": state.holder,
        "fence": state.ballot,
        "promised": state.promised,
        "left_ms": round(max(0.0, state.expires_at - now)) if state.holder else 0,
    }
