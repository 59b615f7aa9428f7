"""HTTP/1.1 messages: parsed by httptools without copying, serialized in parts for gathered writes."""

from dataclasses import dataclass, field

import httptools

from myrtleroad.net.chunk_framing import ChunkFraming
from myrtleroad.net.exchange_result import UpstreamResponse

MAX_HEAD_BYTES = 16 * 1024  # as common servers allow
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit
MAX_HEADER_LINES = 100  # as common servers allow
HEADER_LINE_BYTES = 400  # that a header line takes in memory beside its own bytes, as objects
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
HOP_BY_HOP = frozenset(  # headers that hold for one connection only
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect".split(b" ")
)
CONTENT_LENGTH = b"content-length"  # replaced when a message is forwarded
TRANSFER_ENCODING = b"transfer-encoding"
LINE_END, HEAD_END = b"\r\n", b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpError(Exception):
    """The received bytes are no valid request or response; ``status`` is the status for the client. Handled
    by the owner of the connection."""

    def __init__(self, status: int):
        self.status = status


@dataclass(slots=True, eq=False)
class Message:
    """One request as received."""

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    first_values: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    repeated: set[bytes] = field(default_factory=set)  # lower-case names of headers that came more than once
    body: bytes = b""
    keep_alive: bool = True

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header as received; of several with one name, ``header`` returns the first."""
        lower_name = name.lower()
        self.headers.append((name, value))
        if lower_name in self.first_values:
            self.repeated.add(lower_name)
        else:
            self.first_values[lower_name] = value

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header by its lower-case name."""
        return self.first_values.get(name)

    def single_value(self, name: bytes) -> bytes | None:
        """Returns the value of a header that may come only once; None if it came more often, as then it is
        not defined which value holds."""
        return None if name in self.repeated else self.first_values.get(name)


