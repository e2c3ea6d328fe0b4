"""Tests that docs/on-call.md lists exactly the log events and counters in the code, with their files."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lotusroute"
TOOLS = {"capacity", "fault_injection"}  # measure and test the program; nobody is on call for them
LOGGING_FUNCTIONS = {"log_event", "log_exception", "log_step"}
COUNTER_TABLE = re.compile(r"[A-Z_]*COUNTERS?")  # constants that map a type or outcome to its counter
PLACEHOLDER = "*"  # for the variable part of a name: `ended_RESULT` on the page, f"ended_{result}" in code


def _name_of(node: ast.expr) -> str:
    """Return the last part of a dotted name, or an empty string for any other expression."""
    if isinstance(node, ast.Attribute):
        return node.attr
    return node.id if isinstance(node, ast.Name) else ""


def _text_of(node: ast.expr) -> str | None:
    """Return a string literal with a placeholder for each variable part; None for any other expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = (part.value if isinstance(part, ast.Constant) else PLACEHOLDER for part in node.values)
        return "".join(parts)
    return None


def _events_in(tree: ast.AST) -> set[str]:
    """Return event names: literal arguments of logging functions that are called or are passed to a timer."""
    found = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        names = [_name_of(node.func), *map(_name_of, node.args)]
        for name, argument in zip(names, node.args, strict=False):
            text = _text_of(argument)
            if name in LOGGING_FUNCTIONS and text is not None:
                found.add(text)
    return found


def _is_counter_table(node: ast.AST) -> bool:
    """Return whether this assigns a dict to a constant whose name ends in COUNTER or COUNTERS."""
    if not isinstance(node, ast.Assign | ast.AnnAssign) or not isinstance(node.value, ast.Dict):
        return False
    target = node.targets[0] if isinstance(node, ast.Assign) else node.target
    return COUNTER_TABLE.fullmatch(_name_of(target)) is not None


def _counters_in(tree: ast.AST) -> set[str]:
    """Return counter names: literal keys of `counters[...]`, and the values of counter tables."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Subscript) and _name_of(node.value).lstrip("_") == "counters":
            found.add(_text_of(node.slice))
        elif _is_counter_table(node):
            found.update(map(_text_of, node.value.values))
    return found - {None}


def _in_code(collect) -> dict[str, set[str]]:
    """Return the names that `collect` finds in the code, each with its files (relative to the package)."""
    found: dict[str, set[str]] = {}
    for file in sorted(PACKAGE.rglob("*.py")):
        relative = file.relative_to(PACKAGE)
        if relative.parts[0] in TOOLS:
            continue
        for name in collect(ast.parse(file.read_text(encoding="utf-8"))):
            found.setdefault(name, set()).add(relative.as_posix())
    return found


def _on_page(kind: str) -> dict[str, set[str]]:
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
            for written in re.findall(r"`([^`]+)`", cells[0]):
                name = re.sub(r"[A-Z]+", PLACEHOLDER, written)
                found.setdefault(name, set()).update(re.findall(r"`([^`]+)`", cells[column]))
    return found


@pytest.mark.parametrize(
    ("kind", "collect", "least"), [("event", _events_in, 25), ("counter", _counters_in, 60)]
)
def test_names_in_the_code_and_on_the_page_are_the_same_and_have_their_file(kind, collect, least):
    written, documented = _in_code(collect), _on_page(kind)
    assert len(written) >= least
    assert sorted(written) == sorted(documented)
    for name, files in written.items():
        assert files <= documented[name], f"{name} is also written by {files - documented[name]}"


def test_every_file_on_the_page_exists():
    named = set().union(*_on_page("event").values(), *_on_page("counter").values())
    assert named
    assert [name for name in sorted(named) if not (PACKAGE / name).is_file()] == []
