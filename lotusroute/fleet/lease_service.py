"""The lease service of one process: its proposer, its acceptor if it is one, and the calls of its peers.

No decision about a flow depends on a lease, so a process serves traffic without a lease service as well.
"""

import os
import random
from collections import Counter
from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.internet.base import ReactorBase

from lotusroute.errors import ConfigError
from lotusroute.fleet.acceptor_host import RELEASED_CALL, AcceptorHost
from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.errors import NotAnAcceptorError, ObserverCallError, UnknownCallError
from lotusroute.fleet.peer_connection import OBSERVER, STATUS_CALL, PeerHandlers, ignore_peer_event
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.process_status import (
    ConnectionsStatus,
    ProcessStatus,
    encode_status,
    grant_statuses,
    lease_statuses,
)
from lotusroute.fleet.proposer_host import ProposerHost
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.messages import REQUEST_TYPES, LeaseEvent, LeaseReleased, RequestLease
from lotusroute.monotonic_clock import monotonic_ms


def ignore_lease_change(task: str, fencing_token: int) -> None:
    """Ignore a change of leases; the default callback."""


class LeaseService:
    """The leases of one process, and the connections to its peers."""

    def __init__(
        self,
        reactor: ReactorBase,
        config: FleetConfig,
        name: str,
        counters: Counter[str],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Set up without connecting; raises `ConfigError` if the configuration does not fit this process."""
        if name not in config.peers:
            raise ConfigError(f"LB_FLEET: peers: no address for '{name}', this balancer; add it there")
        self.reactor = reactor
        self.config = config
        self.name = name
        self.counters = counters
        self.clock = clock
        # Called with the task and the fencing token when a lease is acquired, and with 0 when it is lost.
        self.on_lease_changed: Callable[[str, int], object] = ignore_lease_change
        self.on_peer_disconnected: Callable[[str], object] = ignore_peer_event
        # Other services register their kinds of calls and sections of the status here before `start`.
        self.call_handlers: dict[str, Callable[[str, bytes], bytes]] = {}
        self.status_providers: dict[str, Callable[[], object]] = {}
        self._process = FleetProcess(
            reactor=reactor,
            config=config,
            name=name,
            counters=counters,
            rng=random.Random(os.urandom(16)),
            clock=clock,
        )
        handlers = PeerHandlers(handle_call=self.handle_call, on_disconnected=self._on_peer_disconnected)
        self.transport = PeerTransport(self._process, handlers)
        self.acceptor_host: AcceptorHost | None = None
        if name in config.terms.acceptors:
            self.acceptor_host = AcceptorHost(self._process, self.transport, self._on_local_release)
        answer_locally = None if self.acceptor_host is None else self.acceptor_host.answer
        self.proposer_host = ProposerHost(
            self._process, self.transport, answer_locally, self._on_lease_changed
        )

    def start(self) -> "defer.Deferred[None]":
        """Connect to the acceptors, request the configured tasks, and listen for connections of peers.

        The result fires once this process listens, or fails if it cannot.
        """
        for acceptor in self.config.terms.acceptors:
            if acceptor != self.name:
                self.transport.connect(acceptor)
        if self.acceptor_host is not None:
            self.acceptor_host.start()
        for task in self.config.tasks:
            self.handle_event(RequestLease(task))
        return self.transport.listen()

    def stop(self) -> None:
        """Release all leases, so that other processes can acquire them at once."""
        if not self.proposer_host.stopped:
            self.proposer_host.stop()

    def handle_event(self, event: LeaseEvent) -> None:
        """Pass an event to the proposer and carry out its actions."""
        self.proposer_host.handle_event(event)

    def fencing_token(self, task: str, max_duration: float) -> int:
        """Return the fencing token for an operation of at most `max_duration` ms; 0 if it must not begin."""
        return self.proposer_host.proposer.fencing_token(task, self._process.clock(), max_duration)

    def other_peers(self) -> list[str]:
        """Return the names of all other processes of the fleet."""
        return [peer for peer in self.config.peers if peer != self.name]

    def handle_call(self, peer: str, kind: str, body: bytes) -> bytes:
        """Handle a call of a peer and return the response's body; raises `CallError` to reject it."""
        if kind == STATUS_CALL:
            sections = {name: provide() for name, provide in self.status_providers.items()}
            return encode_status(self.status(), sections)
        if peer == OBSERVER:
            raise ObserverCallError(STATUS_CALL)
        if kind == RELEASED_CALL:
            self.handle_event(msgspec.msgpack.decode(body, type=LeaseReleased))
            return b""
        if kind in self.call_handlers:
            return self.call_handlers[kind](peer, body)
        if kind not in REQUEST_TYPES:
            raise UnknownCallError(kind)
        if self.acceptor_host is None:
            raise NotAnAcceptorError
        return self.acceptor_host.handle_call(peer, kind, body)

    def status(self) -> ProcessStatus:
        """Return the status of this process, without the sections of other services."""
        now = self._process.clock()
        acceptor = None if self.acceptor_host is None else self.acceptor_host.acceptor
        return ProcessStatus(
            name=self.name,
            fleet=self.config.name,
            leases=lease_statuses(self.proposer_host.proposer, now),
            grants={} if acceptor is None else grant_statuses(acceptor, now),
            is_acceptor=acceptor is not None,
            acceptor_silent_ms=0 if acceptor is None else round(max(0.0, acceptor.serving_from - now)),
            connections=ConnectionsStatus(
                outbound=sorted(self.transport.outbound), inbound=sorted(self.transport.inbound)
            ),
        )

    # The following methods look up the callback at each call, because services replace callbacks after the
    # construction.

    def _on_lease_changed(self, task: str, fencing_token: int) -> None:
        self.on_lease_changed(task, fencing_token)

    def _on_peer_disconnected(self, peer: str) -> None:
        self.on_peer_disconnected(peer)

    def _on_local_release(self, released: LeaseReleased) -> None:
        self.proposer_host.handle_event_unless_stopped(released)
