"""Translation between the simulator's messages and the types of the decision module's interface."""

import io

import pytest

from myrtleroad import interface
from myrtleroad.drill import __main__ as drill
from myrtleroad.drill import codec


def test_server_entry_and_request_keep_fractions_of_a_millisecond():
    entry = {
        "nominal": 1.5,
        "hw": 1,
        "release": 4,
        "area": 1,
        "boot_time": 6_100_500_000,
        "machine": "m.a",
    }
    assert codec.decode_server_entry(entry, 3) == interface.ServerEntry(
        3, interface.ServerStatus.IN_SERVICE, 4, 1, 0, 1, 1.5, 6100.5
    )
    request = codec.decode_request({"job": 9, "service": 1, "grace": 2_500_000, "affinity": "k"}, 1.0)
    assert request == interface.Request(9, 1, None, "k", 3.5, 0.0, False)


def test_attempt_end_and_stage_update_are_decoded():
    event = {
        "job": 1,
        "machine": "m.a",
        "cost_time": 1_500_000,
        "how": 3,
        "seq_no": 2,
        "usage": {"active": 7},
    }
    assert codec.decode_attempt_ended(event, 5) == interface.AttemptEnded(
        5, 2, interface.Outcome.FULL, 1.5, 7, False
    )
    event = {
        "build_no": 42,
        "wave": 2,
        "where_at": 1,
        "reason": 1,
        "how": 1,
        "ceiling": 0.25,
        "old": 1_000_000,
    }
    assert codec.decode_stage_update(event) == interface.StageUpdate(
        interface.Outcome.COMPLETED, True, 42, 2, interface.RolloutPhase.GOING_BACK, 0.25, 1.0
    )


def test_attempt_counts_bad_response_and_probe_are_decoded():
    event = {"build_no": 2, "service": 1, "n": 5, "errors": 2, "cost_time": 1_000_000, "old": 2_000_000}
    assert codec.decode_attempt_counts(event) == interface.AttemptCounts(2, 1, 5, 2, 1.0, 2.0)
    assert codec.decode_bad_response({"old": 1_000_000, "service": 1}, 4) == interface.BadResponseReported(
        4, 1, 1.0
    )
    assert codec.decode_probe_ended({"how": 4, "cost_time": 500_000}, 4) == interface.ProbeEnded(
        4, interface.Outcome.TIMEOUT, 0.5, None
    )


@pytest.mark.parametrize(
    "action, encoded",
    [
        (interface.SendAttempt(0, 1.5), {"cmd": "ATTEMPT", "job": 8, "within": 1_500_000, "machine": "m.a"}),
        (interface.CancelAttempt(2), {"cmd": "WITHDRAW", "job": 8, "seq_no": 2}),
        (interface.Shed(0.5), {"cmd": "BOUNCE", "job": 8, "pause": 500_000}),
        (interface.Fail(), {"cmd": "ERROR", "job": 8}),
        (
            interface.Vote(3, interface.Verdict.BACK, 1),
            {"cmd": "OPINION", "build_no": 3, "reason": 3, "wave": 1},
        ),
        (interface.WakeAt(2.0), {"cmd": "SCHEDULE", "due_at": 2_000_000, "cookie": 0}),
        (interface.ProbeServer(0), {"cmd": "SAMPLE", "machine": "m.a"}),
        (interface.SendToPeer(-1, b"hi"), {"cmd": "SIGNAL", "neighbour_id": -1, "raw": "6869"}),
    ],
)
def test_actions_are_encoded(action, encoded):
    assert codec.encode_action(action, "m.a", 8) == encoded


@pytest.mark.parametrize("text", ["nonsense\n", '{"cmd":"BATCH","t":1,"seq":1}\n', '{"cmd":"RING"}\n'])
def test_malformed_input_raises_a_protocol_error(text):
    with pytest.raises(codec.ProtocolError):
        drill.serve(io.StringIO(text), io.StringIO())


def test_an_empty_batch_gets_a_reply():
    sink = io.StringIO()
    drill.serve(io.StringIO('{"cmd":"BATCH","t":1,"seq":1}\n{"cmd":"EOB"}\n'), sink)
    assert sink.getvalue() == '{"cmd":"EOR","seq":1}\n'
