from dataclasses import replace
from random import Random

import pytest
from conftest import build_entry, build_request, build_settings, build_stage_update

from myrtleroad import interface as i
from myrtleroad.membership.lease import LeaseTerms, ListLease
from myrtleroad.policy.balancer import Balancer
from myrtleroad.policy.state import Attempt


def ended(machine, end, number=0, took=50.0):
    return i.AttemptEnded(machine, number, end, took, None, False)


def test_errored_non_retriable_fails_at_once(balancer):
    gen = balancer.serve_request(build_request(route=2), 0.0)
    send = next(gen)
    assert gen.send((50.0, ended(send.server, i.Outcome.ERRORED))) == i.Fail()


def test_non_retriable_that_never_ran_goes_again(balancer):
    gen = balancer.serve_request(build_request(route=2), 0.0)
    send = next(gen)
    again = gen.send((50.0, ended(send.server, i.Outcome.NOT_CONNECTED)))
    assert isinstance(again, i.SendAttempt) and again.server != send.server


def test_deduped_stays_in_its_group_and_window(balancer):
    past = [(balancer.servers[0], Attempt(1, 0.0, 1.0, False, None, 1.0), True)]
    assert balancer.may_attempt(balancer.servers[1], build_request(route=1), 100.0, past)
    assert not balancer.may_attempt(balancer.servers[2], build_request(route=1), 100.0, past)
    assert not balancer.may_attempt(balancer.servers[1], build_request(route=1), 2600.0, past)
    assert balancer.shed_or_fail(build_request(route=1), past) == i.Fail()


def test_no_try_after_the_clients_own_time(balancer):
    gen = balancer.serve_request(build_request(ends_at=100.0), 0.0)
    send = next(gen)
    assert isinstance(gen.send((100.0, ended(send.server, i.Outcome.TIMEOUT))), i.Shed | i.Fail)


def test_draining_machine_gets_nothing(balancer):
    rows = [build_entry(n, status=i.ServerStatus.DRAINING) for n in (0, 1)]
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, rows), 0.0)
    assert next(balancer.serve_request(build_request(), 0.0)).server == 2


def test_empty_list_is_answered_at_once(balancer):
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.WHOLE, []), 0.0)
    assert isinstance(next(balancer.serve_request(build_request(), 0.0)), i.Shed)


def test_cold_machine_keeps_a_budget(balancer):
    balancer.update_server_list(
        i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(1, started=900.0)]), 900.0
    )
    cold, balancer.rate = balancer.servers[1], 0.1
    room = 2.0 * balancer.warmth(cold, 1000.0) * 0.1 * 2000.0
    cold.sent.append((950.0, room - 10.0))
    cold.luck, cold.luck_until = 1.0, 1e9
    assert balancer.cold_room(cold, 9.0, 1000.0)
    assert not balancer.cold_room(cold, 11.0, 1000.0)


def test_small_fronts_together_keep_a_cold_machines_budget():
    shares = []
    for seed in range(200):
        b = Balancer(build_settings(), seed, 0.0)
        b.update_server_list(i.ServerListUpdate(i.ListKind.WHOLE, [build_entry(0, started=900.0)]), 900.0)
        b.rate = 0.01  # room for a tenth of a try
        b.servers[0].luck, b.servers[0].luck_until = b.random(), 1e9
        shares.append(b.cold_room(b.servers[0], 10 * 2.0 * 0.3 * 0.01 * 2000.0, 900.0))
    assert 5 <= sum(shares) <= 40


def test_a_large_fleet_is_ranked_by_a_few_machines(balancer, monkeypatch):
    rows = [build_entry(n) for n in range(200)]
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.WHOLE, rows), 0.0)
    seen = []
    monkeypatch.setattr(balancer, "expected", lambda m, now: seen.append(m) or 1.0)
    assert balancer.best_server(False, build_request(), 0.0, []) is not None
    assert len(seen) <= balancer.SAMPLE


def test_the_only_fit_machine_of_a_large_fleet_is_found(balancer):
    rows = [build_entry(n) for n in range(200)]
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.WHOLE, rows), 0.0)
    for n in range(1, 200):
        balancer.servers[n].entry.status = i.ServerStatus.DRAINING
    assert balancer.best_server(False, build_request(), 0.0, []).entry.server == 0


