"""Reads and writes of connected sockets in spite of system calls that fail for a while, and checks whether a
peer has left."""

import errno
import math
import select
import time
from collections.abc import Sequence

import gevent
from gevent import socket

# One receive buffer for all connections: bytes are parsed as soon as they are read, without a greenlet switch
# in between. Its size bounds the work of one read: readers give way to others between two reads.
BUFFER = bytearray(16 * 1024)
BUFFER_VIEW = memoryview(BUFFER)
# A system call may succeed after these errors; the connection is still usable.
TRANSIENT_ERRNOS = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))
RETRY_DELAY_S = 0.01  # before a system call that failed with one of them is repeated
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
Buffer = bytes | bytearray | memoryview


def send(sock: socket.socket, parts: list[bytes]) -> None:
    """Writes all parts: one gathered write, then what the system did not take of it."""
    sent = sock.sendmsg(parts)
    unsent_bytes = sum(map(len, parts)) - sent
    if unsent_bytes:
        sock.sendall(b"".join(parts)[sent:])


def send_nowait(sock: socket.socket, parts: Sequence[Buffer]) -> list[memoryview]:
    """Makes one gathered write that never waits; returns views of what the system did not take."""
    try:
        sent = sock.sendmsg(parts, (), socket.MSG_DONTWAIT)
    except OSError as error:
        if error.errno not in TRANSIENT_ERRNOS:
            raise
        sent = 0
    return skip_bytes(parts, sent)


def skip_bytes(parts: Sequence[Buffer], count: int) -> list[memoryview]:
    """Returns views of all bytes of the parts but the first ``count``."""
    rest = []
    for part in parts:
        if count < len(part):
            rest.append(memoryview(part)[count:])
        count = max(0, count - len(part))
    return rest


def send_all(sock: socket.socket, parts: Sequence[Buffer], timeout_s: float = math.inf) -> None:
    """Writes all parts, retrying while the system lacks buffers. Raises TimeoutError after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while parts:
        try:
            parts = skip_bytes(parts, sock.send(parts[0]))
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise
            if time.monotonic() >= deadline:
                raise TimeoutError("timed out") from None
            gevent.sleep(RETRY_DELAY_S)


def receive(sock: socket.socket, max_bytes: int = 0) -> memoryview:
    """Waits for bytes and returns them, at most ``max_bytes`` if given, empty once the peer has closed. The
    result is a view of a shared buffer and valid until the next greenlet switch. Raises TimeoutError after
    the socket's timeout."""
    timeout_s = sock.gettimeout()
    deadline = None if timeout_s is None else time.monotonic() + timeout_s
    while True:
        try:
            return BUFFER_VIEW[: sock.recv_into(BUFFER, max_bytes)]
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or (deadline is not None and time.monotonic() >= deadline):
                raise
            gevent.sleep(RETRY_DELAY_S)


def peek(sock: socket.socket) -> bytes | None:
    """Returns the first unread byte without removing it and without waiting: None if there is none, empty if
    the connection has ended or is broken."""
    # A gevent socket waits for bytes in spite of MSG_DONTWAIT; with a timeout of 0 it does not wait.
    timeout_s = sock.gettimeout()
    try:
        sock.settimeout(0)
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout_s)


def has_left(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection or its sending side, even behind unread bytes."""
    if peek(sock) == b"":
        return True
    hangup = select.poll()
    try:
        hangup.register(sock.fileno(), select.POLLRDHUP)
        return any(events & HANGUP_EVENTS for _, events in hangup.poll(0))
    except (OSError, ValueError):
        return False  # the next read or write will tell


def is_stale(sock: socket.socket) -> bool:
    """Whether the peer has closed an idle connection, or has sent bytes on it that no request asked for."""
    return peek(sock) is not None
