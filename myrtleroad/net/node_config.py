"""The configuration of a front at its start and at each reload: NODE_CONFIG, decoded once per read."""

import math
import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from myrtleroad import interface
from myrtleroad.settings import decode_settings, ns_to_ms

if TYPE_CHECKING:
    from myrtleroad.config import rules

Address = tuple[str, int]
MAX_NAME_CHARACTERS = 256  # of a server's ID or address, as long as a DNS name with a port
DEFAULT_MEMORY_MB = 192.0  # where the configuration names no limit
PHASES = {
    "trial": interface.RolloutPhase.ON_TRIAL,
    "rolling_back": interface.RolloutPhase.GOING_BACK,
    "released": interface.RolloutPhase.RELEASED,
    "withdrawn": interface.RolloutPhase.WITHDRAWN,
}
STATUSES = {
    "in_service": interface.ServerStatus.IN_SERVICE,
    "terminating": interface.ServerStatus.DRAINING,
    "terminated": interface.ServerStatus.GONE,
}


# raised by functions that decode data of other processes
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class ConfigError(Exception):
    """A configuration that cannot be read; the message is one line."""


@dataclass(slots=True)
class ListedServer:
    """One server as discovery lists it; the front assigns the number in ``entry.server``."""

    server_id: str
    address: Address
    entry: interface.ServerEntry

    def as_draining(self) -> "ListedServer":
        """The same server with the status draining."""
        return ListedServer(
            self.server_id, self.address, replace(self.entry, status=interface.ServerStatus.DRAINING)
        )


@dataclass(slots=True)
class ServerListing:
    """A server list, or changes to one, in discovery's order."""

    version: int
    kind: interface.ListKind
    servers: list[ListedServer]
    # changes received as they happened, on a watch that was followed without interruption
    watched: bool = False


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """A new configuration gives a peer another address."""

    address: Address


@dataclass(slots=True)
class NodeConfig:
    """A front's whole configuration, decoded."""

    name: str
    listen: Address
    discovery: Address
    platform: Address
    seed: int
    sockets: int
    facts: interface.Settings
    initial_stage: interface.StageUpdate
    initial_list: ServerListing
    routes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    connect_ms: float
    idle_ms: float
    memory_mb: float

    def limits(self, cap: float | None = None, control: str | None = None) -> "rules.FrontLimits":
        """Limits that a configuration version is checked against. ``cap`` is the latest one received for a
        build on trial, or else the initial one; ``control`` is the address of the control service."""
        from myrtleroad.config import rules

        return rules.FrontLimits(
            routes={
                name.decode(): rules.RouteLimits(route.objective_ms, route.timeout_ms)
                for name, route in zip(self.routes, self.facts.routes, strict=True)
            },
            tenants={
                name.decode(): tenant.quota_per_s
                for name, tenant in zip(self.tenants, self.facts.tenants, strict=True)
            },
            zones=tuple(self.zones),
            max_attempts=self.facts.max_attempts,
            caps=self.facts.rollout.stage_caps,
            cap=self.initial_stage.cap
            if cap is None and self.initial_stage.phase == interface.RolloutPhase.ON_TRIAL
            else cap,
            control_host=control,
        )


