"""One run: stand-ins, fronts and clients put together, and what was seen of them."""

import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic

import gevent

from soak.clients import Clients
from soak.deployment import FIRST_BUILD, Configuration, Deployment
from soak.discovery import Discovery
from soak.fronts import Front
from soak.judge import Break, Judge
from soak.platform import Platform
from soak.records import Records
from soak.servers import Mode, Server
from soak.shim import Shim, build

FRONT_PORT = 8443
START_S = 30.0  # within which every front has to be ready


def network() -> str:
    """The first three parts of loopback addresses that no other process of a soak uses at the same time."""
    return f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}"


class Play:
    """A deployment on loopback. Use as a context: leaving it ends every process and closes every socket."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        rate: float = 5.0,
        call_s: float = 0.005,
        shim: bool = False,
    ):
        self.deployment, self.random, self.records = deployment, Random(seed), Records()
        self.folder = tempfile.TemporaryDirectory(prefix="soak-")
        host = f"{network()}.1"
        names = [f"s-{n:03d}" for n in range(deployment.servers)]
        self.servers = {
            name: Server(name, host, FIRST_BUILD, self.records, Random(f"{seed}:{name}")) for name in names
        }
        self.discovery = Discovery(host, self.servers, self.records, call_s)
        self.platform = Platform(host, FIRST_BUILD, self.records)
        self.fronts = [self.front(n) for n in range(deployment.fronts)]
        self.rate, self.clients = rate, None
        if shim:
            self.preload(seed)
        self.begun = monotonic()

    def front(self, number: int) -> Front:
        listen = f"{network()}.{number + 2}:{FRONT_PORT}"
        return Front(f"n{number}", listen, Path(self.folder.name), self.deployment, self.records)

    def preload(self, seed: int) -> None:
        """Every front meets system calls and clocks through a shim of its own. Raises NoCompiler."""
        folder = Path(self.folder.name)
        library = build(folder)
        for number, front in enumerate(self.fronts):
            front.shim = Shim(library, folder, front.name, seed * 1000 + number)
            front.environment |= front.shim.environment

    def __enter__(self) -> "Play":
        for front in self.fronts:
            self.configure(front)
            self.platform.started(front.name)
            front.start()
        end = monotonic() + START_S
        while not all(f.ready for f in self.fronts) and monotonic() < end:
            gevent.sleep(0.02)
        clients = self.random.randrange(1 << 30)
        deadline_s = self.deployment.deadline_s
        self.clients = Clients(self.fronts, self.records, Random(clients), deadline_s, self.rate)
        self.begun = monotonic()
        return self

    def configure(self, front: Front) -> None:
        """A new configuration under addresses of its own, with the list as it stands."""
        front.write(
            Configuration(
                front.name,
                front.listen,
                self.discovery.port(front.name),
                self.platform.port(front.name),
                f"{self.random.getrandbits(64):016x}",
                self.discovery.document(None),
                self.platform.news(),
            )
        )

    def restart(self, front: Front) -> None:
        """Begins a new process of a front whose last one has ended, with the configuration that it had."""
        self.platform.started(front.name)
        front.start()

    def drain(self, *names: str) -> None:
        """These servers finish what they have and turn new requests away; discovery has it at once."""
        for name in names:
            self.servers[name].mode = Mode.DRAINING
        self.discovery.change("terminating", *names)

    def bring_back(self, build: int, *names: str) -> None:
        """These servers come back under their names with a build, cold."""
        for name in names:
            self.servers[name].restart(build)
        self.discovery.change("in_service", *names)

    def set_mode(self, mode: Mode, *names: str) -> None:
        for name in names:
            server = self.servers[name]
            if server.mode != Mode.DRAINING:
                server.mode = mode
            if mode == Mode.DOWN:
                server.drop_connections()

    def set_leaving(self, share: float) -> None:
        self.clients.leave_share = share

    def set_crowd(self, times: float) -> None:
        self.clients.crowd = times

    def half_request(self, front: Front) -> None:
        """A client that stops in the middle of a request and stays; it is owed an error or a close."""
        gevent.spawn(self.clients.stop_in_the_middle, front)

    def later(self, seconds: float, call: Callable[..., object], *args: object) -> None:
        gevent.spawn_later(seconds, call, *args)

    def after(self, seconds: float, call: Callable[..., object], *args: object) -> None:
        """A fault at a moment counted from the clients' first request."""

        def act() -> None:
            self.records.faults.append((monotonic(), f"{getattr(call, '__qualname__', call)} {args}"))
            call(*args)

        gevent.spawn_later(max(0.0, self.begun + seconds - monotonic()), act)

    def run_until(self, seconds: float) -> None:
        gevent.sleep(max(0.0, self.begun + seconds - monotonic()))

    def finish(self) -> list[Break]:
        """Lets what is open end, and judges."""
        self.clients.stop()
        self.discovery.come_back()
        for front in self.fronts:
            front.note_end()
        return Judge(self.records, self.deployment).breaks()

    def __exit__(self, *fault: object) -> None:
        for front in self.fronts:
            if front.process is not None and front.runs:
                front.process.kill()
                front.process.wait()
        for stand_in in (self.clients, self.discovery, self.platform, *self.servers.values()):
            if stand_in is not None:
                stand_in.close()
        self.folder.cleanup()
