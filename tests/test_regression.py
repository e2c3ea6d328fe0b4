"""Tests of `benchmarks/regression.py` with a shell script as a stub of the bench."""

import json
import pathlib
import subprocess
import sys
from collections.abc import Callable

import pytest

SCRIPT = pathlib.Path(__file__).parents[1] / "benchmarks" / "regression.py"
DAY_LINE = "zone  G 0.600  floor 0.5  top 0.9  score 0.25"
SCORE_LINE = "score of the real nodes 0.250"


@pytest.fixture
def run_regression(tmp_path) -> Callable[..., subprocess.CompletedProcess[str]]:
    """Return a function that runs the script with a stub, which prints `output` and records its arguments."""

    def run(*arguments, output=f"{DAY_LINE}\n{SCORE_LINE}", baseline=None):
        bench = tmp_path / "bench"
        bench.write_text(f"#!/bin/sh\necho \"$@\" >> {tmp_path}/calls\necho '{output}'\n")
        bench.chmod(0o755)
        (tmp_path / "site").touch()
        baseline_file = tmp_path / "kept.json"
        baseline_file.write_text(json.dumps(baseline or {}))
        paths = ["--bench", str(bench), "--site", str(tmp_path / "site"), "--baseline", str(baseline_file)]
        command = [sys.executable, str(SCRIPT), *paths, *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    return run


@pytest.fixture
def bench_calls(tmp_path) -> Callable[[], list[str]]:
    """Return a function that returns the arguments of each call of the stub."""
    return lambda: (tmp_path / "calls").read_text().splitlines()


@pytest.fixture
def mass_bench(tmp_path) -> list[str]:
    """Return arguments that make the stub also run `mass`, the panel of many balancers."""
    return ["--bench", f"mass={tmp_path / 'bench'}"]


def test_panels_run_one_after_the_other_and_their_scores_become_the_baseline(
    run_regression, bench_calls, tmp_path
):
    result = run_regression("--write-baseline", "--runs", "2", baseline={"vast": 0.3})
    assert result.returncode == 0 and "vast: 0.250 of [0.25, 0.25], baseline 0.300" in result.stdout
    assert ["later" in call for call in bench_calls()] == [False, False, True, True]
    assert json.loads((tmp_path / "kept.json").read_text()) == {"vast": 0.25, "later": 0.25}


def test_the_older_option_names_write_the_baseline(run_regression, tmp_path):
    older_file = tmp_path / "older.json"
    result = run_regression("--keep", "--kept", str(older_file), "--panel", "vast")
    assert result.returncode == 0
    assert json.loads(older_file.read_text()) == {"vast": 0.25}


def test_a_score_below_the_baseline_by_more_than_the_noise_fails_and_is_not_written(run_regression, tmp_path):
    result = run_regression("--write-baseline", "--panel", "vast", baseline={"vast": 0.5})
    assert result.returncode == 1
    assert "0.500, regressed" in result.stdout
    assert json.loads((tmp_path / "kept.json").read_text()) == {"vast": 0.5}


def test_a_violated_rule_fails_the_run(run_regression):
    result = run_regression("--panel", "vast", output=f"{DAY_LINE}  BROKEN: fault\n{SCORE_LINE}")
    assert result.returncode == 1 and "violation zone: BROKEN: fault" in result.stdout


def test_a_bench_for_the_mass_panel_runs_that_panel_besides_the_others(
    run_regression, mass_bench, bench_calls
):
    result = run_regression(*mass_bench, output=f"{DAY_LINE}\n{SCORE_LINE}\nGATE passed")
    assert result.returncode == 0 and len(bench_calls()) == 3


def test_a_failed_gate_fails_the_run(run_regression, mass_bench):
    output = f"{DAY_LINE}\n{SCORE_LINE}\nGATE failed: failback, herd"
    result = run_regression(*mass_bench, "--panel", "mass", output=output)
    assert result.returncode == 1 and "violation GATE failed: failback, herd" in result.stdout


def test_output_of_a_gated_panel_without_a_gate_line_is_an_error(run_regression, mass_bench):
    result = run_regression(*mass_bench, "--panel", "mass")
    assert result.returncode == 2 and "no line that begins with GATE" in result.stderr


def test_a_panel_without_a_bench_is_an_error(run_regression):
    result = run_regression("--panel", "mass")
    assert result.returncode == 2 and "give --bench mass=FILE" in result.stderr


def test_a_missing_bench_is_an_error(run_regression, tmp_path):
    result = run_regression("--bench", str(tmp_path / "none"))
    assert result.returncode == 2 and "none: no such file" in result.stderr


def test_output_without_a_score_is_an_error(run_regression):
    result = run_regression("--panel", "later", output="building")
    assert result.returncode == 2 and "panel later: exit 0, no score" in result.stderr
