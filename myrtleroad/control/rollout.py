"""Rollout of a version: rings of fronts, halts and rollbacks. Does no I/O; time (float ms) is passed in.

A version goes to one ring of fronts at a time, the smallest first. A ring is done once every connected
front in it has acknowledged and the ring has been watched for a while. Refusals, lost fronts and fronts
that rolled back by themselves count as failures. Past a given share of failures the rollout halts and
stays halted until the operator rolls back, which publishes the older content under a new number to the
fronts that were offered the halted version.

A version that waits for its confirmation is not the base that fronts fall back to. A front that has not got
the base gets it first, and the version after it. A version that was not confirmed in time expires: it is
offered to nobody any more, and the base stays what it was."""

from collections.abc import Iterable

from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.control.confirmation import ConfirmationState
from myrtleroad.control.rollout_types import (
    FrontRecord,
    FrontState,
    RevokeVersion,
    RolloutAction,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)


class Rollout:
    """The rollout of one version at a time. Each event returns the actions that the caller has to carry
    out."""

    FORGET_FRONT_MS = 86_400_000.0  # disconnected fronts stay listed for a day, for on-call to see

    __slots__ = (
        "base",
        "confirmation",
        "fronts",
        "halt_reason",
        "phase",
        "plan",
        "ring",
        "ring_answered_at_ms",
        "version",
    )

    def __init__(self, plan: RolloutPlan, base: VersionId = NO_VERSION):
        """``base``: the version that every front should hold while no rollout is in progress."""
        self.plan, self.base = plan, base
        self.fronts: dict[str, FrontRecord] = {}  # entries expire after FORGET_FRONT_MS
        self.version, self.phase, self.ring, self.halt_reason = base, VersionRolloutPhase.IDLE, 0, ""
        self.confirmation = ConfirmationState.NOT_REQUIRED  # of the version
        self.ring_answered_at_ms: float | None = None  # since when all fronts of the ring have answered

    # --- events ---

    def confirmed(self, now: float) -> list[RolloutAction]:
        """The version has been confirmed. Fronts that had rolled it back already get it again."""
        self.confirmation = ConfirmationState.CONFIRMED
        for record in self.fronts.values():
            if record.state == FrontState.BACK:
                record.state, record.code, record.text = FrontState.WAITING, "", ""
        if self.phase != VersionRolloutPhase.AWAITING_CONFIRMATION:
            return self.advance(now)
        self.phase = VersionRolloutPhase.DONE
        return [RolloutFinished(self.version), *self.advance(now)]

    def expired(self) -> list[RolloutAction]:
        """The version was not confirmed in time. Fronts that hold it or are taking it roll it back."""
        self.confirmation = ConfirmationState.EXPIRED
        if self.phase != VersionRolloutPhase.HALTED:
            self.phase = VersionRolloutPhase.EXPIRED
            self.halt_reason = f"version {self.version.number} was not confirmed in time"
        return [RevokeVersion(front, self.version) for front in sorted(self.holders() | self.takers())]

    def holders(self) -> set[str]:
        """Names of the connected fronts that hold the version."""
        return {
            record.name
            for record in self.fronts.values()
            if record.connected and record.holds == self.version
        }

    def takers(self) -> set[str]:
        """Names of the connected fronts that were offered the version and have not answered."""
        return {
            record.name
            for record in self.fronts.values()
            if record.connected and record.state == FrontState.OFFERED
        }

    def publish(
        self,
        version: VersionId,
        now: float,
        confirmation: ConfirmationState = ConfirmationState.NOT_REQUIRED,
    ) -> list[RolloutAction]:
        """Starts the rollout of a version. A rollout in progress ends where it is: its fronts are
        offered the new version with their ring. Raises ValueError if the version does not increase."""
        if version <= self.version:
            raise ValueError(f"{version} is not higher than {self.version}")
        if self.phase == VersionRolloutPhase.DONE:
            self.base = self.version
        self.start(version, confirmation)
        return self.advance(now)

    def start(self, version: VersionId, confirmation: ConfirmationState) -> None:
        """Starts the rollout of a version at the first ring; no front counts as offered it."""
        self.version, self.confirmation = version, confirmation
        self.phase, self.halt_reason = VersionRolloutPhase.ROLLING, ""
        self.ring, self.ring_answered_at_ms = 0, None
        for record in self.fronts.values():
            record.state, record.code, record.text = FrontState.WAITING, "", ""
            record.refused_base = False

    def fall_back(
        self, version: VersionId, now: float, confirmation: ConfirmationState
    ) -> list[RolloutAction]:
        """Continues, from the first ring, the rollout of an older version that an expired one had ended.
        Guards against fronts that differ for good, and against a confirmed version that some never get."""
        self.start(version, confirmation)
        for record in self.fronts.values():
            if record.holds == version:
                record.state = FrontState.ACKED
        return self.advance(now)

    def resume(
        self,
        last_version: VersionId,
        halt_reason: str,
        now: float,
        confirmation: ConfirmationState = ConfirmationState.NOT_REQUIRED,
    ) -> list[RolloutAction]:
        """Continues after a restart of the service. ``last_version`` is the last published version,
        ``halt_reason`` why its rollout was halted ("" if it was not). A restart must neither abandon a
        rollout nor lift a halt: a rollout in progress starts again at ring one, where fronts that hold
        the version count as acknowledged, and a halted or expired one stays so."""
        if last_version <= self.base:
            self.confirmation = confirmation
            return []
        actions = self.publish(last_version, now, confirmation)
        if halt_reason:
            self.phase, self.halt_reason = VersionRolloutPhase.HALTED, halt_reason
            return []
        return self.expired() if confirmation == ConfirmationState.EXPIRED else actions

    def expect_fronts(self, fronts: Iterable[str], now: float) -> None:
        """Adds the fronts that the service knew before a restart, disconnected as of now. Guards against a
        restarted service that takes the first front to connect for all of them, and its ring for done."""
        for name in fronts:
            self.fronts.setdefault(name, FrontRecord(name, connected=False, since_ms=now))

    def front_connected(self, front: str, holds: VersionId, now: float) -> list[RolloutAction]:
        """A front has connected. If it holds the current version, it counts as acknowledged; if its ring
        has started, it is offered the version; otherwise it is offered the base version."""
        record = self.fronts.setdefault(front, FrontRecord(front))
        record.connected, record.since_ms, record.holds, record.refused_base = True, now, holds, False
        if record.state == FrontState.LOST:
            record.state = FrontState.WAITING
        if (
            holds == self.version
            and self.phase != VersionRolloutPhase.IDLE
            and record.state not in (FrontState.REFUSED, FrontState.BACK)
        ):
            record.state = FrontState.ACKED
        elif record.state in (FrontState.OFFERED, FrontState.ACKED, FrontState.BASE_OFFERED):
            record.state = FrontState.WAITING  # it restarted with an older version
        actions = self.advance(now)
        if not any(
            isinstance(action, SendOffer) and action.front == front for action in actions
        ) and self.is_behind(record):
            actions.append(SendOffer(front, self.base))
        return actions

    def is_behind(self, record: FrontRecord) -> bool:
        """Whether a front that doesn't hold the new version holds an older one than the base version."""
        return (
            record.state in (FrontState.WAITING, FrontState.REFUSED, FrontState.BACK)
            and record.holds < self.base
        )

    def front_disconnected(self, front: str, now: float) -> list[RolloutAction]:
        """The stream of a front has ended."""
        record = self.fronts.get(front)
        if record is not None:
            record.connected, record.since_ms = False, now
            if record.state == FrontState.BASE_OFFERED:
                record.state = FrontState.WAITING
        return self.advance(now)

    def answer_received(
        self, front: str, version: VersionId, acked: bool, code: str, text: str, now: float
    ) -> list[RolloutAction]:
        """A front has acknowledged or refused a version."""
        record = self.fronts.get(front)
        if record is None:
            return []
        if acked:
            record.holds = max(record.holds, version)
        if version == self.base and record.state == FrontState.BASE_OFFERED:
            record.state, record.refused_base = FrontState.WAITING, not acked
            return self.advance(now)
        if version != self.version or record.state != FrontState.OFFERED:
            return []
        record.state, record.code, record.text = (
            (FrontState.ACKED, "", "") if acked else (FrontState.REFUSED, code, text)
        )
        return self.advance(now)

    def front_rolled_back(
        self,
        front: str,
        version: VersionId,
        back_to: VersionId,
        reason: str,
        now: float,
    ) -> list[RolloutAction]:
        """A front has rolled back a version by itself. If the version is confirmed, the confirmation came
        too late at this front only, and it is offered the version again."""
        record = self.fronts.get(front)
        if record is None:
            return []
        record.holds = back_to
        if version == self.version and self.confirmation == ConfirmationState.CONFIRMED:
            record.state = FrontState.WAITING
        elif version == self.version:
            record.state, record.code, record.text = FrontState.BACK, "rolled-back", reason
        actions = self.advance(now)
        if self.confirmation == ConfirmationState.EXPIRED and self.is_behind(record):
            actions.append(SendOffer(front, self.base))
        return actions

    def tick(self, now: float) -> list[RolloutAction]:
        """Time has passed: forgets fronts that left long ago and does whatever is due."""
        for name, record in list(self.fronts.items()):
            if not record.connected and now - record.since_ms > self.FORGET_FRONT_MS:
                del self.fronts[name]
        return self.advance(now)

    # --- decisions ---

    def advance(self, now: float) -> list[RolloutAction]:
        """Does whatever is due: marks lost fronts, halts, offers to the ring, starts the next ring,
        finishes."""
        if self.phase in (VersionRolloutPhase.DONE, VersionRolloutPhase.AWAITING_CONFIRMATION):
            return self.offer_to_late_fronts(now)
        if self.phase != VersionRolloutPhase.ROLLING:
            return []
        actions: list[RolloutAction] = []
        while True:
            self.mark_lost_fronts(now)
            ring = self.ring_members(self.ring)
            failed = self.failed_fronts()
            if len(failed) > self.plan.bad_share * len(ring):
                # Guards against distributing a bad version further, also when a ring that was done fails
                # later.
                self.phase, self.halt_reason = VersionRolloutPhase.HALTED, self.describe_failures(failed)
                return [*actions, RolloutHalted(self.version, self.halt_reason)]
            for record in ring:
                if record.state == FrontState.WAITING and record.connected:
                    actions.append(self.offer(record, now))
            if not self.have_answered(ring, now):
                self.ring_answered_at_ms = None
                return actions
            self.ring_answered_at_ms = now if self.ring_answered_at_ms is None else self.ring_answered_at_ms
            if now - self.ring_answered_at_ms < self.plan.watch_ms:
                return actions
            if self.ring + 1 == len(self.plan.rings) and self.confirmation == ConfirmationState.PENDING:
                self.phase = VersionRolloutPhase.AWAITING_CONFIRMATION
                return actions
            if self.ring + 1 == len(self.plan.rings):
                self.phase = VersionRolloutPhase.DONE
                return [*actions, RolloutFinished(self.version)]
            self.ring, self.ring_answered_at_ms = self.ring + 1, None

    def failed_fronts(self) -> list[FrontRecord]:
        """The fronts that were offered the version and refused it, are lost or rolled it back."""
        failures = (FrontState.REFUSED, FrontState.BACK, FrontState.LOST)
        return [record for record in self.offered_fronts() if record.state in failures]

    def have_answered(self, ring: list[FrontRecord], now: float) -> bool:
        """Whether every front of a ring has answered, and none may be restarting. An empty ring has not."""
        open_states = (FrontState.OFFERED, FrontState.BASE_OFFERED)
        return bool(ring) and not any(
            record.state in open_states or self.may_be_restarting(record, now) for record in ring
        )

    def offer_to_late_fronts(self, now: float) -> list[RolloutAction]:
        """Offers the version to fronts that connect after the end of the rollout."""
        actions: list[RolloutAction] = []
        for record in self.fronts.values():
            if record.state == FrontState.WAITING and record.connected and record.holds < self.version:
                actions.append(self.offer(record, now))
        return actions

    def offer(self, record: FrontRecord, now: float) -> SendOffer:
        """Offers the version to a front. Guards against a front that rolls an unconfirmed version back to
        less than all others hold: it is offered the base version first if it holds an older one."""
        record.offered_at_ms = now
        needs_base = record.holds < self.base and not record.refused_base
        if self.confirmation == ConfirmationState.PENDING and needs_base:
            record.state = FrontState.BASE_OFFERED
            return SendOffer(record.name, self.base)
        record.state = FrontState.OFFERED
        return SendOffer(record.name, self.version)

    def mark_lost_fronts(self, now: float) -> None:
        """Marks fronts as lost that don't answer or stay disconnected for too long."""
        for record in self.fronts.values():
            silent = (
                record.connected
                and record.state in (FrontState.OFFERED, FrontState.BASE_OFFERED)
                and now - record.offered_at_ms > self.plan.answer_timeout_ms
            )
            away = not record.connected and now - record.since_ms > self.plan.restart_timeout_ms
            if silent or (away and record.state in (FrontState.OFFERED, FrontState.ACKED)):
                record.state = FrontState.LOST
                record.code, record.text = (
                    "lost",
                    "no answer" if silent else "disconnected since it got this version",
                )

    def may_be_restarting(self, record: FrontRecord, now: float) -> bool:
        """Whether a disconnected front of the ring may be restarting. Guards against going on from a ring
        whose fronts acknowledge a version and then crash because of it."""
        away = not record.connected and now - record.since_ms <= self.plan.restart_timeout_ms
        return away and record.state in (FrontState.WAITING, FrontState.ACKED)

    def ring_members(self, ring: int) -> list[FrontRecord]:
        """The fronts up to this ring, at least one. Ordered by name, so that a restarted service assigns
        them to the same rings."""
        names = sorted(
            name
            for name, record in self.fronts.items()
            if record.connected or record.state != FrontState.WAITING or record.since_ms > 0
        )
        count = max(1, round(self.plan.rings[ring] * len(names))) if names else 0
        return [self.fronts[name] for name in names[:count]]

    def offered_fronts(self) -> Iterable[FrontRecord]:
        """The fronts that were offered the current version."""
        return (record for record in self.fronts.values() if record.state != FrontState.WAITING)

    def describe_failures(self, failed: list[FrontRecord]) -> str:
        """Why the rollout halts: the first failed fronts and their number."""
        shown = ", ".join(
            f"{record.name} {record.state.name.lower()} ({record.code}: {record.text})"
            for record in failed[:3]
        )
        more = f" and {len(failed) - 3} more" if len(failed) > 3 else ""
        return f"{len(failed)} of {len(self.ring_members(self.ring))} in ring {self.ring + 1}: {shown}{more}"

    def next_deadline(self, now: float) -> float:
        """The latest time at which ``tick`` has to be called."""
        if self.phase != VersionRolloutPhase.ROLLING:
            return now + 60_000.0
        times = [now + 1000.0]
        if self.ring_answered_at_ms is not None:
            times.append(self.ring_answered_at_ms + self.plan.watch_ms)
        return min(times)
