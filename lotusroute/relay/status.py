"""The status of a relay, as a process sends it to the `show` commands and as `--json` prints it.

The keys between processes are those of earlier builds, so that commands and processes of two builds
understand each other. The fields have the terms of the code, and `--json` prints those.
"""

from collections.abc import Mapping

import msgspec

from lotusroute.relay.messages import EncodedVersion

STATUS_SECTION = "news"  # key of a relay's status in the status of its process, between processes
PRINTED_SECTION = "updates"  # the same key as `--json` prints it

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
    """What a relay has, and how far its subscribers are."""

    version: EncodedVersion
    digest: str
    items: int
    age_ms: int  # since discovery confirmed this version to the origin
    origin_fencing_token: int  # 0 if this relay is not the origin
    subscribers: int
    lagging: int  # subscribers with an older version
    snapshot_queue: int  # subscribers that wait for a snapshot
    oldest_version: EncodedVersion  # of all subscribers


def decode_relay_status(process_status: ProcessDocument) -> RelayStatus | None:
    """Return the status of the relay in the status of a process; None if the process is not a relay.

    Raises `msgspec.ValidationError` for a status of another form.
    """
    section = process_status.get(STATUS_SECTION)
    return None if section is None else msgspec.convert(section, RelayStatus)


def printed_process_status(process_status: ProcessDocument) -> ProcessDocument:
    """Return the status of a process with its relay's status under the terms of the code.

    >>> printed_process_status({"name": "n1"})
    {'name': 'n1'}
    """
    printed = dict(process_status)
    relay_status = decode_relay_status(process_status)
    if relay_status is not None:
        del printed[STATUS_SECTION]
        printed[PRINTED_SECTION] = msgspec.structs.asdict(relay_status)
    return printed
