"""How soon to ask a service again: at once after a stream that stood, more and more rarely while it fails.

A service that is shared and full answers no call in time as long as calls come faster than it works them off,
those that nobody waits for any more included: callers that ask again soon keep it so for good."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class ServiceKind(Enum):
    """Whose the service is that a stream comes from."""

    OWN = "own"  # an agent of this front's own, or one that takes calls from all at once
    SHARED = "shared"  # one queue of fixed capacity for the calls of all fronts


@dataclass(slots=True, frozen=True)
class FollowerSettings:
    """How a stream is followed; all figures in ms but ``front_count``.

    ``drain_grace_ms``: how long after a change was told a front may still act on the list before it.
    ``heartbeat_interval_ms``: how often the other side says something, be it a sign of life alone.
    ``max_poll_interval_ms``: the longest that the settings let a front go without asking; inf where
    they do not say."""

    front_count: int
    drain_grace_ms: float
    heartbeat_interval_ms: float
    max_poll_interval_ms: float = float("inf")
    service_kind: ServiceKind = ServiceKind.OWN


class CallBackoff:
    """The pauses of one follower. ``chance`` draws from [0, 1).

    Full jitter over a growing span, after "Exponential Backoff and Jitter" (AWS Architecture Blog, 2015)."""

    SPREAD_MS = 2.0  # a front, over which the first asks after a stream that stood are spread: 500 a second
    PART = 0.25  # of the grace at most goes by before the first ask; the rest is for the answer
    BASE_MS = 100.0  # span of the pause after the first failure: some answers' time
    FULL_MS = 500.0  # the longest span of a small deployment: two graces of the shortest kind known
    MAX_CALLS_PER_S = (
        200.0  # asks a second from all fronts together while a service fails: 40 left 200 fronts
    )
    # blind for 3 s after it was back, this for 1 s, as long as one fixed pause of 1 s (benchmarks/membership)
    SHARED_FIRST_MS = 2000.0  # as long as a call may wait in the queue of a shared service
    SHARED_MOST_MS = 16000.0  # twice the time in which a shared service can take a call from every front
    STEADY_MS = 1000.0  # a stream that told something and stood for less has failed all the same

    __slots__ = ("base", "chance", "failures", "longest", "manner", "spread")

    def __init__(self, manner: FollowerSettings, chance: Callable[[], float]):
        self.manner, self.chance = manner, chance
        self.failures = 0  # since a stream last stood
        self.spread = min(self.PART * manner.drain_grace_ms, self.SPREAD_MS * manner.front_count)
        even = 2 * 1000.0 * manner.front_count / self.MAX_CALLS_PER_S  # a span's mean pause is half of it
        self.longest = min(max(self.FULL_MS, even), manner.max_poll_interval_ms)
        self.base = max(self.BASE_MS, self.longest / 4)  # many fronts fail at once: not all again at once

    def next_pause_ms(self, stood_ms: float | None, connected: bool = True) -> float:
        """How long to wait, in ms, now that a stream has ended; ``stood_ms`` is how long it stood after it
        had told something, None where it told nothing; ``connected``: a connection for it came up."""
        if stood_ms is not None and stood_ms >= self.STEADY_MS:
            self.failures = 0
            return self.chance() * self.spread
        self.failures += 1
        if stood_ms is None and connected and self.manner.service_kind is ServiceKind.SHARED:
            return self.shared_pause()
        # A service that takes every call and drops it at once counts as one that fails.
        return self.chance() * self.span(self.base, self.longest)

    def shared_pause(self) -> float:
        """After a call that a shared service took and did not answer. Never under half of the span, so that
        the load on it falls for certain."""
        most = min(self.SHARED_MOST_MS, self.manner.max_poll_interval_ms)
        return self.span(self.SHARED_FIRST_MS, most) * (0.5 + 0.5 * self.chance())

    def span(self, first: float, most: float) -> float:
        return min(most, first * 2.0 ** min(self.failures - 1, 16))
