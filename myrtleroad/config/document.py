"""Reads a KDL document (KDL 2) into a tree of nodes with their positions. ``ckdl`` parses the values."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import ckdl

from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES, NodeSpan, ScanError, Scanner

Value = str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Fault:
    """One error in a document: a code for programs, a sentence for people, and the position (from 1; 0 where
    it has none).

    Codes: ``syntax``, ``schema``, ``range``, ``reference``, ``duplicate``, ``widens``, ``control``,
    ``size``."""

    code: str
    text: str
    line: int = 0
    column: int = 0
    path: tuple[str, ...] = ()  # of the entry at fault, if there is one: its position can be looked up

    def describe(self, file_name: str) -> str:
        """The fault on one line: file, line, column, code and text."""
        return f"{file_name}:{self.line}:{self.column}: {self.code}: {self.text}"


@dataclass(slots=True, frozen=True)
class AnnotatedValue:
    """A value with its type annotation, such as ``(ms)800``."""

    annotation: str
    value: Value


@dataclass(slots=True)
class Node:
    """One node of a document, with the position where it begins (line and column from 1)."""

    name: str
    line: int
    column: int
    args: list[Value | AnnotatedValue] = field(default_factory=list)
    properties: dict[str, Value | AnnotatedValue] = field(default_factory=dict)
    children: list["Node"] = field(default_factory=list)
    text: str = ""  # source text without the children


def convert_value(parsed: object) -> Value | AnnotatedValue:
    """The value of an argument or a property as parsed by the library, with its annotation if it has one."""
    if isinstance(parsed, ckdl.Value):
        return AnnotatedValue(parsed.type_annotation, parsed.value)
    return parsed


class DocumentReader:
    """Reads one document. ``read_in_slices`` yields between slices; afterwards ``roots`` and ``faults``
    hold the result."""

    def __init__(self, text: bytes):
        self.text = text
        self.roots: list[Node] = []
        self.faults: list[Fault] = []
        self.incomplete = False  # the text could not be split into nodes, so some nodes were never seen

    def read_in_slices(self, nodes_per_slice: int = 16) -> Iterator[None]:
        """Reads in slices of some nodes each. A fault in one node doesn't hide the faults of others."""
        if len(self.text) > MAX_DOCUMENT_BYTES:
            self.incomplete = True
            self.faults.append(
                Fault("size", f"{len(self.text)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed")
            )
            return
        try:
            text = self.text.decode("utf-8")
        except UnicodeDecodeError as error:
            self.incomplete = True
            before = self.text[: error.start]
            line, last_newline = before.count(b"\n") + 1, before.rfind(b"\n")
            column = len(before[last_newline + 1 :].decode("utf-8", "replace")) + 1
            reason = f"byte 0x{self.text[error.start]:02x} is not valid UTF-8"
            self.faults.append(Fault("syntax", reason, line, column))
            return
        scanner = Scanner(text)
        try:
            yield from scanner.scan_in_slices(nodes_per_slice)
        except ScanError as error:
            self.incomplete = True
            self.faults.append(Fault("syntax", error.reason, error.line, error.column))
            return
        pending: list[tuple[list[NodeSpan], list[Node]]] = [(scanner.roots, self.roots)]
        while pending:
            spans, siblings = pending.pop()
            for start in range(0, len(spans), nodes_per_slice):
                batch = spans[start : start + nodes_per_slice]
                for span, node in zip(batch, self.parse_nodes(batch), strict=True):
                    if node is not None:
                        siblings.append(node)
                        if span.children:
                            pending.append((span.children, node.children))
                yield
        yield from release_in_slices(scanner.roots)

    def parse_nodes(self, spans: list[NodeSpan]) -> list[Node | None]:
        """Parses these nodes; None for each that can't be parsed. One call of the library where all are
        valid."""
        source = "\n".join(span.text for span in spans)
        try:
            nodes = ckdl.parse(source).nodes
        except ckdl.ParseError:
            nodes = []
        if len(nodes) == len(spans):
            return [self.build_node(span, parsed) for span, parsed in zip(spans, nodes, strict=True)]
        return [self.parse_single(span) for span in spans]

    def parse_single(self, span: NodeSpan) -> Node | None:
        """Parses one node; reports a fault and returns None if it is not valid."""
        try:
            (node,) = ckdl.parse(span.text).nodes
        except (ckdl.ParseError, ValueError) as error:
            reason = str(error) if isinstance(error, ckdl.ParseError) else "not a single node"
            excerpt = span.text if len(span.text) <= 60 else span.text[:57] + "..."
            self.faults.append(Fault("syntax", f"{reason}: {excerpt!r}", span.line, span.column))
            return None
        return self.build_node(span, node)

    def build_node(self, span: NodeSpan, parsed: "ckdl.Node") -> Node:
        """A node from its position and its parsed values, still without children."""
        args = [convert_value(value) for value in parsed.args]
        properties = {name: convert_value(value) for name, value in parsed.properties.items()}
        return Node(parsed.name, span.line, span.column, args, properties, [], span.text)


def release_in_slices(nodes: list, nodes_per_slice: int = 128) -> Iterator[None]:
    """Frees a tree in slices: freeing a large tree at once blocks the event loop as reading it would."""
    pending = [nodes]
    while pending:
        nodes = pending.pop()
        while nodes:
            pending += [node.children for node in nodes[-nodes_per_slice:] if node.children]
            del nodes[-nodes_per_slice:]
            yield


def read_document(text: bytes) -> tuple[list[Node], list[Fault]]:
    """Reads the whole document in one call and returns its nodes and faults."""
    reader = DocumentReader(text)
    for _ in reader.read_in_slices():
        pass
    return reader.roots, reader.faults
