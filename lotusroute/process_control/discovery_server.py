"""A discovery on loopback that runs on threads of this process, for tests and benchmarks.

Capacity runs have a discovery in a process of its own instead (`lotusroute.capacity.discovery_stub`).
"""

import contextlib
import http.server
import json
import threading
import time
import urllib.parse
from collections.abc import Sequence
from typing import NamedTuple

from lotusroute.address import Address
from lotusroute.process_control.config_files import JsonObject
from lotusroute.process_control.free_ports import LOOPBACK

CHECK_INTERVAL_S = 0.01  # at which a long poll checks for a change


class Poll(NamedTuple):
    """A request for the endpoint list."""

    version: str | None  # that the client has; None: it asks for the complete list
    deadline: float  # until when the client waits for a change, s of time.monotonic()

    @property
    def known_version(self) -> int:
        """The version that the client has, as a number; -1 for none."""
        return -1 if self.version is None else int(self.version)


class DiscoveryHandler(http.server.BaseHTTPRequestHandler):
    """Answers the polls of one connection."""

    protocol_version = "HTTP/1.1"
    server: "DiscoveryServer"

    def do_GET(self) -> None:
        """Answer one request."""
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        hold_s = float(query.get("hold_ms", "0")) / 1000
        self.answer_poll(Poll(query.get("from"), time.monotonic() + hold_s))

    def answer_poll(self, poll: Poll) -> None:
        """Wait until there is a change or the poll's deadline, and send the list."""
        while not self.can_answer(poll):
            time.sleep(CHECK_INTERVAL_S)
        self.send_list(poll)

    def can_answer(self, poll: Poll) -> bool:
        """Return whether there is a list, and either a change to it or no time left."""
        sequence = self.server.seq
        return sequence > 0 and (sequence > poll.known_version or time.monotonic() >= poll.deadline)

    def send_list(self, poll: Poll) -> None:
        """Send the servers if they have changed, or else a list without any."""
        entries = self.server.entries if self.server.seq > poll.known_version else []
        document = {"seq": self.server.seq, "whole": poll.version is None, "hosts": entries}
        body = json.dumps(document).encode()
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class DiscoveryServer(http.server.ThreadingHTTPServer):
    """A discovery on a free port. Its list may be changed while it runs; `shutdown` ends it."""

    daemon_threads = True

    def __init__(
        self,
        entries: Sequence[JsonObject],
        version: int = 1,
        handler: type[DiscoveryHandler] = DiscoveryHandler,
    ) -> None:
        super().__init__((LOOPBACK, 0), handler)
        self.entries = entries
        self.seq = version  # of the list; 0: no poll is answered
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> Address:
        """Where it listens."""
        return Address(LOOPBACK, self.server_port)

    def publish(self, entries: Sequence[JsonObject]) -> None:
        """Make these entries the next version of the list."""
        self.entries = entries
        self.seq += 1
