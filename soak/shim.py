"""The shim for system calls and clocks: built by ``cc`` from ``shim.c``, told what to do by a page of memory
that it shares with the soak."""

import errno
import mmap
import os
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
HEAD = struct.Struct("=qiiii")  # struct page of shim.c up to its faults
FAULT = struct.Struct("=ii")
NS_PER_S = 1_000_000_000


class Call(IntEnum):
    """The calls that can fail, in the order of ``enum call`` in shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SETSOCKOPT = 3
    RECEIVE = 4
    SEND = 5
    LOG = 6  # writes to standard output and error
    POLL = 7
    EPOLL = 8
    OPEN = 9  # for writing
    FSYNC = 10
    RENAME = 11
    WRITE_FILE = 12


# Each way that the man pages name and that a process can meet on a socket or file that is in order. Where the
# system says that a connection was reset or timed out, it is so: stand-ins bring that about by a real reset.
ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.ETIMEDOUT,
    ),
    Call.SETSOCKOPT: (errno.EINVAL, errno.ENOBUFS, errno.ENOMEM),
    Call.RECEIVE: (errno.EAGAIN, errno.EINTR, errno.ENOMEM),
    Call.SEND: (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM),
    Call.LOG: (errno.EAGAIN, errno.EINTR, errno.EIO, errno.ENOSPC, errno.EPIPE),
    Call.POLL: (errno.EINTR, errno.ENOMEM),
    Call.EPOLL: (errno.EINTR,),
    Call.OPEN: (errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOSPC, errno.EIO),
    Call.FSYNC: (errno.EIO, errno.ENOSPC),
    Call.RENAME: (errno.EIO, errno.ENOSPC),
    Call.WRITE_FILE: (errno.EIO, errno.ENOSPC),
}


class NoCompiler(RuntimeError):
    """The shim cannot be built."""


def build(folder: Path) -> Path:
    """The shim as a shared object. Raises NoCompiler in one clear line."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise NoCompiler("the shim for system calls needs a C compiler named cc, and there is none")
    target = folder / "shim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(target), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode != 0:
        raise NoCompiler(f"the shim does not build: {done.stderr.strip()}")
    return target


class Shim:
    """What one process meets; every method takes effect at once, in the process that runs."""

    def __init__(self, library: Path, folder: Path, name: str, seed: int = 1):
        self.path = folder / f"{name}.page"
        self.path.write_bytes(bytes(HEAD.size + FAULT.size * len(Call)))
        with self.path.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), 0)
        self.step_s, self.hold = 0.0, (0, 0)
        self.environment = {
            "LD_PRELOAD": str(library),
            "SOAK_SHIM_PAGE": str(self.path),
            "SOAK_SHIM_SEED": str(seed),
        }
        self.short_per_mille = 0

    def head(self) -> None:
        step = int(self.step_s * NS_PER_S)
        HEAD.pack_into(self.page, 0, step, *self.hold, self.short_per_mille, 0)

    def fail(self, call: Call, error: int, per_mille: int = 1000) -> None:
        FAULT.pack_into(self.page, HEAD.size + FAULT.size * call, per_mille, error)

    def mend(self) -> None:
        """No call fails any more; the wall clock stays where it is."""
        for call in Call:
            self.fail(call, 0, 0)
        self.hold, self.short_per_mille = (0, 0), 0
        self.head()

    def step_wall_clock(self, seconds: float) -> None:
        self.step_s += seconds
        self.head()

    def hold_after_clock(self, milliseconds: int, per_mille: int) -> None:
        self.hold = (milliseconds, per_mille)
        self.head()

    def shorten(self, per_mille: int) -> None:
        """Reads and writes on sockets move one byte, this often."""
        self.short_per_mille = per_mille
        self.head()

    def close(self) -> None:
        self.page.close()


def preload(environment: dict[str, str]) -> dict[str, str]:
    """An environment to start a process with, beside one that is preloaded already."""
    before = os.environ.get("LD_PRELOAD")
    if before and "LD_PRELOAD" in environment:
        environment = environment | {"LD_PRELOAD": f"{environment['LD_PRELOAD']}:{before}"}
    return environment
