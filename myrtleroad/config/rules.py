"""The rules of a version: what operators may narrow of what a front was told, and what holds in effect.

A version may narrow what platform and settings allow, never widen it. What was true when a version was
accepted can stop being so: the effective value is the lower one of now, and the version stays."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

from myrtleroad.config.document import Fault, Value
from myrtleroad.config.entries import EntryPath
from myrtleroad.config.networks import Networks


@dataclass(slots=True, frozen=True)
class RouteLimits:
    objective_ms: float
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class FrontLimits:
    """What a version is held against: the settings, and the cap that the deployer has told last.

    ``cap``: of the build on trial, a share; None where none is on trial, then ``caps`` (by stage) bound it.
    ``control``: the address from which versions come, None where they come from a file."""

    routes: dict[str, RouteLimits]
    tenants: dict[str, float]  # their quota, reqs a second
    zones: tuple[str, ...]
    max_attempts: int
    caps: tuple[float, ...]
    cap: float | None = None
    control_host: str | None = None

    def max_trial_share(self) -> float:
        return self.cap if self.cap is not None else max(self.caps, default=0.0)


Positions = dict[EntryPath, tuple[int, int]]


def check_entries(
    entries: Map[EntryPath, Value],
    told: FrontLimits,
    where: Positions,
    into: list[Fault],
    step: int = 128,
) -> Iterator[None]:
    """Every rule that the content breaks goes to ``into``; yields between slices."""
    for n, (path, value) in enumerate(entries.items(), 1):
        if path[0] != "network":
            into += (replace(f, path=path) for f in _check_entry(path, value, told, where.get(path, (0, 0))))
        if n % step == 0:
            yield
    into += _check_combinations(entries, told)
    yield
    if told.control_host is not None:
        tree = Networks()
        yield from tree.build_in_slices(*network_prefixes(entries))
        if not tree.admits(told.control_host):
            at = where.get(("network", tree.matching_prefix(told.control_host) or ""), (0, 0))
            into.append(Fault("control", f"refuses {told.control_host}, from which versions come", *at))


def _check_entry(path: EntryPath, value: Value, told: FrontLimits, at: tuple[int, int]) -> Iterable[Fault]:
    match path:
        case ("route", name, what):
            if name not in told.routes:
                yield Fault("reference", f"no route {name!r}; there are {format_names(told.routes)}", *at)
            else:
                yield from _check_route(name, what, value, told, at)
        case ("tenant", name, what):
            if name not in told.tenants:
                yield Fault("reference", f"no tenant {name!r}; there are {format_names(told.tenants)}", *at)
            elif what == "rate" and value > told.tenants[name]:
                yield _widening_fault(
                    f"tenant {name} rate", value, told.tenants[name], "a second, as told", at
                )
        case ("trial", "most-share") if value > told.max_trial_share():
            yield _widening_fault(
                "trial most-share", value, told.max_trial_share(), "as the deployer told", at
            )
        case ("aside", "zone", name) if name not in told.zones:
            yield Fault("reference", f"no zone {name!r}; there are {format_names(told.zones)}", *at)


def _check_route(
    name: str, what: str, value: Value, told: FrontLimits, at: tuple[int, int]
) -> Iterable[Fault]:
    route = told.routes[name]
    most = {"objective": route.objective_ms, "timeout": route.timeout_ms, "most-tries": told.max_attempts}
    if what in most and value > most[what]:
        yield _widening_fault(f"route {name} {what}", value, most[what], "as told", at)


def _check_combinations(entries: Map[EntryPath, Value], told: FrontLimits) -> Iterable[Fault]:
    """Rules over more than one entry; they have no single place."""
    for name, route in told.routes.items():
        objective = entries.get(("route", name, "objective"), route.objective_ms)
        timeout = entries.get(("route", name, "timeout"), route.timeout_ms)
        if objective > timeout and ("route", name, "objective") in entries:
            text = f"route {name}: an objective of {objective:g} ms over a timeout of {timeout:g}"
            yield Fault("range", text)
    aside = [z for z in told.zones if ("aside", "zone", z) in entries]
    if told.zones and len(aside) == len(told.zones):
        yield Fault("control", "every zone is set aside: no machine would be left")


def _widening_fault(what: str, value: Value, most: float, why: str, at: tuple[int, int]) -> Fault:
    return Fault("widens", f"{what} is {value:g}, allowed is {most:g} at most, {why}", *at)


def format_names(names: Iterable[str]) -> str:
    names = list(names)
    return ", ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "") or "none"


def network_prefixes(entries: Map[EntryPath, Value]) -> tuple[Iterator[tuple[str, bool]], bool]:
    """What the networks of a version are made from: prefixes and whether each is admitted, and the
    default."""
    default = entries.get(("networks", "default"), "admit") == "admit"
    return ((p[1], v == "admit") for p, v in entries.items() if p[0] == "network"), default


def build_networks(entries: Map[EntryPath, Value]) -> Networks:
    return Networks(*network_prefixes(entries))


@dataclass(slots=True, frozen=True)
class EffectiveValue:
    """A value in effect, and whose it is: ``version`` or ``told``."""

    value: float
    source: str


def lower_of(version: Value, told: float) -> EffectiveValue:
    """The lower of both; where the version says nothing, what was told."""
    if version is None or version >= told:
        return EffectiveValue(told, "told")
    return EffectiveValue(version, "version")


@dataclass(slots=True)
class EffectiveLimits:
    """What holds in effect, of one version at one moment."""

    routes: dict[str, dict[str, EffectiveValue]] = field(default_factory=dict)
    tenants: dict[str, dict[str, EffectiveValue]] = field(default_factory=dict)
    trial_share: EffectiveValue = EffectiveValue(1.0, "told")
    drained_servers: frozenset[str] = frozenset()
    drained_zones: frozenset[str] = frozenset()
    networks: Networks | None = None  # None admits all
    log_level: str = "info"


def effective_limits(entries: Map[EntryPath, Value], told: FrontLimits) -> EffectiveLimits:
    """The bounds of now: whatever the version says, never more than what is told at this moment."""
    bounds = EffectiveLimits()
    for name, route in told.routes.items():
        said = {
            f: entries.get(("route", name, f)) for f in ("objective", "timeout", "most-tries", "retry-budget")
        }
        timeout = lower_of(said["timeout"], route.timeout_ms)
        bounds.routes[name] = {
            "objective": lower_of(said["objective"], min(route.objective_ms, timeout.value)),
            "timeout": timeout,
            "most-tries": lower_of(said["most-tries"], told.max_attempts),
            "retry-budget": lower_of(said["retry-budget"], 1.0),
        }
    for name, quota in told.tenants.items():
        said = {f: entries.get(("tenant", name, f)) for f in ("rate", "most-open")}
        bounds.tenants[name] = {
            "rate": lower_of(said["rate"], quota),
            "most-open": lower_of(said["most-open"], float("inf")),
        }
    bounds.trial_share = lower_of(entries.get(("trial", "most-share")), told.max_trial_share())
    bounds.drained_servers = frozenset(p[2] for p in entries if p[:2] == ("aside", "machine"))
    bounds.drained_zones = frozenset(p[2] for p in entries if p[:2] == ("aside", "zone"))
    if any(p[0] in ("network", "networks") for p in entries):
        bounds.networks = build_networks(entries)
    bounds.log_level = entries.get(("log", "level"), "info")
    return bounds
