"""One version, from its text to what is held: read, checked and held against what was told, in slices."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from immutables import Map

from myrtleroad.config import entries as content
from myrtleroad.config import rules
from myrtleroad.config.document import Fault, Reading, Value, released
from myrtleroad.config.entries import Path
from myrtleroad.config.schema import VERSION, Check


@dataclass(slots=True)
class Version:
    """``number`` 0 and no faults never go together: a version without a number is at fault."""

    number: int = 0
    confirm_ms: float | None = None
    note: str = ""
    entries: Map[Path, Value] = content.EMPTY
    where: rules.Where = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def steps(text: bytes, told: rules.Told | None, into: Version) -> Iterator[None]:
    """Reads a version into ``into`` and yields between slices. All mistakes of the text are told in one go;
    the rules are asked only of a text that fits the schema, as they would tell the same again."""
    reading = Reading(text)
    yield from reading.steps()
    check = Check(reading.roots, VERSION)
    yield from check.steps()
    into.faults = reading.faults + check.faults
    head = next((c for c in check.roots if c.name == "version"), None)
    if head is None:
        if not reading.torn and not any(n.name == "version" for n in reading.roots):
            into.faults.append(Fault("schema", "no version: a node 'version NUMBER' is needed", 1, 1))
    elif head.arg is not None:
        into.number = head.arg
        into.confirm_ms = head.properties.get("confirm")
        into.note = head.properties.get("note") or ""
    into.faults += content.twice(check.roots)
    yield
    pairs: dict[Path, Value] = {}
    yield from content.flat(check.roots, pairs, into.where)
    into.entries = Map()
    while pairs:
        part = [pairs.popitem() for _ in range(min(128, len(pairs)))]
        into.entries = into.entries.update(part)
        yield
    if told is not None and not into.faults:
        yield
        yield from rules.faults(into.entries, told, into.where, into.faults)
    yield from released(check.roots)
    yield from released(reading.roots)
    into.faults.sort(key=lambda f: (f.line, f.column))


def read(text: bytes, told: rules.Told | None = None) -> Version:
    version = Version()
    for _ in steps(text, told, version):
        pass
    return version
