"""No module of `lotusroute/net/` imports from a higher layer, and no two modules import each other."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "lotusroute"
# From the lowest to the highest. A folder stands for its modules, without those that are named themselves.
LAYERS = [
    ["timing"],
    ["net"],
    ["net.transport"],
    ["net.upstream", "net.discovery"],
    ["net.downstream"],
    ["net.flows"],
    ["net.balancer"],
]
# These name each other only in annotations: an event names the connection that queues it, and a line protocol
# the backpressure that acts on it.
ANNOTATED_PAIRS = {
    frozenset({"net.downstream.connection", "net.downstream.events"}),
    frozenset({"net.transport.line_protocol", "net.transport.backpressure"}),
}


def modules():
    """Return the path of each module in the layers by its name within the package."""
    files = [*(PACKAGE / "net").rglob("*.py"), *(PACKAGE / "timing").rglob("*.py")]
    return {".".join(file.relative_to(PACKAGE).with_suffix("").parts): file for file in files}


def imports_of(file):
    """Return the names within the package that a module imports, also for annotations."""
    names = set()
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("lotusroute."):
            module = node.module.removeprefix("lotusroute.")
            names |= {module, *(f"{module}.{alias.name}" for alias in node.names)}
    return names & modules().keys()


def layer_of(name):
    """Return the index of a module's layer."""
    folder = name if name == "net.balancer" else name.rpartition(".")[0]
    return next(index for index, layer in enumerate(LAYERS) if folder in layer)


@pytest.mark.parametrize("name", sorted(modules()))
def test_a_module_imports_from_its_own_layer_and_lower_ones(name):
    higher = {other for other in imports_of(modules()[name]) if layer_of(other) > layer_of(name)}
    assert higher == set()


def test_upstream_and_discovery_do_not_import_each_other():
    for name, file in modules().items():
        rooms = {name.rpartition(".")[0], *(other.rpartition(".")[0] for other in imports_of(file))}
        assert (
            name.startswith(("net.flows", "net.balancer")) or not {"net.upstream", "net.discovery"} <= rooms
        )


def test_no_two_modules_import_each_other():
    imports = {name: imports_of(file) for name, file in modules().items()}
    pairs = {
        frozenset({name, other})
        for name, others in imports.items()
        for other in others
        if name in imports[other]
    }
    assert pairs <= ANNOTATED_PAIRS
