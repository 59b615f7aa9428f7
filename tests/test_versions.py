"""A control service and fronts on loopback: versions taken, refused, rolled back, and what cuts leave."""

import errno
import os
import struct
import time
from types import SimpleNamespace

import gevent
import orjson
import pytest
from click.testing import CliRunner
from conftest import build_config, build_node_config, discovery_entry, null_log
from gevent import socket

from myrtleroad import interface as i
from myrtleroad.config.frames import FrameDecoder, encode_frame
from myrtleroad.control import commands, service
from myrtleroad.control.folder import Folder, StateError
from myrtleroad.control.rollout import RolloutPlan, VersionRolloutPhase
from myrtleroad.net import front
from myrtleroad.net.clock import Clock

AT = ("127.0.0.1", 9)
REQ = (
    b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: look\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n\r\n"
)


def text(number, *lines, head=""):
    return "\n".join((f"version {number} {head}", *lines))


class World:
    """A service over a folder, and as many fronts as are asked for."""

    def __init__(self, folder, rings=(1.0,), **plan):
        self.folder, self.plan = folder, RolloutPlan(rings, watch_ms=0.0, **plan)
        self.fronts, self.greenlets = [], []
        self.serve()

    def serve(self, at=("127.0.0.1", 0)):
        self.service = service.ControlService(Folder(self.folder), self.plan, Clock(), null_log, at)
        self.running = gevent.spawn(self.service.run)

    def kill(self):
        """The service dies where it stands; its address is free again."""
        at = self.service.address
        self.running.kill()
        gevent.sleep(0.01)
        return at

    def front(self, name="n0"):
        told = build_node_config(
            discovery_entry("s-1", AT), discovery_entry("s-2", AT, zone="there"), name=name
        )
        self.own = self.folder / "front.kdl"
        self.own.write_text('control "{}:{}"'.format(*self.service.address))
        made = front.Front(told, os.open(os.devnull, os.O_WRONLY), front_file=str(self.own))
        self.fronts.append(made)
        self.greenlets.append(gevent.spawn(made.run))
        until(lambda: name in self.service.streams)
        return made

    def call(self, **words):
        got = gevent.queue.SimpleQueue()
        self.service.mailbox.put(service.OperatorCall(words, got.put))
        return got.get()

    def publish(self, *lines, number=None, head=""):
        number = number or self.service.state.number + 1
        return self.call(call="publish", text=text(number, *lines, head=head))


def until(true):
    with gevent.Timeout(8):
        while not true():
            gevent.sleep(0.002)


def holds(made):
    return made.config_versions.ledger.in_force.version.number


@pytest.fixture
def world(tmp_path):
    made = []

    def make(**plan):
        made.append(World(tmp_path, **plan))
        return made[-1]

    yield make
    for w in made:
        for f in w.fronts:
            f.client_listener.sock.close()
        gevent.killall(w.greenlets)
        w.kill()


def test_a_version_is_taken_and_binds_module_list_and_door(world):
    w = world()
    f = w.front()
    lines = [
        'routes { route "look" timeout=(ms)700 most-tries=1 }',
        "trial most-share=0.05",
        'aside { machine "s-1"; zone "there" }',
        'tenants { tenant "acme" rate=(per-s)2 }',
    ]
    assert w.publish(*lines) == {"ok": True, "number": 1}
    until(lambda: w.service.rollout.phase == VersionRolloutPhase.DONE)
    b = f.dispatcher.balancer
    assert b.settings.routes[0].timeout_ms == 700.0 and b.settings.routes[0].max_attempts == 1
    assert b.max_trial_share == 0.05
    assert {m.entry.status for m in b.servers.values()} == {i.ServerStatus.DRAINING}
    client = socket.create_connection(f.client_listener.sock.getsockname())
    answers = []
    for n in range(4):
        client.sendall(REQ % n)
        answers.append(client.recv(4096))
    assert all(b"503" in a for a in answers) and f.counters.counts["reqs_over_bound"] == 2
    assert w.publish("log level=warning") == {"ok": True, "number": 2}
    until(lambda: holds(f) == 2)
    before = len(f.log.lines)
    f.log("list read")
    f.log("fault", level="warning")
    assert len(f.log.lines) == before + 1 and orjson.loads(f.log.lines[-1])["level"] == "warning"
    assert b.settings.routes[0].timeout_ms == 2000.0 and b.max_trial_share == 1.0
    assert {m.entry.status for m in b.servers.values()} == {i.ServerStatus.IN_SERVICE}
    assert f.counters.counts["faults"] == 0


