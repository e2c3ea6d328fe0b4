"""The benchmark: the started program on loopback, pinned to a core, with stand-in peers beside it.

Owns the cases, the processes of a run and what is made of their figures. It must never judge (it prints
figures and ratios, no verdict), go beyond loopback, or leave a process behind.
"""

import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import click
from hdrh.histogram import HdrHistogram

HERE = pathlib.Path(__file__).resolve().parent
PEERS = HERE / "peers.py"
DEADLINE = 120.0  # s for any one step; a run that hangs ends here
READY = 10.0  # s for the program to answer its first PING
SERVING = 3  # processes that the stand-in servers are shared out over
ASKING = 3  # processes that the clients are, from sixteen at once on
DESCRIPTORS = 16_384  # that the program is told it may hold
SETTLE = 0.5  # s between the last answer and the counters, for ends to arrive
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
HIGHEST = 60_000_000  # us: the longest set-up that the histogram tells apart
SETTINGS = {
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 3000}],
}


class Case(NamedTuple):
    """One fleet and one way to ask it. Times are ms."""

    name: str
    setups: tuple[float, ...]
    spread: str = "light"
    at_once: int = 16
    flows: int = 2_000
    skewed: bool = False
    hold: float = 0.0  # s that the flows stand; 0: each leaves at its receipt
    lines: int = 0  # that one client sends, one after the other, through the balancer and straight
    slow: tuple | None = None  # a server's number, and between which seconds it takes ten times as long


def cases() -> dict[str, Case]:
    """All cases by name; flows are fewer where set-ups take long, so that none runs over some 20 s."""
    found = []
    for at_once in (1, 4, 16, 64):
        found.append(Case(f"idle-{at_once}", (0.0,) * 8, at_once=at_once, flows=4_000))
    for setup in (1.0, 5.0, 20.0, 100.0):
        for spread in ("light", "heavy"):
            for at_once in (1, 16, 64):
                flows = max(100, min(2_000, int(8_000 * at_once / (setup + 2))))
                found.append(Case(f"{setup:.0f}ms-{spread}-{at_once}", (setup,) * 8, spread, at_once, flows))
    found.append(Case("100ms-wild-16", (100.0,) * 8, "wild", 16, 1_200))
    mixed = tuple(random.Random(1).choice((0.0, 1.0, 5.0, 20.0, 100.0)) for _ in range(8))
    for at_once in (1, 16, 64):
        found.append(Case(f"mixed-{at_once}", mixed, "heavy", at_once, 300 if at_once == 1 else 1_500))
    for servers in (1, 2, 50, 500):
        found.append(Case(f"servers-{servers}", (1.0,) * servers, "heavy", 16, 2_000))
    found.append(Case("older", (1.0,) * 7 + (3.0,), "light", 16, 2_000))
    found.append(Case("zones", (1.0,) * 4 + (5.0,) * 4, "light", 16, 2_000))
    found.append(Case("overdriven", (1.0,) * 8, "light", 4, 6_000, slow=(0, 2.0, 7.0)))
    for at_once in (4, 64):
        found.append(Case(f"skewed-{at_once}", (1.0,) * 8, "heavy", at_once, 2_000, skewed=True))
    found.append(Case("standing", (0.0,) * 8, at_once=16, flows=1_000, hold=6.0))
    found.append(Case("standing-heavy", (20.0,) * 8, "heavy", 64, 1_000, hold=6.0))
    found.append(Case("standing-older", (1.0,) * 7 + (3.0,), "light", 16, 1_000, hold=6.0))
    found.append(Case("standing-5000", (0.0,) * 8, at_once=16, flows=5_000, hold=4.0))
    found.append(Case("lines", (0.0,) * 8, at_once=1, flows=1, lines=3_000))
    return {case.name: case for case in found}


QUICK = ("idle-1", "idle-16", "idle-64", "5ms-heavy-16", "standing", "lines")


class Peer:
    """One process of stand-in peers; it ends when we do."""

    def __init__(self, role: str, told: dict, cores: set[int]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(PEERS), role, json.dumps(told)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=lambda: os.sched_setaffinity(0, cores),
        )

    def told(self) -> dict:
        """Wait for the next object that it tells."""
        line = self.process.stdout.readline()
        if not line:
            raise click.ClickException(f"stand-in ended early with {self.process.wait()}; see above")
        return json.loads(line)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


