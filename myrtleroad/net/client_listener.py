"""Accepts client connections and keeps them within limits; decides which requests are for the dispatcher."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket

from myrtleroad import interface
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.admission.memory_budget import MemoryBudget
from myrtleroad.net import http1, response, socket_io
from myrtleroad.net.client_connection import ClientConnection
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.listening_socket import open_listener, try_set_option
from myrtleroad.net.log import Log, RateLimitedWarnings
from myrtleroad.net.loop_turn import TurnQuota, current_turn
from myrtleroad.net.memory_monitor import memory_budget
from myrtleroad.net.node_config import NodeConfig
from myrtleroad.net.read_delay import ReadDelay

if TYPE_CHECKING:
    from myrtleroad.config.networks import Networks
    from myrtleroad.config.request_limits import RequestLimits

SWEEP_INTERVAL_S = 0.1  # between checks of all connections; two find an overdue request, both within 3 s
MAX_TRANSACTION_ID_LENGTH = 128  # characters; several times the length of the common forms


class ClientListener:
    """The actor that accepts client connections and keeps them within limits of descriptors and time."""

    ACTOR_NAME = "door"  # the actor's name in log events
    # Connections accepted beyond the clients' half, only to shed their first request: a third of
    # ``RESERVED_DESCRIPTORS``.
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
        memory: MemoryBudget | None = None,
    ):
        self.node_config, self.clock, self.counters, self.log = node_config, clock, counters, log
        self.deliver, self.is_ready = deliver, is_ready
        self.connections: set[ClientConnection] = set()  # a connection is removed as it closes
        self.read_delay, self.unread_warnings = ReadDelay(clock), RateLimitedWarnings(log)
        self.admission = AdmissionControl(r.objective_ms for r in node_config.facts.routes)
        self.memory = memory or memory_budget(node_config)
        self.request_memory = self.memory.requests
        self.last_request_id = 0
        self.stopping = False
        # The settings as operators limit them, their networks and their request limits, each in effect now.
        self.settings, self.networks, self.request_limits = node_config.facts, None, None
        self.tenant_names = [name.decode() for name in node_config.tenants]
        self.sock = open_listener(node_config.listen)
        self.closed = False  # whether accepting has ended

    @property
    def max_connections(self) -> int:
        """How many connections descriptors and memory allow."""
        return self.memory.limits.connections

    @property
    def max_kept_alive(self) -> int:
        """How many connections are kept open between requests: fewer than the third of the descriptors that
        open requests may hold."""
        return self.node_config.sockets // 4 * self.max_connections // self.memory.max_clients

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

    def out_of_memory(self) -> response.Response:
        """Counts a request that is shed for lack of memory and returns its response."""
        self.counters.add("reqs_over_memory")
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
        been written, then those idle for longest, then those with part of a request, and those that are new
        last. Connections with an open request stay. So do those with unread bytes before their last response;
        of these, requests that have been incomplete for long are shed."""
        now = self.clock()
        candidates = sorted(
            (c for c in self.connections if c.ready_for_request.is_set()),
            key=lambda c: (not c.closing, c.parser.started, c.timed_from),
        )
        older = [c for c in candidates if c.closing or not c.is_new(now)][: self.MAX_CLOSED_AT_ONCE]
        if self.close_unless_unread(older):
            return True
        if incomplete := [c for c in older if c.parser.started]:
            for connection in incomplete:
                connection.end_with(self.overloaded())
            return False
        # Of those that are new incomplete requests first: who has just connected is about to send.
        newer = sorted(candidates, key=lambda c: (not c.parser.started, c.timed_from))
        return self.close_unless_unread(newer[: self.MAX_CLOSED_AT_ONCE])

    def close_unless_unread(self, connections: list[ClientConnection]) -> bool:
        """Closes connections but for those with unread bytes before their last response; returns whether
        there were any to close."""
        to_close = [c for c in connections if c.closing or socket_io.peek(c.sock) is None]
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
        # Guards against clients that name hours: their attempts at a server that hangs would last as long.
        timeout_ms = min(float(remaining), self.settings.routes[route].timeout_ms)
        return interface.Request(
            self.last_request_id, route, tenant, None, received_at + timeout_ms, 0.0, is_repeat
        )

    @staticmethod
    def is_valid_id(transaction_id: bytes) -> bool:
        """Whether this is an id of visible ASCII characters. Others may be read differently by servers."""
        return 0 < len(transaction_id) <= MAX_TRANSACTION_ID_LENGTH and all(
            33 <= c < 127 for c in transaction_id
        )
