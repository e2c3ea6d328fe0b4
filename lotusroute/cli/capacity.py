"""The commands of `lotusroute capacity`."""

import functools
import json
import pathlib
import sys

import click

from lotusroute.capacity.measurement import Measurement, MeasurementOptions, Series, group_into_series
from lotusroute.capacity.processes import RunTooLargeError
from lotusroute.capacity.regression_line import MIN_SIZES, RegressionLine, find_growth, fit_line
from lotusroute.capacity.target import Target
from lotusroute.cli.options import JSON_OPTION, ExitCode, exit_with_wrong_use, hidden_alias


@click.command()
@click.argument("role", type=click.Choice(["fleet", "followers", "list", "plane", "relays"]))
@click.option("--sizes", default="", help="as 8,30,65,125; at least two, four for a line to rely on")
@click.option("--seconds", type=click.FloatRange(0.5, 120.0), default=8.0, help="measured at each size")
@click.option("--hosts", type=click.IntRange(1, 100_000), default=20, help="servers in the endpoint list")
@click.option("--json", "file", type=click.Path(dir_okay=False), help="write the points here, for `compare`")
@click.option("--plot", type=click.Path(dir_okay=False), help="plot them here (needs matplotlib)")
def measure(role: str, sizes: str, seconds: float, hosts: int, file: str | None, plot: str | None) -> None:
    """Measure one role at several sizes and fit lines.

    Example: lotusroute capacity measure fleet --sizes 8,30,65,125 --json fleet.json
    """
    from lotusroute.capacity.role_registry import ROLE_BY_NAME

    measured_role = ROLE_BY_NAME[role]
    size_list = _parse_sizes(sizes) if sizes else list(measured_role.default_sizes)
    measurements: list[Measurement] = []
    try:
        for size in size_list:
            report = functools.partial(_report, prefix=f"{role} {size}: ")
            measurements += measured_role.measure(size, MeasurementOptions(seconds, hosts, report))
    except RunTooLargeError as error:
        exit_with_wrong_use(f"{role}: {error}")
    series = group_into_series(measurements)
    lines = [fit_line(one) for one in series]
    for fitted in lines:
        click.echo(_line_summary(fitted, len(size_list)))
    if file:
        run = {"role": role, "seconds": seconds, "lines": [one.as_json() for one in series]}
        pathlib.Path(file).write_text(json.dumps(run, indent=1))
    if plot:
        _plot(lines, plot)


def _parse_sizes(text: str) -> list[int]:
    try:
        sizes = [int(size) for size in text.split(",")]
    except ValueError:
        raise click.UsageError(f"--sizes {text}: give whole numbers, as 8,30,65,125") from None
    if len(set(sizes)) < 2 or min(sizes) < 1:
        raise click.UsageError(f"--sizes {text}: give two or more, each above 0")
    return sizes


def _report(text: str, prefix: str = "") -> None:
    click.echo(prefix + text, err=True)


def _line_summary(fitted: RegressionLine, size_count: int) -> str:
    points = " ".join(f"{size:g}:{value:.4g}" for size, value in fitted.points)
    caution = "" if size_count >= MIN_SIZES else f"  (only {size_count} sizes)"
    return (
        f"{fitted.name}: {fitted.slope:.5g} +- {fitted.slope_error:.2g} {fitted.unit} by one, "
        f"{fitted.intercept:.4g} at none; {points}{caution}"
    )


def _plot(lines: list[RegressionLine], file: str) -> None:
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("--plot: install lotusroute[bench] for matplotlib") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(lines), 1, figsize=(7, 2.4 * len(lines)), squeeze=False)
    for fitted, (axis,) in zip(lines, axes, strict=True):
        axis.plot(*zip(*fitted.points, strict=True), "o")
        ends = [0, max(size for size, _ in fitted.points)]
        axis.plot(ends, [fitted.value_at(size) for size in ends])
        axis.set_title(fitted.name, fontsize=8)
        axis.set_ylabel(fitted.unit, fontsize=7)
    figure.tight_layout()
    figure.savefig(file)


