"""Tests with relay processes: changes of the endpoint list, also while relays or the origin fail."""

import signal
import time

import pytest
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from relay_harness import RELAYS, running_deployment
from waiting import wait_until


@pytest.fixture
def deployment(tmp_path):
    with running_deployment(tmp_path) as deployment:
        yield deployment


def test_a_change_takes_effect_through_the_relays_and_only_the_origin_polls_discovery(deployment):
    time.sleep(1.0)  # a period without changes, before the polls are counted
    polls = deployment.poll_count()
    changed_at = deployment.drain(1)
    assert deployment.wait_until_drained(1, changed_at) < 1.5
    time.sleep(2.0)
    # Only the origin polls, and discovery holds each of its polls for 0.5 s if nothing changes.
    elapsed = time.monotonic() - changed_at
    assert deployment.poll_count() - polls <= 1.5 * elapsed / 0.5 + 3
    statuses = deployment.relays.status().values()
    assert len({(tuple(status["version"]), status["digest"]) for status in statuses}) == 1
    assert not any(status["lagging"] for status in statuses)


@pytest.mark.parametrize("victim", ["relay", "origin"])
@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
def test_a_change_is_in_force_within_four_seconds_of_a_relay_fault(deployment, fault, victim):
    """A killed relay closes its connections; a suspended one keeps them open, and only its silence shows.

    If the origin fails, another relay publishes changes only once it has acquired the lease, of 1.5 s here.
    """
    relays = deployment.relays
    origin = relays.origin()
    name = origin if victim == "origin" else next(name for name in RELAYS if name != origin)
    relays.send_signal(name, fault)
    changed_at = deployment.drain(1)
    assert deployment.wait_until_drained(1, changed_at) < 4.0
    if fault == signal.SIGSTOP:
        relays.send_signal(name, signal.SIGCONT)
        # The resumed relay sends updates older than the list of all other processes; none applies them.
        changed_at = deployment.drain(2)
        assert deployment.wait_until_drained(2, changed_at) < 4.0
    for balancer in deployment.balancers:
        assert "event failed" not in balancer.terminate()


def test_without_relays_balancers_poll_discovery_and_subscribe_again_when_relays_return(deployment):
    """Without relays, the limit is 6 s: the time after which a change counts as received by the protocol."""
    relays = deployment.relays
    for name in RELAYS:
        relays.send_signal(name, signal.SIGKILL)
    polls = deployment.poll_count()
    changed_at = deployment.drain(1)
    assert deployment.wait_until_drained(1, changed_at) < 6.0
    assert deployment.poll_count() > polls
    for name in RELAYS:
        relays.start(name)
    wait_until(relays.origin)
    deployment.wait_until_subscribed()
    changed_at = deployment.drain(2)
    assert deployment.wait_until_drained(2, changed_at) < 4.0


def test_after_a_reload_to_another_discovery_service_the_list_of_the_relays_is_ignored(deployment):
    """The relays still send the list of the former discovery service to the reloaded balancer."""
    reloaded, *others = deployment.balancers
    other_discovery = FakeDiscovery(FakeServer("s9", b"UP s9\r\n"))
    other_discovery.seq = 7
    reloaded.reload(discovery=f"127.0.0.1:{other_discovery.server_port}")
    wait_until(lambda: reloaded.open_flow("new").readline() == b"UP s9\r\n")
    changed_at = deployment.drain(1)
    assert deployment.wait_until_drained(1, changed_at, others) < 4.0
    assert reloaded.open_flow("newer").readline() == b"UP s9\r\n"
    other_discovery.shutdown()
