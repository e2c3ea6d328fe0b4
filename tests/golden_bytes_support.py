"""Test doubles and fixed values of the golden-bytes tests, which compare exact wire and file contents."""

import random
from collections import Counter

from twisted.internet import defer, task

from lotusroute.fleet import config
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.leases.acceptor import Acceptor
from lotusroute.leases.proposer import Proposer

NOW = 10_000.0  # time of the fixed clock, in ms
PEERS = {"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1", "d": "10.0.0.4:1"}
FLEET = {"name": "f", "keepers": ["a", "b", "c"], "peers": PEERS}
# A propose message from b: task, ballot, proposer, round, lease duration of 3000 ms.
PROPOSE_B = b"\x95\xa5watch\xcd\x08\x01\xaab#0a1b2c3d\x03\xcb\x40\xa7\x70\0\0\0\0\0"


class RecordingTransport:
    """Records calls as (direction, peer, kind, body); tests fire the Deferreds in `answers` themselves."""

    def __init__(self):
        self.calls, self.answers, self.outbound, self.inbound = [], [], {}, {}
        self.call = lambda *call: self._record("call", *call)
        self.call_inbound = lambda *call: self._record("back", *call)
        self.connect = self.disconnect = lambda peer: None

    def _record(self, *call):
        self.calls.append(call)
        self.answers.append(defer.Deferred())
        return self.answers[-1]

    def take_calls(self):
        calls, self.calls = self.calls, []
        return calls


def lease_service_at_fixed_clock(name, state):
    """Return a lease service whose clock always shows NOW.

    Its acceptor, if it has one, may grant leases and promise ballots up to 4095.
    """
    fleet = config.parse_fleet_config({**FLEET, "state": str(state)})
    service = LeaseService(task.Clock(), fleet, name, Counter(), clock=lambda: NOW)
    service.transport = service.proposer_host.transport = RecordingTransport()
    service.proposer_host.proposer = Proposer(f"{name}#0a1b2c3d", fleet.terms, random.Random(1))
    if service.acceptor_host is not None:
        service.acceptor_host.transport = service.transport
        service.acceptor_host.acceptor = Acceptor(fleet.terms, 0.0, 0)
        service.acceptor_host.acceptor.ballots_persisted(4096)
    return service


def exchange(connection, transport, data):
    """Deliver data to a connection and return what it sends in response."""
    transport.clear()
    connection.dataReceived(data)
    return transport.value()


class RecordingDiscovery:
    """A discovery client that records the updates shared by other processes."""

    list_url, version, closed = "http://10.0.0.9:8500/api/targets", 12, False

    def __init__(self):
        self.updates = []

    def apply_shared_update(self, *update):
        self.updates.append(update)
        return True
