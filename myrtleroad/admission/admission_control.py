"""Admission control: sheds requests that waited too long to be read, before the decision module gets them.

Requests beyond a front's capacity wait in the listen queue, in socket buffers and for the event loop. If
they are served in order, every request is late, and the work done for it is wasted. The queue shrinks only by
shedding, which has to cost less than serving. The rule follows controlled delay (K. Nichols, V. Jacobson,
"Controlling Queue Delay", ACM Queue 10(5), 2012): a short queue is a burst and is served; a standing queue is
shed from its head.
"""

from collections.abc import Iterable
from enum import IntEnum


class AdmissionDecision(IntEnum):
    """Whether a request that was read is admitted, or why it is shed. Counters and logs contain the names."""

    TAKE = 0
    OVER = 1  # its own deadline had passed before it was read
    STANDING = 2  # it waited in a standing queue


class AdmissionControl:
    """Decides by how long requests waited unread. ``objectives_ms``: latency objectives of the routes."""

    # Share of the shortest objective: ten such delays fit into it, so that one alone makes few requests late.
    # The minimum is there because one iteration of the event loop takes some ms under load.
    TARGET_OBJECTIVE_SHARE, MIN_TARGET_MS = 0.1, 20.0
    # In multiples of the target: a delay that stays above it for so long isn't a burst within one target.
    INTERVAL_TARGETS = 2.0

    def __init__(self, objectives_ms: Iterable[float]):
        self.target_ms = max(
            self.MIN_TARGET_MS, self.TARGET_OBJECTIVE_SHARE * min(objectives_ms, default=0.0)
        )
        # When the read delay first exceeded the target; None after a request whose delay was within it.
        self.above_target_since: float | None = None

    def decide(self, read_delay_ms: float, remaining_ms: float, now: float) -> AdmissionDecision:
        """Decides on a request that is read now. Has to be called for every request, in the order of reading.

        ``read_delay_ms`` is how long the request has waited unread, ``remaining_ms`` how long its client
        still waits for a response.
        """
        if read_delay_ms <= self.target_ms:
            self.above_target_since = None
        elif self.above_target_since is None:
            self.above_target_since = now
        if remaining_ms <= 0:
            return AdmissionDecision.OVER
        if (
            self.above_target_since is not None
            and now - self.above_target_since >= self.INTERVAL_TARGETS * self.target_ms
        ):
            return AdmissionDecision.STANDING
        return AdmissionDecision.TAKE
