"""Frames between control service and front, free of sockets. docs/formats/config-stream.md is their page.

A frame is four bytes of length (big-endian, of what follows), one byte of kind, and a JSON object in
UTF-8."""

import struct
from dataclasses import dataclass
from typing import Any

import orjson

from myrtleroad.config.document import MAX_DOCUMENT_BYTES

HEADER = struct.Struct("!IB")
MAX_FRAME_BYTES = (
    2 * MAX_DOCUMENT_BYTES
)  # a document's text as JSON, escapes included; told before it is read
KINDS = {
    1: "hello",  # front: who it is, what it holds
    2: "offer",  # control: a version, whole or as a difference
    3: "answer",  # front: the one final answer to an offer
    4: "confirm",  # control: the operator stands by a version
    5: "back",  # front: a version that was acknowledged went back by itself
    6: "alive",  # either: a sign of life, sent where nothing else was
    7: "bye",  # either: why this side ends the stream
}
KIND_NUMBERS = {word: number for number, word in KINDS.items()}


class FrameError(Exception):
    """What came is no stream of frames; the connection is of no further use."""


@dataclass(slots=True, frozen=True)
class Frame:
    kind: str
    fields: dict[str, Any]


def encode_frame(kind: str, **fields: Any) -> bytes:
    body = orjson.dumps(fields)
    if len(body) + 1 > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(body) + 1} bytes; {MAX_FRAME_BYTES} are allowed")
    return HEADER.pack(len(body) + 1, KIND_NUMBERS[kind]) + body


class FrameDecoder:
    """Bytes cut anywhere become frames. Holds at most one frame that is not whole, and no more of it than has
    come: a length alone reserves nothing."""

    __slots__ = ("buffer", "frame_length")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.frame_length: int | None = None  # of the frame that is coming

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now. Raises Spoilt."""
        self.buffer += data
        frames = []
        while True:
            if self.frame_length is None:
                if len(self.buffer) < 4:
                    return frames
                (self.frame_length,) = struct.unpack_from("!I", self.buffer)
                if not 1 <= self.frame_length <= MAX_FRAME_BYTES:
                    raise FrameError(
                        f"a frame of {self.frame_length} bytes; 1 to {MAX_FRAME_BYTES} are allowed"
                    )
            if len(self.buffer) < 4 + self.frame_length:
                return frames
            kind = KINDS.get(self.buffer[4])
            body = bytes(memoryview(self.buffer)[5 : 4 + self.frame_length])
            del self.buffer[: 4 + self.frame_length]
            self.frame_length = None
            if kind is None:
                continue  # of a later protocol: passed over
            frames.append(Frame(kind, self.decode_fields(body)))

    @staticmethod
    def decode_fields(body: bytes) -> dict[str, Any]:
        try:
            fields = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise FrameError(f"a frame that is no JSON: {error}") from None
        if not isinstance(fields, dict):
            raise FrameError("a frame that is no object")
        return fields
