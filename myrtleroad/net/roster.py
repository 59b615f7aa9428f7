"""The discovery actor: follows the list of machines and passes on what holds of it."""

from collections import Counter
from dataclasses import replace
from random import Random

import gevent
from gevent import socket

from myrtleroad import interface as i
from myrtleroad.membership.asking import Asking, Manner, Service
from myrtleroad.membership.book import Book, Change, Rank, Said
from myrtleroad.membership.following import Seen
from myrtleroad.membership.lease import ListLease, Terms
from myrtleroad.net import head
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.objects import ObjectLines
from myrtleroad.net.stream import CONNECT_S, LINE_LIMIT, Follower, Post, Stream
from myrtleroad.net.told import UNREADABLE, Entry, Listing, Told, count, entries, loads

SIGN_MS = 2000.0  # an empty line comes so often while nothing changes (protocol)
FETCH_S = 2.5  # for a whole list asked for by itself: a service in a queue takes as long
BEGINS = b'"generation"'  # a key of every list and of no entry
RANKS = {
    i.ServerStatus.IN_SERVICE: Rank.OPEN,
    i.ServerStatus.DRAINING: Rank.CLOSING,
    i.ServerStatus.GONE: Rank.AWAY,
}


def manner(told: Told, sign_ms: float) -> Manner:
    rules = told.facts.server_rules
    most = rules.max_poll_interval_ms or float("inf")
    return Manner(told.facts.balancers, rules.drain_grace_ms, sign_ms, most)


def list_manner(told: Told) -> Manner:
    """Discovery is one service for all fronts where it is asked, an agent of each front's own else."""
    service = Service.SHARED if told.facts.list_on_request else Service.OWN
    return replace(manner(told, SIGN_MS), service=service)


def rank(e: Entry) -> Rank:
    return RANKS[e.row.status]


def same(a: Entry, b: Entry) -> bool:
    return (a.row.build, a.row.started_at) == (b.row.build, b.row.started_at)


class Fetched:
    """What came of asking for the whole list: the list of one source, or None and why."""

    __slots__ = ("said", "why")

    def __init__(self, said: Said[Entry] | None, why: str = ""):
        self.said, self.why = said, why


class Roster(Follower):
    NAME, ENDED = "list", "watches_ended"

    def __init__(self, told: Told, counters: Counters, log: Log, post: Post):
        self.lease = ListLease(Terms.of(told.facts))
        super().__init__(told.discovery, list_manner(told), told, counters, log, post)
        self.following.lease = self.lease
        self.words = (told.zones, told.kinds)
        self.book: Book[Entry] = Book(rank, same)
        self.book.remember(told.known.version, {e.word: e for e in told.known.entries})
        self.pacing = Asking(list_manner(told), Random(told.seed + 1).random)
        self.sources: dict[int, int] = {}  # of each stream that is held; emptied as each ends
        self.objects: dict[int, ObjectLines] = {}  # of each stream that is held; emptied with ``sources``
        self.fetching = False

    def open(self, number: int) -> Stream:
        self.sources[number] = self.following.source
        return Stream(number, f"/api/targets?watch=1&after={self.book.version}", self)

    def said(self, text: bytes, source: int) -> Said[Entry]:
        """A list in discovery's form. Raises where nothing of it can be read."""
        m = loads(text)
        read, unclear = entries(m["instances"], *self.words)
        return Said(source, count(m["generation"]), bool(m["reset"]), read, unclear)

    def line(self, stream: Stream, text: bytes) -> None:
        whole = self.objects.setdefault(stream.number, ObjectLines(BEGINS)).take(text)
        if whole is None:
            return
        said = self.said(whole, self.sources[stream.number])
        watched = stream.told and self.following.sight is i.ListFreshness.FRESH
        change = self.book.take(said, self.following.sole(stream.number))
        if said.source == self.book.source:
            self.told(stream, version=said.version, entries=len(said.entries))
        self.apply(change, watched)

    def parted(self, stream: Stream) -> None:
        source = self.sources.pop(stream.number, self.book.source)
        self.objects.pop(stream.number, None)
        if source in self.sources.values():
            return
        change = self.book.left(source)
        self.apply(change)
        if change is not None:  # what stood behind it holds now
            for number in [n for n, x in self.sources.items() if x == self.book.source]:
                self.carry(self.following.told(number, self.clock()))

    def seen(self, act: Seen) -> None:
        super().seen(act)
        self.deliver(i.ListFreshnessChanged(act.sight, act.since))

    def apply(self, change: Change[Entry] | None, watched: bool = False) -> None:
        """What a list changes goes to the module; a whole list is asked for where one is wanted."""
        if change is None:
            return
        rows = list(change.entries.values())
        for word in change.shut:
            # Guards against sending on to a machine of which something was said that we cannot read.
            rows.append(self.book.known[word].draining())
        if change.whole or rows:
            kind = i.ListKind.WHOLE if change.whole else i.ListKind.CHANGES
            self.deliver(Listing(self.book.version, kind, rows, watched and not change.whole))
            by_status = Counter(e.row.status.name.lower() for e in rows)
            self.log("list applied", version=self.book.version, whole=change.whole, **by_status)
        if change.ask and not self.fetching:
            self.fetching = True
            pause = self.pacing.pause(None)
            self.log("list whole asked", why=change.ask, in_ms=round(pause, 1))
            source = self.following.source
            gevent.spawn_later(pause / 1000, lambda: self.post(self.fetch(source)))

    def fetch(self, source: int) -> Fetched:
        """The whole list, in one call of its own."""
        sock, answers = None, head.Answers(most=LINE_LIMIT)  # as long as on a watch's one line
        self.counters.add("lists_fetched")
        try:
            with gevent.Timeout(FETCH_S, TimeoutError):
                sock = socket.create_connection(self.at, CONNECT_S)
                head.write(sock, head.call("GET", "/api/targets", head.host(self.at)))
                while not answers.complete:
                    data = head.read(sock)
                    if not data:
                        return Fetched(None, "ended")
                    answers.feed(data)
            if answers.answer.status != 200:
                return Fetched(None, f"status {answers.answer.status}")
            return Fetched(self.said(b"".join(answers.answer.body), source))
        except (OSError, head.Unfit, *UNREADABLE) as error:
            return Fetched(None, f"{type(error).__name__}: {error}")
        finally:
            if sock is not None:
                sock.close()

    def other(self, message: object) -> None:
        if not isinstance(message, Fetched):
            return super().other(message)
        self.fetching = False
        if message.said is None:
            self.log("list whole missed", why=message.why)
            return self.apply(Change(False, {}, ask=message.why))
        change = self.book.fetched(message.said)
        if change is not None and not change.ask:
            self.pacing.failures = 0
        return self.apply(change)
