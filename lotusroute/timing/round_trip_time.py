"""The smoothed time of a peer's answers, and the timeout that follows from it (RFC 6298).

Times are seconds.
"""

SMOOTHING = 1 / 8  # weight of a new measurement in the smoothed time
VARIATION_SMOOTHING = 1 / 4  # weight of a new deviation in the variation
VARIATION_FACTOR = 4  # how many variations above the smoothed time an answer may take


class RoundTripTime:
    """Estimates how long the next answer may take from how long the earlier ones took."""

    def __init__(self) -> None:
        self.smoothed: float | None = None  # None until the first measurement
        self._variation = 0.0

    def measured(self, duration: float) -> None:
        """Record how long an answer took.

        >>> time = RoundTripTime()
        >>> time.measured(0.5)
        >>> time.timeout
        1.5
        """
        if self.smoothed is None:
            self.smoothed = duration
            self._variation = duration / 2
            return
        deviation = abs(self.smoothed - duration)
        self._variation += VARIATION_SMOOTHING * (deviation - self._variation)
        self.smoothed += SMOOTHING * (duration - self.smoothed)

    @property
    def timeout(self) -> float:
        """How long to wait for the next answer; 0 before the first measurement."""
        return (self.smoothed or 0.0) + VARIATION_FACTOR * self._variation
