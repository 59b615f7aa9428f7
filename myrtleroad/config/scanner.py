"""Finds the nodes of a KDL document with the line, column and extent of each, before any node is parsed.

The library that parses values reports no positions and parses a text in one call. This scanner knows only
what it needs to find the end of a node (KDL 2: strings, raw strings, comments, slashdash, line
continuations, children). It limits depth and number of nodes, and can pause between nodes, so that a large
document doesn't block the event loop."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # a document of some 100,000 entries; checked before anything is read
MAX_NODES = 200_000  # limits memory: a parsed node takes some hundred bytes
MAX_DEPTH = 16  # the schema needs three; deeper nesting is a mistake or an attack

TOKEN = re.compile(
    r"""
      (?P<blank>[^\S\r\n\x0b\x0c\x85\u2028\u2029]+|\ufeff)
    | (?P<newline>\r\n|[\r\n\x0b\x0c\x85\u2028\u2029])
    | (?P<line_comment>//[^\r\n\x0b\x0c\x85\u2028\u2029]*)
    | (?P<comment_start>/\*)
    | (?P<slashdash>/-)
    | (?P<raw_string>\#+\"(?:\"\")?)
    | (?P<multiline_string>\"\"\")
    | (?P<string>\"(?:[^\"\\\r\n]|\\[\s\S])*\")
    | (?P<unclosed_string>\")
    | (?P<open_brace>\{)
    | (?P<close_brace>\})
    | (?P<semicolon>;)
    | (?P<line_continuation>\\)
    | (?P<identifier>[^\s\"{};\\/\ufeff]+|/)
    """,
    re.VERBOSE,
)


class ScanError(Exception):
    """The text can't be split into nodes. Holds the position (from 1) and the reason."""

    def __init__(self, line: int, column: int, reason: str):
        super().__init__(reason)
        self.line, self.column, self.reason = line, column, reason


@dataclass(slots=True)
class NodeSpan:
    """One node: its own text without its children, and the position where it begins (line and column from
    1)."""

    line: int
    column: int
    text: str
    children: list["NodeSpan"] = field(default_factory=list)


class Scanner:
    """Splits a text into nodes. ``scan_in_slices`` yields after every ``nodes_per_slice`` nodes so that
    other greenlets can run; ``roots`` holds the result."""

    def __init__(self, text: str):
        self.text, self.position, self.node_count = text, 0, 0
        self.line, self.line_start = 1, 0  # of ``position``
        self.roots: list[NodeSpan] = []

    def error(self, reason: str, position: int | None = None) -> ScanError:
        """A ScanError at a position of the text, by default the current one."""
        position = self.position if position is None else position
        return ScanError(self.line, position - self.line_start + 1, reason)

    def scan_in_slices(self, nodes_per_slice: int = 256) -> Iterator[None]:
        """Splits the whole text; ``roots`` holds the nodes afterwards. Raises ScanError."""
        # Lists of nodes around the open one, and whether their nodes are kept.
        stack: list[tuple[list[NodeSpan], bool]] = []
        siblings, keep, text = self.roots, True, self.text
        while self.position < len(text):
            kind, start = self.next_token()
            if kind in ("blank", "newline", "semicolon", "line_comment"):
                continue
            if kind == "close_brace":
                if not stack:
                    raise self.error("unmatched }", start)
                siblings, keep = stack.pop()
                self.expect_node_end()
                continue
            skip = kind == "slashdash"
            if skip:
                self.skip_blanks()
                kind, start = self.next_token() if self.position < len(text) else ("semicolon", self.position)
            if kind not in ("identifier", "string", "raw_string", "multiline_string"):
                raise self.error(f"expected a node name, found {text[start : start + 1]!r}", start)
            span = self.scan_node(start)
            self.node_count += 1
            if self.node_count > MAX_NODES:
                raise self.error(f"more than {MAX_NODES} nodes", start)
            if keep and not skip:
                siblings.append(span)
            if self.position < len(text) and text[self.position] == "{":
                self.position += 1
                stack.append((siblings, keep))
                if len(stack) > MAX_DEPTH:
                    raise self.error(f"nodes nested more than {MAX_DEPTH} levels deep", start)
                siblings, keep = span.children, keep and not skip
            if self.node_count % nodes_per_slice == 0:
                yield
        if stack:
            raise self.error("the text ends inside an unclosed block of children")

    def next_token(self) -> tuple[str, int]:
        """The kind of the next token and where it begins; ``position`` is after it then. Multi-line strings,
        raw strings and block comments are skipped as a whole."""
        match = TOKEN.match(self.text, self.position)
        if match is None:  # a control character that no pattern matches
            raise self.error(f"{self.text[self.position]!r} is not allowed here")
        kind, start, self.position = match.lastgroup or "", match.start(), match.end()
        match kind:
            case "unclosed_string":
                raise self.error("unterminated string: it has to end on its line", start)
            case "string":
                self.count_lines(start)
            case "newline":
                self.line, self.line_start = self.line + 1, self.position
            case "raw_string":
                hashes = match.group().count("#")
                quotes = match.group()[hashes:]
                self.skip_past(quotes + "#" * hashes, start, "a raw string")
            case "multiline_string":
                self.skip_multiline_string(start)
            case "comment_start":
                self.skip_block_comment(start)
                kind = "blank"
        return kind, start

    def count_lines(self, start: int) -> None:
        """Counts the lines within the skipped text: only escapes and multi-line strings contain any."""
        for found in re.finditer(r"\r\n|[\r\n\x0b\x0c\x85\u2028\u2029]", self.text[start : self.position]):
            self.line, self.line_start = self.line + 1, start + found.end()

    def skip_past(self, terminator: str, start: int, what: str) -> None:
        """Skips everything up to and including ``terminator``; ``what`` names it in the error."""
        end = self.text.find(terminator, self.position)
        if end < 0:
            raise self.error(f"{what} is not terminated", start)
        self.position = end + len(terminator)
        self.count_lines(start)

    def skip_multiline_string(self, start: int) -> None:
        """Skips a multi-line string; an escaped quote does not end it."""
        for found in re.finditer(r'\\[\s\S]|"""', self.text[self.position :]):
            if found.group() == '"""':
                self.position += found.end()
                return self.count_lines(start)
        raise self.error("unterminated multi-line string", start)

    def skip_block_comment(self, start: int) -> None:
        """Skips a block comment; block comments may be nested."""
        depth = 1
        while depth:
            found = re.compile(r"/\*|\*/").search(self.text, self.position)
            if found is None:
                raise self.error("unterminated block comment", start)
            self.position, depth = found.end(), depth + (1 if found.group() == "/*" else -1)
        self.count_lines(start)

    def skip_blanks(self) -> None:
        """Skips white space, line ends and comments between a slashdash and the element that it removes."""
        while (found := TOKEN.match(self.text, self.position)) and found.lastgroup in (
            "blank",
            "newline",
            "line_comment",
            "comment_start",
        ):
            self.next_token()

    def scan_node(self, start: int) -> NodeSpan:
        """The node from its name to its end or to its children, which are not read here."""
        span = NodeSpan(self.line, start - self.line_start + 1, "")
        # Line ends within the name were counted already: for the rare multi-line name, only the position of
        # its end is known.
        while self.position < len(self.text):
            found = TOKEN.match(self.text, self.position)
            kind = found.lastgroup if found else ""
            if kind in ("newline", "semicolon", "close_brace", "open_brace", "line_comment"):
                break
            if kind == "line_continuation":
                self.position += 1
                self.skip_line_continuation()
                continue
            if kind == "slashdash":
                self.position += 2
                self.skip_blanks()
                if self.text[self.position : self.position + 1] == "{":
                    raise self.error("/- before children is not supported; put it before their node")
                continue
            self.next_token()
        span.text = self.text[start : self.position]
        return span

    def skip_line_continuation(self) -> None:
        """Skips a line continuation: blanks and a comment up to the end of the line. The node continues
        after it."""
        while (found := TOKEN.match(self.text, self.position)) and found.lastgroup in (
            "blank",
            "line_comment",
            "comment_start",
        ):
            self.next_token()
        if self.position < len(self.text):
            kind, start = self.next_token()
            if kind != "newline":
                raise self.error("unexpected text after a line continuation \\", start)

    def expect_node_end(self) -> None:
        """Raises ScanError unless the node ends after its }."""
        while (found := TOKEN.match(self.text, self.position)) and found.lastgroup == "blank":
            self.next_token()
        found = TOKEN.match(self.text, self.position)
        if found is not None and found.lastgroup not in (
            "newline",
            "semicolon",
            "close_brace",
            "line_comment",
            "comment_start",
            None,
        ):
            raise self.error("unexpected node on the line of a }", found.start())
