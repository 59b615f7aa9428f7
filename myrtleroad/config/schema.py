"""The schema of documents: nodes, their values, units and ranges. The check reports every mistake, not only
the first.

A ``ValueKind`` describes one value, a ``NodeShape`` one node. ``VERSION_SCHEMA`` describes the versions
that operators write. It is data, so that ``config check`` and the documentation of the format agree."""

import difflib
from collections.abc import Iterator
from dataclasses import dataclass, field
from ipaddress import ip_network

from myrtleroad.config.document import AnnotatedValue, Fault, Node, Value

# Units by annotation: the factor that converts a value to the unit used in the program.
UNITS = {
    "duration": {"ms": 1.0, "s": 1000.0, "min": 60_000.0},  # in ms
    "rate": {"per-s": 1.0, "per-min": 1 / 60},  # per second
}


@dataclass(slots=True, frozen=True)
class ValueKind:
    """The kind of one value. ``duration`` and ``rate`` require a unit as type annotation, ``share`` and
    ``count`` have none."""

    name: str  # duration, rate, share, count, text, network, choice
    minimum: float = 0.0
    maximum: float = float("inf")
    choices: tuple[str, ...] = ()

    def describe(self) -> str:
        """The allowed values, as text for messages."""
        match self.name:
            case "choice":
                return "one of " + ", ".join(self.choices)
            case "text":
                return "a text"
            case "network":
                return 'a network such as "10.1.0.0/16"'
        units = UNITS.get(self.name)
        unit_text = f" with a unit: {', '.join(f'({unit_name})' for unit_name in units)}" if units else ""
        range_text = (
            f"from {self.minimum:g} to {self.maximum:g}"
            if self.maximum < float("inf")
            else f"of {self.minimum:g} or more"
        )
        base_unit = {"duration": " ms", "rate": " per second"}.get(self.name, "")
        return f"a {self.name} {range_text}{base_unit}{unit_text}"


def decode_value(kind: ValueKind, written: Value | AnnotatedValue) -> tuple[Value, str]:
    """Returns the value in the program's unit, and the reason if it is not valid (else "")."""
    unit, value = (
        (written.annotation, written.value) if isinstance(written, AnnotatedValue) else (None, written)
    )
    written_text = f"({unit}){value!r}" if unit else repr(value)
    reason = f"found {written_text}, expected {kind.describe()}"
    if kind.name in ("text", "choice", "network"):
        if unit or not isinstance(value, str) or not value:
            return None, reason
        if kind.name == "choice" and value not in kind.choices:
            return None, reason
        if kind.name == "network":
            try:
                return str(ip_network(value)), ""
            except ValueError as error:
                return None, f"{reason} ({error})"
        return value, ""
    units = UNITS.get(kind.name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or (units is None) == bool(unit) or (units is not None and unit not in units):
        return None, reason
    number = float(value) * (units[unit] if units else 1.0)
    if not kind.minimum <= number <= kind.maximum or (kind.name == "count" and number != int(number)):
        return None, reason
    return (int(number) if kind.name == "count" else number), ""


@dataclass(slots=True, frozen=True)
class NodeShape:
    """The shape of one node: its single argument, if it has one, its properties and its child nodes.

    ``repeatable``: the node may occur more than once, with different arguments. ``required`` names the
    properties that have to be present."""

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
    """One node after the check, with its values in the program's units."""

    name: str
    node: Node
    arg: Value = None
    properties: dict[str, Value] = field(default_factory=dict)
    children: list["CheckedNode"] = field(default_factory=list)


class SchemaCheck:
    """Checks nodes against shapes. ``check_in_slices`` yields between slices; ``faults`` holds every
    mistake, ``roots`` the checked nodes."""

    def __init__(self, nodes: list[Node], shapes: dict[str, NodeShape]):
        self.nodes, self.shapes = nodes, shapes
        self.faults: list[Fault] = []
        self.roots: list[CheckedNode] = []
        self.node_count = 0

    def check_in_slices(self, nodes_per_slice: int = 64) -> Iterator[None]:
        """Checks all nodes; yields after every ``nodes_per_slice`` nodes."""
        yield from self.check_level(self.nodes, self.shapes, self.roots, "the document", nodes_per_slice)

    def check_level(
        self,
        nodes: list[Node],
        shapes: dict[str, NodeShape],
        destination: list[CheckedNode],
        parent: str,
        nodes_per_slice: int,
    ) -> Iterator[None]:
        """Checks one list of nodes and their children."""
        first_nodes: dict[tuple[str, Value], Node] = {}  # within one list of nodes
        for node in nodes:
            self.node_count += 1
            if self.node_count % nodes_per_slice == 0:
                yield
            shape = shapes.get(node.name)
            if shape is None:
                self.report("schema", node, f"{parent} has no {node.name!r}{suggestion(node.name, shapes)}")
                continue
            checked = CheckedNode(node.name, node)
            self.check_values(node, shape, checked)
            earlier = first_nodes.setdefault((node.name, checked.arg if shape.repeatable else None), node)
            if earlier is not node:
                label = f"{node.name} {checked.arg!r}" if shape.repeatable else node.name
                self.report("duplicate", node, f"{label} is already on line {earlier.line}")
                continue
            destination.append(checked)
            if node.children and not shape.children:
                self.report("schema", node.children[0], f"{node.name} takes no child nodes")
            elif node.children:
                yield from self.check_level(
                    node.children, shape.children, checked.children, node.name, nodes_per_slice
                )

    def check_values(self, node: Node, shape: NodeShape, destination: CheckedNode) -> None:
        """Checks the argument and the properties of one node."""
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
                destination.arg, reason = decode_value(shape.arg, node.args[0])
                self.report_range(node, node.name, reason)
        for name, written in node.properties.items():
            kind = shape.properties.get(name)
            if kind is None:
                self.report(
                    "schema", node, f"{node.name} has no {name!r}{suggestion(name, shape.properties)}"
                )
                continue
            destination.properties[name], reason = decode_value(kind, written)
            self.report_range(node, f"{node.name} {name}", reason)
        for name in shape.required:
            if name not in node.properties:
                self.report(
                    "schema", node, f"{node.name} requires {name}: {shape.properties[name].describe()}"
                )

    def report_range(self, node: Node, label: str, reason: str) -> None:
        """Reports a value that is not valid, if there is a reason."""
        if reason:
            self.report("range", node, f"{label}: {reason}")

    def report(self, code: str, node: Node, text: str) -> None:
        """Adds a fault at the position of a node."""
        self.faults.append(Fault(code, text, node.line, node.column))


def suggestion(name: str, names: dict[str, object]) -> str:
    """A hint for an unknown name: the most similar known name, or all known names."""
    matches = difflib.get_close_matches(name, names, 1)
    return f"; did you mean {matches[0]!r}?" if matches else f"; it has {', '.join(names)}" if names else ""
