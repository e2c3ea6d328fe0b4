"""A minimal stub of discovery: it does only what the benchmark needs, to leave the CPU to the other peers."""

import json
import urllib.parse

from line_connection import LineConnection
from peer_messages import EndpointListSettings, EndpointListStarted
from twisted.internet import protocol

from lotusroute.net.reactor import reactor
from lotusroute.process_control.config_files import JsonObject
from lotusroute.process_control.free_ports import LOOPBACK

# Shortest time after which the stub answers a poll for changes. Without it, a balancer that polls again
# immediately after each answer would take up the CPU time of the stub.
MIN_POLL_S = 0.05


class EndpointListConnection(LineConnection):
    """Serves the endpoint list over HTTP: the complete list first, then updates without any changes."""

    factory: "EndpointListServer"

    def lineReceived(self, line: bytes) -> None:
        """Answer a request from its request line; headers are ignored."""
        if not line.startswith(b"GET "):
            return
        path = line.split(b" ")[1].decode()
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
        if "from" in query:
            poll_s = max(MIN_POLL_S, float(query.get("hold_ms", "0")) / 1000)
            reactor.callLater(poll_s, self._respond, [], False)
        else:
            self._respond(self.factory.hosts, True)

    def _respond(self, hosts: list[JsonObject], complete: bool) -> None:
        body = json.dumps({"seq": 1, "whole": complete, "hosts": hosts}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.connection.write(head + body)


class EndpointListServer(protocol.ServerFactory):
    """Serves one endpoint list."""

    noisy = False
    protocol = EndpointListConnection

    def __init__(self, hosts: list[JsonObject]) -> None:
        self.hosts = hosts


def start_endpoint_list(settings: EndpointListSettings) -> EndpointListStarted:
    """Start to serve the endpoint list on a port that the system chooses."""
    port = reactor.listenTCP(0, EndpointListServer(list(settings.hosts)), interface=LOOPBACK)
    return EndpointListStarted(port=port.getHost().port)
