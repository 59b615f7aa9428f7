"""The state machine of configuration versions at a front: what was offered, what is in force and what was in
force before.

The terms correspond to those of a discovery protocol: an offer is a response with a version and a nonce,
``acked`` and ``refused`` (with a code and a text) are its ACK and NACK. An epoch is one sequence of numbers
of the control service; a later epoch is higher. Within an epoch numbers only increase, also for a rollback,
which is older content under a new number. Each offer gets exactly one final answer on the stream that brought
it, or none if that stream is gone.

Does no I/O: the caller reads and checks offers (``CheckOffer``), applies versions (``ApplyVersion``),
sends frames (``OfferAnswer``, ``ReportRollback``), and reports each result. A check may take many turns of
the event loop; a newer offer replaces it meanwhile."""

from collections import deque
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any


class VersionState(IntEnum):
    """State of a version at this front."""

    OFFERED = 0
    CHECKED = 1  # valid; being applied
    APPLIED = 2  # in force, waiting for confirmation if it requires one
    CONFIRMED = 3
    REFUSED = 4
    SUPERSEDED = 5  # a newer one arrived before the check ended, or came into force after it
    ROLLED_BACK = 6  # its confirmation did not come in time
    APPLY_FAILED = 7


@dataclass(slots=True, frozen=True, order=True)
class VersionId:
    """Identifies a version; ordered by epoch, then number."""

    epoch: int
    number: int


NO_VERSION = VersionId(0, 0)  # the settings alone, without operators' limits


@dataclass(slots=True, frozen=True)
class Offer:
    """A version that was offered on a stream; ``nonce`` connects it with its answer."""

    stream: int
    nonce: int
    version: VersionId
    digest: str  # of the content
    confirm_ms: float | None = None
    body: Any = None  # opaque to the ledger; read by the check
    confirmed: bool = False  # it required a confirmation and has got it


# --- actions for the caller ---


@dataclass(slots=True, frozen=True)
class CheckOffer:
    """Check this offer and report the result to ``check_finished``."""

    offer: Offer


@dataclass(slots=True, frozen=True)
class ApplyVersion:
    """Apply this version, all or nothing, and report the result to ``apply_finished``."""

    version: VersionId


@dataclass(slots=True, frozen=True)
class OfferAnswer:
    """The one final answer to an offer, on its stream."""

    stream: int
    nonce: int
    version: VersionId
    acked: bool
    code: str = ""
    text: str = ""
    path: tuple[str, ...] = ()  # of the entry at fault, if there is one


@dataclass(slots=True, frozen=True)
class ReportRollback:
    """Report on every open stream that a version was rolled back after its acknowledgement."""

    version: VersionId
    back_to: VersionId
    reason: str


LedgerAction = CheckOffer | ApplyVersion | OfferAnswer | ReportRollback


@dataclass(slots=True)
class HeldVersion:
    """A version that is or was known here, with the digest of its content."""

    version: VersionId
    digest: str
    state: VersionState


