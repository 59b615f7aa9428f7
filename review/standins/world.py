"""Discovery, platform, machines and one front of a small deployment, with a record of what each saw."""

import asyncio
import contextlib
import json
import os
import select
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NS_PER_MS = 1_000_000
BUILD = 41
TENANT = "wetan-asri"
SAFE, UNSAFE = "schedule-lookup", "bulky-booking"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST_HEARTBEAT_S, STAGE_HEARTBEAT_S = 2.0, 1.0


def now() -> float:
    """Seconds on the clock of the whole run."""
    return time.monotonic()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Writes record.txt: one line per event, with its time in seconds since the start of the run."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.began_at = now()

    def __call__(self, event: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.began_at:9.4f} {event} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


class Message:
    """One HTTP message: its first line, its headers by lower-case name, its body, and its times."""

    def __init__(
        self, first_line: str, headers: dict[str, str], body: bytes, first_at: float, last_at: float
    ):
        self.first_line, self.headers, self.body = first_line, headers, body
        self.first_at, self.last_at = first_at, last_at


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message with a Content-Length or no body; None at the end of the connection."""
    try:
        first = await reader.readexactly(1)
        first_at = now()
        head = first + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Message(lines[0], headers, body, first_at, now())
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """An HTTP answer; underscores in the names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked answer."""
    return b"%x\r\n%s\r\n" % (len(data), data)


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """Accepts connections on a free port and hands each to a handler; closes all of them at the end."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Begins to accept."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Runs the handler of one connection."""
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.handler(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stops accepting and ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Machine:
    """A machine that serves each request after a while. Subclasses change what comes back."""

    def __init__(self, name: str, record: Record, work_s: Callable[[], float]):
        self.name, self.record, self.work_s = name, record, work_s
        self.listener = MachineListener(self)
        self.links: set[MachineLink] = set()
        self.accepted = 0
        self.ran: list[tuple[float, str]] = []  # when the last byte of each attempt arrived, and its id

    def begin(self, link: "MachineLink", txn: str) -> None:
        """A request is whole: it runs, and its answer follows."""
        self.ran.append((now(), txn))
        self.record("attempt", machine=self.name, connection=link.number, txn=txn)
        asyncio.get_running_loop().call_later(self.work_s(), self.finish, link, txn)

    def finish(self, link: "MachineLink", txn: str) -> None:
        """The work of a request is done."""
        link.reply(answer(200, body_for(txn), X_Pressure="TEXT inflight=1"))


class MachineLink(asyncio.Protocol):
    """One connection to a machine: one request at a time."""

    def __init__(self, machine: Machine):
        self.machine, self.buffer = machine, b""
        machine.accepted += 1
        self.number = machine.accepted
        self.busy = False  # a request is being served
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.machine.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.machine.links.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.next_request()

    def next_request(self) -> None:
        """Begins the next request once its last byte has come."""
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if self.busy or not end:
            return
        pairs = (line.partition(":") for line in head.decode("latin-1").split("\r\n")[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if len(rest) >= length:
            self.buffer, self.busy = rest[length:], True
            self.machine.begin(self, headers.get("x-txn", ""))

    def nothing_waits(self) -> bool:
        """Whether the connection is open, and neither a request nor a byte of one is here."""
        if self.transport is None or self.transport.is_closing() or self.busy or self.buffer:
            return False
        return not select.select([self.transport.get_extra_info("socket")], [], [], 0)[0]

    def reply(self, text: bytes) -> None:
        """Writes the answer to the request that is being served."""
        if self.transport is None:
            return  # the front has closed the connection
        self.transport.write(text)
        self.busy = False
        self.next_request()


class MachineListener:
    """Accepts the connections of one machine."""

    def __init__(self, machine: Machine):
        self.machine, self.address = machine, ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to accept."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: MachineLink(self.machine), HOST, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops accepting and ends all connections."""
        if self.server is not None:
            self.server.close()
        for link in list(self.machine.links):
            if link.transport is not None:
                link.transport.abort()


def body_for(txn: str) -> bytes:
    """The body of the answer that a machine makes for a request: it names the request."""
    return b"answer to " + txn.encode()


