"""The discovery client of a balancer on loopback: cached lists, long polls, rejections, local agents."""

import contextlib
import time

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer
from twisted.internet import defer
from waiting import wait_until

from lotusroute.address import Address
from lotusroute.net import structured_log
from lotusroute.net.discovery.client import Discovery, DiscoveryFailed
from lotusroute.timing.poll_schedule import PollStage

AGENT_SETTINGS = {**SETTINGS, "discovery": "push", "rules": {"stop_sending_within": 500}}


def wait_for_long_poll(balancer):
    """Wait until a long poll was sent; return the time at which it was."""
    calls = len(balancer.discovery.polls)
    wait_until(lambda: len(balancer.discovery.polls) > calls + 1)
    return balancer.discovery.polls[-1][0]


@pytest.fixture
def two_servers():
    """Return two servers that accept flows with different receipts."""
    return FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")


def test_an_existing_connection_returns_to_its_server_and_waits_for_a_list_with_that_server():
    servers = [FakeServer(f"s{index}", f"UP s{index}\r\n".encode()) for index in range(4)]
    with Balancer(*servers[:3]) as balancer:
        for index in range(3):
            assert balancer.open_flow(at=f"s{index}").readline() == f"UP s{index}\r\n".encode()
        client = balancer.open_flow(timeout_ms=9000, at="s3")
        time.sleep(0.2)
        balancer.discovery.entries = [server.entry() for server in servers]
        balancer.discovery.seq += 1
        assert client.readline() == b"UP s3\r\n"


def test_the_cached_list_is_used_while_discovery_is_silent_and_updates_are_applied(two_servers):
    one, two = two_servers
    with Balancer(one, available=False) as balancer:
        assert balancer.open_flow().readline() == b"UP one\r\n"
        balancer.discovery.entries, balancer.discovery.seq = [two.entry()], 5
        wait_until(lambda: balancer.open_flow().readline() == b"UP two\r\n")
        balancer.discovery.entries, balancer.discovery.seq = [two.entry("DELETED"), one.entry()], 6
        wait_until(lambda: balancer.open_flow().readline() == b"UP one\r\n")


def test_a_rejected_poll_is_retried_after_a_backoff_and_requests_only_changes():
    with Balancer(FakeServer("s1"), rejections=1) as balancer:
        wait_until(lambda: len(balancer.discovery.polls) > 1)
        times, versions = zip(*balancer.discovery.polls[:2], strict=True)
        # Forty balancers that poll for the complete list at once after a rejection would keep an overloaded
        # discovery from answering any of them.
        assert versions == ("0",) * 2 and times[1] - times[0] > 0.2 * 3


def test_the_backoff_after_rejections_never_grows_beyond_what_a_drain_allows(monkeypatch):
    # A change counts as received 6 s after discovery has it. From then on, a draining server may be sent to
    # only for its grace of 2 s. If backoffs grow to 12 s, a balancer does not follow a change for up to 4 s
    # beyond the grace.
    backoffs = []
    client = Discovery(Address("127.0.0.1", 1), 4, 7, print, structured_log.Counters())

    async def rejected_poll():
        client.closed = len(backoffs) == 200
        return DiscoveryFailed(PollStage.REJECTED, "status 503")

    client._poll = rejected_poll
    monkeypatch.setattr("twisted.internet.task.deferLater", lambda _, s: defer.succeed(backoffs.append(s)))
    defer.ensureDeferred(client.follow())
    assert len(backoffs) == 200 and max(backoffs) + 2.0 <= 6.0 + 2.0


def test_a_poll_that_is_queued_for_two_seconds_does_not_time_out():
    with Balancer(FakeServer("s1"), cached_version=None, response_delay=2.2) as balancer:
        wait_until(lambda: [version for _, version in balancer.discovery.polls] == [None, "1"])


@pytest.mark.parametrize("known", [None, -1, "7", True, 1.5, 8])
def test_the_complete_list_is_requested_if_the_cached_version_is_invalid_or_too_new(known):
    with Balancer(FakeServer("s1"), cached_version=known) as balancer:
        assert balancer.open_flow().readline() == b"UP r1\r\n"
        wait_until(
            lambda: [version for _, version in balancer.discovery.polls][known == 8 :][:2] == [None, "1"]
        )
        reason = "without version" if known != 8 else "changes up to version 1 do not apply to version 8"
        assert reason in balancer.terminate()


