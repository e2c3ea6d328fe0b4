"""Measures a connection storm at discovery: many clients poll it at once as it starts or comes back.

All run in one process: a discovery stub with a limited rate of answers, and clients that are the program's
own `Discovery`. The reactor has to be installed before this module is imported.
"""

import time
from collections import Counter
from dataclasses import asdict, dataclass

from twisted.internet import defer
from twisted.web import server

from lotusroute.capacity.discovery_resource import DiscoveryResource
from lotusroute.capacity.stubs import entry
from lotusroute.net.discovery import Discovery
from lotusroute.net.poll_schedule import PollLimits
from lotusroute.net.reactor import reactor

STORM_SECONDS = 10.0  # from the first answer on, whose polls are counted
REST_SECONDS = 5.0  # at the end of a run, by which the rate at rest is measured


@dataclass(frozen=True, slots=True)
class StormFigures:
    """The figures of one run."""

    followers: int  # clients
    calls_10s: int  # polls in the first 10 s
    busiest_second: int  # polls in the second that had most
    at_rest_a_second: float  # polls a second in the last 5 s
    refused: int  # polls rejected by the stub
    given_up: int  # polls whose client closed the connection before its answer
    watches: int
    answers: int
    without_a_list: int  # clients that have no endpoint list at the end
    first_list_s: dict[str, float]  # when clients had their first list: p50 and last; empty if none had
    cpu_s: float


class StormClients:
    """Clients that poll one discovery, and when each had its first list."""

    def __init__(self, port: int, grace: float, available_from: float) -> None:
        self.first_lists: dict[int, float] = {}  # by client: s since discovery was available
        self._port = port
        self._grace = grace
        self._available_from = available_from
        self._counters: Counter[str] = Counter()

    def start_client(self, index: int) -> None:
        """Start one client, whose index is its seed as well."""

        def record(_update: object) -> None:
            self.first_lists.setdefault(index, reactor.seconds() - self._available_from)

        address = ("127.0.0.1", self._port)
        limits = PollLimits.for_remote_discovery(self._grace)
        discovery = Discovery(address, 0, index, record, self._counters, limits)
        defer.ensureDeferred(discovery.follow())


def run(followers: int, answers: float, hosts: int, down: float, seconds: float, grace: float) -> dict:
    """Run a storm once and return its figures.

    Discovery lists `hosts` servers and gives `answers` answers a second, none in the first `down` seconds;
    the run ends `seconds` after those. `grace` is the clients' grace period of a drain, in ms.
    """
    available_from = reactor.seconds() + down
    discovery = DiscoveryResource([entry(f"s-{index}") for index in range(hosts)], answers, available_from)
    listener = reactor.listenTCP(0, server.Site(discovery), interface="127.0.0.1")
    clients = StormClients(listener.getHost().port, grace, available_from)
    cpu_started = time.process_time()
    for index in range(followers):
        clients.start_client(index)
    reactor.callLater(down + seconds, reactor.stop)
    reactor.run(installSignalHandlers=False)
    cpu_seconds = time.process_time() - cpu_started
    poll_times = [timestamp - available_from for timestamp in discovery.poll_times]
    first_lists = sorted(clients.first_lists.values())
    figures = StormFigures(
        followers=followers,
        calls_10s=sum(elapsed < STORM_SECONDS for elapsed in poll_times),
        busiest_second=max(Counter(int(elapsed) for elapsed in poll_times).values(), default=0),
        at_rest_a_second=_rate_at_rest(poll_times, seconds),
        refused=discovery.counters["refused"],
        given_up=discovery.counters["given_up"],
        watches=discovery.counters["watches"],
        answers=discovery.counters["answers"],
        without_a_list=followers - len(first_lists),
        first_list_s=_summarize(first_lists),
        cpu_s=round(cpu_seconds, 2),
    )
    return asdict(figures)


def _rate_at_rest(poll_times: list[float], seconds: float) -> float:
    polls = sum(elapsed >= seconds - REST_SECONDS for elapsed in poll_times)
    return round(polls / REST_SECONDS, 1)


def _summarize(first_lists: list[float]) -> dict[str, float]:
    if not first_lists:
        return {}
    median = first_lists[len(first_lists) // 2]
    return {"p50": round(median, 2), "last": round(first_lists[-1], 2)}
