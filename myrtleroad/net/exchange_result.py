"""How an exchange with a peer ended: errors as values that carry how far it had come."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from myrtleroad import interface as i


class ExchangeProgress(IntEnum):
    """How far an exchange had come when it broke."""

    NOT_CONNECTED = 0
    CONNECTED = 1  # and the last byte not written
    WRITTEN = 2  # every byte written, nothing come back
    BEGUN = 3  # the answer begun and not whole


class FailureCause(StrEnum):
    REFUSED = "refused"  # by the other side
    SHORT = "short"  # by our own system: no descriptor, memory or port left
    TIMEOUT = "timeout"  # we stopped waiting
    ENDED = "ended"  # the other side closed or reset
    UNREADABLE = "unreadable"  # what came was not HTTP
    CANCELLED = "cancelled"  # called off by the module
    WITHDRAWN = "withdrawn"  # the list or the news forbade it just before it was written
    OVERDUE = "overdue"  # the req's own time ran out before it was written


@dataclass(slots=True, frozen=True)
class ExchangeFailure:
    progress: ExchangeProgress
    cause: FailureCause
    detail: str = ""


@dataclass(slots=True)
class UpstreamResponse:
    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        return next((v for n, v in self.headers if n.lower() == name), None)


def outcome_of_attempt(result: UpstreamResponse | ExchangeFailure) -> i.Outcome:
    """What a try's result says; only an ending of ``interface.NEVER_RAN`` says that it cannot have run."""
    if isinstance(result, UpstreamResponse):
        if result.status == 200:
            return i.Outcome.COMPLETED
        away = result.status in (503, 504) and result.header(b"x-turned-away") == b"1"
        return i.Outcome.FULL if away else i.Outcome.ERRORED
    if result.cause in (FailureCause.WITHDRAWN, FailureCause.OVERDUE, FailureCause.SHORT):
        return i.Outcome.MOOT  # not the machine's fault, and never written
    if result.progress < ExchangeProgress.WRITTEN:
        # A machine begins a req once its last byte has arrived, and that byte was never written.
        return i.Outcome.NOT_CONNECTED
    if result.cause == FailureCause.TIMEOUT:
        return i.Outcome.TIMEOUT
    return i.Outcome.CANCELLED if result.cause == FailureCause.CANCELLED else i.Outcome.RESET
