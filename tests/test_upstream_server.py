"""The actor of an upstream server, against test doubles of the server."""

import errno

import gevent
import pytest
from conftest import Peer, build_node_config, read_request
from gevent.queue import SimpleQueue

from myrtleroad import interface
from myrtleroad.net import upstream_server
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.http1 import Message

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def build_server(address, preconditions_hold=lambda job: True, limit=100):
    results = SimpleQueue()
    args = (
        build_node_config(),
        Clock(),
        Counters(),
        upstream_server.ConnectionBudget(limit),
        results.put,
        preconditions_hold,
    )
    actor = upstream_server.UpstreamServer(address, *args)
    gevent.spawn(actor.run)
    return actor, results


def build_job(request_id=1, within_ms=2000.0):
    now = Clock()()
    message = Message(b"POST", b"/api", [(b"X-Txn", b"a%d" % request_id)], body=b"body")
    return upstream_server.AttemptJob(request_id, 0, 0, message, now, now + within_ms, ())


def run_attempt(actor, results, **changes):
    actor.mailbox.put(upstream_server.StartAttempt(build_job(**changes)))
    return results.get()


def answer_with(*responses):
    def handle_connection(sock):
        for answer in responses:
            read_request(sock)
            sock.sendall(answer)
        sock.recv(1)

    return handle_connection


def test_connection_is_reused_after_a_whole_response():
    peer = Peer(answer_with(OK, OK))
    actor, results = build_server(peer.address)
    for request_id in (1, 2):
        result = run_attempt(actor, results, request_id=request_id)
        assert result.outcome == interface.Outcome.COMPLETED and b"".join(result.result.body) == b"hi"
        gevent.sleep(0)
    assert peer.connections == 1


@pytest.mark.parametrize("cut", range(len(OK)))
def test_response_cut_anywhere_counts_as_possibly_executed(cut):
    def handle_connection(sock):
        read_request(sock)
        sock.sendall(OK[:cut])

    assert run_attempt(*build_server(Peer(handle_connection).address)).outcome == interface.Outcome.RESET


def test_refused_connection_counts_as_not_executed():
    peer = Peer()
    peer.sock.close()
    assert run_attempt(*build_server(peer.address)).outcome == interface.Outcome.NOT_CONNECTED


def test_missing_descriptor_is_not_the_servers_fault(monkeypatch):
    def none_left(*args):
        raise OSError(errno.EMFILE, "too many open files")

    actor, results = build_server(Peer(answer_with(OK)).address)
    monkeypatch.setattr(upstream_server.socket, "socket", none_left)
    assert run_attempt(actor, results).outcome == interface.Outcome.MOOT


def test_second_response_behind_the_first_is_discarded():
    peer = Peer(answer_with(OK + OK.replace(b"hi", b"no")), answer_with(OK))
    actor, results = build_server(peer.address)
    for request_id in (1, 2):
        result = run_attempt(actor, results, request_id=request_id)
        assert result.outcome == interface.Outcome.COMPLETED and b"".join(result.result.body) == b"hi"
        gevent.sleep(0)
    assert peer.connections == 2


def test_silence_times_out_and_a_late_response_is_discarded():
    may_answer = gevent.event.Event()

    def first(sock):
        read_request(sock)
        may_answer.wait()
        sock.sendall(OK.replace(b"hi", b"no"))

    peer = Peer(first, answer_with(OK))
    actor, results = build_server(peer.address)
    assert run_attempt(actor, results, within_ms=30.0).outcome == interface.Outcome.TIMEOUT
    may_answer.set()
    result = run_attempt(actor, results, request_id=2)
    assert result.outcome == interface.Outcome.COMPLETED and b"".join(result.result.body) == b"hi"
    assert peer.connections == 2


def test_connection_closed_while_idle_is_not_reused():
    def first(sock):
        read_request(sock)
        sock.sendall(OK)

    peer = Peer(first, answer_with(OK))
    actor, results = build_server(peer.address)
    assert run_attempt(actor, results).outcome == interface.Outcome.COMPLETED
    while not actor.idle_connections or not upstream_server.socket_io.is_stale(
        actor.idle_connections[-1].sock
    ):
        gevent.sleep(0.001)
    assert run_attempt(actor, results, request_id=2).outcome == interface.Outcome.COMPLETED
    assert peer.connections == 2


def test_server_that_drains_while_connecting_gets_no_request():
    # Guards the rules on drains and exposure: the connection is established between the decision and the
    # write.
    received = []

    def handle_connection(sock):
        received.append(sock.recv(100))

    actor, results = build_server(Peer(handle_connection).address, preconditions_hold=lambda job: False)
    assert run_attempt(actor, results).outcome == interface.Outcome.MOOT
    gevent.sleep(0)
    actor.mailbox.put(upstream_server.ServerRemoved())
    while not received:
        gevent.sleep(0.001)
    assert received == [b""]


def test_attempt_without_time_left_is_moot():
    assert run_attempt(*build_server(("127.0.0.1", 9)), within_ms=0.0).outcome == interface.Outcome.MOOT


def test_attempt_stopped_before_it_started_still_reports_its_end():
    actor, results = build_server(Peer(answer_with(OK)).address)
    actor.mailbox.put(upstream_server.StartAttempt(build_job()))
    actor.mailbox.put(upstream_server.StopAttempt(1, 0))
    assert results.get().outcome in (interface.Outcome.CANCELLED, interface.Outcome.NOT_CONNECTED)


def test_attempt_stopped_after_the_write_counts_as_possibly_executed():
    written = gevent.event.Event()

    def handle_connection(sock):
        read_request(sock)
        written.set()
        sock.recv(1)

    actor, results = build_server(Peer(handle_connection).address)
    actor.mailbox.put(upstream_server.StartAttempt(build_job()))
    written.wait()
    actor.mailbox.put(upstream_server.StopAttempt(1, 0))
    assert results.get().outcome == interface.Outcome.CANCELLED


def test_server_restart_drops_the_old_connections():
    peer = Peer(answer_with(OK, OK), answer_with(OK))
    actor, results = build_server(peer.address)
    run_attempt(actor, results)
    actor.mailbox.put(upstream_server.ServerAddressChanged(peer.address))
    run_attempt(actor, results, request_id=2)
    assert peer.connections == 2


def test_connections_above_the_budget_are_not_kept_idle():
    actor, results = build_server(Peer(answer_with(OK)).address, limit=0)
    assert run_attempt(actor, results).outcome == interface.Outcome.COMPLETED
    gevent.sleep(0)
    assert actor.idle_connections == [] and actor.budget.in_use == 0


def test_non_http_response_counts_as_possibly_executed():
    def handle_connection(sock):
        read_request(sock)
        sock.sendall(b"garbage\r\n\r\n")

    assert run_attempt(*build_server(Peer(handle_connection).address)).outcome == interface.Outcome.RESET
