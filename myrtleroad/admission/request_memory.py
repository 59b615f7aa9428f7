"""Limits the memory of all client requests together: those received in part and those that are open.

One request has limits of its own, but hundreds of clients may each stay within them and stop in the middle.
Over the limit requests received in part go first, the largest of them before the others: a usual client's
request is whole after a moment, and small while it is not. Does no I/O."""

from collections import Counter
from collections.abc import Hashable

FREE_BYTES = 4096  # of each request: counted with its connection, so that short requests are never shed


def counted_bytes(held_bytes: int) -> int:
    """Returns how much of what one request holds is counted."""
    return max(0, held_bytes - FREE_BYTES)


class RequestMemory:
    """The bytes held for each holder until ``release``: for a client connection what it has received in part,
    for a whole request that request."""

    __slots__ = ("complete", "limit_bytes", "partial", "retained", "total_bytes")

    def __init__(self, limit_bytes: int):
        self.limit_bytes, self.total_bytes = limit_bytes, 0
        # Bytes by holder, of requests received in part and of whole ones; a holder is in one of the two.
        self.partial: dict[Hashable, int] = {}
        self.complete: dict[Hashable, int] = {}
        # How many attempts still hold a whole request, beside its connection.
        self.retained: Counter[Hashable] = Counter()

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

    def retain(self, holder: Hashable) -> None:
        """Keeps the count of a whole request until one ``release`` more."""
        if holder in self.complete:
            self.retained[holder] += 1

    def release(self, holder: Hashable) -> None:
        """Ends the counting of a holder's request, unless it is retained."""
        if self.retained[holder] > 0:
            self.retained[holder] -= 1
            return
        del self.retained[holder]
        self.total_bytes -= self.partial.pop(holder, 0) + self.complete.pop(holder, 0)
