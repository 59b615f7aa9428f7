"""The facts of a front, narrowed by what holds in effect of a version."""

from collections.abc import Iterable
from dataclasses import replace

from myrtleroad import interface as i
from myrtleroad.config.rules import EffectiveLimits


def narrowed_settings(
    settings: i.Settings, bounds: EffectiveLimits, routes: Iterable[str], tenants: Iterable[str]
) -> i.SettingsNarrowed:
    """``routes`` and ``tenants``: their names in the order of the facts. Never more than the facts allow."""
    narrowed = []
    for route, name in zip(settings.routes, routes, strict=True):
        b = bounds.routes[name]
        narrowed.append(
            replace(
                route,
                objective_ms=min(route.objective_ms, b["objective"].value),
                timeout_ms=min(route.timeout_ms, b["timeout"].value),
                max_attempts=int(b["most-tries"].value),
                retry_budget=b["retry-budget"].value,
            )
        )
    quotas = [
        replace(t, quota_per_s=min(t.quota_per_s, bounds.tenants[name]["rate"].value))
        for t, name in zip(settings.tenants, tenants, strict=True)
    ]
    return i.SettingsNarrowed(
        replace(settings, routes=tuple(narrowed), tenants=tuple(quotas)), bounds.trial_share.value
    )
