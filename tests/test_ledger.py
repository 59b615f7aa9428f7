"""The ledger of versions: for any order of offers, lost streams and confirmations, a good version is in
force and each offer gets exactly one final answer."""

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


def make_offer(number, nonce=None, epoch=1, digest=None, stream=0, confirm=None):
    version = VersionId(epoch, number)
    return Offer(stream, number if nonce is None else nonce, version, digest or f"d{epoch}.{number}", confirm)


def make_ledger(*streams):
    created = Ledger()
    for stream in streams or (0,):
        created.stream_opened(stream)
    return created


def process_offer(ledger, offer, now=0.0):
    """Processes a valid offer up to its answer."""
    actions = ledger.offer_received(offer)
    if actions == [CheckOffer(offer)]:
        assert ledger.check_finished(offer.nonce, offer.stream) == [ApplyVersion(offer.version)]
        actions = ledger.apply_finished(offer.version, now)
    return actions


def answer_codes(actions):
    return [
        (answer.nonce, answer.code if not answer.acked else "acked")
        for answer in actions
        if isinstance(answer, OfferAnswer)
    ]


def test_out_of_order_repeated_and_conflicting_offers():
    ledger = make_ledger()
    answers = [
        answer_codes(process_offer(ledger, offer))
        for offer in (
            make_offer(3),
            make_offer(5),
            make_offer(4),
            make_offer(4, 40, digest="x"),
            make_offer(5, 50),
        )
    ]
    assert answers == [[(3, "acked")], [(5, "acked")], [(4, "older")], [(40, "older")], [(50, "acked")]]
    assert answer_codes(process_offer(ledger, make_offer(5, 51, digest="x"))) == [(51, "other-content")]
    assert ledger.in_force.version == VersionId(1, 5)


def test_newest_of_several_offers_wins_and_each_is_answered():
    ledger, actions = make_ledger(), []
    offers = [make_offer(3), make_offer(5), make_offer(4), make_offer(4, 40, digest="x"), make_offer(5, 50)]
    for offer in offers:
        actions += ledger.offer_received(offer)
    actions += ledger.check_finished(5, 0) + ledger.apply_finished(VersionId(1, 5), 0.0)
    assert sorted(n for n, _ in answer_codes(actions)) == [3, 4, 5, 40, 50]
    assert dict(answer_codes(actions))[5] == "acked" and ledger.in_force.version == VersionId(1, 5)


def test_ten_thousand_offers_leave_the_newest_in_bounded_memory():
    ledger, answered = make_ledger(), 0
    for n in range(1, 10_001):
        answered += len(answer_codes(ledger.offer_received(make_offer(n))))
    answered += len(
        answer_codes(ledger.check_finished(10_000, 0) + ledger.apply_finished(VersionId(1, 10_000), 0.0))
    )
    assert (
        answered == 10_000
        and ledger.in_force.version.number == 10_000
        and len(ledger.past) <= ledger.MAX_PAST
    )


def test_answer_lost_in_a_reset_is_repeated_without_applying_twice():
    ledger = make_ledger()
    process_offer(ledger, make_offer(1))
    ledger.stream_closed(0)
    ledger.stream_opened(1)
    assert ledger.offer_received(make_offer(1, 9, stream=1)) == [OfferAnswer(1, 9, VersionId(1, 1), True)]


def test_version_stays_in_force_when_its_stream_closes_during_apply():
    ledger = make_ledger()
    ledger.offer_received(make_offer(1))
    ledger.check_finished(1, 0)
    ledger.stream_closed(0)
    ledger.stream_opened(1)
    assert ledger.offer_received(make_offer(1, 7, stream=1)) == []  # the same offer again, on the new stream
    assert answer_codes(ledger.apply_finished(VersionId(1, 1), 0.0)) == [
        (7, "acked")
    ] and ledger.in_force.version == VersionId(1, 1)


