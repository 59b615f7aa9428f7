"""Whether a req may come in at all by what operators set: its tenant's rate and open reqs. Free of I/O."""

from dataclasses import dataclass

from myrtleroad.config.rules import Bounds


@dataclass(slots=True)
class Count:
    """One tenant's: tokens left of its rate, when they were counted, reqs that are open."""

    tokens: float
    at: float
    open: int = 0


class Gate:
    """A token bucket of one second a tenant, and a bound on its open reqs. As many rows as the settings have
    tenants."""

    __slots__ = ("counts", "most_open", "rates")

    def __init__(self) -> None:
        self.counts: dict[str, Count] = {}
        self.rates: dict[str, float] = {}
        self.most_open: dict[str, float] = {}

    def narrow(self, bounds: Bounds | None, now: float) -> None:
        """Bounds of now; reqs that are open stay counted, tokens are cut to the new rate."""
        if bounds is None:
            self.counts.clear()  # nobody counts any more, so nobody would give back
        tenants = bounds.tenants if bounds is not None else {}
        rate = {n: b["rate"] for n, b in tenants.items()}
        # Guards against refusing by the told quota, which says what is worth less, not what is forbidden.
        self.rates = {n: b.value for n, b in rate.items() if b.by == "version"}
        self.most_open = {n: b["most-open"].value for n, b in tenants.items()}
        for name, most in self.rates.items():
            count = self.counts.setdefault(name, Count(most, now))
            count.tokens = min(count.tokens, max(1.0, most))

    def take(self, tenant: str, now: float) -> float | None:
        """None where the req may come in, and is counted open; else after how many ms another may. Every one
        let in is given back by ``leave``."""
        count = self.counts.setdefault(tenant, Count(0.0, now))
        rate = self.rates.get(tenant)
        if count.open >= self.most_open.get(tenant, float("inf")):
            return 1000.0 / rate if rate else 100.0  # an open req's end is not known: some tenths
        if rate is not None:
            count.tokens = min(max(1.0, rate), count.tokens + (now - count.at) * rate / 1000)
            count.at = now
            if count.tokens < 1.0:
                return (1.0 - count.tokens) * 1000 / rate if rate > 0 else 1000.0
            count.tokens -= 1.0
        count.open += 1
        return None

    def leave(self, tenant: str) -> None:
        if (count := self.counts.get(tenant)) is not None and count.open:
            count.open -= 1
