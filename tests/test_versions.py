"""A control service and fronts on loopback: versions are applied, refused and rolled back, also across
lost connections and failing disks."""

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

from myrtleroad import interface
from myrtleroad.config.frames import FrameDecoder, encode_frame
from myrtleroad.control import commands, front_stream, service
from myrtleroad.control.folder import Folder, StateError
from myrtleroad.control.rollout_types import RolloutPlan, VersionRolloutPhase
from myrtleroad.net import front
from myrtleroad.net.clock import Clock

SERVER_ADDRESS = ("127.0.0.1", 9)
REQUEST = (
    b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: look\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n\r\n"
)


def version_text(number, *lines, head=""):
    return "\n".join((f"version {number} {head}", *lines))


class Deployment:
    """A control service over a folder, and any number of fronts."""

    def __init__(self, folder, rings=(1.0,), **plan):
        self.folder, self.plan = folder, RolloutPlan(rings, watch_ms=0.0, **plan)
        self.fronts, self.greenlets = [], []
        self.serve()

    def serve(self, address=("127.0.0.1", 0)):
        self.service = service.ControlService(Folder(self.folder), self.plan, Clock(), null_log, address)
        self.running = gevent.spawn(self.service.run)

    def kill(self):
        """Kills the service at once; its address is free afterwards."""
        address = self.service.address
        self.running.kill()
        gevent.sleep(0.01)
        return address

    def start_front(self, name="n0"):
        node_config = build_node_config(
            discovery_entry("s-1", SERVER_ADDRESS),
            discovery_entry("s-2", SERVER_ADDRESS, zone="there"),
            name=name,
        )
        self.front_file = self.folder / "front.kdl"
        self.front_file.write_text('control "{}:{}"'.format(*self.service.address))
        created = front.Front(node_config, os.open(os.devnull, os.O_WRONLY), front_file=str(self.front_file))
        self.fronts.append(created)
        self.greenlets.append(gevent.spawn(created.run))
        wait_until(lambda: name in self.service.streams)
        return created

    def call(self, **fields):
        replies = gevent.queue.SimpleQueue()
        self.service.mailbox.put(service.OperatorCall(fields, replies.put))
        return replies.get()

    def publish(self, *lines, number=None, head=""):
        number = number or self.service.store.state.number + 1
        return self.call(call="publish", text=version_text(number, *lines, head=head))


def wait_until(condition):
    with gevent.Timeout(8):
        while not condition():
            gevent.sleep(0.002)


def held_number(running_front):
    return running_front.config_versions.ledger.in_force.version.number


@pytest.fixture
def make_deployment(tmp_path):
    created = []

    def make(**plan):
        created.append(Deployment(tmp_path, **plan))
        return created[-1]

    yield make
    for deployment in created:
        for running_front in deployment.fronts:
            running_front.client_listener.sock.close()
        gevent.killall(deployment.greenlets)
        deployment.kill()


