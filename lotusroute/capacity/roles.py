"""Measures each role at several sizes.

Owns what a role is, how a size of it is set up, and which figures come of it. It must never leave loopback,
run without a bound, or report a figure of a run that did not do what it was to do.
"""

import asyncio
import contextlib
import random
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

from lotusroute.capacity import processes
from lotusroute.capacity.processes import Started, cpu, fits, rss, write

SETTLE = 4.0  # s after all are linked, before anything is counted
HOLLOW_EACH = 60  # hollow balancers in one process: more, and it is that process that is measured
KEEPERS = 3
SERVERS = 8  # names of one stand-in: one alone that is slow for a moment is all there is, and refused
LINES = 20  # of each client, one after the other, 16 clients at a time
REALS = 5  # balancers that are processes of their own, where there are so many
SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "siblings": 1,
    "me": 0,
}

DRAWN = random.SystemRandom()
GIVEN: set[int] = set()  # ports that this run has given out; a run's processes bound it
Say = Callable[[str], None]
Points = dict[str, tuple[str, list[tuple[float, float]]]]  # by role.what: unit, points


def add(points: Points, name: str, unit: str, size: float, value: float) -> None:
    """Keep one figure."""
    points.setdefault(name, (unit, []))[1].append((size, value))


def port() -> int:
    """A port for a process that is still to start: below the range that the system hands out by itself, or a
    connection of another process has it meanwhile."""
    while True:
        found = DRAWN.randrange(10_000, 32_000)
        if found in GIVEN:
            continue
        GIVEN.add(found)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", found)):
            return found


@contextlib.contextmanager
def discovery(hosts: int, dial: int = 9) -> Iterator[tuple[Started, int]]:
    """A stand-in discovery in a process of its own; yields it with its port."""
    at = port()
    call = ["-m", "lotusroute.capacity.discovery_stub", str(at), str(hosts), "1e6", "0", str(dial)]
    started = Started(call, {})
    try:
        started.wait("event=ready")
        yield started, at
    finally:
        started.end()


def balancer(folder, name: str, listen: int, where: int, env: dict, hosts: tuple = ()) -> Started:
    """Start a real balancer."""
    told = {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{where}",
        "seed": name,
        "settings": SETTINGS,
        "known": {"seq": 0, "hosts": list(hosts)},
        "limits": {"sockets": 16_384, "memory_mb": 4_096},
    }
    file = write(folder / f"{name}.json", told)
    return Started(["-m", "lotusroute"], {"LB_CONFIG": file, "LB_LOG": "INFO", **env})


def ready(listen: int) -> None:
    """Wait until a balancer answers PONG."""
    until = time.monotonic() + processes.PATIENCE
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", listen), 1.0) as conn:
            conn.sendall(b"PING\r\n")
            if conn.recv(64) == b"PONG\r\n":
                return
        time.sleep(0.05)
    raise RuntimeError("no PONG")


# A linked fleet at rest


