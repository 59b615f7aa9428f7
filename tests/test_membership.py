"""Membership: call backoff, streams, the server list, its lease and the start clock.

Small state spaces are explored exhaustively."""

import copy
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtleroad.interface import ListFreshness
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings, ServiceKind
from myrtleroad.membership.lease import LeaseTerms, ListLease
from myrtleroad.membership.server_list import ListMessage, Restriction, ServerList
from myrtleroad.membership.start_clock import StartClock
from myrtleroad.membership.stream_follower import CloseStream, FreshnessChanged, OpenStream, StreamFollower

SETTINGS = FollowerSettings(
    front_count=3, drain_grace_ms=250.0, heartbeat_interval_ms=2000.0, max_poll_interval_ms=10000.0
)


def started_follower(random=lambda: 0.5):
    follower = StreamFollower(SETTINGS, random, 0.0)
    assert follower.start(0.0) == [OpenStream(0)] and follower.start(0.0) == []
    return follower


def fresh_follower(now=10.0):
    follower = started_follower()
    assert follower.message_received(0, now) == [FreshnessChanged(ListFreshness.FRESH, now, "told")]
    return follower


# --- call backoff ---


@pytest.mark.parametrize("fronts", [1, 3, 20, 200, 1000])
def test_pause_after_a_stable_stream_uses_at_most_a_quarter_of_the_drain_grace(fronts):
    backoff = CallBackoff(FollowerSettings(fronts, 250.0, 2000.0), lambda: 0.999)
    assert backoff.next_pause_ms(5000.0) <= 250.0 / 4


@pytest.mark.parametrize("fronts", [1, 20, 200])
def test_all_fronts_together_stay_near_the_target_call_rate_while_a_service_fails(fronts):
    random, calls = Random(5).random, 0
    for _ in range(fronts):
        backoff, now = CallBackoff(FollowerSettings(fronts, 250.0, 2000.0, 60000.0), random), 0.0
        while (now := now + backoff.next_pause_ms(None)) < 60000.0:
            calls += now > 20000.0
    assert calls / 40 < 1.3 * backoff.MAX_CALLS_PER_S


def test_a_stream_that_delivers_data_and_ends_at_once_counts_as_failed():
    backoff = CallBackoff(SETTINGS, lambda: 0.999)
    assert [round(backoff.next_pause_ms(1.0)) for _ in range(4)] == [
        125,
        250,
        500,
        500,
    ] and backoff.next_pause_ms(2000.0) < 10.0
    assert backoff.failures == 0


def test_pause_never_exceeds_the_longest_call_interval_of_the_settings():
    backoff = CallBackoff(FollowerSettings(1000, 250.0, 2000.0, 3000.0), lambda: 0.999)
    assert max(backoff.next_pause_ms(None) for _ in range(50)) <= 3000.0


# --- streams ---


def test_a_reset_stream_is_reopened_at_once_and_an_address_change_skips_the_pause():
    follower = fresh_follower()
    assert follower.stream_ended(0, 5000.0, "reset") == [FreshnessChanged(ListFreshness.BLIND, 10.0, "reset")]
    assert 5000.0 <= follower.due() <= 5010.0
    assert follower.address_changed(5000.5) == [OpenStream(1)] and follower.source == 1
    assert follower.tick(5004.0) == []  # the pause after the reset is cancelled
    assert follower.message_received(1, 5006.0) == [FreshnessChanged(ListFreshness.FRESH, 5006.0, "told")]


def test_calls_to_a_refusing_service_are_few_and_at_most_half_a_second_apart():
    follower, now, calls = fresh_follower(), 5000.0, 0
    follower.stream_ended(0, now, "reset")
    while now < 7000.0:
        now = follower.due()
        for action in follower.tick(now):
            if isinstance(action, OpenStream):
                calls += 1
                follower.stream_ended(action.stream, now, "refused")
    assert 5 <= calls <= 20 and follower.due() - now <= 500.0


