"""Accepts client connections, reads requests, passes them to the dispatcher and writes final responses."""

import contextlib
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from myrtleroad import interface
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.net import http1, response
from myrtleroad.net.actor import report_fault
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.dispatcher import RESERVED_DESCRIPTORS, ClientGone, RequestReceived
from myrtleroad.net.listening_socket import open_listener, try_set_option
from myrtleroad.net.log import Log, RateLimitedWarnings
from myrtleroad.net.loop_turn import TurnQuota, current_turn
from myrtleroad.net.node_config import NodeConfig
from myrtleroad.net.read_delay import ReadDelay, last_data_age_ms

if TYPE_CHECKING:
    from myrtleroad.config.networks import Networks
    from myrtleroad.config.request_limits import RequestLimits

# A connection without an open request is closed after this: the least that the protocol allows, because
# clients leave connections behind.
IDLE_TIMEOUT_MS = 2000.0
# To receive a whole request, from its first byte, or from connecting for the first request of a connection.
# The documented limit is 3 s.
REQUEST_READ_TIMEOUT_MS = 2500.0
LINGER_TIMEOUT_MS = 1000.0  # for a client to read the last response and close before the front closes
# For a client to read a response: the system's buffers hold 64 KiB, and a client that reads needs
# milliseconds.
WRITE_TIMEOUT_MS = 2000.0
SWEEP_INTERVAL_S = 0.2  # between checks of all connections; keeps the timeouts above within 3 s
# Between checks whether a client has left while its next request waits unread; reading does not show it then.
DISCONNECT_POLL_S = 0.05
# Bytes read and discarded after the last response. Closing with unread bytes would reset the connection and
# cut that response off.
MAX_DISCARDED_BYTES = 256 * 1024
# The client has disconnected, or this side has closed the socket.
DISCONNECT_ERRNOS = (
    errno.EBADF,
    errno.ECONNRESET,
    errno.ENOTCONN,
    errno.EPIPE,
)
MAX_TRANSACTION_ID_LENGTH = 128  # characters; several times the length of the common forms


