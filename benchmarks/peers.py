"""One process of peers for the loopback benchmark: servers, the endpoint list, or clients.

Peers run in processes of their own, so that their CPU time is not counted as the balancer's. They import
nothing of the balancer but its reactor, connect on loopback only, and end with the process that started them.

    python benchmarks/peers.py servers '{"setups_ms": [1, 1], "spread": "light", "seed": 1}'
    python benchmarks/peers.py clients '{"port": 9000, "flows": 100, "concurrency": 4, "seed": 1}'
"""

# ruff: noqa: E402, I001  the reactor has to be installed before others import it
from lotusroute.net import monotonic_reactor

monotonic_reactor.install()

import os
import sys

from load_generator import LoadGenerator
from peer_messages import ClientsSettings, EndpointListSettings, Message, ServersSettings, to_json
from server_stub import start_endpoint_list, start_servers
from twisted.internet import reactor, task

MAX_LIFETIME_S = 300.0  # of any process, whatever becomes of its parent
PARENT_CHECK_S = 1.0
ROLES = ("servers", "list", "clients")


def report(message: Message) -> None:
    """Print one message for the parent process."""
    print(to_json(message), flush=True)


def start(role: str, settings: str) -> None:
    """Start one role with its settings in JSON."""
    match role:
        case "servers":
            report(start_servers(ServersSettings.from_json(settings)))
        case "list":
            report(start_endpoint_list(EndpointListSettings.from_json(settings)))
        case "clients":
            LoadGenerator(ClientsSettings.from_json(settings), report).start()


def stop_if_orphaned(parent: int) -> None:
    """Stop where the parent process has ended."""
    if os.getppid() != parent:
        reactor.stop()


def main() -> int:
    """Run one role up to its end."""
    if len(sys.argv) != 3 or sys.argv[1] not in ROLES:
        print(f"peers.py: a role of {', '.join(ROLES)} and its JSON are wanted", file=sys.stderr)
        return 2
    reactor.callLater(MAX_LIFETIME_S, reactor.stop)
    reactor.callWhenRunning(start, sys.argv[1], sys.argv[2])
    task.LoopingCall(stop_if_orphaned, os.getppid()).start(PARENT_CHECK_S)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
