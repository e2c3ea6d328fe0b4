"""Benchmarks the balancer as a process on loopback, pinned to one core; servers and clients use the others.

It prints figures, and their ratios to those of another checkout, but does not judge them.
"""

import dataclasses
import json
import pathlib
from collections.abc import Mapping
from typing import TypedDict, Unpack

import click
from checkout_path import CHECKOUT
from loopback_cases import QUICK_CASES, all_cases
from loopback_report import TABLE_HEAD, CaseResult, Figures, combine, compute_ratios, plot, print_case
from loopback_run import run_case


class Options(TypedDict):
    """The command-line options."""

    case_names: tuple[str, ...]
    quick: bool
    against: str | None
    rounds: int
    seed: int
    as_json: bool
    plot_file: str | None


def select_cases(requested: tuple[str, ...], quick: bool) -> list[str]:
    """Return the names of the cases to run."""
    known = all_cases()
    for name in requested:
        if name not in known:
            raise click.UsageError(f"there is no case '{name}'; --list prints the names of all cases")
    if requested:
        return list(requested)
    return list(QUICK_CASES if quick else known)


def run_rounds(
    name: str, builds: Mapping[str, pathlib.Path], rounds: int, seed: int, progress: str
) -> CaseResult:
    """Run one case `rounds` times, in each round on all builds in turn."""
    case = all_cases()[name]
    figures: dict[str, list[Figures]] = {build: [] for build in builds}
    for index in range(rounds):
        for build, root in builds.items():
            click.echo(f"{progress} {name} {build} {index + 1}/{rounds}\r", err=True, nl=False)
            figures[build].append(run_case(case, root, seed + index))
    this_rounds = figures["this"]
    if "other" not in figures:
        return CaseResult(combine(this_rounds))
    other_rounds = figures["other"]
    return CaseResult(combine(this_rounds), combine(other_rounds), compute_ratios(this_rounds, other_rounds))


def list_cases(context: click.Context, _: click.Parameter, requested: bool) -> None:
    """Print the names of all cases and exit, if that is requested."""
    if requested:
        click.echo("\n".join(all_cases()))
        context.exit()


@click.command(
    epilog="Examples: python benchmarks/loopback.py --quick; python benchmarks/loopback.py "
    "--case idle-16 --against ../before --rounds 5 --plot out.png"
)
@click.option(
    "--case", "case_names", multiple=True, help="Name of a case to run; may be repeated. Default: all."
)
@click.option("--quick", is_flag=True, help="Run the six most informative cases, in about a minute.")
@click.option("--against", type=click.Path(exists=True, file_okay=False), help="A checkout to compare with.")
@click.option("--rounds", type=click.IntRange(1, 20), default=1, help="Number of runs of each case.")
@click.option("--seed", default=1, show_default=True, help="Seed of the peers in the first round.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of the table.")
@click.option("--plot", "plot_file", help="Plot the figures into this PNG file.")
@click.option(
    "--list",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=list_cases,
    help="Print the names of the cases and exit.",
)
def main(**options: Unpack[Options]) -> None:
    """Measure the balancer of this checkout on loopback: rejections, migrations and the cost of flows."""
    names = select_cases(options["case_names"], options["quick"])
    builds = {"other": pathlib.Path(options["against"]).resolve()} if options["against"] else {}
    builds["this"] = CHECKOUT
    if not options["as_json"]:
        click.echo(TABLE_HEAD)
    results: dict[str, CaseResult] = {}
    for number, name in enumerate(names, start=1):
        progress = f"{number}/{len(names)}"
        results[name] = run_rounds(name, builds, options["rounds"], options["seed"], progress)
        if not options["as_json"]:
            print_case(name, results[name])
    if options["as_json"]:
        click.echo(json.dumps({name: dataclasses.asdict(result) for name, result in results.items()}))
    if options["plot_file"]:
        plot(options["plot_file"], results)


if __name__ == "__main__":
    main()
