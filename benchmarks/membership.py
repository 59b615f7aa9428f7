"""Measures how long fronts are without a stream from discovery and how many calls they make to it, with the
former and the present pauses between calls, and the cost of polling the streams before each first byte.

    python -m benchmarks.membership            # tables in Markdown, on standard output

The first two measurements run in virtual time from fixed seeds, so every run prints the same. The third is a
ratio of loops on the machine that runs it. Discovery is a model here: one service that processes calls one
after another and rejects those that would wait too long."""

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

DRAIN_GRACE_MS, HEARTBEAT_INTERVAL_MS, MAX_POLL_INTERVAL_MS = 250.0, 2000.0, 10000.0
RUN_MS = 120_000.0


@dataclass(slots=True)
class DiscoveryModel:
    """Processes calls one after another, for ``service_ms`` each, and rejects a call that would wait longer
    than ``max_wait_ms``. ``outages`` are begin and end of periods in which it rejects everything; all streams
    end as a period begins."""

    service_ms: float
    max_wait_ms: float
    outages: list[tuple[float, float]]
    free_at: float = 0.0
    call_times: list[float] = field(default_factory=list)

    def is_down(self, now: float) -> bool:
        """Whether this is within an outage."""
        return any(begin <= now < end for begin, end in self.outages)

    def call(self, now: float) -> float | None:
        """When the response to a call made now comes; None if the call is rejected."""
        self.call_times.append(now)
        if self.is_down(now) or self.free_at - now > self.max_wait_ms:
            return None
        self.free_at = max(self.free_at, now) + self.service_ms
        return self.free_at


class FormerPolicy:
    """The follower of commit 979a0e1: a pause of 0.5 to 1.5 s after every stream, checked every 100 ms."""

    def __init__(self, random: Callable[[], float]):
        self.random = random

    def first_call_at(self, now: float) -> float:
        """When the first call is made."""
        return now

    def next_call_at(self, now: float, received_at: float | None) -> float:
        """When the next call is made after a stream whose first message came at ``received_at`` has ended."""
        at = now + 500 + 1000 * self.random()
        return -(-at // 100) * 100


class PresentPolicy:
    """The present follower, driven by this benchmark's loop."""

    def __init__(self, fronts: int, random: Callable[[], float]):
        self.follower = StreamFollower(
            FollowerSettings(fronts, DRAIN_GRACE_MS, HEARTBEAT_INTERVAL_MS, MAX_POLL_INTERVAL_MS), random, 0.0
        )
        self.stream_number = -1

    def first_call_at(self, now: float) -> float:
        """When the first call is made."""
        (action,) = self.follower.start(now)
        self.stream_number = action.stream
        return now

    def next_call_at(self, now: float, received_at: float | None) -> float:
        """When the next call is made after a stream whose first message came at ``received_at`` has ended."""
        if received_at is not None:
            self.follower.message_received(self.stream_number, received_at)
        self.follower.stream_ended(self.stream_number, now, "ended")
        at = self.follower.due()
        (self.stream_number,) = [
            action.stream for action in self.follower.tick(at) if isinstance(action, OpenStream)
        ]
        return at


@dataclass(slots=True)
class RunResult:
    """What one run in virtual time has shown."""

    blind_ms: list[float]  # duration of each period without a stream
    over_grace: int  # periods that were longer than the drain grace
    peak_calls: int  # most calls to discovery within any 100 ms
    calls: int


def simulate(
    fronts: int,
    make_policy: Callable[[Random], FormerPolicy | PresentPolicy],
    discovery: DiscoveryModel,
    resets_per_min: float,
) -> RunResult:
    """Runs fronts against discovery. ``resets_per_min``: streams of each front that break at random times."""
    random = Random(11)
    events: list[tuple[float, int, str, int]] = []  # time, order, kind, front
    policies = [make_policy(Random(1000 + front)) for front in range(fronts)]
    received_at: list[float | None] = [None] * fronts
    blind_since: list[float | None] = [None] * fronts  # None before the first list and while a stream is open
    blind_ms: list[float] = []
    order = 0

    def push(at: float, kind: str, front: int) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, kind, front))

    for front, policy in enumerate(policies):
        push(policy.first_call_at(0.0) + 50 * random.random(), "call", front)
    for begin, _ in discovery.outages:
        for front in range(fronts):
            push(begin, "reset", front)
    for front in range(fronts):
        at = 0.0
        while resets_per_min and (at := at + random.expovariate(resets_per_min / 60_000.0)) < RUN_MS:
            push(at, "reset", front)
    while events:
        now, _, kind, front = heapq.heappop(events)
        if now > RUN_MS:
            break
        if kind == "call":
            response_at = discovery.call(now)
            if response_at is None:
                push(policies[front].next_call_at(now + 1.0, None), "call", front)
            else:
                push(response_at, "received", front)
        elif kind == "received":
            received_at[front] = now
            if blind_since[front] is not None:
                blind_ms.append(now - blind_since[front])
                blind_since[front] = None
        elif received_at[front] is not None:
            blind_since[front] = now
            push(policies[front].next_call_at(now, received_at[front]), "call", front)
            received_at[front] = None
    calls = sorted(discovery.call_times)
    # Without the first second: the fronts' common start is the same for both policies.
    later_calls = [call_at for call_at in calls if call_at > 1000.0]
    peak_calls = max(
        (
            sum(1 for other_at in later_calls[index:] if other_at < call_at + 100.0)
            for index, call_at in enumerate(later_calls)
        ),
        default=0,
    )
    return RunResult(
        blind_ms, sum(duration_ms > DRAIN_GRACE_MS for duration_ms in blind_ms), peak_calls, len(later_calls)
    )


