"""The event loop is held while requests, lists and stage updates arrive: updates must apply before requests.

Guards against requests sent to servers whose drain, or to builds whose lower cap, the front had already
received.
"""

import os
import socket as plain
import struct
import time

import gevent
import orjson
import pytest
from conftest import build_node_config, discovery_entry, null_log, stage_event
from gevent import socket
from gevent.event import Event

from myrtleroad import interface
from myrtleroad.net import dispatcher, front, upstream_server
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.http1 import Message
from myrtleroad.net.node_config import AddressChanged, server_listing
from myrtleroad.net.stream import StreamEnded

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MANY_CLIENTS = 150  # clients: more than the loop reads in one turn


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def read_available(sock):
    received = b""
    while True:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return received
        if not data:
            return received
        received += data


class Listener:
    """A peer that acts only when the test calls it: it runs in no greenlet."""

    def __init__(self):
        self.sock = plain.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(512)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.connections = []

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            self.connections.append(sock)

    def answer_requests(self, group_size=1000):
        """Answer the requests received so far, by groups of connections; returns their number."""
        self.accept()
        request_count = 0
        for index, sock in enumerate(self.connections):
            requests = read_available(sock).count(b"X-Lane")
            sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" * requests)
            request_count += requests
            if index % group_size == group_size - 1:
                gevent.sleep(0.001)
        return request_count

    def first_connection(self):
        while not self.connections:
            gevent.sleep(0.001)
            self.accept()
        return self.connections[0]


class HeldFront:
    """A front in this process between peers that the test operates. While the test does not yield, the
    front's event loop stands still and the system buffers what is written to it."""

    def __init__(self, **changes):
        self.discovery, self.platform, self.first_server, self.second_server = (Listener() for _ in range(4))
        self.entries = [discovery_entry("s-1", self.first_server.address, **changes)]
        config = build_node_config(
            *self.entries, discovery=self.discovery.address, platform=self.platform.address
        )
        self.front = front.Front(config, os.open(os.devnull, os.O_WRONLY))
        self.running = gevent.spawn(self.front.run)
        self.discovery.first_connection().send(STREAM_HEAD + self.list_chunk(8, reset=True))
        self.platform.first_connection().send(STREAM_HEAD + chunk(stage_event()))
        while not self.front.is_ready():
            gevent.sleep(0.001)
        self.clients, self.request_count = [], 0

    def list_chunk(self, version, *changes, reset=False):
        entries = [
            entry | change for entry, change in zip(self.entries, changes, strict=False)
        ] or self.entries
        return chunk(orjson.dumps({"generation": version, "reset": reset, "instances": entries}) + b"\n")

    def connect(self, count):
        address = self.front.client_listener.sock.getsockname()
        self.clients += [plain.create_connection(address) for _ in range(count)]
        gevent.sleep(0.02)

    def send_requests(self, pause=False):
        """Send a request from each client, while the loop stands still unless ``pause``."""
        for client in self.clients:
            self.request_count += 1
            client.send(
                b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: look\r\nX-Org: acme\r\n"
                b"X-Remaining-Ms: 1900\r\n\r\n" % self.request_count
            )
            if pause:
                gevent.sleep(0.0005)

    def collect_responses(self):
        """Operate the servers until every client has its response; returns the attempts of both, and the
        status lines."""
        waiting, attempts, status_lines = set(self.clients), [0, 0], []
        for client in self.clients:
            client.setblocking(False)
        while waiting:
            gevent.sleep(0.001)
            attempts[0] += self.first_server.answer_requests()
            attempts[1] += self.second_server.answer_requests()
            for client in list(waiting):
                if response := read_available(client):
                    status_lines.append(response[:12])
                    waiting.discard(client)
        return attempts, status_lines

    def open_connections(self, count):
        """Open as many connections to the first server as clients, so that none is new later. All in small
        groups: a loop that has once read many sockets in one turn reads more of them from then on."""
        self.connect(count)
        self.send_requests(pause=True)
        request_count = 0
        while request_count < count:
            gevent.sleep(0.002)
            request_count += self.first_server.answer_requests(group_size=20)
        gevent.sleep(0.02)
        assert self.collect_responses() == ([0, 0], [b"HTTP/1.1 200"] * count)


@pytest.fixture
def start_front():
    setups = []

    def make(**changes):
        setups.append(HeldFront(**changes))
        return setups[-1]

    yield make
    for setup in setups:
        setup.running.kill()
        setup.front.client_listener.sock.close()


@pytest.mark.parametrize("clients", [1, 60, MANY_CLIENTS])
def test_drain_received_behind_many_requests_applies_before_them(start_front, clients):
    front_setup = start_front()
    front_setup.open_connections(clients)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    front_setup.send_requests()
    front_setup.discovery.connections[0].send(front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}))
    attempts, responses = front_setup.collect_responses()
    assert attempts[0] == 0 and attempts[1] > 0 and set(responses) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
    counts = front_setup.front.counters.counts
    assert counts["lists"] == 2 and counts["faults"] == 0


