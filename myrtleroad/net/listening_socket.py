"""The socket that clients connect to, opened and emptied in spite of system calls that fail for a while."""

import contextlib
import errno
import time

import gevent
from gevent import socket

from myrtleroad.net.node_config import Address

BACKLOG = 1024  # the system may cut it
# What may be over in a moment: too few descriptors, buffers or memory; an address that is still being freed.
TRANSIENT_ERRNOS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
OPEN_TIMEOUT_S = 3.0  # for an address that cannot be listened on; fronts have to be ready within some seconds
RETRY_DELAY_S = 0.05
REUSE_TRIES = 10


def open_listener(at: Address) -> socket.socket:
    """Listens at an address. Raises OSError where that stays impossible."""
    end = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            return bind_and_listen(at)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or time.monotonic() >= end:
                raise
            gevent.sleep(RETRY_DELAY_S)


def bind_and_listen(at: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        reuse_address(sock)
        sock.bind(at)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def reuse_address(sock: socket.socket) -> None:
    """Without it a front that starts again finds its address in use by connections that have just ended."""
    for _ in range(REUSE_TRIES):
        try:
            return sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        except OSError:
            gevent.sleep(RETRY_DELAY_S)


def try_set_option(sock: socket.socket, level: int, name: int) -> None:
    """Sets an option that makes a connection better and that it can do without."""
    with contextlib.suppress(OSError):
        sock.setsockopt(level, name, 1)
