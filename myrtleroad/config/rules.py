"""The rules of a version: what operators may narrow of a front's settings, and which limits are in effect.

A version may narrow what the platform and the settings allow, never widen it. If they allow less than an
accepted version at a later time, the lower value is in effect and the version stays in force."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

from myrtleroad.config.document import Fault, Value
from myrtleroad.config.entries import EntryPath
from myrtleroad.config.networks import Networks


@dataclass(slots=True, frozen=True)
class RouteLimits:
    """The limits of one route in the settings."""

    objective_ms: float
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """What a version is checked against: the settings and the platform's current cap.

    ``cap``: share of the build on trial; None if no build is on trial, then ``caps`` (by stage) apply.
    ``control_host``: the host that versions come from, None if they come from a file."""

    routes: dict[str, RouteLimits]
    tenants: dict[str, float]  # quota in requests per second
    zones: tuple[str, ...]
    max_attempts: int
    caps: tuple[float, ...]
    cap: float | None = None
    control_host: str | None = None

    def max_trial_share(self) -> float:
        """The highest share that the build on trial may get."""
        return self.cap if self.cap is not None else max(self.caps, default=0.0)


Positions = dict[EntryPath, tuple[int, int]]


def check_entries(
    entries: Map[EntryPath, Value],
    front_limits: FrontLimits,
    positions: Positions,
    faults: list[Fault],
    entries_per_slice: int = 128,
) -> Iterator[None]:
    """Appends a fault to ``faults`` for every rule that the entries break; yields between slices."""
    for count, (path, value) in enumerate(entries.items(), 1):
        if path[0] != "network":
            faults += (
                replace(fault, path=path)
                for fault in _check_entry(path, value, front_limits, positions.get(path, (0, 0)))
            )
        if count % entries_per_slice == 0:
            yield
    faults += _check_combinations(entries, front_limits)
    yield
    if front_limits.control_host is not None:
        networks = Networks()
        yield from networks.build_in_slices(*network_prefixes(entries))
        if not networks.admits(front_limits.control_host):
            position = positions.get(
                ("network", networks.matching_prefix(front_limits.control_host) or ""), (0, 0)
            )
            faults.append(
                Fault(
                    "control",
                    f"the networks refuse {front_limits.control_host}, the host of the control service",
                    *position,
                )
            )


def _check_entry(
    path: EntryPath, value: Value, front_limits: FrontLimits, position: tuple[int, int]
) -> Iterable[Fault]:
    match path:
        case ("route", name, setting):
            if name not in front_limits.routes:
                yield Fault(
                    "reference",
                    f"unknown route {name!r}; known: {format_names(front_limits.routes)}",
                    *position,
                )
            else:
                yield from _check_route(name, setting, value, front_limits, position)
        case ("tenant", name, setting):
            if name not in front_limits.tenants:
                yield Fault(
                    "reference",
                    f"unknown tenant {name!r}; known: {format_names(front_limits.tenants)}",
                    *position,
                )
            elif setting == "rate" and value > front_limits.tenants[name]:
                yield _widening_fault(
                    f"tenant {name} rate",
                    value,
                    front_limits.tenants[name],
                    "requests per second by the settings",
                    position,
                )
        case ("trial", "most-share") if value > front_limits.max_trial_share():
            yield _widening_fault(
                "trial most-share",
                value,
                front_limits.max_trial_share(),
                "by the cap of the deployer",
                position,
            )
        case ("aside", "zone", name) if name not in front_limits.zones:
            yield Fault(
                "reference", f"unknown zone {name!r}; known: {format_names(front_limits.zones)}", *position
            )


def _check_route(
    name: str, setting: str, value: Value, front_limits: FrontLimits, position: tuple[int, int]
) -> Iterable[Fault]:
    route = front_limits.routes[name]
    maximum = {
        "objective": route.objective_ms,
        "timeout": route.timeout_ms,
        "most-tries": front_limits.max_attempts,
    }
    if setting in maximum and value > maximum[setting]:
        yield _widening_fault(f"route {name} {setting}", value, maximum[setting], "by the settings", position)


def _check_combinations(entries: Map[EntryPath, Value], front_limits: FrontLimits) -> Iterable[Fault]:
    """Rules over more than one entry; their faults have no single position."""
    for name, route in front_limits.routes.items():
        objective = entries.get(("route", name, "objective"), route.objective_ms)
        timeout = entries.get(("route", name, "timeout"), route.timeout_ms)
        if objective > timeout and ("route", name, "objective") in entries:
            text = f"route {name}: the objective of {objective:g} ms exceeds the timeout of {timeout:g}"
            yield Fault("range", text)
    aside = [zone for zone in front_limits.zones if ("aside", "zone", zone) in entries]
    if front_limits.zones and len(aside) == len(front_limits.zones):
        yield Fault("control", "every zone is set aside: no server would be left")


def _widening_fault(
    setting: str, value: Value, maximum: float, reason: str, position: tuple[int, int]
) -> Fault:
    return Fault("widens", f"{setting} is {value:g}, at most {maximum:g} is allowed {reason}", *position)


def format_names(names: Iterable[str]) -> str:
    """The first names of a list as text for messages."""
    names = list(names)
    return ", ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "") or "none"


def network_prefixes(entries: Map[EntryPath, Value]) -> tuple[Iterator[tuple[str, bool]], bool]:
    """The arguments of ``Networks`` for a version: its prefixes, each with whether it is admitted, and the
    default."""
    default = entries.get(("networks", "default"), "admit") == "admit"
    return ((path[1], value == "admit") for path, value in entries.items() if path[0] == "network"), default


def build_networks(entries: Map[EntryPath, Value]) -> Networks:
    """The networks of a version."""
    return Networks(*network_prefixes(entries))


@dataclass(slots=True, frozen=True)
class EffectiveValue:
    """A value in effect and its source: ``version`` or ``told`` (the settings)."""

    value: float
    source: str


def lower_of(requested: Value, allowed: float) -> EffectiveValue:
    """The lower of the requested and the allowed value; the allowed one if none is requested."""
    if requested is None or requested >= allowed:
        return EffectiveValue(allowed, "told")
    return EffectiveValue(requested, "version")


@dataclass(slots=True)
class EffectiveLimits:
    """The limits in effect for one version at one moment."""

    routes: dict[str, dict[str, EffectiveValue]] = field(default_factory=dict)
    tenants: dict[str, dict[str, EffectiveValue]] = field(default_factory=dict)
    trial_share: EffectiveValue = EffectiveValue(1.0, "told")
    drained_servers: frozenset[str] = frozenset()
    drained_zones: frozenset[str] = frozenset()
    networks: Networks | None = None  # None admits all
    log_level: str = "info"


def effective_limits(entries: Map[EntryPath, Value], front_limits: FrontLimits) -> EffectiveLimits:
    """The limits in effect now: never more than the settings and the cap allow at this moment."""
    limits = EffectiveLimits()
    for name, route in front_limits.routes.items():
        requested = {
            setting: entries.get(("route", name, setting))
            for setting in ("objective", "timeout", "most-tries", "retry-budget")
        }
        timeout = lower_of(requested["timeout"], route.timeout_ms)
        limits.routes[name] = {
            "objective": lower_of(requested["objective"], min(route.objective_ms, timeout.value)),
            "timeout": timeout,
            "most-tries": lower_of(requested["most-tries"], front_limits.max_attempts),
            "retry-budget": lower_of(requested["retry-budget"], 1.0),
        }
    for name, quota in front_limits.tenants.items():
        requested = {setting: entries.get(("tenant", name, setting)) for setting in ("rate", "most-open")}
        limits.tenants[name] = {
            "rate": lower_of(requested["rate"], quota),
            "most-open": lower_of(requested["most-open"], float("inf")),
        }
    limits.trial_share = lower_of(entries.get(("trial", "most-share")), front_limits.max_trial_share())
    limits.drained_servers = frozenset(path[2] for path in entries if path[:2] == ("aside", "machine"))
    limits.drained_zones = frozenset(path[2] for path in entries if path[:2] == ("aside", "zone"))
    if any(path[0] in ("network", "networks") for path in entries):
        limits.networks = build_networks(entries)
    limits.log_level = entries.get(("log", "level"), "info")
    return limits
