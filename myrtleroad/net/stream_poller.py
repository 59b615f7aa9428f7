"""What the watch and the bulletin hold unread: it is read before a first byte goes to a machine.

A stream's own greenlet reads it too. But the loop wakes greenlets in an order of its own, at most 64 sockets
at a time, and after the process has been held everything has come at once: without a look the reqs ahead of
a drain would go to machines that drain."""

import select
from collections.abc import Callable
from typing import Protocol


class ReadableStream(Protocol):
    def read_now(self) -> bool:
        """Take what has come, without waiting; False once nothing more can come."""


class StreamPoller:
    """The descriptors of the open streams, asked for together in one system call. A stream leaves it as it
    closes, or as its end is seen."""

    __slots__ = ("after_poll", "poll_object", "streams")

    def __init__(self) -> None:
        self.poll_object = select.poll()
        self.streams: dict[int, ReadableStream] = {}  # as many as streams are open: four at most
        self.after_poll: list[
            Callable[[], None]
        ] = []  # the followers' own steps: what they were posted is taken

    def add(self, fd: int, source: ReadableStream) -> None:
        self.streams[fd] = source
        self.poll_object.register(fd, select.POLLIN)

    def remove(self, fd: int, source: ReadableStream) -> None:
        # Guards against a number that the system has given to another stream meanwhile.
        if self.streams.get(fd) is source:
            del self.streams[fd]
            self.poll_object.unregister(fd)

    def readable(self) -> list[int]:
        """The descriptors on which something waits; all of them where the system cannot say."""
        try:
            return [fd for fd, _ in self.poll_object.poll(0)]
        except OSError:
            return list(self.streams)

    def read_ready(self) -> None:
        """Costs one system call where nothing has come. Never switches to another greenlet."""
        if self.streams:
            for fd in self.readable():
                source = self.streams.get(fd)
                if source is not None and not source.read_now():
                    self.remove(fd, source)
        for step in self.after_poll:
            step()
