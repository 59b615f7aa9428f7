"""A fleet in virtual time: many real balancers against stand-in machines. Shows what is harmless in one front
and hurts in all. No sockets, no wall clock; the same seed gives the same run.

    python -m benchmarks.fleet                                  # calm, 230 fronts, 150 machines, one seed
    python -m benchmarks.fleet --day zone --machines 1024 --seeds 10

The machines are models (queue before some cores, warm-up, connections and what a new one costs), not
measurements of real ones. Clients ask once. What it prints are ratios of one run.
"""

import argparse
import heapq
import math
import time
from bisect import bisect
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from myrtleroad import interface as i
from myrtleroad.policy.balancer import Balancer
from myrtleroad.request_coroutine import RequestCoroutine

DAYS = ("calm", "pause", "kill", "zone", "cut", "stale", "trial", "burst")
GRACE, COLD_MS, COLD_SHARE, FALL_MS, FACTOR, IDLE_MS = 250.0, 3000.0, 0.36, 2000.0, 2.0, 15_000.0
LATE_MS = (300.0, 900.0)  # from a change at a machine to a front's list
WIRE_MS, CONNECT_MS, HANDSHAKE_MS = 0.3, 250.0, 1.0  # one way; the longest wait; work of a new connection
WORK = ((250.0, 0.68), (100.0, 0.32))  # mean work of a route in ms, its part of the reqs
ROUTES = (
    i.Route(i.RetrySafety.RETRIABLE, i.DedupScope.ALL, 0.0, 2000.0, 6000.0, 2.0, 0.0),
    i.Route(i.RetrySafety.NON_RETRIABLE, i.DedupScope.ALL, 0.0, 750.0, 2000.0, 3.0, 0.2),
)


def facts(fronts: int, per_s: float, zone: int) -> i.Settings:
    """``per_s``: what all tenants together are granted."""
    caps, on, back = (0.05, 0.4, 1.0), math.ceil(0.4 * fronts), math.ceil(0.08 * fronts)
    gate, calls = i.VoteMode.COUNT, max(10.0, fronts / 12)
    roll = i.Rollout(gate, on, back, 6000.0, 2000.0, calls, 900.0, caps, 2000.0, 1.0, False, 0, False, 0.0)
    return i.Settings(
        balancers=fronts,
        zone=zone,
        routes=ROUTES,
        tenants=tuple(i.Tenant(s, s * per_s) for s in (0.4, 0.3, 0.3)),
        over_share_benefit=0.2,
        benefit_by_work=False,
        server_rules=i.ServerRules(GRACE, COLD_MS, COLD_SHARE, FACTOR, FALL_MS, 10_000.0),
        rollout=roll,
        list_on_request=True,
        max_attempts=6,
        hedging_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ms=500.0,
        weights_are_capacity=True,
        load_column=0,
        handshake_cost=0.08,
        idle_timeout_ms=IDLE_MS,
    )


@dataclass(slots=True, eq=False)
class Node:
    """A stand-in machine: reqs wait for the first free of its cores."""

    number: int
    cores: int
    speed: float
    zone: int
    most_conns: int
    free: list[float]  # when each core is free, a heap
    row: i.ServerEntry
    held: int = 0
    out: dict[int, tuple] = field(default_factory=dict)  # tries it has; emptied by each one's end
    conns: int = 0
    up: bool = True
    cut: bool = False  # nobody reaches it
    life: int = 0  # counts its starts: what it held before is gone
    started: float = -1e9
    got: deque[tuple[float, float]] = field(default_factory=deque)  # work come while cold; emptied by age

    def warmth(self, now: float) -> float:
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_MS)

    def take(self, work: float, now: float) -> float:
        """When this work is done."""
        begin = max(now, heapq.heappop(self.free))
        end = begin + work / (self.speed * self.warmth(begin))
        heapq.heappush(self.free, end)
        self.held += 1
        return end

    def toppled(self, work: float, now: float) -> bool:
        """Whether this is more than a cold machine bears in a window (with a few reqs' slack for chance)."""
        if now - self.started >= COLD_MS:
            self.got.clear()
            return False
        self.got.append((now, work))
        while self.got[0][0] <= now - FALL_MS:
            self.got.popleft()
        bears = FACTOR * self.cores * self.speed * self.warmth(now) * min(FALL_MS, now - self.started + 500)
        return sum(w for _, w in self.got) > bears + 3 * WORK[0][0]


