"""JSON objects out of lines: one a line, or indented over many."""

import re

STRING_LITERAL = re.compile(rb'"(?:[^"\\]|\\.)*"')
MAX_OBJECT_BYTES = 1024 * 1024  # of one object, as of one line
TRUNCATED = "an object that was cut off"


def nesting_change(line: bytes) -> int:
    """By how much a line goes deeper into objects and lists."""
    bare = STRING_LITERAL.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class JsonObjectReader:
    """The objects of one stream. Blank lines between objects are signs of life; one within an object, or the
    beginning of another, shows that the first was cut off."""

    __slots__ = ("depth", "lines", "size", "top_level_key")

    def __init__(self, begins: bytes):
        self.top_level_key = begins  # a key that every whole object has and no object within it
        self.lines: list[bytes] = []  # of an object that has not ended
        self.depth, self.size = 0, 0

    def feed(self, text: bytes) -> bytes | None:
        """The object that ends with this line, if one does. Raises ValueError where there can be none."""
        line = text.strip()
        if not line and not self.lines:
            return None
        self.check(line)
        self.lines.append(line)
        self.size += len(line)
        self.depth += nesting_change(line)
        if self.size > MAX_OBJECT_BYTES:
            raise ValueError("an object without end")
        if self.depth > 0:
            return None
        whole, self.lines, self.depth, self.size = b"\n".join(self.lines), [], 0, 0
        return whole

    def check(self, line: bytes) -> None:
        if not self.lines:
            if not line.startswith(b"{"):
                raise ValueError("no object")
        elif not line or (line.startswith(b"{") and self.top_level_key in line):
            raise ValueError(TRUNCATED)
