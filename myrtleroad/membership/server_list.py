"""Resolves what a received server list changes when lists arrive late, repeatedly, with gaps, partly
unreadable, or from two sources at once.

Only the last applied entry of each server is kept, the minimum needed for comparison. The changes returned
are passed on to the decision module unmodified."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar

T = TypeVar("T")


class Restriction(IntEnum):
    """How far sending to a server is restricted; a higher value forbids more."""

    NONE = 0
    DRAINING = 1
    GONE = 2


@dataclass(slots=True)
class ListMessage(Generic[T]):
    """One list received from a source. ``whole``: it names all servers, otherwise only those that changed.

    ``entries`` are keyed by server id. ``unreadable`` holds the ids of entries that could not be decoded, and
    None for each entry without an id."""

    source: int
    version: int
    whole: bool
    entries: dict[str, T]
    unreadable: list[str | None] = field(default_factory=list)


@dataclass(slots=True)
class ListChange(Generic[T]):
    """What is to be applied: a whole list or changes to it.

    ``blocked``: ids of servers that must not be sent anything until a readable entry for them arrives.
    ``refetch_reason``: why the whole list has to be fetched again, empty if it does not."""

    whole: bool
    entries: dict[str, T]
    blocked: list[str] = field(default_factory=list)
    refetch_reason: str = ""


class ServerList(Generic[T]):
    """The list last applied, with the rules by which a received one may change it.

    ``restriction_of`` gives the Restriction of an entry, ``same_start`` whether two entries are of the same
    start of the same build. ``consecutive_versions``: versions increase by one, so that a larger step shows
    that a list was missed."""

    __slots__ = (
        "blocked",
        "consecutive_versions",
        "entries",
        "held_back",
        "restriction_of",
        "same_start",
        "source",
        "version",
    )

    def __init__(
        self,
        restriction_of: Callable[[T], Restriction],
        same_start: Callable[[T, T], bool],
        version: int = 0,
        consecutive_versions: bool = False,
    ):
        self.restriction_of, self.same_start, self.consecutive_versions = (
            restriction_of,
            same_start,
            consecutive_versions,
        )
        self.version, self.source = version, 0
        self.entries: dict[str, T] = {}  # of the last whole list and since; removed once the server is gone
        # From a newer source whose version is behind the current one; applied once the current source ends.
        self.held_back: ListMessage[T] | None = None
        self.blocked: set[str] = set()  # ids of unreadable entries; removed once readable or no longer listed

    def load_initial(self, version: int, entries: dict[str, T]) -> None:
        """Sets the list that a front has at its start."""
        self.version, self.entries = version, dict(entries)

    def apply_message(self, message: ListMessage[T], sole_source: bool) -> ListChange[T] | None:
        """What this list changes; None if it changes nothing. ``sole_source``: no other source is open."""
        from_newer_source = message.source > self.source
        if from_newer_source and (sole_source or message.version >= self.version):
            # Guards against a restarted version count: a sole source is right whatever its versions are.
            self.held_back = None
            return self.switch_source(message)
        if from_newer_source:
            self.held_back = self.merged_with_held_back(message)
            return self.restricting_part(message)
        if message.source < self.source:
            return self.restricting_part(message)  # a source that was replaced may restrict, never open
        if message.version < self.version and not message.whole:
            # Guards against changes to a list that was never received: discovery was restored to older state.
            change = self.restricting_part(message) or ListChange(False, {})
            self.version = message.version
            change.refetch_reason = "versions went back"
            return change
        return self.apply(message)

    def apply_fetched(self, message: ListMessage[T]) -> ListChange[T] | None:
        """Applies a whole list that was fetched separately, unless it was made before the last change."""
        if message.source != self.source:
            return None
        if message.version < self.version:
            return ListChange(False, {}, refetch_reason="the whole list was older")
        return self.apply(message)

    def source_ended(self, source: int) -> ListChange[T] | None:
        """A source has ended: what was held back from a newer one takes effect now."""
        held_back = self.held_back
        if held_back is None or source >= held_back.source:
            return None
        self.held_back = None
        return self.switch_source(held_back)

    def switch_source(self, message: ListMessage[T]) -> ListChange[T]:
        """Makes the message's source the current one and applies the message."""
        is_behind = message.version < self.version
        self.source = message.source
        change = self.apply(message)
        if is_behind and not message.whole:
            change.refetch_reason = "versions went back"
        return change

    def apply(self, message: ListMessage[T]) -> ListChange[T]:
        """Applies a message of the current source."""
        has_gap = self.consecutive_versions and not message.whole and message.version > self.version + 1
        change = ListChange(
            message.whole, dict(message.entries), refetch_reason="version gap" if has_gap else ""
        )
        if message.whole:
            # Guards against treating a server as gone when only its entry could not be decoded.
            kept = {
                server_id: self.entries[server_id]
                for server_id in message.unreadable
                if server_id is not None and server_id in self.entries
            }
            change.entries |= kept
            self.entries, self.blocked = dict(change.entries), set()
        else:
            self.entries |= message.entries
        self.blocked -= message.entries.keys()
        self.block_unreadable(message, change)
        self.version = message.version
        for server_id, entry in list(message.entries.items()):
            if self.restriction_of(entry) == Restriction.GONE:
                self.entries.pop(server_id, None)
        return change

    def block_unreadable(self, message: ListMessage[T], change: ListChange[T]) -> None:
        """Blocks the servers whose entries could not be decoded and requests the whole list."""
        if message.unreadable:
            self.blocked |= {
                server_id
                for server_id in message.unreadable
                if server_id is not None and server_id in self.entries
            }
            change.refetch_reason = change.refetch_reason or "unreadable entries"
        change.blocked = sorted(self.blocked)

    def restricting_part(self, message: ListMessage[T]) -> ListChange[T] | None:
        """Of a list whose order relative to the current one is unknown: only the entries that restrict more,
        and only for the same start of a server."""
        entries = {}
        for server_id, entry in message.entries.items():
            known = self.entries.get(server_id)
            if (
                known is not None
                and self.same_start(known, entry)
                and self.restriction_of(entry) > self.restriction_of(known)
            ):
                entries[server_id] = self.entries[server_id] = entry
        change = ListChange(False, entries)
        self.block_unreadable(message, change)
        return change if entries or message.unreadable else None

    def merged_with_held_back(self, message: ListMessage[T]) -> ListMessage[T]:
        """A message of a source that is held back, together with what was held back of the same source."""
        held_back = self.held_back
        if held_back is None or message.whole or held_back.source != message.source:
            return message
        entries = held_back.entries | message.entries
        if held_back.whole:
            entries = {
                server_id: entry
                for server_id, entry in entries.items()
                if self.restriction_of(entry) != Restriction.GONE
            }
        return ListMessage(message.source, message.version, held_back.whole, entries, message.unreadable)
