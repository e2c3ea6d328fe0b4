"""Golden bytes: what goes over each wire and onto the disk, written literally.

A rename of types or modules must leave all of this as it is: processes of two builds speak to one another,
and a new build reads the old one's files. The code under test writes and reads each form. Expected bytes are
literals and use no name of the project, so that a rename touches the imports and the calls only.
"""

import json
import random
from collections import Counter

import pytest
from twisted.internet import defer, task
from twisted.internet.testing import StringTransport

from lotusroute.adapter import wire
from lotusroute.errors import InvalidValueError
from lotusroute.fleet import acceptor_storage, config
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.peer_connection import CallError, PeerConnection
from lotusroute.fleet.shared_discovery import SharedDiscovery
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.acceptor import Acceptor, AcceptorState
from lotusroute.leases.messages import ReleaseLease, RequestLease
from lotusroute.leases.proposer import Proposer
from lotusroute.net import config as net_config
from lotusroute.net import line_protocol
from lotusroute.net.admission import busy_line
from lotusroute.net.downstream import DownstreamConnection
from lotusroute.net.listener import DownstreamFactory
from lotusroute.net.open_request import parse_open_request
from lotusroute.relay import config as relays_config
from lotusroute.relay import messages, subscription
from lotusroute.relay.fanout import Heartbeat
from lotusroute.relay.server import RelayServer
from lotusroute.relay.versioned_store import Delta, Snapshot, Version
from lotusroute.routing import events

NOW = 10_000.0
PEERS = {"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1", "d": "10.0.0.4:1"}
FLEET = {"name": "f", "keepers": ["a", "b", "c"], "peers": PEERS}


class FakeLink:
    """Records calls as (way, peer, kind, body) and leaves the answers to the test."""

    def __init__(self):
        self.calls, self.answers, self.outbound, self.inbound = [], [], {}, {}
        self.call = lambda *said: self._record("call", *said)
        self.call_inbound = lambda *said: self._record("back", *said)
        self.connect = self.disconnect = lambda peer: None

    def _record(self, *said):
        self.calls.append(said)
        self.answers.append(defer.Deferred())
        return self.answers[-1]

    def taken(self):
        calls, self.calls = self.calls, []
        return calls


def _part(name, state):
    """A Part at a fixed clock, with a FakeLink; the keeper, if any, speaks and may promise up to 4095."""
    part = LeaseService(
        task.Clock(), config.parse_fleet_config({**FLEET, "state": str(state)}), name, Counter()
    )
    part.clock, part.transport = lambda: NOW, FakeLink()
    part.proposer = Proposer(f"{name}#0a1b2c3d", part.config.terms, random.Random(1))
    if part.acceptor is not None:
        part.acceptor = Acceptor(part.config.terms, 0.0, 0)
        part.acceptor.ballots_persisted(4096)
    return part


def _connection(peer="", serve=None):
    link = PeerTransport(
        task.Clock(), config.parse_fleet_config(FLEET), "a", random.Random(1), Counter(), serve
    )
    connection, transport = PeerConnection(link, peer), StringTransport()
    transport.setTcpNoDelay = transport.setTcpKeepAlive = lambda _: None
    transport.abortConnection = lambda: setattr(transport, "disconnecting", True)
    connection.makeConnection(transport)
    return connection, transport


def _exchange(connection, transport, data):
    transport.clear()
    connection.dataReceived(data)
    return transport.value()


HELLO = b"\0\x04_ask\0\x011\0\x08_command\0\x05Hello\0\x05fleet\0\x01f\0\x04form\0\x011\0\x04name\0\x01"
FROM_ME, IT_IS_B = HELLO + b"a\0\0", b"\0\x07_answer\0\x011\0\x04name\0\x01b\0\0"
CALL = b"\0\x04_ask\0\x012\0\x08_command\0\x04Call\0\x04body\0\x02\x01\xff\0\x04kind\0\x07prepare\0\0"
BACK = b"\0\x07_answer\0\x012\0\x04body\0\x05\0back\0\0"
REFUSED = b"\0\x06_error\0\x012\0\x0b_error_code\0\x06FAILED\0\x12_error_description\0\x03low\0\0"
STRANGER = b"\0\x06_error\0\x012\0\x0b_error_code\0\x06FAILED\0\x12_error_description\0\x08stranger\0\0"


