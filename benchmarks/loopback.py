"""Benchmark of the started program on loopback, pinned to a core, beside processes of servers and clients.

It prints figures, and their ratios to those of another checkout, without a verdict.
"""

import json
import pathlib
import statistics

import click
from loopback_cases import QUICK_CASES, all_cases
from loopback_run import Figures, run_case

ROOT = pathlib.Path(__file__).resolve().parents[1]
COMPARED_KEYS = ("cpu_ms_a_flow", "flows_a_second", "setup_ms_p50", "kb_a_connection", "line_ms")
FAILURE_KEYS = ("refused", "lost", "moved")  # should be 0: the maximum of all rounds counts
PLOTS = {"cpu_ms_a_flow": "CPU a flow, ms", "setup_ms_p50": "set-up, median ms", "refused": "flows refused"}
TABLE_HEAD = (
    f"{'case':<22}{'asked':>6}{'stood':>7}{'ref.':>6}{'lost':>5}{'moved':>6}{'con/fl':>8}{'flows/s':>8}"
    f"{'cpu ms':>8}{'p50 ms':>9}{'p99 ms':>9}{'KB':>7}{'line':>8}{'strt':>8}"
)


def ratios(own_rounds: list[Figures], other_rounds: list[Figures]) -> dict[str, tuple[float, float, float]]:
    """Return own over other figures round by round: minimum, median and maximum of each that both have."""
    result = {}
    for key in COMPARED_KEYS:
        values = [
            own[key] / other[key]
            for own, other in zip(own_rounds, other_rounds, strict=True)
            if own[key] and other[key]
        ]
        if values:
            result[key] = (min(values), statistics.median(values), max(values))
    return result


def combine(rounds: list[Figures]) -> Figures:
    """Return the median of each figure over all rounds, and the maximum of failures."""
    result = {}
    for key in rounds[0]:
        values = [figures[key] for figures in rounds]
        result[key] = max(values) if key in FAILURE_KEYS else statistics.median(values)
    return result


def table_row(name: str, figures: Figures) -> str:
    """Format one row below TABLE_HEAD."""
    return (
        f"{name:<22}{figures['asked']:>6.0f}{figures['established']:>7.0f}{figures['refused']:>6.0f}"
        f"{figures['lost']:>5.0f}{figures['moved']:>6.0f}{figures['connects_a_flow']:>8.3f}"
        f"{figures['flows_a_second']:>8.0f}{figures['cpu_ms_a_flow']:>8.3f}"
        f"{figures['setup_ms_p50']:>9.2f}{figures['setup_ms_p99']:>9.2f}{figures['kb_a_connection']:>7.1f}"
        f"{figures['line_ms']:>8.3f}{figures['line_ms_straight']:>8.3f}"
    )


def plot(path: str, results: dict[str, dict]) -> None:
    """Plot the figures of PLOTS into a file, a bar for each case and build."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(results)
    builds = [build for build in ("theirs", "ours") if any(build in results[name] for name in names)]
    figure, axes = pyplot.subplots(1, len(PLOTS), figsize=(15, 1.5 + 0.28 * len(names)), sharey=True)
    for axis, (key, title) in zip(axes, PLOTS.items(), strict=True):
        for index, build in enumerate(builds):
            positions = [row + 0.4 * index for row in range(len(names))]
            widths = [results[name].get(build, {}).get(key, 0.0) for name in names]
            axis.barh(positions, widths, 0.38, label=build)
        axis.set_title(title)
        axis.set_yticks(range(len(names)), names)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def print_case(name: str, result: dict) -> None:
    """Print the rows of one case, and the ratios where there is another build."""
    for build, label in (("theirs", f"  {name} before"), ("ours", name)):
        if build in result:
            click.echo(table_row(label, result[build]))
    for key, (least, median, most) in result.get("ratio", {}).items():
        click.echo(f"    {key}: {median:.2f} times before ({least:.2f} to {most:.2f})")


def select_cases(chosen: tuple[str, ...], quick: bool) -> list[str]:
    """Return the names of the cases to run."""
    known = all_cases()
    for name in chosen:
        if name not in known:
            raise click.UsageError(f"no case '{name}'; --list names them")
    if chosen:
        return list(chosen)
    return list(QUICK_CASES if quick else known)


def run_rounds(name: str, builds: dict[str, pathlib.Path], rounds: int, seed: int, progress: str) -> dict:
    """Run one case on all builds in turn; returns its figures by build, and their ratios for two builds."""
    case = all_cases()[name]
    figures: dict[str, list[Figures]] = {build: [] for build in builds}
    for index in range(rounds):
        for build, root in builds.items():
            click.echo(f"{progress} {name} {build} {index + 1}/{rounds}\r", err=True, nl=False)
            figures[build].append(run_case(case, root, seed + index))
    result: dict = {build: combine(each) for build, each in figures.items()}
    if "theirs" in builds:
        result["ratio"] = ratios(figures["ours"], figures["theirs"])
    return result


@click.command(
    epilog="Examples: python benchmarks/loopback.py --quick; python benchmarks/loopback.py "
    "--case idle-16 --against ../before --rounds 5 --plot out.png"
)
@click.option("--case", "chosen", multiple=True, help="A case by name; may be repeated. Default: all.")
@click.option("--quick", is_flag=True, help="Six cases that show most, in about a minute.")
@click.option("--against", type=click.Path(exists=True, file_okay=False), help="A checkout to compare with.")
@click.option("--rounds", type=click.IntRange(1, 20), default=1, help="Runs of each case.")
@click.option("--seed", default=1, show_default=True, help="Seed of the peers in the first round.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the table.")
@click.option("--plot", "plot_file", help="Plot the figures into this PNG file.")
@click.option("--list", "list_cases", is_flag=True, help="Name the cases and stop.")
def main(
    chosen: tuple[str, ...],
    quick: bool,
    against: str | None,
    rounds: int,
    seed: int,
    as_json: bool,
    plot_file: str | None,
    list_cases: bool,
) -> None:
    """Measure the balancer of this checkout on loopback: flows, rejections, migrations, and their cost."""
    if list_cases:
        click.echo("\n".join(all_cases()))
        return
    names = select_cases(chosen, quick)
    builds = {"theirs": pathlib.Path(against).resolve()} if against else {}
    builds["ours"] = ROOT
    if not as_json:
        click.echo(TABLE_HEAD)
    results: dict[str, dict] = {}
    for number, name in enumerate(names, start=1):
        results[name] = run_rounds(name, builds, rounds, seed, f"{number}/{len(names)}")
        if not as_json:
            print_case(name, results[name])
    if as_json:
        click.echo(json.dumps(results))
    if plot_file:
        plot(plot_file, results)


if __name__ == "__main__":
    main()
