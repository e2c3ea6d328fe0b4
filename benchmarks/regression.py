"""Runs the panels of the bench one after the other and compares their scores with a baseline.

The bench is a separate program that scores a balancer. A day is one of its scenarios, and a panel is a set of
days. Panels never run at the same time, because days on real sockets need the cores to themselves. With
`--write-baseline`, the scores become the baseline, unless a rule was violated or a score regressed.

    python benchmarks/regression.py --bench ../kit/lbreal --bench mass=../kit/mass --site ../kit/site.toml
"""

import argparse
import json
import pathlib
import re
import statistics
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

BASELINE_FILE = pathlib.Path(__file__).with_name("kept.json")
# Arguments of the bench that select each panel.
PANEL_ARGUMENTS: dict[str, list[str]] = {
    "mass": [],
    "vast": [],
    "later": ["--panel", "later"],
}
GATED_PANELS = {"mass"}  # panels whose bench prints at the end whether the gate passed or failed
# Difference between the scores of a panel in two runs of one build. A score counts as regressed only if it
# is further below the baseline.
SCORE_NOISE = 0.07
RUN_TIMEOUT_S = 1_200.0
OUTPUT_TAIL_LENGTH = 300  # number of characters of the bench's output that an error message shows
DAY_LINE = re.compile(
    r"^(?P<name>\S+)\s+G (?P<g>\d\.\d+)\s+floor \d\.\d+\s+top \d\.\d+.*?score \d\.\d+(?P<violations>.*)$",
    re.MULTILINE,
)
SCORE_LINE = re.compile(r"^score of the real nodes (\d\.\d+)", re.MULTILINE)
GATE_LINE = re.compile(r"^GATE (passed|failed)(.*)$", re.MULTILINE)


class BenchError(Exception):
    """The bench did not end in time, its output is incomplete, or the baseline cannot be read."""


@dataclass(frozen=True, slots=True)
class PanelRun:
    """One run of a panel."""

    score: float
    g_by_day: dict[str, float]  # the figure G that the bench prints for each day
    violations: list[str]  # violated rules and crashes of each day, and a failed gate


def parse_output(output: str, gated: bool = False) -> PanelRun:
    """Parse what the bench printed in one run of a panel; raises `BenchError`.

    >>> day = "zone  G 0.600  floor 0.5  top 0.9  score 0.25"
    >>> parse_output(f"{day}\\nscore of the real nodes 0.250 (the mean)")
    PanelRun(score=0.25, g_by_day={'zone': 0.6}, violations=[])
    """
    days = list(DAY_LINE.finditer(output))
    score = SCORE_LINE.search(output)
    if not days or score is None:
        shown = output.strip()[-OUTPUT_TAIL_LENGTH:] or "nothing"
        raise BenchError(f"no score in the output of the bench: {shown}")
    violations = [
        f"{day['name']}: {day['violations'].strip()}" for day in days if "BROKEN" in day["violations"]
    ]
    gate = GATE_LINE.search(output)
    if gated and gate is None:
        raise BenchError("the output of the bench has a score, but no line that begins with GATE")
    if gate is not None and gate[1] == "failed":
        violations.append(gate[0])
    return PanelRun(float(score[1]), {day["name"]: float(day["g"]) for day in days}, violations)


def run_panel(bench: pathlib.Path, site: pathlib.Path, panel: str, full: bool) -> PanelRun:
    """Run one panel once; raises `BenchError`."""
    command = [str(bench), "score", str(site), *PANEL_ARGUMENTS[panel]]
    if not full:
        command.append("--quick")
    command += ["--why", f"Regression run of the panel {panel}."]
    try:
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        raise BenchError(f"panel {panel}: the bench did not end within {RUN_TIMEOUT_S:.0f} s") from None
    try:
        return parse_output(completed.stdout, panel in GATED_PANELS)
    except BenchError as error:
        stderr = completed.stderr.strip()[-OUTPUT_TAIL_LENGTH:]
        raise BenchError(f"panel {panel}: exit {completed.returncode}, {error} {stderr}") from None


def load_baseline(file: pathlib.Path) -> dict[str, float]:
    """Load the baseline scores by panel, none if the file does not exist; raises `BenchError`."""
    if not file.exists():
        return {}
    try:
        scores = json.loads(file.read_text(encoding="utf-8"))
        return {str(name): float(score) for name, score in scores.items()}
    except (ValueError, TypeError, AttributeError) as error:
        raise BenchError(
            f"--baseline {file}: {error}; give a JSON object of scores by panel, or remove the file"
        ) from None


class BenchArgument(NamedTuple):
    """The program that runs a panel, or all panels except the gated ones if `panel` is empty."""

    panel: str
    path: pathlib.Path


def parse_bench(text: str) -> BenchArgument:
    """Parse `FILE` or `PANEL=FILE`, a program and the panel that it runs.

    >>> parse_bench("mass=kit/lbreal")
    BenchArgument(panel='mass', path=PosixPath('kit/lbreal'))
    >>> parse_bench("kit/lbreal").panel
    ''
    """
    panel, equals, path = text.partition("=")
    if equals and panel in PANEL_ARGUMENTS:
        return BenchArgument(panel, pathlib.Path(path))
    return BenchArgument("", pathlib.Path(text))


