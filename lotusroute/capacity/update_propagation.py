"""The way of news at scale: an origin, real relays, real balancers, and hollow ones up to the target.

Owns the processes of such a run, what is done to them, and by when each change was in force where. It must
never run longer than its scenarios take, or call in force what was not seen to be.
"""

import contextlib
import json
import pathlib
import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

from lotusroute.capacity.processes import Started, cpu, fits, folder, rss, write
from lotusroute.capacity.roles import add, balancer, port

RELAYS = 3  # of a measure
EACH = 160  # hollow subscribers in one process
SETTLE = 8.0  # s after all are started
PATIENCE = 12.0  # s for a change to be in force everywhere
BYTES = "peer_bytes_received", "peer_bytes_sent"
SCENARIOS = ("calm", "burst", "kill", "stop", "two", "origin", "zone")


class Fleet(NamedTuple):
    """A run's processes."""

    relays: dict[str, Started]
    zones: dict[str, str]  # of relays
    hollow: list[Started]
    hollow_zones: list[str]
    files: list[pathlib.Path]
    real: dict[str, Started]
    targets: Started


@contextlib.contextmanager
def fleet(relays: int, real: int, hollow: int, zones: int, hosts: int, say: Callable[[str], None]):
    """Start all; hollow subscribers of one process are of one zone."""
    groups = (hollow + EACH - 1) // EACH
    say(fits(relays + real + groups + 1, hollow))
    names = [f"r{at + 1}" for at in range(relays)]
    zone_of = {name: f"z{at % zones}" for at, name in enumerate(names)}
    ports = {name: port() for name in names}
    where = port()
    tables: dict[str, dict[str, str]] = {}
    for name in names:
        tables.setdefault(zone_of[name], {})[name] = f"127.0.0.1:{ports[name]}"
    with folder() as place, contextlib.ExitStack() as stack:
        targets = Started(["-m", "lotusroute.capacity.discovery_stub", str(where), str(hosts), "1e6"], {})
        stack.callback(targets.end)
        targets.wait("event=ready")
        peers = "\n".join(f'{name} = "127.0.0.1:{at}"' for name, at in ports.items())
        keepers = ", ".join(f'"{name}"' for name in names[: 5 if relays >= 5 else 3])
        running = {}
        for name in names:
            (place / name).mkdir()
            file = place / f"{name}.toml"
            file.write_text(
                f'name = "scale"\nstate = "{place / name}"\nkeepers = [{keepers}]\n'
                'lease_ms = 1500\ntasks = ["origin"]\nguests = 4000\n'
                f"[peers]\n{peers}\n"
            )
            running[name] = Started(
                [
                    "-m",
                    "lotusroute",
                    "relay",
                    "run",
                    "--fleet",
                    str(file),
                    "--name",
                    name,
                    "--discovery",
                    f"127.0.0.1:{where}",
                ],
                {},
            )
            stack.callback(running[name].end)
        for one in running.values():
            one.wait("relay ready", patience=60.0)
        until = time.monotonic() + 30.0
        while not any("lease acquired" in text for one in running.values() for text in one.lines):
            if time.monotonic() > until:
                raise RuntimeError("no relay holds `origin`")
            time.sleep(0.1)
        reals = {}
        for at in range(real):
            zone = f"z{at % zones}"
            file = place / f"b{at}.toml"
            file.write_text(
                f'name = "scale"\nzone = "{zone}"\n'
                + "".join(
                    f"[relays.{z}]\n" + "".join(f'{r} = "{a}"\n' for r, a in table.items())
                    for z, table in tables.items()
                )
            )
            reals[f"b{at}"] = balancer(
                place, f"b{at}", port(), where, {"LB_RELAYS": str(file), "LB_LOG": "DEBUG"}
            )
            stack.callback(reals[f"b{at}"].end)
        hollows, group_zones, files = [], [], []
        for group in range(groups):
            mine = [f"h{at}" for at in range(group * EACH, min(hollow, (group + 1) * EACH))]
            zone = f"z{group % zones}"
            file = place / f"came{group}.json"
            told = {
                "names": mine,
                "zones": dict.fromkeys(mine, zone),
                "relays": tables,
                "file": str(file),
                "discovery": f"127.0.0.1:{where}",
            }
            one = Started(
                ["-m", "lotusroute.capacity.hollow_subscribers", write(place / f"s{group}.json", told)], {}
            )
            stack.callback(one.end)
            hollows.append(one)
            group_zones.append(zone)
            files.append(file)
        for one in hollows:
            one.wait("event=ready", patience=60.0)
        time.sleep(SETTLE)
        yield Fleet(running, zone_of, hollows, group_zones, files, reals, targets)


