"""Rules of the balancer: which server gets an attempt, retries, ejection, load shedding, exposure, votes."""

from dataclasses import replace
from random import Random

import pytest
from conftest import build_entry, build_request, build_settings, build_stage_update

from myrtleroad import interface
from myrtleroad.membership.lease import LeaseTerms, ListLease
from myrtleroad.policy.balancer import Balancer
from myrtleroad.policy.build_counts import RouteCounts
from myrtleroad.policy.state import Attempt


def attempt_ended(server, outcome, number=0, duration_ms=50.0):
    return interface.AttemptEnded(server, number, outcome, duration_ms, None, False)


def test_errored_non_retriable_request_fails_at_once(balancer):
    decisions = balancer.serve_request(build_request(route=2), 0.0)
    send = next(decisions)
    assert decisions.send((50.0, attempt_ended(send.server, interface.Outcome.ERRORED))) == interface.Fail()


def test_non_retriable_request_that_was_not_executed_is_sent_again(balancer):
    decisions = balancer.serve_request(build_request(route=2), 0.0)
    send = next(decisions)
    second = decisions.send((50.0, attempt_ended(send.server, interface.Outcome.NOT_CONNECTED)))
    assert isinstance(second, interface.SendAttempt) and second.server != send.server


def test_deduplicated_request_is_only_repeated_in_its_scope_and_window(balancer):
    past = [(balancer.servers[0], Attempt(1, 0.0, 1.0, False, None, 1.0), True)]
    assert balancer.may_attempt(balancer.servers[1], build_request(route=1), 100.0, past)
    assert not balancer.may_attempt(balancer.servers[2], build_request(route=1), 100.0, past)
    assert not balancer.may_attempt(balancer.servers[1], build_request(route=1), 2600.0, past)
    assert balancer.shed_or_fail(build_request(route=1), past) == interface.Fail()


def test_no_attempt_after_the_clients_deadline(balancer):
    decisions = balancer.serve_request(build_request(deadline=100.0), 0.0)
    send = next(decisions)
    assert isinstance(
        decisions.send((100.0, attempt_ended(send.server, interface.Outcome.TIMEOUT))),
        interface.Shed | interface.Fail,
    )


def test_draining_server_gets_no_requests(balancer):
    entries = [build_entry(n, status=interface.ServerStatus.DRAINING) for n in (0, 1)]
    balancer.update_server_list(interface.ServerListUpdate(interface.ListKind.CHANGES, entries), 0.0)
    assert next(balancer.serve_request(build_request(), 0.0)).server == 2


def test_empty_list_sheds_at_once(balancer):
    balancer.update_server_list(interface.ServerListUpdate(interface.ListKind.WHOLE, []), 0.0)
    assert isinstance(next(balancer.serve_request(build_request(), 0.0)), interface.Shed)


def test_cold_server_gets_no_more_than_its_budget(balancer):
    balancer.update_server_list(
        interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(1, started_at=900.0)]), 900.0
    )
    cold, balancer.completion_rate = balancer.servers[1], 0.1
    room = 2.0 * balancer.warmth(cold, 1000.0) * 0.1 * 2000.0
    cold.cold_attempts.append((950.0, room - 10.0))
    cold.rounding_draw, cold.draw_expires_at = 1.0, 1e9
    assert balancer.has_cold_budget(cold, 9.0, 1000.0)
    assert not balancer.has_cold_budget(cold, 11.0, 1000.0)


def test_small_fronts_together_keep_to_the_budget_of_a_cold_server():
    shares = []
    for seed in range(200):
        balancer = Balancer(build_settings(), seed, 0.0)
        balancer.update_server_list(
            interface.ServerListUpdate(interface.ListKind.WHOLE, [build_entry(0, started_at=900.0)]), 900.0
        )
        balancer.completion_rate = 0.01  # budget for a tenth of an attempt
        balancer.servers[0].rounding_draw, balancer.servers[0].draw_expires_at = balancer.random(), 1e9
        shares.append(balancer.has_cold_budget(balancer.servers[0], 10 * 2.0 * 0.3 * 0.01 * 2000.0, 900.0))
    assert 5 <= sum(shares) <= 40


