"""Queries the status of a running process, for commands; the process's state is not changed."""

import random
from collections import Counter
from typing import cast

from twisted.internet import defer
from twisted.internet.base import ReactorBase
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.outbound_connections import CONNECT_TIMEOUT_S, open_connection
from lotusroute.fleet.peer_connection import (
    HELLO_TIMEOUT_S,
    OBSERVER,
    STATUS_CALL,
    PeerConnection,
    PeerHandlers,
)
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.transport import PeerTransport


def query_status(reactor: ReactorBase, config: FleetConfig, peer: str) -> "defer.Deferred[bytes]":
    """Read the status of one process; the result is JSON, see `process_status.decode_status`."""
    observer = FleetProcess(
        reactor=reactor, config=config, name=OBSERVER, counters=Counter(), rng=random.Random()
    )
    transport = PeerTransport(observer, PeerHandlers(handle_call=_respond_empty))
    connection = PeerConnection(transport, peer)
    query = open_connection(connection).addCallback(lambda _: connection.call(STATUS_CALL, b""))
    query.addTimeout(CONNECT_TIMEOUT_S + HELLO_TIMEOUT_S, cast(IReactorTime, reactor))

    def close(result: bytes | Failure) -> bytes | Failure:
        transport.closed = True
        connection.close()
        return result

    return query.addBoth(close)


def _respond_empty(peer: str, kind: str, body: bytes) -> bytes:
    """Respond to a call of the queried process with an empty body."""
    return b""
