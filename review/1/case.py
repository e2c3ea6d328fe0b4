"""Case 1: balancers that are killed and come back while discovery is silent answer their first requests late.

The front (as on PROTOCOL.md) goes on sending to a dead balancer until it notices, so clients connect as soon as
the new process listens. Each client keeps its connection until it has an answer, to see when that comes.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins
from standins import LOOPBACK, SLACK_S, Balancer, CaseError, Discovery, Server

BALANCERS = 4
KILLED = 2  # of 4: the pages allow seven in ten
SERVERS = 12
DOWN_S = 8.0  # discovery is down for so long
DOWN_BEFORE_KILL_S = 1.0
BACK_AFTER_S = 1.8  # zanella-serra: balancers come back after 1.8 to 7.1 s
FRONT_NOTICE_S = 3.3  # zanella-serra: the front goes on sending to a dead balancer for 1.7 to 3.3 s
REQUESTS_PER_S = 120.0
TRAFFIC_S = 12.0
LATE_S = 0.5  # up to so long after its time an answer only earns nothing; later it is lost
WAIT_S = 3.0  # how long after its time a client waits to see whether an answer still comes
# zanella-serra has 4800, 2000 and 1800 ms; STANDING.md, "Few balancers, narrow moments": settings may give
# shorter deadlines.
DEADLINES_MS = {"leitura-palete": 1200, "posicao-caminhao": 400, "painel-doca": 250}
SETTINGS = {
    "discovery": "push",
    "service_type": "conn",
    "service_types": [
        {"name": name, "setup_target": min(300, deadline), "deadline": deadline, "effect": "read_like",
         "group": "all", "window": 5000, "stream": True, "earnings": 5, "late_earnings": 0}
        for name, deadline in DEADLINES_MS.items()
    ],
    "limits": {"max_connects": 4, "connect_timeout": 250, "retry_after": True, "max_retry_after": 2000,
               "cancel": True, "probes": True, "peers": False, "second_copies": False},
    "rules": {"stop_sending_within": 2000, "cold_from": 0.14, "warm_after": 24000, "tip_multiple": 3,
              "overload_for": 2000, "grace_to_answer": 20, "ask_every": 10000},
    "family_info": {"groups": True, "message_aim": [60, 100, 250], "mode": "proxy"},
    "tenants": [{"name": "transvale", "share": 0.6}, {"name": "fretesul", "share": 0.4}],
    "weights": "rough",
}


class Front:
    """Deals out connections among the balancers that it takes for alive."""

    def __init__(self, record, balancers):
        self.record = record
        self.taken_in = set(balancers)

    def choose(self):
        return random.choice(sorted(self.taken_in, key=lambda balancer: balancer.name))

    async def notice(self, balancer):
        """Notice the death of a balancer late, and take the new process in once it answers PING."""
        await asyncio.sleep(FRONT_NOTICE_S)
        if not await standins.answers_ping(balancer.port):
            self.taken_in.discard(balancer)
            self.record(f"front leaves {balancer.name} out")
            await balancer.wait_until_ready()
            self.taken_in.add(balancer)


class Results:
    def __init__(self):
        self.requests = 0
        self.lost = []


async def request(record, front, results, number):
    """Open one flow as a client does; return when it has its answer, or none in time."""
    service = random.choice(list(DEADLINES_MS))
    deadline = DEADLINES_MS[service]
    flow = f"{number:04x}{random.getrandbits(48):012x}"
    balancer = front.choose()
    started = balancer.process
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, balancer.port)
    except OSError:
        return False  # refused: nothing was taken
    line = f"OPEN {flow} k{random.randrange(1000)} c={service},t=transvale,d={deadline},g=g{random.randrange(60)}"
    answer = None
    try:
        writer.write(line.encode() + b"\r\n")
        sent_at = time.monotonic()
        record(f"client to {balancer.name}: {line}")
        answer = await asyncio.wait_for(reader.readline(), deadline / 1000 + WAIT_S)
    except asyncio.TimeoutError:
        pass
    except ConnectionError:
        answer = b""
    answered_at = time.monotonic()
    writer.close()
    if balancer.process is not started or started.poll() is not None:
        return False  # the process that had taken it was killed: the client's to repeat
    results.requests += 1
    late = answered_at - sent_at - deadline / 1000
    record(f"client {flow} d={deadline}: {answer!r} after {answered_at - sent_at:.3f} s")
    if not answer or late > LATE_S + SLACK_S:
        text = f"lost: {flow} at {balancer.name}, d={deadline} ms: {answer!r} {answered_at - sent_at:.3f} s after it was sent"
        results.lost.append(text)
        record(text)
    return True


async def client(record, front, results, number):
    """Come again after a refused connection, as clients do, until a balancer takes the request."""
    while not await request(record, front, results, number):
        await asyncio.sleep(random.uniform(0.015, 0.120))  # zanella-serra: backoff of 15 to 120 ms


async def traffic(record, front, results):
    clients = []
    until = time.monotonic() + TRAFFIC_S
    while time.monotonic() < until:
        clients.append(asyncio.create_task(client(record, front, results, len(clients))))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*clients)


async def case(record, temporary, balancers):
    servers = [await Server(record, f"s-{index:02d}", f"zone-{index % 4}", index).start() for index in range(SERVERS)]
    discovery = await Discovery(record, "discovery", servers).start()
    balancers += [Balancer(record, temporary, index, BALANCERS, discovery, SETTINGS) for index in range(BALANCERS)]
    for balancer in balancers:
        balancer.start()
    await asyncio.gather(*(balancer.wait_until_ready() for balancer in balancers))
    front = Front(record, balancers)
    results = Results()
    clients = asyncio.create_task(traffic(record, front, results))
    await asyncio.sleep(2.0)
    if standins.trouble_is_on():
        discovery.begin_outage()
        await asyncio.sleep(DOWN_BEFORE_KILL_S)
        struck = random.sample(balancers, KILLED)
        for balancer in struck:
            balancer.kill()
        noticing = [asyncio.create_task(front.notice(balancer)) for balancer in struck]
        await asyncio.sleep(BACK_AFTER_S)
        for balancer in struck:
            balancer.start()
        await asyncio.sleep(DOWN_S - DOWN_BEFORE_KILL_S - BACK_AFTER_S)
        discovery.end_outage()
        await asyncio.gather(*noticing)
    await clients
    for balancer in balancers:
        if balancer.process.poll() is not None:
            raise CaseError(f"{balancer.name} ended with {balancer.process.returncode}")
    for text in results.lost:
        print(text)
    record.say(f"{results.requests} requests taken, {len(results.lost)} lost")
    if results.requests < 100:
        raise CaseError("too few requests")
    return standins.BROKEN if results.lost else standins.HELD


standins.run_case(case, pathlib.Path(__file__).resolve().parent)