def test_exposure_counts_tries_in_the_span(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.taken[0].extend([1000.0] * 6)
    balancer.trial_sent[0].extend([1000.0] * 3)
    assert balancer.exposure_room(build_request(), 2, 1500.0)
    balancer.trial_sent[0].append(1400.0)
    assert not balancer.exposure_room(build_request(), 2, 1500.0)


def test_unannounced_build_counts_as_first_stage(balancer):
    assert balancer.exposure_cap(5) == (0.1, 0)


def test_cap_zero_and_going_back_shut_the_build(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.GOING_BACK, cap=0.5), 0.0)
    balancer.taken[0].extend([0.0] * 50)
    assert not balancer.exposure_room(build_request(), 2, 0.0)


def test_vote_is_cast_once_and_renewed_before_it_lapses(balancer):
    vote = i.Vote(2, i.Verdict.ON, 0)
    assert balancer.cast(vote, 0.0) == [vote]
    balancer.update_stage(build_stage_update(2, 0, i.RolloutPhase.ON_TRIAL, cap=0.1, answers=True), 200.0)
    assert balancer.cast(vote, 1000.0) == []
    assert balancer.cast(vote, 5000.0) == [vote]


def leased(balancer, followed_at=0.0, lost_at=500.0, pushed=False):
    """A lease of this balancer's list: followed until a moment, then nobody confirms it."""
    settings = replace(balancer.settings, list_on_request=not pushed)
    balancer.lease = ListLease(LeaseTerms.from_settings(settings))
    balancer.lease.confirm(followed_at)
    balancer.lease.stream_lost(lost_at, was_silent=False)
    return balancer.lease


def serve_one(balancer, now, machine=None, end=i.Outcome.COMPLETED, connected_at=0.0, ident=1):
    """One request that is sent at ``now`` and ends 10 ms later; the machine that it went to."""
    act = next(balancer.serve_request(build_request(ident, ends_at=now + 2000.0), now))
    if not isinstance(act, i.SendAttempt):
        return None
    balancer.record_outcome(
        ident, i.AttemptEnded(act.server, 0, end, 10.0, None, True, connected_at), now + 10.0
    )
    return act.server


def test_a_list_that_nobody_confirms_is_acted_on_for_no_longer_than_changes_stay_untold(balancer):
    lease = leased(balancer)
    told = 6000.0 + 250.0  # from here on a send breaks the rule, and a front may be held for 150 ms before it
    assert all(balancer.may_send_to(m, told - 151.0) for m in balancer.servers.values())
    assert serve_one(balancer, told - 151.0) is not None
    for m in balancer.servers.values():
        m.served_at = -1e9
    assert serve_one(balancer, told - 149.0) is None
    lease.confirm(told)
    assert serve_one(balancer, told) is not None


def test_past_the_lease_only_machines_that_took_requests_lately_are_sent_to(balancer):
    leased(balancer)
    balancer.servers[1].served_at = 5000.0
    assert {serve_one(balancer, 7000.0, ident=n) for n in range(12)} == {1}
    assert serve_one(balancer, 7000.0 + 6200.0) is None  # and not for ever by one request


def test_a_request_served_over_a_connection_made_while_blind_says_nothing_of_the_listed_process(balancer):
    leased(balancer)
    first = serve_one(balancer, 5000.0, connected_at=4900.0)
    assert balancer.servers[first].served_at < 0
    again = serve_one(balancer, 5100.0, connected_at=400.0)
    assert balancer.servers[again].served_at == 5100.0


def test_past_the_lease_a_machine_that_turns_a_request_away_gets_no_other(balancer):
    leased(balancer)
    balancer.servers[1].served_at = 6000.0
    assert serve_one(balancer, 7000.0, end=i.Outcome.FULL) == 1
    assert [serve_one(balancer, now, ident=2) for now in (7100.0, 9500.0, 12000.0)] == [None] * 3


