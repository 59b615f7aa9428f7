"""The statistics of the trial against numpy and scipy: over a grid each decision is that of theirs."""

import random
from math import sqrt

import numpy as np
import pytest
from conftest import build_settings
from scipy.special import bdtri, ndtr, stdtr

from myrtleroad import interface
from myrtleroad.interface import Verdict
from myrtleroad.policy import trial
from myrtleroad.policy.distributions import binomial_probability, normal_cdf, student_t_cdf


def reference_trimmed(sample):
    values = np.array([x[:2] for x in sample]).T
    ordered, count = np.sort(values), len(sample)
    trim_count = int(0.01 * count)
    low, high, kept = ordered[:, [trim_count]], ordered[:, [count - trim_count - 1]], count - 2 * trim_count
    return (
        ordered[:, trim_count : count - trim_count].mean(axis=1),
        np.cov(values.clip(low, high)) * (count - 1) / (kept * (kept - 1)),
        kept,
    )


def reference_yuen_cuped(trial_sample, earlier_sample, margin):
    ((y1, x1), v1, k1), ((y0, x0), v0, k0) = (
        reference_trimmed(trial_sample),
        reference_trimmed(earlier_sample),
    )
    both = v1 + v0
    theta = both[0, 1] / both[1, 1] if both[1, 1] > 0 else 0.0
    difference = y1 - margin * y0 - theta * (x1 - x0)
    variance = v1[0, 0] + v0[0, 0] + theta * theta * both[1, 1] - 2 * theta * both[0, 1]
    if variance <= 0 or both[0, 0] <= 0:
        return (0.0 if difference > 0 else 1.0), float(y1), float(y0)
    degrees = both[0, 0] ** 2 / (v0[0, 0] ** 2 / (k0 - 1) + v1[0, 0] ** 2 / (k1 - 1))
    return float(stdtr(degrees, -difference / sqrt(variance))), float(y1), float(y0)


class ReferenceBuildCounts:
    """The test by the platform's counts, with arrays."""

    def __init__(self, routes):
        self.counts = np.zeros((3, routes, 3))

    def start_trial(self):
        self.counts[0], self.counts[2] = 0.0, self.counts[1]

    def add(self, new, on_trial):
        row = self.counts[0 if on_trial else 1, new.route]
        completed_ms = (new.attempts - new.errors) * new.mean_duration_ms
        row[:] = 0.5 * row + (new.attempts, new.errors, completed_ms)

    def p_worse(self, margin, released=False):
        known = (self.counts[..., 0] >= 5).all(axis=0)
        if not known.any():
            return 1.0
        attempts, errors, total_ms = self.counts[:, known].transpose(2, 0, 1)
        rate, completed = errors / attempts, np.maximum(attempts - errors, 1.0)
        variance = (rate * (1 - rate) + 0.01) / attempts
        ratio = total_ms[0] / completed[0] / (total_ms[1] / completed[1] + 1)

        def z(difference, spread):
            used = np.argsort(difference)
            if difference[used[-1]] > 3 * max([0.05, *difference[used[:-1]]]):
                used = used[:-1]
            weighted = float(difference[used] @ attempts[0, used])
            return weighted / sqrt(float(spread[used] @ attempts[0, used] ** 2) + 1e-9)

        before = z(rate[0] - rate[2] - (0.15 if released else 0.1), variance[0] + variance[2])
        if released:
            return float(ndtr(-before))
        worse = z(rate[0] - 1.5 * rate[1] - 0.05, variance[0] + 2.25 * variance[1])
        slower = z(ratio - margin, ratio**2 / completed[0] + margin**2 / completed[1])
        return float(ndtr(-max(slower, worse, min(before, 4 * worse))))

    def p_worse_after_release(self):
        return self.p_worse(0.0, released=True)


def test_distribution_functions_are_those_of_scipy():
    for degrees in (1.0, 1.7, 3.0, 4.5, 19.0, 40.3, 130.0, 999.5, 1998.0, 1e5):
        for t in (-300.0, -40.0, -8.0, -3.1, -1.0, -0.2, -1e-6, 0.0, 1e-6, 0.3, 1.0, 2.5, 9.0, 60.0):
            assert student_t_cdf(degrees, t) == pytest.approx(float(stdtr(degrees, t)), rel=1e-9, abs=1e-300)
    for z in (-38.0, -8.0, -3.1, -1.0, -1e-9, 0.0, 0.5, 3.0, 9.0):
        assert normal_cdf(z) == pytest.approx(float(ndtr(z)), rel=1e-12, abs=1e-300)


