"""Narrows the settings of a front to the effective limits of a version."""

from collections.abc import Iterable
from dataclasses import replace

from myrtleroad import interface
from myrtleroad.config.rules import EffectiveLimits


def narrowed_settings(
    settings: interface.Settings, limits: EffectiveLimits, routes: Iterable[str], tenants: Iterable[str]
) -> interface.SettingsNarrowed:
    """Returns narrowed settings. ``routes`` and ``tenants`` are the names in the order of the settings.
    The result never allows more than the settings do."""
    narrowed_routes = []
    for route, name in zip(settings.routes, routes, strict=True):
        route_limits = limits.routes[name]
        narrowed_routes.append(
            replace(
                route,
                objective_ms=min(route.objective_ms, route_limits["objective"].value),
                timeout_ms=min(route.timeout_ms, route_limits["timeout"].value),
                max_attempts=int(route_limits["most-tries"].value),
                retry_budget=route_limits["retry-budget"].value,
            )
        )
    narrowed_tenants = [
        replace(tenant, quota_per_s=min(tenant.quota_per_s, limits.tenants[name]["rate"].value))
        for tenant, name in zip(settings.tenants, tenants, strict=True)
    ]
    return interface.SettingsNarrowed(
        replace(settings, routes=tuple(narrowed_routes), tenants=tuple(narrowed_tenants)),
        limits.trial_share.value,
    )
