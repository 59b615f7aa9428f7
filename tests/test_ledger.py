"""The ledger of versions: whatever order offers, drops and confirmations come in, a good version is in force
and each offer has one final answer."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from myrtleroad.config.frames import Frame, FrameDecoder, FrameError, encode_frame
from myrtleroad.config.ledger import (
    ApplyVersion,
    CheckOffer,
    HeldVersion,
    Ledger,
    Offer,
    OfferAnswer,
    ReportRollback,
    VersionId,
    VersionState,
)


def offer(number, nonce=None, epoch=1, digest=None, stream=0, confirm=None):
    version = VersionId(epoch, number)
    return Offer(stream, number if nonce is None else nonce, version, digest or f"d{epoch}.{number}", confirm)


def ledger(*streams):
    found = Ledger()
    for s in streams or (0,):
        found.stream_opened(s)
    return found


def put(found, o, now=0.0):
    """An offer that keeps its rules, to its answer."""
    acts = found.offer_received(o)
    if acts == [CheckOffer(o)]:
        assert found.check_finished(o.nonce, o.stream) == [ApplyVersion(o.version)]
        acts = found.apply_finished(o.version, now)
    return acts


def codes(acts):
    return [(a.nonce, a.code if not a.acked else "acked") for a in acts if isinstance(a, OfferAnswer)]


def test_out_of_order_repeated_and_other_content():
    found = ledger()
    got = [
        codes(put(found, o)) for o in (offer(3), offer(5), offer(4), offer(4, 40, digest="x"), offer(5, 50))
    ]
    assert got == [[(3, "acked")], [(5, "acked")], [(4, "older")], [(40, "older")], [(50, "acked")]]
    assert codes(put(found, offer(5, 51, digest="x"))) == [(51, "other-content")]
    assert found.in_force.version == VersionId(1, 5)


def test_of_those_that_come_in_one_read_the_newest_counts_and_each_is_answered():
    found, acts = ledger(), []
    offers = [offer(3), offer(5), offer(4), offer(4, 40, digest="x"), offer(5, 50)]
    for o in offers:
        acts += found.offer_received(o)
    acts += found.check_finished(5, 0) + found.apply_finished(VersionId(1, 5), 0.0)
    assert sorted(n for n, _ in codes(acts)) == [3, 4, 5, 40, 50]
    assert dict(codes(acts))[5] == "acked" and found.in_force.version == VersionId(1, 5)


def test_ten_thousand_versions_in_one_read_leave_the_newest_and_a_flat_memory():
    found, answered = ledger(), 0
    for n in range(1, 10_001):
        answered += len(codes(found.offer_received(offer(n))))
    answered += len(codes(found.check_finished(10_000, 0) + found.apply_finished(VersionId(1, 10_000), 0.0)))
    assert (
        answered == 10_000 and found.in_force.version.number == 10_000 and len(found.past) <= found.MAX_PAST
    )


def test_an_answer_lost_in_a_reset_is_given_again_and_nothing_is_applied_twice():
    found = ledger()
    put(found, offer(1))
    found.stream_closed(0)
    found.stream_opened(1)
    assert found.offer_received(offer(1, 9, stream=1)) == [OfferAnswer(1, 9, VersionId(1, 1), True)]


def test_a_stream_dropped_in_mid_apply_owes_nothing_and_the_version_holds():
    found = ledger()
    found.offer_received(offer(1))
    found.check_finished(1, 0)
    found.stream_closed(0)
    found.stream_opened(1)
    assert found.offer_received(offer(1, 7, stream=1)) == []  # the same again, on the new stream
    assert codes(found.apply_finished(VersionId(1, 1), 0.0)) == [
        (7, "acked")
    ] and found.in_force.version == VersionId(1, 1)


def test_a_refused_one_leaves_the_last_good_and_may_come_back_mended_under_a_new_number():
    found = ledger()
    put(found, offer(1))
    found.offer_received(offer(2))
    assert codes(found.check_finished(2, 0, "widens", "too much")) == [(2, "widens")]
    assert found.in_force.version == VersionId(1, 1) and codes(put(found, offer(3))) == [(3, "acked")]


def test_an_apply_that_fails_leaves_all_as_it_was():
    found = ledger()
    put(found, offer(1))
    found.offer_received(offer(2))
    found.check_finished(2, 0)
    assert codes(found.apply_finished(VersionId(1, 2), 0.0, "no memory")) == [(2, "apply")]
    assert found.in_force.version == VersionId(1, 1) and codes(put(found, offer(2, 9))) == [
        (9, "rolled-back")
    ]


def test_a_version_not_confirmed_goes_back_by_itself_also_over_several():
    found = ledger()
    put(found, offer(1))
    put(found, offer(2, confirm=1000.0), now=0.0)
    put(found, offer(3, confirm=1000.0), now=500.0)  # on top of one that is not confirmed
    assert (
        found.next_deadline() == 1500.0
        and found.tick(1499.0) == []
        and not found.confirm_received(VersionId(1, 2))
    )
    assert found.tick(1500.0) == [
        ApplyVersion(VersionId(1, 1)),
        ReportRollback(VersionId(1, 3), VersionId(1, 1), "not confirmed in time"),
    ]
    assert found.in_force.version == VersionId(1, 1) and codes(put(found, offer(3, 30))) == [
        (30, "rolled-back")
    ]
    assert codes(put(found, offer(4, confirm=1000.0), now=2000.0)) == [(4, "acked")]
    assert (
        found.confirm_received(VersionId(1, 4))
        and found.tick(9000.0) == []
        and found.last_good.version == VersionId(1, 4)
    )


def test_a_new_epoch_begins_its_numbers_anew_and_an_old_one_is_over():
    found = ledger(0, 1)
    put(found, offer(50))
    assert codes(put(found, offer(1, epoch=2, stream=1))) == [(1, "acked")]
    assert codes(put(found, offer(51, epoch=1))) == [(51, "old-epoch")]


def test_a_restarted_front_goes_on_from_its_last_good_version():
    found = Ledger(HeldVersion(VersionId(2, 7), "d2.7", VersionState.CONFIRMED), VersionId(2, 9))
    found.stream_opened(0)
    assert found.in_force.version == VersionId(2, 7) and codes(put(found, offer(8, epoch=2))) == [
        (8, "older")
    ]
    assert codes(put(found, offer(9, epoch=2))) == [(9, "older")]  # it was in force, and is not any more
    assert codes(put(found, offer(7, epoch=2))) == [(7, "acked")]


class Orders(RuleBasedStateMachine):
    """Any order of offers, checks, applies, drops, confirmations and time."""

    def __init__(self):
        super().__init__()
        self.found, self.now, self.nonce, self.stream = Ledger(), 0.0, 0, 0
        self.found.stream_opened(0)
        self.owed, self.good, self.todo = {}, {VersionId(0, 0)}, []
        self.was = VersionId(0, 0)

    def do(self, acts):
        for act in acts:
            match act:
                case OfferAnswer():
                    assert self.owed.pop((act.stream, act.nonce)) == act.version, "answered twice or unasked"
                    if act.acked:
                        assert act.version == self.found.in_force.version or act.version in self.good
                case CheckOffer() | ApplyVersion():
                    self.todo.append(act)
                case ReportRollback():
                    assert act.version not in (self.found.in_force.version,)

    @rule(number=st.integers(1, 6), epoch=st.integers(1, 2), other=st.booleans(), confirm=st.booleans())
    def offer(self, number, epoch, other, confirm):
        self.nonce += 1
        digest = "other" if other else f"{epoch}.{number}"
        o = Offer(self.stream, self.nonce, VersionId(epoch, number), digest, 5.0 if confirm else None)
        self.owed[self.stream, self.nonce] = o.version
        self.do(self.found.offer_received(o))

    @precondition(lambda self: self.todo)
    @rule(fine=st.booleans())
    def work(self, fine):
        act = self.todo.pop(0)
        if isinstance(act, CheckOffer):
            self.do(self.found.check_finished(act.offer.nonce, act.offer.stream, "" if fine else "range"))
        elif self.found.in_progress is not None and self.found.in_progress[0].version == act.version:
            self.good |= {act.version} if fine else set()
            self.do(self.found.apply_finished(act.version, self.now, "" if fine else "broke"))

    @rule()
    def reset(self):
        self.found.stream_closed(self.stream)
        self.owed = {k: v for k, v in self.owed.items() if k[0] != self.stream}
        self.stream += 1
        self.found.stream_opened(self.stream)

    @rule()
    def confirm(self):
        self.found.confirm_received(self.found.in_force.version)

    @rule(ms=st.floats(0.0, 8.0))
    def wait(self, ms):
        self.now += ms
        self.do(self.found.tick(self.now))

    @invariant()
    def a_good_version_is_in_force(self):
        f = self.found
        assert (
            f.in_force.version in self.good
            and f.last_good.version in self.good
            and f.in_force.version <= f.highest
        )
        assert (f.confirm_deadline_ms is None) == (f.in_force.state != VersionState.APPLIED) and len(
            f.past
        ) <= f.MAX_PAST

    def teardown(self):
        while self.todo:
            self.work(True)
        assert not self.owed, "an offer without its answer"


TestOrders = Orders.TestCase
TestOrders.settings = settings(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)


# --- frames ---


def test_frames_are_read_wherever_they_are_cut():
    text = encode_frame("offer", number=1) + encode_frame("alive") + encode_frame("bye", why="done")
    for cut in range(len(text) + 1):
        d = FrameDecoder()
        got = d.feed(text[:cut]) + d.feed(text[cut:])
        assert got == [Frame("offer", {"number": 1}), Frame("alive", {}), Frame("bye", {"why": "done"})]
    d, got = FrameDecoder(), []
    for byte in text:
        got += d.feed(bytes((byte,)))
    assert len(got) == 3 and not d.buffer


@pytest.mark.parametrize(
    "text",
    [b"\x40\x00\x00\x00\x01", b"\x00\x00\x00\x00", b"\x00\x00\x00\x02\x01{", b"\x00\x00\x00\x03\x0142"],
)
def test_what_is_no_frame_ends_the_stream_before_anything_is_kept(text):
    with pytest.raises(FrameError):
        FrameDecoder().feed(text)


def test_a_kind_of_a_later_protocol_is_passed_over():
    assert FrameDecoder().feed(b"\x00\x00\x00\x03\x63{}" + encode_frame("alive")) == [Frame("alive", {})]
