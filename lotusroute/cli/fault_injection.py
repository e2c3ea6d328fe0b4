"""The commands of `lotusroute fault-injection`."""

import json
import sys
import time
from collections.abc import Sequence
from typing import NotRequired, TypedDict

import click

from lotusroute.cli.options import JSON_OPTION, ExitCode, hidden_alias
from lotusroute.fault_injection.random_scenarios import ScenarioOutcome, run_scenario


class RecoveryTimes(TypedDict):
    """Seconds from healing all faults of a scenario until a process held the lease; empty if none did."""

    p50: NotRequired[float]
    worst: NotRequired[float]


class Summary(TypedDict):
    """The results of all scenarios, as `--json` prints them."""

    scenarios: int
    violations: list[int]  # seeds of the scenarios that failed
    holder_changes: int
    recovered_s: RecoveryTimes


@click.command()
@click.option(
    "--seconds",
    type=click.FloatRange(1.0),
    default=60.0,
    help="duration in s; a scenario that is running at its end is completed",
)
@click.option("--seed", type=int, default=1, help="seed of the first scenario; each further one adds 1")
@click.option(
    "--processes", type=click.IntRange(3, 25), default=3, help="number of balancers in each scenario"
)
@click.option(
    "--acceptors",
    type=click.Choice(["3", "5", "7"]),
    default="3",
    help="number of balancers that are lease acceptors",
)
# Legacy name of `--acceptors`.
@click.option("--keepers", "legacy_acceptors", type=click.Choice(["3", "5", "7"]), hidden=True)
@JSON_OPTION
def run(
    seconds: float, seed: int, processes: int, acceptors: str, legacy_acceptors: str | None, as_json: bool
) -> None:
    """Run random fault scenarios and check the lease invariants; exit with 1 if a scenario fails.

    Example: lotusroute fault-injection run --seconds 60 --processes 5 --acceptors 5 --seed 1
    """
    acceptor_count = int(legacy_acceptors or acceptors)
    if acceptor_count > processes:
        raise click.UsageError(
            f"--acceptors {acceptor_count}: more than the {processes} processes; give fewer"
        )
    deadline = time.monotonic() + seconds
    outcomes: list[ScenarioOutcome] = []
    while time.monotonic() < deadline:
        outcome = run_scenario(seed + len(outcomes), processes, acceptor_count)
        outcomes.append(outcome)
        _print_progress(outcome)
    summary = _summarize(outcomes)
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(
            f"{len(outcomes)} scenarios, violations: {summary['violations'] or 'none'}, "
            f"{summary['holder_changes']} holder changes, recovery {_format_recovery(summary['recovered_s'])}"
        )
    sys.exit(ExitCode.FAILED if summary["violations"] else ExitCode.OK)


def _print_progress(outcome: ScenarioOutcome) -> None:
    verdict = "failed" if outcome.failed else "passed"
    recovery = f"{outcome.recovery_time:.2f} s" if outcome.recovery_time >= 0 else "never"
    click.echo(
        f"seed {outcome.seed}: {verdict}, {outcome.holder_changes} holder changes, recovery {recovery} "
        f"after: {'; '.join(outcome.faults)}",
        err=True,
    )
    for violation in outcome.violations:
        click.echo(str(violation), err=True)


def _summarize(outcomes: Sequence[ScenarioOutcome]) -> Summary:
    recovery_times = sorted(outcome.recovery_time for outcome in outcomes if outcome.recovery_time >= 0)
    recovery: RecoveryTimes = {}
    if recovery_times:
        recovery = {"p50": recovery_times[len(recovery_times) // 2], "worst": recovery_times[-1]}
    return {
        "scenarios": len(outcomes),
        "violations": [outcome.seed for outcome in outcomes if outcome.failed],
        "holder_changes": sum(outcome.holder_changes for outcome in outcomes),
        "recovered_s": recovery,
    }


def _format_recovery(recovery: RecoveryTimes) -> str:
    if not recovery:
        return "never"
    return f"{recovery['p50']:.2f} s (median), {recovery['worst']:.2f} s (worst)"


COMMANDS = {"run": run, "hunt": hidden_alias(run)}