def origin(fleet: Fleet) -> str:
    """Which relay holds `origin` now."""
    held = {}
    for name, one in fleet.relays.items():
        for text in one.lines:
            if "lease acquired" in text or "lease lost" in text:
                at = float(text.split("time=", 1)[1].split()[0])
                held[name] = at, "lease acquired" in text
    return max((at, name) for name, (at, holds) in held.items() if holds)[1]


def change(fleet: Fleet, number: int) -> float:
    """Have discovery change a server's entry; returns when, by the clock that all processes share."""
    after = len(fleet.targets.lines)
    fleet.targets.process.send_signal(signal.SIGUSR2)
    text = fleet.targets.wait(f"change={number} ", after)
    return float(text.split("at=", 1)[1].split()[0])


def came(fleet: Fleet) -> tuple[dict[str, dict[int, float]], set[str], dict[str, int]]:
    """When each hollow subscriber had which change, what they hold, and what they counted."""
    for file in fleet.files:
        file.unlink(missing_ok=True)
    for one in fleet.hollow:
        one.process.send_signal(signal.SIGUSR1)
    found, stores, counts = {}, set(), {}
    until = time.monotonic() + 20.0
    for file in fleet.files:
        while not file.exists():
            if time.monotonic() > until:
                raise RuntimeError(f"{file.name} was not written")
            time.sleep(0.05)
        told = json.loads(file.read_text())
        found.update({name: {int(n): at for n, at in mine.items()} for name, mine in told["came"].items()})
        stores |= set(told["stores"].values())
        for key, value in told["counts"].items():
            counts[key] = counts.get(key, 0) + value
    return found, stores, counts


def real_came(fleet: Fleet, number: int) -> dict[str, float]:
    """When each real balancer had a change, by its log; wall time turned into the shared clock."""
    apart = time.time() - time.monotonic()
    found = {}
    for name, one in fleet.real.items():
        for text in one.lines:
            if (
                'event="endpoint update"' in text
                and "server=s-0" in text
                and f"cell={number} " in text.rstrip() + " "
            ):
                found.setdefault(name, float(text.split("time=", 1)[1].split()[0]) - apart)
    return found


def spread(fleet: Fleet, number: int, at: float, names: set[str] | None = None) -> dict:
    """How long a change took to be in force: p50, p99, worst, and how many lack it after PATIENCE."""
    until = time.monotonic() + PATIENCE
    while True:
        found, stores, counts = came(fleet)
        # A later change carries an earlier one with it: the first that is as new counts.
        took = [
            min((when for n, when in mine.items() if n >= number), default=None)
            for name, mine in found.items()
            if names is None or name in names
        ]
        lack = sum(when is None for when in took)
        if not lack or time.monotonic() > until:
            break
        time.sleep(0.5)
    reals = real_came(fleet, number)
    times = sorted(when - at for when in [*took, *reals.values()] if when is not None)
    pick = lambda share: round(times[min(len(times) - 1, int(share * len(times)))], 3)  # noqa: E731
    return {
        "p50_s": pick(0.5),
        "p99_s": pick(0.99),
        "worst_s": round(times[-1], 3),
        "of": len(times),
        "lack": lack,
        "real": len(reals),
        "states": len(stores),
        "own_calls": counts.get("relay_stale", 0),
    }


