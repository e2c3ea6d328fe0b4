"""Holds requests and health checks from the balancer's start until its endpoint list is current.

The cached list may be outdated, but changes that discovery had before this process started count as
received: even the first flows must not be sent to servers that have drained. So requests are read at once,
but wait for discovery's first response or for `FIRST_RESPONSE_TIMEOUT_MS`. A request whose time is over
earlier is rejected then.

Times are milliseconds.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.base import DelayedCall

from lotusroute.net.downstream.events import RequestReceived
from lotusroute.net.event_loop import EventLoop, Handlers
from lotusroute.net.flows.request_admission import RequestAdmission

FIRST_RESPONSE_TIMEOUT_MS = 1_000.0  # how long requests wait for discovery's first response


class ServingStarted(NamedTuple):
    """Requests can be decided from now on."""


class StartupGate:
    """Passes requests on once it is open, in the order in which they arrived."""

    def __init__(self, loop: EventLoop, admission: RequestAdmission) -> None:
        self._loop = loop
        self._admission = admission
        self._is_open = False
        # The requests that wait, with the timer that queues each again when its time is over.
        self._requests: dict[RequestReceived, DelayedCall] = {}
        self._callbacks: list[Callable[[], None]] = []
        loop.call_later(FIRST_RESPONSE_TIMEOUT_MS, ServingStarted())

    def handlers(self) -> Handlers:
        """Return the handler of each type of event that the gate takes."""
        return {
            RequestReceived: self._request_received,
            ServingStarted: self._open,
        }

    def open(self) -> None:
        """Let requests pass once the events that are queued now are handled."""
        self._loop.enqueue(ServingStarted())

    def when_open(self, callback: Callable[[], None]) -> None:
        """Call `callback` at once, or as soon as the gate opens."""
        if self._is_open:
            callback()
        else:
            self._callbacks.append(callback)

    def _request_received(self, event: RequestReceived) -> None:
        if self._is_open:
            self._admission.request_received(event)
            return
        self._requests.pop(event, None)
        time_left = self._admission.deadline(event) - self._loop.clock()
        if time_left <= 0:
            self._admission.request_received(event)
        else:
            self._requests[event] = self._loop.call_later(time_left, event)

    def _open(self, _: ServingStarted) -> None:
        if self._is_open:
            return
        self._is_open = True
        for callback in self._callbacks:
            callback()
        self._callbacks.clear()
        for event, timer in self._requests.items():
            if timer.active():  # otherwise the event is in the queue
                timer.cancel()
                self._loop.enqueue(event)
        self._requests.clear()
