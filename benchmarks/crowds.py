"""Hostile clients for measurements of a front's memory: crowds that hold as much of it as they can, and
floods that keep it busy. Each client connects again when the front closes its connection, until it is
killed."""

import resource
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

import click
import gevent
from gevent import socket

from soak.deployment import SAFE_ROUTE, TENANT, UNSAFE_ROUTE
from soak.servers import LONG_TARGET, UNFINISHED_TARGET

Address = tuple[str, int]
RECONNECT_DELAY_S = 0.1
HOLD_S = 20.0  # a client waits this long for the front before it connects again
BODY_BYTES = 60_000
MANY_FIELDS = b"".join(b"f%d: v\r\n" % number for number in range(85))
PACE_S = 0.05  # between two writes of a slow client
LONG_DEADLINE_MS = 100_000_000
DEFAULT_DEADLINE_MS = 4000

request_numbers = count(1)


def request_head(method: str, target: str = "/api", fields: bytes = b"", deadline_ms: int = 0) -> bytes:
    """Returns a request line with the fields that the protocol requires, without the end of the head. Each
    has a new transaction id."""
    route, number = (SAFE_ROUTE if method == "GET" else UNSAFE_ROUTE), next(request_numbers)
    required = (
        f"{method} {target} HTTP/1.1\r\nHost: h\r\nX-Txn: crowd-{number}\r\nX-Lane: {route}\r\n"
        f"X-Org: {TENANT}\r\nX-Remaining-Ms: {deadline_ms or DEFAULT_DEADLINE_MS}\r\n"
    )
    return required.encode() + fields


def post_head(body_bytes: int, fields: bytes = b"") -> bytes:
    """Returns the whole head of a request with a body of this length."""
    return request_head("POST", fields=fields + b"Content-Length: %d\r\n\r\n" % body_bytes)


def wait_for_end(sock: socket.socket) -> None:
    """Reads until the front closes the connection or ``HOLD_S`` have passed."""
    while sock.recv(65536):
        pass


def stop_in_head(sock: socket.socket) -> None:
    """Sends a head of many short fields without its end."""
    sock.sendall(request_head("POST", fields=MANY_FIELDS))
    wait_for_end(sock)


def stop_after_head(sock: socket.socket) -> None:
    """Sends a whole head of many fields and none of the body."""
    sock.sendall(post_head(BODY_BYTES, MANY_FIELDS))
    wait_for_end(sock)


def stop_in_body(sock: socket.socket) -> None:
    """Sends a body but for its last byte."""
    sock.sendall(post_head(BODY_BYTES) + b"x" * (BODY_BYTES - 1))
    wait_for_end(sock)