def test_cap_lowered_behind_many_requests_applies_before_them(start_front):
    front_setup = start_front(version_no=2)
    front_setup.platform.connections[0].send(chunk(stage_event(Revision=2, State="trial", MaxShare=1.0)))
    gevent.sleep(0.02)
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.send_requests()
    front_setup.platform.connections[0].send(
        chunk(stage_event(Revision=2, State="rolling_back", MaxShare=0.0))
    )
    attempts, responses = front_setup.collect_responses()
    assert attempts == [0, 0] and set(responses) == {b"HTTP/1.1 503"}


def test_half_a_line_changes_nothing_and_its_rest_all(start_front):
    front_setup = start_front()
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    text = front_setup.list_chunk(9, {"lifecycle": "terminating"}, {})
    front_setup.discovery.connections[0].send(text[:90])
    front_setup.send_requests()
    attempts, _ = front_setup.collect_responses()
    assert attempts[0] > 0 and attempts[1] == 0
    front_setup.send_requests()
    front_setup.discovery.connections[0].send(text[90:])
    attempts, _ = front_setup.collect_responses()
    assert attempts[0] == 0 and attempts[1] > 0


def test_drain_and_the_end_of_the_watch_at_the_same_moment(start_front):
    front_setup = start_front()
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    front_setup.send_requests()
    sock = front_setup.discovery.connections[0]
    sock.send(front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}) + chunk(b'{"gener'))
    sock.shutdown(socket.SHUT_RDWR)
    attempts, _ = front_setup.collect_responses()
    assert attempts[0] == 0 and front_setup.front.counters.counts["watches_ended"] == 1


def reset(sock):
    """End a connection so that data not yet read by the other side is lost."""
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("line", ["whole", "half"])
def test_drain_lost_in_a_reset_is_received_again_within_the_window(start_front, line):
    front_setup = start_front()
    front_setup.open_connections(20)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    # the stream was open for long enough
    gevent.sleep(
        1.1
        - (
            front_setup.front.clock()
            - front_setup.front.discovery.stream_follower.streams[0].first_message_at
        )
        / 1000
    )
    sock, text = (
        front_setup.discovery.connections.pop(),
        front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}),
    )
    sock.send(text if line == "whole" else text[:90])
    reset(sock)
    reset_at = front_setup.front.clock()
    second_connection = front_setup.discovery.first_connection()
    assert front_setup.front.clock() - reset_at < 100.0  # the window of 250 ms starts at the lost write
    second_connection.send(STREAM_HEAD + text)
    gevent.sleep(0.02)
    front_setup.send_requests()
    attempts, _ = front_setup.collect_responses()
    assert (
        attempts[0] == 0
        and attempts[1] > 0
        and front_setup.front.discovery.stream_follower.freshness == interface.ListFreshness.FRESH
    )


def test_300_ms_pause_of_the_front_is_not_taken_for_silence_of_discovery(start_front):
    front_setup = start_front()
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    # almost two heartbeats ago
    front_setup.front.discovery.stream_follower.streams[0].last_received_at -= 4400.0
    front_setup.discovery.connections[0].send(front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}))
    front_setup.send_requests()
    time.sleep(0.3)
    attempts, _ = front_setup.collect_responses()
    assert attempts[0] == 0 and front_setup.front.counters.counts["watches_ended"] == 0


def test_five_hundred_drains_on_one_line_longer_than_a_read_apply_at_once(start_front):
    front_setup = start_front()
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.entries += [discovery_entry(f"s-{number}", ("127.0.0.1", 9)) for number in range(10, 510)]
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    changes = [{"lifecycle": "terminating"}] * 501 + [{}]
    text = front_setup.list_chunk(9, *changes)
    assert len(text) > 64 * 1024
    sock = front_setup.discovery.connections[0]
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 1 << 20)
    assert sock.send(text) == len(text)
    front_setup.send_requests()
    attempts, _ = front_setup.collect_responses()
    assert attempts[0] == 0 and attempts[1] > 0


def test_attempt_that_waits_for_its_connection_is_not_written_once_its_server_drains(
    start_front, monkeypatch
):
    front_setup, may_connect, waiting = start_front(), Event(), []
    connect = upstream_server.UpstreamServer.connect

    def delayed_connect(self, job):
        waiting.append(job)
        may_connect.wait()
        return connect(self, job)

    monkeypatch.setattr(upstream_server.UpstreamServer, "connect", delayed_connect)
    front_setup.connect(5)
    front_setup.send_requests()
    while len(waiting) < 5:
        gevent.sleep(0.001)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    front_setup.discovery.connections[0].send(front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}))
    gevent.sleep(0.3)  # past the drain window
    may_connect.set()
    attempts, responses = front_setup.collect_responses()
    assert attempts == [0, 5] and responses == [b"HTTP/1.1 200"] * 5
    assert front_setup.front.counters.counts["sends_stopped_by_list"] == 5


