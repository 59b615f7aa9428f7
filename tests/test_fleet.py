"""A small fleet in virtual time: behaviour that is harmless in a single front must be harmless when all
fronts have it, and no rule on sending may be broken."""

import pytest

from benchmarks.fleet import Fleet


def all_answered_and_rules_kept(counts):
    broken = {key: count for key, count in counts.items() if key.startswith("broken_") and count}
    return not broken and counts["unanswered"] == 0 and counts["answered_after_timeout"] == 0


@pytest.mark.parametrize(
    ("scenario", "least_share"),
    [
        ("calm", 0.98),
        ("pause", 0.97),
        ("kill", 0.9),
        ("zone", 0.9),
        ("cut", 0.85),
        ("stale", 0.97),
        ("trial", 0.97),
        ("burst", 0.97),
    ],
)
def test_a_fleet_of_small_fronts_serves_most_requests_and_breaks_no_rule(scenario, least_share):
    counts = Fleet(60, 30, 3).play(scenario, 8000.0)
    assert (
        all_answered_and_rules_kept(counts)
        and counts["served_benefit"] > least_share * counts["offered_benefit"]
    )


def test_servers_that_accept_fewer_connections_than_there_are_fronts_are_shared():
    fleet = Fleet(80, 30, 5)
    for server in fleet.servers:
        server.max_connections = 30
    counts = fleet.play("calm", 8000.0)
    assert counts["served_benefit"] > 0.95 * counts["offered_benefit"] and counts["unanswered"] == 0


def test_the_same_seed_gives_the_same_run():
    assert Fleet(10, 8, 1).play("kill", 3000.0) == Fleet(10, 8, 1).play("kill", 3000.0)


def test_fronts_that_restart_during_an_overload_answer_all_requests_and_break_no_rule():
    fleet = Fleet(40, 20, 7, load=1.4)
    for front in fleet.fronts[:20]:
        fleet.schedule(4000.0, fleet.restart_front, front)
    counts = fleet.play("calm", 8000.0)
    assert all_answered_and_rules_kept(counts) and counts["rejected_without_attempt"] > 0


def test_the_servers_of_other_zones_stay_in_use_while_one_zone_is_unreachable():
    fleet = Fleet(40, 24, 9)
    for server in fleet.servers:
        if server.zone == 0:
            fleet.schedule(3000.0, fleet.set_unreachable, server, True)
            fleet.schedule(6000.0, fleet.set_unreachable, server, False)
    counts = fleet.play("calm", 9000.0)
    assert all_answered_and_rules_kept(counts) and counts["served_benefit"] > 0.85 * counts["offered_benefit"]


def test_a_front_with_five_times_the_mean_traffic_and_one_with_almost_none_are_served():
    fleet = Fleet(40, 20, 11)
    mean = sum(front.weight for front in fleet.fronts) / 40
    # The second front gets about one request in ten seconds.
    fleet.fronts[0].weight, fleet.fronts[1].weight = 5 * mean, 0.02 * mean
    counts = fleet.play("calm", 10_000.0)
    assert all_answered_and_rules_kept(counts) and counts["served_benefit"] > 0.97 * counts["offered_benefit"]
