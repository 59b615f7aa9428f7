"""The fronts under test: one process each, started as operators start them, signalled and ended by a soak."""

import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path
from time import monotonic

import gevent
import orjson
from gevent import socket

from soak.deployment import Configuration, Deployment
from soak.records import Life, Records
from soak.shim import Shim, preload
from soak.wire import Ended, Reader

ROOT = Path(__file__).resolve().parent.parent
READY_CALL = b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
READY_PAUSE_S = 0.05
PYTHON = ".venv/bin/python"  # as the deploy file names it; the soak runs on its own


def command() -> list[str]:
    """How operators start a front: ``run`` of the deploy file, by the shell."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ["/bin/sh", "-c", deploy["run"].replace(PYTHON, sys.executable)]


class Front:
    """One front under one name and address, over all the processes that it has been."""

    def __init__(self, name: str, listen: str, folder: Path, deployment: Deployment, records: Records):
        self.name, self.listen, self.deployment, self.records = name, listen, deployment, records
        self.file, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.started = 0.0
        self.ready: float | None = None
        self.stopped: float | None = None
        self.killed = False
        self.kills: list[float] = []  # when each SIGKILL of ours was sent
        self.environment: dict[str, str] = {}
        self.shim: Shim | None = None
        self.watcher: gevent.Greenlet | None = None

    @property
    def at(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def write(self, configuration: Configuration) -> None:
        """Replaces the configuration file whole, as a deployer does."""
        draft = self.file.with_suffix(".new")
        draft.write_bytes(orjson.dumps(configuration.document(self.deployment)))
        draft.replace(self.file)

    def start(self) -> None:
        environment = preload(os.environ | {"NODE_CONFIG": str(self.file)} | self.environment)
        self.started, self.ready, self.stopped, self.killed = monotonic(), None, None, False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.watcher = gevent.spawn(self.watch, self.process)

    def watch(self, process: "subprocess.Popen[bytes]") -> None:
        """Notes when this process is ready, as the clients' entry would."""
        while process.poll() is None and self.ready is None:
            if self.ask_ready():
                self.ready = monotonic()
            gevent.sleep(READY_PAUSE_S)

    def ask_ready(self) -> bool:
        try:
            with socket.create_connection(self.at, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(READY_CALL)
                return Reader(sock, monotonic).message().line[1] == "200"
        except (OSError, Ended):
            return False

    def signal(self, number: int) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        if number == signal.SIGTERM and self.stopped is None:
            self.stopped = monotonic()
        if number == signal.SIGKILL:
            self.killed = True
            self.kills.append(monotonic())
            self.forgive()
        self.process.send_signal(number)

    def forgive(self) -> None:
        """What a kill finds open is no fault of the front's, unless it had its whole time after SIGTERM."""
        for request in self.records.requests:
            if request.front == self.name and request.outcome is None:
                late = self.stopped is None or request.sent > self.stopped + 0.7
                request.front_killed = request.front_killed or late

    def killed_within(self, begin: float, end: float) -> bool:
        return any(begin <= at <= end for at in self.kills)

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def wait(self, seconds: float) -> bool:
        """Whether the process has ended within this time."""
        end = monotonic() + seconds
        while self.runs and monotonic() < end:
            gevent.sleep(0.01)
        return not self.runs

    def note_end(self) -> None:
        """Records the life that has ended, or that the soak ends with."""
        if self.process is None:
            return
        code, ended = self.process.poll(), None if self.runs else monotonic()
        life = Life(self.name, self.started, self.ready, ended, code, self.killed, self.stopped)
        self.records.lives.append(life)
        if not self.runs:
            self.process = None

    def kill(self) -> None:
        """Ends the process outright; it may be started again at once."""
        self.signal(signal.SIGKILL)
        self.wait(5.0)
        self.note_end()