def test_version_limits_balancer_server_list_and_client_listener(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    lines = [
        'routes { route "look" timeout=(ms)700 most-tries=1 }',
        "trial most-share=0.05",
        'aside { machine "s-1"; zone "there" }',
        'tenants { tenant "acme" rate=(per-s)2 }',
    ]
    assert deployment.publish(*lines) == {"ok": True, "number": 1}
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    balancer = running_front.dispatcher.balancer
    assert balancer.settings.routes[0].timeout_ms == 700.0 and balancer.settings.routes[0].max_attempts == 1
    assert balancer.max_trial_share == 0.05
    assert {server.entry.status for server in balancer.servers.values()} == {interface.ServerStatus.DRAINING}
    client = socket.create_connection(running_front.client_listener.sock.getsockname())
    answers = []
    for n in range(4):
        client.sendall(REQUEST % n)
        answers.append(client.recv(4096))
    assert (
        all(b"503" in answer for answer in answers) and running_front.counters.counts["reqs_over_bound"] == 2
    )
    assert deployment.publish("log level=warning") == {"ok": True, "number": 2}
    wait_until(lambda: held_number(running_front) == 2)
    before = len(running_front.log.lines)
    running_front.log("list read")
    running_front.log("fault", level="warning")
    assert (
        len(running_front.log.lines) == before + 1
        and orjson.loads(running_front.log.lines[-1])["level"] == "warning"
    )
    assert balancer.settings.routes[0].timeout_ms == 2000.0 and balancer.max_trial_share == 1.0
    assert {server.entry.status for server in balancer.servers.values()} == {
        interface.ServerStatus.IN_SERVICE
    }
    assert running_front.counters.counts["faults"] == 0


def test_refused_network_gets_no_more_answers(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    client = socket.create_connection(running_front.client_listener.sock.getsockname())
    running_front.client_listener.networks = None
    deployment.publish('networks { refuse "127.0.0.0/9" }')
    gevent.sleep(0.05)
    # Refused: it would cut off the control service itself.
    assert (
        held_number(running_front) == 0 and running_front.config_versions.ledger.past[-1].version.number == 1
    )
    running_front.config_versions.address = ("127.128.0.1", 1)  # as if versions came from another host
    deployment.publish('networks { refuse "127.0.0.0/9" }')
    wait_until(lambda: held_number(running_front) == 2)
    client.sendall(REQUEST % 1)
    assert client.recv(4096).startswith(b"HTTP/1.1 403") and client.recv(4096) == b""


def test_invalid_version_is_refused_with_a_reason_and_the_last_good_one_stays(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    deployment.publish('routes { route "look" most-tries=2 }')
    wait_until(lambda: held_number(running_front) == 1)
    deployment.publish('routes { route "look" most-tries=99 }')
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.HALTED)
    status = deployment.call(call="status")
    assert status["fronts"][0]["code"] == "widens" and "line 2, column 10" in status["fronts"][0]["text"]
    assert (
        held_number(running_front) == 1
        and running_front.dispatcher.balancer.settings.routes[0].max_attempts == 2
    )
    assert (
        "number it 3" in deployment.publish(number=2)["why"]
        and "range" in deployment.publish("trial most-share=7")["why"]
    )
    # The rollback: older content, new number.
    assert deployment.call(call="rollback", to=1) == {
        "ok": True,
        "number": 3,
    }
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    assert (
        held_number(running_front) == 3
        and running_front.dispatcher.balancer.settings.routes[0].max_attempts == 2
    )


def test_version_rolls_back_unless_confirmed_in_time(make_deployment):
    deployment = make_deployment(bad_share=0.0)
    running_front = deployment.start_front()
    deployment.publish("trial most-share=0.05")
    wait_until(lambda: held_number(running_front) == 1)
    deployment.publish("trial most-share=0.01", head="confirm=(s)1")
    wait_until(lambda: held_number(running_front) == 2)
    assert running_front.dispatcher.balancer.max_trial_share == 0.01
    wait_until(lambda: held_number(running_front) == 1)
    assert (
        running_front.dispatcher.balancer.max_trial_share == 0.05
        and running_front.counters.counts["versions_rolled_back"] == 1
    )
    wait_until(lambda: deployment.call(call="status")["fronts"][0]["holds"][1] == 1)
    deployment.publish("trial most-share=0.02", head="confirm=(s)1")
    wait_until(lambda: held_number(running_front) == 3)
    assert deployment.call(call="confirm")["fronts"] == 1
    gevent.sleep(1.2)
    assert (
        held_number(running_front) == 3 and running_front.config_versions.ledger.last_good.version.number == 3
    )
    assert (
        running_front.counters.counts["faults"] == 0 and running_front.counters.counts["versions_lost"] == 0
    )


def test_lower_cap_narrows_a_version_in_force_at_once(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    deployment.publish("trial most-share=0.1")
    wait_until(lambda: held_number(running_front) == 1)
    running_front.dispatcher.post_update(
        interface.StageUpdate(
            interface.Outcome.COMPLETED, False, 2, 0, interface.RolloutPhase.ON_TRIAL, 0.04, 0.0
        )
    )
    running_front.dispatcher.apply_updates()
    assert (
        running_front.dispatcher.balancer.exposure_cap(2)[0] == 0.04
        and running_front.dispatcher.balancer.max_trial_share == 0.04
    )


def test_service_killed_during_a_rollout_continues_its_numbers(make_deployment):
    deployment = make_deployment(rings=(0.5, 1.0))
    first, second = deployment.start_front("n0"), deployment.start_front("n1")
    deployment.service.rollout.plan = RolloutPlan((0.5, 1.0), watch_ms=60_000.0)
    deployment.publish("trial most-share=0.05")
    wait_until(lambda: held_number(first) == 1)
    address = deployment.kill()
    assert held_number(second) == 0
    deployment.serve(address)
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    assert (held_number(first), held_number(second)) == (1, 1) and first.counters.counts[
        "versions_applied"
    ] == 1
    assert deployment.publish("trial most-share=0.06")["number"] == 2
    wait_until(lambda: held_number(second) == 2)


def connect_scripted_front(deployment, name, answer):
    """Connects a front that only answers offers. Returns the list of offered numbers."""
    sock, offered = socket.create_connection(deployment.service.address), []
    sock.sendall(encode_frame("hello", name=name, protocol=1, holds={"epoch": 0, "number": 0, "digest": ""}))

    def run():
        decoder = FrameDecoder()
        while data := sock.recv(65536):
            for frame in decoder.feed(data):
                if frame.kind == "offer":
                    offered.append(frame.fields["number"])
                    fields = {key: frame.fields[key] for key in ("nonce", "epoch", "number")}
                    sock.sendall(
                        encode_frame(
                            "answer", **fields, acked=answer, code="" if answer else "range", text="no"
                        )
                    )

    gevent.spawn(run)
    wait_until(lambda: name in deployment.service.streams)
    return offered


def test_ring_of_three_refusals_halts_before_the_other_seven_fronts(make_deployment):
    deployment = make_deployment(rings=(0.3, 1.0))
    offered = [connect_scripted_front(deployment, f"n{n}", answer=n >= 3) for n in range(10)]
    deployment.publish("trial most-share=0.05")
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.HALTED)
    gevent.sleep(0.05)
    assert offered == [[1], [1], [1]] + [[]] * 7
    deployment.serve(deployment.kill())  # a halt persists over a restart of the service
    assert (
        deployment.service.rollout.phase == VersionRolloutPhase.HALTED
        and "range" in deployment.service.rollout.halt_reason
    )
    offered_again = connect_scripted_front(deployment, "n0", answer=True)
    gevent.sleep(0.05)
    assert offered_again == [] and deployment.call(call="rollback", to=1) == {"ok": True, "number": 2}
    wait_until(lambda: offered_again == [2])


def test_wall_clock_jumps_affect_neither_confirmations_nor_heartbeats(make_deployment, monkeypatch):
    deployment = make_deployment()
    running_front = deployment.start_front()
    deployment.publish("trial most-share=0.05", head="confirm=(s)60")
    wait_until(lambda: held_number(running_front) == 1)
    now, wall = running_front.clock(), time.time
    for jump in (-86_400.0, 86_400.0):
        monkeypatch.setattr(time, "time", lambda jump=jump: wall() + jump)
        gevent.sleep(0.05)
        assert (
            0.0 <= running_front.clock() - now < 10_000.0
            and held_number(running_front) == 1
            and "n0" in deployment.service.streams
        )


@pytest.mark.parametrize(
    "invalid_bytes", [struct.pack("!IB", 1 << 30, 1), b"\0\0\0\2\1{", encode_frame("hello"), b"GET / HTTP"]
)
def test_invalid_bytes_end_only_their_own_stream(make_deployment, invalid_bytes):
    deployment = make_deployment()
    offered = connect_scripted_front(deployment, "good", True)
    bad = socket.create_connection(deployment.service.address)
    bad.sendall(invalid_bytes)
    with gevent.Timeout(5):
        while bad.recv(4096):
            pass
    deployment.publish("trial most-share=0.05")
    wait_until(lambda: offered == [1])


def test_front_survives_invalid_frames_of_the_service(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    stream = deployment.service.streams["n0"]
    for invalid_bytes in (encode_frame("offer", nonce=1), b"\xff" * 9):
        stream.put(invalid_bytes)
        while deployment.service.streams.get("n0") in (None, stream):
            gevent.sleep(0.002)
        stream = deployment.service.streams["n0"]
    body = {"nonce": 9, "epoch": 1, "number": 5, "digest": "d", "base": {"epoch": 9, "number": 9}}
    stream.put(encode_frame("offer", **body, set=[], dropped=[]))
    stream.put(encode_frame("offer", **body | {"nonce": 10, "number": 6}, text=version_text(6)))
    wait_until(lambda: len(running_front.config_versions.ledger.past) == 2)
    assert (
        running_front.counters.counts["versions_refused"] == 2
        and running_front.counters.counts["faults"] == 0
        and held_number(running_front) == 0
    )


def test_small_change_is_sent_as_a_difference_with_the_same_content(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    many = [f'  refuse "10.{n}.0.0/16"' for n in range(200)]
    deployment.publish("networks {", *many, "}")
    wait_until(lambda: held_number(running_front) == 1)
    wait_until(lambda: deployment.service.streams["n0"].holds.number == 1)
    queue = deployment.service.streams["n0"].queue
    sent_frames, put = [], queue.put
    deployment.service.streams["n0"].queue = SimpleNamespace(
        put=lambda frame: (sent_frames.append(frame), put(frame)), get=queue.get, qsize=queue.qsize
    )
    deployment.publish("networks {", *many[:-1], "}")
    wait_until(lambda: held_number(running_front) == 2)
    content = running_front.config_versions.entries_of[running_front.config_versions.ledger.in_force.version]
    assert len(sent_frames[0]) < 400 and len(content) == 199


def test_sighup_during_an_offer_moves_to_a_service_of_another_epoch(make_deployment, tmp_path, monkeypatch):
    deployment = make_deployment()
    running_front = deployment.start_front()
    deployment.publish("trial most-share=0.05")
    wait_until(lambda: held_number(running_front) == 1)
    second_deployment = Deployment(tmp_path / "other")
    second_deployment.service.store.state.epoch = 2
    (tmp_path / "config.json").write_bytes(orjson.dumps(build_config()))
    monkeypatch.setenv("NODE_CONFIG", str(tmp_path / "config.json"))
    deployment.front_file.write_text('control "{}:{}"'.format(*second_deployment.service.address))
    second_deployment.publish("trial most-share=0.02")
    deployment.publish("trial most-share=0.04")  # both services publish just before the signal
    running_front.reload()
    wait_until(lambda: running_front.config_versions.ledger.in_force.version.epoch == 2)
    assert (
        running_front.dispatcher.balancer.max_trial_share == 0.02
        and running_front.counters.counts["faults"] == 0
    )
    deployment.publish("trial most-share=0.03")
    gevent.sleep(0.05)
    assert running_front.dispatcher.balancer.max_trial_share == 0.02
    open_streams = set(running_front.config_versions.sockets)
    # Nothing listens there: the front keeps following the open stream.
    deployment.front_file.write_text('control "127.0.0.1:9"')
    running_front.reload()
    gevent.sleep(0.05)
    assert (
        open_streams <= set(running_front.config_versions.sockets)
        and second_deployment.publish("trial most-share=0.01")["number"] == 2
    )
    wait_until(lambda: running_front.dispatcher.balancer.max_trial_share == 0.01)
    deployment.front_file.write_text('control "{}:{}"'.format(*second_deployment.service.address))
    running_front.reload()
    wait_until(
        lambda: (
            len(running_front.config_versions.sockets) == 1
            and running_front.config_versions.newest_stream in running_front.config_versions.sockets
        )
    )
    deployment.front_file.write_text("control 7")
    running_front.reload()  # invalid: nothing changes
    assert running_front.config_versions.address == second_deployment.service.address
    second_deployment.kill()


def test_slow_stream_delays_no_other_and_a_silent_one_ends(make_deployment, monkeypatch):
    monkeypatch.setattr(front_stream, "SILENCE_TIMEOUT_S", 0.2)
    deployment = make_deployment()
    offered = connect_scripted_front(deployment, "good", True)
    slow, idle = (socket.create_connection(deployment.service.address) for _ in range(2))
    deployment.publish("trial most-share=0.05")
    for byte in encode_frame("hello", name="drip", protocol=1, holds={"epoch": 0, "number": 0, "digest": ""}):
        slow.sendall(bytes((byte,)))
        gevent.sleep(0.005)
    wait_until(lambda: offered == [1] and "drip" in deployment.service.streams)
    with gevent.Timeout(3):
        while idle.recv(4096):
            pass


def test_front_stopped_during_an_offer_ends_without_faults(make_deployment):
    deployment = make_deployment()
    running_front = deployment.start_front()
    deployment.publish("trial most-share=0.05")
    running_front.on_term()
    running_front.reload()
    with gevent.Timeout(5):
        deployment.greenlets[0].join()
    assert running_front.counters.counts["faults"] == 0


def make_failing(monkeypatch, name, error=errno.ENOSPC):
    """Makes a function of ``os`` fail until the returned function is called."""

    def fail(*args):
        raise OSError(error, os.strerror(error))

    real = getattr(os, name)
    monkeypatch.setattr(os, name, fail)
    return lambda: monkeypatch.setattr(os, name, real)


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_version_that_cannot_be_saved_is_refused_and_not_offered(make_deployment, monkeypatch, call):
    deployment = make_deployment()
    offered = connect_scripted_front(deployment, "n0", True)
    assert deployment.publish("trial most-share=0.05")["ok"]
    wait_until(lambda: offered == [1])
    restore = make_failing(monkeypatch, call)
    refused = deployment.publish("trial most-share=0.04")
    assert not refused["ok"] and "cannot be saved" in refused["why"]
    restore()
    assert deployment.publish("trial most-share=0.03", number=3)["ok"]
    wait_until(lambda: offered == [1, 3])
    address = deployment.kill()
    deployment.serve(address)
    assert (
        deployment.service.store.state.number,
        [published.number for published in deployment.service.store.state.published],
    ) == (
        3,
        [1, 3],
    )


def test_full_disk_does_not_keep_a_new_front_from_its_version(make_deployment, monkeypatch):
    deployment = make_deployment()
    deployment.publish("trial most-share=0.05")
    restore = make_failing(monkeypatch, "fsync")
    offered = connect_scripted_front(deployment, "n0", True)
    wait_until(lambda: offered == [1] and deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    assert deployment.service.store.unsaved and Folder(deployment.folder).load().fronts == []
    restore()
    wait_until(lambda: not deployment.service.store.unsaved)
    kept = Folder(deployment.folder).load()
    assert kept.fronts == ["n0"] and kept.base == deployment.service.store.state.base


def test_folder_that_cannot_be_synced_after_the_rename_loses_no_number(make_deployment, monkeypatch):
    deployment = make_deployment()
    real = os.open
    monkeypatch.setattr(
        os, "open", lambda path, *rest: open_unless_folder(path, deployment.folder, real, *rest)
    )
    assert deployment.publish("trial most-share=0.05") == {"ok": True, "number": 1}
    assert not deployment.service.store.folder.synced and Folder(deployment.folder).load().number == 1
    monkeypatch.setattr(os, "open", real)
    wait_until(lambda: deployment.service.store.folder.synced)


def open_unless_folder(path, folder, real, *rest):
    if path == folder:
        raise OSError(errno.EIO, "no sync")
    return real(path, *rest)


def test_unreadable_state_is_reported_and_not_overwritten(tmp_path):
    (tmp_path / "state.json").write_bytes(b'{"epoch": 1')
    with pytest.raises(StateError, match="higher epoch"):
        Folder(tmp_path).load()


def test_operator_commands(make_deployment, tmp_path):
    deployment, run = make_deployment(), CliRunner().invoke
    offered = connect_scripted_front(deployment, "n0", True)
    file = tmp_path / "one.kdl"
    file.write_text(version_text(1, "trial most-share=0.05"))

    def invoke(*arguments):
        result = gevent.get_hub().threadpool.apply(
            run, (commands.control, [str(argument) for argument in arguments])
        )
        return result.exit_code, result.output

    wait_until(lambda: (tmp_path / "control.sock").exists())
    assert invoke("publish", tmp_path, file) == (0, "version 1 rolls out\n")
    wait_until(lambda: offered == [1])
    assert invoke("publish", tmp_path, file)[0] == 1
    assert invoke("rollback", tmp_path, 1) == (0, "version 2 brings 1 back\n")
    assert invoke("rollback", tmp_path, 7) == (1, "Error: no version 7; kept versions are 1 to 2\n")
    exit_code, output = invoke("status", tmp_path)
    assert exit_code == 0 and "n0: here, holds" in output
    assert orjson.loads(invoke("status", tmp_path, "--json")[1])["ok"]
    assert invoke("confirm", tmp_path)[0] == 0 and invoke("status", tmp_path / "none")[0] == 1
