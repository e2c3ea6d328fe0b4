"""The status of a relay, as a process sends it to the `show` commands and as `--json` prints it.

Between processes, the status keeps the keys of earlier builds, so that commands and processes of different
builds work together. `--json` prints the field names of `RelayStatus` instead.
"""

from collections.abc import Mapping

import msgspec

from lotusroute.relay.messages import EncodedVersion

STATUS_SECTION = "news"  # key of the relay's status in the status that its process sends
PRINTED_SECTION = "updates"  # replaces STATUS_SECTION in the output of `--json`

ProcessDocument = Mapping[str, object]  # the status of a process as a JSON object


class RelayStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "origin_fencing_token": "origin",
        "lagging": "lack",
        "snapshot_queue": "in_line",
        "oldest_version": "oldest",
    },
):
    """The version of the list that a relay has, and the progress of its subscribers."""

    version: EncodedVersion
    digest: str
    items: int
    age_ms: int  # time since discovery confirmed this version to the origin
    origin_fencing_token: int  # 0 if this relay is not the origin
    subscribers: int
    lagging: int  # number of subscribers with an older version than the relay
    snapshot_queue: int  # number of subscribers that wait for a snapshot
    # The oldest version that a subscriber has, or the version of the relay if it has no subscribers.
    oldest_version: EncodedVersion


def decode_relay_status(process_status: ProcessDocument) -> RelayStatus | None:
    """Return the status of the relay in the status of a process; None if the process is not a relay.

    Raises `msgspec.ValidationError` for a malformed status.
    """
    section = process_status.get(STATUS_SECTION)
    return None if section is None else msgspec.convert(section, RelayStatus)


def printed_process_status(process_status: ProcessDocument) -> ProcessDocument:
    """Return the status of a process as `--json` prints it: its relay's status has the keys of the fields.

    >>> printed_process_status({"name": "n1"})
    {'name': 'n1'}
    """
    printed = dict(process_status)
    relay_status = decode_relay_status(process_status)
    if relay_status is not None:
        del printed[STATUS_SECTION]
        printed[PRINTED_SECTION] = msgspec.structs.asdict(relay_status)
    return printed