@pytest.mark.parametrize(
    "settings",
    [
        AGENT_SETTINGS,
        {**AGENT_SETTINGS, "discovery": "ask"},
        {**SETTINGS, "rules": {"stop_sending_within": 100}},
    ],
)
@pytest.mark.parametrize("partial", [False, True])
def test_an_unanswered_long_poll_is_replaced_before_a_short_grace_is_over(settings, partial, two_servers):
    # The deadline is the 6 s after which a change counts as received, plus a grace of at most 0.5 s. A poll
    # that is given up only after 7.0 s misses it.
    one, two = two_servers
    with Balancer(one, two, settings=settings, partial_responses=partial) as balancer:
        opened = wait_for_long_poll(balancer)
        balancer.discovery.interruptions += 1
        balancer.discovery.entries, balancer.discovery.seq = [one.entry("DRAINING"), two.entry()], 2
        wait_until(lambda: balancer.discovery.polls[-1][0] > opened)
        # The next poll may be queued for 2 s.
        bound = 6.0 + settings["rules"]["stop_sending_within"] / 1000 - 2.0
        assert balancer.discovery.polls[-1][0] - opened < bound
        assert {balancer.open_flow(str(index)).readline() for index in range(9)} == {b"UP two\r\n"}


def test_a_long_poll_that_is_reset_is_replaced_before_a_short_grace_is_over(two_servers):
    one, two = two_servers
    with Balancer(one, two, settings=AGENT_SETTINGS, resets=True) as balancer:
        wait_for_long_poll(balancer)
        balancer.discovery.entries, balancer.discovery.seq = [one.entry("DRAINING"), two.entry()], 2
        balancer.discovery.interruptions += 1
        reset_at = time.monotonic()
        wait_until(lambda: balancer.discovery.polls[-1][0] > reset_at)
        assert balancer.discovery.polls[-1][0] - reset_at < 0.5
        assert {balancer.open_flow(str(index)).readline() for index in range(9)} == {b"UP two\r\n"}


def test_a_change_that_an_agent_has_when_it_is_back_is_received_within_a_short_grace(two_servers):
    one, two = two_servers
    with Balancer(one, two, settings=AGENT_SETTINGS) as balancer:
        wait_for_long_poll(balancer)
        balancer.discovery.down = True
        calls = len(balancer.discovery.polls)
        # After this many polls, the backoff has reached its maximum.
        wait_until(lambda: len(balancer.discovery.polls) > calls + 5)
        balancer.discovery.entries, balancer.discovery.seq = [one.entry("DRAINING"), two.entry()], 2
        returned_at, balancer.discovery.down = time.monotonic(), False
        wait_until(lambda: balancer.discovery.polls[-1][0] > returned_at)
        assert balancer.discovery.polls[-1][0] - returned_at < 0.5
        assert {balancer.open_flow(str(index)).readline() for index in range(9)} == {b"UP two\r\n"}


def test_the_first_flows_of_a_new_process_wait_for_the_first_response_of_discovery(two_servers):
    # Changes that the agent has count as received when the process starts, but the cached list is older.
    one, two = two_servers
    # The timeout of an agent's poll is half of the grace. With a grace of 500 ms it would be 250 ms and pass
    # only 50 ms after this response is due. On a busy machine the response may be later than that, and the
    # balancer then rightly uses the cached list. With a grace of 2 s the timeout is 1 s.
    settings = {**AGENT_SETTINGS, "rules": {"stop_sending_within": 2_000}}
    starting = Balancer(one, two, settings=settings, response_delay=0.2)
    starting.discovery.entries, starting.discovery.seq = [one.entry("DRAINING"), two.entry()], 2

    def try_to_connect():
        with contextlib.suppress(OSError):
            return starting.open_flow("a")

    clients = [wait_until(try_to_connect)] + [starting.open_flow(str(index)) for index in range(9)]
    with starting:
        assert {client.readline() for client in clients} == {b"UP two\r\n"} and not one.lines
