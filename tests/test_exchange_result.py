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
    ("status", "headers", "outcome"),
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
def test_only_a_response_marked_as_turned_away_counts_as_full(status, headers, outcome):
    assert outcome_of_attempt(UpstreamResponse(status, headers)) == outcome


@pytest.mark.parametrize("cause", list(FailureCause))
def test_request_not_written_whole_counts_as_not_executed(cause):
    for progress in (ExchangeProgress.NOT_CONNECTED, ExchangeProgress.CONNECTED):
        assert outcome_of_attempt(ExchangeFailure(progress, cause)) in i.NOT_EXECUTED


@pytest.mark.parametrize(
    "cause", [FailureCause.TIMEOUT, FailureCause.ENDED, FailureCause.UNREADABLE, FailureCause.CANCELLED]
)
def test_request_written_whole_may_have_been_executed(cause):
    for progress in (ExchangeProgress.WRITTEN, ExchangeProgress.BEGUN):
        assert outcome_of_attempt(ExchangeFailure(progress, cause)) not in i.NOT_EXECUTED


def test_request_past_its_deadline_in_the_front_does_not_count_against_the_server():
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.OVERDUE))
        == i.Outcome.MOOT
    )
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.TIMEOUT))
        == i.Outcome.NOT_CONNECTED
    )
