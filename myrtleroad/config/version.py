"""Reads one version from its text in slices, and checks it against the schema and the rules."""

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
    """A version and its faults. A version without a number always has a fault."""

    number: int = 0
    confirm_ms: float | None = None
    note: str = ""
    entries: Map[EntryPath, Value] = content.NO_ENTRIES
    positions: rules.Positions = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


def read_in_slices(text: bytes, front_limits: rules.FrontLimits | None, version: Version) -> Iterator[None]:
    """Reads a version into ``version`` and yields between slices. All mistakes in the text are reported
    together. The rules are checked only if the text fits the schema, as they would report the same
    mistakes again."""
    reader = DocumentReader(text)
    yield from reader.read_in_slices()
    check = SchemaCheck(reader.roots, VERSION_SCHEMA)
    yield from check.check_in_slices()
    version.faults = reader.faults + check.faults
    version_node = next((node for node in check.roots if node.name == "version"), None)
    if version_node is None:
        if not reader.incomplete and not any(node.name == "version" for node in reader.roots):
            version.faults.append(Fault("schema", "missing node 'version NUMBER'", 1, 1))
    elif version_node.arg is not None:
        version.number = version_node.arg
        version.confirm_ms = version_node.properties.get("confirm")
        version.note = version_node.properties.get("note") or ""
    version.faults += content.conflicting_networks(check.roots)
    yield
    pending: dict[EntryPath, Value] = {}
    yield from content.flatten(check.roots, pending, version.positions)
    version.entries = Map()
    while pending:
        batch = [pending.popitem() for _ in range(min(128, len(pending)))]
        version.entries = version.entries.update(batch)
        yield
    if front_limits is not None and not version.faults:
        yield
        yield from rules.check_entries(version.entries, front_limits, version.positions, version.faults)
    yield from release_in_slices(check.roots)
    yield from release_in_slices(reader.roots)
    version.faults.sort(key=lambda fault: (fault.line, fault.column))


def read(text: bytes, front_limits: rules.FrontLimits | None = None) -> Version:
    """Reads a version in one call."""
    version = Version()
    for _ in read_in_slices(text, front_limits, version):
        pass
    return version
