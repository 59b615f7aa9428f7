"""One run: puts stand-ins, fronts and clients together and collects their records."""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic

import gevent

from soak.checker import RuleChecker, Violation
from soak.clients import Clients
from soak.deployment import FIRST_BUILD, Deployment, NodeConfig
from soak.discovery import Discovery
from soak.fronts import Front
from soak.platform import Platform
from soak.records import Records
from soak.servers import Server, ServerMode
from soak.shim import Shim, build_shim

FRONT_PORT = 8443
START_TIMEOUT_S = 30.0  # for all fronts to become ready


def loopback_prefix() -> str:
    """Returns the first three parts of loopback addresses, derived from the process id so that soaks that run
    at the same time use different ones."""
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}"


class SoakRun:
    """A deployment on loopback.

    Used as a context manager: leaving it ends every process and closes every socket."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        rate_per_s: float = 5.0,
        call_duration_s: float = 0.005,
        shim: bool = False,
    ):
        self.deployment, self.random, self.records = deployment, Random(seed), Records()
        self.folder = tempfile.TemporaryDirectory(prefix="soak-")
        host = f"{loopback_prefix()}.1"
        names = [f"s-{number:03d}" for number in range(deployment.servers)]
        self.servers = {
            name: Server(name, host, FIRST_BUILD, self.records, Random(f"{seed}:{name}")) for name in names
        }
        self.discovery = Discovery(host, self.servers, self.records, call_duration_s)
        self.platform = Platform(host, FIRST_BUILD, self.records)
        self.fronts = [self.make_front(number) for number in range(deployment.fronts)]
        self.rate_per_s, self.clients = rate_per_s, None
        if shim:
            self.attach_shims(seed)
        self.started_at = monotonic()

    def make_front(self, number: int) -> Front:
        """Returns a front with a loopback address of its own."""
        listen = f"{loopback_prefix()}.{number + 2}:{FRONT_PORT}"
        return Front(f"n{number}", listen, Path(self.folder.name), self.deployment, self.records)

    def attach_shims(self, seed: int) -> None:
        """Gives every front a shim of its own. Raises ShimBuildError."""
        folder = Path(self.folder.name)
        library = build_shim(folder)
        for number, front in enumerate(self.fronts):
            front.shim = Shim(library, folder, front.name, seed * 1000 + number)
            front.environment |= front.shim.environment

    def __enter__(self) -> "SoakRun":
        for front in self.fronts:
            self.write_front_config(front)
            self.platform.record_start(front.name)
            front.start()
        deadline = monotonic() + START_TIMEOUT_S
        while not all(front.ready_at for front in self.fronts) and monotonic() < deadline:
            gevent.sleep(0.02)
        client_seed = self.random.randrange(1 << 30)
        deadline_s = self.deployment.deadline_s
        self.clients = Clients(self.fronts, self.records, Random(client_seed), deadline_s, self.rate_per_s)
        self.started_at = monotonic()
        return self

    def write_front_config(self, front: Front) -> None:
        """Writes a node configuration with new peer addresses and the current server list and stage."""
        front.write_config(self.node_config(front))

    def node_config(self, front: Front) -> NodeConfig:
        """Returns a node configuration with new peer addresses and the current server list and stage."""
        return NodeConfig(
            front.name,
            front.listen_address,
            self.discovery.new_address(front.name),
            self.platform.new_address(front.name),
            f"{self.random.getrandbits(64):016x}",
            self.discovery.list_document(None),
            self.platform.stage_fields(),
        )

    def restart_front(self, front: Front) -> None:
        """Starts a new process of a front whose last one has ended, with the same configuration file."""
        self.platform.record_start(front.name)
        front.start()

    def drain_servers(self, *names: str) -> None:
        """Lets servers finish their requests and reject new ones; discovery has the change at once."""
        for name in names:
            self.servers[name].mode = ServerMode.DRAINING
        self.discovery.set_lifecycle("terminating", *names)

    def restart_servers(self, build: int, *names: str) -> None:
        """Restarts servers under their names with a build; their slow start begins."""
        for name in names:
            self.servers[name].restart(build)
        self.discovery.set_lifecycle("in_service", *names)

    def set_server_mode(self, mode: ServerMode, *names: str) -> None:
        """Sets the mode of servers that aren't draining; DOWN resets the connections of all of them."""
        for name in names:
            server = self.servers[name]
            if server.mode != ServerMode.DRAINING:
                server.mode = mode
            if mode == ServerMode.DOWN:
                server.drop_connections()

    def set_leave_share(self, share: float) -> None:
        """Sets the share of clients that leave before their deadline."""
        self.clients.leave_share = share

    def set_rate_factor(self, factor: float) -> None:
        """Multiplies the rate of requests."""
        self.clients.rate_factor = factor

    def start_partial_request(self, front: Front) -> None:
        """Starts a client that sends part of a request and waits. The front has to send an error or close."""
        gevent.spawn(self.clients.send_partial_request, front)

    def call_later(self, seconds: float, call: Callable[..., object], *args: object) -> None:
        """Makes a call this many seconds from now, without a record."""
        gevent.spawn_later(seconds, call, *args)

    def schedule_fault(self, seconds: float, call: Callable[..., object], *args: object) -> None:
        """Makes a call this many seconds after the start of the clients, and records it as a fault."""

        def inject() -> None:
            self.records.faults.append((monotonic(), f"{getattr(call, '__qualname__', call)} {args}"))
            call(*args)

        gevent.spawn_later(max(0.0, self.started_at + seconds - monotonic()), inject)

    def run_until(self, seconds: float) -> None:
        """Waits until this many seconds after the start of the clients."""
        gevent.sleep(max(0.0, self.started_at + seconds - monotonic()))

    def finish(self) -> list[Violation]:
        """Waits for open requests, completes the records and returns the violations."""
        self.clients.stop()
        self.discovery.recover()
        for front in self.fronts:
            front.record_process()
        return RuleChecker(self.records, self.deployment).violations()

    def __exit__(self, *exception_info: object) -> None:
        for front in self.fronts:
            if front.process is not None and front.is_running:
                front.process.kill()
                front.process.wait()
        for stand_in in (self.clients, self.discovery, self.platform, *self.servers.values()):
            if stand_in is not None:
                stand_in.close()
        self.folder.cleanup()
