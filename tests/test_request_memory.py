"""The memory of requests: of one in many small pieces, and of all connections together."""

import gc
import tracemalloc
import weakref

import gevent
import pytest
from conftest import Peer, read_request
from gevent import socket
from test_client_listener import VALID_REQUEST, read_status, start_listener
from test_endless_input import POST_HEAD
from test_peers import CHUNKED
from test_upstream_server import build_server, run_attempt

from myrtleroad import interface
from myrtleroad.admission.request_memory import RequestMemory
from myrtleroad.net import http1, response

LONG_BODY = b"2\r\nab\r\n" * 30_000  # 60,000 bytes in chunks of two


def memory_of(feed):
    """The bytes that a call leaves allocated."""
    tracemalloc.start()
    kept = feed()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return allocated


def fed(parser, data):
    for position in range(0, len(data), 4096):
        parser.feed(memoryview(data)[position : position + 4096])
    return parser


def test_a_body_in_small_chunks_takes_no_more_memory_than_its_bytes():
    # Guards against review case 3: an object for each chunk of two bytes took 20 times their memory.
    assert memory_of(lambda: fed(http1.RequestParser(), POST_HEAD + LONG_BODY)) < 2 * 60_000


def test_a_head_has_a_hundred_lines_at_most():
    # Guards against review case 3 in its first form: short header lines took ten times their bytes.
    lines = [b"a: b\r\n"] * (http1.MAX_HEADER_LINES - VALID_REQUEST.count(b": "))
    assert fed(http1.RequestParser(), VALID_REQUEST[:-2] + b"".join(lines) + b"\r\n").complete
    with pytest.raises(http1.HttpError) as error:
        fed(http1.RequestParser(), VALID_REQUEST[:-2] + b"".join(lines) + b"a: b\r\n\r\n")
    assert error.value.status == 431


def test_memory_of_a_head_is_counted_with_its_objects():
    def head():
        return fed(http1.RequestParser(), VALID_REQUEST[:-2] + b"abcd: efgh\r\n" * 90)

    assert memory_of(head) < head().held_bytes


def stop_in_a_body(listener, count):
    """Clients that stop in the middle of a long body."""
    clients = [socket.create_connection(listener.sock.getsockname()) for _ in range(count)]
    for client in clients:
        client.sendall(POST_HEAD + LONG_BODY)
    return clients


def test_clients_that_stop_in_the_middle_hold_no_more_together_than_the_limit():
    # Guards against review case 3: each request was within its limit, nothing limited all of them together.
    listener, received = start_listener()
    listener.request_memory.limit_bytes = 500_000
    usual = socket.create_connection(listener.sock.getsockname())
    usual.sendall(VALID_REQUEST[:40])
    stopped = stop_in_a_body(listener, 30)
    while listener.counters.counts.get("reqs_over_memory", 0) < 30 - 500_000 // 60_000:
        assert listener.request_memory.total_bytes <= 500_000
        gevent.sleep(0.001)
    usual.sendall(VALID_REQUEST[40:])
    received.get().respond(response.shed(0.0))
    assert read_status(usual)[0] == 503  # the smallest of them, though the first, was kept
    for client in stopped:
        client.close()


def test_whole_requests_beyond_the_limit_are_shed_with_an_answer():
    # Guards against memory of open requests without a bound, and against a request lost for lack of it.
    listener, received = start_listener()
    listener.request_memory.limit_bytes = 100_000
    body = b"\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
    text = VALID_REQUEST.replace(b"GET", b"POST").replace(b"look", b"book").replace(b"\r\n\r\n", body)
    first, second = (socket.create_connection(listener.sock.getsockname()) for _ in range(2))
    first.sendall(text)
    message = received.get()
    second.sendall(text)
    code, head, _ = read_status(second)
    assert code == 503 and b"Retry-After" in head
    message.respond(response.bad_gateway())
    assert read_status(first)[0] == 502 and listener.request_memory.total_bytes == 0


def test_what_is_evicted_is_the_largest_received_in_part():
    memory = RequestMemory(100)
    assert memory.hold_partial("small", 10) == [] and memory.hold_partial("large", 60) == []
    assert memory.hold_complete("whole", 50) == ["large"]
    assert memory.hold_complete("other", 60) == ["small", "other"] and memory.total_bytes == 50
    memory.release("whole")
    assert memory.hold_partial("alone", 101) == ["alone"] and memory.total_bytes == 0


@pytest.fixture
def no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def test_a_client_connection_that_has_ended_is_not_left_to_the_garbage_collector(no_garbage_collection):
    # Guards against crowds that connect again and again: what each left behind stayed for long.
    listener, _ = start_listener()
    client = socket.create_connection(listener.sock.getsockname())
    client.sendall(POST_HEAD)
    while not listener.connections:
        gevent.sleep(0.001)
    (connection,) = listener.connections
    parser = weakref.ref(connection.parser)
    del connection
    client.close()
    while listener.connections:
        gevent.sleep(0.001)
    gevent.sleep(0.01)
    assert parser() is None


def test_a_server_connection_that_was_closed_is_not_left_to_the_garbage_collector(no_garbage_collection):
    # Guards against the same for responses, with bodies of 64 KiB that are cut off.
    def cut_off(sock):
        read_request(sock)
        sock.sendall(CHUNKED + LONG_BODY)

    def connect(job):
        connection = connect_to_server(job)
        parsers.append(weakref.ref(connection.parser))
        return connection

    actor, results = build_server(Peer(cut_off).address)
    parsers, connect_to_server, actor.connect = [], actor.connect, connect
    assert run_attempt(actor, results).outcome == interface.Outcome.RESET
    gevent.sleep(0.01)
    assert parsers[0]() is None
