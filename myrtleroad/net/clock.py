"""One clock for the whole front: float ms of Unix time that never run back."""

import time


class Clock:
    """Anchored once to Unix time, so that machines' starts compare with it; the monotonic clock moves it."""

    __slots__ = ("anchor",)

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (self.anchor + time.monotonic()) * 1000.0
