"""Runs the proposer of one process: sends its requests, passes it the replies, and schedules its ticks."""

import math
import os
from collections.abc import Callable

import msgspec
from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure

from lotusroute.fleet.errors import CallError
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.messages import (
    LeaseAcquired,
    LeaseAction,
    LeaseEvent,
    LeaseLost,
    LeaseRequest,
    ReleaseLease,
    Reply,
    ReplyReceived,
    SendRequest,
    Tick,
)
from lotusroute.leases.proposer import Proposer
from lotusroute.net.structured_log import log_event

MIN_TICK_INTERVAL_MS = 5.0


class ProposerHost:
    """Connects the proposer, which is a pure state machine, to the acceptors and a timer."""

    def __init__(
        self,
        process: FleetProcess,
        transport: PeerTransport,
        answer_locally: Callable[[LeaseRequest], Reply] | None,
        on_lease_changed: Callable[[str, int], object],
    ) -> None:
        """Set up without requesting a lease.

        `answer_locally` passes a request to the acceptor of this process; None if it has no acceptor.
        `on_lease_changed` is called with the task and the fencing token when a lease is acquired, and with 0
        when it is lost.
        """
        self.process = process
        self.transport = transport
        self.answer_locally = answer_locally
        self.on_lease_changed = on_lease_changed
        # The random suffix distinguishes this start of the process from earlier ones, whose leases it does
        # not hold.
        name = f"{process.name}#{os.urandom(4).hex()}"
        self.proposer = Proposer(name, process.config.terms, process.rng)
        self.tick_timer: DelayedCall | None = None
        self.stopped = False

    def handle_event(self, event: LeaseEvent) -> None:
        """Pass an event to the proposer and carry out its actions."""
        for action in self.proposer.handle(self.process.clock(), event):
            self._carry_out(action)
        self._schedule_tick()

    def handle_event_unless_stopped(self, event: LeaseEvent) -> None:
        """Handle an event that may arrive after `stop`."""
        if not self.stopped:
            self.handle_event(event)

    def stop(self) -> None:
        """Release all leases, so that other processes can acquire them at once."""
        self.stopped = True
        for task in list(self.proposer.states):
            self.handle_event(ReleaseLease(task))
        self._cancel_tick()

    def _carry_out(self, action: LeaseAction) -> None:
        match action:
            case SendRequest(acceptor, request):
                self._send_request(acceptor, request)
            case LeaseAcquired(task, fencing_token):
                self.process.counters["leases_acquired"] += 1
                log_event("lease acquired", task=task, fencing_token=fencing_token)
                self.on_lease_changed(task, fencing_token)
            case LeaseLost(task, reason):
                self.process.counters[f"leases_lost_{reason.replace(' ', '_')}"] += 1
                log_event("lease lost", task=task, reason=reason)
                self.on_lease_changed(task, 0)

    def _send_request(self, acceptor: str, request: LeaseRequest) -> None:
        if acceptor == self.process.name:
            # The request is answered in the reactor's next iteration, because the proposer is still handling
            # an event.
            self.process.reactor.callLater(0, self._request_locally, request)
            return
        call = self.transport.call(acceptor, request.kind, msgspec.msgpack.encode(request))
        reply = call.addCallback(msgspec.msgpack.decode, type=Reply)
        reply.addCallbacks(lambda reply: self._on_reply(acceptor, reply), self._on_call_failed)

    def _request_locally(self, request: LeaseRequest) -> None:
        """Send a request to the acceptor of this process."""
        if self.answer_locally is not None:
            self._on_reply(self.process.name, self.answer_locally(request))

    def _on_reply(self, acceptor: str, reply: Reply) -> None:
        self.handle_event_unless_stopped(ReplyReceived(acceptor, reply))

    def _on_call_failed(self, failure: Failure) -> None:
        """Count a request without a valid reply; the proposer's request timeout handles it."""
        failure.trap(CallError, msgspec.MsgspecError)
        self.process.counters["lease_requests_unanswered"] += 1

    def _schedule_tick(self) -> None:
        if self.stopped:
            return
        delay_ms = self.proposer.next_tick_in(self.process.clock())
        self._cancel_tick()
        if delay_ms < math.inf:
            delay_ms = max(MIN_TICK_INTERVAL_MS, delay_ms)
            self.tick_timer = self.process.reactor.callLater(delay_ms / 1000, self.handle_event, Tick())

    def _cancel_tick(self) -> None:
        if self.tick_timer is not None and self.tick_timer.active():
            self.tick_timer.cancel()
