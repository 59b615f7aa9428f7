"""Versions on their way, measured: what reading a large one does to a front's loop, spread, memory.

    python -m benchmarks.versions            # tables in Markdown; ratios within this run

Fronts here are stand-ins of the wire alone; the service, the ledger and the reading are the real ones."""

import gc
import os
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import click
import gevent
import orjson
from gevent import server, socket

from myrtleroad.config import rules, version
from myrtleroad.config.entries import content_digest
from myrtleroad.config.frames import FrameDecoder, encode_frame
from myrtleroad.config.ledger import CheckOffer, Ledger, Offer, VersionId
from myrtleroad.control.folder import Folder
from myrtleroad.control.rollout import RolloutPlan, VersionRolloutPhase
from myrtleroad.control.service import ControlService, OperatorCall
from myrtleroad.net.clock import Clock
from myrtleroad.net.config_versions import SLICE_PAUSE_S, SLICE_S

TOLD = rules.FrontLimits({}, {}, (), 3, (1.0,), None, "192.0.2.7")


def text(number: int, entries: int, note: str = "n") -> str:
    lines = (f'  refuse "10.{n >> 8}.{n & 255}.0/24" note="{note}"' for n in range(entries))
    return "\n".join((f"version {number}", "networks {", *lines, "}", ""))


def holds(work: Callable[[], None], rate: float = 240.0) -> list[float]:
    """How late each of a stream of wake-ups comes while ``work`` runs in a greenlet of its own; seconds."""
    late: list[float] = []
    done = gevent.event.Event()

    def ticks() -> None:
        due = time.perf_counter()
        while not done.is_set():
            due += 1 / rate
            gevent.sleep(max(0.0, due - time.perf_counter()))
            late.append(max(0.0, time.perf_counter() - due))

    ticker = gevent.spawn(ticks)
    gevent.sleep(0.2)
    late.clear()
    worker = gevent.spawn(work)
    worker.join()
    gevent.sleep(0.05)
    done.set()
    ticker.join()
    return sorted(late)


def sliced(data: bytes) -> None:
    """As a front's versions actor reads: others run after each millisecond."""
    begun = time.monotonic()
    for _ in version.read_in_slices(data, TOLD, version.Version()):
        if time.monotonic() - begun >= SLICE_S:
            gevent.sleep(SLICE_PAUSE_S)
            begun = time.monotonic()


def reading(entries: int) -> list[str]:
    data = text(1, entries).encode()
    gevent.sleep(0)
    whole = holds(lambda: version.read(data, TOLD))
    parts = holds(lambda: sliced(data))
    idle = holds(lambda: gevent.sleep(0.5))
    p99 = lambda late: late[int(0.99 * (len(late) - 1))]  # noqa: E731
    return [
        f"| longest hold, in one go against in slices | {whole[-1] / parts[-1]:.0f} |",
        f"| 99% of wake-ups while read in slices against none being read | {p99(parts) / p99(idle):.1f} |",
        f"| the longest hold in slices, of the whole time in one go | {parts[-1] / whole[-1]:.1%} |",
    ]


def answers(sock: socket.socket) -> None:
    """A machine: answers each req it reads at once."""
    text = b""
    try:
        while data := sock.recv(1 << 16):
            text += data
            heads, text = text.count(b"\r\n\r\n"), text.rpartition(b"\r\n\r\n")[2]
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" * heads)
    except OSError:
        pass


