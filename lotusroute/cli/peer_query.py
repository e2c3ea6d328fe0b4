"""The status of running processes for the `show` commands: how it is queried and printed."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import NamedTuple, NoReturn

import click
from twisted.internet import defer

from lotusroute.cli.options import ExitCode, exit_with_wrong_use
from lotusroute.errors import InvalidValueError
from lotusroute.fleet.config import FleetConfig, load_fleet_config
from lotusroute.fleet.process_status import ProcessStatus, decode_status, status_document
from lotusroute.fleet.status_query import query_status
from lotusroute.net.reactor import reactor


class PeerAnswers(NamedTuple):
    """The answers of the queried peers, by the peer's name."""

    statuses: dict[str, ProcessStatus]
    documents: dict[str, dict[str, object]]  # the statuses as JSON objects, with the sections of services
    errors: dict[str, str]  # the reason, for peers without a usable answer


def query_peers(file: str, peers: Sequence[str]) -> PeerAnswers:
    """Query the status of `peers`, or of all peers in the fleet's file if none is named.

    Exits with `ExitCode.WRONG_USE` if the file cannot be used or lacks a peer. It runs the reactor, which can
    be done once in a process.
    """
    config = _load_config(file, peers)
    answers = PeerAnswers({}, {}, {})
    query = _query_all(config, peers or tuple(config.peers), answers)
    reactor.callWhenRunning(defer.ensureDeferred, query)
    reactor.run(installSignalHandlers=False)
    return answers


def _load_config(file: str, peers: Sequence[str]) -> FleetConfig:
    try:
        config = load_fleet_config(file)
    except InvalidValueError as error:
        exit_with_wrong_use(str(error))
    for peer in peers:
        if peer not in config.peers:
            known_peers = ", ".join(config.peers)
            exit_with_wrong_use(f"--peer {peer}: not among the peers of {file}: {known_peers}")
    return config


async def _query_all(config: FleetConfig, names: Sequence[str], answers: PeerAnswers) -> None:
    """Query all peers at once, record the answers in the order of `names`, and stop the reactor."""
    queries = [query_status(reactor, config, name) for name in names]
    for name, query in zip(names, queries, strict=True):
        try:
            body = await query
            answers.statuses[name] = decode_status(body)
            answers.documents[name] = status_document(body)
        except Exception as error:  # whatever fails concerns this peer only
            answers.errors[name] = str(error) or type(error).__name__
    reactor.stop()


def print_and_exit(answers: PeerAnswers, as_json: bool, lines: Iterable[str]) -> NoReturn:
    """Print the answers as one JSON object, or else `lines` and the peers without an answer, and exit."""
    if as_json:
        click.echo(json.dumps({"balancers": answers.documents, "errors": answers.errors}, indent=1))
    else:
        for line in lines:
            click.echo(line)
        for name, reason in answers.errors.items():
            click.echo(f"{name}: no answer ({reason})")
    sys.exit(ExitCode.FAILED if answers.errors else ExitCode.OK)
