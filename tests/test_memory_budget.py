"""The budget of a front's memory: its division, and what waits or is shed when a part is used up."""

import gevent
import pytest
from conftest import Peer, discovery_entry, read_request
from test_admission import dispatched_jobs
from test_front import SERVER_ADDRESS, build_dispatcher, end_attempt, started_jobs, submit_request
from test_upstream_server import build_server, run_attempt

from myrtleroad import interface
from myrtleroad.admission import memory_budget, response_memory
from myrtleroad.admission.memory_budget import MIB, MemoryBudget
from myrtleroad.admission.request_memory import RequestMemory
from myrtleroad.admission.response_memory import ResponseMemory
from myrtleroad.net import memory_monitor
from myrtleroad.net.counters import Counters
from myrtleroad.net.dispatcher import ClientGone
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse

LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000


@pytest.mark.parametrize("limit_mb", [32, 64, 192, 1024])
@pytest.mark.parametrize("sockets_half", [52, 500, 4000])
@pytest.mark.parametrize("servers", [8, 1024, 3200])
def test_all_parts_together_are_what_the_limit_leaves(limit_mb, sockets_half, servers):
    budget = MemoryBudget(limit_mb * MIB, sockets_half, sockets_half)
    budget.set_program(22 * MIB, 8)
    max_servers = budget.limits.servers
    budget.set_servers(servers)
    limits = budget.limits
    total = (
        22 * MIB
        + memory_budget.SERVER_BYTES * (servers - 8)
        + memory_budget.CONNECTION_BYTES * limits.connections
        + memory_budget.ATTEMPT_BYTES * limits.attempts
        + limits.request_bytes
        + limits.response_bytes
    )
    assert total <= limit_mb * MIB or budget.is_short
    assert budget.is_short == (limit_mb == 32 and servers > 1024)
    assert min(limits.connections, limits.attempts) >= 1
    assert limits.servers == max_servers >= 1024  # not more with each change of the list


def test_memory_near_the_limit_reduces_the_pool_and_gives_it_back():
    # Guards against memory that the counts miss, as fragmentation.
    budget = MemoryBudget(64 * MIB, 500, 500)
    budget.set_program(22 * MIB, 8)
    before = budget.limits
    assert budget.measured(63 * MIB) and budget.limits.request_bytes < before.request_bytes
    for _ in range(100):
        budget.measured(70 * MIB)
    assert budget.limits.connections > 50  # what was freed but not returned is used again
    for _ in range(100):
        assert not budget.measured(40 * MIB)
    assert budget.limits == before


def test_one_of_the_responses_that_wait_for_memory_goes_on():
    # Guards against responses read in part that keep each other from being completed.
    memory = ResponseMemory(100_000)
    first, second, third = (memory.lease() for _ in range(3))
    assert first.reserve(80_000) and second.reserve(60_000) and not third.reserve(60_000)
    second.release()
    assert third.reserve(60_000)
    del first, second, third
    assert memory.total_bytes == 0 and not memory.is_overdrawn


def test_a_long_response_waits_for_memory_and_a_short_one_does_not():
    # Guards against hundreds of long responses held at once, limited by descriptors alone.
    def serve(sock):
        for _ in range(2):
            head, _ = read_request(sock)
            sock.sendall(LONG_RESPONSE if b"a1" in head else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    peer = Peer(serve, serve)
    actor, results = build_server(peer.address)
    memory = actor.budget.responses = ResponseMemory(50_000)
    holder = memory.lease()
    assert holder.reserve(40_000)
    blocked = memory.lease()
    assert blocked.reserve(40_000)  # beyond the limit, as one may
    assert run_attempt(actor, results, request_id=2).outcome == interface.Outcome.COMPLETED
    starved = run_attempt(actor, results, within_ms=100.0)
    assert starved.result.cause == FailureCause.NO_MEMORY
    assert starved.outcome == interface.Outcome.CANCELLED  # it may have run, and says nothing of the server
    gevent.spawn_later(0.1, blocked.release)
    served = run_attempt(actor, results, within_ms=1000.0)
    assert served.outcome == interface.Outcome.COMPLETED and memory.total_bytes > 60_000 + 40_000
    del served
    assert memory.total_bytes == 40_000 + response_memory.OVERHEAD_BYTES


def test_a_request_whose_client_left_is_counted_until_its_attempt_ends():
    # Guards against long requests of clients that leave: each stayed with its attempt, uncounted.
    actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    submit_request(actor)
    (open_request,) = actor.open_requests.values()
    message, memory = open_request.received.message, RequestMemory(100_000)
    assert not memory.hold_complete(message, 60_000)
    actor.memory.requests = memory
    memory.retain(message)
    actor.process(ClientGone(1), actor.clock())
    memory.release(message)  # by its connection
    assert memory.total_bytes == 60_000
    (job,) = started_jobs(actor)
    end_attempt(actor, job, UpstreamResponse(200), interface.Outcome.COMPLETED)
    assert memory.total_bytes == 0 and not memory.retained


def test_a_request_for_whose_attempt_there_is_no_memory_is_shed_at_once():
    # Guards against attempts without a bound but descriptors, each with a greenlet and a connection.
    actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    actor.memory.limits.attempts = 2
    answers = [submit_request(actor, number) for number in (1, 2, 3)]
    assert [bool(answer) for answer in answers] == [False, False, True]
    assert answers[2][0].status == 503 and len(started_jobs(actor)) == 2
    assert actor.counters.counts["reqs_over_memory"] == 1


def test_a_retry_for_which_there_is_no_memory_is_not_sent():
    # Guards against retries beyond the limit on attempts.
    actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS), discovery_entry("s-2", SERVER_ADDRESS))
    answers = submit_request(actor)
    (job,) = dispatched_jobs(actor)
    actor.memory.limits.attempts = 0
    refused = ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.REFUSED)
    end_attempt(actor, job, refused, interface.Outcome.NOT_CONNECTED)
    actor.process_ended_attempts()
    assert answers[0].status == 503 and actor.running_attempts == 0
    assert actor.counters.counts["tries_over_memory"] >= 1


def test_a_measurement_that_fails_changes_nothing_and_one_near_the_limit_is_logged(monkeypatch, tmp_path):
    # Guards against a system without /proc, and against memory trouble that no log line shows.
    lines = []
    budget, counters = MemoryBudget(64 * MIB, 500, 500), Counters()

    def log(event, **fields):
        lines.append((event, fields))

    monitor = memory_monitor.MemoryMonitor(budget, lambda: 0.0, counters, log)
    for content in (None, b"", b"1 x", b"1"):
        path = tmp_path / "statm"
        if content is not None:
            path.write_bytes(content)
        monkeypatch.setattr(memory_monitor, "STATM_PATH", path)
        assert memory_monitor.resident_bytes() is None
        monitor.start(8)
    assert budget.program_bytes == memory_budget.PROGRAM_BYTES and lines[-1][0] == "memory limits"
    for at_ms in (1.0, 500.0, 1500.0):
        monitor.measured(63 * MIB, at_ms)
    assert [event for event, _ in lines].count("memory short") == 2
    assert counters.counts["memory_pressure"] == 3 and counters.highest["memory_mb"] == 63.0
