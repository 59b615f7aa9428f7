"""What the log contains about one request, and at which level."""

import os

import orjson
import pytest
from conftest import discovery_entry
from test_front import SERVER_ADDRESS, build_dispatcher, started_jobs, submit_request

from myrtleroad.net.clock import Clock
from myrtleroad.net.log import LEVEL_VARIABLE, Log, level_from_environment


def logged_events(log):
    return [orjson.loads(line) for line in log.lines]


def test_attempt_log_names_request_server_and_age_of_the_list():
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    dispatcher_actor.log = Log(Clock(), os.open(os.devnull, os.O_WRONLY), "debug")
    submit_request(dispatcher_actor, transaction=b"abc")
    (job,) = started_jobs(dispatcher_actor)
    assert dispatcher_actor.preconditions_hold(job)
    (line,) = logged_events(dispatcher_actor.log)
    assert (line["event"], line["txn"], line["server"], line["attempt"]) == ("attempt", "abc", "s-1", 0)
    assert line["list_age_ms"] >= 0.0


def test_attempts_are_not_logged_at_the_default_level():
    dispatcher_actor = build_dispatcher(discovery_entry("s-1", SERVER_ADDRESS))
    dispatcher_actor.log = Log(Clock(), os.open(os.devnull, os.O_WRONLY))
    submit_request(dispatcher_actor)
    (job,) = started_jobs(dispatcher_actor)
    assert dispatcher_actor.preconditions_hold(job) and not dispatcher_actor.log.lines


def test_unknown_level_is_named():
    assert (
        level_from_environment({}) == "info" and level_from_environment({LEVEL_VARIABLE: "debug"}) == "debug"
    )
    with pytest.raises(ValueError, match="loud"):
        level_from_environment({LEVEL_VARIABLE: "loud"})


def test_long_lines_that_nobody_reads_are_dropped_by_their_bytes():
    # Guards against a log that holds a thousand lines of any length.
    log = Log(Clock(), os.open(os.devnull, os.O_WRONLY))
    for _ in range(Log.MAX_LINES):
        log("fault", error="x" * 10_000)
    assert sum(map(len, log.lines)) == log.queued_bytes <= Log.MAX_BYTES
    assert len(log.lines) + log.dropped == Log.MAX_LINES
    while log.lines:
        log.write(log.take_line())
    assert log.queued_bytes == 0
