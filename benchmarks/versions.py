"""Measures configuration versions: how reading a large one delays a front's event loop, how long it takes
until all fronts have one, and the memory that versions take.

    python -m benchmarks.versions            # tables in Markdown; ratios within this run

The fronts that get versions from the control service are stand-ins that implement its protocol only. The
control service, the ledger and the parser are the real ones, and so is the front that requests go through."""

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
from myrtleroad.control.rollout_types import RolloutPlan, VersionRolloutPhase
from myrtleroad.control.service import ControlService, OperatorCall
from myrtleroad.net.clock import Clock
from myrtleroad.net.config_versions import SLICE_PAUSE_S, SLICE_S

FRONT_LIMITS = rules.FrontLimits({}, {}, (), 3, (1.0,), None, "192.0.2.7")


def version_text(number: int, entries: int, note: str = "n") -> str:
    """The document of a version with so many networks."""
    lines = (f'  refuse "10.{index >> 8}.{index & 255}.0/24" note="{note}"' for index in range(entries))
    return "\n".join((f"version {number}", "networks {", *lines, "}", ""))


def wake_up_delays(work: Callable[[], None], rate_per_s: float = 240.0) -> list[float]:
    """How late each of ``rate_per_s`` wake-ups a second comes while ``work`` runs in a greenlet of its
    own; in seconds, sorted."""
    delays_s: list[float] = []
    done = gevent.event.Event()

    def wake_repeatedly() -> None:
        due = time.perf_counter()
        while not done.is_set():
            due += 1 / rate_per_s
            gevent.sleep(max(0.0, due - time.perf_counter()))
            delays_s.append(max(0.0, time.perf_counter() - due))

    waker = gevent.spawn(wake_repeatedly)
    gevent.sleep(0.2)
    delays_s.clear()
    worker = gevent.spawn(work)
    worker.join()
    gevent.sleep(0.05)
    done.set()
    waker.join()
    return sorted(delays_s)


def read_sliced(data: bytes) -> None:
    """Reads a version as a front's ``ConfigVersions`` does: other greenlets run after each millisecond."""
    begun = time.monotonic()
    for _ in version.read_in_slices(data, FRONT_LIMITS, version.Version()):
        if time.monotonic() - begun >= SLICE_S:
            gevent.sleep(SLICE_PAUSE_S)
            begun = time.monotonic()


def reading_rows(entries: int) -> list[str]:
    """Rows on the delays that reading a version of so many entries causes."""
    data = version_text(1, entries).encode()
    gevent.sleep(0)
    whole = wake_up_delays(lambda: version.read(data, FRONT_LIMITS))
    sliced = wake_up_delays(lambda: read_sliced(data))
    idle = wake_up_delays(lambda: gevent.sleep(0.5))
    p99 = lambda delays_s: delays_s[int(0.99 * (len(delays_s) - 1))]  # noqa: E731
    return [
        f"| longest hold, in one go against in slices | {whole[-1] / sliced[-1]:.0f} |",
        f"| 99% of wake-ups while read in slices against none being read | {p99(sliced) / p99(idle):.1f} |",
        f"| the longest hold in slices, of the whole time in one go | {sliced[-1] / whole[-1]:.1%} |",
    ]


def serve_connection(sock: socket.socket) -> None:
    """A server's side of a connection: answers each request at once."""
    received = b""
    try:
        while data := sock.recv(1 << 16):
            received += data
            heads, received = received.count(b"\r\n\r\n"), received.rpartition(b"\r\n\r\n")[2]
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" * heads)
    except OSError:
        pass


