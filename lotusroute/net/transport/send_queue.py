"""How much of what was written to a TCP connection its peer has not acknowledged yet, in bytes."""

import fcntl
import struct
import termios

_INT = struct.Struct("i")


def unacknowledged_bytes(descriptor: int) -> int:
    """Return how much of the socket's data the peer has not acknowledged; 0 where the system cannot say.

    An end of the connection that is not acknowledged counts as one byte. The peer acknowledges what its
    receive buffer has room for, so the number falls as it reads, but in steps: a peer that reads slowly
    opens its window only once a part of its buffer is free.
    """
    try:
        # Linux's SIOCOUTQ, which has the value of TIOCOUTQ.
        (queued,) = _INT.unpack(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size)))
    except OSError:
        return 0
    return int(queued)
