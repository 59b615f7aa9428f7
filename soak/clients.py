"""Stand-in clients: they keep connections open, send one request at a time on each, time out or leave early,
and record the outcome of each request."""

import select
from collections import defaultdict
from random import Random
from time import monotonic

import gevent
from gevent import socket

from soak.deployment import SAFE_ROUTE, TENANT, UNSAFE_ROUTE
from soak.fronts import Front
from soak.http_wire import ConnectionEnded, Message, MessageReader
from soak.records import Outcome, Records, Request
from soak.servers import response_body

PARTIAL_REQUEST_TIMEOUT_S = 3.0  # within which a partial request gets an error or a close
EXTRA_WAIT_S = 1.0  # a client waits past its deadline, to distinguish a late response from none
UNSAFE_SHARE = 0.3
# A client may notice this late that a kept connection was reset by the kill of its front.
KILL_DETECTION_S = 0.5


class ClientConnection:
    """A connection of a client to a front, kept open between requests."""

    def __init__(self, address: tuple[str, int]):
        self.sock = socket.create_connection(address, 1.0)
        self.reader = MessageReader(self.sock, monotonic)
        self.used = False

    def closed_by_peer(self) -> bool:
        """Returns whether the front has closed the connection, so that it can't be used any more."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()


class Clients:
    """All clients of one run. ``rate_per_s`` is the rate of requests to each front."""

    def __init__(
        self, fronts: list[Front], records: Records, random: Random, deadline_s: float, rate_per_s: float
    ):
        self.fronts, self.records, self.random = fronts, records, random
        self.deadline_s, self.rate_per_s = deadline_s, rate_per_s
        # connections are removed as they are used or found closed, and closed at the end
        self.idle_connections: dict[str, list[ClientConnection]] = defaultdict(list)
        self.leave_share, self.rate_factor = 0.0, 1.0  # share of clients that leave early; factor of the rate
        self.request_count = 0
        self.open_requests: set[gevent.Greenlet] = set()  # each is removed when it ends
        self.arrival_loops = [gevent.spawn(self.generate_arrivals, front) for front in fronts]

    def generate_arrivals(self, front: Front) -> None:
        """Sends requests to a ready front with exponentially distributed gaps."""
        while True:
            gevent.sleep(self.random.expovariate(self.rate_per_s * self.rate_factor))
            if front.ready_at is not None:
                self.spawn_request(front)

    def spawn_request(self, front: Front) -> None:
        """Starts one request in a greenlet of its own."""
        task = gevent.spawn(self.run_request, front)
        self.open_requests.add(task)
        task.link(self.open_requests.discard)

    def take_connection(self, front: Front) -> ClientConnection | None:
        """Returns an idle connection to a front or a new one; None if the front accepts none."""
        pool = self.idle_connections[front.name]
        while pool:
            kept = pool.pop()
            if not kept.closed_by_peer():
                return kept
            kept.close()
        try:
            return ClientConnection(front.address)
        except OSError:
            return None  # not counted as a request, as nothing accepted the connection

    def run_request(self, front: Front) -> None:
        """Sends one request, and once more where a close may have crossed it."""
        connection = self.take_connection(front)
        if connection is None:
            return
        self.request_count += 1
        request_id, safe = f"r{self.request_count:07d}", self.random.random() > UNSAFE_SHARE
        if self.send_request(front, connection, request_id, safe) == Outcome.CLOSED:
            self.resend(front, request_id, safe)

    def resend(self, front: Front, request_id: str, safe: bool) -> None:
        """Sends a request again on a new connection, if the first one was kept open and the front closed it.

        The close may have crossed the request, and the protocol has clients try once more then."""
        request = next((sent for sent in reversed(self.records.requests) if sent.txn == request_id), None)
        if request is None:
            return  # never written in full, so no front is responsible for it
        if front.killed_within(request.sent - KILL_DETECTION_S, request.ended):
            request.front_killed = True
        if request.new_connection or request.front_killed:
            return
        request.resent = True
        try:
            connection = ClientConnection(front.address)
        except OSError:
            return  # nothing accepts connections any more, so no front is responsible for it
        self.send_request(front, connection, request_id, safe)

    def send_request(
        self, front: Front, connection: ClientConnection, request_id: str, safe: bool
    ) -> Outcome:
        """Sends a request and waits for its outcome; records it unless writing the request fails."""
        now = monotonic()
        request = Request(request_id, front.name, safe, now, now + self.deadline_s, not connection.used)
        method, route = ("GET", SAFE_ROUTE) if safe else ("POST", UNSAFE_ROUTE)
        head = (
            f"{method} /api HTTP/1.1\r\nHost: h\r\nX-Txn: {request_id}\r\nX-Lane: {route}\r\n"
            f"X-Org: {TENANT}\r\nX-Remaining-Ms: {int(self.deadline_s * 1000)}\r\n"
        )
        body = b"" if safe else b"seat=1"
        length_header = f"Content-Length: {len(body)}\r\n" if body else ""
        leaves_early = self.random.random() < self.leave_share
        wait_s = self.deadline_s * self.random.random() if leaves_early else self.deadline_s + EXTRA_WAIT_S
        connection.used = True
        try:
            connection.sock.settimeout(wait_s)
            connection.sock.sendall((head + length_header + "\r\n").encode() + body)
        except OSError:
            connection.close()
            return Outcome.CLOSED  # not written in full, so no front is responsible for it
        self.records.requests.append(request)
        outcome = self.await_response(connection, request, leaves_early)
        request.ended, request.outcome = monotonic(), outcome
        return outcome

    def await_response(self, connection: ClientConnection, request: Request, leaves_early: bool) -> Outcome:
        """Waits for the response and returns the outcome; keeps the connection if the front does."""
        front = request.front
        try:
            message = connection.reader.read_message()
        except TimeoutError:
            connection.close()
            return Outcome.LEFT if leaves_early else Outcome.SILENT
        except (ConnectionEnded, OSError):
            connection.close()
            return Outcome.CLOSED
        if message.headers.get("connection", "").lower() == "close":
            connection.close()
        else:
            self.idle_connections[front].append(connection)
        return self.classify_response(message, request)

    @staticmethod
    def classify_response(message: Message, request: Request) -> Outcome:
        """Returns the outcome that a response means."""
        status = int(message.start_line[1])
        if status == 200:
            return Outcome.SERVED if message.body == response_body(request.txn) else Outcome.WRONG
        return Outcome.REFUSED if status in (429, 503) else Outcome.FAILED

    def send_partial_request(self, front: Front) -> None:
        """Sends part of a request and waits; records a front that neither responds nor closes in time."""
        started_at = monotonic()
        try:
            with socket.create_connection(front.address, 1.0) as sock:
                sock.settimeout(PARTIAL_REQUEST_TIMEOUT_S + 1.0)
                sock.sendall(b"POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: half\r\nContent-Le")
                sock.recv(1024)
        except TimeoutError:
            self.records.neglected.append((started_at, front.name))
        except OSError:
            pass

    def stop(self) -> None:
        """Starts no new requests and waits for the open ones."""
        gevent.killall(self.arrival_loops)
        gevent.joinall(list(self.open_requests), timeout=self.deadline_s + EXTRA_WAIT_S + 1.0)

    def close(self) -> None:
        """Closes the idle connections."""
        for pool in self.idle_connections.values():
            for connection in pool:
                connection.close()
