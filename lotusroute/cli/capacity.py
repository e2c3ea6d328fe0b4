"""The commands of `lotusroute capacity`."""

import functools
import json
import sys
from dataclasses import asdict

import click

from lotusroute.capacity.errors import RunFileError, TooFewSizesError
from lotusroute.capacity.measurement import Measurement, MeasurementOptions, group_into_series
from lotusroute.capacity.processes import RunTooLargeError
from lotusroute.capacity.regression_line import MIN_RELIABLE_SIZES, RegressionLine, find_growth, fit_line
from lotusroute.capacity.run_file import Run, read_run, write_run
from lotusroute.capacity.target import Target
from lotusroute.cli.options import JSON_OPTION, ExitCode, exit_with_usage_error, hidden_alias

ROLE_NAMES = ("data-plane", "direct-discovery", "fleet", "list", "relays")
# Legacy names of roles, which are still accepted, and their current names.
LEGACY_ROLE_NAMES = {"followers": "direct-discovery", "plane": "data-plane"}


def parse_role(text: str) -> str:
    """Return the current name of a role, given its current or a legacy name.

    >>> parse_role("plane")
    'data-plane'
    """
    role = LEGACY_ROLE_NAMES.get(text, text)
    if role not in ROLE_NAMES:
        raise click.BadParameter(f"'{text}' is not one of {', '.join(map(repr, ROLE_NAMES))}")
    return role


@click.command()
@click.argument("role", type=parse_role, metavar=f"[{'|'.join(ROLE_NAMES)}]")
@click.option("--sizes", default="", help="sizes, as in 8,30,65,125; at least two, four for a reliable fit")
@click.option("--seconds", type=click.FloatRange(0.5, 120.0), default=8.0, help="duration in s at each size")
@click.option(
    "--hosts", type=click.IntRange(1, 100_000), default=20, help="number of servers in the endpoint list"
)
@click.option(
    "--json", "file", type=click.Path(dir_okay=False), help="write the points to this file, for `compare`"
)
@click.option(
    "--plot", type=click.Path(dir_okay=False), help="plot the lines to this file (needs matplotlib)"
)
def measure(role: str, sizes: str, seconds: float, hosts: int, file: str | None, plot: str | None) -> None:
    """Measure one role at several sizes and fit a line to each figure.

    Example: lotusroute capacity measure fleet --sizes 8,30,65,125 --json fleet.json
    """
    from lotusroute.capacity.role_registry import ROLE_BY_NAME

    measured_role = ROLE_BY_NAME[role]
    size_list = _parse_sizes(sizes) if sizes else list(measured_role.default_sizes)
    measurements: list[Measurement] = []
    try:
        for size in size_list:
            report = functools.partial(_print_progress, prefix=f"{role} {size}: ")
            measurements += measured_role.measure(size, MeasurementOptions(seconds, hosts, report))
    except RunTooLargeError as error:
        exit_with_usage_error(f"{role}: {error}")
    all_series = group_into_series(measurements)
    lines = [fit_line(series) for series in all_series]
    for line in lines:
        click.echo(_line_summary(line, len(size_list)))
    if file:
        write_run(file, Run(all_series, role, seconds))
    if plot:
        _plot(lines, plot)


def _parse_sizes(text: str) -> list[int]:
    try:
        sizes = [int(size) for size in text.split(",")]
    except ValueError:
        raise click.UsageError(
            f"--sizes {text}: give whole numbers separated by commas, as in 8,30,65,125"
        ) from None
    if len(set(sizes)) < 2 or min(sizes) < 1:
        raise click.UsageError(f"--sizes {text}: give two or more different sizes, each above 0")
    return sizes


def _print_progress(text: str, prefix: str = "") -> None:
    click.echo(prefix + text, err=True)


def _line_summary(line: RegressionLine, size_count: int) -> str:
    points = " ".join(f"{point.size:g}:{point.value:.4g}" for point in line.points)
    warning = "" if size_count >= MIN_RELIABLE_SIZES else f"  (only {size_count} sizes)"
    return (
        f"{line.name}: slope {line.slope:.5g} +- {line.slope_error:.2g} {line.unit}, "
        f"{line.intercept:.4g} at size 0; {points}{warning}"
    )


def _plot(lines: list[RegressionLine], file: str) -> None:
    try:
        import matplotlib
    except ImportError:
        raise click.UsageError("--plot: matplotlib is not installed; install lotusroute[bench]") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(lines), 1, figsize=(7, 2.4 * len(lines)), squeeze=False)
    for line, (axis,) in zip(lines, axes, strict=True):
        axis.plot(*zip(*line.points, strict=True), "o")
        ends = [0, max(point.size for point in line.points)]
        axis.plot(ends, [line.value_at(size) for size in ends])
        axis.set_title(line.name, fontsize=8)
        axis.set_ylabel(line.unit, fontsize=7)
    figure.tight_layout()
    figure.savefig(file)


