"""Outcomes of attempts: which results prove that a request was not executed."""

import pytest

from myrtleroad import interface
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
        (200, [], interface.Outcome.COMPLETED),
        (500, [], interface.Outcome.ERRORED),
        (503, [(b"X-Turned-Away", b"1")], interface.Outcome.FULL),
        (504, [(b"x-turned-away", b"1")], interface.Outcome.FULL),
        (503, [], interface.Outcome.ERRORED),
        (500, [(b"X-Turned-Away", b"1")], interface.Outcome.ERRORED),
        (404, [], interface.Outcome.ERRORED),
    ],
)
def test_only_a_response_marked_as_turned_away_counts_as_full(status, headers, outcome):
    assert outcome_of_attempt(UpstreamResponse(status, headers)) == outcome


@pytest.mark.parametrize("cause", list(FailureCause))
def test_request_not_written_whole_counts_as_not_executed(cause):
    for progress in (ExchangeProgress.NOT_CONNECTED, ExchangeProgress.CONNECTED):
        assert outcome_of_attempt(ExchangeFailure(progress, cause)) in interface.NOT_EXECUTED


@pytest.mark.parametrize(
    "cause", [FailureCause.TIMEOUT, FailureCause.ENDED, FailureCause.UNREADABLE, FailureCause.CANCELLED]
)
def test_request_written_whole_may_have_been_executed(cause):
    for progress in (ExchangeProgress.WRITTEN, ExchangeProgress.BEGUN):
        assert outcome_of_attempt(ExchangeFailure(progress, cause)) not in interface.NOT_EXECUTED


def test_request_past_its_deadline_in_the_front_does_not_count_against_the_server():
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.OVERDUE))
        == interface.Outcome.MOOT
    )
    assert (
        outcome_of_attempt(ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.TIMEOUT))
        == interface.Outcome.NOT_CONNECTED
    )
