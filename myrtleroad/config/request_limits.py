"""Admission limits that operators set: the request rate and the number of open requests of each tenant.
Does no I/O."""

from dataclasses import dataclass

from myrtleroad.config.rules import EffectiveLimits


@dataclass(slots=True)
class TenantUsage:
    """Usage of one tenant: tokens left of its rate, when they were counted, and its open requests."""

    tokens: float
    counted_at_ms: float
    open_requests: int = 0


class RequestLimits:
    """A token bucket per tenant that holds one second of its rate, and a limit on its open requests.
    Memory is bounded by the number of tenants in the settings."""

    __slots__ = ("max_open", "max_rates", "usage")

    def __init__(self) -> None:
        self.usage: dict[str, TenantUsage] = {}
        self.max_rates: dict[str, float] = {}
        self.max_open: dict[str, float] = {}

    def update(self, limits: EffectiveLimits | None, now: float) -> None:
        """Sets new limits. Open requests stay counted, and tokens are cut to the new rate."""
        if limits is None:
            self.usage.clear()  # nothing is counted without limits, so nothing would be released
        tenants = limits.tenants if limits is not None else {}
        tenant_rates = {tenant: effective["rate"] for tenant, effective in tenants.items()}
        # Guards against refusing requests by the quota of the platform's settings: it marks requests
        # as less beneficial, not as forbidden.
        self.max_rates = {
            tenant: effective.value
            for tenant, effective in tenant_rates.items()
            if effective.source == "version"
        }
        self.max_open = {tenant: effective["most-open"].value for tenant, effective in tenants.items()}
        for tenant, max_rate in self.max_rates.items():
            tenant_usage = self.usage.setdefault(tenant, TenantUsage(max_rate, now))
            tenant_usage.tokens = min(tenant_usage.tokens, max(1.0, max_rate))

    def admit(self, tenant: str, now: float) -> float | None:
        """Admits a request and counts it as open (None), or returns after how many ms another may be
        admitted. Each admitted request has to be released with ``release``."""
        tenant_usage = self.usage.setdefault(tenant, TenantUsage(0.0, now))
        rate = self.max_rates.get(tenant)
        if tenant_usage.open_requests >= self.max_open.get(tenant, float("inf")):
            # When an open request will end is not known; assumes some tenths of a second.
            return 1000.0 / rate if rate else 100.0
        if rate is not None:
            tenant_usage.tokens = min(
                max(1.0, rate), tenant_usage.tokens + (now - tenant_usage.counted_at_ms) * rate / 1000
            )
            tenant_usage.counted_at_ms = now
            if tenant_usage.tokens < 1.0:
                return (1.0 - tenant_usage.tokens) * 1000 / rate if rate > 0 else 1000.0
            tenant_usage.tokens -= 1.0
        tenant_usage.open_requests += 1
        return None

    def release(self, tenant: str) -> None:
        """An admitted request has ended."""
        if (tenant_usage := self.usage.get(tenant)) is not None and tenant_usage.open_requests:
            tenant_usage.open_requests -= 1