def test_the_link_sends_these_boxes_and_reads_the_answers():
    connection, transport = _connection("b")
    greeted = connection.send_hello("f", "a")
    assert transport.value() == FROM_ME
    _exchange(connection, transport, IT_IS_B)
    assert greeted.result == "b"
    transport.clear()
    asked = connection.call("prepare", b"\x01\xff")
    assert transport.value() == CALL
    _exchange(connection, transport, BACK)
    assert asked.result == b"\0back"
    refused = connection.call("prepare", b"\x01\xff").addErrback(lambda reason: reason.value)
    _exchange(connection, transport, REFUSED.replace(b"\x012", b"\x013"))
    assert type(refused.result) is CallError and str(refused.result) == "low"
    assert not transport.disconnecting


def test_the_link_answers_these_boxes():
    heard, answers = [], iter([b"\0back", defer.fail(CallError("low"))])

    def serve(*said):
        heard.append(said)
        return next(answers)

    connection, transport = _connection(serve=serve)
    assert _exchange(connection, transport, CALL) == STRANGER
    connection, transport = _connection(serve=serve)
    assert _exchange(connection, transport, HELLO + b"b\0\0") == b"\0\x07_answer\0\x011\0\x04name\0\x01a\0\0"
    assert _exchange(connection, transport, CALL) == BACK
    assert _exchange(connection, transport, CALL) == REFUSED
    assert heard == 2 * [("b", "prepare", b"\x01\xff")]


ZERO = b"\xcb" + bytes(8)  # 0.0
MS_3000 = b"\xcb\x40\xa7\x70\0\0\0\0\0"
FROM_B = b"\x94\xa5watch\xcd\x08\x01\xaab#0a1b2c3d\x03"  # prepare or release: task, number, asker, round
PROPOSE_B = b"\x95" + FROM_B[1:] + MS_3000
FROM_C, PROPOSE_C = (body.replace(b"b#", b"c#") for body in (FROM_B, PROPOSE_B))
TOO_LONG = b"\x95" + FROM_B[1:] + b"\xcb\x40\xc1\x94\0\0\0\0\0"  # 9000 ms
REPLY = b"\x99\xa5watch\xcd\x08\x01"  # what follows: step, round, yes, why, seen, left, wanted
YES = b"\x03\xc3\xa0\xcd\x08\x01" + ZERO + b"\xc2"


def test_an_asker_says_these_calls_and_reads_these_answers(tmp_path):
    part, keepers = _part("d", tmp_path), ["a", "b", "c"]
    tail = b"\xa5watch\x01\xaad#0a1b2c3d"
    part.handle_event(RequestLease("watch"))
    assert part.transport.taken() == [("call", at, "prepare", b"\x94" + tail + b"\x01") for at in keepers]
    for answer in part.transport.answers[:2]:
        answer.callback(b"\x99\xa5watch\x01\xa7prepare\x01\xc3\xa0\x01" + ZERO + b"\xc2")
    body = b"\x95" + tail + b"\x02" + MS_3000
    assert part.transport.taken() == [("call", at, "propose", body) for at in keepers]
    for answer in part.transport.answers[3:5]:
        answer.callback(b"\x99\xa5watch\x01\xa7propose\x02\xc3\xa0\x01" + ZERO + b"\xc2")
    assert part.fencing_token("watch", 0.0) == 1
    part.handle_event(ReleaseLease("watch"))
    assert part.transport.taken() == [("call", at, "release", b"\x94" + tail + b"\x02") for at in keepers]


PREPARES, PROPOSES = ("b", "prepare", FROM_B), ("b", "propose", PROPOSE_B)


