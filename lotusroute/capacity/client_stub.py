"""A stub client that opens connections through a balancer and exchanges lines over them."""

import asyncio
import contextlib
import itertools

from lotusroute.capacity.errors import ConnectionRejectedError
from lotusroute.process_control.free_ports import LOOPBACK

MESSAGE = b"M 1 " + b"x" * 60 + b"\r\n"  # the line that all clients exchange

# Each connection has a unique id, because a balancer keeps the id of an ended flow reserved for 60 s.
_client_ids = itertools.count(1)


class StubClient:
    """One open connection to a balancer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port: int, key: int) -> "StubClient":
        """Open a connection and wait until a server has accepted it.

        Raises `ConnectionRejectedError` for any other answer.
        """
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(b"OPEN i%d k%d c=live,d=1800\r\n" % (next(_client_ids), key))
        answer = await reader.readline()
        if not answer.startswith(b"UP "):
            writer.close()
            raise ConnectionRejectedError(answer)
        return cls(reader, writer)

    async def exchange_line(self) -> None:
        """Send a line and wait for its echo."""
        self._writer.write(MESSAGE)
        await self._reader.readline()

    async def close(self) -> None:
        """Close the sending side, discard what the server still sends, then close the connection."""
        self._writer.write_eof()
        with contextlib.suppress(OSError):
            await self._reader.read()
        self._writer.close()
