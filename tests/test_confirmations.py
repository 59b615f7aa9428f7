"""What the confirmation of a version, or its lack, changes for each front, over restarts of fronts and of
the control service."""

import errno
from dataclasses import replace

import gevent
import orjson
import pytest
import test_versions
from click.testing import CliRunner
from gevent import socket
from test_ledger import answer_codes, make_ledger, make_offer, process_offer
from test_versions import held_number, make_failing, wait_until

from myrtleroad.config.ledger import NO_VERSION, ApplyVersion, VersionId, VersionState
from myrtleroad.control import boot_clock, commands
from myrtleroad.control.folder import Folder, Published, State
from myrtleroad.control.rollout_types import VersionRolloutPhase

make_deployment = test_versions.make_deployment
CONFIRM_S = 1  # the shortest that a version may ask for


def publish_unconfirmed(deployment, *fronts, share=0.05):
    """Publishes a version that asks for a confirmation and waits until these fronts hold it."""
    number = deployment.publish(f"trial most-share={share}", head=f"confirm=(s){CONFIRM_S}")["number"]
    wait_until(lambda: all(held_number(front) == number for front in fronts))
    return number


def disconnect(front):
    """Cuts a front off from the control service; ``connect`` of its versions brings it back."""
    versions = front.config_versions
    versions.newest_stream += 1
    for stream in list(versions.sockets):
        versions.end_stream(stream, "test")


def restart_service(deployment):
    """Kills the service and starts it again on its folder and address."""
    deployment.serve(deployment.kill())


@pytest.mark.parametrize("service_restarts", [False, True])
@pytest.mark.parametrize("name", ["n0", "n1"])
def test_front_that_starts_after_the_confirmation_keeps_the_version(make_deployment, name, service_restarts):
    # Guards against review case 7: the version went back at a front that restarted or came later.
    deployment = make_deployment()
    first = deployment.start_front()
    publish_unconfirmed(deployment, first)
    assert deployment.call(call="confirm")["fronts"] == 1
    disconnect(first)
    if service_restarts:
        restart_service(deployment)
    started = deployment.start_front(name)
    wait_until(lambda: held_number(started) == 1)
    gevent.sleep(CONFIRM_S + 0.3)
    assert (held_number(started), held_number(first)) == (1, 1)
    assert started.config_versions.ledger.last_good.version.number == 1


@pytest.mark.parametrize("service_restarts", [False, True])
def test_front_that_was_away_when_the_version_was_confirmed_takes_it_again(make_deployment, service_restarts):
    # Guards against a front that rolls a confirmed version back for good, as it did not hear of it.
    deployment = make_deployment()
    here, away, early = (deployment.start_front(name) for name in ("n0", "n1", "n2"))
    publish_unconfirmed(deployment, here, away, early)
    disconnect(away)
    disconnect(early)
    wait_until(lambda: list(deployment.service.streams) == ["n0"])
    answer = deployment.call(call="confirm")
    assert (answer["fronts"], answer["waiting"]) == (1, [])
    if service_restarts:
        restart_service(deployment)
    gevent.spawn(early.config_versions.connect)  # before its own time is over
    wait_until(lambda: held_number(away) == 0)
    gevent.spawn(away.config_versions.connect)
    wait_until(lambda: held_number(away) == 1)
    gevent.sleep(CONFIRM_S + 0.3)
    assert [held_number(front) for front in (here, away, early)] == [1, 1, 1]
    assert early.counters.counts["versions_rolled_back"] == 0


def test_ring_that_gets_the_version_after_its_confirmation_keeps_it(make_deployment):
    # Guards against a later ring that waits for a confirmation which has been given.
    deployment = make_deployment(rings=(0.5, 1.0))
    first, second = deployment.start_front("n0"), deployment.start_front("n1")
    deployment.service.rollout.plan = test_versions.RolloutPlan((0.5, 1.0), watch_ms=500.0)
    publish_unconfirmed(deployment, first)
    assert deployment.call(call="confirm")["fronts"] == 1 and held_number(second) == 0
    wait_until(lambda: held_number(second) == 1)
    gevent.sleep(CONFIRM_S + 0.3)
    assert (held_number(first), held_number(second)) == (1, 1)


@pytest.mark.parametrize("broken", ["fsync", "replace", "open"])
def test_confirmation_that_cannot_be_saved_is_refused(make_deployment, monkeypatch, broken):
    # Guards against an answer of `confirm` that a killed service has forgotten.
    deployment = make_deployment()
    front = deployment.start_front()
    publish_unconfirmed(deployment, front)
    restore = make_failing(monkeypatch, broken, errno.EIO)
    refused = deployment.call(call="confirm")
    restore()
    assert not refused["ok"] and "confirm again" in refused["why"]
    assert deployment.call(call="confirm")["fronts"] == 1
    assert Folder(deployment.folder).load().published[0].confirmation == "confirmed"


