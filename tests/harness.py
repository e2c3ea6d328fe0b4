"""Helpers for stories: a tiny host for the director, and stand-ins round the program on loopback sockets."""

import collections
import contextlib
import http.server
import json
import os
import pathlib
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from lotusroute.routing import events, segments
from lotusroute.routing.director import Director

SERVICE_CONFIG = events.ServiceConfig(
    {"live": events.ServiceType(300.0)},
    max_attempts=4,
    max_retry_after=1000.0,
    slow_start_share=0.2,
    slow_start_duration=20_000.0,
    slow_start_burst=3.0,
)
KEYS = [f"key-{index}" for index in range(200)]  # of clients


class FakeHost:
    """A director, its clock, and flows numbered as they are asked for."""

    def __init__(self, servers=4, config=SERVICE_CONFIG, seed=7, **changes):
        self.director = Director(config._replace(**changes), seed)
        self.now, self.last_flow_id = 0.0, 0
        self.update_endpoints(
            *(events.Server(f"s{n}", zone=f"z{n % 2}", cell=n % 2) for n in range(servers)),
            scope=events.COMPLETE,
        )

    def decide(self, event):
        return self.director.decide(self.now, event)

    def update_endpoints(self, *servers, scope=events.CHANGES):
        return self.decide(events.EndpointList(scope, servers))

    def request(self, key="k", group=None, tenant=None, **more):
        """A new flow; returns its first action."""
        self.last_flow_id += 1
        flow = events.Flow(self.last_flow_id, "live", tenant, group, key, self.now + 1800.0, **more)
        return self.decide(flow)[0]

    def default_server(self, key):
        """The server that all balancers take for a key's segment."""
        state = self.director.state
        segment = segments.segment_of(state, events.Flow(0, "live", None, None, key, 0.0))
        return segments.preference_order(state, segment)[0].id

    def establish(self, key="k", **more):
        connect = self.request(key, **more)
        self.decide(events.Established(connect.id, connect.server))
        return connect

    def establish_each(self, setup_time, flows, gap=5.0):
        """Open flows one after the other, each set up after `setup_time(server)` ms and ended at once.

        Returns the answers, counted by type.
        """
        answers = collections.Counter()
        for index in range(flows):
            action = self.request(f"key{index}")
            answers[type(action)] += 1
            if isinstance(action, events.Connect):
                self.now += setup_time(action.server)
                self.decide(events.Established(action.id, action.server))
                self.end(action, events.OK, final=True)
            self.now += gap
        return answers

    def end(self, connect, result, final=False):
        return self.decide(events.ConnectionEnded(connect.id, connect.server, final, result))

    def advance(self, ms):
        """Let time pass, firing the director's timer each second; returns all actions."""
        out, until = [], self.now + ms
        while self.now + 1000.0 <= until:
            self.now += 1000.0
            out += self.decide(events.TimerFired("tick"))
        self.now = until
        return out


def actions_of(action_type, actions):
    """The actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250, "retry_after": True, "max_retry_after": 1000},
    "siblings": 1,
    "me": 0,
}
PORTS = random.SystemRandom()
DEADLINE = 10.0  # s for anything that a story waits for


class FakeServer:
    """A server on a free port; `reply` is what comes back to a first line, later ones come back unchanged."""

    def __init__(self, name, reply=b"UP r1\r\n"):
        self.name, self.reply, self.lines, self.conns = name, reply, [], []
        self.silent = self.rude = False  # lines come back no more; connections end in a reset
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            self.conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError):
            with contextlib.suppress(ConnectionResetError), conn.makefile("rb") as lines:
                for line in lines:
                    self.lines.append(line)
                    if not line.startswith(b"OPEN"):
                        conn.sendall(b"" if self.silent else line)
                    elif self.reply:
                        conn.sendall(self.reply)
            self.lines.append(b"")
            if self.rude:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            else:
                conn.sendall(b"BYE\r\n")
            conn.close()

    def die(self):
        """Refuse connections from now on."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def entry(self, health="SERVING"):
        dial = f"127.0.0.1:{self.port}"
        return {"host": self.name, "dial": dial, "health": health, "share": 1.0, "born_ms": 0}


class SlowDoor(FakeServer):
    """A server to which connections do not come up until `open` is called: its queue of them is full, so the
    system lets later ones wait and tries again after a second."""

    def _accept(self):
        self.socket.listen(0)
        self.filler = socket.create_connection(self.socket.getsockname())
        self.shut = threading.Event()
        self.shut.wait()
        super()._accept()

    def open(self):
        self.shut.set()

    def came(self, number=1):
        """Wait until so many connections beside the filler have come up."""
        return soon(lambda: len(self.conns) > number)

    def flows(self):
        return [line for line in self.lines if line.startswith(b"OPEN")]


