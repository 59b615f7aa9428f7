import gevent
import pytest
from conftest import build_told, read_req, silent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.net import door, reply
from myrtleroad.net.brain import Gone, Taken
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters

GOOD = b"GET /api HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Org: acme\r\nX-Remaining-Ms: 480\r\n\r\n"


def build_door(is_ready=True, sockets=1024):
    taken = SimpleQueue()
    told = build_told(limits={"sockets": sockets})
    d = door.Door(told, Clock(), Counters(), silent, taken.put, lambda: is_ready)
    gevent.spawn(d.run)
    return d, taken


def client(d):
    return socket.create_connection(d.sock.getsockname())


def status(sock):
    head, body = read_req(sock)
    return int(head.split()[1]), head, body


def test_a_req_is_taken_with_its_route_tenant_and_end():
    d, taken = build_door()
    before = d.clock()
    client(d).sendall(GOOD.replace(b"\r\n\r\n", b"\r\nX-Resent: 1\r\n\r\n"))
    rq = taken.get().rq
    assert (rq.route, rq.tenant, rq.key, rq.repeat) == (0, 0, None, True)
    assert before + 480 <= rq.ends_at <= d.clock() + 480


def test_answers_keep_the_connection_and_the_body():
    d, taken = build_door()
    sock = client(d)
    for come_back, line in ((0.0, None), (250.0, b"Retry-After: 0.250")):
        sock.sendall(GOOD)
        taken.get().answer(reply.shed(come_back))
        code, head, _ = status(sock)
        assert code == 503 and (line is None or line in head) and b"close" not in head
    sock.sendall(GOOD)
    answer = reply.Answer(200, [(b"Content-Type", b"a/b"), (b"X-Pressure", b"TEXT active=1")], [b"he", b"y"])
    taken.get().answer(reply.completed(answer))
    code, head, body = status(sock)
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
        (b"/api", b"/other", 404),
        (b"/api", b"/-/other", 404),
        (b"GET", b"OPTIONS", 405),
        (b"/api", b"/-/ready", 200),
    ],
)
def test_input_that_is_not_for_the_module_is_answered_here(was, becomes, code):
    d, taken = build_door()
    sock = client(d)
    sock.sendall(GOOD.replace(was, becomes))
    assert status(sock)[0] == code
    sock.sendall(GOOD)  # framing was kept, so the connection serves on
    assert isinstance(taken.get(), Taken)


@pytest.mark.parametrize(("data", "code"), [(b"nonsense\r\n\r\n", 400), (b"GET /" + b"a" * 20000, 431)])
def test_lost_framing_is_told_once_and_closes(data, code):
    d, _ = build_door()
    sock = client(d)
    sock.sendall(data)
    got, head, _ = status(sock)
    assert got == code and b"Connection: close" in head
    assert sock.recv(1) == b""


def test_a_client_that_leaves_is_seen_while_its_req_is_held():
    d, taken = build_door()
    sock = client(d)
    sock.sendall(GOOD)
    ident = taken.get().rq.ident
    sock.close()
    assert taken.get() == Gone(ident)
    assert not d.clients


def test_an_answer_after_the_client_left_harms_nothing():
    d, taken = build_door()
    sock = client(d)
    sock.sendall(GOOD)
    message = taken.get()
    sock.close()
    taken.get()
    message.answer(reply.errored())
    other = client(d)
    other.sendall(GOOD)
    assert isinstance(taken.get(), Taken)


def test_a_front_that_is_not_ready_says_so():
    d, _ = build_door(is_ready=False)
    sock = client(d)
    sock.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
    assert status(sock)[0] == 503


def test_idle_connections_give_way_where_descriptors_run_short():
    d, taken = build_door(sockets=70)  # three clients' worth
    idle, holding = client(d), client(d)
    holding.sendall(GOOD)
    held = taken.get()
    more = [client(d) for _ in range(2)]
    more[-1].sendall(GOOD)
    assert isinstance(taken.get(), Taken)
    assert idle.recv(1) == b""
    held.answer(reply.errored())
    assert status(holding)[0] == 502


def test_stopping_answers_what_is_held_and_closes_what_is_idle():
    d, taken = build_door()
    idle, holding, late = client(d), client(d), client(d)
    holding.sendall(GOOD)
    held = taken.get()
    d.stopping, at = True, d.sock.getsockname()
    late.sendall(GOOD)
    taken.get().answer(reply.shed(0.0))
    code, head, _ = status(late)
    assert code == 503 and b"Connection: close" in head
    d.shut()
    assert idle.recv(1) == b""
    held.answer(reply.errored())
    assert status(holding)[0] == 502
    with pytest.raises(ConnectionError):
        socket.create_connection(at)
