"""The names of the helpers of tests under one module, for tests that do not import their modules yet."""

from balancer_process import SETTINGS, Balancer, free_port
from director_host import KEYS, SERVICE_CONFIG, FakeHost, actions_of
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer, SlowAcceptServer
from fake_transport import FakeTransport
from waiting import TIMEOUT_S, wait_until

DEADLINE = TIMEOUT_S

__all__ = [
    "DEADLINE",
    "KEYS",
    "SERVICE_CONFIG",
    "SETTINGS",
    "Balancer",
    "FakeDiscovery",
    "FakeHost",
    "FakeServer",
    "FakeTransport",
    "SlowAcceptServer",
    "actions_of",
    "free_port",
    "wait_until",
]
