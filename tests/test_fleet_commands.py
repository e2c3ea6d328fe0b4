"""The command `fleet show`, which prints the status of a fleet."""

import pytest
from fleet_support import run_program


def test_the_status_command_names_a_missing_file(tmp_path):
    result = run_program("-m", "lotusroute", "fleet", "show", "--fleet", str(tmp_path / "none.toml"))
    assert result.returncode == 2
    assert "none.toml" in result.stderr


@pytest.fixture
def fleet_file(tmp_path):
    """Return the path of the configuration file of a fleet without a running process."""
    file = tmp_path / "fleet.toml"
    peers = "\n".join(f'{name} = "127.0.0.1:9"' for name in "abc")
    file.write_text(f'name = "f"\nkeepers = ["a", "b", "c"]\n[peers]\n{peers}\n')
    return str(file)


def test_the_status_command_names_an_unknown_peer(fleet_file):
    result = run_program("-m", "lotusroute", "fleet", "show", "--fleet", fleet_file, "--peer", "z")
    assert result.returncode == 2
    assert "--peer z: not among the peers" in result.stderr


def test_the_status_command_names_an_unreachable_balancer(fleet_file):
    result = run_program("-m", "lotusroute", "fleet", "show", "--fleet", fleet_file)
    assert result.returncode == 1
    assert "a: no answer" in result.stdout


def test_the_help_of_the_status_command_has_an_example():
    assert (
        "Example: lotusroute fleet show" in run_program("-m", "lotusroute", "fleet", "show", "--help").stdout
    )
