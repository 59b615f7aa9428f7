"""The discovery actor: follows the list of machines and passes on what holds of it."""

from collections import Counter
from dataclasses import replace
from random import Random

import gevent
from gevent import socket

from myrtleroad import interface as i
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings, ServiceKind
from myrtleroad.membership.lease import LeaseTerms, ListLease
from myrtleroad.membership.server_list import ListChange, ListMessage, Restriction, ServerList
from myrtleroad.membership.stream_follower import FreshnessChanged
from myrtleroad.net import http1
from myrtleroad.net.counters import Counters
from myrtleroad.net.json_stream import JsonObjectReader
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import (
    DECODE_ERRORS,
    ListedServer,
    NodeConfig,
    ServerListing,
    json_object,
    listed_servers,
    non_negative_int,
)
from myrtleroad.net.stream import CONNECT_TIMEOUT_S, MAX_LINE_BYTES, FollowerActor, FollowerContext, Stream

HEARTBEAT_MS = 2000.0  # an empty line comes so often while nothing changes (protocol)
FETCH_TIMEOUT_S = 2.5  # for a whole list asked for by itself: a service in a queue takes as long
LIST_KEY = b'"generation"'  # a key of every list and of no entry
RANKS = {
    i.ServerStatus.IN_SERVICE: Restriction.NONE,
    i.ServerStatus.DRAINING: Restriction.DRAINING,
    i.ServerStatus.GONE: Restriction.GONE,
}


def follower_settings(told: NodeConfig, sign_ms: float) -> FollowerSettings:
    rules = told.facts.server_rules
    most = rules.max_poll_interval_ms or float("inf")
    return FollowerSettings(told.facts.balancers, rules.drain_grace_ms, sign_ms, most)


def list_follower_settings(told: NodeConfig) -> FollowerSettings:
    """Discovery is one service for all fronts where it is asked, an agent of each front's own else."""
    service = ServiceKind.SHARED if told.facts.list_on_request else ServiceKind.OWN
    return replace(follower_settings(told, HEARTBEAT_MS), service_kind=service)


def server_rank(e: ListedServer) -> Restriction:
    return RANKS[e.row.status]


def same_start(a: ListedServer, b: ListedServer) -> bool:
    return (a.row.build, a.row.started_at) == (b.row.build, b.row.started_at)


class ListFetched:
    """What came of asking for the whole list: the list of one source, or None and why."""

    __slots__ = ("said", "why")

    def __init__(self, said: ListMessage[ListedServer] | None, why: str = ""):
        self.said, self.why = said, why


class DiscoveryClient(FollowerActor):
    ACTOR_NAME = "roster"  # the actor's name in log events
    NAME, ENDED = "list", "watches_ended"

    def __init__(self, told: NodeConfig, counters: Counters, log: Log, post: FollowerContext):
        self.lease = ListLease(LeaseTerms.from_settings(told.facts))
        super().__init__(told.discovery, list_follower_settings(told), told, counters, log, post)
        self.following.lease = self.lease
        self.words = (told.zones, told.kinds)
        self.book: ServerList[ListedServer] = ServerList(server_rank, same_start)
        self.book.load_initial(told.known.version, {e.word: e for e in told.known.entries})
        self.pacing = CallBackoff(list_follower_settings(told), Random(told.seed + 1).random)
        self.sources: dict[int, int] = {}  # of each stream that is held; emptied as each ends
        self.objects: dict[
            int, JsonObjectReader
        ] = {}  # of each stream that is held; emptied with ``sources``
        self.fetching = False

    def open(self, number: int) -> Stream:
        self.sources[number] = self.following.source
        return Stream(number, f"/api/targets?watch=1&after={self.book.version}", self)

    def said(self, text: bytes, source: int) -> ListMessage[ListedServer]:
        """A list in discovery's form. Raises where nothing of it can be read."""
        m = json_object(text)
        read, unclear = listed_servers(m["instances"], *self.words)
        return ListMessage(source, non_negative_int(m["generation"]), bool(m["reset"]), read, unclear)

    def line(self, stream: Stream, text: bytes) -> None:
        whole = self.objects.setdefault(stream.number, JsonObjectReader(LIST_KEY)).take(text)
        if whole is None:
            return
        said = self.said(whole, self.sources[stream.number])
        watched = stream.told and self.following.freshness is i.ListFreshness.FRESH
        change = self.book.apply_message(said, self.following.is_sole_source(stream.number))
        if said.source == self.book.source:
            self.told(stream, version=said.version, entries=len(said.entries))
        self.apply(change, watched)

    def parted(self, stream: Stream) -> None:
        source = self.sources.pop(stream.number, self.book.source)
        self.objects.pop(stream.number, None)
        if source in self.sources.values():
            return
        change = self.book.source_ended(source)
        self.apply(change)
        if change is not None:  # what stood behind it holds now
            for number in [n for n, x in self.sources.items() if x == self.book.source]:
                self.carry(self.following.message_received(number, self.clock()))

    def seen(self, act: FreshnessChanged) -> None:
        super().seen(act)
        self.deliver(i.ListFreshnessChanged(act.freshness, act.confirmed_at))

    def apply(self, change: ListChange[ListedServer] | None, watched: bool = False) -> None:
        """What a list changes goes to the module; a whole list is asked for where one is wanted."""
        if change is None:
            return
        rows = list(change.entries.values())
        for word in change.blocked:
            # Guards against sending on to a machine of which something was said that we cannot read.
            rows.append(self.book.entries[word].draining())
        if change.whole or rows:
            kind = i.ListKind.WHOLE if change.whole else i.ListKind.CHANGES
            self.deliver(ServerListing(self.book.version, kind, rows, watched and not change.whole))
            by_status = Counter(e.row.status.name.lower() for e in rows)
            self.log("list applied", version=self.book.version, whole=change.whole, **by_status)
        if change.refetch_reason and not self.fetching:
            self.fetching = True
            pause = self.pacing.next_pause_ms(None)
            self.log("list whole asked", why=change.refetch_reason, in_ms=round(pause, 1))
            source = self.following.source
            gevent.spawn_later(pause / 1000, lambda: self.post(self.fetch(source)))

    def fetch(self, source: int) -> ListFetched:
        """The whole list, in one call of its own."""
        sock, answers = None, http1.ResponseParser(most=MAX_LINE_BYTES)  # as long as on a watch's one line
        self.counters.add("lists_fetched")
        try:
            with gevent.Timeout(FETCH_TIMEOUT_S, TimeoutError):
                sock = socket.create_connection(self.at, CONNECT_TIMEOUT_S)
                http1.send(sock, http1.request_parts("GET", "/api/targets", http1.host_header(self.at)))
                while not answers.complete:
                    data = http1.receive(sock)
                    if not data:
                        return ListFetched(None, "ended")
                    answers.feed(data)
            if answers.answer.status != 200:
                return ListFetched(None, f"status {answers.answer.status}")
            return ListFetched(self.said(b"".join(answers.answer.body), source))
        except (OSError, http1.HttpError, *DECODE_ERRORS) as error:
            return ListFetched(None, f"{type(error).__name__}: {error}")
        finally:
            if sock is not None:
                sock.close()

    def other(self, message: object) -> None:
        if not isinstance(message, ListFetched):
            return super().other(message)
        self.fetching = False
        if message.said is None:
            self.log("list whole missed", why=message.why)
            return self.apply(ListChange(False, {}, refetch_reason=message.why))
        change = self.book.apply_fetched(message.said)
        if change is not None and not change.refetch_reason:
            self.pacing.failures = 0
        return self.apply(change)