@pytest.mark.parametrize(
    "asked, answer",
    [
        ([PREPARES], b"\xa7prepare" + YES),
        ([PROPOSES], b"\xa7propose" + YES),
        ([PROPOSES, ("b", "release", FROM_B)], b"\xa7release" + YES),
        (
            [PROPOSES, ("c", "propose", PROPOSE_C)],
            b"\xa7propose\x03\xc2\xa4held\xcd\x08\x01" + MS_3000 + b"\xc2",
        ),
        ([PROPOSES, ("c", "prepare", FROM_C), PROPOSES], b"\xa7propose" + YES[:-1] + b"\xc3"),
        ([PREPARES, PREPARES], b"\xa7prepare\x03\xc2\xa3low\xcd\x08\x01" + ZERO + b"\xc2"),
        ([("b", "propose", TOO_LONG)], b"\xa7propose\x03\xc2\xa4long\x00" + ZERO + b"\xc2"),
    ],
)
def test_a_keeper_answers_these_bytes(asked, answer, tmp_path):
    part = _part("a", tmp_path)
    assert [part.handle_call(*said) for said in asked][-1] == REPLY + answer


def test_a_keeper_that_is_silent_or_full_answers_these_bytes(tmp_path):
    part = _part("a", tmp_path)
    part.acceptor.states = {str(at): AcceptorState(expires_at=NOW) for at in range(256)}
    assert part.handle_call(*PREPARES) == REPLY + b"\xa7prepare\x03\xc2\xa4full\x00" + ZERO + b"\xc2"
    part.acceptor = Acceptor(part.config.terms, NOW - 1000.0, 7)
    silent = b"\xa7release\x03\xc2\xa6silent\x07\xcb\x40\xa0\x04\0\0\0\0\0\xc2"  # 2050 ms more
    assert part.handle_call("b", "release", FROM_B) == REPLY + silent


def test_those_who_wait_are_told_that_a_task_is_free(tmp_path):
    part = _part("a", tmp_path)
    for said in [PROPOSES, ("c", "prepare", FROM_C), ("b", "release", FROM_B)]:
        part.handle_call(*said)
    assert part.transport.taken() == [("back", "c", "freed", b"\x91\xa5watch")]
    assert part.handle_call("b", "freed", b"\x91\xa5watch") == b""


WATCHED = b"\x96\x07\xd9\x20http://10.0.0.9:8500/api/targets"
BEAT = WATCHED + b"\x0c\xff\xc2\xc0"
CHANGED = WATCHED + b"\x0d\x0c\xc2\x91\x82\xa4host\xa3s-1\xa6health\xa7DELETED"
ALL = WATCHED + b"\x0d\xff\xc3\x91\x82\xa4host\xa3s-1\xa5share\xcb\x3f\xf8\0\0\0\0\0\0"
TOLD_CHANGED = {"seq": 13, "whole": False, "hosts": [{"host": "s-1", "health": "DELETED"}]}
TOLD_ALL = {"seq": 13, "whole": True, "hosts": [{"host": "s-1", "share": 1.5}]}


class FakeDiscovery:
    base, seq, closed = "http://10.0.0.9:8500/api/targets", 12, False

    def __init__(self):
        self.taken = []

    def apply_shared_update(self, *told):
        self.taken.append(told)
        return True


def _watch(state):
    watch = SharedDiscovery(_part("d", state))
    watch.discovery = FakeDiscovery()
    return watch


@pytest.mark.parametrize("told, since, body", [(TOLD_CHANGED, 12, CHANGED), (TOLD_ALL, None, ALL)])
def test_the_holder_of_the_watch_sends_these_bytes_and_another_reads_them(told, since, body, tmp_path):
    holder = _watch(tmp_path)
    holder.fencing_token, holder.lease_service.fencing_token = 7, lambda *_: 7
    holder.on_response(told, since)
    assert holder.lease_service.transport.taken() == [("call", at, "watch", body) for at in ("a", "b", "c")]
    holder._send_heartbeat(7)
    assert holder.lease_service.transport.taken() == [("call", at, "watch", BEAT) for at in ("a", "b", "c")]
    other = _watch(tmp_path)
    assert (
        other.lease_service.handle_call("a", "watch", body)
        == other.lease_service.handle_call("a", "watch", BEAT)
        == b""
    )
    assert other.discovery.taken == [(told, since)]
    assert (other.highest_fencing_token, other.holder_seq) == (7, 12)


