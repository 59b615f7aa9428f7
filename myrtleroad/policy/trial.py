"""The test of a build on trial against the earlier build: Yuen's trimmed t-test with a CUPED baseline.

Mechanism and source: ``docs/design.md``."""

from collections import deque
from collections.abc import Iterable
from math import sqrt

import numpy as np
from scipy.special import bdtri, ndtr, stdtr

from myrtleroad import interface as i
from myrtleroad.interface import Verdict

Sample = tuple[float, float, float, float, bool]  # a try's score, covariate, end, tries met; completed?


def trimmed(sample: list[Sample]) -> tuple[np.ndarray, np.ndarray, int]:
    """Trimmed means of score and covariate, their winsorized sums over h(h - 1), and h, at 1% an end."""
    values = np.array([x[:2] for x in sample]).T
    ordered, n = np.sort(values), len(sample)
    g = int(0.01 * n)  # the design's figure
    low, high, h = ordered[:, [g]], ordered[:, [n - g - 1]], n - 2 * g
    return ordered[:, g : n - g].mean(axis=1), np.cov(values.clip(low, high)) * (n - 1) / (h * (h - 1)), h


def yuen_cuped(trial: list[Sample], earlier: list[Sample], margin: float) -> tuple[float, float, float]:
    """One-sided p that the trial's mean exceeds margin times the earlier's, and both means (paper, 3.3)."""
    ((y2, x2), s2, h2), ((y1, x1), s1, h1) = trimmed(trial), trimmed(earlier)
    both, d2, d1 = s2 + s1, s2[0, 0], s1[0, 0]
    theta = both[0, 1] / both[1, 1] if both[1, 1] > 0 else 0.0
    gap = y2 - margin * y1 - theta * (x2 - x1)
    variance = d2 + d1 + theta * theta * both[1, 1] - 2 * theta * both[0, 1]
    if variance <= 0 or d1 + d2 <= 0:
        return (0.0 if gap > 0 else 1.0), float(y2), float(y1)
    freedom = (d1 + d2) ** 2 / (d1 * d1 / (h1 - 1) + d2 * d2 / (h2 - 1))
    return float(stdtr(freedom, -gap / sqrt(variance))), float(y2), float(y1)


