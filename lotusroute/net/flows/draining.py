"""Migrates clients in small batches, so that other servers and balancers see no connection storm.

`ServerDraining` does so for the clients of draining servers, `GracefulShutdown` for all clients when the
balancer itself shuts down. Times are milliseconds.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.reasons import MigrationReason

MIGRATION_INTERVAL_MS = 50.0  # the time between two batches of migrations


class DrainStep(NamedTuple):
    """The next batch of migrations is due, for a draining server or the balancer's shutdown."""


class BatchMigrator:
    """Migrates clients in batches; owns the random generator that rounds the size of a batch."""

    def __init__(self, migrate: Callable[[int, MigrationReason], None], rng: random.Random) -> None:
        """`migrate` takes the number of a flow."""
        self._migrate = migrate
        self._rng = rng

    def migrate_batch(self, candidates: list[ActiveFlow], time_left: float, reason: MigrationReason) -> None:
        """Migrate the share of the candidates that is needed to migrate all of them within `time_left`.

        A fractional batch size is rounded up or down at random. If 200 balancers with one or two clients of a
        draining server each rounded it up, they would migrate most clients in the first step, as a connection
        storm.
        """
        batch_size = len(candidates) / max(1.0, time_left / MIGRATION_INTERVAL_MS)
        for flow in candidates[: int(batch_size + self._rng.random())]:
            self._migrate(flow.number, reason)


class ServerDraining:
    """Migrates the clients of draining servers.

    Not every server asks its clients to reconnect elsewhere, and clients that are still connected to it when
    it stops are cut off.
    """

    def __init__(self, context: BalancerContext, migrator: BatchMigrator) -> None:
        self._flow_table = context.flow_table
        self._endpoints = context.endpoints
        self._drain_timer = context.drain_timer
        self._migrator = migrator

    def migrate_clients(self, now: float) -> None:
        """Migrate the next batch of each draining server's clients."""
        for server, deadline in self._endpoints.drain_deadlines.items():
            # The table is read again for each server, because migrating one server's clients changes it. A
            # lookup shared by two servers that drain at once could leave no candidates to the second.
            candidates = [
                flow for flow in self._flow_table.established() if flow.established_upstream.server == server
            ]
            self._migrator.migrate_batch(candidates, deadline - now, MigrationReason.SERVER_DRAINS)

    def schedule_next_step(self) -> None:
        """Schedule a further step while a flow is connected, or connecting, to a draining server."""
        attempts = (flow.upstream for flow in self._flow_table if flow.upstream is not None)
        if any(self._endpoints.is_draining(attempt.server) for attempt in attempts):
            self._drain_timer.schedule()
