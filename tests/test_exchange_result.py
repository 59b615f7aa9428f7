import pytest

from myrtleroad import interface as i
from myrtleroad.net.exchange_result import (
    ExchangeFailure,
    ExchangeProgress,
    FailureCause,
    UpstreamResponse,
    outcome_of_attempt,
)


@pytest.mark.parametrize(
    ("status", "headers", "end"),
    [
        (200, [], i.Outcome.COMPLETED),
        (500, [], i.Outcome.ERRORED),
        (503, [(b"X-Turned-Away", b"1")], i.Outcome.FULL),
        (504, [(b"x-turned-away", b"1")], i.Outcome.FULL),
        (503, [], i.Outcome.ERRORED),
        (500, [(b"X-Turned-Away", b"1")], i.Outcome.ERRORED),
        (404, [], i.Outcome.ERRORED),
    ],
)
def test_an_answer_counts_as_turned_away_only_where_it_says_so(status, headers, end):
    assert outcome_of_attempt(UpstreamResponse(status, headers)) == end


@pytest.mark.parametrize("cause", list(FailureCause))
def test_what_was_not_written_whole_never_ran(cause):
    for reach in (ExchangeProgress.NOT_CONNECTED, ExchangeProgress.CONNECTED):
        assert outcome_of_attempt(ExchangeFailure(reach, cause)) in i.NOT_EXECUTED


@pytest.mark.parametrize(
    "cause", [FailureCause.TIMEOUT, FailureCause.ENDED, FailureCause.UNREADABLE, FailureCause.CANCELLED]
)
def test_what_was_written_whole_may_have_run(cause):
    for reach in (ExchangeProgress.WRITTEN, ExchangeProgress.BEGUN):
        assert outcome_of_attempt(ExchangeFailure(reach, cause)) not in i.NOT_EXECUTED


def test_a_req_that_ran_out_in_our_hands_does_not_count_against_the_machine():
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.OVERDUE))
        == i.Outcome.MOOT
    )
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.TIMEOUT))
        == i.Outcome.NOT_CONNECTED
    )
