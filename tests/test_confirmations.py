"""What the confirmation of a version, or its lack, changes for each front, over restarts of fronts and of
the control service."""

import errno

import gevent
import pytest
import test_versions
from test_ledger import make_ledger, make_offer, process_offer
from test_versions import held_number, make_failing, wait_until

from myrtleroad.config.ledger import ApplyVersion, VersionId, VersionState
from myrtleroad.control.folder import Folder

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
    assert ledger.confirm_received(VersionId(1, 3)) and ledger.confirm_received(VersionId(1, 3))
