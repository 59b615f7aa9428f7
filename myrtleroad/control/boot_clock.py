"""A clock whose readings can be compared across restarts of a process."""

import time
import uuid
from pathlib import Path

from myrtleroad.control.confirmation import BootTime

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class BootClock:
    """Time since the boot of this machine, suspensions included. It does not follow the wall clock."""

    def __init__(self) -> None:
        self.boot_id = read_boot_id()

    def __call__(self) -> BootTime:
        """The current time."""
        return BootTime(self.boot_id, time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0)


def read_boot_id() -> str:
    """Identifies the current boot. Where the system does not tell, an identifier of this process alone, so
    that no reading of another process is taken for one of the same boot."""
    try:
        return BOOT_ID.read_text().strip() or str(uuid.uuid4())
    except OSError:
        return str(uuid.uuid4())
