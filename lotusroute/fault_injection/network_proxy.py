"""The ways between processes, which the rig can hold, let go, delay, trickle and reset.

Owns one listening port for each ordered pair of balancers and every connection through it, in a thread of its
own. It must never read what it carries, listen or dial anywhere but on loopback, or keep more than READ bytes
a way.
"""

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable, Iterable

READ = 16_384  # bytes taken at a time and kept while a way is held: TCP holds back the rest at its source
LONGEST = 10.0  # s for the thread to answer


class Wires:
    """Ways between named processes; `ports` says where each listens, and may fill up later."""

    def __init__(self, names: Iterable[str], ports: dict[str, int]) -> None:
        self.names, self.ports = list(names), ports
        self.held: set[tuple[str, str]] = set()  # directions (from, to) in which nothing passes
        self.delays: dict[tuple[str, str], float] = {}  # s by direction
        self.rates: dict[tuple[str, str], float] = {}  # bytes a second by direction
        self.cuts: dict[tuple[str, str], int] = {}  # by direction: bytes after which it resets, once
        self.listening: dict[tuple[str, str], int] = {}  # ports by (dialler, peer)
        self.open: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}  # the same; leave at their end
        self.loop = asyncio.new_event_loop()
        self.free: asyncio.Condition | None = None
        self.servers: list[asyncio.Server] = []  # one for each pair
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self._do(self._listen())

    def _do(self, what):
        return asyncio.run_coroutine_threadsafe(what, self.loop).result(LONGEST)

    def close(self) -> None:
        """End all ways."""
        self.reset()
        self._do(self._end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(LONGEST)
        self.loop.close()

    async def _end(self) -> None:
        """End what still waits, for nobody will let it go."""
        for server in self.servers:
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for one in others:
            one.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def address(self, peer: str, of: str) -> int:
        """The port at which `of` reaches `peer`."""
        return self.listening[of, peer]

    async def _listen(self) -> None:
        self.free = asyncio.Condition()
        for of in self.names:
            for peer in self.names:
                if of != peer:
                    server = await asyncio.start_server(self._taker(of, peer), "127.0.0.1", 0)
                    self.servers.append(server)
                    self.listening[of, peer] = server.sockets[0].getsockname()[1]

    def _taker(self, of: str, peer: str) -> Callable:
        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ways = self.open.setdefault((of, peer), set())
            far = None
            try:
                await self._passes((of, peer))
                far_reader, far = await asyncio.open_connection("127.0.0.1", self.ports[peer], limit=READ)
                ways.update((writer, far))
                await asyncio.gather(
                    self._pump(reader, far, (of, peer)), self._pump(far_reader, writer, (peer, of))
                )
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                for end in (writer, far):
                    if end is not None:
                        ways.discard(end)
                        end.close()

        return take

    async def _passes(self, way: tuple[str, str]) -> None:
        async with self.free:
            await self.free.wait_for(lambda: way not in self.held)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: tuple[str, str]
    ) -> None:
        while data := await reader.read(READ):
            await asyncio.sleep(self.delays.get(way, 0.0))
            await self._passes(way)
            if (left := self.cuts.get(way)) is not None:
                if len(data) >= left:
                    del self.cuts[way]
                    writer.write(data[:left])
                    await writer.drain()
                    self._abort(writer)
                    raise ConnectionResetError
                self.cuts[way] = left - len(data)
            if rate := self.rates.get(way):
                for byte in data:
                    writer.write(bytes((byte,)))
                    await writer.drain()
                    await asyncio.sleep(1 / rate)
            else:
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    @staticmethod
    def _abort(writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    # Faults

    def hold(self, *ways: tuple[str, str]) -> None:
        """Let nothing pass in these directions; what was sent waits, and comes late once they are free."""
        self._set(lambda: self.held.update(ways))

    def let_go(self, *ways: tuple[str, str]) -> None:
        """Free these directions; all of them where none is named."""
        self._set(lambda: self.held.difference_update(ways or set(self.held)))

    def cut(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Cut some off from others, in both directions."""
        pairs = [(a, b) for a in some for b in others]
        self.hold(*pairs, *((b, a) for a, b in pairs))

    def reset(self, of: str = "", peer: str = "") -> None:
        """Reset what is open between these two; all where none is named."""

        def do() -> None:
            for pair, ends in self.open.items():
                if not of or set(pair) == {of, peer}:
                    for end in list(ends):
                        self._abort(end)

        self._set(do)

    def _set(self, change: Callable[[], None]) -> None:
        async def do() -> None:
            change()
            async with self.free:
                self.free.notify_all()

        self._do(do())
