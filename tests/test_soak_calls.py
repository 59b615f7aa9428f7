"""Real front processes with failing system calls and wrong clocks."""

import errno
import signal
from collections import Counter

import gevent
import pytest

from soak.deployment import FIRST_BUILD, Deployment
from soak.records import Outcome
from soak.run import SoakRun
from soak.shim import SystemCall

TIME_LIMIT_S = 60.0  # for one test, with the start of its fronts
HOUR_S = 3600.0


@pytest.fixture(autouse=True)
def time_limit():
    with gevent.Timeout(TIME_LIMIT_S):
        yield


def for_each_shim(run, method, *args):
    for front in run.fronts:
        getattr(front.shim, method)(*args)


def count_outcomes(run, start_s):
    return Counter(r.outcome for r in run.records.requests if r.sent >= run.started_at + start_s)


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EINVAL])
def test_setsockopt_errors_lose_no_requests(error):
    run = SoakRun(Deployment(fronts=2, servers=3), rate_per_s=20.0, shim=True)
    for_each_shim(run, "fail_call", SystemCall.SETSOCKOPT, error, 200)
    with run:
        run.run_until(3.0)
        assert run.finish() == []
    assert count_outcomes(run, 0.0)[Outcome.SERVED] > 0


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EMFILE, errno.ENFILE])
def test_temporary_socket_errors_at_the_start_do_not_end_the_process(error):
    run = SoakRun(Deployment(fronts=2, servers=3), rate_per_s=20.0, shim=True)
    for_each_shim(run, "fail_call", SystemCall.SOCKET, error, 1000)
    run.call_later(1.5, for_each_shim, run, "clear_faults")
    with run:
        run.run_until(2.0)
        assert all(front.ready_at for front in run.fronts)
        assert run.finish() == []


@pytest.mark.parametrize(
    "error",
    [errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.EINTR, errno.EHOSTUNREACH],
)
def test_local_connect_errors_neither_eject_the_only_server_nor_hold_requests(error):
    with SoakRun(Deployment(fronts=2, servers=1), rate_per_s=10.0, shim=True) as run:
        run.run_until(0.5)
        run.servers["s-000"].drop_connections()
        for_each_shim(run, "fail_call", SystemCall.CONNECT, error)
        run.run_until(2.0)
        for_each_shim(run, "clear_faults")
        run.run_until(6.0)
        assert run.finish() == []
        refused = [r for r in run.records.requests if r.outcome == Outcome.REFUSED]
        # a rejection later than half of a request's time limit has a cost
        half_deadline_s = run.deployment.deadline_s / 2
        assert all(r.ended - r.sent < half_deadline_s for r in refused)
        late = count_outcomes(run, 4.5)
    assert late[Outcome.SERVED] > 0.8 * late.total()


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.ENFILE])
def test_accept_errors_at_a_stop_leave_no_requests_unread(error):
    with SoakRun(Deployment(fronts=2, servers=3), rate_per_s=10.0, shim=True) as run:
        run.run_until(0.5)
        for_each_shim(run, "fail_call", SystemCall.ACCEPT, error)
        for front in run.fronts:
            front.signal(signal.SIGTERM)
            for _ in range(20):
                run.clients.idle_connections[front.name].clear()
                run.clients.spawn_request(front)
        run.run_until(1.5)
        for_each_shim(run, "clear_faults")
        run.run_until(4.0)
        assert run.finish() == []


def test_two_seconds_without_descriptors_for_accept_lose_no_requests():
    with SoakRun(Deployment(fronts=2, servers=3, deadline_s=4.0), rate_per_s=10.0, shim=True) as run:
        run.run_until(0.5)
        for front in run.fronts:
            run.clients.idle_connections[front.name].clear()
        for_each_shim(run, "fail_call", SystemCall.ACCEPT, errno.ENFILE)
        run.run_until(2.5)
        for_each_shim(run, "clear_faults")
        run.run_until(4.0)
        assert run.finish() == []


