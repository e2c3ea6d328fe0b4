"""Stories of the migration command, and of the program started with what it wrote."""

import json
import os

import pytest
from harness import SETTINGS, Balancer, FakeServer

from lotusroute import migrate
from lotusroute.errors import InvalidValueError
from lotusroute.net import config

OLD = {
    **SETTINGS,
    "zones": ["caxias", "bento"],
    "my_zone": "bento",
    "siblings": 4,
    "odd": {"token": "s3cret"},
    "limits": {**SETTINGS["limits"], "probes": True, "peers": False},
    "report": {"source": "pull", "names": ["x0"]},
    "deductions": {"probe": 0.0024, "cross_zone": 0.03},
    "family_info": {"groups": True, "message_aim": [60.0], "report_x0": "load"},
    "rules": {"cold_from": 0.14, "warm_after": 24000.0, "tip_multiple": 3.0},
}


@pytest.fixture
def old(tmp_path):
    """An operator's file of the old shape."""
    hosts = [{"host": "s-1", "dial": "127.0.0.1:9", "health": "SERVING", "site": "caxias"}]
    told = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": OLD,
        "known": {"seq": 4, "hosts": hosts},
        "api_key": "s3cret",
    }
    file = tmp_path / "old.json"
    file.write_text(json.dumps(told))
    file.chmod(0o640)
    return file


def move(old, *more, new="new.json"):
    return migrate.main([str(old), str(old.with_name(new)), "--location", "hall-a", *more])


def test_what_cannot_be_carried_is_listed_and_what_is_not_known_is_carried(old, capsys):
    before = old.read_bytes()
    assert move(old, "--dry-run") == 0
    dry = capsys.readouterr().out
    assert os.listdir(old.parent) == ["old.json"]
    assert move(old, "--set", "settings.siblings=40") == 0
    out = capsys.readouterr().out
    for key in (
        "limits.probes",
        "report.source",
        "deductions.probe",
        "deductions.cross_zone",
        "zones",
        "my_zone",
        "family_info.report_x0",
    ):
        assert f"  settings.{key} " in out and f"  settings.{key} " in dry
    assert "known: 1 servers" in out and "  settings.rules.warm_after\n" in out
    assert move(old, "--dry-run", "--set", "settings.rules.warmafter=5") == 0  # misspelt: told, not lost
    assert "  settings.rules.warmafter\n" in capsys.readouterr().out
    assert "  settings.siblings\n" in dry and "  settings.siblings\n" not in out
    assert "  api_key\n" in out and "  settings.odd.token\n" in out and "s3cret" not in out
    new = json.loads(old.with_name("new.json").read_text())
    assert new["api_key"] == new["settings"]["odd"]["token"] == "s3cret" and new["settings"]["siblings"] == 40
    assert new["settings"]["zones"] == ["hall-a"] and new["settings"]["limits"]["probes"] is False
    assert new["known"]["hosts"] == [] and new["settings"]["rules"] == OLD["rules"]
    assert old.read_bytes() == before and old.with_name("new.json").stat().st_mode & 0o777 == 0o640


def test_a_file_of_the_new_shape_comes_out_the_same(old, capsys):
    assert move(old, "--keep-known") == 0
    capsys.readouterr()
    assert move(old.with_name("new.json"), new="again.json") == 0
    assert "not carried" not in (out := capsys.readouterr().out) and "give anew" not in out
    assert old.with_name("again.json").read_bytes() == old.with_name("new.json").read_bytes()
    assert json.loads(old.with_name("new.json").read_text())["known"]["hosts"][0]["site"] == "hall-a"


def test_no_file_is_overwritten_unasked_and_the_old_one_never(old, capsys):
    target = old.with_name("new.json")
    target.write_text("mine")
    os.symlink(old, old.with_name("link.json"))
    assert move(old) == 2 and target.read_text() == "mine" and "--force" in capsys.readouterr().err
    assert move(old, "--force", new="link.json") == 2 and "api_key" in old.read_text()
    assert move(old, "--force") == 0 and json.loads(target.read_text())["name"] == "n1"
    assert sorted(os.listdir(old.parent)) == ["link.json", "new.json", "old.json"]


@pytest.mark.parametrize(
    "text, said",
    [
        (None, "No such file"),
        ("{", "line 1"),
        ("[]", "not a JSON object"),
        ('{"name": "n", "listen": "l"}', "settings.service_types: none given"),
    ],
)
def test_a_bad_file_gets_one_line_and_nothing_is_written(old, text, said, capsys):
    old.unlink() if text is None else old.write_text(text)
    assert move(old) == 2
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and str(old) in err and said in err
    assert not old.with_name("new.json").exists()
    assert move(old, "--set", "settings.siblings=-1") == 2


@pytest.mark.parametrize(
    "path, value",
    [
        ("settings.siblings", 0),
        ("settings.siblings", "four"),
        ("settings.limits.retry_after", "yes"),
        ("settings.rules.cold_from", 1.5),
        ("settings.rules.warm_after", float("inf")),
        ("settings.service_types", [{"name": "live", "setup_target": -300}]),
        ("settings.service_types", [{}]),
        ("settings.family_info.message_aim", [60, "soon"]),
        ("settings", [1]),
    ],
)
def test_a_bad_setting_is_named_at_the_start_too(old, path, value):
    told = config.read_json_object(old)
    migrate.put(told, path, value)
    named = path.rpartition(".")[2] if "." in path else "object"
    with pytest.raises(InvalidValueError, match=rf"^settings[:.].*{named}"):
        config.parse_config(told, {})


def test_the_old_file_starts_the_program_as_before_and_the_new_one_without_a_probe():
    server = FakeServer("s1")
    with Balancer(server, settings=OLD) as before:
        assert before.ask().readline() == b"UP r1\r\n"
        new = before.file.with_name("new.json")
        assert migrate.main([str(before.file), str(new), "--location", "hall-a"]) == 0
        before.end()
        after = Balancer(server, env={"LB_CONFIG": str(new)}.items())
        after.port = before.port
        with after:
            assert after.ask().readline() == b"UP r1\r\n"
            assert {line.split(b" ")[0] for line in server.lines} <= {b"OPEN", b""}
