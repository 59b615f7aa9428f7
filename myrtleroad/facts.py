"""The settings object that a front is started with, decoded once into the interface's facts."""

from typing import Any

from myrtleroad import interface as i

NS_PER_MS = 1_000_000
EFFECTS = {
    "repeatable": i.Effect.RETRIABLE,
    "by_key": i.Effect.DEDUPED,
    "once": i.Effect.NON_RETRIABLE,
}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
GATES = {"first_voice": i.Gate.ANY, "by_count": i.Gate.COUNT, "automatic": i.Gate.CLOCK}
LOAD = "active"  # the column of a load report that says how many reqs a machine holds


def ms(value: int | None) -> float:
    return (value or 0) / NS_PER_MS


def facts(s: dict[str, Any]) -> i.Facts:
    rules, roll, limits = s["obligations"], s.get("specifics", {}), s["limits"]
    columns = s.get("report", {}).get("columns", [])
    return i.Facts(
        balancers=s["balancers"],
        zone=s.get("zone", 0),
        routes=tuple(
            i.Route(
                effect=EFFECTS[lane["effect"]],
                group=GROUPS[lane.get("group", "all")],
                dedup_ms=ms(lane.get("dedup_window")),
                objective_ms=ms(lane["on_time"]),
                timeout_ms=ms(lane["give_up"]),
                benefit=lane.get("worth", 1.0),
                late_benefit=lane.get("late_worth", 0.0),
            )
            for lane in s["lanes"]
        ),
        tenants=tuple(i.Tenant(t["share"], t["quota_per_s"]) for t in s.get("tenants") or ()),
        over_share_benefit=s.get("over_share_worth", 1.0),
        benefit_by_work=s.get("worth_by") == "work",
        rules=i.Rules(
            drain_grace_ms=ms(rules["drain_grace"]),
            cold_ms=ms(rules["cold"]),
            cold_share=rules["cold_share"],
            overload_factor=rules["overload_factor"],
            fall_ms=ms(rules["fall"]),
            ask_every_ms=ms(rules.get("ask_every")),
        ),
        rollout=i.Rollout(
            gate=GATES[roll.get("gate_mode", "by_count")],
            on_votes=roll.get("votes_to_go", 1),
            back_votes=roll.get("noes_needed", 1),
            vote_life_ms=ms(roll.get("vote_life")),
            answer_wait_ms=ms(roll.get("answer_wait")),
            calls_per_s=roll.get("calls_per_s", 1.0),
            soak_ms=ms(roll.get("soak")),
            caps=tuple(roll.get("stage_cap") or (0.0,)),
            span_ms=ms(roll.get("span")),
            free=roll.get("free", 0.0),
            by_route=roll.get("counts") == "each_class",
            guarded_stages=roll.get("guarded_stages", 0),
            no_return=bool(roll.get("no_return")),
            counts_every_ms=ms(roll.get("sums_every")),
            in_place=roll.get("replace_mode") == "replace",
        ),
        list_on_request=s.get("registry_mode") == "on_request",
        max_tries=limits["max_attempts"],
        second_copies=limits["second_copies"],
        come_back=limits["retry_after"],
        max_come_back_ms=ms(limits.get("max_retry_after")),
        weights_mean_size=s.get("weight_kind") in ("nominal", "rough"),
        load_column=columns.index(LOAD) if LOAD in columns else None,
        handshake_price=s.get("prices", {}).get("handshake", 0.0),
        idle_ms=ms(limits.get("idle_close")),
    )
