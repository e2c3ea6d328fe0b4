"""Structured logging to standard error, and the process's counters.

Each event is one line of key=value pairs. Events of single flows are logged at DEBUG only, which keeps the
log of a busy balancer small; the counters show how often each event has happened.
"""

import logging
import sys
import time
from collections import Counter

from twisted.python import log as twisted_log

QUOTED_CHARACTERS = ' "=\n'
LOGGER = logging.getLogger("lotusroute")


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs; a value with spaces, quotes or `=` is quoted.

    `time` is Unix time in seconds by the wall clock. Because that clock may be stepped, `mono` has the
    machine's monotonic clock in seconds, by which the lines of all its processes keep their order and the
    time between them.

    >>> fields = {"server": "s-1", "setup_ms": 4.25}
    >>> record = logging.makeLogRecord({"msg": "outlier ejected", "levelname": "INFO", "fields": fields})
    >>> KeyValueFormatter().format(record).split(" ", 2)[2]
    'level=info event="outlier ejected" server=s-1 setup_ms=4.250'
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record; a traceback is in `trace`."""
        fields = {
            "time": f"{record.created:.3f}",
            "mono": f"{time.monotonic():.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def _format_value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not any(character in QUOTED_CHARACTERS for character in text):
        return text
    escaped = text.replace('"', "'").replace("\n", " | ")
    return f'"{escaped}"'


class Counters(Counter[str]):
    """How often each named event has happened since the start of the process."""

    def print(self) -> None:
        """Log all counters in one line."""
        log_event("counters", **dict(sorted(self.items())))


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event with its fields."""
    LOGGER.log(level, event, extra={"fields": fields})


def log_exception(event: str, **fields: object) -> None:
    """Log the exception that is being handled; for exceptions that are not raised again."""
    LOGGER.error(event, extra={"fields": fields}, exc_info=True)


def configure_logging(level: str) -> None:
    """Write all events from `level` on, and warnings of libraries, to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
    LOGGER.setLevel(level)
    twisted_log.PythonLoggingObserver("twisted").start()
