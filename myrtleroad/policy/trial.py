"""Test of a build on trial against the earlier build: Yuen's trimmed t-test with a CUPED baseline.

Method and source: ``docs/design.md``."""

from collections import deque
from collections.abc import Iterable
from math import sqrt

import numpy as np
from scipy.special import bdtri, ndtr, stdtr

from myrtleroad import interface
from myrtleroad.interface import Verdict

# Score of an attempt (its duration in ms, or the route's timeout if it failed), covariate, time of its end,
# attempts on the server when it was sent, and whether it completed.
Sample = tuple[float, float, float, float, bool]


def trimmed(sample: list[Sample]) -> tuple[np.ndarray, np.ndarray, int]:
    """Trimmed means of score and covariate, the winsorized sums of their squares and products over
    kept * (kept - 1), and kept, the number of samples that are left. Trims 1% at each end."""
    values = np.array([x[:2] for x in sample]).T
    ordered, count = np.sort(values), len(sample)
    trim_count = int(0.01 * count)  # trimmed share as in ``docs/design.md``
    low, high, kept = ordered[:, [trim_count]], ordered[:, [count - trim_count - 1]], count - 2 * trim_count
    return (
        ordered[:, trim_count : count - trim_count].mean(axis=1),
        np.cov(values.clip(low, high)) * (count - 1) / (kept * (kept - 1)),
        kept,
    )


def yuen_cuped(trial: list[Sample], earlier: list[Sample], margin: float) -> tuple[float, float, float]:
    """One-sided p that the trial's mean exceeds ``margin`` times the earlier one's, and both means (section
    3.3 of the paper named in ``docs/design.md``)."""
    (
        ((trial_mean, trial_covariate), trial_cov, trial_kept),
        ((earlier_mean, earlier_covariate), earlier_cov, earlier_kept),
    ) = trimmed(trial), trimmed(earlier)
    summed_cov, trial_variance, earlier_variance = trial_cov + earlier_cov, trial_cov[0, 0], earlier_cov[0, 0]
    theta = summed_cov[0, 1] / summed_cov[1, 1] if summed_cov[1, 1] > 0 else 0.0
    difference = trial_mean - margin * earlier_mean - theta * (trial_covariate - earlier_covariate)
    variance = (
        trial_variance + earlier_variance + theta * theta * summed_cov[1, 1] - 2 * theta * summed_cov[0, 1]
    )
    if variance <= 0 or earlier_variance + trial_variance <= 0:
        return (0.0 if difference > 0 else 1.0), float(trial_mean), float(earlier_mean)
    degrees = (earlier_variance + trial_variance) ** 2 / (
        earlier_variance * earlier_variance / (earlier_kept - 1)
        + trial_variance * trial_variance / (trial_kept - 1)
    )
    return float(stdtr(degrees, -difference / sqrt(variance))), float(trial_mean), float(earlier_mean)


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
        self.alpha = float(bdtri(votes_needed - 1, settings.balancers, 0.95))
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
        # Platform counts. Axes: trial, earlier build, before the trial; route; attempts, errors, total ms.
        self.counts = np.zeros((3, len(settings.routes), 3))
        self.start_trial(-1)

    def start_trial(self, build: int) -> None:
        """Start the test of a new build: the samples so far become the time before the trial."""
        self.build, self.tested_stage, self.verdict = build, -1, Verdict.NONE
        self.before = list(self.earlier)
        self.counts[0], self.counts[2] = 0.0, self.counts[1]
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
        row = self.counts[0 if counts.build >= self.build > 0 else 1, counts.route]
        row[:] = 0.5 * row + (
            counts.attempts,
            counts.errors,
            (counts.attempts - counts.errors) * counts.mean_duration_ms,
        )
        self.has_new_counts = True

    def p_from_counts(self, released: bool) -> float:
        """p that the trial build is slower or fails more by the platform's counts. Once the build is
        released: p that it fails more than before the trial, provided that this front's attempts fail too."""
        known_routes = (self.counts[..., 0] >= 5).all(axis=0)
        if not known_routes.any():
            return 1.0
        attempts, errors, total_ms = self.counts[:, known_routes].transpose(2, 0, 1)
        error_rate, completed = errors / attempts, np.maximum(attempts - errors, 1.0)
        error_variance, mean_ms_ratio = (
            (error_rate * (1 - error_rate) + 0.01) / attempts,
            total_ms[0] / completed[0] / (total_ms[1] / completed[1] + 1),
        )

        def z(difference: np.ndarray, variance: np.ndarray) -> float:
            """The z value of a difference, over the routes by the trial's attempts."""
            # A route that is far worse than any other is left out, as it may be slow everywhere.
            used_routes = np.argsort(difference)
            used_routes = (
                used_routes[:-1]
                if difference[used_routes[-1]] > 3 * max([0.05, *difference[used_routes[:-1]]])
                else used_routes
            )
            return float(difference[used_routes] @ attempts[0, used_routes]) / sqrt(
                float(variance[used_routes] @ attempts[0, used_routes] ** 2) + 1e-9
            )

        worse_than_before = z(
            error_rate[0] - error_rate[2] - (0.15 if released else 0.1), error_variance[0] + error_variance[2]
        )
        if released:
            return (
                float(ndtr(-worse_than_before))
                if 2 * sum(not x[4] for x in self.trial) > len(self.trial) > 4
                else 1.0
            )
        worse = z(error_rate[0] - 1.5 * error_rate[1] - 0.05, error_variance[0] + 2.25 * error_variance[1])
        slower = z(
            mean_ms_ratio - self.MARGIN_OVER_TIME,
            mean_ms_ratio**2 / completed[0] + self.MARGIN_OVER_TIME**2 / completed[1],
        )
        return float(ndtr(-max(slower, worse, min(worse_than_before, 4 * worse))))

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
