"""A client whose request has header lines without end after its last chunk: HOST PORT SECONDS.

It sends at full speed and reads what it is sent. It stops at an error, at a close, or after SECONDS."""

import select
import socket
import sys
import time

HEAD = (
    b"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: bad0\r\nX-Lane: bulky-booking\r\n"
    b"X-Org: wetan-asri\r\nX-Remaining-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
)
LINES = b"a: b\r\n" * 20_000


def main(host: str, port: int, stays_s: float) -> str:
    """Returns what came of it."""
    began_at, sent, unsent = time.monotonic(), 0, HEAD
    with socket.create_connection((host, port)) as sock:
        sock.settimeout(0.02)
        while time.monotonic() - began_at < stays_s:
            try:
                sent_now = sock.send(unsent)
            except TimeoutError:
                sent_now = 0
            except OSError as error:
                return f"{sent / 1e6:.1f} MB sent, {type(error).__name__} after {since(began_at)}"
            sent, unsent = sent + sent_now, unsent[sent_now:] or LINES
            if select.select([sock], [], [], 0)[0]:
                return f"{sent / 1e6:.1f} MB sent, got {read(sock)} after {since(began_at)}"
    return f"{sent / 1e6:.1f} MB sent, got nothing in {since(began_at)}"


def read(sock: socket.socket) -> str:
    """The beginning of what the front has sent, as text."""
    try:
        return repr(sock.recv(32)) if select.select([sock], [], [], 1.0)[0] else "nothing"
    except OSError as error:
        return type(error).__name__


def since(began_at: float) -> str:
    """The time since then, as text."""
    return f"{time.monotonic() - began_at:.1f} s"


if __name__ == "__main__":
    print(main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
