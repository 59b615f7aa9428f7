"""HTTP/1.1 as the stand-ins speak it: one reader for requests and answers, not the program's own."""

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent import socket

HEAD_END = b"\r\n\r\n"
READ_BYTES = 65536


class Ended(Exception):
    """The connection ended; ``begun`` says whether part of a message had come."""

    def __init__(self, begun: bool):
        super().__init__("ended")
        self.begun = begun


@dataclass(slots=True)
class Message:
    """One request or answer: its first line split in three, its fields by lower-case name, its body."""

    line: tuple[str, str, str]
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Reader:
    """Reads whole messages from one connection. ``begun_at`` is set by ``clock`` at each first byte."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float]):
        self.sock, self.clock = sock, clock
        self.rest = b""
        self.begun_at = 0.0

    def more(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            raise Ended(bool(self.rest)) from error
        if not data:
            raise Ended(bool(self.rest))
        if not self.rest:
            self.begun_at = self.clock()
        self.rest += data

    def message(self) -> Message:
        """The next whole message. Raises Ended, or TimeoutError of the socket."""
        if self.rest:
            self.begun_at = self.clock()
        while HEAD_END not in self.rest:
            self.more()
        head, _, self.rest = self.rest.partition(HEAD_END)
        first, *lines = head.decode("latin-1").split("\r\n")
        words = [*first.split(" ", 2), "", ""]
        message = Message((words[0], words[1], words[2]))
        for line in lines:
            name, _, value = line.partition(":")
            message.fields[name.strip().lower()] = value.strip()
        length = int(message.fields.get("content-length", "0"))
        while len(self.rest) < length:
            self.more()
        message.body, self.rest = self.rest[:length], self.rest[length:]
        return message


def answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """A whole answer; underscores in the names of fields stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + HEAD_END + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def listener(host: str, port: int = 0, backlog: int = 512) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


def address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def reset(sock: socket.socket) -> None:
    """Closes so that the other side gets a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
