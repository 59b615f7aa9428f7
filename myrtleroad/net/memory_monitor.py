"""Measures the front's memory as the system counts it, and makes the front keep its limit."""

import gc
import os
from pathlib import Path

import gevent

from myrtleroad.admission.memory_budget import MIB, MemoryBudget
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import NodeConfig

STATM_PATH = Path("/proc/self/statm")
PAGE_BYTES = 4096  # where the system does not report another size
RESIDENT_FIELD = 1  # of statm, in pages (proc(5))
# descriptors for everything else: log, clock, both streams (twice while they change address), a vote, spares
RESERVED_DESCRIPTORS = 24
MEASURE_INTERVAL_S = 0.1
COLLECT_INTERVAL_MS = 1000.0  # between two collections of garbage under pressure, as each takes some ms
WARNING_INTERVAL_MS = 1000.0


def resident_bytes() -> int | None:
    """Returns the memory that this process takes, with its pages of shared libraries; None if the system does
    not report it."""
    try:
        return int(STATM_PATH.read_bytes().split()[RESIDENT_FIELD]) * page_bytes()
    except (OSError, ValueError, IndexError):
        return None


def page_bytes() -> int:
    """Returns the size of a page of memory."""
    try:
        return os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return PAGE_BYTES


def memory_budget(node_config: NodeConfig) -> MemoryBudget:
    """Returns the budget for a node configuration. Half of the descriptors is for clients, the other half for
    connections to servers."""
    descriptors = (node_config.sockets - RESERVED_DESCRIPTORS) // 2
    return MemoryBudget(int(node_config.memory_mb * MIB), descriptors, descriptors)


class MemoryMonitor:
    """The actor that measures the front's memory and adapts the budget to it."""

    ACTOR_NAME = "memory"  # the actor's name in log events

    def __init__(self, budget: MemoryBudget, clock: Clock, counters: Counters, log: Log):
        self.budget, self.clock, self.counters, self.log = budget, clock, counters, log
        self.collect_at, self.warn_at = 0.0, 0.0  # not before these times again

    def start(self, servers: int) -> None:
        """Measures the front before its first client, with so many servers listed."""
        resident = resident_bytes()
        if resident is not None:
            self.budget.set_program(resident, servers)
        limits, is_short = self.budget.limits, self.budget.is_short
        self.log(
            "memory limits",
            level="warning" if is_short else "info",
            limit_mb=self.budget.limit_bytes // MIB,
            program_mb=round(self.budget.program_bytes / MIB, 1),
            too_little=is_short,
            clients=limits.connections,
            attempts=limits.attempts,
            request_kb=limits.request_bytes // 1024,
            response_kb=limits.response_bytes // 1024,
            servers=limits.servers,
        )

    def run(self) -> None:
        """Measures again and again; does not return."""
        while True:
            gevent.sleep(MEASURE_INTERVAL_S)
            resident = resident_bytes()
            if resident is not None:
                self.measured(resident, self.clock())

    def measured(self, resident: int, now: float) -> None:
        """Adapts the budget to a measurement; collects garbage and warns while memory is nearly used up."""
        self.counters.record_high("memory_mb", resident / MIB)
        if not self.budget.measured(resident):
            return
        self.counters.add("memory_pressure")
        if now >= self.collect_at:
            self.collect_at = now + COLLECT_INTERVAL_MS
            gc.collect()
        if now >= self.warn_at:
            self.warn_at = now + WARNING_INTERVAL_MS
            self.log(
                "memory short",
                level="warning",
                resident_mb=round(resident / MIB, 1),
                limit_mb=self.budget.limit_bytes // MIB,
                requests_kb=self.budget.requests.total_bytes // 1024,
                responses_kb=self.budget.responses.total_bytes // 1024,
                clients=self.budget.limits.connections,
            )