class ClientConnection:
    """One client connection. Its own greenlet reads requests; a response that the system does not take at
    once is written by another greenlet."""

    __slots__ = (
        "closing",
        "counted_tenant",
        "discarded_bytes",
        "first_turn",
        "has_received_request",
        "listener",
        "loop_turn",
        "open_request_id",
        "overdue_from",
        "parser",
        "peer_ip",
        "pipelined_since",
        "ready_for_request",
        "response_due",
        "shed_only",
        "sock",
        "start_delay_ms",
        "timed_from",
        "write_started_at",
    )

    def __init__(
        self, listener: "ClientListener", sock: socket.socket, peer_ip: str = "", shed_only: bool = False
    ):
        self.listener, self.sock, self.peer_ip = listener, sock, peer_ip
        self.shed_only = shed_only  # accepted beyond the limit: its first request is shed and is its last
        self.counted_tenant: str | None = None  # the tenant whose limits count the open request
        self.parser = http1.RequestParser()
        self.open_request_id: int | None = None  # the request that the dispatcher has
        self.response_due = False  # a request has no response yet; only the first response is written
        self.ready_for_request = Event()  # set while no response is due
        self.ready_for_request.set()
        # Whether the next response is the last or the last is already written; whether a whole request came.
        self.closing, self.has_received_request = False, False
        self.discarded_bytes = 0  # read after the last response
        # Time from connecting until the reader started, and the event loop's turn in which it started.
        self.start_delay_ms, self.first_turn = 0.0, 0
        self.pipelined_since: float | None = None  # since when bytes of a next request have waited here
        # The time of accepting, of the last response's end, or of the first byte of a later request.
        self.timed_from = listener.clock()
        self.overdue_from: float | None = None  # ``timed_from`` of the request that a sweep found overdue
        self.write_started_at: float | None = None  # None while no response is being written
        self.loop_turn = current_turn()

    @property
    def is_idle(self) -> bool:
        """Whether no response is due and no part of a request has been read."""
        return self.ready_for_request.is_set() and not self.parser.started

    def run(self) -> None:
        """Reads requests until the connection ends, then releases all that it holds."""
        self.start_delay_ms, self.first_turn = (
            self.listener.clock() - self.timed_from,
            self.listener.read_delay.turns,
        )
        try:
            self.read_requests()
        except OSError as error:
            if error.errno not in DISCONNECT_ERRNOS:
                self.handle_read_error()
        except Exception as error:
            report_fault("client", error, self.listener.counters, self.listener.log)
            self.handle_reader_fault()
        finally:
            if self.open_request_id is not None:
                self.listener.deliver(ClientGone(self.open_request_id))
            self.release_tenant()
            self.close()

    def handle_read_error(self) -> None:
        """Waits for the due response: nothing more can be read, but a response may still reach the client."""
        self.closing = True
        self.ready_for_request.wait()

    def handle_reader_fault(self) -> None:
        """Makes sure that a request gets its response in spite of a fault in its reader: from the dispatcher
        if that has the request, otherwise status 500."""
        self.closing = True
        if self.open_request_id is None and (self.response_due or self.parser.started):
            self.reject(500)
        self.ready_for_request.wait()

    def read_requests(self) -> None:
        """Keeps reading while a request is open, so that a client's disconnect is noticed at once."""
        rest: memoryview | bytes = b""
        while data := rest or http1.receive(self.sock):
            if self.closing:
                rest = b""  # bytes after the last response are not parsed as a request
                self.discarded_bytes += len(data)
                if self.discarded_bytes > MAX_DISCARDED_BYTES:
                    self.ready_for_request.wait()
                    return
            elif not self.ready_for_request.is_set():
                rest = bytes(data)  # pipelined bytes wait until the open request has its response
                if self.pipelined_since is None:
                    self.pipelined_since = self.listener.clock()
                if not self.wait_for_response():
                    return
            elif rest and http1.has_left(self.sock):
                return  # what it sent ahead is not begun for a client that has gone
            else:
                rest = self.parse(data)
            if self.closing or self.ready_for_request.is_set() or rest:
                # Guards against a client that sends as fast as it is read: no read of its bytes waits.
                self.loop_turn.pause_if_over()

    def parse(self, data: memoryview | bytes) -> bytes:
        """Parses at most one request from the data; returns the bytes after it."""
        parser = self.parser
        if self.has_received_request and not parser.started:
            self.timed_from = self.listener.clock()
        try:
            consumed = parser.feed(data)
        except http1.HttpError as error:
            self.reject(error.status)
            return b""
        rest = bytes(data[consumed:])
        if parser.complete:
            read_delay_ms = self.read_delay_ms()
            self.has_received_request, self.response_due = True, True
            self.ready_for_request.clear()
            self.handle_request(parser.take_message(), read_delay_ms)
        elif parser.expects_continue:
            parser.expects_continue = False
            http1.send(self.sock, [http1.CONTINUE])
        if not rest:
            self.pipelined_since = None
        return rest

    def wait_for_response(self) -> bool:
        """Waits until the due response has been written; returns False if the client disconnects first."""
        while not self.ready_for_request.wait(DISCONNECT_POLL_S):
            if http1.has_left(self.sock):
                return False
        return True

    def read_delay_ms(self) -> float:
        """How long the request that is complete now waited to be read: the longest of the waits for the event
        loop, in the system's buffer and behind another request, and for a request that came with its
        connection the wait until this greenlet started."""
        delay_ms = max(self.listener.read_delay.current_ms(), last_data_age_ms(self.sock))
        if self.pipelined_since is not None:
            delay_ms = max(delay_ms, self.listener.clock() - self.pipelined_since)
        return (
            max(delay_ms, self.start_delay_ms)
            if not self.has_received_request and self.listener.read_delay.turns == self.first_turn
            else delay_ms
        )

    def handle_request(self, message: http1.Message, read_delay_ms: float) -> None:
        """Passes a request to the dispatcher, or responds at once if it is rejected or shed here."""
        listener, now = self.listener, self.listener.clock()
        self.closing = not message.keep_alive
        request = listener.parse_request(message, now - read_delay_ms)
        if self.shed_only:
            self.closing = True
            request = request if isinstance(request, response.Response) else listener.overloaded()
        if (
            not isinstance(request, response.Response)
            and (early_response := listener.check_read_delay(request, message, read_delay_ms, now))
            is not None
        ):
            request = early_response
        if (
            not isinstance(request, response.Response)
            and (early_response := listener.check_limits(self, request, now)) is not None
        ):
            request = early_response
        if isinstance(request, response.Response):
            self.respond(request)
        else:
            self.open_request_id = request.id
            listener.deliver(RequestReceived(request, message, now, self.respond, read_delay_ms))

    def reject(self, status: int) -> None:
        """Writes the last response of a connection: its framing is lost, or its request stays incomplete."""
        self.closing, self.response_due = True, True
        self.ready_for_request.clear()
        self.respond(response.rejected(status))

    def respond(self, final_response: response.Response) -> None:
        """Writes the final response of the open request, from any greenlet; never blocks. Without effect if
        no response is due."""
        if not self.response_due:
            return  # it has its response already, or the client has disconnected
        self.open_request_id, self.response_due = None, False
        self.release_tenant()
        self.closing = self.closing or self.listener.stopping or self.listener.is_crowded
        self.listener.counters.add(f"answers_{final_response.status}")
        self.write_started_at = self.listener.clock()
        parts = self.serialize(final_response)
        unsent = self.close_on_error(lambda: http1.send_nowait(self.sock, parts))
        if unsent:
            gevent.spawn(self.write_rest, unsent)
        else:
            self.finish_response()

    def serialize(self, final_response: response.Response) -> list[bytes]:
        """Returns a response as bytes. A response that cannot be serialized is replaced by status 502, as the
        connection's last."""
        try:
            return final_response.serialize(self.closing)
        except Exception as error:
            report_fault("answer", error, self.listener.counters, self.listener.log)
            self.closing = True
            return response.bad_gateway().serialize(True)

    def release_tenant(self) -> None:
        """Ends the counting of the open request among its tenant's."""
        if self.counted_tenant is not None and self.listener.request_limits is not None:
            self.listener.request_limits.release(self.counted_tenant)
        self.counted_tenant = None

    def write_rest(self, unsent: bytes) -> None:
        """Writes what the system did not take of a response at once, as the client reads."""
        self.close_on_error(lambda: http1.send_all(self.sock, unsent))
        self.finish_response()

    def close_on_error(self, write: Callable[[], bytes | None]) -> bytes | None:
        """Closes the connection if a response cannot be written; otherwise its reader would wait for it for
        ever."""
        try:
            return write()
        except OSError:
            self.close()
        except Exception as error:
            report_fault("answer", error, self.listener.counters, self.listener.log)
            self.close()
        return None

    def finish_response(self) -> None:
        """Makes the connection ready for its next request, or shuts down sending after the last response."""
        if self.closing:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.timed_from, self.write_started_at = self.listener.clock(), None
        self.ready_for_request.set()

    def close(self) -> None:
        """Closes the socket and removes the connection from its listener."""
        self.closing = True
        self.sock.close()
        self.listener.connections.discard(self)

    def check_timeouts(self, now: float) -> None:
        """Applies the connection's timeouts; they do not affect a request that the dispatcher has."""
        if not self.ready_for_request.is_set():
            if self.write_started_at is not None and now - self.write_started_at > WRITE_TIMEOUT_MS:
                self.listener.counters.add("writes_given_up")
                self.close()
        elif self.closing:
            if now - self.timed_from > LINGER_TIMEOUT_MS:
                self.close()
        elif self.parser.started:
            if now - self.timed_from > REQUEST_READ_TIMEOUT_MS:
                self.reject_overdue()
        elif now - self.timed_from > IDLE_TIMEOUT_MS and http1.peek(self.sock) is None:
            self.listener.counters.add("idle_closed")
            self.close()

    def reject_overdue(self) -> None:
        """Rejects a request that is not whole after its time. Bytes that wait unread may be the rest of it,
        as after a pause of this process; they have been read by the next sweep, and what comes later is too
        late."""
        if self.overdue_from == self.timed_from or http1.peek(self.sock) is None:
            self.reject(408)
        self.overdue_from = self.timed_from


