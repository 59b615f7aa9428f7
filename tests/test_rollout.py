"""Rings, halts and the way back, in virtual time."""

from random import Random

import pytest

from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.control.rollout import (
    FrontState,
    Rollout,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)

ONE, TWO, THREE = VersionId(1, 1), VersionId(1, 2), VersionId(1, 3)


def rollout(fronts=10, rings=(0.3, 1.0), **changes):
    r = Rollout(RolloutPlan(rings=rings, watch_ms=1000.0, **changes), ONE)
    for n in range(fronts):
        r.front_connected(f"n{n}", ONE, 0.0)
    return r


def sent(acts):
    return [a.front for a in acts if isinstance(a, SendOffer)]


def test_a_good_version_goes_ring_by_ring():
    r = rollout()
    first = sent(r.publish(TWO, 0.0))
    assert first == ["n0", "n1", "n2"]
    for f in first:
        assert r.answer_received(f, TWO, True, "", "", 10.0) == []
    assert r.tick(1009.0) == []
    second = sent(r.tick(1010.0))
    assert len(second) == 7
    for f in second:
        r.answer_received(f, TWO, True, "", "", 1020.0)
    assert r.tick(2020.0) == [RolloutFinished(TWO)] and r.phase == VersionRolloutPhase.DONE


def test_a_bad_ring_of_three_out_of_ten_halts_before_the_other_seven():
    r = rollout()
    acts = []
    for f in sent(r.publish(TWO, 0.0)):
        acts += r.answer_received(f, TWO, False, "widens", "too much", 10.0)
    assert (
        isinstance(acts[0], RolloutHalted)
        and "widens" in acts[0].reason
        and r.phase == VersionRolloutPhase.HALTED
    )
    assert r.tick(60_000.0) == [] and {f.state for f in r.fronts.values()} >= {FrontState.WAITING}
    assert sum(f.state != FrontState.WAITING for f in r.fronts.values()) == 3
    assert sent(r.publish(THREE, 70_000.0)) == ["n0", "n1", "n2"]  # the way back, under a new number


@pytest.mark.parametrize("how", ["silent", "gone", "back"])
def test_fronts_lost_in_a_ring_halt_it_too(how):
    r = rollout()
    for f in sent(r.publish(TWO, 0.0)):
        if how != "silent":
            r.answer_received(f, TWO, True, "", "", 10.0)
        if how == "gone":
            r.front_disconnected(f, 20.0)
    if how == "back":
        acts = r.front_rolled_back("n1", TWO, ONE, "not confirmed in time", 500.0)
    else:
        assert r.tick(9000.0) == [] or how == "silent"
        acts = r.tick(20_000.0)
    assert any(isinstance(a, RolloutHalted) for a in acts) and not sent(acts)


def test_a_front_that_restarts_within_its_time_is_offered_again_and_not_counted():
    r = rollout()
    ring = sent(r.publish(TWO, 0.0))
    for f in ring:
        r.answer_received(f, TWO, True, "", "", 10.0)
    r.front_disconnected("n1", 20.0)
    acts = r.front_connected("n1", ONE, 5000.0)
    assert sent(acts) == ["n1"] and r.phase == VersionRolloutPhase.ROLLING
    r.answer_received("n1", TWO, True, "", "", 5010.0)
    assert len(sent(r.tick(6010.0))) == 7


def test_one_refusal_of_ten_is_borne_where_the_plan_says_so():
    r = rollout(fronts=20, rings=(0.5, 1.0), bad_share=0.1)
    for n, f in enumerate(sent(r.publish(TWO, 0.0))):
        r.answer_received(f, TWO, n > 0, "range", "old build", 10.0)
    assert len(sent(r.tick(1010.0))) == 10 and r.phase == VersionRolloutPhase.ROLLING


def test_a_front_that_comes_late_gets_what_all_hold_and_a_new_one_its_ring():
    r = rollout(fronts=3, rings=(1.0,))
    for f in sent(r.publish(TWO, 0.0)):
        r.answer_received(f, TWO, True, "", "", 10.0)
    assert r.tick(1010.0) == [RolloutFinished(TWO)]
    assert sent(r.front_connected("late", NO_VERSION, 2000.0)) == ["late"]
    r = rollout()
    r.publish(TWO, 0.0)
    assert r.front_connected("zz", NO_VERSION, 5.0) == [
        SendOffer("zz", ONE)
    ]  # its ring has not come: what all should hold


def test_a_restarted_service_does_not_take_the_first_front_that_comes_for_all():
    r = Rollout(RolloutPlan((0.5, 1.0), watch_ms=0.0, restart_timeout_ms=10_000.0), ONE)
    r.expect_fronts(["n0", "n1"], 100.0)
    r.publish(TWO, 100.0)
    assert (
        r.front_connected("n0", TWO, 200.0) == []
        and r.phase == VersionRolloutPhase.ROLLING
        and r.tick(9000.0) == []
    )
    assert sent(r.front_connected("n1", ONE, 9500.0)) == ["n1"]
    assert r.answer_received("n1", TWO, True, "", "", 9600.0) == [RolloutFinished(TWO)]


def test_names_must_go_up_and_plans_must_make_sense():
    r = rollout()
    r.publish(TWO, 0.0)
    with pytest.raises(ValueError):
        r.publish(TWO, 1.0)
    assert RolloutPlan().faults() == []
    assert len(RolloutPlan(rings=(0.5, 0.4), bad_share=1.0, watch_ms=-1.0).faults()) == 3


@pytest.mark.parametrize("seed", range(30))
def test_whatever_comes_no_ring_is_passed_with_more_bad_fronts_than_the_plan_bears(seed):
    r, random, now = rollout(fronts=12, rings=(0.25, 0.5, 1.0), bad_share=0.2), Random(seed), 0.0
    acts, passed = r.publish(TWO, now), 0
    pending = sent(acts)
    for _ in range(400):
        now += random.expovariate(1 / 300)
        what, name = random.random(), f"n{random.randrange(12)}"
        ring = r.ring
        if pending and what < 0.6:
            acts = r.answer_received(pending.pop(), TWO, random.random() > 0.1, "range", "", now)
        elif what < 0.7:
            acts = r.front_disconnected(name, now)
        elif what < 0.8 and not r.fronts[name].connected:
            acts = r.front_connected(name, r.fronts[name].holds, now)
        else:
            acts = r.tick(now)
        pending += [f for f in sent(acts) if f not in pending]
        if r.ring > ring or r.phase == VersionRolloutPhase.DONE:
            passed += 1
            bad = sum(
                f.state in (FrontState.REFUSED, FrontState.BACK, FrontState.LOST) for f in r.fronts.values()
            )
            assert bad <= 0.2 * len(r.ring_members(r.ring))
        if r.phase == VersionRolloutPhase.HALTED:
            assert not sent(r.tick(now))
    assert r.phase in (VersionRolloutPhase.HALTED, VersionRolloutPhase.DONE, VersionRolloutPhase.ROLLING)