def test_blind_a_machine_that_turns_reqs_away_is_left_alone(balancer):
    leased(balancer)
    machine = serve_one(balancer, 1000.0, end=i.Outcome.FULL)
    assert balancer.servers[machine].ejected_until >= 3000.0
    assert all(serve_one(balancer, 1100.0, ident=n) != machine for n in range(2, 12))


def test_a_list_from_before_the_start_is_not_acted_on_until_one_is_read(balancer):
    balancer.lease = ListLease(LeaseTerms.from_settings(balancer.settings))
    assert serve_one(balancer, 10.0) is None
    balancer.lease.confirm(20.0)
    assert serve_one(balancer, 20.0) is not None


def test_where_lists_are_pushed_a_lost_watch_ends_the_lease_and_a_silent_agent_does_not(balancer):
    lease = leased(balancer, lost_at=500.0, pushed=True)
    assert lease.is_valid(599.0) and not lease.is_valid(601.0)
    lease.set_call_pending(True)  # an agent that leaves the call unanswered learns nothing either
    assert lease.is_valid(9000.0)


def test_past_the_lease_what_is_refused_may_come_back_at_a_time_that_is_told(balancer):
    leased(balancer)
    act = next(balancer.serve_request(build_request(), 7000.0))
    assert isinstance(act, i.Shed) and act.retry_after_ms > 0


def test_a_try_withdrawn_before_its_first_byte_costs_no_retry(balancer):
    balancer.spare_tries = 0.0
    life = balancer.serve_request(build_request(1), 0.0)
    act = next(life)
    ended = i.AttemptEnded(act.server, 0, i.Outcome.MOOT, 1.0, None, False)
    balancer.record_outcome(1, ended, 1.0)
    assert isinstance(life.send((1.0, ended)), i.SendAttempt)


def test_trial_tries_that_hang_do_not_close_the_door(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0)
    for n in range(9):
        balancer.servers[3].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 1.0)
    balancer.limit = 4.0
    balancer.regroup()
    assert isinstance(next(balancer.serve_request(build_request(), 0.0)), i.SendAttempt)


def test_what_is_not_seen_fades(balancer):
    shunned = balancer.servers[0]
    shunned.others, shunned.pace, shunned.faded = 10.0, 3.0, 1.0
    balancer.expected(shunned, 10_000.0)
    assert shunned.others < 0.1 and shunned.pace < 2.0


def test_a_key_answered_by_the_trial_build_goes_to_no_earlier_one(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.answered.add("k")
    assert not balancer.may_attempt(balancer.servers[0], build_request(key="k"), 0.0, [])
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.RELEASED), 0.0)
    assert not balancer.may_attempt(balancer.servers[0], build_request(key="k"), 0.0, [])
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.GOING_BACK), 0.0)
    assert balancer.may_attempt(balancer.servers[0], build_request(key="k"), 0.0, [])


def test_a_laden_trial_machine_waits(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.9), 0.0)
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0)
    balancer.taken[0].extend([0.0] * 50)
    balancer.credit = 2.0
    assert balancer.choose_server(build_request(), 0.0, []).entry.server == 3
    for n in range(3):
        balancer.servers[3].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 1.0)
    assert balancer.choose_server(build_request(), 0.0, []).entry.server != 3


def test_a_listed_build_is_judged_before_its_news(balancer):
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0)
    assert balancer.trial_test.build == 2


