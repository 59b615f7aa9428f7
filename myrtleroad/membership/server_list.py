"""What a list changes: whose word holds where lists are older, repeated, with gaps, unreadable in part, or
told by two sources at once.

The book keeps what was applied last of each machine, as little as is needed to compare. What it returns goes
to the module as it is."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar

T = TypeVar("T")


class Restriction(IntEnum):
    """How much a machine may be sent; a higher rank forbids more."""

    NONE = 0
    DRAINING = 1  # it drains
    GONE = 2  # it is gone


@dataclass(slots=True)
class ListMessage(Generic[T]):
    """One list as a source told it. ``entries`` by the machine's word; ``unreadable``: the words of entries
    that could not be read, and None for one without a word."""

    source: int
    version: int
    whole: bool
    entries: dict[str, T]
    unreadable: list[str | None] = field(default_factory=list)


@dataclass(slots=True)
class ListChange(Generic[T]):
    """What is to be applied: a whole list or changes. ``blocked``: machines that may be sent nothing until a
    list that can be read says more of them. ``refetch_reason``: what a whole
    list is wanted for, empty where none is."""

    whole: bool
    entries: dict[str, T]
    blocked: list[str] = field(default_factory=list)
    refetch_reason: str = ""


class ServerList(Generic[T]):
    """``rank`` tells the Restriction of an entry, ``same`` whether two entries speak of the same start of the
    same build. ``consecutive_versions``: versions go up by one, so that a jump shows a gap."""

    __slots__ = ("blocked", "consecutive_versions", "entries", "held", "rank", "same", "source", "version")

    def __init__(
        self,
        rank: Callable[[T], Restriction],
        same: Callable[[T, T], bool],
        version: int = 0,
        consecutive_versions: bool = False,
    ):
        self.rank, self.same, self.consecutive_versions = rank, same, consecutive_versions
        self.version, self.source = version, 0
        self.entries: dict[str, T] = {}  # machines of the last whole list and since; emptied as they go
        self.held: ListMessage[T] | None = (
            None  # from a new source that is behind the old one, until that ends
        )
        self.blocked: set[str] = set()  # words whose entry was unclear; emptied as they are told or leave

    def load_initial(self, version: int, entries: dict[str, T]) -> None:
        """The list that a front has at its start."""
        self.version, self.entries = version, dict(entries)

    def apply_message(self, said: ListMessage[T], sole: bool) -> ListChange[T] | None:
        """What this list changes; None where its word does not hold. ``sole``: no other source tells."""
        newer = said.source > self.source
        if newer and (sole or said.version >= self.version):
            # Guards against numbers that began anew: a source alone has its word, whatever they are.
            self.held = None
            return self.begin(said)
        if newer:
            self.held = self.merged(said)
            return self.narrowed(said)
        if said.source < self.source:
            return self.narrowed(said)  # what the source that we left says may still close, never open
        if said.version < self.version and not said.whole:
            # Guards against changes on top of a list that we never had: discovery came back from before.
            change = self.narrowed(said) or ListChange(False, {})
            self.version = said.version
            change.refetch_reason = "numbers went back"
            return change
        return self.apply(said)

    def apply_fetched(self, said: ListMessage[T]) -> ListChange[T] | None:
        """A whole list that was asked for by itself. Guards against one made before the last change."""
        if said.source != self.source:
            return None
        if said.version < self.version:
            return ListChange(False, {}, refetch_reason="the whole list was older")
        return self.apply(said)

    def source_ended(self, source: int) -> ListChange[T] | None:
        """A source has ended: what a newer one told meanwhile, if it was behind, holds from now on."""
        held = self.held
        if held is None or source >= held.source:
            return None
        self.held = None
        return self.begin(held)

    def begin(self, said: ListMessage[T]) -> ListChange[T]:
        """A newer source's word holds from here on."""
        behind = said.version < self.version
        self.source = said.source
        change = self.apply(said)
        if behind and not said.whole:
            change.refetch_reason = "numbers went back"
        return change

    def apply(self, said: ListMessage[T]) -> ListChange[T]:
        gap = self.consecutive_versions and not said.whole and said.version > self.version + 1
        change = ListChange(said.whole, dict(said.entries), refetch_reason="a gap" if gap else "")
        if said.whole:
            # Guards against taking a machine for gone whose entry alone could not be read.
            kept = {w: self.entries[w] for w in said.unreadable if w is not None and w in self.entries}
            change.entries |= kept
            self.entries, self.blocked = dict(change.entries), set()
        else:
            self.entries |= said.entries
        self.blocked -= said.entries.keys()
        self.note(said, change)
        self.version = said.version
        for word, entry in list(said.entries.items()):
            if self.rank(entry) == Restriction.GONE:
                self.entries.pop(word, None)
        return change

    def note(self, said: ListMessage[T], change: ListChange[T]) -> None:
        """Entries that could not be read: their machines are sent nothing until a list says more."""
        if said.unreadable:
            self.blocked |= {w for w in said.unreadable if w is not None and w in self.entries}
            change.refetch_reason = change.refetch_reason or "unclear entries"
        change.blocked = sorted(self.blocked)

    def narrowed(self, said: ListMessage[T]) -> ListChange[T] | None:
        """Of a list whose order against ours is not known, only what forbids, and only of the same start."""
        entries = {}
        for word, entry in said.entries.items():
            known = self.entries.get(word)
            if known is not None and self.same(known, entry) and self.rank(entry) > self.rank(known):
                entries[word] = self.entries[word] = entry
        change = ListChange(False, entries)
        self.note(said, change)
        return change if entries or said.unreadable else None

    def merged(self, said: ListMessage[T]) -> ListMessage[T]:
        held = self.held
        if held is None or said.whole or held.source != said.source:
            return said
        entries = held.entries | said.entries
        if held.whole:
            entries = {w: e for w, e in entries.items() if self.rank(e) != Restriction.GONE}
        return ListMessage(said.source, said.version, held.whole, entries, said.unreadable)
