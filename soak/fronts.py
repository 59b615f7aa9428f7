"""The fronts under test: one process each, started with the operators' command, signalled and ended by
a run."""

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

from soak.deployment import Deployment, NodeConfig
from soak.http_wire import ConnectionEnded, MessageReader
from soak.records import ProcessRecord, Records
from soak.shim import Shim, with_inherited_preload

PROJECT_ROOT = Path(__file__).resolve().parent.parent
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
READY_POLL_INTERVAL_S = 0.05
DEPLOYED_PYTHON = ".venv/bin/python"  # in the deploy file; replaced by the interpreter of the soak


def start_command() -> list[str]:
    """Returns the operators' command for a front: ``run`` of the deploy file, in a shell."""
    deploy = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())
    return ["/bin/sh", "-c", deploy["run"].replace(DEPLOYED_PYTHON, sys.executable)]


class Front:
    """One front with its name and address, which outlast its processes."""

    def __init__(self, name: str, address: str, folder: Path, deployment: Deployment, records: Records):
        self.name, self.listen_address, self.deployment, self.records = name, address, deployment, records
        self.config_path, self.log_path = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.ready_at: float | None = None
        self.sigterm_at: float | None = None
        self.sigkill_sent = False
        self.sigkill_times: list[float] = []  # when the soak sent each SIGKILL
        self.environment: dict[str, str] = {}
        self.shim: Shim | None = None
        self.readiness_task: gevent.Greenlet | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which clients reach the front."""
        host, _, port = self.listen_address.rpartition(":")
        return host, int(port)

    def write_config(self, configuration: NodeConfig) -> None:
        """Replaces the configuration file atomically, as deployment tools do."""
        temporary_path = self.config_path.with_suffix(".new")
        temporary_path.write_bytes(orjson.dumps(configuration.document(self.deployment)))
        temporary_path.replace(self.config_path)

    def start(self) -> None:
        """Starts a new process."""
        environment = with_inherited_preload(
            os.environ | {"NODE_CONFIG": str(self.config_path)} | self.environment
        )
        self.started_at, self.ready_at, self.sigterm_at, self.sigkill_sent = monotonic(), None, None, False
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                start_command(),
                cwd=PROJECT_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        self.readiness_task = gevent.spawn(self.poll_readiness, self.process)

    def poll_readiness(self, process: "subprocess.Popen[bytes]") -> None:
        """Sets ``ready_at`` once the process is ready, by the check that the clients' load balancer makes."""
        while process.poll() is None and self.ready_at is None:
            if self.is_ready():
                self.ready_at = monotonic()
            gevent.sleep(READY_POLL_INTERVAL_S)

    def is_ready(self) -> bool:
        """Returns whether the readiness endpoint responds with 200."""
        try:
            with socket.create_connection(self.address, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(READY_REQUEST)
                return MessageReader(sock, monotonic).read_message().start_line[1] == "200"
        except (OSError, ConnectionEnded):
            return False

    def signal(self, signal_number: int) -> None:
        """Sends a signal to the process, if it runs, and notes the first SIGTERM and each SIGKILL."""
        if self.process is None or self.process.poll() is not None:
            return
        if signal_number == signal.SIGTERM and self.sigterm_at is None:
            self.sigterm_at = monotonic()
        if signal_number == signal.SIGKILL:
            self.sigkill_sent = True
            self.sigkill_times.append(monotonic())
            self.excuse_open_requests()
        self.process.send_signal(signal_number)

    def excuse_open_requests(self) -> None:
        """Excuses the requests that are open at a SIGKILL.

        Requests sent before SIGTERM or up to 0.7 s after it aren't excused: the front had enough time to
        answer them."""
        for request in self.records.requests:
            if request.front == self.name and request.outcome is None:
                excused = self.sigterm_at is None or request.sent > self.sigterm_at + 0.7
                request.front_killed = request.front_killed or excused

    def killed_within(self, begin: float, end: float) -> bool:
        """Returns whether the soak sent a SIGKILL in this span of time."""
        return any(begin <= killed_at <= end for killed_at in self.sigkill_times)

    @property
    def is_running(self) -> bool:
        """Whether there is a process that hasn't ended."""
        return self.process is not None and self.process.poll() is None

    def wait_for_exit(self, seconds: float) -> bool:
        """Waits for the process to end. Returns whether it ended within this time."""
        deadline = monotonic() + seconds
        while self.is_running and monotonic() < deadline:
            gevent.sleep(0.01)
        return not self.is_running

    def record_process(self) -> None:
        """Records the current process, after its end or at the end of the run."""
        if self.process is None:
            return
        exit_code, ended = self.process.poll(), None if self.is_running else monotonic()
        process_record = ProcessRecord(
            self.name, self.started_at, self.ready_at, ended, exit_code, self.sigkill_sent, self.sigterm_at
        )
        self.records.lives.append(process_record)
        if not self.is_running:
            self.process = None

    def kill(self) -> None:
        """Ends the process with SIGKILL and records it; ``start`` may follow at once."""
        self.signal(signal.SIGKILL)
        self.wait_for_exit(5.0)
        self.record_process()
