"""How long what is read now has waited: by the loop's own turns, and by what the system says of a socket."""

import struct
from collections.abc import Callable

import gevent
from gevent import socket

TCP_INFO, SIZE, LAST_DATA_RECV = 11, 104, 52  # linux/tcp.h: struct tcp_info, ms since the last bytes came
TICK_MS = 4.0  # the system counts these ms in its own ticks, 250 a second, and so may say one too many
BLOCKED_MS = 1.0  # a poll that took longer had to wait: nothing was ready as it began


class ReadDelay:
    """The turns of the loop. What a poll finds ready came after the one before it returned, or as this one
    waited; so it has waited as long as the turn between them took, and since."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.begun = self.polled = clock()
        self.turns = 0
        self.waited = 0.0  # at most, by what the last poll found
        loop = gevent.get_hub().loop
        # After all else that a turn does before its poll, and before all else that follows it.
        self.before = loop.prepare(ref=False, priority=loop.MINPRI)
        self.after = loop.check(ref=False, priority=loop.MAXPRI)
        self.before.start(self.begin)
        self.after.start(self.turn)

    def begin(self) -> None:
        self.begun = self.clock()

    def turn(self) -> None:
        now = self.clock()
        self.waited = self.begun - self.polled if now - self.begun < BLOCKED_MS else 0.0
        self.polled = now
        self.turns += 1

    def age(self) -> float:
        return self.waited + self.clock() - self.polled

    def stop(self) -> None:
        self.before.stop()
        self.after.stop()


def unread_ms(sock: socket.socket) -> float:
    """How long ago this socket's last bytes came, in ms; 0 where the system does not say."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, SIZE)
        return max(0.0, struct.unpack_from("I", told, LAST_DATA_RECV)[0] - TICK_MS)
    except (OSError, struct.error):
        return 0.0
