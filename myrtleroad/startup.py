"""Blocks signals from the start of a front's process until their handlers are installed, so that an early
signal does not end the process.

Nothing slow may be imported here. The ``run`` command of the deploy file makes the shell ignore SIGHUP and
SIGUSR1, which covers the time until they are blocked here. On Linux a blocked signal stays pending even while
it is ignored."""

import signal

BLOCKED_SIGNALS = frozenset((signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT))
SERVE_COMMAND = "serve"


def block_signals(arguments: list[str]) -> None:
    """Blocks a front's signals if ``arguments`` (as ``sys.argv``) start one, until ``unblock_signals``."""
    if SERVE_COMMAND in arguments[1:2]:
        signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)


def unblock_signals() -> None:
    """Delivers the signals that came meanwhile; to be called once the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
