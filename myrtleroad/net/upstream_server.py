"""The actor of one upstream server: its connections and the attempts made on them."""

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property

import gevent
from gevent import socket
from gevent.queue import Empty, SimpleQueue

from myrtleroad import interface
from myrtleroad.admission.response_memory import FREE_BYTES, ResponseLease, ResponseMemory
from myrtleroad.net import http1, socket_io
from myrtleroad.net.clock import Clock
from myrtleroad.net.connecting import connect
from myrtleroad.net.counters import Counters
from myrtleroad.net.exchange_result import (
    ExchangeFailure,
    ExchangeProgress,
    FailureCause,
    UpstreamResponse,
    outcome_of_attempt,
)
from myrtleroad.net.listening_socket import try_set_option
from myrtleroad.net.loop_turn import current_turn
from myrtleroad.net.node_config import Address, NodeConfig

# not the server's fault: descriptors, buffers, memory, ports or the network are missing on this host
LOCAL_ERRNOS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
# subtracted from the remaining time sent to the server: network transit and delays before the write
TRANSIT_MS = 20.0
IDLE_SWEEP_S = 1.0  # interval between checks of idle connections
UNLIMITED_BYTES = 1 << 62
MEMORY_POLL_S = 0.01  # between checks whether there is memory for more of a response
IDLE_MARGIN_MS = 2000.0  # idle connections are closed this long before the server closes them: two sweeps


NOT_SENT = ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.WITHDRAWN)
DEADLINE_PASSED = ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.OVERDUE)
# the result of an attempt until the real one is known
RESULT_UNKNOWN = ExchangeFailure(ExchangeProgress.WRITTEN, FailureCause.ENDED, "fault")


@dataclass(slots=True)
class AttemptJob:
    """One attempt, as the decision module requested it."""

    request_id: int
    attempt_number: int
    server: int
    message: http1.Message
    decided_at: float  # when the module decided
    deadline: float  # when the attempt times out
    preconditions: tuple[float, ...]  # build, start and cap that the decision was based on
    may_run_twice: bool = True


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt; ``duration_ms`` runs from the module's decision."""

    job: AttemptJob
    outcome: interface.Outcome
    duration_ms: float
    result: UpstreamResponse | ExchangeFailure
    connected_at: float = float("inf")  # when the connection was established; inf without one


@dataclass(slots=True)
class StartAttempt:
    """Make this attempt."""

    job: AttemptJob


@dataclass(slots=True)
class StopAttempt:
    """Stop waiting for the result of this attempt."""

    request_id: int
    attempt_number: int


@dataclass(slots=True)
class ServerAddressChanged:
    """The list gives the server another address or another start time: existing connections are of no use."""

    address: Address


@dataclass(slots=True)
class ServerRemoved:
    """The server has left the list: close its idle connections and stop."""


@dataclass(slots=True)
class ConnectionBudget:
    """Descriptors and memory that connections to all servers may use together. Each attempt of an open
    request needs one connection; those above the budget are not kept idle."""

    limit: int
    in_use: int = 0
    responses: ResponseMemory = field(default_factory=lambda: ResponseMemory(UNLIMITED_BYTES))


@dataclass(slots=True)
class ConnectionReleased:
    """An attempt has ended; carries its connection if that can be reused."""

    job: AttemptJob
    connection: "Connection | None"


class Connection:
    """One connection to a server. It has one user at a time: the actor or one attempt."""

    __slots__ = ("budget", "connected_at", "generation", "idle_since", "parser", "sock")

    def __init__(self, sock: socket.socket, generation: int, budget: ConnectionBudget, connected_at: float):
        self.sock, self.generation, self.budget, self.connected_at = sock, generation, budget, connected_at
        self.parser, self.idle_since = http1.ResponseParser(), 0.0
        budget.in_use += 1

    def close(self) -> None:
        """Close the socket, drop what is held and return the descriptor to the budget."""
        self.sock.close()
        self.parser.close()
        self.budget.in_use -= 1


