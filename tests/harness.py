"""Helpers for tests: a host for the director, and fakes of what surrounds the program on loopback sockets."""

import collections
import contextlib
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from fake_discovery import POLL_INTERVAL, RESET_ON_CLOSE, FakeDiscovery
from twisted.internet.testing import StringTransport

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
            scope=events.ListScope.COMPLETE,
        )

    def decide(self, event):
        return self.director.decide(self.now, event)

    def update_endpoints(self, *servers, scope=events.ListScope.CHANGES):
        return self.decide(events.EndpointList(scope, servers))

    def request(self, key="k", group=None, tenant=None, **more):
        """A new flow; returns its first action."""
        self.last_flow_id += 1
        flow = events.FlowRequest(self.last_flow_id, "live", tenant, group, key, self.now + 1800.0, **more)
        return self.decide(flow)[0]

    def default_server(self, key):
        """The server that all balancers take for a key's segment."""
        state = self.director.state
        segment = segments.segment_of(state, events.FlowRequest(0, "live", None, None, key, 0.0))
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
                self.end(action, events.ConnectionResult.OK, final=True)
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
DEADLINE = 10.0  # s for anything that a test waits for
PORT_RNG = random.SystemRandom()
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
WORKER_COUNT = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
PORTS = range(10_000, 32_000)[WORKER::WORKER_COUNT]
GIVEN_PORTS = collections.deque(maxlen=1_000)  # lately, to programs that may still be starting


class FakeServer:
    """A server on a free port; `reply` is what it sends for a first line, later lines come back unchanged."""

    def __init__(self, name, reply=b"UP r1\r\n"):
        self.name, self.reply = name, reply
        self.lines = []  # received; an empty one for each end of a connection
        self.connections = []
        self.unresponsive = False  # lines do not come back any more
        self.resets_connections = False  # connections end in a reset
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            self.connections.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError):
            self.serve_connection(conn)

    def serve_connection(self, conn):
        """Serve one connection to its end; tests replace it."""
        with contextlib.suppress(ConnectionResetError), conn.makefile("rb") as lines:
            for line in lines:
                self.lines.append(line)
                self._reply_to(conn, line)
        self.lines.append(b"")
        if self.resets_connections:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        else:
            conn.sendall(b"BYE\r\n")
        conn.close()

    def _reply_to(self, conn, line):
        if line.startswith(b"OPEN"):
            if self.reply:
                conn.sendall(self.reply)
        elif not self.unresponsive:
            conn.sendall(line)

    def stop_accepting(self):
        """Refuse connections from now on."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def entry(self, health="SERVING"):
        """The server's entry in the endpoint list."""
        address = f"127.0.0.1:{self.port}"
        return {"host": self.name, "dial": address, "health": health, "share": 1.0, "born_ms": 0}


class SlowAcceptServer(FakeServer):
    """A server to which connections do not come up until `start_accepting`.

    Its queue of connections is full, so that the system lets later ones wait and tries again after a second.
    """

    def _accept(self):
        self.socket.listen(0)
        self.queue_filler = socket.create_connection(self.socket.getsockname())
        self.accepting = threading.Event()
        self.accepting.wait()
        super()._accept()

    def start_accepting(self):
        self.accepting.set()

    def wait_for_connections(self, count=1):
        """Wait until so many connections beside the one that fills the queue have come up."""
        return wait_until(lambda: len(self.connections) > count)

    def open_lines(self):
        """The first lines of flows that it received."""
        return [line for line in self.lines if line.startswith(b"OPEN")]


def free_port():
    """A port for a program that is still to start.

    It is below the range that the system assigns by itself, in a part of it that belongs to this worker of
    pytest alone, and was not given out lately: no fake and no other program gets it meanwhile. Programs that
    take seconds to start found their port in use otherwise, and ended.
    """
    while True:
        port = PORT_RNG.choice(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in GIVEN_PORTS:
                GIVEN_PORTS.append(port)
                return port


class Balancer:
    """The program itself in a process of its own, with its discovery and its clients."""

    def __init__(
        self,
        *servers,
        settings=SETTINGS,
        sockets=1024,
        memory=1024,
        available=True,
        env=(),
        known=0,
        **discovery_state,
    ):
        """`known` is the version of the cached list; `discovery_state` sets attributes of the discovery."""
        self.discovery = FakeDiscovery(*servers, available=available)
        vars(self.discovery).update(discovery_state)
        self.flow_count = 0
        self.port = free_port()
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "5eed",
            "settings": settings,
            "discovery": f"127.0.0.1:{self.discovery.server_port}",
            "limits": {"sockets": sockets, "memory_mb": memory},
            "known": {"seq": known, "hosts": [server.entry() for server in servers]},
        }
        self.folder = tempfile.TemporaryDirectory()
        self.config_file = pathlib.Path(self.folder.name, "config.json")
        self.config_file.write_text(json.dumps(self.config))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lotusroute"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(self.config_file), **dict(env)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )

    def __enter__(self):
        until = time.monotonic() + DEADLINE
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                if self.connect_and_send(b"PING").readline() == b"PONG\r\n":
                    return self
            time.sleep(0.02)
        raise AssertionError("not ready: " + self.terminate())

    def __exit__(self, *_):
        self.terminate()
        self.discovery.shutdown()

    def connect_and_send(self, line):
        """Connect and send a first line; returns the connection as a file."""
        file = self.connect()
        file.conn.sendall(line + b"\r\n")
        return file

    def connect(self):
        """Connect and send nothing; returns the connection as a file."""
        conn = socket.create_connection(("127.0.0.1", self.port), timeout=DEADLINE)
        file = conn.makefile("rwb", buffering=0)
        file.conn = conn
        return file

    def open_flow(self, key="k", wait=1800, id=None, **parameters):
        """Request a flow that is to be answered within `wait` ms; returns the connection as a file."""
        self.flow_count += 1
        flow_id = id or f"id{self.flow_count}"
        pairs = {"c": "live", "d": wait, **parameters}
        text = ",".join(f"{name}={value}" for name, value in pairs.items())
        return self.connect_and_send(f"OPEN {flow_id} {key} {text}".encode())

    def reload(self, text=None, **changes):
        """Replace the configuration file and have the program read it."""
        self.config.update(changes)
        self.config_file.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def suspend(self):
        """Stop the process between two instructions, for certain."""
        self.process.send_signal(signal.SIGSTOP)
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat")
        wait_until(lambda: stat.read_text().rsplit(")", 1)[1].split()[0] == "T")

    def resume(self):
        """Let a suspended process go on."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self, number=signal.SIGKILL):
        """Send the signal if the program runs, wait for its exit and return its log."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        return self.process.communicate(timeout=DEADLINE)[1]


class FakeTransport(StringTransport):
    """A transport whose socket takes `accepted` bytes in one write, all where that is None."""

    dataBuffer = b""
    _tempDataBuffer = ()

    def __init__(self, accepted=None):
        super().__init__()
        self.accepted = accepted

    def writeSomeData(self, data):
        taken = data[: self.accepted]
        self.write(taken)
        return len(taken)

    def setTcpNoDelay(self, enabled):
        pass


def wait_until(condition):
    """Wait until the condition returns something true, and return that."""
    until = time.monotonic() + DEADLINE
    while not (result := condition()):
        assert time.monotonic() < until, "the condition was not met in time"
        time.sleep(POLL_INTERVAL)
    return result
