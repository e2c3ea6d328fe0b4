"""Ends TCP connections with a reset."""

import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s


def reset_on_close(sock: socket.socket) -> None:
    """Have the system send a reset when the socket is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
