"""Whether a published version has been confirmed, and the answer to an operator's confirmation. Does no I/O.

The state of a version's confirmation is part of state.json and is saved before a front hears of it, so that
every front gets the same: those that are connected, those that come later, and those of a restarted
service."""

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


def initial_confirmation(confirm_ms: float | None) -> ConfirmationState:
    """The state of a version that has just been published; ``confirm_ms`` as its text requests it."""
    return ConfirmationState.NOT_REQUIRED if confirm_ms is None else ConfirmationState.PENDING


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
