"""Rings, halts and rollbacks, in virtual time."""

from random import Random

import pytest

from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.control.confirmation import ConfirmationState
from myrtleroad.control.rollout import Rollout
from myrtleroad.control.rollout_types import (
    FrontState,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)

ONE, TWO, THREE = VersionId(1, 1), VersionId(1, 2), VersionId(1, 3)


def make_rollout(fronts=10, rings=(0.3, 1.0), **changes):
    rollout = Rollout(RolloutPlan(rings=rings, watch_ms=1000.0, **changes), ONE)
    for n in range(fronts):
        rollout.front_connected(f"n{n}", ONE, 0.0)
    return rollout


def offered_fronts(actions):
    return [action.front for action in actions if isinstance(action, SendOffer)]


def test_accepted_version_goes_ring_by_ring():
    rollout = make_rollout()
    first = offered_fronts(rollout.publish(TWO, 0.0))
    assert first == ["n0", "n1", "n2"]
    for front in first:
        assert rollout.answer_received(front, TWO, True, "", "", 10.0) == []
    assert rollout.tick(1009.0) == []
    second = offered_fronts(rollout.tick(1010.0))
    assert len(second) == 7
    for front in second:
        rollout.answer_received(front, TWO, True, "", "", 1020.0)
    assert rollout.tick(2020.0) == [RolloutFinished(TWO)] and rollout.phase == VersionRolloutPhase.DONE


def test_ring_of_three_refusals_halts_before_the_other_seven_fronts():
    rollout = make_rollout()
    actions = []
    for front in offered_fronts(rollout.publish(TWO, 0.0)):
        actions += rollout.answer_received(front, TWO, False, "widens", "too much", 10.0)
    assert (
        isinstance(actions[0], RolloutHalted)
        and "widens" in actions[0].reason
        and rollout.phase == VersionRolloutPhase.HALTED
    )
    assert rollout.tick(60_000.0) == [] and {front.state for front in rollout.fronts.values()} >= {
        FrontState.WAITING
    }
    assert sum(front.state != FrontState.WAITING for front in rollout.fronts.values()) == 3
    # The rollback, under a new number.
    assert offered_fronts(rollout.publish(THREE, 70_000.0)) == [
        "n0",
        "n1",
        "n2",
    ]


@pytest.mark.parametrize("failure", ["silent", "gone", "back"])
def test_lost_or_rolled_back_fronts_halt_the_rollout(failure):
    rollout = make_rollout()
    for front in offered_fronts(rollout.publish(TWO, 0.0)):
        if failure != "silent":
            rollout.answer_received(front, TWO, True, "", "", 10.0)
        if failure == "gone":
            rollout.front_disconnected(front, 20.0)
    if failure == "back":
        actions = rollout.front_rolled_back("n1", TWO, ONE, "not confirmed in time", 500.0)
    else:
        assert rollout.tick(9000.0) == [] or failure == "silent"
        actions = rollout.tick(20_000.0)
    assert any(isinstance(action, RolloutHalted) for action in actions) and not offered_fronts(actions)


def test_front_that_restarts_in_time_is_offered_again_and_not_counted_as_lost():
    rollout = make_rollout()
    ring = offered_fronts(rollout.publish(TWO, 0.0))
    for front in ring:
        rollout.answer_received(front, TWO, True, "", "", 10.0)
    rollout.front_disconnected("n1", 20.0)
    actions = rollout.front_connected("n1", ONE, 5000.0)
    assert offered_fronts(actions) == ["n1"] and rollout.phase == VersionRolloutPhase.ROLLING
    rollout.answer_received("n1", TWO, True, "", "", 5010.0)
    assert len(offered_fronts(rollout.tick(6010.0))) == 7


def test_one_refusal_of_ten_is_tolerated_if_the_plan_allows_it():
    rollout = make_rollout(fronts=20, rings=(0.5, 1.0), bad_share=0.1)
    for n, front in enumerate(offered_fronts(rollout.publish(TWO, 0.0))):
        rollout.answer_received(front, TWO, n > 0, "range", "old build", 10.0)
    assert len(offered_fronts(rollout.tick(1010.0))) == 10 and rollout.phase == VersionRolloutPhase.ROLLING


