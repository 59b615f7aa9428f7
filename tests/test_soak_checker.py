"""The judge catches a planted break of each of its rules, and leaves alone what the pages allow."""

from dataclasses import replace

import pytest

from soak.checker import RuleChecker
from soak.deployment import FIRST_BUILD, Deployment
from soak.records import (
    Attempt,
    ListDelivery,
    Outcome,
    ProcessRecord,
    Records,
    Request,
    ServerChange,
    StageRecord,
    TimeSpan,
)

AT = 100.0


def request(request_id="r1", sent=AT, outcome=Outcome.SERVED, took=0.1, **changes):
    made = Request(request_id, "n0", False, sent, sent + 2.0, False, outcome, sent + took)
    return replace(made, **changes)


def attempt(request_id="r1", begun=AT + 0.01, server="s-0", **changes):
    left = int(1000 * (AT + 2.0 - begun)) if request_id == "r1" else 1
    return replace(Attempt(server, request_id, begun, begun, max(1, left), FIRST_BUILD, True), **changes)


def listed(version=1, at=0.0, lifecycle="in_service", build=FIRST_BUILD, started_ms=0, server="s-0"):
    return ServerChange(version, at, server, lifecycle, build, started_ms)


def broken_rules(deployment=None, **seen):
    records = Records(changes=[listed()], written=[ListDelivery("n0", 0.0, 1)])
    for name, value in seen.items():
        setattr(records, name, value)
    return sorted({b.rule for b in RuleChecker(records, deployment or Deployment()).violations()})


def test_a_request_that_was_served_in_time_breaks_nothing():
    assert broken_rules(requests=[request()], attempts=[attempt()]) == []


@pytest.mark.parametrize(
    "changes",
    [
        dict(outcome=Outcome.CLOSED, new_connection=True),
        dict(outcome=Outcome.CLOSED, new_connection=False),
        dict(outcome=Outcome.SILENT, took=3.0),
        dict(outcome=Outcome.SERVED, took=2.6),
        dict(outcome=Outcome.FAILED, took=2.6),
        dict(outcome=Outcome.WRONG),
    ],
)
def test_a_request_without_its_own_answer_in_time_is_lost(changes):
    assert broken_rules(requests=[request(**changes)]) == ["lost"]


@pytest.mark.parametrize(
    "changes",
    [
        dict(outcome=Outcome.SERVED, took=2.4),  # late, and no more than that
        dict(outcome=Outcome.CLOSED, front_killed=True),
        dict(outcome=Outcome.CLOSED, resent=True),
        dict(outcome=Outcome.LEFT),
        dict(outcome=Outcome.REFUSED),
    ],
)
def test_what_is_late_killed_sent_again_left_or_refused_is_not_lost(changes):
    assert broken_rules(requests=[request(**changes)]) == []


def test_an_unsafe_request_that_ran_twice_and_a_safe_one_that_may():
    twice = [attempt(), attempt(begun=AT + 0.05, server="s-1")]
    changes = [listed(), listed(server="s-1")]
    assert broken_rules(requests=[request()], attempts=twice, changes=changes) == ["duplicate"]
    assert broken_rules(requests=[request(safe=True)], attempts=twice, changes=changes) == []


def test_an_attempt_that_begins_after_its_client_has_left():
    left = [request(outcome=Outcome.LEFT, took=0.5)]
    assert broken_rules(requests=left, attempts=[attempt(begun=AT + 0.65)]) == ["lost"]
    assert broken_rules(requests=left, attempts=[attempt(begun=AT + 0.55)]) == []


def test_a_server_that_is_told_more_time_than_the_client_has():
    assert broken_rules(requests=[request()], attempts=[attempt(remaining_ms=2200)]) == ["lost"]
    assert broken_rules(requests=[request()], attempts=[attempt(remaining_ms=2100)]) == []


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
@pytest.mark.parametrize(("late", "broken"), [(0.35, ["drain"]), (0.25, [])])
def test_a_send_past_the_grace_of_a_drain_that_was_written(lifecycle, late, broken):
    changes = [listed(), listed(2, AT - 0.1, lifecycle)]
    written = [ListDelivery("n0", 0.0, 1), ListDelivery("n0", AT, 2)]
    sends = [attempt(begun=AT + late)]
    assert broken_rules(requests=[request()], attempts=sends, changes=changes, written=written) == broken


@pytest.mark.parametrize(("had", "broken"), [(93.6, ["drain"]), (94.2, [])])
def test_a_drain_that_never_arrived_counts_as_told_six_seconds_after_it_could_have(had, broken):
    seen = dict(requests=[request()], attempts=[attempt(begun=AT)])
    assert broken_rules(changes=[listed(), listed(2, had, "terminating")], **seen) == broken
    down = [TimeSpan(80.0, had)]  # discovery got it before, and could be reached again only then
    assert (
        broken_rules(changes=[listed(), listed(2, 81.0, "terminating")], unreachable=down, **seen) == broken
    )


def test_where_lists_are_pushed_a_drain_counts_as_told_at_once():
    changes = [listed(), listed(2, 99.0, "terminating")]
    seen = dict(requests=[request()], attempts=[attempt(begun=AT)], changes=changes)
    assert broken_rules(Deployment(lists_pushed=True), **seen) == ["drain"] and broken_rules(**seen) == []


def test_a_cold_server_that_gets_more_than_it_bears():
    deployment = Deployment(server_rate_per_s=10.0)
    changes = [listed(), listed(2, AT, started_ms=5)]
    for count, broken in ((60, ["failback"]), (10, [])):
        times = [AT + 0.01 * n for n in range(count)]
        sends = [attempt(f"c{n}", begun) for n, begun in enumerate(times)]
        asked = [request(f"c{n}", begun, safe=True) for n, begun in enumerate(times)]
        assert broken_rules(deployment, requests=asked, attempts=sends, changes=changes) == broken


def test_more_attempts_on_a_build_on_trial_than_its_cap_allows():
    trial = FIRST_BUILD + 1
    changes = [listed(build=trial)]
    stages = [StageRecord("n0", 0.0, trial, "trial", 0.15)]
    asked = [request(f"c{n}", AT + 0.01 * n, safe=True) for n in range(40)]
    for count, broken in ((20, ["exposure"]), (3, [])):
        sends = [attempt(f"c{n}", AT + 0.01 * n + 0.005, build=trial) for n in range(count)]
        assert broken_rules(requests=asked, attempts=sends, changes=changes, stages=stages) == broken


@pytest.mark.parametrize(
    ("process", "broken"),
    [
        (ProcessRecord("n0", 0.0, 1.0, 5.0, -1, False, None), ["crash"]),  # by a signal of nobody's
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 1, False, 4.0), ["crash"]),
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 0, False, None), ["crash"]),  # it just ended
        (ProcessRecord("n0", 0.0, None, None, None, False, None), ["crash"]),  # never ready
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 0, False, 4.0), []),
        (ProcessRecord("n0", 0.0, 1.0, 5.0, -9, True, None), []),
    ],
)
def test_a_process_that_ends_unasked_or_never_becomes_ready(process, broken):
    assert broken_rules(lives=[process]) == broken


def test_a_bad_client_that_gets_no_end():
    assert broken_rules(neglected=[(AT, "n0")]) == ["lost"]
