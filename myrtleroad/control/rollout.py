"""How far a version goes: rings of fronts, halts, and the way back. Free of I/O; time (float ms) is
passed in.

A version goes to one ring of fronts at a time, the smallest first. A ring is done once every front of it
that is there has acknowledged and the ring has been watched for a while. Refusals, fronts lost in the
ring and fronts that went back by themselves count against it; past a stated share the rollout halts and stays
halted until the operator rolls back, which publishes the older content under a new number to the fronts
that have met the one that is halted."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from myrtleroad.config.ledger import NO_VERSION, VersionId


class FrontState(IntEnum):
    """Where a front stands with the version that is being rolled out."""

    WAITING = 0  # its ring has not come
    OFFERED = 1
    ACKED = 2
    REFUSED = 3
    BACK = 4  # it went back by itself
    LOST = 5  # offered or acked, then gone for longer than a front takes to restart


class VersionRolloutPhase(IntEnum):
    IDLE = 0
    ROLLING = 1
    HALTED = 2
    DONE = 3


@dataclass(slots=True, frozen=True)
class RolloutPlan:
    """``rings``: share of the fronts by the end of each ring, the last is 1. ``bad_share``: of a ring's
    fronts that may refuse, be lost or go back; one front past it halts. ``watch_ms``: a ring's least
    time after its last acknowledgement. ``answer_ms``: for an answer, then it counts as lost.
    ``away_ms``: a front's restart."""

    rings: tuple[float, ...] = (0.1, 0.5, 1.0)
    bad_share: float = 0.1
    watch_ms: float = 5000.0
    answer_timeout_ms: float = 10_000.0
    restart_timeout_ms: float = 15_000.0

    def faults(self) -> list[str]:
        told = []
        if (
            not self.rings
            or self.rings[-1] != 1.0
            or list(self.rings) != sorted(set(self.rings))
            or self.rings[0] <= 0
        ):
            told.append("rings must rise from over 0 to 1")
        if not 0.0 <= self.bad_share < 1.0:
            told.append("the bad share lies from 0 to under 1")
        if min(self.watch_ms, self.answer_timeout_ms, self.restart_timeout_ms) < 0:
            told.append("times are 0 or more")
        return told


@dataclass(slots=True)
class FrontRecord:
    """One front that has ever said hello; forgotten a day after it left."""

    name: str
    connected: bool = True  # whether its stream does
    since_ms: float = 0.0  # it has stood, or been away
    holds: VersionId = NO_VERSION  # what it said last that is in force there
    state: FrontState = FrontState.WAITING
    offered_at_ms: float = 0.0
    code: str = ""
    text: str = ""


@dataclass(slots=True, frozen=True)
class SendOffer:
    """Offer the version to this front."""

    front: str
    version: VersionId


@dataclass(slots=True, frozen=True)
class RolloutHalted:
    version: VersionId
    reason: str


@dataclass(slots=True, frozen=True)
class RolloutFinished:
    version: VersionId


RolloutAction = SendOffer | RolloutHalted | RolloutFinished


