"""Counters of what a front receives, sends and answers, printed on request and at exit."""

from collections import Counter


class Counters:
    """Named counters. Every component adds to them; only printing reads them."""

    __slots__ = ("counts", "highest")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # as many names as there are kinds of event
        self.highest: dict[str, float] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += amount

    def record_high(self, name: str, value: float) -> None:
        """Record a value if it is the highest so far."""
        if value > self.highest.get(name, 0.0):
            self.highest[name] = value

    def snapshot(self) -> dict[str, float]:
        """All counters and highest values by name."""
        highest = {name: round(value, 1) for name, value in self.highest.items()}
        return dict(sorted(self.counts.items())) | highest
