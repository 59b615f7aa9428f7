"""Measures the resources that one front needs as the number of servers grows while the traffic stays the
same. The front is a real process; the other parties are stand-ins.

    python -m benchmarks.scale            # a table in Markdown, with the limits of the acceptance test

Ratios are of one run. Servers drain and return in turn all the time, so that the server list changes."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

import click
import gevent

from soak.deployment import FIRST_BUILD, Deployment
from soak.run import SoakRun

SIZES = (150, 600, 1200, 3200)
REQUESTS_PER_S = 20.0
RUN_S = 15.0
CHANGE_INTERVAL_S = 0.5  # between two changes of the server list
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB, MB = 1024, 1024 * 1024


@dataclass(slots=True)
class ResourceUse:
    """What one front used in a run, or may use. ``list_kb`` is what discovery sent to it."""

    servers: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def peak_mb(pid: int) -> float:
    """Peak resident memory of a process, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / KB


def measure(servers: int) -> ResourceUse:
    """Runs a front with so many servers and returns what it used."""
    with SoakRun(Deployment(fronts=1, servers=servers), rate_per_s=REQUESTS_PER_S) as run:
        pid, descriptors = run.fronts[0].process.pid, 0
        sent_bytes_before = run.discovery.sent_list_bytes
        for turn in range(int(RUN_S / CHANGE_INTERVAL_S)):
            name = f"s-{turn % servers:03d}"
            run.drain_servers(name) if turn % 2 == 0 else run.restart_servers(
                FIRST_BUILD, f"s-{(turn - 1) % servers:03d}"
            )
            gevent.sleep(CHANGE_INTERVAL_S)
            descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
        connections = sum(server.accepted_count for server in run.servers.values())
        sent_kb = (run.discovery.sent_list_bytes - sent_bytes_before) / KB
        used = ResourceUse(servers, cpu_s(pid), peak_mb(pid), descriptors, connections, sent_kb, 0.0)
        run.finish()
        requests = run.records.requests
        used.served = sum(request.outcome == "served" for request in requests) / max(1, len(requests))
        return used


def allowed_use(smallest: ResourceUse, servers: int) -> ResourceUse:
    """The limits of the acceptance test, which follow from the use at the smallest size."""
    thousands = servers / 1000
    return ResourceUse(
        servers,
        1.4 * smallest.cpu_s + 0.02 + 0.12 * thousands,
        1.5 * smallest.memory_mb + 8 + 4 * thousands,
        2 * smallest.descriptors + 40,
        int(2.5 * smallest.connections + 40),
        2 * smallest.list_kb + 64 + 500 * thousands,
        0.85 * smallest.served,
    )


def table_cells(used: ResourceUse) -> str:
    """The cells of a row of the table."""
    process_cells = f"{used.cpu_s:.2f} | {used.memory_mb:.1f} | {used.descriptors} | {used.connections}"
    return f"{process_cells} | {used.list_kb:.0f} | {used.served:.3f}"


@click.command()
def main() -> None:
    """Measure one front with each number of servers."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    click.echo("| servers | | CPU s | MB | descriptors | connections | lists kB | served |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    smallest: ResourceUse | None = None
    for servers in SIZES:
        used = measure(servers)
        click.echo(f"| {servers} | needs | {table_cells(used)} |")
        if smallest is not None:
            click.echo(f"| | allowed | {table_cells(allowed_use(smallest, servers))} |")
        smallest = smallest or used


if __name__ == "__main__":
    main()
