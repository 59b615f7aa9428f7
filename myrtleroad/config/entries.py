"""A version's content as one flat map from path to value, kept as a persistent map: versions share what they
have in common, and the difference of two is a walk.

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
    into: dict[EntryPath, Value],
    where: dict[EntryPath, tuple[int, int]],
    step: int = 128,
) -> Iterator[None]:
    """What a document sets, and where; yields between slices. What has no value where one is needed was told
    by the check and is left out."""
    seen = 0
    for root in roots:
        at = (root.node.line, root.node.column)
        if root.name in ("networks", "trial", "log"):
            for name, v in root.properties.items():
                into[(root.name, name)], where[(root.name, name)] = v, at
        for c in root.children:
            seen += 1
            if seen % step == 0:
                yield
            word, at = str(c.arg), (c.node.line, c.node.column)
            match c.name:
                case "route" | "tenant":
                    paths = {(c.name, word, name): v for name, v in c.properties.items()}
                case "admit" | "refuse":
                    paths = {("network", word): c.name}
                case _:
                    paths = {("aside", c.name, word): c.properties.get("note", "")}
            into |= paths
            where |= dict.fromkeys(paths, at)


def conflicting_networks(roots: Iterable[CheckedNode]) -> list[Fault]:
    """Networks that are admitted and refused: the check sees each kind alone."""
    faults, first = [], {}
    for c in (c for root in roots if root.name == "networks" for c in root.children):
        other = first.setdefault(c.arg, c)
        if other is not c and other.name != c.name and c.arg is not None:
            text = f"{c.name} {c.arg!r} stands as {other.name} on line {other.node.line}"
            faults.append(Fault("duplicate", text, c.node.line, c.node.column))
    return faults


def content_digest(entries: Map[EntryPath, Value]) -> str:
    """The same for the same content, however it was written or came about."""
    text = orjson.dumps(sorted((list(p), v) for p, v in entries.items()))
    return hashlib.sha256(text).hexdigest()[:32]


@dataclass(slots=True)
class Delta:
    """From one content to another: what is set, what is dropped."""

    changed: dict[EntryPath, Value] = field(default_factory=dict)
    removed: list[EntryPath] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.changed) + len(self.removed)


def diff(old: Map[EntryPath, Value], new: Map[EntryPath, Value]) -> Delta:
    if old is new:
        return Delta()
    missing = object()
    changed = {p: v for p, v in new.items() if old.get(p, missing) != v}
    return Delta(changed, sorted(p for p in old if p not in new))


def apply_delta(base: Map[EntryPath, Value], delta: Delta) -> Map[EntryPath, Value]:
    """Raises KeyError where something is dropped that is not there."""
    for path in delta.removed:
        base = base.delete(path)
    return base.update(delta.changed)
