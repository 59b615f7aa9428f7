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
    return RANKS[e.entry.status]


def same_start(a: ListedServer, b: ListedServer) -> bool:
    return (a.entry.build, a.entry.started_at) == (b.entry.build, b.entry.started_at)


class ListFetched:
    """What came of asking for the whole list: the list of one source, or None and why."""

    __slots__ = ("error", "message")

    def __init__(self, said: ListMessage[ListedServer] | None, why: str = ""):
        self.message, self.error = said, why


class DiscoveryClient(FollowerActor):
    ACTOR_NAME = "roster"  # the actor's name in log events
    NAME, ENDED_COUNTER = "list", "watches_ended"

    def __init__(self, told: NodeConfig, counters: Counters, log: Log, post: FollowerContext):
        self.lease = ListLease(LeaseTerms.from_settings(told.facts))
        super().__init__(told.discovery, list_follower_settings(told), told, counters, log, post)
        self.stream_follower.lease = self.lease
        self.name_numbers = (told.zones, told.kinds)
        self.server_list: ServerList[ListedServer] = ServerList(server_rank, same_start)
        self.server_list.load_initial(
            told.initial_list.version, {e.server_id: e for e in told.initial_list.servers}
        )
        self.fetch_backoff = CallBackoff(list_follower_settings(told), Random(told.seed + 1).random)
        self.sources: dict[int, int] = {}  # of each stream that is held; emptied as each ends
        self.readers: dict[
            int, JsonObjectReader
        ] = {}  # of each stream that is held; emptied with ``sources``
        self.fetching = False

    def open_stream(self, number: int) -> Stream:
        self.sources[number] = self.stream_follower.source
        return Stream(number, f"/api/targets?watch=1&after={self.server_list.version}", self)

    def decode_list(self, text: bytes, source: int) -> ListMessage[ListedServer]:
        """A list in discovery's form. Raises where nothing of it can be read."""
        m = json_object(text)
        read, unclear = listed_servers(m["instances"], *self.name_numbers)
        return ListMessage(source, non_negative_int(m["generation"]), bool(m["reset"]), read, unclear)

    def process_line(self, stream: Stream, text: bytes) -> None:
        whole = self.readers.setdefault(stream.number, JsonObjectReader(LIST_KEY)).feed(text)
        if whole is None:
            return
        said = self.decode_list(whole, self.sources[stream.number])
        watched = stream.has_delivered and self.stream_follower.freshness is i.ListFreshness.FRESH
        change = self.server_list.apply_message(said, self.stream_follower.is_sole_source(stream.number))
        if said.source == self.server_list.source:
            self.received(stream, version=said.version, entries=len(said.entries))
        self.apply_change(change, watched)

    def stream_gone(self, stream: Stream) -> None:
        source = self.sources.pop(stream.number, self.server_list.source)
        self.readers.pop(stream.number, None)
        if source in self.sources.values():
            return
        change = self.server_list.source_ended(source)
        self.apply_change(change)
        if change is not None:  # what stood behind it holds now
            for number in [n for n, x in self.sources.items() if x == self.server_list.source]:
                self.execute(self.stream_follower.message_received(number, self.clock()))

    def freshness_changed(self, act: FreshnessChanged) -> None:
        super().freshness_changed(act)
        self.deliver(i.ListFreshnessChanged(act.freshness, act.confirmed_at))

    def apply_change(self, change: ListChange[ListedServer] | None, watched: bool = False) -> None:
        """What a list changes goes to the module; a whole list is asked for where one is wanted."""
        if change is None:
            return
        rows = list(change.entries.values())
        for word in change.blocked:
            # Guards against sending on to a machine of which something was said that we cannot read.
            rows.append(self.server_list.entries[word].as_draining())
        if change.whole or rows:
            kind = i.ListKind.WHOLE if change.whole else i.ListKind.CHANGES
            self.deliver(ServerListing(self.server_list.version, kind, rows, watched and not change.whole))
            by_status = Counter(e.entry.status.name.lower() for e in rows)
            self.log("list applied", version=self.server_list.version, whole=change.whole, **by_status)
        if change.refetch_reason and not self.fetching:
            self.fetching = True
            pause = self.fetch_backoff.next_pause_ms(None)
            self.log("list whole asked", why=change.refetch_reason, in_ms=round(pause, 1))
            source = self.stream_follower.source
            gevent.spawn_later(pause / 1000, lambda: self.post(self.fetch_list(source)))

    def fetch_list(self, source: int) -> ListFetched:
        """The whole list, in one call of its own."""
        # as long as on a watch's one line
        sock, answers = None, http1.ResponseParser(max_body_bytes=MAX_LINE_BYTES)
        self.counters.add("lists_fetched")
        try:
            with gevent.Timeout(FETCH_TIMEOUT_S, TimeoutError):
                sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
                http1.send(sock, http1.request_parts("GET", "/api/targets", http1.host_header(self.address)))
                while not answers.complete:
                    data = http1.receive(sock)
                    if not data:
                        return ListFetched(None, "ended")
                    answers.feed(data)
            if answers.response.status != 200:
                return ListFetched(None, f"status {answers.response.status}")
            return ListFetched(self.decode_list(b"".join(answers.response.body), source))
        except (OSError, http1.HttpError, *DECODE_ERRORS) as error:
            return ListFetched(None, f"{type(error).__name__}: {error}")
        finally:
            if sock is not None:
                sock.close()

    def process_other(self, message: object) -> None:
        if not isinstance(message, ListFetched):
            return super().process_other(message)
        self.fetching = False
        if message.message is None:
            self.log("list whole missed", why=message.error)
            return self.apply_change(ListChange(False, {}, refetch_reason=message.error))
        change = self.server_list.apply_fetched(message.message)
        if change is not None and not change.refetch_reason:
            self.fetch_backoff.failures = 0
        return self.apply_change(change)
