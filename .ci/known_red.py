"""Runs the tests, passing over just those that KNOWN-RED.txt lists: faults known, named and not yet mended.

Owns how that file is read, and that it can't grow stale: three lines at most, each `TEST | CAUSE | ISSUE`; a
listed test that passes, or does not exist, fails the run. It must never pass over one that is not listed.

    python .ci/known_red.py [PYTEST ARGUMENT ...]
"""

import pathlib
import subprocess
import sys

FILE = pathlib.Path("KNOWN-RED.txt")
MOST = 3  # lines: more, and what is red is the state of the program
FAILED = 1  # pytest's exit where tests ran and failed; all else is an error of another kind


def read(file: pathlib.Path) -> list[tuple[str, str, str]]:
    """Read the list; raises ValueError that names the line and the mend."""
    text = file.read_text(encoding="utf-8") if file.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{file}: {len(lines)} lines, {MOST} at most; mend the others")
    found = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"{file}: '{line}': write TEST | CAUSE | ISSUE")
        found.append((fields[0], fields[1], fields[2]))
    return found


def main(arguments: list[str]) -> int:
    """Run; returns the exit code."""
    try:
        known = read(FILE)
    except ValueError as fault:
        print(f"known red: {fault}", file=sys.stderr)
        return 2
    run = [sys.executable, "-m", "pytest"]
    without = [f"--deselect={test}" for test, _, _ in known]
    code = subprocess.run([*run, *arguments, *without], check=False).returncode
    for test, cause, issue in known:
        print(f"known red, passed over: {test}: {cause} (issue {issue})", flush=True)
        alone = subprocess.run(
            [*run, "-q", "-p", "no:xdist", "-o", "addopts=", test],
            capture_output=True,
            text=True,
            check=False,
        )
        if alone.returncode != FAILED:
            said = "it passes" if alone.returncode == 0 else f"it can't be run:\n{alone.stdout[-500:]}"
            print(f"known red: {test}: {said}; take it off the list", file=sys.stderr)
            code = code or 1
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
