"""Which streams a follower holds, how fresh their word is, and what to do as they open, fall silent or end.

A pure state machine: each call takes the time and returns what is to be done. Streams are named by numbers
that only go up; a later one was asked from a later state, so once it has told something those before it are
of no use. ``due`` says when ``tick`` is wanted next."""

from collections.abc import Callable
from dataclasses import dataclass

from myrtleroad.interface import ListFreshness
from myrtleroad.membership.asking import Asking, Manner
from myrtleroad.membership.lease import ListLease


@dataclass(slots=True, frozen=True)
class Open:
    """Begin a stream under this number, at the address that holds now."""

    stream: int


@dataclass(slots=True, frozen=True)
class Close:
    stream: int
    why: str


@dataclass(slots=True, frozen=True)
class Seen:
    """The sight has changed."""

    sight: ListFreshness
    since: float  # when the last word or sign of life came
    why: str


Act = Open | Close | Seen


@dataclass(slots=True)
class Standing:
    """One stream that is open or being opened."""

    source: int  # counts the addresses; streams of one source tell one numbering
    begun: float
    heard: float  # the last byte; its beginning before any
    told: float | None = None  # when it first told something


class Following:
    DOUBT = 1.3  # signs of life late by this much of their interval are missing; loops are held for tenths
    GIVE_UP = 2.25  # intervals without a sign: two have been missed, with some room
    OPENING_MS = 2500.0  # for a connection and a first word: a service answers in ms, one in a queue in 2 s
    LEAVE_MS = 5000.0  # a source that was left is read for so long at most once the new one speaks

    __slots__ = (
        "again",
        "asking",
        "lease",
        "manner",
        "next",
        "sight",
        "since",
        "source",
        "streams",
        "wanted",
    )

    def __init__(self, manner: Manner, chance: Callable[[], float], now: float):
        self.manner, self.asking = manner, Asking(manner, chance)
        self.streams: dict[int, Standing] = {}  # in the order of their numbers: the one
        # that stands, one beside it, and after a move one that was left
        self.next, self.source, self.wanted = 0, 0, False
        self.again: float | None = None  # when to ask again, where no stream is held
        self.sight, self.since = ListFreshness.BLIND, now
        self.lease: ListLease | None = None  # of what is followed, where that expires

    # --- events ---

    def want(self, now: float) -> list[Act]:
        """Follow from now on; where it is followed or asked already, nothing."""
        if self.wanted:
            return []
        self.wanted = True
        return [self.open(now)]

    def heard(self, stream: int, now: float) -> list[Act]:
        """Any byte, a sign of life too."""
        if (s := self.streams.get(stream)) is not None:
            s.heard = now
        return self.look(now, "heard again")

    def told(self, stream: int, now: float) -> list[Act]:
        """It has told something that could be read: the streams before it have done their part."""
        s = self.streams.get(stream)
        if s is None:
            return []
        s.heard = now
        s.told = now if s.told is None else s.told
        if self.lease is not None and s.source == self.source:
            self.lease.arrived()
        acts: list[Act] = [self.close(n, "another one tells") for n in self.streams if n < stream]
        for act in acts:
            del self.streams[act.stream]
        return acts + self.look(now, "told")

    def ended(self, stream: int, now: float, why: str, reached: bool = True) -> list[Act]:
        """``reached``: a connection for it had come up."""
        s = self.streams.pop(stream, None)
        if s is None:
            return []
        self.parted(s, now, reached)
        return self.look(now, why)

    def moved(self, now: float) -> list[Act]:
        """Another address holds from now on: it is asked at once, and the old stream read until the new one
        has told something. Guards against a word lost between the two, and against a pause begun before."""
        self.source += 1
        self.wanted = True
        if self.lease is not None:
            self.lease.moved(now)
        # Guards against a row of moves: of what was left only what has told something is still read.
        telling = [n for n, x in self.streams.items() if x.told is not None]
        left = [n for n in self.streams if n not in telling[-1:]]
        acts: list[Act] = [self.close(n, "left") for n in left]
        for n in left:
            del self.streams[n]
        return [*acts, self.open(now)]

    def tick(self, now: float) -> list[Act]:
        """What only the clock tells. To be called with all that has come already taken in: a loop that was
        held must not take its own silence for that of the other side."""
        acts: list[Act] = []
        for number, s in list(self.streams.items()):
            if now >= self.ends(s):
                del self.streams[number]
                acts.append(self.close(number, "silent"))
                self.parted(s, now)
        if self.again is not None and now >= self.again:
            acts.append(self.open(now))
        acts += self.look(now, "silent")
        if self.again is None and (last := self.last()) is not None and now >= self.doubt(last):
            # Guards against a half-open connection: another is asked beside it, and both are read.
            acts.append(self.open(now))
        return acts

    # --- what follows from them ---

    def due(self) -> float:
        """When ``tick`` has something to do."""
        times = [self.ends(s) for s in self.streams.values()]
        if self.again is not None:
            times.append(self.again)
        elif (last := self.last()) is not None:
            times.append(self.doubt(last))
        return min(times, default=float("inf"))

    def age(self, now: float) -> float:
        """How long ago the last word or sign of life came, in ms."""
        return now - self.since

    def sole(self, stream: int) -> bool:
        """Whether no stream of another source has told anything and still stands."""
        s = self.streams.get(stream)
        return s is not None and not any(
            x.told is not None and x.source != s.source for x in self.streams.values()
        )

    def last(self) -> Standing | None:
        """The newest stream, if it has told something: it is the one to be doubted."""
        s = next(reversed(self.streams.values()), None)
        return s if s is not None and s.told is not None else None

    def open(self, now: float) -> Open:
        number, self.next, self.again = self.next, self.next + 1, None
        self.streams[number] = Standing(self.source, now, now)
        if self.lease is not None:
            self.lease.waits(True)
        return Open(number)

    def close(self, number: int, why: str) -> Close:
        return Close(number, why)

    def parted(self, s: Standing, now: float, reached: bool = True) -> None:
        """A stream has gone. Another is due, after the pause that its end asks for, where none of the present
        source is left, or only one that is in doubt."""
        mine = [x for x in self.streams.values() if x.source == self.source]
        if not mine or all(x.told is not None and now >= self.doubt(x) for x in mine):
            self.again = now + self.asking.pause(None if s.told is None else now - s.told, reached)

    def ends(self, s: Standing) -> float:
        """When a stream that says nothing more is given up, or one that was left."""
        if s.heard == s.begun:
            return s.begun + self.OPENING_MS
        end = s.heard + self.GIVE_UP * self.manner.sign_ms
        spoke = [x.begun for x in self.streams.values() if x.source > s.source and x.heard > x.begun]
        return min([end, *(at + self.LEAVE_MS for at in spoke)])

    def doubt(self, s: Standing) -> float:
        """From when a stream that says nothing is in doubt."""
        return s.heard + self.DOUBT * self.manner.sign_ms

    def renew(self, now: float, followed: bool) -> None:
        """The lease learns what stands."""
        if self.lease is None:
            return
        if followed:
            self.lease.followed(self.since)
        else:
            self.lease.lost(now, self.sight is not ListFreshness.FRESH)
        self.lease.waits(any(s.told is None for s in self.streams.values()))

    def look(self, now: float, why: str) -> list[Act]:
        """The sight of now; told once at each change."""
        telling = [s for s in self.streams.values() if s.told is not None]
        if telling:
            self.since = max(self.since, *(s.heard for s in telling))
            sight = (
                ListFreshness.FRESH if any(now < self.doubt(s) for s in telling) else ListFreshness.DOUBTFUL
            )
        else:
            sight = ListFreshness.BLIND
        self.renew(now, bool(telling))
        if (last := self.last()) is not None and last.source == self.source and now < self.doubt(last):
            self.again = None  # the one that was in doubt speaks again
        if sight == self.sight:
            return []
        self.sight = sight
        return [Seen(sight, self.since, why)]