class TrialTest:
    FLOOR = 20  # samples a side before a test (design), of the fronts that decide together
    HINT, PATIENCE = 5, 4000.0  # samples of a hold; the design's stage age, for a front short of samples
    MARGIN = 1.5  # over 1.3, as a good build may be a seventh slower and its machines a little busier
    YOUNG = 3000.0  # machines started later than this ago count on neither side (design)
    KEEP = 1000  # samples a side: some ten seconds of a busy front, and bounds the work of a test

    def __init__(self, settings: i.Settings):
        self.need = need = max(1, min(settings.rollout.votes_to_roll_back, settings.balancers))
        self.alpha = float(bdtri(need - 1, settings.balancers, 0.95))  # so many of all err with chance 0.05
        self.floor, self.short = max(self.HINT, -(-self.FLOOR // need)), True
        # Where the earlier machines go as a stage begins, a bad one costs more than the wait for samples.
        self.patient = need > 1 and settings.rollout.replaces_in_place
        self.stage_age = (
            settings.rollout.stage_soak_ms + 1000.0
        )  # about when the platform's clock starts (bench page)
        self.earlier, self.trial = (deque(maxlen=self.KEEP) for _ in range(2))
        self.pre: list[deque[float]] = [deque(maxlen=100) for _ in settings.routes]
        self.last, self.told = len(settings.rollout.stage_caps) - 1, False
        self.counts = np.zeros(
            (3, len(settings.routes), 3)
        )  # trial, earlier, before; route; tries, errors, ms
        self.offer(-1)

    def offer(self, build: int) -> None:
        self.build, self.tested, self.verdict = build, -1, Verdict.NONE
        self.before = list(self.earlier)
        self.counts[0], self.counts[2] = 0.0, self.counts[1]
        self.earlier.clear()
        self.trial.clear()
        known = all(len(p) >= 5 for p in self.pre)
        self.covariate = [sum(p) / len(p) if known else 0.0 for p in self.pre]

    def take(self, build: int, route: int, score: float, met: float, ok: bool, on_trial: bool, now: float):
        sample = (score, self.covariate[route], now, met, ok)
        (self.trial if build == self.build else self.earlier).append(sample)
        if not on_trial:
            self.pre[route].append(score)

    def count(self, t: i.AttemptCounts) -> None:
        row = self.counts[0 if t.build >= self.build > 0 else 1, t.route]
        row[:] = 0.5 * row + (t.attempts, t.errors, (t.attempts - t.errors) * t.mean_duration_ms)
        self.told = True

    def counted(self, released: bool) -> float:
        """p that the counted trial is slower or errs more; once released, than before, if our own err too."""
        known = (self.counts[..., 0] >= 5).all(axis=0)
        if not known.any():
            return 1.0
        n, e, ms = self.counts[:, known].transpose(2, 0, 1)
        p, done = e / n, np.maximum(n - e, 1.0)
        noise, ratio = (p * (1 - p) + 0.01) / n, ms[0] / done[0] / (ms[1] / done[1] + 1)

        def z(gap: np.ndarray, var: np.ndarray) -> float:
            use = np.argsort(gap)  # one route far worse than any other may be slow everywhere
            use = use[:-1] if gap[use[-1]] > 3 * max([0.05, *gap[use[:-1]]]) else use
            return float(gap[use] @ n[0, use]) / sqrt(float(var[use] @ n[0, use] ** 2) + 1e-9)

        later = z(p[0] - p[2] - (0.15 if released else 0.1), noise[0] + noise[2])
        if released:
            return float(ndtr(-later)) if 2 * sum(not x[4] for x in self.trial) > len(self.trial) > 4 else 1.0
        worse = z(p[0] - 1.5 * p[1] - 0.05, noise[0] + 2.25 * noise[1])
        slower = z(ratio - self.LATER, ratio**2 / done[0] + self.LATER**2 / done[1])
        return float(ndtr(-max(slower, worse, min(later, 4 * worse))))

    LATER = 2.0  # margin across time, as other troubles may have come since; MARGIN if laden

    def judge(self, stage: int, age: float, released: bool, laden: bool = False) -> tuple[Verdict, str]:
        """The vote for this stage, tested once; each stage age after a release counts as a stage."""
        if self.told and self.build > 0 and min(len(self.trial), len(self.earlier)) < self.floor:
            # Exception: a front short of samples goes by the platform's counts, the same for all fronts.
            self.told, p = False, self.counted(released)
            if p < 0.001 and self.verdict != Verdict.BACK:  # under 0.05 for a day's counts together
                self.verdict = Verdict.BACK
                return self.verdict, f"by the platform's counts, p {p:.4f}"
        key = -1 - int(age // self.stage_age) if released else stage
        again = self.verdict == Verdict.HOLD and age >= 2 * self.stage_age
        if self.verdict == Verdict.BACK or age < self.stage_age:
            return (Verdict.BACK if self.verdict == Verdict.BACK else Verdict.NONE), ""
        # Tested once a stage; where several decide, one short of samples votes without and tests later.
        short = self.need > 1 and min(len(self.trial), len(self.earlier)) < self.floor
        if self.tested == key and not again and (short or not self.short):
            return self.verdict, ""
        if short and self.patient and not released and age < self.YOUNG + self.PATIENCE:
            return Verdict.NONE, ""  # samples only begin as the stage's machines are no longer young
        self.tested, self.short = key, short
        # Exception: against the time before the trial, completed tries only, over the tries met: for a build
        # that slows all machines (all tell it while laden) or turns bad late. Hurts if they slow otherwise.
        both = [x for x in self.earlier if laden and not released and self.trial and x[2] >= self.trial[0][2]]
        recent = sorted(self.scaled([*self.trial, *both]), key=lambda x: x[2])[-self.KEEP // 4 :]
        sides = (self.before, self.earlier) if released else (self.before,)
        tests = [self.test(recent, self.scaled(x), self.MARGIN if laden else self.LATER) for x in sides]
        if not released:
            # Over the same time, or a spell that only one window holds counts against its build.
            since = max((side[0][2] for side in (self.trial, self.earlier) if side), default=0.0)
            now = ([x for x in side if x[2] >= since] for side in (self.trial, self.earlier))
            tests.append(self.test(*now, self.MARGIN))
        p, _, text = min(tests) if min(tests)[0] < self.alpha else tests[-1]
        past = min(t[1] for t in tests[0 if laden else -1 :])
        # Held once a stage: before a release whenever past the margin, earlier where it is likely so (0.1).
        doubt = past < (1.0 if stage == self.last else 0.1) and not again
        onward = Verdict.NONE if released else Verdict.HOLD if doubt else Verdict.ON
        self.verdict = Verdict.BACK if p < self.alpha else onward
        return self.verdict, "" if self.verdict == Verdict.NONE else text

    def scaled(self, side: Iterable[Sample]) -> list[Sample]:
        return [(x[0] / x[3], 0.0, *x[2:]) for x in side if x[4]]

    def test(self, trial: list[Sample], earlier: list[Sample], margin: float) -> tuple[float, float, str]:
        views = [(trial, earlier)]
        if 10 * sum(not x[4] for x in earlier) > len(earlier):
            # Exception: where the earlier build errs too, errors are told apart from slowness.
            views = [tuple([x for x in side if x[4]] for side in (trial, earlier))]
            views.append(tuple([(float(not x[4]), 0.0) for x in side] for side in (trial, earlier)))
        results = [(1.0, 1.0, f"{len(trial)} and {len(earlier)} samples")]
        for a, b in views:
            if min(len(a), len(b)) >= self.HINT:
                p, y2, y1 = yuen_cuped(a, b, margin)
                text = f"trimmed means {y2:.3g} and {y1:.3g}, n {len(a)} and {len(b)}, p {p:.4f}"
                # Guards against an on to a trial whose few samples are plainly slow.
                p, full = min(1.0, p * len(views)), min(len(a), len(b)) >= self.floor
                past = p if y2 > margin * y1 and (full or p < 0.1) else 1.0
                results.append((p if full else 1.0, past, text))
        return min(results[1:], default=results[0])
