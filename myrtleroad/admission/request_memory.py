"""Limits the memory of all client requests together: those received in part and those that are open.

One request has limits of its own, but hundreds of clients may each stay within them and stop in the middle.
Over the limit requests received in part go first, the largest of them before the others: a usual client's
request is whole after a moment, and small while it is not. Does no I/O."""

from collections.abc import Hashable


class RequestMemory:
    """The bytes held for each holder, a client connection, until ``release``."""

    __slots__ = ("complete", "limit_bytes", "partial", "total_bytes")

    def __init__(self, limit_bytes: int):
        self.limit_bytes, self.total_bytes = limit_bytes, 0
        # Bytes by holder, of requests received in part and of whole ones; a holder is in one of the two.
        self.partial: dict[Hashable, int] = {}
        self.complete: dict[Hashable, int] = {}

    def hold_partial(self, holder: Hashable, held_bytes: int) -> list[Hashable]:
        """Counts what is held of a request received in part. Returns the holders whose requests have to go;
        they are no longer counted, and ``holder`` may be one of them."""
        self.release(holder)
        self.partial[holder] = held_bytes
        self.total_bytes += held_bytes
        return self.evict()

    def hold_complete(self, holder: Hashable, held_bytes: int) -> list[Hashable]:
        """Counts a whole request. Returns the holders whose requests have to go, as ``hold_partial``; the
        whole request itself only if nothing received in part is left."""
        self.release(holder)
        self.complete[holder] = held_bytes
        self.total_bytes += held_bytes
        evicted = self.evict()
        if self.total_bytes > self.limit_bytes:
            self.release(holder)
            evicted.append(holder)
        return evicted

    def evict(self) -> list[Hashable]:
        """Releases requests received in part until the limit is kept, or none is left."""
        evicted = []
        while self.total_bytes > self.limit_bytes and self.partial:
            largest = max(self.partial, key=self.partial.__getitem__)
            self.release(largest)
            evicted.append(largest)
        return evicted

    def release(self, holder: Hashable) -> None:
        """Ends the counting of a holder's request."""
        self.total_bytes -= self.partial.pop(holder, 0) + self.complete.pop(holder, 0)
