"""The actor that owns the decision module. Whatever happens reaches the module through its mailbox."""

import contextlib
import heapq
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from gevent.queue import Empty, SimpleQueue

from myrtleroad import interface as i
from myrtleroad.admission.admission_control import AdmissionControl, AdmissionDecision
from myrtleroad.admission.request_accounting import unaccounted_requests
from myrtleroad.net import response
from myrtleroad.net.actor import keep_running, report_fault
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.exchange_result import UpstreamResponse
from myrtleroad.net.http1 import Message
from myrtleroad.net.log import Log, RateLimitedWarnings
from myrtleroad.net.node_config import Address, NodeConfig, ServerListing
from myrtleroad.net.stream_poller import StreamPoller
from myrtleroad.net.upstream_server import (
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

RESERVED_DESCRIPTORS = (
    24  # descriptors for all else: log, clock, both streams, twice while they move, a vote, some to spare
)
MAX_REPORTED_LOAD = 1e6  # reqs that no machine holds: a report past it, or not a number, is none
IN_SERVICE = i.ServerStatus.IN_SERVICE
WAKE_MAILBOX = None  # in the mailbox: something waits in the lane
DEADLINE_SLACK_MS = 50.0  # what every limit of time is longer by on sockets (protocol)
YIELD_AFTER_MS = 50.0  # half a tick, then others get a turn: a full mailbox alone never lets them have one
LATE_WARNING_MS = 100.0  # a whole tick of the module's
DECISION_WAKEUP = None  # the timer of the module's own wake-up; others belong to a req


def transaction_id(message: Message) -> str:
    """The id that a client gave its request."""
    return (message.header(b"x-txn") or b"").decode("latin-1")


def reported_load(header: bytes | None) -> float | None:
    """``TEXT name=value, name=value``; what cannot be read is no report."""
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
    request: i.Request
    message: Message
    received_at: float
    respond: Callable[[response.Response], None]
    read_delay_ms: float = 0.0  # ms that it had waited before it was read


@dataclass(slots=True)
class ClientGone:
    request_id: int


@dataclass(slots=True)
class OpenRequest:
    """One open req: its life in the module, and whom its answer is for."""

    coroutine: RequestCoroutine
    received: RequestReceived
    attempt_servers: list[int] = field(default_factory=list)  # the machine of each try


class Dispatcher:
    ACTOR_NAME = "brain"  # the actor's name in log events

    def __init__(self, told: NodeConfig, clock: Clock, counters: Counters, log: Log):
        self.node_config, self.clock, self.counters, self.log = told, clock, counters, log
        self.mailbox: SimpleQueue = SimpleQueue()
        self.priority_queue: deque[object] = (
            deque()
        )  # lists and news, ahead of the mailbox; emptied by ``hear``
        self.ended_attempts: deque[AttemptResult] = (
            deque()
        )  # of tries, ahead of reqs not yet taken; emptied by ``settle``
        self.missing_requests = 0  # reqs by which the account was off as last told
        self.next_expiry_check = 0.0  # when open reqs are next looked over for one that nothing has ended
        self.stream_poller = StreamPoller()
        self.balancer = Balancer(told.facts, told.seed, clock())
        self.open_requests: dict[int, OpenRequest] = {}  # emptied as each req ends
        self.ids_in_use: Counter[bytes] = (
            Counter()
        )  # of open reqs and of tries that are out; emptied as each ends
        self.timers: list[tuple[float, int, RequestCoroutine | None, int]] = []  # emptied as each timer rings
        self.timer_count = 0
        self.server_numbers: dict[str, int] = {}  # machine words; grows with the fleet, never with reqs
        self.server_ids: list[str] = []  # the word of each number in ``index``
        self.servers: dict[int, UpstreamServer] = {}  # emptied as machines leave the list
        self.server_places: dict[
            int, tuple[Address, float]
        ] = {}  # address and start of each, emptied with them
        self.logged_stage: tuple[int, int, str, float] | None = None  # the last one told, for the log
        self.connection_budget = ConnectionBudget(
            (told.sockets - RESERVED_DESCRIPTORS) // 2
        )  # the other half is for clients
        self.out_of_service: tuple[frozenset[str], frozenset[int]] = (
            frozenset(),
            frozenset(),
        )  # machines, zones
        self.on_stage_update: Callable[[], None] = lambda: (
            None
        )  # after the stage's news has reached the module
        self.list_age: Callable[[float], float] = lambda now: 0.0
        self.cast_vote: Callable[[i.Vote], None] = lambda act: None
        self.overdue_warnings, self.late_warnings = RateLimitedWarnings(log), RateLimitedWarnings(log, 1)
        self.admission = AdmissionControl(r.objective_ms for r in told.facts.routes)
        self.delay_ms = 0.0  # ms that the last message or timer came after its time
        self.client_count: Callable[[], int] = lambda: 0  # connections held, for the log

    def run(self) -> None:
        turn = self.clock()
        while True:
            if self.clock() - turn > YIELD_AFTER_MS:
                gevent.sleep(0)
                turn = self.clock()
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
        """A try's ending goes ahead of reqs not yet taken: behind thousands of them the answer that it brings
        would be late, and the open req hold its place for nothing."""
        self.ended_attempts.append(message)
        self.mailbox.put(WAKE_MAILBOX)

    def process_ended_attempts(self) -> None:
        while self.ended_attempts:
            self.handle(self.ended_attempts.popleft())

    def handle(self, message: RequestReceived | AttemptResult | ClientGone) -> None:
        """A fault ends the req that it happened to, at once and as failed, and no other."""
        if self.contained("message", self.process, message, self.clock()):
            return
        if isinstance(message, AttemptResult):
            if held := self.open_requests.get(message.job.request_id):
                held.coroutine.close()
                self.respond(held, response.bad_gateway())
        elif isinstance(message, RequestReceived) and message.request.id not in self.open_requests:
            message.respond(response.bad_gateway())

    def expire_requests(self, now: float) -> None:
        """The one owner of every open req's time: what nothing else has ended is answered as failed. A try's
        own timeout comes first; this guards against an ending that never comes, as after a fault."""
        if now < self.next_expiry_check:
            return
        self.next_expiry_check = now + DEADLINE_SLACK_MS
        lost = unaccounted_requests(self.counters.counts, len(self.open_requests))
        if lost != self.missing_requests:
            # Guards against a req that leaves the account unseen: told once a change, not once a look.
            self.counters.add("account_off", abs(lost - self.missing_requests))
            self.log("account off", level="warning", reqs=lost, open=len(self.open_requests))
            self.missing_requests = lost
        for held in [
            x for x in self.open_requests.values() if now > x.received.request.deadline + DEADLINE_SLACK_MS
        ]:
            self.counters.add("reqs_expired")
            held.coroutine.close()
            self.respond(held, response.bad_gateway())

    def post_update(self, message: object) -> None:
        """Lists and news go ahead of reqs: into the lane, not behind what waits in the mailbox."""
        self.priority_queue.append(message)
        self.mailbox.put(WAKE_MAILBOX)

    def apply_updates(self) -> None:
        """Everything told so far reaches the module now, the bytes included that no greenlet has read yet.
        Called by the brain before each message and by each try before its first byte; never switches."""
        self.contained("look", self.stream_poller.read_ready)
        while self.priority_queue:
            self.process(self.priority_queue.popleft(), self.clock())

    def start(self) -> None:
        """Once, before ``run``: what the front is told at its start reaches the module."""
        now = self.clock()
        self.set_timer(now, DECISION_WAKEUP, 0)
        self.contained("list", self.apply_listing, self.node_config.initial_list, now)
        self.process(self.node_config.initial_stage, now)

    def contained(self, event: str, call: Callable, *args) -> bool:
        """Faults of the module stop here: logged with their event, counted, and the front goes on."""
        try:
            call(*args)
            return True
        except Exception as error:
            report_fault(event, error, self.counters, self.log)
            return False

    def process(self, message: object, now: float) -> None:
        match message:
            case RequestReceived():
                self.record_delay("longest_delay_ms", now - message.received_at, now)
                self.start_request(message, now)
            case AttemptResult():
                self.finish_attempt(message, now)
            case ClientGone(ident):
                if held := self.open_requests.pop(ident, None):
                    held.coroutine.close()
                    self.release_id(held.received.message)
                    self.counters.add("reqs_gone")
            case ServerListing():
                self.counters.add("lists")
                self.contained("list", self.apply_listing, message, now)
            case i.SettingsNarrowed():
                self.contained("narrowed", self.balancer.narrow_settings, message, now)
            case i.ListFreshnessChanged():
                self.counters.add(f"list_{message.freshness.name.lower()}")
            case i.StageUpdate():
                self.counters.add("stage_news")
                self.contained("news", self.apply_stage_update, message, now)

    def run_timers(self, now: float) -> None:
        while self.timers and self.timers[0][0] <= now:
            due, _, life, wait = heapq.heappop(self.timers)
            self.record_delay("latest_timer_ms", now - due, now)
            if life is DECISION_WAKEUP:
                if not self.contained("wake", lambda: self.execute_actions(self.balancer.wake(now), now)):
                    self.set_timer(now + 100.0, DECISION_WAKEUP, 0)  # a fault must not end the module's clock
            elif life.wait_number == wait and life.request_id in self.open_requests:
                self.resume(self.open_requests[life.request_id], None, now)

    def record_delay(self, what: str, lag: float, now: float) -> None:
        """How long what is taken up now has waited for this actor."""
        self.delay_ms = lag
        self.counters.record_high(what, lag)
        if lag > LATE_WARNING_MS:
            out, waiting = self.connection_budget.in_use, self.mailbox.qsize()
            state = dict(
                open=len(self.open_requests), clients=self.client_count(), links=out, mailbox=waiting
            )
            self.late_warnings("behind", now, what=what, lag_ms=round(lag, 1), **state)

    def apply_stage_update(self, news: i.StageUpdate, now: float) -> None:
        stage = (news.build, news.stage, news.phase.name, news.cap)
        if news.outcome == i.Outcome.COMPLETED and stage != self.logged_stage:
            self.logged_stage = stage
            self.log("stage", build=news.build, stage=news.stage, phase=news.phase.name, cap=news.cap)
        self.execute_actions(self.balancer.update_stage(news, now), now)
        self.on_stage_update()

    def set_timer(self, at: float, life: RequestCoroutine | None, wait: int) -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, life, wait))

    def start_request(self, message: RequestReceived, now: float) -> None:
        rq, word = message.request, message.message.header(b"x-txn")
        unread = self.admission.decide(
            message.read_delay_ms + now - message.received_at, rq.deadline - now, now
        )
        if unread != AdmissionDecision.TAKE:
            self.counters.add(f"reqs_waited_{unread.name.lower()}")
            message.respond(response.overloaded(self.node_config.facts))
            return
        if word in self.ids_in_use:
            # Guards against a second copy: this id is another client's, and its tries may still run.
            message.respond(response.rejected(409))
            return
        self.ids_in_use[word] = 1
        self.counters.add("reqs_taken")
        held = OpenRequest(RequestCoroutine(rq.id, self.balancer.serve_request(rq, now)), message)
        self.open_requests[rq.id] = held
        self.resume(held, None, now)

    def finish_attempt(self, message: AttemptResult, now: float) -> None:
        job = message.job
        self.release_id(job.message)
        held = self.open_requests.get(job.request_id)
        done = message.outcome == i.Outcome.COMPLETED
        load = self.load_report(message)
        over, connected_at = held is None or done, message.connected_at
        ended = i.AttemptEnded(
            job.server, job.attempt_number, message.outcome, message.duration_ms, load, over, connected_at
        )
        self.contained("try ended", self.balancer.record_outcome, job.request_id, ended, now)
        if held and done:
            held.coroutine.close()
            self.respond(held, response.completed(message.result))
        elif held:
            self.resume(held, ended, now)

    def release_id(self, message: Message) -> None:
        word = message.header(b"x-txn")
        self.ids_in_use[word] -= 1
        if self.ids_in_use[word] <= 0:
            del self.ids_in_use[word]

    def load_report(self, message: AttemptResult) -> float | None:
        """What the machine's load report, if it sent one, says of the reqs it holds."""
        if self.node_config.facts.load_column is None or not isinstance(message.result, UpstreamResponse):
            return None
        return reported_load(message.result.header(b"x-pressure"))

    def resume(self, held: OpenRequest, ended: i.AttemptEnded | None, now: float) -> None:
        try:
            for act in held.coroutine.resume(ended, now):
                self.execute(held, act, now)
        except Exception as error:
            report_fault("req", error, self.counters, self.log)
            held.coroutine.close()
        if held.coroutine.finished:
            if held.coroutine.request_id in self.open_requests:
                self.respond(held, response.bad_gateway())
        elif held.coroutine.max_wait_ms is not None:
            self.set_timer(now + held.coroutine.max_wait_ms, held.coroutine, held.coroutine.wait_number)

    def execute(self, held: OpenRequest, act: i.Action, now: float) -> None:
        match act:
            case i.SendAttempt():
                self.start_attempt(held, act, now)
            case i.Shed():
                self.respond(held, response.shed(act.retry_after_ms))
            case i.Fail():
                self.respond(held, response.bad_gateway())
            case i.CancelAttempt():
                if machine := self.servers.get(held.attempt_servers[act.attempt_number]):
                    machine.mailbox.put(StopAttempt(held.coroutine.request_id, act.attempt_number))
            case _:
                raise TypeError(f"no action of a req: {act!r}")

    def start_attempt(self, held: OpenRequest, act: i.SendAttempt, now: float) -> None:
        row = self.balancer.servers[act.server].entry
        ends_at = min(now + act.timeout_ms, held.received.request.deadline)
        ticket = (row.build, row.started_at, self.exposure_cap(row.build))
        number, message = len(held.attempt_servers), held.received.message
        job = AttemptJob(held.coroutine.request_id, number, act.server, message, now, ends_at, ticket)
        held.attempt_servers.append(act.server)
        self.ids_in_use[message.header(b"x-txn")] += 1
        self.counters.add("tries")
        self.servers[act.server].mailbox.put(StartAttempt(job))

    def exposure_cap(self, build: int) -> float:
        return self.balancer.exposure_cap(build)[0] if self.balancer.is_on_trial(build) else float("inf")

    def preconditions_hold(self, job: AttemptJob) -> bool:
        """Whether what the list and the news said when the module chose the machine still holds, after all
        that has been told by now. Asked directly before the first byte."""
        self.apply_updates()
        if job.request_id not in self.open_requests:
            self.counters.add("sends_stopped_by_leaving")
            return False
        known = self.balancer.servers.get(job.server)
        build, started, cap = job.preconditions
        listed = known is not None and self.balancer.may_send_to(known, self.clock())
        if not listed or (known.entry.build, known.entry.started_at) != (build, started):
            self.counters.add("sends_stopped_by_list")
            return False
        if self.exposure_cap(build) < cap:
            self.counters.add("sends_stopped_by_cap")
            return False
        age = self.list_age(self.clock())
        self.counters.record_high("list_age_ms", age)
        self.log_attempt(job, age)
        return True

    def log_attempt(self, job: AttemptJob, list_age: float) -> None:
        """Names the request, its server and the age of the list that it goes by."""
        if self.log.is_enabled("debug"):
            what = dict(
                txn=transaction_id(job.message),
                attempt=job.attempt_number,
                server=self.server_ids[job.server],
            )
            self.log("attempt", level="debug", list_age_ms=round(list_age, 1), **what)

    def respond(self, held: OpenRequest, final: response.Response) -> None:
        if self.open_requests.pop(held.coroutine.request_id, None):
            self.release_id(held.received.message)
            self.counters.add(f"reqs_{final.kind}")
            if self.log.is_enabled("debug"):
                what = dict(
                    txn=transaction_id(held.received.message),
                    kind=final.kind,
                    attempts=len(held.attempt_servers),
                )
                self.log("answer", level="debug", **what)
            held.received.respond(final)
            self.log_overdue(held, final.kind, self.clock())

    def log_overdue(self, held: OpenRequest, kind: str, now: float) -> None:
        """An answer after its req's time names the req, so that one lost can be followed."""
        over = now - held.received.request.deadline
        if over <= DEADLINE_SLACK_MS:
            return
        self.counters.add("answers_overdue")
        held_ms = now - held.received.received_at
        times = dict(over_ms=round(over, 1), held_ms=round(held_ms, 1), lag_ms=round(self.delay_ms, 1))
        what = dict(txn=transaction_id(held.received.message), kind=kind, tries=len(held.attempt_servers))
        self.overdue_warnings("answer overdue", now, **what, **times)

    def execute_actions(self, actions: Iterable[i.Action], now: float) -> None:
        for act in actions:
            match act:
                case i.WakeAt(at):
                    self.set_timer(at, DECISION_WAKEUP, 0)
                case i.Vote():
                    self.counters.add("votes")
                    self.log("vote", build=act.build, verdict=act.verdict.name, stage=act.stage)
                    self.cast_vote(act)
                case i.LogMessage(text):
                    self.log("note", text=text)
                case _:
                    raise TypeError(f"not carried out here: {act!r}")

    def record_starts(self, listing: ServerListing, now: float) -> None:
        """Starts that this listing is the first to tell."""
        for entry in listing.servers:
            known = self.server_places.get(self.server_numbers.get(entry.server_id, -1))
            if known is None or known[1] != entry.entry.started_at:
                self.balancer.start_clock.observe(entry.entry.started_at, now, listing.watched)

    def apply_listing(self, listing: ServerListing, now: float) -> None:
        """The list reaches the module and the machines' actors before any send that follows it."""
        self.record_starts(listing, now)
        for e in listing.servers:
            number = self.server_numbers.setdefault(e.server_id, len(self.server_numbers))
            if number == len(self.server_ids):
                self.server_ids.append(e.server_id)
            e.entry.server = number
            place = (e.address, e.entry.started_at)
            if number not in self.servers:
                args = (
                    self.node_config,
                    self.clock,
                    self.counters,
                    self.connection_budget,
                    self.attempt_ended,
                    self.preconditions_hold,
                )
                actor = self.servers[number] = UpstreamServer(e.address, *args)
                gevent.spawn(keep_running, "machine", actor.run, self.counters, self.log)
            elif self.server_places[number] != place:
                self.servers[number].mailbox.put(ServerAddressChanged(e.address))
            self.server_places[number] = place
        words, zones = self.out_of_service
        rows = [
            # What operators set aside drains: it finishes what it has and gets nothing new.
            e.as_draining().entry
            if e.entry.status == IN_SERVICE and (e.server_id in words or e.entry.zone in zones)
            else e.entry
            for e in listing.servers
        ]
        self.execute_actions(
            self.balancer.update_server_list(i.ServerListUpdate(listing.kind, rows), now), now
        )
        for number in [n for n in self.servers if n not in self.balancer.servers]:
            self.servers.pop(number).mailbox.put(ServerRemoved())
            del self.server_places[number]
