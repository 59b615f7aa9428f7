"""The actor that owns the decision module: every event reaches the module through this actor's mailbox."""

import contextlib
import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from gevent.queue import Empty, SimpleQueue

from myrtleroad import interface
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.admission.executed_ids import ExecutedIds
from myrtleroad.admission.memory_budget import MemoryBudget
from myrtleroad.admission.request_accounting import unaccounted_requests
from myrtleroad.net import response
from myrtleroad.net.actor import keep_running, report_fault
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.exchange_result import UpstreamResponse
from myrtleroad.net.http1 import Message
from myrtleroad.net.log import Log, RateLimitedWarnings
from myrtleroad.net.memory_monitor import memory_budget
from myrtleroad.net.node_config import Address, NodeConfig, ServerListing
from myrtleroad.net.stream_poller import StreamPoller
from myrtleroad.net.upstream_server import (
    NOT_SENT,
    AttemptJob,
    AttemptResult,
    ConnectionBudget,
    ServerAddressChanged,
    ServerRemoved,
    StartAttempt,
    StopAttempt,
    UpstreamServer,
)
from myrtleroad.policy.balancer import Balancer
from myrtleroad.request_coroutine import RequestCoroutine
from myrtleroad.settings import LOAD_COLUMN

# requests in progress on one server: a load report above it, or not a number, is ignored
MAX_REPORTED_LOAD = 1e6
MAX_QUEUED_UPDATES = 8  # lists and stage updates that wait; hundreds may come in one read
MAX_UNREAD_LISTINGS = 8  # changes of the list that an actor without a greenlet leaves in its mailbox
IN_SERVICE = interface.ServerStatus.IN_SERVICE
WAKE_MAILBOX = None  # mailbox entry without content: something waits in the priority queue
DEADLINE_SLACK_MS = 50.0  # tolerance of the protocol on every time limit measured on sockets
YIELD_AFTER_MS = 50.0  # half a timer tick; after it other greenlets run, as a full mailbox alone never yields
LATE_WARNING_MS = 100.0  # a whole tick of the decision module
# marks the decision module's own wake-up among the timers; all others belong to a request
DECISION_WAKEUP = None


def transaction_id(message: Message) -> str:
    """The ID that the client gave its request (header X-Txn)."""
    return (message.header(b"x-txn") or b"").decode("latin-1")


def reported_load(header: bytes | None) -> float | None:
    """Load from a report header of the form ``TEXT name=value, name=value``; None if it cannot be parsed."""
    form, _, text = (header or b"").decode("latin-1").partition(" ")
    if form != "TEXT":
        return None
    pairs = (pair.partition("=") for pair in text.split(","))
    try:
        value = float({name.strip(): value for name, _, value in pairs}[LOAD_COLUMN])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value < MAX_REPORTED_LOAD else None


@dataclass(slots=True)
class RequestReceived:
    """A client's request, whole and valid."""

    request: interface.Request
    message: Message
    received_at: float
    respond: Callable[[response.Response], None]
    read_delay_ms: float = 0.0  # ms that it had waited before it was read


@dataclass(slots=True)
class ClientGone:
    """The client of an open request has closed its connection."""

    request_id: int


@dataclass(slots=True)
class OpenRequest:
    """A request in progress: its coroutine in the decision module, and who receives the response."""

    coroutine: RequestCoroutine
    received: RequestReceived
    attempt_servers: list[int] = field(default_factory=list)  # the server of each attempt


