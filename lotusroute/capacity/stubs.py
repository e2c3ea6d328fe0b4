"""Stand-ins beside what is measured: a discovery with a line, a server, clients.

Owns how they behave, which is as the protocol has it and no quicker than told. It must never leave loopback.
"""

import asyncio
import contextlib
import itertools
import json
import time
from collections import Counter, deque

from twisted.internet import reactor
from twisted.web import resource, server

LINE = 2.0  # s that a call stands in line at most
LONGEST_LINE = 64  # calls in line; one more is refused at once


def entry(name: str, port: int = 9, health: str = "SERVING") -> dict:
    """A server in discovery's form."""
    return {"host": name, "dial": f"127.0.0.1:{port}", "health": health, "share": 1.0, "born_ms": 0}


class Targets(resource.Resource):
    """Discovery: the list, one answer after the other, `answers` a second, none before `starts`."""

    isLeaf = True

    def __init__(self, hosts: list[dict], answers: float = 1e6, starts: float = 0.0) -> None:
        super().__init__()
        self.every, self.starts, self.hosts, self.seq = 1 / answers, starts, hosts, 1
        self.line: deque = deque()  # LONGEST_LINE at most; served or refused within LINE
        self.watches: list = []  # answered by news or when their wait is over
        self.free_at = 0.0
        self.calls: list[float] = []  # when each came while discovery was up; a run's length bounds it
        self.lost: set = set()  # calls that nobody answers; leave as they are given up
        self.bytes = 0  # of answers
        self.counters = Counter()

    def change(self, hosts: list[dict]) -> None:
        """Tell news: these entries are as they are now."""
        self.seq += 1
        by = {host["host"]: host for host in self.hosts}
        by.update({host["host"]: host for host in hosts})
        self.hosts = list(by.values())
        watches, self.watches = self.watches, []
        for call in watches:
            self._write(call, hosts)

    def render_GET(self, request) -> object:
        """Take a call."""
        now = reactor.seconds()
        if now < self.starts:
            self.lost.add(request)
            request.notifyFinish().addErrback(lambda _: self.lost.discard(request))
            return server.NOT_DONE_YET
        self.calls.append(now)
        call = [request, now, True]
        request.notifyFinish().addErrback(lambda _: call.__setitem__(2, False))
        if len(self.line) >= LONGEST_LINE:
            self._refuse(call)
        else:
            self.line.append(call)
            if len(self.line) == 1:
                reactor.callLater(max(0.0, self.free_at - now), self._next)
        return server.NOT_DONE_YET

    def _refuse(self, call: list) -> None:
        self.counters["refused"] += 1
        call[0].setResponseCode(503)
        call[0].finish()

    def _next(self) -> None:
        while self.line:
            call = self.line.popleft()
            if not call[2]:
                self.counters["given_up"] += 1
            elif reactor.seconds() - call[1] > LINE:
                self._refuse(call)
            else:
                self._serve(call)
                self.free_at = reactor.seconds() + self.every
                break
        if self.line:
            reactor.callLater(max(0.0, self.free_at - reactor.seconds()), self._next)

    def _serve(self, call: list) -> None:
        hold = float(call[0].args.get(b"hold_ms", [b"0"])[0]) / 1000
        since = int(call[0].args.get(b"from", [b"-1"])[0])
        self.counters["watches" if hold else "answers"] += 1
        if since < self.seq:
            self._write(call, None if since < 0 or since < self.seq - 1 else self.hosts)
        elif hold:
            self.watches.append(call)
            reactor.callLater(hold, self._over, call)
        else:
            self._write(call, [])

    def _over(self, call: list) -> None:
        if call in self.watches:
            self.watches.remove(call)
            self._write(call, [])

    def _write(self, call: list, hosts: list[dict] | None) -> None:
        if call[2]:
            told = {"seq": self.seq, "whole": hosts is None, "hosts": self.hosts if hosts is None else hosts}
            body = json.dumps(told).encode()
            self.bytes += len(body)
            call[0].write(body)
            call[0].finish()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server: a receipt, then each line back, then BYE."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n")
        writer.write(b"UP r1\r\n")
        while text := await reader.readline():
            writer.write(text)
        writer.write(b"BYE\r\n")
        await writer.drain()
    writer.close()


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    ids = itertools.count(1)  # one who used it before is known for a minute

    @classmethod
    async def open(cls, port: int, number: int) -> "Client":
        """Ask for a connection and wait until it stands; raises OSError where it is refused."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"OPEN i%d k%d c=live,d=1800\r\n" % (next(cls.ids), number))
        said = await reader.readline()
        if not said.startswith(b"UP "):
            writer.close()
            raise OSError(f"refused: {said!r}")
        return cls(reader, writer)

    async def line(self) -> float:
        """Send a line and read it back; returns how long that took, in s."""
        start = time.perf_counter()
        self.writer.write(b"M 1 " + b"x" * 60 + b"\r\n")
        await self.reader.readline()
        return time.perf_counter() - start

    async def close(self) -> None:
        """End it and read to the end."""
        self.writer.write_eof()
        with contextlib.suppress(OSError):
            await self.reader.read()
        self.writer.close()
