"""Stories of docs/CAPACITY.md: each figure says how it is known; what is worked out is worked out anew."""

import ast
import operator
import pathlib
import re

import pytest

from lotusroute.capacity.target import Target

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
DOES = {ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv}
KNOWN = "target|measured|worked out|guessed"
ROW = re.compile(rf"^\| `(\w+)` \| ([^|]*) \| ([^|]*) \| ({KNOWN}) \| ([^|]*) \|$", re.M)
ROUNDED = 0.006  # share by which a figure on the page may differ: three digits are kept


def rows():
    """All figures of the page: name, value, how it is known, from what."""
    return [
        (name, float(value.replace(",", "")), known, source.strip())
        for name, value, _, known, source in ROW.findall(PAGE.read_text())
    ]


def worked_out(formula, figures):
    """The value of a formula over named figures."""

    def value(node):
        if isinstance(node, ast.Expression):
            return value(node.body)
        if isinstance(node, ast.BinOp):
            return DOES[type(node.op)](value(node.left), value(node.right))
        if isinstance(node, ast.Name):
            return figures[node.id]
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            return node.value
        raise ValueError(f"{formula}: {ast.dump(node)}")

    return value(ast.parse(formula, mode="eval"))


def test_what_is_worked_out_is_what_its_formula_gives():
    figures = {}
    for name, value, known, source in rows():
        assert name not in figures, f"{name} stands twice"
        figures[name] = value
        if known == "worked out":
            formula = source.strip("`").strip()
            assert value == pytest.approx(worked_out(formula, figures), rel=ROUNDED), (name, formula)
    assert sum(known == "worked out" for _, _, known, _ in rows()) > 30


def test_each_row_of_the_table_is_read_and_each_measured_figure_names_its_command():
    table = PAGE.read_text().split("## Figures", 1)[1].split("\n## ", 1)[0]
    lines = [text for text in table.splitlines() if text.startswith("| `")]
    assert len(lines) == len(rows()), [text for text in lines if not ROW.match(text)]
    for name, _, known, source in rows():
        assert known != "measured" or "`" in source, f"{name}: no command"


def test_the_target_on_the_page_is_the_programs():
    figures = {name: value for name, value, known, _ in rows() if known == "target"}
    told = Target()._asdict()
    assert {name: told[name] for name in figures} == figures and len(figures) >= 12
