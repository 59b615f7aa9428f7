"""Stand-in for discovery: one service of fixed capacity for all fronts, with a port for each front.

Calls are queued and served in order. A call that has waited for ``queue_timeout_s`` fails with 503, and so
does a call that would have to wait longer (protocol specification and test bench specification)."""

import contextlib
from collections import deque
from dataclasses import dataclass
from time import monotonic

import gevent
import orjson
from gevent import socket
from gevent.event import Event

from soak.http_wire import (
    STREAM_RESPONSE_HEAD,
    ConnectionEnded,
    MessageReader,
    address_of,
    encode_chunk,
    open_listener,
    reset_connection,
    response,
)
from soak.records import ListDelivery, Records, ServerChange, TimeSpan
from soak.servers import Server

HEARTBEAT_INTERVAL_S = 2.0  # of the empty line sent on each watch
TARGETS_PATH = "/api/targets"


@dataclass(slots=True)
class DiscoveryCall:
    """A queued call of a front for the server list or for a watch."""

    front: str
    sock: socket.socket
    after_version: int  # -1 asks for the whole list
    is_watch: bool
    finished: bool = False  # responded to or timed out


@dataclass(slots=True)
class WatchStream:
    """An open watch of a front."""

    front: str
    sock: socket.socket
    version: int  # the latest version sent, -1 before the first
    silent: bool = False  # nothing more is sent, heartbeats included


