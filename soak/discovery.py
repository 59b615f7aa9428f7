"""A stand-in for discovery: one service of fixed capacity for all fronts, each of which reaches it at a port
of its own. Calls wait in turn; one that has waited for ``timeout_s`` fails with 503, as does one that comes
to a queue that would take longer (protocol and bench pages)."""

import contextlib
from collections import deque
from dataclasses import dataclass
from time import monotonic

import gevent
import orjson
from gevent import socket
from gevent.event import Event

from soak.records import Change, Records, Span, Written
from soak.servers import Server
from soak.wire import STREAM_HEAD, Ended, Reader, address, answer, chunk, listener, reset

SIGN_S = 2.0  # an empty line comes so often while nothing changes
TARGETS = "/api/targets"


@dataclass(slots=True)
class Call:
    front: str
    sock: socket.socket
    after: int
    watch: bool
    over: bool = False  # it was answered or given up


@dataclass(slots=True)
class Watch:
    front: str
    sock: socket.socket
    version: int
    silent: bool = False


class Discovery:
    """``call_s`` is how long one call takes it. ``refusal_cost_s``: what a call that is turned away costs."""

    def __init__(self, host: str, servers: dict[str, Server], records: Records, call_s: float = 0.005):
        self.host, self.servers, self.records = host, servers, records
        self.call_s, self.refusal_cost_s, self.timeout_s = call_s, 0.0, 2.0
        self.version = 1
        self.lifecycle = dict.fromkeys(servers, "in_service")
        self.changed = dict.fromkeys(servers, 1)  # the version that each server last changed in
        self.down_since: float | None = None
        self.indented, self.late_s = False, 0.0
        self.queue: deque[Call] = deque()  # emptied by ``work``
        self.some = Event()
        self.watches: list[Watch] = []  # emptied as each ends
        self.ports: dict[str, socket.socket] = {}
        self.sent_bytes = 0  # of lists
        self.crowd_until = 0.0  # until then others' calls fill the queue
        for name in servers:
            self.note(name)
        self.workers = [gevent.spawn(self.work), gevent.spawn(self.signs)]

    # --- what changes ---

    def note(self, name: str) -> None:
        server = self.servers[name]
        lifecycle, at = self.lifecycle[name], monotonic()
        change = Change(self.version, at, name, lifecycle, server.build, server.started_ms)
        self.records.changes.append(change)

    def change(self, lifecycle: str, *names: str) -> None:
        """A new version in which these servers stand so."""
        self.version += 1
        for name in names:
            self.lifecycle[name], self.changed[name] = lifecycle, self.version
            self.note(name)
        gevent.spawn_later(self.late_s, self.push)

    def push(self) -> None:
        if self.down_since is not None:
            return
        for watch in list(self.watches):
            self.write(watch)

    def entry(self, name: str) -> dict[str, object]:
        server = self.servers[name]
        return {
            "instanceId": name,
            "hostPort": server.address,
            "zone": "here",
            "machineType": "small",
            "cell": 0,
            "lifecycle": self.lifecycle[name],
            "weight": 1.0,
            "startedAtMs": server.started_ms,
            "version_no": server.build,
        }

    def document(self, after: int | None) -> dict[str, object]:
        """What changed after a version, or the whole list for None: servers that have gone are not in it."""
        if after is None or after > self.version:
            names = [n for n, lifecycle in self.lifecycle.items() if lifecycle != "terminated"]
            return {"generation": self.version, "reset": True, "instances": [self.entry(n) for n in names]}
        names = [n for n, version in self.changed.items() if version > after]
        return {"generation": self.version, "reset": False, "instances": [self.entry(n) for n in names]}

    def line(self, after: int | None) -> bytes:
        option = orjson.OPT_INDENT_2 if self.indented else None
        return orjson.dumps(self.document(after), option=option) + b"\n"

    # --- trouble ---

    def crowd(self, seconds: float) -> None:
        """Others' calls fill the queue for so long."""
        self.crowd_until = monotonic() + seconds

    def go_down(self) -> None:
        self.down_since = monotonic()
        for watch in self.watches:
            reset(watch.sock)
        self.watches = []

    def come_back(self) -> None:
        if self.down_since is not None:
            self.records.unreachable.append(Span(self.down_since, monotonic()))
        self.down_since = None

    def fall_silent(self) -> None:
        for watch in self.watches:
            watch.silent = True

    def reset_watches(self) -> None:
        for watch in self.watches:
            reset(watch.sock)
        self.watches = []

    # --- serving ---

    def port(self, front: str) -> str:
        """The address at which this front reaches discovery from now on."""
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
            gevent.spawn(self.read, front, sock)

    def read(self, front: str, sock: socket.socket) -> None:
        try:
            target = Reader(sock, monotonic).message().line[1]
        except (Ended, OSError):
            sock.close()
            return
        path, _, query = target.partition("?")
        fields = dict(pair.partition("=")[::2] for pair in query.split("&"))
        if path != TARGETS:
            sock.sendall(answer(404))
            return
        call = Call(front, sock, int(fields.get("after", "-1")), "watch" in fields)
        if self.full():
            gevent.sleep(self.refusal_cost_s)
            self.refuse(call)
            return
        self.queue.append(call)
        self.some.set()
        gevent.spawn_later(self.timeout_s, self.give_up, call)

    def full(self) -> bool:
        return len(self.queue) * self.call_s > self.timeout_s or monotonic() < self.crowd_until

    def give_up(self, call: Call) -> None:
        if not call.over:
            self.refuse(call)

    def refuse(self, call: Call) -> None:
        with contextlib.suppress(OSError):
            call.sock.sendall(answer(503, Connection="close"))
        call.sock.close()
        call.over = True

    def work(self) -> None:
        while True:
            while not self.queue:
                self.some.clear()
                self.some.wait()
            if self.down_since is not None:
                self.queue.clear()
                continue
            # Given up on or not, a call costs its turn: the service does not know that its caller has gone.
            gevent.sleep(self.call_s)
            if self.queue and not self.queue[0].over:
                self.take(self.queue[0])
            if self.queue:
                self.queue.popleft()

    def take(self, call: Call) -> None:
        call.over = True
        after = call.after if 0 <= call.after <= self.version else None
        try:
            if not call.watch:
                call.sock.sendall(answer(200, self.line(None)))
                call.sock.close()
                self.records.written.append(Written(call.front, monotonic(), self.version))
                return
            call.sock.sendall(STREAM_HEAD)
            watch = Watch(call.front, call.sock, -1 if after is None else after)
            self.watches.append(watch)
            self.write(watch, first=True)
        except OSError:
            call.sock.close()

    def write(self, watch: Watch, first: bool = False) -> None:
        if watch.silent or (watch.version >= self.version and not first):
            return
        line = self.line(None if watch.version < 0 else watch.version)
        try:
            watch.sock.settimeout(1.0)
            watch.sock.sendall(chunk(line))
            self.sent_bytes += len(line)
        except OSError:
            self.end(watch)
            return
        watch.version = self.version
        self.records.written.append(Written(watch.front, monotonic(), self.version))

    def end(self, watch: Watch) -> None:
        watch.sock.close()
        if watch in self.watches:
            self.watches.remove(watch)

    def signs(self) -> None:
        while True:
            gevent.sleep(SIGN_S)
            for watch in list(self.watches):
                if watch.silent:
                    continue
                try:
                    watch.sock.sendall(chunk(b"\n"))
                except OSError:
                    self.end(watch)

    def close(self) -> None:
        for worker in self.workers:
            worker.kill()
        for sock in self.ports.values():
            sock.close()
        self.reset_watches()
