"""Following the fleet: pauses, streams, whose word holds; small state spaces are walked whole."""

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

MANNER = FollowerSettings(
    front_count=3, drain_grace_ms=250.0, heartbeat_interval_ms=2000.0, max_poll_interval_ms=10000.0
)


def following(chance=lambda: 0.5):
    f = StreamFollower(MANNER, chance, 0.0)
    assert f.start(0.0) == [OpenStream(0)] and f.start(0.0) == []
    return f


def fresh(now=10.0):
    f = following()
    assert f.message_received(0, now) == [FreshnessChanged(ListFreshness.FRESH, now, "told")]
    return f


# --- how soon to ask ---


@pytest.mark.parametrize("fronts", [1, 3, 20, 200, 1000])
def test_after_a_stream_that_stood_the_window_is_never_spent_on_waiting(fronts):
    a = CallBackoff(FollowerSettings(fronts, 250.0, 2000.0), lambda: 0.999)
    assert a.next_pause_ms(5000.0) <= 250.0 / 4


@pytest.mark.parametrize("fronts", [1, 20, 200])
def test_while_a_service_fails_all_fronts_together_do_not_press_on_it(fronts):
    random, asks = Random(5).random, 0
    for _ in range(fronts):
        a, at = CallBackoff(FollowerSettings(fronts, 250.0, 2000.0, 60000.0), random), 0.0
        while (at := at + a.next_pause_ms(None)) < 60000.0:
            asks += at > 20000.0
    assert asks / 40 < 1.3 * a.MAX_CALLS_PER_S


def test_a_stream_that_tells_and_drops_at_once_counts_as_one_that_fails():
    a = CallBackoff(MANNER, lambda: 0.999)
    assert [round(a.next_pause_ms(1.0)) for _ in range(4)] == [125, 250, 500, 500] and a.next_pause_ms(
        2000.0
    ) < 10.0
    assert a.failures == 0


def test_a_long_failure_never_pauses_for_longer_than_the_settings_let_a_front_not_ask():
    a = CallBackoff(FollowerSettings(1000, 250.0, 2000.0, 3000.0), lambda: 0.999)
    assert max(a.next_pause_ms(None) for _ in range(50)) <= 3000.0


# --- streams ---


def test_a_reset_is_asked_again_at_once_and_a_move_meanwhile_does_not_wait():
    f = fresh()
    assert f.stream_ended(0, 5000.0, "reset") == [FreshnessChanged(ListFreshness.BLIND, 10.0, "reset")]
    assert 5000.0 <= f.due() <= 5010.0
    assert f.address_changed(5000.5) == [OpenStream(1)] and f.source == 1
    assert f.tick(5004.0) == []  # the pause that the reset began is void
    assert f.message_received(1, 5006.0) == [FreshnessChanged(ListFreshness.FRESH, 5006.0, "told")]


def test_a_service_that_refuses_for_two_seconds_is_asked_some_times_and_then_had():
    f, now, asks = fresh(), 5000.0, 0
    f.stream_ended(0, now, "reset")
    while now < 7000.0:
        now = f.due()
        for act in f.tick(now):
            if isinstance(act, OpenStream):
                asks += 1
                f.stream_ended(act.stream, now, "refused")
    assert 5 <= asks <= 20 and f.due() - now <= 500.0


def test_a_silent_stream_gets_another_beside_it_and_both_are_read():
    f = fresh()
    assert f.due() == 10.0 + 1.3 * 2000.0
    assert f.tick(f.due()) == [FreshnessChanged(ListFreshness.DOUBTFUL, 10.0, "silent"), OpenStream(1)]
    assert f.tick(f.due() - 1) == []
    assert f.message_received(1, 2700.0) == [
        CloseStream(0, "another one tells"),
        FreshnessChanged(ListFreshness.FRESH, 2700.0, "told"),
    ]


def test_one_beside_that_fails_is_paced_and_the_old_may_speak_again():
    f = fresh()
    f.tick(f.due())
    assert f.stream_ended(1, 2650.0, "refused") == [] and f.next_open_at is not None and f.due() > 2650.0
    assert (
        f.bytes_received(0, 2660.0) == [FreshnessChanged(ListFreshness.FRESH, 2660.0, "heard again")]
        and f.next_open_at is None
    )


