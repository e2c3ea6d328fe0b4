"""The balancer's own graceful shutdown.

New flows are rejected, flows in flight are finished and all clients are migrated to other balancers. The
process exits when all clients' last lines are written, before the platform kills it. Owns the time at which
the shutdown started and the callback for its end. Times are milliseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lotusroute.net.flows.admission import AdmissionControl
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.draining import MIGRATION_INTERVAL_MS, BatchMigrator, DrainStep
from lotusroute.net.flows.endings import FlowEndings
from lotusroute.net.reasons import MigrationReason
from lotusroute.net.structured_log import log_event

# Time from the start of the shutdown to the first migrations. Until then the front-end load balancer still
# sends clients to this balancer, including those that it has just migrated.
MIGRATION_START_MS = 450.0
# Time over which clients are migrated, so that other balancers see no connection storm.
MIGRATION_SPREAD_MS = 1_300.0
# Shortest duration of the shutdown. The front end keeps sending clients for 400 ms, and a busy core reads
# their requests late.
MIN_DURATION_MS = 900.0
# The platform waits for the longest connect timeout, but no longer than this, before it kills the process.
MAX_CONNECT_TIMEOUT_MS = 3_000.0
# Answers may be given until this long after the connect timeout. The platform kills the process 700 ms after
# the connect timeout.
ANSWER_MARGIN_MS = 350.0
FLUSH_TIME_MS = 200.0  # time from the last answer to the exit, in which the answer is written and read


@dataclass(frozen=True, slots=True)
class PendingWork:
    """What the end of the process would cut off, besides the flows in the flow table."""

    # Returns whether clients still wait for an answer, or for a last line that the system has not taken yet.
    has_pending_answers: Callable[[], bool]
    # Returns whether a peer has still to receive what the system has taken.
    has_undelivered_data: Callable[[], bool]


def _ignore_end() -> None:
    """Do nothing, as the callback until the shutdown starts."""


class GracefulShutdown:
    """Shuts the balancer down step by step."""

    def __init__(
        self,
        context: BalancerContext,
        endings: FlowEndings,
        admission: AdmissionControl,
        migrator: BatchMigrator,
        pending_work: PendingWork,
    ) -> None:
        self._loop = context.loop
        self._flow_table = context.flow_table
        self._drain_timer = context.drain_timer
        self._endings = endings
        self._admission = admission
        self._migrator = migrator
        self._pending_work = pending_work
        connect_timeout = min(context.config.longest_connect_timeout, MAX_CONNECT_TIMEOUT_MS)
        # Time from the start of the shutdown until the last flows are answered.
        self._answer_limit = connect_timeout + ANSWER_MARGIN_MS
        self._started_at = 0.0
        self._last_active_elapsed = 0.0  # time from the start to the last step that found flows
        self._on_stopped: Callable[[], None] = _ignore_end
        self._final_step_queued = False

    @property
    def in_progress(self) -> bool:
        """Whether the shutdown has started."""
        return bool(self._started_at)

    def start(self, on_stopped: Callable[[], None]) -> None:
        """Start the shutdown, unless it has started; `on_stopped` is called when no client is left."""
        if self.in_progress:
            return
        self._started_at = self._loop.clock()
        self._on_stopped = on_stopped
        self._admission.close()
        log_event("shutdown started", flows=len(self._flow_table))
        self._drain_timer.schedule()

    def step(self, now: float) -> None:
        """Migrate the next batch, reject flows that are too late, and finish or schedule the next step."""
        elapsed = now - self._started_at
        established = self._flow_table.established()
        if elapsed >= MIGRATION_START_MS:
            # If all connect timeouts are short, the platform kills the process before the spread is over.
            spread_end = MIGRATION_START_MS + MIGRATION_SPREAD_MS
            migration_end = min(spread_end, self._answer_limit - ANSWER_MARGIN_MS)
            self._migrator.migrate_batch(established, migration_end - elapsed, MigrationReason.SHUTDOWN)
        if elapsed >= self._answer_limit:
            self._endings.reject_unfinished()
        if established or self._flow_table:
            # Flows that this step has ended count too. If the process exited in the step that migrates the
            # last clients, these would be cut off before their MOVE is written.
            self._last_active_elapsed = elapsed
        if not self._finished(elapsed):
            self._drain_timer.schedule()
        elif self._loop.backlog and not self._final_step_queued:
            # What arrived while this process was stalled is queued behind this step, perhaps a receipt whose
            # client still has to be migrated.
            self._final_step_queued = True
            self._loop.enqueue(DrainStep())
        else:
            self._on_stopped()

    def _finished(self, elapsed: float) -> bool:
        """Return whether the time limit is reached or nothing is left to do.

        Elapsed time alone is not enough: clients that connected while this process was stalled still have to
        be read and answered. Peers that are slow to receive data are waited for until the last answers are
        due, since the exit itself takes time, too.
        """
        end = self._answer_limit + FLUSH_TIME_MS
        if elapsed < min(end, max(MIN_DURATION_MS, self._last_active_elapsed + FLUSH_TIME_MS)):
            return False
        if elapsed >= end + MIGRATION_INTERVAL_MS:
            return True
        if self._pending_work.has_pending_answers() or self._loop.backlog:
            return False
        return elapsed >= self._answer_limit or not self._pending_work.has_undelivered_data()
