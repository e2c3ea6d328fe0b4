"""A TCP proxy between processes on loopback that blocks, delays, throttles and resets connections.

It listens on one port for each ordered pair of processes (dialer, peer) and forwards each connection to the
peer's own port. All I/O runs on an event loop in a thread of its own; the methods may be called from any
other thread. Memory is bounded by READ_SIZE bytes for each direction of a connection.
"""

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

HOST = "127.0.0.1"
READ_SIZE = 16_384  # bytes read at a time and buffered while a link is blocked: TCP holds back the rest
THREAD_TIMEOUT = 10.0  # s for the event loop to carry out a call
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s

Link = tuple[str, str]  # one direction between two processes: (sender, receiver)
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class NetworkProxy:
    """Links between named processes.

    `ports` has the port at which each process listens, and may be filled in later than the proxy is made.
    `delays` and `rates` may be changed at any time and apply from the next read on.
    """

    def __init__(self, names: Iterable[str], ports: dict[str, int]) -> None:
        self.names = list(names)
        self.ports = ports
        self.blocked: set[Link] = set()
        self.delays: dict[Link, float] = {}  # s, before each read is forwarded
        self.rates: dict[Link, float] = {}  # bytes a second
        self.reset_after: dict[Link, int] = {}  # bytes, after which one connection is reset, once
        self._listen_ports: dict[tuple[str, str], int] = {}  # by (dialer, peer)
        self._writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}  # open ones, by (dialer, peer)
        self._servers: list[asyncio.Server] = []
        self._unblocked = asyncio.Condition()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._listen())

    def address(self, peer: str, dialer: str) -> int:
        """Return the port at which `dialer` reaches `peer`."""
        return self._listen_ports[dialer, peer]

    def close(self) -> None:
        """Reset all connections and end the event loop."""
        self.reset()
        self._call(self._shut_down())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(THREAD_TIMEOUT)
        self._loop.close()

    # Faults

    def block(self, *links: Link) -> None:
        """Forward nothing on these links; what was sent is forwarded once they are unblocked."""
        self._change(lambda: self.blocked.update(links))

    def unblock(self, *links: Link) -> None:
        """Unblock these links; all of them where none is given."""
        self._change(lambda: self.blocked.difference_update(links or set(self.blocked)))

    def partition(self, names: Iterable[str], others: Iterable[str]) -> None:
        """Block all links between two sets of processes, in both directions."""
        links = [(name, other) for name in names for other in others]
        self.block(*links, *((other, name) for name, other in links))

    def reset(self, name: str = "", other: str = "") -> None:
        """Reset the open connections between two processes; all connections where none is given."""

        def reset_connections() -> None:
            for pair, writers in self._writers.items():
                if not name or set(pair) == {name, other}:
                    for writer in list(writers):
                        _reset(writer)

        self._change(reset_connections)

    # The event loop's side

    def _call(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(THREAD_TIMEOUT)

    def _change(self, change: Callable[[], None]) -> None:
        async def apply() -> None:
            change()
            async with self._unblocked:
                self._unblocked.notify_all()

        self._call(apply())

    async def _listen(self) -> None:
        for dialer in self.names:
            for peer in self.names:
                if dialer != peer:
                    server = await asyncio.start_server(self._connection_handler(dialer, peer), HOST, 0)
                    self._servers.append(server)
                    self._listen_ports[dialer, peer] = server.sockets[0].getsockname()[1]

    async def _shut_down(self) -> None:
        for server in self._servers:
            server.close()
        # Tasks that wait for a blocked link would wait for ever.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _connection_handler(self, dialer: str, peer: str) -> ConnectionHandler:
        async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers = self._writers.setdefault((dialer, peer), set())
            peer_writer = None
            try:
                await self._wait_unblocked((dialer, peer))
                port = self.ports[peer]
                peer_reader, peer_writer = await asyncio.open_connection(HOST, port, limit=READ_SIZE)
                writers.update((writer, peer_writer))
                await asyncio.gather(
                    self._forward(reader, peer_writer, (dialer, peer)),
                    self._forward(peer_reader, writer, (peer, dialer)),
                )
            except (OSError, asyncio.CancelledError):
                pass  # the end of this one connection
            finally:
                for end in (writer, peer_writer):
                    if end is not None:
                        writers.discard(end)
                        end.close()

        return forward

    async def _wait_unblocked(self, link: Link) -> None:
        async with self._unblocked:
            await self._unblocked.wait_for(lambda: link not in self.blocked)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        """Forward one direction of a connection up to its end."""
        while data := await reader.read(READ_SIZE):
            await asyncio.sleep(self.delays.get(link, 0.0))
            await self._wait_unblocked(link)
            await self._reset_if_due(writer, data, link)
            if rate := self.rates.get(link):
                await _write_throttled(writer, data, rate)
            else:
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def _reset_if_due(self, writer: asyncio.StreamWriter, data: bytes, link: Link) -> None:
        """Count `data` towards `reset_after`; send the rest that is due and reset where it is reached."""
        remaining = self.reset_after.get(link)
        if remaining is None:
            return
        if len(data) < remaining:
            self.reset_after[link] = remaining - len(data)
            return
        del self.reset_after[link]
        writer.write(data[:remaining])
        await writer.drain()
        _reset(writer)
        raise ConnectionResetError


async def _write_throttled(writer: asyncio.StreamWriter, data: bytes, rate: float) -> None:
    for byte in data:
        writer.write(bytes((byte,)))
        await writer.drain()
        await asyncio.sleep(1 / rate)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close with a TCP RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
