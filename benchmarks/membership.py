"""Following the fleet, measured: how long fronts are blind and how much they press on discovery, with the
pauses of before and with those of now; and what the look before each first byte costs.

    python -m benchmarks.membership            # tables in Markdown, on standard output

The first two run in virtual time, seeded: every run prints the same. The third is a ratio of two loops on
this machine. Discovery here is a model: one service that takes calls one after another and turns away what
would wait too long."""

import contextlib
import heapq
import os
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import fmean, quantiles

import click

from myrtleroad.membership.call_backoff import FollowerSettings
from myrtleroad.membership.stream_follower import OpenStream, StreamFollower
from myrtleroad.net.stream_poller import StreamPoller

GRACE_MS, SIGN_MS, MOST_MS = 250.0, 2000.0, 10000.0
DAY_MS = 120_000.0


@dataclass(slots=True)
class Discovery:
    """Takes calls in turn, ``serve_ms`` each; a call that would wait over ``wait_ms`` is turned away.
    ``down`` are spells in which it refuses everything and after which every watch has ended."""

    serve_ms: float
    wait_ms: float
    down: list[tuple[float, float]]
    free_at: float = 0.0
    calls: list[float] = field(default_factory=list)

    def refuses(self, now: float) -> bool:
        return any(begin <= now < end for begin, end in self.down)

    def call(self, now: float) -> float | None:
        """When the answer comes; None where there is none."""
        self.calls.append(now)
        if self.refuses(now) or self.free_at - now > self.wait_ms:
            return None
        self.free_at = max(self.free_at, now) + self.serve_ms
        return self.free_at


class Before:
    """The follower as it was at 979a0e1: one pause of 0.5 to 1.5 s after every end, looked at each 100 ms."""

    def __init__(self, random: Callable[[], float]):
        self.random = random

    def first(self, now: float) -> float:
        return now

    def after(self, now: float, told_at: float | None) -> float:
        at = now + 500 + 1000 * self.random()
        return -(-at // 100) * 100


class Now:
    """The follower as it is, its pure part driven by this loop."""

    def __init__(self, fronts: int, random: Callable[[], float]):
        self.following = StreamFollower(FollowerSettings(fronts, GRACE_MS, SIGN_MS, MOST_MS), random, 0.0)
        self.number = -1

    def first(self, now: float) -> float:
        (act,) = self.following.start(now)
        self.number = act.stream
        return now

    def after(self, now: float, told_at: float | None) -> float:
        if told_at is not None:
            self.following.message_received(self.number, told_at)
        self.following.stream_ended(self.number, now, "ended")
        at = self.following.due()
        (self.number,) = [a.stream for a in self.following.tick(at) if isinstance(a, OpenStream)]
        return at


@dataclass(slots=True)
class Outcome:
    blind: list[float]  # ms of each spell without a watch
    late: int  # spells longer than the drain window
    peak: int  # most calls on discovery in any 100 ms
    calls: int


def play(fronts: int, make: Callable[[Random], Before | Now], discovery: Discovery, resets: float) -> Outcome:
    """``resets``: watches broken off a front a minute, at random moments."""
    random = Random(11)
    events: list[tuple[float, int, str, int]] = []  # when, order, what, front
    policies = [make(Random(1000 + n)) for n in range(fronts)]
    told: list[float | None] = [None] * fronts
    since: list[float | None] = [None] * fronts  # blind since; None before the first list
    blind: list[float] = []
    order = 0

    def push(at: float, what: str, front: int) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, what, front))

    for n, policy in enumerate(policies):
        push(policy.first(0.0) + 50 * random.random(), "ask", n)
    for begin, _ in discovery.down:
        for n in range(fronts):
            push(begin, "reset", n)
    for n in range(fronts):
        at = 0.0
        while resets and (at := at + random.expovariate(resets / 60_000.0)) < DAY_MS:
            push(at, "reset", n)
    while events:
        now, _, what, n = heapq.heappop(events)
        if now > DAY_MS:
            break
        if what == "ask":
            answer = discovery.call(now)
            if answer is None:
                push(policies[n].after(now + 1.0, None), "ask", n)
            else:
                push(answer, "told", n)
        elif what == "told":
            told[n] = now
            if since[n] is not None:
                blind.append(now - since[n])
                since[n] = None
        elif told[n] is not None:
            since[n] = now
            push(policies[n].after(now, told[n]), "ask", n)
            told[n] = None
    calls = sorted(discovery.calls)
    after = [c for c in calls if c > 1000.0]  # the fronts' common start is the same for both
    peak = max((sum(1 for x in after[k:] if x < c + 100.0) for k, c in enumerate(after)), default=0)
    return Outcome(blind, sum(b > GRACE_MS for b in blind), peak, len(after))


