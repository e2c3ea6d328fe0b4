"""Fake servers on loopback sockets, each with threads of its own."""

import contextlib
import socket
import threading

from waiting import wait_until

from lotusroute.process_control.config_files import JsonValue, endpoint_entry
from lotusroute.process_control.tcp_reset import reset_on_close


class FakeServer:
    """A server on a free port.

    It sends `reply`, if there is one, for a first line, and later lines back unchanged. Tests set its
    attributes while it runs.
    """

    def __init__(self, name: str, reply: bytes | None = b"UP r1\r\n") -> None:
        self.name = name
        self.reply = reply
        self.lines: list[bytes] = []  # the received lines, and an empty one for each connection that ended
        self.connections: list[socket.socket] = []
        self.unresponsive = False  # whether lines are no longer sent back
        self.resets_connections = False  # whether connections are ended with a reset
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            self.connections.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError):
            self.serve_connection(conn)

    def serve_connection(self, conn: socket.socket) -> None:
        """Serve one connection to its end; tests replace this method."""
        with contextlib.suppress(ConnectionResetError), conn.makefile("rb") as lines:
            for line in lines:
                self.lines.append(line)
                self._reply_to(conn, line)
        self.lines.append(b"")
        if self.resets_connections:
            reset_on_close(conn)
        else:
            conn.sendall(b"BYE\r\n")
        conn.close()

    def _reply_to(self, conn: socket.socket, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            if self.reply:
                conn.sendall(self.reply)
        elif not self.unresponsive:
            conn.sendall(line)

    def stop_accepting(self) -> None:
        """Refuse connections from now on."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def entry(self, health: str = "SERVING") -> dict[str, JsonValue]:
        """Return the server's entry in the endpoint list."""
        return endpoint_entry(self.name, self.port, health)


class SlowAcceptServer(FakeServer):
    """A server to which no connection is established until `start_accepting`.

    Its queue of connections is full, so that the system drops the SYN of each later connection and
    retransmits it after a second.
    """

    def _accept(self) -> None:
        self.socket.listen(0)
        self.queue_filler = socket.create_connection(self.socket.getsockname())
        self.accepting = threading.Event()
        self.accepting.wait()
        super()._accept()

    def start_accepting(self) -> None:
        """Accept the connections that wait, and all later ones."""
        self.accepting.set()

    def wait_for_connections(self, count: int = 1) -> bool:
        """Wait until `count` connections are established, besides the one that fills the queue."""
        return wait_until(lambda: len(self.connections) > count)

    def open_lines(self) -> list[bytes]:
        """Return the first lines of flows that it received."""
        return [line for line in self.lines if line.startswith(b"OPEN")]