class RequestParser:
    """Parses requests from the bytes of one client connection, one at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepares for the next request."""
        # One buffer for the body: an object for each chunk would take many times the bytes of a short one.
        self.message, self.body, self.chunks = Message(), bytearray(), 0
        self.in_head, self.complete = True, False
        self.expects_continue = False  # the client waits for status 100 before it sends the body
        self.head_begun = False  # whether a byte has come beside empty lines
        self.head_tail = b""  # the last bytes of an incomplete head, as HEAD_END may come in two reads
        self.head_bytes, self.remaining_body_bytes = 0, 0
        self.framing = ChunkFraming()
        self.error_status = 400  # for the client if the parser fails

    @property
    def started(self) -> bool:
        """Whether any byte of the current request has been parsed."""
        return self.head_bytes > 0

    @property
    def held_bytes(self) -> int:
        """The memory that the current request takes, in bytes."""
        return self.head_bytes + HEADER_LINE_BYTES * len(self.message.headers) + len(self.body)

    def close(self) -> None:
        """Drops all that is held. The parser and its callbacks refer to each other: unless that ends here,
        they stay in memory until the next collection of garbage."""
        self.reset()
        self.parser = None

    def take_message(self) -> Message:
        """Returns the complete request and prepares for the next one."""
        message = self.message
        message.body = bytes(self.body)
        self.reset()
        return message

    def feed(self, data: memoryview | bytes) -> int:
        """Parses to the end of one request at most and returns how many bytes that took. Raises HttpError if
        the request is invalid or too large; no further request can be found on the connection then."""
        position = 0
        while position < len(data) and not self.complete:
            is_chunked, size = self.is_chunked, self.parsable_bytes(data[position:])
            body_bytes, chunks = len(self.body), self.chunks
            try:
                self.parser.feed_data(data[position : position + size])
            except httptools.HttpParserUpgrade:
                # An offered upgrade may be ignored (RFC 9110, 7.8), but this parser cannot be used any more.
                if not self.complete:
                    raise HttpError(400) from None
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError:
                if not self.complete:
                    raise HttpError(self.error_status) from None
                self.message.keep_alive = False  # invalid bytes right after a chunked body
            position += size
            if is_chunked and not self.complete:
                self.framing.add(size, len(self.body) - body_bytes, self.chunks - chunks)
                if self.framing.is_too_long:
                    raise HttpError(413)
        return position

    @property
    def is_chunked(self) -> bool:
        """Whether the next byte belongs to a chunked body, whose end only the parser finds."""
        return not self.in_head and self.remaining_body_bytes == 0

    def parsable_bytes(self, data: memoryview | bytes) -> int:
        """Returns how many bytes of the data can be parsed without reading past the end of this request.
        Guards against a client that sends hundreds of requests at once: they wait as bytes, at most one read
        of them, not as parsed requests."""
        if self.in_head:
            size = self.parsable_head_bytes(bytes(data[:MAX_HEAD_BYTES]))
            self.head_bytes += size
            if self.head_bytes > MAX_HEAD_BYTES:
                raise HttpError(431)
            return size
        if self.is_chunked:
            return len(data)  # on_message_begin finds a request after its end
        size = min(self.remaining_body_bytes, len(data))
        self.remaining_body_bytes -= size
        return size

    def parsable_head_bytes(self, data: bytes) -> int:
        """Returns how many bytes of the data lie before the head, as empty lines, or else belong to it."""
        if not self.head_begun:
            # All empty lines in one piece: each two of them would be found as the end of a head.
            if empty_lines_bytes := len(data) - len(data.lstrip(LINE_END)):
                return empty_lines_bytes
            self.head_begun = True
        head = self.head_tail + data
        end = head.find(HEAD_END)
        size = (end + len(HEAD_END) if end >= 0 else len(head)) - len(self.head_tail)
        self.head_tail = b"" if end >= 0 else head[1 - len(HEAD_END) :]
        return size

    def on_message_begin(self) -> None:
        """Called by httptools, as the other ``on_`` methods."""
        if self.complete:
            # Another request right after a chunked one. It is discarded: the response closes the connection,
            # and the client may send it again.
            self.message.keep_alive = False

    def on_url(self, url: bytes) -> None:
        if not self.complete:
            self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # trailers of a chunked body do not count as headers
        if len(self.message.headers) >= MAX_HEADER_LINES:
            self.reject(431)
        self.message.add_header(name, value)

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        message, self.in_head = self.message, False
        message.method = self.parser.get_method()
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self.reject(505)
        length, coding = message.header(CONTENT_LENGTH), message.header(TRANSFER_ENCODING)
        if coding is not None and (coding.lower() != b"chunked" or TRANSFER_ENCODING in message.repeated):
            self.reject(501)  # the body would be forwarded in a coding that is not decoded here
        if coding is not None and length is not None:
            # One of the two may hide another request (RFC 9112, 6.1); the parser refuses it too.
            self.reject(400)
        if length is not None:
            if not length.isdigit() or len(length) > 19 or CONTENT_LENGTH in message.repeated:
                self.reject(400)
            self.remaining_body_bytes = int(length)
            if self.remaining_body_bytes > MAX_BODY_BYTES:
                self.reject(413)
        expect = message.header(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            self.reject(417)
        self.expects_continue = expect is not None and (coding is not None or self.remaining_body_bytes > 0)

    def reject(self, status: int) -> None:
        """Raises HttpError with this status; ``feed`` raises it again should httptools wrap the error."""
        self.error_status = status
        raise HttpError(status)

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            self.reject(413)
        self.chunks += 1
        self.body += data

    def on_message_complete(self) -> None:
        if not self.complete:
            self.complete = True
            self.message.keep_alive = self.message.keep_alive and self.parser.should_keep_alive()


class ResponseParser:
    """Parses the responses on one connection to a peer. A body has at most ``max_body_bytes`` bytes; with
    ``stream``, a chunked body has no limit, and the caller removes what has come from ``response.body``."""

    def __init__(self, stream: bool = False, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.stream, self.max_body_bytes = stream, max_body_bytes
        self.reset()

    def reset(self) -> None:
        """Prepares for the next response."""
        self.response, self.complete, self.in_head = UpstreamResponse(0), False, True
        self.head_bytes, self.body_bytes = 0, 0  # the head's with those of 1xx responses before it
        self.content_bytes = self.max_body_bytes  # of the whole body, if its head tells
        self.chunks, self.framing = 0, ChunkFraming()

    def close(self) -> None:
        """Drops all that is held, as ``RequestParser.close``."""
        self.reset()
        self.parser = None

    @property
    def held_bytes(self) -> int:
        """The memory that the current response takes, in bytes."""
        return HEADER_LINE_BYTES * len(self.response.headers) + sum(map(len, self.response.body))

    @property
    def expected_bytes(self) -> int:
        """The memory that the whole response will take at most, in bytes."""
        if self.in_head:
            return HEADER_LINE_BYTES * MAX_HEADER_LINES + self.max_body_bytes
        return HEADER_LINE_BYTES * len(self.response.headers) + self.content_bytes

    def feed(self, data: memoryview) -> None:
        """Parses received bytes. Raises HttpError if they are no valid response. Bytes after a complete
        response are ignored and only end the use of its connection."""
        was_in_head, body_bytes, chunks = self.in_head, self.body_bytes, self.chunks
        if self.in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise HttpError(502) from None
            self.response.keep_alive = False
        if self.in_head and self.head_bytes > MAX_HEAD_BYTES:
            raise HttpError(502)  # the head is too long
        if not was_in_head and not self.complete:
            self.framing.add(len(data), self.body_bytes - body_bytes, self.chunks - chunks)
            if self.framing.is_too_long:
                raise HttpError(502)

    def take_response(self) -> UpstreamResponse:
        """Returns the complete response and keeps nothing of it: a connection may stay idle for long."""
        response, self.response = self.response, UpstreamResponse(0)
        return response

    def on_message_begin(self) -> None:
        """Called by httptools, as the other ``on_`` methods."""
        if self.complete:
            self.response.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or not self.in_head:
            return
        if len(self.response.headers) >= MAX_HEADER_LINES:
            raise HttpError(502)
        self.response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        response = self.response
        response.status = status = self.parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            return
        self.in_head = False
        coding, length = response.header(TRANSFER_ENCODING), response.header(CONTENT_LENGTH)
        # Without framing a response ends when its connection closes (RFC 9112, 6.3). Cut short it would look
        # complete, so it is refused.
        has_length = length is not None or status in (204, 304)
        if not 200 <= status < 600 or not (has_length if coding is None else coding.lower() == b"chunked"):
            raise HttpError(502)
        if length is not None:
            self.content_bytes = int(length)
            if self.content_bytes > self.max_body_bytes:
                raise HttpError(502)

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes and not self.stream:
            raise HttpError(502)
        self.chunks += 1
        if not self.response.body:
            self.response.body.append(bytearray())
        # One buffer: an object for each chunk would take many times the bytes of a short one.
        self.response.body[-1] += data

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.in_head:
            self.response = UpstreamResponse(0)  # this was a 1xx response; the final one follows
            return
        self.response.keep_alive = self.response.keep_alive and self.parser.should_keep_alive()
        self.complete = True


def forwarded_request(message: Message, remaining_ms: int) -> list[bytes]:
    """Returns the bytes of a request as forwarded to a server: unchanged except for its framing and
    X-Remaining-Ms."""
    parts = [message.method, b" ", message.target, b" HTTP/1.1\r\n"]
    for name, value in message.headers:
        lower_name = name.lower()
        if lower_name not in HOP_BY_HOP and lower_name not in (CONTENT_LENGTH, b"x-remaining-ms"):
            parts += (name, b": ", value, b"\r\n")
    parts.append(b"X-Remaining-Ms: %d\r\n" % remaining_ms)
    if message.body or message.method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(message.body))
    parts.append(b"\r\n")
    return [b"".join(parts), message.body]


def host_header(address: tuple[str, int]) -> str:
    """Returns the value of the Host header for an address."""
    return f"{address[0]}:{address[1]}"


def request_parts(method: str, target: str, host: str, body: bytes = b"") -> list[bytes]:
    """Returns the bytes of a request that the front itself makes, to discovery or the platform."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body:
        head += f"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: {len(body)}\r\n"
    return [f"{head}\r\n".encode(), body]
