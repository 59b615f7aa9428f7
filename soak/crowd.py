"""A crowd of hostile clients beside a run, in a process of its own, and the check that no front passes its
memory limit meanwhile."""

import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from random import Random
from time import monotonic

import gevent

from benchmarks.crowds import CROWDS
from soak.checker import Violation
from soak.deployment import Deployment
from soak.fronts import PROJECT_ROOT
from soak.run import SoakRun

LIMITS_MB = (32, 64, 192)
MAX_SOCKETS = 1024
WATCH_INTERVAL_S = 0.1
KB_PER_MB = 1024


class CrowdBesideRun:
    """Draws from a seed which crowd comes to the first front, when, and the fronts' memory limit."""

    def __init__(self, seed: int):
        random = Random(f"crowd:{seed}")
        self.name, self.memory_mb = random.choice(list(CROWDS)), random.choice(LIMITS_MB)
        self.begin_s, self.seconds = random.uniform(0.5, 3.0), random.uniform(6.0, 10.0)
        self.peaks_mb: dict[int, tuple[str, float]] = {}  # by process id: front and peak memory

    def adapt(self, deployment: Deployment) -> Deployment:
        """Returns the deployment with the limits of the fronts."""
        return replace(deployment, memory_mb=self.memory_mb, max_sockets=MAX_SOCKETS)

    def start(self, run: SoakRun) -> None:
        """Plans the crowd and watches the memory of all fronts."""
        host, port = run.fronts[0].address
        command = [sys.executable, "-m", "benchmarks.crowds", host, str(port), self.name, str(self.seconds)]
        gevent.spawn_later(self.begin_s, subprocess.Popen, command, cwd=PROJECT_ROOT)
        self.watcher = gevent.spawn(self.watch, run)

    def watch(self, run: SoakRun) -> None:
        """Samples the peak memory of each process of a front until the greenlet is killed."""
        while True:
            for front in run.fronts:
                if front.process is not None and (peak_mb := peak_memory_mb(front.process.pid)):
                    self.peaks_mb[front.process.pid] = (front.name, peak_mb)
            gevent.sleep(WATCH_INTERVAL_S)

    def violations(self) -> list[Violation]:
        """Ends the watch; returns the fronts that passed their limit, as crashes."""
        self.watcher.kill()
        return [
            Violation("crash", monotonic(), f"{front} took {peak_mb:.1f} MB of {self.memory_mb}")
            for front, peak_mb in self.peaks_mb.values()
            if peak_mb > self.memory_mb
        ]

    def describe(self) -> str:
        """Returns what is printed of the crowd."""
        peak_mb = max((peak for _, peak in self.peaks_mb.values()), default=0.0)
        return f"crowd: {self.name}, {peak_mb:.1f} of {self.memory_mb} MB"


def peak_memory_mb(pid: int) -> float:
    """Returns the peak resident memory of a process in MB; 0.0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / KB_PER_MB for line in lines if line.startswith("VmHWM")), 0.0)
