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
class Terms:
    """``bound_ms``: how long what was confirmed may be acted on, ``silent_bound_ms`` the same while a stream
    stands. ``pushed``: an agent of the front's own holds the list, and what it has counts as told at once."""

    bound_ms: float
    silent_bound_ms: float
    pushed: bool
    margin_ms: float = 0.0  # of the drain grace, less what a front may be held

    @classmethod
    def of(cls, settings: Settings) -> "Terms":
        margin = max(0.0, settings.server_rules.drain_grace_ms - HOLD_MS)
        told = min(TOLD_MS, settings.server_rules.max_poll_interval_ms or TOLD_MS)
        return cls(
            bound_ms=margin if not settings.list_on_request else told + margin,
            silent_bound_ms=TOLD_MS + margin,
            pushed=not settings.list_on_request,
            margin_ms=margin,
        )


class ListLease:
    """One front's lease. ``followed``, ``lost`` and ``waits`` are told by whoever follows discovery."""

    __slots__ = ("confirmed_at", "covered_until", "is_followed", "is_waiting", "lost_at", "move_by", "terms")

    def __init__(self, terms: Terms):
        self.terms = terms
        self.confirmed_at = NEVER  # when the last word or sign of life came; none since the start
        self.lost_at = NEVER
        self.covered_until = NEVER  # connections made until then lead to the processes that the list names
        self.is_followed = False
        self.is_waiting = False
        self.move_by = NO_MOVE  # by when the address that holds now must have told something

    def followed(self, heard_at: float) -> None:
        """A stream that has told something stands; everything told up to ``heard_at`` has come."""
        self.is_followed = True
        self.confirmed_at = max(self.confirmed_at, heard_at)

    def lost(self, now: float, was_silent: bool) -> None:
        """No stream that has told something stands any more. ``was_silent``: the last one had said nothing
        for longer than it should, so that nobody knows when it was cut off."""
        if self.is_followed:
            self.is_followed, self.lost_at = False, now
            self.covered_until = self.confirmed_at if was_silent else now

    def moved(self, now: float) -> None:
        """Another address holds from now on; of several moves the first that nothing followed counts."""
        self.move_by = min(self.move_by, now + MOVED_MS + self.terms.margin_ms)

    def arrived(self) -> None:
        """The address that holds now has told something."""
        self.move_by = NO_MOVE

    def waits(self, waiting: bool) -> None:
        """Whether a call for the list stands unanswered."""
        self.is_waiting = waiting

    def holds(self, now: float) -> bool:
        """Whether the list as a whole may be acted on."""
        if now > self.move_by:
            return False
        if self.is_followed:
            return now <= self.confirmed_at + self.terms.silent_bound_ms
        if self.confirmed_at == NEVER:
            return False  # a list from before this process began, of unknown age
        if self.terms.pushed:
            # An agent that leaves a call unanswered is silent, and learns nothing until it answers it.
            return self.is_waiting or now <= self.lost_at + self.terms.bound_ms
        return now <= self.confirmed_at + self.terms.bound_ms

    def allows(self, now: float, served_at: float) -> bool:
        """Whether a server may be sent to that took a request sent at ``served_at`` (see ``covers``)."""
        bound_ms = self.terms.bound_ms if now <= self.move_by else self.terms.margin_ms
        return self.holds(now) or now <= served_at + bound_ms

    def covers(self, connected_at: float) -> bool:
        """Whether a connection made then leads to the process that the list speaks of."""
        return self.is_followed or connected_at <= self.covered_until

    def may_begin(self, now: float, started_at: float) -> bool:
        """Whether a front that has just started should take requests: with a list, or after a while without,
        as others may have to take over from it."""
        return self.holds(now) or now >= started_at + START_MS
