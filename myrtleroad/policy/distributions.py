"""Distribution functions for the test of a build on trial, in plain Python: libraries for them take more
memory than a whole front. Method: regularized incomplete beta function by its continued fraction (NIST
Digital Library of Mathematical Functions, 8.17.22, evaluated by Lentz's algorithm). Arguments and results
have no unit."""

from math import erfc, exp, inf, lgamma, log, log1p, nan, sqrt

RELATIVE_ERROR = 1e-16  # at which the continued fraction ends
SMALLEST = 1e-300  # in place of a zero denominator
MAX_TERMS = 10_000  # far more than any argument of the tests needs
BISECTIONS = 200  # more than a float has bits


def normal_cdf(z: float) -> float:
    """Probability that a standard normal variable is at most ``z``."""
    return 0.5 * erfc(-z / sqrt(2))


def student_t_cdf(degrees: float, t: float) -> float:
    """Probability that a variable with Student's t distribution is at most ``t``. ``degrees`` may be
    fractional; NaN if they are not positive."""
    if not degrees > 0 or t != t:
        return nan
    if degrees == inf:
        return normal_cdf(t)
    square = t * t
    if square == inf:
        return 0.0 if t < 0 else 1.0
    tail = 0.5 * incomplete_beta(degrees / 2, 0.5, degrees / (degrees + square), square / (degrees + square))
    return tail if t < 0 else 1 - tail


def binomial_probability(successes: int, trials: int, cumulative: float) -> float:
    """The probability of one success at which at most ``successes`` of ``trials`` come with the probability
    ``cumulative``; NaN unless ``0 <= successes < trials``."""
    if not 0 <= successes < trials:
        return nan
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if incomplete_beta(successes + 1, trials - successes, middle, 1 - middle) < 1 - cumulative:
            low = middle
        else:
            high = middle
    return high


def incomplete_beta(a: float, b: float, x: float, complement: float) -> float:
    """Regularized incomplete beta function of ``x``; ``complement`` is 1 - x, without its rounding error."""
    if x <= 0:
        return 0.0
    if complement <= 0:
        return 1.0
    log_x = log(x) if x < 0.5 else log1p(-complement)
    log_complement = log(complement) if complement < 0.5 else log1p(-x)
    front = exp(lgamma(a + b) - lgamma(a) - lgamma(b) + a * log_x + b * log_complement)
    if x < (a + 1) / (a + b + 2):
        return front * beta_fraction(a, b, x) / a
    return 1 - front * beta_fraction(b, a, complement) / b


def beta_fraction(a: float, b: float, x: float) -> float:
    """The continued fraction of the incomplete beta function."""
    numerator_ratio, denominator_ratio = 1.0, 1 / non_zero(1 - (a + b) * x / (a + 1))
    value = denominator_ratio
    for term in range(1, MAX_TERMS):
        even = term * (b - term) * x / ((a + 2 * term - 1) * (a + 2 * term))
        odd = -(a + term) * (a + b + term) * x / ((a + 2 * term) * (a + 2 * term + 1))
        for coefficient in (even, odd):
            denominator_ratio = 1 / non_zero(1 + coefficient * denominator_ratio)
            numerator_ratio = non_zero(1 + coefficient / numerator_ratio)
            factor = numerator_ratio * denominator_ratio
            value *= factor
        if abs(factor - 1) <= RELATIVE_ERROR:
            break
    return value


def non_zero(value: float) -> float:
    """The value, or a tiny one in place of zero."""
    return value if abs(value) > SMALLEST else SMALLEST
