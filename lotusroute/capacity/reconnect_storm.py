"""Measures a reconnect storm at discovery: many clients poll it at once when it starts or recovers.

Everything runs in one process: a discovery stub that answers at a limited rate, and clients that are the
balancer's own `Discovery` class. Importing this module installs the balancer's reactor if none is
installed yet. Times are in seconds on the reactor's clock unless a name ends in `_ms`.
"""

import time
from collections import Counter
from dataclasses import dataclass

from twisted.internet import defer
from twisted.web import server

from lotusroute.address import Address
from lotusroute.capacity.discovery_resource import DiscoveryResource
from lotusroute.capacity.stubs import DISCARD_PORT
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.reactor import reactor
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.process_control.free_ports import LOOPBACK
from lotusroute.timing.poll_limits import PollLimits

# Time after discovery becomes available in which polls count as part of the storm.
STORM_DURATION_S = 10.0
# Time at the end of a run over which the rate of polls at rest is measured; the storm is taken to be over by
# then.
REST_DURATION_S = 5.0


@dataclass(frozen=True, slots=True)
class StormOptions:
    """The parameters of a storm."""

    clients: int
    hosts: int  # servers in the endpoint list
    answers_per_s: float  # largest rate at which discovery answers polls
    down_s: float  # time at the start of the run for which discovery gives no answer
    duration_s: float  # duration of the rest of the run, in which discovery answers
    grace_ms: float  # grace period that the clients give draining servers


@dataclass(frozen=True, slots=True)
class FirstListTimes:
    """When clients received their first endpoint list, in s after discovery became available."""

    p50: float
    last: float


@dataclass(frozen=True, slots=True)
class StormFigures:
    """The figures of one run."""

    clients: int
    polls_first_10s: int  # polls in the 10 s after discovery became available
    max_polls_per_second: int  # polls in the second that had the most
    polls_per_second_at_rest: float  # mean rate of polls in the last 5 s of the run
    rejected: int  # polls that the stub rejected, because its queue was full or the poll waited too long
    abandoned: int  # polls whose client closed the connection before the answer
    watches: int  # long polls that the stub took from its queue
    answers: int  # other polls that it answered
    clients_without_list: int  # clients that have no endpoint list at the end of the run
    first_list_s: FirstListTimes | None  # None if no client received a list
    cpu_s: float  # CPU time of the whole process, which runs both the clients and the stub


class StormClients:
    """Clients that poll one discovery service, and when each received its first list."""

    def __init__(self, port: int, grace_ms: float, available_from: float) -> None:
        # When each client received its first list, in s after discovery became available; keyed by its index.
        self.first_lists: dict[int, float] = {}
        self._address = Address(LOOPBACK, port)
        self._grace_ms = grace_ms
        self._available_from = available_from
        self._counters: Counter[str] = Counter()

    def start_client(self, index: int) -> None:
        """Start a client; its index is also the seed of its random delays."""

        def record(_update: object) -> None:
            self.first_lists.setdefault(index, reactor.seconds() - self._available_from)

        limits = PollLimits.for_remote_discovery(self._grace_ms)
        discovery = Discovery(self._address, 0, index, record, self._counters, limits)
        defer.ensureDeferred(discovery.follow())


def run_storm(options: StormOptions) -> StormFigures:
    """Run one storm and return its figures."""
    available_from = reactor.seconds() + options.down_s
    entries = [endpoint_entry(f"s-{index}", DISCARD_PORT) for index in range(options.hosts)]
    discovery = DiscoveryResource(entries, options.answers_per_s, available_from)
    listener = reactor.listenTCP(0, server.Site(discovery), interface=LOOPBACK)
    clients = StormClients(listener.getHost().port, options.grace_ms, available_from)
    cpu_started = time.process_time()
    for index in range(options.clients):
        clients.start_client(index)
    reactor.callLater(options.down_s + options.duration_s, reactor.stop)
    reactor.run(installSignalHandlers=False)
    cpu_s = time.process_time() - cpu_started
    poll_times = [timestamp - available_from for timestamp in discovery.poll_times]
    first_lists = sorted(clients.first_lists.values())
    return StormFigures(
        clients=options.clients,
        polls_first_10s=sum(elapsed < STORM_DURATION_S for elapsed in poll_times),
        max_polls_per_second=max(Counter(int(elapsed) for elapsed in poll_times).values(), default=0),
        polls_per_second_at_rest=_rate_at_rest(poll_times, options.duration_s),
        rejected=discovery.counters["rejected"],
        abandoned=discovery.counters["abandoned"],
        watches=discovery.counters["watches"],
        answers=discovery.counters["answers"],
        clients_without_list=options.clients - len(first_lists),
        first_list_s=_first_list_times(first_lists),
        cpu_s=round(cpu_s, 2),
    )


def _rate_at_rest(poll_times: list[float], duration_s: float) -> float:
    polls = sum(elapsed >= duration_s - REST_DURATION_S for elapsed in poll_times)
    return round(polls / REST_DURATION_S, 1)


def _first_list_times(ascending: list[float]) -> FirstListTimes | None:
    if not ascending:
        return None
    median = ascending[len(ascending) // 2]
    return FirstListTimes(round(median, 2), round(ascending[-1], 2))
