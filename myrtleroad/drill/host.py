"""Instances of the decision module: their reqs (generators), ids and timers. Nothing is decided here."""

from collections.abc import Generator, Iterable
from typing import Any

from myrtleroad import choice
from myrtleroad import interface as i
from myrtleroad.drill import codec

WAKE = 0  # the cookie of the module's own wake-up; those above it belong to reqs
FRESH = -1  # a generator not yet begun


class Held:
    """One open req: its generator and the timer that its patience runs on."""

    __slots__ = ("cookie", "gen", "job")

    def __init__(self, job: int, gen: Generator[i.Action, tuple[float, i.Ended | None], None]):
        self.job, self.gen, self.cookie = job, gen, FRESH


class Instance:
    """One front: a balancer of its own and the ids that only this front has learnt."""

    def __init__(self, number: int, settings: dict[str, Any], seed: int, now: float):
        self.number = number
        self.balancer = choice.Balancer(codec.facts(settings), seed, now)
        self.index: dict[str, int] = {}  # machine words; grows with the fleet, never with reqs
        self.words: list[str] = []
        self.held: dict[int, Held] = {}  # emptied as each req ends
        self.cookies: dict[int, Held] = {}  # emptied as each timer rings
        self.next_cookie = WAKE + 1
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
                held = Held(m["job"], b.serve(codec.req(m, now), now))
                self.held[held.job] = held
                self.resume(held, None, now)
            case "CLOSED_ATTEMPT":
                ended = codec.ended(m, self.machine(m["machine"]))
                b.observe(m["job"], ended, now)
                held = self.held.get(m["job"])
                if held and ended.finished:
                    self.drop(held)
                elif held:
                    self.resume(held, ended, now)
            case "RING":
                if m["cookie"] == WAKE:
                    self.act(b.wake(now))
                elif (held := self.cookies.pop(m["cookie"], None)) and held.cookie == m["cookie"]:
                    self.resume(held, None, now)
            case "CANCELLED_BY_CLIENT":
                if held := self.held.get(m["job"]):
                    self.drop(held)
            case "ACCEPTED":
                if held := self.held.get(m["job"]):
                    held.cookie = None  # the stream has begun: patience no longer runs
            case "DISCOVERY":
                kind = codec.LISTS[m["kind"]]
                entries = () if kind == i.ListKind.FAILED else lists[m.get("ref", 0)]
                rows = [codec.row(e, self.machine(e["machine"])) for e in entries]
                self.act(b.listed(i.Listed(kind, rows), now))
            case "SHIP_STATE":
                self.act(b.stage_news(codec.stage_news(m), now))
            case "BAD_ANSWER":
                b.flagged(codec.flagged(m, self.machine(m["machine"])), now)
            case "SCORECARD":
                b.tally(codec.tally(m), now)
            case "PROBED" | "DATAGRAM":
                pass  # the module asks for no probes and sends no messages
            case _:
                raise codec.WireFault(f"unknown event {cmd!r}")

    def drop(self, held: Held) -> None:
        held.gen.close()
        held.cookie = None
        del self.held[held.job]

    def act(self, actions: Iterable[i.Action]) -> None:
        for a in actions:
            word = self.words[a.machine] if isinstance(a, i.Probe | i.CloseIdle) else None
            self.put(codec.action(a, word, None, WAKE))

    def put(self, message: dict[str, Any]) -> None:
        message["front_id"] = self.number
        self.out.append(message)

    def resume(self, held: Held, result: i.Ended | None, now: float) -> None:
        fresh = held.cookie == FRESH
        held.cookie = None
        while True:
            try:
                act = next(held.gen) if fresh else held.gen.send((now, result))
            except StopIteration:
                del self.held[held.job]
                return
            result, fresh = None, False
            if not isinstance(act, i.Await):
                word = self.words[act.machine] if isinstance(act, i.Send) else None
                self.put(codec.action(act, word, held.job))
            if isinstance(act, i.Send | i.Await):
                if act.patience_ms is not None:
                    held.cookie = cookie = self.next_cookie
                    self.next_cookie += 1
                    self.cookies[cookie] = held
                    wake = i.WakeAt(now + act.patience_ms)
                    self.put(codec.action(wake, None, None, cookie))
                return


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
                instance.act(instance.balancer.wake(now))
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
