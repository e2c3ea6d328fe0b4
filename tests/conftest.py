"""Fixtures that several test modules share."""

import pytest
from harness import Balancer, FakeServer


@pytest.fixture(scope="module")
def shared_balancer():
    """A running balancer with one server, for tests that leave it as they found it."""
    with Balancer(FakeServer("s1")) as balancer:
        yield balancer
