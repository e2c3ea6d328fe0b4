"""A discovery that answers every poll, but late: its changes are in force in time all the same."""

import concurrent.futures
import itertools
import json
import pathlib
import time
from unittest.mock import Mock

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer
from twisted.internet import defer
from waiting import TIMEOUT_S, wait_until

from lotusroute.address import Address
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.discovery.request import DiscoveryRequest, HttpResponse
from lotusroute.net.structured_log import Counters
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.timing.poll_schedule import PollTiming

# By the protocol, a change counts as received this long after discovery has it.
MAX_UPDATE_DELAY_S = 6.0
GRACE_S = 0.5
RULES = {"stop_sending_within": 1_000 * GRACE_S}
MODES = ["push", "ask"]
DELAYS_S = [0.1, 0.4, 1.0, 2.5, 5.0]
# Times from when discovery becomes slow to its change, so that polls are in different states.
CHANGE_TIMES_S = [0.0, 0.7, 1.6, 6.5]
FLOW_INTERVAL_S = 0.05


def wait_until_in_force(balancer: Balancer) -> float:
    """Open flows until one is served by the server of the new list; return the time."""
    until = time.monotonic() + 2 * TIMEOUT_S
    while time.monotonic() < until:
        if balancer.open_flow().readline() == b"UP two\r\n":
            break
        time.sleep(FLOW_INTERVAL_S)
    return time.monotonic()


def measure_update(mode: str, delay_s: float, change_time_s: float) -> tuple[float, str]:
    """Let discovery become slow and then change its list.

    Returns after how many seconds the list was in force, and what happened until then.
    """
    one, two = FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")
    with Balancer(one, settings={**SETTINGS, "discovery": mode, "rules": RULES}) as balancer:
        discovery = balancer.discovery
        wait_until(lambda: discovery.responses)
        discovery.sending_delay = delay_s
        time.sleep(change_time_s)
        discovery.entries, discovery.seq = [one.entry("DRAINING"), two.entry()], 2
        changed_at = time.monotonic()
        in_force_after = wait_until_in_force(balancer) - changed_at
        answered = [round(answered_at - changed_at, 2) for answered_at, _ in discovery.responses]
        asked = [round(asked_at - changed_at, 2) for asked_at, _ in discovery.polls]
        return in_force_after, f"polls at {asked}, responses at {answered}: {balancer.terminate()}"


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("mode", MODES)
def test_a_change_is_in_force_in_time_however_late_discovery_answers(mode, delay_s):
    # The changes come at different times. To save time, each has a balancer, and all run at once.
    with concurrent.futures.ThreadPoolExecutor(len(CHANGE_TIMES_S)) as threads:
        results = threads.map(
            measure_update, *zip(*((mode, delay_s, at) for at in CHANGE_TIMES_S), strict=True)
        )
        for in_force_after, details in results:
            assert in_force_after < MAX_UPDATE_DELAY_S + GRACE_S, details


def test_a_silent_discovery_is_asked_as_often_as_before_over_a_limited_number_of_connections():
    # A change that discovery gets at its return has to be heard of soon, so polls go on at the usual pace.
    settings = {**SETTINGS, "discovery": "push", "rules": RULES}
    with Balancer(FakeServer("s1"), settings=settings) as balancer:
        wait_until(lambda: balancer.discovery.responses)
        descriptors = pathlib.Path(f"/proc/{balancer.process.pid}/fd")
        before = len(list(descriptors.iterdir()))
        balancer.discovery.down = True
        wait_until(lambda: len(balancer.discovery.polls) > 1)
        time.sleep(MAX_UPDATE_DELAY_S + 2.0)
        # One connection for each second of the time in which a response is of use, and two in use.
        assert len(list(descriptors.iterdir())) <= before + MAX_UPDATE_DELAY_S + GRACE_S + 2
        recent = [asked_at for asked_at, _ in balancer.discovery.polls[-10:]]
        assert max(later - earlier for earlier, later in itertools.pairwise(recent)) < 0.25 + 0.125 + 0.1


def list_response(seq: int, whole: bool) -> HttpResponse:
    """Return a response with one server."""
    entry = endpoint_entry(f"s{seq}", 9_000, "SERVING")
    return HttpResponse(200, json.dumps({"seq": seq, "whole": whole, "hosts": [entry]}).encode())


def late_request(since: int | None) -> DiscoveryRequest:
    """Return a request for the changes since a version that was sent a moment ago."""
    now = time.monotonic()
    timing = PollTiming(
        now - 1.0, hold=0.0, timeout=0.25, body_timeout=0.25, lifetime=6.0, suspension_extension=0.0
    )
    return DiscoveryRequest(timing, since, 0.25, on_timeout=Mock(), on_late_response=Mock())


@pytest.mark.parametrize(
    ("version", "since", "seq", "whole", "applied"),
    [
        (2, 2, 3, False, True),
        (2, 1, 3, False, True),  # the changes since an older version contain those since a newer one
        (2, 1, 1, False, False),
        (2, 3, 4, False, False),
        (2, None, 3, True, True),
        (2, None, 1, True, False),
        (None, 2, 3, False, False),  # the complete list was asked for in the meantime
        (None, None, 1, True, True),
    ],
)
def test_a_late_response_is_applied_if_its_list_is_newer(version, since, seq, whole, applied):
    updates = []
    client = Discovery(Address("127.0.0.1", 1), version, 7, updates.append, Counters())
    client._late_response_received(late_request(since), list_response(seq, whole))
    assert [update.servers[0].id for update in updates] == [f"s{seq}"] * applied
    assert client.version == (seq if applied else version)


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"seq": 3}', b'{"seq": "x", "whole": true, "hosts": []}']
)
def test_a_malformed_late_response_is_ignored(body):
    updates = []
    client = Discovery(Address("127.0.0.1", 1), 2, 7, updates.append, Counters())
    client._late_response_received(late_request(1), HttpResponse(200, body))
    client._late_response_received(late_request(1), HttpResponse(503, body))
    assert (client.version, updates) == (2, [])


def test_an_older_list_that_arrives_in_time_after_a_newer_late_one_is_no_failure():
    updates = []
    client = Discovery(Address("127.0.0.1", 1), 2, 7, updates.append, Counters())

    class Requester:
        async def get(self, _url, _timing, since):
            client._late_response_received(late_request(1), list_response(5, whole=False))
            return list_response(4, whole=False)

    client._requester = Requester()
    results = []
    defer.ensureDeferred(client._poll()).addCallback(results.append)
    assert results[0].servers == () and client.version == 5
    assert [update.servers[0].id for update in updates] == ["s5"]
