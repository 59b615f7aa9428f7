"""Real fronts as processes: system calls that fail and clocks that are wrong."""

import errno
import signal
from collections import Counter

import gevent
import pytest

from soak.deployment import FIRST_BUILD, Deployment
from soak.play import Play
from soak.records import Outcome
from soak.shim import Call

LONGEST_S = 60.0  # of one test, fronts' starts included
HOUR_S = 3600.0


@pytest.fixture(autouse=True)
def bound():
    with gevent.Timeout(LONGEST_S):
        yield


def each(play, what, *args):
    for front in play.fronts:
        getattr(front.shim, what)(*args)


def outcomes(play, since):
    return Counter(r.outcome for r in play.records.requests if r.sent >= play.begun + since)


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EINVAL])
def test_options_that_cannot_be_set_reset_accepted_connections(error):
    play = Play(Deployment(fronts=2, servers=3), rate=20.0, shim=True)
    each(play, "fail", Call.SETSOCKOPT, error, 200)
    with play:
        play.run_until(3.0)
        assert play.finish() == []
    assert outcomes(play, 0.0)[Outcome.SERVED] > 0


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EMFILE, errno.ENFILE])
def test_a_socket_that_fails_for_a_moment_at_the_start_ends_the_process(error):
    play = Play(Deployment(fronts=2, servers=3), rate=20.0, shim=True)
    each(play, "fail", Call.SOCKET, error, 1000)
    play.later(1.5, each, play, "mend")
    with play:
        play.run_until(2.0)
        assert all(front.ready for front in play.fronts)
        assert play.finish() == []


@pytest.mark.parametrize(
    "error",
    [errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.EINTR, errno.EHOSTUNREACH],
)
def test_connections_that_fail_here_rest_the_only_server_and_hold_requests(error):
    with Play(Deployment(fronts=2, servers=1), rate=10.0, shim=True) as play:
        play.run_until(0.5)
        play.servers["s-000"].drop_connections()
        each(play, "fail", Call.CONNECT, error)
        play.run_until(2.0)
        each(play, "mend")
        play.run_until(6.0)
        assert play.finish() == []
        refused = [r for r in play.records.requests if r.outcome == Outcome.REFUSED]
        half = play.deployment.deadline_s / 2  # of a request's time: what is refused later is priced
        assert all(r.ended - r.sent < half for r in refused)
        late = outcomes(play, 4.5)
    assert late[Outcome.SERVED] > 0.8 * late.total()


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.ENFILE])
def test_an_accept_that_fails_at_a_stop_leaves_whole_requests_unread(error):
    with Play(Deployment(fronts=2, servers=3), rate=10.0, shim=True) as play:
        play.run_until(0.5)
        each(play, "fail", Call.ACCEPT, error)
        for front in play.fronts:
            front.signal(signal.SIGTERM)
            for _ in range(20):
                play.clients.idle[front.name].clear()
                play.clients.spawn(front)
        play.run_until(1.5)
        each(play, "mend")
        play.run_until(4.0)
        assert play.finish() == []


def test_no_descriptor_for_two_seconds_at_accept_with_whole_requests_waiting():
    with Play(Deployment(fronts=2, servers=3, deadline_s=4.0), rate=10.0, shim=True) as play:
        play.run_until(0.5)
        for front in play.fronts:
            play.clients.idle[front.name].clear()
        each(play, "fail", Call.ACCEPT, errno.ENFILE)
        play.run_until(2.5)
        each(play, "mend")
        play.run_until(4.0)
        assert play.finish() == []


@pytest.mark.parametrize("error", [errno.EPIPE, errno.ENOSPC, errno.EIO])
def test_a_log_that_cannot_be_written_costs_answers_or_an_orderly_end(error):
    with Play(Deployment(fronts=2, servers=3), rate=20.0, shim=True) as play:
        play.run_until(0.5)
        each(play, "fail", Call.LOG, error)
        for front in play.fronts:
            front.signal(signal.SIGUSR1)
        play.run_until(1.5)
        for front in play.fronts:
            front.signal(signal.SIGTERM)
        play.run_until(4.5)
        assert [front.process.poll() for front in play.fronts] == [0, 0]
        assert play.finish() == []


@pytest.mark.parametrize("call", [Call.RECEIVE, Call.SEND])
def test_buffers_that_are_short_for_a_moment_lose_requests(call):
    with Play(Deployment(fronts=2, servers=3), rate=20.0, shim=True) as play:
        play.run_until(0.5)
        each(play, "fail", call, errno.ENOMEM if call == Call.RECEIVE else errno.ENOBUFS, 300)
        each(play, "shorten", 300)
        play.run_until(2.5)
        each(play, "mend")
        play.run_until(3.0)
        assert play.finish() == []


@pytest.mark.parametrize("wrong_s", [HOUR_S, -HOUR_S])
def test_cold_servers_are_overloaded_where_the_wall_clock_is_an_hour_off(wrong_s):
    deployment = Deployment(fronts=4, servers=4, server_rate=15.0)
    play = Play(deployment, rate=14.0, shim=True)
    each(play, "step_wall_clock", wrong_s)
    for server in play.servers.values():
        server.work_s = 0.15  # so that every server is wanted
    with play:
        play.run_until(1.0)
        play.drain("s-000")
        play.run_until(2.0)
        play.bring_back(FIRST_BUILD, "s-000")
        play.run_until(3.0)
        each(play, "step_wall_clock", -wrong_s)  # and back in mid-warm-up
        play.run_until(6.0)
        assert play.finish() == []
        attempts = [a for a in play.records.attempts if a.server == "s-000" and a.begun > play.begun + 2.0]
    assert attempts  # a server that never warms up would get none


def test_drains_are_missed_by_fronts_held_after_reading_their_clock():
    with Play(Deployment(fronts=3, servers=6), rate=20.0, shim=True) as play:
        play.run_until(0.5)
        each(play, "hold_after_clock", 150, 3)
        for n in range(3):
            play.drain(f"s-{n:03d}")
            play.run_until(1.5 + n)
        each(play, "mend")
        play.run_until(4.0)
        assert play.finish() == []


@pytest.mark.parametrize("step_s", [-HOUR_S, HOUR_S])
def test_a_wall_clock_that_steps_in_mid_drain_reopens_servers(step_s):
    with Play(Deployment(fronts=3, servers=6), rate=15.0, shim=True) as play:
        play.run_until(1.0)
        play.drain("s-000", "s-001")
        play.run_until(1.1)
        each(play, "step_wall_clock", step_s)
        play.run_until(2.0)
        play.discovery.reset_watches()
        play.run_until(5.0)
        assert play.finish() == []


def test_a_start_with_discovery_down_and_the_clock_wrong():
    play = Play(Deployment(fronts=3, servers=6), rate=10.0, shim=True)
    each(play, "step_wall_clock", -HOUR_S)
    play.discovery.go_down()
    play.later(8.0, play.discovery.come_back)
    with play:
        assert all(front.ready for front in play.fronts)
        play.drain("s-000")
        play.run_until(14.0)
        assert play.finish() == []
    assert outcomes(play, 12.0)[Outcome.SERVED] > 0


def test_a_send_that_waits_for_buffers_goes_out_by_the_list_and_the_time_of_before():
    with Play(Deployment(fronts=3, servers=4), rate=15.0, shim=True) as play:
        play.run_until(1.0)
        each(play, "fail", Call.SEND, errno.EAGAIN)
        play.run_until(1.1)
        play.drain("s-000", "s-001")
        play.run_until(1.8)
        each(play, "mend")
        play.run_until(3.0)
        assert play.finish() == []