def fleet(size: int, seconds: float, hosts: int, points: Points, say: Say) -> None:
    """A linked fleet with the task `watch` at rest: holder, keepers, others, and what discovery is asked."""
    reals = min(REALS, size)
    say(fits(reals + 1 + (size - reals + HOLLOW_EACH - 1) // HOLLOW_EACH, size - reals))
    names = [f"n{at + 1}" for at in range(size)]
    ports = {name: port() for name in names}
    with processes.folder() as folder, discovery(hosts) as (targets, where), contextlib.ExitStack() as stack:
        peers = "\n".join(f'{name} = "127.0.0.1:{at}"' for name, at in ports.items())
        keepers = ", ".join(f'"{name}"' for name in names[:KEEPERS])
        real, hollow = {}, []
        for name in names[:reals]:
            (folder / name).mkdir()
            file = folder / f"{name}.toml"
            file.write_text(
                f'name = "scale"\nstate = "{folder / name}"\nkeepers = [{keepers}]\n'
                f'tasks = ["watch"]\n[peers]\n{peers}\n'
            )
            real[name] = balancer(folder, name, port(), where, {"LB_FLEET": str(file)})
            stack.callback(real[name].end)
        holder, started = None, time.monotonic()
        while holder is None:
            if time.monotonic() > started + processes.PATIENCE:
                raise RuntimeError("nobody holds `watch`")
            held = (name for name, one in real.items() if any("lease acquired" in x for x in one.lines))
            holder = next(held, None)
            time.sleep(0.05)
        file = folder / "hollow.toml"
        # Hollow ones ask for another task: the holder of this one is a process of its own.
        file.write_text(f'name = "scale"\nkeepers = [{keepers}]\ntasks = ["check"]\n[peers]\n{peers}\n')
        for at in range(reals, size, HOLLOW_EACH):
            told = {
                "fleet": str(file),
                "names": names[at : at + HOLLOW_EACH],
                "discovery": f"127.0.0.1:{where}",
            }
            one = Started(["-m", "lotusroute.capacity.hollow", write(folder / f"hollow{at}.json", told)], {})
            stack.callback(one.end)
            hollow.append(one)
        for one in hollow:
            one.wait("event=ready")
        time.sleep(SETTLE)
        others = [name for name in real if name != holder]
        before = {name: (cpu(one.pid), one.counters()) for name, one in real.items()}
        asked, began = targets.counters(), time.monotonic()
        time.sleep(seconds)
        after = {name: (cpu(one.pid), one.counters()) for name, one in real.items()}
        calls, took = targets.counters(), time.monotonic() - began

        def rate(name: str, key: str) -> float:
            return (after[name][1].get(key, 0) - before[name][1].get(key, 0)) / took

        def percent(name: str) -> float:
            return 100 * (after[name][0] - before[name][0]) / took

        told_a_second = rate(holder, "shared_discovery_sent")
        if told_a_second <= 0:
            raise RuntimeError(f"{holder} held and told nobody anything")
        add(points, "holder.cpu", "% of a core", size, percent(holder))
        add(points, "holder.messages", "calls out a second", size, rate(holder, "peer_calls_sent"))
        add(
            points,
            "holder.bytes",
            "B a second, both ways",
            size,
            rate(holder, "peer_bytes_received") + rate(holder, "peer_bytes_sent"),
        )
        add(points, "holder.memory", "MB", size, rss(real[holder].pid))
        followers = [name for name in others if name not in names[:KEEPERS]] or others
        add(points, "balancer.cpu", "% of a core", size, sum(map(percent, followers)) / len(followers))
        add(
            points,
            "balancer.bytes",
            "B a second, both ways",
            size,
            sum(rate(n, "peer_bytes_received") + rate(n, "peer_bytes_sent") for n in followers)
            / len(followers),
        )
        add(points, "balancer.memory", "MB", size, sum(rss(real[n].pid) for n in followers) / len(followers))
        keeping = [name for name in names[:KEEPERS] if name != holder]
        add(points, "keeper.cpu", "% of a core", size, sum(map(percent, keeping)) / len(keeping))
        add(
            points,
            "keeper.messages",
            "calls in a second",
            size,
            sum(rate(n, "peer_calls_received") for n in keeping) / len(keeping),
        )
        add(points, "keeper.memory", "MB", size, sum(rss(real[n].pid) for n in keeping) / len(keeping))
        add(
            points,
            "discovery.calls",
            "calls a second",
            size,
            (calls.get("calls", 0) - asked.get("calls", 0)) / took,
        )


# The list


def followers(size: int, seconds: float, hosts: int, points: Points, say: Say) -> None:
    """Balancers that each call discovery by themselves, as in `run`: what they cost there."""
    say(fits(2, size))
    with processes.folder() as folder, discovery(hosts) as (targets, where):
        names = [f"n{at + 1}" for at in range(size)]
        told = {"names": names, "discovery": f"127.0.0.1:{where}"}
        one = Started(["-m", "lotusroute.capacity.direct_followers", write(folder / "f.json", told)], {})
        try:
            one.wait("event=ready")
            time.sleep(SETTLE)
            before, asked, began = cpu(targets.pid), targets.counters(), time.monotonic()
            mine = cpu(one.pid)
            time.sleep(seconds)
            calls, took = targets.counters(), time.monotonic() - began
            add(
                points,
                "discovery.alone.calls",
                "calls a second",
                size,
                (calls["calls"] - asked["calls"]) / took,
            )
            add(points, "discovery.alone.cpu", "% of a core", size, 100 * (cpu(targets.pid) - before) / took)
            spent = 100 * (cpu(one.pid) - mine) / took
            add(points, "follower.cpu", "% of a core, of all together", size, spent)
        finally:
            one.end()


def listing(size: int, seconds: float, hosts: int, points: Points, say: Say) -> None:
    """A list of so many servers: its bytes, reading it, and ranking by it; a change of one of them."""
    import json

    from lotusroute.capacity.stubs import entry
    from lotusroute.net.endpoint_list import parse_endpoint_list
    from lotusroute.routing import events
    from lotusroute.routing.director import Director

    say(fits(1))
    whole = {"seq": 1, "whole": True, "hosts": [entry(f"s-{at:08x}", 9_000) for at in range(size)]}
    body = json.dumps(whole).encode()
    add(points, "list.bytes", "B", size, len(body))
    director = Director(
        events.ServiceConfig({"live": events.ServiceType(300.0)}, groups_share_work=True, max_attempts=4), 1
    )

    def timed(do: Callable[[], object]) -> float:
        best = float("inf")
        for _ in range(3):
            start = time.process_time()
            do()
            best = min(best, time.process_time() - start)
        return 1000 * best

    news = parse_endpoint_list(whole, events.COMPLETE)
    add(
        points,
        "list.read",
        "ms of CPU",
        size,
        timed(lambda: parse_endpoint_list(json.loads(body), events.COMPLETE)),
    )
    add(
        points,
        "list.take",
        "ms of CPU",
        size,
        timed(lambda: director.decide(0.0, events.EndpointList(events.COMPLETE, news.servers))),
    )
    add(
        points,
        "list.change",
        "ms of CPU",
        size,
        timed(lambda: director.decide(0.0, events.EndpointList(events.CHANGES, news.servers[:1]))),
    )
    number = 0

    def flows() -> None:
        nonlocal number
        for _ in range(200):
            number += 1
            director.decide(1.0, events.Flow(number, "live", None, f"g{number}", f"k{number}", 2_000.0))
            director.decide(2.0, events.ClientDisconnected(number))

    add(points, "decisions.flow", "ms of CPU, each in a segment of its own", size, timed(flows) / 200)


# The data plane


async def _flows(at: int, size: int) -> None:
    from lotusroute.capacity.stubs import Client

    async def some(first: int) -> None:
        for number in range(first, size, 16):
            client = await Client.open(at, number)
            await client.close()

    await asyncio.gather(*(some(first) for first in range(16)))


async def _standing(at: int, size: int, seconds: float, then: Callable[[str], None]) -> int:
    from lotusroute.capacity.stubs import Client

    clients = []
    for first in range(0, size, 32):
        clients += await asyncio.gather(*(Client.open(at, n) for n in range(first, min(size, first + 32))))
    await asyncio.sleep(SETTLE)
    then("rest")
    await asyncio.sleep(seconds)
    then("lines")

    async def talk(mine: list) -> None:
        for _ in range(LINES):
            for client in mine:
                await client.line()

    await asyncio.gather(*(talk(clients[first::16]) for first in range(16)))
    then("over")
    return LINES * size


def plane(size: int, seconds: float, hosts: int, points: Points, say: Say) -> None:
    """The data plane: flows, connections that stand, lines, by one process."""
    from lotusroute.capacity.stubs import entry

    say(fits(3))
    need = 2 * size + 256
    import resource

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if need > hard:
        raise processes.TooLarge(f"{size} connections need {need} descriptors, {hard} are to be had")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, need), hard))
    back = port()
    with processes.folder() as folder, discovery(SERVERS, back) as (_, where):
        servers = subprocess.Popen([sys.executable, "-m", "lotusroute.capacity.server_stub", str(back)])
        one = balancer(
            folder, "n1", listen := port(), where, {}, tuple(entry(f"s-{at}", back) for at in range(SERVERS))
        )
        try:
            ready(listen)
            asyncio.run(_flows(listen, 32))
            before = cpu(one.pid)
            asyncio.run(_flows(listen, size))
            add(points, "flow.cpu", "s of CPU", size, cpu(one.pid) - before)
            marks, empty = {}, rss(one.pid)

            def mark(name: str) -> None:
                marks[name] = cpu(one.pid), time.monotonic(), rss(one.pid)

            lines = asyncio.run(_standing(listen, size, seconds, mark))
            rest, talk, over = marks["rest"], marks["lines"], marks["over"]
            add(points, "standing.memory", "MB over an empty one", size, rest[2] - empty)
            add(points, "standing.cpu", "% of a core", size, 100 * (talk[0] - rest[0]) / (talk[1] - rest[1]))
            rested = (talk[0] - rest[0]) / (talk[1] - rest[1])
            spent = over[0] - talk[0] - rested * (over[1] - talk[1])
            add(points, "line.cpu", "s of CPU", lines, max(0.0, spent))
        finally:
            one.end()
            servers.kill()
            servers.wait()


ROLES: dict[str, tuple[Callable, tuple[int, ...]]] = {
    "fleet": (fleet, (8, 30, 65, 125)),
    "followers": (followers, (25, 50, 100, 200)),
    "list": (listing, (100, 400, 1_600, 6_400)),
    "plane": (plane, (250, 500, 1_000, 2_000)),
}
