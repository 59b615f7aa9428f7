"""What a document may hold: nodes, their values, units, ranges and defaults. Every mistake is told, not the
first alone.

A ``Kind`` says what one value may be, a ``Shape`` what one node may hold. The schema of the versions that
operators write is ``VERSION``; it is data, so that ``config check`` and the pages of the format say the
same."""

import difflib
from collections.abc import Iterator
from dataclasses import dataclass, field
from ipaddress import ip_network

from myrtleroad.config.document import AnnotatedValue, Fault, Node, Value

# units by their mark: what one of them is worth in the unit that the program counts in
UNITS = {
    "duration": {"ms": 1.0, "s": 1000.0, "min": 60_000.0},  # in ms
    "rate": {"per-s": 1.0, "per-min": 1 / 60},  # a second
}


@dataclass(slots=True, frozen=True)
class ValueKind:
    """One value: ``duration`` and ``rate`` want a unit as a mark, ``share`` and ``count`` none."""

    name: str  # duration, rate, share, count, text, network, choice
    minimum: float = 0.0
    maximum: float = float("inf")
    choices: tuple[str, ...] = ()

    def describe(self) -> str:
        match self.name:
            case "choice":
                return "one of " + ", ".join(self.choices)
            case "text":
                return "a text"
            case "network":
                return 'a network, as "10.1.0.0/16"'
        marks = UNITS.get(self.name)
        unit = f" with a unit, as {', '.join(f'({m})' for m in marks)}" if marks else ""
        span = (
            f"from {self.minimum:g} to {self.maximum:g}"
            if self.maximum < float("inf")
            else f"of {self.minimum:g} or more"
        )
        base = {"duration": " ms", "rate": " a second"}.get(self.name, "")
        return f"a {self.name} {span}{base}{unit}"


def decode_value(kind: ValueKind, got: Value | AnnotatedValue) -> tuple[Value, str]:
    """The value in the program's own unit, and what is wrong with it ("" where nothing is)."""
    mark, v = (got.annotation, got.value) if isinstance(got, AnnotatedValue) else (None, got)
    shown = f"({mark}){v!r}" if mark else repr(v)
    wrong = f"found {shown}, allowed is {kind.describe()}"
    if kind.name in ("text", "choice", "network"):
        if mark or not isinstance(v, str) or not v:
            return None, wrong
        if kind.name == "choice" and v not in kind.choices:
            return None, wrong
        if kind.name == "network":
            try:
                return str(ip_network(v)), ""
            except ValueError as error:
                return None, f"{wrong} ({error})"
        return v, ""
    units = UNITS.get(kind.name)
    number = isinstance(v, int | float) and not isinstance(v, bool)
    if not number or (units is None) == bool(mark) or (units is not None and mark not in units):
        return None, wrong
    figure = float(v) * (units[mark] if units else 1.0)
    if not kind.minimum <= figure <= kind.maximum or (kind.name == "count" and figure != int(figure)):
        return None, wrong
    return (int(figure) if kind.name == "count" else figure), ""


@dataclass(slots=True, frozen=True)
class NodeShape:
    """One node: its single argument, if it has one, its properties, and the nodes within it.

    ``many``: it may stand more than once, its arguments apart. ``needed`` names properties without which it
    means nothing."""

    arg: ValueKind | None = None
    properties: dict[str, ValueKind] = field(default_factory=dict)
    children: dict[str, "NodeShape"] = field(default_factory=dict)
    repeatable: bool = False
    required: tuple[str, ...] = ()


DURATION = ValueKind("duration", 1.0, 3_600_000.0)
COUNT = ValueKind("count", 1, 1_000_000)
VERSION_SCHEMA = {
    "version": NodeShape(
        arg=ValueKind("count", 1, 2**53),
        properties={"confirm": ValueKind("duration", 1000.0, 3_600_000.0), "note": ValueKind("text")},
    ),
    "routes": NodeShape(
        children={
            "route": NodeShape(
                arg=ValueKind("text"),
                properties={
                    "objective": DURATION,
                    "timeout": DURATION,
                    "most-tries": ValueKind("count", 1, 100),
                    "retry-budget": ValueKind("share", 0.0, 1.0),
                },
                repeatable=True,
            )
        }
    ),
    "trial": NodeShape(properties={"most-share": ValueKind("share", 0.0, 1.0)}, required=("most-share",)),
    "tenants": NodeShape(
        children={
            "tenant": NodeShape(
                arg=ValueKind("text"),
                properties={"rate": ValueKind("rate", 0.0, 1e6), "most-open": COUNT},
                repeatable=True,
            )
        }
    ),
    "networks": NodeShape(
        properties={"default": ValueKind("choice", choices=("admit", "refuse"))},
        children={
            "admit": NodeShape(
                arg=ValueKind("network"), properties={"note": ValueKind("text")}, repeatable=True
            ),
            "refuse": NodeShape(
                arg=ValueKind("network"), properties={"note": ValueKind("text")}, repeatable=True
            ),
        },
    ),
    "aside": NodeShape(
        children={
            "machine": NodeShape(
                arg=ValueKind("text"), properties={"note": ValueKind("text")}, repeatable=True
            ),
            "zone": NodeShape(arg=ValueKind("text"), properties={"note": ValueKind("text")}, repeatable=True),
        }
    ),
    "log": NodeShape(properties={"level": ValueKind("choice", choices=("debug", "info", "warning"))}),
}

