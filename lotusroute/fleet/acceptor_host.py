"""Runs the acceptor of one process: answers lease requests, and persists ballots on a thread."""

import os
from collections.abc import Callable

import msgspec
from twisted.internet import threads
from twisted.python.failure import Failure

from lotusroute.errors import ConfigError
from lotusroute.fleet import acceptor_storage
from lotusroute.fleet.errors import CallError, MalformedRequestError, SpoofedRequestError
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.acceptor import BALLOT_BLOCK, Acceptor, PersistBallots
from lotusroute.leases.messages import REQUEST_TYPES, LeaseReleased, LeaseRequest, Reply
from lotusroute.net.structured_log import log_event

RELEASED_CALL = "freed"  # the kind, on the wire, of the call that notifies a waiting proposer of a release
MAX_LOGGED_REASON_LENGTH = 200  # the longest reason in a log record, in characters


def peer_of(proposer: str) -> str:
    """Return the name of the process that a proposer belongs to.

    >>> peer_of("n1#0a1b2c3d")
    'n1'
    """
    return proposer.partition("#")[0]


class AcceptorHost:
    """Connects the acceptor, which is a pure state machine, to the peers, the clock and the disk."""

    def __init__(
        self,
        process: FleetProcess,
        transport: PeerTransport,
        on_local_release: Callable[[LeaseReleased], None],
    ) -> None:
        """Load the persisted ballot; raises `ConfigError` if the state directory or its file cannot be used.

        `on_local_release` notifies the proposer of this process that a holder released its lease.
        """
        state_dir = process.config.state_dir
        if not state_dir or not os.path.isdir(state_dir):
            raise ConfigError(f"LB_FLEET: state: '{state_dir}' is not a directory; an acceptor needs one")
        self.process = process
        self.transport = transport
        self.on_local_release = on_local_release
        self.acceptor = Acceptor(process.config.terms, process.clock(), acceptor_storage.load(state_dir))
        self.persisting = False

    def start(self) -> None:
        """Persist the first block of ballots; logs an event as soon as the acceptor serves."""
        floor = self.acceptor.ballot_floor
        self._persist_ballots(PersistBallots(floor + BALLOT_BLOCK))
        delay_ms = max(0.0, self.acceptor.serving_from - self.process.clock())
        self.process.reactor.callLater(delay_ms / 1000, log_event, "acceptor serving", floor=floor)

    def handle_call(self, peer: str, kind: str, body: bytes) -> bytes:
        """Answer a request of a kind in REQUEST_TYPES; raises `CallError` if it is invalid."""
        try:
            request = msgspec.msgpack.decode(body, type=REQUEST_TYPES[kind])
        except msgspec.MsgspecError as error:
            self.process.counters["peer_malformed_input"] += 1
            raise MalformedRequestError(kind, str(error)) from None
        if peer_of(request.proposer) != peer:
            self.process.counters["lease_requests_spoofed"] += 1
            raise SpoofedRequestError(kind, request.proposer)
        return msgspec.msgpack.encode(self.answer(request))

    def answer(self, request: LeaseRequest) -> Reply:
        """Return the acceptor's reply to a request; persists ballots and notifies proposers as it decides."""
        decision = self.acceptor.handle(self.process.clock(), request)
        if not decision.reply.accepted:
            self.process.counters[f"acceptor_rejected_{decision.reply.reason}"] += 1
        if decision.persist is not None:
            self._persist_ballots(decision.persist)
        for proposer in decision.notify:
            self._notify_released(proposer, request.task)
        return decision.reply

    def _notify_released(self, proposer: str, task: str) -> None:
        """Notify a waiting proposer that the holder released the lease."""
        peer = peer_of(proposer)
        released = LeaseReleased(task)
        if peer == self.process.name:
            self.process.reactor.callLater(0, self.on_local_release, released)
            return
        call = self.transport.call_inbound(peer, RELEASED_CALL, msgspec.msgpack.encode(released))
        call.addErrback(self._on_call_failed)

    def _on_call_failed(self, failure: Failure) -> None:
        """Count a failed notification; the waiting proposer retries on its timer."""
        failure.trap(CallError)
        self.process.counters["lease_requests_unanswered"] += 1

    def _persist_ballots(self, persist: PersistBallots) -> None:
        """Write a ballot to disk on a thread; does nothing during another write."""
        if self.persisting:
            return
        self.persisting = True
        state_dir = self.process.config.state_dir
        writing = threads.deferToThread(acceptor_storage.store, state_dir, persist.below)
        writing.addCallbacks(lambda _: self._on_persisted(persist.below), self._on_persist_failed)

    def _on_persisted(self, below: int) -> None:
        self.persisting = False
        self.acceptor.ballots_persisted(below)

    def _on_persist_failed(self, failure: Failure) -> None:
        # This acceptor promises no ballot that is not persisted; the fleet continues with the others.
        self.persisting = False
        self.process.counters["acceptor_storage_failures"] += 1
        log_event("acceptor storage failed", reason=str(failure.value)[:MAX_LOGGED_REASON_LENGTH])