@dataclass(slots=True, eq=False)
class Front:
    number: int
    zone: int
    weight: float
    balancer: Balancer
    idle: dict[int, list[float]] = field(default_factory=dict)  # by node: when each idle connection was freed
    knows: dict[int, tuple[i.ServerStatus, float]] = field(
        default_factory=dict
    )  # what it was told of a node, when
    trial: deque[float] = field(default_factory=deque)  # tries on the trial; emptied by age, as is ``taken``
    taken: deque[float] = field(default_factory=deque)


class Fleet:
    """One run. ``play`` returns the counts; times are ms of the run's own clock."""

    def __init__(self, fronts: int, machines: int, seed: int, load: float = 0.57, zones: int = 3):
        self.chance, self.counts, self.now = Random(seed), Counter(), 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []  # emptied as they happen
        self.number = 0
        draw = self.chance.uniform
        self.nodes = []
        for n in range(machines):
            cores, speed = (3, draw(0.85, 1.1)) if n % 2 else (4, draw(0.64, 0.86))
            row = i.ServerEntry(n, i.ServerStatus.IN_SERVICE, 1, n % zones, n // 6, n % 2, float(cores), 0.0)
            most = max(40, fronts // 2) if machines > 20 else 2 * fronts
            self.nodes.append(Node(n, cores, speed, n % zones, most, [0.0] * cores, row))
        mean = sum(w * part for w, part in WORK)
        self.per_ms = load * sum(n.cores * n.speed for n in self.nodes) / mean
        quota = 1300 * self.per_ms
        self.fronts = []
        for n in range(fronts):
            b = Balancer(facts(fronts, quota, n % zones), self.chance.getrandbits(40), 0.0)
            self.fronts.append(Front(n, n % zones, self.chance.lognormvariate(0.0, 0.6), b))
        self.cap, self.longest = 0.0, 0

    def at(self, when: float, call: Callable, *args) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, call, args))

    def play(self, day: str, length: float = 20_000.0) -> Counter:
        self.length = length
        for f in self.fronts:
            f.balancer.update_stage(self.news(1, i.RolloutPhase.RELEASED, 0.0), 0.0)
            rows = [
                i.ServerEntry(*(getattr(n.row, name) for name in i.ServerEntry.__slots__)) for n in self.nodes
            ]
            f.balancer.update_server_list(i.ServerListUpdate(i.ListKind.REMEMBERED, rows), 0.0)
            self.at(self.chance.uniform(0, 100), self.wake, f)
        self.arrive(Weights(self.fronts))
        getattr(self, f"on_{day}")()
        while self.events and self.events[0][0] < length + 8000:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.counts["longest_queue"] = self.longest
        self.counts["unanswered"] = self.counts["taken"] - self.counts["answered"]
        return self.counts

    # --- the days ---

    def on_calm(self) -> None:
        pass

    def on_burst(self) -> None:
        self.at(0.4 * self.length, self.faster, 1.6)
        self.at(0.6 * self.length, self.faster, 1 / 1.6)

    def on_pause(self) -> None:
        for n in self.chance.sample(self.nodes, 3 * len(self.nodes) // 10):
            for k in range(4):
                when = self.length * (0.2 + 0.15 * k) + self.chance.uniform(0, 1000)
                self.at(when, self.pause, n, self.chance.uniform(200, 600))

    def on_kill(self) -> None:
        for f in self.chance.sample(self.fronts, 7 * len(self.fronts) // 10):
            self.at(0.4 * self.length, self.restart, f)

    def on_zone(self, lost: int = 0) -> None:
        for n in self.nodes:
            if n.zone == lost:
                self.at(0.3 * self.length, self.down, n)
                self.at(0.3 * self.length + 4000 + self.chance.uniform(0, 600), self.back, n)

    def on_cut(self) -> None:
        for n in self.chance.sample(self.nodes, len(self.nodes) // 5):
            self.at(0.3 * self.length, self.sever, n, True)
            self.at(0.3 * self.length + 6000, self.sever, n, False)

    def on_stale(self) -> None:
        """Machines drain and come back cold one after another while lists come seconds late."""
        for k, n in enumerate(self.chance.sample(self.nodes, len(self.nodes) // 3)):
            when = 0.2 * self.length + 0.5 * self.length * k / (len(self.nodes) // 3)
            self.at(when, self.drain, n, 2500.0)

    def on_trial(self) -> None:
        self.cap = 0.068
        for n in self.nodes[: max(1, len(self.nodes) // 50)]:
            n.row.build = 2
            n.started = n.row.started_at = 1.0
            self.tell(n, 0.0)
        for f in self.fronts:
            self.at(500.0, f.balancer.update_stage, self.news(2, i.RolloutPhase.ON_TRIAL, self.cap), 500.0)

    # --- what happens to machines and fronts ---

    def faster(self, factor: float) -> None:
        self.per_ms *= factor

    def pause(self, n: Node, length: float) -> None:
        n.free = [max(t, self.now) + length for t in n.free]
        heapq.heapify(n.free)

    def sever(self, n: Node, cut: bool) -> None:
        n.cut = cut

    def down(self, n: Node) -> None:
        """It dies: what it held is reset, its connections are gone."""
        n.up, n.held, n.conns, n.life = False, 0, 0, n.life + 1
        for token, ctx in n.out.items():
            self.at(self.now + WIRE_MS, self.over, token, *ctx, i.Outcome.RESET)
        for f in self.fronts:
            f.idle.pop(n.number, None)

    def back(self, n: Node) -> None:
        n.up, n.started, n.free = True, self.now, [self.now] * n.cores
        n.row.started_at, n.row.status = self.now, i.ServerStatus.IN_SERVICE
        self.tell(n, 0.0)

    def drain(self, n: Node, late: float) -> None:
        n.row.status = i.ServerStatus.DRAINING
        self.tell(n, late)
        self.at(self.now + late + 3000, self.down, n)
        self.at(self.now + late + 4500, self.back, n)

    def tell(self, n: Node, late: float) -> None:
        for f in self.fronts:
            when = self.now + late + self.chance.uniform(*LATE_MS)
            row = i.ServerEntry(*(getattr(n.row, name) for name in i.ServerEntry.__slots__))
            self.at(when, self.told, f, row)

    def told(self, f: Front, row: i.ServerEntry) -> None:
        f.knows[row.server] = (row.status, self.now)
        f.balancer.update_server_list(i.ServerListUpdate(i.ListKind.CHANGES, [row]), self.now)

    def restart(self, f: Front) -> None:
        """Killed outright: what it held is gone, owed to nobody."""
        old = f.balancer
        f.balancer = Balancer(old.settings, self.chance.getrandbits(40), self.now)
        f.balancer.update_stage(self.news(1, i.RolloutPhase.RELEASED, 0.0), self.now)
        rows = [
            i.ServerEntry(*(getattr(n.row, name) for name in i.ServerEntry.__slots__)) for n in self.nodes
        ]
        f.balancer.update_server_list(i.ServerListUpdate(i.ListKind.REMEMBERED, rows), self.now)
        for number, freed in f.idle.items():
            self.nodes[number].conns -= len(freed)
        f.idle = {}

    def news(self, build: int, phase: i.RolloutPhase, cap: float) -> i.StageUpdate:
        return i.StageUpdate(i.Outcome.COMPLETED, False, build, 0, phase, cap, 0.0)

    def wake(self, f: Front) -> None:
        wakes = [a.at for a in f.balancer.wake(self.now) if isinstance(a, i.WakeAt)]
        if self.now < self.length + 7000:
            self.at(min(wakes), self.wake, f)

    # --- reqs ---

    def arrive(self, weights: "Weights") -> None:
        if self.now < self.length:
            self.at(self.now + self.chance.expovariate(self.per_ms), self.arrive, weights)
        if self.now > 0:
            self.asked(weights.draw(self.chance.random()))

    def asked(self, f: Front) -> None:
        route = 0 if self.chance.random() < WORK[0][1] else 1
        r = ROUTES[route]
        self.counts["taken"] += 1
        self.counts["asked"] += r.benefit
        tenant = 0 if (u := self.chance.random()) < 0.4 else 1 if u < 0.7 else 2
        rq = i.Request(self.counts["taken"], route, tenant, None, self.now + r.timeout_ms, 0.0, False)
        f.taken.append(self.now)
        life = RequestCoroutine(rq.id, f.balancer.serve_request(rq, self.now))
        work = self.chance.lognormvariate(-0.2, 0.63) * WORK[route][0]
        self.step(f, f.balancer, rq, life, work, None)

    def step(
        self,
        f: Front,
        b: Balancer,
        rq: i.Request,
        life: RequestCoroutine,
        work: float,
        ended: i.AttemptEnded | None,
    ):
        for act in life.resume(ended, self.now):
            match act:
                case i.SendAttempt(machine, timeout):
                    self.send(f, b, rq, life, work, self.nodes[machine], timeout)
                case i.Shed() | i.Fail():
                    self.counts["answered"] += 1
                    self.counts["shed" if isinstance(act, i.Shed) else "errored"] += 1
                    if ended is None:
                        self.counts["shed_untried"] += 1
                    life.close()
                    return

    def send(self, f, b, rq, life, work, n: Node, timeout: float) -> None:
        self.counts["tries"] += 1
        self.check(f, n)
        now = self.now
        try_no = next(k for ident, k in reversed(b.servers[n.number].in_flight) if ident == rq.id)
        token, ctx = self.counts["tries"], (f, b, rq, life, work, n, try_no, now)
        n.out[token] = ctx
        idle = f.idle.get(n.number)
        if n.cut:
            # It says nothing: a new connection never comes up, a req on an old one is never answered.
            end = i.Outcome.TIMEOUT if idle else i.Outcome.NOT_CONNECTED
            self.at(now + (timeout if idle else min(timeout, CONNECT_MS)), self.over, token, *ctx, end)
            return
        if not n.up or (not idle and n.conns >= n.most_conns):
            self.at(now + WIRE_MS, self.over, token, *ctx, i.Outcome.NOT_CONNECTED)
            return
        extra = 0.0
        if idle:
            idle.pop()
        else:
            n.conns += 1
            extra = HANDSHAKE_MS
            self.counts["handshakes"] += 1
        if n.toppled(work, now):
            self.counts["broken_cold"] += 1
        done = n.take(work + extra, now + WIRE_MS)
        self.longest = max(self.longest, n.held)
        self.at(done, self.finished, n, n.life)
        end, when = (
            (i.Outcome.TIMEOUT, now + timeout)
            if done - now > timeout
            else (i.Outcome.COMPLETED, done + WIRE_MS)
        )
        self.at(when, self.over, token, *ctx, end)

    def finished(self, n: Node, life: int) -> None:
        if n.life == life:
            n.held -= 1

    def over(self, token: int, f, b, rq, life, work, n: Node, try_no, sent, end: i.Outcome) -> None:
        if n.out.pop(token, None) is None:
            return  # it was reset before
        if b is not f.balancer:
            if not life.finished:
                life.close()
                self.counts["answered"] += 1  # owed to nobody: its front was killed
                self.counts["lost_with_front"] += 1
            return
        if end == i.Outcome.COMPLETED:
            f.idle.setdefault(n.number, []).append(self.now)
            self.at(self.now + 0.8 * IDLE_MS, self.expire, f, n, self.now)
        elif end == i.Outcome.TIMEOUT:
            n.conns -= 1
        self.counts[f"try_{end.name.lower()}"] += 1
        took, done = self.now - sent, end == i.Outcome.COMPLETED
        ended = i.AttemptEnded(n.number, try_no, end, took, float(n.held) if done else None, done)
        b.record_outcome(rq.id, ended, self.now)
        if not done:
            return self.step(f, b, rq, life, work, ended)
        life.close()
        r = ROUTES[rq.route]
        self.counts["answered"] += 1
        age = self.now - (rq.deadline - r.timeout_ms)
        self.counts["served"] += r.benefit if age <= r.objective_ms else r.benefit * r.late_benefit
        self.counts["late"] += age > r.objective_ms
        self.counts["unanswered_in_time"] += age > r.timeout_ms + 50

    def expire(self, f: Front, n: Node, freed: float) -> None:
        if freed in (idle := f.idle.get(n.number, [])):
            idle.remove(freed)
            n.conns -= 1

    def check(self, f: Front, n: Node) -> None:
        """The rules on what is sent, by what this front was told."""
        status, when = f.knows.get(n.number, (i.ServerStatus.IN_SERVICE, 0.0))
        self.counts["broken_drain"] += status != i.ServerStatus.IN_SERVICE and self.now - when > GRACE
        if n.row.build == 2:
            f.trial.append(self.now)
            for window in (f.trial, f.taken):
                while window and window[0] < self.now - 2000.0:
                    window.popleft()
            self.counts["trial_tries"] += 1
            self.counts["broken_exposure"] += len(f.trial) > 1 + self.cap * len(f.taken) + 2


class Weights:
    """Draws fronts by their part of the traffic."""

    def __init__(self, fronts: list[Front]):
        self.fronts, self.sums, total = fronts, [], 0.0
        for f in fronts:
            total += f.weight
            self.sums.append(total)

    def draw(self, chance: float) -> Front:
        return self.fronts[bisect(self.sums, chance * self.sums[-1])]


def report(c: Counter) -> str:
    broken = {k[7:]: n for k, n in c.items() if k.startswith("broken_") and n} or "none"
    return (
        f"served {c['served'] / c['asked']:.3f}  shed {c['shed'] / c['taken']:.3f} "
        f"(untried {c['shed_untried'] / c['taken']:.3f})  late {c['late'] / c['taken']:.3f}  "
        f"handshakes a req {c['handshakes'] / c['taken']:.2f}  not connected {c['try_not_connected']}  "
        f"longest queue {c['longest_queue']}  unanswered {c['unanswered']}  rules broken: {broken}"
    )


def main() -> None:
    ask = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ask.add_argument("--day", default="calm", choices=(*DAYS, "all"))
    ask.add_argument("--fronts", type=int, default=230)
    ask.add_argument("--machines", type=int, default=150)
    ask.add_argument("--seeds", type=int, default=1)
    ask.add_argument("--seconds", type=float, default=20.0)
    ask.add_argument("--load", type=float, default=0.57)
    told = ask.parse_args()
    for day in DAYS if told.day == "all" else (told.day,):
        for seed in range(told.seeds):
            began = time.process_time()
            counts = Fleet(told.fronts, told.machines, seed, told.load).play(day, 1000 * told.seconds)
            spent = time.process_time() - began
            print(
                f"{day:6} seed {seed}  {report(counts)}  [{1e6 * spent / counts['taken']:.0f} us a req]",
                flush=True,
            )


if __name__ == "__main__":
    main()