def test_a_second_stream_is_opened_beside_a_silent_one_and_both_are_read():
    follower = fresh_follower()
    assert follower.due() == 10.0 + 1.3 * 2000.0
    assert follower.tick(follower.due()) == [
        FreshnessChanged(ListFreshness.DOUBTFUL, 10.0, "silent"),
        OpenStream(1),
    ]
    assert follower.tick(follower.due() - 1) == []
    assert follower.message_received(1, 2700.0) == [
        CloseStream(0, "superseded by a newer stream"),
        FreshnessChanged(ListFreshness.FRESH, 2700.0, "told"),
    ]


def test_a_failed_second_stream_is_retried_after_a_pause_unless_the_first_recovers():
    follower = fresh_follower()
    follower.tick(follower.due())
    assert (
        follower.stream_ended(1, 2650.0, "refused") == []
        and follower.next_open_at is not None
        and follower.due() > 2650.0
    )
    assert (
        follower.bytes_received(0, 2660.0)
        == [FreshnessChanged(ListFreshness.FRESH, 2660.0, "bytes received again")]
        and follower.next_open_at is None
    )


def test_a_stream_that_misses_two_heartbeats_is_closed():
    follower = fresh_follower()
    follower.tick(follower.due())
    follower.stream_ended(1, 2650.0, "refused")
    actions = []
    while not any(isinstance(action, CloseStream) for action in actions):
        actions = follower.tick(follower.due())
        for action in actions:
            if isinstance(action, OpenStream):
                follower.stream_ended(action.stream, follower.due(), "refused")
    assert (
        actions[0] == CloseStream(0, "silent")
        and follower.freshness == ListFreshness.BLIND
        and follower.due() < 4600.0
    )


def test_a_stream_without_a_first_message_is_closed_and_reopened():
    follower = started_follower()
    assert follower.tick(follower.due()) == [CloseStream(0, "silent")] and follower.due() < 3000.0


def test_a_previous_source_is_read_for_a_bounded_time_after_the_new_one_has_sent_bytes():
    follower = fresh_follower()
    assert follower.address_changed(1000.0) == [OpenStream(1)]
    # After several changes of address, only the stream that has delivered a message is kept.
    assert follower.address_changed(1100.0) == [CloseStream(1, "left"), OpenStream(2)]
    follower.bytes_received(0, 6000.0)
    follower.bytes_received(2, 1200.0)  # the new source sends bytes, but its list is behind
    follower.bytes_received(2, 6000.0)
    assert CloseStream(0, "silent") in follower.tick(1100.0 + follower.OLD_SOURCE_READ_MS)


def explore(follower, now, depth, opened):
    """Applies every sequence of a few events up to the depth and checks the invariants after each event."""
    check_invariants(follower, now)
    if depth == 0:
        return
    events = [("address_changed",), ("tick",), ("wait",)]
    events += [
        (name, number)
        for number in follower.streams
        for name in ("bytes_received", "message_received", "stream_ended")
    ]
    for event in events:
        successor, at = copy.deepcopy(follower), now + 1.0
        if event == ("tick",):
            at = max(at, successor.due())
            actions = successor.tick(at)
        elif event == ("wait",):
            at += 2700.0
            actions = successor.tick(at)
        elif event == ("address_changed",):
            actions = successor.address_changed(at)
        elif event[0] == "stream_ended":
            actions = successor.stream_ended(event[1], at, "reset")
        else:
            actions = getattr(successor, event[0])(event[1], at)
        for action in actions:
            if isinstance(action, OpenStream):
                assert action.stream not in opened  # a number is never used twice
            if isinstance(action, CloseStream):
                assert action.stream not in successor.streams
        explore(
            successor,
            at,
            depth - 1,
            opened | {action.stream for action in actions if isinstance(action, OpenStream)},
        )


def check_invariants(follower, now):
    current = [state for state in follower.streams.values() if state.source == follower.source]
    assert current or follower.next_open_at is not None, "no stream is open and none is scheduled"
    assert len(follower.streams) <= 4 and follower.due() < float("inf")
    established = [state for state in follower.streams.values() if state.first_message_at is not None]
    assert (follower.freshness == ListFreshness.BLIND) == (not established)
    assert follower.age_ms(now) >= 0.0


