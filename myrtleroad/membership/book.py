"""What a list changes: whose word holds where lists are older, repeated, with gaps, unreadable in part, or
told by two sources at once.

The book keeps what was applied last of each machine, as little as is needed to compare. What it returns goes
to the module as it is."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, TypeVar

T = TypeVar("T")


class Rank(IntEnum):
    """How much a machine may be sent; a higher rank forbids more."""

    OPEN = 0
    CLOSING = 1  # it drains
    AWAY = 2  # it is gone


@dataclass(slots=True)
class Said(Generic[T]):
    """One list as a source told it. ``entries`` by the machine's word; ``unclear``: the words of entries
    that could not be read, and None for one without a word."""

    source: int
    version: int
    whole: bool
    entries: dict[str, T]
    unclear: list[str | None] = field(default_factory=list)


@dataclass(slots=True)
class Change(Generic[T]):
    """What is to be applied: a whole list or changes. ``shut``: machines that may be sent nothing until a
    list that can be read says more of them. ``ask``: a whole list is wanted; ``why`` says what for."""

    whole: bool
    entries: dict[str, T]
    shut: list[str] = field(default_factory=list)
    ask: str = ""


class Book(Generic[T]):
    """``rank`` tells the Rank of an entry, ``same`` whether two entries speak of the same start of the same
    build. ``consecutive``: versions go up by one, so that a jump shows a gap."""

    __slots__ = ("consecutive", "held", "known", "rank", "same", "shut", "source", "version")

    def __init__(
        self,
        rank: Callable[[T], Rank],
        same: Callable[[T, T], bool],
        version: int = 0,
        consecutive: bool = False,
    ):
        self.rank, self.same, self.consecutive = rank, same, consecutive
        self.version, self.source = version, 0
        self.known: dict[str, T] = {}  # machines of the last whole list and since; emptied as they go
        self.held: Said[T] | None = None  # from a new source that is behind the old one, until that ends
        self.shut: set[str] = set()  # words whose entry was unclear; emptied as they are told or leave

    def remember(self, version: int, entries: dict[str, T]) -> None:
        """The list that a front has at its start."""
        self.version, self.known = version, dict(entries)

    def take(self, said: Said[T], sole: bool) -> Change[T] | None:
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
            change = self.narrowed(said) or Change(False, {})
            self.version = said.version
            change.ask = "numbers went back"
            return change
        return self.apply(said)

    def fetched(self, said: Said[T]) -> Change[T] | None:
        """A whole list that was asked for by itself. Guards against one made before the last change."""
        if said.source != self.source:
            return None
        if said.version < self.version:
            return Change(False, {}, ask="the whole list was older")
        return self.apply(said)

    def left(self, source: int) -> Change[T] | None:
        """A source has ended: what a newer one told meanwhile, if it was behind, holds from now on."""
        held = self.held
        if held is None or source >= held.source:
            return None
        self.held = None
        return self.begin(held)

    def begin(self, said: Said[T]) -> Change[T]:
        """A newer source's word holds from here on."""
        behind = said.version < self.version
        self.source = said.source
        change = self.apply(said)
        if behind and not said.whole:
            change.ask = "numbers went back"
        return change

    def apply(self, said: Said[T]) -> Change[T]:
        gap = self.consecutive and not said.whole and said.version > self.version + 1
        change = Change(said.whole, dict(said.entries), ask="a gap" if gap else "")
        if said.whole:
            # Guards against taking a machine for gone whose entry alone could not be read.
            kept = {w: self.known[w] for w in said.unclear if w is not None and w in self.known}
            change.entries |= kept
            self.known, self.shut = dict(change.entries), set()
        else:
            self.known |= said.entries
        self.shut -= said.entries.keys()
        self.note(said, change)
        self.version = said.version
        for word, entry in list(said.entries.items()):
            if self.rank(entry) == Rank.AWAY:
                self.known.pop(word, None)
        return change

    def note(self, said: Said[T], change: Change[T]) -> None:
        """Entries that could not be read: their machines are sent nothing until a list says more."""
        if said.unclear:
            self.shut |= {w for w in said.unclear if w is not None and w in self.known}
            change.ask = change.ask or "unclear entries"
        change.shut = sorted(self.shut)

    def narrowed(self, said: Said[T]) -> Change[T] | None:
        """Of a list whose order against ours is not known, only what forbids, and only of the same start."""
        entries = {}
        for word, entry in said.entries.items():
            known = self.known.get(word)
            if known is not None and self.same(known, entry) and self.rank(entry) > self.rank(known):
                entries[word] = self.known[word] = entry
        change = Change(False, entries)
        self.note(said, change)
        return change if entries or said.unclear else None

    def merged(self, said: Said[T]) -> Said[T]:
        held = self.held
        if held is None or said.whole or held.source != said.source:
            return said
        entries = held.entries | said.entries
        if held.whole:
            entries = {w: e for w, e in entries.items() if self.rank(e) != Rank.AWAY}
        return Said(said.source, said.version, held.whole, entries, said.unclear)
