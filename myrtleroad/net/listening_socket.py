"""Opens the listening socket in spite of system calls that fail for a while, and sets socket options."""

import contextlib
import errno
import time

import gevent
from gevent import socket

from myrtleroad.net.node_config import Address

BACKLOG = 1024  # connections that wait to be accepted; the system may have a lower limit
# Errors that may pass soon: too few descriptors, buffers or memory; an address that is still being released.
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
OPEN_TIMEOUT_S = 3.0  # for repeated attempts to listen; a front has to be ready within some seconds
RETRY_DELAY_S = 0.05
REUSE_ATTEMPTS = 10  # to set SO_REUSEADDR


def open_listener(address: Address) -> socket.socket:
    """Returns a socket that listens on an address. Raises OSError on an error that does not pass, or that
    lasts for OPEN_TIMEOUT_S."""
    deadline = time.monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            return bind_and_listen(address)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or time.monotonic() >= deadline:
                raise
            gevent.sleep(RETRY_DELAY_S)


def bind_and_listen(address: Address) -> socket.socket:
    """Makes one attempt to listen on an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        reuse_address(sock)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def reuse_address(sock: socket.socket) -> None:
    """Sets SO_REUSEADDR. Without it a restarted front finds its address still in use by connections that have
    just ended."""
    for _ in range(REUSE_ATTEMPTS):
        try:
            return sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        except OSError:
            gevent.sleep(RETRY_DELAY_S)


def try_set_option(sock: socket.socket, level: int, name: int) -> None:
    """Sets a socket option that improves a connection but is not necessary; ignores errors."""
    with contextlib.suppress(OSError):
        sock.setsockopt(level, name, 1)
