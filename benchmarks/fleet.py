"""Simulates a fleet in virtual time: many real balancers and modelled servers. Shows what does no harm in a
single front but does when all fronts do it. It uses no sockets and no wall clock, and the same seed gives the
same run.

    python -m benchmarks.fleet                                  # calm, 230 fronts, 150 servers, one seed
    python -m benchmarks.fleet --day zone --machines 1024 --seeds 10

The servers are models (a queue in front of some cores, slow start, connections and the cost of new ones), not
measurements of real servers. Clients do not retry. The printed figures are ratios within one run.
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

from myrtleroad import interface
from myrtleroad.policy.balancer import Balancer
from myrtleroad.request_coroutine import RequestCoroutine

SCENARIOS = ("calm", "pause", "kill", "zone", "cut", "stale", "trial", "burst")
(
    DRAIN_GRACE_MS,
    SLOW_START_MS,
    SLOW_START_MIN_SHARE,
    OVERLOAD_WINDOW_MS,
    OVERLOAD_FACTOR,
    IDLE_TIMEOUT_MS,
) = 250.0, 3000.0, 0.36, 2000.0, 2.0, 15_000.0
LIST_DELAY_MS = (300.0, 900.0)  # range of the time from a change at a server until a front's list shows it
# Delay in one direction; time limit of connecting; work that a new connection causes at the server.
ONE_WAY_DELAY_MS, CONNECT_TIMEOUT_MS, HANDSHAKE_WORK_MS = 0.3, 250.0, 1.0
ROUTE_WORK = ((250.0, 0.68), (100.0, 0.32))  # for each route: mean work in ms, share of the requests
ROUTES = (
    interface.Route(interface.RetrySafety.RETRIABLE, interface.DedupScope.ALL, 0.0, 2000.0, 6000.0, 2.0, 0.0),
    interface.Route(
        interface.RetrySafety.NON_RETRIABLE, interface.DedupScope.ALL, 0.0, 750.0, 2000.0, 3.0, 0.2
    ),
)


def build_settings(fronts: int, quota_per_s: float, zone: int) -> interface.Settings:
    """Settings of a front. ``quota_per_s``: the request quota of all tenants together."""
    stage_caps, votes_to_advance, votes_to_roll_back = (
        (0.05, 0.4, 1.0),
        math.ceil(0.4 * fronts),
        math.ceil(0.08 * fronts),
    )
    vote_mode, max_calls_per_s = interface.VoteMode.COUNT, max(10.0, fronts / 12)
    rollout = interface.Rollout(
        vote_mode,
        votes_to_advance,
        votes_to_roll_back,
        6000.0,
        2000.0,
        max_calls_per_s,
        900.0,
        stage_caps,
        2000.0,
        1.0,
        False,
        0,
        False,
        0.0,
    )
    return interface.Settings(
        balancers=fronts,
        zone=zone,
        routes=ROUTES,
        tenants=tuple(interface.Tenant(share, share * quota_per_s) for share in (0.4, 0.3, 0.3)),
        over_share_benefit=0.2,
        benefit_by_work=False,
        server_rules=interface.ServerRules(
            DRAIN_GRACE_MS,
            SLOW_START_MS,
            SLOW_START_MIN_SHARE,
            OVERLOAD_FACTOR,
            OVERLOAD_WINDOW_MS,
            10_000.0,
        ),
        rollout=rollout,
        list_on_request=True,
        max_attempts=6,
        hedging_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ms=500.0,
        weights_are_capacity=True,
        load_column=0,
        handshake_cost=0.08,
        idle_timeout_ms=IDLE_TIMEOUT_MS,
    )


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """Model of a server: requests wait for the first of its cores to become free. Times are in ms."""

    index: int
    cores: int
    speed: float
    zone: int
    max_connections: int
    cores_free_at: list[float]  # when each core becomes free, as a heap
    entry: interface.ServerEntry
    request_count: int = 0  # requests that wait or are being executed
    open_attempts: dict[int, tuple] = field(default_factory=dict)  # each is removed as it ends
    connections: int = 0
    running: bool = True
    unreachable: bool = False  # the network drops everything that is sent to it
    restarts: int = 0  # distinguishes work from before a restart, which is lost, from current work
    started_at: float = -1e9
    # Time and work of the attempts received during the slow start, within the overload window.
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)

    def capacity_share(self, now: float) -> float:
        """The share of its full capacity that the server has reached, 1 after the slow start."""
        return min(
            1.0, SLOW_START_MIN_SHARE + (1 - SLOW_START_MIN_SHARE) * (now - self.started_at) / SLOW_START_MS
        )

    def add_request(self, work_ms: float, now: float) -> float:
        """Queues a request and returns when it will be finished."""
        begin = max(now, heapq.heappop(self.cores_free_at))
        end = begin + work_ms / (self.speed * self.capacity_share(begin))
        heapq.heappush(self.cores_free_at, end)
        self.request_count += 1
        return end

    def is_overloaded(self, work_ms: float, now: float) -> bool:
        """Adds an attempt's work and returns whether a cold server now has more than it may get in a window.

        The slack of a few requests allows for chance."""
        if now - self.started_at >= SLOW_START_MS:
            self.recent_work.clear()
            return False
        self.recent_work.append((now, work_ms))
        while self.recent_work[0][0] <= now - OVERLOAD_WINDOW_MS:
            self.recent_work.popleft()
        limit_ms = (
            OVERLOAD_FACTOR
            * self.cores
            * self.speed
            * self.capacity_share(now)
            * min(OVERLOAD_WINDOW_MS, now - self.started_at + 500)
        )
        return sum(work for _, work in self.recent_work) > limit_ms + 3 * ROUTE_WORK[0][0]


@dataclass(slots=True, eq=False)
class SimulatedFront:
    """A front: its real balancer, its connections and what is needed to check the rules on sending."""

    index: int
    zone: int
    weight: float
    balancer: Balancer
    # For each server, when each idle connection became idle.
    idle_connections: dict[int, list[float]] = field(default_factory=dict)
    # For each server, the status that the front was last notified of, and when.
    known_statuses: dict[int, tuple[interface.ServerStatus, float]] = field(default_factory=dict)
    # Times of attempts on the trial build and of requests, within the exposure window.
    recent_trial_attempts: deque[float] = field(default_factory=deque)
    recent_requests: deque[float] = field(default_factory=deque)


class Fleet:
    """One run. ``play`` returns the counts. Times are in ms of the run's own clock.

    ``load``: offered work as a share of the capacity of all servers."""

    def __init__(self, fronts: int, servers: int, seed: int, load: float = 0.57, zones: int = 3):
        self.random, self.counts, self.now = Random(seed), Counter(), 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []  # a heap of what is still to happen
        self.event_count = 0
        uniform = self.random.uniform
        self.servers = []
        for index in range(servers):
            cores, speed = (3, uniform(0.85, 1.1)) if index % 2 else (4, uniform(0.64, 0.86))
            entry = interface.ServerEntry(
                index,
                interface.ServerStatus.IN_SERVICE,
                1,
                index % zones,
                index // 6,
                index % 2,
                float(cores),
                0.0,
            )
            max_connections = max(40, fronts // 2) if servers > 20 else 2 * fronts
            self.servers.append(
                SimulatedServer(index, cores, speed, index % zones, max_connections, [0.0] * cores, entry)
            )
        mean_work_ms = sum(work_ms * share for work_ms, share in ROUTE_WORK)
        self.requests_per_ms = (
            load * sum(server.cores * server.speed for server in self.servers) / mean_work_ms
        )
        quota_per_s = 1300 * self.requests_per_ms
        self.fronts = []
        for index in range(fronts):
            balancer = Balancer(
                build_settings(fronts, quota_per_s, index % zones), self.random.getrandbits(40), 0.0
            )
            self.fronts.append(
                SimulatedFront(index, index % zones, self.random.lognormvariate(0.0, 0.6), balancer)
            )
        self.trial_cap, self.longest_queue = 0.0, 0

    def schedule(self, at: float, call: Callable, *args) -> None:
        """Makes the run call ``call`` with ``args`` at this time; calls of the same time keep their order."""
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, call, args))

    def play(self, scenario: str, duration_ms: float = 20_000.0) -> Counter:
        """Runs a scenario of ``SCENARIOS`` and returns its counts.

        Clients send requests for ``duration_ms``; the run goes on for 8 s, so that all of them end."""
        self.duration_ms = duration_ms
        for front in self.fronts:
            front.balancer.update_stage(self.stage_update(1, interface.RolloutPhase.RELEASED, 0.0), 0.0)
            entries = [
                interface.ServerEntry(
                    *(getattr(server.entry, name) for name in interface.ServerEntry.__slots__)
                )
                for server in self.servers
            ]
            front.balancer.update_server_list(
                interface.ServerListUpdate(interface.ListKind.REMEMBERED, entries), 0.0
            )
            self.schedule(self.random.uniform(0, 100), self.wake_front, front)
        self.arrive(FrontSampler(self.fronts))
        getattr(self, f"schedule_{scenario}")()
        while self.events and self.events[0][0] < duration_ms + 8000:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.counts["longest_queue"] = self.longest_queue
        self.counts["unanswered"] = self.counts["requests"] - self.counts["answered"]
        return self.counts

    # --- scenarios ---

    def schedule_calm(self) -> None:
        """Nothing fails."""

    def schedule_burst(self) -> None:
        """The request rate is 1.6 times as high for a fifth of the run."""
        self.schedule(0.4 * self.duration_ms, self.scale_rate, 1.6)
        self.schedule(0.6 * self.duration_ms, self.scale_rate, 1 / 1.6)

    def schedule_pause(self) -> None:
        """Three servers in ten stand still for 200 to 600 ms, four times each."""
        for server in self.random.sample(self.servers, 3 * len(self.servers) // 10):
            for round_number in range(4):
                at = self.duration_ms * (0.2 + 0.15 * round_number) + self.random.uniform(0, 1000)
                self.schedule(at, self.pause_server, server, self.random.uniform(200, 600))

    def schedule_kill(self) -> None:
        """Seven fronts in ten are killed and start again in the same moment."""
        for front in self.random.sample(self.fronts, 7 * len(self.fronts) // 10):
            self.schedule(0.4 * self.duration_ms, self.restart_front, front)

    def schedule_zone(self, lost_zone: int = 0) -> None:
        """All servers of a zone crash together and return cold after 4 s."""
        for server in self.servers:
            if server.zone == lost_zone:
                self.schedule(0.3 * self.duration_ms, self.crash_server, server)
                self.schedule(
                    0.3 * self.duration_ms + 4000 + self.random.uniform(0, 600), self.start_server, server
                )

    def schedule_cut(self) -> None:
        """A fifth of the servers is unreachable for 6 s."""
        for server in self.random.sample(self.servers, len(self.servers) // 5):
            self.schedule(0.3 * self.duration_ms, self.set_unreachable, server, True)
            self.schedule(0.3 * self.duration_ms + 6000, self.set_unreachable, server, False)

    def schedule_stale(self) -> None:
        """Servers drain and return cold one after another while their list updates are seconds late."""
        for position, server in enumerate(self.random.sample(self.servers, len(self.servers) // 3)):
            at = 0.2 * self.duration_ms + 0.5 * self.duration_ms * position / (len(self.servers) // 3)
            self.schedule(at, self.drain_server, server, 2500.0)

    def schedule_trial(self) -> None:
        """A build on trial runs on one server in fifty, with a cap on its exposure."""
        self.trial_cap = 0.068
        for server in self.servers[: max(1, len(self.servers) // 50)]:
            server.entry.build = 2
            server.started_at = server.entry.started_at = 1.0
            self.announce_change(server, 0.0)
        for front in self.fronts:
            self.schedule(
                500.0,
                front.balancer.update_stage,
                self.stage_update(2, interface.RolloutPhase.ON_TRIAL, self.trial_cap),
                500.0,
            )

    # --- events of servers and fronts ---

    def scale_rate(self, factor: float) -> None:
        """Multiplies the request rate."""
        self.requests_per_ms *= factor

    def pause_server(self, server: SimulatedServer, duration_ms: float) -> None:
        """All cores of a server stand still for this time."""
        server.cores_free_at = [max(at, self.now) + duration_ms for at in server.cores_free_at]
        heapq.heapify(server.cores_free_at)

    def set_unreachable(self, server: SimulatedServer, unreachable: bool) -> None:
        """Cuts a server off from the network, or ends this."""
        server.unreachable = unreachable

    def crash_server(self, server: SimulatedServer) -> None:
        """A server ends at once: its open attempts are reset and its connections closed."""
        server.running, server.request_count, server.connections, server.restarts = (
            False,
            0,
            0,
            server.restarts + 1,
        )
        for attempt_id, context in server.open_attempts.items():
            self.schedule(
                self.now + ONE_WAY_DELAY_MS, self.end_attempt, attempt_id, *context, interface.Outcome.RESET
            )
        for front in self.fronts:
            front.idle_connections.pop(server.index, None)

    def start_server(self, server: SimulatedServer) -> None:
        """A server that has ended starts again, cold."""
        server.running, server.started_at, server.cores_free_at = True, self.now, [self.now] * server.cores
        server.entry.started_at, server.entry.status = self.now, interface.ServerStatus.IN_SERVICE
        self.announce_change(server, 0.0)

    def drain_server(self, server: SimulatedServer, extra_delay_ms: float) -> None:
        """A server announces that it drains, ends and starts again. Its announcement has an extra delay."""
        server.entry.status = interface.ServerStatus.DRAINING
        self.announce_change(server, extra_delay_ms)
        self.schedule(self.now + extra_delay_ms + 3000, self.crash_server, server)
        self.schedule(self.now + extra_delay_ms + 4500, self.start_server, server)

    def announce_change(self, server: SimulatedServer, extra_delay_ms: float) -> None:
        """Sends a server's entry to all fronts, each with a delay of its own."""
        for front in self.fronts:
            at = self.now + extra_delay_ms + self.random.uniform(*LIST_DELAY_MS)
            entry = interface.ServerEntry(
                *(getattr(server.entry, name) for name in interface.ServerEntry.__slots__)
            )
            self.schedule(at, self.deliver_entry, front, entry)

    def deliver_entry(self, front: SimulatedFront, entry: interface.ServerEntry) -> None:
        """A front receives the changed entry of a server."""
        front.known_statuses[entry.server] = (entry.status, self.now)
        front.balancer.update_server_list(
            interface.ServerListUpdate(interface.ListKind.CHANGES, [entry]), self.now
        )

    def restart_front(self, front: SimulatedFront) -> None:
        """A front is killed and starts again: its open requests are lost and no longer expect an answer."""
        old_balancer = front.balancer
        front.balancer = Balancer(old_balancer.settings, self.random.getrandbits(40), self.now)
        front.balancer.update_stage(self.stage_update(1, interface.RolloutPhase.RELEASED, 0.0), self.now)
        entries = [
            interface.ServerEntry(*(getattr(server.entry, name) for name in interface.ServerEntry.__slots__))
            for server in self.servers
        ]
        front.balancer.update_server_list(
            interface.ServerListUpdate(interface.ListKind.REMEMBERED, entries), self.now
        )
        for server_index, idle_since in front.idle_connections.items():
            self.servers[server_index].connections -= len(idle_since)
        front.idle_connections = {}

    def stage_update(self, build: int, phase: interface.RolloutPhase, cap: float) -> interface.StageUpdate:
        """A stage update of the platform."""
        return interface.StageUpdate(interface.Outcome.COMPLETED, False, build, 0, phase, cap, 0.0)

    def wake_front(self, front: SimulatedFront) -> None:
        """Wakes a front's balancer and schedules the wake-up that it requests."""
        wake_times = [
            action.at for action in front.balancer.wake(self.now) if isinstance(action, interface.WakeAt)
        ]
        if self.now < self.duration_ms + 7000:
            self.schedule(min(wake_times), self.wake_front, front)

    # --- requests ---

    def arrive(self, sampler: "FrontSampler") -> None:
        """A request arrives at a front; the next arrival is scheduled. The first call only schedules."""
        if self.now < self.duration_ms:
            self.schedule(self.now + self.random.expovariate(self.requests_per_ms), self.arrive, sampler)
        if self.now > 0:
            self.start_request(sampler.draw(self.random.random()))

    def start_request(self, front: SimulatedFront) -> None:
        """A front gets a request of a random route and tenant with random work."""
        route_index = 0 if self.random.random() < ROUTE_WORK[0][1] else 1
        route = ROUTES[route_index]
        self.counts["requests"] += 1
        self.counts["offered_benefit"] += route.benefit
        tenant = 0 if (draw := self.random.random()) < 0.4 else 1 if draw < 0.7 else 2
        request = interface.Request(
            self.counts["requests"], route_index, tenant, None, self.now + route.timeout_ms, 0.0, False
        )
        front.recent_requests.append(self.now)
        coroutine = RequestCoroutine(request.id, front.balancer.serve_request(request, self.now))
        work_ms = self.random.lognormvariate(-0.2, 0.63) * ROUTE_WORK[route_index][0]
        self.resume_request(front, front.balancer, request, coroutine, work_ms, None)

    def resume_request(
        self,
        front: SimulatedFront,
        balancer: Balancer,
        request: interface.Request,
        coroutine: RequestCoroutine,
        work_ms: float,
        ended: interface.AttemptEnded | None,
    ):
        """Performs a request's next actions. ``ended`` is None at its start."""
        for action in coroutine.resume(ended, self.now):
            match action:
                case interface.SendAttempt(server_index, timeout_ms):
                    self.send_attempt(
                        front, balancer, request, coroutine, work_ms, self.servers[server_index], timeout_ms
                    )
                case interface.Shed() | interface.Fail():
                    self.counts["answered"] += 1
                    self.counts["shed" if isinstance(action, interface.Shed) else "errored"] += 1
                    if ended is None:
                        self.counts["rejected_without_attempt"] += 1
                    coroutine.close()
                    return

    def send_attempt(
        self, front, balancer, request, coroutine, work_ms, server: SimulatedServer, timeout_ms: float
    ) -> None:
        """Sends an attempt to a server and schedules its end."""
        self.counts["attempts"] += 1
        self.check_rules(front, server)
        now = self.now
        attempt_number = next(
            number
            for request_id, number in reversed(balancer.servers[server.index].in_flight)
            if request_id == request.id
        )
        attempt_id, context = (
            self.counts["attempts"],
            (front, balancer, request, coroutine, work_ms, server, attempt_number, now),
        )
        server.open_attempts[attempt_id] = context
        idle_since = front.idle_connections.get(server.index)
        if server.unreachable:
            # Packets are dropped: a new connection is never established, and a request on an existing one is
            # never answered.
            outcome = interface.Outcome.TIMEOUT if idle_since else interface.Outcome.NOT_CONNECTED
            self.schedule(
                now + (timeout_ms if idle_since else min(timeout_ms, CONNECT_TIMEOUT_MS)),
                self.end_attempt,
                attempt_id,
                *context,
                outcome,
            )
            return
        if not server.running or (not idle_since and server.connections >= server.max_connections):
            self.schedule(
                now + ONE_WAY_DELAY_MS,
                self.end_attempt,
                attempt_id,
                *context,
                interface.Outcome.NOT_CONNECTED,
            )
            return
        extra_work_ms = 0.0
        if idle_since:
            idle_since.pop()
        else:
            server.connections += 1
            extra_work_ms = HANDSHAKE_WORK_MS
            self.counts["handshakes"] += 1
        if server.is_overloaded(work_ms, now):
            self.counts["broken_cold"] += 1
        finished_at = server.add_request(work_ms + extra_work_ms, now + ONE_WAY_DELAY_MS)
        self.longest_queue = max(self.longest_queue, server.request_count)
        self.schedule(finished_at, self.finish_work, server, server.restarts)
        outcome, ends_at = (
            (interface.Outcome.TIMEOUT, now + timeout_ms)
            if finished_at - now > timeout_ms
            else (interface.Outcome.COMPLETED, finished_at + ONE_WAY_DELAY_MS)
        )
        self.schedule(ends_at, self.end_attempt, attempt_id, *context, outcome)

    def finish_work(self, server: SimulatedServer, restarts: int) -> None:
        """A server has finished a request, unless it has restarted since it got it."""
        if server.restarts == restarts:
            server.request_count -= 1

    def end_attempt(
        self,
        attempt_id: int,
        front,
        balancer,
        request,
        coroutine,
        work_ms,
        server: SimulatedServer,
        attempt_number,
        sent_at,
        outcome: interface.Outcome,
    ) -> None:
        """An attempt ends: the request is resumed, or counted if it is completed."""
        if server.open_attempts.pop(attempt_id, None) is None:
            return  # has been reset
        if balancer is not front.balancer:
            if not coroutine.finished:
                coroutine.close()
                self.counts["answered"] += 1  # its front was killed, so no answer is expected
                self.counts["lost_with_front"] += 1
            return
        if outcome == interface.Outcome.COMPLETED:
            front.idle_connections.setdefault(server.index, []).append(self.now)
            self.schedule(
                self.now + 0.8 * IDLE_TIMEOUT_MS, self.close_idle_connection, front, server, self.now
            )
        elif outcome == interface.Outcome.TIMEOUT:
            server.connections -= 1
        self.counts[f"attempt_{outcome.name.lower()}"] += 1
        duration_ms, completed = self.now - sent_at, outcome == interface.Outcome.COMPLETED
        ended = interface.AttemptEnded(
            server.index,
            attempt_number,
            outcome,
            duration_ms,
            float(server.request_count) if completed else None,
            completed,
        )
        balancer.record_outcome(request.id, ended, self.now)
        if not completed:
            return self.resume_request(front, balancer, request, coroutine, work_ms, ended)
        coroutine.close()
        route = ROUTES[request.route]
        self.counts["answered"] += 1
        age_ms = self.now - (request.deadline - route.timeout_ms)
        self.counts["served_benefit"] += (
            route.benefit if age_ms <= route.objective_ms else route.benefit * route.late_benefit
        )
        self.counts["late"] += age_ms > route.objective_ms
        self.counts["answered_after_timeout"] += age_ms > route.timeout_ms + 50

    def close_idle_connection(
        self, front: SimulatedFront, server: SimulatedServer, idle_since: float
    ) -> None:
        """Closes the connection that has been idle since this time, unless it was used meanwhile."""
        if idle_since in (times := front.idle_connections.get(server.index, [])):
            times.remove(idle_since)
            server.connections -= 1

    def check_rules(self, front: SimulatedFront, server: SimulatedServer) -> None:
        """Counts an attempt that breaks a rule on sending, by the changes that the front has received."""
        status, notified_at = front.known_statuses.get(server.index, (interface.ServerStatus.IN_SERVICE, 0.0))
        self.counts["broken_drain"] += (
            status != interface.ServerStatus.IN_SERVICE and self.now - notified_at > DRAIN_GRACE_MS
        )
        if server.entry.build == 2:
            front.recent_trial_attempts.append(self.now)
            for times in (front.recent_trial_attempts, front.recent_requests):
                while times and times[0] < self.now - 2000.0:
                    times.popleft()
            self.counts["trial_attempts"] += 1
            self.counts["broken_exposure"] += (
                len(front.recent_trial_attempts) > 1 + self.trial_cap * len(front.recent_requests) + 2
            )


