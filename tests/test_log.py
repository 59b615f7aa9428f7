"""What the log says of one request, and the level that it is written at."""

import os

import orjson
import pytest
from conftest import discovery_entry
from test_front import AT, build_brain, sent, taken

from myrtleroad.net.clock import Clock
from myrtleroad.net.log import LEVEL_VARIABLE, Log, level_from_environment


def lines(log):
    return [orjson.loads(line) for line in log.lines]


def test_an_attempt_names_its_request_its_server_and_the_age_of_the_list():
    b = build_brain(discovery_entry("s-1", AT))
    b.log = Log(Clock(), os.open(os.devnull, os.O_WRONLY), "debug")
    taken(b, word=b"abc")
    (job,) = sent(b)
    assert b.preconditions_hold(job)
    (line,) = lines(b.log)
    assert (line["event"], line["txn"], line["server"], line["attempt"]) == ("attempt", "abc", "s-1", 0)
    assert line["list_age_ms"] >= 0.0


def test_attempts_are_not_logged_at_the_usual_level():
    b = build_brain(discovery_entry("s-1", AT))
    b.log = Log(Clock(), os.open(os.devnull, os.O_WRONLY))
    taken(b)
    (job,) = sent(b)
    assert b.preconditions_hold(job) and not b.log.lines


def test_a_level_that_does_not_exist_is_named():
    assert (
        level_from_environment({}) == "info" and level_from_environment({LEVEL_VARIABLE: "debug"}) == "debug"
    )
    with pytest.raises(ValueError, match="loud"):
        level_from_environment({LEVEL_VARIABLE: "loud"})
