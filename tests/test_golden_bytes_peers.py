"""Golden bytes of the connections between peers, of leases and of shared discovery, written literally.

They must not change when types or modules are renamed, because processes of two builds exchange these bytes
and a new build reads the files of an older one. The expected bytes do not refer to any name of the project.
"""

import random
from collections import Counter

import pytest
from golden_bytes_support import (
    FLEET,
    NOW,
    PROPOSE_B,
    RecordingDiscovery,
    exchange,
    lease_service_at_fixed_clock,
)
from twisted.internet import defer, task
from twisted.internet.testing import StringTransport

from lotusroute.errors import InvalidValueError
from lotusroute.fleet import acceptor_storage, config
from lotusroute.fleet.errors import CallError, UnidentifiedPeerError
from lotusroute.fleet.peer_connection import PeerConnection, PeerHandlers
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.shared_discovery import SharedDiscovery
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.acceptor import Acceptor, AcceptorState
from lotusroute.leases.messages import ReleaseLease, RequestLease


def _connection(peer="", serve=None):
    process = FleetProcess(
        reactor=task.Clock(),
        config=config.parse_fleet_config(FLEET),
        name="a",
        counters=Counter(),
        rng=random.Random(1),
    )
    manager = PeerTransport(process, PeerHandlers(handle_call=serve))
    connection, transport = PeerConnection(manager, peer), StringTransport()
    transport.setTcpNoDelay = transport.setTcpKeepAlive = lambda _: None
    transport.abortConnection = lambda: setattr(transport, "disconnecting", True)
    connection.makeConnection(transport)
    return connection, transport


HELLO = b"\0\x04_ask\0\x011\0\x08_command\0\x05Hello\0\x05fleet\0\x01f\0\x04form\0\x011\0\x04name\0\x01"
HELLO_FROM_A, ANSWER_FROM_B = HELLO + b"a\0\0", b"\0\x07_answer\0\x011\0\x04name\0\x01b\0\0"
CALL = b"\0\x04_ask\0\x012\0\x08_command\0\x04Call\0\x04body\0\x02\x01\xff\0\x04kind\0\x07prepare\0\0"
RESPONSE = b"\0\x07_answer\0\x012\0\x04body\0\x05\0back\0\0"
REJECTED_CALL = b"\0\x06_error\0\x012\0\x0b_error_code\0\x06FAILED\0\x12_error_description\0\x03low\0\0"
UNKNOWN_PEER = b"\0\x06_error\0\x012\0\x0b_error_code\0\x06FAILED\0\x12_error_description\0\x08stranger\0\0"


def test_a_connection_sends_these_boxes_and_reads_the_answers():
    connection, transport = _connection("b")
    greeting = connection.send_hello("f", "a")
    assert transport.value() == HELLO_FROM_A
    exchange(connection, transport, ANSWER_FROM_B)
    assert greeting.result == "b"
    transport.clear()
    calls = connection.call("prepare", b"\x01\xff")
    assert transport.value() == CALL
    exchange(connection, transport, RESPONSE)
    assert calls.result == b"\0back"
    rejected = connection.call("prepare", b"\x01\xff").addErrback(lambda reason: reason.value)
    exchange(connection, transport, REJECTED_CALL.replace(b"\x012", b"\x013"))
    assert type(rejected.result) is CallError and str(rejected.result) == "low"
    assert not transport.disconnecting


def test_an_unidentified_caller_recognizes_this_answer():
    connection, transport = _connection("b")
    rejected = connection.call("prepare", b"\x01\xff").addErrback(lambda reason: reason.value)
    exchange(connection, transport, UNKNOWN_PEER.replace(b"\x012", b"\x011"))
    assert type(rejected.result) is UnidentifiedPeerError


