"""Tracks which lines of an established client its server has still to answer, and since when.

The module is pure: its callers read the clock and the sockets. Times are milliseconds.
"""

from collections import deque

# Largest number of a client's unanswered lines whose replies are timed, to bound memory: the lines of about
# two minutes from a client that sends one every 2 s. Lines beyond it are only counted.
MAX_TIMED_LINES = 64


class ReplyTracker:
    """The unanswered lines of one established connection.

    Replies come in the order of the lines. Time in which the server is not read does not count for any of the
    times below: its replies lie unread in this machine's socket.

    >>> tracker = ReplyTracker()
    >>> tracker.start(now=0.0)
    >>> tracker.request_sent(now=100.0)
    >>> tracker.server_silence(now=250.0)
    150.0
    >>> tracker.reply_received(now=300.0)
    200.0
    >>> tracker.server_silence(now=5_000.0)
    0.0
    """

    def __init__(self) -> None:
        self.unanswered_lines = 0  # number of the client's lines that the server has not answered
        self.reading_paused = False  # whether the server is not read until the client has taken data
        # When the oldest unanswered lines were sent, the oldest first.
        self._sent_times: deque[float] = deque()
        self._last_line_time = 0.0  # when the server's last line was read; 0 if none was read
        # When the server was last read again after a pause; 0 before the first.
        self._reading_resumed_at = 0.0
        self._last_request_time = 0.0  # when the client's last line was sent; 0 if none was

    def start(self, now: float) -> None:
        """Record that the flow is established."""
        self._last_line_time = now

    def request_sent(self, now: float) -> None:
        """Record a line of the client."""
        self._last_request_time = now
        # Replies come in the order of the lines, so no line after one without a time can be timed.
        if len(self._sent_times) == self.unanswered_lines < MAX_TIMED_LINES:
            self._sent_times.append(now)
        self.unanswered_lines += 1

    def line_received(self, now: float) -> None:
        """Record a line of the server that answers none of the client's lines."""
        self._last_line_time = now

    def reply_received(self, now: float) -> float | None:
        """Record a line of the server; return how long it took to answer the client's oldest line, if known.

        Of a line that was sent before reading was resumed this is not known: the reply may have arrived long
        before it was read.
        """
        self._last_line_time = now
        if not self.unanswered_lines:
            return None
        self.unanswered_lines -= 1
        if not self._sent_times:
            return None
        sent_time = self._sent_times.popleft()
        return now - sent_time if sent_time >= self._reading_resumed_at else None

    def discard_replies(self, count: int) -> None:
        """Record replies that are read but neither timed nor forwarded."""
        answered_lines = min(count, self.unanswered_lines)
        self.unanswered_lines -= answered_lines
        for _ in range(min(answered_lines, len(self._sent_times))):
            self._sent_times.popleft()

    def pause_reading(self) -> None:
        """Record that the server is not read from now on."""
        self.reading_paused = True

    def resume_reading(self, now: float) -> None:
        """Record that the server is read again; its replies are awaited from now on."""
        self.reading_paused = False
        self._reading_resumed_at = now

    def oldest_pending_time(self, now: float) -> float:
        """Return how long the client's oldest unanswered line has waited while the server was read.

        It is 0 if there is none, if it is not timed, and while the client has to take data first.
        """
        if not self._sent_times or self.reading_paused:
            return 0.0
        return now - max(self._sent_times[0], self._reading_resumed_at)

    def server_silence(self, now: float) -> float:
        """Return how long the server has sent nothing while it owes a reply and was read, or 0."""
        if not self.unanswered_lines or self.reading_paused:
            return 0.0
        # A line that is not timed was sent before an earlier one was answered.
        oldest_sent_time = self._sent_times[0] if self._sent_times else 0.0
        return now - max(oldest_sent_time, self._last_line_time, self._reading_resumed_at)

    def client_idle_time(self, now: float) -> float:
        """Return how long the client has neither sent a line nor been sent one by its server.

        One that does not take what it is sent is stalled, which has a limit of its own. The time is 0 for a
        client that has never sent a line: it only receives, and would be migrated at each quiet minute.
        """
        if not self._last_request_time:
            return 0.0
        return now - max(self._last_request_time, self._last_line_time)
