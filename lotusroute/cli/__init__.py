"""The commands beside the balancer itself.

Owns what an operator may ask of a running fleet, and how it is printed. It must never change what it looks
at. Exit 0 where all that were asked answered, 1 where one did not, 2 on wrong use.
"""

import importlib
import json
import sys
import time

import click
from twisted.internet import defer, reactor

from lotusroute.errors import InvalidValueError
from lotusroute.fleet import config, transport

FILE = click.option(
    "--fleet",
    "file",
    required=True,
    envvar="LB_FLEET",
    type=click.Path(),
    help="the operator's file on the fleet; else LB_FLEET",
)
PEER = click.option("--peer", "peers", multiple=True, help="only this balancer; may be repeated")
JSON = click.option("--json", "as_json", is_flag=True, help="print JSON, one object by balancer")


@click.group()
def command() -> None:
    """Ask a running fleet. Without a command `lotusroute` runs a balancer, told by LB_CONFIG."""


@command.group()
def leases() -> None:
    """Who holds which fleet-wide task."""


@command.group()
def fleet() -> None:
    """Who is linked with whom."""


def _ask(file: str, peers: tuple[str, ...]) -> tuple[dict[str, dict], dict[str, str]]:
    """Ask balancers what they show; returns what came by name, and why nothing did."""
    try:
        told = config.load_fleet_config(file)
        for peer in peers:
            if peer not in told.peers:
                raise InvalidValueError(
                    f"--peer {peer}: not among the peers of {file}: {', '.join(told.peers)}"
                )
    except InvalidValueError as fault:
        click.echo(f"lotusroute: {fault}", err=True)
        sys.exit(2)
    names = peers or tuple(told.peers)
    shown, missing = {}, {}

    def done(results: list) -> None:
        for name, (well, value) in zip(names, results, strict=True):
            if well:
                shown[name] = json.loads(value)
            else:
                missing[name] = str(value.value) or type(value.value).__name__
        reactor.stop()

    def begin() -> None:
        calls = [transport.query_peer(reactor, told, name) for name in names]
        defer.DeferredList(calls, consumeErrors=True).addCallback(done)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return shown, missing


def _finish(shown: dict, missing: dict, as_json: bool, lines: list[str]) -> None:
    if as_json:
        click.echo(json.dumps({"balancers": shown, "missing": missing}, indent=1))
    else:
        for line in lines:
            click.echo(line)
        for name, why in missing.items():
            click.echo(f"{name}: no answer ({why})")
    sys.exit(int(bool(missing)))


class Later(click.Group):
    """A group that is imported when it is asked for: it needs what the others do without."""

    def __init__(self, module: str, name: str, **more: object) -> None:
        super().__init__(name=name, **more)
        self.module = module

    def _group(self) -> click.Group:
        return getattr(importlib.import_module(self.module), self.name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._group().list_commands(ctx)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        return self._group().get_command(ctx, name)


command.add_command(
    Later("lotusroute.cli.capacity", "scale", help="Measure what each role costs by size.")
)
command.add_command(Later("lotusroute.cli.relay", "relay", help="Carry the list to those that follow."))


@command.group()
def rig() -> None:
    """Try the program out: several processes, and faults between them."""


@rig.command("hunt")
@click.option("--seconds", type=click.FloatRange(1.0), default=60.0, help="how long, to a scenario's end")
@click.option("--seed", type=int, default=1, help="of the first scenario; the next ones count up")
@click.option("--processes", type=click.IntRange(3, 25), default=3, help="balancers of each")
@click.option("--keepers", type=click.Choice(["3", "5", "7"]), default="3", help="of them keep leases")
@JSON
def rig_hunt(seconds: float, seed: int, processes: int, keepers: str, as_json: bool) -> None:
    """Draw scenarios with processes and judge each; exit 1 where one has a breach.

    Example: lotusroute rig hunt --seconds 60 --processes 5 --keepers 5 --seed 1
    """
    from lotusroute.fault_injection.random_scenarios import scenario

    if int(keepers) > processes:
        raise click.UsageError(f"--keepers {keepers}: more than the {processes} processes; give fewer")
    until, played = time.monotonic() + seconds, []
    while time.monotonic() < until:
        outcome = scenario(seed + len(played), processes, int(keepers))
        played.append(outcome)
        verdict = "BREACH" if outcome.bad else "kept"
        click.echo(
            f"seed {outcome.seed}: {verdict}, {outcome.hand_overs} hand-overs, held again "
            f"{outcome.recovered:.2f} s after: {'; '.join(outcome.faults)}",
            err=True,
        )
        for breach in outcome.breaches:
            click.echo(str(breach), err=True)
    bad = [outcome.seed for outcome in played if outcome.bad]
    times = sorted(outcome.recovered for outcome in played if outcome.recovered >= 0)
    figures = {
        "scenarios": len(played),
        "breached": bad,
        "hand_overs": sum(outcome.hand_overs for outcome in played),
        "recovered_s": {"p50": times[len(times) // 2], "worst": times[-1]} if times else {},
    }
    click.echo(
        json.dumps(figures)
        if as_json
        else f"{len(played)} scenarios, breached: {bad or 'none'}, {figures['hand_overs']} hand-overs, "
        f"held again {figures['recovered_s']}"
    )
    sys.exit(int(bool(bad)))


@leases.command("show")
@FILE
@PEER
@JSON
def leases_show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show what each balancer holds and what each keeper grants.

    Example: lotusroute leases show --fleet deploy/fleet.toml --peer n1
    """
    shown, missing = _ask(file, peers)
    lines = []
    for name, state in shown.items():
        for task, claim in state["tasks"].items():
            holds = f"holds under {claim['fence']}, {claim['left_ms']} ms left"
            lines.append(f"{name}: {task}: {holds if claim['holds'] else claim['step']}")
        for task, kept in state["keeps"].items():
            lines.append(
                f"{name}: keeps {task}: {kept['holder'] or 'nobody'} under {kept['fence']}, "
                f"{kept['left_ms']} ms left"
            )
        if state["keeper_silent_ms"]:
            lines.append(f"{name}: keeper silent for {state['keeper_silent_ms']} ms more")
    _finish(shown, missing, as_json, lines)


@fleet.command("show")
@FILE
@PEER
@JSON
def fleet_show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show who is linked with whom.

    Example: lotusroute fleet show --fleet deploy/fleet.toml --json
    """
    shown, missing = _ask(file, peers)
    lines = []
    for name, state in shown.items():
        out, into = (" ".join(state["connections"][connection]) or "nobody" for connection in ("out", "in"))
        lines.append(f"{name}: {'keeper, ' * state['keeper']}to {out}, from {into}")
    _finish(shown, missing, as_json, lines)
