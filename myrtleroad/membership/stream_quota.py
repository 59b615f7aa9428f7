"""Limits how much a peer's streams may bring over time, so that a peer that sends without end costs a front a
bounded part of its time. Does no I/O."""

from dataclasses import dataclass

LINE_COST_BYTES = 32  # added for each line, as short lines take longer to process than their bytes


@dataclass(slots=True, frozen=True)
class StreamLimits:
    """Limits of one peer: what it may send at once, and per second from then on."""

    burst_bytes: int
    bytes_per_s: float
    burst_messages: int
    messages_per_s: float


class TokenBucket:
    """Holds up to ``burst`` tokens, full at first, and regains ``per_s`` a second. Times are in ms."""

    __slots__ = ("burst", "counted_at", "per_s", "tokens")

    def __init__(self, burst: float, per_s: float, now: float):
        self.burst, self.per_s, self.tokens, self.counted_at = burst, per_s, burst, now

    def take(self, amount: float, now: float) -> bool:
        """Takes tokens; returns False, and takes none, if there are fewer."""
        regained = max(0.0, now - self.counted_at) * self.per_s / 1000.0
        self.tokens, self.counted_at = min(self.burst, self.tokens + regained), now
        if amount > self.tokens:
            return False
        self.tokens -= amount
        return True


class StreamQuota:
    """What one peer may still send, over all its streams: a new stream does not begin anew."""

    __slots__ = ("bytes", "messages")

    def __init__(self, limits: StreamLimits, now: float):
        self.bytes = TokenBucket(limits.burst_bytes, limits.bytes_per_s, now)
        self.messages = TokenBucket(limits.burst_messages, limits.messages_per_s, now)

    def take_bytes(self, received_bytes: int, lines: int, now: float) -> bool:
        """Counts received bytes and the lines in them; returns False if the peer has sent too much."""
        return self.bytes.take(received_bytes + LINE_COST_BYTES * lines, now)

    def take_message(self, now: float) -> bool:
        """Counts one message; returns False if the peer has sent too many."""
        return self.messages.take(1.0, now)
