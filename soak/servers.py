"""Stand-in servers: they serve, drain, hang, reset and restart on command, and record each attempt."""

from enum import StrEnum
from random import Random
from time import monotonic, time

import gevent
from gevent import socket

from soak.http_wire import (
    ConnectionEnded,
    MessageReader,
    address_of,
    open_listener,
    reset_connection,
    response,
)
from soak.records import Attempt, Records

# Targets below which a server responds in a way that costs the front memory; all others get a short body.
LONG_TARGET, UNFINISHED_TARGET = "/api/long", "/api/unfinished"
LONG_BODY_BYTES = 65_000
LONG_RESPONSE_DELAY_S = 0.2


class ServerMode(StrEnum):
    """How a server treats requests."""

    SERVING = "serving"
    DRAINING = "draining"  # rejects new requests with 503
    HUNG = "hung"  # accepts connections and reads requests, but never responds
    RESETTING = "resetting"  # executes the request, then resets its connection
    DOWN = "down"  # resets each connection right after accepting it


class Server:
    """One server. A restart changes its build and start time, not its address."""

    def __init__(self, name: str, host: str, build: int, records: Records, random: Random):
        self.name, self.build, self.records, self.random = name, build, records, random
        self.host, self.mode = host, ServerMode.SERVING
        self.started_ms = 0  # Unix time of the last start; 0 means long ago
        self.mean_service_s = 0.02  # service times are drawn exponentially around this mean
        self.accepted_count = 0  # connections accepted so far
        self.open_connections: set[socket.socket] = set()  # each is removed when it closes
        self.listener = open_listener(host)
        self.address = address_of(self.listener)
        self.accept_loop = gevent.spawn(self.accept_connections)

    def accept_connections(self) -> None:
        """Accepts connections until the greenlet is killed."""
        while True:
            sock, _ = self.listener.accept()
            if self.mode == ServerMode.DOWN:
                reset_connection(sock)
                continue
            self.open_connections.add(sock)
            self.accepted_count += 1
            gevent.spawn(self.serve_connection, sock)

    def serve_connection(self, sock: socket.socket) -> None:
        """Handles the requests of one connection in turn."""
        reader = MessageReader(sock, monotonic)
        try:
            while True:
                message = reader.read_message()
                if not self.handle_request(sock, reader, message.headers, message.start_line[1]):
                    return
        except (ConnectionEnded, OSError):
            pass
        finally:
            self.open_connections.discard(sock)
            sock.close()

    def handle_request(
        self, sock: socket.socket, reader: MessageReader, headers: dict[str, str], target: str
    ) -> bool:
        """Records and handles one request. Returns whether the connection stays open."""
        request_id = headers.get("x-txn", "")
        attempt = Attempt(
            self.name, request_id, reader.message_started_at, monotonic(), int(headers["x-remaining-ms"])
        )
        attempt.build = self.build
        self.records.attempts.append(attempt)
        if self.mode == ServerMode.DRAINING:
            sock.sendall(response(503, X_Turned_Away="1"))
            return True
        if self.mode == ServerMode.RESETTING:
            attempt.ran = True
            reset_connection(sock)
            return False
        if self.mode == ServerMode.HUNG:
            gevent.sleep(30.0)
            return False
        attempt.ran = True
        if target.startswith((LONG_TARGET, UNFINISHED_TARGET)):
            gevent.sleep(LONG_RESPONSE_DELAY_S)
            sock.sendall(long_response() if target.startswith(LONG_TARGET) else unfinished_response())
            return True
        gevent.sleep(self.mean_service_s * self.random.expovariate(1.0))
        sock.sendall(response(200, response_body(request_id), X_Pressure="TEXT active=1"))
        return True

    def restart(self, build: int) -> None:
        """Restarts the server with a build: its connections are reset and its slow start begins."""
        self.drop_connections()
        self.build, self.mode = build, ServerMode.SERVING
        self.started_ms = int(time() * 1000)

    def drop_connections(self) -> None:
        """Resets all open connections."""
        for sock in list(self.open_connections):
            reset_connection(sock)
        self.open_connections.clear()

    def close(self) -> None:
        """Stops accepting and resets all connections."""
        self.accept_loop.kill()
        self.listener.close()
        self.drop_connections()


def response_body(request_id: str) -> bytes:
    """Returns the response body for a request, with its id, so that clients detect mixed-up responses."""
    return b"answer to " + request_id.encode()


def long_response() -> bytes:
    """Returns a response whose body is nearly as long as the protocol allows."""
    return response(200, b"x" * LONG_BODY_BYTES)


def unfinished_response() -> bytes:
    """Returns the beginning of a response: a head of many short fields and half of the body."""
    fields = {f"F{number}": "v" for number in range(90)}
    whole = response(200, b"x" * LONG_BODY_BYTES, **fields)
    return whole[: -LONG_BODY_BYTES // 2]