class ClientListener:
    """The actor that accepts client connections and keeps them within limits of descriptors and time."""

    ACTOR_NAME = "door"  # the actor's name in log events
    # Connections accepted beyond the clients' half, only to shed their first request: a third of
    # RESERVED_DESCRIPTORS.
    EXTRA_CONNECTIONS = 8
    MAX_CLOSED_AT_ONCE = 16  # connections closed together when descriptors run short
    ACCEPTS_PER_TURN = 16  # of the event loop; what is read and answered has the rest of the turn
    RETRY_DELAY_S = 0.01  # after a failed accept or when no connection can be closed, so as not to spin

    def __init__(
        self,
        node_config: NodeConfig,
        clock: Clock,
        counters: Counters,
        log: Log,
        deliver: Callable[[object], None],
        is_ready: Callable[[], bool],
    ):
        self.node_config, self.clock, self.counters, self.log = node_config, clock, counters, log
        self.deliver, self.is_ready = deliver, is_ready
        self.connections: set[ClientConnection] = set()  # a connection is removed as it closes
        self.read_delay, self.unread_warnings = ReadDelay(clock), RateLimitedWarnings(log)
        self.admission = AdmissionControl(r.objective_ms for r in node_config.facts.routes)
        # Half of the descriptors; the other half is for connections to servers.
        self.max_connections = (node_config.sockets - RESERVED_DESCRIPTORS) // 2
        # Connections kept open between requests: fewer than the third that open requests may hold.
        self.max_kept_alive = node_config.sockets // 4
        self.last_request_id = 0
        self.stopping = False
        # The settings as operators limit them, their networks and their request limits, each in effect now.
        self.settings, self.networks, self.request_limits = node_config.facts, None, None
        self.tenant_names = [name.decode() for name in node_config.tenants]
        self.sock = open_listener(node_config.listen)
        self.closed = False  # whether accepting has ended

    @property
    def is_crowded(self) -> bool:
        """Whether each response is its connection's last. Guards against clients that send one request and
        keep the connection: until it is found idle, it holds a descriptor that the next client needs."""
        return len(self.connections) > self.max_kept_alive

    def apply_limits(
        self,
        settings: interface.Settings,
        networks: "Networks | None",
        request_limits: "RequestLimits | None",
    ) -> None:
        """Puts operators' limits into effect: for requests not yet received, and for addresses at once."""
        self.settings, self.networks = settings, networks
        if self.request_limits is not request_limits:
            for connection in self.connections:
                connection.counted_tenant = None  # counted by limits that no longer hold, or by none
            self.request_limits = request_limits

    def check_limits(
        self, connection: ClientConnection, request: interface.Request, now: float
    ) -> response.Response | None:
        """Returns the response to a request that operators' limits rule out, or None."""
        if self.networks is not None and connection.peer_ip and not self.networks.admits(connection.peer_ip):
            self.counters.add("reqs_network_refused")
            connection.closing = True
            return response.rejected(403)
        if self.request_limits is not None and request.tenant is not None:
            name = self.tenant_names[request.tenant]
            retry_after_ms = self.request_limits.admit(name, now)
            if retry_after_ms is not None:
                self.counters.add("reqs_over_bound")
                max_retry_after_ms = (
                    self.settings.max_retry_after_ms if self.settings.retry_after_allowed else 0.0
                )
                return response.shed(min(retry_after_ms, max_retry_after_ms))
            connection.counted_tenant = name
        return None

    def check_read_delay(
        self, request: interface.Request, message: http1.Message, read_delay_ms: float, now: float
    ) -> response.Response | None:
        """Returns the response to a request that waited unread for too long, or None. Nothing was sent to a
        server for such a request."""
        self.counters.record_high("longest_unread_ms", read_delay_ms)
        decision = self.admission.decide(read_delay_ms, request.deadline - now, now)
        if decision == AdmissionDecision.TAKE:
            return None
        self.counters.add(f"reqs_unread_{decision.name.lower()}")
        txn, left_ms = (
            (message.header(b"x-txn") or b"").decode("latin-1"),
            round(request.deadline - now, 1),
        )
        self.unread_warnings(
            "req refused unread",
            now,
            txn=txn,
            age_ms=round(read_delay_ms, 1),
            left_ms=left_ms,
            why=decision.name,
        )
        return response.overloaded(self.settings)

    def run(self) -> None:
        """Accepts connections until ``stop_listening`` has closed the listening socket."""
        sweeper = gevent.spawn(self.sweep)
        try:
            self.accept()
        finally:
            sweeper.kill(block=False)

    def accept(self) -> None:
        """Accepts connections, and closes idle ones when descriptors run short."""
        accepts = TurnQuota(current_turn(), self.ACCEPTS_PER_TURN)
        while True:
            # Guards against clients that connect again as soon as they are closed: no accept of theirs waits.
            accepts.use()
            if (
                len(self.connections) >= self.max_connections + self.EXTRA_CONNECTIONS
                and not self.make_room()
            ):
                gevent.sleep(self.RETRY_DELAY_S)
                continue
            try:
                sock, peer = self.sock.accept()
            except OSError:
                if self.closed:
                    return
                # The pause keeps accepting from spinning when no descriptor is left or a client left early.
                self.counters.add("accepts_failed")
                self.make_room()
                gevent.sleep(self.RETRY_DELAY_S)
            else:
                # Guards against whole requests that wait unread past their deadline for other connections'
                # descriptors.
                if len(self.connections) >= self.max_connections:
                    self.make_room()
                self.add_connection(sock, peer[0], len(self.connections) >= self.max_connections)

    def overloaded(self) -> response.Response:
        """Counts a request that is shed for lack of descriptors and returns its response."""
        self.counters.add("reqs_full")
        return response.overloaded(self.settings)

    def sweep(self) -> None:
        """Applies the timeouts of all connections, again and again."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for connection in list(self.connections):
                connection.check_timeouts(now)

    def add_connection(self, sock: socket.socket, peer_ip: str, shed_only: bool = False) -> None:
        """Starts reading from an accepted connection."""
        try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.counters.add("client_connections")
        connection = ClientConnection(self, sock, peer_ip, shed_only)
        self.connections.add(connection)
        gevent.spawn(connection.run)

    def make_room(self) -> bool:
        """Closes some connections; returns whether it could close any. First those whose last response has
        been written, then those idle for longest, then those with part of a request. Connections with an open
        request, or with unread bytes before their last response, stay."""
        candidates = sorted(
            (c for c in self.connections if c.ready_for_request.is_set()),
            key=lambda c: (not c.closing, c.parser.started, c.timed_from),
        )
        to_close = [
            c for c in candidates[: self.MAX_CLOSED_AT_ONCE] if c.closing or http1.peek(c.sock) is None
        ]
        for connection in to_close:
            self.counters.add("idle_closed")
            connection.close()
        return bool(to_close)

    def stop_listening(self, until: float) -> None:
        """Accepts what waits in the listen queue, stops listening and closes the idle connections. If
        accepting keeps failing until the time ``until``, the rest of the queue is dropped: the deadlines of
        its requests have passed by then."""
        self.sock.settimeout(0)
        while True:
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                break  # the queue is empty
            except OSError:
                self.counters.add("accepts_failed")
                if self.clock() >= until:
                    break
                self.make_room()
                gevent.sleep(self.RETRY_DELAY_S)
            else:
                self.add_connection(sock, peer[0])
        self.closed = True
        self.sock.close()
        gevent.sleep(0)  # lets the new connections read what has arrived before any of them counts as idle
        for connection in [c for c in self.connections if c.is_idle]:
            connection.close()

    def parse_request(
        self, message: http1.Message, received_at: float
    ) -> interface.Request | response.Response:
        """Returns the request that a message holds, or the response to a message that is not for the
        dispatcher. The request's deadline counts from ``received_at``."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/ready":
            return response.readiness(self.is_ready())
        if path != b"/api" and not path.startswith(b"/api/"):
            return response.rejected(404)
        if message.method not in http1.METHODS:
            return response.rejected(405)
        transaction_id = message.single_value(b"x-txn") or b""
        remaining = message.single_value(b"x-remaining-ms") or b""
        route = self.node_config.routes.get(message.single_value(b"x-lane") or b"")
        tenant = self.node_config.tenants.get(message.single_value(b"x-org") or b"")
        is_unknown = route is None or (tenant is None and self.node_config.tenants)
        is_readable = remaining.isdigit() and len(remaining) < 10
        if (
            is_unknown
            or not is_readable
            or not self.is_valid_id(transaction_id)
            or not message.single_value(b"host")
        ):
            return response.rejected(400)
        retry_safety = self.node_config.facts.routes[route].retry_safety
        if retry_safety == interface.RetrySafety.RETRIABLE and (message.method != b"GET" or message.body):
            return response.rejected(400)
        if retry_safety == interface.RetrySafety.NON_RETRIABLE and message.method != b"POST":
            return response.rejected(400)
        self.last_request_id += 1
        is_repeat = message.header(b"x-resent") == b"1"
        timeout_ms = float(remaining)
        if self.settings is not self.node_config.facts:
            # The operators' limit; the client's own timeout may be shorter.
            timeout_ms = min(timeout_ms, self.settings.routes[route].timeout_ms)
        return interface.Request(
            self.last_request_id, route, tenant, None, received_at + timeout_ms, 0.0, is_repeat
        )

    @staticmethod
    def is_valid_id(transaction_id: bytes) -> bool:
        """Whether this is an id of visible ASCII characters. Others may be read differently by servers."""
        return 0 < len(transaction_id) <= MAX_TRANSACTION_ID_LENGTH and all(
            33 <= c < 127 for c in transaction_id
        )