def test_a_stream_silent_for_two_signs_is_given_up():
    f = fresh()
    f.tick(f.due())
    f.stream_ended(1, 2650.0, "refused")
    acts = []
    while not any(isinstance(a, CloseStream) for a in acts):
        acts = f.tick(f.due())
        for act in acts:
            if isinstance(act, OpenStream):
                f.stream_ended(act.stream, f.due(), "refused")
    assert acts[0] == CloseStream(0, "silent") and f.freshness == ListFreshness.BLIND and f.due() < 4600.0


def test_one_that_connects_and_says_nothing_is_given_up_and_asked_again():
    f = following()
    assert f.tick(f.due()) == [CloseStream(0, "silent")] and f.due() < 3000.0


def test_a_left_source_is_read_until_the_new_one_tells_and_not_for_ever():
    f = fresh()
    assert f.address_changed(1000.0) == [OpenStream(1)]
    assert f.address_changed(1100.0) == [
        CloseStream(1, "left"),
        OpenStream(2),
    ]  # of a row of moves only what told is read
    f.bytes_received(0, 6000.0)
    f.bytes_received(2, 1200.0)  # it speaks, and what it tells is behind
    f.bytes_received(2, 6000.0)
    assert CloseStream(0, "silent") in f.tick(1100.0 + f.OLD_SOURCE_READ_MS)


def walk(f, now, depth, seen):
    """Every order of a few events, to a depth; the invariants hold after each."""
    check(f, now)
    if depth == 0:
        return
    events = [("address_changed",), ("tick",), ("wait",)]
    events += [
        (name, n) for n in f.streams for name in ("bytes_received", "message_received", "stream_ended")
    ]
    for event in events:
        g, at = copy.deepcopy(f), now + 1.0
        if event == ("tick",):
            at = max(at, g.due())
            acts = g.tick(at)
        elif event == ("wait",):
            at += 2700.0
            acts = g.tick(at)
        elif event == ("address_changed",):
            acts = g.address_changed(at)
        elif event[0] == "stream_ended":
            acts = g.stream_ended(event[1], at, "reset")
        else:
            acts = getattr(g, event[0])(event[1], at)
        for act in acts:
            if isinstance(act, OpenStream):
                assert act.stream not in seen  # a number is never used twice
            if isinstance(act, CloseStream):
                assert act.stream not in g.streams
        walk(g, at, depth - 1, seen | {a.stream for a in acts if isinstance(a, OpenStream)})


def check(f, now):
    mine = [s for s in f.streams.values() if s.source == f.source]
    assert mine or f.next_open_at is not None, "nobody is asked and nobody will be"
    assert len(f.streams) <= 4 and f.due() < float("inf")
    telling = [s for s in f.streams.values() if s.first_message_at is not None]
    assert (f.freshness == ListFreshness.BLIND) == (not telling)
    assert f.age_ms(now) >= 0.0


def test_no_order_of_events_leaves_a_follower_that_nobody_tells():
    f = StreamFollower(MANNER, fixed, 0.0)
    f.start(0.0)
    walk(f, 0.0, 5, {0})


def fixed():
    return 0.5


# --- whose word holds ---


def entry(rank, start=0):
    return (rank, start)


def book(**known):
    b = ServerList(lambda e: e[0], lambda a, b: a[1] == b[1])
    b.load_initial(7, {w: entry(Restriction.NONE) for w in known})
    return b


OPEN, CLOSING, AWAY = entry(Restriction.NONE), entry(Restriction.DRAINING), entry(Restriction.GONE)


def test_an_older_list_of_another_source_may_close_and_never_open():
    b = book(a=1, b=1)
    b.apply_message(ListMessage(0, 9, False, {"a": CLOSING}), True)
    change = b.apply_message(ListMessage(1, 8, True, {"a": OPEN, "b": CLOSING, "c": OPEN}), False)
    assert change.entries == {"b": CLOSING} and not change.whole and b.version == 9
    assert b.source_ended(0).entries == {"a": OPEN, "b": CLOSING, "c": OPEN}  # alone, it has its word
    assert b.source == 1 and b.source_ended(0) is None


def test_what_a_source_behind_tells_in_pieces_holds_together_once_it_stands_alone():
    b = book(a=1)
    assert b.apply_message(ListMessage(1, 5, True, {"a": OPEN, "b": OPEN}), False) is None
    assert b.apply_message(ListMessage(1, 6, False, {"b": AWAY, "c": OPEN}), False) is None
    assert b.source_ended(0).entries == {"a": OPEN, "c": OPEN}


