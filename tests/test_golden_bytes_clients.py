"""The exact bytes of the protocol with clients and servers, written as literals.

Processes of different builds exchange these bytes, so a rename of types or modules must not change them. The
expected bytes are not built from any name in the project.
"""

from collections import Counter

import pytest
from fake_transport import FakeTransport
from golden_bytes_support import NOW, exchange
from twisted.internet import task

from lotusroute.net.downstream.connection import DownstreamConnection
from lotusroute.net.downstream.listener import BalancerHooks, DownstreamFactory
from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.net.flows.admission import busy_line
from lotusroute.net.transport import line_protocol
from lotusroute.net.upstream.lingering import LingeringUpstreams


@pytest.mark.parametrize(
    ("ready", "sent", "answer"),
    [
        (True, b"PING\r\n", b"PONG\r\n"),
        (False, b"PING\r\n", b"BUSY\r\n"),
        (True, b"OPEN 1\r\n", b"ERR\r\n"),
    ],
)
def test_the_lines_sent_to_a_client(ready, sent, answer):
    connection, transport = DownstreamConnection(), FakeTransport()
    hooks = BalancerHooks(None, lambda: NOW, lambda: ready, lambda callback: callback(), lambda: NOW)
    connection.factory = DownstreamFactory(hooks, 1024, Counter(), LingeringUpstreams())
    connection.callLater = task.Clock().callLater
    transport.loseWriteConnection = transport.unregisterProducer = lambda *_: None
    connection.makeConnection(transport)
    assert exchange(connection, transport, sent) == answer
    transport.clear()
    connection.send_migrate()
    assert transport.value() == b"MOVE\r\n"


def test_the_keywords_of_the_protocol_and_the_line_to_a_server():
    keywords = [
        line_protocol.OPEN,
        line_protocol.UP,
        line_protocol.BUSY,
        line_protocol.ERR,
        line_protocol.MOVE,
        line_protocol.BYE,
        line_protocol.LOAD,
        line_protocol.PING,
    ]
    assert keywords == [b"OPEN", b"UP", b"BUSY", b"ERR", b"MOVE", b"BYE", b"LOAD", b"PING"]
    assert [busy_line(ms, 900.0) for ms in (250.4, 2000.0, 0.0)] == [b"BUSY 250", b"BUSY 900", b"BUSY"]
    request = parse_open_request(b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000.5,g=5c0f,r=1,at=s-1\r\n")
    assert request[:8] == ("9b1f", "chat", "acme", "5c0f", "7f3a", 2000.5, True, "s-1")
    assert request.rewritten(1499.9) == b"OPEN 9b1f 7f3a c=chat,t=acme,d=1499,g=5c0f,r=1,at=s-1\r\n"