def test_only_a_sample_of_a_large_fleet_is_compared(balancer, monkeypatch):
    entries = [build_entry(n) for n in range(200)]
    balancer.update_server_list(interface.ServerListUpdate(interface.ListKind.WHOLE, entries), 0.0)
    compared = []
    monkeypatch.setattr(balancer, "expected_cost", lambda server, now: compared.append(server) or 1.0)
    assert balancer.best_server(False, build_request(), 0.0, []) is not None
    assert len(compared) <= balancer.SAMPLE_SIZE


def test_the_only_usable_server_of_a_large_fleet_is_found(balancer):
    entries = [build_entry(n) for n in range(200)]
    balancer.update_server_list(interface.ServerListUpdate(interface.ListKind.WHOLE, entries), 0.0)
    for n in range(1, 200):
        balancer.servers[n].entry.status = interface.ServerStatus.DRAINING
    assert balancer.best_server(False, build_request(), 0.0, []).entry.server == 0


def test_exposure_counts_attempts_in_the_window(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.request_times[0].extend([1000.0] * 6)
    balancer.trial_attempt_times[0].extend([1000.0] * 3)
    assert balancer.has_exposure_room(build_request(), 2, 1500.0)
    balancer.trial_attempt_times[0].append(1400.0)
    assert not balancer.has_exposure_room(build_request(), 2, 1500.0)


def test_unannounced_build_has_the_cap_of_the_first_stage(balancer):
    assert balancer.exposure_cap(5) == (0.1, 0)


def test_build_that_goes_back_gets_no_attempts(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.GOING_BACK, cap=0.5), 0.0)
    balancer.request_times[0].extend([0.0] * 50)
    assert not balancer.has_exposure_room(build_request(), 2, 0.0)


def test_vote_is_cast_once_and_renewed_before_it_expires(balancer):
    vote = interface.Vote(2, interface.Verdict.ON, 0)
    assert balancer.cast_vote(vote, 0.0) == [vote]
    balancer.update_stage(
        build_stage_update(2, 0, interface.RolloutPhase.ON_TRIAL, cap=0.1, answers_vote=True), 200.0
    )
    assert balancer.cast_vote(vote, 1000.0) == []
    assert balancer.cast_vote(vote, 5000.0) == [vote]


def with_lease(balancer, followed_at=0.0, lost_at=500.0, pushed=False):
    """Give the balancer a lease on its server list: confirmed at ``followed_at``, lost at ``lost_at``."""
    settings = replace(balancer.settings, list_on_request=not pushed)
    balancer.lease = ListLease(LeaseTerms.from_settings(settings))
    balancer.lease.confirm(followed_at)
    balancer.lease.stream_lost(lost_at, was_silent=False)
    return balancer.lease


def serve_one(
    balancer, now, server=None, outcome=interface.Outcome.COMPLETED, connected_at=0.0, request_id=1
):
    """Send one request at ``now`` that ends 10 ms later. Returns its server, or None if it was shed."""
    action = next(balancer.serve_request(build_request(request_id, deadline=now + 2000.0), now))
    if not isinstance(action, interface.SendAttempt):
        return None
    balancer.record_outcome(
        request_id,
        interface.AttemptEnded(action.server, 0, outcome, 10.0, None, True, connected_at),
        now + 10.0,
    )
    return action.server


def test_unconfirmed_list_is_used_for_no_longer_than_changes_may_go_unnoticed(balancer):
    lease = with_lease(balancer)
    # From then on a send breaks the rule. A front may be suspended for 150 ms between its check and the send.
    unnoticed_ms = 6000.0 + 250.0
    assert all(balancer.may_send_to(server, unnoticed_ms - 151.0) for server in balancer.servers.values())
    assert serve_one(balancer, unnoticed_ms - 151.0) is not None
    for server in balancer.servers.values():
        server.served_at = -1e9
    assert serve_one(balancer, unnoticed_ms - 149.0) is None
    lease.confirm(unnoticed_ms)
    assert serve_one(balancer, unnoticed_ms) is not None


