"""A small fleet in virtual time: what is harmless in one front must not hurt in all, and no rule breaks."""

import pytest

from benchmarks.fleet import Fleet


def kept(counts):
    broken = {k: n for k, n in counts.items() if k.startswith("broken_") and n}
    return not broken and counts["unanswered"] == 0 and counts["unanswered_in_time"] == 0


@pytest.mark.parametrize(
    ("day", "least"),
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
def test_a_fleet_of_small_fronts_serves_and_keeps_the_rules(day, least):
    counts = Fleet(60, 30, 3).play(day, 8000.0)
    assert kept(counts) and counts["served"] > least * counts["asked"]


def test_machines_that_hold_fewer_connections_than_there_are_fronts_are_shared():
    fleet = Fleet(80, 30, 5)
    for n in fleet.nodes:
        n.most_conns = 30
    counts = fleet.play("calm", 8000.0)
    assert counts["served"] > 0.95 * counts["asked"] and counts["unanswered"] == 0


def test_the_same_seed_gives_the_same_run():
    assert Fleet(10, 8, 1).play("kill", 3000.0) == Fleet(10, 8, 1).play("kill", 3000.0)


def test_fronts_that_start_in_the_middle_of_a_jam_answer_all_and_keep_the_rules():
    fleet = Fleet(40, 20, 7, load=1.4)
    for f in fleet.fronts[:20]:
        fleet.at(4000.0, fleet.restart, f)
    counts = fleet.play("calm", 8000.0)
    assert kept(counts) and counts["shed_untried"] > 0


def test_a_zone_cut_off_leaves_the_others_machines_in_use():
    fleet = Fleet(40, 24, 9)
    for n in fleet.nodes:
        if n.zone == 0:
            fleet.at(3000.0, fleet.sever, n, True)
            fleet.at(6000.0, fleet.sever, n, False)
    counts = fleet.play("calm", 9000.0)
    assert kept(counts) and counts["served"] > 0.85 * counts["asked"]


def test_a_front_with_five_times_the_mean_and_one_with_a_req_in_ten_seconds():
    fleet = Fleet(40, 20, 11)
    mean = sum(f.weight for f in fleet.fronts) / 40
    fleet.fronts[0].weight, fleet.fronts[1].weight = 5 * mean, 0.02 * mean
    counts = fleet.play("calm", 10_000.0)
    assert kept(counts) and counts["served"] > 0.97 * counts["asked"]
