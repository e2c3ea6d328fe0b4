"""The errors of capacity runs; their messages are meant to be shown to operators unchanged."""

import pathlib

from lotusroute.errors import LotusrouteError


class CapacityError(LotusrouteError):
    """Base class of the errors of capacity runs."""


class ConnectionRejectedError(CapacityError):
    """A balancer did not accept a stub client's connection."""

    def __init__(self, answer: bytes) -> None:
        super().__init__(f"rejected: expected an answer that starts with 'UP ', received {answer!r}")
        self.answer = answer


class NoLeaseHolderError(CapacityError):
    """No process acquired the lease within the timeout."""

    def __init__(self, lease: str, timeout_s: float) -> None:
        super().__init__(f"no process has acquired the lease '{lease}' within {timeout_s:g} s")
        self.lease = lease
        self.timeout_s = timeout_s


class NoUpdateSentError(CapacityError):
    """The lease holder sent no update during the measurement."""

    def __init__(self, lease_holder: str) -> None:
        super().__init__(f"{lease_holder} held the lease but sent no update during the measurement")
        self.lease_holder = lease_holder


class NoReportError(CapacityError):
    """A process of hollow subscribers did not write its report within the timeout."""

    def __init__(self, file: pathlib.Path, timeout_s: float) -> None:
        super().__init__(f"the hollow subscribers' report {file.name} was not written within {timeout_s:g} s")
        self.file = file
        self.timeout_s = timeout_s


class TooFewSizesError(CapacityError):
    """A series has too few different sizes to fit a line."""

    def __init__(self, series: str, points: int) -> None:
        super().__init__(f"{series}: all {points} points are at one size; measure two or more sizes")
        self.series = series
        self.points = points


class RunFileError(CapacityError):
    """A file does not contain a run written by `capacity measure --json`."""
