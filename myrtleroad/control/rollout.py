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

from myrtleroad.config.ledger import NONE, Name


class Stand(IntEnum):
    """Where a front stands with the version that is being rolled out."""

    WAITING = 0  # its ring has not come
    OFFERED = 1
    ACKED = 2
    REFUSED = 3
    BACK = 4  # it went back by itself
    LOST = 5  # offered or acked, then gone for longer than a front takes to restart


class Phase(IntEnum):
    IDLE = 0
    ROLLING = 1
    HALTED = 2
    DONE = 3


@dataclass(slots=True, frozen=True)
class Plan:
    """``rings``: share of the fronts by the end of each ring, the last is 1. ``bad_share``: of a ring's
    fronts that may refuse, be lost or go back; one front past it halts. ``watch_ms``: a ring's least
    time after its last acknowledgement. ``answer_ms``: for an answer, then it counts as lost.
    ``away_ms``: a front's restart."""

    rings: tuple[float, ...] = (0.1, 0.5, 1.0)
    bad_share: float = 0.1
    watch_ms: float = 5000.0
    answer_ms: float = 10_000.0
    away_ms: float = 15_000.0

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
        if min(self.watch_ms, self.answer_ms, self.away_ms) < 0:
            told.append("times are 0 or more")
        return told


@dataclass(slots=True)
class Front:
    """One front that has ever said hello; forgotten a day after it left."""

    name: str
    stands: bool = True  # whether its stream does
    since: float = 0.0  # it has stood, or been away
    holds: Name = NONE  # what it said last that is in force there
    stand: Stand = Stand.WAITING
    offered_at: float = 0.0
    code: str = ""
    text: str = ""


@dataclass(slots=True, frozen=True)
class Send:
    """Offer the version to this front."""

    front: str
    name: Name


@dataclass(slots=True, frozen=True)
class Halted:
    name: Name
    why: str


@dataclass(slots=True, frozen=True)
class Finished:
    name: Name


Act = Send | Halted | Finished