def test_drain_between_the_connection_and_the_first_byte_is_seen(start_front, monkeypatch):
    front_setup = start_front()
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    text, connect = (
        front_setup.list_chunk(9, {"lifecycle": "terminating"}, {}),
        upstream_server.UpstreamServer.connect,
    )
    sent_sizes = []

    def connect_then_drain(self, job):
        connection = connect(self, job)
        if not sent_sizes:  # no other greenlet runs from here to the first byte
            sent_sizes.append(front_setup.discovery.connections[0].send(text))
        return connection

    monkeypatch.setattr(upstream_server.UpstreamServer, "connect", connect_then_drain)
    front_setup.connect(1)
    front_setup.send_requests()
    attempts, responses = front_setup.collect_responses()
    assert attempts == [0, 1] and responses == [b"HTTP/1.1 200"] and sent_sizes == [len(text)]


def test_follower_wakes_for_deadlines_set_by_messages_that_others_process(start_front):
    front_setup = start_front()
    client = front_setup.front.discovery
    gevent.sleep(0.01)  # it sleeps until the next heartbeat is late
    stream = client.streams[0]
    client.mailbox.put(StreamEnded(stream, "reset"))
    client.process_mailbox()  # as the dispatcher does
    ended_at = front_setup.front.clock()
    while len(front_setup.discovery.connections) < 2:
        gevent.sleep(0.001)
        front_setup.discovery.accept()
    assert front_setup.front.clock() - ended_at < 500.0


def test_server_restarted_under_the_same_id_gets_no_attempts_meant_for_its_previous_start(start_front):
    front_setup = start_front()
    front_setup.open_connections(MANY_CLIENTS)
    front_setup.send_requests()
    text = b"".join(
        front_setup.list_chunk(9 + number, change)
        for number, change in enumerate(
            [{"lifecycle": "terminating"}, {"lifecycle": "terminated"}, {"version_no": 2, "startedAtMs": 5}]
        )
    )
    front_setup.discovery.connections[0].send(text)
    attempts, _ = front_setup.collect_responses()
    server = next(iter(front_setup.front.dispatcher.balancer.servers.values()))
    # the cap of the first stage
    assert server.entry.build == 2 and attempts[0] <= 1 + 0.1 * front_setup.request_count


def test_list_is_processed_before_a_thousand_requests_in_the_mailbox():
    dispatcher_actor = dispatcher.Dispatcher(
        build_node_config(discovery_entry("s-1", ("127.0.0.1", 9))), Clock(), Counters(), null_log
    )
    dispatcher_actor.start()
    running = gevent.spawn(dispatcher_actor.run)
    gevent.sleep(0.001)
    answers = []
    for number in range(1000):
        request = interface.Request(number, 0, 0, None, dispatcher_actor.clock() + 1000.0, 0.0, False)
        dispatcher_actor.mailbox.put(
            dispatcher.RequestReceived(
                request,
                Message(first_values={b"x-txn": b"%d" % number}),
                dispatcher_actor.clock(),
                answers.append,
            )
        )
    data = {
        "generation": 8,
        "reset": False,
        "instances": [discovery_entry("s-1", ("127.0.0.1", 9), lifecycle="terminating")],
    }
    dispatcher_actor.post_update(server_listing(data, {"here": 0}, {"small": 0}))
    gevent.sleep(0.001)
    while dispatcher_actor.mailbox.qsize():
        gevent.sleep(0.001)
    assert dispatcher_actor.counters.counts["tries"] == 0 and len(answers) == 1000
    running.kill()


def test_address_change_between_a_reset_and_the_next_watch_applies_at_once(start_front):
    front_setup, new_discovery = start_front(), Listener()
    front_setup.open_connections(1)
    reset(front_setup.discovery.connections.pop())
    front_setup.front.discovery.post(AddressChanged(new_discovery.address))
    text = front_setup.list_chunk(3, reset=True)  # a numbering of its own
    new_discovery.first_connection().send(STREAM_HEAD + text)
    front_setup.entries.append(discovery_entry("s-2", front_setup.second_server.address))
    gevent.sleep(0.02)
    new_discovery.connections[0].send(front_setup.list_chunk(4, {"lifecycle": "terminating"}, {}))
    gevent.sleep(0.02)
    front_setup.send_requests()
    attempts, _ = front_setup.collect_responses()
    assert attempts == [0, 1] and front_setup.front.discovery.server_list.version == 4
