"""Where clients connect: reads reqs, hands them to the module's mailbox, writes the final answers."""

import errno
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from myrtleroad import interface as i
from myrtleroad.net import head, reply
from myrtleroad.net.actor import fault
from myrtleroad.net.brain import Gone, Taken
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.told import Told


class Client:
    """One client connection. Its greenlet reads; an answer is written by a greenlet of its own."""

    __slots__ = ("closing", "door", "held", "requests", "since", "sock", "turn")

    LINGER_S = 2.0  # for the client to read the last answer and close, before we do

    def __init__(self, door: "Door", sock: socket.socket):
        self.door, self.sock = door, sock
        self.requests = head.Requests()
        self.held: int | None = None  # the req that the module has
        self.turn = Event()  # set while no answer is owed
        self.turn.set()
        self.closing = False
        self.since = door.clock()  # of the last answer

    @property
    def idle(self) -> bool:
        return self.turn.is_set() and not self.requests.begun

    def run(self) -> None:
        try:
            self.read()
        except head.Unfit as unfit:
            self.turn.wait()
            self.turn.clear()
            self.closing = True
            self.answer(reply.unfit(unfit.status))
            self.turn.wait()
        except OSError:
            pass  # the connection is over, whatever ended it
        except Exception as error:
            fault("client", error, self.door.counters, self.door.log)
        finally:
            if self.held is not None:
                self.door.deliver(Gone(self.held))
            self.sock.close()
            self.door.clients.discard(self)

    def read(self) -> None:
        """Reads on while a req is held, so that a client that leaves is seen at once."""
        while data := head.read(self.sock):
            if self.closing:
                continue  # what comes after the last answer is not read as a req
            for message in self.requests.feed(data):
                self.turn.wait()
                if self.closing:
                    break
                self.turn.clear()
                self.take(message)

    def take(self, message: head.Message) -> None:
        door, now = self.door, self.door.clock()
        self.closing = not message.keep
        rq = door.req(message, now)
        if isinstance(rq, reply.Reply):
            self.answer(rq)
        else:
            self.held = rq.ident
            door.deliver(Taken(rq, message, now, self.answer))

    def answer(self, final: reply.Reply) -> None:
        """Called by whoever has the answer; never waits."""
        self.held = None
        gevent.spawn(self.write, final)

    def write(self, final: reply.Reply) -> None:
        self.closing = self.closing or self.door.stopping
        self.door.counters.add(f"answers_{final.status}")
        try:
            head.write(self.sock, final.parts(self.closing))
            if self.closing:
                self.sock.shutdown(socket.SHUT_WR)
                gevent.spawn_later(self.LINGER_S, self.sock.close)
        except OSError:
            self.closing = True
            self.sock.close()
        self.since = self.door.clock()
        self.turn.set()


class Door:
    BACKLOG = 1024  # as deep as the descriptors allowed; the system may cut it
    ROOM = 16  # idle connections closed at once when descriptors run short
    PAUSE_S = 0.01  # before the next look where none can be closed, so that accepting does not spin

    def __init__(
        self,
        told: Told,
        clock: Clock,
        counters: Counters,
        log: Log,
        deliver: Callable[[object], None],
        is_ready: Callable[[], bool],
    ):
        self.told, self.clock, self.counters, self.log = told, clock, counters, log
        self.deliver, self.is_ready = deliver, is_ready
        self.clients: set[Client] = set()  # emptied as each connection closes
        self.most = told.sockets // 2 - 32  # the other half is for machines; some for all else
        self.ident = 0
        self.stopping = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(told.listen)
        self.sock.listen(self.BACKLOG)

    def run(self) -> None:
        while True:
            if len(self.clients) >= self.most:
                self.make_room()
                gevent.sleep(self.PAUSE_S)
                continue
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if error.errno in (errno.EBADF, errno.EINVAL):
                    return  # closed, at a stop
                # Guards against spinning where no descriptor is left, or a client left before its turn.
                self.counters.add("accepts_failed")
                self.make_room()
                gevent.sleep(self.PAUSE_S)
            else:
                self.welcome(sock)

    def welcome(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counters.add("client_connections")
        client = Client(self, sock)
        self.clients.add(client)
        gevent.spawn(client.run)

    def make_room(self) -> None:
        """The connections idle for longest give way; one that holds a req never does."""
        free = [c for c in self.clients if c.turn.is_set()]
        for client in sorted(free, key=lambda c: (c.requests.begun, c.since))[: self.ROOM]:
            self.counters.add("idle_closed")
            client.sock.close()

    def shut(self) -> None:
        """Take what is in the queue, then stop listening and close the idle connections."""
        self.sock.settimeout(0)
        try:
            while True:
                self.welcome(self.sock.accept()[0])
        except OSError:
            self.sock.close()
        gevent.sleep(0)  # what has come on them is read before any is found idle
        for client in [c for c in self.clients if c.idle]:
            client.sock.close()

    def req(self, message: head.Message, now: float) -> i.Req | reply.Reply:
        """The req that a message asks for, or the answer to one that is not for the module."""
        path = message.target.partition(b"?")[0]
        if path == b"/-/ready":
            return reply.ready(self.is_ready())
        if path != b"/api" and not path.startswith(b"/api/"):
            return reply.unfit(404)
        if message.method not in head.METHODS:
            return reply.unfit(405)
        remaining = message.header(b"x-remaining-ms") or b""
        route = self.told.routes.get(message.header(b"x-lane") or b"")
        tenant = self.told.tenants.get(message.header(b"x-org") or b"")
        unknown = route is None or (tenant is None and self.told.tenants)
        readable = remaining.isdigit() and len(remaining) < 10
        if unknown or not readable or not message.header(b"x-txn"):
            return reply.unfit(400)
        self.ident += 1
        repeat = message.header(b"x-resent") == b"1"
        return i.Req(self.ident, route, tenant, None, now + int(remaining), 0.0, repeat)