class Discovery:
    """Discovery, asked by the front: the whole list, then a heartbeat every 2 s."""

    def __init__(self, machines: list[Machine]):
        self.machines = machines
        self.listener = Listener(self.serve)

    def document(self) -> dict[str, object]:
        """The whole list in discovery's form."""
        entries = [
            {
                "instanceId": machine.name,
                "hostPort": machine.listener.address,
                "zone": "dc-balaikota",
                "machineType": "std-3c",
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": 0,
                "version_no": BUILD,
            }
            for machine in self.machines
        ]
        return {"generation": 1, "reset": True, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one call."""
        message = await read_message(reader)
        if message is None:
            return
        text = json.dumps(self.document()).encode() + b"\n"
        if "watch=1" not in message.first_line:
            writer.write(answer(200, text))
            await writer.drain()
            return
        writer.write(STREAM_HEAD + chunk(text))
        while True:
            await writer.drain()
            await asyncio.sleep(LIST_HEARTBEAT_S)
            writer.write(chunk(b"\n"))


class Platform:
    """The platform: one build, released long ago."""

    NEWS = {"Revision": BUILD, "Wave": 0, "State": "released", "MaxShare": 1.0, "AgeMs": 600_000}  # noqa: RUF012

    def __init__(self) -> None:
        self.listener = Listener(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Follows one connection: votes are answered, a bulletin stays open."""
        while (message := await read_message(reader)) is not None:
            if not message.first_line.startswith("GET /v1/bulletin"):
                items = "".join(f"<{name}>{value}</{name}>" for name, value in self.NEWS.items())
                body = f"<Response><entries><item>{items}</item></entries></Response>"
                writer.write(answer(200, body.encode()))
                await writer.drain()
                continue
            data = "&".join(f"{name}={value}" for name, value in self.NEWS.items())
            writer.write(STREAM_HEAD + chunk(f"event: progress\ndata: {data}\n\n".encode()))
            while True:
                await writer.drain()
                await asyncio.sleep(STAGE_HEARTBEAT_S)
                writer.write(chunk(b":\n"))


def settings() -> dict[str, object]:
    """The settings of tirtasari-jadwal: the example of the page on the wire, with one front."""
    return {
        "balancers": 1,
        "callers": {"marks_retry": False},
        "kind_of_service": "rollout",
        "kinds": ["std-3c", "eco-4c"],
        "lanes": [
            lane(SAFE, "repeatable", on_time=2000, give_up=6000, late_worth=0.0, worth=2.0),
            lane(UNSAFE, "once", on_time=750, give_up=2000, late_worth=0.2, worth=3.0),
        ],
        "limits": {
            "cancel": True,
            "connect_timeout": 250 * NS_PER_MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "idle_close": 15_000 * NS_PER_MS,
            "max_attempts": 6,
            "max_retry_after": 500 * NS_PER_MS,
            "max_streams": 1,
            "may_tell": False,
            "most_held": 20_000,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "obligations": {
            "answer_slack": 20 * NS_PER_MS,
            "ask_every": 10_000 * NS_PER_MS,
            "cold": 5_000 * NS_PER_MS,
            "cold_share": 0.36,
            "drain_grace": 250 * NS_PER_MS,
            "fall": 2_000 * NS_PER_MS,
            "overload_factor": 2.0,
        },
        "ordinal": 0,
        "over_share_worth": 0.2,
        "prices": {"handshake": 0.0, "late_fail": 0.03, "probe": 0.01, "waste": 0.03},
        "registry_mode": "on_request",
        "report": {"columns": ["active"], "how": "inline"},
        "specifics": {
            "answer_wait": 2_000 * NS_PER_MS,
            "calls_per_s": 10.0,
            "counts": "all",
            "free": 1.0,
            "gate_mode": "by_count",
            "guarded_stages": 0,
            "harm_price": 3.0,
            "no_return": False,
            "noes_needed": 1,
            "push": 2_000 * NS_PER_MS,
            "replace_mode": "replace",
            "rings": [0.04, 0.1, 0.25, 0.55, 1.0],
            "soak": 1_500 * NS_PER_MS,
            "span": 2_000 * NS_PER_MS,
            "stage_cap": [0.068, 0.17, 0.425, 0.935, 1.0],
            "stale_build_price": 0.55,
            "vote_life": 6_000 * NS_PER_MS,
            "votes_to_go": 1,
        },
        "stage": 0,
        "tenants": [{"name": TENANT, "quota_per_s": 400.0, "share": 1.0}],
        "tick": 5 * NS_PER_MS,
        "tiers": ["jadwal-nodes"],
        "weight_kind": "rough",
        "worth_by": "request",
        "zone": 0,
        "zones": ["dc-balaikota"],
    }


def lane(name: str, effect: str, *, on_time: int, give_up: int, **worth: float) -> dict[str, object]:
    """One class of the settings; times in ms."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "dedup_window": 5_000 * NS_PER_MS,
        "on_time": on_time * NS_PER_MS,
        "give_up": give_up * NS_PER_MS,
        "streaming": False,
        **worth,
    }


class World:
    """One front, started with ``run`` of the deploy file, between stand-ins."""

    def __init__(self, case: Path, machines: Callable[[Record], list[Machine]], memory_mb: int = 192):
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = machines(self.record)
        self.discovery, self.platform = Discovery(self.machines), Platform()
        self.port, self.memory_mb = free_port(), memory_mb
        self.front: asyncio.subprocess.Process | None = None

    @property
    def listeners(self) -> list[Listener | MachineListener]:
        """The listeners of all stand-ins."""
        return [part.listener for part in (*self.machines, self.discovery, self.platform)]

    async def start(self) -> None:
        """Starts the stand-ins and the front, and waits until the front is ready (30 s at most)."""
        for listener in self.listeners:
            await listener.start()
        self.write_config()
        (self.folder / "tmp").mkdir()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        told = {
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": self.discovery.listener.address,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "front.log").open("wb") as log:
            self.front = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=os.environ | told, stdout=log, stderr=log
            )
        until = now() + 30.0
        while not await self.is_ready():
            if now() > until or self.front.returncode is not None:
                raise RuntimeError(f"the front is not ready: exit code {self.front.returncode}")
            await asyncio.sleep(0.1)
        self.record("ready")

    def write_config(self) -> None:
        """Writes what the front is told."""
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": self.discovery.listener.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "platform": {"address": self.platform.listener.address, "news": self.platform.NEWS},
            "known": self.discovery.document(),
            "settings": settings(),
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def is_ready(self) -> bool:
        """Whether /-/ready answers 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and " 200 " in message.first_line

    def memory(self) -> tuple[float, float]:
        """The memory that the front holds now and its peak so far, in MB; zeros once it has ended."""
        values = {"VmRSS": 0.0, "VmHWM": 0.0}
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.front.pid}/status").read_text().splitlines():
                name, _, value = line.partition(":")
                if name in values:
                    values[name] = int(value.split()[0]) / 1024
        return values["VmRSS"], values["VmHWM"]

    def ended(self) -> bool:
        """Whether the front has ended by itself."""
        return self.front is not None and self.front.returncode is not None

    async def stop(self) -> None:
        """Ends the front and all stand-ins."""
        if self.front is not None and self.front.returncode is None:
            self.front.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.front.wait(), 8.0)
            except TimeoutError:
                self.front.kill()
                await self.front.wait()
        for listener in self.listeners:
            listener.close()
        self.record.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A usual client: one kept connection, one request at a time."""

    def __init__(self, world: World):
        self.world = world
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection if there is none."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.world.port)
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def ask(self, txn: str, lane_name: str, remaining_ms: int, body: bytes = b"") -> Message | None:
        """Sends one request and returns the answer; None if the connection ends without one."""
        await self.open()
        self.writer.write(request(txn, lane_name, remaining_ms, body))
        self.world.record("sent", txn=txn, lane=lane_name)
        message = await read_message(self.reader)
        if message is None or message.headers.get("connection", "").lower() == "close":
            self.close()
        self.world.record(
            "answered", txn=txn, line=message and message.first_line, body=message and message.body
        )
        return message

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def request(txn: str, lane_name: str, remaining_ms: int, body: bytes = b"") -> bytes:
    """A request of a usual client: GET for what is safe to repeat, POST for what is not."""
    method = "GET" if lane_name == SAFE else "POST"
    head = (
        f"{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {txn}\r\nX-Lane: {lane_name}\r\n"
        f"X-Org: {TENANT}\r\nX-Remaining-Ms: {remaining_ms}\r\n"
    )
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def run_case(play: Callable[[bool], Awaitable[int]]) -> int:
    """Plays a case with or without its disruption (TROUBLE=0); 2 if it could not run."""
    try:
        return asyncio.run(asyncio.wait_for(play(os.environ.get("TROUBLE", "1") != "0"), 110.0))
    except Exception as error:  # whatever went wrong, the rule was not judged
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
