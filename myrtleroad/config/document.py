"""A KDL document as a tree of nodes that know where they stand. ``ckdl`` reads the values (KDL 2)."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import ckdl

from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES, NodeSpan, ScanError, Scanner

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

    def describe(self, name: str) -> str:
        return f"{name}:{self.line}:{self.column}: {self.code}: {self.text}"


@dataclass(slots=True, frozen=True)
class AnnotatedValue:
    """A value with its type annotation, as ``(ms)800``."""

    annotation: str
    value: Value


@dataclass(slots=True)
class Node:
    name: str
    line: int
    column: int
    args: list[Value | AnnotatedValue] = field(default_factory=list)
    properties: dict[str, Value | AnnotatedValue] = field(default_factory=dict)
    children: list["Node"] = field(default_factory=list)
    text: str = ""  # as it stood, without its children


def convert_value(v: object) -> Value | AnnotatedValue:
    if isinstance(v, ckdl.Value):
        return AnnotatedValue(v.type_annotation, v.value)
    return v


class DocumentReader:
    """One document being read. ``steps`` yields between slices; afterwards ``roots`` and ``faults`` stand."""

    def __init__(self, text: bytes):
        self.text = text
        self.roots: list[Node] = []
        self.faults: list[Fault] = []
        self.incomplete = (
            False  # whether the text could not be cut into nodes, so that some are not seen at all
        )

    def read_in_slices(self, slice_nodes: int = 16) -> Iterator[None]:
        """Reads on by slices of some nodes. A fault of one node doesn't hide those of others."""
        if len(self.text) > MAX_DOCUMENT_BYTES:
            self.incomplete = True
            self.faults.append(Fault("size", f"{len(self.text)} bytes; {MAX_DOCUMENT_BYTES} are allowed"))
            return
        try:
            text = self.text.decode("utf-8")
        except UnicodeDecodeError as error:
            self.incomplete = True
            before = self.text[: error.start]
            line, last = before.count(b"\n") + 1, before.rfind(b"\n")
            column = len(before[last + 1 :].decode("utf-8", "replace")) + 1
            why = f"byte 0x{self.text[error.start]:02x} is no UTF-8"
            self.faults.append(Fault("syntax", why, line, column))
            return
        scanner = Scanner(text)
        try:
            yield from scanner.scan_in_slices(slice_nodes)
        except ScanError as torn:
            self.incomplete = True
            self.faults.append(Fault("syntax", torn.reason, torn.line, torn.column))
            return
        work: list[tuple[list[NodeSpan], list[Node]]] = [(scanner.roots, self.roots)]
        while work:
            places, into = work.pop()
            for at in range(0, len(places), slice_nodes):
                part = places[at : at + slice_nodes]
                for place, node in zip(part, self.parse_nodes(part), strict=True):
                    if node is not None:
                        into.append(node)
                        if place.children:
                            work.append((place.children, node.children))
                yield
        yield from release_in_slices(scanner.roots)

    def parse_nodes(self, places: list[NodeSpan]) -> list[Node | None]:
        """These nodes, None for each that can't be read; in one call of the library where all can."""
        whole = "\n".join(p.text for p in places)
        try:
            nodes = ckdl.parse(whole).nodes
        except ckdl.ParseError:
            nodes = []
        if len(nodes) == len(places):
            return [self.build_node(p, n) for p, n in zip(places, nodes, strict=True)]
        return [self.parse_single(p) for p in places]

    def parse_single(self, place: NodeSpan) -> Node | None:
        try:
            (node,) = ckdl.parse(place.text).nodes
        except (ckdl.ParseError, ValueError) as error:
            why = str(error) if isinstance(error, ckdl.ParseError) else "not one node"
            shown = place.text if len(place.text) <= 60 else place.text[:57] + "..."
            self.faults.append(Fault("syntax", f"{why}: {shown!r}", place.line, place.column))
            return None
        return self.build_node(place, node)

    def build_node(self, place: NodeSpan, n: "ckdl.Node") -> Node:
        args = [convert_value(v) for v in n.args]
        properties = {name: convert_value(v) for name, v in n.properties.items()}
        return Node(n.name, place.line, place.column, args, properties, [], place.text)


def release_in_slices(nodes: list, step: int = 128) -> Iterator[None]:
    """Takes a tree apart by slices: to let go of a large one in one go holds the loop like reading it."""
    work = [nodes]
    while work:
        nodes = work.pop()
        while nodes:
            work += [n.children for n in nodes[-step:] if n.children]
            del nodes[-step:]
            yield


def read_document(text: bytes) -> tuple[list[Node], list[Fault]]:
    """The whole document at once: its nodes and what is wrong with it."""
    reading = DocumentReader(text)
    for _ in reading.read_in_slices():
        pass
    return reading.roots, reading.faults
