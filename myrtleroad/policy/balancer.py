"""Routing, ejection, retries, load shedding and rollout votes of one front.

A host creates one ``Balancer(settings, seed, now)`` per front, calls ``wake`` immediately and whenever a
``WakeAt`` action asks for it, passes events to the balancer and runs the generator that ``serve_request``
returns for each request. See ``interface.py`` and ``docs/design.md``.
"""

from bisect import bisect
from collections import deque
from collections.abc import Generator, Iterable
from itertools import accumulate
from math import sqrt
from random import Random

from myrtleroad import interface
from myrtleroad.interface import Outcome, RetrySafety, RolloutPhase, ServerStatus, Verdict
from myrtleroad.membership.lease import ListLease
from myrtleroad.membership.start_clock import StartClock
from myrtleroad.policy.state import Attempt, PastAttempts, Server
from myrtleroad.policy.trial import TrialTest


class Balancer:
    """The decisions of one front. Deterministic for a given seed and sequence of calls."""

    TICK_MS = 100.0  # between two looks at the stage; short compared with every stage duration

    def __init__(self, settings: interface.Settings, seed: int, now: float):
        self.settings, self.random = settings, Random(seed).random
        self.servers: dict[int, Server] = {}  # servers are removed as the list drops them
        self.pools: dict[bool, list[Server]] = {False: [], True: []}  # in service; key True: build on trial
        self.trial_test = TrialTest(settings)
        self.stage_update = interface.StageUpdate(
            Outcome.COMPLETED, False, 0, 0, RolloutPhase.RELEASED, 0.0, 0.0
        )
        # The stage is an estimate that may run ahead of the platform's; the cap is the last one received.
        self.stage, self.stage_started_at = 0, now
        # Mean of duration over objective by route, without servers of a build on trial.
        self.latency_ratio = [0.25 for _ in settings.routes]
        self.recent_samples = [0.0] * len(settings.routes)  # decaying number of samples behind that
        self.client_timeout_ms = [0.0] * len(settings.routes)  # learned: time left of first requests
        self.mean_latency_ms = [r.objective_ms / 4 for r in settings.routes]  # learned
        window_indices = range(len(settings.routes) if settings.rollout.cap_per_route else 1)
        # Times of requests and of attempts on the trial build, dropped by age in ``prune_windows``.
        self.request_times, self.trial_attempt_times = ([deque() for _ in window_indices] for _ in range(2))
        self.retry_tokens, self.connect_failure_rate = 5.0, 0.0  # the latter of recent attempts
        (
            self.completed_cost,
            self.completion_rate,
            self.rate_updated_at,
            self.last_shed_at,
            self.is_shedding,
        ) = 0.0, 0.0, now, -1e9, False
        self.last_vote, self.last_vote_at, self.vote_accepted, self.next_call_at = (
            interface.Vote(-1, Verdict.NONE, 0),
            -1e9,
            False,
            0.0,
        )
        self.call_retry_at = 0.0  # after a call to the platform that did not count
        self.max_trial_share = 1.0  # operators' limit on the share of the build on trial
        self.start_clock = StartClock()  # fed by a host that follows the list on a stream
        self.lease: ListLease | None = None  # on the server list; None where the host follows no list
        self.lease_logged_valid = True  # state of the lease as last written to the log
        # Attempts that the trial build may get now, and how much of one each request adds.
        self.trial_credit, self.trial_credit_per_request = 0.0, 0.0
        self.mean_concurrency, self.newest_start_at, self.mean_in_flight = 2.0, 0.0, 0.0
        # Reported load beyond this front's own, per unit of a warm server's size; mean size of a server.
        self.other_load_per_size, self.mean_size = 0.0, 1.0
        self.cumulative_sizes: dict[bool, list[float]] = {}  # along each pool, for draws weighted by size
        self.cold_servers: dict[bool, list[Server]] = {}  # those of each pool
        self.mean_latency_ratio = 0.0  # over routes, weighted by their recent samples
        self.samples_since_tick = 0
        # Attempts in flight on servers that are not isolated (see ``is_isolated``), and their limit.
        self.in_flight, self.in_flight_limit = 0, float("inf")
        self.benefit_density = [
            r.benefit / (1 if settings.benefit_by_work else r.objective_ms) for r in settings.routes
        ]
        self.tenant_usage = [(0.0, now) for _ in settings.tenants]
        # This front's share of all requests; requests since that was last updated.
        self.traffic_share, self.new_requests = 1 / settings.balancers, 0
        # Keys that the trial build has answered; cleared for a new build and when the build goes back.
        self.trial_answered_keys: set[str] = set()

    def update_server_list(self, event: interface.ServerListUpdate, now: float) -> list[interface.Action]:
        """Apply a server list or changes to it."""
        if event.kind != interface.ListKind.CHANGES:
            for index in self.servers.keys() - {entry.server for entry in event.entries}:
                self.servers[index].entry.status = ServerStatus.GONE
        for entry in event.entries:
            if (
                entry.build > max(self.trial_test.build, self.stage_update.build)
                and self.stage_update.build > 0
            ):
                self.trial_test.start_trial(entry.build)  # the list may arrive before the stage update
            known = self.servers.get(entry.server)
            if (
                known is None
                or known.entry.started_at != entry.started_at
                or known.entry.build != entry.build
            ):
                known = self.servers[entry.server] = Server(entry, in_flight=known.in_flight if known else {})
            known.entry = entry
        self.servers = {
            index: server
            for index, server in self.servers.items()
            if server.entry.status != ServerStatus.GONE or server.in_flight
        }
        self.rebuild_pools()
        return []

    def narrow_settings(self, event: interface.SettingsNarrowed, now: float) -> None:
        """Apply operators' limits to requests that arrive from now on. A lower share of the trial also holds
        for attempts that are not sent yet."""
        self.settings, self.max_trial_share = event.settings, event.max_trial_share

    def rebuild_pools(self) -> None:
        """Sort the servers into pools and recompute what depends on the list as a whole."""
        in_service = [s for s in self.servers.values() if s.entry.status == ServerStatus.IN_SERVICE]
        self.pools = {
            on_trial: [s for s in in_service if self.is_on_trial(s.entry.build) == on_trial]
            for on_trial in (False, True)
        }
        starts = [
            s.entry.started_at for s in self.servers.values() if s.entry.build == self.stage_update.build
        ]
        newest = max(starts, default=0.0)
        self.newest_start_at = newest - self.start_clock.offset_ms() if newest > 0 else 0.0
        self.cumulative_sizes = {
            on_trial: list(accumulate(self.size(s) for s in pool)) for on_trial, pool in self.pools.items()
        }
        self.cold_servers = {
            on_trial: [s for s in pool if s.entry.started_at > 0] for on_trial, pool in self.pools.items()
        }
        self.mean_size = sum(map(self.size, in_service)) / max(1, len(in_service))
        self.in_flight = sum(len(s.in_flight) for s in self.servers.values() if not self.is_isolated(s))

    def update_stage(self, event: interface.StageUpdate, now: float) -> list[interface.Action]:
        """Apply a stage update, or the response to a vote."""
        if event.answers_vote:
            self.vote_accepted = event.outcome in (Outcome.COMPLETED, Outcome.TIMEOUT)  # a timeout may count
            if event.outcome == Outcome.MOOT and self.last_vote == interface.Vote(
                self.stage_update.build, Verdict.ON, self.stage
            ):
                # Covers a stage update that is late: the stage known here is over, and it has lasted for its
                # full duration.
                self.stage = min(self.stage + 1, self.trial_test.last_stage)
                self.stage_started_at = min(
                    now, max(self.stage_started_at, self.newest_start_at) + self.trial_test.stage_duration_ms
                )
        if event.outcome != Outcome.COMPLETED:
            self.call_retry_at = self.next_call_at = now + 500 + 1000 * self.random()
        if event.outcome != Outcome.COMPLETED or event.build < self.stage_update.build:
            return []
        if event.build > self.trial_test.build and event.phase == RolloutPhase.ON_TRIAL:
            self.trial_test.start_trial(event.build)
        if event.build != self.stage_update.build or event.phase in (
            RolloutPhase.GOING_BACK,
            RolloutPhase.WITHDRAWN,
        ):
            self.trial_answered_keys.clear()
        if event.stage >= self.stage or (event.build, event.phase) != (
            self.stage_update.build,
            self.stage_update.phase,
        ):
            self.stage, self.stage_started_at = event.stage, now - event.stage_age_ms
        self.stage_update = event
        self.rebuild_pools()
        return []

    def is_on_trial(self, build: int) -> bool:
        """Whether a build is on trial, or newer than any that the platform has announced."""
        newest, phase = self.stage_update.build, self.stage_update.phase
        return build > newest or (build == newest and phase != RolloutPhase.RELEASED)

    def exposure_cap(self, build: int) -> tuple[float, int]:
        """Cap and stage of a build on trial; those of the first stage before it is announced."""
        if build > self.stage_update.build:
            return min(self.settings.rollout.stage_caps[0], self.max_trial_share), 0
        cap = self.stage_update.cap if self.stage_update.phase == RolloutPhase.ON_TRIAL else 0.0
        return min(cap, self.max_trial_share), self.stage_update.stage

    def has_exposure_room(self, request: interface.Request, build: int, now: float) -> bool:
        """Whether the cap allows one more attempt on the trial build."""
        rollout = self.settings.rollout
        cap, stage = self.exposure_cap(build)
        retriable = self.settings.routes[request.route].retry_safety == RetrySafety.RETRIABLE
        if cap <= 0 or (stage < rollout.retriable_only_stages and not retriable):
            return False
        window_index = request.route if rollout.cap_per_route else 0
        self.prune_windows(now)
        return len(self.trial_attempt_times[window_index]) + 1 <= rollout.free_attempts + cap * len(
            self.request_times[window_index]
        )

    def prune_windows(self, now: float) -> None:
        """Drop times that have left the exposure window. An attempt exactly one window ago still counts, so
        attempts are kept 10 ms too long and requests 10 ms too short."""
        for windows, edge_ms in ((self.request_times, -10.0), (self.trial_attempt_times, 10.0)):
            for times in windows:
                while times and times[0] < now - self.settings.rollout.exposure_window_ms - edge_ms:
                    times.popleft()

    def wake(self, now: float) -> list[interface.Action]:
        """Periodic work of a tick: limits, trial credit, the vote on the stage."""
        actions: list[interface.Action] = [interface.WakeAt(now + self.TICK_MS)]
        self.prune_windows(now)
        if now - self.rate_updated_at >= 1000:
            self.update_rates(now)
        self.update_trial_credit(now)
        self.adapt_limit()
        if (self.last_shed_at > now - 1000) != self.is_shedding:
            self.is_shedding = not self.is_shedding
            change, ejected = (
                "began" if self.is_shedding else "ended",
                self.count_ejected(self.servers.values(), now),
            )
            actions.append(
                interface.LogMessage(
                    f"refusing {change}: open limit {self.in_flight_limit:.1f}, {ejected} machines rest"
                )
            )
        actions += self.log_lease_change(now)
        update = self.stage_update
        if (
            update.phase not in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED)
            or update.build != self.trial_test.build
        ):
            return actions
        released = update.phase == RolloutPhase.RELEASED
        age_ms = now - self.stage_started_at if released else self.trial_stage_age_ms(now)
        # Load can be distinguished from slowness only with load reports.
        overloaded = self.is_shedding and self.settings.load_column is not None
        verdict, reason = self.trial_test.decide(self.stage, age_ms, released, overloaded)
        if reason:
            actions.append(
                interface.LogMessage(f"build {update.build} stage {self.stage}: {verdict.name} ({reason})")
            )
        # This mode takes votes to hold and to roll back, the others take votes to advance and to roll back.
        by_clock = self.settings.rollout.vote_mode == interface.VoteMode.CLOCK
        if verdict in (Verdict.BACK, Verdict.HOLD if by_clock else Verdict.ON):
            actions += self.cast_vote(interface.Vote(update.build, verdict, self.stage), now)
        return actions

    def log_lease_change(self, now: float) -> list[interface.Action]:
        """A log message if the lease on the server list has expired or become valid again."""
        valid = self.lease is None or self.lease.is_valid(now)
        if valid == self.lease_logged_valid:
            return []
        self.lease_logged_valid = valid
        if valid:
            return [interface.LogMessage("list lease holds again")]
        usable_servers = sum(self.may_send_to(s, now) for s in self.servers.values())
        return [
            interface.LogMessage(
                f"list lease expired: {usable_servers} of {len(self.servers)} servers have shown they serve"
            )
        ]

    def trial_stage_age_ms(self, now: float) -> float:
        """Time since the newest server of the build started. If none has started since the stage began, one
        is assumed to have started 8 s into the stage, the worst case observed in simulation."""
        return now - (
            self.newest_start_at
            if self.newest_start_at > self.stage_started_at
            else self.stage_started_at + 8000.0
        )

    def cast_vote(self, vote: interface.Vote, now: float) -> list[interface.Action]:
        """The vote, unless it stands already or calls to the platform have to wait."""
        renew_after_ms = 0.7 * self.settings.rollout.vote_lifetime_ms
        # A vote to roll back does not wait for this front's turn; turns are spaced by the number of fronts.
        allowed_at = (
            self.call_retry_at
            if vote.verdict == Verdict.BACK != self.last_vote.verdict
            else self.next_call_at
        )
        if now < allowed_at or (
            vote == self.last_vote and self.vote_accepted and now - self.last_vote_at < renew_after_ms
        ):
            return []
        self.last_vote, self.last_vote_at, self.vote_accepted = vote, now, False
        self.next_call_at = now + 1000 * self.settings.balancers / self.settings.rollout.max_calls_per_s
        return [vote]

    def update_rates(self, now: float) -> None:
        """Once a second: the work completed for each unit of size, and this front's share of the traffic."""
        size = sum(
            self.warmth(s, now) for s in self.servers.values() if s.entry.status == ServerStatus.IN_SERVICE
        )
        gain, rate = (
            0.2 if self.completion_rate else 1.0,
            self.completed_cost / (now - self.rate_updated_at) / max(size, 1.0),
        )
        self.completion_rate += gain * (rate - self.completion_rate)
        if quota := sum(t.quota_per_s for t in self.settings.tenants):
            # Averaged over half a minute, as bursts end. Quotas are assumed to exceed usual traffic by half.
            share = 1.5 * 1000 * self.new_requests / (now - self.rate_updated_at) / quota
            self.traffic_share = max(
                1 / self.settings.balancers, self.traffic_share + 0.03 * (share - self.traffic_share)
            )
        self.completed_cost, self.rate_updated_at, self.new_requests = 0.0, now, 0

    def warmth(self, server: Server, now: float) -> float:
        """Share of its full capacity that a server has, by its age in the slow start."""
        rules = self.settings.server_rules
        age_ms = max(0.0, self.age_ms(server, now))
        return min(
            1.0,
            rules.slow_start_min_share
            + (1 - rules.slow_start_min_share) * age_ms / max(rules.slow_start_ms, 1.0),
        )

    def age_ms(self, server: Server, now: float) -> float:
        """Time since a server started; infinite if it started long ago."""
        return (
            now + self.start_clock.offset_ms() - server.entry.started_at
            if server.entry.started_at > 0
            else float("inf")
        )

    def has_cold_budget(self, server: Server, cost_ms: float, now: float) -> bool:
        """Whether a cold server may get an attempt of this cost. The budget is this front's share of the
        overload factor times the reduced capacity times the window, rounded at random to whole attempts."""
        rules, warmth = self.settings.server_rules, self.warmth(server, now)
        if warmth >= 1.0:
            return True
        self.refresh_cold_window(server, now)
        budget_ms = rules.overload_factor * warmth * self.completion_rate * rules.overload_window_ms
        return sum(cost for _, cost in server.cold_attempts) + server.rounding_draw * cost_ms < budget_ms

    def refresh_cold_window(self, server: Server, now: float) -> None:
        """Drop attempts that have left the window, and draw anew when the last draw has expired."""
        window_ms = self.settings.server_rules.overload_window_ms
        while server.cold_attempts and server.cold_attempts[0][0] <= now - window_ms:
            server.cold_attempts.pop(0)
        if now >= server.draw_expires_at:
            # No attempts in the first window, as all fronts learn of a start at the same time; it ends at a
            # random moment. Drawn only once where the platform counts attempts: more of them on cold trial
            # servers look like a slow build to it.
            draws_once, is_first_draw = (
                self.settings.rollout.counts_interval_ms > 0,
                server.draw_expires_at < 0,
            )
            server.rounding_draw = self.random() if draws_once or not is_first_draw else float("inf")
            server.draw_expires_at = now + (
                float("inf") if draws_once else window_ms * (self.random() if is_first_draw else 1.0)
            )

    def is_cold_attempt_due(self, server: Server, cost_ms: float, now: float) -> bool:
        """Whether a cold server gets the next attempt: this front's share of its work is less than an attempt
        in a window, and the draw allows one. Without this rule, restarted servers stay empty, as the fronts
        that may send to them seldom sample them."""
        self.refresh_cold_window(server, now)
        share_ms = (
            self.warmth(server, now) * self.completion_rate * self.settings.server_rules.overload_window_ms
        )
        draw_allows = (
            server.draw_expires_at < 1e18
            and not server.cold_attempts
            and server.rounding_draw * cost_ms < share_ms < cost_ms
        )
        return draw_allows and server.ejected_until <= now

    def record_outcome(self, request_id: int, ended: interface.AttemptEnded, now: float) -> None:
        """Record the end of an attempt: load, latency, failures, ejection and samples for the trial."""
        server = self.servers.get(ended.server)
        attempt = server.in_flight.pop((request_id, ended.attempt_number), None) if server else None
        if server is None or attempt is None:
            return
        route_index, isolated, completed = (
            attempt.route,
            self.is_isolated(server),
            ended.outcome == Outcome.COMPLETED,
        )
        route, latency_ratio = (
            self.settings.routes[route_index],
            min(ended.duration_ms / self.settings.routes[route_index].objective_ms, 1.5),
        )
        self.in_flight -= not isolated
        if ended.reported_load is not None:
            excess = ended.reported_load - len(server.in_flight)
            server.other_load += 0.1 * (excess - server.other_load)
            self.other_load_per_size += 0.05 * (
                excess / (self.size(server) * self.warmth(server, now)) - self.other_load_per_size
            )
        if ended.outcome == Outcome.TIMEOUT and latency_ratio < 0.9:
            return  # the client's own timeout was short: it shows nothing of server, build or queue
        if completed:
            self.completed_cost += attempt.expected_cost_ms
            if (
                attempt.dedup_key
                and self.settings.rollout.forbids_downgrade
                and self.is_on_trial(server.entry.build)
            ):
                self.trial_answered_keys.add(attempt.dedup_key)
            relative_latency = (
                ended.duration_ms
                / self.mean_latency_ms[route_index]
                / attempt.concurrency
                * self.mean_concurrency
            )
            server.accepted_at = max(server.accepted_at, attempt.sent_at)
            if self.lease is not None and self.lease.covers_connection(ended.connected_at):
                server.served_at = max(server.served_at, attempt.sent_at)
            server.latency_samples += 1  # the more of them, the less one expensive request changes the mean
            server.relative_latency += max(0.03, 1 / (server.latency_samples + 9)) * (
                min(relative_latency, 4.0) - server.relative_latency
            )
            self.mean_latency_ms[route_index] += 0.02 * (
                ended.duration_ms - self.mean_latency_ms[route_index]
            )
        if (completed or ended.outcome in (Outcome.TIMEOUT, Outcome.FULL)) and not isolated:
            self.latency_ratio[route_index] += self.RATIO_GAIN * (
                (latency_ratio if completed else 1.5) - self.latency_ratio[route_index]
            )
            self.recent_samples[route_index] += 1
            self.samples_since_tick += 1
        not_connected = ended.outcome == Outcome.NOT_CONNECTED
        self.connect_failure_rate += 0.05 * (not_connected - self.connect_failure_rate)
        server.last_connected_at = server.last_connected_at if not_connected else now
        if ended.outcome == Outcome.FULL and self.lease is not None and not self.lease.has_stream:
            server.ejected_until = now + 2000  # it may be draining, and no stream is there to deliver that
            server.served_at = -1e9
        failed = ended.outcome in (Outcome.ERRORED, Outcome.FULL, Outcome.RESET, Outcome.TIMEOUT)
        if failed or completed:
            server.failure_rate += 0.2 * (failed - server.failure_rate)
        if not_connected or (failed and server.failure_rate > 0.45):
            self.eject(server, now, not_connected)
        if (
            attempt.counts_for_trial
            and not self.is_slow_route(route_index)
            and (completed or (failed and ended.outcome != Outcome.FULL))
        ):
            score = ended.duration_ms if completed else route.timeout_ms
            self.trial_test.add_sample(
                server.entry.build,
                route_index,
                score,
                attempt.concurrency,
                completed,
                self.is_on_trial(server.entry.build),
                now,
            )

    def record_counts(self, event: interface.AttemptCounts, now: float) -> None:
        """Record the platform's counts of attempts."""
        if event.attempts > 0:
            self.trial_test.add_counts(event)

    def record_bad_response(self, event: interface.BadResponseReported, now: float) -> None:
        """Record a response that was reported as bad as a failed attempt."""
        if server := self.servers.get(event.server):
            score, on_trial = (
                self.settings.routes[event.route].timeout_ms,
                self.is_on_trial(server.entry.build),
            )
            self.trial_test.add_sample(server.entry.build, event.route, score, 2.0, False, on_trial, now)

    def eject(self, server: Server, now: float, not_connected: bool) -> None:
        """Exclude a server for 2 to 3 s. Guards against failing servers and bad links. A failure that all
        servers share ejects none, and two fifths of the pool stay in use."""
        pool = self.pools[self.is_on_trial(server.entry.build)]
        common_failure_rate = sorted(s.failure_rate for s in pool)[len(pool) // 4] if pool else 1.0
        if not_connected or (
            server.failure_rate > 0.45 + common_failure_rate
            and 5 * self.count_ejected(pool, now) < 3 * len(pool)
        ):
            server.ejected_until = now + 2000 + 1000 * self.random()
            server.failure_rate = server.failure_rate if not_connected else 0.35

    def is_slow_route(self, route_index: int) -> bool:
        """Whether this route alone is late on every server, which neither a server nor a queue causes."""
        return self.latency_ratio[route_index] > 3 * max(
            self.latency_ratio[:route_index] + self.latency_ratio[route_index + 1 :], default=1.0
        )

    def count_ejected(self, servers: Iterable[Server], now: float) -> int:
        """How many of the servers are ejected."""
        return sum(s.ejected_until > now for s in servers)

    def size(self, server: Server) -> float:
        """Relative capacity of a server, by its weight."""
        return max(server.entry.weight, 0.1)

    def expected_cost(self, server: Server, now: float) -> float:
        """Expected time to completion on a server, in units of the mean latency; high for a silent server."""
        ticks, server.decayed_at = (now - server.decayed_at) / self.TICK_MS, now
        size = self.size(server) * self.warmth(server, now)
        typical_load = max(0.0, self.other_load_per_size) * size
        # Estimates without new samples decay: load to that of a server of this size, latency to the mean.
        server.other_load = typical_load + (server.other_load - typical_load) * 0.93**ticks
        server.latency_samples, server.relative_latency = (
            server.latency_samples * 0.99**ticks,
            (latency := 1 + (server.relative_latency - 1) * 0.99**ticks),
        )
        if server.in_flight:
            oldest = next(iter(server.in_flight.values()))
            latency = max(
                latency,
                (now - max(oldest.sent_at, server.last_connected_at))
                / self.mean_latency_ms[oldest.route]
                / 2,
            )
        if now - server.last_connected_at > 2000:
            # While connections fail, a front stays with the servers that it is connected to.
            latency *= 1 + 20 * self.connect_failure_rate
        # Traffic between zones is priced.
        latency *= (1 + server.failure_rate) * (1.15 if server.entry.zone != self.settings.zone else 1.0)
        # So is a new connection. One is needed if the existing ones carry attempts, or have been idle for so
        # long that they are closed soon.
        needs_connection = (
            bool(server.in_flight) or now - server.accepted_at > 0.8 * self.settings.idle_timeout_ms
        )
        latency *= 1 + self.settings.handshake_cost * needs_connection
        # The additional request counts as on a server of mean size, or all fronts would prefer large servers,
        # which then have no room.
        added_load = self.size(server) / self.mean_size
        return (len(server.in_flight) + max(0.0, server.other_load) + added_load) * latency / size

    # Most servers that are compared for an attempt. Bounds the work, and keeps fronts with the same data from
    # all picking the same server.
    SAMPLE_SIZE = 12

    def best_server(
        self, on_trial: bool, request: interface.Request, now: float, past: PastAttempts
    ) -> Server | None:
        """The best server of a sample of a pool; of the whole pool, with ejected servers and those of earlier
        attempts, if the sample has none that may get the attempt."""
        pool = sample = self.pools[on_trial]
        if len(pool) > self.SAMPLE_SIZE:
            # Drawn by size and warmth, so that fronts without any statistics load all servers alike.
            cumulative_sizes = self.cumulative_sizes[on_trial]
            sample = [
                pool[bisect(cumulative_sizes, self.random() * cumulative_sizes[-1])]
                for _ in range(self.SAMPLE_SIZE)
            ]
            sample = [s for s in sample if s.entry.started_at <= 0 or self.random() < self.warmth(s, now)]
            self.cold_servers[on_trial] = cold = [
                s for s in self.cold_servers[on_trial] if self.warmth(s, now) < 1
            ]
            due = (s for s in cold if self.is_cold_attempt_due(s, self.mean_latency_ms[request.route], now))
            if server := next((s for s in due if self.may_attempt(s, request, now, past)), None):
                return server
        sample = [s for s in sample if s.ejected_until <= now and all(s is not tried for tried, _, _ in past)]
        eligible = [s for s in sample if self.may_attempt(s, request, now, past)]
        eligible = eligible or [s for s in pool if self.may_attempt(s, request, now, past)]
        return min(
            eligible, key=lambda s: self.expected_cost(s, now) * (1 + 0.05 * self.random()), default=None
        )

    def may_send_to(self, server: Server, now: float) -> bool:
        """Whether the list, considering its age, allows new attempts on a server."""
        if server.entry.status != ServerStatus.IN_SERVICE:
            return False
        return self.lease is None or self.lease.allows_sending(now, server.served_at)

    def choose_server(self, request: interface.Request, now: float, past: PastAttempts) -> Server | None:
        """The server for the next attempt: of the build on trial while it gets less than 0.8 of its cap, else
        of the earlier build."""
        if (
            self.trial_credit >= 1
            and not self.is_slow_route(request.route)
            and (candidate := self.best_server(True, request, now, past))
        ):
            # All fronts are assumed to send alike.
            others, fronts = self.pools[False], self.settings.balancers
            load = 1 + fronts * sum(len(s.in_flight) for s in others) / max(1, len(others))
            if (
                not others
                or fronts * len(candidate.in_flight)
                <= self.MAX_TRIAL_LOAD_RATIO * self.warmth(candidate, now) * load
            ):
                return candidate
        return self.best_server(False, request, now, past) or self.best_server(True, request, now, past)

    # Bounds on the trial's share of attempts over its share of the fleet's capacity, and on the load of its
    # servers over that of the others. Source: ``docs/design.md``.
    MAX_TRIAL_OVERSHARE, MAX_TRIAL_LOAD_RATIO = 1.35, 1.3

    def update_trial_credit(self, now: float) -> None:
        """Set how much of an attempt on the trial build each request adds: spreads them evenly in time."""
        if not self.pools[True]:
            # A random start, so that fronts do not all begin at once.
            self.trial_credit_per_request, self.trial_credit = 0.0, self.random()
            return
        sizes = [sum(self.size(s) * self.warmth(s, now) for s in pool) for pool in self.pools.values()]
        # Guards against blaming the build for the load that the extra attempts add: on busy servers a third
        # more attempts makes a queue. Where the platform sends counts, the test on them allows twice the
        # latency and needs the attempts.
        headroom = (
            1.0
            if self.settings.rollout.counts_interval_ms
            else max(0.0, 1 - self.mean_latency_ratio / self.TARGET_RATIO)
        )
        overshare = 1 + (self.MAX_TRIAL_OVERSHARE - 1) * headroom
        self.trial_credit_per_request = min(
            0.8 * self.exposure_cap(self.pools[True][-1].entry.build)[0], overshare * sizes[1] / sum(sizes)
        )

    def may_attempt(self, server: Server, request: interface.Request, now: float, past: PastAttempts) -> bool:
        """Whether the rules allow an attempt of the request on a server."""
        if not self.may_send_to(server, now) or not self.has_cold_budget(
            server, self.mean_latency_ms[request.route], now
        ):
            return False
        if self.is_on_trial(server.entry.build):
            if not self.has_exposure_room(request, server.entry.build, now):
                return False
        elif server.entry.build < self.stage_update.build and request.dedup_key in self.trial_answered_keys:
            return False
        route, executed = self.settings.routes[request.route], [p for p in past if p[2]]
        if not executed or route.retry_safety == RetrySafety.RETRIABLE:
            return True
        first_server, first_attempt, _ = executed[0]
        if (
            route.retry_safety == RetrySafety.NON_RETRIABLE
            or now - first_attempt.sent_at >= route.dedup_window_ms - self.TICK_MS
        ):
            return False
        return (
            True,
            first_server.entry.zone == server.entry.zone,
            first_server.entry.cell == server.entry.cell,
        )[route.dedup_scope]

    def shed_or_fail(self, request: interface.Request, past: PastAttempts) -> interface.Shed | interface.Fail:
        """The answer to a request that gets no further attempt: an error if it may have been executed and
        must not be repeated, else a shed."""
        route = self.settings.routes[request.route]
        deduped = route.retry_safety == RetrySafety.DEDUPED and route.dedup_scope == interface.DedupScope.ALL
        if any(executed for _, _, executed in past) and not (
            deduped or route.retry_safety == RetrySafety.RETRIABLE
        ):
            return interface.Fail()
        # Short enough for the repeat to be answered in time.
        retry_after_ms = max(50.0, 0.4 * route.objective_ms)
        return interface.Shed(
            min(self.settings.max_retry_after_ms, retry_after_ms)
            if self.settings.retry_after_allowed
            else 0.0
        )

    RATIO_GAIN = 0.15  # weight of each outcome: about the last seven count
    # Mean of duration over objective to aim at: with exponential latencies, 9 in 10 then meet the objective.
    TARGET_RATIO = 0.45

    def relative_benefit(self, request: interface.Request, now: float) -> float:
        """Benefit per unit of work relative to the best route's; lower if the tenant exceeds its share."""
        benefit = self.benefit_density[request.route] / max(self.benefit_density)
        # A request of a slow route occupies its place for long.
        benefit *= (
            self.settings.routes[request.route].late_benefit if self.is_slow_route(request.route) else 1.0
        )
        if request.tenant is not None and self.settings.tenants:
            # A front with more than an equal share of the traffic gets as much more of the quota. A tenant at
            # 0.7 of its quota is five requests over it one time in twenty by chance alone, which is much on a
            # small front.
            quota = self.settings.tenants[request.tenant].quota_per_s * self.traffic_share
            limit = quota + 5
            usage, updated_at = self.tenant_usage[request.tenant]
            usage = max(0.0, usage - (now - updated_at) * quota / 1000) + 1
            self.tenant_usage[request.tenant] = (min(usage, 2 * limit), now)
            benefit *= self.settings.over_share_benefit if usage > limit else 1.0
        return benefit

    def admission_limit(self, request: interface.Request, now: float) -> float:
        """Number of attempts in flight below which a request is admitted: lower for a low benefit, and for a
        repeat that can only be answered late."""
        route_index, route = request.route, self.settings.routes[request.route]
        # Time left beyond what first requests bring; negative for a repeat.
        excess_ms = min(request.deadline - now, route.timeout_ms) - self.client_timeout_ms[route_index]
        self.client_timeout_ms[route_index] += (0.1 if excess_ms > 0 else 0.005) * excess_ms
        lateness_factor = (
            0.6 + 0.4 * route.late_benefit
            if self.mean_latency_ms[route_index] - excess_ms > route.objective_ms
            else 1.0
        )
        return self.in_flight_limit * (0.7 + 0.3 * self.relative_benefit(request, now)) * lateness_factor

    def is_isolated(self, server: Server) -> bool:
        """Whether a server is on trial while most are not. Its attempts do not count towards the limit, so
        that a build that hangs does not stop admission."""
        return self.is_on_trial(server.entry.build) and len(self.pools[True]) < len(self.pools[False])

    def adapt_limit(self) -> None:
        """Once a tick: lower the limit on attempts in flight while responses are late, raise it while it is
        reached."""
        self.mean_in_flight += 0.1 * (self.in_flight - self.mean_in_flight)
        # The mean counts too, as a small front has no attempt in flight at most ticks.
        load = max(self.in_flight, self.mean_in_flight)
        # Decays, as an overload that yields no responses must not keep the limit low for ever.
        self.recent_samples = [0.98 * x for x in self.recent_samples]
        counted_routes = [
            route_index
            for route_index in range(len(self.recent_samples))
            if not self.is_slow_route(route_index)
        ]
        latency_ratio = sum(
            self.recent_samples[route_index] * self.latency_ratio[route_index]
            for route_index in counted_routes
        ) / (sum(self.recent_samples[route_index] for route_index in counted_routes) + 1)
        self.mean_latency_ratio = latency_ratio
        if latency_ratio > self.TARGET_RATIO:
            # Lowered only as far as the samples since the last tick support it, and not into the range that
            # chance alone reaches: on a small front, one late response or a burst is no overload.
            factor = 1 - 0.15 * min(1.0, latency_ratio / self.TARGET_RATIO - 1) * min(
                1.0, self.RATIO_GAIN * self.samples_since_tick
            )
            # Two attempts on each server from all fronts together.
            min_limit = self.chance_bound(2 * len(self.servers) / self.settings.balancers)
            self.in_flight_limit = max(
                min_limit,
                factor * min(self.in_flight_limit, max(1.5 * load, self.chance_bound(self.mean_in_flight))),
            )
        elif load > 0.6 * self.in_flight_limit:
            self.in_flight_limit *= 1.03
        self.samples_since_tick = 0

    def chance_bound(self, mean: float) -> float:
        """The most attempts in flight to expect around this mean while nothing is wrong: two standard
        deviations of a Poisson distribution above it."""
        return mean + 2 * sqrt(mean)

    def serve_request(
        self, request: interface.Request, now: float
    ) -> Generator[interface.Action, tuple[float, interface.AttemptEnded | None], None]:
        """Decide on a request; see ``interface.py`` for what is yielded and sent."""
        self.request_times[request.route if self.settings.rollout.cap_per_route else 0].append(now)
        self.new_requests += 1
        # Guards against a queue that outlasts the objectives, whatever fills it. Requests of the lowest
        # benefit are shed first.
        full = self.in_flight + self.random() >= self.admission_limit(request, now)
        # A front with fewer attempts in flight than servers cannot see which servers are loaded.
        if not full or self.mean_in_flight > len(self.pools[False]):
            self.trial_credit = min(2.0, self.trial_credit + self.trial_credit_per_request)
        if full:
            self.last_shed_at = now
            yield self.shed_or_fail(request, [])
            return
        route = self.settings.routes[request.route]
        # The budget keeps retries from making an overload worse.
        self.retry_tokens = min(self.retry_tokens + min(0.1, route.retry_budget), 20.0)
        past, token_cost = PastAttempts(), 0.0
        for number in range(min(self.settings.max_attempts, route.max_attempts)):
            server = self.choose_server(request, now, past)
            if server is None or request.deadline - now < 1 or self.retry_tokens < token_cost:
                break
            self.retry_tokens -= token_cost
            attempt = self.register_attempt(request, server, number, now)
            now, ended = yield interface.SendAttempt(server.entry.server, request.deadline - now)
            past.append((server, attempt, ended.outcome not in interface.NOT_EXECUTED))
            # An attempt that was never sent has cost the server little.
            token_cost = float(ended.outcome not in (Outcome.NOT_CONNECTED, Outcome.MOOT))
        yield self.shed_or_fail(request, past)

    def register_attempt(
        self, request: interface.Request, server: Server, number: int, now: float
    ) -> Attempt:
        """Record an attempt that is about to be sent."""
        # Where the slow start exceeds 3 s it is the longer bound: a cold server makes a good build look slow.
        counts_for_trial = self.age_ms(server, now) >= max(
            TrialTest.MIN_SERVER_AGE_MS, self.settings.server_rules.slow_start_ms
        )
        concurrency = len(server.in_flight) + max(0.0, server.other_load) + 2
        self.mean_concurrency += 0.02 * (concurrency - self.mean_concurrency)
        attempt = server.in_flight[request.id, number] = Attempt(
            request.route,
            now,
            self.mean_latency_ms[request.route],
            counts_for_trial,
            request.dedup_key,
            concurrency,
        )
        self.in_flight += not self.is_isolated(server)
        if self.warmth(server, now) < 1:
            server.cold_attempts.append((now, attempt.expected_cost_ms))
        if self.is_on_trial(server.entry.build):
            self.trial_attempt_times[request.route if self.settings.rollout.cap_per_route else 0].append(now)
            self.trial_credit = max(0.0, self.trial_credit - 1)
        return attempt
