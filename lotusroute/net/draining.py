"""Migrating clients away in small batches, so that other servers and balancers see no connection storm.

Used for the clients of draining servers, here, and for all clients at the balancer's own shutdown. All times
are milliseconds.
"""

import random
from typing import NamedTuple

from lotusroute.net.endpoints import EndpointRegistry
from lotusroute.net.event_loop import CoalescedTimer
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.flow_manager import FlowManager
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.reasons import MigrationReason

MIGRATION_INTERVAL = 50.0  # ms between batches


class DrainStep(NamedTuple):
    """It is time for the next batch, at a draining server or at the balancer's shutdown."""


class BatchMigrator:
    """Migrates clients in batches; owns the generator that rounds the size of a batch."""

    def __init__(self, flows: FlowManager, rng: random.Random) -> None:
        self._flows = flows
        self._rng = rng

    def migrate_batch(self, candidates: list[ActiveFlow], time_left: float, reason: MigrationReason) -> None:
        """Migrate as many flows as brings all away within `time_left` ms.

        A fraction of a flow is sampled: two hundred balancers that rounded their one or two up were a
        connection storm in the first step.
        """
        batch_size = len(candidates) / max(1.0, time_left / MIGRATION_INTERVAL)
        for flow in candidates[: int(batch_size + self._rng.random())]:
            self._flows.migrate(flow.number, reason)


class ServerDraining:
    """Migrates the clients of draining servers.

    Not every server asks its clients to leave; those that it still serves when it stops are cut off.
    """

    def __init__(
        self,
        table: FlowTable,
        endpoints: EndpointRegistry,
        migrator: BatchMigrator,
        drain_timer: CoalescedTimer,
    ) -> None:
        self._table = table
        self._endpoints = endpoints
        self._migrator = migrator
        self._drain_timer = drain_timer

    def migrate_clients(self, now: float) -> None:
        """Migrate the next batch of each draining server's clients."""
        for server, deadline in self._endpoints.drain_deadlines.items():
            # Looked up again for each: the first of two that drained at once had left none to the second.
            candidates = [flow for flow in self._table.established() if flow.connection.server == server]
            self._migrator.migrate_batch(candidates, deadline - now, MigrationReason.SERVER_DRAINS)

    def schedule_next_step(self) -> None:
        """Schedule a further step while a flow is connected, or connecting, to a draining server."""
        attempts = (flow.upstream for flow in self._table if flow.upstream is not None)
        if any(self._endpoints.is_draining(attempt.server) for attempt in attempts):
            self._drain_timer.schedule()
