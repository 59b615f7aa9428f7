"""The first moments of a front's process: signals that come before their handlers wait instead of ending it.

Nothing slow may be imported here. The deploy file's ``run`` has the shell ignore SIGHUP and SIGUSR1, which
holds until they are blocked here; a blocked signal stays pending even where it is ignored (Linux)."""

import signal

WAITING = frozenset((signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT))
SERVE = "serve"


def hold_signals(arguments: list[str]) -> None:
    """Blocks the signals of a front where that is what is started; ``release_signals`` lets them come."""
    if SERVE in arguments[1:2]:
        signal.pthread_sigmask(signal.SIG_BLOCK, WAITING)


def release_signals() -> None:
    """Handlers are set: what has come meanwhile is handled now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, WAITING)
