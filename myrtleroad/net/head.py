"""HTTP/1.1 heads: parsed in place by httptools, written by gathered writes."""

from dataclasses import dataclass, field

import httptools
from gevent import socket

from myrtleroad.net.ending import Answer

# One buffer for every connection: bytes are parsed as soon as they are read, with no switch between.
BUFFER = bytearray(64 * 1024)
VIEW = memoryview(BUFFER)
HEAD_LIMIT = 16 * 1024  # what common servers allow
BODY_LIMIT = 64 * 1024  # the protocol's
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
HOP = frozenset(  # what belongs to one connection
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect".split(b" ")
)
FRAMING = b"content-length"  # written anew


class Unfit(Exception):
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
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    keep: bool = True

    def header(self, name: bytes) -> bytes | None:
        return next((v for n, v in self.headers if n.lower() == name), None)


class Requests:
    """Reads reqs from the bytes of one client connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.message = Message()
        self.whole: list[Message] = []
        self.begun, self.in_head = False, True  # a req has begun; its head has not ended
        self.size, self.unread = 0, 0  # bytes of the fields so far; bytes read since the last req's end
        self.status = 400  # what a fault in the bytes is answered with

    def feed(self, data: memoryview) -> list[Message]:
        """The reqs that these bytes make whole; raises Unfit once framing is lost."""
        self.whole, self.status = [], 400
        if self.in_head:
            self.unread += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise Unfit(self.status) from None
        if self.in_head and self.unread > HEAD_LIMIT:
            raise Unfit(431)
        return self.whole

    def on_message_begin(self) -> None:
        self.message, self.begun, self.size = Message(), True, 0

    def on_url(self, url: bytes) -> None:
        self.message.target += url
        self.grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.message.headers.append((name, value))
        self.grow(len(name) + len(value) + 4)

    def grow(self, size: int) -> None:
        self.size += size
        if self.size > HEAD_LIMIT:
            self.status = 431
            raise Unfit(431)

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.message.method = self.parser.get_method()
        length = self.message.header(FRAMING)
        if length is not None and int(length) > BODY_LIMIT:
            self.status = 413
            raise Unfit(413)

    def on_body(self, data: bytes) -> None:
        self.message.size += len(data)
        if self.message.size > BODY_LIMIT:
            self.status = 413
            raise Unfit(413)
        self.message.body.append(data)

    def on_message_complete(self) -> None:
        self.message.keep = self.parser.should_keep_alive()
        self.whole.append(self.message)
        self.begun, self.in_head, self.unread = False, True, 0


class Answers:
    """Reads the answers of one connection to a peer, whole or as a stream of body bytes."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.begun, self.complete, self.framed = False, False, False
        self.answer = Answer(0)

    def feed(self, data: memoryview) -> None:
        self.begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            raise Unfit(502) from None

    def reset(self) -> None:
        self.begun, self.complete = False, False

    def on_message_begin(self) -> None:
        self.answer = Answer(0)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.answer.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.answer.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.answer.body.append(data)

    def on_message_complete(self) -> None:
        self.answer.keep = self.parser.should_keep_alive()
        self.complete = True


def forwarded(message: Message, remaining_ms: int) -> list[bytes]:
    """The parts of a req as it goes on to a machine: unchanged but for framing and the time left."""
    parts = [message.method, b" ", message.target, b" HTTP/1.1\r\n"]
    for name, value in message.headers:
        low = name.lower()
        if low not in HOP and low not in (FRAMING, b"x-remaining-ms"):
            parts += (name, b": ", value, b"\r\n")
    parts.append(b"X-Remaining-Ms: %d\r\n" % remaining_ms)
    if message.body or message.method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % message.size)
    return [b"".join(parts), b"\r\n", *message.body]


def host(at: tuple[str, int]) -> str:
    return f"{at[0]}:{at[1]}"


def call(method: str, target: str, host: str, body: bytes = b"") -> list[bytes]:
    """A call of our own on discovery or the platform."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body:
        head += f"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: {len(body)}\r\n"
    return [f"{head}\r\n".encode(), body]


def write(sock: socket.socket, parts: list[bytes]) -> None:
    """One gathered write, and what the system did not take of it after that."""
    sent = sock.sendmsg(parts)
    left = sum(map(len, parts)) - sent
    if left:
        sock.sendall(b"".join(parts)[sent:])


def read(sock: socket.socket) -> memoryview:
    """The next bytes, to be parsed at once; empty at the end."""
    return VIEW[: sock.recv_into(BUFFER)]


def closed(sock: socket.socket) -> bool:
    """Whether the other side has closed an idle connection, or said what nobody asked for."""
    # A gevent socket waits for bytes even where MSG_DONTWAIT is asked for; without a timeout it does not.
    sock.settimeout(0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
