"""The first line of a client: `OPEN <id> <key> <name>=<value>,...`.

Parses it into an `OpenRequest`, and rewrites it for a server with the remaining time as the timeout. A line
that violates the protocol raises `ProtocolError`; it must not reach a server. Times are milliseconds.
"""

import re
from typing import NamedTuple

from lotusroute.errors import ProtocolError

OPEN_LINE = re.compile(rb"OPEN ([0-9A-Za-z][0-9A-Za-z_.:-]{0,63}) ([!-~]{1,256}) ([!-~]+)\r\n")
PARAMETER = re.compile(rb"([A-Za-z][0-9A-Za-z_]{0,31})=([!-+\--~]*)")
# Seven digits of milliseconds are below three hours. Connections that were open before the balancer started
# send 4294967.
TIMEOUT_VALUE = re.compile(rb"[0-9]{1,7}(\.[0-9]{1,9})?")
NO_KEY = b"-"

SERVICE_TYPE = b"c"
TIMEOUT = b"d"
TENANT = b"t"
GROUP = b"g"
RECONNECTING = b"r"
RECONNECTING_ALIAS = b"again"
EXISTING_SERVER = b"at"
TRUE = "1"


class OpenRequest(NamedTuple):
    """A client's request for a flow, as parsed from its first line."""

    id: str
    service_type: str
    tenant: str | None
    group: str | None
    key: str | None
    timeout: float  # the time within which the client has to be answered
    reconnecting: bool
    existing_server: str | None  # the server that the client was connected to before this balancer started
    line_before_timeout: bytes  # the line up to the value of the timeout
    line_after_timeout: bytes  # the line behind the value of the timeout

    def rewritten(self, timeout: float) -> bytes:
        """Return the line to send to a server that has `timeout` to answer."""
        return b"%b%d%b" % (self.line_before_timeout, max(1, int(timeout)), self.line_after_timeout)


def parse_open_request(line: bytes) -> OpenRequest:
    r"""Parse a client's first line; the request keeps it, to rewrite it for each attempt.

    >>> parse_open_request(b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f\r\n").rewritten(1500.0)
    b'OPEN 9b1f 7f3a c=chat,t=acme,d=1500,g=5c0f\r\n'
    """
    match = OPEN_LINE.fullmatch(line)
    if match is None:
        raise ProtocolError(f"expected OPEN, an id, a key and a list of parameters, received {line!r}")
    parameters, timeout_start, timeout_end = _parse_parameters(match[3], match.start(3))
    timeout = float(parameters.get(TIMEOUT, 0))
    if timeout <= 0 or not parameters.get(SERVICE_TYPE):
        raise ProtocolError(
            "expected a non-empty service type (c) and a timeout (d) above 0, "
            f"received c={parameters.get(SERVICE_TYPE)!r} and d={parameters.get(TIMEOUT)!r}"
        )
    return OpenRequest(
        id=match[1].decode(),
        service_type=parameters[SERVICE_TYPE],
        tenant=parameters.get(TENANT),
        group=parameters.get(GROUP),
        key=None if match[2] == NO_KEY else match[2].decode(),
        timeout=timeout,
        reconnecting=TRUE in (parameters.get(RECONNECTING), parameters.get(RECONNECTING_ALIAS)),
        existing_server=parameters.get(EXISTING_SERVER),
        line_before_timeout=line[:timeout_start],
        line_after_timeout=line[timeout_end:],
    )


class _Parameters(NamedTuple):
    by_name: dict[bytes, str]
    timeout_start: int  # position in the line at which the value of the timeout starts
    timeout_end: int  # position in the line just behind the value of the timeout


def _parse_parameters(text: bytes, start: int) -> _Parameters:
    """Parse `text`, the list of parameters, which begins at position `start` of the line."""
    parameters: dict[bytes, str] = {}
    timeout_start = timeout_end = 0
    for part in text.split(b","):
        match = PARAMETER.fullmatch(part)
        if match is None or match[1] in parameters:
            raise ProtocolError(
                f"expected <name>=<value> with a name that is not repeated, received {part!r}"
            )
        name, value = match.groups()
        parameters[name] = value.decode()
        if name == TIMEOUT:
            if not TIMEOUT_VALUE.fullmatch(value):
                raise ProtocolError(
                    "expected a timeout (d) in milliseconds of at most 7 digits and 9 decimals, "
                    f"received {value!r}"
                )
            timeout_start = start + match.start(2)
            timeout_end = start + len(part)
        start += len(part) + 1
    return _Parameters(parameters, timeout_start, timeout_end)
