"""The commands of `lotusroute leases`."""

import click

from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION
from lotusroute.cli.peer_query import print_and_exit, query_peers


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show the leases that each balancer holds and those that each acceptor has granted.

    Example: lotusroute leases show --fleet deploy/fleet.toml --peer n1
    """
    answers = query_peers(file, peers)
    lines = []
    for name, state in answers.states.items():
        lines.extend(_lease_lines(name, state))
    print_and_exit(answers, as_json, lines)


def _lease_lines(name: str, state: dict) -> list[str]:
    lines = []
    for task, lease in state["tasks"].items():
        if lease["holds"]:
            lines.append(f"{name}: {task}: holds under {lease['fence']}, {lease['left_ms']} ms left")
        else:
            lines.append(f"{name}: {task}: {lease['step']}")
    for task, grant in state["keeps"].items():
        holder = grant["holder"] or "nobody"
        lines.append(f"{name}: keeps {task}: {holder} under {grant['fence']}, {grant['left_ms']} ms left")
    if state["keeper_silent_ms"]:
        lines.append(f"{name}: keeper silent for {state['keeper_silent_ms']} ms more")
    return lines


COMMANDS = {"show": show}
