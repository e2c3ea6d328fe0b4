"""A stub of a server as a process on loopback.

    python -m lotusroute.capacity.server_stub PORT

It confirms each connection with a receipt, echoes each line, and sends BYE after the client's end of stream.
"""

import asyncio
import contextlib
import sys

from lotusroute.process_control.free_ports import LOOPBACK

BACKLOG = 1_024  # connections waiting to be accepted


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection until its client closes it."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n")
        writer.write(b"UP r1\r\n")
        while line := await reader.readline():
            writer.write(line)
        writer.write(b"BYE\r\n")
        await writer.drain()
    writer.close()


async def main(port: str) -> None:
    """Serve until killed."""
    listener = await asyncio.start_server(serve, LOOPBACK, int(port), backlog=BACKLOG)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
