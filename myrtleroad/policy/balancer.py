"""Routing, health, further attempts, refusals and votes of one front.

A host makes one ``Balancer(facts, seed, now)`` per front, calls ``wake`` at once and whenever it asked to,
hands it events and runs ``serve(rq, now)`` of each req. See ``interface.py`` and ``docs/design.md``.
"""

from bisect import bisect
from collections import deque
from collections.abc import Generator, Iterable
from itertools import accumulate
from math import sqrt
from random import Random

from myrtleroad import interface as i
from myrtleroad.interface import Outcome, RetrySafety, RolloutPhase, ServerStatus, Verdict
from myrtleroad.membership.lease import ListLease
from myrtleroad.membership.start_clock import StartClock
from myrtleroad.policy.state import Attempt, Past, Server
from myrtleroad.policy.trial import TrialTest


class Balancer:
    TICK = 100.0  # ms between looks at the stage; short beside every stage age

    def __init__(self, settings: i.Settings, seed: int, now: float):
        self.settings, self.random = settings, Random(seed).random
        self.servers: dict[int, Server] = {}  # emptied by the list
        self.sides: dict[bool, list[Server]] = {False: [], True: []}  # in service; True: on trial
        self.trial_test = TrialTest(settings)
        self.stage_update = i.StageUpdate(Outcome.COMPLETED, False, 0, 0, RolloutPhase.RELEASED, 0.0, 0.0)
        self.stage, self.stage_at = 0, now  # as we believe; the cap is as last told
        self.share = [
            0.25 for _ in settings.routes
        ]  # time over objective per route, builds on trial left out
        self.seen = [0.0] * len(settings.routes)  # how many of them lately
        self.whole = [0.0] * len(settings.routes)  # time that first asks bring, learnt
        self.usual = [r.objective_ms / 4 for r in settings.routes]  # latency per route, learnt
        kinds = range(len(settings.routes) if settings.rollout.cap_per_route else 1)
        self.taken, self.trial_sent = ([deque() for _ in kinds] for _ in range(2))  # emptied by age
        self.spare_tries, self.squeeze = 5.0, 0.0  # retry budget; share of tries not connected
        self.done_cost, self.rate, self.rate_at, self.refused_at, self.refusing = 0.0, 0.0, now, -1e9, False
        self.vote, self.vote_at, self.vote_ok, self.next_call = i.Vote(-1, Verdict.NONE, 0), -1e9, False, 0.0
        self.retry_at = 0.0  # after a call that did not count
        self.max_trial_share = 1.0  # of a trial, that operators allow
        self.start_clock = StartClock()  # told by a host that follows a watch
        self.lease: ListLease | None = None  # of the list; a host that follows none sets none
        self.lease_held = True  # as last noted in the log
        self.credit, self.part = 0.0, 0.0  # tries that the build on trial may be given; earned a req
        self.usual_met, self.newest, self.mean_open = 2.0, 0.0, 0.0
        self.level, self.mean_size = 0.0, 1.0  # reported load beyond our own a size, warm; size of a machine
        self.steps: dict[bool, list[float]] = {}  # sums of the sizes along each side, for draws by size
        self.young: dict[bool, list[Server]] = {}  # those of each side that are cold
        self.strain = 0.0  # recent times over objectives, by route and how many were seen
        self.fresh = 0  # of them since the last tick
        self.open, self.limit = 0, float("inf")  # tries out on machines that are not apart; most of them
        self.density = [
            r.benefit / (1 if settings.benefit_by_work else r.objective_ms) for r in settings.routes
        ]
        self.tenant_used = [(0.0, now) for _ in settings.tenants]
        self.front_part, self.arrivals = 1 / settings.balancers, 0  # of all reqs; those since the last count
        self.answered: set[str] = set()  # keys the trial build has answered; emptied at each news of phase

    def update_server_list(self, event: i.ServerListUpdate, now: float) -> list[i.Action]:
        if event.kind != i.ListKind.CHANGES:
            for index in self.servers.keys() - {row.server for row in event.entries}:
                self.servers[index].entry.status = ServerStatus.GONE
        for row in event.entries:
            if (
                row.build > max(self.trial_test.build, self.stage_update.build)
                and self.stage_update.build > 0
            ):
                self.trial_test.offer(row.build)  # the list may be quicker than the news
            known = self.servers.get(row.server)
            if known is None or known.entry.started_at != row.started_at or known.entry.build != row.build:
                known = self.servers[row.server] = Server(row, in_flight=known.in_flight if known else {})
            known.entry = row
        self.servers = {
            x: m for x, m in self.servers.items() if m.entry.status != ServerStatus.GONE or m.in_flight
        }
        self.regroup()
        return []

    def narrow_settings(self, event: i.SettingsNarrowed, now: float) -> None:
        """Holds for reqs taken from now on; a lower share binds tries not yet sent too."""
        self.settings, self.max_trial_share = event.settings, event.max_trial_share

    def regroup(self) -> None:
        live = [m for m in self.servers.values() if m.entry.status == ServerStatus.IN_SERVICE]
        self.sides = {x: [m for m in live if self.is_on_trial(m.entry.build) == x] for x in (False, True)}
        starts = [
            m.entry.started_at for m in self.servers.values() if m.entry.build == self.stage_update.build
        ]
        newest = max(starts, default=0.0)
        self.newest = newest - self.start_clock.offset_ms() if newest > 0 else 0.0
        self.steps = {x: list(accumulate(self.size(m) for m in side)) for x, side in self.sides.items()}
        self.young = {x: [m for m in side if m.entry.started_at > 0] for x, side in self.sides.items()}
        self.mean_size = sum(map(self.size, live)) / max(1, len(live))
        self.open = sum(len(m.in_flight) for m in self.servers.values() if not self.apart(m))

    def update_stage(self, event: i.StageUpdate, now: float) -> list[i.Action]:
        if event.answers_vote:
            self.vote_ok = event.outcome in (Outcome.COMPLETED, Outcome.TIMEOUT)  # a timeout may count
            if event.outcome == Outcome.MOOT and self.vote == i.Vote(
                self.stage_update.build, Verdict.ON, self.stage
            ):
                # Guards against late news: the stage we knew is over, and it had lasted its time.
                self.stage = min(self.stage + 1, self.trial_test.last)
                self.stage_at = min(now, max(self.stage_at, self.newest) + self.trial_test.stage_age)
        if event.outcome != Outcome.COMPLETED:
            self.retry_at = self.next_call = now + 500 + 1000 * self.random()
        if event.outcome != Outcome.COMPLETED or event.build < self.stage_update.build:
            return []
        if event.build > self.trial_test.build and event.phase == RolloutPhase.ON_TRIAL:
            self.trial_test.offer(event.build)
        if event.build != self.stage_update.build or event.phase in (
            RolloutPhase.GOING_BACK,
            RolloutPhase.WITHDRAWN,
        ):
            self.answered.clear()
        if event.stage >= self.stage or (event.build, event.phase) != (
            self.stage_update.build,
            self.stage_update.phase,
        ):
            self.stage, self.stage_at = event.stage, now - event.stage_age_ms
        self.stage_update = event
        self.regroup()
        return []

    def is_on_trial(self, build: int) -> bool:
        new, phase = self.stage_update.build, self.stage_update.phase
        return build > new or (build == new and phase != RolloutPhase.RELEASED)

    def exposure_cap(self, build: int) -> tuple[float, int]:
        if build > self.stage_update.build:
            return min(self.settings.rollout.stage_caps[0], self.max_trial_share), 0
        cap = self.stage_update.cap if self.stage_update.phase == RolloutPhase.ON_TRIAL else 0.0
        return min(cap, self.max_trial_share), self.stage_update.stage

    def exposure_room(self, rq: i.Request, build: int, now: float) -> bool:
        roll = self.settings.rollout
        cap, stage = self.exposure_cap(build)
        retriable = self.settings.routes[rq.route].retry_safety == RetrySafety.RETRIABLE
        if cap <= 0 or (stage < roll.retriable_only_stages and not retriable):
            return False
        kind = rq.route if roll.cap_per_route else 0
        self.prune(now)
        return len(self.trial_sent[kind]) + 1 <= roll.free_attempts + cap * len(self.taken[kind])

    def prune(self, now: float) -> None:
        """A try exactly one span ago counts still: tries are kept 10 ms too long, reqs 10 ms too short."""
        for windows, edge in ((self.taken, -10.0), (self.trial_sent, 10.0)):
            for times in windows:
                while times and times[0] < now - self.settings.rollout.exposure_window_ms - edge:
                    times.popleft()

    def wake(self, now: float) -> list[i.Action]:
        actions: list[i.Action] = [i.WakeAt(now + self.TICK)]
        self.prune(now)
        if now - self.rate_at >= 1000:
            self.learn_rate(now)
        self.share_out(now)
        self.adapt()
        if (self.refused_at > now - 1000) != self.refusing:
            self.refusing = not self.refusing
            word, rest = "began" if self.refusing else "ended", self.resting(self.servers.values(), now)
            actions.append(
                i.LogMessage(f"refusing {word}: open limit {self.limit:.1f}, {rest} machines rest")
            )
        actions += self.note_lease(now)
        news = self.stage_update
        if (
            news.phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)
            or news.build != self.trial_test.build
        ):
            return actions
        released = news.phase == RolloutPhase.RELEASED
        age = now - self.stage_at if released else self.stage_age(now)
        laden = self.refusing and self.settings.load_column is not None  # reports tell load from slowness
        verdict, why = self.trial_test.judge(self.stage, age, released, laden)
        if why:
            actions.append(i.LogMessage(f"build {news.build} stage {self.stage}: {verdict.name} ({why})"))
        clock = (
            self.settings.rollout.vote_mode == i.VoteMode.CLOCK
        )  # which knows hold and back, the others on and back
        if verdict in (Verdict.BACK, Verdict.HOLD if clock else Verdict.ON):
            actions += self.cast(i.Vote(news.build, verdict, self.stage), now)
        return actions

    def note_lease(self, now: float) -> list[i.Action]:
        holds = self.lease is None or self.lease.is_valid(now)
        if holds == self.lease_held:
            return []
        self.lease_held = holds
        if holds:
            return [i.LogMessage("list lease holds again")]
        shown = sum(self.may_send_to(m, now) for m in self.servers.values())
        return [
            i.LogMessage(f"list lease expired: {shown} of {len(self.servers)} servers have shown they serve")
        ]

    def stage_age(self, now: float) -> float:
        return now - (self.newest if self.newest > self.stage_at else self.stage_at + 8000.0)  # worst (bench)

    def cast(self, vote: i.Vote, now: float) -> list[i.Action]:
        life = 0.7 * self.settings.rollout.vote_lifetime_ms
        # A word back does not wait for the turn of words on, which the fronts take by their number.
        turn = self.retry_at if vote.verdict == Verdict.BACK != self.vote.verdict else self.next_call
        if now < turn or (vote == self.vote and self.vote_ok and now - self.vote_at < life):
            return []
        self.vote, self.vote_at, self.vote_ok = vote, now, False
        self.next_call = now + 1000 * self.settings.balancers / self.settings.rollout.max_calls_per_s
        return [vote]

    def learn_rate(self, now: float) -> None:
        size = sum(
            self.warmth(m, now) for m in self.servers.values() if m.entry.status == ServerStatus.IN_SERVICE
        )
        gain, rate = 0.2 if self.rate else 1.0, self.done_cost / (now - self.rate_at) / max(size, 1.0)
        self.rate += gain * (rate - self.rate)
        if quota := sum(t.quota_per_s for t in self.settings.tenants):
            # Over half a minute, as bursts end; quotas are taken to leave half as much again over the usual.
            part = 1.5 * 1000 * self.arrivals / (now - self.rate_at) / quota
            self.front_part = max(
                1 / self.settings.balancers, self.front_part + 0.03 * (part - self.front_part)
            )
        self.done_cost, self.rate_at, self.arrivals = 0.0, now, 0

    def warmth(self, m: Server, now: float) -> float:
        rules = self.settings.server_rules
        age = max(0.0, self.age(m, now))
        return min(
            1.0,
            rules.slow_start_min_share
            + (1 - rules.slow_start_min_share) * age / max(rules.slow_start_ms, 1.0),
        )

    def age(self, m: Server, now: float) -> float:
        """How long ago a machine started; inf for long ago."""
        return (
            now + self.start_clock.offset_ms() - m.entry.started_at
            if m.entry.started_at > 0
            else float("inf")
        )

    def cold_room(self, m: Server, cost: float, now: float) -> bool:
        """Guards a cold machine: our share of multiple x (low) capacity x window, in whole tries by luck."""
        rules, warmth = self.settings.server_rules, self.warmth(m, now)
        if warmth >= 1.0:
            return True
        self.draw(m, now)
        budget = rules.overload_factor * warmth * self.rate * rules.overload_window_ms
        return sum(c for _, c in m.sent) + m.luck * cost < budget

    def draw(self, m: Server, now: float) -> None:
        fall = self.settings.server_rules.overload_window_ms
        while m.sent and m.sent[0][0] <= now - fall:
            m.sent.popleft()
        if now >= m.luck_until:
            # None in the first window, which ends anywhere: fronts are told of a start at once. Drawn once
            # where the platform counts: more tries on cold trial machines look like a slow build to it.
            once, first = self.settings.rollout.counts_interval_ms > 0, m.luck_until < 0
            m.luck = self.random() if once or not first else float("inf")
            m.luck_until = now + (float("inf") if once else fall * (self.random() if first else 1.0))

    def owed(self, m: Server, cost: float, now: float) -> bool:
        """Whether a cold machine gets our next try: where our part of its work is less than one, by luck.
        Guards against machines that come back and stay empty, as who may send there seldom meets them."""
        self.draw(m, now)
        part = self.warmth(m, now) * self.rate * self.settings.server_rules.overload_window_ms
        lucky = m.luck_until < 1e18 and not m.sent and m.luck * cost < part < cost
        return lucky and m.ejected_until <= now

    def record_outcome(self, ident: int, ended: i.AttemptEnded, now: float) -> None:
        m = self.servers.get(ended.server)
        gone = m.in_flight.pop((ident, ended.attempt_number), None) if m else None
        if m is None or gone is None:
            return
        r, apart, done = gone.route, self.apart(m), ended.outcome == Outcome.COMPLETED
        route, share = (
            self.settings.routes[r],
            min(ended.duration_ms / self.settings.routes[r].objective_ms, 1.5),
        )
        self.open -= not apart
        if ended.reported_load is not None:
            beyond = ended.reported_load - len(m.in_flight)
            m.others += 0.1 * (beyond - m.others)
            self.level += 0.05 * (beyond / (self.size(m) * self.warmth(m, now)) - self.level)
        if ended.outcome == Outcome.TIMEOUT and share < 0.9:
            return  # the client's own patience was short: nothing is known of machine, build or queue
        if done:
            self.done_cost += gone.cost
            if gone.key and self.settings.rollout.forbids_downgrade and self.is_on_trial(m.entry.build):
                self.answered.add(gone.key)
            seen = ended.duration_ms / self.usual[r] / gone.met * self.usual_met
            m.took = max(m.took, gone.sent)
            if self.lease is not None and self.lease.covers_connection(ended.connected_at):
                m.served_at = max(m.served_at, gone.sent)
            m.known += 1  # one heavy req says little of a machine that completes many
            m.pace += max(0.03, 1 / (m.known + 9)) * (min(seen, 4.0) - m.pace)
            self.usual[r] += 0.02 * (ended.duration_ms - self.usual[r])
        if (done or ended.outcome in (Outcome.TIMEOUT, Outcome.FULL)) and not apart:
            self.share[r] += self.SHARE_GAIN * ((share if done else 1.5) - self.share[r])
            self.seen[r] += 1
            self.fresh += 1
        refused = ended.outcome == Outcome.NOT_CONNECTED
        self.squeeze += 0.05 * (refused - self.squeeze)
        m.linked = m.linked if refused else now
        if ended.outcome == Outcome.FULL and self.lease is not None and not self.lease.has_stream:
            m.ejected_until = now + 2000  # it may drain, and nobody tells us
            m.served_at = -1e9
        failed = ended.outcome in (Outcome.ERRORED, Outcome.FULL, Outcome.RESET, Outcome.TIMEOUT)
        if failed or done:
            m.failing += 0.2 * (failed - m.failing)
        if refused or (failed and m.failing > 0.45):
            self.eject(m, now, refused)
        if gone.judged and not self.slow(r) and (done or (failed and ended.outcome != Outcome.FULL)):
            score = ended.duration_ms if done else route.timeout_ms
            self.trial_test.take(
                m.entry.build, r, score, gone.met, done, self.is_on_trial(m.entry.build), now
            )

    def record_counts(self, event: i.AttemptCounts, now: float) -> None:
        if event.attempts > 0:
            self.trial_test.count(event)

    def record_bad_response(self, event: i.BadResponseReported, now: float) -> None:
        if m := self.servers.get(event.server):
            score, on_trial = self.settings.routes[event.route].timeout_ms, self.is_on_trial(m.entry.build)
            self.trial_test.take(m.entry.build, event.route, score, 2.0, False, on_trial, now)

    def eject(self, m: Server, now: float, refused: bool) -> None:
        # Guards against sick machines and bad links; what all share ejects none, two fifths stay in use.
        peers = self.sides[self.is_on_trial(m.entry.build)]
        level = sorted(p.failing for p in peers)[len(peers) // 4] if peers else 1.0
        if refused or (m.failing > 0.45 + level and 5 * self.resting(peers, now) < 3 * len(peers)):
            m.ejected_until = now + 2000 + 1000 * self.random()
            m.failing = m.failing if refused else 0.35

    def slow(self, r: int) -> bool:
        """Whether this route alone is late on every machine: no one's fault, and no queue's."""
        return self.share[r] > 3 * max(self.share[:r] + self.share[r + 1 :], default=1.0)

    def resting(self, machines: Iterable[Server], now: float) -> int:
        return sum(m.ejected_until > now for m in machines)

    def size(self, m: Server) -> float:
        return max(m.entry.weight, 0.1)

    def expected(self, m: Server, now: float) -> float:
        """Expected completion here in units of the usual latency; a silent machine counts as slow."""
        ticks, m.faded = (now - m.faded) / self.TICK, now
        size = self.size(m) * self.warmth(m, now)
        usual = max(0.0, self.level) * size
        m.others = usual + (m.others - usual) * 0.93**ticks  # what is not seen fades
        m.known, m.pace = m.known * 0.99**ticks, (pace := 1 + (m.pace - 1) * 0.99**ticks)
        if m.in_flight:
            oldest = next(iter(m.in_flight.values()))
            pace = max(pace, (now - max(oldest.sent, m.linked)) / self.usual[oldest.route] / 2)
        if now - m.linked > 2000:  # a front that is refused connections stays with those it has
            pace *= 1 + 20 * self.squeeze
        pace *= (1 + m.failing) * (1.15 if m.entry.zone != self.settings.zone else 1.0)  # crossing is priced
        # So is a new connection: one that carries a try is not free, and an idle one goes in good time.
        new = bool(m.in_flight) or now - m.took > 0.8 * self.settings.idle_timeout_ms
        pace *= 1 + self.settings.handshake_cost * new
        # One req more counts as on a machine of the mean size: a large one all fronts prefer has no room.
        one = self.size(m) / self.mean_size
        return (len(m.in_flight) + max(0.0, m.others) + one) * pace / size

    SAMPLE = 12  # machines ranked at most: bounds the work, and fronts alike do not all find the same one

    def best_server(self, side: bool, rq: i.Request, now: float, past: Past) -> Server | None:
        """The best of a few drawn machines; of all, resting and tried ones too, where none of these may."""
        pool = few = self.sides[side]
        if len(pool) > self.SAMPLE:
            # Drawn by size and warmth, so that fronts that know nothing load all machines alike.
            steps = self.steps[side]
            few = [pool[bisect(steps, self.random() * steps[-1])] for _ in range(self.SAMPLE)]
            few = [m for m in few if m.entry.started_at <= 0 or self.random() < self.warmth(m, now)]
            self.young[side] = young = [m for m in self.young[side] if self.warmth(m, now) < 1]
            owed = (m for m in young if self.owed(m, self.usual[rq.route], now))
            if m := next((m for m in owed if self.may_attempt(m, rq, now, past)), None):
                return m
        few = [m for m in few if m.ejected_until <= now and all(m is not p for p, _, _ in past)]
        fit = [m for m in few if self.may_attempt(m, rq, now, past)]
        fit = fit or [m for m in pool if self.may_attempt(m, rq, now, past)]
        return min(fit, key=lambda m: self.expected(m, now) * (1 + 0.05 * self.random()), default=None)

    def may_send_to(self, m: Server, now: float) -> bool:
        """Whether a machine may be sent something new, by the list and by how old it is."""
        if m.entry.status != ServerStatus.IN_SERVICE:
            return False
        return self.lease is None or self.lease.allows_sending(now, m.served_at)

    def choose_server(self, rq: i.Request, now: float, past: Past) -> Server | None:
        """The machine for the next try: the build on trial while under 0.8 of its cap, else the earlier."""
        if self.credit >= 1 and not self.slow(rq.route) and (cand := self.best_server(True, rq, now, past)):
            usual, fronts = self.sides[False], self.settings.balancers  # they are taken to send alike
            peers = 1 + fronts * sum(len(m.in_flight) for m in usual) / max(1, len(usual))
            if not usual or fronts * len(cand.in_flight) <= self.PUSH * self.warmth(cand, now) * peers:
                return cand
        return self.best_server(False, rq, now, past) or self.best_server(True, rq, now, past)

    PART, PUSH = 1.35, 1.3  # bounds on tries over part of the fleet, on load over peers': docs/design.md

    def share_out(self, now: float) -> None:
        """Each req taken earns its part of a try on the trial build, evenly in time."""
        if not self.sides[True]:
            self.part, self.credit = 0.0, self.random()  # fronts alike must not all begin at once
            return
        size = [sum(self.size(m) * self.warmth(m, now) for m in x) for x in self.sides.values()]
        # Guards against judging our own push: on busy machines a third more tries is a queue, not a build.
        # Counts, where there are any, judge at twice the slowness and want the tries.
        calm = 1.0 if self.settings.rollout.counts_interval_ms else max(0.0, 1 - self.strain / self.TARGET)
        part = 1 + (self.PART - 1) * calm
        self.part = min(
            0.8 * self.exposure_cap(self.sides[True][-1].entry.build)[0], part * size[1] / sum(size)
        )

    def may_attempt(self, m: Server, rq: i.Request, now: float, past: Past) -> bool:
        if not self.may_send_to(m, now) or not self.cold_room(m, self.usual[rq.route], now):
            return False
        if self.is_on_trial(m.entry.build):
            if not self.exposure_room(rq, m.entry.build, now):
                return False
        elif m.entry.build < self.stage_update.build and rq.dedup_key in self.answered:
            return False
        route, ran = self.settings.routes[rq.route], [p for p in past if p[2]]
        if not ran or route.retry_safety == RetrySafety.RETRIABLE:
            return True
        first, t, _ = ran[0]
        if (
            route.retry_safety == RetrySafety.NON_RETRIABLE
            or now - t.sent >= route.dedup_window_ms - self.TICK
        ):
            return False
        return (True, first.entry.zone == m.entry.zone, first.entry.cell == m.entry.cell)[route.dedup_scope]

    def shed_or_fail(self, rq: i.Request, past: Past) -> i.Shed | i.Fail:
        route = self.settings.routes[rq.route]
        deduped = route.retry_safety == RetrySafety.DEDUPED and route.dedup_scope == i.DedupScope.ALL
        if any(ran for _, _, ran in past) and not (deduped or route.retry_safety == RetrySafety.RETRIABLE):
            return i.Fail()
        soon = max(50.0, 0.4 * route.objective_ms)  # so that the repeat may still be in time
        return i.Shed(
            min(self.settings.max_retry_after_ms, soon) if self.settings.retry_after_allowed else 0.0
        )

    SHARE_GAIN = 0.15  # of each outcome: the last seven or so count
    TARGET = 0.45  # mean time over objective that is aimed at: exponential latencies then end 9 in 10 in time

    def worthy(self, rq: i.Request, now: float) -> float:
        """Benefit per unit of work against the best route's, less where its tenant is over its share."""
        worth = self.density[rq.route] / max(self.density)
        worth *= (
            self.settings.routes[rq.route].late_benefit if self.slow(rq.route) else 1.0
        )  # it holds places
        if rq.tenant is not None and self.settings.tenants:
            # A front with more than its part of the traffic has more than its part of the quota. A tenant at
            # 0.7 of its quota is five reqs over one time in twenty by chance alone: much to a small front.
            quota = self.settings.tenants[rq.tenant].quota_per_s * self.front_part
            most = quota + 5
            used, at = self.tenant_used[rq.tenant]
            used = max(0.0, used - (now - at) * quota / 1000) + 1
            self.tenant_used[rq.tenant] = (min(used, 2 * most), now)
            worth *= self.settings.over_share_benefit if used > most else 1.0
        return worth

    def room(self, rq: i.Request, now: float) -> float:
        """Open tries under which a req is taken: fewer if less worthy, or a repeat that can only be late."""
        r, route = rq.route, self.settings.routes[rq.route]
        more = min(rq.deadline - now, route.timeout_ms) - self.whole[r]  # than first asks bring
        self.whole[r] += (0.1 if more > 0 else 0.005) * more
        timely = 0.6 + 0.4 * route.late_benefit if self.usual[r] - more > route.objective_ms else 1.0
        return self.limit * (0.7 + 0.3 * self.worthy(rq, now)) * timely

    def apart(self, m: Server) -> bool:
        """Whether a machine is on trial beside a fleet that is not: its hanging must not close the door."""
        return self.is_on_trial(m.entry.build) and len(self.sides[True]) < len(self.sides[False])

    def adapt(self) -> None:
        """Once a tick: fewer open tries while answers come late, more while the limit binds."""
        self.mean_open += 0.1 * (self.open - self.mean_open)
        out = max(self.open, self.mean_open)  # a small front has none out at most looks
        self.seen = [0.98 * x for x in self.seen]  # a jam without answers must not hold the limit for good
        fair = [r for r in range(len(self.seen)) if not self.slow(r)]
        strain = sum(self.seen[r] * self.share[r] for r in fair) / (sum(self.seen[r] for r in fair) + 1)
        self.strain = strain
        if strain > self.TARGET:
            # As far as what was seen since bears it, and not into what chance alone has open: one late answer
            # to a small front is no jam, and a clump no overload.
            cut = 1 - 0.15 * min(1.0, strain / self.TARGET - 1) * min(1.0, self.SHARE_GAIN * self.fresh)
            few = self.by_chance(
                2 * len(self.servers) / self.settings.balancers
            )  # two a machine from all fronts
            self.limit = max(few, cut * min(self.limit, max(1.5 * out, self.by_chance(self.mean_open))))
        elif out > 0.6 * self.limit:
            self.limit *= 1.03
        self.fresh = 0

    def by_chance(self, mean: float) -> float:
        """Most tries open where so many are on average and nothing is wrong: two Poisson deviations over."""
        return mean + 2 * sqrt(mean)

    def serve_request(
        self, rq: i.Request, now: float
    ) -> Generator[i.Action, tuple[float, i.AttemptEnded | None], None]:
        self.taken[rq.route if self.settings.rollout.cap_per_route else 0].append(now)
        self.arrivals += 1
        # Guards against a queue that outlasts the objectives, whatever fills it; the least worthy go first.
        full = self.open + self.random() >= self.room(rq, now)
        if not full or self.mean_open > len(self.sides[False]):  # one that holds less sees none laden
            self.credit = min(2.0, self.credit + self.part)
        if full:
            self.refused_at = now
            yield self.shed_or_fail(rq, [])
            return
        route = self.settings.routes[rq.route]
        # So that retries cannot make an overload worse.
        self.spare_tries = min(self.spare_tries + min(0.1, route.retry_budget), 20.0)
        past, cost = Past(), 0.0
        for number in range(min(self.settings.max_attempts, route.max_attempts)):
            m = self.choose_server(rq, now, past)
            if m is None or rq.deadline - now < 1 or self.spare_tries < cost:
                break
            self.spare_tries -= cost
            t = self.sent(rq, m, number, now)
            now, ended = yield i.SendAttempt(m.entry.server, rq.deadline - now)
            past.append((m, t, ended.outcome not in i.NOT_EXECUTED))
            cost = float(
                ended.outcome not in (Outcome.NOT_CONNECTED, Outcome.MOOT)
            )  # which cost the machine little
        yield self.shed_or_fail(rq, past)

    def sent(self, rq: i.Request, m: Server, number: int, now: float) -> Attempt:
        # Exception: where the told warm-up outlasts 3 s, a cold machine makes a good build look slow.
        judged = self.age(m, now) >= max(TrialTest.YOUNG, self.settings.server_rules.slow_start_ms)
        met = len(m.in_flight) + max(0.0, m.others) + 2
        self.usual_met += 0.02 * (met - self.usual_met)
        t = m.in_flight[rq.id, number] = Attempt(
            rq.route, now, self.usual[rq.route], judged, rq.dedup_key, met
        )
        self.open += not self.apart(m)
        if self.warmth(m, now) < 1:
            m.sent.append((now, t.cost))
        if self.is_on_trial(m.entry.build):
            self.trial_sent[rq.route if self.settings.rollout.cap_per_route else 0].append(now)
            self.credit = max(0.0, self.credit - 1)
        return t