def test_after_the_lease_expires_only_servers_that_served_recently_get_requests(balancer):
    with_lease(balancer)
    balancer.servers[1].served_at = 5000.0
    assert {serve_one(balancer, 7000.0, request_id=n) for n in range(12)} == {1}
    assert serve_one(balancer, 7000.0 + 6200.0) is None  # one served request does not last for ever


def test_request_served_over_a_connection_made_while_blind_does_not_count(balancer):
    with_lease(balancer)
    first = serve_one(balancer, 5000.0, connected_at=4900.0)
    assert balancer.servers[first].served_at < 0
    second = serve_one(balancer, 5100.0, connected_at=400.0)
    assert balancer.servers[second].served_at == 5100.0


def test_after_the_lease_expires_a_server_that_rejects_a_request_gets_no_other(balancer):
    with_lease(balancer)
    balancer.servers[1].served_at = 6000.0
    assert serve_one(balancer, 7000.0, outcome=interface.Outcome.FULL) == 1
    assert [serve_one(balancer, now, request_id=2) for now in (7100.0, 9500.0, 12000.0)] == [None] * 3


def test_server_that_rejects_a_request_while_blind_is_ejected(balancer):
    with_lease(balancer)
    rejecting = serve_one(balancer, 1000.0, outcome=interface.Outcome.FULL)
    assert balancer.servers[rejecting].ejected_until >= 3000.0
    assert all(serve_one(balancer, 1100.0, request_id=n) != rejecting for n in range(2, 12))


def test_list_from_before_the_start_is_not_used_until_one_is_received(balancer):
    balancer.lease = ListLease(LeaseTerms.from_settings(balancer.settings))
    assert serve_one(balancer, 10.0) is None
    balancer.lease.confirm(20.0)
    assert serve_one(balancer, 20.0) is not None


def test_with_pushed_lists_a_lost_stream_ends_the_lease_and_a_silent_agent_does_not(balancer):
    lease = with_lease(balancer, lost_at=500.0, pushed=True)
    assert lease.is_valid(599.0) and not lease.is_valid(601.0)
    lease.set_call_pending(True)  # an agent that leaves the call unanswered gets no changes either
    assert lease.is_valid(9000.0)


def test_after_the_lease_expires_shed_requests_get_a_retry_after(balancer):
    with_lease(balancer)
    action = next(balancer.serve_request(build_request(), 7000.0))
    assert isinstance(action, interface.Shed) and action.retry_after_ms > 0


def test_attempt_withdrawn_before_its_first_byte_costs_no_retry_token(balancer):
    balancer.retry_tokens = 0.0
    decisions = balancer.serve_request(build_request(1), 0.0)
    action = next(decisions)
    ended = interface.AttemptEnded(action.server, 0, interface.Outcome.MOOT, 1.0, None, False)
    balancer.record_outcome(1, ended, 1.0)
    assert isinstance(decisions.send((1.0, ended)), interface.SendAttempt)


def test_attempts_that_hang_on_the_trial_build_do_not_stop_admission(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.update_server_list(
        interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0
    )
    for n in range(9):
        balancer.servers[3].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 1.0)
    balancer.in_flight_limit = 4.0
    balancer.rebuild_pools()
    assert isinstance(next(balancer.serve_request(build_request(), 0.0)), interface.SendAttempt)


def test_estimates_without_new_samples_decay(balancer):
    unused = balancer.servers[0]
    unused.other_load, unused.relative_latency, unused.decayed_at = 10.0, 3.0, 1.0
    balancer.expected_cost(unused, 10_000.0)
    assert unused.other_load < 0.1 and unused.relative_latency < 2.0


def test_key_answered_by_the_trial_build_goes_to_no_earlier_build(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.trial_answered_keys.add("k")
    assert not balancer.may_attempt(balancer.servers[0], build_request(dedup_key="k"), 0.0, [])
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.RELEASED), 0.0)
    assert not balancer.may_attempt(balancer.servers[0], build_request(dedup_key="k"), 0.0, [])
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.GOING_BACK), 0.0)
    assert balancer.may_attempt(balancer.servers[0], build_request(dedup_key="k"), 0.0, [])


