"""Connections between peers: identification, malformed input, and the bounds on calls in flight."""

import logging
import random
from collections import Counter

import pytest
from fleet_support import FLEET_DOCUMENT
from twisted.internet import task
from twisted.internet.testing import StringTransport

from lotusroute.fleet import config
from lotusroute.fleet.errors import BodyTooLargeError, CallLimitError, CallTimeoutError
from lotusroute.fleet.peer_connection import PeerConnection, PeerHandlers
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.transport import PeerTransport


def amp_box(**pairs):
    """Return an AMP box as it is on the wire; AMP's own keys start with an underscore."""
    box = b""
    for name, value in pairs.items():
        key = f"_{name}" if name in ("ask", "command") else name
        box += len(key).to_bytes(2, "big") + key.encode() + len(value).to_bytes(2, "big") + value
    return box + b"\0\0"


HELLO = amp_box(ask=b"1", command=b"Hello", fleet=b"f", form=b"1", name=b"b")
CALL = amp_box(ask=b"2", command=b"Call", kind=b"show", body=b"x")
EXPECTED_HELLO = "expected a first Hello with fleet f, version 1, name of a peer or subscriber"


class InboundConnection:
    """An inbound connection at balancer `a` before its Hello, with a fake clock and transport."""

    def __init__(self):
        self.clock = task.Clock()
        self.counters = Counter()
        process = FleetProcess(
            reactor=self.clock,
            config=config.parse_fleet_config(FLEET_DOCUMENT),
            name="a",
            counters=self.counters,
            rng=random.Random(1),
        )
        self.peer_transport = PeerTransport(process, PeerHandlers(handle_call=lambda peer, kind, body: body))
        self.connection = PeerConnection(self.peer_transport)
        self.failures = []  # the errors of the calls that failed
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda enabled: None
        self.transport.setTcpKeepAlive = lambda enabled: None
        self.transport.abortConnection = self._abort
        self.connection.makeConnection(self.transport)

    def _abort(self):
        self.transport.disconnecting = True

    @property
    def aborted(self):
        return self.transport.disconnecting

    def receive(self, data):
        self.connection.dataReceived(data)

    def call(self, body):
        call = self.connection.call("k", body)
        call.addErrback(lambda failure: self.failures.append(failure.value))


@pytest.fixture
def inbound():
    return InboundConnection()


@pytest.fixture
def identified():
    """An inbound connection whose Hello has identified the peer as balancer `b`."""
    connection = InboundConnection()
    connection.receive(HELLO)
    return connection


def random_bytes(rng):
    return rng.randbytes(rng.randrange(1, 300))


def truncated_hello_and_call(rng):
    data = HELLO + CALL
    return data[: rng.randrange(len(data))]


def hello_and_call_with_one_byte_changed(rng):
    data = bytearray(HELLO + CALL)
    data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


@pytest.mark.parametrize(
    "generate_input", [random_bytes, truncated_hello_and_call, hello_and_call_with_one_byte_changed]
)
def test_malformed_input_at_most_closes_its_connection(generate_input):
    rng = random.Random(3)
    for _ in range(134):
        inbound = InboundConnection()
        data = generate_input(rng)
        inbound.receive(data)
        inbound.clock.advance(10.0)
        assert inbound.aborted or b"show" not in data or inbound.counters["peer_calls_received"] <= 1


@pytest.mark.parametrize(
    ("first_data", "reason"),
    [
        pytest.param(
            HELLO.replace(b"\0\1f", b"\0\1g"),
            f"received Hello with fleet g, version 1, name b; {EXPECTED_HELLO}",
            id="Hello of another fleet",
        ),
        pytest.param(
            HELLO.replace(b"\0\1b", b"\0\1z"),
            f"received Hello with fleet f, version 1, name z; {EXPECTED_HELLO}",
            id="Hello with an unknown name",
        ),
        pytest.param(b"", "no Hello within 2 s", id="no data"),
        pytest.param(
            amp_box(ask=b"1", command=b"Call", kind=b"show", body=b""),
            "expected Hello, received call show",
            id="call before its Hello",
        ),
    ],
)
def test_an_unknown_peer_is_disconnected_and_the_reason_is_logged(first_data, reason, inbound, caplog):
    caplog.set_level(logging.INFO)
    if first_data:
        inbound.receive(first_data)
    inbound.clock.advance(2.1)
    assert inbound.aborted
    assert inbound.counters["unknown_peers"] == 1
    records = [record for record in caplog.records if record.message == "unknown peer disconnected"]
    assert [record.fields["reason"] for record in records] == [reason]


def test_an_identified_peer_stays_connected(identified):
    identified.clock.advance(2.1)
    assert not identified.aborted
    assert identified.peer_transport.inbound == {"b": [identified.connection]}


def test_calls_in_flight_to_a_stalled_peer_are_bounded_and_time_out(identified):
    for _ in range(70):
        identified.call(b"x" * 100)
    assert [type(error) for error in identified.failures] == [CallLimitError] * 6
    assert str(identified.failures[0]) == (
        "64 calls, 6400 bytes to 'b' are in flight; another call would exceed 64 calls or 262144 bytes"
    )
    assert identified.counters["peer_calls_over_limit"] == 6
    identified.clock.advance(1.1)
    assert [type(error) for error in identified.failures[6:]] == [CallTimeoutError] * 64
    assert str(identified.failures[-1]) == "no response from 'b' within 1 s"
    assert identified.aborted
    assert identified.connection.calls_in_flight == 64  # a call that timed out still occupies the peer


def test_bytes_in_flight_and_the_size_of_a_call_are_bounded(identified):
    for _ in range(5):
        identified.call(b"x" * 59_000)
    assert isinstance(identified.failures[-1], CallLimitError)
    assert identified.connection.bytes_in_flight <= 262_144
    identified.call(b"x" * 60_001)
    assert isinstance(identified.failures[-1], BodyTooLargeError)
    assert str(identified.failures[-1]) == "a body of 60001 bytes is larger than 60000"
