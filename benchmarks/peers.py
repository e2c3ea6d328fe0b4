"""Runs peers of one kind for the loopback benchmark: servers, the endpoint list, or clients.

Peers run in separate processes, so that their CPU time does not count as the balancer's. Of the balancer's
code they use only the reactor. They connect on loopback only, and end with the process that started them.

    python benchmarks/peers.py servers '{"setups_ms": [1, 1], "spread": "light", "seed": 1}'
    python benchmarks/peers.py clients '{"port": 9000, "flows": 100, "concurrency": 4, "seed": 1}'
"""

import os
import sys
from collections.abc import Callable

import checkout_path  # noqa: F401  lotusroute is imported from this checkout
from endpoint_list_stub import start_endpoint_list
from load_generator import LoadGenerator
from peer_messages import ClientsSettings, EndpointListSettings, Message, ServersSettings, to_json
from server_stub import start_servers
from twisted.internet import task

from lotusroute.net.reactor import reactor

MAX_LIFETIME_S = 300.0  # longest time that a process runs, even if its parent has not ended it
PARENT_CHECK_INTERVAL_S = 1.0
EXIT_WRONG_USE = 2


def report(message: Message) -> None:
    """Print one message for the parent process."""
    print(to_json(message), flush=True)


def serve_servers(settings: str) -> None:
    """Start servers with settings in JSON."""
    report(start_servers(ServersSettings.from_json(settings)))


def serve_endpoint_list(settings: str) -> None:
    """Start the endpoint list with settings in JSON."""
    report(start_endpoint_list(EndpointListSettings.from_json(settings)))


def run_clients(settings: str) -> None:
    """Start clients with settings in JSON."""
    LoadGenerator(ClientsSettings.from_json(settings), report).start()


PEER_KINDS: dict[str, Callable[[str], None]] = {
    "servers": serve_servers,
    "list": serve_endpoint_list,
    "clients": run_clients,
}


def stop_if_orphaned(parent: int) -> None:
    """Stop the reactor if the parent process has ended."""
    if os.getppid() != parent:
        reactor.stop()


def main() -> int:
    """Run the kind of peers that the arguments name until they end, and return the exit code."""
    if len(sys.argv) != 3 or sys.argv[1] not in PEER_KINDS:
        print(
            f"peers.py: expected a kind of peers ({', '.join(PEER_KINDS)}) and its settings as JSON, "
            f"received {sys.argv[1:]}",
            file=sys.stderr,
        )
        return EXIT_WRONG_USE
    _, peer_kind, settings = sys.argv
    reactor.callLater(MAX_LIFETIME_S, reactor.stop)
    reactor.callWhenRunning(PEER_KINDS[peer_kind], settings)
    task.LoopingCall(stop_if_orphaned, os.getppid()).start(PARENT_CHECK_INTERVAL_S)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
