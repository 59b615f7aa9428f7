"""The content of a version as a flat map from path to value. The map is persistent (immutable with structural
sharing): versions share what they have in common, and the difference of two is one pass over both.

A path is ("route", NAME, FIELD), ("tenant", NAME, FIELD), ("network", PREFIX), ("aside", KIND, NAME),
("trial", "most-share"), ("networks", "default") or ("log", "level")."""

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson
from immutables import Map

from myrtleroad.config.document import Fault, Value
from myrtleroad.config.schema import CheckedNode

EntryPath = tuple[str, ...]


NO_ENTRIES: Map[EntryPath, Value] = Map()


def flatten(
    roots: Iterable[CheckedNode],
    destination: dict[EntryPath, Value],
    positions: dict[EntryPath, tuple[int, int]],
    entries_per_slice: int = 128,
) -> Iterator[None]:
    """Collects the entries of a checked document and their positions; yields between slices. A node
    without a required value was reported by the schema check and is left out."""
    count = 0
    for root in roots:
        position = (root.node.line, root.node.column)
        if root.name in ("networks", "trial", "log"):
            for name, value in root.properties.items():
                destination[(root.name, name)], positions[(root.name, name)] = value, position
        for child in root.children:
            count += 1
            if count % entries_per_slice == 0:
                yield
            argument, position = str(child.arg), (child.node.line, child.node.column)
            match child.name:
                case "route" | "tenant":
                    child_entries = {
                        (child.name, argument, name): value for name, value in child.properties.items()
                    }
                case "admit" | "refuse":
                    child_entries = {("network", argument): child.name}
                case _:
                    child_entries = {("aside", child.name, argument): child.properties.get("note", "")}
            destination |= child_entries
            positions |= dict.fromkeys(child_entries, position)


def conflicting_networks(roots: Iterable[CheckedNode]) -> list[Fault]:
    """Reports networks that are both admitted and refused: the schema check looks at each kind by itself."""
    faults, by_network = [], {}
    for child in (child for root in roots if root.name == "networks" for child in root.children):
        earlier = by_network.setdefault(child.arg, child)
        if earlier is not child and earlier.name != child.name and child.arg is not None:
            text = f"{child.name} {child.arg!r} conflicts with {earlier.name} on line {earlier.node.line}"
            faults.append(Fault("duplicate", text, child.node.line, child.node.column))
    return faults


def content_digest(entries: Map[EntryPath, Value]) -> str:
    """A digest that is the same for the same entries, whatever their order or origin."""
    text = orjson.dumps(sorted((list(path), value) for path, value in entries.items()))
    return hashlib.sha256(text).hexdigest()[:32]


@dataclass(slots=True)
class Delta:
    """The difference between the entries of two versions."""

    changed: dict[EntryPath, Value] = field(default_factory=dict)
    removed: list[EntryPath] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.changed) + len(self.removed)


def diff(old: Map[EntryPath, Value], new: Map[EntryPath, Value]) -> Delta:
    """The difference that leads from the old entries to the new ones."""
    if old is new:
        return Delta()
    missing = object()
    changed = {path: value for path, value in new.items() if old.get(path, missing) != value}
    return Delta(changed, sorted(path for path in old if path not in new))


def apply_delta(base: Map[EntryPath, Value], delta: Delta) -> Map[EntryPath, Value]:
    """Applies a difference to the entries of a version. Raises KeyError if a removed entry is not there."""
    for path in delta.removed:
        base = base.delete(path)
    return base.update(delta.changed)
