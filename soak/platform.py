"""A stand-in for the platform: a bulletin that each front follows, and votes that are taken and counted."""

from time import monotonic

import gevent
from gevent import socket

from soak.records import Records, Stage
from soak.wire import STREAM_HEAD, Ended, Reader, address, answer, chunk, listener, reset

SIGN_S = 1.0


class Platform:
    """The newest build and how it stands; ``move`` tells every open bulletin."""

    def __init__(self, host: str, build: int, records: Records):
        self.host, self.records = host, records
        self.build, self.wave, self.state, self.cap = build, 0, "released", 0.0
        self.since = monotonic() - 60.0
        self.bulletins: list[tuple[str, socket.socket]] = []  # emptied as each ends
        self.ports: dict[str, socket.socket] = {}
        self.votes = 0
        self.worker = gevent.spawn(self.signs)

    def news(self) -> dict[str, object]:
        age = int(1000 * (monotonic() - self.since))
        names = ("Revision", "Wave", "State", "MaxShare", "AgeMs")
        return dict(zip(names, (self.build, self.wave, self.state, self.cap, age), strict=True))

    def move(self, build: int, wave: int, state: str, cap: float) -> None:
        self.build, self.wave, self.state, self.cap = build, wave, state, cap
        self.since = monotonic()
        for front, sock in list(self.bulletins):
            self.tell(front, sock)

    def tell(self, front: str, sock: socket.socket) -> None:
        data = "&".join(f"{name}={value}" for name, value in self.news().items())
        try:
            sock.sendall(chunk(f"event: progress\ndata: {data}\n\n".encode()))
        except OSError:
            self.bulletins.remove((front, sock))
            return
        self.records.stages.append(Stage(front, monotonic(), self.build, self.state, self.cap))

    def started(self, front: str) -> None:
        """A process begins with this news in its configuration."""
        self.records.stages.append(Stage(front, monotonic(), self.build, self.state, self.cap))

    def port(self, front: str) -> str:
        sock = listener(self.host)
        old = self.ports.get(front)
        self.ports[front] = sock
        gevent.spawn(self.accept, front, sock)
        if old is not None:
            gevent.spawn_later(1.5, old.close)
        return address(sock)

    def accept(self, front: str, listening: socket.socket) -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except OSError:
                return
            gevent.spawn(self.serve, front, sock)

    def serve(self, front: str, sock: socket.socket) -> None:
        reader = Reader(sock, monotonic)
        try:
            message = reader.message()
            if message.line[1] == "/v1/bulletin":
                sock.sendall(STREAM_HEAD)
                self.bulletins.append((front, sock))
                self.tell(front, sock)
                return
            self.votes += 1
            items = "".join(f"<{name}>{value}</{name}>" for name, value in self.news().items())
            body = f"<Response><entries><item>{items}</item></entries></Response>"
            sock.sendall(answer(200, body.encode()))
            sock.close()
        except (Ended, OSError):
            sock.close()

    def signs(self) -> None:
        while True:
            gevent.sleep(SIGN_S)
            for front, sock in list(self.bulletins):
                try:
                    sock.sendall(chunk(b":\n"))
                except OSError:
                    self.bulletins.remove((front, sock))

    def reset_bulletins(self) -> None:
        for _, sock in self.bulletins:
            reset(sock)
        self.bulletins = []

    def close(self) -> None:
        self.worker.kill()
        self.reset_bulletins()
        for sock in self.ports.values():
            sock.close()
