"""Faults as a request is read, taken, ended or answered; answers that are long, late or cannot be made."""

import gevent
import pytest
from conftest import discovery_entry
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
from test_answers import flood, held_loop
from test_client_listener import VALID_REQUEST, connect, read_status, start_listener
from test_front import AT, all_requests_accounted, build_dispatcher, end_attempt, started_jobs, submit_request

from myrtleroad import interface as i
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.net import dispatcher, response, upstream_server
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse


def test_a_req_that_nothing_ends_is_answered_as_failed_at_its_time():
    b = build_dispatcher(discovery_entry("s-1", AT))
    answers, others = submit_request(b, 1, within=20.0), submit_request(b, 2, within=900.0)
    b.expire_requests(b.clock())
    assert not answers
    b.next_expiry_check = 0.0
    b.expire_requests(b.clock() + 20.0 + dispatcher.DEADLINE_SLACK_MS + 1)
    assert [a.status for a in answers] == [502] and not others
    assert b.counters.counts["reqs_expired"] == 1 and all_requests_accounted(b)
    late, _ = started_jobs(b)
    end_attempt(b, late, UpstreamResponse(200, [], [b"late"]), i.Outcome.COMPLETED)
    assert len(answers) == 1 and all_requests_accounted(b)


def test_a_mailbox_worked_off_lets_others_have_their_turn(monkeypatch):
    monkeypatch.setattr(dispatcher, "YIELD_AFTER_MS", 0.0)
    b = build_dispatcher(discovery_entry("s-1", AT))
    flood(b, 500)
    runs = gevent.spawn(b.run)
    turns = 0
    while b.mailbox.qsize():
        gevent.sleep(0)
        turns += 1
    runs.kill()
    assert turns > 10


@pytest.mark.parametrize("end", [i.Outcome.COMPLETED, i.Outcome.RESET])
def test_a_fault_at_an_ending_answers_its_req_at_once_and_no_other(monkeypatch, end):
    b = build_dispatcher(discovery_entry("s-1", AT))
    answers, others = submit_request(b, 1), submit_request(b, 2)
    job, _ = started_jobs(b)
    monkeypatch.setattr(b, "load_report", lambda message: 1 / 0)
    result = (
        UpstreamResponse(200)
        if end == i.Outcome.COMPLETED
        else ExchangeFailure(ExchangeProgress.WRITTEN, FailureCause.ENDED)
    )
    b.ended_attempts.append(upstream_server.AttemptResult(job, end, 5.0, result))
    b.process_ended_attempts()
    assert [a.status for a in answers] == [502] and not others
    assert b.counters.counts["faults"] == 1 and all_requests_accounted(b)


def test_a_fault_as_a_req_is_taken_answers_it_at_once(monkeypatch):
    b = build_dispatcher(discovery_entry("s-1", AT))
    monkeypatch.setattr(b, "record_delay", lambda *args: 1 / 0)
    answers = []
    rq, message = (
        i.Request(1, 0, 0, None, b.clock() + 900.0, 0.0, False),
        dispatcher.Message(first_values={b"x-txn": b"1"}),
    )
    b.handle(dispatcher.RequestReceived(rq, message, b.clock(), answers.append))
    assert [a.status for a in answers] == [502] and not b.open_requests


def test_a_fault_in_a_reader_leaves_the_held_req_its_answer(monkeypatch):
    d, waiting = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    message = waiting.get()
    (held,) = d.connections
    monkeypatch.setattr(type(held), "wait_for_response", lambda self: 1 / 0)
    sock.sendall(b"more")
    while not d.counters.counts["faults"]:
        gevent.sleep(0.001)
    message.respond(response.bad_gateway())
    assert read_status(sock)[0] == 502 and waiting.empty()


def test_a_second_answer_to_one_req_is_not_written():
    d, waiting = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    message = waiting.get()
    message.respond(response.bad_gateway())
    message.respond(response.shed(0.0))
    assert read_status(sock)[0] == 502
    sock.settimeout(0.02)
    with pytest.raises(socket.timeout):
        sock.recv(1)


@given(st.lists(st.tuples(st.floats(0.0, 400.0), st.floats(0.0, 30.0)), max_size=60))
def test_none_is_refused_whose_wait_is_short_and_none_of_a_short_spell(waits):
    entry, now, since = AdmissionControl([500.0]), 0.0, None
    for age, step in waits:
        now += step
        since = None if age <= 50.0 else now if since is None else since
        word = entry.decide(age, 1000.0, now)
        assert (word == AdmissionDecision.STANDING) == (since is not None and now - since >= 100.0)


def test_a_crowd_that_waits_is_refused_and_the_front_serves_again_after_it():
    d, waiting = start_listener()
    d.admission.target_ms = 10.0
    socks = [connect(d) for _ in range(30)]
    gevent.sleep(0.01)
    took = 0
    for _ in range(3):
        held_loop(d, socks, 30.0)
        gevent.sleep(0.005)
        while waiting.qsize():
            waiting.get().respond(response.shed(0.0))
            took += 1
        assert {read_status(sock)[0] for sock in socks} == {503}
    assert took == 30 and d.counters.counts["reqs_unread_standing"] == 60
    gevent.sleep(0.02)
    socks[0].sendall(VALID_REQUEST)
    assert waiting.get().read_delay_ms < 10.0


def test_a_req_that_waited_in_our_own_mailbox_is_refused_before_the_module_sees_it(monkeypatch):
    b = build_dispatcher(discovery_entry("s-1", AT))
    answers = []
    rq, message = (
        i.Request(1, 0, 0, None, b.clock() + 30.0, 0.0, False),
        dispatcher.Message(first_values={b"x-txn": b"1"}),
    )
    b.handle(dispatcher.RequestReceived(rq, message, b.clock() - 40.0, answers.append, 20.0))
    assert not answers  # it has time left, and one wait is no standing queue
    b.admission.above_target_since = b.clock() - 1000.0
    b.handle(dispatcher.RequestReceived(rq, message, b.clock() - 70.0, answers.append, 20.0))
    assert [a.status for a in answers] == [503] and b.counters.counts["reqs_waited_standing"] == 1
    assert b.counters.counts["reqs_taken"] == 1 and all_requests_accounted(b)


def test_an_answer_longer_than_the_buffers_is_written_whole_to_a_slow_reader():
    d, waiting = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    message = waiting.get()
    (held,) = d.connections
    held.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    body = b"x" * 400_000
    message.respond(response.completed(UpstreamResponse(200, [], [body])))
    assert held.write_started_at is not None
    code, _, got = read_status(sock)
    assert code == 200 and got == body


def test_an_answer_that_cannot_be_made_ends_its_connection_without_one(monkeypatch):
    d, waiting = start_listener()
    sock = connect(d)
    sock.sendall(VALID_REQUEST)
    final = response.completed(UpstreamResponse(200))
    monkeypatch.setattr(final, "status", 9999)
    waiting.get().respond(final)
    assert read_status(sock)[0] == 502 and d.counters.counts["faults"] == 1
    assert sock.recv(1) == b""
    while d.connections:
        gevent.sleep(0.001)
