"""A process whose log, its standard error, is followed while it runs."""

import dataclasses
import signal
import subprocess
import time
from collections.abc import Sequence
from typing import Self

from lotusroute.process_control.errors import LogTimeoutError, ProcessEndedError
from lotusroute.process_control.log_fields import COUNTERS_EVENT, parse_counters
from lotusroute.process_control.log_follower import WaitableList, follow_lines
from lotusroute.process_control.process_start import ProcessOptions, start_process

TIMEOUT_S = 20.0  # for a log line or the end of a process
END_CHECK_INTERVAL_S = 0.5  # at which a wait for a log line checks whether the process has ended


class LoggedProcess:
    """A process and the lines of its log. As a context manager it kills the process at the end."""

    def __init__(self, command: Sequence[str], options: ProcessOptions | None = None) -> None:
        options = dataclasses.replace(options or ProcessOptions(), stderr=subprocess.PIPE)
        self.process = start_process(command, options)
        self._lines: WaitableList[str] = WaitableList()
        assert self.process.stderr is not None
        follow_lines(self.process.stderr, self._lines.append)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def lines(self) -> list[str]:
        """All lines logged up to now."""
        return self._lines.copy()

    def wait_for_line(self, text: str, start: int = 0, timeout: float = TIMEOUT_S) -> str:
        """Return the first log line from index `start` on that contains a text.

        Raises LogTimeoutError, or ProcessEndedError where the process ends without such a line.
        """
        deadline = time.monotonic() + timeout
        while True:
            ended = not self.is_running()
            remaining = deadline - time.monotonic()
            line = self._lines.wait_for(
                lambda lines: next((line for line in lines[start:] if text in line), None),
                min(remaining, END_CHECK_INTERVAL_S),
            )
            if line is not None:
                return line
            if ended:
                raise ProcessEndedError(f"'{text}'", self.process.returncode, self.lines)
            if remaining <= 0:
                raise LogTimeoutError(f"'{text}'", timeout, self.lines)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    def signal_and_wait(self, number: signal.Signals, text: str) -> str:
        """Send a signal and return the first line logged after it that contains a text."""
        start = len(self._lines)
        self.send_signal(number)
        return self.wait_for_line(text, start)

    def counters(self) -> dict[str, int]:
        """Return all counters of the process, which has to handle SIGUSR1 already."""
        return parse_counters(self.signal_and_wait(signal.SIGUSR1, COUNTERS_EVENT))

    def stop(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End the process with a signal, if it runs, and wait for its end."""
        if self.is_running():
            self.send_signal(number)
        self.process.wait(TIMEOUT_S)