def through_a_front(entries: int, rate: float, seconds: float) -> list[str]:
    """Latencies of reqs through a real front at ``rate`` a second, while it reads a version of so many
    entries again and again, against none: machine, clients and front share this process."""
    from myrtleroad.net import front, node_config, operator_limits

    machine = server.StreamServer(("127.0.0.1", 0), lambda sock, _: answers(sock))
    machine.start()
    config = small_config(machine.address)
    program = front.Front(
        node_config.decode_node_config(orjson.dumps(config)), os.open(os.devnull, os.O_WRONLY)
    )
    holder = operator_limits.OperatorLimits(
        program.node_config, program.clock, program.dispatcher, program.discovery, program.client_listener
    )
    versions = holder.config_versions(("127.0.0.1", 9), program.counters, program.log)
    running = gevent.spawn(program.run)
    data = text(1, entries)
    at = program.client_listener.sock.getsockname()
    socks: list[socket.socket] = []

    def one(number: int, times: list[float]) -> None:
        begin = time.perf_counter()
        for sock in (socks.pop() if socks else None, None):
            try:  # a front closes what has been idle for long: then once more on a new connection
                sock = sock or socket.create_connection(at)
                sock.sendall(REQ % number)
                if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                    times.append(time.perf_counter() - begin)
                    socks.append(sock)
                    return
            except OSError:
                continue

    def load() -> list[float]:
        times: list[float] = []
        begin, sent = time.perf_counter(), 0
        while (now := time.perf_counter() - begin) < seconds:
            while sent < now * rate:
                sent += 1
                gevent.spawn(one, load.number, times)
                load.number += 1
            gevent.sleep(0.001)
        gevent.sleep(0.2)
        return sorted(times)

    def offered(read: Callable[[], None]) -> list[float]:
        def again() -> None:
            while True:
                read()
                gevent.sleep(0.3)

        worker = gevent.spawn(again)
        times = load()
        worker.kill()
        return times

    load.number = 0
    load()  # warms connections up
    offer = Offer(0, 1, VersionId(1, 1), "", None, {"text": data})
    none = load()
    slices = offered(lambda: versions.check(offer))
    whole = offered(lambda: version.read(data.encode(), TOLD))
    running.kill()
    machine.stop()
    p99 = lambda times: times[int(0.99 * (len(times) - 1))]  # noqa: E731
    return [
        f"| 99% of latencies, read in slices against none | {p99(slices) / p99(none):.1f} |",
        f"| 99% of latencies, read in one go against none | {p99(whole) / p99(none):.1f} |",
        f"| answered 200, in slices against none | {len(slices) / len(none):.2f} |",
        f"| answered 200, in one go against none | {len(whole) / len(none):.2f} |",
    ]


REQ = b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: v%d\r\nX-Lane: look\r\nX-Org: acme\r\n"
REQ += b"X-Remaining-Ms: 1900\r\n\r\n"


def small_config(machine: tuple[str, int]) -> dict:
    """A front's configuration with one machine and nobody to follow."""
    second = 1_000_000_000
    lane = {"name": "look", "effect": "repeatable", "on_time": second, "give_up": 2 * second}
    row = {
        "instanceId": "s-1",
        "hostPort": f"{machine[0]}:{machine[1]}",
        "lifecycle": "in_service",
        "version_no": 1,
    }
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {
            "address": "127.0.0.1:9",
            "news": {"Revision": 1, "Wave": 0, "State": "released", "MaxShare": 0.0, "AgeMs": 9000},
        },
        "known": {"generation": 1, "reset": True, "instances": [row]},
        "settings": {
            "balancers": 1,
            "zones": ["here"],
            "lanes": [lane],
            "tenants": [{"name": "acme", "share": 1.0, "quota_per_s": 1000.0}],
            "obligations": {
                "drain_grace": second // 4,
                "cold": 4 * second,
                "cold_share": 0.3,
                "overload_factor": 2.0,
                "fall": 2 * second,
            },
            "specifics": {"stage_cap": [0.1, 1.0], "span": 2 * second, "answer_wait": second, "free": 1.0},
            "limits": {
                "max_attempts": 3,
                "second_copies": True,
                "retry_after": True,
                "max_retry_after": second,
                "connect_timeout": second // 4,
                "idle_close": 15 * second,
            },
        },
    }