def test_loaded_trial_server_gets_no_more_attempts(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.9), 0.0)
    balancer.update_server_list(
        interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0
    )
    balancer.request_times[0].extend([0.0] * 50)
    balancer.trial_credit = 2.0
    assert balancer.choose_server(build_request(), 0.0, []).entry.server == 3
    for n in range(3):
        balancer.servers[3].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 1.0)
    assert balancer.choose_server(build_request(), 0.0, []).entry.server != 3


def test_trial_starts_when_a_build_is_listed_before_its_stage_update(balancer):
    balancer.update_server_list(
        interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0
    )
    assert balancer.trial_test.build == 2


def test_attempt_exactly_one_window_ago_still_counts(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.request_times[0].extend([1000.0] * 6)
    balancer.trial_attempt_times[0].extend([500.0] + [1000.0] * 3)
    assert not balancer.has_exposure_room(build_request(), 2, 2500.0)


def test_moot_vote_to_advance_shows_that_the_stage_is_over(balancer):
    balancer.update_stage(build_stage_update(2, 0, interface.RolloutPhase.ON_TRIAL, cap=0.1), 0.0)
    balancer.cast_vote(interface.Vote(2, interface.Verdict.ON, 0), 100.0)
    balancer.update_stage(build_stage_update(0, 0, outcome=interface.Outcome.MOOT, answers_vote=True), 5000.0)
    assert (balancer.stage, balancer.exposure_cap(2)) == (1, (0.1, 0))
    # The stage that is over cannot have been shorter.
    assert balancer.stage_started_at == balancer.trial_test.stage_duration_ms
    balancer.update_stage(build_stage_update(2, 0, interface.RolloutPhase.ON_TRIAL, cap=0.1), 5100.0)
    assert balancer.stage == 1


def test_server_that_rejects_repeatedly_is_ejected(balancer):
    for n in range(4):
        balancer.servers[0].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 2.0)
        balancer.record_outcome(n, attempt_ended(0, interface.Outcome.FULL), 0.0)
    assert balancer.servers[0].ejected_until >= 2000.0


def test_request_window_is_pruned_without_a_build_on_trial(balancer):
    balancer.request_times[0].extend([0.0] * 50)
    balancer.wake(5000.0)
    assert not balancer.request_times[0]


def test_shedding_is_logged_when_it_begins_and_ends(balancer):
    balancer.in_flight_limit = 0.0
    next(balancer.serve_request(build_request(), 0.0))
    assert any("began" in a.text for a in balancer.wake(100.0) if isinstance(a, interface.LogMessage))
    assert any("ended" in a.text for a in balancer.wake(1200.0) if isinstance(a, interface.LogMessage))


def end_attempt(balancer, server, outcome, number, duration_ms=50.0, route=0):
    """Record one more attempt on a server, with this outcome."""
    balancer.servers[server].in_flight[number, 0] = Attempt(route, 0.0, 1.0, True, None, 2.0)
    balancer.in_flight += 1
    balancer.record_outcome(number, attempt_ended(server, outcome, duration_ms=duration_ms), duration_ms)


def test_failures_that_all_servers_share_eject_none(balancer):
    for n in range(40):
        end_attempt(balancer, n % 3, interface.Outcome.ERRORED if n % 2 else interface.Outcome.COMPLETED, n)
    assert not balancer.count_ejected(balancer.servers.values(), 60.0)


def test_single_failing_server_is_ejected(balancer):
    for n in range(4):
        end_attempt(balancer, 1, interface.Outcome.ERRORED, n)
    assert balancer.servers[1].ejected_until > 2000.0


