"""Whether a published version has been confirmed, and the answer to an operator's confirmation. Does no I/O.

The state of a version's confirmation is part of state.json and is saved before a front hears of it, so that
every front gets the same: those that are connected, those that come later, and those of a restarted
service. So is the time until which a confirmation is taken; it is the same for all fronts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from myrtleroad.config.ledger import VersionId


class ConfirmationState(StrEnum):
    """State of the confirmation of a published version. The values stand in state.json."""

    NOT_REQUIRED = "not-required"
    PENDING = "pending"
    CONFIRMED = "confirmed"
    EXPIRED = "expired"  # not confirmed in time: every front rolls the version back
    UNKNOWN = "unknown"  # published by a release that did not record it


@dataclass(slots=True, frozen=True)
class BootTime:
    """A point in time: ms since the boot of a machine, and which boot that was."""

    boot_id: str
    ms: float


SETTLED = frozenset((ConfirmationState.NOT_REQUIRED, ConfirmationState.CONFIRMED))  # nothing is waited for


def initial_confirmation(confirm_ms: float | None) -> ConfirmationState:
    """The state of a version that has just been published; ``confirm_ms`` as its text requests it."""
    return ConfirmationState.NOT_REQUIRED if confirm_ms is None else ConfirmationState.PENDING


def confirm_deadline(confirm_ms: float | None, now: BootTime) -> BootTime | None:
    """Until when a version that is published now can be confirmed; None if it requires no confirmation."""
    return None if confirm_ms is None else BootTime(now.boot_id, now.ms + confirm_ms)


def remaining_ms(deadline: BootTime | None, now: BootTime) -> float:
    """How long a pending version can still be confirmed. 0 after a reboot: how long that took is not known,
    and a version that may not have been confirmed in time must not reach further fronts."""
    if deadline is None or deadline.boot_id != now.boot_id:
        return 0.0
    return max(0.0, deadline.ms - now.ms)


@dataclass(slots=True)
class ConfirmationCall:
    """An operator's confirmation that waits until the fronts have acknowledged it.

    ``waiting``: names of the fronts that hold or were offered the version and have not acknowledged.
    ``ends_at_ms``: when it is answered with those that have acknowledged by then."""

    ANSWER_TIMEOUT_MS = 3000.0  # well below the time that the command waits for its answer

    version: VersionId
    waiting: set[str]
    ends_at_ms: float
    reply: Callable[[dict[str, Any]], None]
    confirmed: set[str] = field(default_factory=set)

    def front_confirmed(self, front: str) -> None:
        """A front has acknowledged that it holds the version as confirmed."""
        self.waiting.discard(front)
        self.confirmed.add(front)

    def is_due(self, now: float) -> bool:
        """Whether the call is to be answered now."""
        return not self.waiting or now >= self.ends_at_ms

    def answer(self) -> None:
        """Answers the operator."""
        self.reply(
            {
                "ok": True,
                "number": self.version.number,
                "required": True,
                "fronts": len(self.confirmed),
                "waiting": sorted(self.waiting),
            }
        )