ITEMS = {
    "s-1": b'{"dial": "10.0.0.1:80", "host": "s-1"}',
    "s-2": b'{"host": "s-2", "share": 0.5}',
    "#list": b'{"where": "10.0.0.9:8500", "seq": 4}',
}
HEAD = b"\x97\x92\x03\x01\xcb\x40\x6f\x40\0\0\0\0\0\xcf\x8a\x86\xd8\xc3\x1d\x5b\xf2\xfe\xc0"  # 250 ms old
CUT = [
    HEAD + b'\x00\x03\x81\xa3s-1\xc4\x26{"dial": "10.0.0.1:80", "host": "s-1"}',
    HEAD + b'\x01\x03\x81\xa3s-2\xc4\x1d{"host": "s-2", "share": 0.5}',
    HEAD + b'\x02\x03\x81\xa5#list\xc4\x24{"where": "10.0.0.9:8500", "seq": 4}',
]
WHOLE = HEAD + b"\x00\x01\x83" + b"".join(part[len(HEAD) + 3 :] for part in CUT)
DELTA = (
    b"\x97\x92\x03\x02\xcb\x40\x6f\x40\0\0\0\0\0\xcf\x2b\xd9\x8f\x55\x10\x66\x2e\x89\x92\x03\x01\x00\x00\x82"
    b'\xa3s-2\xc0\xa5#list\xc4\x24{"where": "10.0.0.9:8500", "seq": 5}'
)
NO_NEWS = b"\x97\x92\x03\x02\xcb\x40\x6f\x40\0\0\0\0\0\x00\xc0\x00\x00\x80"
HOSTS = [{"host": "s-1", "dial": "10.0.0.1:80"}, {"host": "s-2", "share": 0.5}]


def _relay(state):
    """A relay that is the origin under fence 3 and has published 250 ms ago."""
    part = _part("a", state)
    relay = RelayServer(part, ("10.0.0.9", 8500), Counter())
    relay.fencing_token, part.fencing_token = 3, lambda *_: 3
    relay.on_response({"seq": 4, "whole": True, "hosts": HOSTS}, None)
    part.clock = lambda: NOW + 250.0
    return relay


def test_a_relay_sends_these_bytes_and_a_balancer_reads_them(tmp_path):
    relay = _relay(tmp_path)
    part, link = relay.lease_service, relay.lease_service.transport
    assert relay.store.items == ITEMS
    assert part.handle_call("n1", "follow", b"\x92\x00\x00") == b""
    part.reactor.advance(0)
    assert link.taken() == [("back", "n1", "news", WHOLE)]
    link.answers[-1].callback(b"\x92\x03\x01")
    assert relay.fanout.subscribers["n1"].version == (3, 1)
    part.clock = lambda: NOW
    relay.on_response({"seq": 5, "whole": False, "hosts": [{"host": "s-2", "health": "DELETED"}]}, 4)
    part.clock = lambda: NOW + 250.0
    relay.perform(relay.fanout.tick(part.clock() + 1000.0, relay.age_ms()))
    assert link.taken() == [("back", "n1", "news", DELTA)]

    relays = relays_config.RelaysConfig("f", {"r1": ("10.0.0.1", 1)}, {})
    balancer = subscription.Subscription(task.Clock(), relays, "n1", Counter())
    balancer.transport, balancer.discovery = FakeLink(), FakeDiscovery()
    balancer.selector.joining = "r1"
    balancer.on_connected("r1")
    assert balancer.transport.taken() == [("call", "r1", "follow", b"\x92\x00\x00")]
    balancer.transport.answers[-1].callback(b"")
    acknowledged = [balancer.handle_call("r1", "news", body) for body in (*CUT, DELTA, NO_NEWS)]
    assert acknowledged == 2 * [b"\x92\x00\x00"] + [b"\x92\x03\x01"] + 2 * [b"\x92\x03\x02"]
    gone = {"seq": 5, "whole": False, "hosts": [{"host": "s-2", "health": "DELETED"}]}
    assert balancer.discovery.taken == [({"seq": 4, "whole": True, "hosts": HOSTS}, None), (gone, 4)]


