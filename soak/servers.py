"""Stand-in servers: they serve, drain, hang, reset and restart as they are told, and record each attempt."""

from enum import StrEnum
from random import Random
from time import monotonic, time

import gevent
from gevent import socket

from soak.records import Attempt, Records
from soak.wire import Ended, Reader, address, answer, listener, reset


class Mode(StrEnum):
    SERVING = "serving"
    DRAINING = "draining"  # turns new requests away
    HUNG = "hung"  # accepts and reads, answers nothing
    RESETTING = "resetting"  # ends a connection under its request
    DOWN = "down"  # refuses connections


class Server:
    """One server: its address stays, its build and start change with each restart."""

    def __init__(self, name: str, host: str, build: int, records: Records, random: Random):
        self.name, self.build, self.records, self.random = name, build, records, random
        self.host, self.mode = host, Mode.SERVING
        self.started_ms = 0  # Unix time of the last start, 0 for long ago
        self.work_s = 0.02
        self.accepted = 0  # connections that it has taken
        self.connections: set[socket.socket] = set()  # emptied as each closes
        self.sock = listener(host)
        self.address = address(self.sock)
        self.acceptor = gevent.spawn(self.accept)

    def accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            if self.mode == Mode.DOWN:
                reset(sock)
                continue
            self.connections.add(sock)
            self.accepted += 1
            gevent.spawn(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        reader = Reader(sock, monotonic)
        try:
            while True:
                message = reader.message()
                if not self.handle(sock, reader, message.fields, message.line[1]):
                    return
        except (Ended, OSError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def handle(self, sock: socket.socket, reader: Reader, fields: dict[str, str], target: str) -> bool:
        """Whether the connection goes on."""
        txn = fields.get("x-txn", "")
        attempt = Attempt(self.name, txn, reader.begun_at, monotonic(), int(fields["x-remaining-ms"]))
        attempt.build = self.build
        self.records.attempts.append(attempt)
        if self.mode == Mode.DRAINING:
            sock.sendall(answer(503, X_Turned_Away="1"))
            return True
        if self.mode == Mode.RESETTING:
            attempt.ran = True
            reset(sock)
            return False
        if self.mode == Mode.HUNG:
            gevent.sleep(30.0)
            return False
        attempt.ran = True
        gevent.sleep(self.work_s * self.random.expovariate(1.0))
        sock.sendall(answer(200, body_of(txn), X_Pressure="TEXT active=1"))
        return True

    def restart(self, build: int) -> None:
        """Comes back under its name and address: old connections are reset, it is cold."""
        self.drop_connections()
        self.build, self.mode = build, Mode.SERVING
        self.started_ms = int(time() * 1000)

    def drop_connections(self) -> None:
        for sock in list(self.connections):
            reset(sock)
        self.connections.clear()

    def close(self) -> None:
        self.acceptor.kill()
        self.sock.close()
        self.drop_connections()


def body_of(txn: str) -> bytes:
    """What a server answers to this request, so that a client can tell its answer from another's."""
    return b"answer to " + txn.encode()
