"""A lease on the server list: how long the list may be acted on once nothing confirms it any more.

A change that never reached a front counts as notified some time after discovery learned of it; from then on
nothing new may be sent to a server that is draining or gone. A list that is not confirmed therefore expires.
After that, requests go only to servers that have recently proven, over a connection from before, that they
accept requests: a draining server rejects them, and a restarted one has lost its connections.

No clock is read here: times (float ms) are arguments. The rules are in ``docs/design/membership.md``."""

from dataclasses import dataclass

from myrtleroad.interface import Settings

NEVER = float("-inf")
NO_DEADLINE = float("inf")
NOTIFIED_AFTER_MS = 6000.0  # a change counts as notified this long after discovery had it, received or not
MAX_STALL_MS = 150.0  # a front may stall this long between reading its clock and writing
# After a change of address, what the new address has counts as notified this long after the move (protocol).
MOVE_NOTIFIED_AFTER_MS = 4000.0
MAX_START_WAIT_MS = 5000.0  # for the first list; restarted fronts have to be ready within 6 s


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """``max_age_ms``: how long a confirmed list may be acted on while no stream is open; ``max_silence_ms``:
    the same while one is. ``pushed``: an agent that serves only this front holds the list, and a change
    counts as notified as soon as the agent has it."""

    max_age_ms: float
    max_silence_ms: float
    pushed: bool
    grace_margin_ms: float = 0.0  # the drain grace less the longest stall of a front

    @classmethod
    def from_settings(cls, settings: Settings) -> "LeaseTerms":
        """The terms that follow from the platform's rules on drains and on polling."""
        margin_ms = max(0.0, settings.server_rules.drain_grace_ms - MAX_STALL_MS)
        notified_after_ms = min(
            NOTIFIED_AFTER_MS, settings.server_rules.max_poll_interval_ms or NOTIFIED_AFTER_MS
        )
        return cls(
            max_age_ms=margin_ms if not settings.list_on_request else notified_after_ms + margin_ms,
            max_silence_ms=NOTIFIED_AFTER_MS + margin_ms,
            pushed=not settings.list_on_request,
            grace_margin_ms=margin_ms,
        )


class ListLease:
    """One front's lease. The follower of discovery calls ``confirm``, ``stream_lost`` and
    ``set_call_pending``."""

    __slots__ = (
        "confirmed_at",
        "covered_until",
        "has_pending_call",
        "has_stream",
        "lost_at",
        "new_address_deadline",
        "terms",
    )

    def __init__(self, terms: LeaseTerms):
        self.terms = terms
        self.confirmed_at = NEVER  # when the last message or heartbeat arrived; NEVER until the first
        self.lost_at = NEVER
        self.covered_until = NEVER  # connections made until then lead to the processes that the list names
        self.has_stream = False
        self.has_pending_call = False
        self.new_address_deadline = NO_DEADLINE  # for the first message of the current address

    def confirm(self, received_at: float) -> None:
        """A stream that has delivered a list is open; everything sent up to ``received_at`` has arrived."""
        self.has_stream = True
        self.confirmed_at = max(self.confirmed_at, received_at)

    def stream_lost(self, now: float, was_silent: bool) -> None:
        """No stream that has delivered a list is open any more. ``was_silent``: the last one was overdue with
        its heartbeat, so that the time at which it was cut off is unknown."""
        if self.has_stream:
            self.has_stream, self.lost_at = False, now
            self.covered_until = self.confirmed_at if was_silent else now

    def address_changed(self, now: float) -> None:
        """Discovery has a new address. If it changes again before a message arrives, the first deadline
        stays."""
        self.new_address_deadline = min(
            self.new_address_deadline, now + MOVE_NOTIFIED_AFTER_MS + self.terms.grace_margin_ms
        )

    def new_address_confirmed(self) -> None:
        """The current address has delivered a message."""
        self.new_address_deadline = NO_DEADLINE

    def set_call_pending(self, pending: bool) -> None:
        """Records whether a call for the list is still unanswered."""
        self.has_pending_call = pending

    def is_valid(self, now: float) -> bool:
        """Whether the list as a whole may be acted on."""
        if now > self.new_address_deadline:
            return False
        if self.has_stream:
            return now <= self.confirmed_at + self.terms.max_silence_ms
        if self.confirmed_at == NEVER:
            return False  # a list from before this process started, of unknown age
        if self.terms.pushed:
            # An agent that leaves a call unanswered is silent, and learns nothing until it answers.
            return self.has_pending_call or now <= self.lost_at + self.terms.max_age_ms
        return now <= self.confirmed_at + self.terms.max_age_ms

    def allows_sending(self, now: float, served_at: float) -> bool:
        """Whether requests may go to a server that accepted one sent at ``served_at`` (see
        ``covers_connection``)."""
        max_age_ms = self.terms.max_age_ms if now <= self.new_address_deadline else self.terms.grace_margin_ms
        return self.is_valid(now) or now <= served_at + max_age_ms

    def covers_connection(self, connected_at: float) -> bool:
        """Whether a connection made at ``connected_at`` leads to the process that the list names."""
        return self.has_stream or connected_at <= self.covered_until

    def may_start(self, now: float, started_at: float) -> bool:
        """Whether a front that has just started should accept requests: with a valid list, or
        without one after a while, because another front may have to take over from it."""
        return self.is_valid(now) or now >= started_at + MAX_START_WAIT_MS
