"""Reads JSON objects from lines: one per line, or indented over many lines."""

import re

STRING_LITERAL = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
BRACKET = re.compile(rb"[\[\]{}]")
PIECE_BYTES, PIECE_END = 16 * 1024, b"},"  # a piece ends with an entry of a list
TRUNCATED = "truncated object"


def check_size(text: bytes, max_objects: int, max_values: int) -> None:
    """Raise ValueError if decoding a text would make more objects or values than this. Decoded, a short value
    takes many times the bytes of its text."""
    if text.count(b"{") > max_objects or text.count(b",") > max_values:
        raise ValueError("too many values")


def nesting_change(line: bytes) -> int:
    """By how much a line increases the nesting of objects and lists. Takes it in pieces, as all strings of a
    long one together take many times its bytes."""
    change, start = 0, 0
    if not BRACKET.search(line):
        return 0
    while start < len(line):
        end = line.find(PIECE_END, start + PIECE_BYTES) + 1 or len(line)
        bare = STRING_LITERAL.sub(b"", line[start:end])
        if b'"' in bare and end < len(line):  # the piece ends within a string
            return nesting_change_of_whole(line)
        change += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        start = end
    return change


def nesting_change_of_whole(line: bytes) -> int:
    """``nesting_change`` of a line in one piece."""
    bare = STRING_LITERAL.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class JsonObjectReader:
    """Reads the objects of one stream. Blank lines between objects are heartbeats; a blank line within an
    object, or the beginning of another one, shows that the first was truncated."""

    __slots__ = ("depth", "max_bytes", "text", "top_level_key")

    def __init__(self, top_level_key: bytes, max_bytes: int = 1024 * 1024):
        self.max_bytes = max_bytes  # of one object, the same as of one line
        self.top_level_key = top_level_key  # a key of every whole object and of no object nested in it
        self.text = bytearray()  # of an object that is not complete
        self.depth = 0

    def feed(self, raw_line: bytes) -> bytes | None:
        """The object that ends with this line, or None. Raises ValueError if the line cannot be part of an
        object."""
        line = raw_line.strip()
        if not line and not self.text:
            return None
        self.check(line)
        if not self.text and len(line) <= self.max_bytes and nesting_change(line) <= 0:
            return line  # a whole object, without a copy
        self.text += line
        self.text += b"\n"
        self.depth += nesting_change(line)
        if len(self.text) > self.max_bytes:
            raise ValueError("object too long")
        if self.depth > 0:
            return None
        object_text, self.text, self.depth = bytes(self.text), bytearray(), 0
        return object_text

    def check(self, line: bytes) -> None:
        """Raise ValueError if the line cannot be the next one."""
        if not self.text:
            if not line.startswith(b"{"):
                raise ValueError("not an object")
        elif not line or (line.startswith(b"{") and self.top_level_key in line):
            raise ValueError(TRUNCATED)
