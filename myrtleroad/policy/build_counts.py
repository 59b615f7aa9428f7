"""The platform's counts of attempts by build and route, and the test of a build on trial by them."""

from dataclasses import dataclass
from math import sqrt

from myrtleroad import interface
from myrtleroad.policy.distributions import normal_cdf

DECAY = 0.5  # weight of earlier counts each time new ones come
MIN_ATTEMPTS = 5.0  # of each build and time on a route whose counts are used


@dataclass(slots=True)
class RouteCounts:
    """Decaying counts of the attempts on one route by one build, and their total duration in ms."""

    attempts: float = 0.0
    errors: float = 0.0
    total_ms: float = 0.0

    def add(self, counts: interface.AttemptCounts) -> None:
        """Adds the counts of one interval."""
        completed_ms = (counts.attempts - counts.errors) * counts.mean_duration_ms
        self.attempts = DECAY * self.attempts + counts.attempts
        self.errors = DECAY * self.errors + counts.errors
        self.total_ms = DECAY * self.total_ms + completed_ms

    @property
    def error_rate(self) -> float:
        """Share of the attempts that failed."""
        return self.errors / self.attempts

    @property
    def error_variance(self) -> float:
        """Variance of the error rate, with a floor for rates near 0 and 1."""
        return (self.error_rate * (1 - self.error_rate) + 0.01) / self.attempts

    @property
    def completed(self) -> float:
        """Number of attempts that completed, 1 at least."""
        return max(self.attempts - self.errors, 1.0)


@dataclass(slots=True)
class RouteDifference:
    """By how much the trial build does worse on one route, with the variance of that and its weight."""

    value: float
    variance: float
    attempts: float  # of the trial build


def pooled_z(differences: list[RouteDifference]) -> float:
    """The z value of the differences over the routes, weighted by the trial's attempts. A route that is far
    worse than any other is left out, as it may be slow everywhere."""
    ordered = sorted(differences, key=lambda route: route.value)
    if ordered[-1].value > 3 * max([0.05, *(route.value for route in ordered[:-1])]):
        ordered.pop()
    variance = sum(route.variance * route.attempts**2 for route in ordered)
    return sum(route.value * route.attempts for route in ordered) / sqrt(variance + 1e-9)


class BuildCounts:
    """Counts of the trial build, of the earlier build since the trial began, and of it before the trial."""

    # Tolerated rise of the error rate over the time before the trial, while on trial and once released.
    ERROR_RISE, RELEASED_ERROR_RISE = 0.1, 0.15
    ERROR_RATIO, ERROR_OFFSET = 1.5, 0.05  # tolerated error rate over that of the earlier build

    def __init__(self, routes: int):
        self.trial, self.earlier, self.before = ([RouteCounts() for _ in range(routes)] for _ in range(3))

    def start_trial(self) -> None:
        """The counts of the earlier build so far become those before the trial; it goes on with them."""
        self.trial = [RouteCounts() for _ in self.trial]
        self.before = [RouteCounts(x.attempts, x.errors, x.total_ms) for x in self.earlier]

    def add(self, counts: interface.AttemptCounts, on_trial: bool) -> None:
        """Adds the counts of one build and route."""
        (self.trial if on_trial else self.earlier)[counts.route].add(counts)

    def known_routes(self) -> list[tuple[RouteCounts, RouteCounts, RouteCounts]]:
        """The counts of trial, earlier build and time before, of routes with enough attempts in each."""
        routes = zip(self.trial, self.earlier, self.before, strict=True)
        return [route for route in routes if all(counts.attempts >= MIN_ATTEMPTS for counts in route)]

    def z_against_time_before(self, tolerated_rise: float) -> float:
        """z that the trial build fails more than the earlier one did before the trial."""
        return pooled_z(
            [
                RouteDifference(
                    trial.error_rate - before.error_rate - tolerated_rise,
                    trial.error_variance + before.error_variance,
                    trial.attempts,
                )
                for trial, _, before in self.known_routes()
            ]
        )

    def z_more_errors(self) -> float:
        """z that the trial build fails more than the earlier one does now."""
        ratio = self.ERROR_RATIO
        return pooled_z(
            [
                RouteDifference(
                    trial.error_rate - ratio * earlier.error_rate - self.ERROR_OFFSET,
                    trial.error_variance + ratio * ratio * earlier.error_variance,
                    trial.attempts,
                )
                for trial, earlier, _ in self.known_routes()
            ]
        )

    def z_slower(self, margin: float) -> float:
        """z that the trial build takes more than ``margin`` times the time of the earlier one."""
        differences = []
        for trial, earlier, _ in self.known_routes():
            ratio = trial.total_ms / trial.completed / (earlier.total_ms / earlier.completed + 1)
            variance = ratio**2 / trial.completed + margin**2 / earlier.completed
            differences.append(RouteDifference(ratio - margin, variance, trial.attempts))
        return pooled_z(differences)

    def p_worse(self, margin: float) -> float:
        """p that the trial build is slower or fails more; 1.0 without enough counts."""
        if not self.known_routes():
            return 1.0
        worse, worse_than_before = self.z_more_errors(), self.z_against_time_before(self.ERROR_RISE)
        return normal_cdf(-max(self.z_slower(margin), worse, min(worse_than_before, 4 * worse)))

    def p_worse_after_release(self) -> float:
        """p that the released build fails more than the earlier one did; 1.0 without enough counts."""
        if not self.known_routes():
            return 1.0
        return normal_cdf(-self.z_against_time_before(self.RELEASED_ERROR_RISE))
