"""Real fronts as processes: signals at moments at which a front is not at rest."""

import signal
from random import Random

import gevent
import pytest

from soak.deployment import Deployment
from soak.faults import stop_and_restart
from soak.play import Play
from soak.servers import Mode

LONGEST_S = 60.0  # of one test, fronts' starts included


@pytest.fixture(autouse=True)
def bound():
    with gevent.Timeout(LONGEST_S):
        yield


def slow(play, seconds):
    for server in play.servers.values():
        server.work_s = seconds


def test_a_signal_before_the_handlers_are_set_ends_the_process():
    """SIGHUP and SIGUSR1 from the moment of the start on, each at a process of its own."""
    play = Play(Deployment(fronts=10, servers=2), rate=1.0)
    moments = [0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0]
    for front, moment in zip(play.fronts, moments, strict=True):
        for number in (signal.SIGHUP, signal.SIGUSR1):
            play.later(moment, front.signal, number)
    with play:
        assert all(front.runs and front.ready for front in play.fronts)
        play.run_until(1.0)
        assert play.finish() == []


def test_a_second_sigterm_ends_the_process_with_requests_open():
    with Play(Deployment(fronts=3, servers=4), rate=20.0) as play:
        slow(play, 0.3)
        play.run_until(1.5)
        for front in play.fronts:
            for after, number in ((0.0, signal.SIGTERM), (0.1, signal.SIGTERM), (0.2, signal.SIGINT)):
                play.later(after, front.signal, number)
        play.run_until(6.0)
        assert [front.process.poll() for front in play.fronts] == [0, 0, 0]
        assert play.finish() == []


def test_requests_in_the_same_instant_as_sigterm_on_new_connections_are_lost():
    with Play(Deployment(fronts=2, servers=4), rate=5.0) as play:
        slow(play, 0.05)
        play.run_until(1.0)
        for front in play.fronts:
            front.signal(signal.SIGTERM)
            for _ in range(40):
                play.clients.idle[front.name].clear()
                play.clients.spawn(front)
        play.run_until(3.0)
        assert play.finish() == []


def test_a_shutdown_with_every_server_hung_until_the_kill_loses_requests():
    with Play(Deployment(fronts=2, servers=3), rate=15.0) as play:
        play.run_until(1.0)
        play.set_mode(Mode.HUNG, *play.servers)
        play.run_until(1.5)
        stop_and_restart(play, 0, 3.7)
        play.run_until(6.0)
        assert play.finish() == []


def test_ten_outright_kills_under_load():
    random = Random(1)
    with Play(Deployment(fronts=3, servers=4), rate=15.0) as play:
        for _ in range(10):
            gevent.sleep(random.uniform(0.05, 0.8))
            front = random.choice(play.fronts)
            front.kill()
            play.restart(front)
        play.run_until(9.0)
        assert all(front.ready for front in play.fronts)
        assert play.finish() == []


def test_three_sighups_in_50_ms_with_moved_addresses():
    with Play(Deployment(fronts=3, servers=6), rate=10.0) as play:
        play.run_until(1.5)
        for _ in range(3):
            for front in play.fronts:
                play.configure(front)
                front.signal(signal.SIGHUP)
            gevent.sleep(0.025)
        play.run_until(2.0)
        play.drain("s-000", "s-001")
        play.run_until(5.0)
        assert {watch.front for watch in play.discovery.watches} == {"n0", "n1", "n2"}
        assert play.finish() == []


def test_five_hundred_open_at_sigterm():
    deployment = Deployment(fronts=1, servers=4, sockets=2048, deadline_s=6.0)
    with Play(deployment, rate=5.0) as play:
        slow(play, 1.0)
        play.run_until(0.5)
        (front,) = play.fronts
        for _ in range(500):
            play.clients.spawn(front)
        gevent.sleep(0.2)
        front.signal(signal.SIGTERM)
        play.run_until(8.0)
        assert play.finish() == []
        assert len(play.records.requests) >= 400
