"""The receiving side of a relay: applies the origin's updates and rejects those of deposed origins."""

from collections.abc import Callable

from lotusroute.net.structured_log import log_event
from lotusroute.relay import messages
from lotusroute.relay.context import RelayContext
from lotusroute.relay.errors import DeposedError, StaleUpdateError, UnknownOriginError
from lotusroute.relay.replica import ReceivedUpdate
from lotusroute.relay.versioned_store import UpdateOutcome


class OriginFollower:
    """Applies the updates that one relay receives from the origin."""

    def __init__(self, context: RelayContext, on_store_changed: Callable[[], None]) -> None:
        self.context = context
        self.on_store_changed = on_store_changed
        self.highest_fencing_token = 0  # highest fencing token of all known origins, including this relay

    def on_update(self, peer: str, body: bytes, own_fencing_token: int) -> bytes:
        """Apply an update and return the acknowledgement.

        `own_fencing_token` is the fencing token of this relay while it is the origin, else 0. Raises a
        `RelayError` to reject an update.
        """
        message = messages.decode_update(body)
        fencing_token, _ = message.version
        self._check_origin(peer, fencing_token, own_fencing_token)
        if fencing_token > self.highest_fencing_token:
            log_event("origin followed", origin=peer, fencing_token=fencing_token)
        self.highest_fencing_token = fencing_token
        received_at = self.context.now()
        replica = self.context.replica
        received = replica.receive(message)
        if received is not None:
            self._handle_outcome(received)
        if replica.store.version == message.version:
            replica.confirm(received_at, message.age_ms)
        return replica.acknowledge(received)

    def _check_origin(self, peer: str, fencing_token: int, own_fencing_token: int) -> None:
        if peer not in self.context.lease_service.config.peers:
            self.context.counters["updates_fenced"] += 1
            raise UnknownOriginError(peer)
        if fencing_token < self.highest_fencing_token or fencing_token <= own_fencing_token:
            self.context.counters["updates_fenced"] += 1
            raise DeposedError(fencing_token, self.highest_fencing_token)

    def _handle_outcome(self, received: ReceivedUpdate) -> None:
        if received.outcome == UpdateOutcome.APPLIED:
            self.on_store_changed()
        elif received.outcome == UpdateOutcome.STALE:
            raise StaleUpdateError(received.update.version, self.context.replica.store.version)
