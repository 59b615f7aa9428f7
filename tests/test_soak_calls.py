"""Real fronts as processes: system calls that fail and clocks that are wrong."""

import errno
import signal
from collections import Counter

import gevent
import pytest

from soak.deployment import FIRST_BUILD, Deployment
from soak.records import Outcome
from soak.run import SoakRun
from soak.shim import SystemCall

LONGEST_S = 60.0  # of one test, fronts' starts included
HOUR_S = 3600.0


@pytest.fixture(autouse=True)
def bound():
    with gevent.Timeout(LONGEST_S):
        yield


def for_each_shim(run, method, *args):
    for front in run.fronts:
        getattr(front.shim, method)(*args)


def outcomes(run, since):
    return Counter(r.outcome for r in run.records.requests if r.sent >= run.started_at + since)


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EINVAL])
def test_options_that_cannot_be_set_reset_accepted_connections(error):
    run = SoakRun(Deployment(fronts=2, servers=3), rate_per_s=20.0, shim=True)
    for_each_shim(run, "fail_call", SystemCall.SETSOCKOPT, error, 200)
    with run:
        run.run_until(3.0)
        assert run.finish() == []
    assert outcomes(run, 0.0)[Outcome.SERVED] > 0


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EMFILE, errno.ENFILE])
def test_a_socket_that_fails_for_a_moment_at_the_start_ends_the_process(error):
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
def test_connections_that_fail_here_rest_the_only_server_and_hold_requests(error):
    with SoakRun(Deployment(fronts=2, servers=1), rate_per_s=10.0, shim=True) as run:
        run.run_until(0.5)
        run.servers["s-000"].drop_connections()
        for_each_shim(run, "fail_call", SystemCall.CONNECT, error)
        run.run_until(2.0)
        for_each_shim(run, "clear_faults")
        run.run_until(6.0)
        assert run.finish() == []
        refused = [r for r in run.records.requests if r.outcome == Outcome.REFUSED]
        half = run.deployment.deadline_s / 2  # of a request's time: what is refused later is priced
        assert all(r.ended - r.sent < half for r in refused)
        late = outcomes(run, 4.5)
    assert late[Outcome.SERVED] > 0.8 * late.total()


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.ENFILE])
def test_an_accept_that_fails_at_a_stop_leaves_whole_requests_unread(error):
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


def test_no_descriptor_for_two_seconds_at_accept_with_whole_requests_waiting():
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
def test_a_log_that_cannot_be_written_costs_answers_or_an_orderly_end(error):
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
def test_buffers_that_are_short_for_a_moment_lose_requests(call):
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


@pytest.mark.parametrize("wrong_s", [HOUR_S, -HOUR_S])
def test_cold_servers_are_overloaded_where_the_wall_clock_is_an_hour_off(wrong_s):
    deployment = Deployment(fronts=4, servers=4, server_rate_per_s=15.0)
    run = SoakRun(deployment, rate_per_s=14.0, shim=True)
    for_each_shim(run, "step_wall_clock", wrong_s)
    for server in run.servers.values():
        server.mean_service_s = 0.15  # so that every server is wanted
    with run:
        run.run_until(1.0)
        run.drain_servers("s-000")
        run.run_until(2.0)
        run.restart_servers(FIRST_BUILD, "s-000")
        run.run_until(3.0)
        for_each_shim(run, "step_wall_clock", -wrong_s)  # and back in mid-warm-up
        run.run_until(6.0)
        assert run.finish() == []
        attempts = [a for a in run.records.attempts if a.server == "s-000" and a.begun > run.started_at + 2.0]
    assert attempts  # a server that never warms up would get none


def test_drains_are_missed_by_fronts_held_after_reading_their_clock():
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
def test_a_wall_clock_that_steps_in_mid_drain_reopens_servers(step_s):
    with SoakRun(Deployment(fronts=3, servers=6), rate_per_s=15.0, shim=True) as run:
        run.run_until(1.0)
        run.drain_servers("s-000", "s-001")
        run.run_until(1.1)
        for_each_shim(run, "step_wall_clock", step_s)
        run.run_until(2.0)
        run.discovery.reset_watches()
        run.run_until(5.0)
        assert run.finish() == []


def test_a_start_with_discovery_down_and_the_clock_wrong():
    run = SoakRun(Deployment(fronts=3, servers=6), rate_per_s=10.0, shim=True)
    for_each_shim(run, "step_wall_clock", -HOUR_S)
    run.discovery.go_down()
    run.call_later(8.0, run.discovery.recover)
    with run:
        assert all(front.ready_at for front in run.fronts)
        run.drain_servers("s-000")
        run.run_until(14.0)
        assert run.finish() == []
    assert outcomes(run, 12.0)[Outcome.SERVED] > 0


def test_a_send_that_waits_for_buffers_goes_out_by_the_list_and_the_time_of_before():
    with SoakRun(Deployment(fronts=3, servers=4), rate_per_s=15.0, shim=True) as run:
        run.run_until(1.0)
        for_each_shim(run, "fail_call", SystemCall.SEND, errno.EAGAIN)
        run.run_until(1.1)
        run.drain_servers("s-000", "s-001")
        run.run_until(1.8)
        for_each_shim(run, "clear_faults")
        run.run_until(3.0)
        assert run.finish() == []
