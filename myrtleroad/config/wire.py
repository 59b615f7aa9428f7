"""Frames between control service and front, free of sockets. docs/formats/config-stream.md is their page.

A frame is four bytes of length (big-endian, of what follows), one byte of kind, and a JSON object in
UTF-8."""

import struct
from dataclasses import dataclass
from typing import Any

import orjson

from myrtleroad.config.document import MOST_BYTES

HEAD = struct.Struct("!IB")
MOST_FRAME = 2 * MOST_BYTES  # a document's text as JSON, escapes included; told before it is read
KINDS = {
    1: "hello",  # front: who it is, what it holds
    2: "offer",  # control: a version, whole or as a difference
    3: "answer",  # front: the one final answer to an offer
    4: "confirm",  # control: the operator stands by a version
    5: "back",  # front: a version that was acknowledged went back by itself
    6: "alive",  # either: a sign of life, sent where nothing else was
    7: "bye",  # either: why this side ends the stream
}
NUMBERS = {word: number for number, word in KINDS.items()}


class Spoilt(Exception):
    """What came is no stream of frames; the connection is of no further use."""


@dataclass(slots=True, frozen=True)
class Frame:
    kind: str
    fields: dict[str, Any]


def encode(kind: str, **fields: Any) -> bytes:
    body = orjson.dumps(fields)
    if len(body) + 1 > MOST_FRAME:
        raise ValueError(f"a frame of {len(body) + 1} bytes; {MOST_FRAME} are allowed")
    return HEAD.pack(len(body) + 1, NUMBERS[kind]) + body


class Decoder:
    """Bytes cut anywhere become frames. Holds at most one frame that is not whole, and no more of it than has
    come: a length alone reserves nothing."""

    __slots__ = ("held", "size")

    def __init__(self) -> None:
        self.held = bytearray()
        self.size: int | None = None  # of the frame that is coming

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now. Raises Spoilt."""
        self.held += data
        frames = []
        while True:
            if self.size is None:
                if len(self.held) < 4:
                    return frames
                (self.size,) = struct.unpack_from("!I", self.held)
                if not 1 <= self.size <= MOST_FRAME:
                    raise Spoilt(f"a frame of {self.size} bytes; 1 to {MOST_FRAME} are allowed")
            if len(self.held) < 4 + self.size:
                return frames
            kind = KINDS.get(self.held[4])
            body = bytes(memoryview(self.held)[5 : 4 + self.size])
            del self.held[: 4 + self.size]
            self.size = None
            if kind is None:
                continue  # of a later protocol: passed over
            frames.append(Frame(kind, self.fields(body)))

    @staticmethod
    def fields(body: bytes) -> dict[str, Any]:
        try:
            fields = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise Spoilt(f"a frame that is no JSON: {error}") from None
        if not isinstance(fields, dict):
            raise Spoilt("a frame that is no object")
        return fields
