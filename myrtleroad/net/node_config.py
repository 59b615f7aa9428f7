"""What a front is told at its start and by each new configuration: NODE_CONFIG, decoded once a reading."""

import math
import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from myrtleroad import interface as i
from myrtleroad.settings import decode_settings, ns_to_ms

if TYPE_CHECKING:
    from myrtleroad.config import rules

Address = tuple[str, int]
PHASES = {
    "trial": i.RolloutPhase.ON_TRIAL,
    "rolling_back": i.RolloutPhase.GOING_BACK,
    "released": i.RolloutPhase.RELEASED,
    "withdrawn": i.RolloutPhase.WITHDRAWN,
}
STATUSES = {
    "in_service": i.ServerStatus.IN_SERVICE,
    "terminating": i.ServerStatus.DRAINING,
    "terminated": i.ServerStatus.GONE,
}


DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)  # by whoever decodes words


class ConfigError(Exception):
    """A configuration that cannot be read, in one plain line."""


@dataclass(slots=True)
class ListedServer:
    """One machine as discovery lists it; the row's index is the front's to give."""

    server_id: str
    address: Address
    entry: i.ServerEntry

    def as_draining(self) -> "ListedServer":
        return ListedServer(self.server_id, self.address, replace(self.entry, status=i.ServerStatus.DRAINING))


@dataclass(slots=True)
class ServerListing:
    version: int
    kind: i.ListKind
    servers: list[ListedServer]
    watched: bool = False  # changes that came as they happened, on a watch that has been followed all along


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """A new configuration names another address for a peer."""

    address: Address


@dataclass(slots=True)
class NodeConfig:
    name: str
    listen: Address
    discovery: Address
    platform: Address
    seed: int
    sockets: int
    facts: i.Settings
    initial_stage: i.StageUpdate
    initial_list: ServerListing
    routes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    connect_ms: float
    idle_ms: float

    def limits(self, cap: float | None = None, control: str | None = None) -> "rules.FrontLimits":
        """What a version of what operators set is held against: ``cap`` is the one told last, of a build on
        trial, else the start's; ``control`` the address that versions come from."""
        from myrtleroad.config import rules

        return rules.FrontLimits(
            routes={
                name.decode(): rules.RouteLimits(r.objective_ms, r.timeout_ms)
                for name, r in zip(self.routes, self.facts.routes, strict=True)
            },
            tenants={
                name.decode(): t.quota_per_s for name, t in zip(self.tenants, self.facts.tenants, strict=True)
            },
            zones=tuple(self.zones),
            max_attempts=self.facts.max_attempts,
            caps=self.facts.rollout.stage_caps,
            cap=self.initial_stage.cap
            if cap is None and self.initial_stage.phase == i.RolloutPhase.ON_TRIAL
            else cap,
            control_host=control,
        )


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text}")
    return host, int(port)


def bounded_number(value: Any, most: float = math.inf) -> float:
    """A figure that means something: a peer that spoils its words may send any."""
    number = float(value)
    if not 0 <= number <= most or number == math.inf:
        raise ValueError(f"out of range: {value}")
    return number


def non_negative_int(value: Any) -> int:
    return int(bounded_number(int(value)))


def json_object(text: bytes) -> dict[str, Any]:
    """An object in JSON; ValueError where it is anything else."""
    m = orjson.loads(text)
    if not isinstance(m, dict):
        raise ValueError("no object")
    return m


def listed_server(e: dict[str, Any], zones: dict[str, int], kinds: dict[str, int]) -> ListedServer:
    return ListedServer(
        server_id=str(e["instanceId"]),
        address=parse_address(e["hostPort"]),
        entry=i.ServerEntry(
            server=-1,
            status=STATUSES[e["lifecycle"]],
            build=non_negative_int(e.get("version_no") or 0),
            zone=zones.get(e.get("zone"), 0),
            cell=int(e.get("cell") or 0),
            server_type=kinds.get(e.get("machineType"), 0),
            weight=bounded_number(e.get("weight", 1.0)),
            started_at=bounded_number(e.get("startedAtMs") or 0),
        ),
    )


