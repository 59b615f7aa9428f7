"""Which streams a follower holds, how fresh their word is, and what to do as they open, fall silent or end.

A pure state machine: each call takes the time and returns what is to be done. Streams are named by numbers
that only go up; a later one was asked from a later state, so once it has told something those before it are
of no use. ``due`` says when ``tick`` is wanted next."""

from collections.abc import Callable
from dataclasses import dataclass

from myrtleroad.interface import ListFreshness
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings
from myrtleroad.membership.lease import ListLease


@dataclass(slots=True, frozen=True)
class OpenStream:
    """Begin a stream under this number, at the address that holds now."""

    stream: int


@dataclass(slots=True, frozen=True)
class CloseStream:
    stream: int
    why: str


@dataclass(slots=True, frozen=True)
class FreshnessChanged:
    """The sight has changed."""

    freshness: ListFreshness
    confirmed_at: float  # when the last word or sign of life came
    why: str


FollowerAction = OpenStream | CloseStream | FreshnessChanged


@dataclass(slots=True)
class StreamState:
    """One stream that is open or being opened."""

    source: int  # counts the addresses; streams of one source tell one numbering
    opened_at: float
    last_received_at: float  # the last byte; its beginning before any
    first_message_at: float | None = None  # when it first told something


class StreamFollower:
    DOUBT = 1.3  # signs of life late by this much of their interval are missing; loops are held for tenths
    GIVE_UP = 2.25  # intervals without a sign: two have been missed, with some room
    OPENING_MS = 2500.0  # for a connection and a first word: a service answers in ms, one in a queue in 2 s
    OLD_SOURCE_READ_MS = 5000.0  # a source that was left is read for so long at most once the new one speaks

    __slots__ = (
        "asking",
        "confirmed_at",
        "freshness",
        "lease",
        "manner",
        "next_open_at",
        "next_stream",
        "source",
        "streams",
        "wanted",
    )

    def __init__(self, manner: FollowerSettings, chance: Callable[[], float], now: float):
        self.manner, self.asking = manner, CallBackoff(manner, chance)
        self.streams: dict[int, StreamState] = {}  # in the order of their numbers: the one
        # that stands, one beside it, and after a move one that was left
        self.next_stream, self.source, self.wanted = 0, 0, False
        self.next_open_at: float | None = None  # when to ask again, where no stream is held
        self.freshness, self.confirmed_at = ListFreshness.BLIND, now
        self.lease: ListLease | None = None  # of what is followed, where that expires

    # --- events ---

    def start(self, now: float) -> list[FollowerAction]:
        """Follow from now on; where it is followed or asked already, nothing."""
        if self.wanted:
            return []
        self.wanted = True
        return [self.open(now)]

    def bytes_received(self, stream: int, now: float) -> list[FollowerAction]:
        """Any byte, a sign of life too."""
        if (s := self.streams.get(stream)) is not None:
            s.last_received_at = now
        return self.look(now, "heard again")

    def message_received(self, stream: int, now: float) -> list[FollowerAction]:
        """It has told something that could be read: the streams before it have done their part."""
        s = self.streams.get(stream)
        if s is None:
            return []
        s.last_received_at = now
        s.first_message_at = now if s.first_message_at is None else s.first_message_at
        if self.lease is not None and s.source == self.source:
            self.lease.new_address_confirmed()
        acts: list[FollowerAction] = [self.close(n, "another one tells") for n in self.streams if n < stream]
        for act in acts:
            del self.streams[act.stream]
        return acts + self.look(now, "told")

    def stream_ended(self, stream: int, now: float, why: str, connected: bool = True) -> list[FollowerAction]:
        """``connected``: a connection for it had come up."""
        s = self.streams.pop(stream, None)
        if s is None:
            return []
        self.parted(s, now, connected)
        return self.look(now, why)

    def address_changed(self, now: float) -> list[FollowerAction]:
        """Another address holds from now on: it is asked at once, and the old stream read until the new one
        has told something. Guards against a word lost between the two, and against a pause begun before."""
        self.source += 1
        self.wanted = True
        if self.lease is not None:
            self.lease.address_changed(now)
        # Guards against a row of moves: of what was left only what has told something is still read.
        telling = [n for n, x in self.streams.items() if x.first_message_at is not None]
        left = [n for n in self.streams if n not in telling[-1:]]
        acts: list[FollowerAction] = [self.close(n, "left") for n in left]
        for n in left:
            del self.streams[n]
        return [*acts, self.open(now)]

    def tick(self, now: float) -> list[FollowerAction]:
        """What only the clock tells. To be called with all that has come already taken in: a loop that was
        held must not take its own silence for that of the other side."""
        acts: list[FollowerAction] = []
        for number, s in list(self.streams.items()):
            if now >= self.ends(s):
                del self.streams[number]
                acts.append(self.close(number, "silent"))
                self.parted(s, now)
        if self.next_open_at is not None and now >= self.next_open_at:
            acts.append(self.open(now))
        acts += self.look(now, "silent")
        if self.next_open_at is None and (last := self.last()) is not None and now >= self.doubt(last):
            # Guards against a half-open connection: another is asked beside it, and both are read.
            acts.append(self.open(now))
        return acts

    # --- what follows from them ---

    def due(self) -> float:
        """When ``tick`` has something to do."""
        times = [self.ends(s) for s in self.streams.values()]
        if self.next_open_at is not None:
            times.append(self.next_open_at)
        elif (last := self.last()) is not None:
            times.append(self.doubt(last))
        return min(times, default=float("inf"))

    def age_ms(self, now: float) -> float:
        """How long ago the last word or sign of life came, in ms."""
        return now - self.confirmed_at

    def is_sole_source(self, stream: int) -> bool:
        """Whether no stream of another source has told anything and still stands."""
        s = self.streams.get(stream)
        return s is not None and not any(
            x.first_message_at is not None and x.source != s.source for x in self.streams.values()
        )

    def last(self) -> StreamState | None:
        """The newest stream, if it has told something: it is the one to be doubted."""
        s = next(reversed(self.streams.values()), None)
        return s if s is not None and s.first_message_at is not None else None

    def open(self, now: float) -> OpenStream:
        number, self.next_stream, self.next_open_at = self.next_stream, self.next_stream + 1, None
        self.streams[number] = StreamState(self.source, now, now)
        if self.lease is not None:
            self.lease.set_call_pending(True)
        return OpenStream(number)

    def close(self, number: int, why: str) -> CloseStream:
        return CloseStream(number, why)

    def parted(self, s: StreamState, now: float, connected: bool = True) -> None:
        """A stream has gone. Another is due, after the pause that its end asks for, where none of the present
        source is left, or only one that is in doubt."""
        mine = [x for x in self.streams.values() if x.source == self.source]
        if not mine or all(x.first_message_at is not None and now >= self.doubt(x) for x in mine):
            self.next_open_at = now + self.asking.next_pause_ms(
                None if s.first_message_at is None else now - s.first_message_at, connected
            )

    def ends(self, s: StreamState) -> float:
        """When a stream that says nothing more is given up, or one that was left."""
        if s.last_received_at == s.opened_at:
            return s.opened_at + self.OPENING_MS
        end = s.last_received_at + self.GIVE_UP * self.manner.heartbeat_interval_ms
        spoke = [
            x.opened_at
            for x in self.streams.values()
            if x.source > s.source and x.last_received_at > x.opened_at
        ]
        return min([end, *(at + self.OLD_SOURCE_READ_MS for at in spoke)])

    def doubt(self, s: StreamState) -> float:
        """From when a stream that says nothing is in doubt."""
        return s.last_received_at + self.DOUBT * self.manner.heartbeat_interval_ms

    def renew(self, now: float, followed: bool) -> None:
        """The lease learns what stands."""
        if self.lease is None:
            return
        if followed:
            self.lease.confirm(self.confirmed_at)
        else:
            self.lease.stream_lost(now, self.freshness is not ListFreshness.FRESH)
        self.lease.set_call_pending(any(s.first_message_at is None for s in self.streams.values()))

    def look(self, now: float, why: str) -> list[FollowerAction]:
        """The sight of now; told once at each change."""
        telling = [s for s in self.streams.values() if s.first_message_at is not None]
        if telling:
            self.confirmed_at = max(self.confirmed_at, *(s.last_received_at for s in telling))
            sight = (
                ListFreshness.FRESH if any(now < self.doubt(s) for s in telling) else ListFreshness.DOUBTFUL
            )
        else:
            sight = ListFreshness.BLIND
        self.renew(now, bool(telling))
        if (last := self.last()) is not None and last.source == self.source and now < self.doubt(last):
            self.next_open_at = None  # the one that was in doubt speaks again
        if sight == self.freshness:
            return []
        self.freshness = sight
        return [FreshnessChanged(sight, self.confirmed_at, why)]