@pytest.mark.parametrize("error", [errno.EPIPE, errno.ENOSPC, errno.EIO])
def test_log_write_errors_cost_neither_responses_nor_an_orderly_end(error):
    with SoakRun(Deployment(fronts=2, servers=3), rate_per_s=20.0, shim=True) as run:
        run.run_until(0.5)
        for_each_shim(run, "fail_call", SystemCall.LOG, error)
        for front in run.fronts:
            front.signal(signal.SIGUSR1)
        run.run_until(1.5)
        for front in run.fronts:
            front.signal(signal.SIGTERM)
        run.run_until(4.5)
        assert [front.process.poll() for front in run.fronts] == [0, 0]
        assert run.finish() == []


@pytest.mark.parametrize("call", [SystemCall.RECEIVE, SystemCall.SEND])
def test_temporary_buffer_shortage_loses_no_requests(call):
    with SoakRun(Deployment(fronts=2, servers=3), rate_per_s=20.0, shim=True) as run:
        run.run_until(0.5)
        for_each_shim(
            run, "fail_call", call, errno.ENOMEM if call == SystemCall.RECEIVE else errno.ENOBUFS, 300
        )
        for_each_shim(run, "shorten_transfers", 300)
        run.run_until(2.5)
        for_each_shim(run, "clear_faults")
        run.run_until(3.0)
        assert run.finish() == []


@pytest.mark.parametrize("offset_s", [HOUR_S, -HOUR_S])
def test_wall_clock_an_hour_off_overloads_no_server_in_slow_start(offset_s):
    deployment = Deployment(fronts=4, servers=4, server_rate_per_s=15.0)
    run = SoakRun(deployment, rate_per_s=14.0, shim=True)
    for_each_shim(run, "step_wall_clock", offset_s)
    for server in run.servers.values():
        server.mean_service_s = 0.15  # so that the load needs every server
    with run:
        run.run_until(1.0)
        run.drain_servers("s-000")
        run.run_until(2.0)
        run.restart_servers(FIRST_BUILD, "s-000")
        run.run_until(3.0)
        for_each_shim(run, "step_wall_clock", -offset_s)  # and back during the slow start
        run.run_until(6.0)
        assert run.finish() == []
        attempts = [a for a in run.records.attempts if a.server == "s-000" and a.begun > run.started_at + 2.0]
    assert attempts  # a server whose slow start never ends would get none


def test_pauses_after_clock_reads_miss_no_drains():
    with SoakRun(Deployment(fronts=3, servers=6), rate_per_s=20.0, shim=True) as run:
        run.run_until(0.5)
        for_each_shim(run, "pause_after_clock_read", 150, 3)
        for n in range(3):
            run.drain_servers(f"s-{n:03d}")
            run.run_until(1.5 + n)
        for_each_shim(run, "clear_faults")
        run.run_until(4.0)
        assert run.finish() == []


@pytest.mark.parametrize("step_s", [-HOUR_S, HOUR_S])
def test_wall_clock_step_during_a_drain_reopens_no_server(step_s):
    with SoakRun(Deployment(fronts=3, servers=6), rate_per_s=15.0, shim=True) as run:
        run.run_until(1.0)
        run.drain_servers("s-000", "s-001")
        run.run_until(1.1)
        for_each_shim(run, "step_wall_clock", step_s)
        run.run_until(2.0)
        run.discovery.reset_watches()
        run.run_until(5.0)
        assert run.finish() == []


def test_start_with_discovery_down_and_the_wall_clock_wrong():
    run = SoakRun(Deployment(fronts=3, servers=6), rate_per_s=10.0, shim=True)
    for_each_shim(run, "step_wall_clock", -HOUR_S)
    run.discovery.go_down()
    run.call_later(8.0, run.discovery.recover)
    with run:
        assert all(front.ready_at for front in run.fronts)
        run.drain_servers("s-000")
        run.run_until(14.0)
        assert run.finish() == []
    assert count_outcomes(run, 12.0)[Outcome.SERVED] > 0


def test_sends_delayed_by_full_buffers_use_the_current_list_and_deadline():
    with SoakRun(Deployment(fronts=3, servers=4), rate_per_s=15.0, shim=True) as run:
        run.run_until(1.0)
        for_each_shim(run, "fail_call", SystemCall.SEND, errno.EAGAIN)
        run.run_until(1.1)
        run.drain_servers("s-000", "s-001")
        run.run_until(1.8)
        for_each_shim(run, "clear_faults")
        run.run_until(3.0)
        assert run.finish() == []
