"""Test of a build on trial against the earlier build: Yuen's trimmed t-test with a CUPED baseline.

Method and source: ``docs/design.md``."""

from collections import deque
from collections.abc import Iterable, Sequence
from math import fsum, sqrt
from operator import mul
from typing import NamedTuple

from myrtleroad import interface
from myrtleroad.interface import Verdict
from myrtleroad.policy.build_counts import BuildCounts
from myrtleroad.policy.distributions import binomial_probability, student_t_cdf

# Score of an attempt (its duration in ms, or the route's timeout if it failed), covariate, time of its end,
# attempts on the server when it was sent, and whether it completed.
Sample = tuple[float, float, float, float, bool]


class TrimmedMoments(NamedTuple):
    """Of one sample of scores (ms) and covariates (ms): trimmed means, and sums of squares and products of
    the winsorized values over ``kept * (kept - 1)``. ``kept`` is the number of samples that are left."""

    score_mean: float
    covariate_mean: float
    score_variance: float
    covariate_variance: float
    covariance: float
    kept: int


def trimmed(sample: Sequence[Sequence[float]]) -> TrimmedMoments:
    """The moments of a sample of (score, covariate, ...), 1% of it trimmed at each end
    (``docs/design.md``)."""
    count = len(sample)
    trim_count = int(0.01 * count)
    kept = count - 2 * trim_count
    (score_mean, scores), (covariate_mean, covariates) = (
        trimmed_mean_and_deviations([x[column] for x in sample], trim_count) for column in range(2)
    )
    divisor = kept * (kept - 1)
    return TrimmedMoments(
        score_mean,
        covariate_mean,
        fsum(x * x for x in scores) / divisor,
        fsum(x * x for x in covariates) / divisor,
        fsum(map(mul, scores, covariates)) / divisor,
        kept,
    )


def trimmed_mean_and_deviations(values: list[float], trim_count: int) -> tuple[float, list[float]]:
    """Mean without ``trim_count`` values at each end, and the deviations of all winsorized values from the
    mean of these."""
    ordered = sorted(values)
    low, high = ordered[trim_count], ordered[-1 - trim_count]
    if low == high:
        return low, [0.0] * len(values)
    winsorized = [min(max(x, low), high) for x in values]
    winsorized_mean = fsum(winsorized) / len(values)
    kept = ordered[trim_count : len(ordered) - trim_count]
    return fsum(kept) / len(kept), [x - winsorized_mean for x in winsorized]


def yuen_cuped(
    trial: Sequence[Sequence[float]], earlier: Sequence[Sequence[float]], margin: float
) -> tuple[float, float, float]:
    """One-sided p that the trial's mean exceeds ``margin`` times the earlier one's, and both means (section
    3.3 of the paper named in ``docs/design.md``)."""
    new, old = trimmed(trial), trimmed(earlier)
    covariance = new.covariance + old.covariance
    covariate_variance = new.covariate_variance + old.covariate_variance
    score_variance = new.score_variance + old.score_variance
    theta = covariance / covariate_variance if covariate_variance > 0 else 0.0
    difference = new.score_mean - margin * old.score_mean - theta * (new.covariate_mean - old.covariate_mean)
    variance = score_variance + theta * theta * covariate_variance - 2 * theta * covariance
    degrees_divisor = old.score_variance * old.score_variance / (
        old.kept - 1
    ) + new.score_variance * new.score_variance / (new.kept - 1)
    if variance <= 0 or degrees_divisor <= 0:
        return (0.0 if difference > 0 else 1.0), new.score_mean, old.score_mean
    degrees = score_variance * score_variance / degrees_divisor
    return student_t_cdf(degrees, -difference / sqrt(variance)), new.score_mean, old.score_mean