def assign_benches(arguments: Sequence[BenchArgument]) -> dict[str, pathlib.Path]:
    """Return the bench of each panel: the one given for it, or the last one given without a panel, if any."""
    default_benches = [bench.path for bench in arguments if not bench.panel]
    benches = {}
    for panel in PANEL_ARGUMENTS:
        if default_benches and panel not in GATED_PANELS:
            benches[panel] = default_benches[-1]
    for bench in arguments:
        if bench.panel:
            benches[bench.panel] = bench.path
    return benches


@dataclass(frozen=True, slots=True)
class Options:
    """The command-line options."""

    benches: dict[str, pathlib.Path]  # the program that runs each panel, by the panel's name
    site: pathlib.Path
    panels: list[str]
    runs: int  # number of runs of each panel
    full: bool  # whether all days of each panel are run, not only the quick ones
    baseline_file: pathlib.Path
    write_baseline: bool


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line; `--kept` and `--keep` are older names that still work."""
    parser = argparse.ArgumentParser(
        description="Run the panels of the bench one after the other and compare the scores with a baseline.",
        epilog="example: python benchmarks/regression.py --bench mass=../kit/lbreal --site ../kit/site.toml",
    )
    parser.add_argument(
        "--bench",
        type=parse_bench,
        action="append",
        required=True,
        metavar="[PANEL=]FILE",
        help="the program that runs PANEL, or without PANEL all panels except mass; may be repeated",
    )
    parser.add_argument("--site", type=pathlib.Path, required=True, help="the site file of the bench")
    parser.add_argument(
        "--panel", choices=PANEL_ARGUMENTS, action="append", help="run only this panel; may be repeated"
    )
    parser.add_argument("--runs", type=int, default=1, help="runs of each panel; the median score counts")
    parser.add_argument(
        "--full", action="store_true", help="run all days of each panel, not only the quick ones"
    )
    parser.add_argument(
        "--baseline", type=pathlib.Path, default=BASELINE_FILE, help="file of the baseline scores"
    )
    parser.add_argument(
        "--write-baseline",
        action="store_true",
        help="write the median scores to the baseline file, if nothing failed",
    )
    hidden = argparse.SUPPRESS
    parser.add_argument("--kept", dest="baseline", type=pathlib.Path, default=hidden, help=hidden)
    parser.add_argument("--keep", dest="write_baseline", action="store_true", default=hidden, help=hidden)
    return parser


def parse_arguments(arguments: list[str] | None) -> Options:
    """Parse the command line; exits with code 2 if it is not valid."""
    parser = build_parser()
    parsed = parser.parse_args(arguments)
    paths = [("--bench", bench.path) for bench in parsed.bench]
    paths.append(("--site", parsed.site))
    for name, path in paths:
        if not path.is_file():
            parser.error(f"{name} {path}: no such file; give the path of this file in the bench's kit")
    benches = assign_benches(parsed.bench)
    for panel in parsed.panel or ():
        if panel not in benches:
            parser.error(f"--panel {panel}: no bench runs it; give --bench {panel}=FILE")
    if parsed.runs < 1:
        parser.error(f"--runs {parsed.runs}: give 1 or more")
    return Options(
        benches=benches,
        site=parsed.site,
        panels=parsed.panel or [panel for panel in PANEL_ARGUMENTS if panel in benches],
        runs=parsed.runs,
        full=parsed.full,
        baseline_file=parsed.baseline,
        write_baseline=parsed.write_baseline,
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the panels; return 0 if none failed, 1 if one failed, 2 on an error."""
    options = parse_arguments(arguments)
    try:
        return compare(options, load_baseline(options.baseline_file))
    except BenchError as error:
        print(f"regression: {error}", file=sys.stderr)
        return 2


def compare(options: Options, baseline: dict[str, float]) -> int:
    """Run the panels, print their scores beside the baseline, and return the exit code."""
    failed = False
    medians = {}
    for panel in options.panels:
        name = f"{panel}-full" if options.full else panel
        bench = options.benches[panel].resolve()
        runs = [run_panel(bench, options.site.resolve(), panel, options.full) for _ in range(options.runs)]
        medians[name] = statistics.median(run.score for run in runs)
        regressed = name in baseline and medians[name] < baseline[name] - SCORE_NOISE
        failed = failed or regressed or any(run.violations for run in runs)
        print_panel(name, runs, baseline.get(name), regressed)
    if options.write_baseline and not failed:
        scores = {**baseline, **medians}
        options.baseline_file.write_text(json.dumps(scores, indent=1) + "\n", encoding="utf-8")
    return int(failed)


def print_panel(name: str, runs: list[PanelRun], baseline_score: float | None, regressed: bool) -> None:
    """Print the scores of one panel, the figure G of each of its days, and all violations."""
    scores = [run.score for run in runs]
    baseline = "none" if baseline_score is None else f"{baseline_score:.3f}"
    verdict = ", regressed" if regressed else ""
    print(f"{name}: {statistics.median(scores):.3f} of {scores}, baseline {baseline}{verdict}")
    for day in runs[0].g_by_day:
        print(f"  {day}: G {[run.g_by_day.get(day) for run in runs]}")
    for run in runs:
        for violation in run.violations:
            print(f"  violation {violation}")


if __name__ == "__main__":
    sys.exit(main())
