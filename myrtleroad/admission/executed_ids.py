"""Remembers the ids of requests that must not run twice and may have run: a client that left before its
response and sends the same id again does not make it run twice. Times are in ms. Does no I/O."""

RETENTION_MS = 30_000.0  # clients that come again do so within seconds
MAX_IDS = 2048  # the oldest are dropped beyond it: half a megabyte


class ExecutedIds:
    """The ids of one front. An entry is removed after ``RETENTION_MS``, or as one of the oldest beyond
    ``MAX_IDS``."""

    __slots__ = ("expiry_times",)

    def __init__(self) -> None:
        self.expiry_times: dict[bytes, float] = {}  # in the order of expiry

    def add(self, transaction: bytes, now: float) -> None:
        """Remembers an id from now on."""
        self.expiry_times.pop(transaction, None)
        self.expiry_times[transaction] = now + RETENTION_MS
        self.drop_oldest(now)

    def drop_oldest(self, now: float) -> None:
        """Drops what has expired, and the oldest beyond the limit."""
        while self.expiry_times:
            oldest = next(iter(self.expiry_times))
            if len(self.expiry_times) <= MAX_IDS and self.expiry_times[oldest] > now:
                return
            del self.expiry_times[oldest]

    def contains(self, transaction: bytes, now: float) -> bool:
        """Whether a request with this id may have run."""
        return self.expiry_times.get(transaction, 0.0) > now
