"""The loop is held, reqs and news come meanwhile, the loop goes on: what was told goes first."""

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

from myrtleroad import interface as i
from myrtleroad.net import dispatcher, front, upstream_server
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.http1 import Message
from myrtleroad.net.node_config import AddressChanged, server_listing
from myrtleroad.net.stream import StreamEnded

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CROWD = 150  # clients: more than the loop looks at in one turn


def chunk(text):
    return b"%x\r\n%b\r\n" % (len(text), text)


def read(sock):
    got = b""
    while True:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return got
        if not data:
            return got
        got += data


class Listener:
    """A peer that acts only when the test says so: it runs in no greenlet."""

    def __init__(self):
        self.sock = plain.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(512)
        self.sock.setblocking(False)
        self.at = self.sock.getsockname()
        self.conns = []

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            self.conns.append(sock)

    def take(self, group=1000):
        """Answer the reqs that have come, by groups of connections; how many there were."""
        self.accept()
        met = 0
        for at, sock in enumerate(self.conns):
            n = read(sock).count(b"X-Lane")
            sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" * n)
            met += n
            if at % group == group - 1:
                gevent.sleep(0.001)
        return met

    def opened(self):
        while not self.conns:
            gevent.sleep(0.001)
            self.accept()
        return self.conns[0]


class Held:
    """A front in this process, between peers that this test plays: while the test does not yield, the
    front's loop stands still and the system gathers what is written to it."""

    def __init__(self, **row):
        self.discovery, self.platform, self.first, self.second = (Listener() for _ in range(4))
        self.rows = [discovery_entry("s-1", self.first.at, **row)]
        told = build_node_config(*self.rows, discovery=self.discovery.at, platform=self.platform.at)
        self.front = front.Front(told, os.open(os.devnull, os.O_WRONLY))
        self.running = gevent.spawn(self.front.run)
        self.discovery.opened().send(HEAD + self.listing(8, reset=True))
        self.platform.opened().send(HEAD + chunk(stage_event()))
        while not self.front.is_ready():
            gevent.sleep(0.001)
        self.clients, self.number = [], 0

    def listing(self, version, *changes, reset=False):
        rows = [row | change for row, change in zip(self.rows, changes, strict=False)] or self.rows
        return chunk(orjson.dumps({"generation": version, "reset": reset, "instances": rows}) + b"\n")

    def connect(self, clients):
        at = self.front.client_listener.sock.getsockname()
        self.clients += [plain.create_connection(at) for _ in range(clients)]
        gevent.sleep(0.02)

    def ask(self, pause=False):
        """A req from each client, written while the loop stands still unless ``pause``."""
        for client in self.clients:
            self.number += 1
            client.send(
                b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: look\r\nX-Org: acme\r\n"
                b"X-Remaining-Ms: 1900\r\n\r\n" % self.number
            )
            if pause:
                gevent.sleep(0.0005)

    def answered(self):
        """Plays the machines until every client has its answer; tries met by the first, by the second."""
        left, met, got = set(self.clients), [0, 0], []
        for client in self.clients:
            client.setblocking(False)
        while left:
            gevent.sleep(0.001)
            met[0] += self.first.take()
            met[1] += self.second.take()
            for client in list(left):
                if answer := read(client):
                    got.append(answer[:12])
                    left.discard(client)
        return met, got

    def warm(self, clients):
        """As many connections to the first machine as clients, none of them new when the moment comes. All
        in small groups: a loop that has once seen a crowd in one turn looks at more sockets from then on."""
        self.connect(clients)
        self.ask(pause=True)
        met = 0
        while met < clients:
            gevent.sleep(0.002)
            met += self.first.take(group=20)
        gevent.sleep(0.02)
        assert self.answered() == ([0, 0], [b"HTTP/1.1 200"] * clients)


@pytest.fixture
def held():
    made = []

    def make(**row):
        made.append(Held(**row))
        return made[-1]

    yield make
    for h in made:
        h.running.kill()
        h.front.client_listener.sock.close()


@pytest.mark.parametrize("clients", [1, 60, CROWD])
def test_a_drain_told_behind_a_crowd_of_reqs_goes_before_them(held, clients):
    h = held()
    h.warm(clients)
    h.rows.append(discovery_entry("s-2", h.second.at))
    h.ask()
    h.discovery.conns[0].send(h.listing(9, {"lifecycle": "terminating"}, {}))
    met, got = h.answered()
    assert met[0] == 0 and met[1] > 0 and set(got) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}
    counts = h.front.counters.counts
    assert counts["lists"] == 2 and counts["faults"] == 0


