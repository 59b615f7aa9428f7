"""The log: one JSON line per event, written by a separate greenlet so that no request waits for it."""

import os
from collections import deque
from collections.abc import Callable, Mapping

import gevent
import orjson
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

LEVELS = {"debug": 0, "info": 1, "warning": 2}
# environment variable; a configuration version takes precedence over it
LEVEL_VARIABLE = "MYRTLEROAD_LOG_LEVEL"


def level_from_environment(environment: Mapping[str, str]) -> str:
    """The log level set in the environment, ``info`` by default. Raises ValueError for an unknown level."""
    level = environment.get(LEVEL_VARIABLE, "info")
    if level not in LEVELS:
        raise ValueError(f"{LEVEL_VARIABLE}: {level!r} is none of {', '.join(LEVELS)}")
    return level


RETRY_DELAY_S = 0.01  # after a line that could not be written


class Log:
    """Queues lines and writes them to a descriptor without blocking the caller."""

    ACTOR_NAME = "log"  # the actor's name in log events
    # Lines that wait for a slow reader, and their bytes; later ones are dropped and counted.
    MAX_LINES, MAX_BYTES = 1000, 256 * 1024

    def __init__(self, clock: Callable[[], float], fd: int = 1, level: str = "info"):
        self.clock, self.fd = clock, fd
        self.lines: deque[bytes] = deque()  # drained by the writer
        self.queued_bytes = 0  # in ``lines``
        self.dropped = 0
        self.level = level  # lines below it are not written; a configuration version may change it
        self.has_lines = Event()
        make_nonblocking(fd)

    def __call__(self, event: str, *, level: str = "info", **fields: object) -> None:
        """Queue a line. ``level`` is ``warning`` for events that need attention, ``info`` or ``debug`` for
        others."""
        if LEVELS[level] < LEVELS[self.level]:
            return
        if len(self.lines) >= self.MAX_LINES:
            self.dropped += 1
            return
        entry = {"at_ms": round(self.clock(), 1), "event": event, **fields}
        if level != "info":
            entry["level"] = level
        line = orjson.dumps(entry, option=orjson.OPT_APPEND_NEWLINE, default=str)
        if self.queued_bytes + len(line) > self.MAX_BYTES:
            self.dropped += 1
            return
        self.lines.append(line)
        self.queued_bytes += len(line)
        self.has_lines.set()

    def is_enabled(self, level: str) -> bool:
        """Whether a line of this level would be written, for callers whose fields are costly to compute."""
        return LEVELS[level] >= LEVELS[self.level]

    def run(self) -> None:
        """Write queued lines; does not return."""
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            while self.lines:
                self.write(self.take_line())

    def take_line(self) -> bytes:
        """Remove the oldest queued line and return it."""
        line = self.lines.popleft()
        self.queued_bytes -= len(line)
        return line

    def write(self, line: bytes) -> None:
        """Write one line. A line that the system does not accept is dropped and counted; nothing else
        fails."""
        try:
            while line:
                line = line[nb_write(self.fd, line) :]
        except OSError:
            self.dropped += 1
            gevent.sleep(RETRY_DELAY_S)

    def flush(self) -> None:
        """At exit: write the lines still queued, as far as the reader accepts them within 0.5 s."""
        with gevent.Timeout(0.5, False):
            while self.lines:
                self.write(self.take_line())


class RateLimitedWarnings:
    """Warnings that a fault can trigger by the thousand: at most ``max_per_second`` per second are written,
    and the first of the next second carries the number left out. Guards against a log that itself
    overloads the front or its reader."""

    __slots__ = ("left_out", "log", "max_per_second", "second", "written")

    def __init__(self, log: Callable[..., None], max_per_second: int = 5):
        # as many as a reader can compare; more of the same add no information
        self.log, self.max_per_second = log, max_per_second
        self.second, self.written, self.left_out = 0, 0, 0

    def __call__(self, event: str, now: float, **fields: object) -> None:
        """Log a warning, or count it as left out. ``now`` is in ms."""
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
    """The number of descriptors open in the process, -1 if the system does not report it."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return -1
