import pytest

from myrtleroad import interface as i
from myrtleroad.net.ending import Answer, Broken, Cause, Reach, of_try


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
    assert of_try(Answer(status, headers)) == end


@pytest.mark.parametrize("cause", list(Cause))
def test_what_was_not_written_whole_never_ran(cause):
    for reach in (Reach.NOT_CONNECTED, Reach.CONNECTED):
        assert of_try(Broken(reach, cause)) in i.NOT_EXECUTED


@pytest.mark.parametrize("cause", [Cause.TIMEOUT, Cause.ENDED, Cause.UNREADABLE, Cause.CANCELLED])
def test_what_was_written_whole_may_have_run(cause):
    for reach in (Reach.WRITTEN, Reach.BEGUN):
        assert of_try(Broken(reach, cause)) not in i.NOT_EXECUTED


def test_a_req_that_ran_out_in_our_hands_does_not_count_against_the_machine():
    assert of_try(Broken(Reach.CONNECTED, Cause.OVERDUE)) == i.Outcome.MOOT
    assert of_try(Broken(Reach.NOT_CONNECTED, Cause.TIMEOUT)) == i.Outcome.NOT_CONNECTED
