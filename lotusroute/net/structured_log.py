"""Log lines and counters.

Owns how a line looks (key=value, one event a line, on standard error) and the counters of what this
balancer took in, sent and answered. It must never write a line per flow unless asked to, touch a disk,
or know what an event means.
"""

import logging
import sys
from collections import Counter

from twisted.python import log as twisted_log

LOGGER = logging.getLogger("lotusroute")


class KeyValueFormatter(logging.Formatter):
    """Writes a record as key=value pairs; texts with spaces stand in quotes.

    >>> fields = {"server": "s-1", "ms": 4.25}
    >>> record = logging.makeLogRecord({"msg": "set aside", "levelname": "INFO", "fields": fields})
    >>> KeyValueFormatter().format(record).split(" ", 2)[2]
    'event="set aside" server=s-1 ms=4.250'
    """

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self._value(value)}" for key, value in fields.items())

    @staticmethod
    def _value(value: object) -> str:
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        plain = text and not any(c in ' "=\n' for c in text)
        return text if plain else '"' + text.replace('"', "'").replace("\n", " | ") + '"'


class Counters(Counter):
    """What happened since the start, by name; `print` writes them all in one line."""

    def print(self) -> None:
        log_event("counters", **dict(sorted(self.items())))


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event with its fields."""
    LOGGER.log(level, event, extra={"fields": fields})


def log_exception(event: str, **fields: object) -> None:
    """Log the exception being handled: it stops here."""
    LOGGER.error(event, extra={"fields": fields}, exc_info=True)


def configure_logging(level: str) -> None:
    """Send all lines, Twisted's warnings among them, to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
    LOGGER.setLevel(level)
    twisted_log.PythonLoggingObserver("twisted").start()
