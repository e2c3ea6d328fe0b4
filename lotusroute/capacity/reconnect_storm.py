"""What a herd costs at discovery: many followers of one list, in one process, begin or come back at once.

Owns one such run: a discovery that serves so many answers a second, and hollow balancers that are nothing but
the program's own `Discovery`. It must never leave loopback or run longer than told.
"""

import time
from collections import Counter

from twisted.internet import defer, reactor
from twisted.web import server

from lotusroute.capacity.stubs import Targets, entry
from lotusroute.net.discovery import Discovery


def run(followers: int, answers: float, hosts: int, down: float, seconds: float, grace: float) -> dict:
    """Play it once; returns calls in the first 10 s and at rest, and when the first lists were in."""
    began = reactor.seconds()
    targets = Targets([entry(f"s-{at}") for at in range(hosts)], answers, began + down)
    port = reactor.listenTCP(0, server.Site(targets), interface="127.0.0.1")
    first: dict[int, float] = {}
    counters, cpu = Counter(), time.process_time()
    for at in range(followers):
        one = Discovery(
            ("127.0.0.1", port.getHost().port),
            0,
            at,
            lambda _, at=at: first.setdefault(at, reactor.seconds() - began - down),
            counters,
            grace,
            False,
        )
        defer.ensureDeferred(one.follow())
    reactor.callLater(down + seconds, reactor.stop)
    reactor.run(installSignalHandlers=False)
    calls = [at - began - down for at in targets.calls]
    took = sorted(first.values())
    return {
        "followers": followers,
        "calls_10s": sum(at < 10.0 for at in calls),
        "busiest_second": max(Counter(int(at) for at in calls).values(), default=0),
        "at_rest_a_second": round(sum(at >= seconds - 5.0 for at in calls) / 5.0, 1),
        **{key: targets.counters[key] for key in ("refused", "given_up", "watches", "answers")},
        "without_a_list": followers - len(took),
        "first_list_s": {"p50": round(took[len(took) // 2], 2), "last": round(took[-1], 2)} if took else {},
        "cpu_s": round(time.process_time() - cpu, 2),
    }
