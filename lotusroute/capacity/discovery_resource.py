"""A stub of discovery as a Twisted web resource: a queue of polls that it answers at a limited rate."""

import json
from collections import Counter, deque
from dataclasses import dataclass

from twisted.web import resource, server

from lotusroute.net.reactor import reactor

MAX_QUEUE_SECONDS = 2.0  # that a poll waits in the queue; after that it is rejected
MAX_QUEUE_LENGTH = 64  # polls in the queue; one more is rejected at once


@dataclass(slots=True, eq=False)
class PendingPoll:
    """A poll that has no answer yet."""

    request: server.Request
    received_at: float  # s of the reactor's clock
    connected: bool = True  # the client still waits for the answer

    def mark_disconnected(self, _reason: object) -> None:
        """Note that the client closed the connection."""
        self.connected = False


class DiscoveryResource(resource.Resource):
    """Answers one poll after the other, `answers` a second, and none before `available_from`."""

    isLeaf = True

    def __init__(self, hosts: list[dict], answers: float = 1e6, available_from: float = 0.0) -> None:
        super().__init__()
        self.hosts = hosts
        self.sequence = 1  # version of the list
        self.available_from = available_from  # s of the reactor's clock
        self.poll_times: list[float] = []  # when each came while discovery was up; bounded by a run's length
        self.bytes_sent = 0  # of answers
        self.counters: Counter[str] = Counter()
        self._answer_interval = 1 / answers  # s
        self._next_answer_at = 0.0
        self._queue: deque[PendingPoll] = deque()
        self._watches: list[PendingPoll] = []  # answered by a change or when their hold time is over
        self._unanswered: set[server.Request] = (
            set()
        )  # came before `available_from`; leave as clients give up

    def change(self, hosts: list[dict]) -> None:
        """Replace or add these servers and answer all watches with them."""
        self.sequence += 1
        by_name = {host["host"]: host for host in self.hosts}
        by_name.update({host["host"]: host for host in hosts})
        self.hosts = list(by_name.values())
        watches = self._watches
        self._watches = []
        for poll in watches:
            self._answer(poll, hosts)

    def render_GET(self, request: server.Request) -> object:
        """Take a poll."""
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
        """Serve the first poll of the queue that can be served."""
        while self._queue:
            poll = self._queue.popleft()
            if not poll.connected:
                self.counters["given_up"] += 1
            elif reactor.seconds() - poll.received_at > MAX_QUEUE_SECONDS:
                self._reject(poll)
            else:
                self._serve(poll)
                self._next_answer_at = reactor.seconds() + self._answer_interval
                break
        if self._queue:
            self._schedule_next()

    def _reject(self, poll: PendingPoll) -> None:
        self.counters["refused"] += 1
        poll.request.setResponseCode(503)
        poll.request.finish()

    def _serve(self, poll: PendingPoll) -> None:
        hold_seconds = float(poll.request.args.get(b"hold_ms", [b"0"])[0]) / 1000
        known_sequence = int(poll.request.args.get(b"from", [b"-1"])[0])
        self.counters["watches" if hold_seconds else "answers"] += 1
        if 0 <= known_sequence == self.sequence - 1:
            self._answer(poll, self.hosts)
        elif known_sequence < self.sequence:
            self._answer_completely(poll)
        elif hold_seconds:
            self._watches.append(poll)
            reactor.callLater(hold_seconds, self._end_watch, poll)
        else:
            self._answer(poll, [])

    def _end_watch(self, poll: PendingPoll) -> None:
        if poll in self._watches:
            self._watches.remove(poll)
            self._answer(poll, [])

    def _answer_completely(self, poll: PendingPoll) -> None:
        self._write(poll, {"seq": self.sequence, "whole": True, "hosts": self.hosts})

    def _answer(self, poll: PendingPoll, changed: list[dict]) -> None:
        self._write(poll, {"seq": self.sequence, "whole": False, "hosts": changed})

    def _write(self, poll: PendingPoll, document: dict) -> None:
        if not poll.connected:
            return
        body = json.dumps(document).encode()
        self.bytes_sent += len(body)
        poll.request.write(body)
        poll.request.finish()