def rates(fleet: Fleet, seconds: float) -> dict:
    """CPU and bytes of relays, and of the origin, at rest."""
    first = origin(fleet)
    before = {name: (cpu(one.pid), one.counters()) for name, one in fleet.relays.items()}
    reals = {name: (cpu(one.pid), one.counters()) for name, one in fleet.real.items()}
    began = time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - began
    figures: dict[str, list[float]] = {"cpu": [], "bytes": []}
    of_origin = {}
    for name, one in fleet.relays.items():
        old, counts = before[name]
        new = one.counters()
        percent = 100 * (cpu(one.pid) - old) / took
        size = sum(new.get(key, 0) - counts.get(key, 0) for key in BYTES) / took
        if name == first:
            of_origin = {"cpu_percent": round(percent, 2), "bytes_s": round(size)}
        else:
            figures["cpu"].append(percent)
            figures["bytes"].append(size)
    real_cpu = [100 * (cpu(one.pid) - reals[name][0]) / took for name, one in fleet.real.items()]
    real_bytes = []
    for name, one in fleet.real.items():
        new, old = one.counters(), reals[name][1]
        real_bytes.append(sum(new.get(key, 0) - old.get(key, 0) for key in BYTES) / took)
    mean = lambda values: round(sum(values) / max(1, len(values)), 3)  # noqa: E731
    memory = [rss(one.pid) for one in fleet.relays.values()]
    return {
        "origin": of_origin,
        "relay_cpu_percent": mean(figures["cpu"]),
        "relay_bytes_s": mean(figures["bytes"]),
        "relay_rss_mb": mean(memory),
        "balancer_cpu_percent": mean(real_cpu),
        "balancer_bytes_s": mean(real_bytes),
        "balancer_rss_mb": mean([rss(one.pid) for one in fleet.real.values()]),
    }


def relays(size: int, seconds: float, hosts: int, points: dict, say: Callable[[str], None]) -> None:
    """Three relays with so many subscribers each, at rest: what one costs by them."""
    with fleet(RELAYS, 2, RELAYS * size, 1, hosts, say) as running:
        found = rates(running, seconds)
        for name, unit, value in (
            ("relay.cpu", "% of a core", found["relay_cpu_percent"]),
            ("relay.bytes", "B a second, both ways", found["relay_bytes_s"]),
            ("relay.memory", "MB", found["relay_rss_mb"]),
            ("subscriber.cpu", "% of a core", found["balancer_cpu_percent"]),
            ("subscriber.bytes", "B a second, both ways", found["balancer_bytes_s"]),
            ("subscriber.memory", "MB", found["balancer_rss_mb"]),
        ):
            add(points, name, unit, size, value)


def play(
    relays: int,
    real: int,
    hollow: int,
    zones: int,
    hosts: int,
    scenarios: tuple[str, ...],
    say: Callable[[str], None],
) -> dict:
    """Play scenarios one after the other on one fleet; returns their figures."""
    draw, number, out = random.Random(1), 0, {}
    with fleet(relays, real, hollow, zones, hosts, say) as running:
        out["rest"] = rates(running, 6.0)
        say(f"rest: {json.dumps(out['rest'])}")
        for scenario in scenarios:
            number += 1
            alive = sorted(name for name, one in running.relays.items() if one.process.poll() is None)
            first = origin(running)
            others = [name for name in alive if name != first]
            stopped: list[Started] = []
            if scenario == "kill":
                running.relays[draw.choice(others)].process.kill()
            elif scenario == "stop":
                stopped = [running.relays[draw.choice(others)]]
            elif scenario == "two":
                zone = running.zones[draw.choice(others)]
                mine = [name for name in others if running.zones[name] == zone] + others
                stopped = [running.relays[name] for name in mine[:2]]
            elif scenario == "origin":
                running.relays[first].process.kill()
            elif scenario == "zone":
                zone = running.hollow_zones[0]
                for one, where in zip(running.hollow, running.hollow_zones, strict=True):
                    if where == zone:
                        one.process.send_signal(signal.SIGUSR2)
            for one in stopped:
                one.process.send_signal(signal.SIGSTOP)
            if scenario == "burst":
                after = len(running.targets.lines)
                running.targets.process.send_signal(signal.SIGHUP)
                text = running.targets.wait(f"change={number + 49} ", after)
                number += 49
                at = float(text.split("at=", 1)[1].split()[0])
            else:
                at = change(running, number)
            out[scenario] = spread(running, number, at)
            for one in stopped:
                one.process.send_signal(signal.SIGCONT)
            say(f"{scenario}: {json.dumps(out[scenario])}")
            time.sleep(3.0)
    return out
