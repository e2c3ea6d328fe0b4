"""Tests of the status of a relay: its keys between processes, and those that `relay show` prints."""

import msgspec
import pytest

from lotusroute.relay.status import RelayStatus, decode_relay_status, printed_process_status

SECTION = {
    "version": [7, 31],
    "digest": "8a86d8c31d5bf2fe",
    "items": 4,
    "age_ms": 250,
    "origin": 7,
    "subscribers": 3,
    "lack": 2,
    "in_line": 1,
    "oldest": [6, 30],
}


def test_a_status_of_an_earlier_build_is_decoded_and_encoded_with_its_keys():
    status = decode_relay_status({"name": "r1", "news": SECTION})
    assert status == RelayStatus((7, 31), "8a86d8c31d5bf2fe", 4, 250, 7, 3, 2, 1, (6, 30))
    assert msgspec.json.decode(msgspec.json.encode(status)) == SECTION


def test_the_status_is_printed_with_the_terms_of_the_field():
    printed = printed_process_status({"name": "r1", "news": SECTION})
    assert list(printed) == ["name", "updates"]
    renamed = {"origin_fencing_token": 7, "lagging": 2, "snapshot_queue": 1, "oldest_version": (6, 30)}
    kept = {key: SECTION[key] for key in ("digest", "items", "age_ms", "subscribers")}
    assert printed["updates"] == {"version": (7, 31), **kept, **renamed}


def test_a_process_that_is_no_relay_has_no_relay_status():
    assert decode_relay_status({"name": "n1"}) is None


def test_a_status_of_another_form_is_rejected():
    with pytest.raises(msgspec.ValidationError, match="lack"):
        decode_relay_status({"news": {**SECTION, "lack": "two"}})
