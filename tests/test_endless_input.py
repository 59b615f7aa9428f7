"""Peers that send without end, at least as fast as their bytes are parsed: nobody else may wait for them."""

import itertools
import time

import gevent
import pytest
from gevent import socket
from test_client_listener import VALID_REQUEST, connect, read_status, start_listener
from test_upstream_server import build_job, build_server

from myrtleroad import interface
from myrtleroad.net import http1, response, upstream_server
from myrtleroad.net.client_connection import ClientConnection
from myrtleroad.net.loop_turn import MAX_TURN_S, LoopTurn

CHUNKED = b"\r\nTransfer-Encoding: chunked\r\n\r\n"
POST_HEAD = VALID_REQUEST.replace(b"GET", b"POST").replace(b"look", b"book").replace(b"\r\n\r\n", CHUNKED)
RESPONSE_HEAD = b"HTTP/1.1 200 OK" + CHUNKED
ENDLESS_FRAMING = [
    pytest.param(b"1\r\na\r\n0\r\n", b"a: b\r\n", id="trailer lines"),
    pytest.param(b"1\r\na\r\n0\r\na: ", b"bbbb", id="one trailer line"),
    pytest.param(b"", b"0000", id="digits of a chunk size"),
    pytest.param(b"1;e=", b"ffff", id="a chunk extension"),
]
FRAMING_LIMIT = 64 * 1024  # several times a head; a peer needs far less for what a body holds


class EndlessSocket:
    """A socket on which every read finds bytes at once: ``beginning``, then ``repeated`` without end. Fails
    after ``limit`` bytes."""

    def __init__(self, beginning, repeated, limit=8_000_000):
        self.unread, self.repeated, self.limit = beginning, repeated, limit
        self.received, self.sent = 0, b""
        self.closed = False

    def recv_into(self, buffer, size=0):
        if self.closed:
            return 0
        size = size or len(buffer)
        while len(self.unread) < size:
            self.unread += self.repeated * 1000
        buffer[:size] = self.unread[:size]
        self.unread = self.unread[size:]
        self.received += size
        assert self.received <= self.limit, "read on without an end"
        return size

    def recv(self, size, flags=0):
        return self.repeated[:size]

    def sendmsg(self, parts, *args):
        self.sent += b"".join(parts)
        return sum(map(len, parts))

    def gettimeout(self):
        return None

    def settimeout(self, timeout_s):
        pass

    def setsockopt(self, *args):
        pass

    def getsockopt(self, *args):
        raise OSError

    def shutdown(self, how):
        pass

    def fileno(self):
        return -1

    def close(self):
        self.closed = True


def latest_timer_s(until, interval_s=0.002):
    """By how much the latest timer came late, from now until ``until()`` holds."""
    latest_s = 0.0
    while not until():
        due_at = time.monotonic() + interval_s
        gevent.sleep(interval_s)
        latest_s = max(latest_s, time.monotonic() - due_at)
    return latest_s


