"""One run: stand-ins, fronts and clients put together, and what was seen of them."""

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
from soak.wire import address, listener

HOST = "127.0.0.1"
START_S = 30.0  # within which every front has to be ready


class Play:
    """A deployment on loopback. Use as a context: leaving it ends every process and closes every socket."""

    def __init__(self, deployment: Deployment, seed: int = 1, rate: float = 5.0, call_s: float = 0.005):
        self.deployment, self.random, self.records = deployment, Random(seed), Records()
        self.folder = tempfile.TemporaryDirectory(prefix="soak-")
        names = [f"s-{n:03d}" for n in range(deployment.servers)]
        self.servers = {
            name: Server(name, HOST, FIRST_BUILD, self.records, Random(f"{seed}:{name}")) for name in names
        }
        self.discovery = Discovery(HOST, self.servers, self.records, call_s)
        self.platform = Platform(HOST, FIRST_BUILD, self.records)
        self.fronts = [self.front(f"n{n}") for n in range(deployment.fronts)]
        self.rate, self.clients = rate, None
        self.begun = monotonic()

    def front(self, name: str) -> Front:
        with listener(HOST) as sock:
            listen = address(sock)  # free again at once; the front binds it
        return Front(name, listen, Path(self.folder.name), self.deployment, self.records)

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
