"""Hostile stand-ins for discovery and the platform: each streams as much as its connection takes."""

from collections.abc import Callable, Iterator
from itertools import count

import gevent
import orjson
from gevent import socket

from soak.http_wire import STREAM_RESPONSE_HEAD, address_of, encode_chunk, open_listener

PIECE_BYTES = 64 * 1024
LONG_NAME_CHARACTERS = 250  # a longer one is unreadable


def server_entries(first: int, number: int, name_characters: int = 12) -> list[dict[str, object]]:
    """Returns entries of servers with numbers from ``first`` on; nothing listens at their addresses."""
    return [
        {
            "instanceId": f"s-{index}".ljust(name_characters, "x"),
            "hostPort": "127.0.0.1:9",
            "zone": "here",
            "machineType": "small",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
            "version_no": 41,
        }
        for index in range(first, first + number)
    ]


def list_line(version: int, entries: list[dict[str, object]], whole: bool) -> bytes:
    """Returns a list as one line of a watch."""
    return orjson.dumps({"generation": version, "reset": whole, "instances": entries}) + b"\n"


def line_without_end() -> Iterator[bytes]:
    """A list that begins and never ends."""
    yield b'{"generation":9,"instances":["'
    while True:
        yield b"x" * PIECE_BYTES


def ever_new_servers() -> Iterator[bytes]:
    """Changes that name new servers without end."""
    for turn in count(10):
        yield list_line(turn, server_entries(1000 * turn, 100), whole=False)


def ever_new_whole_lists() -> Iterator[bytes]:
    """Whole lists of 1,024 servers with long names, other ones each time."""
    for turn in count(10):
        yield list_line(turn, server_entries(10_000 * turn, 1024, LONG_NAME_CHARACTERS), whole=True)


def longest_lists() -> Iterator[bytes]:
    """Whole lists of 4,096 servers."""
    for turn in count(10):
        yield list_line(turn, server_entries(0, 4096), whole=True)


def short_lines() -> Iterator[bytes]:
    """An object on lines of one character, without end."""
    yield b'{"generation":9,\n"instances":[\n'
    while True:
        yield b"1\n" * (PIECE_BYTES // 2)


def events_without_end() -> Iterator[bytes]:
    """Stage updates as fast as they are read."""
    update = b"event: progress\ndata: Revision=41&Wave=0&State=released&MaxShare=0&AgeMs=1\n\n"
    while True:
        yield update * (PIECE_BYTES // len(update))


LIST_FLOODS: dict[str, Callable[[], Iterator[bytes]]] = {
    "a list without end": line_without_end,
    "a list on short lines without end": short_lines,
    "ever new servers": ever_new_servers,
    "ever new whole lists of 1,024 servers with long names": ever_new_whole_lists,
    "whole lists of 4,096 servers": longest_lists,
}
STAGE_FLOODS: dict[str, Callable[[], Iterator[bytes]]] = {
    "stage updates without end": events_without_end,
    "a stage update without end": line_without_end,
}


class HostilePeer:
    """Listens on loopback and streams the same kind of flood to each connection, until it is closed."""

    def __init__(self, host: str, flood: Callable[[], Iterator[bytes]]):
        self.flood, self.listener = flood, open_listener(host)
        self.address = address_of(self.listener)
        self.accept_loop = gevent.spawn(self.accept_connections)
        self.streams: list[gevent.Greenlet] = []  # as many as the front opens in one run

    def accept_connections(self) -> None:
        """Accepts connections until the greenlet is killed."""
        while True:
            sock, _ = self.listener.accept()
            self.streams.append(gevent.spawn(self.stream, sock))

    def stream(self, sock: socket.socket) -> None:
        """Streams to one connection until it breaks."""
        try:
            with sock:
                sock.recv(4096)
                sock.sendall(STREAM_RESPONSE_HEAD)
                for piece in self.flood():
                    sock.sendall(encode_chunk(piece))
        except OSError:
            pass

    def close(self) -> None:
        """Ends all streams."""
        gevent.killall([self.accept_loop, *self.streams])
        self.listener.close()