def test_after_any_sequence_of_events_a_stream_is_open_or_scheduled():
    follower = StreamFollower(SETTINGS, fixed_random, 0.0)
    follower.start(0.0)
    explore(follower, 0.0, 5, {0})


def fixed_random():
    return 0.5


# --- the server list ---


def make_entry(restriction, start=0):
    return (restriction, start)


def initial_list(**known):
    servers = ServerList(lambda entry: entry[0], lambda a, b: a[1] == b[1])
    servers.load_initial(7, {server_id: make_entry(Restriction.NONE) for server_id in known})
    return servers


OPEN, DRAINING, GONE = (
    make_entry(Restriction.NONE),
    make_entry(Restriction.DRAINING),
    make_entry(Restriction.GONE),
)


def test_an_older_list_of_another_source_may_restrict_servers_and_never_opens_them():
    servers = initial_list(a=1, b=1)
    servers.apply_message(ListMessage(0, 9, False, {"a": DRAINING}), True)
    change = servers.apply_message(ListMessage(1, 8, True, {"a": OPEN, "b": DRAINING, "c": OPEN}), False)
    assert change.entries == {"b": DRAINING} and not change.whole and servers.version == 9
    # Once it is the only source, its whole list applies.
    assert servers.source_ended(0).entries == {"a": OPEN, "b": DRAINING, "c": OPEN}
    assert servers.source == 1 and servers.source_ended(0) is None


def test_changes_of_a_source_that_is_behind_are_merged_until_it_is_the_only_one():
    servers = initial_list(a=1)
    assert servers.apply_message(ListMessage(1, 5, True, {"a": OPEN, "b": OPEN}), False) is None
    assert servers.apply_message(ListMessage(1, 6, False, {"b": GONE, "c": OPEN}), False) is None
    assert servers.source_ended(0).entries == {"a": OPEN, "c": OPEN}


def test_changes_with_a_lower_version_only_restrict_and_request_the_whole_list():
    servers = initial_list(a=1, b=1)
    change = servers.apply_message(ListMessage(0, 3, False, {"a": DRAINING, "c": OPEN}), True)
    assert (
        change.entries == {"a": DRAINING}
        and change.refetch_reason == "versions went back"
        and servers.version == 3
    )
    assert servers.apply_fetched(ListMessage(0, 2, True, {})).refetch_reason  # made before the last change
    assert servers.apply_fetched(ListMessage(0, 3, True, {"c": OPEN})).entries == {"c": OPEN}
    assert servers.apply_fetched(ListMessage(1, 9, True, {})) is None  # of another source


def test_a_version_gap_requests_the_whole_list_if_versions_are_consecutive():
    servers = initial_list(a=1)
    servers.consecutive_versions = True
    assert not servers.apply_message(ListMessage(0, 8, False, {}), True).refetch_reason
    assert (
        servers.apply_message(ListMessage(0, 10, False, {"a": DRAINING}), True).refetch_reason
        == "version gap"
    )


def test_an_unreadable_entry_blocks_its_server_until_a_readable_one_arrives():
    servers = initial_list(a=1, b=1)
    change = servers.apply_message(ListMessage(0, 8, False, {}, ["a", None]), True)
    assert change.blocked == ["a"] and change.refetch_reason == "unreadable entries"
    whole = servers.apply_message(ListMessage(0, 9, True, {"b": OPEN}, ["a"]), True)
    assert set(whole.entries) == {"a", "b"} and whole.blocked == ["a"]  # an unreadable entry isn't a removal
    assert (
        servers.apply_message(ListMessage(0, 10, False, {"a": OPEN}), True).blocked == []
        and not servers.blocked
    )


