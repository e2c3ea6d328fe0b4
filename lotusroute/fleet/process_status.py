"""The status of one process, which the commands `leases show` and `fleet show` read.

A process sends it as JSON with older keys, which `rename` maps to the names here. Services may add sections
of their own. Durations are in milliseconds from the time of the status.
"""

from collections.abc import Mapping

import msgspec

from lotusroute.leases.acceptor import Acceptor, AcceptorState
from lotusroute.leases.proposer import NEVER_MS, Proposer, ProposerState


class LeaseStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "fencing_token": "fence",
        "remaining_ms": "left_ms",
        "phase": "step",
        "retry_in_ms": "asks_in_ms",
        "highest_ballot": "highest_seen",
    },
):
    """The lease on one task as its proposer sees it."""

    holds: bool
    fencing_token: int  # 0 unless the proposer holds the lease
    remaining_ms: int  # the time until the lease expires; 0 unless the proposer holds the lease
    phase: str  # the `Phase` of the proposer
    retry_in_ms: int  # the time until the proposer may prepare or renew; 0 if it may at once
    highest_ballot: int  # the highest ballot in the proposer's requests and the replies to them


class GrantStatus(
    msgspec.Struct,
    frozen=True,
    rename={"fencing_token": "fence", "promised_ballot": "promised", "remaining_ms": "left_ms"},
):
    """The lease on one task as an acceptor sees it."""

    holder: str  # the last proposer that was granted the lease; empty if none was
    fencing_token: int  # the fencing token of `holder`
    promised_ballot: int  # the highest promised ballot
    remaining_ms: int  # the time until the lease expires; 0 if it has expired


class ConnectionsStatus(msgspec.Struct, frozen=True, rename={"outbound": "out", "inbound": "in"}):
    """The names of the connected peers."""

    outbound: list[str]
    inbound: list[str]


class ProcessStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "leases": "tasks",
        "grants": "keeps",
        "is_acceptor": "keeper",
        "acceptor_silent_ms": "keeper_silent_ms",
    },
):
    """The status of one process, without the sections of other services."""

    name: str
    fleet: str
    leases: dict[str, LeaseStatus]  # the status of each task at the process's proposer, by the task's name
    grants: dict[str, GrantStatus]  # the status of each task at the process's acceptor, by the task's name
    is_acceptor: bool
    acceptor_silent_ms: int  # the time until the acceptor serves; 0 if it serves, or if there is no acceptor
    connections: ConnectionsStatus


def lease_statuses(proposer: Proposer, now: float) -> dict[str, LeaseStatus]:
    """Return the status of a proposer, by task."""
    return {task: _lease_status(state, now) for task, state in proposer.states.items()}


def _lease_status(state: ProposerState, now: float) -> LeaseStatus:
    holds = state.holds(now)
    retry_in = max(0.0, state.retry_at - now) if state.retry_at > NEVER_MS else 0.0
    return LeaseStatus(
        holds=holds,
        fencing_token=state.ballot if holds else 0,
        remaining_ms=round(state.expires_at - now) if holds else 0,
        phase=state.phase,
        retry_in_ms=round(retry_in),
        highest_ballot=state.highest_ballot,
    )


def grant_statuses(acceptor: Acceptor, now: float) -> dict[str, GrantStatus]:
    """Return the status of an acceptor, by task."""
    return {task: _grant_status(state, now) for task, state in acceptor.states.items()}


def _grant_status(state: AcceptorState, now: float) -> GrantStatus:
    return GrantStatus(
        holder=state.holder,
        fencing_token=state.ballot,
        promised_ballot=state.promised_ballot,
        remaining_ms=round(max(0.0, state.expires_at - now)) if state.holder else 0,
    )


def encode_status(status: ProcessStatus, sections: Mapping[str, object]) -> bytes:
    """Encode a status, followed by the sections of other services, for the wire."""
    return msgspec.json.encode({**msgspec.to_builtins(status), **sections})


def decode_status(body: bytes) -> ProcessStatus:
    """Decode a status without its other sections; raises `msgspec.MsgspecError` if it is malformed."""
    return msgspec.json.decode(body, type=ProcessStatus)


def status_document(body: bytes) -> dict[str, object]:
    """Return an encoded status as a JSON object with the field names of this module, for other programs.

    The sections of other services are returned as sent. Raises `msgspec.MsgspecError` if it is malformed.

    >>> connections = '"connections": {"out": ["b"], "in": []}'
    >>> head = '{"name": "a", "fleet": "f", "tasks": {}, "keeps": {}, "keeper": true, "keeper_silent_ms": 0, '
    >>> status_document((head + connections + ', "more": 1}').encode())  # doctest: +NORMALIZE_WHITESPACE
    {'name': 'a', 'fleet': 'f', 'leases': {}, 'grants': {}, 'is_acceptor': True, 'acceptor_silent_ms': 0,
     'connections': {'outbound': ['b'], 'inbound': []}, 'more': 1}
    """
    sections = msgspec.json.decode(body, type=dict[str, object])
    for key in ProcessStatus.__struct_encode_fields__:
        sections.pop(key, None)
    return {**_struct_document(decode_status(body)), **sections}


def _struct_document(struct: msgspec.Struct) -> dict[str, object]:
    """Return the fields of a Struct by name; unlike `msgspec.to_builtins`, without renaming them."""
    return {name: _document(value) for name, value in msgspec.structs.asdict(struct).items()}


def _document(value: object) -> object:
    match value:
        case msgspec.Struct():
            return _struct_document(value)
        case dict():
            return {key: _document(item) for key, item in value.items()}
        case _:
            return value
