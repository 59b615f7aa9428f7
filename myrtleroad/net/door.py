"""Where clients connect: reads reqs, hands them to the module's mailbox, writes the final answers."""

import errno
import socket as std
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from myrtleroad import interface as i
from myrtleroad.net import head, reply
from myrtleroad.net.brain import Gone, Taken
from myrtleroad.net.told import Told


class Client:
    """One client connection. Its greenlet reads; an answer is written by a greenlet of its own."""

    __slots__ = ("closing", "door", "held", "requests", "sock", "turn", "writing")

    def __init__(self, door: "Door", sock: socket.socket):
        self.door, self.sock = door, sock
        self.requests = head.Requests()
        self.held: int | None = None  # the req that the module has
        self.turn = Event()  # set while no answer is owed
        self.turn.set()
        self.closing = False

    def run(self) -> None:
        try:
            while not self.closing:
                data = head.read(self.sock)
                if not data:
                    break
                for message in self.requests.feed(data):
                    self.turn.wait()
                    if self.closing:
                        break
                    self.turn.clear()
                    self.take(message)
        except head.Unfit as unfit:
            self.turn.wait()
            self.turn.clear()
            self.closing = True
            self.write(reply.unfit(unfit.status))
        except OSError:
            pass
        finally:
            if self.held is not None:
                self.door.deliver(Gone(self.held))
            elif not self.turn.is_set():
                self.turn.wait(1.0)  # an answer is being written
            self.sock.close()
            self.door.clients.discard(self)

    def take(self, message: head.Message) -> None:
        door, now = self.door, self.door.clock()
        self.closing = self.closing or not message.keep
        if message.target == b"/-/ready":
            self.answer(reply.ready(door.is_ready()))
            return
        rq = door.req(message, now)
        if isinstance(rq, reply.Reply):
            self.answer(rq)
            return
        self.held = rq.ident
        door.deliver(Taken(rq, message, now, self.answer))

    def answer(self, final: reply.Reply) -> None:
        """Called by whoever has the answer; never waits."""
        self.held = None
        gevent.spawn(self.write, final)

    def write(self, final: reply.Reply) -> None:
        try:
            close = self.closing or self.door.stopping
            self.door.counters.add(f"answers_{final.status}")
            head.write(self.sock, final.parts(close))
            if close:
                self.closing = True
                self.sock.shutdown(std.SHUT_WR)
        except OSError:
            self.closing = True
        self.turn.set()


class Door:
    BACKLOG = 1024

    def __init__(self, told: Told, clock, counters, log, deliver: Callable[[object], None], is_ready):
        self.told, self.clock, self.counters, self.log = told, clock, counters, log
        self.deliver, self.is_ready = deliver, is_ready
        self.clients: set[Client] = set()  # emptied as each connection closes
        self.ident = 0
        self.stopping = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(told.listen)
        self.sock.listen(self.BACKLOG)

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    return  # closed, at a stop
                self.counters.add("no_descriptor")
                self.make_room()
                gevent.sleep(0.01)
                continue
            self.welcome(sock)

    def welcome(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counters.add("client_connections")
        client = Client(self, sock)
        self.clients.add(client)
        gevent.spawn(client.run)

    def make_room(self) -> None:
        pass

    def req(self, message: head.Message, now: float) -> i.Req | reply.Reply:
        """The req that a message asks for, or the answer to one that cannot be taken."""
        if message.method not in head.METHODS:
            return reply.unfit(405)
        path = message.target.partition(b"?")[0]
        if path != b"/api" and not path.startswith(b"/api/"):
            return reply.unfit(404)
        remaining = message.header(b"x-remaining-ms") or b""
        route = self.told.routes.get(message.header(b"x-lane"))
        org = message.header(b"x-org")
        tenant = self.told.tenants.get(org)
        if route is None or not remaining.isdigit() or not message.header(b"x-txn"):
            return reply.unfit(400)
        if self.told.tenants and tenant is None:
            return reply.unfit(400)
        self.ident += 1
        repeat = message.header(b"x-resent") == b"1"
        return i.Req(self.ident, route, tenant, None, now + int(remaining), 0.0, repeat)
