"""Following a peer that tells things on an answer that stays open: a watch on discovery, the bulletin."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.net import head
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.told import UNREADABLE, Address, Moved

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
    """One connection to one address. Its greenlet reads whole lines and posts them, then its end."""

    __slots__ = ("at", "greenlet", "post", "rest", "silent_s", "target", "told")

    def __init__(self, at: Address, target: str, silent_s: float, post: Callable[[object], None]):
        self.at, self.target, self.silent_s, self.post = at, target, silent_s, post
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
            answers = head.Answers(stream=True)
            while not answers.complete:
                data = head.read(sock)
                if not data:
                    return "ended"
                answers.feed(data)
                if answers.answer.status not in (0, 200):
                    return f"status {answers.answer.status}"
                chunks, answers.answer.body = answers.answer.body, []
                self.take(b"".join(chunks))
            return "ended"
        except (OSError, head.Unfit) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()

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

    def __init__(self, at: Address, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.at, self.counters, self.log, self.deliver = at, counters, log, deliver
        self.mailbox: SimpleQueue = SimpleQueue()
        self.now: Stream | None = None
        self.old: Stream | None = None
        self.answered = False  # whether the first stream has told something or failed

    def run(self) -> None:
        while True:
            self.take(self.mailbox.get())

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
