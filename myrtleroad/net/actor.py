"""Keeping an actor going: a fault in it is told and counted, and it takes its next message."""

import traceback
from collections.abc import Callable

import gevent

from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log

RESTART_DELAY_S = 0.1  # after a fault, so that one that comes at once does not spin


def report_fault(during: str, error: Exception, counters: Counters, log: Log) -> None:
    counters.add("faults")
    last = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{last.filename.rpartition('/')[2]}:{last.lineno}"
    log("fault", level="warning", during=during, error=f"{type(error).__name__}: {error}", place=place)


def keep_running(name: str, run: Callable[[], None], counters: Counters, log: Log) -> None:
    while True:
        try:
            return run()
        except Exception as error:
            report_fault(name, error, counters, log)
            gevent.sleep(RESTART_DELAY_S)
