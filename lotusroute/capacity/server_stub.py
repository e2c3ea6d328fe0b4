"""A stub server that runs as a process on loopback.

    python -m lotusroute.capacity.server_stub PORT

It accepts each connection with a receipt (`UP r1`), echoes every line, and sends BYE once the client has
closed its sending side.
"""

import asyncio
import contextlib
import sys

from lotusroute.process_control.free_ports import LOOPBACK

BACKLOG = 1_024  # connections that may wait to be accepted


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection until its client closes its sending side."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n")
        writer.write(b"UP r1\r\n")
        while line := await reader.readline():
            writer.write(line)
        writer.write(b"BYE\r\n")
        await writer.drain()
    writer.close()


async def main(port: str) -> None:
    """Serve until the process is killed."""
    listener = await asyncio.start_server(serve, LOOPBACK, int(port), backlog=BACKLOG)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
