"""Each request gets exactly one response by its deadline, whatever fails while it is processed."""

import time

import gevent
import pytest
from conftest import build_node_config, discovery_entry
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
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.exchange_result import UpstreamResponse
from myrtleroad.net.log import RateLimitedWarnings
from myrtleroad.net.node_config import server_listing


def enqueue_requests(dispatcher_actor, count):
    """Puts requests into a dispatcher's mailbox without letting the dispatcher process them."""
    for number in range(count):
        message = dispatcher.Message(b"GET", b"/api", first_values={b"x-txn": b"w%d" % number})
        request = interface.Request(number + 10, 0, 0, None, dispatcher_actor.clock() + 5000.0, 0.0, False)
        dispatcher_actor.mailbox.put(
            dispatcher.RequestReceived(request, message, dispatcher_actor.clock(), lambda final: None)
        )


def test_attempt_results_do_not_wait_behind_queued_requests(monkeypatch):
    monkeypatch.setattr(dispatcher, "YIELD_AFTER_MS", 0.0)
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    responses = submit_request(dispatcher_actor, 1)
    (job,) = started_jobs(dispatcher_actor)
    enqueue_requests(dispatcher_actor, 5000)
    running = gevent.spawn(dispatcher_actor.run)
    # The attempt's greenlet does this when its response arrives while the dispatcher processes its mailbox.
    dispatcher_actor.attempt_ended(
        upstream_server.AttemptResult(
            job, interface.Outcome.COMPLETED, 5.0, UpstreamResponse(200, [], [b"hi"])
        )
    )
    while not responses:
        gevent.sleep(0)
    received_by_then = dispatcher_actor.counters.counts["reqs_taken"]
    running.kill()
    assert responses[0].status == 200 and received_by_then < 50


def test_an_attempt_that_the_server_actor_cannot_start_still_has_an_outcome(monkeypatch):
    results, node_config = [], build_node_config(discovery_entry("s-1", SERVER_ADDRESS))
    server = upstream_server.UpstreamServer(
        SERVER_ADDRESS,
        node_config,
        Clock(),
        Counters(),
        upstream_server.ConnectionBudget(9),
        results.append,
        lambda job: True,
    )
    monkeypatch.setattr(server, "take_idle", lambda: 1 / 0)
    job = upstream_server.AttemptJob(
        1, 0, 0, dispatcher.Message(), server.clock(), server.clock() + 900.0, ()
    )
    server.mailbox.put(upstream_server.StartAttempt(job))
    with pytest.raises(ZeroDivisionError):
        server.run()
    assert [(each.job, each.outcome) for each in results] == [
        (job, interface.Outcome.MOOT)
    ] and not server.running


def test_a_fault_while_a_request_is_read_gets_its_client_a_500(monkeypatch):
    listener, received = start_listener()
    monkeypatch.setattr(listener, "parse_request", lambda *args: 1 / 0)
    sock = connect(listener)
    sock.sendall(VALID_REQUEST)
    code, head, _ = read_status(sock)
    assert code == 500 and b"Connection: close" in head and sock.recv(1) == b""
    assert received.empty()


def test_overdue_responses_are_logged_by_request_id_a_few_per_second():
    lines = []
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    start = dispatcher_actor.clock()
    dispatcher_actor.overdue_warnings = RateLimitedWarnings(
        lambda event, **fields: lines.append((fields["txn"], fields.get("left_out"))), 2
    )
    for number in range(1, 7):
        submit_request(dispatcher_actor, number, within_ms=900.0)
    dispatcher_actor.clock = lambda: start + 1000.0
    dispatcher_actor.expire_requests(start + 1000.0)
    assert lines == [("a1", None), ("a2", None)]
    dispatcher_actor.overdue_warnings("answer overdue", start + 2000.0, txn="z")
    assert lines[-1] == ("z", 4) and dispatcher_actor.counters.counts["answers_overdue"] == 6


def test_a_burst_is_admitted_and_a_standing_queue_is_shed_from_its_head():
    admission = AdmissionControl([800.0, 750.0])  # target 75 ms; a queue above it for 150 ms is standing
    assert {admission.decide(300.0, 500.0, now) for now in (0.0, 50.0, 149.0)} == {AdmissionDecision.TAKE}
    assert admission.decide(200.0, 500.0, 150.0) == AdmissionDecision.STANDING
    assert admission.decide(20.0, 500.0, 160.0) == AdmissionDecision.TAKE  # the queue has emptied
    assert admission.decide(200.0, 500.0, 170.0) == AdmissionDecision.TAKE
    assert admission.decide(10.0, 0.0, 180.0) == AdmissionDecision.OVER


def send_and_block_loop(listener, socks, block_ms):
    """Sends a request to the listener on each socket and blocks the event loop before any request is read."""
    for sock in socks:
        sock.sendall(VALID_REQUEST)
    time.sleep(block_ms / 1000)


def test_the_time_that_a_request_waited_unread_is_deducted_from_its_deadline():
    listener, received = start_listener()
    reused, new = connect(listener), connect(listener)
    reused.sendall(VALID_REQUEST)
    received.get().respond(response.shed(0.0))
    assert read_status(reused)[0] == 503
    gevent.sleep(0.01)
    sent_after = listener.clock()
    send_and_block_loop(listener, [reused, new], 100.0)
    for _ in range(2):
        message = received.get()
        assert (
            sent_after + 480 <= message.request.deadline + 6.0
            and message.request.deadline <= sent_after + 480 + 20.0
        )
        assert message.read_delay_ms >= 90.0