class FrontSampler:
    """Draws fronts in proportion to their share of the traffic."""

    def __init__(self, fronts: list[SimulatedFront]):
        self.fronts, self.cumulative_weights, total = fronts, [], 0.0
        for front in fronts:
            total += front.weight
            self.cumulative_weights.append(total)

    def draw(self, fraction: float) -> SimulatedFront:
        """The front at this fraction, from [0, 1), of the total weight."""
        return self.fronts[bisect(self.cumulative_weights, fraction * self.cumulative_weights[-1])]


def report(counts: Counter) -> str:
    """One line with the ratios of a run and the rules that were broken."""
    broken = {
        key[7:]: count for key, count in counts.items() if key.startswith("broken_") and count
    } or "none"
    return (
        f"served {counts['served_benefit'] / counts['offered_benefit']:.3f}  "
        f"shed {counts['shed'] / counts['requests']:.3f} "
        f"(untried {counts['rejected_without_attempt'] / counts['requests']:.3f})  "
        f"late {counts['late'] / counts['requests']:.3f}  "
        f"handshakes a req {counts['handshakes'] / counts['requests']:.2f}  "
        f"not connected {counts['attempt_not_connected']}  "
        f"longest queue {counts['longest_queue']}  unanswered {counts['unanswered']}  rules broken: {broken}"
    )


def main() -> None:
    """Runs the scenarios and seeds that the command line names and prints a line for each run."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--day", default="calm", choices=(*SCENARIOS, "all"))
    parser.add_argument("--fronts", type=int, default=230)
    parser.add_argument("--machines", type=int, default=150)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--load", type=float, default=0.57)
    options = parser.parse_args()
    for scenario in SCENARIOS if options.day == "all" else (options.day,):
        for seed in range(options.seeds):
            began = time.process_time()
            counts = Fleet(options.fronts, options.machines, seed, options.load).play(
                scenario, 1000 * options.seconds
            )
            spent_s = time.process_time() - began
            print(
                f"{scenario:6} seed {seed}  {report(counts)}  "
                f"[{1e6 * spent_s / counts['requests']:.0f} us a req]",
                flush=True,
            )


if __name__ == "__main__":
    main()
