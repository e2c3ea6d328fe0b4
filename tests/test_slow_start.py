"""Stories of cold servers under the sum of what a fleet sends, by the run of `benchmarks/slow_start.py`."""

import importlib.util
import pathlib
import sys

import pytest

FILE = pathlib.Path(__file__).parents[1] / "benchmarks" / "slow_start.py"
spec = importlib.util.spec_from_file_location("slow_start", FILE)
slow_start = importlib.util.module_from_spec(spec)
sys.modules["slow_start"] = slow_start  # named tuples look their module up
spec.loader.exec_module(slow_start)


@pytest.mark.parametrize(
    "directors, groups, seed",
    [
        (20, 36, 1),
        (20, 36, 11),
        (20, 36, 12),
        (30, 36, 2),
        (30, 190, 12),
        (60, 36, 8),
        (60, 190, 9),
    ],
)
def test_a_group_that_comes_back_whole_does_not_push_its_cold_home_over(directors, groups, seed):
    # Six of ten servers are replaced within 7 s. When the server that held a group drains, all of it comes
    # back within a second, by one or no flow a balancer, and each balancer took its flow for an even share:
    # homes 2 s old were sent 11 to 14, where 10.6 are allowed.
    got = slow_start.play((slow_start.Case(directors, False, "six-of-ten", groups, False), seed))
    assert got["worst"] <= 1.0, got
    assert got["filled"] > 0.15 and got["served"] > 0.99  # and they do get their part