def test_a_request_whose_deadline_passed_unread_is_shed_at_once_and_logged():
    listener, received = start_listener()
    lines, sock = [], connect(listener)
    listener.unread_warnings = lambda event, now, **fields: lines.append(
        (event, fields["txn"], fields["why"])
    )
    gevent.sleep(0.01)
    send_and_block_loop(listener, [sock], 60.0)
    expired_sock, expired_request = (
        connect(listener),
        VALID_REQUEST.replace(b"480", b"50").replace(b"X-Txn: 1", b"X-Txn: 2"),
    )
    expired_sock.sendall(expired_request)
    time.sleep(0.06)
    code, head, _ = read_status(expired_sock)
    assert code == 503 and b"Retry-After: 0.500" in head
    assert lines == [("req refused unread", "2", "OVER")]
    assert received.get().request.id and received.empty()  # the other request had time left


def test_100_connections_beyond_the_limit_are_shed_at_once_and_open_requests_are_answered():
    listener, received = start_listener(sockets=30)  # room for three clients
    open_socks = [connect(listener) for _ in range(3)]
    for number, sock in enumerate(open_socks):
        sock.sendall(VALID_REQUEST.replace(b"X-Txn: 1", b"X-Txn: h%d" % number))
    messages = [received.get() for _ in open_socks]
    excess_socks = []
    for _ in range(100):
        excess_socks.append(connect(listener))
        excess_socks[-1].sendall(VALID_REQUEST)
    for sock in excess_socks:
        code, head, _ = read_status(sock)
        assert code == 503 and b"Connection: close" in head and b"Retry-After" in head
    assert (
        received.empty()
        and len(listener.connections) <= listener.max_connections + listener.EXTRA_CONNECTIONS
    )
    for message in messages:
        message.respond(response.bad_gateway())
    assert [read_status(sock)[0] for sock in open_socks] == [502] * 3
    assert listener.counters.counts["reqs_full"] == 100


def dispatched_jobs(dispatcher_actor):
    """Removes and returns the attempts in the mailboxes of all servers."""
    messages = [
        server.mailbox.get()
        for server in dispatcher_actor.servers.values()
        for _ in range(server.mailbox.qsize())
    ]
    return [message.job for message in messages if isinstance(message, upstream_server.StartAttempt)]


def test_no_request_is_lost_when_150_of_1024_servers_terminate_in_one_list_update():
    entries = [discovery_entry(f"s-{number}", SERVER_ADDRESS) for number in range(1024)]
    dispatcher_actor = build_dispatcher(*entries)
    responses = [submit_request(dispatcher_actor, number) for number in range(1, 301)]
    jobs = dispatched_jobs(dispatcher_actor)
    assert len(jobs) == 300
    terminated = [entry | {"lifecycle": "terminated"} for entry in entries[:150]]
    update = {"generation": 8, "reset": False, "instances": terminated}
    dispatcher_actor.post_update(server_listing(update, {"here": 0}, {"small": 0}))
    dispatcher_actor.apply_updates()
    stale_jobs = [job for job in jobs if not dispatcher_actor.preconditions_hold(job)]
    assert {job.server for job in stale_jobs} == {job.server for job in jobs if job.server < 150}
    for job in jobs:
        if job in stale_jobs:
            end_attempt(dispatcher_actor, job, upstream_server.NOT_SENT, interface.Outcome.MOOT)
        else:
            end_attempt(
                dispatcher_actor, job, UpstreamResponse(200, [], [b"hi"]), interface.Outcome.COMPLETED
            )
    retried_jobs = dispatched_jobs(dispatcher_actor)
    assert len(retried_jobs) == len(stale_jobs) and all(job.server >= 150 for job in retried_jobs)
    for job in retried_jobs:
        end_attempt(dispatcher_actor, job, UpstreamResponse(200, [], [b"hi"]), interface.Outcome.COMPLETED)
    assert all([final.status for final in each] == [200] for each in responses) and all_requests_accounted(
        dispatcher_actor
    )
    dispatcher_actor.post_update(
        server_listing(update | {"generation": 9, "instances": []}, {"here": 0}, {"small": 0})
    )
    dispatcher_actor.apply_updates()  # servers that still had attempts are removed with the next list
    assert len(dispatcher_actor.servers) == 1024 - 150 and not dispatcher_actor.ids_in_use


def test_a_connection_that_has_just_come_is_not_closed_for_room_before_old_partial_requests():
    # Guards against slow writers of heads: usual clients' new connections were closed first, as idle ones.
    listener, received = start_listener(sockets=30)  # room for three clients
    slow = [connect(listener) for _ in range(2)]
    for client in slow:
        client.sendall(VALID_REQUEST[:40])
    gevent.sleep(0.3)
    usual, other = connect(listener), connect(listener)
    gevent.sleep(0.02)
    assert len(listener.connections) == 2  # the slow ones were closed
    for client in (usual, other):
        client.sendall(VALID_REQUEST)
        received.get().respond(response.shed(0.0))
        assert read_status(client)[0] == 503


def test_old_partial_requests_that_send_on_are_shed_for_room_with_an_answer():
    # Guards against usual clients that are shed while a crowd that sends on and on keeps its places.
    listener, _ = start_listener(sockets=30)
    slow = [connect(listener) for _ in range(3)]
    for client in slow:
        client.sendall(VALID_REQUEST[:40])
    gevent.sleep(0.3)
    for client in slow:
        client.sendall(VALID_REQUEST[40:60])  # not read before the next call
    assert not listener.make_room()
    assert [read_status(client)[0] for client in slow] == [503] * 3
