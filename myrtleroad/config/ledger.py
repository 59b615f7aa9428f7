"""What a front has been offered, holds and has held: the state machine of versions.

Terms map one to one on a discovery protocol's: an offer is a response with a version and a nonce,
``acked`` and ``refused`` (with a code and a text) are its ACK and NACK. An epoch is one life of the
control service's numbering; a later one is higher. Within an epoch numbers go up, also for a roll-back,
which is older content under a new number. Each offer gets exactly one final answer on the stream that
brought it, or none where that stream is gone.

Pure: the caller reads and checks (``Check``), applies (``Apply``) and sends (``Answer``, ``Tell``), and says
what came of it. Checking may take many turns; a newer offer on the way takes its place."""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class VersionState(IntEnum):
    """Where a version stands at this front."""

    OFFERED = 0
    CHECKED = 1  # it keeps its rules; being applied
    APPLIED = 2  # in force, waiting to be confirmed where it asks for that
    CONFIRMED = 3
    REFUSED = 4
    SUPERSEDED = 5  # a newer one came before it was looked at, or was in force after it
    ROLLED_BACK = 6  # it was in force and its confirmation did not come, or its applying failed


@dataclass(slots=True, frozen=True, order=True)
class VersionId:
    """Which version: ordered by epoch, then number."""

    epoch: int
    number: int


NO_VERSION = VersionId(0, 0)  # what the settings alone say


@dataclass(slots=True, frozen=True)
class Offer:
    stream: int
    nonce: int
    version: VersionId
    digest: str  # of its content
    confirm_ms: float | None = None
    body: Any = None  # opaque: what the check reads


# --- what is to be done ---


@dataclass(slots=True, frozen=True)
class CheckOffer:
    offer: Offer


@dataclass(slots=True, frozen=True)
class ApplyVersion:
    """All or nothing; ``applied`` says what came of it."""

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
    path: tuple[str, ...] = ()  # of the entry at fault, where it is one


@dataclass(slots=True, frozen=True)
class ReportRollback:
    """That a version was rolled back after it had been acknowledged; goes to every stream that stands."""

    version: VersionId
    back_to: VersionId
    reason: str


LedgerAction = CheckOffer | ApplyVersion | OfferAnswer | ReportRollback


@dataclass(slots=True)
class HeldVersion:
    """A version whose content is kept."""

    version: VersionId
    digest: str
    state: VersionState