class UpstreamServer:
    """One upstream server. It has a greenlet only while it has an attempt or a connection: a list may hold
    thousands of servers."""

    def __init__(
        self,
        address: Address,
        node_config: NodeConfig,
        clock: Clock,
        counters: Counters,
        budget: ConnectionBudget,
        deliver: Callable[[AttemptResult], None],
        preconditions_hold: Callable[[AttemptJob], bool],
    ):
        self.address, self.clock, self.counters, self.budget = address, clock, counters, budget
        self.connect_timeout_ms, self.idle_timeout_ms = node_config.connect_ms, node_config.idle_ms
        self.deliver, self.preconditions_hold = deliver, preconditions_hold
        self.generation = 0  # number of address and start changes in the list so far
        # last used last; closed by age and when the server is removed
        self.idle_connections: list[Connection] = []
        self.running: dict[tuple[int, int], gevent.Greenlet] = {}  # entries are removed as attempts end
        self.removed = False
        self.is_active = False  # whether a greenlet processes the mailbox

    @cached_property
    def mailbox(self) -> SimpleQueue:
        """Messages to the actor. A server that is listed and not used needs no queue."""
        return SimpleQueue()

    @property
    def is_busy(self) -> bool:
        """Whether there is an attempt, a connection or a message."""
        return bool(self.running or self.idle_connections or not self.mailbox.empty())

    def run(self) -> None:
        """Process messages until the server is removed and its last attempt has ended."""
        while not (self.removed and not self.running):
            self.process_next()

    def run_while_busy(self) -> None:
        """Process messages until there is no attempt and no connection. To be called again once there is a
        message."""
        while self.is_busy:
            self.process_next()
        self.is_active = False
        self.__dict__.pop("mailbox", None)

    def process_next(self) -> None:
        """Process the next message, or close stale idle connections if none comes for a while."""
        try:
            message = self.mailbox.get(timeout=IDLE_SWEEP_S if self.idle_connections else None)
        except Empty:
            self.close_stale()
            return
        match message:
            case StartAttempt(job):
                self.start_attempt(job)
            case ConnectionReleased(job, connection):
                self.running.pop((job.request_id, job.attempt_number), None)
                if connection is not None:
                    self.keep_idle(connection)
            case StopAttempt(request_id, attempt_number):
                if running := self.running.get((request_id, attempt_number)):
                    # a greenlet that has not started yet would end without reporting a result
                    gevent.sleep(0)
                    running.kill(block=False)
            case ServerAddressChanged(address):
                self.address, self.generation = address, self.generation + 1
                self.close_idle()
            case ServerRemoved():
                self.removed = True
                self.close_idle()

    def start_attempt(self, job: AttemptJob) -> None:
        """Start an attempt in a greenlet of its own."""
        try:
            self.running[job.request_id, job.attempt_number] = gevent.spawn(
                self.attempt, job, self.take_idle()
            )
        except Exception:
            # Guards against an attempt that was never started and never ends; the exception is reported as
            # any other.
            self.counters.add("tries_moot")
            self.deliver(AttemptResult(job, interface.Outcome.MOOT, self.clock() - job.decided_at, NOT_SENT))
            raise

    def take_idle(self) -> Connection | None:
        """The most recently used idle connection that is still usable, or None."""
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if self.is_usable(connection):
                return connection
            connection.close()
        return None

    def is_usable(self, connection: Connection) -> bool:
        """Whether neither age nor the server has ended an idle connection."""
        return (
            self.clock() - connection.idle_since < self.idle_timeout_ms - IDLE_MARGIN_MS
            and not socket_io.is_stale(connection.sock)
        )

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection for the next attempt, or close it if it is of no use or above the budget."""
        if self.removed or connection.generation != self.generation or self.budget.in_use > self.budget.limit:
            connection.close()
            return
        connection.idle_since = self.clock()
        self.idle_connections.append(connection)

    def close_stale(self) -> None:
        """Close the idle connections that are no longer usable."""
        candidates, self.idle_connections = self.idle_connections, []
        for connection in candidates:
            if self.is_usable(connection):
                self.idle_connections.append(connection)
            else:
                connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections = []

    def attempt(self, job: AttemptJob, connection: Connection | None) -> None:
        """Make one attempt, sent exactly once. Its one result is delivered whatever happens."""
        result: UpstreamResponse | ExchangeFailure = RESULT_UNKNOWN
        reusable = None
        try:
            opened = connection or self.connect(job)
            if isinstance(opened, ExchangeFailure):
                result = opened
            else:
                connection = opened
                result = self.exchange(job, connection)
                complete = isinstance(result, UpstreamResponse) and result.keep_alive
                reusable = connection if complete or result in (NOT_SENT, DEADLINE_PASSED) else None
        finally:
            if connection is not None and reusable is None:
                connection.close()
            outcome = outcome_of_attempt(result)
            self.counters.add(f"tries_{outcome.name.lower()}")
            connected_at = connection.connected_at if connection is not None else float("inf")
            self.deliver(AttemptResult(job, outcome, self.clock() - job.decided_at, result, connected_at))
            self.mailbox.put(ConnectionReleased(job, reusable))

    def connect(self, job: AttemptJob) -> Connection | ExchangeFailure:
        """Open a connection within the time left for the attempt."""
        remaining_ms, generation = job.deadline - self.clock(), self.generation
        if remaining_ms < 1:
            return DEADLINE_PASSED
        try:
            sock = connect(self.address, min(self.connect_timeout_ms, remaining_ms) / 1000)
        except TimeoutError:
            return (
                DEADLINE_PASSED
                if remaining_ms < self.connect_timeout_ms
                else ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.TIMEOUT)
            )
        except OSError as error:
            if error.errno in LOCAL_ERRNOS:
                self.counters.add("connections_short")
                return ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.SHORT, str(error))
            return ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.REFUSED, str(error))
        except gevent.GreenletExit:
            return ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.CANCELLED)
        try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.counters.add("machine_connections")
        return Connection(sock, generation, self.budget, self.clock())

    def write_request(self, job: AttemptJob, sock: socket.socket) -> ExchangeFailure | None:
        """Write the request. Returns None, or the reason why nothing was written.

        The module's decision may be out of date by the time the system accepts the first byte: a connection
        was slow to establish, a buffer was full, the process was suspended. So both the preconditions and the
        remaining time are evaluated anew before each write that may send the first byte.
        """
        while True:
            remaining_ms = job.deadline - self.clock()
            if remaining_ms < 1:
                return DEADLINE_PASSED
            parts = http1.forwarded_request(job.message, max(1, int(remaining_ms - TRANSIT_MS)))
            if not self.preconditions_hold(job):
                return NOT_SENT
            unsent = socket_io.send_nowait(sock, parts)
            if sum(map(len, unsent)) < sum(map(len, parts)):
                break
            gevent.sleep(socket_io.RETRY_DELAY_S)
        sock.settimeout(remaining_ms / 1000)
        socket_io.send_all(sock, unsent, remaining_ms / 1000)
        return None

    def exchange(self, job: AttemptJob, connection: Connection) -> UpstreamResponse | ExchangeFailure:
        """Write the request and read the whole response."""
        progress, sock = ExchangeProgress.CONNECTED, connection.sock
        try:
            if (not_written := self.write_request(job, sock)) is not None:
                return not_written
            progress = ExchangeProgress.WRITTEN
            parser, lease = connection.parser, self.budget.responses.lease()
            parser.reset()
            while not parser.complete:
                has_memory = progress < ExchangeProgress.BEGUN or self.wait_for_memory(lease, connection, job)
                remaining_ms = job.deadline - self.clock()
                if remaining_ms <= 0:
                    cause = FailureCause.TIMEOUT if has_memory else FailureCause.NO_MEMORY
                    return ExchangeFailure(progress, cause)
                sock.settimeout(remaining_ms / 1000)
                data = socket_io.receive(sock, FREE_BYTES if progress < ExchangeProgress.BEGUN else 0)
                if not data:
                    return ExchangeFailure(progress, FailureCause.ENDED)
                progress = ExchangeProgress.BEGUN
                parser.feed(data)
                if not parser.complete:
                    current_turn().wait_if_over()
            lease.hold(parser.held_bytes)
            response = parser.take_response()
            response.lease = lease
            return response
        except TimeoutError:
            return ExchangeFailure(progress, FailureCause.TIMEOUT)
        except http1.HttpError:
            return ExchangeFailure(progress, FailureCause.UNREADABLE)
        except OSError as error:
            short = progress < ExchangeProgress.WRITTEN and error.errno in LOCAL_ERRNOS
            return ExchangeFailure(progress, FailureCause.SHORT if short else FailureCause.ENDED, str(error))
        except gevent.GreenletExit:
            return ExchangeFailure(progress, FailureCause.CANCELLED)

    def wait_for_memory(self, lease: ResponseLease, connection: Connection, job: AttemptJob) -> bool:
        """Wait until there is memory to read more of a response; False if the attempt's time is over first.
        What the server sends meanwhile waits in the system's buffers."""
        while not lease.reserve(connection.parser.expected_bytes):
            if self.clock() >= job.deadline:
                self.counters.add("responses_over_memory")
                return False
            gevent.sleep(MEMORY_POLL_S)
        return True
