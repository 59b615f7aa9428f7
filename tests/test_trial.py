"""Test of a build on trial: the statistics and the verdict on each stage."""

import random

import pytest
from conftest import build_settings
from scipy.stats import ttest_ind

from myrtleroad import interface
from myrtleroad.interface import Verdict
from myrtleroad.policy.trial import TrialTest, yuen_cuped


def test_without_covariate_the_result_is_that_of_yuens_test():
    draw = random.Random(3)
    trial_scores = [draw.lognormvariate(0.2, 1) for _ in range(230)]
    earlier_scores = [draw.lognormvariate(0.0, 1) for _ in range(310)]
    p, trial_mean, earlier_mean = yuen_cuped(
        [(v, 0.0) for v in trial_scores], [(v, 0.0) for v in earlier_scores], 1.0
    )
    assert p == pytest.approx(
        ttest_ind(trial_scores, earlier_scores, equal_var=False, trim=0.01, alternative="greater").pvalue
    )
    assert trial_mean > earlier_mean


def test_covariate_against_a_calculation_by_hand():
    trial, earlier = (
        [(y, x, 0.0) for y, x in zip(side, (1.0, 2.0, 3.0), strict=True)]
        for side in ((6.0, 6.0, 9.0), (2.0, 2.0, 5.0))
    )
    # h(h-1) = 6; sums of squares: y 6, x 2, xy 3; theta 3/2; variance each (6 + 2.25*2 - 3*3)/6 = 0.25
    p, trial_mean, earlier_mean = yuen_cuped(trial, earlier, 1.0)
    assert (trial_mean, earlier_mean) == (7.0, 3.0)
    # t = 4 / sqrt(0.5) on 4 degrees of freedom: with x = t / sqrt(4 + t^2), p = 1/2 - x/2 (1 + (1 - x^2)/2)
    assert p == pytest.approx(0.00240634, rel=1e-5)


def test_zero_variance_decides_by_the_difference_of_the_means():
    assert yuen_cuped([(5.0, 0.0, 0.0, 2.0)] * 4, [(2.0, 0.0, 0.0, 2.0)] * 4, 1.3)[0] == 0.0
    assert yuen_cuped([(2.0, 0.0, 0.0, 2.0)] * 4, [(2.0, 0.0, 0.0, 2.0)] * 4, 1.3)[0] == 1.0


@pytest.fixture
def trial_test():
    trial_test = TrialTest(build_settings())
    trial_test.start_trial(2)
    return trial_test


def add_sample(trial_test, build, score, at, concurrency=2.0, completed=True):
    trial_test.add_sample(build, 0, score, concurrency, completed, build == trial_test.build, float(at))


def add_samples(trial_test, trial, earlier):
    for n in range(40):
        add_sample(trial_test, 2, trial + n % 7, n)
        add_sample(trial_test, 1, earlier + n % 7, n)


def test_no_vote_before_the_stage_duration_has_passed(trial_test):
    add_samples(trial_test, 900.0, 100.0)
    assert trial_test.decide(0, 100.0, False)[0] == Verdict.NONE


def test_trial_advances_without_samples(trial_test):
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_significant_slowdown_rolls_back(trial_test):
    add_samples(trial_test, 200.0, 100.0)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.BACK


