"""Decodes the settings that a front is started with, once, into the types of ``interface.py``."""

from typing import Any

from myrtleroad import interface

NS_PER_MS = 1_000_000
RETRY_SAFETY = {
    "repeatable": interface.RetrySafety.RETRIABLE,
    "by_key": interface.RetrySafety.DEDUPED,
    "once": interface.RetrySafety.NON_RETRIABLE,
}
DEDUP_SCOPES = {
    "all": interface.DedupScope.ALL,
    "zone": interface.DedupScope.ZONE,
    "cell": interface.DedupScope.CELL,
}
VOTE_MODES = {
    "first_voice": interface.VoteMode.ANY,
    "by_count": interface.VoteMode.COUNT,
    "automatic": interface.VoteMode.CLOCK,
}
LOAD_COLUMN = "active"  # column of a load report: how many requests the server is processing


def ns_to_ms(duration_ns: int | None) -> float:
    """Converts a duration of the settings, which is in ns, to ms; 0.0 if there is none."""
    return (duration_ns or 0) / NS_PER_MS


def decode_settings(settings: dict[str, Any]) -> interface.Settings:
    """Decodes the settings of a deployment; the keys are those of its configuration.

    Raises KeyError if a key without a default is missing, or if an effect, a group or the gate mode is
    unknown.
    """
    server_rules, rollout, limits = settings["obligations"], settings.get("specifics", {}), settings["limits"]
    columns = settings.get("report", {}).get("columns", [])
    return interface.Settings(
        balancers=settings["balancers"],
        zone=settings.get("zone", 0),
        routes=tuple(
            interface.Route(
                retry_safety=RETRY_SAFETY[route["effect"]],
                dedup_scope=DEDUP_SCOPES[route.get("group", "all")],
                dedup_window_ms=ns_to_ms(route.get("dedup_window")),
                objective_ms=ns_to_ms(route["on_time"]),
                timeout_ms=ns_to_ms(route["give_up"]),
                benefit=route.get("worth", 1.0),
                late_benefit=route.get("late_worth", 0.0),
            )
            for route in settings["lanes"]
        ),
        tenants=tuple(
            interface.Tenant(tenant["share"], tenant["quota_per_s"])
            for tenant in settings.get("tenants") or ()
        ),
        over_share_benefit=settings.get("over_share_worth", 1.0),
        benefit_by_work=settings.get("worth_by") == "work",
        server_rules=interface.ServerRules(
            drain_grace_ms=ns_to_ms(server_rules["drain_grace"]),
            slow_start_ms=ns_to_ms(server_rules["cold"]),
            slow_start_min_share=server_rules["cold_share"],
            overload_factor=server_rules["overload_factor"],
            overload_window_ms=ns_to_ms(server_rules["fall"]),
            max_poll_interval_ms=ns_to_ms(server_rules.get("ask_every")),
        ),
        rollout=interface.Rollout(
            vote_mode=VOTE_MODES[rollout.get("gate_mode", "by_count")],
            votes_to_advance=rollout.get("votes_to_go", 1),
            votes_to_roll_back=rollout.get("noes_needed", 1),
            vote_lifetime_ms=ns_to_ms(rollout.get("vote_life")),
            vote_timeout_ms=ns_to_ms(rollout.get("answer_wait")),
            max_calls_per_s=rollout.get("calls_per_s", 1.0),
            stage_soak_ms=ns_to_ms(rollout.get("soak")),
            stage_caps=tuple(rollout.get("stage_cap") or (0.0,)),
            exposure_window_ms=ns_to_ms(rollout.get("span")),
            free_attempts=rollout.get("free", 0.0),
            cap_per_route=rollout.get("counts") == "each_class",
            retriable_only_stages=rollout.get("guarded_stages", 0),
            forbids_downgrade=bool(rollout.get("no_return")),
            counts_interval_ms=ns_to_ms(rollout.get("sums_every")),
            replaces_in_place=rollout.get("replace_mode") == "replace",
        ),
        list_on_request=settings.get("registry_mode") == "on_request",
        max_attempts=limits["max_attempts"],
        hedging_allowed=limits["second_copies"],
        retry_after_allowed=limits["retry_after"],
        max_retry_after_ms=ns_to_ms(limits.get("max_retry_after")),
        weights_are_capacity=settings.get("weight_kind") in ("nominal", "rough"),
        load_column=columns.index(LOAD_COLUMN) if LOAD_COLUMN in columns else None,
        handshake_cost=settings.get("prices", {}).get("handshake", 0.0),
        idle_timeout_ms=ns_to_ms(limits.get("idle_close")),
    )