class Rollout:
    FORGET_MS = 86_400_000.0  # fronts that left stay in the list for a day, for on-call to see

    __slots__ = ("base", "fronts", "name", "phase", "plan", "ring", "ring_done", "why")

    def __init__(self, plan: Plan, base: Name = NONE):
        """``base``: what every front should hold while nothing rolls out."""
        self.plan, self.base = plan, base
        self.fronts: dict[str, Front] = {}  # emptied by FORGET_MS
        self.name, self.phase, self.ring, self.why = base, Phase.IDLE, 0, ""
        self.ring_done: float | None = None  # since when all of the ring have answered

    # --- events ---

    def publish(self, name: Name, now: float) -> list[Act]:
        """Begin with a version. One that is rolling out is left where it is: its fronts get this one by their
        ring. Raises ValueError where the name does not go up."""
        if name <= self.name:
            raise ValueError(f"{name} is not over {self.name}")
        if self.phase == Phase.DONE:
            self.base = self.name
        self.name, self.phase, self.ring, self.why, self.ring_done = name, Phase.ROLLING, 0, "", None
        for f in self.fronts.values():
            f.stand, f.code, f.text = Stand.WAITING, "", ""
        return self.go(now)

    def resume(self, last: Name, halted: str, now: float) -> list[Act]:
        """After a restart of the service: ``last`` is the last version that was published, ``halted`` why it
        was halted, "" where it was not. Guards against a rollout that is forgotten (it begins again at ring
        one, and fronts that hold the version count as having acknowledged it), and against a halt that a
        restart would lift."""
        if last <= self.base:
            return []
        acts = self.publish(last, now)
        if not halted:
            return acts
        self.phase, self.why = Phase.HALTED, halted
        return []

    def expect(self, fronts: Iterable[str], now: float) -> None:
        """Fronts of an earlier life of the service: away as of now. Guards against a restarted service that
        takes the first front that comes for all of them, and its ring for done."""
        for name in fronts:
            self.fronts.setdefault(name, Front(name, stands=False, since=now))

    def hello(self, front: str, holds: Name, now: float) -> list[Act]:
        """A front has come, or come back. One that holds the version counts as having acknowledged; one whose
        ring has come is offered it; the others are offered what all should hold."""
        f = self.fronts.setdefault(front, Front(front))
        f.stands, f.since, f.holds = True, now, holds
        if f.stand == Stand.LOST:
            f.stand = Stand.WAITING
        if holds == self.name and self.phase != Phase.IDLE and f.stand not in (Stand.REFUSED, Stand.BACK):
            f.stand = Stand.ACKED
        elif f.stand in (Stand.OFFERED, Stand.ACKED):
            f.stand = Stand.WAITING  # it restarted from before
        acts = self.go(now)
        if not any(isinstance(a, Send) and a.front == front for a in acts) and self.behind(f):
            acts.append(Send(front, self.base))
        return acts

    def behind(self, f: Front) -> bool:
        """Whether a front whose ring has not come holds less than all should."""
        return f.stand in (Stand.WAITING, Stand.REFUSED, Stand.BACK) and f.holds < self.base

    def gone(self, front: str, now: float) -> list[Act]:
        f = self.fronts.get(front)
        if f is not None:
            f.stands, f.since = False, now
        return self.go(now)

    def answered(self, front: str, name: Name, acked: bool, code: str, text: str, now: float) -> list[Act]:
        f = self.fronts.get(front)
        if f is None:
            return []
        if acked:
            f.holds = max(f.holds, name)
        if name != self.name or f.stand != Stand.OFFERED:
            return []
        f.stand, f.code, f.text = (Stand.ACKED, "", "") if acked else (Stand.REFUSED, code, text)
        return self.go(now)

    def went_back(self, front: str, name: Name, back_to: Name, why: str, now: float) -> list[Act]:
        f = self.fronts.get(front)
        if f is None:
            return []
        f.holds = back_to
        if name == self.name:
            f.stand, f.code, f.text = Stand.BACK, "rolled-back", why
        return self.go(now)

    def tick(self, now: float) -> list[Act]:
        for name, f in list(self.fronts.items()):
            if not f.stands and now - f.since > self.FORGET_MS:
                del self.fronts[name]
        return self.go(now)

    # --- decisions ---

    def go(self, now: float) -> list[Act]:
        """Whatever is due: losses, a halt, offers to the ring, the next ring, the end."""
        if self.phase == Phase.DONE:
            return self.late(now)
        if self.phase != Phase.ROLLING:
            return []
        acts: list[Act] = []
        while True:
            self.lose(now)
            ring = self.members(self.ring)
            bad = [f for f in self.met() if f.stand in (Stand.REFUSED, Stand.BACK, Stand.LOST)]
            if len(bad) > self.plan.bad_share * len(ring):
                # Guards against taking a bad version further: also one more in a ring that was done before.
                self.phase, self.why = Phase.HALTED, self.said(bad)
                return [*acts, Halted(self.name, self.why)]
            for f in ring:
                if f.stand == Stand.WAITING and f.stands:
                    f.stand, f.offered_at = Stand.OFFERED, now
                    acts.append(Send(f.name, self.name))
            if not ring or any(f.stand == Stand.OFFERED or self.awaited(f, now) for f in ring):
                self.ring_done = None
                return acts
            self.ring_done = now if self.ring_done is None else self.ring_done
            if now - self.ring_done < self.plan.watch_ms:
                return acts
            if self.ring + 1 == len(self.plan.rings):
                self.phase = Phase.DONE
                return [*acts, Finished(self.name)]
            self.ring, self.ring_done = self.ring + 1, None

    def late(self, now: float) -> list[Act]:
        """Fronts that come after the end get what all have."""
        acts: list[Act] = []
        for f in self.fronts.values():
            if f.stand == Stand.WAITING and f.stands and f.holds < self.name:
                f.stand, f.offered_at = Stand.OFFERED, now
                acts.append(Send(f.name, self.name))
        return acts

    def lose(self, now: float) -> None:
        for f in self.fronts.values():
            silent = f.stands and f.stand == Stand.OFFERED and now - f.offered_at > self.plan.answer_ms
            away = not f.stands and now - f.since > self.plan.away_ms
            if silent or (away and f.stand in (Stand.OFFERED, Stand.ACKED)):
                f.stand = Stand.LOST
                f.code, f.text = "lost", "no answer" if silent else "gone since it had this version"

    def awaited(self, f: Front, now: float) -> bool:
        """A front of the ring that is away may be restarting. Guards against going on from a ring whose
        fronts acknowledge a version and then die of it."""
        away = not f.stands and now - f.since <= self.plan.away_ms
        return away and f.stand in (Stand.WAITING, Stand.ACKED)

    def members(self, ring: int) -> list[Front]:
        """The fronts up to this ring, one at least. By name, so that a restarted service deals them alike."""
        names = sorted(
            n for n, f in self.fronts.items() if f.stands or f.stand != Stand.WAITING or f.since > 0
        )
        count = max(1, round(self.plan.rings[ring] * len(names))) if names else 0
        return [self.fronts[n] for n in names[:count]]

    def met(self) -> Iterable[Front]:
        return (f for f in self.fronts.values() if f.stand != Stand.WAITING)

    def said(self, bad: list[Front]) -> str:
        shown = ", ".join(f"{f.name} {f.stand.name.lower()} ({f.code}: {f.text})" for f in bad[:3])
        more = f" and {len(bad) - 3} more" if len(bad) > 3 else ""
        return f"{len(bad)} of {len(self.members(self.ring))} in ring {self.ring + 1}: {shown}{more}"

    def due(self, now: float) -> float:
        """When ``tick`` has something to do, at the latest."""
        if self.phase != Phase.ROLLING:
            return now + 60_000.0
        times = [now + 1000.0]
        if self.ring_done is not None:
            times.append(self.ring_done + self.plan.watch_ms)
        return min(times)
