"""Stand-in clients: they keep connections, send one request at a time on each, give up and leave, and record
how each request ended."""

import select
from collections import defaultdict
from random import Random
from time import monotonic

import gevent
from gevent import socket

from soak.deployment import SAFE_CLASS, TENANT, UNSAFE_CLASS
from soak.fronts import Front
from soak.records import Outcome, Records, Request
from soak.servers import body_of
from soak.wire import Ended, Message, Reader

HALF_S = 3.0  # within which a client that stops in the middle gets an error or a close
LISTEN_ON_S = 1.0  # past its deadline a client goes on listening, to tell a late answer from none
UNSAFE_SHARE = 0.3
KILL_S = 0.5  # a connection kept to a process that was killed so long ago may be found reset only now


class Connection:
    def __init__(self, at: tuple[str, int]):
        self.sock = socket.create_connection(at, 1.0)
        self.reader = Reader(self.sock, monotonic)
        self.used = False

    def ended(self) -> bool:
        """Whether the other side has closed it, so that nothing may be sent on it any more."""
        waiting = select.poll()
        waiting.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(waiting.poll(0))

    def close(self) -> None:
        self.sock.close()


class Clients:
    """All clients of one soak. ``rate`` is requests a second to each front."""

    def __init__(self, fronts: list[Front], records: Records, random: Random, deadline_s: float, rate: float):
        self.fronts, self.records, self.random = fronts, records, random
        self.deadline_s, self.rate = deadline_s, rate
        self.idle: dict[str, list[Connection]] = defaultdict(list)  # emptied as fronts close, and at the end
        self.leave_share, self.crowd = 0.0, 1.0
        self.number = 0
        self.open: set[gevent.Greenlet] = set()  # emptied as each request ends
        self.loops = [gevent.spawn(self.arrive, front) for front in fronts]

    def arrive(self, front: Front) -> None:
        while True:
            gevent.sleep(self.random.expovariate(self.rate * self.crowd))
            if front.ready is not None:
                self.spawn(front)

    def spawn(self, front: Front) -> None:
        task = gevent.spawn(self.ask, front)
        self.open.add(task)
        task.link(self.open.discard)

    def connection(self, front: Front) -> Connection | None:
        pool = self.idle[front.name]
        while pool:
            kept = pool.pop()
            if not kept.ended():
                return kept
            kept.close()
        try:
            return Connection(front.at)
        except OSError:
            return None  # not taken: the front's machine accepted nothing

    def ask(self, front: Front) -> None:
        connection = self.connection(front)
        if connection is None:
            return
        self.number += 1
        txn, safe = f"r{self.number:07d}", self.random.random() > UNSAFE_SHARE
        if self.send(front, connection, txn, safe) == Outcome.CLOSED:
            self.send_again(front, txn, safe)

    def send_again(self, front: Front, txn: str, safe: bool) -> None:
        """A close may have crossed the request on a kept connection: once more on a new one (protocol)."""
        request = next((r for r in reversed(self.records.requests) if r.txn == txn), None)
        if request is None:
            return  # it was never written whole: nobody has taken it
        if front.killed_within(request.sent - KILL_S, request.ended):
            request.front_killed = True
        if request.new_connection or request.front_killed:
            return
        request.resent = True
        try:
            connection = Connection(front.at)
        except OSError:
            return  # nobody accepts any more, so nobody has taken it
        self.send(front, connection, txn, safe)

    def send(self, front: Front, connection: Connection, txn: str, safe: bool) -> Outcome:
        now = monotonic()
        request = Request(txn, front.name, safe, now, now + self.deadline_s, not connection.used)
        method, lane = ("GET", SAFE_CLASS) if safe else ("POST", UNSAFE_CLASS)
        head = (
            f"{method} /api HTTP/1.1\r\nHost: h\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Org: {TENANT}\r\n"
            f"X-Remaining-Ms: {int(self.deadline_s * 1000)}\r\n"
        )
        body = b"" if safe else b"seat=1"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        leaves = self.random.random() < self.leave_share
        patience = self.deadline_s * self.random.random() if leaves else self.deadline_s + LISTEN_ON_S
        connection.used = True
        try:
            connection.sock.settimeout(patience)
            connection.sock.sendall((head + length + "\r\n").encode() + body)
        except OSError:
            connection.close()
            return Outcome.CLOSED  # not written whole: nobody has taken it
        self.records.requests.append(request)
        outcome = self.listen(connection, request, leaves)
        request.ended, request.outcome = monotonic(), outcome
        return outcome

    def listen(self, connection: Connection, request: Request, leaves: bool) -> Outcome:
        front = request.front
        try:
            message = connection.reader.message()
        except TimeoutError:
            connection.close()
            return Outcome.LEFT if leaves else Outcome.SILENT
        except (Ended, OSError):
            connection.close()
            return Outcome.CLOSED
        if message.fields.get("connection", "").lower() == "close":
            connection.close()
        else:
            self.idle[front].append(connection)
        return self.outcome(message, request)

    @staticmethod
    def outcome(message: Message, request: Request) -> Outcome:
        status = int(message.line[1])
        if status == 200:
            return Outcome.SERVED if message.body == body_of(request.txn) else Outcome.WRONG
        return Outcome.REFUSED if status in (429, 503) else Outcome.FAILED

    def stop_in_the_middle(self, front: Front) -> None:
        begun = monotonic()
        try:
            with socket.create_connection(front.at, 1.0) as sock:
                sock.settimeout(HALF_S + 1.0)
                sock.sendall(b"POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: half\r\nContent-Le")
                sock.recv(1024)
        except TimeoutError:
            self.records.neglected.append((begun, front.name))
        except OSError:
            pass

    def stop(self) -> None:
        """No new requests; those that are out have their time."""
        gevent.killall(self.loops)
        gevent.joinall(list(self.open), timeout=self.deadline_s + LISTEN_ON_S + 1.0)

    def close(self) -> None:
        for pool in self.idle.values():
            for connection in pool:
                connection.close()
