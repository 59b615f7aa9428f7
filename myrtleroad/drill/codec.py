"""The simulator's wire, turned into the interface's words and back. Nothing is decided here."""

import json
from typing import Any

from myrtleroad import interface as i
from myrtleroad.settings import LOAD_COLUMN, NS_PER_MS, ns_to_ms

STATUSES = {
    "in_service": i.ServerStatus.IN_SERVICE,
    "terminating": i.ServerStatus.DRAINING,
    "terminated": i.ServerStatus.GONE,
}
LISTS = {
    "Partial": i.ListKind.CHANGES,
    "Complete": i.ListKind.WHOLE,
    "Persisted": i.ListKind.REMEMBERED,
}
FAILED = "Error"  # a list that could not be had


class WireFault(Exception):
    """The simulator sent something that the wire's page does not know."""


def ns(value: float) -> int:
    return int(value * NS_PER_MS)


def parse(line: str) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except ValueError:
        raise WireFault(f"not JSON: {line[:80]!r}") from None
    if not isinstance(message, dict) or "cmd" not in message:
        raise WireFault(f"not a message: {line[:80]!r}")
    return message


def dump(message: dict[str, Any]) -> str:
    return json.dumps(message, separators=(",", ":"))


def row(e: dict[str, Any], machine: int) -> i.ServerEntry:
    return i.ServerEntry(
        server=machine,
        status=STATUSES[e.get("status", "in_service")],
        build=int(e.get("release", 0)),
        zone=e.get("area", 0),
        cell=e.get("stripe", 0),
        server_type=e.get("hw", 0),
        weight=float(e.get("nominal", 1.0)),
        started_at=ns_to_ms(e.get("boot_time")),
    )


def load(m: dict[str, Any]) -> float | None:
    return (m.get("usage") or {}).get(LOAD_COLUMN)


def req(m: dict[str, Any], now: float) -> i.Request:
    return i.Request(
        id=m["job"],
        route=m.get("service", 0),
        tenant=m.get("client_group"),
        dedup_key=m.get("affinity"),
        deadline=now + ns_to_ms(m.get("grace")),
        cost_hint_ms=ns_to_ms(m.get("hint")),
        is_repeat=bool(m.get("resent")),
    )


def ended(m: dict[str, Any], machine: int) -> i.AttemptEnded:
    how, took = i.Outcome(m["how"]), ns_to_ms(m.get("cost_time"))
    return i.AttemptEnded(machine, m.get("seq_no", 0), how, took, load(m), bool(m.get("finished")))


def stage_news(m: dict[str, Any]) -> i.StageUpdate:
    return i.StageUpdate(
        outcome=i.Outcome(m["how"]),
        answers_vote=m.get("reason", 0) == 1,
        build=m.get("build_no", 0),
        stage=m.get("wave", 0),
        phase=i.RolloutPhase(m.get("where_at", 0)),
        cap=float(m.get("ceiling", 0.0)),
        stage_age_ms=ns_to_ms(m.get("old")),
    )


def tally(m: dict[str, Any]) -> i.AttemptCounts:
    return i.AttemptCounts(
        m.get("build_no", 0),
        m.get("service", 0),
        m.get("n", 0),
        m.get("errors", 0),
        ns_to_ms(m.get("cost_time")),
        ns_to_ms(m.get("old")),
    )


def flagged(m: dict[str, Any], machine: int) -> i.BadResponseReported:
    return i.BadResponseReported(machine, m.get("service", 0), ns_to_ms(m.get("old")))


def probed(m: dict[str, Any], machine: int) -> i.ProbeEnded:
    return i.ProbeEnded(machine, i.Outcome(m["how"]), ns_to_ms(m.get("cost_time")), load(m))


def fault(instance: int, event: str, error: BaseException) -> dict[str, Any]:
    text = f"instance {instance}, event {event}: {type(error).__name__}: {error}"
    return {"cmd": "GIVE_IN", "front_id": instance, "note_text": text[:400]}


def action(act: i.Action, machine: str | None, job: int | None, cookie: int = 0) -> dict[str, Any]:
    """One action as the wire's object; the host fills in whose it is."""
    match act:
        case i.SendAttempt():
            within = max(1, ns(act.timeout_ms))
            return {"cmd": "ATTEMPT", "job": job, "within": within, "machine": machine}
        case i.CancelAttempt():
            return {"cmd": "WITHDRAW", "job": job, "seq_no": act.attempt_number}
        case i.Shed():
            return {"cmd": "BOUNCE", "job": job, "pause": ns(act.retry_after_ms)}
        case i.Fail():
            return {"cmd": "ERROR", "job": job}
        case i.Vote():
            opinion = {"build_no": act.build, "reason": int(act.verdict), "wave": act.stage}
            return {"cmd": "OPINION", **opinion}
        case i.WatchServerList():
            return {"cmd": "SUBSCRIBE", "on": act.enabled}
        case i.FetchServerList():
            return {"cmd": "FETCH"}
        case i.ProbeServer():
            return {"cmd": "SAMPLE", "machine": machine}
        case i.CloseIdleConnections():
            return {"cmd": "CLOSE", "machine": machine}
        case i.SendToPeer():
            return {"cmd": "SIGNAL", "neighbour_id": act.peer, "raw": act.payload.hex()}
        case i.WakeAt():
            return {"cmd": "SCHEDULE", "due_at": ns(act.at), "cookie": cookie}
        case i.LogMessage():
            return {"cmd": "WRITE_LOG", "note_text": act.text}
    raise TypeError(f"no such action: {act!r}")
