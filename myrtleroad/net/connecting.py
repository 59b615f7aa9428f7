"""Connects to an address; each way to fail is reported at once."""

import errno
import os
import socket as system

from gevent import socket

from myrtleroad.net.node_config import Address

IN_PROGRESS_ERRNOS = frozenset((errno.EINPROGRESS, errno.EINTR))  # the connection is still being established


def connect(address: Address, timeout_s: float) -> socket.socket:
    """A connection to an address. Raises OSError with the system's error, TimeoutError after the timeout.

    A connect that fails with EAGAIN has not begun (no local port is left); a library may wait for it.
    """
    raw = system.socket(system.AF_INET, system.SOCK_STREAM)
    try:
        raw.setblocking(False)
        error = raw.connect_ex(address)
        if error in IN_PROGRESS_ERRNOS:
            socket.wait_write(raw.fileno(), timeout_s, TimeoutError("timed out"))
            error = raw.getsockopt(system.SOL_SOCKET, system.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
    except BaseException:
        raw.close()
        raise
    return socket.socket(system.AF_INET, system.SOCK_STREAM, 0, raw.detach())


def connect_by_name(address: Address, timeout_s: float) -> socket.socket:
    """A connection to an address whose host may be a name. Raises as ``connect``."""
    try:
        system.inet_aton(address[0])
    except OSError:
        return socket.create_connection(address, timeout_s)
    # Without the resolver, which starts threads.
    return connect(address, timeout_s)