def test_a_cap_that_falls_behind_a_crowd_of_reqs_goes_before_them(held):
    h = held(version_no=2)
    h.platform.conns[0].send(chunk(stage_event(Revision=2, State="trial", MaxShare=1.0)))
    gevent.sleep(0.02)
    h.warm(CROWD)
    h.ask()
    h.platform.conns[0].send(chunk(stage_event(Revision=2, State="rolling_back", MaxShare=0.0)))
    met, got = h.answered()
    assert met == [0, 0] and set(got) == {b"HTTP/1.1 503"}


def test_half_a_line_changes_nothing_and_its_rest_all(held):
    h = held()
    h.warm(CROWD)
    h.rows.append(discovery_entry("s-2", h.second.at))
    text = h.listing(9, {"lifecycle": "terminating"}, {})
    h.discovery.conns[0].send(text[:90])
    h.ask()
    met, _ = h.answered()
    assert met[0] > 0 and met[1] == 0
    h.ask()
    h.discovery.conns[0].send(text[90:])
    met, _ = h.answered()
    assert met[0] == 0 and met[1] > 0


def test_a_drain_and_the_end_of_the_watch_in_one_moment(held):
    h = held()
    h.warm(CROWD)
    h.rows.append(discovery_entry("s-2", h.second.at))
    h.ask()
    sock = h.discovery.conns[0]
    sock.send(h.listing(9, {"lifecycle": "terminating"}, {}) + chunk(b'{"gener'))
    sock.shutdown(socket.SHUT_RDWR)
    met, _ = h.answered()
    assert met[0] == 0 and h.front.counters.counts["watches_ended"] == 1


def reset(sock):
    """Ends the connection so that what the other side has not read yet is lost."""
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("line", ["whole", "half"])
def test_a_drain_lost_in_a_reset_is_had_again_within_the_window(held, line):
    h = held()
    h.warm(20)
    h.rows.append(discovery_entry("s-2", h.second.at))
    gevent.sleep(
        1.1 - (h.front.clock() - h.front.discovery.stream_follower.streams[0].first_message_at) / 1000
    )  # it stood
    sock, text = h.discovery.conns.pop(), h.listing(9, {"lifecycle": "terminating"}, {})
    sock.send(text if line == "whole" else text[:90])
    reset(sock)
    at = h.front.clock()
    again = h.discovery.opened()
    assert h.front.clock() - at < 100.0  # told counts from the lost write: 250 ms from it
    again.send(HEAD + text)
    gevent.sleep(0.02)
    h.ask()
    met, _ = h.answered()
    assert met[0] == 0 and met[1] > 0 and h.front.discovery.stream_follower.freshness == i.ListFreshness.FRESH


def test_a_loop_held_for_300_ms_takes_no_silence_for_the_other_sides(held):
    h = held()
    h.warm(CROWD)
    h.rows.append(discovery_entry("s-2", h.second.at))
    h.front.discovery.stream_follower.streams[0].last_received_at -= 4400.0  # almost two signs ago
    h.discovery.conns[0].send(h.listing(9, {"lifecycle": "terminating"}, {}))
    h.ask()
    time.sleep(0.3)
    met, _ = h.answered()
    assert met[0] == 0 and h.front.counters.counts["watches_ended"] == 0


def test_five_hundred_machines_drain_in_one_line_longer_than_a_read(held):
    h = held()
    h.warm(CROWD)
    h.rows += [discovery_entry(f"s-{n}", ("127.0.0.1", 9)) for n in range(10, 510)]
    h.rows.append(discovery_entry("s-2", h.second.at))
    gone = [{"lifecycle": "terminating"}] * 501 + [{}]
    text = h.listing(9, *gone)
    assert len(text) > 64 * 1024
    sock = h.discovery.conns[0]
    sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 1 << 20)
    assert sock.send(text) == len(text)
    h.ask()
    met, _ = h.answered()
    assert met[0] == 0 and met[1] > 0


