"""The leased task `watch`: one balancer polls discovery and sends each update to all others.

The holder of the lease sends updates with its fencing token, and heartbeats between them. The others, its
followers, poll discovery themselves when no message has arrived for `HOLDER_TIMEOUT_MS`, or while the holder
has a newer version than they do. They reject updates with a lower fencing token than one accepted before. A
holder without a recent response of discovery sends no heartbeats. `SharedDiscovery` is the `UpdateSource` of
the `Discovery` client. Times are in milliseconds.
"""

from typing import Any

import msgspec
from twisted.python.failure import Failure

from lotusroute.fleet.errors import CallError, DeposedHolderError, UpdateNotFollowedError
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.peer_connection import MAX_BODY_BYTES
from lotusroute.net.discovery.endpoint_list import EndpointListMessage
from lotusroute.net.discovery.update_source import DiscoveryClient
from lotusroute.net.interruptible_wait import InterruptibleWait
from lotusroute.net.structured_log import log_event
from lotusroute.timing.poll_limits import LONG_POLL_HOLD_MS

TASK = "watch"  # the leased task, and the kind of the call that carries an update
# Three heartbeats fit into HOLDER_TIMEOUT_MS, so that the loss of one has no effect.
HEARTBEAT_INTERVAL_S = 0.4
# After this time without a message, a balancer polls discovery itself. The rest of the limit of 2 s for a
# drain remains for the poll.
HOLDER_TIMEOUT_MS = 1_500.0
# If discovery's last response is older than this, the holder sends no heartbeats. Discovery may hold a poll
# for LONG_POLL_HOLD_MS before it responds.
MAX_RESPONSE_AGE_MS = LONG_POLL_HOLD_MS + 1_000.0
# The longest time that sending a message may take; no message is sent if less time is left of the lease.
MAX_SEND_DURATION_MS = 50.0
NEVER_MS = -1e12  # a time before any other
NO_SEQ = -1  # stands for the absence of a version


class SharedUpdate(msgspec.Struct, array_like=True):
    """A heartbeat, or an update with endpoints; the order of its fields is the wire format."""

    fencing_token: int
    discovery_url: str  # versions of another discovery service cannot be compared
    seq: int  # the version of the holder's list
    since: int = NO_SEQ  # the version that `entries` are changes to; NO_SEQ in a complete list or a heartbeat
    complete: bool = False  # whether `entries` are the complete list
    entries: list[dict[str, Any]] | None = None  # discovery's entries; None in a heartbeat