def test_news_are_written_and_read_as_these_bytes(monkeypatch):
    snapshot = Snapshot(Version(3, 1), 0x8A86D8C31D5BF2FE, ITEMS)
    left = {"s-2": None, "#list": b'{"where": "10.0.0.9:8500", "seq": 5}'}
    delta = Delta(Version(3, 1), Version(3, 2), 0x2BD98F5510662E89, left)
    assert messages.encode_update(snapshot, 250.0) == [WHOLE]
    assert messages.encode_update(delta, 250.0) == [DELTA]
    assert messages.encode_update(Heartbeat(Version(3, 2), 0.0), 250.0) == [NO_NEWS]
    monkeypatch.setattr(messages, "MAX_PART_BYTES", 1)
    assert messages.encode_update(snapshot, 250.0) == CUT
    for bodies, news in ((CUT, snapshot), ([WHOLE], snapshot), ([DELTA], delta)):
        assembler = messages.SnapshotAssembler()
        assert [assembler.add(messages.decode_update(body)) for body in bodies][-1] == news
    beat = messages.decode_update(NO_NEWS)
    assert (beat.version, beat.age_ms, beat.base_version, beat.part_count, beat.items) == (
        (3, 2),
        250.0,
        None,
        0,
        {},
    )
    assert messages.encode_acknowledgement(Version(3, 2)) == b"\x92\x03\x02"
    assert messages.decode_acknowledgement(b"\x92\x03\x02") == (3, 2)


def test_the_number_on_disk_is_this_file(tmp_path):
    acceptor_storage.store(str(tmp_path), 2048)
    kept = [(file.name, file.read_bytes()) for file in tmp_path.iterdir()]
    assert kept == [("promised", b"2048 cc2541cf\n")]
    (tmp_path / "promised").write_bytes(b"2048 cc2541cf\n")
    assert acceptor_storage.load(str(tmp_path)) == 2048
    for spoilt in (b"2049 cc2541cf\n", b"2048 cc2541ce\n", b"2048\n", b"", b"\xff"):
        (tmp_path / "promised").write_bytes(spoilt)
        with pytest.raises(InvalidValueError):
            acceptor_storage.load(str(tmp_path))


FLEET_FILE = """name = "example"\nstate = "/var/lib/x"\nkeepers = ["n1", "n2", "n3"]
tasks = ["watch", "cold", "check", "origin"]\nlease_ms = 1500\nterm_ms = 90000\nguests = 400
[peers]\nn1 = "10.0.0.1:9700"\nn2 = "10.0.0.2:9700"\nn3 = "10.0.0.3:9700"\n"""
RELAYS_FILE = """name = "example"\nzone = "a"
[relays.a]\nr1 = "10.0.0.1:9800"\n[relays.b]\nr3 = "10.0.0.3:9800"\n"""
CONFIG = """{"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "5eed",
"limits": {"sockets": 2048, "memory_mb": 80}, "known": {"seq": 3, "whole": true, "hosts": [{"host": "s-1"}]},
"settings": {"me": 2, "siblings": 3, "weights": "rough", "discovery": "push", "tenants": [{"name": "t1"}],
 "family_info": {"groups": true, "tells_delay": true, "message_aim": [90, 40]},
 "rules": {"ask_every": 5000, "cold_from": 0.5, "warm_after": 700, "tip_multiple": 1.5,
  "stop_sending_within": 600},
 "limits": {"max_connects": 4, "connect_timeout": 300, "retry_after": true, "max_retry_after": 900},
 "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "idempotency_key",
  "group": "zone", "window": 60000}, {"name": "a", "effect": "read_like"}, {"name": "b"}]}}"""
VIP = (2, 3, True, True, False, 40.0, False, 5000.0, 4, 900.0, 0.5, 700.0, 1.5)