def test_a_try_one_span_ago_still_counts(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    balancer.taken[0].extend([1000.0] * 6)
    balancer.trial_sent[0].extend([500.0] + [1000.0] * 3)
    assert not balancer.exposure_room(build_request(), 2, 2500.0)


def test_a_moot_vote_on_tells_that_the_stage_is_over(balancer):
    balancer.update_stage(build_stage_update(2, 0, i.RolloutPhase.ON_TRIAL, cap=0.1), 0.0)
    balancer.cast(i.Vote(2, i.Verdict.ON, 0), 100.0)
    balancer.update_stage(build_stage_update(0, 0, end=i.Outcome.MOOT, answers=True), 5000.0)
    assert (balancer.stage, balancer.exposure_cap(2)) == (1, (0.1, 0))
    assert balancer.stage_at == balancer.trial_test.stage_age  # the stage we knew cannot have been shorter
    balancer.update_stage(build_stage_update(2, 0, i.RolloutPhase.ON_TRIAL, cap=0.1), 5100.0)
    assert balancer.stage == 1


def test_a_machine_that_answers_full_again_and_again_rests_longer(balancer):
    for n in range(4):
        balancer.servers[0].in_flight[n, 0] = Attempt(0, 0.0, 1.0, False, None, 2.0)
        balancer.record_outcome(n, ended(0, i.Outcome.FULL), 0.0)
    assert balancer.servers[0].ejected_until >= 2000.0


def test_the_window_of_reqs_empties_with_no_build_on_trial(balancer):
    balancer.taken[0].extend([0.0] * 50)
    balancer.wake(5000.0)
    assert not balancer.taken[0]


def test_refusing_is_logged_when_it_begins_and_ends(balancer):
    balancer.limit = 0.0
    next(balancer.serve_request(build_request(), 0.0))
    assert any("began" in a.text for a in balancer.wake(100.0) if isinstance(a, i.LogMessage))
    assert any("ended" in a.text for a in balancer.wake(1200.0) if isinstance(a, i.LogMessage))


def end(b, machine, how, number, took=50.0, route=0):
    """One more try on a machine comes to this end."""
    b.servers[machine].in_flight[number, 0] = Attempt(route, 0.0, 1.0, True, None, 2.0)
    b.open += 1
    b.record_outcome(number, ended(machine, how, took=took), took)


def test_what_all_machines_share_ejects_none(balancer):
    for n in range(40):
        end(balancer, n % 3, i.Outcome.ERRORED if n % 2 else i.Outcome.COMPLETED, n)
    assert not balancer.resting(balancer.servers.values(), 60.0)


def test_a_machine_that_fails_apart_rests(balancer):
    for n in range(4):
        end(balancer, 1, i.Outcome.ERRORED, n)
    assert balancer.servers[1].ejected_until > 2000.0


def test_a_time_out_within_the_objective_tells_nothing(balancer):
    for n in range(20):
        end(balancer, 0, i.Outcome.TIMEOUT, n, took=200.0)
    assert (balancer.servers[0].failing, sum(balancer.seen), len(balancer.trial_test.earlier)) == (
        0.0,
        0.0,
        0,
    )


def test_a_route_that_is_late_alone_counts_neither_for_judge_nor_limit(balancer):
    balancer.limit = 100.0
    for n in range(60):
        end(balancer, n % 3, i.Outcome.COMPLETED, n, took=1500.0 if n % 2 else 80.0, route=n % 2)
    samples = len(balancer.trial_test.earlier)
    balancer.adapt()
    end(balancer, 0, i.Outcome.COMPLETED, 99, took=1500.0, route=1)
    assert balancer.slow(1) and not balancer.slow(0)
    assert balancer.limit >= 100.0 and len(balancer.trial_test.earlier) == samples


def test_a_refused_connection_rests_the_machine_and_blames_nothing(balancer):
    end(balancer, 0, i.Outcome.NOT_CONNECTED, 1)
    assert balancer.servers[0].ejected_until > 1000.0
    assert balancer.servers[0].failing == 0.0 and not balancer.trial_test.earlier


def test_a_front_refused_connections_stays_with_those_it_has(balancer):
    balancer.squeeze = 0.5
    balancer.servers[0].linked = 4000.0
    assert balancer.expected(balancer.servers[0], 5000.0) * 5 < balancer.expected(balancer.servers[1], 5000.0)


def test_tries_that_could_not_connect_do_not_spend_the_budget(balancer):
    balancer.spare_tries = 0.0
    gen = balancer.serve_request(build_request(), 0.0)
    first = next(gen)
    assert isinstance(gen.send((50.0, ended(first.server, i.Outcome.NOT_CONNECTED))), i.SendAttempt)


def test_a_jam_seen_by_a_small_front_bounds_it(balancer):
    for n in range(3):
        end(balancer, n, i.Outcome.TIMEOUT, n, took=900.0)
    for _ in range(20):
        balancer.adapt()
    assert balancer.limit <= balancer.by_chance(6.0)  # two a machine


def reported(balancer, machine, load, ident, at=100.0):
    balancer.servers[machine].in_flight[ident, 0] = Attempt(0, 0.0, 1.0, True, None, 2.0)
    balancer.record_outcome(ident, i.AttemptEnded(machine, 0, i.Outcome.COMPLETED, 50.0, load, True), at)


def test_late_reports_of_our_own_tries_are_not_taken_for_others(balancer):
    # Guards against shunning machines: a late report still holds what we have had out there before.
    m = balancer.servers[0]
    for n in range(200):
        for k in range(4 if n % 2 else 0):
            m.in_flight[k, 1] = Attempt(0, 0.0, 1.0, True, None, 2.0)
        reported(balancer, 0, 0.0 if n % 2 else 4.0, 100 + n)  # told of the time before
        for k in range(4):
            m.in_flight.pop((k, 1), None)
    assert abs(m.others) < 0.5  # of 4 out; a clamp at 0 settles at 2


def test_a_machine_not_heard_of_is_taken_to_hold_what_machines_of_its_size_report():
    b = Balancer(build_settings(balancers=200, load_column=0), 7, 0.0)
    sized = [replace(build_entry(n), weight=3.0 + n % 2) for n in range(30)]
    b.update_server_list(i.ServerListUpdate(i.ListKind.WHOLE, sized), 0.0)
    for n in range(29):
        reported(b, n, 2.0 * sized[n].weight, 100.0 + n)
    for _ in range(5):
        for n in range(29):
            reported(b, n, 2.0 * sized[n].weight, 200.0 + n)
    m = b.servers[29]
    b.expected(m, 10_000.0)
    assert abs(m.others - 8.0) < 0.5


@pytest.mark.parametrize("held", [0.0, 2.0])
def test_fronts_that_know_no_machine_load_them_all_by_size(held):
    # Guards against what is harmless in one front: all prefer the large ones, which then have no room.
    sizes, loads = {n: 3.0 + n % 2 for n in range(100)}, dict.fromkeys(range(100), 0)
    for seed in range(300):
        b = Balancer(build_settings(balancers=300, load_column=0), seed, 0.0)
        b.update_stage(build_stage_update(), 0.0)
        b.update_server_list(
            i.ServerListUpdate(
                i.ListKind.WHOLE, [replace(build_entry(n), weight=w) for n, w in sizes.items()]
            ),
            0.0,
        )
        b.level = held
        for n in range(20):
            loads[b.best_server(False, build_request(n), 0.0, []).entry.server] += 1
    large = sum(n for m, n in loads.items() if sizes[m] == 4.0)
    assert abs(large / sum(loads.values()) - 4 / 7) < 0.04


def test_one_heavy_req_does_not_make_its_machine_slow_or_silent(balancer):
    m = balancer.servers[0]
    for n in range(60):
        reported(balancer, 0, None, 10 + n)
    pace = m.pace
    m.in_flight[2, 0] = Attempt(0, 100.0, 1.0, True, None, 2.0)
    balancer.record_outcome(2, i.AttemptEnded(0, 0, i.Outcome.COMPLETED, 5000.0, None, True), 5100.0)
    assert m.pace < pace + 0.15
    m.in_flight[3, 0], m.linked = Attempt(0, 5100.0, 1.0, True, None, 2.0), 9000.0
    answering = balancer.expected(m, 9001.0)
    m.linked = 5000.0
    assert balancer.expected(m, 9001.0) > 5 * answering


def test_while_refusing_a_repeat_that_can_only_be_late_goes_first(balancer):
    for _ in range(100):
        balancer.room(build_request(ends_at=2000.0), 0.0)
    balancer.limit = 10.0
    first, repeat = (
        balancer.room(build_request(ends_at=2000.0), 0.0),
        balancer.room(build_request(ends_at=900.0), 0.0),
    )
    assert repeat < 0.7 * first
    for _ in range(2000):  # clients that never bring more are all first asks
        balancer.room(build_request(ends_at=900.0), 0.0)
    assert balancer.room(build_request(ends_at=900.0), 0.0) > 0.9 * first


def test_a_shed_req_is_told_to_come_back_while_it_may_be_in_time(balancer):
    assert balancer.shed_or_fail(build_request(), []) == i.Shed(320.0)


def test_refused_reqs_earn_trial_tries_only_where_load_is_seen(balancer):
    balancer.part, balancer.credit, balancer.limit = 0.5, 0.0, 0.0
    next(balancer.serve_request(build_request(), 0.0))
    assert balancer.credit == 0.0
    balancer.mean_open = 10.0
    next(balancer.serve_request(build_request(), 0.0))
    assert balancer.credit == 0.5


def test_a_slow_route_is_kept_off_the_trial(balancer):
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.9), 0.0)
    balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(3, build=2)]), 0.0)
    balancer.taken[0].extend([0.0] * 50)
    balancer.credit, balancer.share = 2.0, [1.5, 0.2, 0.2]
    assert balancer.choose_server(build_request(), 0.0, []).entry.server != 3


