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


def request_id(message: Message) -> str:
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
    rq: i.Request
    message: Message
    at: float
    answer: Callable[[response.Response], None]
    age: float = 0.0  # ms that it had waited before it was read


@dataclass(slots=True)
class ClientGone:
    ident: int


@dataclass(slots=True)
class OpenRequest:
    """One open req: its life in the module, and whom its answer is for."""

    life: RequestCoroutine
    taken: RequestReceived
    sent: list[int] = field(default_factory=list)  # the machine of each try


class Dispatcher:
    ACTOR_NAME = "brain"  # the actor's name in log events

    def __init__(self, told: NodeConfig, clock: Clock, counters: Counters, log: Log):
        self.told, self.clock, self.counters, self.log = told, clock, counters, log
        self.mailbox: SimpleQueue = SimpleQueue()
        self.lane: deque[object] = deque()  # lists and news, ahead of the mailbox; emptied by ``hear``
        self.ends: deque[AttemptResult] = (
            deque()
        )  # of tries, ahead of reqs not yet taken; emptied by ``settle``
        self.off = 0  # reqs by which the account was off as last told
        self.look_at = 0.0  # when open reqs are next looked over for one that nothing has ended
        self.lookout = StreamPoller()
        self.balancer = Balancer(told.facts, told.seed, clock())
        self.open: dict[int, OpenRequest] = {}  # emptied as each req ends
        self.ids: Counter[bytes] = Counter()  # of open reqs and of tries that are out; emptied as each ends
        self.timers: list[tuple[float, int, RequestCoroutine | None, int]] = []  # emptied as each timer rings
        self.timer_no = 0
        self.index: dict[str, int] = {}  # machine words; grows with the fleet, never with reqs
        self.names: list[str] = []  # the word of each number in ``index``
        self.machines: dict[int, UpstreamServer] = {}  # emptied as machines leave the list
        self.places: dict[int, tuple[Address, float]] = {}  # address and start of each, emptied with them
        self.stage: tuple[int, int, str, float] | None = None  # the last one told, for the log
        self.share = ConnectionBudget(
            (told.sockets - RESERVED_DESCRIPTORS) // 2
        )  # the other half is for clients
        self.aside: tuple[frozenset[str], frozenset[int]] = (frozenset(), frozenset())  # machines, zones
        self.on_news: Callable[[], None] = lambda: None  # after the stage's news has reached the module
        self.list_age: Callable[[float], float] = lambda now: 0.0
        self.vote: Callable[[i.Vote], None] = lambda act: None
        self.overdue, self.behind = RateLimitedWarnings(log), RateLimitedWarnings(log, 1)
        self.entry = AdmissionControl(r.objective_ms for r in told.facts.routes)
        self.lag = 0.0  # ms that the last message or timer came after its time
        self.clients: Callable[[], int] = lambda: 0  # connections held, for the log

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
            self.hear()
            self.settle()
            if message is not WAKE_MAILBOX:
                self.handle(message)
            self.ring(self.clock())
            self.expire(self.clock())

    def end(self, message: AttemptResult) -> None:
        """A try's ending goes ahead of reqs not yet taken: behind thousands of them the answer that it brings
        would be late, and the open req hold its place for nothing."""
        self.ends.append(message)
        self.mailbox.put(WAKE_MAILBOX)

    def settle(self) -> None:
        while self.ends:
            self.handle(self.ends.popleft())

    def handle(self, message: RequestReceived | AttemptResult | ClientGone) -> None:
        """A fault ends the req that it happened to, at once and as failed, and no other."""
        if self.guard("message", self.take, message, self.clock()):
            return
        if isinstance(message, AttemptResult):
            if held := self.open.get(message.job.ident):
                held.life.close()
                self.answer(held, response.bad_gateway())
        elif isinstance(message, RequestReceived) and message.rq.id not in self.open:
            message.answer(response.bad_gateway())

    def expire(self, now: float) -> None:
        """The one owner of every open req's time: what nothing else has ended is answered as failed. A try's
        own timeout comes first; this guards against an ending that never comes, as after a fault."""
        if now < self.look_at:
            return
        self.look_at = now + DEADLINE_SLACK_MS
        lost = unaccounted_requests(self.counters.counts, len(self.open))
        if lost != self.off:
            # Guards against a req that leaves the account unseen: told once a change, not once a look.
            self.counters.add("account_off", abs(lost - self.off))
            self.log("account off", level="warning", reqs=lost, open=len(self.open))
            self.off = lost
        for held in [x for x in self.open.values() if now > x.taken.rq.deadline + DEADLINE_SLACK_MS]:
            self.counters.add("reqs_expired")
            held.life.close()
            self.answer(held, response.bad_gateway())

    def tell(self, message: object) -> None:
        """Lists and news go ahead of reqs: into the lane, not behind what waits in the mailbox."""
        self.lane.append(message)
        self.mailbox.put(WAKE_MAILBOX)

    def hear(self) -> None:
        """Everything told so far reaches the module now, the bytes included that no greenlet has read yet.
        Called by the brain before each message and by each try before its first byte; never switches."""
        self.guard("look", self.lookout.look)
        while self.lane:
            self.take(self.lane.popleft(), self.clock())

    def start(self) -> None:
        """Once, before ``run``: what the front is told at its start reaches the module."""
        now = self.clock()
        self.set_timer(now, DECISION_WAKEUP, 0)
        self.guard("list", self.listed, self.told.known, now)
        self.take(self.told.news, now)

    def guard(self, event: str, call: Callable, *args) -> bool:
        """Faults of the module stop here: logged with their event, counted, and the front goes on."""
        try:
            call(*args)
            return True
        except Exception as error:
            report_fault(event, error, self.counters, self.log)
            return False

    def take(self, message: object, now: float) -> None:
        match message:
            case RequestReceived():
                self.late_by("longest_delay_ms", now - message.at, now)
                self.taken(message, now)
            case AttemptResult():
                self.ended(message, now)
            case ClientGone(ident):
                if held := self.open.pop(ident, None):
                    held.life.close()
                    self.let_go(held.taken.message)
                    self.counters.add("reqs_gone")
            case ServerListing():
                self.counters.add("lists")
                self.guard("list", self.listed, message, now)
            case i.SettingsNarrowed():
                self.guard("narrowed", self.balancer.narrow_settings, message, now)
            case i.ListFreshnessChanged():
                self.counters.add(f"list_{message.freshness.name.lower()}")
            case i.StageUpdate():
                self.counters.add("stage_news")
                self.guard("news", self.told_stage, message, now)

    def ring(self, now: float) -> None:
        while self.timers and self.timers[0][0] <= now:
            due, _, life, wait = heapq.heappop(self.timers)
            self.late_by("latest_timer_ms", now - due, now)
            if life is DECISION_WAKEUP:
                if not self.guard("wake", lambda: self.act(self.balancer.wake(now), now)):
                    self.set_timer(now + 100.0, DECISION_WAKEUP, 0)  # a fault must not end the module's clock
            elif life.wait_number == wait and life.request_id in self.open:
                self.resume(self.open[life.request_id], None, now)

    def late_by(self, what: str, lag: float, now: float) -> None:
        """How long what is taken up now has waited for this actor."""
        self.lag = lag
        self.counters.high(what, lag)
        if lag > LATE_WARNING_MS:
            out, waiting = self.share.open, self.mailbox.qsize()
            state = dict(open=len(self.open), clients=self.clients(), links=out, mailbox=waiting)
            self.behind("behind", now, what=what, lag_ms=round(lag, 1), **state)

    def told_stage(self, news: i.StageUpdate, now: float) -> None:
        stage = (news.build, news.stage, news.phase.name, news.cap)
        if news.outcome == i.Outcome.COMPLETED and stage != self.stage:
            self.stage = stage
            self.log("stage", build=news.build, stage=news.stage, phase=news.phase.name, cap=news.cap)
        self.act(self.balancer.update_stage(news, now), now)
        self.on_news()

    def set_timer(self, at: float, life: RequestCoroutine | None, wait: int) -> None:
        self.timer_no += 1
        heapq.heappush(self.timers, (at, self.timer_no, life, wait))

    def taken(self, message: RequestReceived, now: float) -> None:
        rq, word = message.rq, message.message.header(b"x-txn")
        unread = self.entry.decide(message.age + now - message.at, rq.deadline - now, now)
        if unread != AdmissionDecision.TAKE:
            self.counters.add(f"reqs_waited_{unread.name.lower()}")
            message.answer(response.overloaded(self.told.facts))
            return
        if word in self.ids:
            # Guards against a second copy: this id is another client's, and its tries may still run.
            message.answer(response.rejected(409))
            return
        self.ids[word] = 1
        self.counters.add("reqs_taken")
        held = OpenRequest(RequestCoroutine(rq.id, self.balancer.serve_request(rq, now)), message)
        self.open[rq.id] = held
        self.resume(held, None, now)

    def ended(self, message: AttemptResult, now: float) -> None:
        job = message.job
        self.let_go(job.message)
        held = self.open.get(job.ident)
        done = message.end == i.Outcome.COMPLETED
        load = self.load(message)
        over, connected_at = held is None or done, message.connected_at
        ended = i.AttemptEnded(
            job.machine, job.try_no, message.end, message.took_ms, load, over, connected_at
        )
        self.guard("try ended", self.balancer.record_outcome, job.ident, ended, now)
        if held and done:
            held.life.close()
            self.answer(held, response.completed(message.result))
        elif held:
            self.resume(held, ended, now)

    def let_go(self, message: Message) -> None:
        word = message.header(b"x-txn")
        self.ids[word] -= 1
        if self.ids[word] <= 0:
            del self.ids[word]

    def load(self, message: AttemptResult) -> float | None:
        """What the machine's load report, if it sent one, says of the reqs it holds."""
        if self.told.facts.load_column is None or not isinstance(message.result, UpstreamResponse):
            return None
        return reported_load(message.result.header(b"x-pressure"))

    def resume(self, held: OpenRequest, ended: i.AttemptEnded | None, now: float) -> None:
        try:
            for act in held.life.resume(ended, now):
                self.carry_out(held, act, now)
        except Exception as error:
            report_fault("req", error, self.counters, self.log)
            held.life.close()
        if held.life.finished:
            if held.life.request_id in self.open:
                self.answer(held, response.bad_gateway())
        elif held.life.max_wait_ms is not None:
            self.set_timer(now + held.life.max_wait_ms, held.life, held.life.wait_number)

    def carry_out(self, held: OpenRequest, act: i.Action, now: float) -> None:
        match act:
            case i.SendAttempt():
                self.send(held, act, now)
            case i.Shed():
                self.answer(held, response.shed(act.retry_after_ms))
            case i.Fail():
                self.answer(held, response.bad_gateway())
            case i.CancelAttempt():
                if machine := self.machines.get(held.sent[act.attempt_number]):
                    machine.mailbox.put(StopAttempt(held.life.request_id, act.attempt_number))
            case _:
                raise TypeError(f"no action of a req: {act!r}")

    def send(self, held: OpenRequest, act: i.SendAttempt, now: float) -> None:
        row = self.balancer.servers[act.server].entry
        ends_at = min(now + act.timeout_ms, held.taken.rq.deadline)
        ticket = (row.build, row.started_at, self.cap(row.build))
        number, message = len(held.sent), held.taken.message
        job = AttemptJob(held.life.request_id, number, act.server, message, now, ends_at, ticket)
        held.sent.append(act.server)
        self.ids[message.header(b"x-txn")] += 1
        self.counters.add("tries")
        self.machines[act.server].mailbox.put(StartAttempt(job))

    def cap(self, build: int) -> float:
        return self.balancer.exposure_cap(build)[0] if self.balancer.is_on_trial(build) else float("inf")

    def stands(self, job: AttemptJob) -> bool:
        """Whether what the list and the news said when the module chose the machine still holds, after all
        that has been told by now. Asked directly before the first byte."""
        self.hear()
        if job.ident not in self.open:
            self.counters.add("sends_stopped_by_leaving")
            return False
        known = self.balancer.servers.get(job.machine)
        build, started, cap = job.ticket
        listed = known is not None and self.balancer.may_send_to(known, self.clock())
        if not listed or (known.entry.build, known.entry.started_at) != (build, started):
            self.counters.add("sends_stopped_by_list")
            return False
        if self.cap(build) < cap:
            self.counters.add("sends_stopped_by_cap")
            return False
        age = self.list_age(self.clock())
        self.counters.high("list_age_ms", age)
        self.note_attempt(job, age)
        return True

    def note_attempt(self, job: AttemptJob, list_age: float) -> None:
        """Names the request, its server and the age of the list that it goes by."""
        if self.log.writes("debug"):
            what = dict(txn=request_id(job.message), attempt=job.try_no, server=self.names[job.machine])
            self.log("attempt", level="debug", list_age_ms=round(list_age, 1), **what)

    def answer(self, held: OpenRequest, final: response.Response) -> None:
        if self.open.pop(held.life.request_id, None):
            self.let_go(held.taken.message)
            self.counters.add(f"reqs_{final.kind}")
            if self.log.writes("debug"):
                what = dict(txn=request_id(held.taken.message), kind=final.kind, attempts=len(held.sent))
                self.log("answer", level="debug", **what)
            held.taken.answer(final)
            self.note_overdue(held, final.kind, self.clock())

    def note_overdue(self, held: OpenRequest, kind: str, now: float) -> None:
        """An answer after its req's time names the req, so that one lost can be followed."""
        over = now - held.taken.rq.deadline
        if over <= DEADLINE_SLACK_MS:
            return
        self.counters.add("answers_overdue")
        held_ms = now - held.taken.at
        times = dict(over_ms=round(over, 1), held_ms=round(held_ms, 1), lag_ms=round(self.lag, 1))
        what = dict(txn=request_id(held.taken.message), kind=kind, tries=len(held.sent))
        self.overdue("answer overdue", now, **what, **times)

    def act(self, actions: Iterable[i.Action], now: float) -> None:
        for act in actions:
            match act:
                case i.WakeAt(at):
                    self.set_timer(at, DECISION_WAKEUP, 0)
                case i.Vote():
                    self.counters.add("votes")
                    self.log("vote", build=act.build, verdict=act.verdict.name, stage=act.stage)
                    self.vote(act)
                case i.LogMessage(text):
                    self.log("note", text=text)
                case _:
                    raise TypeError(f"not carried out here: {act!r}")

    def note_starts(self, listing: ServerListing, now: float) -> None:
        """Starts that this listing is the first to tell."""
        for entry in listing.entries:
            known = self.places.get(self.index.get(entry.word, -1))
            if known is None or known[1] != entry.row.started_at:
                self.balancer.start_clock.observe(entry.row.started_at, now, listing.watched)

    def listed(self, listing: ServerListing, now: float) -> None:
        """The list reaches the module and the machines' actors before any send that follows it."""
        self.note_starts(listing, now)
        for e in listing.entries:
            number = self.index.setdefault(e.word, len(self.index))
            if number == len(self.names):
                self.names.append(e.word)
            e.row.server = number
            place = (e.address, e.row.started_at)
            if number not in self.machines:
                args = (self.told, self.clock, self.counters, self.share, self.end, self.stands)
                actor = self.machines[number] = UpstreamServer(e.address, *args)
                gevent.spawn(keep_running, "machine", actor.run, self.counters, self.log)
            elif self.places[number] != place:
                self.machines[number].mailbox.put(ServerAddressChanged(e.address))
            self.places[number] = place
        words, zones = self.aside
        rows = [
            # What operators set aside drains: it finishes what it has and gets nothing new.
            e.draining().row
            if e.row.status == IN_SERVICE and (e.word in words or e.row.zone in zones)
            else e.row
            for e in listing.entries
        ]
        self.act(self.balancer.update_server_list(i.ServerListUpdate(listing.kind, rows), now), now)
        for number in [n for n in self.machines if n not in self.balancer.servers]:
            self.machines.pop(number).mailbox.put(ServerRemoved())
            del self.places[number]
