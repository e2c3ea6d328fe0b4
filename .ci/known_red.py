"""Runs the tests except those that KNOWN-RED.txt lists: known faults that are not fixed yet.

Each of its lines, three at most, is `TEST | CAUSE | ISSUE`. The run fails if a listed test passes or does not
exist, so that the list cannot become outdated; a failing test that is not listed always fails it.

    python .ci/known_red.py [PYTEST ARGUMENT ...]
"""

import pathlib
import subprocess
import sys
from typing import NamedTuple

LIST_FILE = pathlib.Path("KNOWN-RED.txt")
MAX_ENTRIES = 3
FIELD_COUNT = 3
EXIT_BAD_LIST = 2
PYTEST = [sys.executable, "-m", "pytest"]
PYTEST_TESTS_FAILED = 1  # pytest's exit code; any other than 0 means that the tests could not be run
SHOWN_OUTPUT = 500  # characters of a failed run's output


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read_list(path: pathlib.Path) -> list[KnownFailure]:
    """Read the list; raises ValueError that says which line to correct, and how."""
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{path}: {len(lines)} lines, {MAX_ENTRIES} at most; mend the others")
    return [parse_line(path, line) for line in lines]


def parse_line(path: pathlib.Path, line: str) -> KnownFailure:
    """Parse one line of the list."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise ValueError(f"{path}: '{line}': write TEST | CAUSE | ISSUE")
    return KnownFailure(*fields)


def run_unlisted_tests(arguments: list[str], known_failures: list[KnownFailure]) -> int:
    """Run all other tests; return pytest's exit code."""
    deselected = [f"--deselect={known.test}" for known in known_failures]
    return subprocess.run([*PYTEST, *arguments, *deselected], check=False).returncode


def outdated_reason(known: KnownFailure) -> str:
    """Run a listed test by itself; return why it must be taken off the list, empty if it fails as listed."""
    done = subprocess.run(
        [*PYTEST, "-q", "-p", "no:xdist", "-o", "addopts=", known.test],
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode == PYTEST_TESTS_FAILED:
        return ""
    if done.returncode == 0:
        return "it passes"
    return f"it can't be run:\n{done.stdout[-SHOWN_OUTPUT:]}"


def main(arguments: list[str]) -> int:
    """Run the tests; return the exit code."""
    try:
        known_failures = read_list(LIST_FILE)
    except ValueError as error:
        print(f"known red: {error}", file=sys.stderr)
        return EXIT_BAD_LIST
    exit_code = run_unlisted_tests(arguments, known_failures)
    for known in known_failures:
        print(f"known red, passed over: {known.test}: {known.cause} (issue {known.issue})", flush=True)
        reason = outdated_reason(known)
        if reason:
            print(f"known red: {known.test}: {reason}; take it off the list", file=sys.stderr)
            exit_code = exit_code or 1
    return exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
