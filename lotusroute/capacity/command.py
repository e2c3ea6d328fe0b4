"""The commands of `lotusroute scale`.

Owns what may be asked and how it is printed. Exit 0 where all was measured (or nothing grew), 1 where
something grew, 2 on wrong use or what does not fit.
"""

import json
import pathlib
import sys

import click

from lotusroute.capacity.measurement import Measurement, MeasurementOptions, Series, group_into_series
from lotusroute.capacity.processes import RunTooLargeError
from lotusroute.capacity.regression_line import MIN_SIZES, find_growth, fit_line
from lotusroute.capacity.target import Target


@click.group()
def scale() -> None:
    """Measure what each role costs by size, and hold it against the target."""


@scale.command("measure")
@click.argument("role", type=click.Choice(["fleet", "followers", "list", "plane", "relays"]))
@click.option("--sizes", default="", help="as 8,30,65,125; two at least, four for a line to trust")
@click.option("--seconds", type=click.FloatRange(0.5, 120.0), default=8.0, help="how long each is counted")
@click.option("--hosts", type=click.IntRange(1, 100_000), default=20, help="servers in the list")
@click.option("--json", "file", type=click.Path(dir_okay=False), help="keep the points here, for `compare`")
@click.option("--plot", type=click.Path(dir_okay=False), help="draw them here (needs matplotlib)")
def measure(role: str, sizes: str, seconds: float, hosts: int, file: str | None, plot: str | None) -> None:
    """Measure one role at several sizes and fit lines.

    Example: lotusroute scale measure fleet --sizes 8,30,65,125 --json fleet.json
    """
    from lotusroute.capacity.role_registry import ROLE_BY_NAME

    try:
        asked = [int(size) for size in sizes.split(",")] if sizes else list(ROLE_BY_NAME[role].default_sizes)
    except ValueError:
        raise click.UsageError(f"--sizes {sizes}: give whole numbers, as 8,30,65,125") from None
    if len(set(asked)) < 2 or min(asked) < 1:
        raise click.UsageError(f"--sizes {sizes}: give two or more, each above 0")
    measurements: list[Measurement] = []
    try:
        for size in asked:
            prefix = f"{role} {size}: "
            options = MeasurementOptions(
                seconds, hosts, lambda text, prefix=prefix: click.echo(prefix + text, err=True)
            )
            measurements += ROLE_BY_NAME[role].measure(size, options)
    except RunTooLargeError as fault:
        click.echo(f"lotusroute: {role}: {fault}", err=True)
        sys.exit(2)
    series = group_into_series(measurements)
    lines = [fit_line(one) for one in series]
    for one in lines:
        few = "" if len(asked) >= MIN_SIZES else f"  (only {len(asked)} sizes)"
        found = " ".join(f"{x:g}:{y:.4g}" for x, y in one.points)
        click.echo(
            f"{one.name}: {one.slope:.5g} +- {one.slope_error:.2g} {one.unit} by one, "
            f"{one.intercept:.4g} at none; {found}{few}"
        )
    if file:
        document = {"role": role, "seconds": seconds, "lines": [one.as_json() for one in series]}
        pathlib.Path(file).write_text(json.dumps(document, indent=1))
    if plot:
        _plot(lines, plot)


def _plot(lines: list, file: str) -> None:
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("--plot: install lotusroute[bench] for matplotlib") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(lines), 1, figsize=(7, 2.4 * len(lines)), squeeze=False)
    for one, (axis,) in zip(lines, axes, strict=True):
        axis.plot(*zip(*one.points, strict=True), "o")
        ends = [0, max(size for size, _ in one.points)]
        axis.plot(ends, [one.value_at(size) for size in ends])
        axis.set_title(one.name, fontsize=8)
        axis.set_ylabel(one.unit, fontsize=7)
    figure.tight_layout()
    figure.savefig(file)


