"""What one front needs as the fleet of servers grows, on the same traffic: a real process between stand-ins.

    python -m benchmarks.scale            # a table in Markdown, beside what the standing test allows

Ratios are of one run. Servers drain and come back by turns all the while, so that lists are told."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

import click
import gevent

from soak.deployment import FIRST_BUILD, Deployment
from soak.run import SoakRun

SIZES = (150, 600, 1200, 3200)
RATE = 20.0  # requests a second
RUN_S = 15.0
TURN_S = 0.5  # between two changes of the list
TICK_S = os.sysconf("SC_CLK_TCK")
KB, MB = 1024, 1024 * 1024


@dataclass(slots=True)
class Need:
    servers: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK_S


def peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / KB


def measure(servers: int) -> Need:
    with SoakRun(Deployment(fronts=1, servers=servers), rate_per_s=RATE) as run:
        pid, descriptors = run.fronts[0].process.pid, 0
        begun = run.discovery.sent_list_bytes
        for turn in range(int(RUN_S / TURN_S)):
            name = f"s-{turn % servers:03d}"
            run.drain_servers(name) if turn % 2 == 0 else run.restart_servers(
                FIRST_BUILD, f"s-{(turn - 1) % servers:03d}"
            )
            gevent.sleep(TURN_S)
            descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
        made = sum(server.accepted_count for server in run.servers.values())
        sent = (run.discovery.sent_list_bytes - begun) / KB
        need = Need(servers, cpu_s(pid), peak_mb(pid), descriptors, made, sent, 0.0)
        run.finish()
        requests = run.records.requests
        need.served = sum(r.outcome == "served" for r in requests) / max(1, len(requests))
        return need


def allowed(first: Need, servers: int) -> Need:
    """The standing test's table, from the need at the smallest size."""
    thousands = servers / 1000
    return Need(
        servers,
        1.4 * first.cpu_s + 0.02 + 0.12 * thousands,
        1.5 * first.memory_mb + 8 + 4 * thousands,
        2 * first.descriptors + 40,
        int(2.5 * first.connections + 40),
        2 * first.list_kb + 64 + 500 * thousands,
        0.85 * first.served,
    )


def cells(need: Need) -> str:
    shown = f"{need.cpu_s:.2f} | {need.memory_mb:.1f} | {need.descriptors} | {need.connections}"
    return f"{shown} | {need.list_kb:.0f} | {need.served:.3f}"


@click.command()
def main() -> None:
    """Measure one front at each size of the fleet."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    click.echo("| servers | | CPU s | MB | descriptors | connections | lists kB | served |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    first: Need | None = None
    for servers in SIZES:
        need = measure(servers)
        click.echo(f"| {servers} | needs | {cells(need)} |")
        if first is not None:
            click.echo(f"| | allowed | {cells(allowed(first, servers))} |")
        first = first or need


if __name__ == "__main__":
    main()
