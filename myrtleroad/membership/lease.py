"""The list of servers as a lease: how long it may be acted on once nothing confirms it any more.

A change that a front never heard of counts as told some time after discovery had it, and from then on nothing
new may go to a server that drains or is gone. So a list that nobody confirms expires. After that only servers
may be sent to that have shown by themselves, lately and over a connection from before, that they take
requests: one that drains turns them away, and one that was started anew has lost its connections.

Pure: times (float ms) are arguments. Terms: ``docs/design/membership.md``."""

from dataclasses import dataclass

from myrtleroad.interface import Settings

NEVER = float("-inf")
NO_MOVE = float("inf")
TOLD_MS = 6000.0  # a change counts as told so long after discovery had it, whether or not it arrived
HOLD_MS = 150.0  # a front may be held so long between reading its clock and writing
MOVED_MS = 4000.0  # after a new address what is told there counts as told so long after the move (protocol)
START_MS = 5000.0  # for the first list; restarted fronts have to be ready within 6 s


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """``max_age_ms``: how long what was confirmed may be acted on, ``max_silence_ms`` the same while a stream
    stands. ``pushed``: an agent of the front's own holds the list, and what it has counts as told at once."""

    max_age_ms: float
    max_silence_ms: float
    pushed: bool
    grace_margin_ms: float = 0.0  # of the drain grace, less what a front may be held

    @classmethod
    def from_settings(cls, settings: Settings) -> "LeaseTerms":
        margin = max(0.0, settings.server_rules.drain_grace_ms - HOLD_MS)
        told = min(TOLD_MS, settings.server_rules.max_poll_interval_ms or TOLD_MS)
        return cls(
            max_age_ms=margin if not settings.list_on_request else told + margin,
            max_silence_ms=TOLD_MS + margin,
            pushed=not settings.list_on_request,
            grace_margin_ms=margin,
        )


class ListLease:
    """One front's lease. ``confirm``, ``stream_lost`` and ``set_call_pending`` are told by whoever
    follows discovery."""

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
        self.confirmed_at = NEVER  # when the last word or sign of life came; none since the start
        self.lost_at = NEVER
        self.covered_until = NEVER  # connections made until then lead to the processes that the list names
        self.has_stream = False
        self.has_pending_call = False
        self.new_address_deadline = NO_MOVE  # by when the address that holds now must have told something

    def confirm(self, heard_at: float) -> None:
        """A stream that has told something stands; everything told up to ``heard_at`` has come."""
        self.has_stream = True
        self.confirmed_at = max(self.confirmed_at, heard_at)

    def stream_lost(self, now: float, was_silent: bool) -> None:
        """No stream that has told something stands any more. ``was_silent``: the last one had said nothing
        for longer than it should, so that nobody knows when it was cut off."""
        if self.has_stream:
            self.has_stream, self.lost_at = False, now
            self.covered_until = self.confirmed_at if was_silent else now

    def address_changed(self, now: float) -> None:
        """Another address holds from now on; of several moves the first that nothing followed counts."""
        self.new_address_deadline = min(
            self.new_address_deadline, now + MOVED_MS + self.terms.grace_margin_ms
        )

    def new_address_confirmed(self) -> None:
        """The address that holds now has told something."""
        self.new_address_deadline = NO_MOVE

    def set_call_pending(self, waiting: bool) -> None:
        """Whether a call for the list stands unanswered."""
        self.has_pending_call = waiting

    def is_valid(self, now: float) -> bool:
        """Whether the list as a whole may be acted on."""
        if now > self.new_address_deadline:
            return False
        if self.has_stream:
            return now <= self.confirmed_at + self.terms.max_silence_ms
        if self.confirmed_at == NEVER:
            return False  # a list from before this process began, of unknown age
        if self.terms.pushed:
            # An agent that leaves a call unanswered is silent, and learns nothing until it answers it.
            return self.has_pending_call or now <= self.lost_at + self.terms.max_age_ms
        return now <= self.confirmed_at + self.terms.max_age_ms

    def allows_sending(self, now: float, served_at: float) -> bool:
        """Whether a server may be sent to that took a request sent at ``served_at``
        (see ``covers_connection``)."""
        bound_ms = self.terms.max_age_ms if now <= self.new_address_deadline else self.terms.grace_margin_ms
        return self.is_valid(now) or now <= served_at + bound_ms

    def covers_connection(self, connected_at: float) -> bool:
        """Whether a connection made then leads to the process that the list speaks of."""
        return self.has_stream or connected_at <= self.covered_until

    def may_start(self, now: float, started_at: float) -> bool:
        """Whether a front that has just started should take requests: with a list, or after a while without,
        as others may have to take over from it."""
        return self.is_valid(now) or now >= started_at + START_MS