def test_numbers_that_go_back_without_a_whole_list_close_at_most_and_ask_for_one():
    b = book(a=1, b=1)
    change = b.apply_message(ListMessage(0, 3, False, {"a": CLOSING, "c": OPEN}), True)
    assert (
        change.entries == {"a": CLOSING} and change.refetch_reason == "numbers went back" and b.version == 3
    )
    assert b.apply_fetched(ListMessage(0, 2, True, {})).refetch_reason  # made before the last change
    assert b.apply_fetched(ListMessage(0, 3, True, {"c": OPEN})).entries == {"c": OPEN}
    assert b.apply_fetched(ListMessage(1, 9, True, {})) is None  # of another source


def test_a_gap_is_seen_where_numbers_are_consecutive():
    b = book(a=1)
    b.consecutive_versions = True
    assert not b.apply_message(ListMessage(0, 8, False, {}), True).refetch_reason
    assert b.apply_message(ListMessage(0, 10, False, {"a": CLOSING}), True).refetch_reason == "a gap"


def test_an_unclear_entry_shuts_its_machine_until_a_list_says_more():
    b = book(a=1, b=1)
    change = b.apply_message(ListMessage(0, 8, False, {}, ["a", None]), True)
    assert change.blocked == ["a"] and change.refetch_reason == "unclear entries"
    whole = b.apply_message(ListMessage(0, 9, True, {"b": OPEN}, ["a"]), True)
    assert set(whole.entries) == {"a", "b"} and whole.blocked == ["a"]  # unread is not gone
    assert b.apply_message(ListMessage(0, 10, False, {"a": OPEN}), True).blocked == [] and not b.blocked


class Fleet:
    """A truth that only goes forward: machines open, close, go, and return as another start."""

    def __init__(self):
        self.history = [(1, {"a": OPEN, "b": OPEN})]

    def at(self, version):
        state = {}
        for v, change in self.history:
            if v <= version:
                state |= change
        return {w: e for w, e in state.items() if e[0] != Restriction.GONE}

    def change(self, word):
        version, now = len(self.history) + 1, self.at(len(self.history))
        last = max((e[1] for _, c in self.history for w, e in c.items() if w == word), default=0)
        after = {None: entry(Restriction.NONE, last + 1), Restriction.NONE: entry(Restriction.DRAINING, last)}
        state = now[word][0] if word in now else None
        self.history.append((version, {word: after.get(state, entry(Restriction.GONE, last))}))

    def said(self, source, after, upto, whole):
        if whole:
            return ListMessage(source, upto, True, self.at(upto))
        entries = {}
        for v, change in self.history:
            if after < v <= upto:
                entries |= change
        return ListMessage(source, upto, False, entries)


def apply(view, change):
    if change is None:
        return view
    view = dict(change.entries) if change.whole else view | change.entries
    view |= {w: entry(Restriction.DRAINING, view[w][1]) for w in change.blocked if w in view}
    return {w: e for w, e in view.items() if e[0] != Restriction.GONE}


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
def test_two_sources_behind_each_other_never_open_what_was_closed_and_agree_at_the_end(steps):
    fleet, b = Fleet(), book()
    view = apply({}, b.apply_message(fleet.said(0, 0, 1, True), True))
    b.version, told, old_stands = 1, {0: 1, 1: 0}, True
    shut: set[tuple[str, int]] = set()
    for what, word, whole, behind in steps:
        head = len(fleet.history)
        if what == "change":
            fleet.change(word)
            continue
        if what == "end":
            if old_stands:
                old_stands = False
                view = apply(view, b.source_ended(0))
                shut = set()  # the one that is left has its word, and it may be behind
            continue
        source = 1 if what == "new" else 0
        if source == 0 and not (old_stands and b.source == 0):
            continue
        upto = max(told[source], head - behind)
        whole = whole or told[source] == 0
        said = fleet.said(source, told[source], upto, whole)
        told[source] = upto
        view = apply(view, b.apply_message(said, source == 1 and not old_stands))
        shut |= {
            (w, e[1]) for w, e in said.entries.items() if e[0] != Restriction.NONE and view.get(w, e) == e
        }
        assert not any(e[0] == Restriction.NONE and (w, e[1]) in shut for w, e in view.items())
    view = apply(view, b.source_ended(0))
    view = apply(view, b.apply_message(fleet.said(1, told[1], len(fleet.history), told[1] == 0), True))
    assert view == fleet.at(len(fleet.history))


# --- a shared service that is full ---

SHARED = FollowerSettings(200, 250.0, 2000.0, 10000.0, ServiceKind.SHARED)


