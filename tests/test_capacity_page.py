"""Tests of docs/CAPACITY.md: each figure states its origin, and derived figures agree with their formulas."""

import ast
import operator
import pathlib
import re
from typing import NamedTuple

import pytest

from lotusroute.capacity.target import Target

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
OPERATORS = {ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv}
ORIGINS = "target|measured|worked out|guessed"
ROW = re.compile(rf"^\| `(\w+)` \| ([^|]*) \| ([^|]*) \| ({ORIGINS}) \| ([^|]*) \|$", re.MULTILINE)
ROUNDING_FRACTION = 0.006  # figures on the page are rounded to three digits


class Figure(NamedTuple):
    """One row of the page's table of figures."""

    name: str
    value: float
    origin: str  # how the value is known, one of ORIGINS
    source: str  # the command that measured it or the formula that yields it


@pytest.fixture(scope="module")
def figures():
    return [
        Figure(name, float(value.replace(",", "")), origin, source.strip())
        for name, value, _, origin, source in ROW.findall(PAGE.read_text())
    ]


def evaluate(formula, values):
    """Evaluate a formula of numbers, names of values and the four basic operations."""

    def evaluate_node(node):
        if isinstance(node, ast.Expression):
            return evaluate_node(node.body)
        if isinstance(node, ast.BinOp):
            return OPERATORS[type(node.op)](evaluate_node(node.left), evaluate_node(node.right))
        if isinstance(node, ast.Name):
            return values[node.id]
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            return node.value
        raise ValueError(f"{formula}: expected numbers, names and + - * / only, found {ast.dump(node)}")

    return evaluate_node(ast.parse(formula, mode="eval"))


def test_derived_figures_agree_with_their_formulas(figures):
    values = {}
    for figure in figures:
        assert figure.name not in values, f"{figure.name} is listed twice"
        values[figure.name] = figure.value
        if figure.origin == "worked out":
            formula = figure.source.strip("`").strip()
            expected = pytest.approx(evaluate(formula, values), rel=ROUNDING_FRACTION)
            assert figure.value == expected, (figure.name, formula)
    assert sum(figure.origin == "worked out" for figure in figures) > 30


def test_every_row_of_the_table_is_parsed(figures):
    table = PAGE.read_text().split("## Figures", 1)[1].split("\n## ", 1)[0]
    rows = [line for line in table.splitlines() if line.startswith("| `")]
    assert len(rows) == len(figures), [row for row in rows if not ROW.match(row)]


def test_measured_figures_name_their_command(figures):
    for figure in figures:
        assert figure.origin != "measured" or "`" in figure.source, (
            f"{figure.name}: source has no command: {figure.source!r}"
        )


def test_target_figures_on_the_page_match_the_code(figures):
    stated = {figure.name: figure.value for figure in figures if figure.origin == "target"}
    target = Target()._asdict()
    assert {name: target[name] for name in stated} == stated and len(stated) >= 12
