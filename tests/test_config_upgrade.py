"""The configuration upgrade command, and a balancer that is started with the file that it wrote."""

import json
import os
import subprocess
import sys

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer

from lotusroute import config_upgrade
from lotusroute.errors import ConfigError
from lotusroute.json_paths import set_path
from lotusroute.net import config

OLD_SETTINGS = {
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
    """Return a configuration file of the old kind of deployment."""
    hosts = [{"host": "s-1", "dial": "127.0.0.1:9", "health": "SERVING", "site": "caxias"}]
    document = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": OLD_SETTINGS,
        "known": {"seq": 4, "hosts": hosts},
        "api_key": "s3cret",
    }
    file = tmp_path / "old.json"
    file.write_text(json.dumps(document))
    file.chmod(0o640)
    return file


def run_upgrade(old, *more, new="new.json"):
    """Upgrade a file to another one in its directory; return the exit code."""
    return config_upgrade.main([str(old), str(old.with_name(new)), "--location", "hall-a", *more])


NOT_CARRIED = (
    "limits.probes",
    "report.source",
    "deductions.probe",
    "deductions.cross_zone",
    "zones",
    "my_zone",
    "family_info.report_x0",
)


def test_a_dry_run_reports_and_writes_nothing(old, capsys):
    assert run_upgrade(old, "--dry-run") == 0
    output = capsys.readouterr().out
    assert os.listdir(old.parent) == ["old.json"]
    assert all(f"  settings.{key} " in output for key in NOT_CARRIED)
    assert "  settings.siblings\n" in output


def test_keys_that_are_not_carried_over_or_must_be_set_again_are_reported(old, capsys):
    assert run_upgrade(old, "--set", "settings.siblings=40") == 0
    output = capsys.readouterr().out
    assert all(f"  settings.{key} " in output for key in NOT_CARRIED)
    assert "known: 1 servers" in output and "  settings.rules.warm_after\n" in output
    assert "  settings.siblings\n" not in output


def test_unknown_keys_are_reported_by_name_and_carried_over(old, capsys):
    assert run_upgrade(old) == 0
    output = capsys.readouterr().out
    assert "  api_key\n" in output and "  settings.odd.token\n" in output and "s3cret" not in output
    new = json.loads(old.with_name("new.json").read_text())
    assert new["api_key"] == new["settings"]["odd"]["token"] == "s3cret"


def test_a_misspelt_override_is_reported_as_unknown(old, capsys):
    assert run_upgrade(old, "--dry-run", "--set", "settings.rules.warmafter=5") == 0
    assert "  settings.rules.warmafter\n" in capsys.readouterr().out


def test_the_new_file_has_the_overrides_and_one_location_and_the_old_permissions(old):
    before = old.read_bytes()
    assert run_upgrade(old, "--set", "settings.siblings=40") == 0
    new = json.loads(old.with_name("new.json").read_text())
    assert new["settings"]["siblings"] == 40
    assert new["settings"]["zones"] == ["hall-a"] and new["settings"]["limits"]["probes"] is False
    assert new["known"]["hosts"] == [] and new["settings"]["rules"] == OLD_SETTINGS["rules"]
    assert old.read_bytes() == before and old.with_name("new.json").stat().st_mode & 0o777 == 0o640


def test_upgrading_an_upgraded_file_changes_nothing(old, capsys):
    assert run_upgrade(old, "--keep-cached-list") == 0
    capsys.readouterr()
    assert run_upgrade(old.with_name("new.json"), new="again.json") == 0
    output = capsys.readouterr().out
    assert "not carried" not in output and "set again" not in output
    assert old.with_name("again.json").read_bytes() == old.with_name("new.json").read_bytes()
    assert json.loads(old.with_name("new.json").read_text())["known"]["hosts"][0]["site"] == "hall-a"


def test_the_older_names_of_the_command_and_of_an_option_are_accepted(old):
    files = [str(old), str(old.with_name("new.json"))]
    command = [sys.executable, "-m", "lotusroute.migrate", *files, "--location", "hall-a", "--keep-known"]
    assert subprocess.run(command, capture_output=True, timeout=30, check=False).returncode == 0
    assert len(json.loads(old.with_name("new.json").read_text())["known"]["hosts"]) == 1


def test_an_existing_file_is_overwritten_only_with_force(old, capsys):
    target = old.with_name("new.json")
    target.write_text("mine")
    assert run_upgrade(old) == 2 and target.read_text() == "mine" and "--force" in capsys.readouterr().err
    assert run_upgrade(old, "--force") == 0 and json.loads(target.read_text())["name"] == "n1"
    assert sorted(os.listdir(old.parent)) == ["new.json", "old.json"]


def test_the_old_file_is_never_overwritten_even_through_a_link(old):
    os.symlink(old, old.with_name("link.json"))
    assert run_upgrade(old, "--force", new="link.json") == 2 and "api_key" in old.read_text()
    assert sorted(os.listdir(old.parent)) == ["link.json", "old.json"]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "No such file"),
        ("{", "line 1"),
        ("[]", "expected a JSON object, got a value of type list"),
        ('{"name": "n", "listen": "l"}', "settings.service_types: none given"),
    ],
)
def test_an_invalid_file_gives_one_line_of_error_and_nothing_is_written(old, text, message, capsys):
    if text is None:
        old.unlink()
    else:
        old.write_text(text)
    assert run_upgrade(old) == 2
    err = capsys.readouterr().err
    assert err.count("\n") == 1 and str(old) in err and message in err
    assert not old.with_name("new.json").exists()
    assert run_upgrade(old, "--set", "settings.siblings=-1") == 2


@pytest.mark.parametrize(
    ("path", "value"),
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
def test_the_balancer_also_names_an_invalid_setting(old, path, value):
    document = config.read_json_object(old)
    set_path(document, path, value)
    named = path.rpartition(".")[2] if "." in path else "object"
    with pytest.raises(ConfigError, match=rf"^settings[:.].*{named}"):
        config.parse_config(document, {})


def test_a_balancer_starts_with_the_old_file_and_with_the_new_one_without_health_checks():
    server = FakeServer("s1")
    with Balancer(server, settings=OLD_SETTINGS) as before:
        assert before.open_flow().readline() == b"UP r1\r\n"
        new = before.config_file.with_name("new.json")
        assert config_upgrade.main([str(before.config_file), str(new), "--location", "hall-a"]) == 0
        before.terminate()
        after = Balancer(server, env={"LB_CONFIG": str(new)}.items())
        after.port = before.port
        with after:
            assert after.open_flow().readline() == b"UP r1\r\n"
            assert {line.split(b" ")[0] for line in server.lines} <= {b"OPEN", b""}