def stop_in_chunks(sock: socket.socket) -> None:
    """Sends a body in chunks of one byte without its end."""
    sock.sendall(request_head("POST", fields=b"Transfer-Encoding: chunked\r\n\r\n"))
    for _ in range(20):
        sock.sendall(b"1\r\nx\r\n" * (BODY_BYTES // 20))
    wait_for_end(sock)


def write_head_slowly(sock: socket.socket) -> None:
    """Sends some short fields at a time."""
    sock.sendall(request_head("POST"))
    for number in range(20):
        sock.sendall(b"".join(b"s%d-%d: v\r\n" % (number, field) for field in range(4)))
        gevent.sleep(PACE_S)
    wait_for_end(sock)


def write_body_slowly(sock: socket.socket) -> None:
    """Sends a body in twenty pieces."""
    sock.sendall(post_head(BODY_BYTES))
    for _ in range(19):
        sock.sendall(b"x" * (BODY_BYTES // 20))
        gevent.sleep(PACE_S)
    wait_for_end(sock)


def say_nothing(sock: socket.socket) -> None:
    """Sends nothing."""
    wait_for_end(sock)


def send_whole(sock: socket.socket) -> None:
    """Sends one long request after another."""
    while True:
        sock.sendall(post_head(BODY_BYTES) + b"x" * BODY_BYTES)
        if not sock.recv(65536):
            return


def send_whole_and_leave(sock: socket.socket) -> None:
    """Sends a long request and closes the connection before its response."""
    sock.sendall(post_head(BODY_BYTES) + b"x" * BODY_BYTES)
    gevent.sleep(0.02)


def read_long_responses(sock: socket.socket) -> None:
    """Requests long responses, one after another, and reads them."""
    while True:
        sock.sendall(request_head("GET", LONG_TARGET) + b"\r\n")
        received = 0
        while received < 65_000:
            data = sock.recv(65536)
            if not data:
                return
            received += len(data) if received or b" 200 " in data[:20] else 65_000


def leave_long_responses_unread(sock: socket.socket) -> None:
    """Requests a long response and does not read it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.sendall(request_head("GET", LONG_TARGET) + b"\r\n")
    gevent.sleep(6.0)


def request_unfinished_responses(sock: socket.socket) -> None:
    """Requests a response that its server begins and never ends."""
    sock.sendall(request_head("GET", UNFINISHED_TARGET) + b"\r\n")
    wait_for_end(sock)


def flood_of_new_ids(sock: socket.socket) -> None:
    """Sends requests as fast as they are answered, each with a new id and nearly endless time."""
    while True:
        sock.sendall(b"".join(request_head("GET", deadline_ms=LONG_DEADLINE_MS) + b"\r\n" for _ in range(50)))
        if not sock.recv(65536):
            return


def flood_of_unsound_heads(sock: socket.socket) -> None:
    """Sends requests of ever new tenants and header names as fast as they are answered."""
    while True:
        fields = b"X-Org: t%d\r\nN%d: v\r\n\r\n" % (next(request_numbers), next(request_numbers))
        sock.sendall(b"".join(request_head("GET", fields=fields) for _ in range(50)))
        if not sock.recv(65536):
            return


@dataclass(slots=True, frozen=True)
class Crowd:
    """Hostile clients of one kind, and how many of them are connected at a time."""

    size: int
    behave: Callable[[socket.socket], None]

    def spawn(self, address: Address) -> list[gevent.Greenlet]:
        """Starts the clients against the front at an address; to be killed by the caller."""
        return [gevent.spawn(self.keep_connected, address) for _ in range(self.size)]

    def keep_connected(self, address: Address) -> None:
        """Connects and behaves, again and again."""
        while True:
            try:
                with socket.create_connection(address, 5.0) as sock:
                    sock.settimeout(HOLD_S)
                    self.behave(sock)
            except OSError:
                pass
            gevent.sleep(RECONNECT_DELAY_S)


CROWDS = {
    "unfinished heads of many short fields": Crowd(700, stop_in_head),
    "whole heads of many fields, body missing": Crowd(450, stop_after_head),
    "bodies that lack a byte": Crowd(450, stop_in_body),
    "bodies in chunks of a byte, unfinished": Crowd(450, stop_in_chunks),
    "slow writers of heads": Crowd(600, write_head_slowly),
    "slow writers of bodies": Crowd(450, write_body_slowly),
    "connections that say nothing": Crowd(1500, say_nothing),
    "whole requests of 60 KB": Crowd(450, send_whole),
    "whole requests of 60 KB, clients leave": Crowd(200, send_whole_and_leave),
    "responses of 65 KB, read": Crowd(450, read_long_responses),
    "responses of 65 KB, unread": Crowd(450, leave_long_responses_unread),
    "unfinished responses with many fields": Crowd(450, request_unfinished_responses),
    "flood of new ids with endless deadlines": Crowd(8, flood_of_new_ids),
    "flood of unsound heads": Crowd(8, flood_of_unsound_heads),
}


@click.command()
@click.argument("host")
@click.argument("port", type=int)
@click.argument("name", type=click.Choice(list(CROWDS)))
@click.argument("seconds", type=float)
def main(host: str, port: int, name: str, seconds: float) -> None:
    """Run one crowd against a front on loopback for some seconds."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    clients = CROWDS[name].spawn((host, port))
    gevent.sleep(seconds)
    gevent.killall(clients)


if __name__ == "__main__":
    main()
