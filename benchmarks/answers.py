"""Measures whether each request gets its one final answer in time from a real front that has only a share of
a core and is offered more than it can serve.

    python -m benchmarks.answers                       # tables in Markdown, on standard output
    python -m benchmarks.answers --share 0.3 --times 1,4 --tree ../before    # the code of another checkout

Everything runs on loopback and is bounded in count and time. Servers, discovery and platform are stand-ins in
this process. The front has a process of its own, which is stopped (SIGSTOP) for the rest of each period so
that it gets no more than its share. Its capacity is measured first, with a fixed number of clients that each
wait for their answer; the loads are multiples of it.
"""

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

import click
import gevent
import orjson
from gevent import socket

PERIOD_S = 0.02  # of stopping the front: short against a request's time, long against a context switch
REQUEST_TIMEOUT_MS, SERVER_WORK_S = 800, 0.02
SLACK_MS = 500.0  # an answer that comes later than this after the time limit is as bad as none
SERVERS = 8
SECOND = 1_000_000_000
SETTINGS = {
    "balancers": 1,
    "zone": 0,
    "zones": ["here"],
    "kinds": ["small"],
    "lanes": [{"name": "look", "effect": "repeatable", "on_time": SECOND // 2, "give_up": 2 * SECOND}],
    "tenants": [],
    "obligations": {"cold_share": 0.3, "overload_factor": 2.0}
    | {name: int(span * SECOND) for name, span in (("drain_grace", 0.25), ("cold", 4), ("fall", 2))},
    "specifics": {"stage_cap": [0.1, 1.0], "span": 2 * SECOND, "answer_wait": SECOND // 2, "free": 1.0},
    "limits": {
        "max_attempts": 3,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after": SECOND // 2,
        "connect_timeout": SECOND // 4,
        "idle_close": 15 * SECOND,
    },
    "registry_mode": "on_request",
}
STREAM_START = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"


def open_listener() -> socket.socket:
    """A listening socket on a free port of the loopback address."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    return sock


def accept_connections(sock: socket.socket, handle) -> None:
    """Handles each connection in a greenlet of its own."""
    while True:
        gevent.spawn(handle, sock.accept()[0])


def read_heads(sock: socket.socket):
    """Yields the head of each request that comes; the requests of this benchmark have no bodies."""
    received = b""
    while data := sock.recv(65536):
        received += data
        while b"\r\n\r\n" in received:
            head, _, received = received.partition(b"\r\n\r\n")
            yield head


def serve_connection(sock: socket.socket) -> None:
    """A server's side of a connection: answers each request after its work."""
    try:
        for _ in read_heads(sock):
            gevent.sleep(SERVER_WORK_S)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    except OSError:
        pass  # the front has closed the connection
    finally:
        sock.close()


def stream_handler(line: bytes):
    """A handler of connections that sends ``line`` and then heartbeats."""

    def send_stream(sock: socket.socket) -> None:
        next(read_heads(sock), None)
        sock.sendall(STREAM_START % (len(line), line))
        while True:
            gevent.sleep(0.5)
            sock.sendall(b"2\r\n:\n\r\n" if line.startswith(b"event") else b"1\r\n\n\r\n")

    def handle(sock: socket.socket) -> None:
        try:
            send_stream(sock)
        except OSError:
            sock.close()

    return handle


class FrontProcess:
    """A front in a process of its own that runs for ``share`` of each period."""

    def __init__(self, tree: str, share: float, sockets: int):
        server_sockets = [open_listener() for _ in range(SERVERS)]
        self.greenlets = [
            gevent.spawn(accept_connections, server, serve_connection) for server in server_sockets
        ]
        server_entries = [
            {
                "instanceId": f"m{index}",
                "hostPort": "{}:{}".format(*server.getsockname()),
                "zone": "here",
                "machineType": "small",
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": 0,
                "version_no": 1,
            }
            for index, server in enumerate(server_sockets)
        ]
        server_list = {"generation": 1, "reset": True, "instances": server_entries}
        stage_update = {"Revision": 1, "Wave": 0, "State": "released", "MaxShare": 0.0, "AgeMs": 9000}
        event = (
            "event: progress\ndata: "
            + "&".join(f"{key}={value}" for key, value in stage_update.items())
            + "\n\n"
        )
        discovery, platform, unused = open_listener(), open_listener(), open_listener()
        self.greenlets.append(
            gevent.spawn(accept_connections, discovery, stream_handler(orjson.dumps(server_list) + b"\n"))
        )
        self.greenlets.append(gevent.spawn(accept_connections, platform, stream_handler(event.encode())))
        self.address = unused.getsockname()
        unused.close()
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*discovery.getsockname()),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "platform": {"address": "{}:{}".format(*platform.getsockname()), "news": stage_update},
            "known": server_list,
            "settings": SETTINGS,
        }
        self.config_file = Path(tempfile.mkdtemp()) / "config.json"
        self.config_file.write_bytes(orjson.dumps(config))
        self.log = (self.config_file.parent / "log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "myrtleroad", "serve"],
            cwd=tree,
            env=os.environ | {"NODE_CONFIG": str(self.config_file)},
            stdout=self.log,
            stderr=self.log,
        )
        self.wait_ready()
        self.stop_event = threading.Event()
        self.throttle_thread = threading.Thread(target=self.throttle, args=(share,), daemon=True)
        self.throttle_thread.start()

    def wait_ready(self) -> None:
        """Waits until the front is ready, for about 30 s. Raises ``SystemExit`` if it is not by then."""
        for _ in range(600):
            gevent.sleep(0.05)
            try:
                sock = socket.create_connection(self.address, 1.0)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                ready = sock.recv(65536).startswith(b"HTTP/1.1 200")
                sock.close()
                if ready:
                    return
            except OSError:
                continue
        raise SystemExit(f"the front did not start: {Path(self.log.name).read_text()[-2000:]}")

    def throttle(self, share: float) -> None:
        """Stops the front for the rest of each period until the benchmark ends."""
        while not self.stop_event.wait(PERIOD_S * share) and share < 1:
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(PERIOD_S * (1 - share))
            self.process.send_signal(signal.SIGCONT)

    def stop(self) -> dict:
        """Ends the front and returns its last log line with counters, empty if there is none."""
        self.stop_event.set()
        self.throttle_thread.join()
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            gevent.sleep(0.02)
        gevent.killall(self.greenlets, block=False)
        lines = [
            orjson.loads(line)
            for line in Path(self.log.name).read_bytes().splitlines()
            if line.startswith(b"{")
        ]
        return next((line for line in reversed(lines) if line["event"] == "counters"), {})


class Clients:
    """Clients whose connections carry one request at a time; another is opened when all are busy."""

    def __init__(self, address: tuple[str, int]):
        self.address, self.idle_sockets, self.request_number = address, [], 0
        self.counts: Counter[str] = Counter()

    def send_request(self) -> None:
        """Sends a request and counts its outcome. If the kept connection has been closed meanwhile, the
        request is sent once more on a new one."""
        self.request_number += 1
        begin = time.monotonic()
        outcome = self.exchange(self.idle_sockets.pop(), begin) if self.idle_sockets else None
        if outcome is None:
            outcome = self.exchange(None, begin) or "never"
        self.counts[outcome] += 1

    def exchange(self, sock: socket.socket | None, begin: float) -> str | None:
        """The outcome of the current request; None if the connection ended without an answer."""
        outcome, keep = "never", False
        try:
            with gevent.Timeout((REQUEST_TIMEOUT_MS + 2 * SLACK_MS) / 1000, False):
                sock = sock or socket.create_connection(self.address)
                sock.sendall(
                    b"GET /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: look\r\nX-Remaining-Ms: %d\r\n\r\n"
                    % (self.request_number, REQUEST_TIMEOUT_MS)
                )
                received = b""
                while b"\r\n\r\n" not in received:
                    data = sock.recv(65536)
                    if not data:
                        return None
                    received += data
                duration_ms = (time.monotonic() - begin) * 1000
                status, keep = int(received[9:12]), b"Connection: close" not in received
                in_time = duration_ms <= REQUEST_TIMEOUT_MS
                outcome = "in time" if status == 200 and in_time else "refused" if in_time else "late"
                if duration_ms > REQUEST_TIMEOUT_MS + SLACK_MS:
                    outcome = "lost late"
        except OSError:
            return None
        finally:
            if sock is not None and keep:
                self.idle_sockets.append(sock)
            elif sock is not None:
                sock.close()
        return outcome

    def measure_capacity(self, clients: int, seconds: float) -> float:
        """Requests answered in time per second while each client waits for its answer (closed loop): the
        front's capacity."""
        self.counts.clear()
        end = time.monotonic() + seconds

        def run_client() -> None:
            while time.monotonic() < end:
                self.send_request()

        gevent.joinall([gevent.spawn(run_client) for _ in range(clients)])
        return self.counts["in time"] / seconds

    def offer_load(self, requests_per_s: float, seconds: float, random: Random) -> Counter[str]:
        """Outcomes of requests at random times that do not depend on earlier answers (open loop)."""
        self.counts.clear()
        greenlets, end = [], time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + random.expovariate(requests_per_s)) < end:
            gevent.sleep(max(0.0, due - time.monotonic()))
            greenlets.append(gevent.spawn(self.send_request))
        gevent.joinall(greenlets)
        return Counter(self.counts)


