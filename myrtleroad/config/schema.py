"""What a document may hold: nodes, their values, units, ranges and defaults. Every mistake is told, not the
first alone.

A ``Kind`` says what one value may be, a ``Shape`` what one node may hold. The schema of the versions that
operators write is ``VERSION``; it is data, so that ``config check`` and the pages of the format say the
same."""

import difflib
from collections.abc import Iterator
from dataclasses import dataclass, field
from ipaddress import ip_network

from myrtleroad.config.document import Fault, Marked, Node, Value

# units by their mark: what one of them is worth in the unit that the program counts in
UNITS = {
    "duration": {"ms": 1.0, "s": 1000.0, "min": 60_000.0},  # in ms
    "rate": {"per-s": 1.0, "per-min": 1 / 60},  # a second
}


@dataclass(slots=True, frozen=True)
class Kind:
    """One value: ``duration`` and ``rate`` want a unit as a mark, ``share`` and ``count`` none."""

    name: str  # duration, rate, share, count, text, network, choice
    low: float = 0.0
    high: float = float("inf")
    choices: tuple[str, ...] = ()

    def said(self) -> str:
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
            f"from {self.low:g} to {self.high:g}" if self.high < float("inf") else f"of {self.low:g} or more"
        )
        base = {"duration": " ms", "rate": " a second"}.get(self.name, "")
        return f"a {self.name} {span}{base}{unit}"


def decode(kind: Kind, got: Value | Marked) -> tuple[Value, str]:
    """The value in the program's own unit, and what is wrong with it ("" where nothing is)."""
    mark, v = (got.mark, got.value) if isinstance(got, Marked) else (None, got)
    shown = f"({mark}){v!r}" if mark else repr(v)
    wrong = f"found {shown}, allowed is {kind.said()}"
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
    if not kind.low <= figure <= kind.high or (kind.name == "count" and figure != int(figure)):
        return None, wrong
    return (int(figure) if kind.name == "count" else figure), ""


@dataclass(slots=True, frozen=True)
class Shape:
    """One node: its single argument, if it has one, its properties, and the nodes within it.

    ``many``: it may stand more than once, its arguments apart. ``needed`` names properties without which it
    means nothing."""

    arg: Kind | None = None
    properties: dict[str, Kind] = field(default_factory=dict)
    children: dict[str, "Shape"] = field(default_factory=dict)
    many: bool = False
    needed: tuple[str, ...] = ()


DURATION = Kind("duration", 1.0, 3_600_000.0)
COUNT = Kind("count", 1, 1_000_000)
VERSION = {
    "version": Shape(
        arg=Kind("count", 1, 2**53),
        properties={"confirm": Kind("duration", 1000.0, 3_600_000.0), "note": Kind("text")},
    ),
    "routes": Shape(
        children={
            "route": Shape(
                arg=Kind("text"),
                properties={
                    "objective": DURATION,
                    "timeout": DURATION,
                    "most-tries": Kind("count", 1, 100),
                    "retry-budget": Kind("share", 0.0, 1.0),
                },
                many=True,
            )
        }
    ),
    "trial": Shape(properties={"most-share": Kind("share", 0.0, 1.0)}, needed=("most-share",)),
    "tenants": Shape(
        children={
            "tenant": Shape(
                arg=Kind("text"),
                properties={"rate": Kind("rate", 0.0, 1e6), "most-open": COUNT},
                many=True,
            )
        }
    ),
    "networks": Shape(
        properties={"default": Kind("choice", choices=("admit", "refuse"))},
        children={
            "admit": Shape(arg=Kind("network"), properties={"note": Kind("text")}, many=True),
            "refuse": Shape(arg=Kind("network"), properties={"note": Kind("text")}, many=True),
        },
    ),
    "aside": Shape(
        children={
            "machine": Shape(arg=Kind("text"), properties={"note": Kind("text")}, many=True),
            "zone": Shape(arg=Kind("text"), properties={"note": Kind("text")}, many=True),
        }
    ),
    "log": Shape(properties={"level": Kind("choice", choices=("debug", "info", "warning"))}),
}

FRONT = {"control": Shape(arg=Kind("text"))}  # a front's own file, deploy/front.kdl


@dataclass(slots=True)
class Checked:
    """One node that fits its shape: values in the program's units."""

    name: str
    node: Node
    arg: Value = None
    properties: dict[str, Value] = field(default_factory=dict)
    children: list["Checked"] = field(default_factory=list)


class Check:
    """Checks nodes against shapes. ``steps`` yields between slices; ``faults`` holds every mistake."""

    def __init__(self, nodes: list[Node], shapes: dict[str, Shape]):
        self.nodes, self.shapes = nodes, shapes
        self.faults: list[Fault] = []
        self.roots: list[Checked] = []
        self.seen = 0

    def steps(self, slice_nodes: int = 64) -> Iterator[None]:
        yield from self.level(self.nodes, self.shapes, self.roots, "the document", slice_nodes)

    def level(
        self, nodes: list[Node], shapes: dict[str, Shape], into: list[Checked], where: str, step: int
    ) -> Iterator[None]:
        met: dict[tuple[str, Value], Node] = {}  # of one list of nodes
        for node in nodes:
            self.seen += 1
            if self.seen % step == 0:
                yield
            shape = shapes.get(node.name)
            if shape is None:
                self.wrong("schema", node, f"{where} has no {node.name!r}{near(node.name, shapes)}")
                continue
            checked = Checked(node.name, node)
            self.values(node, shape, checked)
            first = met.setdefault((node.name, checked.arg if shape.many else None), node)
            if first is not node:
                what = f"{node.name} {checked.arg!r}" if shape.many else node.name
                self.wrong("duplicate", node, f"{what} stands already on line {first.line}")
                continue
            into.append(checked)
            if node.children and not shape.children:
                self.wrong("schema", node.children[0], f"{node.name} holds no nodes")
            elif node.children:
                yield from self.level(node.children, shape.children, checked.children, node.name, step)

    def values(self, node: Node, shape: Shape, into: Checked) -> None:
        if shape.arg is None and node.args:
            self.wrong("schema", node, f"{node.name} takes no value, found {node.args[0]!r}")
        if shape.arg is not None:
            if len(node.args) != 1:
                self.wrong(
                    "schema", node, f"{node.name} takes one value, found {len(node.args)}: {shape.arg.said()}"
                )
            else:
                into.arg, why = decode(shape.arg, node.args[0])
                self.because(node, node.name, why)
        for name, got in node.properties.items():
            kind = shape.properties.get(name)
            if kind is None:
                self.wrong("schema", node, f"{node.name} has no {name!r}{near(name, shape.properties)}")
                continue
            into.properties[name], why = decode(kind, got)
            self.because(node, f"{node.name} {name}", why)
        for name in shape.needed:
            if name not in node.properties:
                self.wrong("schema", node, f"{node.name} needs {name}: {shape.properties[name].said()}")

    def because(self, node: Node, what: str, why: str) -> None:
        if why:
            self.wrong("range", node, f"{what}: {why}")

    def wrong(self, code: str, node: Node, text: str) -> None:
        self.faults.append(Fault(code, text, node.line, node.column))


def near(name: str, names: dict[str, object]) -> str:
    close = difflib.get_close_matches(name, names, 1)
    return f"; did you mean {close[0]!r}?" if close else f"; it has {', '.join(names)}" if names else ""
