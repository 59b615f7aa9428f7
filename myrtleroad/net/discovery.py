"""The discovery client: follows the server list and delivers its changes."""

from collections import Counter
from dataclasses import replace
from random import Random

import gevent

from myrtleroad import interface
from myrtleroad.admission.memory_budget import MAX_SERVERS, MemoryBudget
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings, ServiceKind
from myrtleroad.membership.lease import LeaseTerms, ListLease
from myrtleroad.membership.server_list import ListChange, ListMessage, Restriction, ServerList
from myrtleroad.membership.stream_follower import FreshnessChanged
from myrtleroad.membership.stream_quota import StreamLimits
from myrtleroad.net import http1, socket_io
from myrtleroad.net.connecting import connect_by_name
from myrtleroad.net.counters import Counters
from myrtleroad.net.json_stream import JsonObjectReader, check_size
from myrtleroad.net.log import Log
from myrtleroad.net.loop_turn import current_turn
from myrtleroad.net.memory_monitor import memory_budget
from myrtleroad.net.node_config import (
    DECODE_ERRORS,
    ListedServer,
    NodeConfig,
    ServerListing,
    json_object,
    listed_servers,
    non_negative_int,
)
from myrtleroad.net.stream import CONNECT_TIMEOUT_S, MAX_LIST_BYTES, FollowerActor, FollowerContext, Stream

HEARTBEAT_MS = 2000.0  # interval of empty lines while nothing changes (protocol)
# for a separate request of the whole list: a service that queues its callers takes as long
FETCH_TIMEOUT_S = 2.5
# In the text of a list, at most: an entry has ten values, and may have more that the front does not know.
OBJECTS_PER_SERVER, VALUES_PER_SERVER = 2, 32
LIST_KEY = b'"generation"'  # a key of every list and of no server entry
RESTRICTIONS = {
    interface.ServerStatus.IN_SERVICE: Restriction.NONE,
    interface.ServerStatus.DRAINING: Restriction.DRAINING,
    interface.ServerStatus.GONE: Restriction.GONE,
}


def follower_settings(node_config: NodeConfig, heartbeat_ms: float) -> FollowerSettings:
    """The settings for following a peer whose heartbeats come every ``heartbeat_ms``."""
    rules = node_config.facts.server_rules
    max_interval_ms = rules.max_poll_interval_ms or float("inf")
    return FollowerSettings(node_config.facts.balancers, rules.drain_grace_ms, heartbeat_ms, max_interval_ms)


def list_follower_settings(node_config: NodeConfig) -> FollowerSettings:
    """Discovery is one service shared by all fronts where it is polled, and an agent of each front
    elsewhere."""
    service = ServiceKind.SHARED if node_config.facts.list_on_request else ServiceKind.OWN
    return replace(follower_settings(node_config, HEARTBEAT_MS), service_kind=service)


def server_restriction(server: ListedServer) -> Restriction:
    """How far sending to a listed server is restricted, by its status."""
    return RESTRICTIONS[server.entry.status]


def same_start(one: ListedServer, other: ListedServer) -> bool:
    """Whether two entries describe the same start of the same build."""
    return (one.entry.build, one.entry.started_at) == (other.entry.build, other.entry.started_at)


class ListFetched:
    """Result of requesting the whole list: the list of one source, or None and the reason."""

    __slots__ = ("error", "message")

    def __init__(self, message: ListMessage[ListedServer] | None, error: str = ""):
        self.message, self.error = message, error


