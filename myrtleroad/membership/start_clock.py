"""How old servers' starts are, where this machine's wall clock may be wrong.

Discovery tells a start in Unix time of a clock that all servers share. A start that comes on a watch that has
been followed all along is some moments old: that bounds how far the two clocks are apart, whatever the wall
clock says. Pure: times (float ms) are arguments."""

NOTICE_MS = 3000.0  # a start is listed within so long, unless lists come late


class StartClock:
    """``offset_ms`` is what is added to this front's time to have that of the servers' clock."""

    __slots__ = ("least", "watched")

    def __init__(self) -> None:
        self.least = float("-inf")  # the servers' clock is ahead of ours by this at least
        self.watched = float("-inf")  # the same, by starts that came as they happened

    def observe(self, started: float, now: float, watched: bool) -> None:
        """A start that is listed now; ``watched``: it came on a watch that has been followed all along."""
        if started <= 0:
            return  # long ago, nobody says when
        self.least = max(self.least, started - now)
        if watched:
            self.watched = max(self.watched, started - now)

    def offset_ms(self) -> float:
        """0 where the wall clock agrees with what was told, else what the quickest news says: by that a start
        looks younger than it is by as long as that news took, and never older."""
        ahead = self.watched + NOTICE_MS < 0 and self.watched > float("-inf")
        behind = self.least > 0
        return self.least if ahead or behind else 0.0
