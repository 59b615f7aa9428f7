"""What a rollout consists of: its parameters, the states of the rollout and of its fronts, and the actions
that the caller has to carry out. The decisions are in ``rollout``."""

from dataclasses import dataclass
from enum import IntEnum

from myrtleroad.config.ledger import NO_VERSION, VersionId


class FrontState(IntEnum):
    """State of a front in the current rollout."""

    WAITING = 0  # its ring has not started
    OFFERED = 1
    ACKED = 2
    REFUSED = 3
    BACK = 4  # it rolled back by itself
    LOST = 5  # offered or acked, then disconnected for longer than a restart takes
    BASE_OFFERED = 6  # offered the base version before this one, to have something to roll back to


class VersionRolloutPhase(IntEnum):
    """Phase of a rollout."""

    IDLE = 0
    ROLLING = 1
    HALTED = 2
    DONE = 3
    AWAITING_CONFIRMATION = 4  # all rings have it
    EXPIRED = 5  # not confirmed in time


@dataclass(slots=True, frozen=True)
class RolloutPlan:
    """Parameters of a rollout.

    ``rings``: share of all fronts by the end of each ring; the last is 1. ``bad_share``: share of a ring's
    fronts that may refuse, be lost or roll back; one more halts the rollout. ``watch_ms``: how long a ring
    is watched after its last acknowledgement, at least. ``answer_timeout_ms``: a front without an answer
    for longer counts as lost. ``restart_timeout_ms``: how long a front may be disconnected for a restart."""

    rings: tuple[float, ...] = (0.1, 0.5, 1.0)
    bad_share: float = 0.1
    watch_ms: float = 5000.0
    answer_timeout_ms: float = 10_000.0
    restart_timeout_ms: float = 15_000.0

    def faults(self) -> list[str]:
        """What is wrong with the parameters, one sentence each."""
        faults = []
        if (
            not self.rings
            or self.rings[-1] != 1.0
            or list(self.rings) != sorted(set(self.rings))
            or self.rings[0] <= 0
        ):
            faults.append("rings have to increase from above 0 to 1")
        if not 0.0 <= self.bad_share < 1.0:
            faults.append("the bad share has to be at least 0 and below 1")
        if min(self.watch_ms, self.answer_timeout_ms, self.restart_timeout_ms) < 0:
            faults.append("times have to be 0 or more")
        return faults


@dataclass(slots=True)
class FrontRecord:
    """One front that has connected at some time; forgotten a day after it left."""

    name: str
    connected: bool = True
    since_ms: float = 0.0  # start of the current connection or absence
    holds: VersionId = NO_VERSION  # the version that it last reported to be in force
    state: FrontState = FrontState.WAITING
    offered_at_ms: float = 0.0
    refused_base: bool = False  # refused the base version, so it is not offered that again
    code: str = ""
    text: str = ""


@dataclass(slots=True, frozen=True)
class SendOffer:
    """Offer the version to this front."""

    front: str
    version: VersionId


@dataclass(slots=True, frozen=True)
class RolloutHalted:
    """The rollout of a version was halted."""

    version: VersionId
    reason: str


@dataclass(slots=True, frozen=True)
class RolloutFinished:
    """The rollout of a version is complete."""

    version: VersionId


@dataclass(slots=True, frozen=True)
class RevokeVersion:
    """Tell this front that the version was not confirmed in time."""

    front: str
    version: VersionId


RolloutAction = SendOffer | RevokeVersion | RolloutHalted | RolloutFinished