def parse_address(text: str) -> Address:
    """Split ``host:port``. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or len(text) > MAX_NAME_CHARACTERS or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text[:MAX_NAME_CHARACTERS]}")
    return host, int(port)


def bounded_number(value: Any, maximum: float = math.inf) -> float:
    """A finite number from 0 to ``maximum``; a peer that corrupts its data may send anything. Raises
    ValueError."""
    number = float(value)
    if not 0 <= number <= maximum or number == math.inf:
        raise ValueError(f"out of range: {value}")
    return number


def non_negative_int(value: Any) -> int:
    """An integer of at least 0. Raises one of ``DECODE_ERRORS``."""
    return int(bounded_number(int(value)))


def json_object(text: bytes) -> dict[str, Any]:
    """Decode a JSON object; raises ValueError for anything else."""
    data = orjson.loads(text)
    if not isinstance(data, dict):
        raise ValueError("not an object")
    return data


def listed_server(fields: dict[str, Any], zones: dict[str, int], kinds: dict[str, int]) -> ListedServer:
    """Decode one server entry of discovery. Raises one of ``DECODE_ERRORS``."""
    if len(str(fields["instanceId"])) > MAX_NAME_CHARACTERS:
        raise ValueError("instanceId too long")
    return ListedServer(
        server_id=str(fields["instanceId"]),
        address=parse_address(fields["hostPort"]),
        entry=interface.ServerEntry(
            server=-1,
            status=STATUSES[fields["lifecycle"]],
            build=non_negative_int(fields.get("version_no") or 0),
            zone=zones.get(fields.get("zone"), 0),
            cell=int(fields.get("cell") or 0),
            server_type=kinds.get(fields.get("machineType"), 0),
            weight=bounded_number(fields.get("weight", 1.0)),
            started_at=bounded_number(fields.get("startedAtMs") or 0),
        ),
    )


def listed_servers(
    entries: list[dict[str, Any]], zones: dict[str, int], kinds: dict[str, int]
) -> tuple[dict[str, ListedServer], list[str | None]]:
    """Decode the entries that are valid, by server ID, the last of each; and list the IDs of those that are
    not, None for an entry without ID. One invalid entry must not hide the drains listed with it."""
    if not isinstance(entries, list):
        raise ValueError("not a list of entries")
    servers: dict[str, ListedServer] = {}
    invalid_ids: list[str | None] = []
    for fields in entries:
        try:
            server = listed_server(fields, zones, kinds)
            servers[server.server_id] = server
        except DECODE_ERRORS:
            server_id = fields.get("instanceId") if isinstance(fields, dict) else None
            invalid_ids.append(server_id if isinstance(server_id, str) else None)
            servers.pop(server_id, None) if isinstance(server_id, str) else None
    return servers, invalid_ids


def server_listing(data: dict[str, Any], zones: dict[str, int], kinds: dict[str, int]) -> ServerListing:
    """Decode a list in discovery's format in which every entry must be valid: the initial ``known`` list."""
    kind = interface.ListKind.WHOLE if data["reset"] else interface.ListKind.CHANGES
    return ServerListing(
        non_negative_int(data["generation"]),
        kind,
        [listed_server(fields, zones, kinds) for fields in data["instances"]],
    )


def stage_update(fields: dict[str, Any], answers_vote: bool = False) -> interface.StageUpdate:
    """The state of the newest build, from the initial stage, a stage update or the response to a vote."""
    return interface.StageUpdate(
        outcome=interface.Outcome.COMPLETED,
        answers_vote=answers_vote,
        build=non_negative_int(fields["Revision"]),
        stage=non_negative_int(fields["Wave"]),
        phase=PHASES[fields["State"]],
        cap=bounded_number(fields["MaxShare"], 1.0),
        stage_age_ms=bounded_number(fields["AgeMs"]),
    )


def decode_node_config(text: bytes) -> NodeConfig:
    """Decode a node configuration in JSON. Raises ConfigError."""
    try:
        data = orjson.loads(text)
        settings_data = data["settings"]
        zones = {name: number for number, name in enumerate(settings_data.get("zones", ()))}
        kinds = {name: number for number, name in enumerate(settings_data.get("kinds", ()))}
        known = server_listing(data["known"], zones, kinds)
        known.kind = interface.ListKind.REMEMBERED
        return NodeConfig(
            name=data["name"],
            listen=parse_address(data["listen"]),
            discovery=parse_address(data["discovery"]),
            platform=parse_address(data["platform"]["address"]),
            seed=int(str(data["seed"]), 16),
            sockets=int(data["limits"]["sockets"]),
            facts=decode_settings(settings_data),
            initial_stage=stage_update(data["platform"]["news"]),
            initial_list=known,
            routes={lane["name"].encode(): number for number, lane in enumerate(settings_data["lanes"])},
            tenants={
                tenant["name"].encode(): number
                for number, tenant in enumerate(settings_data.get("tenants") or ())
            },
            zones=zones,
            kinds=kinds,
            connect_ms=ns_to_ms(settings_data["limits"]["connect_timeout"]),
            idle_ms=ns_to_ms(settings_data["limits"]["idle_close"]),
            memory_mb=bounded_number(data["limits"].get("memory_mb", DEFAULT_MEMORY_MB)),
        )
    except DECODE_ERRORS as error:
        raise ConfigError(f"configuration invalid: {type(error).__name__}: {error}") from None


def fields_needing_restart(old: NodeConfig, new: NodeConfig) -> list[str]:
    """Names of changed fields that a running front cannot apply."""
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
        "memory_mb",
    )
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def read_node_config(path: str | None = None) -> NodeConfig:
    """Read the node configuration from a file, by default the one that NODE_CONFIG names. Raises
    ConfigError."""
    config_path = path or os.environ.get("NODE_CONFIG")
    if not config_path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        text = Path(config_path).read_bytes()
    except OSError as error:
        raise ConfigError(f"configuration unreadable: {error}") from None
    return decode_node_config(text)
