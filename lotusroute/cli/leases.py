"""The commands of `lotusroute leases`."""

from collections.abc import Iterator

import click

from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION
from lotusroute.cli.peer_query import print_and_exit, query_peers
from lotusroute.fleet.process_status import GrantStatus, LeaseStatus, ProcessStatus


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show the leases that each balancer holds and those that each acceptor has granted.

    Example: lotusroute leases show --fleet deploy/fleet.toml --peer n1
    """
    answers = query_peers(file, peers)
    lines = [line for name, status in answers.statuses.items() for line in _status_lines(name, status)]
    print_and_exit(answers, as_json, lines)


def _status_lines(name: str, status: ProcessStatus) -> Iterator[str]:
    for task, lease in status.leases.items():
        yield f"{name}: {task}: {_describe_lease(lease)}"
    for task, grant in status.grants.items():
        yield f"{name}: acceptor of {task}: {_describe_grant(grant)}"
    if status.acceptor_silent_ms:
        yield f"{name}: acceptor silent for {status.acceptor_silent_ms} ms more"


def _describe_lease(lease: LeaseStatus) -> str:
    """Describe a lease as a proposer knows it.

    >>> _describe_lease(LeaseStatus(True, 7, 1500, "idle", 0, 7))
    'holds the lease, fencing token 7, 1500 ms left'
    >>> _describe_lease(LeaseStatus(False, 0, 0, "idle", 250, 7))
    'does not hold the lease, phase idle, retries in 250 ms'
    """
    if lease.holds:
        return f"holds the lease, fencing token {lease.fencing_token}, {lease.remaining_ms} ms left"
    return f"does not hold the lease, phase {lease.phase}, retries in {lease.retry_in_ms} ms"


def _describe_grant(grant: GrantStatus) -> str:
    """Describe a lease as an acceptor knows it.

    >>> _describe_grant(GrantStatus("n1#0a1b2c3d", 7, 7, 1500))
    'granted to n1#0a1b2c3d, fencing token 7, 1500 ms left'
    >>> _describe_grant(GrantStatus("", 0, 7, 0))
    'granted to nobody'
    """
    if not grant.holder:
        return "granted to nobody"
    return f"granted to {grant.holder}, fencing token {grant.fencing_token}, {grant.remaining_ms} ms left"


COMMANDS = {"show": show}
