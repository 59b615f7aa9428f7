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
    poller: StreamPoller


@dataclass(slots=True)
class LineReceived:
    stream: "Stream"
    line: bytes


@dataclass(slots=True)
class StreamEnded:
    stream: "Stream"
    reason: str
    connected: bool = True  # a connection had come up


class Stream:
    """One connection to one address. Its greenlet reads whole lines and posts them, then its end; whoever
    must not miss what has come calls ``read_now`` through the lookout, at any moment between two switches."""

    __slots__ = (
        "address",
        "connected",
        "greenlet",
        "has_delivered",
        "number",
        "parser",
        "partial_line",
        "poller",
        "post",
        "requested_at",
        "sock",
        "target",
    )

    def __init__(self, number: int, target: str, follower: "FollowerActor"):
        self.number, self.address, self.target = number, follower.address, target
        self.post, self.poller, self.sock = follower.post, follower.poller, None
        self.parser = http1.ResponseParser(stream=True)
        self.partial_line = b""  # of a line that has not ended
        self.has_delivered = False  # whether it has told anything yet
        self.requested_at = follower.clock()
        self.connected = False  # whether its connection has come up
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        why = self.receive()
        self.post(StreamEnded(self, why, self.connected))

    def receive(self) -> str:
        sock = None
        try:
            sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
            self.connected = True
            sock.settimeout(None)  # its silence is judged by the follower
            http1.send(sock, http1.request_parts("GET", self.target, http1.host_header(self.address)))
            self.sock = sock
            self.poller.add(sock.fileno(), self)
            while not self.parser.complete:
                data = http1.receive(sock)
                if not data:
                    return "ended"
                self.feed(data)
            return "ended"
        except (OSError, http1.HttpError) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                self.poller.remove(sock.fileno(), self)
                self.sock = None
                sock.close()

    def feed(self, data: memoryview | bytes) -> None:
        self.parser.feed(data)
        if self.parser.response.status not in (0, 200):
            raise http1.HttpError(self.parser.response.status)
        chunks, self.parser.response.body = self.parser.response.body, []
        self.split_lines(b"".join(chunks))

    def read_now(self) -> bool:
        """One read, a second where that was full, and so on up to a line's limit. What cannot be read, and
        the end, are left to the greenlet: it is told at once."""
        if self.sock is None or self.parser.complete:
            return False
        try:
            for _ in range(MAX_LINE_BYTES // READ_BYTES + 1):
                data = os.read(self.sock.fileno(), READ_BYTES)
                if not data:
                    return False
                self.feed(data)
                if self.parser.complete:
                    raise ConnectionError("ended")
                if len(data) < READ_BYTES:
                    break
        except BlockingIOError:
            pass
        except (OSError, http1.HttpError) as error:
            self.greenlet.kill(error, block=False)  # which ends ``read`` as its own would
            return False
        return True

    def split_lines(self, chunk: bytes) -> None:
        """Lines may be split anywhere."""
        *lines, self.partial_line = (self.partial_line + chunk).split(b"\n")
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise http1.HttpError(502)
        for line in lines:
            self.post(LineReceived(self, line))

    def close(self) -> None:
        self.greenlet.kill(block=False)


class FollowerActor:
    """An actor that follows one peer's stream as ``membership.StreamFollower`` says: it opens and closes
    streams, posts their words and the passing of time to it, and passes on what they say."""

    NAME, ENDED_COUNTER = "", ""  # for log and counters

    def __init__(
        self,
        at: Address,
        manner: FollowerSettings,
        told: NodeConfig,
        counters: Counters,
        log: Log,
        post: FollowerContext,
    ):
        self.address, self.counters, self.log = at, counters, log
        self.clock, self.deliver, self.poller = post
        self.stream_follower = StreamFollower(manner, Random(told.seed).random, self.clock())
        self.poller.after_poll.append(self.process_mailbox)
        self.mailbox: SimpleQueue = SimpleQueue()
        self.wake_event = Event()  # set when something was posted or taken: what is due may have changed
        self.streams: dict[int, Stream] = {}  # by the numbers of following; emptied as each ends
        self.answered = False  # whether the first stream has told something or failed

    def run(self) -> None:
        self.execute(self.stream_follower.start(self.clock()))
        while True:
            wait = max(0.0, self.stream_follower.due() - self.clock()) / 1000
            self.wake_event.wait(min(wait, MAX_WAIT_S))
            self.wake_event.clear()
            self.process_mailbox()
            if self.stream_follower.due() <= self.clock():
                # Guards against taking our own standstill for the other side's: what has come is read first.
                self.poller.read_ready()
                self.execute(self.stream_follower.tick(self.clock()))

    def post(self, message: object) -> None:
        self.mailbox.put(message)
        self.wake_event.set()

    def process_mailbox(self) -> None:
        """What waits in the mailbox is taken now, in order, by whoever may not go on without it. ``take``
        never switches, so nobody is found in the middle of it."""
        while self.mailbox.qsize():
            self.process(self.mailbox.get(block=False))
            # Guards against a follower that sleeps on past what this message made due.
            self.wake_event.set()

    def process(self, message: object) -> None:
        now = self.clock()
        match message:
            case AddressChanged(at):
                if at != self.address:
                    self.address = at
                    self.execute(self.stream_follower.address_changed(now))
            case LineReceived(stream, text):
                if self.streams.get(stream.number) is stream:
                    self.execute(self.stream_follower.bytes_received(stream.number, now))
                    self.read_line(stream, text)
            case StreamEnded(stream, why, reached):
                if self.streams.pop(stream.number, None) is stream:
                    self.stream_ended(stream, why, reached)
            case _:
                self.process_other(message)

    def read_line(self, stream: Stream, text: bytes) -> None:
        try:
            self.process_line(stream, text)
        except DECODE_ERRORS as error:
            del self.streams[stream.number]
            stream.close()
            self.stream_ended(stream, f"unreadable: {type(error).__name__}: {error}")

    def log_lost(self, stream: Stream, why: str) -> None:
        """Counts and logs the end of a stream that this side did not want to end."""
        self.answered = True
        self.counters.add(self.ENDED_COUNTER)
        after = round(self.clock() - stream.requested_at, 1)
        what = dict(
            at=http1.host_header(stream.address),
            stream=stream.number,
            told=stream.has_delivered,
            after_ms=after,
        )
        self.log(f"{self.NAME} lost", level="warning", why=why, **what)

    def stream_ended(self, stream: Stream, why: str, reached: bool = True) -> None:
        self.log_lost(stream, why)
        self.execute(self.stream_follower.stream_ended(stream.number, self.clock(), why, reached))
        self.stream_gone(stream)

    def received(self, stream: Stream, **what: object) -> None:
        """The stream has told something that could be read, and its word holds."""
        if not stream.has_delivered:
            stream.has_delivered = self.answered = True
            after = round(self.clock() - stream.requested_at, 1)
            at = http1.host_header(stream.address)
            self.log(f"{self.NAME} read", at=at, stream=stream.number, after_ms=after, **what)
        self.execute(self.stream_follower.message_received(stream.number, self.clock()))

    def execute(self, acts: list[FollowerAction]) -> None:
        for act in acts:
            match act:
                case OpenStream(number):
                    self.counters.add(f"{self.NAME}_asked")
                    stream = self.streams[number] = self.open_stream(number)
                    self.log(f"{self.NAME} asked", stream=number, target=stream.target)
                case CloseStream(number, why):
                    if stream := self.streams.pop(number, None):
                        stream.close()
                        if why == "silent":
                            self.log_lost(stream, why)
                        self.stream_gone(stream)
                case FreshnessChanged():
                    self.freshness_changed(act)

    def freshness_changed(self, act: FreshnessChanged) -> None:
        age = round(self.clock() - act.confirmed_at, 1)
        self.log(f"{self.NAME} sight", sight=act.freshness.name, age_ms=age, why=act.why)

    def open_stream(self, number: int) -> Stream:
        raise NotImplementedError

    def process_line(self, stream: Stream, text: bytes) -> None:
        raise NotImplementedError

    def stream_gone(self, stream: Stream) -> None:
        """A stream has gone, whoever ended it."""

    def process_other(self, message: object) -> None:
        raise TypeError(f"not for a follower: {message!r}")
