"""The log: one JSON line an event, written by a greenlet of its own so that no req waits for it."""

import os
from collections import deque
from collections.abc import Callable, Mapping

import gevent
import orjson
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

LEVELS = {"debug": 0, "info": 1, "warning": 2}
LEVEL_VARIABLE = "MYRTLEROAD_LOG_LEVEL"  # of the environment; a version of what operators set goes before it


def level_from_environment(environment: Mapping[str, str]) -> str:
    """The level that the environment asks for, ``info`` where it asks for none. Raises ValueError."""
    level = environment.get(LEVEL_VARIABLE, "info")
    if level not in LEVELS:
        raise ValueError(f"{LEVEL_VARIABLE}: {level!r} is none of {', '.join(LEVELS)}")
    return level


RETRY_DELAY_S = 0.01  # after a line that could not be written


class Log:
    ACTOR_NAME = "log"  # the actor's name in log events
    MAX_LINES = 1000  # lines that wait for a slow reader; later ones are dropped and counted

    def __init__(self, clock: Callable[[], float], fd: int = 1, level: str = "info"):
        self.clock, self.fd = clock, fd
        self.lines: deque[bytes] = deque()  # emptied by the writer
        self.dropped = 0
        self.level = level  # lines under it are not written; a version may set it
        self.has_lines = Event()
        make_nonblocking(fd)

    def __call__(self, event: str, *, level: str = "info", **fields: object) -> None:
        """``level`` says whether somebody should look (``warning``) or not."""
        if LEVELS[level] < LEVELS[self.level]:
            return
        if len(self.lines) >= self.MAX_LINES:
            self.dropped += 1
            return
        line = {"at_ms": round(self.clock(), 1), "event": event, **fields}
        if level != "info":
            line["level"] = level
        self.lines.append(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE, default=str))
        self.has_lines.set()

    def is_enabled(self, level: str) -> bool:
        """Whether a line of this level would be written, for callers whose fields cost something."""
        return LEVELS[level] >= LEVELS[self.level]

    def run(self) -> None:
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            while self.lines:
                self.write(self.lines.popleft())

    def write(self, line: bytes) -> None:
        """One line; one that the system does not take is dropped and counted, and costs nothing else."""
        try:
            while line:
                line = line[nb_write(self.fd, line) :]
        except OSError:
            self.dropped += 1
            gevent.sleep(RETRY_DELAY_S)

    def flush(self) -> None:
        """At exit: what still waits, as far as the reader takes it within a moment."""
        with gevent.Timeout(0.5, False):
            while self.lines:
                self.write(self.lines.popleft())


class RateLimitedWarnings:
    """Lines that trouble brings by thousands: ``most`` of a kind a second are written, the first of the next
    second says how many were not. Guards against a log that is itself the next trouble."""

    __slots__ = ("left_out", "log", "max_per_second", "second", "written")

    def __init__(self, log: Callable[..., None], most: int = 5):
        self.log, self.max_per_second = (
            log,
            most,
        )  # as many as a reader can compare; a flood alike says no more
        self.second, self.written, self.left_out = 0, 0, 0

    def __call__(self, event: str, now: float, **fields: object) -> None:
        second = int(now // 1000)
        if second != self.second:
            self.second, self.written = second, 0
        if self.written >= self.max_per_second:
            self.left_out += 1
            return
        self.written += 1
        if self.left_out:
            fields["left_out"], self.left_out = self.left_out, 0
        self.log(event, level="warning", **fields)


def open_descriptors() -> int:
    """How many the process holds, -1 where the system does not say."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1