def test_refused_version_leaves_the_last_good_and_a_corrected_one_is_accepted():
    ledger = make_ledger()
    process_offer(ledger, make_offer(1))
    ledger.offer_received(make_offer(2))
    assert answer_codes(ledger.check_finished(2, 0, "widens", "too much")) == [(2, "widens")]
    assert ledger.in_force.version == VersionId(1, 1) and answer_codes(
        process_offer(ledger, make_offer(3))
    ) == [(3, "acked")]


def test_failed_apply_leaves_the_version_in_force():
    ledger = make_ledger()
    process_offer(ledger, make_offer(1))
    ledger.offer_received(make_offer(2))
    ledger.check_finished(2, 0)
    assert answer_codes(ledger.apply_finished(VersionId(1, 2), 0.0, "no memory")) == [(2, "apply")]
    assert ledger.in_force.version == VersionId(1, 1) and answer_codes(
        process_offer(ledger, make_offer(2, 9))
    ) == [(9, "rolled-back")]


def test_unconfirmed_versions_roll_back_to_the_last_good_one():
    ledger = make_ledger()
    process_offer(ledger, make_offer(1))
    process_offer(ledger, make_offer(2, confirm=1000.0), now=0.0)
    process_offer(ledger, make_offer(3, confirm=1000.0), now=500.0)  # on top of an unconfirmed version
    assert (
        ledger.next_deadline() == 1500.0
        and ledger.tick(1499.0) == []
        and not ledger.confirm_received(VersionId(1, 2))
    )
    assert ledger.tick(1500.0) == [
        ApplyVersion(VersionId(1, 1)),
        ReportRollback(VersionId(1, 3), VersionId(1, 1), "not confirmed in time"),
    ]
    assert ledger.in_force.version == VersionId(1, 1) and answer_codes(
        process_offer(ledger, make_offer(3, 30))
    ) == [(30, "rolled-back")]
    assert answer_codes(process_offer(ledger, make_offer(4, confirm=1000.0), now=2000.0)) == [(4, "acked")]
    assert (
        ledger.confirm_received(VersionId(1, 4))
        and ledger.tick(9000.0) == []
        and ledger.last_good.version == VersionId(1, 4)
    )


def test_new_epoch_restarts_numbers_and_the_old_epoch_is_refused():
    ledger = make_ledger(0, 1)
    process_offer(ledger, make_offer(50))
    assert answer_codes(process_offer(ledger, make_offer(1, epoch=2, stream=1))) == [(1, "acked")]
    assert answer_codes(process_offer(ledger, make_offer(51, epoch=1))) == [(51, "old-epoch")]


def test_restarted_front_continues_from_its_last_good_version():
    ledger = Ledger(HeldVersion(VersionId(2, 7), "d2.7", VersionState.CONFIRMED), VersionId(2, 9))
    ledger.stream_opened(0)
    assert ledger.in_force.version == VersionId(2, 7) and answer_codes(
        process_offer(ledger, make_offer(8, epoch=2))
    ) == [(8, "older")]
    # It was in force before, but is not any more.
    assert answer_codes(process_offer(ledger, make_offer(9, epoch=2))) == [(9, "older")]
    assert answer_codes(process_offer(ledger, make_offer(7, epoch=2))) == [(7, "acked")]


