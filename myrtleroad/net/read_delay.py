"""How long received data waited to be read, by the turns of the event loop and by the system's TCP info."""

import struct
from collections.abc import Callable

import gevent
from gevent import socket

# linux/tcp.h: struct tcp_info, and in it the offset of tcpi_last_data_recv, ms since the last data arrived.
TCP_INFO, TCP_INFO_BYTES, LAST_DATA_RECV_OFFSET = 11, 104, 52
TICK_MS = 4.0  # the system counts that field in ticks, 250 a second, so that it may be one tick too high
BLOCKED_MS = 1.0  # a poll that took longer had to wait: no socket was ready when it began


class ReadDelay:
    """Bounds how long data that is read now has waited for the event loop. Data that a poll finds arrived
    after the previous poll returned, or while this poll waited. So it has waited at most for the turn between
    the two polls, plus the time since this poll returned."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.poll_started_at = self.poll_returned_at = clock()
        self.turns = 0  # of the event loop
        self.max_wait_ms = 0.0  # of the data that the last poll found, until that poll returned
        loop = gevent.get_hub().loop
        # These run last before a poll and first after it.
        self.before_poll = loop.prepare(ref=False, priority=loop.MINPRI)
        self.after_poll = loop.check(ref=False, priority=loop.MAXPRI)
        self.before_poll.start(self.poll_starts)
        self.after_poll.start(self.poll_returned)

    def poll_starts(self) -> None:
        """Called by the event loop before each poll."""
        self.poll_started_at = self.clock()

    def poll_returned(self) -> None:
        """Called by the event loop after each poll."""
        now = self.clock()
        self.max_wait_ms = (
            self.poll_started_at - self.poll_returned_at if now - self.poll_started_at < BLOCKED_MS else 0.0
        )
        self.poll_returned_at = now
        self.turns += 1

    def current_ms(self) -> float:
        """Returns the longest time that data read now may have waited, in ms."""
        return self.max_wait_ms + self.clock() - self.poll_returned_at

    def stop(self) -> None:
        """Stops observing the event loop."""
        self.before_poll.stop()
        self.after_poll.stop()


def last_data_age_ms(sock: socket.socket) -> float:
    """Returns how long ago the socket's last bytes arrived, in ms and rounded down by a tick; 0 if the system
    does not report it."""
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES)
        return max(0.0, struct.unpack_from("I", tcp_info, LAST_DATA_RECV_OFFSET)[0] - TICK_MS)
    except (OSError, struct.error):
        return 0.0