FRONT_FILE_SCHEMA = {"control": NodeShape(arg=ValueKind("text"))}  # a front's own file, deploy/front.kdl


@dataclass(slots=True)
class CheckedNode:
    """One node that fits its shape: values in the program's units."""

    name: str
    node: Node
    arg: Value = None
    properties: dict[str, Value] = field(default_factory=dict)
    children: list["CheckedNode"] = field(default_factory=list)


class SchemaCheck:
    """Checks nodes against shapes. ``steps`` yields between slices; ``faults`` holds every mistake."""

    def __init__(self, nodes: list[Node], shapes: dict[str, NodeShape]):
        self.nodes, self.shapes = nodes, shapes
        self.faults: list[Fault] = []
        self.roots: list[CheckedNode] = []
        self.node_count = 0

    def check_in_slices(self, slice_nodes: int = 64) -> Iterator[None]:
        yield from self.check_level(self.nodes, self.shapes, self.roots, "the document", slice_nodes)

    def check_level(
        self, nodes: list[Node], shapes: dict[str, NodeShape], into: list[CheckedNode], where: str, step: int
    ) -> Iterator[None]:
        met: dict[tuple[str, Value], Node] = {}  # of one list of nodes
        for node in nodes:
            self.node_count += 1
            if self.node_count % step == 0:
                yield
            shape = shapes.get(node.name)
            if shape is None:
                self.report("schema", node, f"{where} has no {node.name!r}{suggestion(node.name, shapes)}")
                continue
            checked = CheckedNode(node.name, node)
            self.check_values(node, shape, checked)
            first = met.setdefault((node.name, checked.arg if shape.repeatable else None), node)
            if first is not node:
                what = f"{node.name} {checked.arg!r}" if shape.repeatable else node.name
                self.report("duplicate", node, f"{what} stands already on line {first.line}")
                continue
            into.append(checked)
            if node.children and not shape.children:
                self.report("schema", node.children[0], f"{node.name} holds no nodes")
            elif node.children:
                yield from self.check_level(node.children, shape.children, checked.children, node.name, step)

    def check_values(self, node: Node, shape: NodeShape, into: CheckedNode) -> None:
        if shape.arg is None and node.args:
            self.report("schema", node, f"{node.name} takes no value, found {node.args[0]!r}")
        if shape.arg is not None:
            if len(node.args) != 1:
                self.report(
                    "schema",
                    node,
                    f"{node.name} takes one value, found {len(node.args)}: {shape.arg.describe()}",
                )
            else:
                into.arg, why = decode_value(shape.arg, node.args[0])
                self.report_range(node, node.name, why)
        for name, got in node.properties.items():
            kind = shape.properties.get(name)
            if kind is None:
                self.report(
                    "schema", node, f"{node.name} has no {name!r}{suggestion(name, shape.properties)}"
                )
                continue
            into.properties[name], why = decode_value(kind, got)
            self.report_range(node, f"{node.name} {name}", why)
        for name in shape.required:
            if name not in node.properties:
                self.report("schema", node, f"{node.name} needs {name}: {shape.properties[name].describe()}")

    def report_range(self, node: Node, what: str, why: str) -> None:
        if why:
            self.report("range", node, f"{what}: {why}")

    def report(self, code: str, node: Node, text: str) -> None:
        self.faults.append(Fault(code, text, node.line, node.column))


def suggestion(name: str, names: dict[str, object]) -> str:
    close = difflib.get_close_matches(name, names, 1)
    return f"; did you mean {close[0]!r}?" if close else f"; it has {', '.join(names)}" if names else ""