def latency_rows(entries: int, rate_per_s: float, seconds: float) -> list[str]:
    """Rows on the latencies of ``rate_per_s`` requests a second through a real front while it reads a version
    of so many entries again and again, compared with those while it reads none. Server, clients and front
    share this process."""
    from myrtleroad.net import front, node_config, operator_limits

    upstream = server.StreamServer(("127.0.0.1", 0), lambda sock, _: serve_connection(sock))
    upstream.start()
    config = small_config(upstream.address)
    program = front.Front(
        node_config.decode_node_config(orjson.dumps(config)), os.open(os.devnull, os.O_WRONLY)
    )
    limits = operator_limits.OperatorLimits(
        program.node_config, program.clock, program.dispatcher, program.discovery, program.client_listener
    )
    versions = limits.config_versions(("127.0.0.1", 9), program.counters, program.log)
    running = gevent.spawn(program.run)
    text = version_text(1, entries)
    address = program.client_listener.sock.getsockname()
    idle_sockets: list[socket.socket] = []

    def send_request(number: int, latencies_s: list[float]) -> None:
        begin = time.perf_counter()
        for sock in (idle_sockets.pop() if idle_sockets else None, None):
            try:  # the front closes idle connections; the request is then sent once more on a new one
                sock = sock or socket.create_connection(address)
                sock.sendall(REQUEST_HEAD % number)
                if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                    latencies_s.append(time.perf_counter() - begin)
                    idle_sockets.append(sock)
                    return
            except OSError:
                continue

    def run_load() -> list[float]:
        latencies_s: list[float] = []
        begin, sent = time.perf_counter(), 0
        while (elapsed_s := time.perf_counter() - begin) < seconds:
            while sent < elapsed_s * rate_per_s:
                sent += 1
                gevent.spawn(send_request, run_load.request_number, latencies_s)
                run_load.request_number += 1
            gevent.sleep(0.001)
        gevent.sleep(0.2)
        return sorted(latencies_s)

    def run_load_during(read: Callable[[], None]) -> list[float]:
        def read_repeatedly() -> None:
            while True:
                read()
                gevent.sleep(0.3)

        worker = gevent.spawn(read_repeatedly)
        latencies_s = run_load()
        worker.kill()
        return latencies_s

    run_load.request_number = 0
    run_load()  # opens connections
    offer = Offer(0, 1, VersionId(1, 1), "", None, {"text": text})
    idle = run_load()
    sliced = run_load_during(lambda: versions.check(offer))
    whole = run_load_during(lambda: version.read(text.encode(), FRONT_LIMITS))
    running.kill()
    upstream.stop()
    p99 = lambda latencies_s: latencies_s[int(0.99 * (len(latencies_s) - 1))]  # noqa: E731
    return [
        f"| 99% of latencies, read in slices against none | {p99(sliced) / p99(idle):.1f} |",
        f"| 99% of latencies, read in one go against none | {p99(whole) / p99(idle):.1f} |",
        f"| answered 200, in slices against none | {len(sliced) / len(idle):.2f} |",
        f"| answered 200, in one go against none | {len(whole) / len(idle):.2f} |",
    ]


REQUEST_HEAD = b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: v%d\r\nX-Lane: look\r\nX-Org: acme\r\n"
REQUEST_HEAD += b"X-Remaining-Ms: 1900\r\n\r\n"


def small_config(server_address: tuple[str, int]) -> dict:
    """A node configuration with one server; nothing listens at the addresses of discovery and platform."""
    second_ns = 1_000_000_000
    route = {"name": "look", "effect": "repeatable", "on_time": second_ns, "give_up": 2 * second_ns}
    server_entry = {
        "instanceId": "s-1",
        "hostPort": f"{server_address[0]}:{server_address[1]}",
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
        "known": {"generation": 1, "reset": True, "instances": [server_entry]},
        "settings": {
            "balancers": 1,
            "zones": ["here"],
            "lanes": [route],
            "tenants": [{"name": "acme", "share": 1.0, "quota_per_s": 1000.0}],
            "obligations": {
                "drain_grace": second_ns // 4,
                "cold": 4 * second_ns,
                "cold_share": 0.3,
                "overload_factor": 2.0,
                "fall": 2 * second_ns,
            },
            "specifics": {
                "stage_cap": [0.1, 1.0],
                "span": 2 * second_ns,
                "answer_wait": second_ns,
                "free": 1.0,
            },
            "limits": {
                "max_attempts": 3,
                "second_copies": True,
                "retry_after": True,
                "max_retry_after": second_ns,
                "connect_timeout": second_ns // 4,
                "idle_close": 15 * second_ns,
            },
        },
    }