class Ledger:
    MAX_PAST = 100  # names of versions past, with their digests: to tell repeats; the oldest are forgotten

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

    def __init__(self, good: HeldVersion | None = None, highest: VersionId = NO_VERSION):
        """``good``: the last good version of an earlier life, in force from the start; ``highest``: the
        highest name that was ever in force."""
        self.in_force = self.last_good = good or HeldVersion(NO_VERSION, "", VersionState.CONFIRMED)
        self.highest = max(highest, self.in_force.version)
        self.confirm_deadline_ms: float | None = None
        self.streams: set[int] = set()
        self.in_progress: tuple[Offer, VersionState] | None = None  # being checked or applied
        self.pending: Offer | None = None  # the newest that came meanwhile
        self.past: deque[HeldVersion] = deque(maxlen=self.MAX_PAST)

    # --- streams ---

    def stream_opened(self, stream: int) -> None:
        self.streams.add(stream)

    def stream_closed(self, stream: int) -> None:
        """Nothing more is owed on it. What is being applied is carried through: a version that is good is no
        worse for a stream that broke."""
        self.streams.discard(stream)
        if self.pending is not None and self.pending.stream == stream:
            self.pending = None

    # --- offers ---

    def offer_received(self, offer: Offer) -> list[LedgerAction]:
        if offer.stream not in self.streams:
            return []
        known = self.known_answer(offer)
        if known is not None:
            return [known]
        if self.in_progress is not None:
            work, mark = self.in_progress
            if (offer.version, offer.digest) == (work.version, work.digest):
                # Guards against applying twice what came again on a new stream: it is answered after the
                # first.
                return self.queue_offer(offer)
            if offer.version <= work.version:
                return [self.refusal(offer, "older", f"{describe_version(work.version)} is being looked at")]
            if mark == VersionState.OFFERED:
                # Guards against a front that never finishes as newer ones keep coming: only the newest
                # counts.
                self.past.append(HeldVersion(work.version, work.digest, VersionState.SUPERSEDED))
                superseded = self.refusal(work, "superseded", f"{describe_version(offer.version)} came")
                self.in_progress = (offer, VersionState.OFFERED)
                return [*self.if_stream_open(superseded), CheckOffer(offer)]
            return self.queue_offer(offer)
        self.in_progress = (offer, VersionState.OFFERED)
        return [CheckOffer(offer)]

    def queue_offer(self, offer: Offer) -> list[LedgerAction]:
        """While another is being applied, the newest of those that come waits."""
        last, self.pending = self.pending, offer
        if last is None:
            return []
        if last.version > offer.version:
            self.pending = last
            return [self.refusal(offer, "older", f"{describe_version(last.version)} waits")]
        return self.if_stream_open(
            self.refusal(last, "superseded", f"{describe_version(offer.version)} came")
        )

    def known_answer(self, offer: Offer) -> OfferAnswer | None:
        """The answer to what needs no check."""
        if offer.version == self.in_force.version:
            if offer.digest == self.in_force.digest:
                return OfferAnswer(offer.stream, offer.nonce, offer.version, True)
            return self.refusal(
                offer, "other-content", f"{describe_version(offer.version)} is in force with other content"
            )
        for held in self.past:
            if held.version == offer.version and held.state == VersionState.ROLLED_BACK:
                return self.refusal(
                    offer, "rolled-back", f"{describe_version(offer.version)} was rolled back here"
                )
            if held.version == offer.version and held.digest != offer.digest:
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

    def check_finished(
        self, nonce: int, stream: int, code: str = "", text: str = "", path: tuple[str, ...] = ()
    ) -> list[LedgerAction]:
        """What the check of an offer says; ``code`` and ``text`` where it is refused."""
        if self.in_progress is None or (self.in_progress[0].stream, self.in_progress[0].nonce) != (
            stream,
            nonce,
        ):
            return []  # it was superseded meanwhile
        offer, _ = self.in_progress
        if code:
            self.in_progress = None
            self.past.append(HeldVersion(offer.version, offer.digest, VersionState.REFUSED))
            no = OfferAnswer(offer.stream, offer.nonce, offer.version, False, code, text, path)
            return self.if_stream_open(no) + self.check_pending()
        self.in_progress = (offer, VersionState.CHECKED)
        return [ApplyVersion(offer.version)]

    def apply_finished(self, version: VersionId, now: float, fault: str = "") -> list[LedgerAction]:
        """What came of applying: all of it is in force, or nothing, with a fault."""
        if (
            self.in_progress is None
            or self.in_progress[0].version != version
            or self.in_progress[1] != VersionState.CHECKED
        ):
            return []
        offer, self.in_progress = self.in_progress[0], None
        if fault:
            self.past.append(HeldVersion(version, offer.digest, VersionState.ROLLED_BACK))
            return self.if_stream_open(self.refusal(offer, "apply", fault)) + self.check_pending()
        if self.in_force.version != NO_VERSION:
            self.past.append(
                HeldVersion(self.in_force.version, self.in_force.digest, VersionState.SUPERSEDED)
            )
        unconfirmed = offer.confirm_ms is not None
        mark = VersionState.APPLIED if unconfirmed else VersionState.CONFIRMED
        self.in_force = HeldVersion(version, offer.digest, mark)
        self.highest = max(self.highest, version)
        self.confirm_deadline_ms = now + offer.confirm_ms if unconfirmed else None
        if not unconfirmed:
            self.last_good = self.in_force
        return (
            self.if_stream_open(OfferAnswer(offer.stream, offer.nonce, version, True)) + self.check_pending()
        )

    def confirm_received(self, version: VersionId) -> bool:
        """The operator stands by a version. Whether there was something to confirm."""
        if version != self.in_force.version or self.confirm_deadline_ms is None:
            return False
        self.confirm_deadline_ms, self.in_force.state = None, VersionState.CONFIRMED
        self.last_good = self.in_force
        return True

    def tick(self, now: float) -> list[LedgerAction]:
        """A version whose confirmation has not come goes back to the last good one. Guards against the change
        that cuts off the way on which it could be taken back."""
        if self.confirm_deadline_ms is None or now < self.confirm_deadline_ms:
            return []
        gone, self.confirm_deadline_ms = self.in_force, None
        self.past.append(HeldVersion(gone.version, gone.digest, VersionState.ROLLED_BACK))
        self.in_force = self.last_good
        return [
            ApplyVersion(self.last_good.version),
            ReportRollback(gone.version, self.last_good.version, "not confirmed in time"),
        ]

    def next_deadline(self) -> float:
        return self.confirm_deadline_ms if self.confirm_deadline_ms is not None else float("inf")

    # --- helpers ---

    def check_pending(self) -> list[LedgerAction]:
        """The one that waited is looked at now."""
        offer, self.pending = self.pending, None
        return self.offer_received(offer) if offer is not None else []

    def if_stream_open(self, answer: OfferAnswer) -> list[LedgerAction]:
        """An answer, where the stream that it belongs to still stands."""
        return [answer] if answer.stream in self.streams else []

    def refusal(self, offer: Offer, code: str, text: str) -> OfferAnswer:
        return OfferAnswer(offer.stream, offer.nonce, offer.version, False, code, text)


def describe_version(version: VersionId) -> str:
    return f"version {version.number} of epoch {version.epoch}"