def test_confirmation_that_overtakes_the_check_of_its_version_counts():
    # Guards against a confirmation that is dropped as the version is not in force yet.
    ledger = make_ledger()
    ledger.offer_received(make_offer(1, confirm=1000.0))
    assert not ledger.confirm_received(VersionId(1, 1))
    assert ledger.check_finished(1, 0) == [ApplyVersion(VersionId(1, 1))]
    ledger.offer_received(make_offer(2, confirm=1000.0))
    assert not ledger.confirm_received(VersionId(1, 2))  # queued
    ledger.apply_finished(VersionId(1, 1), 0.0)
    assert ledger.in_force.state == VersionState.CONFIRMED
    ledger.check_finished(2, 0)
    ledger.apply_finished(VersionId(1, 2), 0.0)
    assert (ledger.in_force.version.number, ledger.tick(5000.0)) == (2, [])
    process_offer(ledger, make_offer(3, confirm=1000.0))
    ledger.offer_received(replace(make_offer(3, 30, digest="x"), confirmed=True))
    assert ledger.in_force.state == VersionState.APPLIED  # other content was confirmed
    assert ledger.confirm_received(VersionId(1, 3)) and ledger.confirm_received(VersionId(1, 3))


def publish_base(deployment, *fronts):
    """Publishes a version that needs no confirmation and waits until its rollout is done."""
    deployment.publish("trial most-share=0.5")
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    wait_until(lambda: all(held_number(front) == 1 for front in fronts))


@pytest.mark.parametrize("service_restarts", ["never", "in time", "afterwards", "after a reboot"])
def test_expired_version_is_offered_to_no_front_that_comes_later(
    make_deployment, monkeypatch, service_restarts
):
    # Guards against review case 8: a front that came later got the version that had gone back everywhere.
    deployment = make_deployment()
    first = deployment.start_front()
    publish_base(deployment, first)
    publish_unconfirmed(deployment, first)
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.AWAITING_CONFIRMATION)
    if service_restarts == "in time":
        restart_service(deployment)
    elif service_restarts != "never":
        address = deployment.kill()
        if service_restarts == "after a reboot":
            monkeypatch.setattr(boot_clock, "read_boot_id", lambda: "another boot")
        else:
            wait_until(lambda: held_number(first) == 1)
        deployment.serve(address)
    wait_until(lambda: held_number(first) == 1)
    assert "was not confirmed in time" in deployment.call(call="confirm")["why"]
    later = deployment.start_front("n1")
    wait_until(lambda: held_number(later) == 1)
    gevent.sleep(0.2)
    assert (later.counters.counts["versions_offered"], held_number(later), held_number(first)) == (1, 1, 1)
    assert deployment.call(call="status")["confirmation"] == "expired"
    assert deployment.publish("trial most-share=0.1")["number"] == 3
    wait_until(lambda: held_number(first) == held_number(later) == 3)


@pytest.mark.parametrize("confirmed", [False, True])
def test_front_that_comes_within_the_time_shares_it_and_falls_back_to_the_base(make_deployment, confirmed):
    # Guards against a late front with a time of its own, or one that falls back to no version.
    deployment = make_deployment()
    first = deployment.start_front()
    publish_base(deployment, first)
    publish_unconfirmed(deployment, first)
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.AWAITING_CONFIRMATION)
    gevent.sleep(CONFIRM_S / 2)
    later = deployment.start_front("n1")
    wait_until(lambda: held_number(later) == 2)
    assert (ledger := later.config_versions.ledger).last_good.version.number == 1
    assert ledger.confirm_deadline_ms - later.clock() <= CONFIRM_S * 500.0
    if confirmed:
        assert deployment.call(call="confirm")["fronts"] == 2
        disconnect(later)
        assert Folder(deployment.folder).load().base == (1, 2)
    gevent.sleep(CONFIRM_S)
    assert {held_number(first), held_number(later)} == {2 if confirmed else 1}


def test_front_cut_off_past_the_time_is_told_when_it_connects(make_deployment):
    # Guards against a front that holds an expired version longer than all others.
    deployment = make_deployment()
    first, away = deployment.start_front("n0"), deployment.start_front("n1")
    publish_base(deployment, first, away)
    publish_unconfirmed(deployment, first, away)
    disconnect(away)
    away.config_versions.ledger.confirm_deadline_ms += 60_000.0
    wait_until(lambda: held_number(first) == 1)
    assert held_number(away) == 2
    gevent.spawn(away.config_versions.connect)
    wait_until(lambda: held_number(away) == 1)
    wait_until(lambda: deployment.service.rollout.fronts["n1"].holds.number == 1)


