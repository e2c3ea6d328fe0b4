"""Tests of the capacity commands: deterministic counts at two sizes, measured runs and rejected arguments."""

import json
import subprocess
import sys

import pytest

from lotusroute.capacity import deterministic_counts
from lotusroute.capacity.errors import TooFewSizesError
from lotusroute.capacity.measurement import Point, Series
from lotusroute.capacity.processes import RunTooLargeError, check_footprint
from lotusroute.capacity.regression_line import fit_line
from lotusroute.capacity.run_file import read_run


def run_command(*arguments):
    command = [sys.executable, "-m", "lotusroute", "capacity", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@pytest.mark.parametrize(
    ("count_sent", "size", "messages", "size_bytes"),
    [
        (deterministic_counts.count_sent_by_relay, 10, 140, 24_440),
        (deterministic_counts.count_sent_by_relay, 20, 280, 48_880),
        (deterministic_counts.count_sent_by_lease_holder, 11, 160, 7_230),
        (deterministic_counts.count_sent_by_lease_holder, 21, 320, 14_460),
    ],
)
def test_messages_and_bytes_of_relay_and_lease_holder_do_not_change(count_sent, size, messages, size_bytes):
    assert count_sent(size) == deterministic_counts.SentCounts(messages, size_bytes)


def write_run(file, *lines):
    file.write_text(json.dumps({"lines": lines}))
    return str(file)


def test_measure_prints_lines_and_writes_the_points_as_json(tmp_path):
    file = tmp_path / "run.json"
    done = run_command("measure", "list", "--sizes", "50,100", "--json", str(file))
    assert done.returncode == 0 and "list.bytes: " in done.stdout and "(only 2 sizes)" in done.stdout
    assert "1 processes" in done.stderr  # the footprint is printed before the run
    run = json.loads(file.read_text())
    assert (run["role"], run["seconds"]) == ("list", 8.0)
    (series,) = [line for line in run["lines"] if line["name"] == "list.bytes"]
    assert series == {"name": "list.bytes", "unit": "B", "points": [[50, 4_986], [100, 9_936]]}
    assert run_command("compare", str(file), str(file)).returncode == 0


def test_compare_exits_with_1_where_a_figure_grew_by_over_a_quarter(tmp_path):
    series = {"name": "list.bytes", "unit": "B", "points": [[50, 4_986], [100, 9_936]]}
    larger = {**series, "points": [[size, 1.3 * value] for size, value in series["points"]]}
    before = write_run(tmp_path / "before.json", series)
    after = write_run(tmp_path / "after.json", larger)
    done = run_command("compare", before, after)
    assert done.returncode == 1 and "list.bytes: " in done.stdout and "1.30 times" in done.stdout
    assert run_command("compare", before, before).returncode == 0
    assert run_command("compare", after, before).returncode == 0


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("measure", "list", "--sizes", "50"), "give two or more"),
        (("measure", "list", "--sizes", "many"), "give whole numbers"),
        (("measure", "all"), "'data-plane', 'direct-discovery', 'fleet', 'list', 'relays'"),
        (("propagation", "--scenario", "flood"), "--scenario flood: unknown; give one of calm, burst"),
        (
            ("propagation", "--relays", "64", "--real", "64", "--hollow", "20000"),
            "254 processes, 200 at most",
        ),
        (("compare", __file__, __file__), f"{__file__}: not a run of `capacity measure --json`"),
    ],
)
def test_invalid_arguments_and_too_large_runs_exit_with_2_and_a_corrective_message(arguments, message):
    done = run_command(*arguments)
    assert done.returncode == 2 and message in done.stderr, done.stderr


def test_a_run_that_needs_over_half_of_the_machines_memory_is_rejected():
    with pytest.raises(RunTooLargeError, match="half of this machine's memory"):
        check_footprint(10, 10_000_000)


def test_fitting_a_line_to_a_single_size_is_rejected():
    with pytest.raises(TooFewSizesError, match="at one size"):
        fit_line(Series("r", "ms", (Point(1, 2.0), Point(1, 3.0))))


def test_a_run_of_an_earlier_build_is_compared_under_the_present_names(tmp_path):
    earlier = {"name": "keeper.cpu", "unit": "% of a core", "points": [[8, 0.5], [30, 0.8]]}
    present = {**earlier, "name": "acceptor.cpu"}
    before = write_run(tmp_path / "before.json", earlier)
    after = write_run(tmp_path / "after.json", present)
    (series,) = read_run(before).lines
    assert series == Series("acceptor.cpu", "% of a core", (Point(8, 0.5), Point(30, 0.8)))
    assert run_command("compare", before, after).returncode == 0
