"""The rules of a version: what operators may narrow of what a front was told, and what holds in effect.

A version may narrow what platform and settings allow, never widen it. What was true when a version was
accepted can stop being so: the effective value is the lower one of now, and the version stays."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

from myrtleroad.config.document import Fault, Value
from myrtleroad.config.entries import Path
from myrtleroad.config.nets import Networks


@dataclass(slots=True, frozen=True)
class RouteTold:
    objective_ms: float
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class Told:
    """What a version is held against: the settings, and the cap that the deployer has told last.

    ``cap``: of the build on trial, a share; None where none is on trial, then ``caps`` (by stage) bound it.
    ``control``: the address from which versions come, None where they come from a file."""

    routes: dict[str, RouteTold]
    tenants: dict[str, float]  # their quota, reqs a second
    zones: tuple[str, ...]
    most_tries: int
    caps: tuple[float, ...]
    cap: float | None = None
    control: str | None = None

    def most_share(self) -> float:
        return self.cap if self.cap is not None else max(self.caps, default=0.0)


Where = dict[Path, tuple[int, int]]


def faults(
    entries: Map[Path, Value],
    told: Told,
    where: Where,
    into: list[Fault],
    step: int = 128,
) -> Iterator[None]:
    """Every rule that the content breaks goes to ``into``; yields between slices."""
    for n, (path, value) in enumerate(entries.items(), 1):
        if path[0] != "network":
            into += (replace(f, path=path) for f in _one(path, value, told, where.get(path, (0, 0))))
        if n % step == 0:
            yield
    into += _together(entries, told)
    yield
    if told.control is not None:
        tree = Networks()
        yield from tree.steps(*prefixes(entries))
        if not tree.admits(told.control):
            at = where.get(("network", tree.holder(told.control) or ""), (0, 0))
            into.append(Fault("control", f"refuses {told.control}, from which versions come", *at))


def _one(path: Path, value: Value, told: Told, at: tuple[int, int]) -> Iterable[Fault]:
    match path:
        case ("route", name, what):
            if name not in told.routes:
                yield Fault("reference", f"no route {name!r}; there are {listed(told.routes)}", *at)
            else:
                yield from _route(name, what, value, told, at)
        case ("tenant", name, what):
            if name not in told.tenants:
                yield Fault("reference", f"no tenant {name!r}; there are {listed(told.tenants)}", *at)
            elif what == "rate" and value > told.tenants[name]:
                yield _widens(f"tenant {name} rate", value, told.tenants[name], "a second, as told", at)
        case ("trial", "most-share") if value > told.most_share():
            yield _widens("trial most-share", value, told.most_share(), "as the deployer told", at)
        case ("aside", "zone", name) if name not in told.zones:
            yield Fault("reference", f"no zone {name!r}; there are {listed(told.zones)}", *at)


def _route(name: str, what: str, value: Value, told: Told, at: tuple[int, int]) -> Iterable[Fault]:
    route = told.routes[name]
    most = {"objective": route.objective_ms, "timeout": route.timeout_ms, "most-tries": told.most_tries}
    if what in most and value > most[what]:
        yield _widens(f"route {name} {what}", value, most[what], "as told", at)


def _together(entries: Map[Path, Value], told: Told) -> Iterable[Fault]:
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


def _widens(what: str, value: Value, most: float, why: str, at: tuple[int, int]) -> Fault:
    return Fault("widens", f"{what} is {value:g}, allowed is {most:g} at most, {why}", *at)


def listed(names: Iterable[str]) -> str:
    names = list(names)
    return ", ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "") or "none"


def prefixes(entries: Map[Path, Value]) -> tuple[Iterator[tuple[str, bool]], bool]:
    """What the networks of a version are made from: prefixes and whether each is admitted, and the
    default."""
    default = entries.get(("networks", "default"), "admit") == "admit"
    return ((p[1], v == "admit") for p, v in entries.items() if p[0] == "network"), default


def networks(entries: Map[Path, Value]) -> Networks:
    return Networks(*prefixes(entries))


@dataclass(slots=True, frozen=True)
class Bound:
    """A value in effect, and whose it is: ``version`` or ``told``."""

    value: float
    by: str


def lower(version: Value, told: float) -> Bound:
    """The lower of both; where the version says nothing, what was told."""
    if version is None or version >= told:
        return Bound(told, "told")
    return Bound(version, "version")


@dataclass(slots=True)
class Bounds:
    """What holds in effect, of one version at one moment."""

    routes: dict[str, dict[str, Bound]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Bound]] = field(default_factory=dict)
    trial_share: Bound = Bound(1.0, "told")
    machines_aside: frozenset[str] = frozenset()
    zones_aside: frozenset[str] = frozenset()
    networks: Networks | None = None  # None admits all
    log_level: str = "info"


def effective(entries: Map[Path, Value], told: Told) -> Bounds:
    """The bounds of now: whatever the version says, never more than what is told at this moment."""
    bounds = Bounds()
    for name, route in told.routes.items():
        said = {
            f: entries.get(("route", name, f)) for f in ("objective", "timeout", "most-tries", "retry-budget")
        }
        timeout = lower(said["timeout"], route.timeout_ms)
        bounds.routes[name] = {
            "objective": lower(said["objective"], min(route.objective_ms, timeout.value)),
            "timeout": timeout,
            "most-tries": lower(said["most-tries"], told.most_tries),
            "retry-budget": lower(said["retry-budget"], 1.0),
        }
    for name, quota in told.tenants.items():
        said = {f: entries.get(("tenant", name, f)) for f in ("rate", "most-open")}
        bounds.tenants[name] = {
            "rate": lower(said["rate"], quota),
            "most-open": lower(said["most-open"], float("inf")),
        }
    bounds.trial_share = lower(entries.get(("trial", "most-share")), told.most_share())
    bounds.machines_aside = frozenset(p[2] for p in entries if p[:2] == ("aside", "machine"))
    bounds.zones_aside = frozenset(p[2] for p in entries if p[:2] == ("aside", "zone"))
    if any(p[0] in ("network", "networks") for p in entries):
        bounds.networks = networks(entries)
    bounds.log_level = entries.get(("log", "level"), "info")
    return bounds
