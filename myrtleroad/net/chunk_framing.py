"""Limits what a chunked body carries beside its content: chunk sizes, chunk extensions and trailers
(RFC 9112, section 7.1). The HTTP parser reads them without a limit."""

MAX_FRAMING_BYTES = 16 * 1024  # as long as a head, whose place the trailers take
FREE_BYTES_PER_CHUNK = 16  # a size in hexadecimal digits, two line ends, a short extension


class ChunkFraming:
    """Counts the framing of one chunked body, beyond what its chunks need."""

    __slots__ = ("excess_bytes",)

    def __init__(self) -> None:
        self.excess_bytes = 0

    def add(self, received_bytes: int, content_bytes: int, chunks: int) -> None:
        """Counts a piece of the body: the bytes received, and the content and chunks that they held."""
        allowed_bytes = content_bytes + FREE_BYTES_PER_CHUNK * chunks
        self.excess_bytes = max(0, self.excess_bytes + received_bytes - allowed_bytes)

    @property
    def is_too_long(self) -> bool:
        """Whether the framing has passed its limit."""
        return self.excess_bytes > MAX_FRAMING_BYTES
