"""Discovery's responses whose body has no Content-Length and ends with the connection."""

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.net.discovery.response_body import MAX_BODY_BYTES

WHOLE = 10 * MAX_BODY_BYTES  # more bytes than any answer has


@pytest.fixture
def moving_balancer():
    """Return a balancer with a list of one server, and the entries of a new list with another server."""
    one, two = FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")
    with Balancer(one) as balancer:
        wait_until(lambda: balancer.discovery.responses)
        yield balancer, [one.entry("DELETED"), two.entry()]


def publish(balancer, entries, unsized_bytes):
    """Publish a list that is sent without a Content-Length, and of which so many bytes are sent."""
    balancer.discovery.unsized_bytes = unsized_bytes
    balancer.discovery.entries = entries
    balancer.discovery.seq = 5


def test_a_whole_list_without_a_length_is_applied(moving_balancer):
    balancer, entries = moving_balancer
    publish(balancer, entries, WHOLE)
    wait_until(lambda: balancer.open_flow().readline() == b"UP two\r\n")
    assert "discovery failed" not in balancer.terminate()


@pytest.mark.parametrize("sent", [0, 1, 60])
def test_a_list_without_a_length_that_breaks_off_is_refused_and_its_version_kept(moving_balancer, sent):
    balancer, entries = moving_balancer
    publish(balancer, entries, sent)
    polls = len(balancer.discovery.polls)
    wait_until(lambda: len(balancer.discovery.polls) > polls + 2)
    assert balancer.open_flow().readline() == b"UP one\r\n"
    assert {version for _, version in balancer.discovery.polls[polls + 1 :]} == {"1"}
    balancer.discovery.unsized_bytes = None
    wait_until(lambda: balancer.open_flow().readline() == b"UP two\r\n")
    assert 'stage="partial response"' in balancer.terminate()


def test_a_response_that_is_longer_than_any_list_is_given_up(moving_balancer):
    balancer, entries = moving_balancer
    balancer.discovery.list_padding = 2 * MAX_BODY_BYTES
    publish(balancer, entries, None)
    polls = len(balancer.discovery.polls)
    wait_until(lambda: len(balancer.discovery.polls) > polls + 2)
    assert balancer.open_flow().readline() == b"UP one\r\n"
    balancer.discovery.list_padding = 0
    wait_until(lambda: balancer.open_flow().readline() == b"UP two\r\n")
    assert "longer than" in balancer.terminate()