def test_late_front_gets_the_current_version_and_a_new_one_the_base_version():
    rollout = make_rollout(fronts=3, rings=(1.0,))
    for front in offered_fronts(rollout.publish(TWO, 0.0)):
        rollout.answer_received(front, TWO, True, "", "", 10.0)
    assert rollout.tick(1010.0) == [RolloutFinished(TWO)]
    assert offered_fronts(rollout.front_connected("late", NO_VERSION, 2000.0)) == ["late"]
    rollout = make_rollout()
    rollout.publish(TWO, 0.0)
    # Its ring has not started: the base version.
    assert rollout.front_connected("zz", NO_VERSION, 5.0) == [SendOffer("zz", ONE)]


def test_restarted_service_waits_for_all_known_fronts():
    rollout = Rollout(RolloutPlan((0.5, 1.0), watch_ms=0.0, restart_timeout_ms=10_000.0), ONE)
    rollout.expect_fronts(["n0", "n1"], 100.0)
    rollout.publish(TWO, 100.0)
    assert (
        rollout.front_connected("n0", TWO, 200.0) == []
        and rollout.phase == VersionRolloutPhase.ROLLING
        and rollout.tick(9000.0) == []
    )
    assert offered_fronts(rollout.front_connected("n1", ONE, 9500.0)) == ["n1"]
    assert rollout.answer_received("n1", TWO, True, "", "", 9600.0) == [RolloutFinished(TWO)]


def test_versions_must_increase_and_plans_must_be_valid():
    rollout = make_rollout()
    rollout.publish(TWO, 0.0)
    with pytest.raises(ValueError):
        rollout.publish(TWO, 1.0)
    assert RolloutPlan().faults() == []
    assert len(RolloutPlan(rings=(0.5, 0.4), bad_share=1.0, watch_ms=-1.0).faults()) == 3


@pytest.mark.parametrize("seed", range(30))
def test_no_ring_is_passed_with_more_failed_fronts_than_the_plan_allows(seed):
    rollout, random, now = make_rollout(fronts=12, rings=(0.25, 0.5, 1.0), bad_share=0.2), Random(seed), 0.0
    actions, passed = rollout.publish(TWO, now), 0
    pending = offered_fronts(actions)
    for _ in range(400):
        now += random.expovariate(1 / 300)
        event, name = random.random(), f"n{random.randrange(12)}"
        ring = rollout.ring
        if pending and event < 0.6:
            actions = rollout.answer_received(pending.pop(), TWO, random.random() > 0.1, "range", "", now)
        elif event < 0.7:
            actions = rollout.front_disconnected(name, now)
        elif event < 0.8 and not rollout.fronts[name].connected:
            actions = rollout.front_connected(name, rollout.fronts[name].holds, now)
        else:
            actions = rollout.tick(now)
        pending += [front for front in offered_fronts(actions) if front not in pending]
        if rollout.ring > ring or rollout.phase == VersionRolloutPhase.DONE:
            passed += 1
            failed = sum(
                front.state in (FrontState.REFUSED, FrontState.BACK, FrontState.LOST)
                for front in rollout.fronts.values()
            )
            assert failed <= 0.2 * len(rollout.ring_members(rollout.ring))
        if rollout.phase == VersionRolloutPhase.HALTED:
            assert not offered_fronts(rollout.tick(now))
    assert rollout.phase in (
        VersionRolloutPhase.HALTED,
        VersionRolloutPhase.DONE,
        VersionRolloutPhase.ROLLING,
    )


@pytest.mark.parametrize("answer", ["acked", "refused", "none", "gone"])
def test_front_without_the_base_gets_it_before_a_version_that_waits_for_its_confirmation(answer):
    # Guards against a base that is refused, not answered or cut off and holds the rollout up for good.
    rollout = make_rollout(fronts=3, rings=(1.0,))
    rollout.publish(TWO, 0.0, ConfirmationState.PENDING)
    for n in range(3):
        rollout.answer_received(f"n{n}", TWO, True, "", "", 10.0)
    assert rollout.front_connected("late", NO_VERSION, 20.0) == [SendOffer("late", ONE)]
    if answer in ("acked", "refused"):
        actions = rollout.answer_received("late", ONE, answer == "acked", "widens", "", 30.0)
        assert actions == [SendOffer("late", TWO)]
        rollout.answer_received("late", TWO, True, "", "", 40.0)
    elif answer == "none":
        assert isinstance(rollout.tick(20_000.0)[0], RolloutHalted)
        assert rollout.fronts["late"].state == FrontState.LOST
    else:
        assert rollout.front_disconnected("late", 30.0) == [] and rollout.tick(16_000.0) == []
    rollout.tick(40_000.0)
    rollout.tick(50_000.0)
    assert rollout.phase.name == {"none": "HALTED"}.get(answer, "AWAITING_CONFIRMATION")
