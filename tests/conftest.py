"""Builders of settings, servers, balancers, configurations and peers for the tests."""

import gevent
import orjson
import pytest
from gevent import socket

from myrtleroad import interface
from myrtleroad.net import node_config
from myrtleroad.policy.balancer import Balancer


def build_settings(**changes):
    rollout = dict(
        vote_mode=interface.VoteMode.COUNT,
        votes_to_advance=1,
        votes_to_roll_back=1,
        vote_lifetime_ms=6000.0,
        vote_timeout_ms=2000.0,
        max_calls_per_s=10.0,
        stage_soak_ms=1000.0,
        stage_caps=(0.1, 0.5, 1.0),
        exposure_window_ms=2000.0,
        free_attempts=1.0,
        cap_per_route=False,
        retriable_only_stages=0,
        forbids_downgrade=False,
        counts_interval_ms=2000.0,
    )
    rollout.update(changes.pop("rollout", {}))
    values = dict(
        balancers=1,
        zone=0,
        routes=(
            interface.Route(
                interface.RetrySafety.RETRIABLE, interface.DedupScope.ALL, 0.0, 800.0, 2000.0, 2.0, 0.0
            ),
            interface.Route(
                interface.RetrySafety.DEDUPED, interface.DedupScope.ZONE, 2500.0, 800.0, 2000.0, 5.0, 0.0
            ),
            interface.Route(
                interface.RetrySafety.NON_RETRIABLE, interface.DedupScope.ALL, 0.0, 800.0, 2000.0, 5.0, 0.0
            ),
        ),
        tenants=(),
        over_share_benefit=1.0,
        benefit_by_work=False,
        server_rules=interface.ServerRules(250.0, 4000.0, 0.3, 2.0, 2000.0, 10000.0),
        rollout=interface.Rollout(**rollout),
        list_on_request=True,
        max_attempts=3,
        hedging_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ms=400.0,
        weights_are_capacity=False,
        load_column=None,
    )
    values.update(changes)
    return interface.Settings(**values)


def build_entry(server, build=1, zone=0, started_at=0.0, status=interface.ServerStatus.IN_SERVICE):
    return interface.ServerEntry(server, status, build, zone, 0, 0, 1.0, started_at)


def build_request(request_id=1, route=0, deadline=2000.0, dedup_key=None):
    return interface.Request(request_id, route, None, dedup_key, deadline, 0.0, False)


def build_stage_update(
    build=1,
    stage=0,
    phase=interface.RolloutPhase.RELEASED,
    cap=0.0,
    stage_age_ms=0.0,
    outcome=interface.Outcome.COMPLETED,
    answers_vote=False,
):
    return interface.StageUpdate(outcome, answers_vote, build, stage, phase, cap, stage_age_ms)


@pytest.fixture
def balancer():
    """A balancer at time 0 with three servers of build 1, released."""
    new_balancer = Balancer(build_settings(), 7, 0.0)
    new_balancer.update_stage(build_stage_update(), 0.0)
    new_balancer.update_server_list(
        interface.ServerListUpdate(
            interface.ListKind.WHOLE, [build_entry(0), build_entry(1), build_entry(2, zone=1)]
        ),
        0.0,
    )
    return new_balancer


# --- the front on sockets ---

SETTINGS_JSON = {
    "balancers": 1,
    "zone": 0,
    "zones": ["here", "there"],
    "kinds": ["small"],
    "lanes": [
        {"name": "look", "effect": "repeatable", "on_time": 800_000_000, "give_up": 2_000_000_000},
        {"name": "book", "effect": "once", "on_time": 800_000_000, "give_up": 2_000_000_000, "worth": 3.0},
    ],
    "tenants": [{"name": "acme", "share": 1.0, "quota_per_s": 50.0}],
    "obligations": {
        "drain_grace": 250_000_000,
        "cold": 4_000_000_000,
        "cold_share": 0.3,
        "overload_factor": 2.0,
        "fall": 2_000_000_000,
    },
    "specifics": {"stage_cap": [0.1, 1.0], "span": 2_000_000_000, "answer_wait": 500_000_000, "free": 1.0},
    "limits": {
        "max_attempts": 3,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after": 500_000_000,
        "connect_timeout": 250_000_000,
        "idle_close": 15_000_000_000,
    },
    "registry_mode": "on_request",
    "report": {"columns": ["active"]},
}
STAGE_FIELDS = {"Revision": 1, "Wave": 0, "State": "released", "MaxShare": 0.0, "AgeMs": 9000}


def discovery_entry(instance_id, address, **changes):
    return {
        "instanceId": instance_id,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "here",
        "machineType": "small",
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
        "version_no": 1,
    } | changes


def stage_event(**changes):
    """A stage update as an event of the platform's stream."""
    fields = "&".join(f"{name}={value}" for name, value in (STAGE_FIELDS | changes).items())
    return f"event: progress\ndata: {fields}\n\n".encode()


def build_config(servers=(), discovery=("127.0.0.1", 9), platform=("127.0.0.1", 9), **changes):
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": f"{platform[0]}:{platform[1]}", "news": STAGE_FIELDS},
        "known": {"generation": 7, "reset": True, "instances": list(servers)},
        "settings": SETTINGS_JSON,
    } | changes


def build_node_config(*servers, **changes):
    return node_config.decode_node_config(orjson.dumps(build_config(servers, **changes)))


class NullLog:
    """A log that discards everything."""

    def __call__(self, event, **fields):
        pass

    def is_enabled(self, level):
        return False


null_log = NullLog()


class Peer:
    """A listener on an ephemeral port that runs ``handler(sock)`` for each connection, handlers in order."""

    def __init__(self, *handlers):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.address = self.sock.getsockname()
        self.handlers = list(handlers)
        self.connections = 0
        gevent.spawn(self.run)

    def run(self):
        for handler in self.handlers:
            sock, _ = self.sock.accept()
            self.connections += 1
            gevent.spawn(self.serve, handler, sock)

    def serve(self, handler, sock):
        handler(sock)
        sock.close()


def read_request(sock):
    """One whole request as (head, body)."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += sock.recv(65536) or pytest.fail(f"ended after {received!r}")
    head, _, body = received.partition(b"\r\n\r\n")
    sizes = [line[15:] for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")]
    size = int(sizes[0]) if sizes else 0
    while len(body) < size:
        body += sock.recv(65536) or pytest.fail(f"ended after {len(body)} of {size} bytes")
    return head, body


@pytest.fixture(autouse=True)
def time_limit():
    """Fails a test that takes longer than 20 s."""
    with gevent.Timeout(20):
        yield
