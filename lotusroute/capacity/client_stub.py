"""A stub of a client that opens a connection through a balancer and exchanges lines over it."""

import asyncio
import contextlib
import itertools

MESSAGE = b"M 1 " + b"x" * 60 + b"\r\n"

_client_ids = itertools.count(1)  # a balancer remembers an id for a minute: each connection has its own


class StubClient:
    """An open connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port: int, key: int) -> "StubClient":
        """Open a connection and wait until a server accepts it; raises OSError where it is rejected."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"OPEN i%d k%d c=live,d=1800\r\n" % (next(_client_ids), key))
        answer = await reader.readline()
        if not answer.startswith(b"UP "):
            writer.close()
            raise OSError(f"rejected: {answer!r}")
        return cls(reader, writer)

    async def exchange_line(self) -> None:
        """Send a line and read its echo."""
        self._writer.write(MESSAGE)
        await self._reader.readline()

    async def close(self) -> None:
        """End the connection and read what is left of it."""
        self._writer.write_eof()
        with contextlib.suppress(OSError):
            await self._reader.read()
        self._writer.close()
