"""One clock for the whole front: Unix time in float ms that never decreases."""

import time


class Clock:
    """Anchored once to Unix time, so that it compares with servers' start times; advanced by the monotonic
    clock."""

    __slots__ = ("anchor",)

    def __init__(self) -> None:
        self.anchor = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The current time in Unix ms."""
        return (self.anchor + time.monotonic()) * 1000.0