def test_timeout_within_the_objective_counts_for_nothing(balancer):
    for n in range(20):
        end_attempt(balancer, 0, interface.Outcome.TIMEOUT, n, duration_ms=200.0)
    assert (
        balancer.servers[0].failure_rate,
        sum(balancer.recent_samples),
        len(balancer.trial_test.earlier),
    ) == (
        0.0,
        0.0,
        0,
    )


def test_route_that_alone_is_late_counts_neither_for_the_trial_nor_for_the_limit(balancer):
    balancer.in_flight_limit = 100.0
    for n in range(60):
        end_attempt(
            balancer,
            n % 3,
            interface.Outcome.COMPLETED,
            n,
            duration_ms=1500.0 if n % 2 else 80.0,
            route=n % 2,
        )
    samples = len(balancer.trial_test.earlier)
    balancer.adapt_limit()
    end_attempt(balancer, 0, interface.Outcome.COMPLETED, 99, duration_ms=1500.0, route=1)
    assert balancer.is_slow_route(1) and not balancer.is_slow_route(0)
    assert balancer.in_flight_limit >= 100.0 and len(balancer.trial_test.earlier) == samples


def test_refused_connection_ejects_the_server_and_is_no_failure(balancer):
    end_attempt(balancer, 0, interface.Outcome.NOT_CONNECTED, 1)
    assert balancer.servers[0].ejected_until > 1000.0
    assert balancer.servers[0].failure_rate == 0.0 and not balancer.trial_test.earlier


def test_front_whose_connections_are_refused_stays_with_connected_servers(balancer):
    balancer.connect_failure_rate = 0.5
    balancer.servers[0].last_connected_at = 4000.0
    assert balancer.expected_cost(balancer.servers[0], 5000.0) * 5 < balancer.expected_cost(
        balancer.servers[1], 5000.0
    )


def test_attempts_that_could_not_connect_cost_no_retry_token(balancer):
    balancer.retry_tokens = 0.0
    decisions = balancer.serve_request(build_request(), 0.0)
    first = next(decisions)
    assert isinstance(
        decisions.send((50.0, attempt_ended(first.server, interface.Outcome.NOT_CONNECTED))),
        interface.SendAttempt,
    )


def test_timeouts_lower_the_limit_of_a_small_front(balancer):
    for n in range(3):
        end_attempt(balancer, n, interface.Outcome.TIMEOUT, n, duration_ms=900.0)
    for _ in range(20):
        balancer.adapt_limit()
    assert balancer.in_flight_limit <= balancer.chance_bound(6.0)  # two on each server


def report_load(balancer, server, load, request_id, at=100.0):
    balancer.servers[server].in_flight[request_id, 0] = Attempt(0, 0.0, 1.0, True, None, 2.0)
    balancer.record_outcome(
        request_id, interface.AttemptEnded(server, 0, interface.Outcome.COMPLETED, 50.0, load, True), at
    )


def test_late_reports_of_own_attempts_are_not_counted_as_other_load(balancer):
    # Guards against avoiding servers for no reason: a late report still includes this front's own earlier
    # attempts.
    server = balancer.servers[0]
    for n in range(200):
        for k in range(4 if n % 2 else 0):
            server.in_flight[k, 1] = Attempt(0, 0.0, 1.0, True, None, 2.0)
        report_load(balancer, 0, 0.0 if n % 2 else 4.0, 100 + n)  # the load of the time before
        for k in range(4):
            server.in_flight.pop((k, 1), None)
    assert abs(server.other_load) < 0.5  # of 4 in flight; with a clamp at 0 it would settle at 2


def test_server_without_reports_is_assumed_to_hold_what_others_of_its_size_report():
    balancer = Balancer(build_settings(balancers=200, load_column=0), 7, 0.0)
    sized = [replace(build_entry(n), weight=3.0 + n % 2) for n in range(30)]
    balancer.update_server_list(interface.ServerListUpdate(interface.ListKind.WHOLE, sized), 0.0)
    for n in range(29):
        report_load(balancer, n, 2.0 * sized[n].weight, 100.0 + n)
    for _ in range(5):
        for n in range(29):
            report_load(balancer, n, 2.0 * sized[n].weight, 200.0 + n)
    server = balancer.servers[29]
    balancer.expected_cost(server, 10_000.0)
    assert abs(server.other_load - 8.0) < 0.5