class SharedDiscovery:
    """Shared discovery in one balancer, which is the holder of the lease or a follower."""

    def __init__(self, lease_service: LeaseService) -> None:
        self.lease_service = lease_service
        self.reactor = lease_service.reactor
        self.counters = lease_service.counters
        self.discovery: DiscoveryClient | None = None  # the current discovery client; replaced at a reload
        self.fencing_token = 0  # the fencing token of the lease; 0 unless this balancer holds the lease
        self.highest_fencing_token = 0  # the highest fencing token of the messages accepted so far
        self.last_update_at = NEVER_MS  # the time in ms at which the holder's last message was accepted
        self.holder_seq = NO_SEQ  # the version that the holder had at its last message
        self.last_response_at = NEVER_MS  # the time in ms of discovery's last response to this balancer
        self._wait = InterruptibleWait(self.reactor)  # used by `wait_until_poll_due`
        lease_service.call_handlers[TASK] = self.on_update
        lease_service.on_lease_changed = self.on_lease_changed

    # The `UpdateSource` interface, called by the discovery client

    async def wait_until_poll_due(self, discovery: DiscoveryClient) -> None:
        """Wait until this balancer has to poll discovery itself, or the discovery client is closed."""
        while not (self.fencing_token or self._is_behind() or discovery.closed):
            remaining = self.last_update_at + HOLDER_TIMEOUT_MS - self.lease_service.clock()
            if remaining <= 0:
                break
            await self._wait.wait(remaining / 1000)
        self.counters["shared_discovery_fallback_requests"] += 1

    def wake(self) -> None:
        """Make a pending `wait_until_poll_due` evaluate its condition again."""
        self._wait.wake()

    def age(self) -> float:
        """Return the maximum age of the endpoint list in s: the time since the holder's last message."""
        return (self.lease_service.clock() - self.last_update_at) / 1000

    def on_response(self, message: EndpointListMessage, since: int | None) -> None:
        """Send a response of discovery to the others, if this balancer is the holder."""
        self.last_response_at = self.lease_service.clock()
        if self.discovery is None or not self.lease_service.fencing_token(TASK, MAX_SEND_DURATION_MS):
            return
        if message["hosts"] or message["whole"]:
            update = SharedUpdate(
                fencing_token=self.fencing_token,
                discovery_url=self.discovery.list_url,
                seq=message["seq"],
                since=NO_SEQ if since is None else since,
                complete=message["whole"],
                entries=message["hosts"],
            )
            self._broadcast(update)

    def on_failure(self) -> None:
        """Stop the heartbeats until discovery's next response, so that the others poll themselves."""
        self.last_response_at = NEVER_MS

    # Sending, by the holder

    def on_lease_changed(self, task: str, fencing_token: int) -> None:
        """Start sending heartbeats when this balancer acquires the lease; stop when it loses it."""
        if task != TASK:
            return
        self.fencing_token = fencing_token
        self.wake()
        if fencing_token:
            for peer in self.lease_service.other_peers():
                self.lease_service.transport.connect(peer)
            self._send_heartbeat(fencing_token)

    def _send_heartbeat(self, fencing_token: int) -> None:
        """Send a heartbeat, and repeat it for as long as the lease with this fencing token is held."""
        if fencing_token != self.fencing_token:
            return
        self.reactor.callLater(HEARTBEAT_INTERVAL_S, self._send_heartbeat, fencing_token)
        if self.discovery is None or self.discovery.version is None:
            return
        response_is_recent = self.lease_service.clock() - self.last_response_at < MAX_RESPONSE_AGE_MS
        if response_is_recent and self.lease_service.fencing_token(TASK, MAX_SEND_DURATION_MS):
            self._broadcast(SharedUpdate(fencing_token, self.discovery.list_url, self.discovery.version))

    def _broadcast(self, update: SharedUpdate) -> None:
        body = msgspec.msgpack.encode(update)
        if len(body) > MAX_BODY_BYTES:
            # The next heartbeat carries the new version, which makes the followers poll.
            self.counters["shared_discovery_oversized"] += 1
            return
        self.counters["shared_discovery_sent"] += 1
        for peer in self.lease_service.other_peers():
            self.lease_service.transport.call(peer, TASK, body).addErrback(self._on_send_failed)

    def _on_send_failed(self, failure: Failure) -> None:
        """Count a message that was not delivered; the follower polls discovery if it misses an update."""
        failure.trap(CallError)
        self.counters["shared_discovery_unsent"] += 1

    # Receiving, by a follower

    def on_update(self, peer: str, body: bytes) -> bytes:
        """Handle an update or a heartbeat of the holder; raises `CallError` to reject it."""
        update = msgspec.msgpack.decode(body, type=SharedUpdate)
        if update.fencing_token < self.highest_fencing_token:
            self.counters["shared_discovery_fenced"] += 1
            raise DeposedHolderError(update.fencing_token, self.highest_fencing_token)
        discovery = self.discovery
        if discovery is None or update.discovery_url != discovery.list_url or self.fencing_token:
            raise UpdateNotFollowedError
        if update.fencing_token > self.highest_fencing_token:
            log_event("shared discovery followed", holder=peer, fencing_token=update.fencing_token)
        self.highest_fencing_token = update.fencing_token
        self.last_update_at = self.lease_service.clock()
        self.holder_seq = update.seq
        if update.entries is not None:
            self._apply(discovery, update)
        if self._is_behind():
            self.wake()
        return b""

    def _apply(self, discovery: DiscoveryClient, update: SharedUpdate) -> None:
        """Pass the update to the discovery client, which validates it like a response to its own poll."""
        message: EndpointListMessage = {
            "seq": update.seq,
            "whole": update.complete,
            "hosts": update.entries,
        }
        since = None if update.since < 0 else update.since
        applied = discovery.apply_shared_update(message, since)
        self.counters["shared_discovery_applied"] += applied

    def _is_behind(self) -> bool:
        """Return whether this balancer needs a complete list, or the holder has a newer version of it."""
        if self.discovery is None or self.discovery.version is None:
            return True
        return self.discovery.version < self.holder_seq