def test_a_network_that_is_closed_gets_no_more_answers(world):
    w = world()
    f = w.front()
    client = socket.create_connection(f.client_listener.sock.getsockname())
    f.client_listener.networks = None
    w.publish('networks { refuse "127.0.0.0/9" }')
    gevent.sleep(0.05)
    assert (
        holds(f) == 0 and f.config_versions.ledger.past[-1].version.number == 1
    )  # it would cut off the service itself
    f.config_versions.address = ("127.128.0.1", 1)  # as if versions came from elsewhere
    w.publish('networks { refuse "127.0.0.0/9" }')
    until(lambda: holds(f) == 2)
    client.sendall(REQ % 1)
    assert client.recv(4096).startswith(b"HTTP/1.1 403") and client.recv(4096) == b""


def test_a_bad_version_is_refused_with_its_reason_and_the_last_good_one_stays(world):
    w = world()
    f = w.front()
    w.publish('routes { route "look" most-tries=2 }')
    until(lambda: holds(f) == 1)
    w.publish('routes { route "look" most-tries=99 }')
    until(lambda: w.service.rollout.phase == VersionRolloutPhase.HALTED)
    status = w.call(call="status")
    assert status["fronts"][0]["code"] == "widens" and "line 2, column 10" in status["fronts"][0]["text"]
    assert holds(f) == 1 and f.dispatcher.balancer.settings.routes[0].max_attempts == 2
    assert "number it 3" in w.publish(number=2)["why"] and "range" in w.publish("trial most-share=7")["why"]
    assert w.call(call="rollback", to=1) == {
        "ok": True,
        "number": 3,
    }  # the way out: older content, new number
    until(lambda: w.service.rollout.phase == VersionRolloutPhase.DONE)
    assert holds(f) == 3 and f.dispatcher.balancer.settings.routes[0].max_attempts == 2


def test_a_version_that_asks_for_it_goes_back_unless_confirmed(world):
    w = world(bad_share=0.0)
    f = w.front()
    w.publish("trial most-share=0.05")
    until(lambda: holds(f) == 1)
    w.publish("trial most-share=0.01", head="confirm=(s)1")
    until(lambda: holds(f) == 2)
    assert f.dispatcher.balancer.max_trial_share == 0.01
    until(lambda: holds(f) == 1)
    assert f.dispatcher.balancer.max_trial_share == 0.05 and f.counters.counts["versions_rolled_back"] == 1
    until(lambda: w.call(call="status")["fronts"][0]["holds"][1] == 1)
    w.publish("trial most-share=0.02", head="confirm=(s)1")
    until(lambda: holds(f) == 3)
    assert w.call(call="confirm")["fronts"] == 1
    gevent.sleep(1.2)
    assert holds(f) == 3 and f.config_versions.ledger.last_good.version.number == 3
    assert f.counters.counts["faults"] == 0 and f.counters.counts["versions_lost"] == 0


def test_the_cap_that_falls_narrows_a_version_in_force_at_once(world):
    w = world()
    f = w.front()
    w.publish("trial most-share=0.1")
    until(lambda: holds(f) == 1)
    f.dispatcher.post_update(
        i.StageUpdate(i.Outcome.COMPLETED, False, 2, 0, i.RolloutPhase.ON_TRIAL, 0.04, 0.0)
    )
    f.dispatcher.apply_updates()
    assert f.dispatcher.balancer.exposure_cap(2)[0] == 0.04 and f.dispatcher.balancer.max_trial_share == 0.04