def test_a_try_that_waits_for_its_connection_is_not_written_once_its_machine_drains(held, monkeypatch):
    h, go, waits = held(), Event(), []
    connect = upstream_server.UpstreamServer.connect

    def late(self, job):
        waits.append(job)
        go.wait()
        return connect(self, job)

    monkeypatch.setattr(upstream_server.UpstreamServer, "connect", late)
    h.connect(5)
    h.ask()
    while len(waits) < 5:
        gevent.sleep(0.001)
    h.rows.append(discovery_entry("s-2", h.second.at))
    h.discovery.conns[0].send(h.listing(9, {"lifecycle": "terminating"}, {}))
    gevent.sleep(0.3)  # past the drain window
    go.set()
    met, got = h.answered()
    assert met == [0, 5] and got == [b"HTTP/1.1 200"] * 5
    assert h.front.counters.counts["sends_stopped_by_list"] == 5


def test_what_comes_between_the_connection_and_the_first_byte_is_seen(held, monkeypatch):
    h = held()
    h.rows.append(discovery_entry("s-2", h.second.at))
    text, connect = h.listing(9, {"lifecycle": "terminating"}, {}), upstream_server.UpstreamServer.connect
    told_at = []

    def then_told(self, job):
        link = connect(self, job)
        if not told_at:  # from here to the first byte nobody else runs
            told_at.append(h.discovery.conns[0].send(text))
        return link

    monkeypatch.setattr(upstream_server.UpstreamServer, "connect", then_told)
    h.connect(1)
    h.ask()
    met, got = h.answered()
    assert met == [0, 1] and got == [b"HTTP/1.1 200"] and told_at == [len(text)]


def test_a_follower_whose_messages_another_takes_wakes_for_what_they_made_due(held):
    h = held()
    roster = h.front.discovery
    gevent.sleep(0.01)  # it sleeps until the next sign of life is late
    stream = roster.streams[0]
    roster.mailbox.put(StreamEnded(stream, "reset"))
    roster.process_mailbox()  # as the brain's look does
    at = h.front.clock()
    while len(h.discovery.conns) < 2:
        gevent.sleep(0.001)
        h.discovery.accept()
    assert h.front.clock() - at < 500.0


def test_a_machine_that_goes_and_returns_under_its_id_gets_nothing_meant_for_the_one_before(held):
    h = held()
    h.warm(CROWD)
    h.ask()
    text = b"".join(
        h.listing(9 + n, change)
        for n, change in enumerate(
            [{"lifecycle": "terminating"}, {"lifecycle": "terminated"}, {"version_no": 2, "startedAtMs": 5}]
        )
    )
    h.discovery.conns[0].send(text)
    met, _ = h.answered()
    known = next(iter(h.front.dispatcher.balancer.servers.values()))
    assert known.entry.build == 2 and met[0] <= 1 + 0.1 * h.number  # the first stage's cap


def test_a_thousand_reqs_in_the_mailbox_wait_behind_a_list():
    b = dispatcher.Dispatcher(
        build_node_config(discovery_entry("s-1", ("127.0.0.1", 9))), Clock(), Counters(), null_log
    )
    b.start()
    running = gevent.spawn(b.run)
    gevent.sleep(0.001)
    answers = []
    for n in range(1000):
        rq = i.Request(n, 0, 0, None, b.clock() + 1000.0, 0.0, False)
        b.mailbox.put(
            dispatcher.RequestReceived(
                rq, Message(first_values={b"x-txn": b"%d" % n}), b.clock(), answers.append
            )
        )
    m = {
        "generation": 8,
        "reset": False,
        "instances": [discovery_entry("s-1", ("127.0.0.1", 9), lifecycle="terminating")],
    }
    b.post_update(server_listing(m, {"here": 0}, {"small": 0}))
    gevent.sleep(0.001)
    while b.mailbox.qsize():
        gevent.sleep(0.001)
    assert b.counters.counts["tries"] == 0 and len(answers) == 1000
    running.kill()


def test_a_signal_between_a_reset_and_the_next_watch_moves_it_at_once(held):
    h, other = held(), Listener()
    h.warm(1)
    reset(h.discovery.conns.pop())
    h.front.discovery.post(AddressChanged(other.at))
    text = h.listing(3, reset=True)  # a numbering of its own
    other.opened().send(HEAD + text)
    h.rows.append(discovery_entry("s-2", h.second.at))
    gevent.sleep(0.02)
    other.conns[0].send(h.listing(4, {"lifecycle": "terminating"}, {}))
    gevent.sleep(0.02)
    h.ask()
    met, _ = h.answered()
    assert met == [0, 1] and h.front.discovery.server_list.version == 4
