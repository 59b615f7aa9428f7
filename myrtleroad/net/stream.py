"""Following a peer that tells things on an answer that stays open: a watch on discovery, the bulletin."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue

from myrtleroad.membership.call_backoff import FollowerSettings
from myrtleroad.membership.stream_follower import (
    CloseStream,
    FollowerAction,
    FreshnessChanged,
    OpenStream,
    StreamFollower,
)
from myrtleroad.net import http1
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import DECODE_ERRORS, Address, AddressChanged, NodeConfig
from myrtleroad.net.stream_poller import StreamPoller

READ_BYTES = 64 * 1024  # bytes a read: as the shared buffer holds
MAX_WAIT_S = 1.0  # the longest wait of a follower, whatever is due
CONNECT_TIMEOUT_S = (
    1.0  # loopback and a datacentre's network connect in ms; a silent address must not hold for long
)
MAX_LINE_BYTES = 1024 * 1024  # a list of some 4,000 machines on one line; noise without line ends stops there


class FollowerContext(NamedTuple):
    """What every follower is given: the clock, whom it tells, and where its streams are looked at."""

    clock: Callable[[], float]
    deliver: Callable[[object], None]
    lookout: StreamPoller


@dataclass(slots=True)
class LineReceived:
    stream: "Stream"
    text: bytes


@dataclass(slots=True)
class StreamEnded:
    stream: "Stream"
    why: str
    reached: bool = True  # a connection had come up


class Stream:
    """One connection to one address. Its greenlet reads whole lines and posts them, then its end; whoever
    must not miss what has come calls ``read_now`` through the lookout, at any moment between two switches."""

    __slots__ = (
        "answers",
        "asked_at",
        "at",
        "greenlet",
        "lookout",
        "number",
        "post",
        "reached",
        "rest",
        "sock",
        "target",
        "told",
    )

    def __init__(self, number: int, target: str, follower: "FollowerActor"):
        self.number, self.at, self.target = number, follower.at, target
        self.post, self.lookout, self.sock = follower.post, follower.lookout, None
        self.answers = http1.ResponseParser(stream=True)
        self.rest = b""  # of a line that has not ended
        self.told = False  # whether it has told anything yet
        self.asked_at = follower.clock()
        self.reached = False  # whether its connection has come up
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        why = self.read()
        self.post(StreamEnded(self, why, self.reached))

    def read(self) -> str:
        sock = None
        try:
            sock = socket.create_connection(self.at, CONNECT_TIMEOUT_S)
            self.reached = True
            sock.settimeout(None)  # its silence is judged by the follower
            http1.send(sock, http1.request_parts("GET", self.target, http1.host_header(self.at)))
            self.sock = sock
            self.lookout.add(sock.fileno(), self)
            while not self.answers.complete:
                data = http1.receive(sock)
                if not data:
                    return "ended"
                self.feed(data)
            return "ended"
        except (OSError, http1.HttpError) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                self.lookout.drop(sock.fileno(), self)
                self.sock = None
                sock.close()

    def feed(self, data: memoryview | bytes) -> None:
        self.answers.feed(data)
        if self.answers.answer.status not in (0, 200):
            raise http1.HttpError(self.answers.answer.status)
        chunks, self.answers.answer.body = self.answers.answer.body, []
        self.take(b"".join(chunks))

    def read_now(self) -> bool:
        """One read, a second where that was full, and so on up to a line's limit. What cannot be read, and
        the end, are left to the greenlet: it is told at once."""
        if self.sock is None or self.answers.complete:
            return False
        try:
            for _ in range(MAX_LINE_BYTES // READ_BYTES + 1):
                data = os.read(self.sock.fileno(), READ_BYTES)
                if not data:
                    return False
                self.feed(data)
                if self.answers.complete:
                    raise ConnectionError("ended")
                if len(data) < READ_BYTES:
                    break
        except BlockingIOError:
            pass
        except (OSError, http1.HttpError) as error:
            self.greenlet.kill(error, block=False)  # which ends ``read`` as its own would
            return False
        return True

    def take(self, chunk: bytes) -> None:
        """Lines may be split anywhere."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        if len(self.rest) > MAX_LINE_BYTES:
            raise http1.HttpError(502)
        for line in lines:
            self.post(LineReceived(self, line))

    def close(self) -> None:
        self.greenlet.kill(block=False)


