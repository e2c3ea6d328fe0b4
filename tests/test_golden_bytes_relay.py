"""Golden bytes of the messages of relays and of the status of a process, written as literals.

A rename of types or modules must not change them: processes of different builds exchange these bytes, and a
new build reads the files of an earlier one. The expected bytes refer to no name of the project, so that they
do not change with it.
"""

import json
from collections import Counter

from golden_bytes_support import (
    NOW,
    PROPOSE_B,
    RecordingDiscovery,
    RecordingTransport,
    lease_service_at_fixed_clock,
)
from twisted.internet import task

from lotusroute.address import Address
from lotusroute.leases.messages import RequestLease
from lotusroute.relay import config as relays_config
from lotusroute.relay import messages, subscription
from lotusroute.relay.fanout import Heartbeat
from lotusroute.relay.server import RelayServer
from lotusroute.relay.versioned_store import Delta, Snapshot, Version

ITEMS = {
    "s-1": b'{"dial": "10.0.0.1:80", "host": "s-1"}',
    "s-2": b'{"host": "s-2", "share": 0.5}',
    "#list": b'{"where": "10.0.0.9:8500", "seq": 4}',
}
HEADER = b"\x97\x92\x03\x01\xcb\x40\x6f\x40\0\0\0\0\0\xcf\x8a\x86\xd8\xc3\x1d\x5b\xf2\xfe\xc0"  # 250 ms old
SNAPSHOT_PARTS = [
    HEADER + b'\x00\x03\x81\xa3s-1\xc4\x26{"dial": "10.0.0.1:80", "host": "s-1"}',
    HEADER + b'\x01\x03\x81\xa3s-2\xc4\x1d{"host": "s-2", "share": 0.5}',
    HEADER + b'\x02\x03\x81\xa5#list\xc4\x24{"where": "10.0.0.9:8500", "seq": 4}',
]
COMPLETE_SNAPSHOT = HEADER + b"\x00\x01\x83" + b"".join(part[len(HEADER) + 3 :] for part in SNAPSHOT_PARTS)
DELTA = (
    b"\x97\x92\x03\x02\xcb\x40\x6f\x40\0\0\0\0\0\xcf\x2b\xd9\x8f\x55\x10\x66\x2e\x89\x92\x03\x01\x00\x00\x82"
    b'\xa3s-2\xc0\xa5#list\xc4\x24{"where": "10.0.0.9:8500", "seq": 5}'
)
HEARTBEAT = b"\x97\x92\x03\x02\xcb\x40\x6f\x40\0\0\0\0\0\x00\xc0\x00\x00\x80"
HOSTS = [{"host": "s-1", "dial": "10.0.0.1:80"}, {"host": "s-2", "share": 0.5}]


def _origin_relay(state_dir):
    """Return a relay that is the origin with fencing token 3 and published a list 250 ms ago."""
    service = lease_service_at_fixed_clock("a", state_dir)
    relay = RelayServer(service, Address("10.0.0.9", 8500), Counter())
    relay.origin.fencing_token, service.fencing_token = 3, lambda *_: 3
    relay.origin.on_response({"seq": 4, "whole": True, "hosts": HOSTS}, None)
    service.clock = lambda: NOW + 250.0
    return relay


