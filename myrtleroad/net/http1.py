"""HTTP/1.1 heads: parsed in place by httptools, written by gathered writes."""

import errno
import math
import time
from dataclasses import dataclass, field

import gevent
import httptools
from gevent import socket

from myrtleroad.net.exchange_result import UpstreamResponse

# One buffer for every connection: bytes are parsed as soon as they are read, with no switch between.
BUFFER = bytearray(64 * 1024)
BUFFER_VIEW = memoryview(BUFFER)
HEAD_LIMIT = 16 * 1024  # what common servers allow
BODY_LIMIT = 64 * 1024  # the protocol's
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
HOP_BY_HOP = frozenset(  # what belongs to one connection
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect".split(b" ")
)
CONTENT_LENGTH = b"content-length"  # written anew
TRANSFER_ENCODING = b"transfer-encoding"
HEAD_END = b"\r\n\r\n"  # of a head
TRANSIENT_ERRNOS = frozenset(
    (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
)  # the connection stands all the same
RETRY_DELAY_S = 0.01  # before the next try of a call that failed so
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpError(Exception):
    """What came cannot be read as a req or an answer; ``status`` is what a client is told. It stops at
    the connection."""

    def __init__(self, status: int):
        self.status = status


@dataclass(slots=True)
class Message:
    """One req as it came."""

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    first_values: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name; the first of each
    repeated: set[bytes] = field(default_factory=set)  # names that came more than once
    body: bytes = b""
    keep_alive: bool = True

    def add(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        self.headers.append((name, value))
        if low in self.first_values:
            self.repeated.add(low)
        else:
            self.first_values[low] = value

    def header(self, name: bytes) -> bytes | None:
        return self.first_values.get(name)

    def single_value(self, name: bytes) -> bytes | None:
        """The value of a field that may come once: with two, nobody can say which one holds."""
        return None if name in self.repeated else self.first_values.get(name)


class RequestParser:
    """Reads reqs from the bytes of one client connection, one at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.fresh()

    def fresh(self) -> None:
        self.message, self.pieces = Message(), []
        self.in_head, self.whole = True, False
        self.expects = False  # the client waits for our word before it sends the body
        self.tail = b""  # the last bytes of a head that has not ended, as its end may be split
        self.size, self.held, self.left = 0, 0, 0  # bytes of the head; of the body; of it still to come
        self.status = 400  # what a fault in the bytes is answered with

    @property
    def begun(self) -> bool:
        return self.size > 0

    def take(self) -> Message:
        """The req that is whole; the next one begins."""
        message = self.message
        message.body = b"".join(self.pieces)
        self.fresh()
        return message

    def feed(self, data: memoryview | bytes) -> int:
        """Reads on, to the end of one req at most, and says how many bytes that took. Raises Unfit once
        framing is lost."""
        at = 0
        while at < len(data) and not self.whole:
            size = self.span(data[at:])
            try:
                self.parser.feed_data(data[at : at + size])
            except httptools.HttpParserUpgrade:
                # An offer of another protocol may be passed over (RFC 9110, 7.8); this parser has ended.
                if not self.whole:
                    raise HttpError(400) from None
                self.parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError:
                if not self.whole:
                    raise HttpError(self.status) from None
                self.message.keep_alive = False  # noise right behind a chunked body
            at += size
        return at

    def span(self, data: memoryview | bytes) -> int:
        """How many of these bytes may be parsed without reading past the end of this req. Guards against
        a client that sends hundreds at once: what waits is bytes, bounded by one read."""
        if self.in_head:
            seen = self.tail + bytes(data[:HEAD_LIMIT])
            end = seen.find(HEAD_END)
            size = (end + len(HEAD_END) if end >= 0 else len(seen)) - len(self.tail)
            self.tail = b"" if end >= 0 else seen[1 - len(HEAD_END) :]
            self.size += size
            if self.size > HEAD_LIMIT:
                raise HttpError(431)
            return size
        if self.left:
            size = min(self.left, len(data))
            self.left -= size
            return size
        return len(data)  # chunked: only the parser knows its end; see on_message_begin

    def on_message_begin(self) -> None:
        if self.whole:
            self.message.keep_alive = (
                False  # a req right behind a chunked one: the answer closes, it may be repeated
            )

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # what trails a chunked body is not the head's to hold
            self.message.add(name, value)

    def on_headers_complete(self) -> None:
        if self.whole:
            return
        message, self.in_head = self.message, False
        message.method = self.parser.get_method()
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self.fail(505)
        length, coding = message.header(CONTENT_LENGTH), message.header(TRANSFER_ENCODING)
        if coding is not None and (coding.lower() != b"chunked" or TRANSFER_ENCODING in message.repeated):
            self.fail(501)  # the body would go on in a coding that nobody undoes
        if coding is not None and length is not None:
            self.fail(400)  # one of the two hides another req (RFC 9112, 6.1); the parser refuses it too
        if length is not None:
            if not length.isdigit() or len(length) > 19 or CONTENT_LENGTH in message.repeated:
                self.fail(400)
            self.left = int(length)
            if self.left > BODY_LIMIT:
                self.fail(413)
        expect = message.header(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            self.fail(417)
        self.expects = expect is not None and (coding is not None or self.left > 0)

    def fail(self, status: int) -> None:
        self.status = status
        raise HttpError(status)

    def on_body(self, data: bytes) -> None:
        if self.whole:
            return
        self.held += len(data)
        if self.held > BODY_LIMIT:
            self.fail(413)
        self.pieces.append(data)

    def on_message_complete(self) -> None:
        if not self.whole:
            self.whole = True
            self.message.keep_alive = self.message.keep_alive and self.parser.should_keep_alive()


class ResponseParser:
    """Reads the answers of one connection to a peer: each whole, of ``most`` bytes of body, or as a stream
    whose pieces are taken as they come."""

    def __init__(self, stream: bool = False, max_body_bytes: int = BODY_LIMIT) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.stream, self.max_body_bytes = stream, max_body_bytes
        self.reset()

    def reset(self) -> None:
        self.response, self.complete, self.in_head = UpstreamResponse(0), False, True
        self.size, self.held = 0, 0  # bytes of the head, 1xx answers ahead of it included; of the body

    def feed(self, data: memoryview) -> None:
        """Raises Unfit where the answer cannot be read. What comes behind a whole one is no part of it: the
        answer stands as it is, and its connection is of no further use."""
        if self.in_head:
            self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise HttpError(502) from None
            self.response.keep_alive = False
        if self.in_head and self.size > HEAD_LIMIT:
            raise HttpError(502)  # a head without end

    def on_message_begin(self) -> None:
        if self.complete:
            self.response.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete and self.in_head:
            self.response.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        answer = self.response
        answer.status = status = self.parser.get_status_code()
        if 100 <= status < 200 and status != 101:
            return
        self.in_head = False
        coding, length = answer.header(TRANSFER_ENCODING), answer.header(CONTENT_LENGTH)
        # Not framed is framed by its close (RFC 9112, 6.3): cut short it would look whole, so it is not read.
        framed = length is not None or status in (204, 304)
        if not 200 <= status < 600 or not (framed if coding is None else coding.lower() == b"chunked"):
            raise HttpError(502)
        if length is not None and int(length) > self.max_body_bytes:
            raise HttpError(502)

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self.held += len(data)
        if self.held > self.max_body_bytes and not self.stream:
            raise HttpError(502)
        self.response.body.append(data)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.in_head:
            self.response = UpstreamResponse(0)  # a 1xx answer ahead of the one that counts
            return
        self.response.keep_alive = self.response.keep_alive and self.parser.should_keep_alive()
        self.complete = True


def forwarded_request(message: Message, remaining_ms: int) -> list[bytes]:
    """The parts of a req as it goes on to a machine: unchanged but for framing and the time left."""
    parts = [message.method, b" ", message.target, b" HTTP/1.1\r\n"]
    for name, value in message.headers:
        low = name.lower()
        if low not in HOP_BY_HOP and low not in (CONTENT_LENGTH, b"x-remaining-ms"):
            parts += (name, b": ", value, b"\r\n")
    parts.append(b"X-Remaining-Ms: %d\r\n" % remaining_ms)
    if message.body or message.method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(message.body))
    parts.append(b"\r\n")
    return [b"".join(parts), message.body]


def host_header(at: tuple[str, int]) -> str:
    return f"{at[0]}:{at[1]}"


def request_parts(method: str, target: str, host: str, body: bytes = b"") -> list[bytes]:
    """A call of our own on discovery or the platform."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body:
        head += f"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: {len(body)}\r\n"
    return [f"{head}\r\n".encode(), body]


def send(sock: socket.socket, parts: list[bytes]) -> None:
    """One gathered write, and what the system did not take of it after that."""
    sent = sock.sendmsg(parts)
    left = sum(map(len, parts)) - sent
    if left:
        sock.sendall(b"".join(parts)[sent:])


def send_nowait(sock: socket.socket, parts: list[bytes]) -> bytes:
    """One gathered write that never waits; what the system did not take of it."""
    try:
        sent = sock.sendmsg(parts, (), socket.MSG_DONTWAIT)
    except OSError as error:
        if error.errno not in TRANSIENT_ERRNOS:
            raise
        sent = 0
    return b"".join(parts)[sent:] if sent < sum(map(len, parts)) else b""


def send_all(sock: socket.socket, data: bytes, within_s: float = math.inf) -> None:
    """Writes everything, as the system has buffers for it. Raises TimeoutError past ``within_s``."""
    end = time.monotonic() + within_s
    while data:
        try:
            data = data[sock.send(data) :]
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            if time.monotonic() >= end:
                raise TimeoutError("timed out") from None
            gevent.sleep(RETRY_DELAY_S)


def receive(sock: socket.socket) -> memoryview:
    """The next bytes, to be parsed at once; empty at the end. Raises TimeoutError of the socket."""
    wait = sock.gettimeout()
    end = None if wait is None else time.monotonic() + wait
    while True:
        try:
            return BUFFER_VIEW[: sock.recv_into(BUFFER)]
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or (end is not None and time.monotonic() >= end):
                raise
            gevent.sleep(RETRY_DELAY_S)


def peek(sock: socket.socket) -> bytes | None:
    """What waits on an idle connection, without waiting: None is nothing, empty that it has ended."""
    # A gevent socket waits for bytes even where MSG_DONTWAIT is asked for; without a timeout it does not.
    wait = sock.gettimeout()
    try:
        sock.settimeout(0)
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        sock.settimeout(wait)


def is_stale(sock: socket.socket) -> bool:
    """Whether the other side has closed an idle connection, or said what nobody asked for."""
    return peek(sock) is not None
