"""Tests that docs/on-call.md lists exactly the log events and counters in the code, with their files."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lotusroute"
# These packages measure and test the program; nobody is on call for them.
EXCLUDED_PACKAGES = {"capacity", "fault_injection"}
LOGGING_FUNCTIONS = {"log_event", "log_exception", "log_step"}
# Names of the constants that map a type or an outcome to its counter.
COUNTER_TABLE_NAME = re.compile(r"[A-Z_]*COUNTERS?")
# Stands for the variable part of a name, such as `ended_RESULT` on the page and f"ended_{result}" in code.
PLACEHOLDER = "*"


def _last_name(node: ast.expr) -> str:
    """Return the last part of a dotted name, or an empty string for any other expression."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _literal_text(node: ast.expr) -> str | None:
    """Return a string literal with a placeholder for each variable part; None for any other expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = (part.value if isinstance(part, ast.Constant) else PLACEHOLDER for part in node.values)
        return "".join(parts)
    return None


def _event_names(tree: ast.AST) -> set[str]:
    """Return event names: literal arguments of logging functions that are called or are passed to a timer."""
    found = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        names = [_last_name(node.func), *map(_last_name, node.args)]
        for name, argument in zip(names, node.args, strict=False):
            text = _literal_text(argument)
            if name in LOGGING_FUNCTIONS and text is not None:
                found.add(text)
    return found


def _is_counter_table(node: ast.AST) -> bool:
    """Return whether this assigns a dict to a constant whose name ends in COUNTER or COUNTERS."""
    if not isinstance(node, ast.Assign | ast.AnnAssign) or not isinstance(node.value, ast.Dict):
        return False
    target = node.targets[0] if isinstance(node, ast.Assign) else node.target
    return COUNTER_TABLE_NAME.fullmatch(_last_name(target)) is not None


def _counter_names(tree: ast.AST) -> set[str]:
    """Return counter names: literal keys of `counters[...]`, and the values of counter tables."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Subscript) and _last_name(node.value).lstrip("_") == "counters":
            found.add(_literal_text(node.slice))
        elif _is_counter_table(node):
            found.update(map(_literal_text, node.value.values))
    return found - {None}


def _names_in_code(collect) -> dict[str, set[str]]:
    """Return the names that `collect` finds in the code, each with its files (relative to the package)."""
    found: dict[str, set[str]] = {}
    for file in sorted(PACKAGE.rglob("*.py")):
        relative = file.relative_to(PACKAGE)
        if relative.parts[0] in EXCLUDED_PACKAGES:
            continue
        for name in collect(ast.parse(file.read_text(encoding="utf-8"))):
            found.setdefault(name, set()).add(relative.as_posix())
    return found


def _names_on_page(kind: str) -> dict[str, set[str]]:
    """Return the names in the page's tables of this kind, each with the files in its column `where`."""
    found: dict[str, set[str]] = {}
    column = None
    for line in (ROOT / "docs/on-call.md").read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.split("|")[1:-1]]
        if not cells:
            column = None
        elif cells[0] in ("event", "counter"):
            column = cells.index("where") if cells[0] == kind else None
        elif column is not None and not cells[0].startswith("---"):
            for documented_name in re.findall(r"`([^`]+)`", cells[0]):
                name = re.sub(r"[A-Z]+", PLACEHOLDER, documented_name)
                found.setdefault(name, set()).update(re.findall(r"`([^`]+)`", cells[column]))
    return found


@pytest.mark.parametrize(
    ("kind", "collect", "min_count"), [("event", _event_names, 25), ("counter", _counter_names, 60)]
)
def test_page_lists_exactly_the_names_in_the_code_with_their_files(kind, collect, min_count):
    in_code, documented = _names_in_code(collect), _names_on_page(kind)
    assert len(in_code) >= min_count
    assert sorted(in_code) == sorted(documented)
    for name, files in in_code.items():
        assert files <= documented[name], f"{name} is also written by {files - documented[name]}"


def test_every_file_on_the_page_exists():
    named = set().union(*_names_on_page("event").values(), *_names_on_page("counter").values())
    assert named
    assert [name for name in sorted(named) if not (PACKAGE / name).is_file()] == []
