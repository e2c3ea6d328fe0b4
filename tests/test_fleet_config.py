"""The fleet's configuration file; without one, no module of the fleet is imported."""

import pytest
from fleet_support import FLEET_DOCUMENT, run_program

from lotusroute.errors import ConfigError
from lotusroute.fleet import config


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"keepers": ["a", "b"]}, "keepers: 2 named"),
        ({"keepers": ["a", "b", "d"]}, "add its address there"),
        ({"peers": {"a": "nowhere"}}, "peers.a: 'nowhere' is not"),
        ({"lease_ms": "3"}, "lease_ms: give"),
        ({"tasks": ["unknown"]}, "tasks: 'unknown' is none of watch"),
        ({"lease": 3}, "lease: no such key"),
        ({"keepers": ["a", "a", "b"]}, "keepers: the name 'a' is given twice"),
        ({"name": ""}, "name: not set"),
        ({"term_ms": True}, "term_ms: give milliseconds"),
        ({"peers": []}, "peers: 0 named; give 1 to 1024"),
        ({"state": 3}, "state: 3 is not a string; give the path of a directory"),
    ],
)
def test_a_configuration_error_names_the_key_and_the_correction(change, message):
    with pytest.raises(ConfigError, match=message.replace(".", r"\.")):
        config.parse_fleet_config({**FLEET_DOCUMENT, **change})


def test_an_error_in_the_file_names_the_variable_and_the_file(tmp_path):
    file = tmp_path / "fleet.toml"
    file.write_text("name = ")
    with pytest.raises(ConfigError, match=f"LB_FLEET: {file}"):
        config.load_fleet_config(file)


def test_without_the_file_no_module_of_the_fleet_is_imported():
    loaded = run_program("-c", "import sys, lotusroute.__main__; print(sorted(sys.modules))")
    assert loaded.returncode == 0, loaded.stderr
    for name in (
        "lotusroute.fleet",
        "lotusroute.leases",
        "lotusroute.fault_injection",
        "msgspec",
        "click",
        "tomllib",
    ):
        assert f"'{name}'" not in loaded.stdout