def test_counts_of_no_tries_are_ignored(balancer):
    balancer.record_counts(i.AttemptCounts(9, 0, 0, 0, 0.0, 0.0), 0.0)
    assert not balancer.trial_test.told and not balancer.trial_test.counts.any()


@pytest.mark.parametrize(("counts", "busy"), [(0.0, [1.35, 1.175, 1.0, 1.0]), (2000.0, [1.35] * 4)])
def test_the_trials_extra_part_falls_with_the_strain_where_no_counts_come(counts, busy):
    b = Balancer(build_settings(roll={"counts_interval_ms": counts}), 7, 0.0)
    b.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=1.0), 0.0)
    b.update_server_list(
        i.ServerListUpdate(
            i.ListKind.WHOLE, [build_entry(0), build_entry(1), build_entry(2), build_entry(3, build=2)]
        ),
        0.0,
    )
    parts = []
    for strain in (0.0, b.TARGET / 2, b.TARGET, 2 * b.TARGET):
        b.strain = strain
        b.share_out(1000.0)
        parts.append(4 * b.part)  # the trial has a quarter of the machines
    assert parts == pytest.approx(busy)


def test_operators_narrow_tries_budget_and_the_trials_share(balancer):
    settings = balancer.settings
    routes = (replace(settings.routes[0], max_attempts=1, retry_budget=0.0), *settings.routes[1:])
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.ON_TRIAL, cap=0.5), 0.0)
    life = balancer.serve_request(
        build_request(1), 0.0
    )  # taken before: it sees the version before for its whole life
    first = next(life)
    balancer.narrow_settings(i.SettingsNarrowed(replace(settings, routes=routes), 0.2), 0.0)
    assert balancer.exposure_cap(2) == (0.2, 1) and balancer.exposure_cap(3)[0] == 0.1
    assert isinstance(life.send((1.0, ended(first.server, i.Outcome.NOT_CONNECTED))), i.SendAttempt)
    spare = balancer.spare_tries
    life = balancer.serve_request(build_request(2), 0.0)
    first = next(life)
    assert balancer.spare_tries == spare
    assert isinstance(life.send((1.0, ended(first.server, i.Outcome.NOT_CONNECTED))), i.Shed)
    balancer.update_stage(build_stage_update(2, 1, i.RolloutPhase.GOING_BACK, cap=0.0), 5.0)
    assert balancer.exposure_cap(2)[0] == 0.0


