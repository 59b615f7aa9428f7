"""The age of server starts, on a front whose wall clock may be wrong.

Discovery reports a start in Unix time of a clock that all servers share. A start that arrives on a watch
without an interruption happened moments ago. That bounds the difference between the two clocks, whatever the
wall clock shows. No clock is read here: times (float ms) are arguments."""

MAX_NOTICE_DELAY_MS = 3000.0  # a start is listed within this time, unless lists are delayed


class StartClock:
    """Estimates ``offset_ms``: what to add to this front's time to get the time of the servers' clock."""

    __slots__ = ("lead_ms", "watched_lead_ms")

    def __init__(self) -> None:
        self.lead_ms = float("-inf")  # the servers' clock is ahead of this front's by at least this
        self.watched_lead_ms = float("-inf")  # the same, only from starts received as they happened

    def observe(self, started_at: float, now: float, watched: bool) -> None:
        """Records a start that has just been listed.

        ``started_at``: by the servers' clock; ``now``: by this front's wall clock; ``watched``: it arrived on
        a watch that has been followed without interruption."""
        if started_at <= 0:
            return  # long ago, at an unknown time
        self.lead_ms = max(self.lead_ms, started_at - now)
        if watched:
            self.watched_lead_ms = max(self.watched_lead_ms, started_at - now)

    def offset_ms(self) -> float:
        """0 if the wall clock is consistent with the starts received, otherwise the offset by the start that
        arrived fastest. With it, a start appears younger than it is by that start's delivery delay, and never
        older."""
        is_ahead = self.watched_lead_ms + MAX_NOTICE_DELAY_MS < 0 and self.watched_lead_ms > float("-inf")
        is_behind = self.lead_ms > 0
        return self.lead_ms if is_ahead or is_behind else 0.0