class Dispatcher:
    """Owns the decision module: passes events to it and executes the actions that it returns."""

    ACTOR_NAME = "brain"  # the actor's name in log events

    def __init__(
        self,
        node_config: NodeConfig,
        clock: Clock,
        counters: Counters,
        log: Log,
        memory: MemoryBudget | None = None,
    ):
        self.node_config, self.clock, self.counters, self.log = node_config, clock, counters, log
        self.mailbox: SimpleQueue = SimpleQueue()
        # lists and stage updates, processed before the mailbox; drained by ``apply_updates``
        self.priority_queue: deque[object] = deque()
        # results of attempts, processed before new requests; drained by ``process_ended_attempts``
        self.ended_attempts: deque[AttemptResult] = deque()
        self.missing_requests = 0  # number of requests missing from the counters when last logged
        # when the open requests are next searched for one that nothing has ended
        self.next_expiry_check = 0.0
        self.stream_poller = StreamPoller()
        self.balancer = Balancer(node_config.facts, node_config.seed, clock())
        self.open_requests: dict[int, OpenRequest] = {}  # entries are removed as requests end
        # IDs of open requests and running attempts; entries are removed as they end
        self.ids_in_use: Counter[bytes] = Counter()
        self.executed_ids = ExecutedIds()
        # removed as each timer expires
        self.timers: list[tuple[float, int, RequestCoroutine | None, int]] = []
        self.timer_count = 0
        # server number by ID, and the reverse; entries are removed as servers leave the list
        self.server_numbers: dict[str, int] = {}
        self.server_ids: dict[int, str] = {}
        self.servers_numbered = 0
        self.servers: dict[int, UpstreamServer] = {}  # entries are removed as servers leave the list
        # address and start time of each server, removed with it
        self.server_places: dict[int, tuple[Address, float]] = {}
        self.logged_stage: tuple[int, int, str, float] | None = None  # the last one logged
        self.memory = memory or memory_budget(node_config)
        self.connection_budget = ConnectionBudget(
            self.memory.limits.attempts, responses=self.memory.responses
        )
        self.running_attempts = 0  # that have not reported a result
        # server IDs and zones that operators took out of service
        self.out_of_service: tuple[frozenset[str], frozenset[int]] = (frozenset(), frozenset())
        # called after a stage update has reached the module
        self.on_stage_update: Callable[[], None] = lambda: None
        self.list_age: Callable[[float], float] = lambda now: 0.0
        self.cast_vote: Callable[[interface.Vote], None] = lambda action: None
        self.overdue_warnings, self.late_warnings = RateLimitedWarnings(log), RateLimitedWarnings(log, 1)
        self.admission = AdmissionControl(r.objective_ms for r in node_config.facts.routes)
        self.delay_ms = 0.0  # ms by which the last message or timer was processed late
        self.client_count: Callable[[], int] = lambda: 0  # client connections held, for the log

    def run(self) -> None:
        """Process messages, timers and deadlines; does not return."""
        turn_began_at = self.clock()
        while True:
            if self.clock() - turn_began_at > YIELD_AFTER_MS:
                gevent.sleep(0)
                turn_began_at = self.clock()
            wait = (self.timers[0][0] - self.clock()) / 1000 if self.timers else 1.0
            message = None
            if wait > 0:
                with contextlib.suppress(Empty):
                    message = self.mailbox.get(timeout=wait)
            elif not self.mailbox.empty():
                message = self.mailbox.get()
            self.apply_updates()
            self.process_ended_attempts()
            if message is not WAKE_MAILBOX:
                self.handle(message)
            self.run_timers(self.clock())
            self.expire_requests(self.clock())

    def attempt_ended(self, message: AttemptResult) -> None:
        """Queue the result of an attempt ahead of requests that have not been processed. Behind thousands of
        them its response would be late, and the open request would keep its place for nothing."""
        self.ended_attempts.append(message)
        self.mailbox.put(WAKE_MAILBOX)

    def process_ended_attempts(self) -> None:
        """Process the results of attempts that have ended so far."""
        while self.ended_attempts:
            self.handle(self.ended_attempts.popleft())

    def handle(self, message: RequestReceived | AttemptResult | ClientGone) -> None:
        """Process one message. An exception ends only the request it belongs to, at once, with a failure
        response."""
        if self.contained("message", self.process, message, self.clock()):
            return
        if isinstance(message, AttemptResult):
            if open_request := self.open_requests.get(message.job.request_id):
                open_request.coroutine.close()
                self.respond(open_request, response.bad_gateway())
        elif isinstance(message, RequestReceived) and message.request.id not in self.open_requests:
            message.respond(response.bad_gateway())

    def expire_requests(self, now: float) -> None:
        """Answer every open request whose time is over and that nothing else has ended with a failure
        response. An attempt's own timeout comes first; this guards against an attempt that never reports its
        result, as after an exception."""
        if now < self.next_expiry_check:
            return
        self.next_expiry_check = now + DEADLINE_SLACK_MS
        missing = unaccounted_requests(self.counters.counts, len(self.open_requests))
        if missing != self.missing_requests:
            # Guards against a request that is missing from the counters: logged once per change, not at every
            # check.
            self.counters.add("account_off", abs(missing - self.missing_requests))
            self.log("account off", level="warning", reqs=missing, open=len(self.open_requests))
            self.missing_requests = missing
        for open_request in [
            candidate
            for candidate in self.open_requests.values()
            if now > candidate.received.request.deadline + DEADLINE_SLACK_MS
        ]:
            self.counters.add("reqs_expired")
            open_request.coroutine.close()
            self.respond(open_request, response.bad_gateway())

    def post_update(self, message: object) -> None:
        """Queue a list or a stage update ahead of requests: in the priority queue, not behind the mailbox."""
        self.priority_queue.append(message)
        if len(self.priority_queue) > MAX_QUEUED_UPDATES:
            self.process_updates()
        self.mailbox.put(WAKE_MAILBOX)

    def apply_updates(self) -> None:
        """Pass every update received so far to the module, including bytes that no greenlet has read yet.

        Called by the dispatcher before each message and by each attempt before its first byte. Never switches
        greenlets.
        """
        self.contained("look", self.stream_poller.read_ready)
        self.process_updates()

    def process_updates(self) -> None:
        """Pass the queued updates to the module. Never switches greenlets."""
        while self.priority_queue:
            self.process(self.priority_queue.popleft(), self.clock())

    def start(self) -> None:
        """Give the module the initial list and stage. Called once, before ``run``."""
        now = self.clock()
        self.set_timer(now, DECISION_WAKEUP, 0)
        self.contained("list", self.apply_listing, self.node_config.initial_list, now)
        self.process(self.node_config.initial_stage, now)

    def contained(self, event: str, function: Callable, *args) -> bool:
        """Call a function and contain its exceptions: they are logged with the event's name and counted.
        False if one occurred."""
        try:
            function(*args)
            return True
        except Exception as error:
            report_fault(event, error, self.counters, self.log)
            return False

    def process(self, message: object, now: float) -> None:
        """Pass one message to the method for its type."""
        match message:
            case RequestReceived():
                self.record_delay("longest_delay_ms", now - message.received_at, now)
                self.start_request(message, now)
            case AttemptResult():
                self.finish_attempt(message, now)
            case ClientGone(request_id):
                if open_request := self.open_requests.pop(request_id, None):
                    open_request.coroutine.close()
                    self.release_id(open_request.received.message)
                    self.counters.add("reqs_gone")
            case ServerListing():
                self.counters.add("lists")
                self.contained("list", self.apply_listing, message, now)
            case interface.SettingsNarrowed():
                self.contained("narrowed", self.balancer.narrow_settings, message, now)
            case interface.ListFreshnessChanged():
                self.counters.add(f"list_{message.freshness.name.lower()}")
            case interface.StageUpdate():
                self.counters.add("stage_news")
                self.contained("news", self.apply_stage_update, message, now)

    def run_timers(self, now: float) -> None:
        """Run the timers that are due: the module's wake-up and the waits of requests."""
        while self.timers and self.timers[0][0] <= now:
            due, _, coroutine, wait_number = heapq.heappop(self.timers)
            self.record_delay("latest_timer_ms", now - due, now)
            if coroutine is DECISION_WAKEUP:
                if not self.contained("wake", lambda: self.execute_actions(self.balancer.wake(now), now)):
                    # an exception must not stop the module's timer
                    self.set_timer(now + 100.0, DECISION_WAKEUP, 0)
            elif coroutine.wait_number == wait_number and coroutine.request_id in self.open_requests:
                self.resume(self.open_requests[coroutine.request_id], None, now)

    def record_delay(self, counter: str, delay_ms: float, now: float) -> None:
        """Record how late, in ms, a message or timer is processed, and log it when it is over the limit."""
        self.delay_ms = delay_ms
        self.counters.record_high(counter, delay_ms)
        if delay_ms > LATE_WARNING_MS:
            connections, queued = self.connection_budget.in_use, self.mailbox.qsize()
            state = dict(
                open=len(self.open_requests), clients=self.client_count(), links=connections, mailbox=queued
            )
            self.late_warnings("behind", now, what=counter, lag_ms=round(delay_ms, 1), **state)

    def apply_stage_update(self, update: interface.StageUpdate, now: float) -> None:
        """Pass a stage update to the module, and log the stage if it is a new one."""
        stage = (update.build, update.stage, update.phase.name, update.cap)
        if update.outcome == interface.Outcome.COMPLETED and stage != self.logged_stage:
            self.logged_stage = stage
            self.log("stage", build=update.build, stage=update.stage, phase=update.phase.name, cap=update.cap)
        self.execute_actions(self.balancer.update_stage(update, now), now)
        self.on_stage_update()

    def set_timer(self, at: float, coroutine: RequestCoroutine | None, wait_number: int) -> None:
        """Add a timer. One of a request is void if the request is in another wait by then."""
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, coroutine, wait_number))

    def start_request(self, message: RequestReceived, now: float) -> None:
        """Give a request to the module, or answer it at once if it waited too long, there is no memory for an
        attempt, or its ID is in use."""
        request, transaction = message.request, message.message.header(b"x-txn")
        decision = self.admission.decide(
            message.read_delay_ms + now - message.received_at, request.deadline - now, now
        )
        if decision != AdmissionDecision.TAKE:
            self.counters.add(f"reqs_waited_{decision.name.lower()}")
            message.respond(response.overloaded(self.node_config.facts))
            return
        if self.running_attempts >= self.memory.limits.attempts:
            self.counters.add("reqs_over_memory")
            message.respond(response.overloaded(self.node_config.facts))
            return
        if transaction in self.ids_in_use or self.executed_ids.contains(transaction, now):
            # Guards against a second copy: this ID belongs to another request, which may run or have run.
            message.respond(response.rejected(409))
            return
        self.ids_in_use[transaction] = 1
        self.counters.add("reqs_taken")
        open_request = OpenRequest(
            RequestCoroutine(request.id, self.balancer.serve_request(request, now)), message
        )
        self.open_requests[request.id] = open_request
        self.resume(open_request, None, now)

    def finish_attempt(self, message: AttemptResult, now: float) -> None:
        """Pass the result of an attempt to the module and to its request, if that is still open."""
        job = message.job
        self.running_attempts -= 1
        self.release_id(job.message)
        if not job.may_run_twice and message.outcome not in interface.NOT_EXECUTED:
            self.executed_ids.add(job.message.header(b"x-txn"), now)
        self.memory.requests.release(job.message)
        open_request = self.open_requests.get(job.request_id)
        completed = message.outcome == interface.Outcome.COMPLETED
        load = self.load_report(message)
        finished, connected_at = open_request is None or completed, message.connected_at
        ended = interface.AttemptEnded(
            job.server, job.attempt_number, message.outcome, message.duration_ms, load, finished, connected_at
        )
        self.contained("try ended", self.balancer.record_outcome, job.request_id, ended, now)
        if open_request and completed:
            open_request.coroutine.close()
            self.respond(open_request, response.completed(message.result))
        elif open_request:
            self.resume(open_request, ended, now)

    def release_id(self, message: Message) -> None:
        """Give up one use of a request's ID."""
        transaction = message.header(b"x-txn")
        self.ids_in_use[transaction] -= 1
        if self.ids_in_use[transaction] <= 0:
            del self.ids_in_use[transaction]

    def load_report(self, message: AttemptResult) -> float | None:
        """Requests in progress on the server according to the response's load report; None without a
        report."""
        if self.node_config.facts.load_column is None or not isinstance(message.result, UpstreamResponse):
            return None
        return reported_load(message.result.header(b"x-pressure"))

    def resume(self, open_request: OpenRequest, ended: interface.AttemptEnded | None, now: float) -> None:
        """Resume a request's coroutine, execute its actions and start the timer of its next wait."""
        try:
            for action in open_request.coroutine.resume(ended, now):
                self.execute(open_request, action, now)
        except Exception as error:
            report_fault("req", error, self.counters, self.log)
            open_request.coroutine.close()
        if open_request.coroutine.finished:
            if open_request.coroutine.request_id in self.open_requests:
                self.respond(open_request, response.bad_gateway())
        elif open_request.coroutine.max_wait_ms is not None:
            self.set_timer(
                now + open_request.coroutine.max_wait_ms,
                open_request.coroutine,
                open_request.coroutine.wait_number,
            )

    def execute(self, open_request: OpenRequest, action: interface.Action, now: float) -> None:
        """Execute one action of a request."""
        match action:
            case interface.SendAttempt():
                self.start_attempt(open_request, action, now)
            case interface.Shed():
                self.respond(open_request, response.shed(action.retry_after_ms))
            case interface.Fail():
                self.respond(open_request, response.bad_gateway())
            case interface.CancelAttempt():
                if server := self.servers.get(open_request.attempt_servers[action.attempt_number]):
                    stop = StopAttempt(open_request.coroutine.request_id, action.attempt_number)
                    self.post_to_server(server, stop)
            case _:
                raise TypeError(f"not an action of a request: {action!r}")

    def start_attempt(self, open_request: OpenRequest, action: interface.SendAttempt, now: float) -> None:
        """Hand an attempt to its server's actor, with the preconditions of the decision."""
        entry = self.balancer.servers[action.server].entry
        deadline = min(now + action.timeout_ms, open_request.received.request.deadline)
        preconditions = (entry.build, entry.started_at, self.exposure_cap(entry.build))
        attempt_number, message = len(open_request.attempt_servers), open_request.received.message
        route = self.node_config.facts.routes[open_request.received.request.route]
        job = AttemptJob(
            open_request.coroutine.request_id,
            attempt_number,
            action.server,
            message,
            now,
            deadline,
            preconditions,
            route.retry_safety != interface.RetrySafety.NON_RETRIABLE,
        )
        open_request.attempt_servers.append(action.server)
        self.ids_in_use[message.header(b"x-txn")] += 1
        self.counters.add("tries")
        self.running_attempts += 1
        self.connection_budget.limit = self.memory.limits.attempts
        self.memory.requests.retain(message)
        if self.running_attempts > self.memory.limits.attempts:
            self.counters.add("tries_over_memory")
            self.attempt_ended(AttemptResult(job, interface.Outcome.MOOT, 0.0, NOT_SENT))
            return
        self.post_to_server(self.servers[action.server], StartAttempt(job))

    def post_listing(self, server: UpstreamServer, message: ServerAddressChanged | ServerRemoved) -> None:
        """Send a change of the list to a server's actor. Without a greenlet it has no connection that the
        change concerns, and reads it before its next attempt."""
        server.mailbox.put(message)
        if server.mailbox.qsize() > MAX_UNREAD_LISTINGS:
            self.start_server(server)

    def post_to_server(self, server: UpstreamServer, message: object) -> None:
        """Send a message to a server's actor, and start that if it has no greenlet."""
        server.mailbox.put(message)
        self.start_server(server)

    def start_server(self, server: UpstreamServer) -> None:
        """Start the greenlet of a server's actor, if it has none."""
        if not server.is_active:
            server.is_active = True
            gevent.spawn(keep_running, "machine", server.run_while_busy, self.counters, self.log)

    def exposure_cap(self, build: int) -> float:
        """The cap of a build on trial, inf for any other build."""
        return self.balancer.exposure_cap(build)[0] if self.balancer.is_on_trial(build) else float("inf")

    def preconditions_hold(self, job: AttemptJob) -> bool:
        """Check the attempt's preconditions anew: whether the list and the stage that the module chose the
        server by still hold after every update received so far. Called directly before the first byte is
        written."""
        self.apply_updates()
        if job.request_id not in self.open_requests:
            self.counters.add("sends_stopped_by_leaving")
            return False
        server = self.balancer.servers.get(job.server)
        build, started_at, cap = job.preconditions
        listed = server is not None and self.balancer.may_send_to(server, self.clock())
        if not listed or (server.entry.build, server.entry.started_at) != (build, started_at):
            self.counters.add("sends_stopped_by_list")
            return False
        if self.exposure_cap(build) < cap:
            self.counters.add("sends_stopped_by_cap")
            return False
        list_age_ms = self.list_age(self.clock())
        self.counters.record_high("list_age_ms", list_age_ms)
        self.log_attempt(job, list_age_ms)
        return True

    def log_attempt(self, job: AttemptJob, list_age_ms: float) -> None:
        """Log the request, its server and the age of the server list that the choice was based on."""
        if self.log.is_enabled("debug"):
            fields = dict(
                txn=transaction_id(job.message),
                attempt=job.attempt_number,
                server=self.server_ids[job.server],
            )
            self.log("attempt", level="debug", list_age_ms=round(list_age_ms, 1), **fields)

    def respond(self, open_request: OpenRequest, final_response: response.Response) -> None:
        """Send the final response of an open request and close it; does nothing if it is closed."""
        if self.open_requests.pop(open_request.coroutine.request_id, None):
            self.release_id(open_request.received.message)
            self.counters.add(f"reqs_{final_response.kind}")
            if self.log.is_enabled("debug"):
                fields = dict(
                    txn=transaction_id(open_request.received.message),
                    kind=final_response.kind,
                    attempts=len(open_request.attempt_servers),
                )
                self.log("answer", level="debug", **fields)
            open_request.received.respond(final_response)
            self.log_overdue(open_request, final_response.kind, self.clock())

    def log_overdue(self, open_request: OpenRequest, kind: str, now: float) -> None:
        """Log the ID of a request that was answered after its deadline, so that it can be traced."""
        overdue_ms = now - open_request.received.request.deadline
        if overdue_ms <= DEADLINE_SLACK_MS:
            return
        self.counters.add("answers_overdue")
        held_ms = now - open_request.received.received_at
        times = dict(over_ms=round(overdue_ms, 1), held_ms=round(held_ms, 1), lag_ms=round(self.delay_ms, 1))
        fields = dict(
            txn=transaction_id(open_request.received.message),
            kind=kind,
            tries=len(open_request.attempt_servers),
        )
        self.overdue_warnings("answer overdue", now, **fields, **times)

    def execute_actions(self, actions: Iterable[interface.Action], now: float) -> None:
        """Execute actions of the module that belong to no request."""
        for action in actions:
            match action:
                case interface.WakeAt(at):
                    self.set_timer(at, DECISION_WAKEUP, 0)
                case interface.Vote():
                    self.counters.add("votes")
                    self.log("vote", build=action.build, verdict=action.verdict.name, stage=action.stage)
                    self.cast_vote(action)
                case interface.LogMessage(text):
                    self.log("note", text=text)
                case _:
                    raise TypeError(f"not executed by the dispatcher: {action!r}")

    def record_starts(self, listing: ServerListing, now: float) -> None:
        """Record the starts of servers that this list is the first to contain."""
        for server in listing.servers:
            place = self.server_places.get(self.server_numbers.get(server.server_id, -1))
            if place is None or place[1] != server.entry.started_at:
                self.balancer.start_clock.observe(server.entry.started_at, now, listing.watched)

    def apply_listing(self, listing: ServerListing, now: float) -> None:
        """Apply a server list to the module and to the servers' actors, before any attempt that follows."""
        self.record_starts(listing, now)
        for server in listing.servers:
            number = server.entry.server = self.server_number(server.server_id)
            place = (server.address, server.entry.started_at)
            if number not in self.servers:
                server_args = (
                    self.node_config,
                    self.clock,
                    self.counters,
                    self.connection_budget,
                    self.attempt_ended,
                    self.preconditions_hold,
                )
                self.servers[number] = UpstreamServer(server.address, *server_args)
            elif self.server_places[number] != place:
                self.post_listing(self.servers[number], ServerAddressChanged(server.address))
            self.server_places[number] = place
        server_ids, zones = self.out_of_service
        entries = [
            # A server that operators took out of service drains: it finishes its requests and gets no new
            # ones.
            server.as_draining().entry
            if server.entry.status == IN_SERVICE
            and (server.server_id in server_ids or server.entry.zone in zones)
            else server.entry
            for server in listing.servers
        ]
        self.execute_actions(
            self.balancer.update_server_list(interface.ServerListUpdate(listing.kind, entries), now), now
        )
        for number in [number for number in self.servers if number not in self.balancer.servers]:
            self.post_listing(self.servers.pop(number), ServerRemoved())
            del self.server_places[number]
            del self.server_numbers[self.server_ids.pop(number)]
        self.memory.set_servers(len(self.servers))
        self.connection_budget.limit = self.memory.limits.attempts

    def server_number(self, server_id: str) -> int:
        """The number of a server; a server that has left the list and returns gets another one."""
        number = self.server_numbers.get(server_id)
        if number is None:
            number = self.server_numbers[server_id] = self.servers_numbered
            self.server_ids[number] = server_id
            self.servers_numbered += 1
        return number
