"""The balancer's own graceful shutdown.

New flows are rejected, flows in flight are finished, all clients are migrated to other balancers, and the
process ends when every last line is written, before the platform kills it. Owns when the shutdown started and
whom to tell of its end. All times are milliseconds.
"""

from collections.abc import Callable

from lotusroute.net.admission import AdmissionControl
from lotusroute.net.config import BalancerConfig
from lotusroute.net.draining import MIGRATION_INTERVAL, BatchMigrator
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.flow_manager import FlowManager
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.reasons import MigrationReason
from lotusroute.net.structured_log import log_event

# All in ms; those "after the start" count from the order to stop.
MIGRATION_START = 450.0  # after the start: until then the front sends new clients here, migrated ones too
MIGRATION_SPREAD = 1_300.0  # over which clients are migrated then, so that other balancers see no storm
MIN_DURATION = 900.0  # new clients come for 400 after the start, and later still on a busy core
MAX_CONNECT_TIMEOUT = 3_000.0  # the longest connect timeout that is waited for before the kill
ANSWER_MARGIN = 350.0  # of the 700 beyond that timeout, after which no flow may be left unanswered
FLUSH_TIME = 200.0  # between the last answer and the end, in which it is written and read


def _ignore_end() -> None:
    """Stand in for the callback until the shutdown starts."""


class GracefulShutdown:
    """Ends the balancer in order, step by step."""

    def __init__(
        self,
        config: BalancerConfig,
        loop: EventLoop,
        flows: FlowManager,
        table: FlowTable,
        admission: AdmissionControl,
        migrator: BatchMigrator,
        drain_timer: CoalescedTimer,
        has_pending_answers: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._flows = flows
        self._table = table
        self._admission = admission
        self._migrator = migrator
        self._drain_timer = drain_timer
        self._has_pending_answers = has_pending_answers  # whether clients without a flow are owed an answer
        self._answer_limit = min(config.longest_connect_timeout, MAX_CONNECT_TIMEOUT) + ANSWER_MARGIN
        self._started_at = 0.0
        self._last_busy = 0.0  # ms after the start when there were flows last
        self._on_stopped: Callable[[], None] = _ignore_end

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has started."""
        return bool(self._started_at)

    def start(self, on_stopped: Callable[[], None]) -> None:
        """Begin, unless begun already; `on_stopped` is called when all clients are gone."""
        if self.in_progress:
            return
        self._started_at = self._loop.clock()
        self._on_stopped = on_stopped
        self._admission.close()
        log_event("shutdown started", flows=len(self._table))
        self._drain_timer.schedule()

    def step(self, now: float) -> None:
        """Migrate the next batch, reject what is late, and end or schedule the next step."""
        elapsed = now - self._started_at
        established = self._table.established()
        if elapsed >= MIGRATION_START:
            # Where all connect timeouts are short the kill comes before the spread is over.
            migration_end = min(MIGRATION_START + MIGRATION_SPREAD, self._answer_limit - ANSWER_MARGIN)
            self._migrator.migrate_batch(established, migration_end - elapsed, MigrationReason.SHUTDOWN)
        if elapsed >= self._answer_limit:
            self._flows.reject_unfinished()
        if established or self._table:
            # Ending in the step that migrated the last clients cut them off: their MOVE was never written.
            self._last_busy = elapsed
        if self._finished(elapsed):
            self._on_stopped()
        else:
            self._drain_timer.schedule()

    def _finished(self, elapsed: float) -> bool:
        """Return whether the time is over, or all is done.

        By counts, not by time alone: clients that came while this process was stalled are still to be read
        and answered.
        """
        end = self._answer_limit + FLUSH_TIME
        if elapsed < min(end, max(MIN_DURATION, self._last_busy + FLUSH_TIME)):
            return False
        if elapsed >= end + MIGRATION_INTERVAL:
            return True
        return not (self._has_pending_answers() or self._loop.backlog)
