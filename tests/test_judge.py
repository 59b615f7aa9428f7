import random

import pytest
from conftest import build_settings
from scipy.stats import ttest_ind

from myrtleroad import interface as i
from myrtleroad.interface import Verdict
from myrtleroad.policy.trial import TrialTest, yuen_cuped


def test_without_covariate_it_is_yuens_test():
    draw = random.Random(3)
    a = [draw.lognormvariate(0.2, 1) for _ in range(230)]
    b = [draw.lognormvariate(0.0, 1) for _ in range(310)]
    p, y2, y1 = yuen_cuped([(v, 0.0) for v in a], [(v, 0.0) for v in b], 1.0)
    assert p == pytest.approx(ttest_ind(a, b, equal_var=False, trim=0.01, alternative="greater").pvalue)
    assert y2 > y1


def test_covariate_by_hand():
    trial, earlier = (
        [(y, x, 0.0) for y, x in zip(side, (1.0, 2.0, 3.0), strict=True)]
        for side in ((6.0, 6.0, 9.0), (2.0, 2.0, 5.0))
    )
    # h(h-1) = 6; sums of squares: y 6, x 2, xy 3; theta 3/2; variance each (6 + 2.25*2 - 3*3)/6 = 0.25
    p, y2, y1 = yuen_cuped(trial, earlier, 1.0)
    assert (y2, y1) == (7.0, 3.0)
    # t = 4 / sqrt(0.5) on 4 degrees of freedom: with x = t / sqrt(4 + t^2), p = 1/2 - x/2 (1 + (1 - x^2)/2)
    assert p == pytest.approx(0.00240634, rel=1e-5)


def test_zero_variance_decides_by_the_gap():
    assert yuen_cuped([(5.0, 0.0, 0.0, 2.0)] * 4, [(2.0, 0.0, 0.0, 2.0)] * 4, 1.3)[0] == 0.0
    assert yuen_cuped([(2.0, 0.0, 0.0, 2.0)] * 4, [(2.0, 0.0, 0.0, 2.0)] * 4, 1.3)[0] == 1.0


@pytest.fixture
def judge():
    judge = TrialTest(build_settings())
    judge.offer(2)
    return judge


def give(judge, build, score, at, met=2.0, ok=True):
    judge.take(build, 0, score, met, ok, build == judge.build, float(at))


def fill(judge, trial, earlier):
    for n in range(40):
        give(judge, 2, trial + n % 7, n)
        give(judge, 1, earlier + n % 7, n)


def test_no_vote_before_the_stage_age(judge):
    fill(judge, 900.0, 100.0)
    assert judge.judge(0, 100.0, False)[0] == Verdict.NONE


def test_on_with_one_side_empty(judge):
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.ON


def test_back_on_a_significant_slowdown(judge):
    fill(judge, 200.0, 100.0)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.BACK


def test_on_within_the_margin(judge):
    fill(judge, 120.0, 100.0)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.ON


def test_few_plainly_slow_samples_hold_a_trial_once_at_any_stage(judge):
    # Guards against an on to a trial five times as slow that has under 20 samples, as small stages give.
    for n in range(200):
        give(judge, 1, 100.0 + n % 7, n)
    for n in range(8):
        give(judge, 2, 480.0 + 10 * n, n)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.HOLD
    assert judge.judge(0, 2 * judge.stage_age, False)[0] == Verdict.ON


def test_one_slow_sample_among_few_holds_nothing(judge):
    for n in range(200):
        give(judge, 1, 100.0 + n % 7, n)
    for n in range(8):
        give(judge, 2, 100.0 if n else 900.0, n)
    assert judge.judge(2, judge.stage_age, False)[0] == Verdict.ON


def test_past_the_margin_but_not_significant_is_held_once_at_the_last_stage(judge):
    for n in range(20):
        give(judge, 2, 100.0 if n % 5 else 550.0, n)
        give(judge, 1, 100.0 + n, n)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.ON
    assert judge.judge(2, judge.stage_age, False)[0] == Verdict.HOLD
    assert judge.judge(2, 2 * judge.stage_age, False)[0] == Verdict.ON


def test_both_sides_are_taken_over_the_same_time(judge):
    for n in range(60):
        give(judge, 2, 900.0 if n < 30 else 100.0 + n, n)
        if n >= 30:
            give(judge, 1, 100.0 + n, n)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.ON


def test_a_released_build_that_turns_slow_goes_back(judge):
    fill(judge, 100.0, 100.0)
    assert judge.judge(2, judge.stage_age, True)[0] == Verdict.NONE
    for n in range(250):
        give(judge, 2, 300.0 + n % 7, n)
    assert judge.judge(2, 2 * judge.stage_age, True)[0] == Verdict.BACK


def test_load_alone_does_not_send_a_released_build_back(judge):
    fill(judge, 100.0, 100.0)
    for n in range(250):
        give(judge, 2, 300.0 + n % 7, n, met=6.0)
    assert judge.judge(2, judge.stage_age, True)[0] == Verdict.NONE


def test_a_build_that_slows_every_machine_alike_goes_back(judge):
    judge.before = [(100.0 + n % 7, 0.0, 0.0, 2.0, True) for n in range(60)]
    fill(judge, 400.0, 400.0)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.BACK


def test_errors_of_both_builds_do_not_hide_a_slow_one(judge):
    for n in range(60):
        for build, score in ((2, 300.0), (1, 100.0)):
            give(judge, build, 2000.0 if n % 3 == 0 else score + n % 7, n, ok=n % 3 != 0)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.BACK


