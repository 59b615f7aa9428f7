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


class Mark(IntEnum):
    """Where a version stands at this front."""

    OFFERED = 0
    CHECKED = 1  # it keeps its rules; being applied
    APPLIED = 2  # in force, waiting to be confirmed where it asks for that
    CONFIRMED = 3
    REFUSED = 4
    SUPERSEDED = 5  # a newer one came before it was looked at, or was in force after it
    ROLLED_BACK = 6  # it was in force and its confirmation did not come, or its applying failed


@dataclass(slots=True, frozen=True, order=True)
class Name:
    """Which version: ordered by epoch, then number."""

    epoch: int
    number: int


NONE = Name(0, 0)  # what the settings alone say


@dataclass(slots=True, frozen=True)
class Offer:
    stream: int
    nonce: int
    name: Name
    digest: str  # of its content
    confirm_ms: float | None = None
    body: Any = None  # opaque: what the check reads


# --- what is to be done ---


@dataclass(slots=True, frozen=True)
class Check:
    offer: Offer


@dataclass(slots=True, frozen=True)
class Apply:
    """All or nothing; ``applied`` says what came of it."""

    name: Name


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to an offer, on its stream."""

    stream: int
    nonce: int
    name: Name
    acked: bool
    code: str = ""
    text: str = ""
    path: tuple[str, ...] = ()  # of the entry at fault, where it is one


@dataclass(slots=True, frozen=True)
class Tell:
    """That a version was rolled back after it had been acknowledged; goes to every stream that stands."""

    name: Name
    back_to: Name
    why: str


Act = Check | Apply | Answer | Tell


@dataclass(slots=True)
class Held:
    """A version whose content is kept."""

    name: Name
    digest: str
    mark: Mark


class Ledger:
    KEPT = 100  # names of versions past, with their digests: to tell repeats; the oldest are forgotten

    __slots__ = (
        "at_work",
        "confirm_by",
        "force",
        "good",
        "highest",
        "past",
        "streams",
        "waiting",
    )

    def __init__(self, good: Held | None = None, highest: Name = NONE):
        """``good``: the last good version of an earlier life, in force from the start; ``highest``: the
        highest name that was ever in force."""
        self.force = self.good = good or Held(NONE, "", Mark.CONFIRMED)
        self.highest = max(highest, self.force.name)
        self.confirm_by: float | None = None
        self.streams: set[int] = set()
        self.at_work: tuple[Offer, Mark] | None = None  # being checked or applied
        self.waiting: Offer | None = None  # the newest that came meanwhile
        self.past: deque[Held] = deque(maxlen=self.KEPT)

    # --- streams ---

    def opened(self, stream: int) -> None:
        self.streams.add(stream)

    def dropped(self, stream: int) -> None:
        """Nothing more is owed on it. What is being applied is carried through: a version that is good is no
        worse for a stream that broke."""
        self.streams.discard(stream)
        if self.waiting is not None and self.waiting.stream == stream:
            self.waiting = None

    # --- offers ---

    def offered(self, offer: Offer) -> list[Act]:
        if offer.stream not in self.streams:
            return []
        known = self.known(offer)
        if known is not None:
            return [known]
        if self.at_work is not None:
            work, mark = self.at_work
            if (offer.name, offer.digest) == (work.name, work.digest):
                # Guards against applying twice what came again on a new stream: it is answered after the
                # first.
                return self.wait(offer)
            if offer.name <= work.name:
                return [self.no(offer, "older", f"{said(work.name)} is being looked at")]
            if mark == Mark.OFFERED:
                # Guards against a front that never finishes as newer ones keep coming: only the newest
                # counts.
                self.past.append(Held(work.name, work.digest, Mark.SUPERSEDED))
                superseded = self.no(work, "superseded", f"{said(offer.name)} came")
                self.at_work = (offer, Mark.OFFERED)
                return [*self.owed(superseded), Check(offer)]
            return self.wait(offer)
        self.at_work = (offer, Mark.OFFERED)
        return [Check(offer)]

    def wait(self, offer: Offer) -> list[Act]:
        """While another is being applied, the newest of those that come waits."""
        last, self.waiting = self.waiting, offer
        if last is None:
            return []
        if last.name > offer.name:
            self.waiting = last
            return [self.no(offer, "older", f"{said(last.name)} waits")]
        return self.owed(self.no(last, "superseded", f"{said(offer.name)} came"))

    def known(self, offer: Offer) -> Answer | None:
        """The answer to what needs no check."""
        if offer.name == self.force.name:
            if offer.digest == self.force.digest:
                return Answer(offer.stream, offer.nonce, offer.name, True)
            return self.no(offer, "other-content", f"{said(offer.name)} is in force with other content")
        for held in self.past:
            if held.name == offer.name and held.mark == Mark.ROLLED_BACK:
                return self.no(offer, "rolled-back", f"{said(offer.name)} was rolled back here")
            if held.name == offer.name and held.digest != offer.digest:
                return self.no(offer, "other-content", f"{said(offer.name)} was offered with other content")
        if offer.name.epoch < self.highest.epoch:
            return self.no(offer, "old-epoch", f"epoch {self.highest.epoch} has been in force")
        if offer.name <= self.highest:
            return self.no(offer, "older", f"{said(self.highest)} has been in force")
        return None

    def checked(
        self, nonce: int, stream: int, code: str = "", text: str = "", path: tuple[str, ...] = ()
    ) -> list[Act]:
        """What the check of an offer says; ``code`` and ``text`` where it is refused."""
        if self.at_work is None or (self.at_work[0].stream, self.at_work[0].nonce) != (stream, nonce):
            return []  # it was superseded meanwhile
        offer, _ = self.at_work
        if code:
            self.at_work = None
            self.past.append(Held(offer.name, offer.digest, Mark.REFUSED))
            no = Answer(offer.stream, offer.nonce, offer.name, False, code, text, path)
            return self.owed(no) + self.next()
        self.at_work = (offer, Mark.CHECKED)
        return [Apply(offer.name)]

    def applied(self, name: Name, now: float, fault: str = "") -> list[Act]:
        """What came of applying: all of it is in force, or nothing, with a fault."""
        if self.at_work is None or self.at_work[0].name != name or self.at_work[1] != Mark.CHECKED:
            return []
        offer, self.at_work = self.at_work[0], None
        if fault:
            self.past.append(Held(name, offer.digest, Mark.ROLLED_BACK))
            return self.owed(self.no(offer, "apply", fault)) + self.next()
        if self.force.name != NONE:
            self.past.append(Held(self.force.name, self.force.digest, Mark.SUPERSEDED))
        unconfirmed = offer.confirm_ms is not None
        mark = Mark.APPLIED if unconfirmed else Mark.CONFIRMED
        self.force = Held(name, offer.digest, mark)
        self.highest = max(self.highest, name)
        self.confirm_by = now + offer.confirm_ms if unconfirmed else None
        if not unconfirmed:
            self.good = self.force
        return self.owed(Answer(offer.stream, offer.nonce, name, True)) + self.next()

    def confirmed(self, name: Name) -> bool:
        """The operator stands by a version. Whether there was something to confirm."""
        if name != self.force.name or self.confirm_by is None:
            return False
        self.confirm_by, self.force.mark = None, Mark.CONFIRMED
        self.good = self.force
        return True

    def tick(self, now: float) -> list[Act]:
        """A version whose confirmation has not come goes back to the last good one. Guards against the change
        that cuts off the way on which it could be taken back."""
        if self.confirm_by is None or now < self.confirm_by:
            return []
        gone, self.confirm_by = self.force, None
        self.past.append(Held(gone.name, gone.digest, Mark.ROLLED_BACK))
        self.force = self.good
        return [Apply(self.good.name), Tell(gone.name, self.good.name, "not confirmed in time")]

    def due(self) -> float:
        return self.confirm_by if self.confirm_by is not None else float("inf")

    # --- helpers ---

    def next(self) -> list[Act]:
        """The one that waited is looked at now."""
        offer, self.waiting = self.waiting, None
        return self.offered(offer) if offer is not None else []

    def owed(self, answer: Answer) -> list[Act]:
        """An answer, where the stream that it belongs to still stands."""
        return [answer] if answer.stream in self.streams else []

    def no(self, offer: Offer, code: str, text: str) -> Answer:
        return Answer(offer.stream, offer.nonce, offer.name, False, code, text)


def said(name: Name) -> str:
    return f"version {name.number} of epoch {name.epoch}"
