"""The checker finds an invented violation of each of its rules and accepts what the specifications allow."""

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

BASE_S = 100.0


def request(request_id="r1", sent=BASE_S, outcome=Outcome.SERVED, duration_s=0.1, **changes):
    served = Request(request_id, "n0", False, sent, sent + 2.0, False, outcome, sent + duration_s)
    return replace(served, **changes)


def attempt(request_id="r1", begun=BASE_S + 0.01, server="s-0", **changes):
    remaining_ms = int(1000 * (BASE_S + 2.0 - begun)) if request_id == "r1" else 1
    return replace(
        Attempt(server, request_id, begun, begun, max(1, remaining_ms), FIRST_BUILD, True), **changes
    )


def server_change(version=1, at=0.0, lifecycle="in_service", build=FIRST_BUILD, started_ms=0, server="s-0"):
    return ServerChange(version, at, server, lifecycle, build, started_ms)


def violated_rules(deployment=None, **observed):
    records = Records(changes=[server_change()], written=[ListDelivery("n0", 0.0, 1)])
    for name, value in observed.items():
        setattr(records, name, value)
    return sorted({found.rule for found in RuleChecker(records, deployment or Deployment()).violations()})


def test_request_served_in_time_is_no_violation():
    assert violated_rules(requests=[request()], attempts=[attempt()]) == []


@pytest.mark.parametrize(
    "changes",
    [
        dict(outcome=Outcome.CLOSED, new_connection=True),
        dict(outcome=Outcome.CLOSED, new_connection=False),
        dict(outcome=Outcome.SILENT, duration_s=3.0),
        dict(outcome=Outcome.SERVED, duration_s=2.6),
        dict(outcome=Outcome.FAILED, duration_s=2.6),
        dict(outcome=Outcome.WRONG),
    ],
)
def test_request_without_its_own_response_in_time_is_lost(changes):
    assert violated_rules(requests=[request(**changes)]) == ["lost"]


@pytest.mark.parametrize(
    "changes",
    [
        dict(outcome=Outcome.SERVED, duration_s=2.4),  # late, but within the tolerance
        dict(outcome=Outcome.CLOSED, front_killed=True),
        dict(outcome=Outcome.CLOSED, resent=True),
        dict(outcome=Outcome.LEFT),
        dict(outcome=Outcome.REFUSED),
    ],
)
def test_late_killed_resent_left_or_shed_requests_are_not_lost(changes):
    assert violated_rules(requests=[request(**changes)]) == []


def test_second_execution_of_an_unsafe_request_is_a_duplicate():
    attempts = [attempt(), attempt(begun=BASE_S + 0.05, server="s-1")]
    changes = [server_change(), server_change(server="s-1")]
    assert violated_rules(requests=[request()], attempts=attempts, changes=changes) == ["duplicate"]
    assert violated_rules(requests=[request(safe=True)], attempts=attempts, changes=changes) == []


def test_attempt_begun_after_its_client_left_is_a_violation():
    requests = [request(outcome=Outcome.LEFT, duration_s=0.5)]
    assert violated_rules(requests=requests, attempts=[attempt(begun=BASE_S + 0.65)]) == ["lost"]
    assert violated_rules(requests=requests, attempts=[attempt(begun=BASE_S + 0.55)]) == []


def test_attempt_with_more_time_than_its_client_has_is_a_violation():
    assert violated_rules(requests=[request()], attempts=[attempt(remaining_ms=2200)]) == ["lost"]
    assert violated_rules(requests=[request()], attempts=[attempt(remaining_ms=2100)]) == []


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
@pytest.mark.parametrize(("late_s", "expected"), [(0.35, ["drain"]), (0.25, [])])
def test_attempt_after_the_grace_of_a_written_drain_is_a_violation(lifecycle, late_s, expected):
    changes = [server_change(), server_change(2, BASE_S - 0.1, lifecycle)]
    written = [ListDelivery("n0", 0.0, 1), ListDelivery("n0", BASE_S, 2)]
    attempts = [attempt(begun=BASE_S + late_s)]
    assert (
        violated_rules(requests=[request()], attempts=attempts, changes=changes, written=written) == expected
    )


@pytest.mark.parametrize(("changed_at", "expected"), [(93.6, ["drain"]), (94.2, [])])
def test_unwritten_drain_counts_as_known_six_seconds_after_it_could_have_been_written(changed_at, expected):
    observed = dict(requests=[request()], attempts=[attempt(begun=BASE_S)])
    assert (
        violated_rules(changes=[server_change(), server_change(2, changed_at, "terminating")], **observed)
        == expected
    )
    outages = [TimeSpan(80.0, changed_at)]  # discovery had the change earlier, but was unreachable until then
    assert (
        violated_rules(
            changes=[server_change(), server_change(2, 81.0, "terminating")], unreachable=outages, **observed
        )
        == expected
    )


def test_drain_counts_as_known_at_once_where_lists_are_pushed():
    changes = [server_change(), server_change(2, 99.0, "terminating")]
    observed = dict(requests=[request()], attempts=[attempt(begun=BASE_S)], changes=changes)
    assert (
        violated_rules(Deployment(lists_pushed=True), **observed) == ["drain"]
        and violated_rules(**observed) == []
    )


def test_overload_of_a_server_in_slow_start_is_a_violation():
    deployment = Deployment(server_rate_per_s=10.0)
    changes = [server_change(), server_change(2, BASE_S, started_ms=5)]
    for count, expected in ((60, ["failback"]), (10, [])):
        times = [BASE_S + 0.01 * n for n in range(count)]
        attempts = [attempt(f"c{n}", begun) for n, begun in enumerate(times)]
        requests = [request(f"c{n}", begun, safe=True) for n, begun in enumerate(times)]
        assert violated_rules(deployment, requests=requests, attempts=attempts, changes=changes) == expected


def test_more_attempts_on_a_trial_build_than_its_cap_allows_are_a_violation():
    trial = FIRST_BUILD + 1
    changes = [server_change(build=trial)]
    stages = [StageRecord("n0", 0.0, trial, "trial", 0.15)]
    requests = [request(f"c{n}", BASE_S + 0.01 * n, safe=True) for n in range(40)]
    for count, expected in ((20, ["exposure"]), (3, [])):
        attempts = [attempt(f"c{n}", BASE_S + 0.01 * n + 0.005, build=trial) for n in range(count)]
        assert (
            violated_rules(requests=requests, attempts=attempts, changes=changes, stages=stages) == expected
        )


@pytest.mark.parametrize(
    ("process", "expected"),
    [
        (ProcessRecord("n0", 0.0, 1.0, 5.0, -1, False, None), ["crash"]),  # a signal not sent by the soak
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 1, False, 4.0), ["crash"]),
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 0, False, None), ["crash"]),  # exited without a signal
        (ProcessRecord("n0", 0.0, None, None, None, False, None), ["crash"]),  # never ready
        (ProcessRecord("n0", 0.0, 1.0, 5.0, 0, False, 4.0), []),
        (ProcessRecord("n0", 0.0, 1.0, 5.0, -9, True, None), []),
    ],
)
def test_process_that_ends_by_itself_or_never_becomes_ready_is_a_crash(process, expected):
    assert violated_rules(lives=[process]) == expected


def test_partial_request_without_error_or_close_is_lost():
    assert violated_rules(neglected=[(BASE_S, "n0")]) == ["lost"]
