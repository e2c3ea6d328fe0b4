"""A discovery service on the loopback interface, run on threads of the current process.

It serves tests and benchmarks. Capacity runs use `lotusroute.capacity.discovery_stub`, a separate process.
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

CHECK_INTERVAL_S = 0.01  # time between two checks whether the list has changed, during a long poll


class Poll(NamedTuple):
    """A request for the endpoint list."""

    # Version of the client's list; None if the client has no list and needs the complete one.
    version: str | None
    deadline: float  # latest time of the answer, in s of time.monotonic()

    @property
    def known_version(self) -> int:
        """The version of the client's list as a number; -1 if it has none."""
        return -1 if self.version is None else int(self.version)


class DiscoveryHandler(http.server.BaseHTTPRequestHandler):
    """Answers the polls that arrive on one connection."""

    protocol_version = "HTTP/1.1"
    server: "DiscoveryServer"

    def do_GET(self) -> None:
        """Answer a poll for the endpoint list."""
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        hold_s = float(query.get("hold_ms", "0")) / 1000
        self.answer_poll(Poll(query.get("from"), time.monotonic() + hold_s))

    def answer_poll(self, poll: Poll) -> None:
        """Hold the poll until the list changes or the deadline passes, then send the answer."""
        while not self.can_answer(poll):
            time.sleep(CHECK_INTERVAL_S)
        self.send_list(poll)

    def can_answer(self, poll: Poll) -> bool:
        """Return whether a list exists that is newer than the client's, or any list after the deadline."""
        sequence = self.server.seq
        return sequence > 0 and (sequence > poll.known_version or time.monotonic() >= poll.deadline)

    def send_list(self, poll: Poll) -> None:
        """Send the current entries if they are newer than the client's list, otherwise no entries."""
        self.send_body(self.list_body(poll))

    def list_body(self, poll: Poll) -> bytes:
        """Return the body of the answer to a poll that is answered now."""
        entries = self.server.entries if self.server.seq > poll.known_version else []
        document = {"seq": self.server.seq, "whole": poll.version is None, "hosts": entries}
        return json.dumps(document).encode()

    def send_body(self, body: bytes) -> None:
        """Send an answer."""
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Discard the access log."""


class DiscoveryServer(http.server.ThreadingHTTPServer):
    """A discovery service on a free port; `publish` changes its list and `shutdown` stops it."""

    daemon_threads = True

    def __init__(
        self,
        entries: Sequence[JsonObject],
        version: int = 1,
        handler: type[DiscoveryHandler] = DiscoveryHandler,
    ) -> None:
        super().__init__((LOOPBACK, 0), handler)
        self.entries = entries
        self.seq = version  # version of the list; while it is 0, no poll is answered
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> Address:
        """The address that the server listens on."""
        return Address(LOOPBACK, self.server_port)

    def publish(self, entries: Sequence[JsonObject]) -> None:
        """Replace the entries and increase the version of the list by 1."""
        self.entries = entries
        self.seq += 1
