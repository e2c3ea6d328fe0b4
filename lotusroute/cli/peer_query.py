"""Queries the status of running processes and prints it, for the `show` commands.

A query does not change the state of the process that is queried.
"""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import NamedTuple, NoReturn

import click
from twisted.internet import defer

from lotusroute.cli.options import ExitCode, exit_with_usage_error
from lotusroute.errors import InvalidValueError
from lotusroute.fleet.config import FleetConfig, load_fleet_config
from lotusroute.fleet.process_status import ProcessStatus, decode_status, status_document
from lotusroute.fleet.status_query import query_status
from lotusroute.net.reactor import reactor
from lotusroute.relay.status import (
    ProcessDocument,
    RelayStatus,
    decode_relay_status,
    printed_process_status,
)


class PeerAnswers(NamedTuple):
    """The answers of the queried peers, by name of the peer."""

    statuses: dict[str, ProcessStatus]
    relay_statuses: dict[str, RelayStatus | None]  # None for a process that is not a relay
    documents: dict[str, ProcessDocument]  # the complete status, as `--json` prints it
    errors: dict[str, str]  # reason for each peer without a usable answer


def query_peers(file: str, peers: Sequence[str]) -> PeerAnswers:
    """Query the status of `peers`, or of all peers in the fleet's file if none is named.

    Exits with `ExitCode.USAGE_ERROR` if the file is unusable or lacks a peer. It must be called only once per
    process, because it runs the reactor, which cannot be restarted.
    """
    config = _load_config(file, peers)
    answers = PeerAnswers({}, {}, {}, {})
    query = _query_all(config, peers or tuple(config.peers), answers)
    reactor.callWhenRunning(defer.ensureDeferred, query)
    reactor.run(installSignalHandlers=False)
    return answers


def _load_config(file: str, peers: Sequence[str]) -> FleetConfig:
    try:
        config = load_fleet_config(file)
    except InvalidValueError as error:
        exit_with_usage_error(str(error))
    for peer in peers:
        if peer not in config.peers:
            known_peers = ", ".join(config.peers)
            exit_with_usage_error(f"--peer {peer}: not among the peers of {file}: {known_peers}")
    return config


async def _query_all(config: FleetConfig, names: Sequence[str], answers: PeerAnswers) -> None:
    """Query all peers concurrently, record the answers in the order of `names`, and stop the reactor."""
    queries = [query_status(reactor, config, name) for name in names]
    for name, query in zip(names, queries, strict=True):
        try:
            body = await query
            status = decode_status(body)
            document = status_document(body)
            relay_status = decode_relay_status(document)
            printed_document = printed_process_status(document)
        except Exception as error:  # a failed query must not affect the other peers
            answers.errors[name] = str(error) or type(error).__name__
            continue
        answers.statuses[name] = status
        answers.relay_statuses[name] = relay_status
        answers.documents[name] = printed_document
    reactor.stop()


def print_and_exit(answers: PeerAnswers, as_json: bool, lines: Iterable[str]) -> NoReturn:
    """Print the answers as one JSON object, or print `lines` and the peers without an answer; then exit."""
    if as_json:
        click.echo(json.dumps({"balancers": answers.documents, "errors": answers.errors}, indent=1))
    else:
        for line in lines:
            click.echo(line)
        for name, reason in answers.errors.items():
            click.echo(f"{name}: no answer ({reason})")
    sys.exit(ExitCode.FAILED if answers.errors else ExitCode.OK)
