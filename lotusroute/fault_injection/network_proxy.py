"""A TCP proxy between processes on loopback that blocks, delays, throttles and resets connections.

It listens on one port for each ordered pair of processes (dialer, peer) and forwards each connection to the
peer's own port. All I/O runs on an event loop in a thread of its own; the methods may be called from any
other thread. Memory is bounded by READ_SIZE_BYTES for each direction of a connection.
"""

import asyncio
import contextlib
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import NamedTuple

from lotusroute.process_control.free_ports import LOOPBACK
from lotusroute.process_control.tcp_reset import reset_on_close

READ_SIZE_BYTES = 16_384  # read at a time, and buffered while a link is blocked
CALL_TIMEOUT_S = 10.0  # for the event loop to carry out a call

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Link(NamedTuple):
    """One direction between two processes."""

    sender: str
    receiver: str

    def reversed(self) -> "Link":
        """Return the other direction."""
        return Link(self.receiver, self.sender)


class NetworkProxy:
    """Links between named processes.

    `ports` has the port at which each process listens; entries may be added after the proxy was made.
    `delays`, `rates` and `reset_after` may be changed at any time and apply from the next read on.
    """

    def __init__(self, names: Iterable[str], ports: dict[str, int]) -> None:
        self.names = list(names)
        self.ports = ports
        self.blocked: set[Link] = set()
        self.delays: dict[Link, float] = {}  # s before what was read is forwarded
        self.rates: dict[Link, float] = {}  # bytes a second
        self.reset_after: dict[Link, int] = {}  # bytes after which one connection is reset, once
        # The key of a connection is the link from its dialer to its peer.
        self._listen_ports: dict[Link, int] = {}
        self._open_writers: dict[Link, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        self._unblocked = asyncio.Condition()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._listen())

    def port(self, link: Link) -> int:
        """Return the port at which the sender of a link reaches its receiver."""
        return self._listen_ports[link]

    def close(self) -> None:
        """Reset all connections and end the event loop."""
        self.reset_all()
        self._call(self._shut_down())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
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
        links = [Link(name, other) for name in names for other in others]
        self.block(*links, *(link.reversed() for link in links))

    def reset(self, name: str, other: str) -> None:
        """Reset the open connections between two processes."""
        self._change(lambda: self._reset_connections({name, other}))

    def reset_all(self) -> None:
        """Reset all open connections."""
        self._change(self._reset_connections)

    # On the event loop

    def _call(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine on the event loop and wait for its end."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    def _change(self, change: Callable[[], None]) -> None:
        """Call a function on the event loop, and wake the connections that wait for a blocked link."""

        async def apply() -> None:
            change()
            async with self._unblocked:
                self._unblocked.notify_all()

        self._call(apply())

    def _reset_connections(self, processes: set[str] | None = None) -> None:
        """Reset the connections between two processes; all connections where none are given."""
        for link, writers in self._open_writers.items():
            if processes is None or processes == set(link):
                for writer in list(writers):
                    _reset(writer)

    async def _listen(self) -> None:
        for dialer in self.names:
            for peer in self.names:
                if dialer != peer:
                    link = Link(dialer, peer)
                    server = await asyncio.start_server(self._connection_handler(link), LOOPBACK, 0)
                    self._servers.append(server)
                    self._listen_ports[link] = server.sockets[0].getsockname()[1]

    async def _shut_down(self) -> None:
        for server in self._servers:
            server.close()
        # A task that waits for a blocked link would never end by itself.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _connection_handler(self, link: Link) -> ConnectionHandler:
        """Return the handler of connections from the sender of a link to its receiver."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            open_writers = self._open_writers.setdefault(link, set())
            peer_writer = None
            try:
                await self._wait_unblocked(link)
                port = self.ports[link.receiver]
                peer_reader, peer_writer = await asyncio.open_connection(
                    LOOPBACK, port, limit=READ_SIZE_BYTES
                )
                open_writers.update((writer, peer_writer))
                await asyncio.gather(
                    self._forward(reader, peer_writer, link),
                    self._forward(peer_reader, writer, link.reversed()),
                )
            except (OSError, asyncio.CancelledError):
                pass  # only this connection ends
            finally:
                for end in (writer, peer_writer):
                    if end is not None:
                        open_writers.discard(end)
                        end.close()

        return handle

    async def _wait_unblocked(self, link: Link) -> None:
        async with self._unblocked:
            await self._unblocked.wait_for(lambda: link not in self.blocked)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        """Forward one direction of a connection up to its end."""
        while data := await reader.read(READ_SIZE_BYTES):
            await asyncio.sleep(self.delays.get(link, 0.0))
            await self._wait_unblocked(link)
            await self._reset_if_due(writer, data, link)
            if rate := self.rates.get(link):
                await _write_throttled(writer, data, rate)
            else:
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):  # the connection may have ended meanwhile
            writer.write_eof()

    async def _reset_if_due(self, writer: asyncio.StreamWriter, data: bytes, link: Link) -> None:
        """Count `data` towards `reset_after`; once that is reached, send what is due and reset."""
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
    """Write bytes one by one at a rate in bytes a second."""
    for byte in data:
        writer.write(bytes((byte,)))
        await writer.drain()
        await asyncio.sleep(1 / rate)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        reset_on_close(sock)
    writer.transport.abort()
