"""The actor of one machine: its connections and the upstream tries on them."""

import errno
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.queue import Empty, SimpleQueue

from myrtleroad import interface as i
from myrtleroad.net import http1
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
from myrtleroad.net.node_config import Address, NodeConfig

LOCAL_ERRNOS = (
    frozenset(  # no server is at fault: descriptors, buffers, memory, ports or the network are missing here
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
)
TRANSIT_MS = 20.0  # less than what is left is told: for the way there, and for what holds us up before it
IDLE_SWEEP_S = 1.0  # how often idle connections are looked over
IDLE_MARGIN_MS = 2000.0  # idle connections go this much before the machine closes them: two sweeps


NOT_SENT = ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.WITHDRAWN)
DEADLINE_PASSED = ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.OVERDUE)
RESULT_UNKNOWN = ExchangeFailure(
    ExchangeProgress.WRITTEN, FailureCause.ENDED, "fault"
)  # what a try counts as until its result is known


@dataclass(slots=True)
class AttemptJob:
    """One upstream try, as the module asked for it."""

    request_id: int
    attempt_number: int
    server: int
    message: http1.Message
    decided_at: float  # when the module decided
    deadline: float  # when we stop waiting
    preconditions: tuple[float, ...]  # what the list and the news said then


@dataclass(slots=True)
class AttemptResult:
    job: AttemptJob
    outcome: i.Outcome
    duration_ms: float
    result: UpstreamResponse | ExchangeFailure
    connected_at: float = float("inf")  # when its connection was made; inf where there was none


@dataclass(slots=True)
class StartAttempt:
    job: AttemptJob


@dataclass(slots=True)
class StopAttempt:
    request_id: int
    attempt_number: int


@dataclass(slots=True)
class ServerAddressChanged:
    """The list gives the machine another address, or another start: old connections are of no use."""

    address: Address


@dataclass(slots=True)
class ServerRemoved:
    """The machine has left the list: give back its idle connections and end."""


@dataclass(slots=True)
class ConnectionBudget:
    """The descriptors that connections to machines may hold together: each try of a held req needs one,
    and what is over that share is not kept idle."""

    limit: int
    in_use: int = 0


@dataclass(slots=True)
class ConnectionReleased:
    """A try has ended; its connection, if it may be used again."""

    job: AttemptJob
    connection: "Connection | None"


class Connection:
    """One connection to a machine. Whoever holds it, the actor or one try, is its only user."""

    __slots__ = ("budget", "connected_at", "generation", "idle_since", "parser", "sock")

    def __init__(self, sock: socket.socket, start: int, share: ConnectionBudget, connected_at: float):
        self.sock, self.generation, self.budget, self.connected_at = sock, start, share, connected_at
        self.parser, self.idle_since = http1.ResponseParser(), 0.0
        share.in_use += 1

    def close(self) -> None:
        self.sock.close()
        self.budget.in_use -= 1