@pytest.mark.parametrize(("beginning", "repeated"), ENDLESS_FRAMING)
@pytest.mark.parametrize("cut", [1, 7, 16 * 1024])
def test_endless_framing_of_a_request_body_is_rejected(beginning, repeated, cut):
    # Guards against review case 1: header lines without end after the last chunk, read for ever.
    parser = http1.RequestParser()
    data = memoryview(POST_HEAD + beginning + repeated * (FRAMING_LIMIT // len(repeated)))
    with pytest.raises(http1.HttpError) as error:
        for position in range(0, len(data), cut):
            parser.feed(data[position : position + cut])
    assert 400 <= error.value.status < 500


@pytest.mark.parametrize(("beginning", "repeated"), ENDLESS_FRAMING)
def test_endless_framing_of_a_response_body_is_rejected(beginning, repeated):
    # Guards against the same in a server's answer, a list and a vote's answer.
    parser = http1.ResponseParser()
    data = memoryview(RESPONSE_HEAD + beginning + repeated * (FRAMING_LIMIT // len(repeated)))
    with pytest.raises(http1.HttpError):
        for position in range(0, len(data), 1000):
            parser.feed(data[position : position + 1000])


@pytest.mark.parametrize("parser", [http1.RequestParser(), http1.ResponseParser()])
def test_a_whole_body_in_chunks_of_one_byte_with_short_extensions_is_accepted(parser):
    # Guards usual peers: the framing that chunks need is no excess, however many they are.
    head = POST_HEAD if isinstance(parser, http1.RequestParser) else RESPONSE_HEAD
    trailers = b"X-Checksum: 0123456789abcdef\r\n" * 100
    data = memoryview(head + b"1;a=b\r\nx\r\n" * http1.MAX_BODY_BYTES + b"0\r\n" + trailers + b"\r\n")
    for position in range(0, len(data), 1000):
        parser.feed(data[position : position + 1000])
    assert parser.complete


@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        *(pytest.param(POST_HEAD + case.values[0], case.values[1], id=case.id) for case in ENDLESS_FRAMING),
        pytest.param(b"", VALID_REQUEST.replace(b"/api", b"/other"), id="requests that the listener answers"),
    ],
)
def test_a_client_that_sends_at_full_speed_does_not_stop_the_others(beginning, repeated):
    # Guards against review case 1: a client whose bytes are always there kept the only thread.
    listener, received = start_listener()
    bad = EndlessSocket(beginning, repeated, limit=20_000_000)
    connection = ClientConnection(listener, bad)
    listener.connections.add(connection)
    reader = gevent.spawn(connection.run)
    usual = connect(listener)
    usual.sendall(VALID_REQUEST)
    message = received.get(timeout=1.0)
    message.respond(response.shed(0.0))
    assert read_status(usual)[0] == 503
    while not bad.sent:
        gevent.sleep(0.001)
    assert bad.sent.startswith(b"HTTP/1.1 4")
    bad.closed = True
    reader.join(1.0)
    assert reader.dead


def test_a_server_that_sends_at_full_speed_does_not_stop_the_others():
    # Guards against the same at a server: its answer kept the thread for as long as the request had.
    actor, results = build_server(("127.0.0.1", 9))
    bad = EndlessSocket(RESPONSE_HEAD, b"1\r\na\r\n", limit=20_000_000)
    connection = upstream_server.Connection(bad, 0, actor.budget, 0.0)
    connection.parser.max_body_bytes = 10**12  # no limit of its own ends this answer
    actor.idle_connections.append(connection)
    actor.is_usable = lambda connection: True
    actor.mailbox.put(upstream_server.StartAttempt(build_job(within_ms=300.0)))
    late_s = latest_timer_s(lambda: results.qsize() > 0)
    assert results.get().outcome == interface.Outcome.TIMEOUT and late_s < 0.1


def test_a_request_overdue_is_rejected_though_more_bytes_wait_unread(monkeypatch):
    # Guards against review case 1: no 408 for a client that always has bytes unread.
    listener, _ = start_listener()
    bad = EndlessSocket(b"", b"a")
    connection = ClientConnection(listener, bad)
    connection.parser.feed(VALID_REQUEST[:30])
    now = connection.timed_from + 2600.0
    connection.check_timeouts(now)
    assert not bad.sent  # what waits may be the rest, as after a pause of this process
    connection.check_timeouts(now + 200.0)
    assert bad.sent.startswith(b"HTTP/1.1 408")


class EndlessListener:
    """A listening socket on which every accept finds a silent client at once. Fails after ``limit``."""

    def __init__(self, limit=400):
        self.limit, self.clients = limit, []

    def accept(self):
        assert len(self.clients) < self.limit, "accepted on without an end"
        client, accepted = socket.socketpair()
        self.clients.append(client)
        return accepted, ("127.0.0.1", 9)


def test_connections_that_come_without_end_do_not_stop_the_others():
    # Guards against the review's "silent clients that connect again as soon as they are closed": accepting
    # and closing them went on without a turn of the event loop.
    listener, _ = start_listener(sockets=100)
    wake = connect(listener)
    gevent.sleep(0.01)
    real, listener.sock = listener.sock, EndlessListener()
    connect_again = socket.create_connection(real.getsockname())
    counts = [0]
    while counts[-1] < 300:
        gevent.sleep(0.001)
        counts.append(len(listener.sock.clients))
    assert max(later - earlier for earlier, later in itertools.pairwise(counts)) <= 64
    wake.close()
    connect_again.close()


def test_hundreds_of_long_requests_at_once_do_not_have_the_others_shed():
    # Guards usual clients beside review case 3: while 150 long requests were read, a piece of each in every
    # turn of the event loop, others waited for so long that admission control shed them.
    listener, received = start_listener()
    sockets = [EndlessSocket(POST_HEAD, b"2\r\nab\r\n") for _ in range(150)]
    connections = [ClientConnection(listener, sock) for sock in sockets]
    listener.connections.update(connections)
    readers = [gevent.spawn(connection.run) for connection in connections]
    usual = connect(listener)
    for _ in range(20):
        usual.sendall(VALID_REQUEST)
        message = received.get(timeout=1.0)
        assert message.read_delay_ms < listener.admission.target_ms
        message.respond(response.shed(0.0))
        read_status(usual)
        gevent.sleep(0.02)
    for sock in sockets:
        sock.close()
    gevent.joinall(readers)


def test_empty_lines_before_a_request_are_parsed_in_one_piece():
    # Guards against empty lines at full speed: each two of them were parsed as a head of their own.
    parser = http1.RequestParser()
    pieces, parse = [], parser.parser.feed_data

    class CountingParser:
        def feed_data(self, data):
            pieces.append(len(data))
            parse(data)

        def __getattr__(self, name):
            return getattr(real, name)

    real, parser.parser = parser.parser, CountingParser()
    parser.feed(memoryview(b"\r\n" * 4000))
    assert len(pieces) == 1 and not parser.complete
    parser.feed(memoryview(VALID_REQUEST))
    assert parser.complete and parser.take_message().header(b"x-txn") == b"1"


def test_readers_of_long_input_take_turns_in_their_order():
    # Guards usual clients with long requests: a reader that slept longer the more waited could be overtaken
    # for more than a second.
    turn, order = LoopTurn(), []

    def read(name, for_client):
        for _ in range(3):
            turn.wait_if_over(for_client)
            order.append(name)
            time.sleep(MAX_TURN_S * 1.2)

    time.sleep(MAX_TURN_S * 1.2)
    gevent.joinall([gevent.spawn(read, name, name != "server") for name in ("a", "b", "c", "server")])
    assert order.index("server") <= 1  # the first reader may begin in a turn that is not over
    for end in range(len(order)):
        pieces = [order[: end + 1].count(name) for name in "abc"]
        assert max(pieces) - min(pieces) <= 2


def test_a_reader_that_is_killed_while_it_waits_keeps_nobody_back():
    # Guards the order against connections that are closed in the middle.
    turn, went_on = LoopTurn(), []
    time.sleep(MAX_TURN_S * 1.2)
    first = gevent.spawn(turn.wait_if_over, True)
    second = gevent.spawn(lambda: (turn.wait_if_over(True), went_on.append(1)))
    gevent.sleep(0)
    first.kill()
    second.join(1.0)
    assert went_on and not turn.client_readers