class SimulatedFronts:
    """Stand-ins for many fronts that accept every offer and count the bytes that they receive."""

    def __init__(self, service: ControlService, count: int):
        self.received_bytes, self.held_numbers = 0, [0] * count
        self.sockets = [self.connect(service, index) for index in range(count)]

    def connect(self, service: ControlService, index: int) -> socket.socket:
        """Connects one front to the control service and starts to answer its frames."""
        sock = socket.create_connection(service.address)
        sock.sendall(
            encode_frame("hello", name=f"n{index}", protocol=1, holds={"epoch": 0, "number": 0, "digest": ""})
        )
        gevent.spawn(self.answer_offers, sock, index)
        return sock

    def answer_offers(self, sock: socket.socket, index: int) -> None:
        """Accepts each offer until the connection ends."""
        decoder = FrameDecoder()
        try:
            while data := sock.recv(1 << 16):
                self.received_bytes += len(data)
                for frame in decoder.feed(data):
                    if frame.kind == "offer":
                        offer = {key: frame.fields[key] for key in ("nonce", "epoch", "number")}
                        self.held_numbers[index] = offer["number"]
                        sock.sendall(encode_frame("answer", **offer, acked=True, code="", text=""))
                gevent.sleep(0)
        except OSError:
            pass


def distribution_rows(fronts: int, entries: int) -> list[str]:
    """Rows on the cost of distributing a first version, compared with one that drops an entry from it."""
    with tempfile.TemporaryDirectory() as folder:
        service = ControlService(
            Folder(Path(folder)), RolloutPlan((1.0,), watch_ms=0.0), Clock(), lambda *a, **k: None
        )
        running = gevent.spawn(service.run)
        simulated = SimulatedFronts(service, fronts)
        while len(service.streams) < fronts:
            gevent.sleep(0.005)
        costs = []
        for number, text in ((1, version_text(1, entries)), (2, version_text(2, entries - 1))):
            simulated.received_bytes, begin = 0, time.perf_counter()
            service.mailbox.put(OperatorCall({"call": "publish", "text": text}, lambda reply: None))
            while service.rollout.phase != VersionRolloutPhase.DONE or min(simulated.held_numbers) < number:
                gevent.sleep(0.005)
            costs.append((time.perf_counter() - begin, simulated.received_bytes))
        running.kill()
        for sock in simulated.sockets:
            sock.close()
    (whole_s, whole_bytes), (delta_s, delta_bytes) = costs
    return [
        f"| {fronts} fronts, {entries} entries: time, whole against a difference | {whole_s / delta_s:.1f} |",
        f"| bytes, whole against a difference | {whole_bytes / delta_bytes:.0f} |",
    ]


def memory_rows(few: int, many: int) -> list[str]:
    """The row on the memory of a front's ledger and versions after many versions, compared with after few."""
    sizes = []
    for count in (few, many):
        gc.collect()
        tracemalloc.start()
        ledger, contents = Ledger(), {}
        ledger.stream_opened(0)
        base = version.read(version_text(1, 1000).encode()).entries
        for number in range(1, count + 1):
            entries = base.set(("trial", "most-share"), number / (2 * many))
            offer = Offer(
                0, number, VersionId(1, number), content_digest(entries) if number < 50 else f"{number:032x}"
            )
            if ledger.offer_received(offer) == [CheckOffer(offer)]:
                ledger.check_finished(number, 0)
                contents[offer.version] = entries
                ledger.apply_finished(offer.version, float(number))
                held = (ledger.in_force.version, ledger.last_good.version)
                contents = {
                    version_id: content for version_id, content in contents.items() if version_id in held
                }
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return [f"| memory after {many} versions against after {few} | {sizes[1] / sizes[0]:.2f} |"]


@click.command()
def main() -> None:
    """Print the tables of docs/design/config.md."""
    click.echo("| a version of 10,000 entries read under wake-ups at 240 a second | |\n| --- | --- |")
    click.echo("\n".join(reading_rows(10_000)))
    click.echo("\n| reqs through a front at 240 a second | |\n| --- | --- |")
    click.echo("\n".join(latency_rows(10_000, 240.0, 4.0)))
    click.echo("\n| spread | |\n| --- | --- |")
    click.echo("\n".join(distribution_rows(200, 1000)))
    click.echo("\n| memory | |\n| --- | --- |")
    click.echo("\n".join(memory_rows(100, 10_000)))


if __name__ == "__main__":
    main()
