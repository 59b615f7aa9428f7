"""Keeps an actor running: an exception is logged and counted, and the actor goes on with its next message."""

import traceback
from collections.abc import Callable

import gevent

from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log

RESTART_DELAY_S = 0.1  # after an exception, so that one that recurs at once does not spin


def report_fault(during: str, error: Exception, counters: Counters, log: Log) -> None:
    """Log and count an exception, with the place that raised it."""
    counters.add("faults")
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
    log("fault", level="warning", during=during, error=f"{type(error).__name__}: {error}", place=place)


def keep_running(name: str, run: Callable[[], None], counters: Counters, log: Log) -> None:
    """Run an actor until it returns, starting it again after an exception."""
    while True:
        try:
            return run()
        except Exception as error:
            report_fault(name, error, counters, log)
            gevent.sleep(RESTART_DELAY_S)