class FakeList(http.server.BaseHTTPRequestHandler):
    """Discovery, as far as its server's `entries` and `seq` go; silent while `seq` is 0. It keeps what was
    `asked` for and when, turns as many calls away as `refuses` says, and takes `slow` s for the others. Calls
    in hand when `cut` grows are never answered, but for half an answer where it is `half`, or reset where it
    `resets`; nor are those answered that come while it is `down`. What `script` holds is done to the next
    calls one by one: "silent", "half", "drop", "refuse", or so many seconds in line. `told` says when which
    version went out."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        asked = dict(p.split("=") for p in self.path.partition("?")[2].split("&") if p)
        until = time.monotonic() + float(asked.get("hold_ms", 0)) / 1000
        fleet = self.server
        fleet.asked.append((time.monotonic(), asked.get("from")))
        act = fleet.script.pop(0) if fleet.script else ""
        if act == "drop":
            self.close_connection = True
            return
        if act in ("silent", "half"):
            if act == "half":
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
            self.rfile.read(1)  # until the other end closes
            return
        if isinstance(act, float):
            time.sleep(act)
            until = 0.0  # it has waited
        if fleet.refuses or act == "refuse":
            fleet.refuses -= not act
            self.send_response(503)
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        time.sleep(fleet.slow)
        mine, since = fleet.cut, int(asked.get("from", -1))
        while (
            mine != fleet.cut
            or fleet.down
            or not fleet.seq
            or (fleet.seq <= since and time.monotonic() < until)
        ):
            if mine != fleet.cut or fleet.down:
                if fleet.resets:
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_connection = True
                    return
                if fleet.half:
                    self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
                with contextlib.suppress(ConnectionResetError):
                    self.rfile.read(1)  # until the other end closes
                return
            time.sleep(0.01)
        hosts = fleet.entries if fleet.seq > since else []
        body = json.dumps({"seq": fleet.seq, "whole": "from" not in asked, "hosts": hosts}).encode()
        fleet.told.append((time.monotonic(), fleet.seq))
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_):
        pass


def discovery(*servers, listed=True, port=0):
    """A discovery that serves on a free port, or on this one."""
    fleet = http.server.ThreadingHTTPServer(("127.0.0.1", port), FakeList)
    fleet.daemon_threads = True
    fleet.entries, fleet.seq = [s.entry() for s in servers], int(listed)
    fleet.asked, fleet.refuses, fleet.slow = [], 0, 0.0
    fleet.script, fleet.told = [], []
    fleet.cut, fleet.down, fleet.half, fleet.resets = 0, False, False, False
    threading.Thread(target=fleet.serve_forever, daemon=True).start()
    return fleet


def free_port():
    """A port for a program that is still to start: below the range that the system hands out by itself, so
    that no stand-in of another story gets it meanwhile."""
    while True:
        at = "127.0.0.1", PORTS.randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(at) as free:
            return free.getsockname()[1]


class Balancer:
    """The program itself, its discovery and its clients."""

    def __init__(
        self, *servers, settings=SETTINGS, sockets=1024, memory=1024, listed=True, env=(), known=0, **list_is
    ):
        self.list, self.asks = discovery(*servers, listed=listed), 0
        vars(self.list).update(list_is)
        self.port = free_port()
        self.told = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "5eed",
            "settings": settings,
            "discovery": f"127.0.0.1:{self.list.server_port}",
            "limits": {"sockets": sockets, "memory_mb": memory},
            "known": {"seq": known, "hosts": [s.entry() for s in servers]},
        }
        self.folder = tempfile.TemporaryDirectory()
        self.file = pathlib.Path(self.folder.name, "config.json")
        self.file.write_text(json.dumps(self.told))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lotusroute"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(self.file), **dict(env)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )

    def __enter__(self):
        until = time.monotonic() + DEADLINE
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                if self.say(b"PING").readline() == b"PONG\r\n":
                    return self
            time.sleep(0.02)
        raise AssertionError("not ready: " + self.end())

    def __exit__(self, *_):
        self.end()
        self.list.shutdown()

    def say(self, line):
        """Connect and send a first line; returns the connection as a file."""
        conn = socket.create_connection(("127.0.0.1", self.port), timeout=DEADLINE)
        conn.sendall(line + b"\r\n")
        file = conn.makefile("rwb", buffering=0)
        file.conn = conn
        return file

    def ask(self, key="k", wait=1800, id=None, **more):
        pairs = {"c": "live", "d": wait, **more}
        self.asks += 1
        id = id or f"id{self.asks}"
        return self.say(f"OPEN {id} {key} {','.join(f'{k}={v}' for k, v in pairs.items())}".encode())

    def reload(self, text=None, **changes):
        """Replace the file and tell the program."""
        self.told.update(changes)
        self.file.write_text(json.dumps(self.told) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def end(self, number=signal.SIGKILL):
        """Signal the program and return its log."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        return self.process.communicate(timeout=DEADLINE)[1]


def soon(true):
    """Wait until something is so."""
    until = time.monotonic() + DEADLINE
    while not (found := true()):
        assert time.monotonic() < until, "never so"
        time.sleep(0.01)
    return found
