"""The web resource of a discovery stub: polls wait in a queue and are answered at a limited rate.

Times are in seconds on the reactor's clock.
"""

import json
from collections import Counter, deque
from dataclasses import dataclass

from twisted.web import resource, server

from lotusroute.capacity.stubs import EndpointDocument
from lotusroute.net.reactor import reactor

QUEUE_TIMEOUT_S = 2.0  # a poll that has waited longer in the queue is rejected when its turn comes
MAX_QUEUE_LENGTH = 64  # a poll that arrives while this many polls are queued is rejected at once
UNLIMITED_ANSWERS_PER_S = 1e6
STATUS_REJECTED = 503


@dataclass(slots=True, eq=False)
class PendingPoll:
    """A poll that has not been answered yet."""

    request: server.Request
    received_at: float
    connected: bool = True  # whether the client still has the connection open

    def mark_disconnected(self, _reason: object) -> None:
        """Record that the client closed the connection."""
        self.connected = False


class DiscoveryResource(resource.Resource):
    """The resource that clients poll."""

    isLeaf = True

    def __init__(
        self,
        hosts: list[EndpointDocument],
        answers_per_s: float = UNLIMITED_ANSWERS_PER_S,
        available_from: float = 0.0,
    ) -> None:
        """`hosts` is the endpoint list; polls that arrive before `available_from` are never answered."""
        super().__init__()
        self.hosts = hosts
        self.sequence = 1  # version of the endpoint list
        self.available_from = available_from
        # Arrival times of the polls since `available_from`, bounded in number only by the duration of a run.
        self.poll_times: list[float] = []
        self.bytes_sent = 0  # total size of the bodies of all answers
        self.counters: Counter[str] = Counter()
        self._answer_interval = 1 / answers_per_s
        self._next_answer_at = 0.0
        self._queue: deque[PendingPoll] = deque()
        # Long polls that are held until the list changes or their hold time ends.
        self._held_polls: list[PendingPoll] = []
        # Polls that arrived before `available_from`, until their clients close the connection.
        self._unanswered: set[server.Request] = set()

    def change(self, hosts: list[EndpointDocument]) -> None:
        """Replace or add these servers, and answer all held long polls with them."""
        self.sequence += 1
        by_name = {str(host["host"]): host for host in [*self.hosts, *hosts]}
        self.hosts = list(by_name.values())
        held_polls = self._held_polls
        self._held_polls = []
        for poll in held_polls:
            self._send_changes(poll, hosts)

    def render_GET(self, request: server.Request) -> object:
        """Queue a poll, or reject it if the queue is full."""
        now = reactor.seconds()
        if now < self.available_from:
            self._unanswered.add(request)
            request.notifyFinish().addErrback(lambda _: self._unanswered.discard(request))
            return server.NOT_DONE_YET
        self.poll_times.append(now)
        poll = PendingPoll(request, now)
        request.notifyFinish().addErrback(poll.mark_disconnected)
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            self._reject(poll)
            return server.NOT_DONE_YET
        self._queue.append(poll)
        if len(self._queue) == 1:
            self._schedule_next()
        return server.NOT_DONE_YET

    def _schedule_next(self) -> None:
        reactor.callLater(max(0.0, self._next_answer_at - reactor.seconds()), self._process_next)

    def _process_next(self) -> None:
        """Answer the first queued poll that can still be answered; schedule the next one."""
        while self._queue:
            poll = self._queue.popleft()
            if not poll.connected:
                self.counters["abandoned"] += 1
            elif reactor.seconds() - poll.received_at > QUEUE_TIMEOUT_S:
                self._reject(poll)
            else:
                self._serve(poll)
                self._next_answer_at = reactor.seconds() + self._answer_interval
                break
        if self._queue:
            self._schedule_next()

    def _reject(self, poll: PendingPoll) -> None:
        self.counters["rejected"] += 1
        poll.request.setResponseCode(STATUS_REJECTED)
        poll.request.finish()

    def _serve(self, poll: PendingPoll) -> None:
        """Answer a poll with what its client lacks; hold a long poll if it lacks nothing."""
        hold_s = float(poll.request.args.get(b"hold_ms", [b"0"])[0]) / 1000
        known_sequence = int(poll.request.args.get(b"from", [b"-1"])[0])
        self.counters["watches" if hold_s else "answers"] += 1
        if 0 <= known_sequence == self.sequence - 1:
            # The stub does not record which hosts the last change affected, so it sends all as changes.
            self._send_changes(poll, self.hosts)
        elif known_sequence < self.sequence:
            self._send(poll, self.hosts, complete=True)
        elif hold_s:
            self._held_polls.append(poll)
            reactor.callLater(hold_s, self._end_hold, poll)
        else:
            self._send_changes(poll, [])

    def _end_hold(self, poll: PendingPoll) -> None:
        if poll in self._held_polls:
            self._held_polls.remove(poll)
            self._send_changes(poll, [])

    def _send_changes(self, poll: PendingPoll, changed: list[EndpointDocument]) -> None:
        self._send(poll, changed, complete=False)

    def _send(self, poll: PendingPoll, hosts: list[EndpointDocument], complete: bool) -> None:
        if not poll.connected:
            return
        body = json.dumps({"seq": self.sequence, "whole": complete, "hosts": hosts}).encode()
        self.bytes_sent += len(body)
        poll.request.write(body)
        poll.request.finish()
