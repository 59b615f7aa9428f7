"""Faults while a request is read, processed or answered; responses that are large, late or invalid."""

import gc

import gevent
import pytest
from conftest import discovery_entry
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
from test_admission import enqueue_requests, send_and_block_loop
from test_client_listener import VALID_REQUEST, connect, read_status, start_listener
from test_front import (
    SERVER_ADDRESS,
    all_requests_accounted,
    build_dispatcher,
    end_attempt,
    started_jobs,
    submit_request,
)

from myrtleroad import interface
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.net import dispatcher, response, upstream_server
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse


def test_a_request_without_an_outcome_is_answered_with_502_at_its_deadline():
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    responses, other_responses = (
        submit_request(dispatcher_actor, 1, within_ms=20.0),
        submit_request(dispatcher_actor, 2, within_ms=900.0),
    )
    dispatcher_actor.expire_requests(dispatcher_actor.clock())
    assert not responses
    dispatcher_actor.next_expiry_check = 0.0
    dispatcher_actor.expire_requests(dispatcher_actor.clock() + 20.0 + dispatcher.DEADLINE_SLACK_MS + 1)
    assert [final.status for final in responses] == [502] and not other_responses
    assert dispatcher_actor.counters.counts["reqs_expired"] == 1 and all_requests_accounted(dispatcher_actor)
    late_job, _ = started_jobs(dispatcher_actor)
    end_attempt(dispatcher_actor, late_job, UpstreamResponse(200, [], [b"late"]), interface.Outcome.COMPLETED)
    assert len(responses) == 1 and all_requests_accounted(dispatcher_actor)


def test_the_dispatcher_yields_to_other_greenlets_while_it_processes_its_mailbox(monkeypatch):
    monkeypatch.setattr(dispatcher, "YIELD_AFTER_MS", 0.0)
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    enqueue_requests(dispatcher_actor, 500)
    running = gevent.spawn(dispatcher_actor.run)
    yield_count = 0
    while dispatcher_actor.mailbox.qsize():
        gevent.sleep(0)
        yield_count += 1
    running.kill()
    assert yield_count > 10


@pytest.mark.parametrize("outcome", [interface.Outcome.COMPLETED, interface.Outcome.RESET])
def test_a_fault_in_handling_an_outcome_fails_that_request_at_once_and_no_other(monkeypatch, outcome):
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    responses, other_responses = submit_request(dispatcher_actor, 1), submit_request(dispatcher_actor, 2)
    job, _ = started_jobs(dispatcher_actor)
    monkeypatch.setattr(dispatcher_actor, "load_report", lambda message: 1 / 0)
    result = (
        UpstreamResponse(200)
        if outcome == interface.Outcome.COMPLETED
        else ExchangeFailure(ExchangeProgress.WRITTEN, FailureCause.ENDED)
    )
    dispatcher_actor.ended_attempts.append(upstream_server.AttemptResult(job, outcome, 5.0, result))
    dispatcher_actor.process_ended_attempts()
    assert [final.status for final in responses] == [502] and not other_responses
    assert dispatcher_actor.counters.counts["faults"] == 1 and all_requests_accounted(dispatcher_actor)


def test_a_request_that_the_dispatcher_fails_to_process_gets_a_502_at_once(monkeypatch):
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    monkeypatch.setattr(dispatcher_actor, "record_delay", lambda *args: 1 / 0)
    responses = []
    request, message = (
        interface.Request(1, 0, 0, None, dispatcher_actor.clock() + 900.0, 0.0, False),
        dispatcher.Message(first_values={b"x-txn": b"1"}),
    )
    dispatcher_actor.handle(
        dispatcher.RequestReceived(request, message, dispatcher_actor.clock(), responses.append)
    )
    assert [final.status for final in responses] == [502] and not dispatcher_actor.open_requests


def test_a_fault_in_reading_a_connection_does_not_lose_the_response_to_its_open_request(monkeypatch):
    listener, received = start_listener()
    sock = connect(listener)
    sock.sendall(VALID_REQUEST)
    message = received.get()
    (connection,) = listener.connections
    monkeypatch.setattr(type(connection), "wait_for_response", lambda self: 1 / 0)
    sock.sendall(b"more")
    while not listener.counters.counts["faults"]:
        gevent.sleep(0.001)
    message.respond(response.bad_gateway())
    assert read_status(sock)[0] == 502 and received.empty()