@click.command()
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before: str, after: str) -> None:
    """Compare two files of `measure --json`; exit with 1 if a line of AFTER grew by more than a quarter.

    Example: lotusroute capacity compare before.json after.json
    """
    try:
        findings = find_growth(read_run(before).lines, read_run(after).lines)
    except (RunFileError, TooFewSizesError) as error:
        exit_with_usage_error(str(error))
    for finding in findings:
        click.echo(finding)
    sys.exit(ExitCode.FAILED if findings else ExitCode.OK)


@click.command()
@click.option(
    "--relays",
    type=click.IntRange(3, 64),
    default=6,
    help="number of relay processes, one of which becomes the origin",
)
@click.option(
    "--real", type=click.IntRange(0, 64), default=3, help="number of balancers that run the whole program"
)
@click.option(
    "--hollow",
    type=click.IntRange(1, 20_000),
    default=160,
    help="number of hollow balancers, which have no flows, besides the real ones",
)
@click.option(
    "--zones",
    type=click.IntRange(1, 64),
    default=3,
    help="number of zones that all processes are spread over",
)
@click.option(
    "--hosts", type=click.IntRange(1, 20_000), default=60, help="number of servers in the endpoint list"
)
@click.option(
    "--scenario",
    "scenarios",
    multiple=True,
    help="one of calm, burst, kill, stop, two, origin, zone; may be repeated; default: all",
)
@click.option(
    "--within", type=click.FloatRange(0.1), default=4.0, help="limit in s for an update to be in force"
)
@JSON_OPTION
def propagation(scenarios: tuple[str, ...], within: float, as_json: bool, **sizes: int) -> None:
    """Measure how long an update of the endpoint list takes to be in force everywhere.

    Exit with 1 if an update took longer than `--within`.

    Example: lotusroute capacity propagation --relays 40 --real 20 --hollow 6140 --zones 19
    """
    from lotusroute.capacity.propagation_fleet import FleetSize
    from lotusroute.capacity.update_propagation import SCENARIOS, Scenario, run_scenarios

    for scenario in scenarios:
        if scenario not in SCENARIOS:
            raise click.UsageError(f"--scenario {scenario}: unknown; give one of {', '.join(SCENARIOS)}")
    chosen = [Scenario(scenario) for scenario in scenarios] or list(SCENARIOS)
    try:
        run = run_scenarios(FleetSize(**sizes), chosen, _print_progress)
    except RunTooLargeError as error:
        exit_with_usage_error(f"propagation: {error}")
    figures: dict[str, dict[str, object]] = {"rest": asdict(run.rest)}
    figures.update((scenario.value, asdict(result)) for scenario, result in run.scenarios.items())
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo("\n".join(f"{name} {result}" for name, result in figures.items()))
    late = any(result.is_late(within) for result in run.scenarios.values())
    sys.exit(ExitCode.FAILED if late else ExitCode.OK)


@click.command()
@click.option(
    "--clients",
    "--followers",  # legacy name of `--clients`
    "clients",
    type=click.IntRange(1, 2_000),
    default=200,
    help="number of balancers, of which only the discovery clients run",
)
@click.option(
    "--answers",
    type=click.FloatRange(1.0),
    default=150.0,
    help="maximum number of answers of discovery per second",
)
@click.option(
    "--hosts", type=click.IntRange(1, 100_000), default=60, help="number of servers in the endpoint list"
)
@click.option(
    "--down",
    type=click.FloatRange(0.0, 60.0),
    default=8.0,
    help="time in s from the start during which discovery is down",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1.0, 300.0),
    default=20.0,
    help="time in s from the first answers to the end of the run",
)
@click.option("--grace", type=click.FloatRange(0.0), default=500.0, help="grace period of a drain in ms")
@JSON_OPTION
def reconnect_storm(as_json: bool, **options: float) -> None:
    """Let many balancers poll discovery after an outage; exit with 1 if one has no endpoint list at the end.

    Example: lotusroute capacity reconnect-storm --clients 200 --answers 150 --down 8
    """
    from lotusroute.net import monotonic_reactor

    # The next import loads Twisted's reactor, which must be the one that balancers use.
    monotonic_reactor.install()
    from lotusroute.capacity.reconnect_storm import StormOptions, run_storm

    result = run_storm(
        StormOptions(
            clients=int(options["clients"]),
            hosts=int(options["hosts"]),
            answers_per_s=options["answers"],
            down_s=options["down"],
            duration_s=options["seconds"],
            grace_ms=options["grace"],
        )
    )
    figures = asdict(result)
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo(" ".join(f"{key}={value}" for key, value in figures.items()))
    sys.exit(ExitCode.FAILED if result.clients_without_list else ExitCode.OK)


@click.command()
@JSON_OPTION
def target(as_json: bool) -> None:
    """Print the capacity target and the figures derived from it by division.

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
    # Legacy names of two commands, which operators' scripts still use.
    "herd": hidden_alias(reconnect_storm),
    "news": hidden_alias(propagation),
}
