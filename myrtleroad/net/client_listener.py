"""Where clients connect: reads reqs, hands them to the module's mailbox, writes the final answers."""

import contextlib
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from myrtleroad import interface as i
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.net import http1, response
from myrtleroad.net.actor import report_fault
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.dispatcher import RESERVED_DESCRIPTORS, ClientGone, RequestReceived
from myrtleroad.net.listening_socket import open_listener, try_set_option
from myrtleroad.net.log import Log, RateLimitedWarnings
from myrtleroad.net.node_config import NodeConfig
from myrtleroad.net.read_delay import ReadDelay, unread_ms

if TYPE_CHECKING:
    from myrtleroad.config.networks import Networks
    from myrtleroad.config.request_limits import RequestLimits

IDLE_MS = 2000.0  # a connection without an open req goes after this: the protocol's least, as clients leave
WHOLE_MS = 2500.0  # for the rest of a req once begun, or of the first from the connecting: 3 s are promised
LINGER_MS = 1000.0  # for a client to read the last answer and close, before we do
WRITE_MS = 2000.0  # for a client to take an answer: 64 KiB fit in the system's buffers, a reader needs ms
SWEEP_S = 0.2  # how often connections are looked over: the limits above end within the 3 s
LOOK_S = 0.05  # how often a client whose next req waits is looked at, as its leaving cannot be read
DRAIN = (
    256 * 1024
)  # bytes read for nothing after the last answer, so that a close does not cut that answer off
GONE = (
    errno.EBADF,
    errno.ECONNRESET,
    errno.ENOTCONN,
    errno.EPIPE,
)  # the other side has left, or we have closed
ID_LIMIT = 128  # characters of a req's id: some times the common forms


