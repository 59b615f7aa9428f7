"""A small fleet in virtual time: what is harmless in one front must not hurt in all, and no rule breaks."""

import pytest

from benchmarks.fleet import Fleet


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
    assert counts["served"] > least * counts["asked"]
    assert not {k: n for k, n in counts.items() if k.startswith("broken_") and n}
    assert counts["unanswered"] == 0 and counts["unanswered_in_time"] == 0


def test_machines_that_hold_fewer_connections_than_there_are_fronts_are_shared():
    fleet = Fleet(80, 30, 5)
    for n in fleet.nodes:
        n.most_conns = 30
    counts = fleet.play("calm", 8000.0)
    assert counts["served"] > 0.95 * counts["asked"] and counts["unanswered"] == 0


def test_the_same_seed_gives_the_same_run():
    assert Fleet(10, 8, 1).play("kill", 3000.0) == Fleet(10, 8, 1).play("kill", 3000.0)