class Ledger:
    """The versions of one front. Each event returns the actions that the caller has to carry out."""

    MAX_PAST = 100  # past versions with their digests, to recognize repeated offers; the oldest are dropped

    __slots__ = (
        "confirm_deadline_ms",
        "highest",
        "in_force",
        "in_progress",
        "last_good",
        "past",
        "pending",
        "streams",
    )

    def __init__(self, last_good: HeldVersion | None = None, highest: VersionId = NO_VERSION):
        """``last_good``: the last good version from before a restart, in force from the start.
        ``highest``: the highest version that was in force and not rolled back."""
        self.in_force = self.last_good = last_good or HeldVersion(NO_VERSION, "", VersionState.CONFIRMED)
        self.highest = max(highest, self.in_force.version)
        self.confirm_deadline_ms: float | None = None
        self.streams: set[int] = set()
        self.in_progress: tuple[Offer, VersionState] | None = None  # being checked or applied
        self.pending: Offer | None = None  # the newest offer that arrived meanwhile
        self.past: deque[HeldVersion] = deque(maxlen=self.MAX_PAST)

    # --- streams ---

    def stream_opened(self, stream: int) -> None:
        """A stream to a control service was opened."""
        self.streams.add(stream)

    def stream_closed(self, stream: int) -> None:
        """Offers of this stream get no answers any more. A version that is being applied is still
        completed: losing the stream doesn't make the version invalid."""
        self.streams.discard(stream)
        if self.pending is not None and self.pending.stream == stream:
            self.pending = None

    # --- offers ---

    def offer_received(self, offer: Offer) -> list[LedgerAction]:
        """Answers an offer, starts its check or queues it."""
        if offer.stream not in self.streams:
            return []
        if offer.confirmed and offer.digest == self.in_force.digest:
            self.confirm_received(offer.version)
        answer = self.known_answer(offer)
        if answer is not None:
            return [answer]
        if self.in_progress is not None:
            current, state = self.in_progress
            if (offer.version, offer.digest) == (current.version, current.digest):
                # Guards against applying a version twice that was offered again on a new stream: the second
                # offer is answered after the first.
                return self.queue_offer(offer)
            if offer.version <= current.version:
                return [
                    self.refusal(
                        offer, "older", f"{describe_version(current.version)} is being checked or applied"
                    )
                ]
            if state == VersionState.OFFERED:
                # Guards against a front that never finishes a check because newer versions keep arriving:
                # only the newest counts.
                self.past.append(HeldVersion(current.version, current.digest, VersionState.SUPERSEDED))
                superseded = self.refusal(current, "superseded", f"{describe_version(offer.version)} came")
                self.in_progress = (offer, VersionState.OFFERED)
                return [*self.if_stream_open(superseded), CheckOffer(offer)]
            return self.queue_offer(offer)
        self.in_progress = (offer, VersionState.OFFERED)
        return [CheckOffer(offer)]

    def queue_offer(self, offer: Offer) -> list[LedgerAction]:
        """Queues an offer while another version is being applied. Only the newest queued offer is kept."""
        earlier, self.pending = self.pending, offer
        if earlier is None:
            return []
        if earlier.version > offer.version:
            self.pending = earlier
            return [self.refusal(offer, "older", f"{describe_version(earlier.version)} is queued")]
        return self.if_stream_open(
            self.refusal(earlier, "superseded", f"{describe_version(offer.version)} came")
        )

    def known_answer(self, offer: Offer) -> OfferAnswer | None:
        """The answer to an offer that needs no check, or None."""
        if offer.version == self.in_force.version:
            if offer.digest == self.in_force.digest:
                return OfferAnswer(offer.stream, offer.nonce, offer.version, True)
            return self.refusal(
                offer, "other-content", f"{describe_version(offer.version)} is in force with other content"
            )
        if self.was_confirmed_late(offer):
            return None
        for past_version in self.past:
            if past_version.version == offer.version and past_version.state in (
                VersionState.ROLLED_BACK,
                VersionState.APPLY_FAILED,
            ):
                return self.refusal(
                    offer, "rolled-back", f"{describe_version(offer.version)} was rolled back here"
                )
            if past_version.version == offer.version and past_version.digest != offer.digest:
                return self.refusal(
                    offer,
                    "other-content",
                    f"{describe_version(offer.version)} was offered with other content",
                )
        if offer.version.epoch < self.highest.epoch:
            return self.refusal(offer, "old-epoch", f"epoch {self.highest.epoch} has been in force")
        if offer.version <= self.highest:
            return self.refusal(offer, "older", f"{describe_version(self.highest)} has been in force")
        return None

    def was_confirmed_late(self, offer: Offer) -> bool:
        """Whether this front rolled the version back because its confirmation did not arrive in time, though
        it has been confirmed. Guards against a front that stays without a version that the operator has
        confirmed."""
        return (
            offer.confirmed
            and offer.version > self.in_force.version
            and offer.version.epoch == self.highest.epoch
            and any(
                (past_version.version, past_version.digest) == (offer.version, offer.digest)
                and past_version.state == VersionState.ROLLED_BACK
                for past_version in self.past
            )
        )

    def check_finished(
        self, nonce: int, stream: int, code: str = "", text: str = "", path: tuple[str, ...] = ()
    ) -> list[LedgerAction]:
        """Result of the check of an offer; ``code`` and ``text`` if it is refused."""
        if self.in_progress is None or (self.in_progress[0].stream, self.in_progress[0].nonce) != (
            stream,
            nonce,
        ):
            return []  # it was superseded meanwhile
        offer, _ = self.in_progress
        if code:
            self.in_progress = None
            self.past.append(HeldVersion(offer.version, offer.digest, VersionState.REFUSED))
            refusal = OfferAnswer(offer.stream, offer.nonce, offer.version, False, code, text, path)
            return self.if_stream_open(refusal) + self.check_pending()
        self.in_progress = (offer, VersionState.CHECKED)
        return [ApplyVersion(offer.version)]

    def apply_finished(self, version: VersionId, now: float, fault: str = "") -> list[LedgerAction]:
        """Result of applying a version: it is in force as a whole, or nothing changed and ``fault`` says
        why."""
        if (
            self.in_progress is None
            or self.in_progress[0].version != version
            or self.in_progress[1] != VersionState.CHECKED
        ):
            return []
        offer, self.in_progress = self.in_progress[0], None
        if fault:
            self.past.append(HeldVersion(version, offer.digest, VersionState.APPLY_FAILED))
            return self.if_stream_open(self.refusal(offer, "apply", fault)) + self.check_pending()
        if self.in_force.version != NO_VERSION:
            self.past.append(
                HeldVersion(self.in_force.version, self.in_force.digest, VersionState.SUPERSEDED)
            )
        unconfirmed = offer.confirm_ms is not None
        state = VersionState.APPLIED if unconfirmed else VersionState.CONFIRMED
        self.in_force = HeldVersion(version, offer.digest, state)
        self.highest = max(self.highest, version)
        self.confirm_deadline_ms = now + offer.confirm_ms if unconfirmed else None
        if not unconfirmed:
            self.last_good = self.in_force
        return (
            self.if_stream_open(OfferAnswer(offer.stream, offer.nonce, version, True)) + self.check_pending()
        )

    def confirm_received(self, version: VersionId) -> bool:
        """The operator has confirmed a version. Returns whether it is in force here, confirmed. If it is
        still being checked or applied, it will need no confirmation once it is in force."""
        if version != self.in_force.version:
            self.confirm_ahead(version)
            return False
        self.confirm_deadline_ms, self.in_force.state = None, VersionState.CONFIRMED
        self.last_good = self.in_force
        return True

    def confirm_ahead(self, version: VersionId) -> None:
        """Records the confirmation of a version that was offered and is not in force yet."""
        if self.in_progress is not None and self.in_progress[0].version == version:
            offer, state = self.in_progress
            self.in_progress = (replace(offer, confirm_ms=None, confirmed=True), state)
        if self.pending is not None and self.pending.version == version:
            self.pending = replace(self.pending, confirm_ms=None, confirmed=True)

    def tick(self, now: float) -> list[LedgerAction]:
        """Rolls back a version that was not confirmed in time to the last good one. Guards against a
        change that cuts off the connection over which it could be taken back."""
        if self.confirm_deadline_ms is None or now < self.confirm_deadline_ms:
            return []
        return self.roll_back()

    def expire_received(self, version: VersionId) -> list[LedgerAction]:
        """The control service reports that a version was not confirmed in time. It is rolled back if it is in
        force and unconfirmed, and otherwise not applied any more."""
        if version == self.in_force.version and self.confirm_deadline_ms is not None:
            return self.roll_back()
        actions: list[LedgerAction] = []
        if self.pending is not None and self.pending.version == version:
            offer, self.pending = self.pending, None
            actions += self.refuse_expired(offer)
        if self.in_progress is None or self.in_progress[0].version != version:
            return actions
        offer, state = self.in_progress
        if state == VersionState.CHECKED:
            # It is being applied: rolled back by the next tick after that.
            self.in_progress = (replace(offer, confirm_ms=0.0, confirmed=False), state)
            return actions
        self.in_progress = None
        return actions + self.refuse_expired(offer) + self.check_pending()

    def refuse_expired(self, offer: Offer) -> list[LedgerAction]:
        """Refuses an offer whose version expired before it was in force."""
        self.past.append(HeldVersion(offer.version, offer.digest, VersionState.ROLLED_BACK))
        text = f"{describe_version(offer.version)} was not confirmed in time"
        return self.if_stream_open(self.refusal(offer, "rolled-back", text))

    def roll_back(self) -> list[LedgerAction]:
        """Rolls back the version in force to the last good one, after which versions above that are taken
        again, but for those in ``past``; earlier epochs stay excluded."""
        expired, self.confirm_deadline_ms = self.in_force, None
        self.past.append(HeldVersion(expired.version, expired.digest, VersionState.ROLLED_BACK))
        self.in_force = self.last_good
        self.highest = max(self.in_force.version, VersionId(expired.version.epoch, 0))
        return [
            ApplyVersion(self.last_good.version),
            ReportRollback(expired.version, self.last_good.version, "not confirmed in time"),
        ]

    def next_deadline(self) -> float:
        """When ``tick`` has to be called at the latest (ms)."""
        return self.confirm_deadline_ms if self.confirm_deadline_ms is not None else float("inf")

    # --- helpers ---

    def check_pending(self) -> list[LedgerAction]:
        """Starts the check of the queued offer, if there is one."""
        offer, self.pending = self.pending, None
        return self.offer_received(offer) if offer is not None else []

    def if_stream_open(self, answer: OfferAnswer) -> list[LedgerAction]:
        """The answer, if its stream is still open."""
        return [answer] if answer.stream in self.streams else []

    def refusal(self, offer: Offer, code: str, text: str) -> OfferAnswer:
        """The answer that refuses an offer."""
        return OfferAnswer(offer.stream, offer.nonce, offer.version, False, code, text)


def describe_version(version: VersionId) -> str:
    """A version as text for messages."""
    return f"version {version.number} of epoch {version.epoch}"
