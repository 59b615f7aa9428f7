"""Where the nodes of a KDL document stand: line, column and bounds of each, found before any is parsed.

The library that reads values tells no positions and reads a text in one go. This scanner knows only what it
needs to find a node's end (KDL 2: strings, raw strings, comments, slashdash, line continuations, children),
bounds depth and count, and can be resumed between nodes, so that a large document doesn't hold a loop."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # a document of some 100,000 entries; told before anything is read
MAX_NODES = 200_000  # bounds memory: a parsed node takes some hundred bytes
MAX_DEPTH = 16  # the schema needs three; deeper is a mistake or an attack

TOKEN = re.compile(
    r"""
      (?P<blank>[^\S\r\n\x0b\x0c\x85\u2028\u2029]+|\ufeff)
    | (?P<line>\r\n|[\r\n\x0b\x0c\x85\u2028\u2029])
    | (?P<remark>//[^\r\n\x0b\x0c\x85\u2028\u2029]*)
    | (?P<open>/\*)
    | (?P<dash>/-)
    | (?P<raw>\#+\"(?:\"\")?)
    | (?P<long>\"\"\")
    | (?P<text>\"(?:[^\"\\\r\n]|\\[\s\S])*\")
    | (?P<torn>\")
    | (?P<begin>\{)
    | (?P<end>\})
    | (?P<stop>;)
    | (?P<join>\\)
    | (?P<word>[^\s\"{};\\/\ufeff]+|/)
    """,
    re.VERBOSE,
)


class ScanError(Exception):
    """The text can't be cut into nodes: where, and why."""

    def __init__(self, line: int, column: int, why: str):
        super().__init__(why)
        self.line, self.column, self.reason = line, column, why


@dataclass(slots=True)
class NodeSpan:
    """One node: its own text without its children, and where it begins (both from 1)."""

    line: int
    column: int
    text: str
    children: list["NodeSpan"] = field(default_factory=list)


class Scanner:
    """``places`` yields after every ``step`` nodes so that its caller may let others run."""

    def __init__(self, text: str):
        self.text, self.position, self.node_count = text, 0, 0
        self.line, self.line_start = 1, 0  # of ``at``
        self.roots: list[NodeSpan] = []

    def error(self, why: str, at: int | None = None) -> ScanError:
        at = self.position if at is None else at
        return ScanError(self.line, at - self.line_start + 1, why)

    def scan_in_slices(self, step: int = 256) -> Iterator[None]:
        """Cuts the whole text; ``roots`` holds the nodes afterwards. Raises Torn."""
        stack: list[tuple[list[NodeSpan], bool]] = []  # of lists that hold an open node, whether it is kept
        here, kept, text = self.roots, True, self.text
        while self.position < len(text):
            kind, begin = self.next_token()
            if kind in ("blank", "line", "stop", "remark"):
                continue
            if kind == "end":
                if not stack:
                    raise self.error("a } that closes nothing", begin)
                here, kept = stack.pop()
                self.expect_node_end()
                continue
            skip = kind == "dash"
            if skip:
                self.skip_blanks()
                kind, begin = self.next_token() if self.position < len(text) else ("stop", self.position)
            if kind not in ("word", "text", "raw", "long"):
                raise self.error(f"a node's name was expected, found {text[begin : begin + 1]!r}", begin)
            place = self.scan_node(begin)
            self.node_count += 1
            if self.node_count > MAX_NODES:
                raise self.error(f"over {MAX_NODES} nodes", begin)
            if kept and not skip:
                here.append(place)
            if self.position < len(text) and text[self.position] == "{":
                self.position += 1
                stack.append((here, kept))
                if len(stack) > MAX_DEPTH:
                    raise self.error(f"nodes within nodes, over {MAX_DEPTH} deep", begin)
                here, kept = place.children, kept and not skip
            if self.node_count % step == 0:
                yield
        if stack:
            raise self.error("the text ends within children that are still open")

    def next_token(self) -> tuple[str, int]:
        """The kind of the next token and where it begins; ``at`` is behind it. Strings over lines, raw
        strings and comments are passed whole."""
        match = TOKEN.match(self.text, self.position)
        if match is None:  # a control character that nothing above takes
            raise self.error(f"{self.text[self.position]!r} may not stand here")
        kind, begin, self.position = match.lastgroup or "", match.start(), match.end()
        match kind:
            case "torn":
                raise self.error("a string that does not end on its line", begin)
            case "text":
                self.count_lines(begin)
            case "line":
                self.line, self.line_start = self.line + 1, self.position
            case "raw":
                hashes = match.group().count("#")
                quotes = match.group()[hashes:]
                self.skip_past(quotes + "#" * hashes, begin, "a raw string")
            case "long":
                self.skip_multiline_string(begin)
            case "open":
                self.skip_block_comment(begin)
                kind = "blank"
        return kind, begin

    def count_lines(self, begin: int) -> None:
        """Lines within what was passed: only escapes and strings over lines hold any."""
        for m in re.finditer(r"\r\n|[\r\n\x0b\x0c\x85\u2028\u2029]", self.text[begin : self.position]):
            self.line, self.line_start = self.line + 1, begin + m.end()

    def skip_past(self, mark: str, begin: int, what: str) -> None:
        end = self.text.find(mark, self.position)
        if end < 0:
            raise self.error(f"{what} that does not end", begin)
        self.position = end + len(mark)
        self.count_lines(begin)

    def skip_multiline_string(self, begin: int) -> None:
        """A string over lines; an escaped quote does not end it."""
        for m in re.finditer(r'\\[\s\S]|"""', self.text[self.position :]):
            if m.group() == '"""':
                self.position += m.end()
                return self.count_lines(begin)
        raise self.error("a string over lines that does not end", begin)

    def skip_block_comment(self, begin: int) -> None:
        depth = 1
        while depth:
            m = re.compile(r"/\*|\*/").search(self.text, self.position)
            if m is None:
                raise self.error("a comment that does not end", begin)
            self.position, depth = m.end(), depth + (1 if m.group() == "/*" else -1)
        self.count_lines(begin)

    def skip_blanks(self) -> None:
        """White space, lines and comments between a slashdash and what it takes away."""
        while (m := TOKEN.match(self.text, self.position)) and m.lastgroup in (
            "blank",
            "line",
            "remark",
            "open",
        ):
            self.next_token()

    def scan_node(self, begin: int) -> NodeSpan:
        """From its name to its end or its children, which are not read here."""
        place = NodeSpan(self.line, begin - self.line_start + 1, "")
        # The name's own lines, if it has any, were counted: a name over lines is rare and only its end shows.
        while self.position < len(self.text):
            m = TOKEN.match(self.text, self.position)
            kind = m.lastgroup if m else ""
            if kind in ("line", "stop", "end", "begin", "remark"):
                break
            if kind == "join":
                self.position += 1
                self.skip_line_continuation()
                continue
            if kind == "dash":
                self.position += 2
                self.skip_blanks()
                if self.text[self.position : self.position + 1] == "{":
                    raise self.error("children taken away by /- are not read here; take their node away")
                continue
            self.next_token()
        place.text = self.text[begin : self.position]
        return place

    def skip_line_continuation(self) -> None:
        """A line continuation: blanks and a comment, then the end of the line, then the node goes on."""
        while (m := TOKEN.match(self.text, self.position)) and m.lastgroup in ("blank", "remark", "open"):
            self.next_token()
        if self.position < len(self.text):
            kind, begin = self.next_token()
            if kind != "line":
                raise self.error("something behind a \\ that joins lines", begin)

    def expect_node_end(self) -> None:
        """Behind a } only the end of its node may stand."""
        while (m := TOKEN.match(self.text, self.position)) and m.lastgroup == "blank":
            self.next_token()
        m = TOKEN.match(self.text, self.position)
        if m is not None and m.lastgroup not in ("line", "stop", "end", "remark", "open", None):
            raise self.error("a new node on the line of a }", m.start())
