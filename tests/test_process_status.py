"""The status of a process: the JSON that another build sends, and the field names that commands print."""

import json

import msgspec
import pytest

from lotusroute.fleet.process_status import (
    ConnectionsStatus,
    GrantStatus,
    LeaseStatus,
    ProcessStatus,
    decode_status,
    encode_status,
    status_document,
)

WIRE_STATUS = {
    "name": "n1",
    "fleet": "f",
    "tasks": {
        "watch": {
            "holds": True,
            "fence": 7,
            "left_ms": 1500,
            "step": "idle",
            "asks_in_ms": 250,
            "highest_seen": 8,
        }
    },
    "keeps": {"watch": {"holder": "n1#0a1b2c3d", "fence": 7, "promised": 8, "left_ms": 1600}},
    "keeper": True,
    "keeper_silent_ms": 40,
    "connections": {"out": ["n2"], "in": ["n3"]},
    "news": {"items": 3},
}
STATUS = ProcessStatus(
    name="n1",
    fleet="f",
    leases={"watch": LeaseStatus(True, 7, 1500, "idle", 250, 8)},
    grants={"watch": GrantStatus("n1#0a1b2c3d", 7, 8, 1600)},
    is_acceptor=True,
    acceptor_silent_ms=40,
    connections=ConnectionsStatus(["n2"], ["n3"]),
)


def test_the_status_of_another_build_is_read_and_written_with_the_keys_of_the_wire():
    assert decode_status(json.dumps(WIRE_STATUS).encode()) == STATUS
    assert json.loads(encode_status(STATUS, {"news": {"items": 3}})) == WIRE_STATUS


def test_the_status_is_printed_under_its_field_names_with_the_sections_of_other_services():
    document = status_document(json.dumps(WIRE_STATUS).encode())
    assert document == {
        "name": "n1",
        "fleet": "f",
        "leases": {
            "watch": {
                "holds": True,
                "fencing_token": 7,
                "remaining_ms": 1500,
                "phase": "idle",
                "retry_in_ms": 250,
                "highest_ballot": 8,
            }
        },
        "grants": {
            "watch": {
                "holder": "n1#0a1b2c3d",
                "fencing_token": 7,
                "promised_ballot": 8,
                "remaining_ms": 1600,
            }
        },
        "is_acceptor": True,
        "acceptor_silent_ms": 40,
        "connections": {"outbound": ["n2"], "inbound": ["n3"]},
        "news": {"items": 3},
    }


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"name": "n1"}', b"\xff"])
def test_a_malformed_status_is_an_error(body):
    with pytest.raises(msgspec.MsgspecError):
        status_document(body)
