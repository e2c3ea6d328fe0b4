"""The commands of `lotusroute fault-injection`."""

import json
import sys
import time

import click

from lotusroute.cli.options import JSON_OPTION, ExitCode
from lotusroute.fault_injection.random_scenarios import ScenarioOutcome, run_scenario


@click.command()
@click.option("--seconds", type=click.FloatRange(1.0), default=60.0, help="duration; the last scenario ends")
@click.option("--seed", type=int, default=1, help="of the first scenario; each further one adds 1")
@click.option("--processes", type=click.IntRange(3, 25), default=3, help="balancers of each scenario")
@click.option("--keepers", type=click.Choice(["3", "5", "7"]), default="3", help="of them, lease acceptors")
@JSON_OPTION
def hunt(seconds: float, seed: int, processes: int, keepers: str, as_json: bool) -> None:
    """Run random scenarios with processes and check invariants; exit 1 where one is violated.

    Example: lotusroute fault-injection hunt --seconds 60 --processes 5 --keepers 5 --seed 1
    """
    if int(keepers) > processes:
        raise click.UsageError(f"--keepers {keepers}: more than the {processes} processes; give fewer")
    deadline = time.monotonic() + seconds
    outcomes: list[ScenarioOutcome] = []
    while time.monotonic() < deadline:
        outcome = run_scenario(seed + len(outcomes), processes, int(keepers))
        outcomes.append(outcome)
        _print_progress(outcome)
    summary = _summarize(outcomes)
    if as_json:
        click.echo(json.dumps(summary))
    else:
        click.echo(
            f"{len(outcomes)} scenarios, breached: {summary['breached'] or 'none'}, "
            f"{summary['hand_overs']} hand-overs, held again {summary['recovered_s']}"
        )
    sys.exit(ExitCode.FAILED if summary["breached"] else ExitCode.OK)


def _print_progress(outcome: ScenarioOutcome) -> None:
    verdict = "BREACH" if outcome.failed else "kept"
    click.echo(
        f"seed {outcome.seed}: {verdict}, {outcome.holder_changes} hand-overs, held again "
        f"{outcome.recovery_time:.2f} s after: {'; '.join(outcome.faults)}",
        err=True,
    )
    for violation in outcome.violations:
        click.echo(str(violation), err=True)


def _summarize(outcomes: list[ScenarioOutcome]) -> dict:
    recovery_times = sorted(outcome.recovery_time for outcome in outcomes if outcome.recovery_time >= 0)
    recovery = {}
    if recovery_times:
        recovery = {"p50": recovery_times[len(recovery_times) // 2], "worst": recovery_times[-1]}
    return {
        "scenarios": len(outcomes),
        "breached": [outcome.seed for outcome in outcomes if outcome.failed],
        "hand_overs": sum(outcome.holder_changes for outcome in outcomes),
        "recovered_s": recovery,
    }


COMMANDS = {"hunt": hunt}
