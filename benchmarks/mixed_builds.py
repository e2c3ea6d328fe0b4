"""Runs processes of two builds in one fleet, as during a rolling upgrade, and checks that they interoperate.

    python benchmarks/mixed_builds.py --other ../lotusroute-964a6b3

A build is a checkout of the project. There are two arrangements: one process of the other build with two of
this one, and one of this build with two of the other. Each is checked as follows:

- A process acquires the lease, and another one acquires it when the holder shuts down.
- The shared discovery task and the relays carry an endpoint list to balancers of both builds.
- This build then starts on the state folders that the processes of both builds left.

The exit code is 0 if all of that was observed, 1 if something was not, and 2 on wrong use. All processes stay
on loopback.
"""

import argparse
import pathlib
import sys
from collections.abc import Callable, Mapping

from checkout_path import CHECKOUT
from mixed_fleet import MixedFleet, StepFailedError, run_mixed_fleet, wait_for

from lotusroute.process_control.errors import ProcessControlError

# Each tuple holds the two names of one counter: first the name in builds up to 964a6b3, then the name in
# later builds.
SHARED_UPDATE_COUNTERS = ("watch_taken", "shared_discovery_applied")
RELAY_UPDATE_COUNTERS = ("news_taken", "updates_applied")

Builds = Mapping[str, pathlib.Path]  # the checkout of each process, by its name
Report = Callable[[str], None]


def check_leases(builds: Builds, report: Report) -> None:
    """Check that each build holds the lease and shares the list, and that this one starts on all states."""
    with run_mixed_fleet(builds) as fleet:
        for name in builds:
            fleet.start_balancer(name)
        for _ in builds:
            _check_holder_change(fleet, report)
        _check_restart(fleet, report)


def _check_holder_change(fleet: MixedFleet, report: Report) -> None:
    """Check that others apply the holder's list, and that one acquires the lease when the holder stops."""
    holder = fleet.wait_for_holder()
    token = fleet.highest_token()
    others = [name for name in fleet.builds if name != holder]
    for name in others:
        fleet.wait_until_applied(name, SHARED_UPDATE_COUNTERS)
    report(f"lease: {holder} holds it with fencing token {token}; {' and '.join(others)} apply its list")
    fleet.stop(holder)
    wait_for(lambda: fleet.highest_token() > token, f"another process acquires the lease after {holder}")
    fleet.start_balancer(holder)


def _check_restart(fleet: MixedFleet, report: Report) -> None:
    """Check that this build starts on all state folders, and that its fencing token is higher."""
    token = fleet.highest_token()
    fleet.stop_all()
    fleet.builds = dict.fromkeys(fleet.builds, CHECKOUT)
    for name in fleet.builds:
        fleet.start_balancer(name)
    holder = fleet.wait_for_holder()
    next_token = fleet.highest_token()
    if next_token <= token:
        raise StepFailedError(
            f"expected a fencing token above {token}, but {holder} acquired the lease with {next_token}"
        )
    report(f"state: this build starts on all state folders; fencing token {token}, then {next_token}")


def check_relays(builds: Builds, other: pathlib.Path, report: Report) -> None:
    """Check that relays of both builds carry a snapshot and a change of the list to balancers of both."""
    with run_mixed_fleet(builds) as fleet:
        for name in builds:
            fleet.start_relay(name)
        fleet.wait_for_holder()
        subscribers = {"balancer-this": CHECKOUT, "balancer-other": other}
        for name, build in subscribers.items():
            fleet.start_subscriber(name, build)
        for name in subscribers:
            _wait_for_updates(fleet, name, 0, "the snapshot")
        applied = {name: fleet.running[name].counter(RELAY_UPDATE_COUNTERS) for name in subscribers}
        fleet.publish_change()
        for name in subscribers:
            _wait_for_updates(fleet, name, applied[name], "the change")
        report("relays: balancers of both builds apply a snapshot and a change")


def _wait_for_updates(fleet: MixedFleet, name: str, applied: int, update: str) -> None:
    """Wait until a balancer has applied more than `applied` updates of the relays."""
    process = fleet.running[name]
    wait_for(lambda: process.counter(RELAY_UPDATE_COUNTERS) > applied, f"{name} applies {update}")


def check_arrangement(title: str, builds: Builds, other: pathlib.Path) -> bool:
    """Check leases and relays in one arrangement and print what was observed; returns whether all passed."""

    def report(text: str) -> None:
        print(f"{title}: {text}", flush=True)

    try:
        check_leases(builds, report)
        check_relays(builds, other, report)
    except ProcessControlError as error:
        print(f"{title}: FAILED: {error}", file=sys.stderr)
        return False
    return True


def main(arguments: list[str]) -> int:
    """Check both arrangements and return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--other", type=pathlib.Path, required=True, help="checkout of the other build")
    options = parser.parse_args(arguments)
    other = options.other.resolve()
    if not (other / "lotusroute/__main__.py").is_file():
        parser.error(
            f"--other {options.other}: not a checkout of lotusroute, has no file lotusroute/__main__.py"
        )
    arrangements = {
        "one of the other build, two of this one": {"n1": other, "n2": CHECKOUT, "n3": CHECKOUT},
        "one of this build, two of the other one": {"n1": CHECKOUT, "n2": other, "n3": other},
    }
    passed = [check_arrangement(title, builds, other) for title, builds in arrangements.items()]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
