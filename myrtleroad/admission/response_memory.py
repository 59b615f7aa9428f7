"""Limits the memory of all servers' responses together, from their first byte until the client has taken
them.

A response for which there is no memory waits unread in the system's buffers. One of those that wait may
always go on, so that some response is completed however little is left. Sizes are in bytes. Does no I/O."""

FREE_BYTES = 4096  # of each response: counted with its attempt, so that short responses never wait
OVERHEAD_BYTES = 8 * 1024  # of a long response, beside its bytes: the greenlet that writes it


class ResponseMemory:
    """The bytes held by all responses."""

    __slots__ = ("is_overdrawn", "limit_bytes", "total_bytes")

    def __init__(self, limit_bytes: int):
        self.limit_bytes, self.total_bytes = limit_bytes, 0
        self.is_overdrawn = False  # whether some response may take memory beyond the limit

    def lease(self) -> "ResponseLease":
        """Returns the lease of a new response, of no bytes yet."""
        return ResponseLease(self)


class ResponseLease:
    """The memory of one response. It is given back by ``release``, at the latest as the lease is dropped with
    the response, whatever path drops it."""

    __slots__ = ("held_bytes", "may_overdraw", "memory")

    def __init__(self, memory: ResponseMemory):
        self.memory, self.held_bytes = memory, 0
        self.may_overdraw = False

    def reserve(self, expected_bytes: int) -> bool:
        """Counts what the whole response will take; returns whether there is memory for it now. It is counted
        in one piece, as responses that were read in part could keep each other from being completed."""
        memory = self.memory
        missing_bytes = expected_bytes + OVERHEAD_BYTES - self.held_bytes
        is_over = missing_bytes > 0 and memory.total_bytes + missing_bytes > memory.limit_bytes
        if is_over and not self.may_overdraw:
            if memory.is_overdrawn:
                return False
            memory.is_overdrawn = self.may_overdraw = True
        self.hold(max(expected_bytes, self.held_bytes - OVERHEAD_BYTES))
        return True

    def hold(self, held_bytes: int) -> None:
        """Counts what is held of the response now."""
        counted_bytes = held_bytes + OVERHEAD_BYTES if held_bytes > FREE_BYTES else 0
        self.memory.total_bytes += counted_bytes - self.held_bytes
        self.held_bytes = counted_bytes

    def release(self) -> None:
        """Ends the counting of the response."""
        self.hold(0)
        if self.may_overdraw:
            self.memory.is_overdrawn = self.may_overdraw = False

    def __del__(self) -> None:
        self.release()
