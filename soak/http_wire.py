"""HTTP/1.1 as the stand-ins speak it: one reader for requests and answers, not the program's own."""

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent import socket

HEADERS_END = b"\r\n\r\n"
READ_BYTES = 65536


class ConnectionEnded(Exception):
    """The connection ended; ``begun`` says whether part of a message had come."""

    def __init__(self, message_begun: bool):
        super().__init__("ended")
        self.message_begun = message_begun


@dataclass(slots=True)
class Message:
    """One request or answer: its first line split in three, its fields by lower-case name, its body."""

    start_line: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class MessageReader:
    """Reads whole messages from one connection. ``begun_at`` is set by ``clock`` at each first byte."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float]):
        self.sock, self.clock = sock, clock
        self.buffer = b""
        self.message_started_at = 0.0

    def receive(self) -> None:
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
        """The next whole message. Raises Ended, or TimeoutError of the socket."""
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
    """A whole answer; underscores in the names of fields stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + HEADERS_END + body


STREAM_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def open_listener(host: str, port: int = 0, backlog: int = 512) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def reset_connection(sock: socket.socket) -> None:
    """Closes so that the other side gets a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