def fleet(fronts, machines, started=0.0, **changes):
    """Fronts of one fleet, each with the same list, of which the last ``started`` machines are new."""
    settings = build_settings(balancers=fronts, load_column=0, **changes)
    made = [Balancer(settings, seed, 0.0) for seed in range(fronts)]
    for b in made:
        b.update_stage(build_stage_update(), 0.0)
        b.update_server_list(
            i.ServerListUpdate(i.ListKind.WHOLE, [build_entry(n) for n in range(machines)]), 0.0
        )
    return made


def test_a_small_front_takes_a_few_late_answers_for_no_lasting_jam():
    b = fleet(200, 100)[0]
    for n in range(3):
        end(b, n, i.Outcome.TIMEOUT, n, took=900.0)
    b.limit, b.open, b.mean_open = 6.0, 2, 2.0  # two tries out all along
    for _ in range(20):
        b.adapt()
    assert isinstance(next(b.serve_request(build_request(9), 0.0)), i.SendAttempt)


def test_a_small_front_in_a_jam_is_bounded():
    b = fleet(200, 100)[0]
    for n in range(60):
        end(b, n, i.Outcome.TIMEOUT, n, took=900.0)
        b.adapt()
    assert b.limit <= b.by_chance(1.0)


@pytest.mark.parametrize(("fronts", "per_s"), [(200, 0.35), (20, 3.5)])
def test_a_tenant_within_its_share_is_not_over_it_by_chance(fronts, per_s):
    tenants = (i.Tenant(0.5, 0.5 * 200), i.Tenant(0.5, 0.5 * 200))
    b = Balancer(build_settings(balancers=fronts, tenants=tenants, over_share_benefit=0.2), 7, 0.0)
    chance, now, over = Random(3).expovariate, 0.0, 0
    for n in range(400):
        now += chance(per_s) * 1000
        over += b.worthy(replace(build_request(n), tenant=0), now) < 0.2
    assert over <= 40


