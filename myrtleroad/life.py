"""Driving the generator of one req, the same in a drill and on sockets. Nothing is decided here."""

from collections.abc import Generator, Iterator

from myrtleroad import interface as i


class Life:
    """One open req: its generator, and the wait it is in. A timer set in an earlier wait is void."""

    __slots__ = ("begun", "gen", "ident", "patience", "wait")

    def __init__(self, ident: int, gen: Generator[i.Action, tuple[float, i.AttemptEnded | None], None]):
        self.ident, self.gen = ident, gen
        self.begun = False
        self.wait = 0  # counts the waits
        self.patience: float | None = None  # of the wait it is in

    def resume(self, result: i.AttemptEnded | None, now: float) -> Iterator[i.Action]:
        """The actions up to the next wait; the last of all is followed by no wait, see ``over``."""
        self.calm()
        while True:
            try:
                act = self.gen.send((now, result)) if self.begun else next(self.gen)
            except StopIteration:
                self.gen.close()
                return
            self.begun, result = True, None
            if not isinstance(act, i.Wait):
                yield act
            if isinstance(act, i.SendAttempt | i.Wait):
                self.patience = act.max_wait_ms
                return

    @property
    def over(self) -> bool:
        return self.gen.gi_frame is None

    def calm(self) -> None:
        """Patience no longer runs in this wait."""
        self.wait += 1
        self.patience = None

    def end(self) -> None:
        self.gen.close()
        self.calm()
