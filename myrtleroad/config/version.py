"""One version, from its text to what is held: read, checked and held against what was told, in slices."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from immutables import Map

from myrtleroad.config import entries as content
from myrtleroad.config import rules
from myrtleroad.config.document import DocumentReader, Fault, Value, release_in_slices
from myrtleroad.config.entries import EntryPath
from myrtleroad.config.schema import VERSION_SCHEMA, SchemaCheck


@dataclass(slots=True)
class Version:
    """``number`` 0 and no faults never go together: a version without a number is at fault."""

    number: int = 0
    confirm_ms: float | None = None
    note: str = ""
    entries: Map[EntryPath, Value] = content.NO_ENTRIES
    positions: rules.Positions = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def read_in_slices(text: bytes, told: rules.FrontLimits | None, into: Version) -> Iterator[None]:
    """Reads a version into ``into`` and yields between slices. All mistakes of the text are told in one go;
    the rules are asked only of a text that fits the schema, as they would tell the same again."""
    reading = DocumentReader(text)
    yield from reading.read_in_slices()
    check = SchemaCheck(reading.roots, VERSION_SCHEMA)
    yield from check.check_in_slices()
    into.faults = reading.faults + check.faults
    head = next((c for c in check.roots if c.name == "version"), None)
    if head is None:
        if not reading.incomplete and not any(n.name == "version" for n in reading.roots):
            into.faults.append(Fault("schema", "no version: a node 'version NUMBER' is needed", 1, 1))
    elif head.arg is not None:
        into.number = head.arg
        into.confirm_ms = head.properties.get("confirm")
        into.note = head.properties.get("note") or ""
    into.faults += content.conflicting_networks(check.roots)
    yield
    pairs: dict[EntryPath, Value] = {}
    yield from content.flatten(check.roots, pairs, into.positions)
    into.entries = Map()
    while pairs:
        part = [pairs.popitem() for _ in range(min(128, len(pairs)))]
        into.entries = into.entries.update(part)
        yield
    if told is not None and not into.faults:
        yield
        yield from rules.check_entries(into.entries, told, into.positions, into.faults)
    yield from release_in_slices(check.roots)
    yield from release_in_slices(reading.roots)
    into.faults.sort(key=lambda f: (f.line, f.column))


def read(text: bytes, told: rules.FrontLimits | None = None) -> Version:
    version = Version()
    for _ in read_in_slices(text, told, version):
        pass
    return version