class TrialTest:
    """Samples of the trial build and of the earlier one, and one front's verdict on the trial build."""

    MIN_SAMPLES = 20  # of each build, over the fronts that decide together, before a test (docs/design.md)
    # Samples of each build that suffice to hold a stage; how long a front short of samples waits for them
    # (the stage duration in ``docs/design.md``).
    MIN_HINT_SAMPLES, SAMPLE_WAIT_MS = 5, 4000.0
    # Tolerated latency of the trial over that of the earlier build. Above 1.3, as a good build may be a
    # seventh slower and its servers a little busier.
    MARGIN = 1.5
    MIN_SERVER_AGE_MS = 3000.0  # attempts on younger servers are no samples of either build (docs/design.md)
    MAX_SAMPLES = 1000  # of each build: some ten seconds of a busy front; bounds the work of a test

    def __init__(self, settings: interface.Settings):
        self.votes_needed = votes_needed = max(
            1, min(settings.rollout.votes_to_roll_back, settings.balancers)
        )
        # So chosen that as many fronts as are needed err together with probability 0.05.
        self.alpha = binomial_probability(votes_needed - 1, settings.balancers, 0.95)
        self.min_samples, self.decided_short_of_samples = (
            max(self.MIN_HINT_SAMPLES, -(-self.MIN_SAMPLES // votes_needed)),
            True,
        )
        # Where servers of the earlier build are replaced as a stage begins, a bad build costs more than the
        # wait for samples.
        self.waits_for_samples = votes_needed > 1 and settings.rollout.replaces_in_place
        # The platform's clock of a stage starts about 1 s later than the stage, as observed in simulation.
        self.stage_duration_ms = settings.rollout.stage_soak_ms + 1000.0
        self.earlier, self.trial = (deque(maxlen=self.MAX_SAMPLES) for _ in range(2))
        self.baseline_scores: list[deque[float]] = [deque(maxlen=100) for _ in settings.routes]
        self.last_stage, self.has_new_counts = len(settings.rollout.stage_caps) - 1, False
        self.build_counts = BuildCounts(len(settings.routes))
        self.start_trial(-1)

    def start_trial(self, build: int) -> None:
        """Start the test of a new build: the samples so far become the time before the trial."""
        self.build, self.tested_stage, self.verdict = build, -1, Verdict.NONE
        self.before = list(self.earlier)
        self.build_counts.start_trial()
        self.earlier.clear()
        self.trial.clear()
        known = all(len(scores) >= 5 for scores in self.baseline_scores)
        self.covariate = [sum(scores) / len(scores) if known else 0.0 for scores in self.baseline_scores]

    def add_sample(
        self,
        build: int,
        route: int,
        score: float,
        concurrency: float,
        completed: bool,
        on_trial: bool,
        now: float,
    ):
        """Add an ended attempt. ``on_trial``: whether its build is on trial by now."""
        sample = (score, self.covariate[route], now, concurrency, completed)
        (self.trial if build == self.build else self.earlier).append(sample)
        if not on_trial:
            self.baseline_scores[route].append(score)

    def add_counts(self, counts: interface.AttemptCounts) -> None:
        """Add the platform's counts; older ones decay by half."""
        self.build_counts.add(counts, on_trial=counts.build >= self.build > 0)
        self.has_new_counts = True

    def p_from_counts(self, released: bool) -> float:
        """p that the trial build is slower or fails more by the platform's counts. Once the build is
        released: p that it fails more than before the trial, provided that this front's attempts fail too."""
        if not released:
            return self.build_counts.p_worse(self.MARGIN_OVER_TIME)
        own_attempts_fail = 2 * sum(not x[4] for x in self.trial) > len(self.trial) > 4
        return self.build_counts.p_worse_after_release() if own_attempts_fail else 1.0

    # Margin against the time before the trial, as servers may have slowed since for other reasons; ``MARGIN``
    # is used while the front is overloaded.
    MARGIN_OVER_TIME = 2.0

    def decide(
        self, stage: int, age_ms: float, released: bool, overloaded: bool = False
    ) -> tuple[Verdict, str]:
        """The verdict on a stage and, when it was tested just now, the figures behind it. A stage is tested
        once. After a release each stage duration that passes counts as a stage."""
        if (
            self.has_new_counts
            and self.build > 0
            and min(len(self.trial), len(self.earlier)) < self.min_samples
        ):
            # A front short of samples goes by the platform's counts, which are the same for all fronts.
            self.has_new_counts, p = False, self.p_from_counts(released)
            if p < 0.001 and self.verdict != Verdict.BACK:  # under 0.05 for all counts of a day together
                self.verdict = Verdict.BACK
                return self.verdict, f"by the platform's counts, p {p:.4f}"
        test_key = -1 - int(age_ms // self.stage_duration_ms) if released else stage
        hold_expired = self.verdict == Verdict.HOLD and age_ms >= 2 * self.stage_duration_ms
        if self.verdict == Verdict.BACK or age_ms < self.stage_duration_ms:
            return (Verdict.BACK if self.verdict == Verdict.BACK else Verdict.NONE), ""
        # Where several fronts decide, one that is short of samples votes without them and tests later.
        short_of_samples = (
            self.votes_needed > 1 and min(len(self.trial), len(self.earlier)) < self.min_samples
        )
        if (
            self.tested_stage == test_key
            and not hold_expired
            and (short_of_samples or not self.decided_short_of_samples)
        ):
            return self.verdict, ""
        if (
            short_of_samples
            and self.waits_for_samples
            and not released
            and age_ms < self.MIN_SERVER_AGE_MS + self.SAMPLE_WAIT_MS
        ):
            return Verdict.NONE, ""  # samples only arrive once the stage's servers are old enough
        self.tested_stage, self.decided_short_of_samples = test_key, short_of_samples
        # Tested also against the time before the trial, with completed attempts only and scores divided by
        # the attempts on the server: finds a build that slows all servers (while overloaded, attempts on all
        # of them show it) or turns bad late. It errs if servers become slow for another reason.
        earlier_since_trial = [
            x for x in self.earlier if overloaded and not released and self.trial and x[2] >= self.trial[0][2]
        ]
        recent = sorted(self.normalized([*self.trial, *earlier_since_trial]), key=lambda x: x[2])[
            -self.MAX_SAMPLES // 4 :
        ]
        references = (self.before, self.earlier) if released else (self.before,)
        tests = [
            self.compare(recent, self.normalized(x), self.MARGIN if overloaded else self.MARGIN_OVER_TIME)
            for x in references
        ]
        if not released:
            # Over the same time, or a disturbance within the window of only one build counts against it.
            both_since = max((side[0][2] for side in (self.trial, self.earlier) if side), default=0.0)
            sides = ([x for x in side if x[2] >= both_since] for side in (self.trial, self.earlier))
            tests.append(self.compare(*sides, self.MARGIN))
        p, _, text = min(tests) if min(tests)[0] < self.alpha else tests[-1]
        p_exceeds = min(t[1] for t in tests[0 if overloaded else -1 :])
        # Held once a stage: in the last one before a release whenever the margin is exceeded, in earlier ones
        # only where that is likely not chance (p below 0.1).
        doubtful = p_exceeds < (1.0 if stage == self.last_stage else 0.1) and not hold_expired
        verdict_unless_worse = Verdict.NONE if released else Verdict.HOLD if doubtful else Verdict.ON
        self.verdict = Verdict.BACK if p < self.alpha else verdict_unless_worse
        return self.verdict, "" if self.verdict == Verdict.NONE else text

    def normalized(self, samples: Iterable[Sample]) -> list[Sample]:
        """The completed attempts, with scores divided by the attempts on the server and no covariate."""
        return [(x[0] / x[3], 0.0, *x[2:]) for x in samples if x[4]]

    def compare(self, trial: list[Sample], earlier: list[Sample], margin: float) -> tuple[float, float, str]:
        """p that the trial is worse (1.0 with too few samples), p if its mean exceeds the margin (else 1.0),
        and the figures for the log."""
        views = [(trial, earlier)]
        if 10 * sum(not x[4] for x in earlier) > len(earlier):
            # Where the earlier build fails too, failures are tested apart from latency.
            views = [tuple([x for x in side if x[4]] for side in (trial, earlier))]
            views.append(tuple([(float(not x[4]), 0.0) for x in side] for side in (trial, earlier)))
        results = [(1.0, 1.0, f"{len(trial)} and {len(earlier)} samples")]
        for trial_view, earlier_view in views:
            if min(len(trial_view), len(earlier_view)) >= self.MIN_HINT_SAMPLES:
                p, trial_mean, earlier_mean = yuen_cuped(trial_view, earlier_view, margin)
                text = (
                    f"trimmed means {trial_mean:.3g} and {earlier_mean:.3g}, "
                    f"n {len(trial_view)} and {len(earlier_view)}, p {p:.4f}"
                )
                # Guards against advancing a trial whose few samples are plainly slow.
                p, enough_samples = (
                    min(1.0, p * len(views)),
                    min(len(trial_view), len(earlier_view)) >= self.min_samples,
                )
                p_exceeds = p if trial_mean > margin * earlier_mean and (enough_samples or p < 0.1) else 1.0
                results.append((p if enough_samples else 1.0, p_exceeds, text))
        return min(results[1:], default=results[0])
