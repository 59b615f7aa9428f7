"""Following a peer that tells things on an answer that stays open: a watch on discovery, the bulletin."""

import os
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.net import head
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.lookout import Lookout
from myrtleroad.net.told import UNREADABLE, Address, Moved

READ = 64 * 1024  # bytes a read: as the shared buffer holds
CONNECT_S = 1.0  # loopback and a datacentre's network connect in ms; a silent address must not hold for long
LINE_LIMIT = 1024 * 1024  # a list of some 4,000 machines on one line; noise without line ends stops there


@dataclass(slots=True)
class Line:
    stream: "Stream"
    text: bytes


@dataclass(slots=True)
class Over:
    stream: "Stream"
    why: str


class Stream:
    """One connection to one address. Its greenlet reads whole lines and posts them, then its end; whoever
    must not miss what has come calls ``read_now`` through the lookout, at any moment between two switches."""

    __slots__ = ("answers", "at", "greenlet", "lookout", "post", "rest", "silent_s", "sock", "target", "told")

    def __init__(
        self,
        at: Address,
        target: str,
        silent_s: float,
        post: Callable[[object], None],
        lookout: Lookout,
    ):
        self.at, self.target, self.silent_s, self.post = at, target, silent_s, post
        self.lookout, self.sock = lookout, None
        self.answers = head.Answers(stream=True)
        self.rest = b""  # of a line that has not ended
        self.told = False  # whether it has told anything yet
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        self.post(Over(self, self.read()))

    def read(self) -> str:
        sock = None
        try:
            sock = socket.create_connection(self.at, CONNECT_S)
            sock.settimeout(self.silent_s)
            head.write(sock, head.call("GET", self.target, head.host(self.at)))
            self.sock = sock
            self.lookout.add(sock.fileno(), self)
            while not self.answers.complete:
                data = head.read(sock)
                if not data:
                    return "ended"
                self.feed(data)
            return "ended"
        except (OSError, head.Unfit) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                self.lookout.drop(sock.fileno(), self)
                self.sock = None
                sock.close()

    def feed(self, data: memoryview | bytes) -> None:
        self.answers.feed(data)
        if self.answers.answer.status not in (0, 200):
            raise head.Unfit(self.answers.answer.status)
        chunks, self.answers.answer.body = self.answers.answer.body, []
        self.take(b"".join(chunks))

    def read_now(self) -> bool:
        """One read, a second where that was full, and so on up to a line's limit. What cannot be read, and
        the end, are left to the greenlet: it is told at once."""
        if self.sock is None or self.answers.complete:
            return False
        try:
            for _ in range(LINE_LIMIT // READ + 1):
                data = os.read(self.sock.fileno(), READ)
                if not data:
                    return False
                self.feed(data)
                if self.answers.complete:
                    raise ConnectionError("ended")
                if len(data) < READ:
                    break
        except BlockingIOError:
            pass
        except (OSError, head.Unfit) as error:
            self.greenlet.kill(error, block=False)  # which ends ``read`` as its own would
            return False
        return True

    def take(self, chunk: bytes) -> None:
        """Lines may be split anywhere."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        if len(self.rest) > LINE_LIMIT:
            raise head.Unfit(502)
        for line in lines:
            self.post(Line(self, line))

    def close(self) -> None:
        self.greenlet.kill(block=False)


class Follower:
    """An actor that follows one stream. Where a new configuration names another address, the new stream is
    begun at once and the old one read until the new one has told something or the old one ends, so that
    nothing told on either is missed."""

    NAME, ENDED = "", ""  # for log and counters

    def __init__(
        self,
        at: Address,
        counters: Counters,
        log: Log,
        deliver: Callable[[object], None],
        lookout: Lookout,
    ):
        self.at, self.counters, self.log, self.deliver = at, counters, log, deliver
        self.lookout = lookout
        lookout.settle.append(self.settle)
        self.mailbox: SimpleQueue = SimpleQueue()
        self.now: Stream | None = None
        self.old: Stream | None = None
        self.answered = False  # whether the first stream has told something or failed

    def run(self) -> None:
        while True:
            self.take(self.mailbox.get())

    def settle(self) -> None:
        """What waits in the mailbox is taken now, in order, by whoever may not go on without it. ``take``
        never switches, so nobody is found in the middle of it."""
        while self.mailbox.qsize():
            self.take(self.mailbox.get(block=False))

    def take(self, message: object) -> None:
        match message:
            case Moved(at):
                if at != self.at:
                    self.at = at
                    self.begin()
            case Line(stream, text):
                if stream is self.now or stream is self.old:
                    try:
                        self.line(stream, text)
                    except UNREADABLE as error:
                        stream.close()
                        self.over(stream, f"unreadable: {type(error).__name__}: {error}")
            case Over(stream, why):
                self.over(stream, why)
            case _:
                self.asked()

    def begin(self) -> None:
        if self.now is not None:
            if self.old is not None:
                self.old.close()
            self.old = self.now
        self.now = self.open()

    def told(self, stream: Stream, **what: object) -> None:
        """The stream has told something that could be read."""
        if not stream.told:
            stream.told = self.answered = True
            self.log(f"{self.NAME} read", at=head.host(stream.at), **what)
        if stream is self.now and self.old is not None:
            self.old.close()
            self.old = None

    def over(self, stream: Stream, why: str) -> None:
        if stream is self.old:
            self.old = None
        elif stream is self.now:
            self.now, self.answered = None, True
            self.counters.add(self.ENDED)
            self.log(f"{self.NAME} lost", at=head.host(stream.at), why=why)
            self.lost()

    def asked(self) -> None:
        """To follow, where none is followed."""
        if self.now is None:
            self.begin()

    def open(self) -> Stream:
        raise NotImplementedError

    def line(self, stream: Stream, text: bytes) -> None:
        raise NotImplementedError

    def lost(self) -> None:
        raise NotImplementedError