def test_a_connection_answers_these_boxes():
    received, answers = [], iter([b"\0back", defer.fail(CallError("low"))])

    def serve(*call):
        received.append(call)
        return next(answers)

    connection, transport = _connection(serve=serve)
    assert exchange(connection, transport, CALL) == UNKNOWN_PEER
    connection, transport = _connection(serve=serve)
    assert exchange(connection, transport, HELLO + b"b\0\0") == b"\0\x07_answer\0\x011\0\x04name\0\x01a\0\0"
    assert exchange(connection, transport, CALL) == RESPONSE
    assert exchange(connection, transport, CALL) == REJECTED_CALL
    assert received == 2 * [("b", "prepare", b"\x01\xff")]


ZERO_MS = b"\xcb" + bytes(8)  # the float 0.0
MS_3000 = b"\xcb\x40\xa7\x70\0\0\0\0\0"
# The body of a prepare or release request of b: task, ballot, proposer, round.
FROM_B = b"\x94\xa5watch\xcd\x08\x01\xaab#0a1b2c3d\x03"
FROM_C, PROPOSE_C = (body.replace(b"b#", b"c#") for body in (FROM_B, PROPOSE_B))
TOO_LONG = b"\x95" + FROM_B[1:] + b"\xcb\x40\xc1\x94\0\0\0\0\0"  # a lease of 9000 ms
# The start of a reply: task and ballot. The kind, round, accepted, reason, highest ballot, remaining and
# contended follow.
REPLY = b"\x99\xa5watch\xcd\x08\x01"
GRANTED = b"\x03\xc3\xa0\xcd\x08\x01" + ZERO_MS + b"\xc2"


def test_a_proposer_sends_these_calls_and_reads_these_answers(tmp_path):
    service, acceptors = lease_service_at_fixed_clock("d", tmp_path), ["a", "b", "c"]
    tail = b"\xa5watch\x01\xaad#0a1b2c3d"
    service.handle_event(RequestLease("watch"))
    assert service.transport.take_calls() == [
        ("call", at, "prepare", b"\x94" + tail + b"\x01") for at in acceptors
    ]
    for answer in service.transport.answers[:2]:
        answer.callback(b"\x99\xa5watch\x01\xa7prepare\x01\xc3\xa0\x01" + ZERO_MS + b"\xc2")
    body = b"\x95" + tail + b"\x02" + MS_3000
    assert service.transport.take_calls() == [("call", at, "propose", body) for at in acceptors]
    for answer in service.transport.answers[3:5]:
        answer.callback(b"\x99\xa5watch\x01\xa7propose\x02\xc3\xa0\x01" + ZERO_MS + b"\xc2")
    assert service.fencing_token("watch", 0.0) == 1
    service.handle_event(ReleaseLease("watch"))
    assert service.transport.take_calls() == [
        ("call", at, "release", b"\x94" + tail + b"\x02") for at in acceptors
    ]


PREPARES, PROPOSES = ("b", "prepare", FROM_B), ("b", "propose", PROPOSE_B)


@pytest.mark.parametrize(
    ("calls", "answer"),
    [
        ([PREPARES], b"\xa7prepare" + GRANTED),
        ([PROPOSES], b"\xa7propose" + GRANTED),
        ([PROPOSES, ("b", "release", FROM_B)], b"\xa7release" + GRANTED),
        (
            [PROPOSES, ("c", "propose", PROPOSE_C)],
            b"\xa7propose\x03\xc2\xa4held\xcd\x08\x01" + MS_3000 + b"\xc2",
        ),
        ([PROPOSES, ("c", "prepare", FROM_C), PROPOSES], b"\xa7propose" + GRANTED[:-1] + b"\xc3"),
        ([PREPARES, PREPARES], b"\xa7prepare\x03\xc2\xa3low\xcd\x08\x01" + ZERO_MS + b"\xc2"),
        ([("b", "propose", TOO_LONG)], b"\xa7propose\x03\xc2\xa4long\x00" + ZERO_MS + b"\xc2"),
    ],
)
def test_an_acceptor_answers_these_bytes(calls, answer, tmp_path):
    service = lease_service_at_fixed_clock("a", tmp_path)
    assert [service.handle_call(*call) for call in calls][-1] == REPLY + answer


