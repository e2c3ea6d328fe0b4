"""A child process whose log is read from its standard error while it runs."""

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

TIMEOUT_S = 20.0  # longest time for a log line to appear or for a process to exit
END_CHECK_INTERVAL_S = 0.5  # time between two checks that the process still runs, while waiting for a line


class LoggedProcess:
    """A process and the lines of its log; as a context manager, it kills the process on exit."""

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
        """The lines logged so far."""
        return self._lines.copy()

    def wait_for_line(self, text: str, start: int = 0, timeout: float = TIMEOUT_S) -> str:
        """Wait for a log line that contains a text, and return the first one at or after index `start`.

        Raises LogTimeoutError after `timeout`, and ProcessEndedError if the process exits first.
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
        """Return whether the process has not exited yet."""
        return self.process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def signal_and_wait(self, signal_number: signal.Signals, text: str) -> str:
        """Send a signal and return the first line logged after it that contains a text."""
        start = len(self._lines)
        self.send_signal(signal_number)
        return self.wait_for_line(text, start)

    def counters(self) -> dict[str, int]:
        """Return the counters of the process, which must have installed its handler of SIGUSR1."""
        return parse_counters(self.signal_and_wait(signal.SIGUSR1, COUNTERS_EVENT))

    def stop(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to the process if it runs, and wait until it has exited."""
        if self.is_running():
            self.send_signal(signal_number)
        self.process.wait(TIMEOUT_S)
