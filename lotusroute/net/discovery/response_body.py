"""Reads the body of discovery's HTTP responses.

A body without a Content-Length ends with its connection. It is complete if it is a whole JSON document; the
connection may have broken off as well.
"""

import json
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IResponse

from lotusroute.net.errors import ResponseTooLongError, TruncatedResponseError

STATUS_OK = 200
# Longest body that is read: several times the list of the largest fleet.
MAX_BODY_BYTES = 8 * 1024 * 1024


def read_body(response: IResponse) -> "Deferred[bytes]":
    """Return the body once it is complete.

    Fails with TruncatedResponseError, ResponseTooLongError or whatever ended the connection. Cancelling the
    result closes the connection.
    """
    reader = _BodyReader(response.code)
    response.deliverBody(reader)  # type: ignore[call-arg, misc]  # declared without self
    return reader.result


class _BodyReader(Protocol):
    """Collects one body; `result` fires when the body ends."""

    transport: Any  # the interface that Twisted declares lacks `self` in its methods

    def __init__(self, status: int) -> None:
        self.result: Deferred[bytes] = Deferred(self._close)
        self._status = status
        self._received = bytearray()

    def _close(self, _: "Deferred[bytes] | None" = None) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self.result.called:
            return
        self._received += data
        if len(self._received) > MAX_BODY_BYTES:
            self.result.errback(ResponseTooLongError(MAX_BODY_BYTES))
            self._close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the body, which is the end of the connection if the body has no length."""
        if self.result.called:
            return
        if reason.check(ResponseDone) or (reason.check(PotentialDataLoss) and self._is_complete()):
            self.result.callback(bytes(self._received))
        elif reason.check(PotentialDataLoss):
            self.result.errback(TruncatedResponseError(len(self._received)))
        else:
            self.result.errback(reason)

    def _is_complete(self) -> bool:
        """Return whether a body without a length is whole; only the status of other responses is used."""
        if self._status != STATUS_OK:
            return True
        try:
            json.loads(self._received)
        except ValueError:
            return False
        return True