@scale.command("compare")
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before: str, after: str) -> None:
    """Exit 1 where a line of the second run grew by over a quarter.

    Example: lotusroute scale compare kept.json fleet.json
    """
    try:
        runs = [json.loads(pathlib.Path(file).read_text())["lines"] for file in (before, after)]
        old_run, new_run = ([Series.from_json(document) for document in run] for run in runs)
        found = find_growth(old_run, new_run)
    except (ValueError, KeyError, TypeError) as fault:
        click.echo(f"lotusroute: {before}, {after}: no runs of `scale measure --json`: {fault}", err=True)
        sys.exit(2)
    for one in found:
        click.echo(one)
    sys.exit(int(bool(found)))


@scale.command("news")
@click.option("--relays", type=click.IntRange(3, 64), default=6, help="real relays; one becomes the origin")
@click.option("--real", type=click.IntRange(0, 64), default=3, help="balancers that are the program itself")
@click.option("--hollow", type=click.IntRange(1, 20_000), default=160, help="hollow ones beside them")
@click.option("--zones", type=click.IntRange(1, 64), default=3, help="over which all are spread")
@click.option("--hosts", type=click.IntRange(1, 20_000), default=60, help="servers in the list")
@click.option("--scenario", "scenarios", multiple=True, help="calm, burst, kill, stop, two, origin, zone")
@click.option("--within", type=click.FloatRange(0.1), default=4.0, help="s for a change to be in force")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def news(scenarios: tuple[str, ...], within: float, as_json: bool, **sizes: int) -> None:
    """How long a change of the list takes to be in force everywhere; exit 1 where one took too long.

    Example: lotusroute scale news --relays 40 --real 20 --hollow 6140 --zones 19
    """
    from lotusroute.capacity.propagation_fleet import FleetSize
    from lotusroute.capacity.update_propagation import SCENARIOS, run_scenarios

    for scenario in scenarios:
        if scenario not in SCENARIOS:
            raise click.UsageError(f"--scenario {scenario}: there are {', '.join(SCENARIOS)}")
    try:
        out = run_scenarios(
            FleetSize(**sizes), scenarios or SCENARIOS, lambda text: click.echo(text, err=True)
        )
    except RunTooLargeError as fault:
        click.echo(f"lotusroute: news: {fault}", err=True)
        sys.exit(2)
    click.echo(json.dumps(out) if as_json else "\n".join(f"{key} {value}" for key, value in out.items()))
    late = [key for key, value in out.items() if value.get("lack") or value.get("worst_s", 0.0) > within]
    sys.exit(int(bool(late)))


@scale.command("herd")
@click.option("--followers", type=click.IntRange(1, 2_000), default=200, help="hollow balancers")
@click.option("--answers", type=click.FloatRange(1.0), default=150.0, help="that discovery gives a second")
@click.option("--hosts", type=click.IntRange(1, 100_000), default=60, help="servers in the list")
@click.option("--down", type=click.FloatRange(0.0, 60.0), default=8.0, help="s that nobody is answered first")
@click.option("--seconds", type=click.FloatRange(1.0, 300.0), default=20.0, help="how long after that")
@click.option("--grace", type=click.FloatRange(0.0), default=500.0, help="ms, that of a drain")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def herd(as_json: bool, **sizes: float) -> None:
    """Many call discovery as it comes back; exit 1 where one has no list at the end.

    Example: lotusroute scale herd --followers 200 --answers 150 --down 8
    """
    from lotusroute.net import epoll_reactor

    epoll_reactor.install()
    from lotusroute.capacity.reconnect_storm import run

    figures = run(**sizes)
    click.echo(json.dumps(figures) if as_json else " ".join(f"{k}={v}" for k, v in figures.items()))
    sys.exit(int(figures["without_a_list"] > 0))


@scale.command("target")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def target(as_json: bool) -> None:
    """Print the target and what follows from it by division.

    Example: lotusroute scale target --json
    """
    figures = {**Target()._asdict(), **Target().derived_figures()}
    click.echo(json.dumps(figures) if as_json else "\n".join(f"{k} {v:.6g}" for k, v in figures.items()))
