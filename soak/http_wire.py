"""HTTP/1.1 for the stand-ins: one reader for requests and responses.

It is independent of the parsers under test, so that an error in those doesn't hide itself."""

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent import socket

HEADERS_END = b"\r\n\r\n"
READ_BYTES = 65536


class ConnectionEnded(Exception):
    """The connection ended. ``message_begun`` is true when part of a message had been received."""

    def __init__(self, message_begun: bool):
        super().__init__("connection ended")
        self.message_begun = message_begun


@dataclass(slots=True)
class Message:
    """One request or response: start line in three parts, headers by lower-case name, body."""

    start_line: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class MessageReader:
    """Reads whole messages from one connection.

    ``message_started_at`` is the time by ``clock`` at which the first byte of the latest message arrived."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float]):
        self.sock, self.clock = sock, clock
        self.buffer = b""
        self.message_started_at = 0.0

    def receive(self) -> None:
        """Appends one read to the buffer. Raises ConnectionEnded, or the socket's TimeoutError."""
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            raise ConnectionEnded(bool(self.buffer)) from error
        if not data:
            raise ConnectionEnded(bool(self.buffer))
        if not self.buffer:
            self.message_started_at = self.clock()
        self.buffer += data

    def read_message(self) -> Message:
        """Returns the next whole message. Raises ConnectionEnded, or the socket's TimeoutError."""
        if self.buffer:
            self.message_started_at = self.clock()
        while HEADERS_END not in self.buffer:
            self.receive()
        head, _, self.buffer = self.buffer.partition(HEADERS_END)
        start_line, *lines = head.decode("latin-1").split("\r\n")
        parts = [*start_line.split(" ", 2), "", ""]
        message = Message((parts[0], parts[1], parts[2]))
        for line in lines:
            name, _, value = line.partition(":")
            message.headers[name.strip().lower()] = value.strip()
        length = int(message.headers.get("content-length", "0"))
        while len(self.buffer) < length:
            self.receive()
        message.body, self.buffer = self.buffer[:length], self.buffer[length:]
        return message


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encodes a whole response. Underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + HEADERS_END + body


STREAM_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def open_listener(host: str, port: int = 0, backlog: int = 512) -> socket.socket:
    """Returns a listening TCP socket; port 0 takes an ephemeral port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


def address_of(sock: socket.socket) -> str:
    """Returns the local address of a socket as ``host:port``."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def reset_connection(sock: socket.socket) -> None:
    """Closes the socket with a TCP reset instead of an orderly end."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
