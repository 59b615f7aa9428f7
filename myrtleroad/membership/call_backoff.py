"""Pauses between calls to a streaming service: short after a stable stream, growing while the service fails.

A shared service that is full answers no call in time for as long as calls arrive faster than it can process
them; abandoned calls still take up its capacity. Callers that retry too soon keep it in that state
indefinitely."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class ServiceKind(Enum):
    """Which callers the service behind a stream has to serve."""

    OWN = "own"  # an agent that serves only this front, or a service that accepts all fronts' calls at once
    SHARED = "shared"  # one queue of fixed capacity for the calls of all fronts


@dataclass(slots=True, frozen=True)
class FollowerSettings:
    """How a stream is followed. Durations are in ms.

    ``drain_grace_ms``: how long a front may still act on the previous list after a change was announced.
    ``heartbeat_interval_ms``: the peer sends at least a heartbeat this often.
    ``max_poll_interval_ms``: the longest time the settings allow between calls; inf if they set no limit."""

    front_count: int
    drain_grace_ms: float
    heartbeat_interval_ms: float
    max_poll_interval_ms: float = float("inf")
    service_kind: ServiceKind = ServiceKind.OWN


class CallBackoff:
    """Computes the pauses of one follower. ``random`` draws uniformly from [0, 1).

    Full jitter over an exponentially growing span, after "Exponential Backoff and Jitter" (AWS Architecture
    Blog, 2015)."""

    SPREAD_PER_FRONT_MS = 2.0  # spreads the fronts' first calls after stable streams to 500 calls a second
    MAX_SPREAD_SHARE = 0.25  # of the drain grace; the rest is left for the response to arrive
    MIN_BASE_SPAN_MS = 100.0  # span of the pause after the first failure: several response times
    MIN_LONGEST_SPAN_MS = 500.0  # longest span of a small deployment: twice the shortest known drain grace
    # Target rate of all fronts together while a service fails. 40 a second left 200 fronts blind for 3 s
    # after the service had recovered; 200 a second does for 1 s, as long as a fixed pause of 1 s
    # (benchmarks/membership).
    MAX_CALLS_PER_S = 200.0
    SHARED_BASE_SPAN_MS = 2000.0  # as long as a call may wait in the queue of a shared service
    SHARED_LONGEST_SPAN_MS = 16000.0  # twice the time a shared service needs to take a call from every front
    STABLE_STREAM_MS = 1000.0  # a stream that delivered data but lasted less than this counts as failed

    __slots__ = ("base_span_ms", "failures", "longest_span_ms", "random", "settings", "spread_ms")

    def __init__(self, settings: FollowerSettings, random: Callable[[], float]):
        self.settings, self.random = settings, random
        self.failures = 0  # since the last stable stream
        self.spread_ms = min(
            self.MAX_SPREAD_SHARE * settings.drain_grace_ms, self.SPREAD_PER_FRONT_MS * settings.front_count
        )
        # The mean pause is half the span, so this span keeps all fronts together at the target rate.
        rate_limited_span_ms = 2 * 1000.0 * settings.front_count / self.MAX_CALLS_PER_S
        self.longest_span_ms = min(
            max(self.MIN_LONGEST_SPAN_MS, rate_limited_span_ms), settings.max_poll_interval_ms
        )
        # Many fronts fail at the same moment; with more fronts the first span grows, so that they do not all
        # retry at once.
        self.base_span_ms = max(self.MIN_BASE_SPAN_MS, self.longest_span_ms / 4)

    def next_pause_ms(self, lasted_ms: float | None, connected: bool = True) -> float:
        """The pause before the next call, in ms, after a stream has ended.

        ``lasted_ms``: how long the stream stayed open after its first message, None if it delivered none.
        ``connected``: whether its connection was established."""
        if lasted_ms is not None and lasted_ms >= self.STABLE_STREAM_MS:
            self.failures = 0
            return self.random() * self.spread_ms
        self.failures += 1
        if lasted_ms is None and connected and self.settings.service_kind is ServiceKind.SHARED:
            return self.shared_service_pause_ms()
        # A service that accepts every call and drops it at once counts as failing.
        return self.random() * self.span_ms(self.base_span_ms, self.longest_span_ms)

    def shared_service_pause_ms(self) -> float:
        """The pause after a call that a shared service accepted and did not answer.

        It is never under half of the span, so that the load on the service is certain to fall."""
        longest_span_ms = min(self.SHARED_LONGEST_SPAN_MS, self.settings.max_poll_interval_ms)
        return self.span_ms(self.SHARED_BASE_SPAN_MS, longest_span_ms) * (0.5 + 0.5 * self.random())

    def span_ms(self, base_ms: float, longest_ms: float) -> float:
        """The span after the failures so far: ``base_ms`` doubled for each one after the first."""
        return min(longest_ms, base_ms * 2.0 ** min(self.failures - 1, 16))