def test_trial_within_the_margin_advances(trial_test):
    add_samples(trial_test, 120.0, 100.0)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_few_plainly_slow_samples_hold_the_trial_once_at_any_stage(trial_test):
    # Guards against advancing a trial that is five times as slow but has fewer than 20 samples, as in small
    # stages.
    for n in range(200):
        add_sample(trial_test, 1, 100.0 + n % 7, n)
    for n in range(8):
        add_sample(trial_test, 2, 480.0 + 10 * n, n)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.HOLD
    assert trial_test.decide(0, 2 * trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_single_slow_sample_among_few_does_not_hold_the_trial(trial_test):
    for n in range(200):
        add_sample(trial_test, 1, 100.0 + n % 7, n)
    for n in range(8):
        add_sample(trial_test, 2, 100.0 if n else 900.0, n)
    assert trial_test.decide(2, trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_insignificant_slowdown_past_the_margin_is_held_once_at_the_last_stage(trial_test):
    for n in range(20):
        add_sample(trial_test, 2, 100.0 if n % 5 else 550.0, n)
        add_sample(trial_test, 1, 100.0 + n, n)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.ON
    assert trial_test.decide(2, trial_test.stage_duration_ms, False)[0] == Verdict.HOLD
    assert trial_test.decide(2, 2 * trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_both_builds_are_compared_over_the_same_time(trial_test):
    for n in range(60):
        add_sample(trial_test, 2, 900.0 if n < 30 else 100.0 + n, n)
        if n >= 30:
            add_sample(trial_test, 1, 100.0 + n, n)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.ON


def test_released_build_that_turns_slow_is_rolled_back(trial_test):
    add_samples(trial_test, 100.0, 100.0)
    assert trial_test.decide(2, trial_test.stage_duration_ms, True)[0] == Verdict.NONE
    for n in range(250):
        add_sample(trial_test, 2, 300.0 + n % 7, n)
    assert trial_test.decide(2, 2 * trial_test.stage_duration_ms, True)[0] == Verdict.BACK


def test_load_alone_does_not_roll_back_a_released_build(trial_test):
    add_samples(trial_test, 100.0, 100.0)
    for n in range(250):
        add_sample(trial_test, 2, 300.0 + n % 7, n, concurrency=6.0)
    assert trial_test.decide(2, trial_test.stage_duration_ms, True)[0] == Verdict.NONE


def test_build_that_slows_all_servers_alike_is_rolled_back(trial_test):
    trial_test.before = [(100.0 + n % 7, 0.0, 0.0, 2.0, True) for n in range(60)]
    add_samples(trial_test, 400.0, 400.0)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.BACK


def test_errors_of_both_builds_do_not_hide_a_slow_build(trial_test):
    for n in range(60):
        for build, score in ((2, 300.0), (1, 100.0)):
            add_sample(trial_test, build, 2000.0 if n % 3 == 0 else score + n % 7, n, completed=n % 3 != 0)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.BACK


def test_errors_of_both_builds_alike_do_not_roll_back(trial_test):
    trial_test.before = [(100.0 + n % 7, 0.0, 0.0, 2.0, True) for n in range(60)]
    for n in range(60):
        for build in (2, 1):
            add_sample(trial_test, build, 2000.0 if n % 3 == 0 else 100.0 + n % 7, n, completed=n % 3 != 0)
    assert trial_test.decide(0, trial_test.stage_duration_ms, False)[0] == Verdict.ON


def add_counts(trial_test, build, errors, mean_ms=100.0):
    for route, wrong in enumerate(errors):
        trial_test.add_counts(interface.AttemptCounts(build, route, 40, wrong, mean_ms, 500.0))


@pytest.fixture
def trial_test_without_samples():
    trial_test = TrialTest(build_settings())
    add_counts(trial_test, 1, (0, 0, 0))
    trial_test.start_trial(2)
    return trial_test


def test_front_short_of_samples_uses_the_platforms_counts(trial_test_without_samples):
    add_counts(trial_test_without_samples, 1, (0, 0, 0))
    add_counts(trial_test_without_samples, 2, (12, 14, 13))
    assert trial_test_without_samples.decide(0, 0.0, False)[0] == Verdict.BACK


def test_counts_with_one_bad_route_or_equal_builds_do_not_roll_back(trial_test_without_samples):
    add_counts(trial_test_without_samples, 1, (0, 2, 30))
    add_counts(trial_test_without_samples, 2, (1, 3, 38), mean_ms=140.0)
    assert trial_test_without_samples.decide(0, 0.0, False)[0] == Verdict.NONE


def test_counts_of_a_far_slower_trial_roll_back(trial_test_without_samples):
    add_counts(trial_test_without_samples, 1, (0, 0, 0))
    add_counts(trial_test_without_samples, 2, (0, 0, 0), mean_ms=350.0)
    assert trial_test_without_samples.decide(0, 0.0, False)[0] == Verdict.BACK


def test_counts_after_a_release_are_compared_with_those_before_the_trial(trial_test_without_samples):
    add_counts(trial_test_without_samples, 2, (20, 20, 20))
    # Connections that are refused to all fronts look the same in the counts.
    assert trial_test_without_samples.decide(2, 0.0, True)[0] == Verdict.NONE
    for n in range(5):
        add_sample(trial_test_without_samples, 2, 2000.0, n, completed=n > 2)
    add_counts(trial_test_without_samples, 2, (20, 20, 20))
    assert trial_test_without_samples.decide(2, 0.0, True)[0] == Verdict.BACK


def test_front_with_enough_samples_ignores_the_counts(trial_test_without_samples):
    add_samples(trial_test_without_samples, 100.0, 100.0)
    add_counts(trial_test_without_samples, 1, (0, 0, 0))
    add_counts(trial_test_without_samples, 2, (30, 30, 30))
    assert trial_test_without_samples.decide(0, 0.0, False)[0] == Verdict.NONE


def test_while_overloaded_samples_of_all_servers_show_a_build_that_slows_them_alike(trial_test):
    # Guards against few and noisy attempts on the trial build hiding what attempts on the earlier build show
    # just as well.
    for n in range(400):
        add_sample(trial_test, 1, 100.0 + n % 9, n)
    trial_test.start_trial(3)
    for n in range(400):
        add_sample(trial_test, 1, (40.0, 100.0, 410.0)[n % 3], 400 + n)
        if n % 18 == 0:
            add_sample(trial_test, 3, (40.0, 100.0, 410.0)[n // 18 % 3], 400 + n)
    assert trial_test.decide(1, trial_test.stage_duration_ms, False)[0] == Verdict.ON
    assert trial_test.decide(2, trial_test.stage_duration_ms, False, overloaded=True)[0] == Verdict.BACK


def test_released_build_is_held_to_the_lower_margin_while_overloaded(trial_test):
    add_samples(trial_test, 100.0, 100.0)
    for n in range(250):
        add_sample(trial_test, 2, 180.0 + n % 7, n)
    assert trial_test.decide(2, trial_test.stage_duration_ms, True)[0] == Verdict.NONE
    assert trial_test.decide(2, 2 * trial_test.stage_duration_ms, True, overloaded=True)[0] == Verdict.BACK


def build_trial_test(trial, earlier=30, score=900.0):
    """The test of one of 200 fronts, 16 of which roll a build back together, with so many samples."""
    trial_test = TrialTest(
        build_settings(balancers=200, rollout={"votes_to_roll_back": 16, "replaces_in_place": True})
    )
    trial_test.start_trial(2)
    for n in range(earlier):
        add_sample(trial_test, 1, 100.0 + 3 * (n % 20), n)
    for n in range(trial):
        add_sample(trial_test, 2, score + 20 * n, n)
    return trial_test


def test_fronts_that_decide_together_need_fewer_samples_each():
    assert build_trial_test(6).decide(1, 8000.0, False)[0] == Verdict.BACK
    assert build_trial_test(6, score=100.0).decide(1, 8000.0, False)[0] == Verdict.ON


def test_small_front_waits_for_samples_for_a_bounded_time():
    trial_test = build_trial_test(2, score=100.0)
    assert trial_test.decide(1, 5000.0, False)[0] == Verdict.NONE
    assert trial_test.decide(1, 7100.0, False)[0] == Verdict.ON


def test_front_that_voted_without_samples_tests_once_it_has_them():
    trial_test = build_trial_test(2)
    assert trial_test.decide(1, 7100.0, False)[0] == Verdict.ON
    for n in range(4):
        add_sample(trial_test, 2, 900.0 + n, 30)
    assert trial_test.decide(1, 9000.0, False)[0] == Verdict.BACK


def test_fewer_fronts_reject_a_good_build_than_a_rollback_takes():
    # Durations vary as those of real attempts do, exponentially. 16 of 200 fronts would have to err together.
    draw, rollbacks = random.Random(5).expovariate, 0
    for _ in range(200):
        trial_test = build_trial_test(0, 0)
        for n in range(40):
            add_sample(trial_test, 1, 300 * draw(1.0), n)
            if n % 5 == 0:
                add_sample(trial_test, 2, 330 * draw(1.0), n)
        rollbacks += trial_test.decide(1, 8000.0, False)[0] == Verdict.BACK
    assert rollbacks < 8