def test_error_rate_of_each_number_of_fronts_and_votes_is_that_of_scipy():
    pairs = [(votes, fronts) for fronts in range(1, 41) for votes in range(1, fronts + 1)]
    pairs += [(votes, fronts) for fronts in (200, 230, 1024) for votes in (1, 2, 16, fronts // 2, fronts)]
    for votes, fronts in pairs:
        expected = float(bdtri(votes - 1, fronts, 0.95))
        assert binomial_probability(votes - 1, fronts, 0.95) == pytest.approx(expected, rel=1e-11)


def draw_scores(draw, count, shape, mean):
    """Samples of one build: latencies with failures at the route's timeout, equal ones, ties, failures."""
    for _ in range(count):
        score = {
            "latency": mean * draw.lognormvariate(0.0, 0.6) if draw.random() > 0.03 else 2000.0,
            "equal": mean,
            "ties": float(round(mean * draw.random(), -1)),
            "failures": float(draw.random() < 0.2),
        }[shape]
        yield score, draw.choice((60.0, 75.5, 160.0)) if shape == "latency" else 0.0


@pytest.mark.parametrize("shape", ["latency", "equal", "ties", "failures"])
def test_p_and_means_of_each_pair_of_samples_are_those_of_numpy(shape):
    draw = random.Random(shape)
    for counts in ((5, 5), (5, 300), (20, 20), (99, 101), (100, 1000), (333, 250), (1000, 1000)):
        for slowdown in (0.7, 1.0, 1.3, 1.5, 1.6, 2.0, 4.0):
            for margin in (1.5, 2.0):
                trial_sample = list(draw_scores(draw, counts[0], shape, 80.0 * slowdown))
                earlier_sample = list(draw_scores(draw, counts[1], shape, 80.0))
                p, *means = trial.yuen_cuped(trial_sample, earlier_sample, margin)
                expected_p, *expected_means = reference_yuen_cuped(trial_sample, earlier_sample, margin)
                assert p == pytest.approx(expected_p, rel=1e-8, abs=1e-200)
                assert means == pytest.approx(expected_means, rel=1e-12)


def play(seed, monkeypatch, reference):
    """The verdicts and texts of a trial that is decided again and again while samples and counts come."""
    draw = random.Random(seed)
    if reference:
        monkeypatch.setattr(trial, "yuen_cuped", reference_yuen_cuped)
        monkeypatch.setattr(trial, "BuildCounts", ReferenceBuildCounts)
        monkeypatch.setattr(trial, "binomial_probability", lambda k, n, y: float(bdtri(k, n, y)))
    fronts, votes = draw.choice(((1, 1), (3, 1), (8, 3), (200, 16), (230, 80)))
    rollout = {"votes_to_roll_back": votes, "replaces_in_place": draw.random() < 0.5}
    test = trial.TrialTest(build_settings(balancers=fronts, rollout=rollout))
    slowdown, errors, per_step = (
        draw.choice((0.9, 1.4, 1.7, 3.0)),
        draw.choice((0.02, 0.3)),
        draw.randint(0, 40),
    )
    decisions = []
    for step in range(60):
        now, build = 500.0 * step, 1 if step < 15 else 2
        if step == 15:
            test.start_trial(2)
        for _ in range(per_step):
            new = build == 2 and draw.random() < 0.3
            factor, fails = (slowdown, errors) if new else (1.0, 0.02)
            completed = draw.random() > fails
            score = 80.0 * factor * draw.lognormvariate(0.0, 0.5) if completed else 2000.0
            route, concurrency = draw.randrange(3), 2.0 + draw.randrange(4)
            test.add_sample(2 if new else 1, route, score, concurrency, completed, build == 2, now)
        if step % 4 == 0:
            for route in range(3):
                for counted in (1, build):
                    total, factor = draw.randrange(60), slowdown if counted == 2 else 1.0
                    failed = round(total * errors * (counted == 2))
                    counts = interface.AttemptCounts(counted, route, total, failed, 80.0 * factor, 0.0)
                    test.add_counts(counts)
        if build == 2:
            released, overloaded = step > 45, draw.random() < 0.3
            decision = test.decide(min(2, (step - 15) // 10), now - 7500.0, released, overloaded)
            decisions.append((decision, test.p_from_counts(released) < 0.001))
    return decisions


def test_each_verdict_of_many_trials_is_the_one_that_numpy_and_scipy_give(monkeypatch):
    seen = set()
    for seed in range(150):
        with monkeypatch.context() as patched:
            expected = play(seed, patched, reference=True)
        assert play(seed, monkeypatch, reference=False) == expected
        seen |= {verdict for (verdict, _), _ in expected}
    assert seen == {Verdict.NONE, Verdict.ON, Verdict.HOLD, Verdict.BACK}
