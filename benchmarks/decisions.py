"""CPU of the decisions alone, as the fleet and the standing connections grow.

Owns the sizes and the timing; each figure is the median of seven blocks, in us. It must never open a socket.
"""

import json
import random
import statistics
import time

import click

from lotusroute.routing import events
from lotusroute.routing.director import Director

SERVERS = (10, 100, 1_000)
STANDING = (100, 1_000, 5_000)
BLOCKS, BLOCK = 7, 300  # blocks of flows, and flows in each
SETUP = 2.0  # ms


def measure(servers: int, standing: int) -> dict[str, float]:
    """Return the us of a whole flow (asked, established, ended) and of a tick, at such a size."""
    chance = random.Random(7)
    director = Director(events.ServiceConfig({"live": events.ServiceType(300.0)}, max_attempts=4), 7)
    now = 0.0
    director.decide(
        now, events.EndpointList(events.COMPLETE, tuple(events.Server(f"s{n}") for n in range(servers)))
    )

    def opened(number: int) -> str:
        nonlocal now
        now += 1.0
        action = director.decide(
            now, events.Flow(number, "live", None, None, f"{chance.random()}", now + 1800)
        )[0]
        director.decide(now + chance.uniform(0.5, 1.5) * SETUP, events.Established(number, action.server))
        return action.server

    for number in range(standing):
        opened(number)
    flows, ticks, number = [], [], standing
    for _ in range(BLOCKS):
        began = time.perf_counter()
        for _ in range(BLOCK):
            number += 1
            director.decide(now + SETUP, events.ConnectionEnded(number, opened(number), True, events.OK))
        flows.append((time.perf_counter() - began) / BLOCK * 1e6)
        began = time.perf_counter()
        director.decide(now, events.TimerFired("tick"))
        ticks.append((time.perf_counter() - began) * 1e6)
    return {"flow_us": statistics.median(flows), "tick_us": statistics.median(ticks)}


@click.command(epilog="Example: python benchmarks/decisions.py --json")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the table.")
def main(as_json: bool) -> None:
    """Measure the decisions of a flow and of a tick by servers and standing connections."""
    found = {f"{n} servers, {m} standing": measure(n, m) for n in SERVERS for m in STANDING}
    if as_json:
        click.echo(json.dumps(found))
        return
    for name, figures in found.items():
        click.echo(f"{name:<32} flow {figures['flow_us']:8.1f} us   tick {figures['tick_us']:8.1f} us")


if __name__ == "__main__":
    main()
