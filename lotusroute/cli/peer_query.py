"""Queries the state of running peers for the `show` commands, and prints it. It changes nothing at a peer."""

import json
import sys
from collections.abc import Sequence
from typing import NamedTuple, NoReturn

import click
from twisted.internet import defer

from lotusroute.cli.options import ExitCode, exit_with_wrong_use
from lotusroute.errors import InvalidValueError
from lotusroute.fleet import config
from lotusroute.fleet.status_query import query_status
from lotusroute.net.reactor import reactor


class PeerStates(NamedTuple):
    """What was queried, by the peer's name."""

    states: dict[str, dict]
    errors: dict[str, str]  # of peers that did not answer


def query_peers(file: str, peers: Sequence[str]) -> PeerStates:
    """Query the state of `peers`, or of all peers in the fleet's file where none is named.

    Exits with `ExitCode.WRONG_USE` where the file cannot be used or lacks a peer. It runs the reactor, which
    can be done once in a process.
    """
    try:
        fleet_config = config.load_fleet_config(file)
    except InvalidValueError as error:
        exit_with_wrong_use(str(error))
    for peer in peers:
        if peer not in fleet_config.peers:
            known_peers = ", ".join(fleet_config.peers)
            exit_with_wrong_use(f"--peer {peer}: not among the peers of {file}: {known_peers}")
    names = peers or tuple(fleet_config.peers)
    answers = PeerStates({}, {})

    def collect(results: list[tuple[bool, object]]) -> None:
        for name, (succeeded, result) in zip(names, results, strict=True):
            if succeeded:
                answers.states[name] = json.loads(result)
            else:
                answers.errors[name] = str(result.value) or type(result.value).__name__
        reactor.stop()

    def query_all() -> None:
        queries = [query_status(reactor, fleet_config, name) for name in names]
        defer.DeferredList(queries, consumeErrors=True).addCallback(collect)

    reactor.callWhenRunning(query_all)
    reactor.run(installSignalHandlers=False)
    return answers


def print_and_exit(answers: PeerStates, as_json: bool, lines: list[str]) -> NoReturn:
    """Print the answers as one JSON object, or else `lines` and the peers that did not answer, and exit."""
    if as_json:
        click.echo(json.dumps({"balancers": answers.states, "missing": answers.errors}, indent=1))
    else:
        for line in lines:
            click.echo(line)
        for name, reason in answers.errors.items():
            click.echo(f"{name}: no answer ({reason})")
    sys.exit(ExitCode.FAILED if answers.errors else ExitCode.OK)