def test_a_service_that_is_killed_in_a_rollout_goes_on_with_its_numbers(world):
    w = world(rings=(0.5, 1.0))
    first, second = w.front("n0"), w.front("n1")
    w.service.rollout.plan = RolloutPlan((0.5, 1.0), watch_ms=60_000.0)
    w.publish("trial most-share=0.05")
    until(lambda: holds(first) == 1)
    at = w.kill()
    assert holds(second) == 0
    w.serve(at)
    until(lambda: w.service.rollout.phase == VersionRolloutPhase.DONE)
    assert (holds(first), holds(second)) == (1, 1) and first.counters.counts["versions_applied"] == 1
    assert w.publish("trial most-share=0.06")["number"] == 2
    until(lambda: holds(second) == 2)


def scripted(w, name, answer):
    """A front of the wire alone: what it was offered, and its stream."""
    sock, offered = socket.create_connection(w.service.address), []
    sock.sendall(encode_frame("hello", name=name, protocol=1, holds={"epoch": 0, "number": 0, "digest": ""}))

    def run():
        decoder = FrameDecoder()
        while data := sock.recv(65536):
            for frame in decoder.feed(data):
                if frame.kind == "offer":
                    offered.append(frame.fields["number"])
                    f = {n: frame.fields[n] for n in ("nonce", "epoch", "number")}
                    sock.sendall(
                        encode_frame("answer", **f, acked=answer, code="" if answer else "range", text="no")
                    )

    gevent.spawn(run)
    until(lambda: name in w.service.streams)
    return offered


def test_a_bad_ring_of_three_out_of_ten_halts_before_the_other_seven(world):
    w = world(rings=(0.3, 1.0))
    offered = [scripted(w, f"n{n}", answer=n >= 3) for n in range(10)]
    w.publish("trial most-share=0.05")
    until(lambda: w.service.rollout.phase == VersionRolloutPhase.HALTED)
    gevent.sleep(0.05)
    assert offered == [[1], [1], [1]] + [[]] * 7
    w.serve(w.kill())  # a halt outlasts the service
    assert w.service.rollout.phase == VersionRolloutPhase.HALTED and "range" in w.service.rollout.halt_reason
    again = scripted(w, "n0", answer=True)
    gevent.sleep(0.05)
    assert again == [] and w.call(call="rollback", to=1) == {"ok": True, "number": 2}
    until(lambda: again == [2])


def test_a_wall_clock_that_jumps_moves_neither_confirmations_nor_signs_of_life(world, monkeypatch):
    w = world()
    f = w.front()
    w.publish("trial most-share=0.05", head="confirm=(s)60")
    until(lambda: holds(f) == 1)
    now, wall = f.clock(), time.time
    for jump in (-86_400.0, 86_400.0):
        monkeypatch.setattr(time, "time", lambda jump=jump: wall() + jump)
        gevent.sleep(0.05)
        assert 0.0 <= f.clock() - now < 10_000.0 and holds(f) == 1 and "n0" in w.service.streams


@pytest.mark.parametrize(
    "noise", [struct.pack("!IB", 1 << 30, 1), b"\0\0\0\2\1{", encode_frame("hello"), b"GET / HTTP"]
)
def test_noise_ends_one_stream_and_no_other(world, noise):
    w = world()
    offered = scripted(w, "good", True)
    bad = socket.create_connection(w.service.address)
    bad.sendall(noise)
    with gevent.Timeout(5):
        while bad.recv(4096):
            pass
    w.publish("trial most-share=0.05")
    until(lambda: offered == [1])