class LedgerMachine(RuleBasedStateMachine):
    """Any order of offers, checks, applies, lost streams, confirmations and passing time."""

    def __init__(self):
        super().__init__()
        self.ledger, self.now, self.nonce, self.stream = Ledger(), 0.0, 0, 0
        self.ledger.stream_opened(0)
        self.unanswered, self.known_good, self.open_actions = {}, {VersionId(0, 0)}, []
        self.initial_version = VersionId(0, 0)

    def carry_out(self, actions):
        for action in actions:
            match action:
                case OfferAnswer():
                    assert self.unanswered.pop((action.stream, action.nonce)) == action.version, (
                        "a second answer, or one without an offer"
                    )
                    if action.acked:
                        assert (
                            action.version == self.ledger.in_force.version
                            or action.version in self.known_good
                        )
                case CheckOffer() | ApplyVersion():
                    self.open_actions.append(action)
                case ReportRollback():
                    assert action.version not in (self.ledger.in_force.version,)

    @rule(number=st.integers(1, 6), epoch=st.integers(1, 2), other=st.booleans(), confirm=st.booleans())
    def offer_version(self, number, epoch, other, confirm):
        self.nonce += 1
        digest = "other" if other else f"{epoch}.{number}"
        offer = Offer(self.stream, self.nonce, VersionId(epoch, number), digest, 5.0 if confirm else None)
        self.unanswered[self.stream, self.nonce] = offer.version
        self.carry_out(self.ledger.offer_received(offer))

    @precondition(lambda self: self.open_actions)
    @rule(valid=st.booleans())
    def work(self, valid):
        action = self.open_actions.pop(0)
        if isinstance(action, CheckOffer):
            self.carry_out(
                self.ledger.check_finished(action.offer.nonce, action.offer.stream, "" if valid else "range")
            )
        elif self.ledger.in_progress is not None and self.ledger.in_progress[0].version == action.version:
            self.known_good |= {action.version} if valid else set()
            self.carry_out(self.ledger.apply_finished(action.version, self.now, "" if valid else "broke"))

    @rule()
    def reset(self):
        self.ledger.stream_closed(self.stream)
        self.unanswered = {key: version for key, version in self.unanswered.items() if key[0] != self.stream}
        self.stream += 1
        self.ledger.stream_opened(self.stream)

    @rule()
    def confirm(self):
        self.ledger.confirm_received(self.ledger.in_force.version)

    @precondition(lambda self: self.ledger.in_progress is not None)
    @rule()
    def confirm_ahead(self):
        self.ledger.confirm_received(self.ledger.in_progress[0].version)

    @rule(number=st.integers(1, 6), epoch=st.integers(1, 2))
    def expire(self, number, epoch):
        self.carry_out(self.ledger.expire_received(VersionId(epoch, number)))

    @rule(ms=st.floats(0.0, 8.0))
    def wait(self, ms):
        self.now += ms
        self.carry_out(self.ledger.tick(self.now))

    @invariant()
    def a_good_version_is_in_force(self):
        ledger = self.ledger
        assert (
            ledger.in_force.version in self.known_good
            and ledger.last_good.version in self.known_good
            and ledger.in_force.version <= ledger.highest
        )
        assert (ledger.confirm_deadline_ms is None) == (
            ledger.in_force.state != VersionState.APPLIED
        ) and len(ledger.past) <= ledger.MAX_PAST

    def teardown(self):
        while self.open_actions:
            self.work(True)
        assert not self.unanswered, "an offer without an answer"


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)


# --- frames ---


def test_frames_are_decoded_wherever_the_bytes_are_split():
    text = encode_frame("offer", number=1) + encode_frame("alive") + encode_frame("bye", why="done")
    for split_at in range(len(text) + 1):
        decoder = FrameDecoder()
        frames = decoder.feed(text[:split_at]) + decoder.feed(text[split_at:])
        assert frames == [Frame("offer", {"number": 1}), Frame("alive", {}), Frame("bye", {"why": "done"})]
    decoder, frames = FrameDecoder(), []
    for byte in text:
        frames += decoder.feed(bytes((byte,)))
    assert len(frames) == 3 and not decoder.buffer


@pytest.mark.parametrize(
    "text",
    [b"\x40\x00\x00\x00\x01", b"\x00\x00\x00\x00", b"\x00\x00\x00\x02\x01{", b"\x00\x00\x00\x03\x0142"],
)
def test_invalid_frame_raises_an_error(text):
    with pytest.raises(FrameError):
        FrameDecoder().feed(text)


def test_unknown_frame_kind_is_skipped():
    assert FrameDecoder().feed(b"\x00\x00\x00\x03\x63{}" + encode_frame("alive")) == [Frame("alive", {})]