def test_a_storm_of_calls_on_a_full_service_falls_under_one_call_a_front_in_eight_seconds():
    random, asks, fronts = Random(5).random, 0, 200
    for _ in range(fronts):
        a, at = CallBackoff(SHARED, random), 0.0
        while (
            at := at + a.next_pause_ms(None) + 2000.0
        ) < 100000.0:  # a call waits for two seconds and fails
            asks += at > 20000.0
    assert asks / 80 <= fronts / 8


def test_after_the_first_call_that_a_full_service_fails_half_a_wait_at_least_goes_by():
    assert CallBackoff(SHARED, lambda: 0.0).next_pause_ms(None) == 1000.0


def test_a_watch_broken_off_soon_or_a_connection_refused_is_no_sign_of_a_full_service():
    a = CallBackoff(SHARED, lambda: 0.999)
    assert a.next_pause_ms(10.0) < 550.0
    a = CallBackoff(SHARED, lambda: 0.999)
    assert a.next_pause_ms(None, connected=False) < 550.0


# --- the lease ---

ASKED, PUSHED = LeaseTerms(6100.0, 6100.0, False), LeaseTerms(100.0, 6100.0, True)


def test_a_watch_that_has_fallen_silent_is_believed_for_no_longer_than_its_changes_stay_untold():
    for terms in (ASKED, PUSHED):
        lease = ListLease(terms)
        lease.confirm(1000.0)
        assert lease.is_valid(7099.0) and not lease.is_valid(7101.0)


def test_connections_made_after_a_watch_fell_silent_are_not_covered():
    for was_silent, covered in ((True, False), (False, True)):
        lease = ListLease(ASKED)
        lease.confirm(1000.0)
        lease.stream_lost(4000.0, was_silent)
        assert (
            lease.covers_connection(900.0)
            and lease.covers_connection(3000.0) == covered
            and not lease.covers_connection(4001.0)
        )


def test_a_follower_tells_its_lease_what_stands_and_what_waits():
    f = following()
    f.lease = ListLease(PUSHED)
    f.message_received(0, 10.0)
    assert f.lease.has_stream and not f.lease.has_pending_call and f.lease.confirmed_at == 10.0
    f.stream_ended(0, 900.0, "reset")
    assert not f.lease.has_stream and f.lease.covered_until == 900.0
    f.tick(f.due())
    assert f.lease.has_pending_call and f.lease.is_valid(5000.0)


def test_after_a_move_the_old_watch_is_believed_for_no_longer_than_four_seconds():
    f = following()
    f.lease = ListLease(LeaseTerms(6100.0, 6100.0, False, 100.0))
    f.message_received(0, 10.0)
    f.address_changed(1000.0)
    f.address_changed(3000.0)  # a second one does not put it off
    f.message_received(0, 5000.0)  # the old address goes on telling
    assert f.lease.is_valid(5099.0) and not f.lease.is_valid(5101.0)
    assert f.lease.allows_sending(5101.0, 5050.0) and not f.lease.allows_sending(5101.0, 4900.0)
    f.message_received(max(f.streams), 5200.0)
    assert f.lease.is_valid(5200.0)


def test_a_front_begins_with_a_list_or_after_a_while_without():
    lease = ListLease(ASKED)
    assert not lease.may_start(4999.0, 0.0) and lease.may_start(5000.0, 0.0)
    lease.confirm(10.0)
    assert lease.may_start(10.0, 0.0)


# --- starts, and a wall clock that is wrong ---

HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("wrong", [0.0, -HOUR_MS, HOUR_MS, 5000.0, -5000.0])
def test_a_start_that_comes_on_a_watch_is_young_whatever_the_wall_clock_says(wrong):
    clock, started = StartClock(), 1e12
    told = started + 800.0 + wrong  # by the front's clock; news took 0.8 s
    clock.observe(started, told, watched=True)
    age = told + 1000.0 + clock.offset_ms() - started
    assert 1000.0 <= age <= 1800.0


def test_a_list_that_comes_late_once_does_not_make_older_starts_younger():
    clock = StartClock()
    clock.observe(1e12, 1e12 + 500.0, watched=True)
    clock.observe(1e12, 1e12 + 9000.0, watched=True)
    assert clock.offset_ms() == 0.0


def test_starts_of_a_whole_list_say_only_that_the_clock_is_not_behind_them():
    clock = StartClock()
    clock.observe(1e12, 1e12 + HOUR_MS, watched=False)
    assert clock.offset_ms() == 0.0
    clock.observe(1e12, 1e12 - HOUR_MS, watched=False)
    assert clock.offset_ms() == HOUR_MS
