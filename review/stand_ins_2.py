"""Stand-ins and helpers of cases 6 to 10: the platform, discovery, and a balancer as a separate process.

Standard library only. Written from the operators' protocol and deployment pages. Everything listens on loopback
addresses and on ports that the system assigns.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The settings of the deployment zanella-serra, as a platform hands them to a balancer.
SETTINGS = {
    "service_type": "conn",
    "discovery": "push",
    "siblings": 4,
    "me": 0,
    "weights": "rough",
    "limits": {
        "connect_timeout": 250,
        "max_connects": 4,
        "retry_after": True,
        "max_retry_after": 2000,
        "second_copies": False,
        "cancel": True,
    },
    "rules": {
        "stop_sending_within": 2000,
        "cold_from": 0.14,
        "warm_after": 24000,
        "tip_multiple": 3,
        "overload_for": 2000,
        "grace_to_answer": 20,
    },
    "service_types": [
        {"name": "leitura-palete", "setup_target": 800, "deadline": 4800, "effect": "read_like"},
        {"name": "posicao-caminhao", "setup_target": 500, "deadline": 2000, "effect": "read_like"},
        {"name": "painel-doca", "setup_target": 300, "deadline": 1800, "effect": "read_like"},
    ],
    "family_info": {"groups": True, "tells_load": True, "mode": "proxy"},
}


class Record:
    """Writes `record.txt`: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text, echo=False):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
        if echo:
            print(line, flush=True)


class Discovery:
    """The discovery agent of a balancer's machine.

    Answers `GET /api/targets` with the complete list and a watch with the changes. While `down` it is silent: it
    accepts connections and answers nothing.
    """

    def __init__(self, record, hosts):
        self.record = record
        self.changed = threading.Condition()
        self.seq = 41
        self.hosts = {host["host"]: host for host in hosts}
        self.versions = {host["host"]: 41 for host in hosts}
        self.down = False
        self.socket = socket.create_server((HOST, 0), backlog=64)
        self.address = f"{HOST}:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def whole(self):
        """Return the complete list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, name, **fields):
        """Change fields of one server's entry."""
        with self.changed:
            self.seq += 1
            self.hosts[name] = {**self.hosts[name], **fields}
            self.versions[name] = self.seq
            self.changed.notify_all()
        self.record(f"discovery has seq {self.seq}: {name} {fields}")

    def set_down(self, down):
        """Begin or end an outage."""
        with self.changed:
            self.down = down
            self.changed.notify_all()
        self.record(f"discovery is {'down: silent' if down else 'up'}")

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection, connection.makefile("rb") as lines:
                while True:
                    request = lines.readline()
                    while request and lines.readline().strip():
                        pass
                    if not request:
                        return
                    query = urllib.parse.urlsplit(request.split()[1].decode()).query
                    answer = self._answer(dict(urllib.parse.parse_qsl(query)))
                    if answer is None:
                        time.sleep(60)  # the call fell silent; the connection stays open
                        return
                    body = json.dumps(answer).encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                    connection.sendall(head.encode() + body)
        except OSError:
            pass

    def _answer(self, query):
        with self.changed:
            if self.down:
                return None
            if "from" not in query:
                return self.whole()
            since = int(query["from"])
            deadline = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
            while not self.down and self.seq <= since and (left := deadline - time.monotonic()) > 0:
                self.changed.wait(left)
            if self.down:
                return None
            hosts = [self.hosts[name] for name, version in self.versions.items() if version > since]
            return {"seq": self.seq, "whole": False, "hosts": hosts}


def entry(name, port, **fields):
    """Return the entry of a server in discovery's list."""
    return {
        "host": name,
        "dial": f"{HOST}:{port}",
        "site": "caxias",
        "class": "maquina-media",
        "block": 1,
        "health": "SERVING",
        "share": 1.0,
        "born_ms": 0,
        **fields,
    }


def free_port():
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


class Balancer:
    """One balancer, started as the platform does: the line `run` of the deploy file, by /bin/sh, from the root."""

    def __init__(self, record, discovery_address, known, settings=SETTINGS, name="n1", limits=None):
        self.record = record
        self.name = name
        self.folder = tempfile.mkdtemp(prefix="lotusroute-case-")
        self.port = free_port()
        self.document = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery_address,
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.process = None
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.command = tomllib.load(file)["run"]

    def write_config(self):
        """Replace the configuration file."""
        path = pathlib.Path(self.folder, "config.json")
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(self.document), encoding="utf-8")
        os.replace(temporary, path)
        return str(path)

    def start(self):
        """Run the command of the deploy file."""
        environment = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": self.document["discovery"],
            "LB_CONFIG": self.write_config(),
            "TMPDIR": self.folder,
        }
        log = open(pathlib.Path(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record(f"balancer {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        """Send a signal to the program."""
        self.process.send_signal(number)
        self.record(f"balancer {self.name} gets {signal.Signals(number).name}")

    def connect(self, timeout=5.0):
        """Open a client's connection; raises OSError."""
        return socket.create_connection((HOST, self.port), timeout=timeout)

    def wait_ready(self, timeout=20.0):
        """Wait until PING is answered with PONG, as the front does; return whether it was."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                with self.connect(2.0) as connection:
                    connection.sendall(b"PING\r\n")
                    if connection.recv(64).startswith(b"PONG"):
                        self.record(f"balancer {self.name} answers PONG")
                        return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def log_text(self):
        """Return what the program has logged."""
        return pathlib.Path(self.folder, "log.txt").read_text(encoding="utf-8", errors="replace")

    def end(self):
        """Kill the program if it runs, copy its log into the record and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            for line in self.log_text().splitlines():
                self.record(f"log of {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def reset(connection):
    """Close a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    connection.close()


def run_case(folder, play):
    """Run `play(record)`, which returns whether the rule held; exit with the case's code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # `play` still ends its processes
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        held = play(record)
    except Exception as error:  # the case could not run, for whatever reason
        record(f"could not run: {type(error).__name__}: {error}", echo=True)
        code = COULD_NOT_RUN
    else:
        code = HELD if held else BROKEN
    record(f"exit {code}", echo=True)
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' threads end with the process