class ClientConnection:
    """One client connection. Its greenlet reads; an answer is written by a greenlet of its own."""

    __slots__ = (
        "asked",
        "begun",
        "behind",
        "brief",
        "closing",
        "door",
        "drained",
        "first",
        "held",
        "owed",
        "peer",
        "requests",
        "since",
        "sock",
        "tenant",
        "turn",
        "write_started_at",
    )

    def __init__(self, door: "ClientListener", sock: socket.socket, peer: str = "", brief: bool = False):
        self.door, self.sock, self.peer = door, sock, peer
        self.brief = brief  # there was no room for it: its first req is refused at once, and is its last
        self.tenant: str | None = None  # that the gate counts the held req for
        self.requests = http1.RequestParser()
        self.held: int | None = None  # the req that the module has
        self.owed = False  # a req has come and nobody has answered it: the first answer is the only one
        self.turn = Event()  # set while no answer is owed
        self.turn.set()
        self.closing, self.asked = False, False  # the last answer is known; a req has come whole
        self.drained = 0  # bytes read after the last answer
        self.begun, self.first = 0.0, 0  # how long after the connecting the reader began; in which turn
        self.behind: float | None = None  # since when bytes behind a req have waited here
        self.since = door.clock()  # of connecting, of the last answer, of a later req's first byte
        self.write_started_at: float | None = None  # since when an answer is being written

    @property
    def is_idle(self) -> bool:
        return self.turn.is_set() and not self.requests.begun

    def run(self) -> None:
        self.begun, self.first = self.door.clock() - self.since, self.door.lag.turns
        try:
            self.read()
        except OSError as error:
            if error.errno not in GONE:
                self.unreadable()
        except Exception as error:
            report_fault("client", error, self.door.counters, self.door.log)
            self.failed()
        finally:
            if self.held is not None:
                self.door.deliver(ClientGone(self.held))
            self.leave()
            self.drop()

    def unreadable(self) -> None:
        """Nothing more can be read, but an answer may still reach the client."""
        self.closing = True
        self.turn.wait()

    def failed(self) -> None:
        """What was taken is answered in spite of a fault in its reader: by the module where that has the req,
        else as failed."""
        self.closing = True
        if self.held is None and (self.owed or self.requests.begun):
            self.refuse(500)
        self.turn.wait()

    def read(self) -> None:
        """Reads on while a req is held, so that a client that leaves is seen at once."""
        rest: memoryview | bytes = b""
        while data := rest or http1.receive(self.sock):
            if self.closing:
                rest = b""  # what comes after the last answer is not read as a req
                self.drained += len(data)
                if self.drained > DRAIN:
                    self.turn.wait()
                    return
            elif not self.turn.is_set():
                rest = bytes(data)  # what comes behind a req waits until that is answered
                if self.behind is None:
                    self.behind = self.door.clock()
                if not self.wait_for_response():
                    return
            else:
                rest = self.feed(data)

    def feed(self, data: memoryview | bytes) -> bytes:
        """One req at most is taken from these bytes; what is left of them."""
        requests = self.requests
        if self.asked and not requests.begun:
            self.since = self.door.clock()
        try:
            took = requests.feed(data)
        except http1.HttpError as unfit:
            self.refuse(unfit.status)
            return b""
        rest = bytes(data[took:])
        if requests.whole:
            age = self.age()
            self.asked, self.owed = True, True
            self.turn.clear()
            self.take(requests.take(), age)
        elif requests.expects:
            requests.expects = False
            http1.send(self.sock, [http1.CONTINUE])
        if not rest:
            self.behind = None
        return rest

    def wait_for_response(self) -> bool:
        """Waits for the answer that is owed; false where the client leaves first."""
        while not self.turn.wait(LOOK_S):
            if http1.peek(self.sock) == b"":
                return False
        return True

    def age(self) -> float:
        """How long the req that is whole now has waited to be read, in ms: by the turns of the loop, by the
        system, behind another req, and where it came with its connection until this greenlet began."""
        age = max(self.door.lag.age(), unread_ms(self.sock))
        if self.behind is not None:
            age = max(age, self.door.clock() - self.behind)
        return max(age, self.begun) if not self.asked and self.door.lag.turns == self.first else age

    def take(self, message: http1.Message, age: float) -> None:
        door, now = self.door, self.door.clock()
        self.closing = not message.keep_alive
        rq = door.parse_request(message, now - age)
        if self.brief:
            self.closing = True
            rq = rq if isinstance(rq, response.Response) else door.full()
        if not isinstance(rq, response.Response) and (no := door.word(rq, message, age, now)) is not None:
            rq = no
        if not isinstance(rq, response.Response) and (no := door.bound(self, rq, now)) is not None:
            rq = no
        if isinstance(rq, response.Response):
            self.answer(rq)
        else:
            self.held = rq.id
            door.deliver(RequestReceived(rq, message, now, self.answer, age))

    def refuse(self, status: int) -> None:
        """The last answer of a connection whose framing is lost, or whose req does not come."""
        self.closing, self.owed = True, True
        self.turn.clear()
        self.answer(response.rejected(status))

    def answer(self, final: response.Response) -> None:
        """Called by whoever has the answer; never waits."""
        if not self.owed:
            return  # it was answered, or has left
        self.held, self.owed = None, False
        self.leave()
        self.closing = self.closing or self.door.stopping or self.door.crowded
        self.door.counters.add(f"answers_{final.status}")
        self.write_started_at = self.door.clock()
        parts = self.parts(final)
        left = self.guarded(lambda: http1.send_nowait(self.sock, parts))
        if left:
            gevent.spawn(self.write, left)
        else:
            self.wrote()

    def parts(self, final: response.Response) -> list[bytes]:
        """An answer as bytes; one that cannot be made is a failure, told as the last of its connection."""
        try:
            return final.parts(self.closing)
        except Exception as error:
            report_fault("answer", error, self.door.counters, self.door.log)
            self.closing = True
            return response.bad_gateway().parts(True)

    def leave(self) -> None:
        """The req that the gate let in is over."""
        if self.tenant is not None and self.door.gate is not None:
            self.door.gate.release(self.tenant)
        self.tenant = None

    def write(self, left: bytes) -> None:
        """What the system did not take at once of an answer, as its client reads."""
        self.guarded(lambda: http1.send_all(self.sock, left))
        self.wrote()

    def guarded(self, call: Callable[[], bytes | None]) -> bytes | None:
        """An answer that cannot be written ends its connection, or its reader would wait on for it."""
        try:
            return call()
        except OSError:
            self.drop()
        except Exception as error:
            report_fault("answer", error, self.door.counters, self.door.log)
            self.drop()
        return None

    def wrote(self) -> None:
        if self.closing:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.since, self.write_started_at = self.door.clock(), None
        self.turn.set()

    def drop(self) -> None:
        self.closing = True
        self.sock.close()
        self.door.connections.discard(self)

    def look(self, now: float) -> None:
        """The limits of time of one connection; they do not touch a req that the module has."""
        if not self.turn.is_set():
            if self.write_started_at is not None and now - self.write_started_at > WRITE_MS:
                self.door.counters.add("writes_given_up")
                self.drop()
        elif self.closing:
            if now - self.since > LINGER_MS:
                self.drop()
        elif self.requests.begun:
            if now - self.since > WHOLE_MS and http1.peek(self.sock) is None:
                self.refuse(408)
        elif now - self.since > IDLE_MS and http1.peek(self.sock) is None:
            self.door.counters.add("idle_closed")
            self.drop()


