"""Real front processes that get signals while they start, stop or carry load."""

import signal
from random import Random

import gevent
import pytest

from soak.deployment import Deployment
from soak.faults import stop_and_restart
from soak.run import SoakRun
from soak.servers import ServerMode

TIME_LIMIT_S = 60.0  # for one test, with the start of its fronts


@pytest.fixture(autouse=True)
def time_limit():
    with gevent.Timeout(TIME_LIMIT_S):
        yield


def set_mean_service_time(run, seconds):
    for server in run.servers.values():
        server.mean_service_s = seconds


def test_signals_before_handlers_are_installed_do_not_end_the_process():
    """Each process gets SIGHUP and SIGUSR1 at a different time from its start on."""
    run = SoakRun(Deployment(fronts=10, servers=2), rate_per_s=1.0)
    delays_s = [0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0]
    for front, delay_s in zip(run.fronts, delays_s, strict=True):
        for signal_number in (signal.SIGHUP, signal.SIGUSR1):
            run.call_later(delay_s, front.signal, signal_number)
    with run:
        assert all(front.is_running and front.ready_at for front in run.fronts)
        run.run_until(1.0)
        assert run.finish() == []


def test_second_sigterm_does_not_end_the_process_with_open_requests():
    with SoakRun(Deployment(fronts=3, servers=4), rate_per_s=20.0) as run:
        set_mean_service_time(run, 0.3)
        run.run_until(1.5)
        for front in run.fronts:
            for delay_s, signal_number in (
                (0.0, signal.SIGTERM),
                (0.1, signal.SIGTERM),
                (0.2, signal.SIGINT),
            ):
                run.call_later(delay_s, front.signal, signal_number)
        run.run_until(6.0)
        assert [front.process.poll() for front in run.fronts] == [0, 0, 0]
        assert run.finish() == []


def test_requests_on_new_connections_at_sigterm_are_not_lost():
    with SoakRun(Deployment(fronts=2, servers=4), rate_per_s=5.0) as run:
        set_mean_service_time(run, 0.05)
        run.run_until(1.0)
        for front in run.fronts:
            front.signal(signal.SIGTERM)
            for _ in range(40):
                run.clients.idle_connections[front.name].clear()
                run.clients.spawn_request(front)
        run.run_until(3.0)
        assert run.finish() == []


def test_shutdown_with_all_servers_hung_until_sigkill_loses_no_requests():
    with SoakRun(Deployment(fronts=2, servers=3), rate_per_s=15.0) as run:
        run.run_until(1.0)
        run.set_server_mode(ServerMode.HUNG, *run.servers)
        run.run_until(1.5)
        stop_and_restart(run, 0, 3.7)
        run.run_until(6.0)
        assert run.finish() == []


def test_ten_sigkills_under_load_lose_no_requests():
    random = Random(1)
    with SoakRun(Deployment(fronts=3, servers=4), rate_per_s=15.0) as run:
        for _ in range(10):
            gevent.sleep(random.uniform(0.05, 0.8))
            front = random.choice(run.fronts)
            front.kill()
            run.restart_front(front)
        run.run_until(9.0)
        assert all(front.ready_at for front in run.fronts)
        assert run.finish() == []


def test_three_sighups_within_50_ms_follow_the_new_addresses():
    with SoakRun(Deployment(fronts=3, servers=6), rate_per_s=10.0) as run:
        run.run_until(1.5)
        for _ in range(3):
            for front in run.fronts:
                run.write_front_config(front)
                front.signal(signal.SIGHUP)
            gevent.sleep(0.025)
        run.run_until(2.0)
        run.drain_servers("s-000", "s-001")
        run.run_until(5.0)
        assert {watch.front for watch in run.discovery.watches} == {"n0", "n1", "n2"}
        assert run.finish() == []


def test_sigterm_with_five_hundred_open_requests_loses_none():
    deployment = Deployment(fronts=1, servers=4, max_sockets=2048, deadline_s=6.0)
    with SoakRun(deployment, rate_per_s=5.0) as run:
        set_mean_service_time(run, 1.0)
        run.run_until(0.5)
        (front,) = run.fronts
        for _ in range(500):
            run.clients.spawn_request(front)
        gevent.sleep(0.2)
        front.signal(signal.SIGTERM)
        run.run_until(8.0)
        assert run.finish() == []
        assert len(run.records.requests) >= 400