@click.command()
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before: str, after: str) -> None:
    """Compare two runs of `measure --json`; exit 1 where a line of the second grew by over a quarter.

    Example: lotusroute capacity compare before.json after.json
    """
    try:
        runs = [json.loads(pathlib.Path(file).read_text())["lines"] for file in (before, after)]
        old_run, new_run = ([Series.from_json(document) for document in run] for run in runs)
        findings = find_growth(old_run, new_run)
    except (ValueError, KeyError, TypeError) as error:
        exit_with_wrong_use(f"{before}, {after}: no runs of `capacity measure --json`: {error}")
    for finding in findings:
        click.echo(finding)
    sys.exit(ExitCode.FAILED if findings else ExitCode.OK)


@click.command()
@click.option("--relays", type=click.IntRange(3, 64), default=6, help="real relays; one becomes the origin")
@click.option("--real", type=click.IntRange(0, 64), default=3, help="balancers that are the program itself")
@click.option("--hollow", type=click.IntRange(1, 20_000), default=160, help="hollow balancers beside them")
@click.option("--zones", type=click.IntRange(1, 64), default=3, help="zones that all are spread over")
@click.option("--hosts", type=click.IntRange(1, 20_000), default=60, help="servers in the endpoint list")
@click.option("--scenario", "scenarios", multiple=True, help="calm, burst, kill, stop, two, origin, zone")
@click.option("--within", type=click.FloatRange(0.1), default=4.0, help="s for an update to be in force")
@JSON_OPTION
def propagation(scenarios: tuple[str, ...], within: float, as_json: bool, **sizes: int) -> None:
    """Measure how long an update of the endpoint list takes to be in force everywhere.

    Exit 1 where one took longer than `--within`.

    Example: lotusroute capacity propagation --relays 40 --real 20 --hollow 6140 --zones 19
    """
    from lotusroute.capacity.propagation_fleet import FleetSize
    from lotusroute.capacity.update_propagation import SCENARIOS, run_scenarios

    for scenario in scenarios:
        if scenario not in SCENARIOS:
            raise click.UsageError(f"--scenario {scenario}: there are {', '.join(SCENARIOS)}")
    try:
        figures = run_scenarios(FleetSize(**sizes), scenarios or SCENARIOS, _report)
    except RunTooLargeError as error:
        exit_with_wrong_use(f"propagation: {error}")
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo("\n".join(f"{scenario} {result}" for scenario, result in figures.items()))
    late = any(result.get("lack") or result.get("worst_s", 0.0) > within for result in figures.values())
    sys.exit(ExitCode.FAILED if late else ExitCode.OK)


@click.command()
@click.option("--followers", type=click.IntRange(1, 2_000), default=200, help="hollow balancers")
@click.option("--answers", type=click.FloatRange(1.0), default=150.0, help="of discovery, a second")
@click.option("--hosts", type=click.IntRange(1, 100_000), default=60, help="servers in the endpoint list")
@click.option("--down", type=click.FloatRange(0.0, 60.0), default=8.0, help="s without any answer at first")
@click.option("--seconds", type=click.FloatRange(1.0, 300.0), default=20.0, help="duration after that")
@click.option("--grace", type=click.FloatRange(0.0), default=500.0, help="ms, grace period of a drain")
@JSON_OPTION
def reconnect_storm(as_json: bool, **sizes: float) -> None:
    """Let many balancers poll discovery as it comes back; exit 1 where one has no endpoint list at the end.

    Example: lotusroute capacity reconnect-storm --followers 200 --answers 150 --down 8
    """
    from lotusroute.net import monotonic_reactor

    # The next import loads Twisted's reactor, which has to be the one that balancers use.
    monotonic_reactor.install()
    from lotusroute.capacity.reconnect_storm import run

    figures = run(**sizes)
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo(" ".join(f"{key}={value}" for key, value in figures.items()))
    sys.exit(ExitCode.FAILED if figures["without_a_list"] > 0 else ExitCode.OK)


@click.command()
@JSON_OPTION
def target(as_json: bool) -> None:
    """Print the capacity target and the figures that follow from it by division.

    Example: lotusroute capacity target --json
    """
    figures = {**Target()._asdict(), **Target().derived_figures()}
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo("\n".join(f"{key} {value:.6g}" for key, value in figures.items()))


COMMANDS = {
    "compare": compare,
    "measure": measure,
    "propagation": propagation,
    "reconnect-storm": reconnect_storm,
    "target": target,
    # Older names of two commands, which operators' scripts use.
    "herd": hidden_alias(reconnect_storm),
    "news": hidden_alias(propagation),
}