def test_the_operators_files_are_read_to_these_values(tmp_path):
    file = tmp_path / "file"
    file.write_text(FLEET_FILE)
    name, state, peers, tasks, terms, guests = config.load_fleet_config(file)
    assert (name, state, guests) == ("example", "/var/lib/x", 400)
    assert peers == {f"n{at}": (f"10.0.0.{at}", 9700) for at in (1, 2, 3)}
    assert tasks == ("watch", "cold", "check", "origin")
    assert terms == (("n1", "n2", "n3"), 1500.0, 0.01, 50.0, 400.0, 90000.0, 1000.0)
    file.write_text(RELAYS_FILE)
    assert relays_config.load_relays_config(file) == (
        "example",
        {"r1": ("10.0.0.1", 9800)},
        {"r3": ("10.0.0.3", 9800)},
    )
    file.write_text(CONFIG)
    told = net_config.load_config({"LB_CONFIG": str(file), "LB_NAME": "n2", "LB_LOG": "debug"})
    known = json.loads(CONFIG)["known"]
    types = {
        "live": (300.0, events.Effect.IDEMPOTENCY_KEY, "zone", 60000.0),
        "a": (0.0, events.Effect.IDEMPOTENT, "all", 0.0),
    }
    types["b"] = (0.0, events.Effect.NON_IDEMPOTENT, "all", 0.0)
    posting = ("n2", ("127.0.0.1", 9000), ("127.0.0.1", 8500), 0x35656564, 2048, 80.0, {"t1"}, known)
    assert told == (*posting, (types, *VIP), 300.0, 3000.0, 600.0, True, "DEBUG")
    environ = {"LB_FLEET": "x", "LB_RELAYS": "y", "LB_LISTEN": "h:1", "LB_DISCOVERY": "h:2"}
    assert (net_config.fleet_config_path(environ), net_config.relays_config_path(environ)) == ("x", "y")
    told = net_config.load_config({**environ, "LB_CONFIG": str(file)})
    assert (told.listen, told.discovery) == (("h", 1), ("h", 2))


@pytest.mark.parametrize(
    "ready, said, told",
    [
        (True, b"PING\r\n", b"PONG\r\n"),
        (False, b"PING\r\n", b"BUSY\r\n"),
        (True, b"OPEN 1\r\n", b"ERR\r\n"),
    ],
)
def test_a_client_is_told_these_lines(ready, said, told):
    side, transport = DownstreamConnection(), StringTransport()
    side.factory = DownstreamFactory(None, lambda: NOW, lambda: ready, 1024, Counter())
    side.callLater = task.Clock().callLater
    transport.dataBuffer, transport._tempDataBuffer = b"", []
    transport.setTcpNoDelay = transport.loseWriteConnection = transport.unregisterProducer = lambda *_: None
    transport.writeSomeData = lambda data: transport.write(data) or len(data)
    side.makeConnection(transport)
    assert _exchange(side, transport, said) == told
    transport.clear()
    side.send_migrate()
    assert transport.value() == b"MOVE\r\n"


