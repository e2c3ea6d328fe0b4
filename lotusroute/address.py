"""The address of a TCP socket, as HOST:PORT in files and messages."""

from typing import NamedTuple

from lotusroute.errors import InvalidValueError

MAX_PORT = 65_535


class Address(NamedTuple):
    """Host and port of a TCP socket."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format as HOST:PORT."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse HOST:PORT from a file or message; raises `InvalidValueError` if it is malformed.

    >>> parse_address("10.0.0.4:9000")
    Address(host='10.0.0.4', port=9000)
    """
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise InvalidValueError(f"'{text}' is not host:port")
    return Address(host, int(port))