class UpstreamServer:
    def __init__(
        self,
        at: Address,
        told: NodeConfig,
        clock: Clock,
        counters: Counters,
        share: ConnectionBudget,
        deliver: Callable[[AttemptResult], None],
        stands: Callable[[AttemptJob], bool],
    ):
        self.address, self.clock, self.counters, self.budget = at, clock, counters, share
        self.connect_timeout_ms, self.idle_timeout_ms = told.connect_ms, told.idle_ms
        self.deliver, self.preconditions_hold = deliver, stands
        self.generation = 0  # counts the addresses and starts that the list has told
        self.mailbox: SimpleQueue = SimpleQueue()
        self.idle_connections: list[
            Connection
        ] = []  # last used last; emptied by age and as the machine closes
        self.running: dict[tuple[int, int], gevent.Greenlet] = {}  # emptied by each try's end
        self.removed = False

    def run(self) -> None:
        while not (self.removed and not self.running):
            try:
                message = self.mailbox.get(timeout=IDLE_SWEEP_S if self.idle_connections else None)
            except Empty:
                self.close_stale()
                continue
            match message:
                case StartAttempt(job):
                    self.start_attempt(job)
                case ConnectionReleased(job, link):
                    self.running.pop((job.request_id, job.attempt_number), None)
                    if link is not None:
                        self.keep_idle(link)
                case StopAttempt(ident, try_no):
                    if running := self.running.get((ident, try_no)):
                        gevent.sleep(0)  # one that has not begun yet would end without a word
                        running.kill(block=False)
                case ServerAddressChanged(at):
                    self.address, self.generation = at, self.generation + 1
                    self.close_idle()
                case ServerRemoved():
                    self.removed = True
                    self.close_idle()

    def start_attempt(self, job: AttemptJob) -> None:
        try:
            self.running[job.request_id, job.attempt_number] = gevent.spawn(
                self.attempt, job, self.take_idle()
            )
        except Exception:
            # Guards against a try that nobody has begun and nobody ends; the fault is told as any other.
            self.counters.add("tries_moot")
            self.deliver(AttemptResult(job, i.Outcome.MOOT, self.clock() - job.decided_at, NOT_SENT))
            raise

    def take_idle(self) -> Connection | None:
        """The idle connection used last, of those that still stand."""
        while self.idle_connections:
            link = self.idle_connections.pop()
            if self.is_usable(link):
                return link
            link.close()
        return None

    def is_usable(self, link: Connection) -> bool:
        return self.clock() - link.idle_since < self.idle_timeout_ms - IDLE_MARGIN_MS and not http1.is_stale(
            link.sock
        )

    def keep_idle(self, link: Connection) -> None:
        if self.removed or link.generation != self.generation or self.budget.in_use > self.budget.limit:
            link.close()
            return
        link.idle_since = self.clock()
        self.idle_connections.append(link)

    def close_stale(self) -> None:
        old, self.idle_connections = self.idle_connections, []
        for link in old:
            if self.is_usable(link):
                self.idle_connections.append(link)
            else:
                link.close()

    def close_idle(self) -> None:
        for link in self.idle_connections:
            link.close()
        self.idle_connections = []

    def attempt(self, job: AttemptJob, link: Connection | None) -> None:
        """One try, sent exactly once; its one ending goes to the module whatever happens."""
        result: UpstreamResponse | ExchangeFailure = RESULT_UNKNOWN
        kept = None
        try:
            opened = link or self.connect(job)
            if isinstance(opened, ExchangeFailure):
                result = opened
            else:
                link = opened
                result = self.exchange(job, link)
                whole = isinstance(result, UpstreamResponse) and result.keep_alive
                kept = link if whole or result in (NOT_SENT, DEADLINE_PASSED) else None
        finally:
            if link is not None and kept is None:
                link.close()
            end = outcome_of_attempt(result)
            self.counters.add(f"tries_{end.name.lower()}")
            connected_at = link.connected_at if link is not None else float("inf")
            self.deliver(AttemptResult(job, end, self.clock() - job.decided_at, result, connected_at))
            self.mailbox.put(ConnectionReleased(job, kept))

    def connect(self, job: AttemptJob) -> Connection | ExchangeFailure:
        left, start = job.deadline - self.clock(), self.generation
        if left < 1:
            return DEADLINE_PASSED
        try:
            sock = connect(self.address, min(self.connect_timeout_ms, left) / 1000)
        except TimeoutError:
            return (
                DEADLINE_PASSED
                if left < self.connect_timeout_ms
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
        return Connection(sock, start, self.budget, self.clock())

    def write_request(self, job: AttemptJob, sock: socket.socket) -> ExchangeFailure | None:
        """Writes the request; what kept it from being written, or None.

        What the module decided on may hold no more by the time that the system takes the first byte: a
        connection came up slowly, a buffer was full, the process was held. So both the check and the time
        told are made anew before each try to write."""
        while True:
            left = job.deadline - self.clock()
            if left < 1:
                return DEADLINE_PASSED
            parts = http1.forwarded_request(job.message, max(1, int(left - TRANSIT_MS)))
            if not self.preconditions_hold(job):
                return NOT_SENT
            rest = http1.send_nowait(sock, parts)
            if len(rest) < sum(map(len, parts)):
                break
            gevent.sleep(http1.RETRY_DELAY_S)
        sock.settimeout(left / 1000)
        http1.send_all(sock, rest, left / 1000)
        return None

    def exchange(self, job: AttemptJob, link: Connection) -> UpstreamResponse | ExchangeFailure:
        reach, sock = ExchangeProgress.CONNECTED, link.sock
        try:
            if (unsent := self.write_request(job, sock)) is not None:
                return unsent
            reach = ExchangeProgress.WRITTEN
            answers = link.parser
            answers.reset()
            while not answers.complete:
                left = job.deadline - self.clock()
                if left <= 0:
                    return ExchangeFailure(reach, FailureCause.TIMEOUT)
                sock.settimeout(left / 1000)
                data = http1.receive(sock)
                if not data:
                    return ExchangeFailure(reach, FailureCause.ENDED)
                reach = ExchangeProgress.BEGUN
                answers.feed(data)
            return answers.response
        except TimeoutError:
            return ExchangeFailure(reach, FailureCause.TIMEOUT)
        except http1.HttpError:
            return ExchangeFailure(reach, FailureCause.UNREADABLE)
        except OSError as error:
            short = reach < ExchangeProgress.WRITTEN and error.errno in LOCAL_ERRNOS
            return ExchangeFailure(reach, FailureCause.SHORT if short else FailureCause.ENDED, str(error))
        except gevent.GreenletExit:
            return ExchangeFailure(reach, FailureCause.CANCELLED)
