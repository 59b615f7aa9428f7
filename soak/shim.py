"""Shim for system calls and clocks of a front.

It is built with ``cc`` from ``shim.c``, loaded with LD_PRELOAD and controlled through a page of memory that
the process shares with the soak."""

import errno
import mmap
import os
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
PAGE_HEADER = struct.Struct("=qiiii")  # struct page of shim.c up to its array of faults
PAGE_FAULT = struct.Struct("=ii")  # struct fault of shim.c
NS_PER_S = 1_000_000_000


class SystemCall(IntEnum):
    """System calls that can be made to fail, in the order of ``enum call`` in shim.c."""

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


# The errors that the man pages name and that a process can get on an intact socket or file. Errors by which
# reading or writing reports a connection as reset or timed out are left out: they occur only on a
# connection that was reset, and the stand-ins cause them with a real reset.
ERRNOS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.ACCEPT: (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    ),
    SystemCall.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.ETIMEDOUT,
    ),
    SystemCall.SETSOCKOPT: (errno.EINVAL, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.RECEIVE: (errno.EAGAIN, errno.EINTR, errno.ENOMEM),
    SystemCall.SEND: (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.LOG: (errno.EAGAIN, errno.EINTR, errno.EIO, errno.ENOSPC, errno.EPIPE),
    SystemCall.POLL: (errno.EINTR, errno.ENOMEM),
    SystemCall.EPOLL: (errno.EINTR,),
    SystemCall.OPEN: (errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOSPC, errno.EIO),
    SystemCall.FSYNC: (errno.EIO, errno.ENOSPC),
    SystemCall.RENAME: (errno.EIO, errno.ENOSPC),
    SystemCall.WRITE_FILE: (errno.EIO, errno.ENOSPC),
}


class ShimBuildError(RuntimeError):
    """The shim can't be built."""


def build_shim(folder: Path) -> Path:
    """Builds the shim as a shared object and returns its path. Raises ShimBuildError."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimBuildError("building the system call shim needs a C compiler named cc, which was not found")
    target = folder / "shim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(target), str(SOURCE), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True)
    if result.returncode != 0:
        raise ShimBuildError(f"building the system call shim failed: {result.stderr.strip()}")
    return target


class Shim:
    """Control page of the shim of one front.

    Every method takes effect at once in the running process. Shares of calls are given per mille."""

    def __init__(self, library: Path, folder: Path, name: str, seed: int = 1):
        self.page_path = folder / f"{name}.page"
        self.page_path.write_bytes(bytes(PAGE_HEADER.size + PAGE_FAULT.size * len(SystemCall)))
        with self.page_path.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), 0)
        self.wall_clock_offset_s, self.clock_pause = 0.0, (0, 0)  # pause: milliseconds, per mille
        self.environment = {
            "LD_PRELOAD": str(library),
            "SOAK_SHIM_PAGE": str(self.page_path),
            "SOAK_SHIM_SEED": str(seed),
        }
        self.short_per_mille = 0

    def write_header(self) -> None:
        """Writes everything but the per-call faults to the page."""
        offset_ns = int(self.wall_clock_offset_s * NS_PER_S)
        PAGE_HEADER.pack_into(self.page, 0, offset_ns, *self.clock_pause, self.short_per_mille, 0)

    def fail_call(self, call: SystemCall, error: int, per_mille: int = 1000) -> None:
        """Makes a share of the calls fail with this errno."""
        PAGE_FAULT.pack_into(self.page, PAGE_HEADER.size + PAGE_FAULT.size * call, per_mille, error)

    def clear_faults(self) -> None:
        """Ends all faults but the offset of the wall clock."""
        for call in SystemCall:
            self.fail_call(call, 0, 0)
        self.clock_pause, self.short_per_mille = (0, 0), 0
        self.write_header()

    def step_wall_clock(self, seconds: float) -> None:
        """Moves the wall clock by this much, on top of earlier steps."""
        self.wall_clock_offset_s += seconds
        self.write_header()

    def pause_after_clock_read(self, milliseconds: int, per_mille: int) -> None:
        """Pauses the calling thread after a share of its clock reads."""
        self.clock_pause = (milliseconds, per_mille)
        self.write_header()

    def shorten_transfers(self, per_mille: int) -> None:
        """Limits a share of the reads and writes on sockets to one byte."""
        self.short_per_mille = per_mille
        self.write_header()

    def close(self) -> None:
        """Unmaps the page."""
        self.page.close()


def with_inherited_preload(environment: dict[str, str]) -> dict[str, str]:
    """Returns the environment with the LD_PRELOAD of this process appended, if both have one."""
    inherited = os.environ.get("LD_PRELOAD")
    if inherited and "LD_PRELOAD" in environment:
        environment = environment | {"LD_PRELOAD": f"{environment['LD_PRELOAD']}:{inherited}"}
    return environment
