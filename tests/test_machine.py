import errno

import gevent
import pytest
from conftest import Peer, build_node_config, read_request
from gevent.queue import SimpleQueue

from myrtleroad import interface as i
from myrtleroad.net import upstream_server
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.http1 import Message

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def build_machine(at, stands=lambda job: True, most=100):
    ended = SimpleQueue()
    args = (
        build_node_config(),
        Clock(),
        Counters(),
        upstream_server.ConnectionBudget(most),
        ended.put,
        stands,
    )
    actor = upstream_server.UpstreamServer(at, *args)
    gevent.spawn(actor.run)
    return actor, ended


def job(ident=1, within=2000.0):
    now = Clock()()
    message = Message(b"POST", b"/api", [(b"X-Txn", b"a%d" % ident)], body=b"body")
    return upstream_server.AttemptJob(ident, 0, 0, message, now, now + within, ())


def tried(actor, ended, **changes):
    actor.mailbox.put(upstream_server.StartAttempt(job(**changes)))
    return ended.get()


def answering(*answers):
    def talk(sock):
        for answer in answers:
            read_request(sock)
            sock.sendall(answer)
        sock.recv(1)

    return talk


def test_a_whole_answer_completes_and_the_connection_is_used_again():
    peer = Peer(answering(OK, OK))
    actor, ended = build_machine(peer.address)
    for ident in (1, 2):
        got = tried(actor, ended, ident=ident)
        assert got.outcome == i.Outcome.COMPLETED and b"".join(got.result.body) == b"hi"
        gevent.sleep(0)
    assert peer.connections == 1


@pytest.mark.parametrize("cut", range(len(OK)))
def test_an_answer_cut_anywhere_may_have_run(cut):
    def talk(sock):
        read_request(sock)
        sock.sendall(OK[:cut])

    assert tried(*build_machine(Peer(talk).address)).outcome == i.Outcome.RESET


def test_a_refused_connection_never_ran():
    peer = Peer()
    peer.sock.close()
    assert tried(*build_machine(peer.address)).outcome == i.Outcome.NOT_CONNECTED


def test_a_descriptor_that_we_lack_is_not_the_machines_fault(monkeypatch):
    def none_left(*args):
        raise OSError(errno.EMFILE, "too many open files")

    actor, ended = build_machine(Peer(answering(OK)).address)
    monkeypatch.setattr(upstream_server.socket, "socket", none_left)
    assert tried(actor, ended).outcome == i.Outcome.MOOT


def test_a_second_copy_right_behind_is_nobodys_answer():
    peer = Peer(answering(OK + OK.replace(b"hi", b"no")), answering(OK))
    actor, ended = build_machine(peer.address)
    for ident in (1, 2):
        got = tried(actor, ended, ident=ident)
        assert got.outcome == i.Outcome.COMPLETED and b"".join(got.result.body) == b"hi"
        gevent.sleep(0)
    assert peer.connections == 2


def test_silence_ends_at_the_limit_and_a_late_answer_is_nobodys():
    late = gevent.event.Event()

    def first(sock):
        read_request(sock)
        late.wait()
        sock.sendall(OK.replace(b"hi", b"no"))

    peer = Peer(first, answering(OK))
    actor, ended = build_machine(peer.address)
    assert tried(actor, ended, within=30.0).outcome == i.Outcome.TIMEOUT
    late.set()
    got = tried(actor, ended, ident=2)
    assert got.outcome == i.Outcome.COMPLETED and b"".join(got.result.body) == b"hi"
    assert peer.connections == 2


def test_a_connection_closed_while_idle_is_not_written_to():
    def first(sock):
        read_request(sock)
        sock.sendall(OK)

    peer = Peer(first, answering(OK))
    actor, ended = build_machine(peer.address)
    assert tried(actor, ended).outcome == i.Outcome.COMPLETED
    while not actor.idle_connections or not upstream_server.http1.is_stale(actor.idle_connections[-1].sock):
        gevent.sleep(0.001)
    assert tried(actor, ended, ident=2).outcome == i.Outcome.COMPLETED
    assert peer.connections == 2


def test_a_machine_drained_while_connecting_gets_nothing():
    # Guards the rules on drains and exposure: a connect lies between the module's choice and the write.
    came = []

    def talk(sock):
        came.append(sock.recv(100))

    actor, ended = build_machine(Peer(talk).address, stands=lambda job: False)
    assert tried(actor, ended).outcome == i.Outcome.MOOT
    gevent.sleep(0)
    actor.mailbox.put(upstream_server.ServerRemoved())
    while not came:
        gevent.sleep(0.001)
    assert came == [b""]


def test_a_try_without_time_left_is_moot():
    assert tried(*build_machine(("127.0.0.1", 9)), within=0.0).outcome == i.Outcome.MOOT


def test_a_try_called_off_before_it_began_still_ends():
    actor, ended = build_machine(Peer(answering(OK)).address)
    actor.mailbox.put(upstream_server.StartAttempt(job()))
    actor.mailbox.put(upstream_server.StopAttempt(1, 0))
    assert ended.get().outcome in (i.Outcome.CANCELLED, i.Outcome.NOT_CONNECTED)


def test_a_try_called_off_after_it_was_written_may_have_run():
    written = gevent.event.Event()

    def talk(sock):
        read_request(sock)
        written.set()
        sock.recv(1)

    actor, ended = build_machine(Peer(talk).address)
    actor.mailbox.put(upstream_server.StartAttempt(job()))
    written.wait()
    actor.mailbox.put(upstream_server.StopAttempt(1, 0))
    assert ended.get().outcome == i.Outcome.CANCELLED


def test_another_start_drops_the_old_connections():
    peer = Peer(answering(OK, OK), answering(OK))
    actor, ended = build_machine(peer.address)
    tried(actor, ended)
    actor.mailbox.put(upstream_server.ServerAddressChanged(peer.address))
    tried(actor, ended, ident=2)
    assert peer.connections == 2


def test_connections_over_their_share_are_not_kept():
    actor, ended = build_machine(Peer(answering(OK)).address, most=0)
    assert tried(actor, ended).outcome == i.Outcome.COMPLETED
    gevent.sleep(0)
    assert actor.idle_connections == [] and actor.budget.in_use == 0


def test_what_is_not_http_may_have_run():
    def talk(sock):
        read_request(sock)
        sock.sendall(b"garbage\r\n\r\n")

    assert tried(*build_machine(Peer(talk).address)).outcome == i.Outcome.RESET
