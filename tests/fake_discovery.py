"""A fake discovery on a loopback socket, with faults that tests select."""

import contextlib
import socket
import time
from typing import Protocol

from waiting import POLL_INTERVAL_S

from lotusroute.process_control.config_files import JsonObject
from lotusroute.process_control.discovery_server import DiscoveryHandler, DiscoveryServer, Poll
from lotusroute.process_control.tcp_reset import reset_on_close


class ServerWithEntry(Protocol):
    """A server that has an entry in the endpoint list."""

    def entry(self) -> JsonObject:
        """Return the entry."""


class FakeDiscoveryHandler(DiscoveryHandler):
    """Answers polls with the faults of its server."""

    server: "FakeDiscovery"

    def answer_poll(self, poll: Poll) -> None:
        """Answer one poll with the next fault of the script, or else by the state of the server."""
        discovery = self.server
        discovery.polls.append((time.monotonic(), poll.version))
        match discovery.script.pop(0) if discovery.script else "":
            case "drop":
                self.close_connection = True
            case "silent":
                self._leave_unanswered(partial=False)
            case "partial":
                self._leave_unanswered(partial=True)
            case "reject":
                self._reject()
            case float(queue_s):
                time.sleep(queue_s)
                # The poll's hold time has passed while it was queued, so it is answered without another hold.
                self._answer(poll._replace(deadline=0.0))
            case _ if time.monotonic() < discovery.rejecting_until:
                self._reject()
            case _ if discovery.rejections:
                discovery.rejections -= 1
                self._reject()
            case _:
                self._answer(poll)

    def _answer(self, poll: Poll) -> None:
        """Send the list, or hold the poll until there is a change to its version or its deadline."""
        time.sleep(self.server.response_delay)
        if self._wait_for_list(poll):
            body, seq = self.list_body(poll), self.server.seq
            time.sleep(self.server.sending_delay)
            if self.server.sending_delay and self._is_closed_by_client():
                return
            self.server.responses.append((time.monotonic(), seq))
            self.send_body(body)

    def send_body(self, body: bytes) -> None:
        """Send an answer; without a length, its end is the end of the connection."""
        if self.server.unsized_bytes is None:
            super().send_body(body + b" " * self.server.list_padding)
            return
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Connection", "close")
            self.end_headers()
            self.wfile.write(body[: self.server.unsized_bytes])

    def _is_closed_by_client(self) -> bool:
        """Return whether the client has given the poll up."""
        self.connection.setblocking(False)
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
        finally:
            self.connection.setblocking(True)

    def _wait_for_list(self, poll: Poll) -> bool:
        """Wait until there is a list to send; return False if the poll was interrupted instead."""
        discovery = self.server
        interruptions = discovery.interruptions
        while True:
            if discovery.down or discovery.interruptions != interruptions:
                self._interrupt()
                return False
            if self.can_answer(poll):
                return True
            time.sleep(POLL_INTERVAL_S)

    def _interrupt(self) -> None:
        if self.server.resets:
            reset_on_close(self.connection)
            self.close_connection = True
        else:
            self._leave_unanswered(partial=self.server.partial_responses)

    def _leave_unanswered(self, partial: bool) -> None:
        """Send nothing or only a part of a response, and wait until the client closes the connection."""
        if partial:
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
        with contextlib.suppress(ConnectionResetError):
            self.rfile.read(1)

    def _reject(self) -> None:
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.end_headers()


class FakeDiscovery(DiscoveryServer):
    """Discovery on a free port. Tests set its attributes while it runs."""

    def __init__(self, *servers: ServerWithEntry, available: bool = True) -> None:
        self.polls: list[tuple[float, str | None]] = []  # time of each poll and the version that it states
        self.responses: list[tuple[float, int]] = []  # time of each response and the version that it sends
        self.rejecting_until = 0.0  # until when all polls are rejected
        self.rejections = 0  # how many of the next polls are rejected
        self.response_delay = 0.0  # seconds before each response
        self.sending_delay = 0.0  # seconds from when the content of a response is decided to its sending
        # Faults of the next polls, one each: "drop", "silent", "partial", "reject", or the seconds for which
        # the poll is queued.
        self.script: list[str | float] = []
        self.interruptions = 0  # whenever a test increases this, the polls in flight are never answered
        self.down = False  # while true, polls in flight and new polls are never answered
        self.partial_responses = False  # if true, an interrupted poll gets a part of a response
        self.list_padding = 0  # number of spaces behind each list
        # If not None, answers have no Content-Length, and this is how many bytes of a body are sent.
        self.unsized_bytes: int | None = None
        self.resets = False  # if true, the connection of an interrupted poll is reset
        super().__init__([server.entry() for server in servers], int(available), FakeDiscoveryHandler)