class FleetHistory:
    """The true history of the fleet: servers open, drain, go, and return as another start."""

    def __init__(self):
        self.changes = [(1, {"a": OPEN, "b": OPEN})]

    def state_at(self, version):
        state = {}
        for changed_version, change in self.changes:
            if changed_version <= version:
                state |= change
        return {server_id: entry for server_id, entry in state.items() if entry[0] != Restriction.GONE}

    def advance(self, server_id):
        version, now = len(self.changes) + 1, self.state_at(len(self.changes))
        last_start = max(
            (
                entry[1]
                for _, change in self.changes
                for changed_id, entry in change.items()
                if changed_id == server_id
            ),
            default=0,
        )
        successors = {
            None: make_entry(Restriction.NONE, last_start + 1),
            Restriction.NONE: make_entry(Restriction.DRAINING, last_start),
        }
        restriction = now[server_id][0] if server_id in now else None
        self.changes.append(
            (version, {server_id: successors.get(restriction, make_entry(Restriction.GONE, last_start))})
        )

    def message(self, source, after, up_to, whole):
        if whole:
            return ListMessage(source, up_to, True, self.state_at(up_to))
        entries = {}
        for version, change in self.changes:
            if after < version <= up_to:
                entries |= change
        return ListMessage(source, up_to, False, entries)


def applied(view, change):
    """A front's view of the fleet after the change."""
    if change is None:
        return view
    view = dict(change.entries) if change.whole else view | change.entries
    view |= {
        server_id: make_entry(Restriction.DRAINING, view[server_id][1])
        for server_id in change.blocked
        if server_id in view
    }
    return {server_id: entry for server_id, entry in view.items() if entry[0] != Restriction.GONE}


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["change", "old", "new", "end"]),
        st.sampled_from("abc"),
        st.booleans(),
        st.integers(0, 3),
    ),
    max_size=25,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_two_sources_that_lag_each_other_never_reopen_a_server_and_converge(steps):
    fleet, servers = FleetHistory(), initial_list()
    view = applied({}, servers.apply_message(fleet.message(0, 0, 1, True), True))
    servers.version, sent, old_source_open = 1, {0: 1, 1: 0}, True
    restricted: set[tuple[str, int]] = set()
    for step, server_id, whole, lag in steps:
        newest = len(fleet.changes)
        if step == "change":
            fleet.advance(server_id)
            continue
        if step == "end":
            if old_source_open:
                old_source_open = False
                view = applied(view, servers.source_ended(0))
                restricted = set()  # the remaining source applies as it is, and it may be behind
            continue
        source = 1 if step == "new" else 0
        if source == 0 and not (old_source_open and servers.source == 0):
            continue
        up_to = max(sent[source], newest - lag)
        whole = whole or sent[source] == 0
        message = fleet.message(source, sent[source], up_to, whole)
        sent[source] = up_to
        view = applied(view, servers.apply_message(message, source == 1 and not old_source_open))
        restricted |= {
            (changed_id, entry[1])
            for changed_id, entry in message.entries.items()
            if entry[0] != Restriction.NONE and view.get(changed_id, entry) == entry
        }
        assert not any(
            entry[0] == Restriction.NONE and (listed_id, entry[1]) in restricted
            for listed_id, entry in view.items()
        )
    view = applied(view, servers.source_ended(0))
    view = applied(
        view, servers.apply_message(fleet.message(1, sent[1], len(fleet.changes), sent[1] == 0), True)
    )
    assert view == fleet.state_at(len(fleet.changes))


# --- a shared service that is full ---

SHARED = FollowerSettings(200, 250.0, 2000.0, 10000.0, ServiceKind.SHARED)


def test_calls_to_a_full_service_fall_below_one_call_a_front_in_eight_seconds():
    random, calls, fronts = Random(5).random, 0, 200
    for _ in range(fronts):
        backoff, now = CallBackoff(SHARED, random), 0.0
        # Each call waits for two seconds and fails.
        while (now := now + backoff.next_pause_ms(None) + 2000.0) < 100000.0:
            calls += now > 20000.0
    assert calls / 80 <= fronts / 8


def test_pause_after_the_first_failed_call_to_a_full_service_is_at_least_half_the_span():
    assert CallBackoff(SHARED, lambda: 0.0).next_pause_ms(None) == 1000.0