def test_errors_that_came_with_no_build_blame_none(judge):
    judge.before = [(100.0 + n % 7, 0.0, 0.0, 2.0, True) for n in range(60)]
    for n in range(60):
        for build in (2, 1):
            give(judge, build, 2000.0 if n % 3 == 0 else 100.0 + n % 7, n, ok=n % 3 != 0)
    assert judge.judge(0, judge.stage_age, False)[0] == Verdict.ON


def tell(judge, build, errors, mean=100.0):
    for route, wrong in enumerate(errors):
        judge.count(i.AttemptCounts(build, route, 40, wrong, mean, 500.0))


@pytest.fixture
def starved():
    judge = TrialTest(build_settings())
    tell(judge, 1, (0, 0, 0))
    judge.offer(2)
    return judge


def test_a_front_short_of_samples_goes_by_the_platforms_counts(starved):
    tell(starved, 1, (0, 0, 0))
    tell(starved, 2, (12, 14, 13))
    assert starved.judge(0, 0.0, False)[0] == Verdict.BACK


def test_counts_of_one_bad_route_or_of_equal_builds_blame_none(starved):
    tell(starved, 1, (0, 2, 30))
    tell(starved, 2, (1, 3, 38), mean=140.0)
    assert starved.judge(0, 0.0, False)[0] == Verdict.NONE


def test_counts_of_a_trial_far_slower_send_it_back(starved):
    tell(starved, 1, (0, 0, 0))
    tell(starved, 2, (0, 0, 0), mean=350.0)
    assert starved.judge(0, 0.0, False)[0] == Verdict.BACK


def test_counts_after_release_are_held_against_those_before(starved):
    tell(starved, 2, (20, 20, 20))
    assert starved.judge(2, 0.0, True)[0] == Verdict.NONE  # refused connections of all fronts look so
    for n in range(5):
        give(starved, 2, 2000.0, n, ok=n > 2)
    tell(starved, 2, (20, 20, 20))
    assert starved.judge(2, 0.0, True)[0] == Verdict.BACK


def test_a_front_with_samples_of_its_own_asks_no_counts(starved):
    fill(starved, 100.0, 100.0)
    tell(starved, 1, (0, 0, 0))
    tell(starved, 2, (30, 30, 30))
    assert starved.judge(0, 0.0, False)[0] == Verdict.NONE


def test_while_laden_all_machines_tell_a_build_that_slows_them_alike(judge):
    # Guards against few and noisy trial tries hiding what the earlier build's tries show just as well.
    for n in range(400):
        give(judge, 1, 100.0 + n % 9, n)
    judge.offer(3)
    for n in range(400):
        give(judge, 1, (40.0, 100.0, 410.0)[n % 3], 400 + n)
        if n % 18 == 0:
            give(judge, 3, (40.0, 100.0, 410.0)[n // 18 % 3], 400 + n)
    assert judge.judge(1, judge.stage_age, False)[0] == Verdict.ON
    assert judge.judge(2, judge.stage_age, False, laden=True)[0] == Verdict.BACK


def test_a_released_build_is_held_to_the_lower_margin_while_laden(judge):
    fill(judge, 100.0, 100.0)
    for n in range(250):
        give(judge, 2, 180.0 + n % 7, n)
    assert judge.judge(2, judge.stage_age, True)[0] == Verdict.NONE
    assert judge.judge(2, 2 * judge.stage_age, True, laden=True)[0] == Verdict.BACK


def many(trial, earlier=30, slow=900.0):
    """The judge of one of 200 fronts, 16 of which send a build back, with so many samples."""
    judge = TrialTest(
        build_settings(balancers=200, roll={"votes_to_roll_back": 16, "replaces_in_place": True})
    )
    judge.offer(2)
    for n in range(earlier):
        give(judge, 1, 100.0 + 3 * (n % 20), n)
    for n in range(trial):
        give(judge, 2, slow + 20 * n, n)
    return judge


def test_fronts_that_decide_together_test_on_fewer_samples_each():
    assert many(6).judge(1, 8000.0, False)[0] == Verdict.BACK
    assert many(6, slow=100.0).judge(1, 8000.0, False)[0] == Verdict.ON


def test_a_small_front_waits_for_samples_and_votes_on_at_last():
    judge = many(2, slow=100.0)
    assert judge.judge(1, 5000.0, False)[0] == Verdict.NONE
    assert judge.judge(1, 7100.0, False)[0] == Verdict.ON


def test_a_front_that_voted_without_samples_tests_once_it_has_them():
    judge = many(2)
    assert judge.judge(1, 7100.0, False)[0] == Verdict.ON
    for n in range(4):
        give(judge, 2, 900.0 + n, 30)
    assert judge.judge(1, 9000.0, False)[0] == Verdict.BACK


def test_good_builds_are_sent_back_by_far_fewer_fronts_than_it_takes():
    # Noise of real tries: exponential; of 200 fronts 16 would have to err together.
    draw, back = random.Random(5).expovariate, 0
    for _ in range(200):
        judge = many(0, 0)
        for n in range(40):
            give(judge, 1, 300 * draw(1.0), n)
            if n % 5 == 0:
                give(judge, 2, 330 * draw(1.0), n)
        back += judge.judge(1, 8000.0, False)[0] == Verdict.BACK
    assert back < 8
