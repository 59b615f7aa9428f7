"""Measures the memory of one front beside crowds of hostile clients. The front is a real process; the other
parties are stand-ins on loopback.

    python -m benchmarks.memory         # each crowd and hostile peer at 32, 64 and 192 MB: a Markdown table
    python -m benchmarks.memory --limit 32 --crowd whole --seconds 20

The kernel counts: VmHWM (with pages of shared libraries) and RssAnon, the latter sampled."""

import resource
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import click
import gevent

from benchmarks.crowds import CROWDS, Crowd
from benchmarks.hostile_peers import LIST_FLOODS, STAGE_FLOODS, HostilePeer
from soak.checker import Violation
from soak.deployment import Deployment
from soak.run import SoakRun

LIMITS_MB = (32, 64, 192)
MAX_SOCKETS = 1024
SERVERS = 8
USUAL_REQUESTS_PER_S = 50.0
SAMPLE_INTERVAL_S = 0.25
KB = 1024


@dataclass(slots=True)
class MemoryUse:
    """The memory of one front in MB, idle and at its peak, and what became of the usual clients' requests."""

    idle_mb: float
    peak_mb: float = 0.0
    peak_anonymous_mb: float = 0.0
    samples_mb: list[float] = field(default_factory=list)  # resident memory through the run
    exited: bool = False
    outcomes: Counter[str] = field(default_factory=Counter)
    p99_ms: float = 0.0
    violations: list[Violation] = field(default_factory=list)


def status_mb(pid: int, name: str) -> float:
    """A field of a process's status in MB; 0.0 once the process has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / KB for line in lines if line.startswith(name)), 0.0)


def measure(
    crowd: Crowd | None, memory_mb: int, seconds: float, servers: int = SERVERS, restart_after_s: float = 0.0
) -> MemoryUse:
    """Runs one front beside a crowd and returns what it used. With ``restart_after_s`` the front is killed
    and started again after that time, and the peak is that of both processes."""
    deployment = Deployment(
        fronts=1, servers=servers, deadline_s=2.0, max_sockets=MAX_SOCKETS, memory_mb=memory_mb
    )
    with SoakRun(deployment, rate_per_s=USUAL_REQUESTS_PER_S) as run:
        front = run.fronts[0]
        used = MemoryUse(status_mb(front.process.pid, "VmHWM"))
        clients = crowd.spawn(front.address) if crowd is not None else []
        if restart_after_s:
            sample(used, front.process.pid, restart_after_s)
            front.kill()
            run.restart_front(front)
        sample(used, front.process.pid, seconds)
        used.exited = not front.is_running
        used.violations = run.finish()
        gevent.killall(clients)
        record_requests(used, run)
    return used


def measure_peer(flood: str, memory_mb: int, seconds: float) -> MemoryUse:
    """Runs one front whose discovery or platform moves to a hostile stand-in, by SIGHUP; returns what it
    used."""
    deployment = Deployment(fronts=1, servers=SERVERS, max_sockets=MAX_SOCKETS, memory_mb=memory_mb)
    with SoakRun(deployment, rate_per_s=USUAL_REQUESTS_PER_S) as run:
        front = run.fronts[0]
        used = MemoryUse(status_mb(front.process.pid, "VmHWM"))
        peer = HostilePeer(front.address[0], LIST_FLOODS.get(flood) or STAGE_FLOODS[flood])
        configuration = run.node_config(front)
        if flood in LIST_FLOODS:
            configuration.discovery_address = peer.address
        else:
            configuration.platform_address = peer.address
        front.write_config(configuration)
        front.signal(signal.SIGHUP)
        sample(used, front.process.pid, seconds)
        used.exited = not front.is_running
        used.violations = run.finish()
        peer.close()
        record_requests(used, run)
    return used


def sample(used: MemoryUse, pid: int, seconds: float) -> None:
    """Samples the memory of a process for some seconds."""
    for _ in range(int(seconds / SAMPLE_INTERVAL_S)):
        gevent.sleep(SAMPLE_INTERVAL_S)
        used.peak_mb = max(used.peak_mb, status_mb(pid, "VmHWM"))
        used.peak_anonymous_mb = max(used.peak_anonymous_mb, status_mb(pid, "RssAnon"))
        used.samples_mb.append(status_mb(pid, "VmRSS"))


def record_requests(used: MemoryUse, run: SoakRun) -> None:
    """Records outcomes and latencies of the usual clients' requests, but for those open at a kill."""
    requests = [request for request in run.records.requests if not request.front_killed]
    used.outcomes = Counter(str(request.outcome) for request in requests)
    latencies = sorted(request.ended - request.sent for request in requests if request.outcome is not None)
    used.p99_ms = 1000 * latencies[int(0.99 * len(latencies))] if latencies else 0.0


def table_row(name: str, limit_mb: int, used: MemoryUse) -> str:
    """The row of the table for one run."""
    middle, last = used.samples_mb[len(used.samples_mb) // 2], used.samples_mb[-1]
    outcomes = ", ".join(f"{outcome} {number}" for outcome, number in sorted(used.outcomes.items()))
    mark = "**" if used.peak_mb > limit_mb else ""
    rules = ", ".join(f"{violation.rule} {violation.what}" for violation in used.violations[:2])
    return (
        f"| {name} | {limit_mb} | {used.idle_mb:.1f} | {mark}{used.peak_mb:.1f}{mark} | "
        f"{used.peak_anonymous_mb:.1f} | {middle:.1f}, {last:.1f} | {outcomes} | {used.p99_ms:.0f} | "
        f"{len(used.violations)} {rules}{' ended' if used.exited else ''} |"
    )


@click.command()
@click.option("--limit", "limits_mb", type=int, multiple=True, help="Memory limit in MB; may be repeated.")
@click.option("--crowd", "names", multiple=True, help="Only crowds whose name contains this.")
@click.option("--seconds", default=8.0, show_default=True, help="How long each crowd lasts.")
@click.option("--servers", default=SERVERS, show_default=True, help="Number of servers.")
@click.option("--restart-after", default=0.0, help="Kill the front after this many seconds and restart it.")
def main(
    limits_mb: tuple[int, ...], names: tuple[str, ...], seconds: float, servers: int, restart_after: float
) -> None:
    """Measure one front beside each crowd and hostile peer at each memory limit."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    click.echo(
        "| crowd | limit MB | idle | peak | RssAnon | half, end | usual clients | p99 ms | violations |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    runs: dict[str, Callable[[int], MemoryUse]] = {
        name: partial(measure, crowd, seconds=seconds, servers=servers, restart_after_s=restart_after)
        for name, crowd in CROWDS.items()
    }
    runs |= {name: partial(measure_peer, name, seconds=seconds) for name in (*LIST_FLOODS, *STAGE_FLOODS)}
    for name, run in runs.items():
        if not names or any(wanted in name for wanted in names):
            for limit_mb in limits_mb or LIMITS_MB:
                click.echo(table_row(name, limit_mb, run(limit_mb)))


if __name__ == "__main__":
    main()
