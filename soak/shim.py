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
PAGE_HEADER = struct.Struct("=qiiii")  # struct page of shim.c up to its faults
PAGE_FAULT = struct.Struct("=ii")
NS_PER_S = 1_000_000_000


class SystemCall(IntEnum):
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
    """The shim cannot be built."""


def build_shim(folder: Path) -> Path:
    """The shim as a shared object. Raises NoCompiler in one clear line."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimBuildError("the shim for system calls needs a C compiler named cc, and there is none")
    target = folder / "shim.so"
    command = [compiler, "-shared", "-fPIC", "-O2", "-Wall", "-o", str(target), str(SOURCE), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True)
    if result.returncode != 0:
        raise ShimBuildError(f"the shim does not build: {result.stderr.strip()}")
    return target


class Shim:
    """What one process meets; every method takes effect at once, in the process that runs."""

    def __init__(self, library: Path, folder: Path, name: str, seed: int = 1):
        self.page_path = folder / f"{name}.page"
        self.page_path.write_bytes(bytes(PAGE_HEADER.size + PAGE_FAULT.size * len(SystemCall)))
        with self.page_path.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), 0)
        self.wall_clock_offset_s, self.clock_pause = 0.0, (0, 0)
        self.environment = {
            "LD_PRELOAD": str(library),
            "SOAK_SHIM_PAGE": str(self.page_path),
            "SOAK_SHIM_SEED": str(seed),
        }
        self.short_per_mille = 0

    def write_header(self) -> None:
        offset_ns = int(self.wall_clock_offset_s * NS_PER_S)
        PAGE_HEADER.pack_into(self.page, 0, offset_ns, *self.clock_pause, self.short_per_mille, 0)

    def fail_call(self, call: SystemCall, error: int, per_mille: int = 1000) -> None:
        PAGE_FAULT.pack_into(self.page, PAGE_HEADER.size + PAGE_FAULT.size * call, per_mille, error)

    def clear_faults(self) -> None:
        """No call fails any more; the wall clock stays where it is."""
        for call in SystemCall:
            self.fail_call(call, 0, 0)
        self.clock_pause, self.short_per_mille = (0, 0), 0
        self.write_header()

    def step_wall_clock(self, seconds: float) -> None:
        self.wall_clock_offset_s += seconds
        self.write_header()

    def pause_after_clock_read(self, milliseconds: int, per_mille: int) -> None:
        self.clock_pause = (milliseconds, per_mille)
        self.write_header()

    def shorten_transfers(self, per_mille: int) -> None:
        """Reads and writes on sockets move one byte, this often."""
        self.short_per_mille = per_mille
        self.write_header()

    def close(self) -> None:
        self.page.close()


def with_inherited_preload(environment: dict[str, str]) -> dict[str, str]:
    """An environment to start a process with, beside one that is preloaded already."""
    inherited = os.environ.get("LD_PRELOAD")
    if inherited and "LD_PRELOAD" in environment:
        environment = environment | {"LD_PRELOAD": f"{environment['LD_PRELOAD']}:{inherited}"}
    return environment