def test_a_short_watch_or_a_refused_connection_does_not_count_as_a_full_service():
    backoff = CallBackoff(SHARED, lambda: 0.999)
    assert backoff.next_pause_ms(10.0) < 550.0
    backoff = CallBackoff(SHARED, lambda: 0.999)
    assert backoff.next_pause_ms(None, connected=False) < 550.0


# --- the lease ---

ON_REQUEST, PUSHED = LeaseTerms(6100.0, 6100.0, False), LeaseTerms(100.0, 6100.0, True)


def test_a_silent_watch_keeps_the_lease_only_until_its_changes_count_as_notified():
    for terms in (ON_REQUEST, PUSHED):
        lease = ListLease(terms)
        lease.confirm(1000.0)
        assert lease.is_valid(7099.0) and not lease.is_valid(7101.0)


def test_connections_made_after_a_watch_fell_silent_are_not_covered():
    for was_silent, covered in ((True, False), (False, True)):
        lease = ListLease(ON_REQUEST)
        lease.confirm(1000.0)
        lease.stream_lost(4000.0, was_silent)
        assert (
            lease.covers_connection(900.0)
            and lease.covers_connection(3000.0) == covered
            and not lease.covers_connection(4001.0)
        )


def test_a_follower_updates_its_lease_with_open_streams_and_pending_calls():
    follower = started_follower()
    follower.lease = ListLease(PUSHED)
    follower.message_received(0, 10.0)
    assert (
        follower.lease.has_stream
        and not follower.lease.has_pending_call
        and follower.lease.confirmed_at == 10.0
    )
    follower.stream_ended(0, 900.0, "reset")
    assert not follower.lease.has_stream and follower.lease.covered_until == 900.0
    follower.tick(follower.due())
    assert follower.lease.has_pending_call and follower.lease.is_valid(5000.0)


def test_after_an_address_change_the_old_watch_keeps_the_lease_for_at_most_four_seconds():
    follower = started_follower()
    follower.lease = ListLease(LeaseTerms(6100.0, 6100.0, False, 100.0))
    follower.message_received(0, 10.0)
    follower.address_changed(1000.0)
    follower.address_changed(3000.0)  # a second change does not extend the deadline
    follower.message_received(0, 5000.0)  # the old address goes on sending
    assert follower.lease.is_valid(5099.0) and not follower.lease.is_valid(5101.0)
    assert follower.lease.allows_sending(5101.0, 5050.0) and not follower.lease.allows_sending(5101.0, 4900.0)
    follower.message_received(max(follower.streams), 5200.0)
    assert follower.lease.is_valid(5200.0)


def test_a_front_starts_with_a_valid_list_or_without_one_after_a_while():
    lease = ListLease(ON_REQUEST)
    assert not lease.may_start(4999.0, 0.0) and lease.may_start(5000.0, 0.0)
    lease.confirm(10.0)
    assert lease.may_start(10.0, 0.0)


# --- server starts with a wrong wall clock ---

HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("clock_error_ms", [0.0, -HOUR_MS, HOUR_MS, 5000.0, -5000.0])
def test_a_start_received_on_a_watch_is_recent_whatever_the_wall_clock_shows(clock_error_ms):
    clock, started_at = StartClock(), 1e12
    received_at = started_at + 800.0 + clock_error_ms  # by the front's clock; delivery took 0.8 s
    clock.observe(started_at, received_at, watched=True)
    age_ms = received_at + 1000.0 + clock.offset_ms() - started_at
    assert 1000.0 <= age_ms <= 1800.0


def test_one_delayed_list_does_not_make_earlier_starts_appear_more_recent():
    clock = StartClock()
    clock.observe(1e12, 1e12 + 500.0, watched=True)
    clock.observe(1e12, 1e12 + 9000.0, watched=True)
    assert clock.offset_ms() == 0.0


def test_starts_of_a_whole_list_only_show_that_the_clock_is_not_behind_them():
    clock = StartClock()
    clock.observe(1e12, 1e12 + HOUR_MS, watched=False)
    assert clock.offset_ms() == 0.0
    clock.observe(1e12, 1e12 - HOUR_MS, watched=False)
    assert clock.offset_ms() == HOUR_MS
