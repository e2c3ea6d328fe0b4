"""Stand-ins of the cases with streams of tiles: a server that pushes a sweep and a client that reads it.

Standard library only; from the protocol page and the pages of the deployments.
"""

import socket
import threading
import time

from stand_ins_2 import HOST

TILE = b"TILE %06d " + b"x" * 3000 + b"\r\n"
READ_BYTES = 16_384
SLOW_PAUSE_S = 0.1  # a client on a weak signal reads 16 KiB each tenth of a second: 160 kB/s
LINE_INTERVAL_S = 2.0  # clients send a line every 2 s


class TileServer:
    """A server that answers UP, echoes a client's lines at once, and pushes one sweep of tiles.

    It keeps what it has while it is listed as draining, and ends no connection by itself.
    """

    def __init__(self, record, name, tiles):
        self.record = record
        self.name = name
        self.tiles = tiles
        self.pushed = 0
        self.echoed = 0
        self.broken = False  # whether the balancer broke its connection
        self.socket = socket.create_server((HOST, 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        write = threading.Lock()  # lines stay whole
        try:
            with connection, connection.makefile("rb") as lines:
                first = lines.readline()
                if not first.startswith(b"OPEN "):
                    return
                self.record(f"{self.name} runs {first.decode().strip()}, answers UP")
                connection.sendall(b"UP r-" + first.split()[1] + b"\r\n")
                threading.Thread(target=self._push, args=(connection, write), daemon=True).start()
                for line in lines:
                    with write:
                        connection.sendall(line)
                    self.echoed += 1
                    self.record(f"{self.name} echoes {line.decode().strip()}")
                self.record(f"{self.name} reads the end of the connection")
        except OSError as error:
            self.broken = True
            self.record(f"{self.name}: connection broke: {error}")

    def _push(self, connection, write):
        time.sleep(1.0)
        try:
            for number in range(self.tiles):
                with write:
                    connection.sendall(TILE % number)
                self.pushed += 1
            self.record(f"{self.name} has pushed all {self.tiles} tiles")
        except (OSError, ValueError) as error:
            self.record(f"{self.name} could push {self.pushed} of {self.tiles} tiles: {error}")


class StreamClient:
    """A client that sends a line every 2 s and reads the sweep, slowly but without a pause over a tenth of a second."""

    def __init__(self, record, balancer, tiles, slow):
        self.record = record
        self.tiles = tiles
        self.slow = slow
        self.received = bytearray()
        self.tiles_read = 0
        self.moved = False  # whether the last line read is MOVE
        self.replied = False  # whether a reply came after the whole sweep
        self.ended = ""  # how the connection ended
        self.broken_line = False  # whether the connection ended within a line
        self.connection = balancer.connect()
        self.connection.settimeout(0.2)

    def run(self, seconds):
        """Open the flow and read until the whole sweep and a reply have come, the connection ends, or time is up."""
        self.connection.sendall(b"OPEN 9b1f03aa5c7e2d41 truck-12 c=leitura-palete,d=4800\r\n")
        started = time.monotonic()
        next_line = started + LINE_INTERVAL_S
        sent = 0
        while not self.ended and time.monotonic() < started + seconds and not (self.replied and self._complete()):
            if time.monotonic() >= next_line:
                next_line += LINE_INTERVAL_S
                sent += 1
                self._send(b"POS %d\r\n" % sent)
            self._read()
            if self.slow:
                time.sleep(SLOW_PAUSE_S)
        self.connection.close()
        self.record(
            f"client after {time.monotonic() - started:.1f} s: connection {self.ended or 'open'}"
            f"{', within a line' if self.broken_line else ''}; {self.tiles_read} of {self.tiles} tiles read, "
            f"{'MOVE read' if self.moved else 'no MOVE'}, {sent} lines sent",
            echo=True,
        )

    def cut_off(self):
        """Return whether the connection ended although the client was not asked to move."""
        return bool(self.ended) and not self.moved

    def _complete(self):
        return self.tiles_read == self.tiles

    def _send(self, line):
        self.record(f"client has read {self.tiles_read} tiles, sends {line.decode().strip()}")
        try:
            self.connection.sendall(line)
        except OSError as error:
            self.record(f"client cannot send: {error}")

    def _read(self):
        try:
            data = self.connection.recv(READ_BYTES)
        except TimeoutError:
            return
        except OSError as error:
            self.ended = f"reset ({error})"
            return
        if not data:
            self.ended = "ended"
            return
        *lines, rest = (bytes(self.received) + data).split(b"\r\n")
        self.received = bytearray(rest)
        self.broken_line = bool(rest)
        for line in lines:
            if line.startswith(b"TILE "):
                self.tiles_read += 1
            elif line.startswith(b"POS ") and self._complete():
                self.replied = True
            self.moved = line == b"MOVE"
