"""A KDL document as a tree of nodes that know where they stand. ``ckdl`` reads the values (KDL 2)."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import ckdl

from myrtleroad.config.scan import MOST_BYTES, Place, Scanner, Torn

Value = str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Fault:
    """One mistake: a code that programs can act on, a sentence, and where (from 1; 0 where it has no place).

    Codes: ``syntax``, ``schema``, ``range``, ``reference``, ``duplicate``, ``widens``, ``control``,
    ``size``."""

    code: str
    text: str
    line: int = 0
    column: int = 0
    path: tuple[str, ...] = ()  # of the entry at fault, where it is one: its place can be looked up

    def said(self, name: str) -> str:
        return f"{name}:{self.line}:{self.column}: {self.code}: {self.text}"


@dataclass(slots=True, frozen=True)
class Marked:
    """A value with its type annotation, as ``(ms)800``."""

    mark: str
    value: Value


@dataclass(slots=True)
class Node:
    name: str
    line: int
    column: int
    args: list[Value | Marked] = field(default_factory=list)
    properties: dict[str, Value | Marked] = field(default_factory=dict)
    children: list["Node"] = field(default_factory=list)
    text: str = ""  # as it stood, without its children


def value(v: object) -> Value | Marked:
    if isinstance(v, ckdl.Value):
        return Marked(v.type_annotation, v.value)
    return v


class Reading:
    """One document being read. ``steps`` yields between slices; afterwards ``roots`` and ``faults`` stand."""

    def __init__(self, text: bytes):
        self.text = text
        self.roots: list[Node] = []
        self.faults: list[Fault] = []
        self.torn = False  # whether the text could not be cut into nodes, so that some are not seen at all

    def steps(self, slice_nodes: int = 16) -> Iterator[None]:
        """Reads on by slices of some nodes. A fault of one node doesn't hide those of others."""
        if len(self.text) > MOST_BYTES:
            self.torn = True
            self.faults.append(Fault("size", f"{len(self.text)} bytes; {MOST_BYTES} are allowed"))
            return
        try:
            text = self.text.decode("utf-8")
        except UnicodeDecodeError as error:
            self.torn = True
            before = self.text[: error.start]
            line, last = before.count(b"\n") + 1, before.rfind(b"\n")
            column = len(before[last + 1 :].decode("utf-8", "replace")) + 1
            why = f"byte 0x{self.text[error.start]:02x} is no UTF-8"
            self.faults.append(Fault("syntax", why, line, column))
            return
        scanner = Scanner(text)
        try:
            yield from scanner.run(slice_nodes)
        except Torn as torn:
            self.torn = True
            self.faults.append(Fault("syntax", torn.why, torn.line, torn.column))
            return
        work: list[tuple[list[Place], list[Node]]] = [(scanner.roots, self.roots)]
        while work:
            places, into = work.pop()
            for at in range(0, len(places), slice_nodes):
                part = places[at : at + slice_nodes]
                for place, node in zip(part, self.read(part), strict=True):
                    if node is not None:
                        into.append(node)
                        if place.children:
                            work.append((place.children, node.children))
                yield
        yield from released(scanner.roots)

    def read(self, places: list[Place]) -> list[Node | None]:
        """These nodes, None for each that can't be read; in one call of the library where all can."""
        whole = "\n".join(p.text for p in places)
        try:
            nodes = ckdl.parse(whole).nodes
        except ckdl.ParseError:
            nodes = []
        if len(nodes) == len(places):
            return [self.node(p, n) for p, n in zip(places, nodes, strict=True)]
        return [self.alone(p) for p in places]

    def alone(self, place: Place) -> Node | None:
        try:
            (node,) = ckdl.parse(place.text).nodes
        except (ckdl.ParseError, ValueError) as error:
            why = str(error) if isinstance(error, ckdl.ParseError) else "not one node"
            shown = place.text if len(place.text) <= 60 else place.text[:57] + "..."
            self.faults.append(Fault("syntax", f"{why}: {shown!r}", place.line, place.column))
            return None
        return self.node(place, node)

    def node(self, place: Place, n: "ckdl.Node") -> Node:
        args = [value(v) for v in n.args]
        properties = {name: value(v) for name, v in n.properties.items()}
        return Node(n.name, place.line, place.column, args, properties, [], place.text)


def released(nodes: list, step: int = 128) -> Iterator[None]:
    """Takes a tree apart by slices: to let go of a large one in one go holds the loop like reading it."""
    work = [nodes]
    while work:
        nodes = work.pop()
        while nodes:
            work += [n.children for n in nodes[-step:] if n.children]
            del nodes[-step:]
            yield


def read(text: bytes) -> tuple[list[Node], list[Fault]]:
    """The whole document at once: its nodes and what is wrong with it."""
    reading = Reading(text)
    for _ in reading.steps():
        pass
    return reading.roots, reading.faults