class DiscoveryClient(FollowerActor):
    """Follows discovery's server list and keeps its latest state."""

    ACTOR_NAME = "roster"  # the actor's name in log events
    NAME, ENDED_COUNTER = "list", "watches_ended"
    MAX_LINE_BYTES = MAX_LIST_BYTES
    # Several whole lists at once, and each second a list or a change of a quarter of its servers one by one.
    LIMITS = StreamLimits(8 * MAX_LIST_BYTES, MAX_LIST_BYTES, MAX_SERVERS, MAX_SERVERS / 4)

    def __init__(
        self,
        node_config: NodeConfig,
        counters: Counters,
        log: Log,
        context: FollowerContext,
        memory: MemoryBudget | None = None,
    ):
        self.memory = memory or memory_budget(node_config)
        self.lease = ListLease(LeaseTerms.from_settings(node_config.facts))
        super().__init__(
            node_config.discovery, list_follower_settings(node_config), node_config, counters, log, context
        )
        self.stream_follower.lease = self.lease
        self.name_numbers = (node_config.zones, node_config.kinds)
        self.server_list: ServerList[ListedServer] = ServerList(server_restriction, same_start)
        self.server_list.load_initial(
            node_config.initial_list.version,
            {server.server_id: server for server in node_config.initial_list.servers},
        )
        self.fetch_backoff = CallBackoff(
            list_follower_settings(node_config), Random(node_config.seed + 1).random
        )
        self.sources: dict[int, int] = {}  # source of each open stream; entries are removed as streams end
        # reader of each open stream; entries are removed with ``sources``
        self.readers: dict[int, JsonObjectReader] = {}
        self.fetching = False

    @property
    def max_line_bytes(self) -> int:
        return min(self.MAX_LINE_BYTES, self.memory.limits.list_bytes)

    def open_stream(self, number: int) -> Stream:
        self.sources[number] = self.stream_follower.source
        return Stream(number, f"/api/targets?watch=1&after={self.server_list.version}", self)

    def decode_list(self, text: bytes, source: int) -> ListMessage[ListedServer]:
        """Decode a list in discovery's format. Raises one of ``DECODE_ERRORS`` if nothing in it can be
        decoded."""
        max_servers = self.memory.limits.servers
        check_size(text, OBJECTS_PER_SERVER * max_servers, VALUES_PER_SERVER * max_servers)
        data = json_object(text)
        servers, invalid_ids = listed_servers(data["instances"], *self.name_numbers)
        return ListMessage(
            source, non_negative_int(data["generation"]), bool(data["reset"]), servers, invalid_ids
        )

    def process_line(self, stream: Stream, line: bytes) -> None:
        if stream.number not in self.readers:
            self.readers[stream.number] = JsonObjectReader(LIST_KEY, self.max_line_bytes)
        object_text = self.readers[stream.number].feed(line)
        if object_text is None:
            return
        self.count_message()
        message = self.decode_list(object_text, self.sources[stream.number])
        if self.holds_too_many_with(message):
            raise ValueError(self.too_many_servers)
        watched = stream.has_delivered and self.stream_follower.freshness is interface.ListFreshness.FRESH
        change = self.server_list.apply_message(message, self.stream_follower.is_sole_source(stream.number))
        if message.source == self.server_list.source:
            self.received(stream, version=message.version, entries=len(message.entries))
        self.apply_change(change, watched)

    def holds_too_many_with(self, message: ListMessage[ListedServer]) -> bool:
        """Whether the front would hold more servers with this message than its memory allows."""
        max_servers = self.memory.limits.servers
        if message.whole:
            return len(message.entries) > max_servers
        held_back = self.server_list.held_back
        held_back_entries = held_back.entries if held_back is not None else {}
        if len(self.server_list.entries) + len(held_back_entries) + len(message.entries) <= max_servers:
            return False
        return len(self.server_list.entries | held_back_entries | message.entries) > max_servers

    @property
    def too_many_servers(self) -> str:
        """The reason for which a list is refused that holds too many servers."""
        return f"more than {self.memory.limits.servers} servers"

    def stream_gone(self, stream: Stream) -> None:
        source = self.sources.pop(stream.number, self.server_list.source)
        self.readers.pop(stream.number, None)
        if source in self.sources.values():
            return
        change = self.server_list.source_ended(source)
        self.apply_change(change)
        if change is not None:  # the list of the source behind it applies now
            for number in [
                held_number
                for held_number, held_source in self.sources.items()
                if held_source == self.server_list.source
            ]:
                self.execute(self.stream_follower.message_received(number, self.clock()))

    def freshness_changed(self, action: FreshnessChanged) -> None:
        super().freshness_changed(action)
        self.deliver(interface.ListFreshnessChanged(action.freshness, action.confirmed_at))

    def apply_change(self, change: ListChange[ListedServer] | None, watched: bool = False) -> None:
        """Deliver the changes of a list to the module, and request the whole list if the change requires
        it."""
        if change is None:
            return
        servers = list(change.entries.values())
        for server_id in change.blocked:
            # Guards against sending requests to a server whose latest entry could not be decoded.
            servers.append(self.server_list.entries[server_id].as_draining())
        if change.whole or servers:
            kind = interface.ListKind.WHOLE if change.whole else interface.ListKind.CHANGES
            self.deliver(ServerListing(self.server_list.version, kind, servers, watched and not change.whole))
            by_status = Counter(server.entry.status.name.lower() for server in servers)
            self.log("list applied", version=self.server_list.version, whole=change.whole, **by_status)
        if change.refetch_reason and not self.fetching:
            self.fetching = True
            pause_ms = self.fetch_backoff.next_pause_ms(None)
            self.log("list whole asked", why=change.refetch_reason, in_ms=round(pause_ms, 1))
            source = self.stream_follower.source
            gevent.spawn_later(pause_ms / 1000, lambda: self.post(self.fetch_list(source)))

    def fetch_list(self, source: int) -> ListFetched:
        """Request the whole list in a separate call."""
        # as long as one line of a watch
        sock, parser = None, http1.ResponseParser(max_body_bytes=self.max_line_bytes)
        self.counters.add("lists_fetched")
        try:
            with gevent.Timeout(FETCH_TIMEOUT_S, TimeoutError):
                sock = connect_by_name(self.address, CONNECT_TIMEOUT_S)
                socket_io.send(
                    sock, http1.request_parts("GET", "/api/targets", http1.host_header(self.address))
                )
                while not parser.complete:
                    data = socket_io.receive(sock)
                    if not data:
                        return ListFetched(None, "ended")
                    parser.feed(data)
                    current_turn().wait_if_over()
            if parser.response.status != 200:
                return ListFetched(None, f"status {parser.response.status}")
            return ListFetched(self.decode_list(b"".join(parser.response.body), source))
        except (OSError, http1.HttpError, *DECODE_ERRORS) as error:
            return ListFetched(None, f"{type(error).__name__}: {error}")
        finally:
            if sock is not None:
                sock.close()
            parser.close()

    def process_other(self, message: object) -> None:
        if not isinstance(message, ListFetched):
            return super().process_other(message)
        self.fetching = False
        if message.message is None:
            self.log("list whole missed", why=message.error)
            return self.apply_change(ListChange(False, {}, refetch_reason=message.error))
        if self.holds_too_many_with(message.message):
            self.log("list whole missed", why=self.too_many_servers)
            return None
        change = self.server_list.apply_fetched(message.message)
        if change is not None and not change.refetch_reason:
            self.fetch_backoff.failures = 0
        return self.apply_change(change)