class Program:
    """The started balancer of the checkout at `root`, on one core."""

    def __init__(self, root: pathlib.Path, hosts: list[dict], list_port: int, core: int, folder: str) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        told = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{list_port}",
            "seed": "5eed",
            "limits": {"sockets": DESCRIPTORS},
            "known": {"seq": 0, "whole": True, "hosts": hosts},
            "settings": SETTINGS,
        }
        path = pathlib.Path(folder, "told.json")
        path.write_text(json.dumps(told))
        self.log = open(pathlib.Path(folder, "log"), "w+")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lotusroute"],
            cwd=root,
            stderr=self.log,
            env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": str(root)},
            preexec_fn=lambda: os.sched_setaffinity(0, {core}),
        )
        until = time.monotonic() + READY
        while time.monotonic() < until:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port), 1) as conn:
                conn.sendall(b"PING\r\n")
                if conn.recv(16) == b"PONG\r\n":
                    return
            time.sleep(0.02)
        raise click.ClickException(f"{root}: not ready after {READY:g} s: {self.said()[-300:]}")

    def cpu(self) -> float:
        """CPU that it has taken, in ms."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) * 1000 / TICKS

    def memory(self) -> float:
        """Memory that it holds, in KB."""
        return int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE / 1024

    def said(self) -> str:
        self.log.flush()
        return pathlib.Path(self.log.name).read_text()

    def counters(self) -> dict[str, int]:
        """Its counters, as printed last."""
        self.process.send_signal(signal.SIGUSR1)
        until, seen = time.monotonic() + READY, self.said().count("event=counters")
        while time.monotonic() < until:
            lines = [line for line in self.said().splitlines() if "event=counters" in line]
            if len(lines) > seen:
                return {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)\b", lines[-1]) if k != "time"}
            time.sleep(0.01)
        raise click.ClickException("the program prints no counters")

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self.log.close()


def play(case: Case, root: pathlib.Path, seed: int) -> dict:
    """Play one case on one checkout and return its figures; all processes are gone afterwards."""
    cores = sorted(os.sched_getaffinity(0))
    own, others = cores[0], set(cores[1:] or cores)
    with contextlib.ExitStack() as stack, tempfile.TemporaryDirectory() as folder:

        def peer(role: str, told: dict) -> Peer:
            made = Peer(role, told, others)
            stack.callback(made.end)
            return made

        hosts = []
        parts = min(SERVING, len(case.setups))
        served = []
        for part in range(parts):
            slow = case.slow if case.slow and part == 0 else None
            served.append(
                peer(
                    "servers",
                    {
                        "setups": case.setups[part::parts],
                        "spread": case.spread,
                        "seed": seed + part,
                        "name": f"s{part}",
                        "slow": slow,
                    },
                )
            )
        for made in served:
            hosts += made.told()["hosts"]
        listing = peer("list", {"hosts": hosts})
        program = Program(root, hosts, listing.told()["port"], own, folder)
        stack.callback(program.end)
        asking = ASKING if case.at_once >= 16 else 1
        before, cpu = program.memory(), program.cpu()
        asked = [
            peer(
                "clients",
                {
                    "port": program.port,
                    "flows": case.flows // asking + (case.flows % asking > at),
                    "at_once": case.at_once // asking + (case.at_once % asking > at),
                    "seed": seed * 100 + at,
                    "skewed": case.skewed,
                    "hold": case.hold,
                    "lines": case.lines,
                },
            )
            for at in range(asking)
        ]
        told = [made.told() for made in asked]
        held = sum(one.get("standing", 0) for one in told)
        standing = (program.memory() - before) / held if held else 0.0
        opened = program.cpu() - cpu
        if case.hold:
            told = [made.told() for made in asked]
        time.sleep(SETTLE)
        counts = program.counters()
        straight = []
        if case.lines:
            port = int(hosts[0]["dial"].rpartition(":")[2])
            straight = peer(
                "clients", {"port": port, "flows": 1, "at_once": 1, "seed": 1, "lines": case.lines}
            ).told()["delays"]
        delays = [delay for one in told for delay in one["delays"]]
    setups = HdrHistogram(1, HIGHEST, 3)
    for one in told:
        for took in one["setups"]:
            setups.record_value(max(1, int(took * 1000)))
    flows = sum(one["asked"] for one in told)
    return {
        "asked": flows,
        "established": sum(one["established"] for one in told),
        "refused": sum(one["refused"] for one in told),
        "lost": sum(one["lost"] for one in told),
        "moved": counts.get("migrated", counts.get("moved", 0)),
        "connects_a_flow": counts.get("connects", 0) / max(1, counts.get("flows", 0)),
        "flows_a_second": flows / max(one["seconds"] for one in told),
        "cpu_ms_a_flow": opened / max(flows, case.lines),  # a line, where lines are what is asked
        "setup_ms_p50": setups.get_value_at_percentile(50) / 1000,
        "setup_ms_p99": setups.get_value_at_percentile(99) / 1000,
        "kb_a_connection": standing,
        "line_ms": statistics.median(delays) if delays else 0.0,
        "line_ms_straight": statistics.median(straight) if straight else 0.0,
    }


COMPARED = ("cpu_ms_a_flow", "flows_a_second", "setup_ms_p50", "kb_a_connection", "line_ms")


def ratios(ours: list[dict], theirs: list[dict]) -> dict[str, tuple[float, float, float]]:
    """Ours over theirs round by round: the least, the median and the most of each figure that both have."""
    found = {}
    for key in COMPARED:
        pairs = [a[key] / b[key] for a, b in zip(ours, theirs, strict=True) if a[key] and b[key]]
        if pairs:
            found[key] = (min(pairs), statistics.median(pairs), max(pairs))
    return found


def middle(rounds: list[dict]) -> dict:
    """The median of each figure; of what must not happen at all (refused, lost, moved) the most."""
    return {
        key: (max if key in ("refused", "lost", "moved") else statistics.median)(r[key] for r in rounds)
        for key in rounds[0]
    }


def row(name: str, f: dict) -> str:
    return (
        f"{name:<22}{f['asked']:>6.0f}{f['established']:>7.0f}{f['refused']:>6.0f}{f['lost']:>5.0f}"
        f"{f['moved']:>6.0f}{f['connects_a_flow']:>8.3f}{f['flows_a_second']:>8.0f}"
        f"{f['cpu_ms_a_flow']:>8.3f}{f['setup_ms_p50']:>9.2f}{f['setup_ms_p99']:>9.2f}"
        f"{f['kb_a_connection']:>7.1f}{f['line_ms']:>8.3f}{f['line_ms_straight']:>8.3f}"
    )


HEAD = (
    f"{'case':<22}{'asked':>6}{'stood':>7}{'ref.':>6}{'lost':>5}{'moved':>6}{'con/fl':>8}{'flows/s':>8}"
    f"{'cpu ms':>8}{'p50 ms':>9}{'p99 ms':>9}{'KB':>7}{'line':>8}{'strt':>8}"
)


def plot(path: str, found: dict[str, dict]) -> None:
    """Draw CPU a flow and the median set-up, a bar a case and build."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(found)
    figure, panes = pyplot.subplots(1, 3, figsize=(15, 1.5 + 0.28 * len(names)), sharey=True)
    for pane, key, title in zip(
        panes,
        ("cpu_ms_a_flow", "setup_ms_p50", "refused"),
        ("CPU a flow, ms", "set-up, median ms", "flows refused"),
        strict=True,
    ):
        builds = [b for b in ("theirs", "ours") if any(b in found[n] for n in names)]
        for at, build in enumerate(builds):
            places = [n + 0.4 * at for n in range(len(names))]
            pane.barh(places, [found[n].get(build, {}).get(key, 0.0) for n in names], 0.38, label=build)
        pane.set_title(title)
        pane.set_yticks(range(len(names)), names)
    panes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


