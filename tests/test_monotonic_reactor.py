"""Every process of the project runs on a reactor whose timers use the monotonic clock."""

import pathlib
import subprocess
import sys
import time

import pytest

from lotusroute.net import monotonic_reactor

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECK = """
import importlib.util, sys, time
sys.path[:0] = [{root!r}, {directory!r}]
spec = importlib.util.spec_from_file_location("entry_point", {file!r})
spec.loader.exec_module(importlib.util.module_from_spec(spec))
reactor = sys.modules.get("twisted.internet.reactor")
print("no reactor" if reactor is None else reactor.seconds is time.monotonic)
"""
ENTRY_POINTS = sorted(
    file.relative_to(ROOT).as_posix()
    for directory in ("lotusroute", "benchmarks")
    for file in (ROOT / directory).rglob("*.py")
    if '__name__ == "__main__"' in file.read_text(encoding="utf-8")
)


def test_the_entry_points_are_found():
    assert {"lotusroute/__main__.py", "benchmarks/peers.py"} < set(ENTRY_POINTS)


@pytest.mark.parametrize("entry_point", ENTRY_POINTS)
def test_an_entry_point_has_no_reactor_or_one_on_the_monotonic_clock(entry_point):
    file = ROOT / entry_point
    program = CHECK.format(root=str(ROOT), directory=str(file.parent), file=str(file))
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=False)
    if "ModuleNotFoundError" in done.stderr:  # CI does not install the libraries that benchmarks need
        assert "lotusroute" not in done.stderr.splitlines()[-1]
        assert file.parent.name == "benchmarks"
    else:
        assert done.stdout.strip() in ("no reactor", "True"), done.stderr


def test_the_reactor_without_epoll_also_uses_the_monotonic_clock(monkeypatch):
    assert monotonic_reactor._reactor_class().seconds is time.monotonic
    monkeypatch.setitem(sys.modules, "twisted.internet.epollreactor", None)
    reactor_class = monotonic_reactor._reactor_class()
    assert reactor_class.__name__ == "MonotonicSelectReactor" and reactor_class.seconds is time.monotonic


def test_installing_after_a_reactor_on_the_wall_clock_is_an_error():
    program = (
        "from twisted.internet import reactor; from lotusroute.net import monotonic_reactor as module\n"
        "module.install()"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode != 0 and "timers of the installed reactor use the wall clock" in done.stderr
