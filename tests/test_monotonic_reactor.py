"""Every process of the project runs on a reactor whose timers use the monotonic clock."""

import pathlib
import subprocess
import sys
import time

import pytest

from lotusroute.net import monotonic_reactor

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECK = """
import importlib.util, sys, time
sys.path[:0] = [{root!r}, {directory!r}]
spec = importlib.util.spec_from_file_location("entry_point", {file!r})
spec.loader.exec_module(importlib.util.module_from_spec(spec))
reactor = sys.modules.get("twisted.internet.reactor")
print("no reactor" if reactor is None else reactor.seconds is time.monotonic)
"""
ENTRY_POINTS = sorted(
    file.relative_to(ROOT).as_posix()
    for directory in ("lotusroute", "benchmarks")
    for file in (ROOT / directory).rglob("*.py")
    if '__name__ == "__main__"' in file.read_text(encoding="utf-8")
)


def test_the_entry_points_are_found():
    assert {"lotusroute/__main__.py", "benchmarks/peers.py"} < set(ENTRY_POINTS)


@pytest.mark.parametrize("entry_point", ENTRY_POINTS)
def test_an_entry_point_has_no_reactor_or_one_on_the_monotonic_clock(entry_point):
    file = ROOT / entry_point
    program = CHECK.format(root=str(ROOT), directory=str(file.parent), file=str(file))
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=False)
    if "ModuleNotFoundError" in done.stderr:  # CI does not install the libraries that benchmarks need
        assert "lotusroute" not in done.stderr.splitlines()[-1]
        assert file.parent.name == "benchmarks"
    else:
        assert done.stdout.strip() in ("no reactor", "True"), done.stderr


def test_the_reactor_without_epoll_also_uses_the_monotonic_clock(monkeypatch):
    assert monotonic_reactor._reactor_class().seconds is time.monotonic
    monkeypatch.setitem(sys.modules, "twisted.internet.epollreactor", None)
    reactor_class = monotonic_reactor._reactor_class()
    assert reactor_class.__name__ == "MonotonicSelectReactor" and reactor_class.seconds is time.monotonic


def test_installing_after_a_reactor_on_the_wall_clock_is_an_error():
    program = (
        "from twisted.internet import reactor; from lotusroute.net import monotonic_reactor as module\n"
        "module.install()"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode != 0 and "timers of the installed reactor use the wall clock" in done.stderr


class FakePoller:
    """A poller in virtual time: each wait takes as long, and finds as many events, as the test says."""

    def __init__(self):
        self.now = 100.0
        self.duration = 0.0
        self.events = []

    def poll(self, _timeout, _maximum):
        self.now += self.duration
        return self.events


@pytest.fixture
def polling_reactor(monkeypatch):
    """Return a reactor on a fake poller, and the poller."""
    poller = FakePoller()
    monkeypatch.setattr(time, "monotonic", lambda: poller.now)
    reactor = monotonic_reactor._reactor_class()()
    reactor._poller = poller
    return reactor, poller


def wait(reactor, poller, duration, events=()):
    """Let the reactor wait for events; return since when what the wait found may have been there."""
    poller.duration, poller.events = duration, list(events)
    reactor.doPoll(1.0)
    return reactor.input_since()


UNKNOWN_DESCRIPTOR = (1_000_000, 0)  # an event that the reactor ignores


@pytest.mark.parametrize("events", [[], [UNKNOWN_DESCRIPTOR]])
def test_what_a_wait_finds_after_one_that_was_suspended_may_have_arrived_during_the_suspension(
    polling_reactor, events
):
    # The events of a wait are collected before the suspension, or not at all; later ones are found next.
    reactor, poller = polling_reactor
    wait(reactor, poller, 0.1)
    suspended_at = poller.now
    wait(reactor, poller, 2.0, events)
    assert wait(reactor, poller, 0.0, [UNKNOWN_DESCRIPTOR]) == pytest.approx(suspended_at)


def test_short_waits_that_find_nothing_do_not_move_the_bound_back(polling_reactor):
    reactor, poller = polling_reactor
    for _ in range(100):
        wait(reactor, poller, 0.01)
    before = poller.now
    assert wait(reactor, poller, 0.01, [UNKNOWN_DESCRIPTOR]) == pytest.approx(before)
