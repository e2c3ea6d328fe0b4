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
        ("zone", 3, "zone: give"),
        ("relays", {}, "relays: give a table"),
        ("relays", {"a": {"r1": "nowhere"}}, "relays.a.r1: 'nowhere' is not host:port"),
        (
            "relays",
            {"a": {"r": "127.0.0.1:1"}, "b": {"r": "127.0.0.1:2"}},
            "b.r: another relay has this name; give each its own",
        ),
        ("relay", 1, "relay: no such key"),
    ],
)
def test_an_invalid_key_is_named_with_its_correction(key, value, message):
    valid = {"name": "f", "zone": "a", "relays": {"a": {"r1": "127.0.0.1:1"}}}
    with pytest.raises(ConfigError, match=message):
        parse_relays_config({**valid, key: value})


def test_an_unreadable_file_is_named_with_its_variable(tmp_path):
    with pytest.raises(ConfigError, match=r"LB_RELAYS: .*gone\.toml"):
        load_relays_config(tmp_path / "gone.toml")


def test_without_the_file_the_program_imports_nothing_of_relays_or_of_the_capacity_runs():
    program = (
        "import sys, lotusroute.__main__; print([m for m in sys.modules if 'relay' in m or 'capacity' in m "
        "or m in ('msgspec', 'numpy', 'click')])"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    assert root_group.get_command(None, "relay") is not None
