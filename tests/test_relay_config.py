"""Tests of the configuration file of the relays, and of the program's imports without that file."""

import subprocess
import sys

import pytest

from lotusroute.cli import root_group
from lotusroute.errors import ConfigError
from lotusroute.relay.config import load_relays_config, parse_relays_config


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("name", "", "name: not set"),
        ("zone", None, "zone: not set; give the name of this balancer's zone"),
        ("zone", 3, "zone: 3 is not a string; give the name of this balancer's zone"),
        ("relays", {}, "relays: give a table"),
        ("relays", {"a": {"r1": "nowhere"}}, "relays.a.r1: 'nowhere' is not host:port"),
        (
            "relays",
            {"a": {"r": "127.0.0.1:1"}, "b": {"r": "127.0.0.1:2"}},
            "b.r: another relay has this name; give each relay its own name",
        ),
        ("relay", 1, "relay: no such key"),
    ],
)
def test_the_error_for_an_invalid_key_names_the_key_and_the_correction(key, value, message):
    valid = {"name": "f", "zone": "a", "relays": {"a": {"r1": "127.0.0.1:1"}}}
    with pytest.raises(ConfigError, match=message):
        parse_relays_config({**valid, key: value})


def test_the_error_for_an_unreadable_file_names_the_file_and_the_variable(tmp_path):
    with pytest.raises(ConfigError, match=r"LB_RELAYS: .*gone\.toml"):
        load_relays_config(tmp_path / "gone.toml")


def test_without_a_relay_configuration_the_program_imports_no_relay_or_capacity_modules():
    program = (
        "import sys, lotusroute.__main__; print([m for m in sys.modules if 'relay' in m or 'capacity' in m "
        "or m in ('msgspec', 'numpy', 'click')])"
    )
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
    assert root_group.get_command(None, "relay") is not None
