"""Where the nodes of a KDL document stand: line, column and bounds of each, found before any is parsed.

The library that reads values tells no positions and reads a text in one go. This scanner knows only what it
needs to find a node's end (KDL 2: strings, raw strings, comments, slashdash, line continuations, children),
bounds depth and count, and can be resumed between nodes, so that a large document doesn't hold a loop."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MOST_BYTES = 4 * 1024 * 1024  # a document of some 100,000 entries; told before anything is read
MOST_NODES = 200_000  # bounds memory: a parsed node takes some hundred bytes
MOST_DEPTH = 16  # the schema needs three; deeper is a mistake or an attack

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


class Torn(Exception):
    """The text can't be cut into nodes: where, and why."""

    def __init__(self, line: int, column: int, why: str):
        super().__init__(why)
        self.line, self.column, self.why = line, column, why


@dataclass(slots=True)
class Place:
    """One node: its own text without its children, and where it begins (both from 1)."""

    line: int
    column: int
    text: str
    children: list["Place"] = field(default_factory=list)


class Scanner:
    """``places`` yields after every ``step`` nodes so that its caller may let others run."""

    def __init__(self, text: str):
        self.text, self.at, self.nodes = text, 0, 0
        self.line, self.line_at = 1, 0  # of ``at``
        self.roots: list[Place] = []

    def torn(self, why: str, at: int | None = None) -> Torn:
        at = self.at if at is None else at
        return Torn(self.line, at - self.line_at + 1, why)

    def run(self, step: int = 256) -> Iterator[None]:
        """Cuts the whole text; ``roots`` holds the nodes afterwards. Raises Torn."""
        stack: list[tuple[list[Place], bool]] = []  # of lists that hold an open node, whether it is kept
        here, kept, text = self.roots, True, self.text
        while self.at < len(text):
            kind, begin = self.token()
            if kind in ("blank", "line", "stop", "remark"):
                continue
            if kind == "end":
                if not stack:
                    raise self.torn("a } that closes nothing", begin)
                here, kept = stack.pop()
                self.rest()
                continue
            skip = kind == "dash"
            if skip:
                self.blanks()
                kind, begin = self.token() if self.at < len(text) else ("stop", self.at)
            if kind not in ("word", "text", "raw", "long"):
                raise self.torn(f"a node's name was expected, found {text[begin : begin + 1]!r}", begin)
            place = self.node(begin)
            self.nodes += 1
            if self.nodes > MOST_NODES:
                raise self.torn(f"over {MOST_NODES} nodes", begin)
            if kept and not skip:
                here.append(place)
            if self.at < len(text) and text[self.at] == "{":
                self.at += 1
                stack.append((here, kept))
                if len(stack) > MOST_DEPTH:
                    raise self.torn(f"nodes within nodes, over {MOST_DEPTH} deep", begin)
                here, kept = place.children, kept and not skip
            if self.nodes % step == 0:
                yield
        if stack:
            raise self.torn("the text ends within children that are still open")

    def token(self) -> tuple[str, int]:
        """The kind of the next token and where it begins; ``at`` is behind it. Strings over lines, raw
        strings and comments are passed whole."""
        match = TOKEN.match(self.text, self.at)
        if match is None:  # a control character that nothing above takes
            raise self.torn(f"{self.text[self.at]!r} may not stand here")
        kind, begin, self.at = match.lastgroup or "", match.start(), match.end()
        match kind:
            case "torn":
                raise self.torn("a string that does not end on its line", begin)
            case "text":
                self.count(begin)
            case "line":
                self.line, self.line_at = self.line + 1, self.at
            case "raw":
                hashes = match.group().count("#")
                quotes = match.group()[hashes:]
                self.through(quotes + "#" * hashes, begin, "a raw string")
            case "long":
                self.long(begin)
            case "open":
                self.comment(begin)
                kind = "blank"
        return kind, begin

    def count(self, begin: int) -> None:
        """Lines within what was passed: only escapes and strings over lines hold any."""
        for m in re.finditer(r"\r\n|[\r\n\x0b\x0c\x85\u2028\u2029]", self.text[begin : self.at]):
            self.line, self.line_at = self.line + 1, begin + m.end()

    def through(self, mark: str, begin: int, what: str) -> None:
        end = self.text.find(mark, self.at)
        if end < 0:
            raise self.torn(f"{what} that does not end", begin)
        self.at = end + len(mark)
        self.count(begin)

    def long(self, begin: int) -> None:
        """A string over lines; an escaped quote does not end it."""
        for m in re.finditer(r'\\[\s\S]|"""', self.text[self.at :]):
            if m.group() == '"""':
                self.at += m.end()
                return self.count(begin)
        raise self.torn("a string over lines that does not end", begin)

    def comment(self, begin: int) -> None:
        depth = 1
        while depth:
            m = re.compile(r"/\*|\*/").search(self.text, self.at)
            if m is None:
                raise self.torn("a comment that does not end", begin)
            self.at, depth = m.end(), depth + (1 if m.group() == "/*" else -1)
        self.count(begin)

    def blanks(self) -> None:
        """White space, lines and comments between a slashdash and what it takes away."""
        while (m := TOKEN.match(self.text, self.at)) and m.lastgroup in ("blank", "line", "remark", "open"):
            self.token()

    def node(self, begin: int) -> Place:
        """From its name to its end or its children, which are not read here."""
        place = Place(self.line, begin - self.line_at + 1, "")
        # The name's own lines, if it has any, were counted: a name over lines is rare and only its end shows.
        while self.at < len(self.text):
            m = TOKEN.match(self.text, self.at)
            kind = m.lastgroup if m else ""
            if kind in ("line", "stop", "end", "begin", "remark"):
                break
            if kind == "join":
                self.at += 1
                self.join()
                continue
            if kind == "dash":
                self.at += 2
                self.blanks()
                if self.text[self.at : self.at + 1] == "{":
                    raise self.torn("children taken away by /- are not read here; take their node away")
                continue
            self.token()
        place.text = self.text[begin : self.at]
        return place

    def join(self) -> None:
        """A line continuation: blanks and a comment, then the end of the line, then the node goes on."""
        while (m := TOKEN.match(self.text, self.at)) and m.lastgroup in ("blank", "remark", "open"):
            self.token()
        if self.at < len(self.text):
            kind, begin = self.token()
            if kind != "line":
                raise self.torn("something behind a \\ that joins lines", begin)

    def rest(self) -> None:
        """Behind a } only the end of its node may stand."""
        while (m := TOKEN.match(self.text, self.at)) and m.lastgroup == "blank":
            self.token()
        m = TOKEN.match(self.text, self.at)
        if m is not None and m.lastgroup not in ("line", "stop", "end", "remark", "open", None):
            raise self.torn("a new node on the line of a }", m.start())