@pytest.mark.parametrize("other_load", [0.0, 2.0])
def test_fronts_without_statistics_load_servers_by_size(other_load):
    # Guards against a preference that is harmless in one front: if all fronts prefer the large servers, these
    # have no room.
    sizes, loads = {n: 3.0 + n % 2 for n in range(100)}, dict.fromkeys(range(100), 0)
    for seed in range(300):
        balancer = Balancer(build_settings(balancers=300, load_column=0), seed, 0.0)
        balancer.update_stage(build_stage_update(), 0.0)
        balancer.update_server_list(
            interface.ServerListUpdate(
                interface.ListKind.WHOLE, [replace(build_entry(n), weight=w) for n, w in sizes.items()]
            ),
            0.0,
        )
        balancer.other_load_per_size = other_load
        for n in range(20):
            loads[balancer.best_server(False, build_request(n), 0.0, []).entry.server] += 1
    large = sum(count for server, count in loads.items() if sizes[server] == 4.0)
    assert abs(large / sum(loads.values()) - 4 / 7) < 0.04


def test_one_expensive_request_makes_its_server_neither_slow_nor_silent(balancer):
    server = balancer.servers[0]
    for n in range(60):
        report_load(balancer, 0, None, 10 + n)
    latency_before = server.relative_latency
    server.in_flight[2, 0] = Attempt(0, 100.0, 1.0, True, None, 2.0)
    balancer.record_outcome(
        2, interface.AttemptEnded(0, 0, interface.Outcome.COMPLETED, 5000.0, None, True), 5100.0
    )
    assert server.relative_latency < latency_before + 0.15
    server.in_flight[3, 0], server.last_connected_at = Attempt(0, 5100.0, 1.0, True, None, 2.0), 9000.0
    answering = balancer.expected_cost(server, 9001.0)
    server.last_connected_at = 5000.0
    assert balancer.expected_cost(server, 9001.0) > 5 * answering


def test_repeat_that_can_only_be_late_is_shed_first(balancer):
    for _ in range(100):
        balancer.admission_limit(build_request(deadline=2000.0), 0.0)
    balancer.in_flight_limit = 10.0
    first, repeat = (
        balancer.admission_limit(build_request(deadline=2000.0), 0.0),
        balancer.admission_limit(build_request(deadline=900.0), 0.0),
    )
    assert repeat < 0.7 * first
    for _ in range(2000):  # clients that never bring a longer deadline send first requests only
        balancer.admission_limit(build_request(deadline=900.0), 0.0)
    assert balancer.admission_limit(build_request(deadline=900.0), 0.0) > 0.9 * first


def test_retry_after_of_a_shed_request_leaves_time_to_meet_the_objective(balancer):
    assert balancer.shed_or_fail(build_request(), []) == interface.Shed(320.0)


def test_shed_requests_add_trial_credit_only_where_load_is_visible(balancer):
    balancer.trial_credit_per_request, balancer.trial_credit, balancer.in_flight_limit = 0.5, 0.0, 0.0
    next(balancer.serve_request(build_request(), 0.0))
    assert balancer.trial_credit == 0.0
    balancer.mean_in_flight = 10.0
    next(balancer.serve_request(build_request(), 0.0))
    assert balancer.trial_credit == 0.5


def test_slow_route_is_not_sent_to_the_trial_build(balancer):
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.9), 0.0)
    balancer.update_server_list(
        interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0
    )
    balancer.request_times[0].extend([0.0] * 50)
    balancer.trial_credit, balancer.latency_ratio = 2.0, [1.5, 0.2, 0.2]
    assert balancer.choose_server(build_request(), 0.0, []).entry.server != 3


def test_counts_of_no_attempts_are_ignored(balancer):
    balancer.record_counts(interface.AttemptCounts(9, 0, 0, 0, 0.0, 0.0), 0.0)
    kept = balancer.trial_test.build_counts
    assert not balancer.trial_test.has_new_counts
    assert all(x == RouteCounts() for side in (kept.trial, kept.earlier, kept.before) for x in side)


