"""Instances of the decision module: their reqs (generators), ids and timers. Nothing is decided here."""

from collections.abc import Iterable
from random import Random
from typing import Any

from myrtleroad import interface as i
from myrtleroad.drill import codec
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings, ServiceKind
from myrtleroad.policy.balancer import Balancer
from myrtleroad.request_coroutine import RequestCoroutine
from myrtleroad.settings import decode_settings

WAKE, ASK = 0, 1  # the cookies of the module's wake-up and of asking for the list; those above are of reqs
SIGN_MS = 2000.0  # no signs of life come on this wire; the real one's interval


class Instance:
    """One front: a balancer of its own and the ids that only this front has learnt."""

    def __init__(self, number: int, settings: dict[str, Any], seed: int, now: float):
        self.number = number
        known = decode_settings(settings)
        self.balancer = Balancer(known, seed, now)
        rules = known.server_rules
        most_ms, service = (
            rules.max_poll_interval_ms or float("inf"),
            ServiceKind.SHARED,
        )  # a list that is asked for
        manner = FollowerSettings(known.balancers, rules.drain_grace_ms, SIGN_MS, most_ms, service)
        self.asks, self.asking = known.list_on_request, CallBackoff(manner, Random(seed).random)
        self.told: float | None = None  # when the list was first told since the last failure
        self.index: dict[str, int] = {}  # machine words; grows with the fleet, never with reqs
        self.words: list[str] = []
        self.held: dict[int, RequestCoroutine] = {}  # emptied as each req ends
        self.cookies: dict[int, tuple[RequestCoroutine, int]] = {}  # emptied as each timer rings
        self.next_cookie = ASK + 1
        self.out: list[dict[str, Any]] = []

    def machine(self, word: str) -> int:
        if word not in self.index:
            self.index[word] = len(self.words)
            self.words.append(word)
        return self.index[word]

    def handle(self, cmd: str, m: dict[str, Any], now: float, lists: dict[int, Any]) -> None:
        b = self.balancer
        match cmd:
            case "ACCEPT":
                held = RequestCoroutine(m["job"], b.serve_request(codec.req(m, now), now))
                self.held[held.request_id] = held
                self.resume(held, None, now)
            case "CLOSED_ATTEMPT":
                ended = codec.ended(m, self.machine(m["machine"]))
                b.record_outcome(m["job"], ended, now)
                held = self.held.get(m["job"])
                if held and ended.request_finished:
                    self.drop(held)
                elif held:
                    self.resume(held, ended, now)
            case "RING":
                if m["cookie"] == WAKE:
                    self.act(b.wake(now))
                elif m["cookie"] == ASK:
                    self.act([i.WatchServerList()])
                elif mark := self.cookies.pop(m["cookie"], None):
                    held, wait = mark
                    if held.wait_number == wait:
                        self.resume(held, None, now)
            case "CANCELLED_BY_CLIENT":
                if held := self.held.get(m["job"]):
                    self.drop(held)
            case "ACCEPTED":
                if held := self.held.get(m["job"]):
                    held.cancel_timeout()  # the stream has begun
            case "DISCOVERY":
                if m["kind"] == codec.FAILED:
                    self.ask_again(now)
                    return
                kind = codec.LISTS[m["kind"]]
                if kind != i.ListKind.REMEMBERED:
                    self.told = now if self.told is None else self.told
                rows = [codec.row(e, self.machine(e["machine"])) for e in lists[m.get("ref", 0)]]
                self.act(b.update_server_list(i.ServerListUpdate(kind, rows), now))
            case "SHIP_STATE":
                self.act(b.update_stage(codec.stage_news(m), now))
            case "BAD_ANSWER":
                b.record_bad_response(codec.flagged(m, self.machine(m["machine"])), now)
            case "SCORECARD":
                b.record_counts(codec.tally(m), now)
            case "PROBED" | "DATAGRAM":
                pass  # the module asks for no probes and sends no messages
            case _:
                raise codec.WireFault(f"unknown event {cmd!r}")

    def begin(self, now: float) -> None:
        self.act(self.balancer.wake(now))
        if self.asks:
            self.act([i.WatchServerList()])

    def ask_again(self, now: float) -> None:
        stood = None if self.told is None else now - self.told
        self.told = None
        self.put(codec.action(i.WakeAt(now + self.asking.next_pause_ms(stood)), None, None, ASK))

    def drop(self, held: RequestCoroutine) -> None:
        held.close()
        del self.held[held.request_id]

    def act(self, actions: Iterable[i.Action]) -> None:
        for a in actions:
            word = self.words[a.server] if isinstance(a, i.ProbeServer | i.CloseIdleConnections) else None
            self.put(codec.action(a, word, None, WAKE))

    def put(self, message: dict[str, Any]) -> None:
        message["front_id"] = self.number
        self.out.append(message)

    def resume(self, held: RequestCoroutine, result: i.AttemptEnded | None, now: float) -> None:
        for act in held.resume(result, now):
            word = self.words[act.server] if isinstance(act, i.SendAttempt) else None
            self.put(codec.action(act, word, held.request_id))
        if held.finished:
            del self.held[held.request_id]
        elif held.max_wait_ms is not None:
            self.cookies[self.next_cookie] = (held, held.wait_number)
            self.put(codec.action(i.WakeAt(now + held.max_wait_ms), None, None, self.next_cookie))
            self.next_cookie += 1


class Host:
    """All instances of one process; they share the list texts of the wire and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[dict[str, Any]]] = {}

    def event(self, m: dict[str, Any], now: float, touched: dict[int, list]) -> bool:
        """Take one event; False once the decisions have failed and said so."""
        cmd, number = m["cmd"], m.get("front_id")
        if cmd == "SNAPSHOT_ROWS":
            self.lists[m["ref"]] = m.get("entries", [])
            return True
        if cmd == "CRASH_NOW":
            self.instances.pop(number, None)
            touched.pop(number, None)
            return True
        try:
            if cmd == "BORN":
                instance = Instance(number, m["settings"], m["salt"], now)
                self.instances[number] = instance
                instance.begin(now)
            elif number in self.instances:
                instance = self.instances[number]
                instance.handle(cmd, m, now, self.lists)
            else:
                return True
        except codec.WireFault:
            raise
        except Exception as error:
            touched[number] = [codec.fault(number, cmd, error)]
            return False
        touched[number] = instance.out
        return True

    def batch(self, now: float, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        touched: dict[int, list] = {}
        for m in events:
            if not self.event(m, now, touched):
                break
        reply = [message for out in touched.values() for message in out]
        for number in touched:
            if number in self.instances:
                self.instances[number].out = []
        return reply
