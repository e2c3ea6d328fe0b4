"""A stand-in server as a process: `python -m lotusroute.capacity.server_stub PORT`.

Owns its start. It must never listen anywhere but on loopback.
"""

import asyncio
import sys

from lotusroute.capacity.stubs import serve


async def main(port: str) -> None:
    """Serve until killed."""
    serving = await asyncio.start_server(serve, "127.0.0.1", int(port), backlog=1_024)
    await serving.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