def listed_servers(
    told: list[dict[str, Any]], zones: dict[str, int], kinds: dict[str, int]
) -> tuple[dict[str, ListedServer], list[str | None]]:
    """The entries that can be read, by word, the last of each; and the words of those that cannot, None for
    one without a word. One bad entry must not hide the drains beside it."""
    if not isinstance(told, list):
        raise ValueError("no list of entries")
    read: dict[str, ListedServer] = {}
    unclear: list[str | None] = []
    for e in told:
        try:
            got = listed_server(e, zones, kinds)
            read[got.server_id] = got
        except DECODE_ERRORS:
            word = e.get("instanceId") if isinstance(e, dict) else None
            unclear.append(word if isinstance(word, str) else None)
            read.pop(word, None) if isinstance(word, str) else None
    return read, unclear


def server_listing(m: dict[str, Any], zones: dict[str, int], kinds: dict[str, int]) -> ServerListing:
    """A list in discovery's form, all of which must be clear: the start's ``known``."""
    kind = i.ListKind.WHOLE if m["reset"] else i.ListKind.CHANGES
    return ServerListing(
        non_negative_int(m["generation"]), kind, [listed_server(e, zones, kinds) for e in m["instances"]]
    )


def stage_update(fields: dict[str, Any], answers_vote: bool = False) -> i.StageUpdate:
    """The state of the newest build, from the start's news, the bulletin or the answer to a vote."""
    return i.StageUpdate(
        outcome=i.Outcome.COMPLETED,
        answers_vote=answers_vote,
        build=non_negative_int(fields["Revision"]),
        stage=non_negative_int(fields["Wave"]),
        phase=PHASES[fields["State"]],
        cap=bounded_number(fields["MaxShare"], 1.0),
        stage_age_ms=bounded_number(fields["AgeMs"]),
    )


def decode_node_config(text: bytes) -> NodeConfig:
    try:
        m = orjson.loads(text)
        s = m["settings"]
        zones = {name: n for n, name in enumerate(s.get("zones", ()))}
        kinds = {name: n for n, name in enumerate(s.get("kinds", ()))}
        known = server_listing(m["known"], zones, kinds)
        known.kind = i.ListKind.REMEMBERED
        return NodeConfig(
            name=m["name"],
            listen=parse_address(m["listen"]),
            discovery=parse_address(m["discovery"]),
            platform=parse_address(m["platform"]["address"]),
            seed=int(str(m["seed"]), 16),
            sockets=int(m["limits"]["sockets"]),
            facts=decode_settings(s),
            initial_stage=stage_update(m["platform"]["news"]),
            initial_list=known,
            routes={lane["name"].encode(): n for n, lane in enumerate(s["lanes"])},
            tenants={t["name"].encode(): n for n, t in enumerate(s.get("tenants") or ())},
            zones=zones,
            kinds=kinds,
            connect_ms=ns_to_ms(s["limits"]["connect_timeout"]),
            idle_ms=ns_to_ms(s["limits"]["idle_close"]),
        )
    except DECODE_ERRORS as error:
        raise ConfigError(f"configuration unclear: {type(error).__name__}: {error}") from None


def fields_needing_restart(old: NodeConfig, new: NodeConfig) -> list[str]:
    """What a new configuration changes and a running front cannot take up."""
    names = (
        "name",
        "listen",
        "sockets",
        "facts",
        "routes",
        "tenants",
        "zones",
        "kinds",
        "connect_ms",
        "idle_ms",
    )
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def read_node_config(path: str | None = None) -> NodeConfig:
    where = path or os.environ.get("NODE_CONFIG")
    if not where:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        text = Path(where).read_bytes()
    except OSError as error:
        raise ConfigError(f"configuration unreadable: {error}") from None
    return decode_node_config(text)
