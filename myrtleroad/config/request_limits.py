"""Whether a req may come in at all by what operators set: its tenant's rate and open reqs. Free of I/O."""

from dataclasses import dataclass

from myrtleroad.config.rules import EffectiveLimits


@dataclass(slots=True)
class TenantUsage:
    """One tenant's: tokens left of its rate, when they were counted, reqs that are open."""

    tokens: float
    counted_at_ms: float
    open_requests: int = 0


class RequestLimits:
    """A token bucket of one second a tenant, and a bound on its open reqs. As many rows as the settings have
    tenants."""

    __slots__ = ("max_open", "max_rates", "usage")

    def __init__(self) -> None:
        self.usage: dict[str, TenantUsage] = {}
        self.max_rates: dict[str, float] = {}
        self.max_open: dict[str, float] = {}

    def update(self, bounds: EffectiveLimits | None, now: float) -> None:
        """Bounds of now; reqs that are open stay counted, tokens are cut to the new rate."""
        if bounds is None:
            self.usage.clear()  # nobody counts any more, so nobody would give back
        tenants = bounds.tenants if bounds is not None else {}
        rate = {n: b["rate"] for n, b in tenants.items()}
        # Guards against refusing by the told quota, which says what is worth less, not what is forbidden.
        self.max_rates = {n: b.value for n, b in rate.items() if b.source == "version"}
        self.max_open = {n: b["most-open"].value for n, b in tenants.items()}
        for name, most in self.max_rates.items():
            count = self.usage.setdefault(name, TenantUsage(most, now))
            count.tokens = min(count.tokens, max(1.0, most))

    def admit(self, tenant: str, now: float) -> float | None:
        """None where the req may come in, and is counted open; else after how many ms another may. Every one
        let in is given back by ``leave``."""
        count = self.usage.setdefault(tenant, TenantUsage(0.0, now))
        rate = self.max_rates.get(tenant)
        if count.open_requests >= self.max_open.get(tenant, float("inf")):
            return 1000.0 / rate if rate else 100.0  # an open req's end is not known: some tenths
        if rate is not None:
            count.tokens = min(max(1.0, rate), count.tokens + (now - count.counted_at_ms) * rate / 1000)
            count.counted_at_ms = now
            if count.tokens < 1.0:
                return (1.0 - count.tokens) * 1000 / rate if rate > 0 else 1000.0
            count.tokens -= 1.0
        count.open_requests += 1
        return None

    def release(self, tenant: str) -> None:
        if (count := self.usage.get(tenant)) is not None and count.open_requests:
            count.open_requests -= 1