def table_row(name: str, result: RunResult) -> str:
    """One row of the first table."""
    median_ms, p99_ms = (
        (quantiles(result.blind_ms, n=100)[index] for index in (49, 98))
        if len(result.blind_ms) > 1
        else (0, 0)
    )
    over_grace_share = result.over_grace / max(1, len(result.blind_ms))
    mean_ms = fmean(result.blind_ms) if result.blind_ms else 0.0
    return (
        f"| {name} | {len(result.blind_ms)} | {mean_ms:.0f} | {median_ms:.0f} | {p99_ms:.0f} | "
        f"{over_grace_share:.1%} | {result.calls} | {result.peak_calls} |"
    )


def stream_gaps() -> list[str]:
    """The table of periods without a stream and of calls to discovery, for both policies."""
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
    for name, fronts, resets_per_min, outages in cases:
        for label, policy_class in (("before", FormerPolicy), ("now", None)):
            make_policy = (
                (lambda random, count=fronts: PresentPolicy(count, random.random))
                if policy_class is None
                else (lambda random: FormerPolicy(random.random))
            )
            result = simulate(fronts, make_policy, DiscoveryModel(1.5, 2000.0, outages), resets_per_min)
            lines.append(table_row(f"{name}: {label}", result))
    return lines


class SilentStream:
    """A stream that has nothing to read."""

    def read_now(self) -> bool:
        """Whether more can come."""
        return True


def poll_cost(rounds: int) -> list[str]:
    """The table of the cost of polling the streams, of a write and read and of reading each stream."""
    pairs = [socket.socketpair() for _ in range(2)]
    stream_poller = StreamPoller()
    for reader, _ in pairs:
        reader.setblocking(False)
        stream_poller.add(reader.fileno(), SilentStream())
    descriptor, poll = pairs[0][0].fileno(), select.poll()
    poll.register(descriptor, select.POLLIN)

    def read_streams() -> None:
        for reader, _ in pairs:
            with contextlib.suppress(BlockingIOError):
                os.read(reader.fileno(), 65536)

    def measure_s(call: Callable[[], object]) -> float:
        begin = time.perf_counter()
        for _ in range(rounds):
            call()
        return time.perf_counter() - begin

    def write_and_read() -> None:
        pairs[0][0].send(b"x" * 300)
        pairs[0][1].recv(400)

    best_s = {
        name: min(measure_s(call) for _ in range(5))
        for name, call in (
            ("one write and read of a head", write_and_read),
            ("the look", stream_poller.read_ready),
            ("a read of each stream", read_streams),
        )
    }
    base_s = best_s["one write and read of a head"]
    lines = ["| step | against one write and read of a head |", "| --- | --- |"]
    lines += [f"| {name} | {value_s / base_s:.2f} |" for name, value_s in best_s.items()]
    for reader, writer in pairs:
        reader.close()
        writer.close()
    return lines


@click.command()
@click.option("--rounds", default=20000, show_default=True, help="Calls of each step in the second table.")
def main(rounds: int) -> None:
    """Print the tables of docs/design/membership.md."""
    click.echo("\n".join(stream_gaps()))
    click.echo("")
    click.echo("\n".join(poll_cost(rounds)))


if __name__ == "__main__":
    main()
