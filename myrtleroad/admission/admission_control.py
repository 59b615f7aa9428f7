"""Which reqs the door refuses itself, before the module sees them: those that waited too long unread.

What a front cannot carry waits before it, in the listen queue, in sockets' buffers and for the loop. Served
in turn, every req then comes late, and the work done for it is lost as well. The queue empties only by
refusing, which has to cost less than serving. The rule follows controlled delay (K. Nichols, V. Jacobson,
"Controlling Queue Delay", ACM Queue 10(5), 2012): a short queue is a burst and is served, a standing one is
cut from its head.
"""

from collections.abc import Iterable
from enum import IntEnum


class AdmissionDecision(IntEnum):
    """What becomes of a req at the door."""

    TAKE = 0
    OVER = 1  # its own time had passed before it was read
    STANDING = 2  # it waited in a queue that does not empty


class AdmissionControl:
    """``objectives``: latency objectives of the routes, in ms."""

    # Of the shortest objective: ten such waits fit in it, so that one alone makes few reqs late.
    TARGET_OBJECTIVE_SHARE, MIN_TARGET_MS = 0.1, 20.0  # the least, as a loop under load turns in some ms
    INTERVAL_TARGETS = (
        2.0  # in targets: a wait that lasts so long is no burst of the arrivals that one target holds
    )

    def __init__(self, objectives: Iterable[float]):
        self.target_ms = max(self.MIN_TARGET_MS, self.TARGET_OBJECTIVE_SHARE * min(objectives, default=0.0))
        self.above_target_since: float | None = (
            None  # when a wait over the target was first seen, none since under it
        )

    def decide(self, age: float, left: float, now: float) -> AdmissionDecision:
        """For a req read now: ``age`` is how long it has waited unread, ``left`` what its client still waits,
        both in ms. Called for every req, in the order of reading."""
        if age <= self.target_ms:
            self.above_target_since = None
        elif self.above_target_since is None:
            self.above_target_since = now
        if left <= 0:
            return AdmissionDecision.OVER
        if (
            self.above_target_since is not None
            and now - self.above_target_since >= self.INTERVAL_TARGETS * self.target_ms
        ):
            return AdmissionDecision.STANDING
        return AdmissionDecision.TAKE