def test_an_acceptor_that_is_not_ready_or_at_its_task_limit_answers_these_bytes(tmp_path):
    service = lease_service_at_fixed_clock("a", tmp_path)
    service.acceptor_host.acceptor.states = {str(at): AcceptorState(expires_at=NOW) for at in range(256)}
    assert service.handle_call(*PREPARES) == REPLY + b"\xa7prepare\x03\xc2\xa4full\x00" + ZERO_MS + b"\xc2"
    service.acceptor_host.acceptor = Acceptor(service.config.terms, NOW - 1000.0, 7)
    silent = b"\xa7release\x03\xc2\xa6silent\x07\xcb\x40\xa0\x04\0\0\0\0\0\xc2"  # 2050 ms remaining
    assert service.handle_call("b", "release", FROM_B) == REPLY + silent


def test_waiting_proposers_are_notified_that_a_lease_is_released(tmp_path):
    service = lease_service_at_fixed_clock("a", tmp_path)
    for call in [PROPOSES, ("c", "prepare", FROM_C), ("b", "release", FROM_B)]:
        service.handle_call(*call)
    assert service.transport.take_calls() == [("back", "c", "freed", b"\x91\xa5watch")]
    assert service.handle_call("b", "freed", b"\x91\xa5watch") == b""


LIST_HEADER = b"\x96\x07\xd9\x20http://10.0.0.9:8500/api/targets"
HEARTBEAT = LIST_HEADER + b"\x0c\xff\xc2\xc0"
CHANGES_UPDATE = LIST_HEADER + b"\x0d\x0c\xc2\x91\x82\xa4host\xa3s-1\xa6health\xa7DELETED"
COMPLETE_UPDATE = LIST_HEADER + b"\x0d\xff\xc3\x91\x82\xa4host\xa3s-1\xa5share\xcb\x3f\xf8\0\0\0\0\0\0"
CHANGES = {"seq": 13, "whole": False, "hosts": [{"host": "s-1", "health": "DELETED"}]}
COMPLETE = {"seq": 13, "whole": True, "hosts": [{"host": "s-1", "share": 1.5}]}


def _shared_discovery(state):
    shared = SharedDiscovery(lease_service_at_fixed_clock("d", state))
    shared.discovery = RecordingDiscovery()
    return shared


@pytest.mark.parametrize(
    ("response", "since", "body"), [(CHANGES, 12, CHANGES_UPDATE), (COMPLETE, None, COMPLETE_UPDATE)]
)
def test_the_lease_holder_sends_these_updates_and_another_process_reads_them(response, since, body, tmp_path):
    holder = _shared_discovery(tmp_path)
    holder.fencing_token, holder.lease_service.fencing_token = 7, lambda *_: 7
    holder.on_response(response, since)
    assert holder.lease_service.transport.take_calls() == [
        ("call", at, "watch", body) for at in ("a", "b", "c")
    ]
    holder._send_heartbeat(7)
    assert holder.lease_service.transport.take_calls() == [
        ("call", at, "watch", HEARTBEAT) for at in ("a", "b", "c")
    ]
    other = _shared_discovery(tmp_path)
    assert (
        other.lease_service.handle_call("a", "watch", body)
        == other.lease_service.handle_call("a", "watch", HEARTBEAT)
        == b""
    )
    assert other.discovery.updates == [(response, since)]
    assert (other.highest_fencing_token, other.holder_seq) == (7, 12)


def test_the_persisted_ballot_is_stored_as_this_file(tmp_path):
    acceptor_storage.store(str(tmp_path), 2048)
    stored = [(file.name, file.read_bytes()) for file in tmp_path.iterdir()]
    assert stored == [("promised", b"2048 cc2541cf\n")]
    (tmp_path / "promised").write_bytes(b"2048 cc2541cf\n")
    assert acceptor_storage.load(str(tmp_path)) == 2048
    for corrupt in (b"2049 cc2541cf\n", b"2048 cc2541ce\n", b"2048\n", b"", b"\xff"):
        (tmp_path / "promised").write_bytes(corrupt)
        with pytest.raises(InvalidValueError):
            acceptor_storage.load(str(tmp_path))
