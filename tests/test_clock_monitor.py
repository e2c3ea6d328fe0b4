"""What the log and the counters show about clock steps, late timers and why connections end."""

import re

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer
from flow_helpers import close_connection
from waiting import wait_until

from lotusroute.net.clock_monitor import ClockMonitor
from lotusroute.net.structured_log import Counters


class FakeClocks:
    """The two clocks of a machine, in ms."""

    def __init__(self):
        self.monotonic, self.wall = 5_000.0, 1_700_000_000_000.0
        self.counters = Counters()
        self.monitor = ClockMonitor(self.counters, lambda: self.monotonic, lambda: self.wall)

    def advance(self, ms, step=0.0):
        self.monotonic += ms
        self.wall += ms + step
        self.monitor.observe()


@pytest.fixture
def clocks():
    return FakeClocks()


@pytest.mark.parametrize("step", [-3_600_000.0, -20_000.0, 3_000.0, 3_600_000.0])
def test_a_step_of_the_wall_clock_is_counted_once(clocks, step):
    clocks.advance(10.0, step)
    clocks.advance(10.0)
    assert clocks.counters == {"wall_clock_steps": 1}


def test_a_slewed_wall_clock_is_not_taken_for_a_stepped_one(clocks):
    for _ in range(600):
        clocks.advance(1_000.0, step=0.5)  # ms; 500 ppm, the maximum slew rate of Linux
    assert clocks.counters == {}


def test_a_late_periodic_timer_is_counted_once_until_it_is_set_again(clocks):
    clocks.monitor.expect_timer(1_000.0)
    for _ in range(5):
        clocks.advance(900.0)
    assert clocks.counters == {"late_timers": 1}
    clocks.monitor.expect_timer(1_000.0)
    clocks.advance(1_100.0)
    assert clocks.counters == {"late_timers": 1}


def fields_of(event, log):
    """Return the key=value pairs of each line that reports the event."""
    pairs = (dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line)) for line in log.splitlines())
    return [found for found in pairs if found.get("event", "").strip('"') == event]


def test_the_log_says_why_each_connection_ended_and_under_which_id():
    servers = [FakeServer("s1"), FakeServer("s2", b"BUSY\r\n")]
    with Balancer(*servers, env={"LB_LOG": "debug"}.items()) as balancer:
        client = balancer.open_flow(id="left", at="s1")
        assert client.readline().startswith(b"UP")
        close_connection(client)
        assert balancer.open_flow(id="busy", at="s2").readline() == b"ERR\r\n"
        wait_until(lambda: servers[0].lines[-1] == b"")
        log = balancer.terminate()
    reasons = [(found["id"], found["reason"].strip('"')) for found in fields_of("connection ended", log)]
    assert ("left", "client left") in reasons and ("busy", "server answered") in reasons
    assert [found["reason"].strip('"') for found in fields_of("answered", log)] == [
        "existing connection lost"
    ]
    monotonic = [float(value) for value in re.findall(r" mono=([\d.]+) ", log)]
    assert len(monotonic) == len(log.splitlines()) and monotonic == sorted(monotonic)