def test_the_words_of_the_protocol_and_the_line_to_a_server():
    words = [
        line_protocol.OPEN,
        line_protocol.UP,
        line_protocol.BUSY,
        line_protocol.ERR,
        line_protocol.MOVE,
        line_protocol.BYE,
        line_protocol.LOAD,
        line_protocol.PING,
    ]
    assert words == [b"OPEN", b"UP", b"BUSY", b"ERR", b"MOVE", b"BYE", b"LOAD", b"PING"]
    assert [busy_line(ms, 900.0) for ms in (250.4, 2000.0, 0.0)] == [b"BUSY 250", b"BUSY 900", b"BUSY"]
    asked = parse_open_request(b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000.5,g=5c0f,r=1,at=s-1\r\n")
    assert asked[:8] == ("9b1f", "chat", "acme", "5c0f", "7f3a", 2000.5, True, "s-1")
    assert asked.rewritten(1499.9) == b"OPEN 9b1f 7f3a c=chat,t=acme,d=1499,g=5c0f,r=1,at=s-1\r\n"


@pytest.mark.parametrize(
    "action, line",
    [
        (events.Connect(7, "s:80", 80.0), "pass_on 7 s:80 80.000"),
        (events.Reject(7, 2.5, events.RejectReason.THROTTLED), "not_now 7 2.500"),
        (events.Abort(7, events.RejectReason.NO_FIT_SERVER), "abort 7"),
        (events.Migrate(7), "relocate 7"),
        (events.SetTimer(1.5, "m"), "remind 1.500 m"),
        (events.Subscribe(), "listen 1"),
        (events.OutlierEjected("s:80"), "remark set aside s:80"),
    ],
)
def test_each_action_is_written_as_this_line(action, line):
    assert wire.format_action(action) == line


OPEN_FLOW = (7, "live", "t", "g", "k", 5.5, False, False)


@pytest.mark.parametrize(
    "line, kind, values",
    [
        ("ask 7 live t g 0 k 3 1800.5", events.FlowRequest, (7, "live", "t", "g", "k", 1800.5, False, False)),
        ("ask 7 live - - 8 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, True, False)),
        ("ask 7 live - - 2 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, False, True)),
        ("ask 7 live - - 16 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, False, True)),
        ("already_open 7 live t k 5.5 0 g 0 s", events.ExistingConnection, (OPEN_FLOW, "s")),
        ("under_way 7 0 s 1", events.Established, (7, "s")),
        ("withdrawn 7", events.ClientDisconnected, (7,)),
        ("alarm m", events.TimerFired, ("m",)),
        ("notice 7 0 s 1 2.5", events.LoadReport, (7, 2.5)),
        ("notice 7 0 s 2 2.5", events.LatencyReport, ("s", 2.5)),
        ("notice 7 0 s 3 2.5", None, ()),
        ("checked 1 2 3 4", None, ()),
        ("from_peer 1 2", None, ()),
        *(
            (f"resolved 7 1 s 0 0 {code} -", events.ConnectionEnded, (7, "s", True, result))
            for code, result in [
                ("S", events.ConnectionResult.OK),
                ("E", events.ConnectionResult.ERROR),
                ("F", events.ConnectionResult.FULL),
                ("T", events.ConnectionResult.TIMEOUT),
                ("C", events.ConnectionResult.UNREACHABLE),
                ("R", events.ConnectionResult.RESET),
                ("X", events.ConnectionResult.CANCELLED),
                ("N", events.ConnectionResult.UNSENT),
            ]
        ),
    ],
)
def test_each_line_of_the_simulator_is_read_as_this_event(line, kind, values):
    name, *parts = line.split(" ")
    event = wire.parse_event(name, parts)
    assert (event is None) if kind is None else (type(event) is kind and event == values)


def test_rows_scopes_and_the_names_of_messages_are_these():
    for code, state in (
        ("IN", events.EndpointState.READY),
        ("LAME", events.EndpointState.DRAINING),
        ("OUT", events.EndpointState.REMOVED),
    ):
        assert wire.parse_server(f"s z 0 4 {code} 1.5 -".split(" ")) == ("s", "z", 4, state, 1.5, 0.0)
    scopes = {
        "changes": events.ListScope.CHANGES,
        "all": events.ListScope.COMPLETE,
        "remembered": events.ListScope.CACHED,
        "refused": events.ListScope.REJECTED,
    }
    assert scopes == wire.SCOPES
    names = "ask already_open under_way notice resolved withdrawn alarm checked from_peer"
    assert " ".join(wire.EVENT_FORMATS) == names


def test_what_is_shown_has_these_keys(tmp_path):
    relay = _relay(tmp_path)
    relay.lease_service.handle_event(RequestLease("watch"))
    relay.lease_service.handle_call("b", "propose", PROPOSE_B)
    shown = json.loads(relay.lease_service.handle_call("-", "show", b""))
    assert " ".join(shown) == "name fleet tasks keeps keeper keeper_silent_ms connections news"
    assert " ".join(shown["tasks"]["watch"]) == "holds fence left_ms step asks_in_ms highest_seen"
    kept = {"holder": "b#0a1b2c3d", "fence": 2049, "promised": 2049, "left_ms": 3000}
    assert shown["keeps"] == {"watch": kept}
    assert shown["connections"] == {"out": [], "in": []}
    news = {"version": [3, 1], "digest": "8a86d8c31d5bf2fe", "items": 3, "age_ms": 250, "origin": 3}
    assert shown["news"] == {**news, "subscribers": 0, "lack": 0, "in_line": 0, "oldest": [3, 1]}