class Discovery:
    """The discovery service.

    It serves one call in ``call_duration_s`` and delays the rejection of a call by ``rejection_cost_s``."""

    def __init__(
        self, host: str, servers: dict[str, Server], records: Records, call_duration_s: float = 0.005
    ):
        self.host, self.servers, self.records = host, servers, records
        self.call_duration_s, self.rejection_cost_s, self.queue_timeout_s = call_duration_s, 0.0, 2.0
        self.version = 1
        self.lifecycles = dict.fromkeys(servers, "in_service")
        self.changed_in_version = dict.fromkeys(servers, 1)  # version of the latest change of each server
        self.down_since: float | None = None
        self.indented_json, self.push_delay_s = False, 0.0
        self.queue: deque[DiscoveryCall] = deque()  # emptied by ``serve_queue``
        self.queue_filled = Event()
        self.watches: list[WatchStream] = []  # each is removed when it ends
        self.listeners: dict[str, socket.socket] = {}
        self.sent_list_bytes = 0  # bytes of server lists sent on watches
        self.crowded_until = 0.0  # until this time the queue counts as filled by calls of other clients
        for name in servers:
            self.record_change(name)
        self.workers = [gevent.spawn(self.serve_queue), gevent.spawn(self.send_heartbeats)]

    # --- changes of servers ---

    def record_change(self, name: str) -> None:
        """Records the entry that a server has from now on."""
        server = self.servers[name]
        lifecycle, at = self.lifecycles[name], monotonic()
        change = ServerChange(self.version, at, name, lifecycle, server.build, server.started_ms)
        self.records.changes.append(change)

    def set_lifecycle(self, lifecycle: str, *names: str) -> None:
        """Makes a new version in which these servers have this lifecycle."""
        self.version += 1
        for name in names:
            self.lifecycles[name], self.changed_in_version[name] = lifecycle, self.version
            self.record_change(name)
        gevent.spawn_later(self.push_delay_s, self.push)

    def push(self) -> None:
        """Sends the changes on all watches."""
        if self.down_since is not None:
            return
        for watch in list(self.watches):
            self.write_list(watch)

    def server_entry(self, name: str) -> dict[str, object]:
        """Returns the server entry of the protocol for one server."""
        server = self.servers[name]
        return {
            "instanceId": name,
            "hostPort": server.address,
            "zone": "here",
            "machineType": "small",
            "cell": 0,
            "lifecycle": self.lifecycles[name],
            "weight": 1.0,
            "startedAtMs": server.started_ms,
            "version_no": server.build,
        }

    def list_document(self, after_version: int | None) -> dict[str, object]:
        """Returns the changes after a version, or the whole list without terminated servers for None."""
        if after_version is None or after_version > self.version:
            names = [name for name, lifecycle in self.lifecycles.items() if lifecycle != "terminated"]
            return {
                "generation": self.version,
                "reset": True,
                "instances": [self.server_entry(name) for name in names],
            }
        names = [name for name, version in self.changed_in_version.items() if version > after_version]
        return {
            "generation": self.version,
            "reset": False,
            "instances": [self.server_entry(name) for name in names],
        }

    def list_line(self, after_version: int | None) -> bytes:
        """Returns the list document as JSON with a line feed at its end."""
        option = orjson.OPT_INDENT_2 if self.indented_json else None
        return orjson.dumps(self.list_document(after_version), option=option) + b"\n"

    # --- faults ---

    def fill_queue(self, seconds: float) -> None:
        """Treats the queue as filled by calls of other clients for this long, so that calls are rejected."""
        self.crowded_until = monotonic() + seconds

    def go_down(self) -> None:
        """Stops the service: resets all watches; from now on calls only time out."""
        self.down_since = monotonic()
        for watch in self.watches:
            reset_connection(watch.sock)
        self.watches = []

    def recover(self) -> None:
        """Ends an outage and records its span."""
        if self.down_since is not None:
            self.records.unreachable.append(TimeSpan(self.down_since, monotonic()))
        self.down_since = None

    def silence_watches(self) -> None:
        """Sends nothing more on the watches that are open now, but keeps their connections."""
        for watch in self.watches:
            watch.silent = True

    def reset_watches(self) -> None:
        """Resets the connections of all watches."""
        for watch in self.watches:
            reset_connection(watch.sock)
        self.watches = []

    # --- serving ---

    def new_address(self, front: str) -> str:
        """Returns the address at which this front reaches discovery from now on."""
        sock = open_listener(self.host)
        previous = self.listeners.get(front)
        self.listeners[front] = sock
        gevent.spawn(self.accept_connections, front, sock)
        if previous is not None:
            gevent.spawn_later(1.5, previous.close)
        return address_of(sock)

    def accept_connections(self, front: str, listener: socket.socket) -> None:
        """Accepts connections of one front until the listener closes."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            gevent.spawn(self.read_call, front, sock)

    def read_call(self, front: str, sock: socket.socket) -> None:
        """Reads the call of a connection and queues or rejects it."""
        try:
            target = MessageReader(sock, monotonic).read_message().start_line[1]
        except (ConnectionEnded, OSError):
            sock.close()
            return
        path, _, query = target.partition("?")
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&"))
        if path != TARGETS_PATH:
            sock.sendall(response(404))
            return
        call = DiscoveryCall(front, sock, int(parameters.get("after", "-1")), "watch" in parameters)
        if self.queue_full():
            gevent.sleep(self.rejection_cost_s)
            self.reject(call)
            return
        self.queue.append(call)
        self.queue_filled.set()
        gevent.spawn_later(self.queue_timeout_s, self.time_out, call)

    def queue_full(self) -> bool:
        """Returns whether a new call would wait longer than ``queue_timeout_s``."""
        return (
            len(self.queue) * self.call_duration_s > self.queue_timeout_s or monotonic() < self.crowded_until
        )

    def time_out(self, call: DiscoveryCall) -> None:
        """Rejects a call that is still queued."""
        if not call.finished:
            self.reject(call)

    def reject(self, call: DiscoveryCall) -> None:
        """Responds with 503 and closes the connection."""
        with contextlib.suppress(OSError):
            call.sock.sendall(response(503, Connection="close"))
        call.sock.close()
        call.finished = True

    def serve_queue(self) -> None:
        """Serves queued calls one after the other."""
        while True:
            while not self.queue:
                self.queue_filled.clear()
                self.queue_filled.wait()
            if self.down_since is not None:
                self.queue.clear()
                continue
            # A call takes its time even after its caller has gone, as the service doesn't notice that.
            gevent.sleep(self.call_duration_s)
            if self.queue and not self.queue[0].finished:
                self.serve_call(self.queue[0])
            if self.queue:
                self.queue.popleft()

    def serve_call(self, call: DiscoveryCall) -> None:
        """Responds with the whole list, or opens a watch."""
        call.finished = True
        after_version = call.after_version if 0 <= call.after_version <= self.version else None
        try:
            if not call.is_watch:
                call.sock.sendall(response(200, self.list_line(None)))
                call.sock.close()
                self.records.written.append(ListDelivery(call.front, monotonic(), self.version))
                return
            call.sock.sendall(STREAM_RESPONSE_HEAD)
            watch = WatchStream(call.front, call.sock, -1 if after_version is None else after_version)
            self.watches.append(watch)
            self.write_list(watch, first=True)
        except OSError:
            call.sock.close()

    def write_list(self, watch: WatchStream, first: bool = False) -> None:
        """Sends the changes that a watch hasn't received; a new watch gets a list even without changes."""
        if watch.silent or (watch.version >= self.version and not first):
            return
        line = self.list_line(None if watch.version < 0 else watch.version)
        try:
            watch.sock.settimeout(1.0)
            watch.sock.sendall(encode_chunk(line))
            self.sent_list_bytes += len(line)
        except OSError:
            self.close_watch(watch)
            return
        watch.version = self.version
        self.records.written.append(ListDelivery(watch.front, monotonic(), self.version))

    def close_watch(self, watch: WatchStream) -> None:
        """Closes the connection of a watch."""
        watch.sock.close()
        if watch in self.watches:
            self.watches.remove(watch)

    def send_heartbeats(self) -> None:
        """Sends an empty line on every watch, over and over."""
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                if watch.silent:
                    continue
                try:
                    watch.sock.sendall(encode_chunk(b"\n"))
                except OSError:
                    self.close_watch(watch)

    def close(self) -> None:
        """Closes all watches and listeners."""
        for worker in self.workers:
            worker.kill()
        for sock in self.listeners.values():
            sock.close()
        self.reset_watches()
