"""Translates between the simulator's messages and the types of the decision module's interface.

The simulator states times in nanoseconds; the interface uses milliseconds. No decisions are made here."""

import json
from typing import Any

from myrtleroad import interface
from myrtleroad.settings import LOAD_COLUMN, NS_PER_MS, ns_to_ms

SERVER_STATUSES = {
    "in_service": interface.ServerStatus.IN_SERVICE,
    "terminating": interface.ServerStatus.DRAINING,
    "terminated": interface.ServerStatus.GONE,
}
LIST_KINDS = {
    "Partial": interface.ListKind.CHANGES,
    "Complete": interface.ListKind.WHOLE,
    "Persisted": interface.ListKind.REMEMBERED,
}
LIST_UNAVAILABLE = "Error"  # kind of a DISCOVERY event that carries no list: the call for it failed


class ProtocolError(Exception):
    """The simulator sent something that its protocol does not define."""


def ms_to_ns(duration_ms: float) -> int:
    """Converts milliseconds to whole nanoseconds, rounded towards zero."""
    return int(duration_ms * NS_PER_MS)


def parse_message(line: str) -> dict[str, Any]:
    """Decodes one line of input. Raises ``ProtocolError`` unless it is a JSON object with a ``cmd``."""
    try:
        message = json.loads(line)
    except ValueError:
        raise ProtocolError(f"not JSON: {line[:80]!r}") from None
    if not isinstance(message, dict) or "cmd" not in message:
        raise ProtocolError(f"not a message: {line[:80]!r}")
    return message


def encode_message(message: dict[str, Any]) -> str:
    """Encodes a message as compact JSON, without the line feed."""
    return json.dumps(message, separators=(",", ":"))


def decode_server_entry(entry: dict[str, Any], server: int) -> interface.ServerEntry:
    """Decodes one entry of a server list. ``server`` is the index that the front assigned to it."""
    return interface.ServerEntry(
        server=server,
        status=SERVER_STATUSES[entry.get("status", "in_service")],
        build=int(entry.get("release", 0)),
        zone=entry.get("area", 0),
        cell=entry.get("stripe", 0),
        server_type=entry.get("hw", 0),
        weight=float(entry.get("nominal", 1.0)),
        started_at=ns_to_ms(entry.get("boot_time")),
    )


def decode_reported_load(event: dict[str, Any]) -> float | None:
    """The number of requests that the server reported to hold, None if the event carries no such report."""
    return (event.get("usage") or {}).get(LOAD_COLUMN)


def decode_request(event: dict[str, Any], now: float) -> interface.Request:
    """Decodes a client's request. Its deadline is sent as the time that remains from ``now`` (ms)."""
    return interface.Request(
        id=event["job"],
        route=event.get("service", 0),
        tenant=event.get("client_group"),
        dedup_key=event.get("affinity"),
        deadline=now + ns_to_ms(event.get("grace")),
        cost_hint_ms=ns_to_ms(event.get("hint")),
        is_repeat=bool(event.get("resent")),
    )


def decode_attempt_ended(event: dict[str, Any], server: int) -> interface.AttemptEnded:
    """Decodes the end of an attempt at ``server``."""
    outcome, duration_ms = interface.Outcome(event["how"]), ns_to_ms(event.get("cost_time"))
    return interface.AttemptEnded(
        server,
        event.get("seq_no", 0),
        outcome,
        duration_ms,
        decode_reported_load(event),
        bool(event.get("finished")),
    )


def decode_stage_update(event: dict[str, Any]) -> interface.StageUpdate:
    """Decodes a stage update of the platform."""
    return interface.StageUpdate(
        outcome=interface.Outcome(event["how"]),
        answers_vote=event.get("reason", 0) == 1,
        build=event.get("build_no", 0),
        stage=event.get("wave", 0),
        phase=interface.RolloutPhase(event.get("where_at", 0)),
        cap=float(event.get("ceiling", 0.0)),
        stage_age_ms=ns_to_ms(event.get("old")),
    )


def decode_attempt_counts(event: dict[str, Any]) -> interface.AttemptCounts:
    """Decodes the platform's attempt counts for one build and route."""
    return interface.AttemptCounts(
        event.get("build_no", 0),
        event.get("service", 0),
        event.get("n", 0),
        event.get("errors", 0),
        ns_to_ms(event.get("cost_time")),
        ns_to_ms(event.get("old")),
    )


def decode_bad_response(event: dict[str, Any], server: int) -> interface.BadResponseReported:
    """Decodes the report of a bad response from ``server``."""
    return interface.BadResponseReported(server, event.get("service", 0), ns_to_ms(event.get("old")))


def decode_probe_ended(event: dict[str, Any], server: int) -> interface.ProbeEnded:
    """Decodes the end of a probe of ``server``."""
    return interface.ProbeEnded(
        server, interface.Outcome(event["how"]), ns_to_ms(event.get("cost_time")), decode_reported_load(event)
    )


def failure_message(front_id: int, event: str, error: BaseException) -> dict[str, Any]:
    """The message that reports an exception raised by the decision module while it processed ``event``."""
    text = f"instance {front_id}, event {event}: {type(error).__name__}: {error}"
    return {"cmd": "GIVE_IN", "front_id": front_id, "note_text": text[:400]}


def encode_action(
    action: interface.Action, server_id: str | None, request_id: int | None, cookie: int = 0
) -> dict[str, Any]:
    """Encodes one action. The host adds the ``front_id`` of the front that it belongs to.

    ``server_id`` is the simulator's name of the server of an action that has one, and ``cookie`` comes back
    in the event of the timer that the action sets. Raises ``TypeError`` on an unknown action."""
    match action:
        case interface.SendAttempt():
            within = max(1, ms_to_ns(action.timeout_ms))
            return {"cmd": "ATTEMPT", "job": request_id, "within": within, "machine": server_id}
        case interface.CancelAttempt():
            return {"cmd": "WITHDRAW", "job": request_id, "seq_no": action.attempt_number}
        case interface.Shed():
            return {"cmd": "BOUNCE", "job": request_id, "pause": ms_to_ns(action.retry_after_ms)}
        case interface.Fail():
            return {"cmd": "ERROR", "job": request_id}
        case interface.Vote():
            vote = {"build_no": action.build, "reason": int(action.verdict), "wave": action.stage}
            return {"cmd": "OPINION", **vote}
        case interface.WatchServerList():
            return {"cmd": "SUBSCRIBE", "on": action.enabled}
        case interface.FetchServerList():
            return {"cmd": "FETCH"}
        case interface.ProbeServer():
            return {"cmd": "SAMPLE", "machine": server_id}
        case interface.CloseIdleConnections():
            return {"cmd": "CLOSE", "machine": server_id}
        case interface.SendToPeer():
            return {"cmd": "SIGNAL", "neighbour_id": action.peer, "raw": action.payload.hex()}
        case interface.WakeAt():
            return {"cmd": "SCHEDULE", "due_at": ms_to_ns(action.at), "cookie": cookie}
        case interface.LogMessage():
            return {"cmd": "WRITE_LOG", "note_text": action.text}
    raise TypeError(f"no such action: {action!r}")
