"""The event loop's turns. A read that finds bytes at once does not switch greenlets, so a peer that sends
as fast as its bytes are processed would keep the only thread; its reader waits here for the next turn."""

import functools
import time
from collections import deque

import gevent
from gevent.hub import Waiter

MAX_TURN_S = 0.005  # from one poll of the sockets until the rest of long input is left for the next turn
# A timer of 0 s would run other greenlets, but poll no socket until 50 of them had run.
PAUSE_S = 0.001


class LoopTurn:
    """The current turn of one event loop, from one poll of the sockets to the next, and the readers of long
    input that wait for a turn. They go on in the order in which they came, those of servers, discovery and
    platform before those of clients."""

    def __init__(self) -> None:
        self.number, self.began_at = 0, time.monotonic()
        # Readers that wait, removed as they go on or are killed.
        self.peer_readers: deque[Waiter] = deque()
        self.client_readers: deque[Waiter] = deque()
        loop = gevent.get_hub().loop
        self.after_poll = loop.check(ref=False, priority=loop.MAXPRI)
        self.after_poll.start(self.begin)
        self.timer = loop.timer(PAUSE_S)

    def begin(self) -> None:
        """Called by the event loop after each poll."""
        self.number, self.began_at = self.number + 1, time.monotonic()

    @property
    def is_over(self) -> bool:
        """Whether this turn has lasted for ``MAX_TURN_S``."""
        return time.monotonic() - self.began_at > MAX_TURN_S

    def wait_if_over(self, for_client: bool = False) -> None:
        """Waits for a new turn if this one is over or others wait. Called between two pieces of one peer's
        input, so that all long input together takes about ``MAX_TURN_S`` of a turn. The input is not kept out
        of it: the event loop runs timers before it reads sockets."""
        readers = self.client_readers if for_client else self.peer_readers
        if not readers and not self.is_over:
            return
        waiter = Waiter()
        readers.append(waiter)
        if not self.timer.active:
            self.timer.start(self.resume_readers, update=True)
        try:
            waiter.get()
        finally:
            if waiter in readers:
                readers.remove(waiter)

    def resume_readers(self) -> None:
        """Called by the event loop early in a turn: lets waiting readers process a piece each until the turn
        is over, one at least."""
        self.timer.stop()
        while readers := self.peer_readers or self.client_readers:
            readers.popleft().switch(None)
            if self.is_over:
                break
        if self.peer_readers or self.client_readers:
            self.timer.start(self.resume_readers, update=True)


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
