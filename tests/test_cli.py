"""Tests of the command line: command groups, lazy imports, legacy names and exit codes.

The balancer must not load the command line, and `lotusroute --help` must work without the optional
dependencies of the commands. Legacy names must run the current commands, because operators' scripts use them.
"""

import json
import pathlib
import re
import subprocess
import sys

import pytest
from click.testing import CliRunner

import lotusroute
from lotusroute.cli import root_group

GROUPS = ("capacity", "fault-injection", "fleet", "leases", "relay")
LEGACY_NAMES = {
    ("scale", "compare"): ("capacity", "compare"),
    ("scale", "herd"): ("capacity", "reconnect-storm"),
    ("scale", "measure"): ("capacity", "measure"),
    ("scale", "news"): ("capacity", "propagation"),
    ("scale", "target"): ("capacity", "target"),
    ("capacity", "herd"): ("capacity", "reconnect-storm"),
    ("capacity", "news"): ("capacity", "propagation"),
    ("rig", "hunt"): ("fault-injection", "run"),
    ("rig", "run"): ("fault-injection", "run"),
    ("fault-injection", "hunt"): ("fault-injection", "run"),
}


@pytest.fixture
def invoke():
    """A function that runs a command in the current process and returns its result."""

    def run(*arguments):
        return CliRunner().invoke(root_group, list(arguments), prog_name="lotusroute")

    return run


def shown_commands(help_text):
    """Return the command names listed under "Commands:" in a help text."""
    _, _, table = help_text.partition("Commands:\n")
    return re.findall(r"^  (\S+)", table, re.MULTILINE)


def test_root_help_lists_the_groups_and_no_legacy_name(invoke):
    result = invoke("--help")
    assert result.exit_code == 0
    assert shown_commands(result.stdout) == list(GROUPS)


def test_capacity_help_lists_the_commands_and_no_legacy_name(invoke):
    result = invoke("capacity", "--help")
    assert result.exit_code == 0
    assert shown_commands(result.stdout) == [
        "compare",
        "measure",
        "propagation",
        "reconnect-storm",
        "target",
    ]


@pytest.mark.parametrize(
    ("group", "commands"),
    [("fault-injection", ["run"]), ("fleet", ["show"]), ("leases", ["show"]), ("relay", ["run", "show"])],
)
def test_group_help_lists_its_commands(invoke, group, commands):
    result = invoke(group, "--help")
    assert result.exit_code == 0
    assert shown_commands(result.stdout) == commands


@pytest.mark.parametrize(("legacy", "current"), LEGACY_NAMES.items(), ids=" ".join)
def test_legacy_name_runs_the_same_command(legacy, current):
    commands = []
    for group_name, command_name in (legacy, current):
        group = root_group.get_command(None, group_name)
        commands.append(group.get_command(None, command_name))
    assert commands[0].callback is commands[1].callback
    assert commands[0].params == commands[1].params


@pytest.mark.parametrize("legacy", LEGACY_NAMES, ids=" ".join)
def test_legacy_name_shows_help_with_the_current_example(invoke, legacy):
    result = invoke(*legacy, "--help")
    assert result.exit_code == 0
    assert f"Example: lotusroute {' '.join(LEGACY_NAMES[legacy])}" in " ".join(result.stdout.split())


@pytest.mark.parametrize("group", ["capacity", "scale"])
def test_target_prints_the_same_json_by_the_legacy_name(invoke, group):
    result = invoke(group, "target", "--json")
    assert result.exit_code == 0
    figures = json.loads(result.stdout)
    assert figures["balancers"] == 6_200 and round(figures["balancers_a_zone"]) == 326


@pytest.mark.parametrize("option", ["--acceptors", "--keepers"])
@pytest.mark.parametrize("command", [("fault-injection", "run"), ("rig", "hunt")], ids=" ".join)
def test_fault_injection_run_rejects_more_acceptors_than_processes(invoke, command, option):
    result = invoke(*command, "--processes", "3", option, "5")
    assert result.exit_code == 2
    assert "--acceptors 5: more than the 3 processes; give fewer" in result.stderr


def test_fault_injection_run_help_lists_no_legacy_option(invoke):
    result = invoke("fault-injection", "run", "--help")
    assert "--acceptors" in result.stdout and "--keepers" not in result.stdout


def test_fault_injection_run_prints_its_summary_as_json():
    call = [sys.executable, "-m", "lotusroute", "rig", "hunt", "--seconds", "1", "--json"]
    result = subprocess.run(call, capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode == 0, result.stderr
    summary = json.loads(result.stdout)
    assert list(summary) == ["scenarios", "violations", "holder_changes", "recovered_s"]
    assert summary["scenarios"] >= 1 and summary["violations"] == []
    assert "seed 1: passed, " in result.stderr


@pytest.mark.parametrize("arguments", [("no-such-group",), ("capacity", "no-such-command")])
def test_unknown_command_is_a_usage_error(invoke, arguments):
    result = invoke(*arguments)
    assert result.exit_code == 2 and arguments[-1] in result.stderr


def loaded_modules(statement):
    """Return the names of the modules that a new interpreter has loaded after executing a statement."""
    code = f"import sys; {statement}; print(*sys.modules)"
    call = [sys.executable, "-c", code]
    return set(subprocess.run(call, capture_output=True, text=True, timeout=20, check=True).stdout.split())


def test_balancer_does_not_import_the_command_line():
    assert "lotusroute.cli" not in loaded_modules("import lotusroute.__main__")


def test_root_help_imports_no_group_and_no_optional_dependency_but_click():
    statement = "from lotusroute.cli import root_group; root_group(['--help'], standalone_mode=False)"
    loaded = loaded_modules(statement)
    assert "lotusroute.cli" in loaded
    assert not {name for name in loaded if name.startswith("lotusroute.cli.")}
    assert loaded.isdisjoint({"msgspec", "numpy", "twisted"})


def test_only_the_entry_point_imports_the_command_line():
    package = pathlib.Path(lotusroute.__file__).parent
    importing = {
        path.relative_to(package).as_posix()
        for path in package.rglob("*.py")
        if path.parent.name != "cli" and re.search(r"\blotusroute\.cli\b", path.read_text())
    }
    assert importing == {"__main__.py"}
