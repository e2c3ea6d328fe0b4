"""Closes TCP connections with a reset instead of an orderly shutdown."""

import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s


def reset_on_close(sock: socket.socket) -> None:
    """Make closing the socket send a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