@click.command(
    epilog="Examples: python benchmarks/loopback.py --quick; python benchmarks/loopback.py "
    "--case idle-16 --against ../before --rounds 5 --plot out.png"
)
@click.option("--case", "chosen", multiple=True, help="A case by name; may be repeated. Default: all.")
@click.option("--quick", is_flag=True, help="Six cases that show most, in about a minute.")
@click.option("--against", type=click.Path(exists=True, file_okay=False), help="A checkout to play in turn.")
@click.option("--rounds", type=click.IntRange(1, 20), default=1, help="Times each is played.")
@click.option("--seed", default=1, show_default=True, help="Start of all chance of the peers.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the table.")
@click.option("--plot", "picture", help="Draw the figures into this PNG file.")
@click.option("--list", "listing", is_flag=True, help="Name the cases and stop.")
def main(chosen, quick, against, rounds, seed, as_json, picture, listing) -> None:
    """Measure the balancer of this checkout on loopback: what it serves, refuses, moves, and its cost."""
    known = cases()
    if listing:
        click.echo("\n".join(known))
        return
    for name in chosen:
        if name not in known:
            raise click.UsageError(f"no case '{name}'; --list names them")
    names = list(chosen) or list(QUICK if quick else known)
    builds = {"theirs": pathlib.Path(against).resolve()} if against else {}
    builds["ours"] = HERE.parent
    if not as_json:
        click.echo(HEAD)
    found: dict[str, dict] = {}
    for done, name in enumerate(names):
        played: dict[str, list[dict]] = {build: [] for build in builds}
        for at in range(rounds):
            for build, root in builds.items():
                click.echo(f"{done + 1}/{len(names)} {name} {build} {at + 1}/{rounds}\r", err=True, nl=False)
                played[build].append(play(known[name], root, seed + at))
        found[name] = {build: middle(each) for build, each in played.items()}
        if against:
            found[name]["ratio"] = ratios(played["ours"], played["theirs"])
        if not as_json:
            for build in builds:
                click.echo(row(name if build == "ours" else f"  {name} before", found[name][build]))
            for key, (least, mid, most) in found[name].get("ratio", {}).items():
                click.echo(f"    {key}: {mid:.2f} times before ({least:.2f} to {most:.2f})")
    if as_json:
        click.echo(json.dumps(found))
    if picture:
        plot(picture, found)


if __name__ == "__main__":
    main()
