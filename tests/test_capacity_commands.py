"""Stories of the scale runs: exact counts at two sizes, and commands that refuse what does not fit."""

import json
import subprocess
import sys

import pytest

from lotusroute.capacity import deterministic_counts
from lotusroute.capacity.processes import TooLarge, fits
from lotusroute.capacity.regression_line import line


def scale(*words):
    call = [sys.executable, "-m", "lotusroute", "capacity", *words]
    return subprocess.run(call, capture_output=True, text=True, timeout=60, check=False)


@pytest.mark.parametrize(
    "role, size, messages, size_bytes",
    [
        (deterministic_counts.relay, 10, 140, 24_440),
        (deterministic_counts.relay, 20, 280, 48_880),
        (deterministic_counts.holder, 11, 160, 7_230),
        (deterministic_counts.holder, 21, 320, 14_460),
    ],
)
def test_messages_and_bytes_of_a_role_are_what_they_were(role, size, messages, size_bytes):
    assert role(size) == {"messages": messages, "bytes": size_bytes}


def test_a_run_is_measured_kept_and_compared_and_growth_by_over_a_quarter_is_an_exit_of_1(tmp_path):
    kept, grown = tmp_path / "kept.json", tmp_path / "grown.json"
    done = scale("measure", "list", "--sizes", "50,100", "--json", str(kept))
    assert done.returncode == 0 and "list.bytes: " in done.stdout and "(only 2 sizes)" in done.stdout
    assert "1 processes" in done.stderr  # what it takes is said beforehand
    told = json.loads(kept.read_text())
    (size,) = [one for one in told["lines"] if one["name"] == "list.bytes"]
    told["lines"] = [{**size, "points": [[x, 1.3 * y] for x, y in size["points"]]}]
    grown.write_text(json.dumps(told))
    kept.write_text(json.dumps({"lines": [size]}))
    done = scale("compare", str(kept), str(grown))
    assert done.returncode == 1 and "list.bytes: " in done.stdout and "1.30 times" in done.stdout
    assert scale("compare", str(kept), str(kept)).returncode == 0
    assert scale("compare", str(grown), str(kept)).returncode == 0


@pytest.mark.parametrize(
    "words, says",
    [
        (("measure", "list", "--sizes", "50"), "give two or more"),
        (("measure", "list", "--sizes", "many"), "give whole numbers"),
        (("measure", "all"), "'fleet', 'followers', 'list', 'plane', 'relays'"),
        (("propagation", "--scenario", "flood"), "there are calm, burst"),
        (
            ("propagation", "--relays", "64", "--real", "64", "--hollow", "20000"),
            "254 processes, 200 at most",
        ),
        (("compare", __file__, __file__), "no runs of `capacity measure --json`"),
    ],
)
def test_wrong_use_and_what_does_not_fit_are_refused_with_the_mend(words, says):
    done = scale(*words)
    assert done.returncode == 2 and says in done.stderr, done.stderr


def test_memory_over_half_of_the_machines_is_refused():
    with pytest.raises(TooLarge, match="half of this machine's"):
        fits(10, 10_000_000)


def test_one_size_makes_no_line():
    with pytest.raises(ValueError, match="at one size"):
        line("r", "ms", [(1, 2.0), (1, 3.0)])