class Fronts:
    """Many stand-ins that take whatever is offered, and count bytes."""

    def __init__(self, service: ControlService, count: int):
        self.bytes, self.held = 0, [0] * count
        self.socks = [self.one(service, n) for n in range(count)]

    def one(self, service: ControlService, n: int) -> socket.socket:
        sock = socket.create_connection(service.address)
        sock.sendall(
            encode_frame("hello", name=f"n{n}", protocol=1, holds={"epoch": 0, "number": 0, "digest": ""})
        )
        gevent.spawn(self.run, sock, n)
        return sock

    def run(self, sock: socket.socket, n: int) -> None:
        decoder = FrameDecoder()
        try:
            while data := sock.recv(1 << 16):
                self.bytes += len(data)
                for frame in decoder.feed(data):
                    if frame.kind == "offer":
                        f = {k: frame.fields[k] for k in ("nonce", "epoch", "number")}
                        self.held[n] = f["number"]
                        sock.sendall(encode_frame("answer", **f, acked=True, code="", text=""))
                gevent.sleep(0)
        except OSError:
            pass


def spread(fronts: int, entries: int) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        service = ControlService(
            Folder(Path(folder)), RolloutPlan((1.0,), watch_ms=0.0), Clock(), lambda *a, **k: None
        )
        running = gevent.spawn(service.run)
        many = Fronts(service, fronts)
        while len(service.streams) < fronts:
            gevent.sleep(0.005)
        costs = []
        for number, body in ((1, text(1, entries)), (2, text(2, entries - 1))):
            many.bytes, begin = 0, time.perf_counter()
            service.mailbox.put(OperatorCall({"call": "publish", "text": body}, lambda reply: None))
            while service.rollout.phase != VersionRolloutPhase.DONE or min(many.held) < number:
                gevent.sleep(0.005)
            costs.append((time.perf_counter() - begin, many.bytes))
        running.kill()
        for sock in many.socks:
            sock.close()
    (whole_s, whole_bytes), (delta_s, delta_bytes) = costs
    return [
        f"| {fronts} fronts, {entries} entries: time, whole against a difference | {whole_s / delta_s:.1f} |",
        f"| bytes, whole against a difference | {whole_bytes / delta_bytes:.0f} |",
    ]


def memory(few: int, many: int) -> list[str]:
    """A front's ledger and contents after many versions against after few."""
    sizes = []
    for count in (few, many):
        gc.collect()
        tracemalloc.start()
        ledger, contents = Ledger(), {}
        ledger.stream_opened(0)
        base = version.read(text(1, 1000).encode()).entries
        for n in range(1, count + 1):
            entries = base.set(("trial", "most-share"), n / (2 * many))
            offer = Offer(0, n, VersionId(1, n), content_digest(entries) if n < 50 else f"{n:032x}")
            if ledger.offer_received(offer) == [CheckOffer(offer)]:
                ledger.check_finished(n, 0)
                contents[offer.version] = entries
                ledger.apply_finished(offer.version, float(n))
                held = (ledger.in_force.version, ledger.last_good.version)
                contents = {name: c for name, c in contents.items() if name in held}
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return [f"| memory after {many} versions against after {few} | {sizes[1] / sizes[0]:.2f} |"]


@click.command()
def main() -> None:
    """Print the tables of docs/design/config.md."""
    click.echo("| a version of 10,000 entries read under wake-ups at 240 a second | |\n| --- | --- |")
    click.echo("\n".join(reading(10_000)))
    click.echo("\n| reqs through a front at 240 a second | |\n| --- | --- |")
    click.echo("\n".join(through_a_front(10_000, 240.0, 4.0)))
    click.echo("\n| spread | |\n| --- | --- |")
    click.echo("\n".join(spread(200, 1000)))
    click.echo("\n| memory | |\n| --- | --- |")
    click.echo("\n".join(memory(100, 10_000)))


if __name__ == "__main__":
    main()