@pytest.mark.parametrize(("counts", "expected"), [(0.0, [1.35, 1.175, 1.0, 1.0]), (2000.0, [1.35] * 4)])
def test_extra_share_of_the_trial_falls_with_load_where_no_counts_are_sent(counts, expected):
    balancer = Balancer(build_settings(rollout={"counts_interval_ms": counts}), 7, 0.0)
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=1.0), 0.0)
    balancer.update_server_list(
        interface.ServerListUpdate(
            interface.ListKind.WHOLE,
            [build_entry(0), build_entry(1), build_entry(2), build_entry(3, build=2)],
        ),
        0.0,
    )
    shares = []
    for ratio in (0.0, balancer.TARGET_RATIO / 2, balancer.TARGET_RATIO, 2 * balancer.TARGET_RATIO):
        balancer.mean_latency_ratio = ratio
        balancer.update_trial_credit(1000.0)
        shares.append(4 * balancer.trial_credit_per_request)  # the trial has a quarter of the servers
    assert shares == pytest.approx(expected)


def test_operators_limit_attempts_retry_budget_and_the_share_of_the_trial(balancer):
    settings = balancer.settings
    routes = (replace(settings.routes[0], max_attempts=1, retry_budget=0.0), *settings.routes[1:])
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    # Keeps the settings that were valid when the request arrived.
    decisions = balancer.serve_request(build_request(1), 0.0)
    first = next(decisions)
    balancer.narrow_settings(interface.SettingsNarrowed(replace(settings, routes=routes), 0.2), 0.0)
    assert balancer.exposure_cap(2) == (0.2, 1) and balancer.exposure_cap(3)[0] == 0.1
    assert isinstance(
        decisions.send((1.0, attempt_ended(first.server, interface.Outcome.NOT_CONNECTED))),
        interface.SendAttempt,
    )
    tokens_before = balancer.retry_tokens
    decisions = balancer.serve_request(build_request(2), 0.0)
    first = next(decisions)
    assert balancer.retry_tokens == tokens_before
    assert isinstance(
        decisions.send((1.0, attempt_ended(first.server, interface.Outcome.NOT_CONNECTED))), interface.Shed
    )
    balancer.update_stage(build_stage_update(2, 1, interface.RolloutPhase.GOING_BACK, cap=0.0), 5.0)
    assert balancer.exposure_cap(2)[0] == 0.0


def build_fleet(fronts, servers, started_at=0.0, **changes):
    """Balancers of one fleet, all with the same list of servers."""
    settings = build_settings(balancers=fronts, load_column=0, **changes)
    balancers = [Balancer(settings, seed, 0.0) for seed in range(fronts)]
    for balancer in balancers:
        balancer.update_stage(build_stage_update(), 0.0)
        balancer.update_server_list(
            interface.ServerListUpdate(interface.ListKind.WHOLE, [build_entry(n) for n in range(servers)]),
            0.0,
        )
    return balancers


def test_few_late_responses_do_not_block_a_small_front():
    balancer = build_fleet(200, 100)[0]
    for n in range(3):
        end_attempt(balancer, n, interface.Outcome.TIMEOUT, n, duration_ms=900.0)
    # Two attempts in flight at all times.
    balancer.in_flight_limit, balancer.in_flight, balancer.mean_in_flight = 6.0, 2, 2.0
    for _ in range(20):
        balancer.adapt_limit()
    assert isinstance(next(balancer.serve_request(build_request(9), 0.0)), interface.SendAttempt)


def test_small_front_under_overload_is_limited():
    balancer = build_fleet(200, 100)[0]
    for n in range(60):
        end_attempt(balancer, n, interface.Outcome.TIMEOUT, n, duration_ms=900.0)
        balancer.adapt_limit()
    assert balancer.in_flight_limit <= balancer.chance_bound(1.0)