def row(name: str, outcome: Outcome) -> str:
    p50, p99 = (quantiles(outcome.blind, n=100)[k] for k in (49, 98)) if len(outcome.blind) > 1 else (0, 0)
    share = outcome.late / max(1, len(outcome.blind))
    mean = fmean(outcome.blind) if outcome.blind else 0.0
    return (
        f"| {name} | {len(outcome.blind)} | {mean:.0f} | {p50:.0f} | {p99:.0f} | {share:.1%} | "
        f"{outcome.calls} | {outcome.peak} |"
    )


def blindness() -> list[str]:
    lines = [
        "| fronts, what happens | spells | mean, ms | median | 99% | over the window | calls | peak |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    cases = [
        ("3, one reset a front a minute", 3, 1.0, []),
        ("20, one reset a front a minute", 20, 1.0, []),
        ("200, one reset a front a minute", 200, 1.0, []),
        ("3, discovery down for 2 s", 3, 0.0, [(20_000.0, 22_000.0)]),
        ("20, discovery down for 2 s", 20, 0.0, [(20_000.0, 22_000.0)]),
        ("200, discovery down for 2 s", 200, 0.0, [(20_000.0, 22_000.0)]),
        ("200, discovery restarts at once", 200, 0.0, [(20_000.0, 20_001.0)]),
    ]
    for name, fronts, resets, down in cases:
        for word, make in (("before", Before), ("now", None)):
            policy = (lambda r, f=fronts: Now(f, r.random)) if make is None else (lambda r: Before(r.random))
            outcome = play(fronts, policy, Discovery(1.5, 2000.0, down), resets)
            lines.append(row(f"{name}: {word}", outcome))
    return lines


class Quiet:
    def read_now(self) -> bool:
        return True


def look_cost(rounds: int) -> list[str]:
    """The look against a plain loop of the clock and against one read that finds nothing."""
    pairs = [socket.socketpair() for _ in range(2)]
    lookout = StreamPoller()
    for a, _ in pairs:
        a.setblocking(False)
        lookout.add(a.fileno(), Quiet())
    fd, poll = pairs[0][0].fileno(), select.poll()
    poll.register(fd, select.POLLIN)

    def read() -> None:
        for a, _ in pairs:
            with contextlib.suppress(BlockingIOError):
                os.read(a.fileno(), 65536)

    def timed(call: Callable[[], object]) -> float:
        begin = time.perf_counter()
        for _ in range(rounds):
            call()
        return time.perf_counter() - begin

    def write() -> None:
        pairs[0][0].send(b"x" * 300)
        pairs[0][1].recv(400)

    best = {
        name: min(timed(call) for _ in range(5))
        for name, call in (
            ("one write and read of a head", write),
            ("the look", lookout.read_ready),
            ("a read of each stream", read),
        )
    }
    base = best["one write and read of a head"]
    lines = ["| step | against one write and read of a head |", "| --- | --- |"]
    lines += [f"| {name} | {value / base:.2f} |" for name, value in best.items()]
    for a, b in pairs:
        a.close()
        b.close()
    return lines


@click.command()
@click.option("--rounds", default=20000, show_default=True, help="Calls of each step in the third table.")
def main(rounds: int) -> None:
    """Print the tables of docs/design/membership.md."""
    click.echo("\n".join(blindness()))
    click.echo("")
    click.echo("\n".join(look_cost(rounds)))


if __name__ == "__main__":
    main()