def test_relays_and_balancers_exchange_these_bytes(tmp_path):
    relay = _origin_relay(tmp_path)
    service, transport = relay.context.lease_service, relay.context.lease_service.transport
    assert relay.context.replica.store.items == ITEMS
    assert service.handle_call("n1", "follow", b"\x92\x00\x00") == b""
    service.reactor.advance(0)
    assert transport.take_calls() == [("back", "n1", "news", COMPLETE_SNAPSHOT)]
    transport.answers[-1].callback(b"\x92\x03\x01")
    assert relay.sender.fanout.subscribers["n1"].version == (3, 1)
    service.clock = lambda: NOW
    relay.origin.on_response({"seq": 5, "whole": False, "hosts": [{"host": "s-2", "health": "DELETED"}]}, 4)
    service.clock = lambda: NOW + 250.0
    relay.sender.perform(relay.sender.fanout.tick(service.clock() + 1000.0, relay.context.age_ms()))
    assert transport.take_calls() == [("back", "n1", "news", DELTA)]

    relays = relays_config.RelaysConfig("f", {"r1": Address("10.0.0.1", 1)}, {})
    balancer = subscription.Subscription(task.Clock(), relays, "n1", Counter())
    balancer.transport, discovery = RecordingTransport(), RecordingDiscovery()
    balancer.update_source.discovery = discovery
    balancer.selector.joining = "r1"
    balancer.on_connected("r1")
    assert balancer.transport.take_calls() == [("call", "r1", "follow", b"\x92\x00\x00")]
    balancer.transport.answers[-1].callback(b"")
    acknowledged = [balancer.handle_call("r1", "news", body) for body in (*SNAPSHOT_PARTS, DELTA, HEARTBEAT)]
    assert acknowledged == 2 * [b"\x92\x00\x00"] + [b"\x92\x03\x01"] + 2 * [b"\x92\x03\x02"]
    removal = {"seq": 5, "whole": False, "hosts": [{"host": "s-2", "health": "DELETED"}]}
    assert discovery.updates == [({"seq": 4, "whole": True, "hosts": HOSTS}, None), (removal, 4)]


def test_updates_are_encoded_and_decoded_as_these_bytes(monkeypatch):
    snapshot = Snapshot(Version(3, 1), 0x8A86D8C31D5BF2FE, ITEMS)
    changes = {"s-2": None, "#list": b'{"where": "10.0.0.9:8500", "seq": 5}'}
    delta = Delta(Version(3, 1), Version(3, 2), 0x2BD98F5510662E89, changes)
    assert messages.encode_update(snapshot, 250.0) == [COMPLETE_SNAPSHOT]
    assert messages.encode_update(delta, 250.0) == [DELTA]
    assert messages.encode_update(Heartbeat(Version(3, 2), 0.0), 250.0) == [HEARTBEAT]
    monkeypatch.setattr(messages, "MAX_PART_BYTES", 1)
    assert messages.encode_update(snapshot, 250.0) == SNAPSHOT_PARTS
    for bodies, update in ((SNAPSHOT_PARTS, snapshot), ([COMPLETE_SNAPSHOT], snapshot), ([DELTA], delta)):
        assembler = messages.SnapshotAssembler()
        assert [assembler.add(messages.decode_update(body)) for body in bodies][-1] == update
    assert messages.decode_update(HEARTBEAT) == messages.UpdateMessage(
        version=(3, 2), age_ms=250.0, digest=0, base_version=None, part_index=0, part_count=0, items={}
    )
    assert messages.encode_acknowledgement(Version(3, 2)) == b"\x92\x03\x02"
    assert messages.decode_acknowledgement(b"\x92\x03\x02") == (3, 2)


def test_the_status_of_a_process_has_these_keys(tmp_path):
    service = _origin_relay(tmp_path).context.lease_service
    service.handle_event(RequestLease("watch"))
    service.handle_call("b", "propose", PROPOSE_B)
    status = json.loads(service.handle_call("-", "show", b""))
    assert " ".join(status) == "name fleet tasks keeps keeper keeper_silent_ms connections news"
    assert " ".join(status["tasks"]["watch"]) == "holds fence left_ms step asks_in_ms highest_seen"
    grant = {"holder": "b#0a1b2c3d", "fence": 2049, "promised": 2049, "left_ms": 3000}
    assert status["keeps"] == {"watch": grant}
    assert status["connections"] == {"out": [], "in": []}
    section = {"version": [3, 1], "digest": "8a86d8c31d5bf2fe", "items": 3, "age_ms": 250, "origin": 3}
    assert status["news"] == {**section, "subscribers": 0, "lack": 0, "in_line": 0, "oldest": [3, 1]}
