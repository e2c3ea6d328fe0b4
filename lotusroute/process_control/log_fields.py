"""Parses the key=value pairs of log lines (see `lotusroute.net.structured_log`)."""

import re

COUNTERS_EVENT = "event=counters"  # part of the line that a process logs on SIGUSR1
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


def parse_fields(line: str) -> dict[str, str]:
    """Return all fields of a log line, or an empty dictionary if it has none.

    >>> parse_fields('mono=12.500 event="lease acquired" task=watch')
    {'mono': '12.500', 'event': 'lease acquired', 'task': 'watch'}
    """
    return {key: value.strip('"') for key, value in _FIELD.findall(line)}


def log_field(line: str, key: str) -> str:
    """Return one field of a log line; raises KeyError if the line lacks it.

    >>> log_field("time=12.500 level=info event=changed change=3", "change")
    '3'
    """
    return parse_fields(line)[key]


def parse_counters(line: str) -> dict[str, int]:
    """Return the counters, the fields with integer values, of the line that a process logs on SIGUSR1.

    >>> parse_counters("time=12.500 level=info event=counters connects=3 flows=2")
    {'connects': 3, 'flows': 2}
    """
    return {key: int(value) for key, value in parse_fields(line).items() if value.isdigit()}
