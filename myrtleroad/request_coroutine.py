"""Driving the generator of one req, the same in a drill and on sockets. Nothing is decided here."""

from collections.abc import Generator, Iterator

from myrtleroad import interface as i


class RequestCoroutine:
    """One open req: its generator, and the wait it is in. A timer set in an earlier wait is void."""

    __slots__ = ("generator", "max_wait_ms", "request_id", "started", "wait_number")

    def __init__(self, ident: int, gen: Generator[i.Action, tuple[float, i.AttemptEnded | None], None]):
        self.request_id, self.generator = ident, gen
        self.started = False
        self.wait_number = 0  # counts the waits
        self.max_wait_ms: float | None = None  # of the wait it is in

    def resume(self, result: i.AttemptEnded | None, now: float) -> Iterator[i.Action]:
        """The actions up to the next wait; the last of all is followed by no wait, see ``over``."""
        self.cancel_timeout()
        while True:
            try:
                act = self.generator.send((now, result)) if self.started else next(self.generator)
            except StopIteration:
                self.generator.close()
                return
            self.started, result = True, None
            if not isinstance(act, i.Wait):
                yield act
            if isinstance(act, i.SendAttempt | i.Wait):
                self.max_wait_ms = act.max_wait_ms
                return

    @property
    def finished(self) -> bool:
        return self.generator.gi_frame is None

    def cancel_timeout(self) -> None:
        """Patience no longer runs in this wait."""
        self.wait_number += 1
        self.max_wait_ms = None

    def close(self) -> None:
        self.generator.close()
        self.cancel_timeout()
