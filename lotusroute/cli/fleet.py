"""The commands of `lotusroute fleet`."""

import click

from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION
from lotusroute.cli.peer_query import print_and_exit, query_peers
from lotusroute.fleet.process_status import ProcessStatus


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show which peers each balancer is connected to.

    Example: lotusroute fleet show --fleet deploy/fleet.toml --json
    """
    answers = query_peers(file, peers)
    lines = [f"{name}: {_describe_connections(status)}" for name, status in answers.statuses.items()]
    print_and_exit(answers, as_json, lines)


def _describe_connections(status: ProcessStatus) -> str:
    role = "acceptor, " if status.is_acceptor else ""
    outbound = " ".join(status.connections.outbound) or "none"
    inbound = " ".join(status.connections.inbound) or "none"
    return f"{role}outbound: {outbound}, inbound: {inbound}"


COMMANDS = {"show": show}
