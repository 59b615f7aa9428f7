"""Following a peer that sends events on a response that stays open: a watch on discovery, the stage
updates."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

import gevent
from gevent.event import Event
from gevent.queue import SimpleQueue

from myrtleroad.admission.memory_budget import MAX_LIST_BYTES as MAX_LIST_BYTES
from myrtleroad.membership.call_backoff import FollowerSettings
from myrtleroad.membership.stream_follower import (
    CloseStream,
    FollowerAction,
    FreshnessChanged,
    OpenStream,
    StreamFollower,
)
from myrtleroad.membership.stream_quota import StreamLimits, StreamQuota
from myrtleroad.net import http1, socket_io
from myrtleroad.net.connecting import connect_by_name
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.loop_turn import current_turn
from myrtleroad.net.node_config import DECODE_ERRORS, Address, AddressChanged, NodeConfig
from myrtleroad.net.stream_poller import StreamPoller

READ_BYTES = 64 * 1024  # bytes per read of ``read_now``
MAX_WAIT_S = 1.0  # longest wait of a follower, whatever is due
# loopback and a datacentre's network connect within ms; an address that does not answer must not block for
# long
CONNECT_TIMEOUT_S = 1.0
MAX_REASON_CHARACTERS = 200  # of the peer's text in the reason of an end, as it is logged


class StreamFloodError(ConnectionError):
    """The peer has sent more than its limits allow."""


class FollowerContext(NamedTuple):
    """What every follower needs: the clock, the receiver of its messages, and the poller of its streams."""

    clock: Callable[[], float]
    deliver: Callable[[object], None]
    poller: StreamPoller


@dataclass(slots=True)
class LinesReceived:
    """The lines that one read of a stream has completed, without their ends."""

    stream: "Stream"
    lines: list[bytes]


@dataclass(slots=True)
class StreamEnded:
    """A stream has ended, or could not be opened."""

    stream: "Stream"
    reason: str
    connected: bool = True  # whether a connection was established


class Stream:
    """One connection to one address. Its greenlet reads whole lines and posts them, then the end of the
    stream. Code that must not miss received bytes calls ``read_now`` through the poller, at any point between
    two switches."""

    __slots__ = (
        "address",
        "clock",
        "connected",
        "greenlet",
        "has_delivered",
        "max_line_bytes",
        "number",
        "parser",
        "partial_line",
        "poller",
        "post",
        "quota",
        "requested_at",
        "sock",
        "target",
    )

    def __init__(self, number: int, target: str, follower: "FollowerActor"):
        self.number, self.address, self.target = number, follower.address, target
        self.post, self.poller, self.sock = follower.post, follower.poller, None
        self.parser = http1.ResponseParser(stream=True)
        self.clock, self.quota, self.max_line_bytes = follower.clock, follower.quota, follower.max_line_bytes
        self.partial_line = bytearray()  # the beginning of a line that is not complete
        self.has_delivered = False  # whether it has delivered a readable message
        self.requested_at = follower.clock()
        self.connected = False  # whether its connection was established
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        """Read the stream to its end and post the reason."""
        reason = self.receive()
        self.post(StreamEnded(self, reason, self.connected))

    def receive(self) -> str:
        """Connect and read until the stream ends; returns the reason of the end."""
        sock = None
        try:
            sock = connect_by_name(self.address, CONNECT_TIMEOUT_S)
            self.connected = True
            sock.settimeout(None)  # the follower decides when silence has lasted too long
            socket_io.send(sock, http1.request_parts("GET", self.target, http1.host_header(self.address)))
            self.sock = sock
            self.poller.add(sock.fileno(), self)
            while not self.parser.complete:
                data = socket_io.receive(sock)
                if not data:
                    return "ended"
                self.feed(data)
                current_turn().wait_if_over()
            return "ended"
        except (OSError, http1.HttpError) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                self.poller.remove(sock.fileno(), self)
                self.sock = None
                sock.close()
            self.parser.close()

    def feed(self, data: memoryview | bytes) -> None:
        """Parse received bytes. Raises HttpError if the response is not a stream or cannot be read,
        StreamFloodError if the peer sends too much."""
        self.parser.feed(data)
        if self.parser.response.status not in (0, 200):
            raise http1.HttpError(self.parser.response.status)
        chunks, self.parser.response.body = self.parser.response.body, []
        content = b"".join(chunks)
        if not self.quota.take_bytes(len(data), content.count(b"\n"), self.clock()):
            raise StreamFloodError("too much data")
        self.split_lines(content)

    def read_now(self) -> bool:
        """Read once, again if the buffer was filled, and so on up to the length of a line. False at the end
        or after an error, which are left to the stream's greenlet: it is notified at once."""
        if self.sock is None or self.parser.complete:
            return False
        try:
            for _ in range(self.max_line_bytes // READ_BYTES + 1):
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
            self.greenlet.kill(error, block=False)  # raises in ``receive`` as an error of its own would
            return False
        return True

    def split_lines(self, chunk: bytes) -> None:
        """Split a chunk into lines; lines may be split at any byte. Of empty lines in a row one is passed on:
        it says as much as all of them."""
        self.partial_line += chunk
        if b"\n" not in chunk:
            if len(self.partial_line) > self.max_line_bytes:
                raise http1.HttpError(502)
            return
        text, self.partial_line = bytes(self.partial_line), bytearray()
        *lines, rest = text.split(b"\n")
        del text  # a long line is not kept twice
        self.partial_line += rest
        previous_lines = [b"-", *lines]  # an empty first line is passed on
        kept = [line for line, previous in zip(lines, previous_lines, strict=False) if line or previous]
        self.post(LinesReceived(self, kept))

    def close(self) -> None:
        """Stop reading and close the connection."""
        self.greenlet.kill(block=False)


class FollowerActor:
    """An actor that follows one peer's stream as ``membership.stream_follower`` directs: it opens and closes
    streams, passes received data and elapsed time to it, and delivers the messages."""

    NAME, ENDED_COUNTER = "", ""  # for the log and counters
    MAX_LINE_BYTES = 0  # bounds input without line ends
    LIMITS = StreamLimits(0, 0.0, 0, 0.0)  # of the peer, over all its streams

    def __init__(
        self,
        address: Address,
        settings: FollowerSettings,
        node_config: NodeConfig,
        counters: Counters,
        log: Log,
        context: FollowerContext,
    ):
        self.address, self.counters, self.log = address, counters, log
        self.clock, self.deliver, self.poller = context
        self.stream_follower = StreamFollower(settings, Random(node_config.seed).random, self.clock())
        self.quota = StreamQuota(self.LIMITS, self.clock())
        self.poller.after_poll.append(self.process_mailbox)
        self.mailbox: SimpleQueue = SimpleQueue()
        # set when a message was posted or taken: the next deadline may have changed
        self.wake_event = Event()
        self.streams: dict[int, Stream] = {}  # by stream number; entries are removed as streams end
        self.answered = False  # whether the first stream has delivered a message or failed

    @property
    def max_line_bytes(self) -> int:
        """The length of a line at most. Bounds input without line ends."""
        return self.MAX_LINE_BYTES

    def run(self) -> None:
        """Open the first stream, then process messages and deadlines; does not return."""
        self.execute(self.stream_follower.start(self.clock()))
        while True:
            wait = max(0.0, self.stream_follower.due() - self.clock()) / 1000
            self.wake_event.wait(min(wait, MAX_WAIT_S))
            self.wake_event.clear()
            self.process_mailbox()
            if self.stream_follower.due() <= self.clock():
                # Guards against taking this process's own pause for silence of the peer: received data is
                # read first.
                self.poller.read_ready()
                self.execute(self.stream_follower.tick(self.clock()))

    def post(self, message: object) -> None:
        """Queue a message and wake the actor."""
        self.mailbox.put(message)
        self.wake_event.set()

    def process_mailbox(self) -> None:
        """Process the mailbox now, in order, for a caller that needs its messages applied. ``process`` never
        switches greenlets, so no call is interrupted in the middle."""
        while self.mailbox.qsize():
            self.process(self.mailbox.get(block=False))
            # Guards against a follower that sleeps past a deadline set by this message.
            self.wake_event.set()

    def process(self, message: object) -> None:
        """Process one message; those of streams already closed are ignored."""
        now = self.clock()
        match message:
            case AddressChanged(address):
                if address != self.address:
                    self.address = address
                    self.execute(self.stream_follower.address_changed(now))
            case LinesReceived(stream, lines):
                if self.streams.get(stream.number) is stream:
                    self.execute(self.stream_follower.bytes_received(stream.number, now))
                for line in lines:
                    if self.streams.get(stream.number) is stream:
                        self.read_line(stream, line)
            case StreamEnded(stream, reason, connected):
                if self.streams.pop(stream.number, None) is stream:
                    self.stream_ended(stream, reason, connected)
            case _:
                self.process_other(message)

    def read_line(self, stream: Stream, line: bytes) -> None:
        """Process a line; one that cannot be decoded, or one message too many, ends its stream."""
        try:
            self.process_line(stream, line)
        except (StreamFloodError, *DECODE_ERRORS) as error:
            del self.streams[stream.number]
            stream.close()
            reason = f"unreadable: {type(error).__name__}: {error}"
            self.stream_ended(stream, reason[:MAX_REASON_CHARACTERS])

    def count_message(self) -> None:
        """Count a message before it is decoded. Raises StreamFloodError if the peer has sent too many."""
        if not self.quota.take_message(self.clock()):
            raise StreamFloodError("too many messages")

    def log_lost(self, stream: Stream, reason: str) -> None:
        """Count and log the end of a stream that this side did not close."""
        self.answered = True
        self.counters.add(self.ENDED_COUNTER)
        elapsed_ms = round(self.clock() - stream.requested_at, 1)
        fields = dict(
            at=http1.host_header(stream.address),
            stream=stream.number,
            told=stream.has_delivered,
            after_ms=elapsed_ms,
        )
        self.log(f"{self.NAME} lost", level="warning", why=reason, **fields)

    def stream_ended(self, stream: Stream, reason: str, connected: bool = True) -> None:
        """Handle the end of a stream that this side did not close."""
        self.log_lost(stream, reason)
        self.execute(self.stream_follower.stream_ended(stream.number, self.clock(), reason, connected))
        self.stream_gone(stream)

    def received(self, stream: Stream, **fields: object) -> None:
        """Record that the stream has delivered a readable, valid message."""
        if not stream.has_delivered:
            stream.has_delivered = self.answered = True
            elapsed_ms = round(self.clock() - stream.requested_at, 1)
            address = http1.host_header(stream.address)
            self.log(f"{self.NAME} read", at=address, stream=stream.number, after_ms=elapsed_ms, **fields)
        self.execute(self.stream_follower.message_received(stream.number, self.clock()))

    def execute(self, actions: list[FollowerAction]) -> None:
        """Execute the actions of the stream follower."""
        for action in actions:
            match action:
                case OpenStream(number):
                    self.counters.add(f"{self.NAME}_asked")
                    stream = self.streams[number] = self.open_stream(number)
                    self.log(f"{self.NAME} asked", stream=number, target=stream.target)
                case CloseStream(number, reason):
                    if stream := self.streams.pop(number, None):
                        stream.close()
                        if reason == "silent":
                            self.log_lost(stream, reason)
                        self.stream_gone(stream)
                case FreshnessChanged():
                    self.freshness_changed(action)

    def freshness_changed(self, action: FreshnessChanged) -> None:
        """Log a change of freshness."""
        age_ms = round(self.clock() - action.confirmed_at, 1)
        self.log(f"{self.NAME} sight", sight=action.freshness.name, age_ms=age_ms, why=action.why)

    def open_stream(self, number: int) -> Stream:
        """Open the stream with this number; subclasses choose its target."""
        raise NotImplementedError

    def process_line(self, stream: Stream, line: bytes) -> None:
        """Process one line of a stream. Raises one of ``DECODE_ERRORS``."""
        raise NotImplementedError

    def stream_gone(self, stream: Stream) -> None:
        """Called after a stream has ended, whichever side ended it."""

    def process_other(self, message: object) -> None:
        """Process a message that only a subclass knows."""
        raise TypeError(f"unexpected message for a follower: {message!r}")