def test_a_front_with_five_times_its_part_of_the_traffic_has_as_much_of_the_quota():
    tenants = (i.Tenant(1.0, 200.0),)
    b = Balancer(build_settings(balancers=200, tenants=tenants, over_share_benefit=0.2), 7, 0.0)
    over = 0
    for n in range(1000):  # five a second for 200 s
        now = 200.0 * n
        b.arrivals += 1
        if n % 5 == 4:
            b.learn_rate(now)
        over += n > 500 and b.worthy(replace(build_request(n), tenant=0), now) < 0.2
    assert over == 0


def test_a_machine_that_comes_back_cold_to_many_fronts_gets_its_part_and_no_more():
    made, sent = fleet(200, 60, roll={"counts_interval_ms": 0.0}), []
    for b in made:
        b.rate = 0.03  # each front's part of a machine's work in a window: 60 ms of 200 a try
        b.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [build_entry(9, started=1000.0)]), 1000.0)
    for tick in range(20):
        for b in made:
            now, rq = 1000.0 + 100 * tick + b.random(), build_request(tick)
            m = b.best_server(False, rq, now, [])
            b.sent(rq, m, 0, now)
            if m.entry.server == 9:
                sent.append(now)
                m.in_flight.clear()
    cost, warm = made[0].usual[0], 0.3 + 0.7 / 4  # the mean over the window
    part = warm * 200 * 0.03 * 2000 / cost
    assert 0.6 * part < len(sent) < 1.6 * part


@pytest.mark.parametrize(("price", "shakes"), [(0.0, 400), (0.08, 300)])
def test_a_front_with_few_reqs_keeps_to_connections_it_has_where_new_ones_are_priced(price, shakes):
    b, new = fleet(200, 100, handshake_cost=price, idle_timeout_ms=15_000.0)[0], 0
    for n in range(600):  # four a second
        now, rq = 250.0 * n, build_request(n, ends_at=1e9)
        m = b.best_server(False, rq, now, [])
        new += now - m.took > 13_000.0
        b.sent(rq, m, 0, now)
        b.record_outcome(
            n, i.AttemptEnded(m.entry.server, 0, i.Outcome.COMPLETED, 200.0, None, True), now + 200.0
        )
    assert new <= shakes and (price or new > 300)


def test_a_word_back_does_not_wait_for_its_turn():
    b = fleet(200, 20)[0]
    assert b.cast(i.Vote(2, i.Verdict.ON, 0), 1000.0)
    assert not b.cast(i.Vote(2, i.Verdict.ON, 1), 2000.0)  # ten a second from all of 200
    assert b.cast(i.Vote(2, i.Verdict.BACK, 1), 2000.0)
    b.update_stage(build_stage_update(end=i.Outcome.FULL, answers=True), 2100.0)
    assert not b.cast(i.Vote(2, i.Verdict.BACK, 1), 2200.0) and b.cast(i.Vote(2, i.Verdict.BACK, 1), 3700.0)