class FollowerActor:
    """An actor that follows one peer's stream as ``membership.StreamFollower`` says: it opens and closes
    streams, posts their words and the passing of time to it, and passes on what they say."""

    NAME, ENDED = "", ""  # for log and counters

    def __init__(
        self,
        at: Address,
        manner: FollowerSettings,
        told: NodeConfig,
        counters: Counters,
        log: Log,
        post: FollowerContext,
    ):
        self.at, self.counters, self.log = at, counters, log
        self.clock, self.deliver, self.lookout = post
        self.following = StreamFollower(manner, Random(told.seed).random, self.clock())
        self.lookout.settle.append(self.settle)
        self.mailbox: SimpleQueue = SimpleQueue()
        self.wake = Event()  # set when something was posted or taken: what is due may have changed
        self.streams: dict[int, Stream] = {}  # by the numbers of following; emptied as each ends
        self.answered = False  # whether the first stream has told something or failed

    def run(self) -> None:
        self.carry(self.following.start(self.clock()))
        while True:
            wait = max(0.0, self.following.due() - self.clock()) / 1000
            self.wake.wait(min(wait, MAX_WAIT_S))
            self.wake.clear()
            self.settle()
            if self.following.due() <= self.clock():
                # Guards against taking our own standstill for the other side's: what has come is read first.
                self.lookout.look()
                self.carry(self.following.tick(self.clock()))

    def post(self, message: object) -> None:
        self.mailbox.put(message)
        self.wake.set()

    def settle(self) -> None:
        """What waits in the mailbox is taken now, in order, by whoever may not go on without it. ``take``
        never switches, so nobody is found in the middle of it."""
        while self.mailbox.qsize():
            self.take(self.mailbox.get(block=False))
            # Guards against a follower that sleeps on past what this message made due.
            self.wake.set()

    def take(self, message: object) -> None:
        now = self.clock()
        match message:
            case AddressChanged(at):
                if at != self.at:
                    self.at = at
                    self.carry(self.following.address_changed(now))
            case LineReceived(stream, text):
                if self.streams.get(stream.number) is stream:
                    self.carry(self.following.bytes_received(stream.number, now))
                    self.read(stream, text)
            case StreamEnded(stream, why, reached):
                if self.streams.pop(stream.number, None) is stream:
                    self.over(stream, why, reached)
            case _:
                self.other(message)

    def read(self, stream: Stream, text: bytes) -> None:
        try:
            self.line(stream, text)
        except DECODE_ERRORS as error:
            del self.streams[stream.number]
            stream.close()
            self.over(stream, f"unreadable: {type(error).__name__}: {error}")

    def lost(self, stream: Stream, why: str) -> None:
        """Counts and logs the end of a stream that this side did not want to end."""
        self.answered = True
        self.counters.add(self.ENDED)
        after = round(self.clock() - stream.asked_at, 1)
        what = dict(at=http1.host_header(stream.at), stream=stream.number, told=stream.told, after_ms=after)
        self.log(f"{self.NAME} lost", level="warning", why=why, **what)

    def over(self, stream: Stream, why: str, reached: bool = True) -> None:
        self.lost(stream, why)
        self.carry(self.following.stream_ended(stream.number, self.clock(), why, reached))
        self.parted(stream)

    def told(self, stream: Stream, **what: object) -> None:
        """The stream has told something that could be read, and its word holds."""
        if not stream.told:
            stream.told = self.answered = True
            after = round(self.clock() - stream.asked_at, 1)
            at = http1.host_header(stream.at)
            self.log(f"{self.NAME} read", at=at, stream=stream.number, after_ms=after, **what)
        self.carry(self.following.message_received(stream.number, self.clock()))

    def carry(self, acts: list[FollowerAction]) -> None:
        for act in acts:
            match act:
                case OpenStream(number):
                    self.counters.add(f"{self.NAME}_asked")
                    stream = self.streams[number] = self.open(number)
                    self.log(f"{self.NAME} asked", stream=number, target=stream.target)
                case CloseStream(number, why):
                    if stream := self.streams.pop(number, None):
                        stream.close()
                        if why == "silent":
                            self.lost(stream, why)
                        self.parted(stream)
                case FreshnessChanged():
                    self.seen(act)

    def seen(self, act: FreshnessChanged) -> None:
        age = round(self.clock() - act.confirmed_at, 1)
        self.log(f"{self.NAME} sight", sight=act.freshness.name, age_ms=age, why=act.why)

    def open(self, number: int) -> Stream:
        raise NotImplementedError

    def line(self, stream: Stream, text: bytes) -> None:
        raise NotImplementedError

    def parted(self, stream: Stream) -> None:
        """A stream has gone, whoever ended it."""

    def other(self, message: object) -> None:
        raise TypeError(f"not for a follower: {message!r}")
