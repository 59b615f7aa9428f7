"""Frames between control service and front, without sockets. The format is described in
docs/formats/config-stream.md.

A frame is four bytes of length (big-endian, of what follows), one byte of kind, and a JSON object in
UTF-8."""

import struct
from dataclasses import dataclass
from typing import Any

import orjson

from myrtleroad.config.document import MAX_DOCUMENT_BYTES

HEADER = struct.Struct("!IB")
# A document as JSON with escapes; checked before reading.
MAX_FRAME_BYTES = 2 * MAX_DOCUMENT_BYTES
KINDS = {
    1: "hello",  # front: its name and the version that it holds
    2: "offer",  # control: a version, as a whole or as a difference
    3: "answer",  # front: the one final answer to an offer
    4: "confirm",  # control: the operator has confirmed a version
    5: "back",  # front: an acknowledged version was rolled back
    6: "alive",  # either: a heartbeat, sent if nothing else was
    7: "bye",  # either: why this side ends the stream
    8: "confirmed",  # front: a confirmed version is in force here
    9: "expired",  # control: a version was not confirmed in time
}
KIND_NUMBERS = {kind: number for number, kind in KINDS.items()}


class FrameError(Exception):
    """The received data is not a stream of frames; the connection has to be closed."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One decoded frame."""

    kind: str
    fields: dict[str, Any]


def encode_frame(kind: str, **fields: Any) -> bytes:
    """The bytes of one frame. Raises ValueError if it is larger than MAX_FRAME_BYTES."""
    body = orjson.dumps(fields)
    if len(body) + 1 > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(body) + 1} bytes; at most {MAX_FRAME_BYTES} are allowed")
    return HEADER.pack(len(body) + 1, KIND_NUMBERS[kind]) + body


class FrameDecoder:
    """Decodes frames from bytes that are split anywhere. Buffers at most one incomplete frame, and no more
    of it than has arrived: a length alone allocates nothing."""

    __slots__ = ("buffer", "frame_length")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.frame_length: int | None = None  # of the frame being received

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that are complete now. Raises FrameError."""
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
                continue  # of a later protocol version: skipped
            frames.append(Frame(kind, self.decode_fields(body)))

    @staticmethod
    def decode_fields(body: bytes) -> dict[str, Any]:
        """The fields of a frame. Raises FrameError if the body is not a JSON object."""
        try:
            fields = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise FrameError(f"a frame that is not valid JSON: {error}") from None
        if not isinstance(fields, dict):
            raise FrameError("a frame that is not a JSON object")
        return fields
