"""Reads what the discovery watch and the stage updates have received before a first byte goes to a server.

A stream's own greenlet reads it too. But the event loop wakes greenlets in its own order, at most 64 sockets
at a time, and after the process was suspended everything is readable at once: without this check the requests
read ahead of a drain would go to servers that drain.
"""

import select
from collections.abc import Callable
from typing import Protocol


class ReadableStream(Protocol):
    """What the poller calls when a descriptor is readable."""

    def read_now(self) -> bool:
        """Process what was received, without waiting; False if nothing more can be received."""


class StreamPoller:
    """The descriptors of the open streams, polled together in one system call. A stream is removed when it
    closes or when its end is read."""

    __slots__ = ("after_poll", "poll_object", "streams")

    def __init__(self) -> None:
        self.poll_object = select.poll()
        self.streams: dict[int, ReadableStream] = {}  # one entry per open stream: at most four
        # processes the messages that the followers' streams have posted
        self.after_poll: list[Callable[[], None]] = []

    def add(self, fd: int, stream: ReadableStream) -> None:
        """Poll a descriptor for its stream."""
        self.streams[fd] = stream
        self.poll_object.register(fd, select.POLLIN)

    def remove(self, fd: int, stream: ReadableStream) -> None:
        """Stop polling a descriptor, if it still belongs to this stream."""
        # Guards against a descriptor number that the system has reused for another stream.
        if self.streams.get(fd) is stream:
            del self.streams[fd]
            self.poll_object.unregister(fd)

    def readable(self) -> list[int]:
        """The descriptors that are readable; all of them if the system call fails."""
        try:
            return [fd for fd, _ in self.poll_object.poll(0)]
        except OSError:
            return list(self.streams)

    def read_ready(self) -> None:
        """Read all streams that are readable. Costs one system call if there are none; never switches
        greenlets."""
        if self.streams:
            for fd in self.readable():
                stream = self.streams.get(fd)
                if stream is not None and not stream.read_now():
                    self.remove(fd, stream)
        for process_messages in self.after_poll:
            process_messages()
