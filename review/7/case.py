"""Case 7: lines of a client that has ended in order are lost at a slow server; see claim.txt."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins
from stand_ins_2 import HOST, TROUBLE

SERVERS = 8
LINES = 300  # commands that the client sends at once, 3.5 kB each
LINE = b"SCAN %06d " + b"x" * 3500 + b"\r\n"
WORK_S = 0.002  # a server's work for a line
SLOWER = 9.0  # the disruption: one of eight servers is so many times slower (up to 9.1 times are named)
SECONDS = 40
TOO_SLOW_S = 1.5  # without the disruption the flow takes some 0.5 s


class ScanServer:
    """A server that answers UP, works on one line after the other and answers each with DONE.

    When it reads the end of the connection it sends BYE and closes. It reads as fast as it works, never faster.
    """

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.work = WORK_S
        self.flow = False  # whether it has the client's flow
        self.done = 0  # lines that it has worked on and answered
        self.read = 0  # lines that it has read in all, also after it could no longer answer
        self.end = ""  # how the connection ended, as this server sees it
        self.socket = socket.create_server((HOST, 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection, connection.makefile("rb", buffering=8192) as lines:
                first = lines.readline()
                if not first.startswith(b"OPEN "):
                    return
                self.flow = True
                self.record(f"{self.name} runs {first.decode().strip()}, answers UP")
                connection.sendall(b"UP r-" + first.split()[1] + b"\r\n")
                self._work(connection, lines)
                connection.sendall(b"BYE\r\n")
                self.end = "in order"
        except OSError as error:
            self.end = f"broken: {error}"
        self.record(f"{self.name} has read {self.read} lines and done {self.done}; the connection ended {self.end}")

    def _work(self, connection, lines):
        broken = None
        try:
            for line in lines:
                time.sleep(self.work)
                self.read += line.endswith(b"\r\n")
                if broken is None:
                    broken = self._answer(connection, line)
        except OSError as error:
            broken = broken or error
        if broken:
            raise broken

    def _answer(self, connection, line):
        try:
            connection.sendall(b"DONE " + line.split(b" ", 2)[1] + b"\r\n")
        except OSError as error:
            self.record(f"{self.name} cannot answer any more after {self.done} lines: {error}")
            return error
        self.done += 1
        if self.done % 25 == 0:
            self.record(f"{self.name} has done {self.done} lines")
        return None


def play(record):
    servers = [ScanServer(record, f"s-{number}") for number in range(1, SERVERS + 1)]
    discovery = stand_ins.Discovery(record, [stand_ins.entry(server.name, server.port) for server in servers])
    balancer = stand_ins.Balancer(record, discovery.address, discovery.whole())
    try:
        balancer.start()
        if not balancer.wait_ready():
            raise RuntimeError("the balancer was not ready")
        return _client(record, balancer, servers)
    finally:
        balancer.end()


def _client(record, balancer, servers):
    connection = balancer.connect(timeout=SECONDS)
    connection.sendall(b"OPEN 9b1f03aa5c7e2d41 truck-12 c=leitura-palete,d=4800\r\n")
    answers = connection.makefile("rb")
    if not answers.readline().startswith(b"UP "):
        raise RuntimeError("the flow was not established")
    server = next(server for server in servers if server.flow)
    if TROUBLE:
        server.work = WORK_S * SLOWER
        record(f"{server.name} becomes {SLOWER} times slower")
    started = time.monotonic()
    threading.Thread(target=_send, args=(record, connection, started), daemon=True).start()
    replies, bye, end = 0, False, "in order"
    try:
        for line in answers:
            replies += line.startswith(b"DONE ")
            bye = bye or line == b"BYE\r\n"
            if line == b"MOVE\r\n":
                end = "by MOVE"
    except OSError as error:
        end = f"broken: {error}"
    record(f"client: {replies} replies, {'BYE' if bye else 'no BYE'}, ended {end} after {time.monotonic() - started:.1f} s", echo=True)
    waited = time.monotonic() + 10
    while not server.end and time.monotonic() < waited:
        time.sleep(0.05)
    record(f"{server.name}: {server.read} of {LINES} lines read, {server.done} answered, ended {server.end or 'not at all'}", echo=True)
    connection.close()
    if not TROUBLE and time.monotonic() - started > TOO_SLOW_S:
        raise RuntimeError("the machine was too busy for a server at its usual speed")
    if server.read < LINES and end != "by MOVE":
        record("BROKEN: lines that the client sent before its end never reached the server, which still answered", echo=True)
        return False
    return True


def _send(record, connection, started):
    try:
        for number in range(LINES):
            connection.sendall(LINE % number)
        connection.shutdown(socket.SHUT_WR)
        record(f"client has sent all {LINES} lines and ended its sending after {time.monotonic() - started:.2f} s")
    except OSError as error:
        record(f"client cannot send: {error}")


stand_ins.run_case(FOLDER, play)