def table_row(name: str, counts: Counter[str], seconds: float, capacity: float) -> str:
    """One row of the table. ``capacity``: requests per second that the front can serve."""
    total = sum(counts.values())
    shares = [
        f"{counts[outcome] / max(1, total):.3f}"
        for outcome in ("in time", "refused", "late", "lost late", "never")
    ]
    return f"| {name} | {counts['in time'] / seconds / capacity:.2f} | " + " | ".join(shares) + " |"


@click.command()
@click.option("--tree", default=".", help="Checkout whose front is measured.")
@click.option("--share", default=0.3, show_default=True, help="Share of a core that the front gets.")
@click.option("--seconds", default=4.0, show_default=True, help="Duration of each load; 30 at most.")
@click.option(
    "--times", default="0.5,1,2,4", show_default=True, help="Loads, as multiples of the front's capacity."
)
@click.option(
    "--sockets", default=512, show_default=True, help="Limit on descriptors in the front's configuration."
)
@click.option("--seed", default=1, show_default=True)
def main(tree: str, share: float, seconds: float, times: str, sockets: int, seed: int) -> None:
    """Print the table of docs/design/answers.md."""
    cpu_began_s, began_s = time.process_time(), time.monotonic()
    seconds, random = min(seconds, 30.0), Random(seed)
    front = FrontProcess(tree, share, sockets)
    try:
        clients = Clients(front.address)
        clients.measure_capacity(8, 1.0)
        capacity = clients.measure_capacity(8, seconds)
        if not capacity:
            raise SystemExit("the front served no request in time")
        click.echo("| offered | served, of what it can | in time | refused | late | lost late | never |")
        click.echo("| --- | --- | --- | --- | --- | --- | --- |")
        for multiple in times.split(","):
            load = min(float(multiple) * capacity, 5000.0)
            click.echo(table_row(multiple, clients.offer_load(load, seconds, random), seconds, capacity))
            after = clients.offer_load(0.5 * capacity, 2.0, random)
            click.echo(table_row(f"0.5 right after {multiple}", after, 2.0, capacity))
    finally:
        counts = front.stop().get("counts", {})
    cpu_used_s = time.process_time() - cpu_began_s
    click.echo(f"\nThe load's own process used {cpu_used_s / (time.monotonic() - began_s):.2f} of a core.")
    counter_names = (
        "longest_unread_ms",
        "longest_delay_ms",
        "reqs_taken",
        "reqs_shed",
        "reqs_expired",
        "answers_overdue",
        "accepts_failed",
    )
    click.echo("\n" + ", ".join(f"{name} {counts.get(name, 0):g}" for name in counter_names))


if __name__ == "__main__":
    main()