def test_a_front_bears_a_service_that_spoils_its_frames(world):
    w = world()
    f = w.front()
    link = w.service.streams["n0"]
    for spoilt in (encode_frame("offer", nonce=1), b"\xff" * 9):
        link.put(spoilt)
        while w.service.streams.get("n0") in (None, link):
            gevent.sleep(0.002)
        link = w.service.streams["n0"]
    body = {"nonce": 9, "epoch": 1, "number": 5, "digest": "d", "base": {"epoch": 9, "number": 9}}
    link.put(encode_frame("offer", **body, set=[], dropped=[]))
    link.put(encode_frame("offer", **body | {"nonce": 10, "number": 6}, text=text(6)))
    until(lambda: len(f.config_versions.ledger.past) == 2)
    assert f.counters.counts["versions_refused"] == 2 and f.counters.counts["faults"] == 0 and holds(f) == 0


def test_a_difference_is_sent_where_it_is_small_and_is_what_the_text_says(world):
    w = world()
    f = w.front()
    many = [f'  refuse "10.{n}.0.0/16"' for n in range(200)]
    w.publish("networks {", *many, "}")
    until(lambda: holds(f) == 1)
    until(lambda: w.service.streams["n0"].holds.number == 1)
    queue = w.service.streams["n0"].queue
    seen, put = [], queue.put
    w.service.streams["n0"].queue = SimpleNamespace(
        put=lambda frame: (seen.append(frame), put(frame)), get=queue.get, qsize=queue.qsize
    )
    w.publish("networks {", *many[:-1], "}")
    until(lambda: holds(f) == 2)
    content = f.config_versions.entries_of[f.config_versions.ledger.in_force.version]
    assert len(seen[0]) < 400 and len(content) == 199


def test_sighup_in_the_moment_of_a_version_moves_to_a_service_of_another_epoch(world, tmp_path, monkeypatch):
    w = world()
    f = w.front()
    w.publish("trial most-share=0.05")
    until(lambda: holds(f) == 1)
    other = World(tmp_path / "other")
    other.service.state.epoch = 2
    (tmp_path / "config.json").write_bytes(orjson.dumps(build_config()))
    monkeypatch.setenv("NODE_CONFIG", str(tmp_path / "config.json"))
    w.own.write_text('control "{}:{}"'.format(*other.service.address))
    other.publish("trial most-share=0.02")
    w.publish("trial most-share=0.04")  # both at once, and the signal
    f.reload()
    until(lambda: f.config_versions.ledger.in_force.version.epoch == 2)
    assert f.dispatcher.balancer.max_trial_share == 0.02 and f.counters.counts["faults"] == 0
    w.publish("trial most-share=0.03")
    gevent.sleep(0.05)
    assert f.dispatcher.balancer.max_trial_share == 0.02
    standing = set(f.config_versions.sockets)
    w.own.write_text('control "127.0.0.1:9"')  # nobody is there: the one that stands is followed on
    f.reload()
    gevent.sleep(0.05)
    assert (
        standing <= set(f.config_versions.sockets) and other.publish("trial most-share=0.01")["number"] == 2
    )
    until(lambda: f.dispatcher.balancer.max_trial_share == 0.01)
    w.own.write_text('control "{}:{}"'.format(*other.service.address))
    f.reload()
    until(
        lambda: (
            len(f.config_versions.sockets) == 1
            and f.config_versions.newest_stream in f.config_versions.sockets
        )
    )
    w.own.write_text("control 7")
    f.reload()  # unclear: nothing changes
    assert f.config_versions.address == other.service.address
    other.kill()


def test_a_drip_of_bytes_holds_nobody_and_a_silent_stream_ends(world, monkeypatch):
    monkeypatch.setattr(service, "SILENCE_TIMEOUT_S", 0.2)
    w = world()
    offered = scripted(w, "good", True)
    drip, silent_one = (socket.create_connection(w.service.address) for _ in range(2))
    w.publish("trial most-share=0.05")
    for byte in encode_frame("hello", name="drip", protocol=1, holds={"epoch": 0, "number": 0, "digest": ""}):
        drip.sendall(bytes((byte,)))
        gevent.sleep(0.005)
    until(lambda: offered == [1] and "drip" in w.service.streams)
    with gevent.Timeout(3):
        while silent_one.recv(4096):
            pass