def test_a_second_response_to_the_same_request_is_not_written():
    listener, received = start_listener()
    sock = connect(listener)
    sock.sendall(VALID_REQUEST)
    message = received.get()
    message.respond(response.bad_gateway())
    message.respond(response.shed(0.0))
    assert read_status(sock)[0] == 502
    sock.settimeout(0.02)
    with pytest.raises(socket.timeout):
        sock.recv(1)


@given(st.lists(st.tuples(st.floats(0.0, 400.0), st.floats(0.0, 30.0)), max_size=60))
def test_only_requests_of_a_standing_queue_are_shed(requests):
    """Each pair is a read delay and the time since the request before, in ms; the target is 50 ms."""
    admission, now, above_since = AdmissionControl([500.0]), 0.0, None
    for read_delay_ms, step_ms in requests:
        now += step_ms
        above_since = None if read_delay_ms <= 50.0 else now if above_since is None else above_since
        decision = admission.decide(read_delay_ms, 1000.0, now)
        assert (decision == AdmissionDecision.STANDING) == (
            above_since is not None and now - above_since >= 100.0
        )


@pytest.fixture
def frozen_heap():
    """As in a front after its start: a full collection does not trace what was there before."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


@pytest.mark.usefixtures("frozen_heap")
def test_a_standing_queue_of_30_connections_is_shed_and_requests_are_admitted_after_it():
    listener, received = start_listener()
    listener.admission.target_ms = 10.0
    socks = [connect(listener) for _ in range(30)]
    gevent.sleep(0.01)
    admitted = 0
    for _ in range(3):
        send_and_block_loop(listener, socks, 30.0)
        gevent.sleep(0.005)
        while received.qsize():
            received.get().respond(response.shed(0.0))
            admitted += 1
        assert {read_status(sock)[0] for sock in socks} == {503}
    assert admitted == 30 and listener.counters.counts["reqs_unread_standing"] == 60
    gevent.sleep(0.02)
    socks[0].sendall(VALID_REQUEST)
    assert received.get().read_delay_ms < 10.0


def test_a_request_that_waited_too_long_in_the_mailbox_is_shed_before_dispatch(monkeypatch):
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    responses = []
    request, message = (
        interface.Request(1, 0, 0, None, dispatcher_actor.clock() + 30.0, 0.0, False),
        dispatcher.Message(first_values={b"x-txn": b"1"}),
    )
    dispatcher_actor.handle(
        dispatcher.RequestReceived(request, message, dispatcher_actor.clock() - 40.0, responses.append, 20.0)
    )
    assert not responses  # it has time left, and a single delay isn't a standing queue
    dispatcher_actor.admission.above_target_since = dispatcher_actor.clock() - 1000.0
    dispatcher_actor.handle(
        dispatcher.RequestReceived(request, message, dispatcher_actor.clock() - 70.0, responses.append, 20.0)
    )
    assert [final.status for final in responses] == [503] and (
        dispatcher_actor.counters.counts["reqs_waited_standing"] == 1
    )
    assert dispatcher_actor.counters.counts["reqs_taken"] == 1 and all_requests_accounted(dispatcher_actor)


def test_a_response_larger_than_the_socket_buffers_reaches_a_slow_reader_in_full():
    listener, received = start_listener()
    sock = connect(listener)
    sock.sendall(VALID_REQUEST)
    message = received.get()
    (connection,) = listener.connections
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    body = b"x" * 400_000
    message.respond(response.completed(UpstreamResponse(200, [], [body])))
    assert connection.write_started_at is not None
    code, _, received_body = read_status(sock)
    assert code == 200 and received_body == body


def test_a_response_that_cannot_be_built_becomes_a_502_that_closes_the_connection(monkeypatch):
    listener, received = start_listener()
    sock = connect(listener)
    sock.sendall(VALID_REQUEST)
    final = response.completed(UpstreamResponse(200))
    monkeypatch.setattr(final, "status", 9999)
    received.get().respond(final)
    assert read_status(sock)[0] == 502 and listener.counters.counts["faults"] == 1
    assert sock.recv(1) == b""
    while listener.connections:
        gevent.sleep(0.001)
