"""The commands of `lotusroute fleet`."""

import click

from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION
from lotusroute.cli.peer_query import print_and_exit, query_peers


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show which peers each balancer is connected with.

    Example: lotusroute fleet show --fleet deploy/fleet.toml --json
    """
    answers = query_peers(file, peers)
    lines = [_connections_line(name, state) for name, state in answers.states.items()]
    print_and_exit(answers, as_json, lines)


def _connections_line(name: str, state: dict) -> str:
    role = "keeper, " if state["keeper"] else ""
    outgoing = " ".join(state["connections"]["out"]) or "nobody"
    incoming = " ".join(state["connections"]["in"]) or "nobody"
    return f"{name}: {role}to {outgoing}, from {incoming}"


COMMANDS = {"show": show}
