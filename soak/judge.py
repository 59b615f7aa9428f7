"""The five rules, answers in time and crashes, decided from records alone by the protocol page and the page
of the standing test.

Nothing here knows the program: a break is what stand-ins and clients saw. The slack is the pages' own."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt

from soak.deployment import Deployment
from soak.records import Attempt, Change, Outcome, Records, Request, Stage

SLACK_S = 0.05  # every limit of time is longer by this on sockets
TOLD_AFTER_S = 6.0  # a change counts as told so long after discovery had it and could be reached
PUSHED_AFTER_S = 0.0  # where lists are pushed, what the agent has counts at once
LATE_S = 0.5  # an answer up to this late only earns nothing
STOP_S = 0.7  # requests that come later than this after SIGTERM are excused at the kill
LEFT_S = 0.1  # attempts later than this after a client's close are a break
REMAINING_SLACK_MS = 150
READY_S = 30.0
EXPOSURE_FREE, EXPOSURE_SHARE = 2, 0.04
CAP_AFTER_S = 0.15
LISTING_AFTER_S = 0.3  # a build counts as listed from so long after the listing was written
OPEN, CLOSED = "in_service", ("terminating", "terminated")


@dataclass(slots=True, frozen=True)
class Break:
    rule: str  # lost, duplicate, drain, failback, exposure, crash
    at: float
    what: str


class Judge:
    def __init__(self, records: Records, deployment: Deployment):
        self.records, self.deployment = records, deployment
        self.by_txn: dict[str, list[Request]] = defaultdict(list)
        for request in records.requests:
            self.by_txn[request.txn].append(request)
        self.listings = Listings(records, deployment)

    def breaks(self) -> list[Break]:
        neglected = [n for n in self.records.neglected if not self.killed_near(*n)]
        found = [*self.lost(), *self.duplicates(), *self.drains(), *self.falls(), *self.exposures()]
        found += [Break("lost", at, f"a half request at {front} got no end") for at, front in neglected]
        return sorted([*found, *self.crashes(), *self.deadlines()], key=lambda b: b.at)

    def killed_near(self, at: float, front: str) -> bool:
        """Whether a process of this front was killed while a bad client waited there."""
        return any(
            x.front == front and x.killed and at <= (x.ended or 0.0) <= at + 4.0 for x in self.records.lives
        )

    # --- no request lost ---

    def lost(self) -> list[Break]:
        return [
            Break("lost", r.sent, f"{r.txn} at {r.front}: {self.fate(r)}")
            for r in self.records.requests
            if self.is_lost(r)
        ]

    def is_lost(self, request: Request) -> bool:
        if request.resent or request.front_killed or request.outcome in (None, Outcome.LEFT):
            return False
        if request.outcome == Outcome.WRONG:
            return True
        return self.unanswered(request) or request.ended > request.deadline + LATE_S

    def unanswered(self, request: Request) -> bool:
        return request.outcome in (Outcome.CLOSED, Outcome.SILENT)

    def fate(self, request: Request) -> str:
        return f"{request.outcome} {request.ended - request.sent:.3f} s after it was sent"

    # --- no effect twice, no attempt for a client that has gone ---

    def duplicates(self) -> list[Break]:
        runs: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.records.attempts:
            if attempt.ran:
                runs[attempt.txn].append(attempt)
        twice = [
            Break("duplicate", ran[1].begun, f"{txn} ran {len(ran)} times")
            for txn, ran in runs.items()
            if len(ran) > 1 and not all(r.safe for r in self.by_txn[txn])
        ]
        return twice + self.after_leaving()

    def after_leaving(self) -> list[Break]:
        found = []
        for attempt in self.records.attempts:
            copies = self.by_txn[attempt.txn]
            left = [r.ended for r in copies if r.outcome == Outcome.LEFT]
            if len(left) == len(copies) and left and attempt.begun > max(left) + LEFT_S:
                what = f"{attempt.txn} sent {attempt.begun - max(left):.2f} s after its client left"
                found.append(Break("lost", attempt.begun, what))
        return found

    def deadlines(self) -> list[Break]:
        """The time that an attempt tells its server is at most what is left to the client."""
        found = []
        for attempt in self.records.attempts:
            ends = max((r.deadline for r in self.by_txn[attempt.txn]), default=None)
            if ends is None:
                continue
            over = attempt.remaining_ms - 1000 * (ends - attempt.begun)
            if over > REMAINING_SLACK_MS:
                found.append(Break("lost", attempt.begun, f"{attempt.txn} told {over:.0f} ms too much"))
        return found

    # --- drains kept ---

    def drains(self) -> list[Break]:
        found = []
        limit = self.deployment.grace_s + SLACK_S
        for attempt in self.records.attempts:
            front = self.front_of(attempt)
            if front is None:
                continue
            since = self.listings.closed_since(front, attempt.server, attempt.begun)
            if since is not None and attempt.begun - since > limit:
                late = attempt.begun - since
                what = f"{attempt.txn} of {front} to {attempt.server}, {late:.2f} s after it was told"
                found.append(Break("drain", attempt.begun, what))
        return found

    def front_of(self, attempt: Attempt) -> str | None:
        copies = self.by_txn[attempt.txn]
        return copies[0].front if copies else None

    # --- no cold server overloaded ---

    def falls(self) -> list[Break]:
        d, found = self.deployment, []
        for server in {c.server for c in self.records.changes}:
            times = [a.begun for a in self.records.attempts if a.server == server]
            for begun in self.starts(server):
                cold = [t for t in times if begun <= t < begun + d.cold_s]
                if (at := self.first_fall(cold, begun)) is not None:
                    found.append(Break("failback", at, f"{server} {at - begun:.2f} s after its start"))
        return found

    def starts(self, server: str) -> list[float]:
        """When discovery had each start of this server, but for the first."""
        changes = [c for c in self.records.changes if c.server == server]
        return [b.at for a, b in pairwise(changes) if b.started_ms > a.started_ms]

    def first_fall(self, times: list[float], begun: float) -> float | None:
        d = self.deployment
        for n, at in enumerate(times):
            warmth = min(1.0, d.cold_share + (1 - d.cold_share) * (at - begun) / d.cold_s)
            mean = d.overload_factor * warmth * d.server_rate * d.fall_s
            most = mean + (3 * sqrt(mean) + 3 if mean < 30 else 2 * sqrt(mean) + 2)
            if n + 1 - bisect_right(times, at - d.fall_s) > most:
                return at
        return None

    # --- exposure within the cap ---

    def exposures(self) -> list[Break]:
        d, found = self.deployment, []
        for front in {r.front for r in self.records.requests}:
            taken = sorted(r.sent for r in self.records.requests if r.front == front)
            sent: dict[int, list[float]] = defaultdict(list)
            for attempt in self.records.attempts:
                build = self.listings.build(front, attempt.server, attempt.whole)
                if self.front_of(attempt) != front or not self.on_trial(front, build, attempt.whole):
                    continue
                times = sent[build]
                times.append(attempt.whole)
                requests = bisect_right(taken, attempt.whole) - bisect_right(taken, attempt.whole - d.span_s)
                attempts = len(times) - bisect_right(times, attempt.whole - d.span_s)
                cap = self.cap(front, build, attempt.whole)
                most = d.free + EXPOSURE_FREE + (cap + EXPOSURE_SHARE) * requests
                if attempts > most:
                    what = f"{front}: {attempts} attempts of build {build}, {most:.1f} allowed"
                    found.append(Break("exposure", attempt.whole, what))
        return found

    def stage(self, front: str, at: float) -> Stage | None:
        told = [s for s in self.records.stages if s.front == front and s.at <= at]
        return told[-1] if told else None

    def on_trial(self, front: str, build: int, at: float) -> bool:
        stage = self.stage(front, at)
        if stage is None or build < stage.build:
            return False
        return build > stage.build or stage.state != "released"

    def cap(self, front: str, build: int, at: float) -> float:
        """The cap that binds: a lower one from a moment after it was told."""
        told = [s for s in self.records.stages if s.front == front and s.at <= at]
        recent = [s for s in told if s.at > at - CAP_AFTER_S - SLACK_S - self.deployment.grace_s]
        before = [s for s in told if s not in recent][-1:]
        caps = [s.cap if s.build == build else self.deployment.caps[0] for s in before + recent]
        return max(caps, default=self.deployment.caps[0])

    # --- crashes ---

    def crashes(self) -> list[Break]:
        found = []
        for life in self.records.lives:
            ended = life.ended if life.ended is not None else float("inf")
            if life.exit_code not in (None, 0) and not life.killed:
                found.append(Break("crash", ended, f"{life.front} ended with {life.exit_code}"))
            elif life.exit_code == 0 and life.stopped is None:
                found.append(Break("crash", ended, f"{life.front} ended though nobody asked"))
            if life.ready is None and ended - life.started > READY_S:
                found.append(Break("crash", life.started + READY_S, f"{life.front} never became ready"))
        return found


class Listings:
    """What each front counts as told of each server, and since when."""

    def __init__(self, records: Records, deployment: Deployment):
        self.records = records
        self.after_s = PUSHED_AFTER_S if deployment.pushed else TOLD_AFTER_S
        self.changes: dict[str, list[Change]] = defaultdict(list)
        for change in records.changes:
            self.changes[change.server].append(change)
        self.written: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for note in records.written:
            self.written[note.front].append((note.at, note.version))
        self.told_cache: dict[tuple[str, int], float] = {}

    def reachable(self, at: float) -> float:
        """The first moment from ``at`` on at which discovery could be reached."""
        for span in self.records.unreachable:
            if span.holds(at):
                return span.end
        return at

    def told_at(self, front: str, change: Change) -> float:
        """When this front counts as told of a change: written to it, or so long after it could have been."""
        key = (front, change.version)
        if key not in self.told_cache:
            written = [at for at, version in self.written[front] if version >= change.version]
            latest = self.reachable(change.at) + self.after_s
            self.told_cache[key] = min([latest, *written])
        return self.told_cache[key]

    def closed_since(self, front: str, server: str, at: float) -> float | None:
        """Since when the front counts as told that this server drains or is gone; None where it is open."""
        since = None
        for change in self.changes[server]:
            told = self.told_at(front, change)
            if told > at:
                continue
            if change.lifecycle == OPEN:
                since = None
            elif since is None:
                since = told
        return since

    def build(self, front: str, server: str, at: float) -> int:
        """The build that this server counts as running, for a front."""
        changes = self.changes[server]
        told = [c for c in changes if self.told_at(front, c) + LISTING_AFTER_S <= at]
        return (told or changes)[-1 if told else 0].build
