import gevent
import pytest
from conftest import build_node_config, null_log, read_request
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.net import client_listener, response
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.dispatcher import ClientGone, RequestReceived

VALID_REQUEST = (
    b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Org: acme\r\nX-Remaining-Ms: 480\r\n\r\n"
)


def start_listener(is_ready=True, sockets=1024):
    taken = SimpleQueue()
    told = build_node_config(limits={"sockets": sockets})
    d = client_listener.ClientListener(told, Clock(), Counters(), null_log, taken.put, lambda: is_ready)
    gevent.spawn(d.run)
    return d, taken


def connect(d):
    return socket.create_connection(d.sock.getsockname())


def read_status(sock):
    head, body = read_request(sock)
    return int(head.split()[1]), head, body


def test_a_req_is_taken_with_its_route_tenant_and_end():
    d, taken = start_listener()
    before = d.clock()
    connect(d).sendall(VALID_REQUEST.replace(b"\r\n\r\n", b"\r\nX-Resent: 1\r\n\r\n"))
    rq = taken.get().request
    assert (rq.route, rq.tenant, rq.dedup_key, rq.is_repeat) == (0, 0, None, True)
    assert before + 480 <= rq.deadline <= d.clock() + 480


def test_answers_keep_the_connection_and_the_body():
    d, taken = start_listener()
    sock = connect(d)
    for come_back, line in ((0.0, None), (250.0, b"Retry-After: 0.250")):
        sock.sendall(VALID_REQUEST)
        taken.get().respond(response.shed(come_back))
        code, head, _ = read_status(sock)
        assert code == 503 and (line is None or line in head) and b"close" not in head
    sock.sendall(VALID_REQUEST)
    answer = response.UpstreamResponse(
        200, [(b"Content-Type", b"a/b"), (b"X-Pressure", b"TEXT active=1")], [b"he", b"y"]
    )
    taken.get().respond(response.completed(answer))
    code, head, body = read_status(sock)
    assert (code, body) == (200, b"hey") and b"a/b" in head and b"Pressure" not in head


@pytest.mark.parametrize(
    ("was", "becomes", "code"),
    [
        (b"X-Lane: look", b"X-Lane: other", 400),
        (b"X-Lane: look\r\n", b"", 400),
        (b"X-Org: acme", b"X-Org: other", 400),
        (b"X-Txn: 1\r\n", b"", 400),
        (b"480", b"soon", 400),
        (b"480", b"-1", 400),
        (b"480", b"9" * 5000, 400),
        (b"X-Remaining-Ms: 480\r\n", b"", 400),
        (b"X-Txn: 1", b"X-Txn: 1\r\nX-Txn: 2", 400),
        (b"X-Txn: 1", b"X-Txn: a b", 400),
        (b"X-Txn: 1", b"X-Txn: " + b"1" * 200, 400),
        (b"X-Lane: look", b"X-Lane: look\r\nX-Lane: book", 400),
        (b"X-Lane: look", b"X-Lane: book", 400),  # which is no GET
        (b"GET", b"POST", 400),
        (b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nhi", 400),  # a GET has no body here
        (b"Host: h\r\n", b"", 400),
        (b"/api", b"/other", 404),
        (b"/api", b"/-/other", 404),
        (b"GET", b"OPTIONS", 405),
        (b"/api", b"/-/ready", 200),
    ],
)
def test_input_that_is_not_for_the_module_is_answered_here(was, becomes, code):
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST.replace(was, becomes))
    assert read_status(sock)[0] == code
    sock.sendall(VALID_REQUEST)  # framing was kept, so the connection serves on
    assert isinstance(taken.get(), RequestReceived)


@pytest.mark.parametrize(("data", "code"), [(b"nonsense\r\n\r\n", 400), (b"GET /" + b"a" * 20000, 431)])
def test_lost_framing_is_told_once_and_closes(data, code):
    d, _ = start_listener()
    sock = connect(d)
    sock.sendall(data)
    got, head, _ = read_status(sock)
    assert got == code and b"Connection: close" in head
    assert sock.recv(1) == b""


def test_a_client_that_leaves_is_seen_while_its_req_is_held():
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    ident = taken.get().request.id
    sock.close()
    assert taken.get() == ClientGone(ident)
    assert not d.connections


def test_an_answer_after_the_client_left_harms_nothing():
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    message = taken.get()
    sock.close()
    taken.get()
    message.respond(response.bad_gateway())
    other = connect(d)
    other.sendall(VALID_REQUEST)
    assert isinstance(taken.get(), RequestReceived)


def test_a_front_that_is_not_ready_says_so():
    d, _ = start_listener(is_ready=False)
    sock = connect(d)
    sock.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
    assert read_status(sock)[0] == 503


