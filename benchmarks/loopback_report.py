"""The figures of the loopback benchmark: combines those of several rounds, prints and plots them."""

import dataclasses
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import click

COMPARED_FIGURES = ("cpu_ms_per_flow", "flows_per_second", "setup_ms_p50", "kb_per_connection", "line_ms")
# Figures that count failures and should be 0. The maximum over all rounds is shown, so that a failure in any
# round is seen.
FAILURE_FIGURES = ("rejected", "lost", "migrated")
PLOTS = {
    "cpu_ms_per_flow": "CPU per flow, ms",
    "setup_ms_p50": "set-up, median ms",
    "rejected": "flows rejected",
}
PLOT_WIDTH_INCHES = 15.0
PLOT_ROW_INCHES = 0.28
PLOT_MARGIN_INCHES = 1.5
PLOT_DPI = 80
BAR_HEIGHT = 0.38  # height of a bar, as a fraction of a case's row
BAR_DISTANCE = 0.4  # distance between the bars of two builds, as a fraction of a case's row
TABLE_HEAD = (
    f"{'case':<22}{'flows':>6}{'estab.':>7}{'rej.':>6}{'lost':>5}{'migr.':>6}{'con/fl':>8}{'flows/s':>8}"
    f"{'cpu ms':>8}{'p50 ms':>9}{'p99 ms':>9}{'KB':>7}{'line':>8}{'direct':>8}"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """The figures of one build in a case, of one round or of all rounds combined."""

    requested: float
    established: float
    rejected: float
    lost: float
    migrated: float
    connects_per_flow: float
    flows_per_second: float
    cpu_ms_per_flow: float
    setup_ms_p50: float
    setup_ms_p99: float
    kb_per_connection: float
    line_ms: float  # median round-trip time of a line through the balancer
    line_ms_direct: float  # median round-trip time of a line that a client sends directly to a server


class Ratio(NamedTuple):
    """A figure of this build divided by that of the other build, as a range over all rounds."""

    minimum: float
    median: float
    maximum: float


@dataclass(frozen=True, slots=True)
class CaseResult:
    """The figures of a case, with those of the other build if there is one."""

    this: Figures
    other: Figures | None = None
    # The ratios by the name of the compared figure; empty if there is no other build.
    ratios: Mapping[str, Ratio] = dataclasses.field(default_factory=dict)

    def by_build(self) -> dict[str, Figures]:
        """Return the figures by build, in the order in which they are shown."""
        return {"this": self.this} if self.other is None else {"other": self.other, "this": self.this}


def compute_ratios(this_rounds: Sequence[Figures], other_rounds: Sequence[Figures]) -> dict[str, Ratio]:
    """Return the ratio of each compared figure, over the rounds in which it is not 0 for either build."""
    ratios = {}
    for name in COMPARED_FIGURES:
        pairs = [
            (getattr(this, name), getattr(other, name))
            for this, other in zip(this_rounds, other_rounds, strict=True)
        ]
        values = [this / other for this, other in pairs if this and other]
        if values:
            ratios[name] = Ratio(min(values), statistics.median(values), max(values))
    return ratios


def combine(rounds: Sequence[Figures]) -> Figures:
    """Return the median of each figure over all rounds, or its maximum where it counts failures."""
    combined = {}
    for field in dataclasses.fields(Figures):
        values = [getattr(figures, field.name) for figures in rounds]
        combined[field.name] = max(values) if field.name in FAILURE_FIGURES else statistics.median(values)
    return Figures(**combined)


def table_row(label: str, figures: Figures) -> str:
    """Format one row below TABLE_HEAD."""
    return (
        f"{label:<22}{figures.requested:>6.0f}{figures.established:>7.0f}{figures.rejected:>6.0f}"
        f"{figures.lost:>5.0f}{figures.migrated:>6.0f}{figures.connects_per_flow:>8.3f}"
        f"{figures.flows_per_second:>8.0f}{figures.cpu_ms_per_flow:>8.3f}"
        f"{figures.setup_ms_p50:>9.2f}{figures.setup_ms_p99:>9.2f}{figures.kb_per_connection:>7.1f}"
        f"{figures.line_ms:>8.3f}{figures.line_ms_direct:>8.3f}"
    )


def print_case(name: str, result: CaseResult) -> None:
    """Print the rows of one case, and the ratios if there is another build."""
    if result.other is not None:
        click.echo(table_row(f"  {name} other", result.other))
    click.echo(table_row(name, result.this))
    for figure, ratio in result.ratios.items():
        click.echo(
            f"    {figure}: {ratio.median:.2f} times the other ({ratio.minimum:.2f} to {ratio.maximum:.2f})"
        )


def plot(file: str, results: Mapping[str, CaseResult]) -> None:
    """Plot the figures of PLOTS into a PNG file, with a bar for each case and build."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(results)
    builds = list(dict.fromkeys(build for result in results.values() for build in result.by_build()))
    size = PLOT_WIDTH_INCHES, PLOT_MARGIN_INCHES + PLOT_ROW_INCHES * len(names)
    figure, axes = pyplot.subplots(1, len(PLOTS), figsize=size, sharey=True)
    for axis, (key, title) in zip(axes, PLOTS.items(), strict=True):
        for index, build in enumerate(builds):
            positions = [row + BAR_DISTANCE * index for row in range(len(names))]
            lengths = [getattr(results[name].by_build()[build], key) for name in names]
            axis.barh(positions, lengths, BAR_HEIGHT, label=build)
        axis.set_title(title)
        axis.set_yticks(range(len(names)), names)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(file, dpi=PLOT_DPI)
