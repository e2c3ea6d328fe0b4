"""The time limits of polls, by the protocol's deadlines and the grace of a drain.

All times are seconds unless a name ends in `_ms`.
"""

from dataclasses import dataclass

from lotusroute.monotonic_clock import MS_PER_SECOND

# By the protocol, a change counts as received this long after discovery has it.
MAX_UPDATE_DELAY_S = 6.0
# What a new discovery has to tell counts as received this long after the reload that names its address.
MAX_UPDATE_DELAY_AFTER_RELOAD_S = 4.0
LONG_POLL_HOLD_MS = 2_000  # longest time for which discovery holds a poll while there are no changes
# The grace that a client without service settings, such as a relay, assumes.
ASSUMED_DRAIN_GRACE_MS = 2_000.0
TIMING_MARGIN_S = 0.15  # allowance for a busy CPU and for network latency
# Longest time that a poll waits in discovery's queue, behind the polls of other balancers, before it fails.
QUEUE_TIMEOUT_S = 2.0
# Timeout of a complete response, which is added to the hold. The shorter one applies if discovery queues no
# polls: if the last response came within half of it after the hold.
REQUEST_TIMEOUT_S = QUEUE_TIMEOUT_S + 0.3
UNQUEUED_REQUEST_TIMEOUT_S = 1.0
# Bounds of the timeout of an agent on this machine, which has the list and responds at once.
MIN_AGENT_REQUEST_TIMEOUT_S = 0.1
MAX_AGENT_REQUEST_TIMEOUT_S = 1.0
# Longest backoff after a first failure. It must be shorter than the 200 ms that a watch event may take.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_AGENT_BACKOFF_S = 0.5  # shorter than for a remote discovery, because polls cost an agent almost nothing
# Time reserved for the backoff after a rejection. It is long enough to spread the retries of 200 balancers
# whose polls are rejected at the same time, so that these do not arrive as another storm.
MIN_REJECTION_BACKOFF_S = 1.2


@dataclass(frozen=True, slots=True)
class PollLimits:
    """Time limits of polls and backoffs."""

    discovery_is_local_agent: bool
    update_interval: float  # longest time from one complete response to the end of the next
    request_timeout: float  # timeout of a complete response, which is added to the hold
    unqueued_request_timeout: float  # the request timeout if discovery queues no polls
    max_request_timeout: float  # the longest request timeout that measured times may lead to
    queue_timeout: float
    max_backoff: float

    @classmethod
    def for_remote_discovery(cls, drain_grace_ms: float) -> "PollLimits":
        """Return the limits for a discovery that serves many balancers.

        In the worst case, discovery comes back up just after a poll was sent that is never answered. The
        timeout of that poll, the backoff after it, a rejection and a queued poll have to fit into the
        interval.
        """
        update_interval = _update_interval(drain_grace_ms)
        left = update_interval - REQUEST_TIMEOUT_S - MIN_REJECTION_BACKOFF_S - QUEUE_TIMEOUT_S
        return cls(
            discovery_is_local_agent=False,
            update_interval=update_interval,
            request_timeout=REQUEST_TIMEOUT_S,
            unqueued_request_timeout=UNQUEUED_REQUEST_TIMEOUT_S,
            max_request_timeout=REQUEST_TIMEOUT_S,
            queue_timeout=QUEUE_TIMEOUT_S,
            max_backoff=min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, left)),
        )

    @classmethod
    def for_local_agent(cls, drain_grace_ms: float) -> "PollLimits":
        """Return the limits for an agent on this machine.

        A change counts as received as soon as the agent has it, even if the agent cannot be reached. Half of
        the grace is for the timeout that detects an unresponsive agent, a quarter for the backoff. An agent
        has no queue.
        """
        grace = drain_grace_ms / MS_PER_SECOND
        timeout = min(max(MIN_AGENT_REQUEST_TIMEOUT_S, grace / 2), MAX_AGENT_REQUEST_TIMEOUT_S)
        return cls(
            discovery_is_local_agent=True,
            update_interval=_update_interval(drain_grace_ms),
            request_timeout=timeout,
            unqueued_request_timeout=timeout,
            max_request_timeout=MAX_AGENT_REQUEST_TIMEOUT_S,
            queue_timeout=0.0,
            max_backoff=min(MAX_AGENT_BACKOFF_S, max(MIN_BACKOFF_S, grace / 4)),
        )


def _update_interval(drain_grace_ms: float) -> float:
    return MAX_UPDATE_DELAY_S + drain_grace_ms / MS_PER_SECOND - TIMING_MARGIN_S
