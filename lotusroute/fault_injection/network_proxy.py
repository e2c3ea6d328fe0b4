"""A TCP proxy between processes on loopback that blocks, delays, throttles and resets connections.

It listens on a separate port for each ordered pair of processes (dialer, peer) and forwards connections to
the peer's own port. All I/O runs on an event loop in a dedicated thread; methods may be called from any other
thread. Memory is bounded: each direction of a connection holds one read of at most READ_SIZE_BYTES, besides
the limited buffers of its streams.
"""

import asyncio
import contextlib
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import NamedTuple

from lotusroute.process_control.free_ports import LOOPBACK
from lotusroute.process_control.tcp_reset import reset_on_close

# Maximum size of a read. While a link is blocked, each of its connections holds one read, besides the limited
# buffers of the stream; TCP flow control makes the sender keep the rest.
READ_SIZE_BYTES = 16_384
CALL_TIMEOUT_S = 10.0  # longest time for a call to complete on the event loop

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Link(NamedTuple):
    """One direction of the traffic between two processes."""

    sender: str
    receiver: str

    def reversed(self) -> "Link":
        """Return the link in the opposite direction."""
        return Link(self.receiver, self.sender)


class NetworkProxy:
    """Proxies the links between named processes and injects faults into them.

    `ports` maps each process to the port that it listens on; entries may be added later. `delays`, `rates`
    and `reset_after` may be changed at any time and take effect at the next read.
    """

    def __init__(self, names: Iterable[str], ports: dict[str, int]) -> None:
        self.names = list(names)
        self.ports = ports
        self.blocked: set[Link] = set()
        self.delays: dict[Link, float] = {}  # s between reading and forwarding data
        self.rates: dict[Link, float] = {}  # maximum rates in bytes per second
        # Number of bytes after which one connection of a link is reset; the entry is then removed.
        self.reset_after: dict[Link, int] = {}
        # The keys of these two are links from the dialer of a connection to its peer.
        self._listen_ports: dict[Link, int] = {}
        self._open_writers: dict[Link, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        self._unblocked = asyncio.Condition()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run_on_loop(self._listen())

    def port(self, link: Link) -> int:
        """Return the proxy's port through which the sender of a link connects to its receiver."""
        return self._listen_ports[link]

    def close(self) -> None:
        """Reset all connections and stop the event loop."""
        self.reset_all()
        self._run_on_loop(self._shut_down())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()

    # Faults

    def block(self, *links: Link) -> None:
        """Stop forwarding on these links; data sent meanwhile is forwarded once they are unblocked."""
        self._change_on_loop(lambda: self.blocked.update(links))

    def unblock(self, *links: Link) -> None:
        """Unblock these links, or all links if none are given."""
        self._change_on_loop(lambda: self.blocked.difference_update(links or set(self.blocked)))

    def partition(self, names: Iterable[str], others: Iterable[str]) -> None:
        """Block all links between two sets of processes, in both directions."""
        links = [Link(name, other) for name in names for other in others]
        self.block(*links, *(link.reversed() for link in links))

    def reset(self, name: str, other: str) -> None:
        """Reset the open connections between two processes."""
        self._change_on_loop(lambda: self._reset_connections({name, other}))

    def reset_all(self) -> None:
        """Reset all open connections."""
        self._change_on_loop(self._reset_connections)

    # Calls to the event loop, and functions that run on it

    def _run_on_loop(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine on the event loop and wait until it has finished."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    def _change_on_loop(self, change: Callable[[], None]) -> None:
        """Call a function on the event loop, then wake all connections that wait for a blocked link."""

        async def apply() -> None:
            change()
            async with self._unblocked:
                self._unblocked.notify_all()

        self._run_on_loop(apply())

    def _reset_connections(self, processes: set[str] | None = None) -> None:
        """Reset the connections between two processes, or all connections if none are given."""
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
        # Tasks that wait for a blocked link would never finish by themselves.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _connection_handler(self, link: Link) -> ConnectionHandler:
        """Return the handler of the connections that the sender of a link opens to its receiver."""

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
                pass  # ends only this connection
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
        """Forward one direction of a connection until end of file."""
        while data := await reader.read(READ_SIZE_BYTES):
            await asyncio.sleep(self.delays.get(link, 0.0))
            await self._wait_unblocked(link)
            await self._reset_if_due(writer, data, link)
            if rate := self.rates.get(link):
                await _write_throttled(writer, data, rate)
            else:
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):  # the connection may be closed by now
            writer.write_eof()

    async def _reset_if_due(self, writer: asyncio.StreamWriter, data: bytes, link: Link) -> None:
        """Count `data` towards `reset_after`; at the limit, forward the bytes up to it and reset."""
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
    """Write data byte by byte, at a rate in bytes per second."""
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