@pytest.mark.parametrize(("fronts", "per_s"), [(200, 0.35), (20, 3.5)])
def test_tenant_within_its_share_does_not_exceed_it_by_chance(fronts, per_s):
    tenants = (interface.Tenant(0.5, 0.5 * 200), interface.Tenant(0.5, 0.5 * 200))
    balancer = Balancer(build_settings(balancers=fronts, tenants=tenants, over_share_benefit=0.2), 7, 0.0)
    draw_interval, now, over = Random(3).expovariate, 0.0, 0
    for n in range(400):
        now += draw_interval(per_s) * 1000
        over += balancer.relative_benefit(replace(build_request(n), tenant=0), now) < 0.2
    assert over <= 40


def test_front_with_five_times_its_share_of_traffic_gets_as_much_of_the_quota():
    tenants = (interface.Tenant(1.0, 200.0),)
    balancer = Balancer(build_settings(balancers=200, tenants=tenants, over_share_benefit=0.2), 7, 0.0)
    over = 0
    for n in range(1000):  # five a second for 200 s
        now = 200.0 * n
        balancer.new_requests += 1
        if n % 5 == 4:
            balancer.update_rates(now)
        over += n > 500 and balancer.relative_benefit(replace(build_request(n), tenant=0), now) < 0.2
    assert over == 0


def test_restarted_server_gets_its_share_from_many_fronts_and_no_more():
    balancers, sent = build_fleet(200, 60, rollout={"counts_interval_ms": 0.0}), []
    for balancer in balancers:
        # Each front's share of a server in a window: 60 ms. An attempt takes 200.
        balancer.completion_rate = 0.03
        balancer.update_server_list(
            interface.ServerListUpdate(interface.ListKind.CHANGES, [build_entry(9, started_at=1000.0)]),
            1000.0,
        )
    for tick in range(20):
        for balancer in balancers:
            now, request = 1000.0 + 100 * tick + balancer.random(), build_request(tick)
            server = balancer.best_server(False, request, now, [])
            balancer.register_attempt(request, server, 0, now)
            if server.entry.server == 9:
                sent.append(now)
                server.in_flight.clear()
    cost, warm = balancers[0].mean_latency_ms[0], 0.3 + 0.7 / 4  # the mean over the window
    expected_count = warm * 200 * 0.03 * 2000 / cost
    assert 0.6 * expected_count < len(sent) < 1.6 * expected_count


@pytest.mark.parametrize(("handshake_cost", "most_new"), [(0.0, 400), (0.08, 300)])
def test_front_with_few_requests_reuses_connections_where_new_ones_are_priced(handshake_cost, most_new):
    balancer, new = build_fleet(200, 100, handshake_cost=handshake_cost, idle_timeout_ms=15_000.0)[0], 0
    for n in range(600):  # four a second
        now, request = 250.0 * n, build_request(n, deadline=1e9)
        server = balancer.best_server(False, request, now, [])
        new += now - server.accepted_at > 13_000.0
        balancer.register_attempt(request, server, 0, now)
        balancer.record_outcome(
            n,
            interface.AttemptEnded(server.entry.server, 0, interface.Outcome.COMPLETED, 200.0, None, True),
            now + 200.0,
        )
    assert new <= most_new and (handshake_cost or new > 300)


def test_vote_to_roll_back_does_not_wait_for_its_turn():
    balancer = build_fleet(200, 20)[0]
    assert balancer.cast_vote(interface.Vote(2, interface.Verdict.ON, 0), 1000.0)
    assert not balancer.cast_vote(
        interface.Vote(2, interface.Verdict.ON, 1), 2000.0
    )  # ten a second from all of 200
    assert balancer.cast_vote(interface.Vote(2, interface.Verdict.BACK, 1), 2000.0)
    balancer.update_stage(build_stage_update(outcome=interface.Outcome.FULL, answers_vote=True), 2100.0)
    assert not balancer.cast_vote(
        interface.Vote(2, interface.Verdict.BACK, 1), 2200.0
    ) and balancer.cast_vote(interface.Vote(2, interface.Verdict.BACK, 1), 3700.0)
