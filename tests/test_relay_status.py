"""Tests of the status of a relay: its keys on the wire, and those that the `show` commands print."""

import json
from types import SimpleNamespace

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet import defer

from lotusroute.cli import fleet, leases, peer_query, relay
from lotusroute.fleet.process_status import ConnectionsStatus, ProcessStatus, encode_status
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


def test_the_status_is_printed_with_the_field_names():
    printed = printed_process_status({"name": "r1", "news": SECTION})
    assert list(printed) == ["name", "updates"]
    renamed = {"origin_fencing_token": 7, "lagging": 2, "snapshot_queue": 1, "oldest_version": (6, 30)}
    unchanged = {key: SECTION[key] for key in ("digest", "items", "age_ms", "subscribers")}
    assert printed["updates"] == {"version": (7, 31), **unchanged, **renamed}


def test_a_process_that_is_not_a_relay_has_no_relay_status():
    assert decode_relay_status({"name": "n1"}) is None


def test_a_malformed_status_is_rejected():
    with pytest.raises(msgspec.ValidationError, match="lack"):
        decode_relay_status({"news": {**SECTION, "lack": "two"}})


# A reactor that calls functions at once, which other reactors call when they start to run.
IMMEDIATE_REACTOR = SimpleNamespace(
    callWhenRunning=lambda function, *arguments: function(*arguments),
    run=lambda **_: None,
    stop=lambda: None,
)


@pytest.fixture
def show_json(tmp_path, monkeypatch):
    """Return a function that runs a `show` command for one relay and returns its `--json` output."""
    file = tmp_path / "fleet.toml"
    peers = "\n".join(f'{name} = "127.0.0.1:9"' for name in ("r1", "r2", "r3"))
    file.write_text(f'name = "f"\nkeepers = ["r1", "r2", "r3"]\n[peers]\n{peers}\n')

    def run(command, section):
        status = ProcessStatus("r1", "f", {}, {}, True, 0, ConnectionsStatus([], []))
        body = encode_status(status, {"news": section})
        monkeypatch.setattr(peer_query, "reactor", IMMEDIATE_REACTOR)
        monkeypatch.setattr(peer_query, "query_status", lambda *_: defer.succeed(body))
        result = CliRunner().invoke(command, ["--fleet", str(file), "--peer", "r1", "--json"])
        return json.loads(result.stdout)

    return run


@pytest.mark.parametrize("command", [fleet.show, leases.show, relay.show])
def test_all_show_commands_print_the_field_names(command, show_json):
    printed = show_json(command, SECTION)
    process = printed["balancers"]["r1"]
    assert "news" not in process
    assert (process["updates"]["lagging"], process["updates"]["snapshot_queue"]) == (2, 1)
    assert process["leases"] == {}
    assert printed["errors"] == {}


def test_show_reports_a_malformed_relay_status_as_an_error_of_its_process(show_json):
    printed = show_json(relay.show, {**SECTION, "lack": "two"})
    assert printed["balancers"] == {}
    assert "lack" in printed["errors"]["r1"]