class ClientListener:
    ACTOR_NAME = "door"  # the actor's name in log events
    EXTRA_CONNECTIONS = (
        8  # connections taken beyond the clients' half only to be refused: a third of what is kept APART
    )
    ROOM = 16  # connections closed at once when descriptors run short
    PAUSE_S = 0.01  # before the next look where none can be closed, so that accepting does not spin

    def __init__(
        self,
        told: NodeConfig,
        clock: Clock,
        counters: Counters,
        log: Log,
        deliver: Callable[[object], None],
        is_ready: Callable[[], bool],
    ):
        self.told, self.clock, self.counters, self.log = told, clock, counters, log
        self.deliver, self.is_ready = deliver, is_ready
        self.connections: set[ClientConnection] = set()  # emptied as each connection closes
        self.lag, self.unread_warnings = ReadDelay(clock), RateLimitedWarnings(log)
        self.admission = AdmissionControl(r.objective_ms for r in told.facts.routes)
        self.max_connections = (told.sockets - RESERVED_DESCRIPTORS) // 2  # the other half is for machines
        self.many = (
            told.sockets // 4
        )  # connections kept between reqs: under the third that open reqs may hold
        self.ident = 0
        self.stopping = False
        self.settings, self.networks, self.gate = told.facts, None, None  # what operators narrow of the told
        self.tenants = [name.decode() for name in told.tenants]
        self.sock = open_listener(told.listen)
        self.closed = False  # nothing is accepted any more

    @property
    def crowded(self) -> bool:
        """Whether an answer is its connection's last. Guards against clients that ask once and keep their
        connection: the descriptors they hold, until they are found idle, are those of the next clients."""
        return len(self.connections) > self.many

    def apply_limits(
        self, settings: i.Settings, networks: "Networks | None", gate: "RequestLimits | None"
    ) -> None:
        """What holds from now on: for reqs not yet taken, and for addresses at once."""
        self.settings, self.networks = settings, networks
        if self.gate is not gate:
            for client in self.connections:
                client.tenant = None  # counted by a gate that is no more, or by none
            self.gate = gate

    def bound(self, client: ClientConnection, rq: i.Request, now: float) -> response.Response | None:
        """The answer to a req that operators do not let in."""
        if self.networks is not None and client.peer and not self.networks.admits(client.peer):
            self.counters.add("reqs_network_refused")
            client.closing = True
            return response.rejected(403)
        if self.gate is not None and rq.tenant is not None:
            name = self.tenants[rq.tenant]
            wait = self.gate.admit(name, now)
            if wait is not None:
                self.counters.add("reqs_over_bound")
                most = self.settings.max_retry_after_ms if self.settings.retry_after_allowed else 0.0
                return response.shed(min(wait, most))
            client.tenant = name
        return None

    def word(self, rq: i.Request, message: http1.Message, age: float, now: float) -> response.Response | None:
        """The answer to a req that has waited unread for too long; nothing was sent for it."""
        self.counters.record_high("longest_unread_ms", age)
        word = self.admission.decide(age, rq.deadline - now, now)
        if word == AdmissionDecision.TAKE:
            return None
        self.counters.add(f"reqs_unread_{word.name.lower()}")
        txn, left = (message.header(b"x-txn") or b"").decode("latin-1"), round(rq.deadline - now, 1)
        self.unread_warnings(
            "req refused unread", now, txn=txn, age_ms=round(age, 1), left_ms=left, why=word.name
        )
        return response.overloaded(self.settings)

    def run(self) -> None:
        sweeper = gevent.spawn(self.sweep)
        try:
            self.accept()
        finally:
            sweeper.kill(block=False)

    def accept(self) -> None:
        while True:
            if (
                len(self.connections) >= self.max_connections + self.EXTRA_CONNECTIONS
                and not self.make_room()
            ):
                gevent.sleep(self.PAUSE_S)
                continue
            try:
                sock, peer = self.sock.accept()
            except OSError:
                if self.closed:
                    return
                # So that accepting does not spin where no descriptor is left, or a client left early.
                self.counters.add("accepts_failed")
                self.make_room()
                gevent.sleep(self.PAUSE_S)
            else:
                # Guards against whole reqs that wait unread, past their time, for others' descriptors.
                if len(self.connections) >= self.max_connections:
                    self.make_room()
                self.welcome(sock, peer[0], len(self.connections) >= self.max_connections)

    def full(self) -> response.Response:
        self.counters.add("reqs_full")
        return response.overloaded(self.settings)

    def sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            now = self.clock()
            for client in list(self.connections):
                client.look(now)

    def welcome(self, sock: socket.socket, peer: str, brief: bool = False) -> None:
        try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.counters.add("client_connections")
        client = ClientConnection(self, sock, peer, brief)
        self.connections.add(client)
        gevent.spawn(client.run)

    def make_room(self) -> bool:
        """Connections whose last answer has gone out give way first, then those idle for longest, then those
        with half a req; one that holds a req, or on which something waits to be read, never does."""
        free = sorted(
            (c for c in self.connections if c.turn.is_set()),
            key=lambda c: (not c.closing, c.requests.begun, c.since),
        )
        given = [c for c in free[: self.ROOM] if c.closing or http1.peek(c.sock) is None]
        for client in given:
            self.counters.add("idle_closed")
            client.drop()
        return bool(given)

    def stop_listening(self, until: float) -> None:
        """Take what is in the queue, then stop listening and close the idle connections. ``until``: how long
        accepting may fail before what is in the queue is given up, as its requests are over by then."""
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
                gevent.sleep(self.PAUSE_S)
            else:
                self.welcome(sock, peer[0])
        self.closed = True
        self.sock.close()
        gevent.sleep(0)  # what has come on them is read before any is found idle
        for client in [c for c in self.connections if c.is_idle]:
            client.drop()

    def parse_request(self, message: http1.Message, now: float) -> i.Request | response.Response:
        """The req that a message asks for, or the answer to one that is not for the module."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/ready":
            return response.readiness(self.is_ready())
        if path != b"/api" and not path.startswith(b"/api/"):
            return response.rejected(404)
        if message.method not in http1.METHODS:
            return response.rejected(405)
        word = message.single_value(b"x-txn") or b""
        remaining = message.single_value(b"x-remaining-ms") or b""
        route = self.told.routes.get(message.single_value(b"x-lane") or b"")
        tenant = self.told.tenants.get(message.single_value(b"x-org") or b"")
        unknown = route is None or (tenant is None and self.told.tenants)
        readable = remaining.isdigit() and len(remaining) < 10
        if unknown or not readable or not self.names(word) or not message.single_value(b"host"):
            return response.rejected(400)
        effect = self.told.facts.routes[route].retry_safety
        if effect == i.RetrySafety.RETRIABLE and (message.method != b"GET" or message.body):
            return response.rejected(400)
        if effect == i.RetrySafety.NON_RETRIABLE and message.method != b"POST":
            return response.rejected(400)
        self.ident += 1
        repeat = message.header(b"x-resent") == b"1"
        within = float(remaining)
        if self.settings is not self.told.facts:
            within = min(
                within, self.settings.routes[route].timeout_ms
            )  # operators' own; a client's may be less
        return i.Request(self.ident, route, tenant, None, now + within, 0.0, repeat)

    @staticmethod
    def names(word: bytes) -> bool:
        """Whether this is an id: visible ASCII, as anything else may be read differently further on."""
        return 0 < len(word) <= ID_LIMIT and all(33 <= c < 127 for c in word)