def test_idle_connections_give_way_where_descriptors_run_short():
    d, taken = start_listener(sockets=30)  # three clients' worth
    idle, holding = connect(d), connect(d)
    holding.sendall(VALID_REQUEST)
    held = taken.get()
    more = [connect(d) for _ in range(2)]
    more[-1].sendall(VALID_REQUEST)
    assert isinstance(taken.get(), RequestReceived)
    assert idle.recv(1) == b""
    held.respond(response.bad_gateway())
    assert read_status(holding)[0] == 502


def test_reqs_behind_one_another_are_served_one_at_a_time_in_order():
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST * 200)
    for _ in range(200):
        message = taken.get()
        gevent.sleep(0)
        assert taken.empty()
        message.respond(response.shed(0.0))
        assert read_status(sock)[0] == 503


def test_a_client_that_leaves_with_reqs_behind_its_own_is_seen(monkeypatch):
    monkeypatch.setattr(client_listener, "LOOK_S", 0.001)
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST * 2)
    ident = taken.get().request.id
    sock.close()
    assert taken.get() == ClientGone(ident) and not d.connections


@pytest.mark.parametrize(
    ("data", "code"), [(b"", None), (VALID_REQUEST[:30], 408), (VALID_REQUEST[:-2], 408)]
)
def test_a_connection_that_asks_nothing_whole_ends_in_time(monkeypatch, data, code):
    for name, value in (("IDLE_MS", 20.0), ("WHOLE_MS", 30.0), ("SWEEP_S", 0.005), ("LINGER_MS", 20.0)):
        monkeypatch.setattr(client_listener, name, value)
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(data)
    if code:
        assert read_status(sock)[0] == code
    assert sock.recv(1) == b""
    while d.connections:
        gevent.sleep(0.001)
    assert taken.empty()


def test_a_held_req_outlasts_the_limits_of_idle_connections(monkeypatch):
    for name, value in (("IDLE_MS", 5.0), ("WHOLE_MS", 5.0), ("SWEEP_S", 0.002)):
        monkeypatch.setattr(client_listener, name, value)
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    message = taken.get()
    gevent.sleep(0.03)
    message.respond(response.bad_gateway())
    assert read_status(sock)[0] == 502


def test_a_body_too_long_is_told_at_once_and_not_read_for_long():
    d, taken = start_listener()
    sock = connect(d)
    sock.sendall(
        VALID_REQUEST.replace(b"GET", b"POST").replace(b"\r\n\r\n", b"\r\nContent-Length: 60000000\r\n\r\n")
    )
    assert read_status(sock)[0] == 413
    with pytest.raises(OSError):
        for _ in range(1000):
            sock.sendall(b"x" * 60000)
    assert taken.empty()


def test_a_client_that_waits_to_be_told_is_told_to_go_on():
    d, taken = start_listener()
    sock = connect(d)
    waits = b"\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    sock.sendall(VALID_REQUEST.replace(b"GET", b"POST").replace(b"look", b"book").replace(b"\r\n\r\n", waits))
    assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"hi")
    assert taken.get().message.body == b"hi"


def test_silent_connections_by_hundreds_do_not_keep_others_out():
    d, taken = start_listener(sockets=40)  # eight clients' worth
    silent_ones = [connect(d) for _ in range(60)]
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    taken.get().respond(response.shed(0.0))
    assert read_status(sock)[0] == 503 and len(d.connections) <= 8 and len(silent_ones) == 60


def test_where_connections_are_many_an_answer_is_the_last_of_its_own():
    d, taken = start_listener(sockets=100)
    few = connect(d)
    few.sendall(VALID_REQUEST)
    taken.get().respond(response.shed(0.0))
    assert b"Connection: close" not in read_status(few)[1]
    held = [connect(d) for _ in range(26)]
    few.sendall(VALID_REQUEST)
    message = taken.get()
    while len(d.connections) < 27:
        gevent.sleep(0.001)
    message.respond(response.shed(0.0))
    code, head, _ = read_status(few)
    assert code == 503 and b"Connection: close" in head and len(held) == 26
    assert few.recv(1) == b""


def test_stopping_answers_what_is_held_and_closes_what_is_idle():
    d, taken = start_listener()
    idle, holding, late = connect(d), connect(d), connect(d)
    holding.sendall(VALID_REQUEST)
    held = taken.get()
    d.stopping, at = True, d.sock.getsockname()
    late.sendall(VALID_REQUEST)
    taken.get().respond(response.shed(0.0))
    code, head, _ = read_status(late)
    assert code == 503 and b"Connection: close" in head
    d.stop_listening(d.clock())
    assert idle.recv(1) == b""
    held.respond(response.bad_gateway())
    assert read_status(holding)[0] == 502
    with pytest.raises(ConnectionError):
        socket.create_connection(at)
