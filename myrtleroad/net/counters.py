"""Counters of what the front takes in, sends and answers, printed on request and at exit."""

from collections import Counter


class Counters:
    """Named counts; everybody adds, nobody else reads but the printing."""

    __slots__ = ("counts", "highest")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # as many names as there are kinds of event
        self.highest: dict[str, float] = {}

    def add(self, name: str, n: int = 1) -> None:
        self.counts[name] += n

    def record_high(self, name: str, value: float) -> None:
        if value > self.highest.get(name, 0.0):
            self.highest[name] = value

    def snapshot(self) -> dict[str, float]:
        highest = {name: round(value, 1) for name, value in self.highest.items()}
        return dict(sorted(self.counts.items())) | highest