def test_base_version_is_kept_under_any_number_of_versions_that_expire(tmp_path):
    # Guards against a front that starts with no version after many that were not confirmed.
    folder, versions = Folder(tmp_path), [Published(1, n, "", "") for n in range(1, 300)]
    folder.save(State(1, 299, (1, 2), versions))
    kept = folder.load().published
    assert [kept[0].number, kept[1].number, len(kept)] == [2, 200, 101]


def test_version_without_a_record_of_its_confirmation_is_offered_to_nobody(make_deployment):
    # Guards against a state of an earlier release that is taken for confirmed, or for expired.
    deployment = make_deployment()
    publish_unconfirmed(deployment)
    address = deployment.kill()
    stored = orjson.loads((deployment.folder / "state.json").read_bytes())
    del stored["published"][0]["confirmation"], stored["published"][0]["confirm_deadline"]
    (deployment.folder / "state.json").write_bytes(orjson.dumps(stored | {"base": [1, 1]}))
    deployment.serve(address)
    front = deployment.start_front()
    assert "does not tell" in deployment.call(call="confirm")["why"]
    assert front.counters.counts["versions_offered"] == 0
    assert deployment.call(call="rollback", to=1)["number"] == 2
    wait_until(lambda: held_number(front) == 2)


def test_expired_version_that_is_still_checked_or_queued_is_not_applied():
    # Guards against a front that applies a version after its time.
    ledger = make_ledger()
    ledger.offer_received(make_offer(1, confirm=1000.0))
    assert answer_codes(ledger.expire_received(VersionId(1, 1))) == [(1, "rolled-back")]
    assert ledger.check_finished(1, 0) == [] and ledger.in_progress is None
    ledger.offer_received(make_offer(2, confirm=1000.0))
    ledger.check_finished(2, 0)
    ledger.offer_received(make_offer(3, confirm=1000.0))
    assert answer_codes(ledger.expire_received(VersionId(1, 3))) == [(3, "rolled-back")]
    ledger.expire_received(VersionId(1, 2))  # it is being applied
    ledger.apply_finished(VersionId(1, 2), 5.0)
    assert ledger.tick(5.0)[0] == ApplyVersion(NO_VERSION)
    assert answer_codes(process_offer(ledger, make_offer(1, 10))) == [(10, "rolled-back")]


@pytest.mark.parametrize("confirmed", [True, False])
def test_confirmed_version_that_is_brought_back_needs_no_further_confirmation(make_deployment, confirmed):
    # Guards against a rollback to a confirmed version that goes back by itself, to what it was to replace.
    deployment = make_deployment()
    front = deployment.start_front()
    publish_unconfirmed(deployment, front)
    if confirmed:
        deployment.call(call="confirm")
    deployment.publish("trial most-share=0.9")
    wait_until(lambda: deployment.service.rollout.phase == VersionRolloutPhase.DONE)
    assert deployment.call(call="rollback", to=1)["number"] == 3
    wait_until(lambda: held_number(front) == 3)
    gevent.sleep(CONFIRM_S + 0.3)
    assert held_number(front) == (3 if confirmed else 2)
    if confirmed:  # also when it was brought back before
        deployment.call(call="rollback", to=3)
        assert deployment.service.store.versions[max(deployment.service.store.versions)].confirm_ms is None


@pytest.mark.parametrize("answer", [b"", b'{"ok": tr'])
def test_command_whose_answer_is_cut_off_says_that_it_may_have_been_carried_out(tmp_path, answer):
    # Guards against a killed service whose last confirmation is reported as not made.
    calls = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    calls.bind(str(tmp_path / "control.sock"))
    calls.listen(1)

    def answer_once():
        sock, _ = calls.accept()
        sock.recv(4096)
        sock.sendall(answer)
        sock.close()

    gevent.spawn(answer_once)
    result = gevent.get_hub().threadpool.apply(
        CliRunner().invoke, (commands.control, ["confirm", str(tmp_path)])
    )
    calls.close()
    assert result.exit_code == 1 and "may have been carried out" in result.output


def test_number_of_a_version_that_could_not_be_saved_stays_free(make_deployment, monkeypatch):
    # Guards against "publish it again later" for a text whose number is then refused as taken.
    deployment = make_deployment()
    restore = make_failing(monkeypatch, "replace")
    assert "publish it again" in deployment.publish("trial most-share=0.4", number=1)["why"]
    restore()
    assert deployment.publish("trial most-share=0.4", number=1) == {"ok": True, "number": 1}
