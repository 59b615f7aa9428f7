"""Runs the generator of one request, in the simulator and on sockets alike. Contains no decisions."""

from collections.abc import Generator, Iterator

from myrtleroad import interface


class RequestCoroutine:
    """An open request: its generator and its current wait. Timers of earlier waits have no effect."""

    __slots__ = ("generator", "max_wait_ms", "request_id", "started", "wait_number")

    def __init__(
        self,
        request_id: int,
        generator: Generator[interface.Action, tuple[float, interface.AttemptEnded | None], None],
    ):
        self.request_id, self.generator = request_id, generator
        self.started = False
        self.wait_number = 0  # counts the waits, so that a timer of an earlier one is recognized
        self.max_wait_ms: float | None = None  # of the current wait; None if it has no timeout

    def resume(self, result: interface.AttemptEnded | None, now: float) -> Iterator[interface.Action]:
        """Yields the actions up to the next wait. After the last action there is no wait, see ``finished``.

        ``result``: the outcome that ends the current wait; None at the start and if the wait has timed out.
        """
        self.cancel_timeout()
        while True:
            try:
                action = self.generator.send((now, result)) if self.started else next(self.generator)
            except StopIteration:
                self.generator.close()
                return
            self.started, result = True, None
            if not isinstance(action, interface.Wait):
                yield action
            if isinstance(action, interface.SendAttempt | interface.Wait):
                self.max_wait_ms = action.max_wait_ms
                return

    @property
    def finished(self) -> bool:
        """Whether the generator has ended, so that no further action comes."""
        return self.generator.gi_frame is None

    def cancel_timeout(self) -> None:
        """Removes the timeout of the current wait and invalidates the timer that was set for it."""
        self.wait_number += 1
        self.max_wait_ms = None

    def close(self) -> None:
        """Closes the generator, whichever action it has reached; ``finished`` is true from then on."""
        self.generator.close()
        self.cancel_timeout()
