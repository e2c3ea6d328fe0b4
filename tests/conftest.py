"""Fixtures that several test modules share."""

import pathlib
from collections.abc import Iterator

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer
from wall_clock import SteppableWallClock

# The shim is to be loaded by processes that tests start, not by pytest itself.
collect_ignore = ["wall_clock_shim"]


@pytest.fixture(scope="module")
def shared_balancer() -> Iterator[Balancer]:
    """A running balancer with one server, for tests that leave both as they are."""
    with Balancer(FakeServer("s1")) as balancer:
        yield balancer


@pytest.fixture
def wall_clock(tmp_path: pathlib.Path) -> SteppableWallClock:
    """A wall clock that the test can step, for processes started with its `environment`."""
    return SteppableWallClock(tmp_path / "wall-clock-offset")