class Rollout:
    FORGET_FRONT_MS = 86_400_000.0  # fronts that left stay in the list for a day, for on-call to see

    __slots__ = ("base", "fronts", "halt_reason", "phase", "plan", "ring", "ring_answered_at_ms", "version")

    def __init__(self, plan: RolloutPlan, base: VersionId = NO_VERSION):
        """``base``: what every front should hold while nothing rolls out."""
        self.plan, self.base = plan, base
        self.fronts: dict[str, FrontRecord] = {}  # emptied by FORGET_MS
        self.version, self.phase, self.ring, self.halt_reason = base, VersionRolloutPhase.IDLE, 0, ""
        self.ring_answered_at_ms: float | None = None  # since when all of the ring have answered

    # --- events ---

    def publish(self, name: VersionId, now: float) -> list[RolloutAction]:
        """Begin with a version. One that is rolling out is left where it is: its fronts get this one by their
        ring. Raises ValueError where the name does not go up."""
        if name <= self.version:
            raise ValueError(f"{name} is not over {self.version}")
        if self.phase == VersionRolloutPhase.DONE:
            self.base = self.version
        self.version, self.phase, self.ring, self.halt_reason, self.ring_answered_at_ms = (
            name,
            VersionRolloutPhase.ROLLING,
            0,
            "",
            None,
        )
        for f in self.fronts.values():
            f.state, f.code, f.text = FrontState.WAITING, "", ""
        return self.advance(now)

    def resume(self, last: VersionId, halted: str, now: float) -> list[RolloutAction]:
        """After a restart of the service: ``last`` is the last version that was published, ``halted`` why it
        was halted, "" where it was not. Guards against a rollout that is forgotten (it begins again at ring
        one, and fronts that hold the version count as having acknowledged it), and against a halt that a
        restart would lift."""
        if last <= self.base:
            return []
        acts = self.publish(last, now)
        if not halted:
            return acts
        self.phase, self.halt_reason = VersionRolloutPhase.HALTED, halted
        return []

    def expect_fronts(self, fronts: Iterable[str], now: float) -> None:
        """Fronts of an earlier life of the service: away as of now. Guards against a restarted service that
        takes the first front that comes for all of them, and its ring for done."""
        for name in fronts:
            self.fronts.setdefault(name, FrontRecord(name, connected=False, since_ms=now))

    def front_connected(self, front: str, holds: VersionId, now: float) -> list[RolloutAction]:
        """A front has come, or come back. One that holds the version counts as having acknowledged; one whose
        ring has come is offered it; the others are offered what all should hold."""
        f = self.fronts.setdefault(front, FrontRecord(front))
        f.connected, f.since_ms, f.holds = True, now, holds
        if f.state == FrontState.LOST:
            f.state = FrontState.WAITING
        if (
            holds == self.version
            and self.phase != VersionRolloutPhase.IDLE
            and f.state not in (FrontState.REFUSED, FrontState.BACK)
        ):
            f.state = FrontState.ACKED
        elif f.state in (FrontState.OFFERED, FrontState.ACKED):
            f.state = FrontState.WAITING  # it restarted from before
        acts = self.advance(now)
        if not any(isinstance(a, SendOffer) and a.front == front for a in acts) and self.is_behind(f):
            acts.append(SendOffer(front, self.base))
        return acts

    def is_behind(self, f: FrontRecord) -> bool:
        """Whether a front whose ring has not come holds less than all should."""
        return f.state in (FrontState.WAITING, FrontState.REFUSED, FrontState.BACK) and f.holds < self.base

    def front_disconnected(self, front: str, now: float) -> list[RolloutAction]:
        f = self.fronts.get(front)
        if f is not None:
            f.connected, f.since_ms = False, now
        return self.advance(now)

    def answer_received(
        self, front: str, name: VersionId, acked: bool, code: str, text: str, now: float
    ) -> list[RolloutAction]:
        f = self.fronts.get(front)
        if f is None:
            return []
        if acked:
            f.holds = max(f.holds, name)
        if name != self.version or f.state != FrontState.OFFERED:
            return []
        f.state, f.code, f.text = (FrontState.ACKED, "", "") if acked else (FrontState.REFUSED, code, text)
        return self.advance(now)

    def front_rolled_back(
        self, front: str, name: VersionId, back_to: VersionId, why: str, now: float
    ) -> list[RolloutAction]:
        f = self.fronts.get(front)
        if f is None:
            return []
        f.holds = back_to
        if name == self.version:
            f.state, f.code, f.text = FrontState.BACK, "rolled-back", why
        return self.advance(now)

    def tick(self, now: float) -> list[RolloutAction]:
        for name, f in list(self.fronts.items()):
            if not f.connected and now - f.since_ms > self.FORGET_FRONT_MS:
                del self.fronts[name]
        return self.advance(now)

    # --- decisions ---

    def advance(self, now: float) -> list[RolloutAction]:
        """Whatever is due: losses, a halt, offers to the ring, the next ring, the end."""
        if self.phase == VersionRolloutPhase.DONE:
            return self.offer_to_late_fronts(now)
        if self.phase != VersionRolloutPhase.ROLLING:
            return []
        acts: list[RolloutAction] = []
        while True:
            self.mark_lost_fronts(now)
            ring = self.ring_members(self.ring)
            bad = [
                f
                for f in self.offered_fronts()
                if f.state in (FrontState.REFUSED, FrontState.BACK, FrontState.LOST)
            ]
            if len(bad) > self.plan.bad_share * len(ring):
                # Guards against taking a bad version further: also one more in a ring that was done before.
                self.phase, self.halt_reason = VersionRolloutPhase.HALTED, self.describe_failures(bad)
                return [*acts, RolloutHalted(self.version, self.halt_reason)]
            for f in ring:
                if f.state == FrontState.WAITING and f.connected:
                    f.state, f.offered_at_ms = FrontState.OFFERED, now
                    acts.append(SendOffer(f.name, self.version))
            if not ring or any(f.state == FrontState.OFFERED or self.may_be_restarting(f, now) for f in ring):
                self.ring_answered_at_ms = None
                return acts
            self.ring_answered_at_ms = now if self.ring_answered_at_ms is None else self.ring_answered_at_ms
            if now - self.ring_answered_at_ms < self.plan.watch_ms:
                return acts
            if self.ring + 1 == len(self.plan.rings):
                self.phase = VersionRolloutPhase.DONE
                return [*acts, RolloutFinished(self.version)]
            self.ring, self.ring_answered_at_ms = self.ring + 1, None

    def offer_to_late_fronts(self, now: float) -> list[RolloutAction]:
        """Fronts that come after the end get what all have."""
        acts: list[RolloutAction] = []
        for f in self.fronts.values():
            if f.state == FrontState.WAITING and f.connected and f.holds < self.version:
                f.state, f.offered_at_ms = FrontState.OFFERED, now
                acts.append(SendOffer(f.name, self.version))
        return acts

    def mark_lost_fronts(self, now: float) -> None:
        for f in self.fronts.values():
            silent = (
                f.connected
                and f.state == FrontState.OFFERED
                and now - f.offered_at_ms > self.plan.answer_timeout_ms
            )
            away = not f.connected and now - f.since_ms > self.plan.restart_timeout_ms
            if silent or (away and f.state in (FrontState.OFFERED, FrontState.ACKED)):
                f.state = FrontState.LOST
                f.code, f.text = "lost", "no answer" if silent else "gone since it had this version"

    def may_be_restarting(self, f: FrontRecord, now: float) -> bool:
        """A front of the ring that is away may be restarting. Guards against going on from a ring whose
        fronts acknowledge a version and then die of it."""
        away = not f.connected and now - f.since_ms <= self.plan.restart_timeout_ms
        return away and f.state in (FrontState.WAITING, FrontState.ACKED)

    def ring_members(self, ring: int) -> list[FrontRecord]:
        """The fronts up to this ring, one at least. By name, so that a restarted service deals them alike."""
        names = sorted(
            n
            for n, f in self.fronts.items()
            if f.connected or f.state != FrontState.WAITING or f.since_ms > 0
        )
        count = max(1, round(self.plan.rings[ring] * len(names))) if names else 0
        return [self.fronts[n] for n in names[:count]]

    def offered_fronts(self) -> Iterable[FrontRecord]:
        return (f for f in self.fronts.values() if f.state != FrontState.WAITING)

    def describe_failures(self, bad: list[FrontRecord]) -> str:
        shown = ", ".join(f"{f.name} {f.state.name.lower()} ({f.code}: {f.text})" for f in bad[:3])
        more = f" and {len(bad) - 3} more" if len(bad) > 3 else ""
        return f"{len(bad)} of {len(self.ring_members(self.ring))} in ring {self.ring + 1}: {shown}{more}"

    def next_deadline(self, now: float) -> float:
        """When ``tick`` has something to do, at the latest."""
        if self.phase != VersionRolloutPhase.ROLLING:
            return now + 60_000.0
        times = [now + 1000.0]
        if self.ring_answered_at_ms is not None:
            times.append(self.ring_answered_at_ms + self.plan.watch_ms)
        return min(times)
