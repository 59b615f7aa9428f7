"""The settings object that a front is started with, decoded once into the interface's facts."""

from typing import Any

from myrtleroad import interface as i

NS_PER_MS = 1_000_000
EFFECTS = {
    "repeatable": i.RetrySafety.RETRIABLE,
    "by_key": i.RetrySafety.DEDUPED,
    "once": i.RetrySafety.NON_RETRIABLE,
}
GROUPS = {"all": i.DedupScope.ALL, "zone": i.DedupScope.ZONE, "cell": i.DedupScope.CELL}
GATES = {"first_voice": i.VoteMode.ANY, "by_count": i.VoteMode.COUNT, "automatic": i.VoteMode.CLOCK}
LOAD_COLUMN = "active"  # the column of a load report that says how many reqs a machine holds


def ns_to_ms(value: int | None) -> float:
    return (value or 0) / NS_PER_MS


def decode_settings(s: dict[str, Any]) -> i.Settings:
    rules, roll, limits = s["obligations"], s.get("specifics", {}), s["limits"]
    columns = s.get("report", {}).get("columns", [])
    return i.Settings(
        balancers=s["balancers"],
        zone=s.get("zone", 0),
        routes=tuple(
            i.Route(
                retry_safety=EFFECTS[lane["effect"]],
                dedup_scope=GROUPS[lane.get("group", "all")],
                dedup_window_ms=ns_to_ms(lane.get("dedup_window")),
                objective_ms=ns_to_ms(lane["on_time"]),
                timeout_ms=ns_to_ms(lane["give_up"]),
                benefit=lane.get("worth", 1.0),
                late_benefit=lane.get("late_worth", 0.0),
            )
            for lane in s["lanes"]
        ),
        tenants=tuple(i.Tenant(t["share"], t["quota_per_s"]) for t in s.get("tenants") or ()),
        over_share_benefit=s.get("over_share_worth", 1.0),
        benefit_by_work=s.get("worth_by") == "work",
        server_rules=i.ServerRules(
            drain_grace_ms=ns_to_ms(rules["drain_grace"]),
            slow_start_ms=ns_to_ms(rules["cold"]),
            slow_start_min_share=rules["cold_share"],
            overload_factor=rules["overload_factor"],
            overload_window_ms=ns_to_ms(rules["fall"]),
            max_poll_interval_ms=ns_to_ms(rules.get("ask_every")),
        ),
        rollout=i.Rollout(
            vote_mode=GATES[roll.get("gate_mode", "by_count")],
            votes_to_advance=roll.get("votes_to_go", 1),
            votes_to_roll_back=roll.get("noes_needed", 1),
            vote_lifetime_ms=ns_to_ms(roll.get("vote_life")),
            vote_timeout_ms=ns_to_ms(roll.get("answer_wait")),
            max_calls_per_s=roll.get("calls_per_s", 1.0),
            stage_soak_ms=ns_to_ms(roll.get("soak")),
            stage_caps=tuple(roll.get("stage_cap") or (0.0,)),
            exposure_window_ms=ns_to_ms(roll.get("span")),
            free_attempts=roll.get("free", 0.0),
            cap_per_route=roll.get("counts") == "each_class",
            retriable_only_stages=roll.get("guarded_stages", 0),
            forbids_downgrade=bool(roll.get("no_return")),
            counts_interval_ms=ns_to_ms(roll.get("sums_every")),
            replaces_in_place=roll.get("replace_mode") == "replace",
        ),
        list_on_request=s.get("registry_mode") == "on_request",
        max_attempts=limits["max_attempts"],
        hedging_allowed=limits["second_copies"],
        retry_after_allowed=limits["retry_after"],
        max_retry_after_ms=ns_to_ms(limits.get("max_retry_after")),
        weights_are_capacity=s.get("weight_kind") in ("nominal", "rough"),
        load_column=columns.index(LOAD_COLUMN) if LOAD_COLUMN in columns else None,
        handshake_cost=s.get("prices", {}).get("handshake", 0.0),
        idle_timeout_ms=ns_to_ms(limits.get("idle_close")),
    )
