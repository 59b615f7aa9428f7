"""The event loop's turns. A read that finds bytes at once does not switch greenlets, so a peer that sends
as fast as its bytes are processed would keep the only thread; its reader waits here for the next turn."""

import functools
import time

import gevent

MAX_TURN_S = 0.005  # from one poll of the sockets until the rest of long input is left for the next turn
# Sleeping for 0 s would run other greenlets, but poll no socket until 50 of them had run.
PAUSE_S = 0.001
READERS_PER_PAUSE = 8  # the more readers wait, the longer each sleeps, as each wake-up takes time


class LoopTurn:
    """The current turn of one event loop: the time since its last poll of the sockets."""

    def __init__(self) -> None:
        self.number, self.began_at = 0, time.monotonic()
        self.waiting = 0  # readers of long input that wait for a turn
        loop = gevent.get_hub().loop
        self.after_poll = loop.check(ref=False, priority=loop.MAXPRI)
        self.after_poll.start(self.begin)

    def begin(self) -> None:
        """Called by the event loop after each poll."""
        self.number, self.began_at = self.number + 1, time.monotonic()

    def wait_if_over(self) -> None:
        """Waits for a new turn if this one has lasted for ``MAX_TURN_S``. Called between two pieces of one
        peer's input, so that all readers of long input together take about that much of a turn. They are not
        kept out of it: the event loop runs timers, and so those who sleep here, before it reads sockets."""
        while time.monotonic() - self.began_at > MAX_TURN_S:
            self.waiting += 1
            try:
                gevent.sleep(PAUSE_S * (1 + self.waiting // READERS_PER_PAUSE))
            finally:
                self.waiting -= 1


class TurnQuota:
    """How often one greenlet may repeat its work in a turn, for work that has to go on in long turns too."""

    __slots__ = ("loop_turn", "per_turn", "turn_number", "used")

    def __init__(self, loop_turn: LoopTurn, per_turn: int):
        self.loop_turn, self.per_turn = loop_turn, per_turn
        self.turn_number, self.used = loop_turn.number, 0

    def use(self) -> None:
        """Counts one repetition; waits for the next turn first if this turn has had its number."""
        if self.turn_number == self.loop_turn.number and self.used >= self.per_turn:
            gevent.sleep(PAUSE_S)
        if self.turn_number != self.loop_turn.number:
            self.turn_number, self.used = self.loop_turn.number, 0
        self.used += 1


@functools.cache
def current_turn() -> LoopTurn:
    """Returns the turn of the event loop; the front has one loop, in one thread."""
    return LoopTurn()