def test_a_front_that_stops_in_the_moment_of_a_version_ends_in_order(world):
    w = world()
    f = w.front()
    w.publish("trial most-share=0.05")
    f.on_term()
    f.reload()
    with gevent.Timeout(5):
        w.greenlets[0].join()
    assert f.counters.counts["faults"] == 0


def failing(monkeypatch, name, error=errno.ENOSPC):
    """The system's call of this name fails until what is returned is called."""

    def fail(*args):
        raise OSError(error, os.strerror(error))

    real = getattr(os, name)
    monkeypatch.setattr(os, name, fail)
    return lambda: monkeypatch.setattr(os, name, real)


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_a_version_that_cannot_be_kept_is_offered_and_forgotten_by_the_next_service(world, monkeypatch, call):
    w = world()
    offered = scripted(w, "n0", True)
    assert w.publish("trial most-share=0.05")["ok"]
    until(lambda: offered == [1])
    mend = failing(monkeypatch, call)
    refused = w.publish("trial most-share=0.04")
    assert not refused["ok"] and "cannot be kept" in refused["why"]
    mend()
    assert w.publish("trial most-share=0.03", number=3)["ok"]
    until(lambda: offered == [1, 3])
    at = w.kill()
    w.serve(at)
    assert (w.service.state.number, [p.number for p in w.service.state.published]) == (3, [1, 3])


def test_a_full_disk_as_a_front_says_hello_keeps_it_from_its_version(world, monkeypatch):
    w = world()
    w.publish("trial most-share=0.05")
    mend = failing(monkeypatch, "fsync")
    offered = scripted(w, "n0", True)
    until(lambda: offered == [1] and w.service.rollout.phase == VersionRolloutPhase.DONE)
    assert w.service.unsaved and Folder(w.folder).load().fronts == []
    mend()
    until(lambda: not w.service.unsaved)
    kept = Folder(w.folder).load()
    assert kept.fronts == ["n0"] and kept.base == w.service.state.base


def test_a_folder_that_cannot_be_synced_after_the_renaming_loses_no_number(world, monkeypatch):
    w = world()
    real = os.open
    monkeypatch.setattr(os, "open", lambda path, *rest: fail_for(path, w.folder, real, *rest))
    assert w.publish("trial most-share=0.05") == {"ok": True, "number": 1}
    assert not w.service.folder.synced and Folder(w.folder).load().number == 1
    monkeypatch.setattr(os, "open", real)
    until(lambda: w.service.folder.synced)


def fail_for(path, folder, real, *rest):
    if path == folder:
        raise OSError(errno.EIO, "no sync")
    return real(path, *rest)


def test_a_state_that_cannot_be_read_is_told_and_not_begun_over(tmp_path):
    (tmp_path / "state.json").write_bytes(b'{"epoch": 1')
    with pytest.raises(StateError, match="higher epoch"):
        Folder(tmp_path).load()


def test_the_commands_of_operators(world, tmp_path):
    w, run = world(), CliRunner().invoke
    offered = scripted(w, "n0", True)
    file = tmp_path / "one.kdl"
    file.write_text(text(1, "trial most-share=0.05"))

    def cli(*words):
        result = gevent.get_hub().threadpool.apply(run, (commands.control, [str(x) for x in words]))
        return result.exit_code, result.output

    until(lambda: (tmp_path / "control.sock").exists())
    assert cli("publish", tmp_path, file) == (0, "version 1 rolls out\n")
    until(lambda: offered == [1])
    assert cli("publish", tmp_path, file)[0] == 1
    assert cli("rollback", tmp_path, 1) == (0, "version 2 brings 1 back\n")
    assert cli("rollback", tmp_path, 7) == (1, "Error: no version 7; kept are 1 to 2\n")
    code, said = cli("status", tmp_path)
    assert code == 0 and "n0: here, holds" in said
    assert orjson.loads(cli("status", tmp_path, "--json")[1])["ok"]
    assert cli("confirm", tmp_path)[0] == 0 and cli("status", tmp_path / "none")[0] == 1
