"""A fake discovery on a loopback socket, whose faults tests choose."""

import contextlib
import http.server
import json
import socket
import struct
import threading
import time

POLL_INTERVAL = 0.01  # s between looks at a condition
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: closing sends a reset


class FakeDiscoveryHandler(http.server.BaseHTTPRequestHandler):
    """Answers one poll as the server, a `FakeDiscovery`, says."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        query = dict(part.split("=") for part in self.path.partition("?")[2].split("&") if part)
        source = self.server
        hold_until = time.monotonic() + float(query.get("hold_ms", 0)) / 1000
        source.polls.append((time.monotonic(), query.get("from")))
        action = source.script.pop(0) if source.script else ""
        if action == "drop":
            self.close_connection = True
        elif action in ("silent", "half"):
            self._leave_unanswered(partial=action == "half")
        elif action == "refuse":
            self._reject()
        elif source.rejections and not isinstance(action, float):
            source.rejections -= 1
            self._reject()
        else:
            if isinstance(action, float):
                time.sleep(action)
                hold_until = 0.0  # it has waited in the queue
            self._answer(query.get("from"), hold_until)

    def _answer(self, version, hold_until):
        """Send the list, or hold the poll until there is a change to the version or its time is over."""
        since = -1 if version is None else int(version)
        time.sleep(self.server.response_delay)
        if self._wait_for_list(since, hold_until):
            self._send_list(since, complete=version is None)

    def _wait_for_list(self, since, hold_until):
        """Wait until there is something to answer; False where the poll was interrupted instead."""
        source = self.server
        interruptions = source.interruptions
        while True:
            if source.down or source.interruptions != interruptions:
                self._interrupt()
                return False
            if source.seq and (source.seq > since or time.monotonic() >= hold_until):
                return True
            time.sleep(POLL_INTERVAL)

    def _interrupt(self):
        if self.server.resets:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close_connection = True
        else:
            self._leave_unanswered(partial=self.server.partial_responses)

    def _leave_unanswered(self, partial):
        """Send nothing, or a part of a response, until the other end closes."""
        if partial:
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
        with contextlib.suppress(ConnectionResetError):
            self.rfile.read(1)

    def _reject(self):
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def _send_list(self, since, complete):
        source = self.server
        hosts = source.entries if source.seq > since else []
        body = json.dumps({"seq": source.seq, "whole": complete, "hosts": hosts}).encode()
        source.responses.append((time.monotonic(), source.seq))
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_):
        pass


class FakeDiscovery(http.server.ThreadingHTTPServer):
    """Discovery on a free port. Tests set its attributes while it runs."""

    daemon_threads = True

    def __init__(self, *servers, available=True):
        super().__init__(("127.0.0.1", 0), FakeDiscoveryHandler)
        self.entries = [server.entry() for server in servers]
        self.seq = int(available)  # version of the list; 0: no poll is answered
        self.polls = []  # (time, version polled from) of each poll
        self.responses = []  # (time, version sent) of each response
        self.rejections = 0  # so many polls are rejected next
        self.response_delay = 0.0  # s before each response
        # For the next polls one by one: "drop", "silent", "half", "refuse", or s that a poll is queued.
        self.script = []
        self.interruptions = 0  # as it grows, polls in flight are never answered
        self.down = False  # nor are those that come now
        self.partial_responses = False  # interrupted polls get a part of a response
        self.resets = False  # interrupted polls are reset
        threading.Thread(target=self.serve_forever, daemon=True).start()
