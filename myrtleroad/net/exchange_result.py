"""Results of a request to a peer. Failures are values that show how far the exchange had come."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from myrtleroad import interface
from myrtleroad.admission.response_memory import ResponseLease


class ExchangeProgress(IntEnum):
    """How far an exchange had come when it failed."""

    NOT_CONNECTED = 0
    CONNECTED = 1  # the request not written to its last byte
    WRITTEN = 2  # the request written whole, nothing received
    BEGUN = 3  # a part of the response received


class FailureCause(StrEnum):
    """Why an exchange failed."""

    REFUSED = "refused"  # by the peer or the network
    SHORT = "short"  # the front has no descriptor, memory or port left
    TIMEOUT = "timeout"  # the time to wait for the peer ran out
    ENDED = "ended"  # the peer closed or reset the connection
    UNREADABLE = "unreadable"  # the received bytes are no valid HTTP response
    CANCELLED = "cancelled"  # by the dispatcher
    WITHDRAWN = "withdrawn"  # a server list or stage update ruled it out just before it was written
    NO_MEMORY = "no memory"  # the front had none left for the response
    OVERDUE = "overdue"  # the request's deadline passed before it was written


@dataclass(slots=True, frozen=True)
class ExchangeFailure:
    """An exchange without a complete response."""

    progress: ExchangeProgress
    cause: FailureCause
    detail: str = ""


@dataclass(slots=True)
class UpstreamResponse:
    """A response received from a peer; the body in any number of parts."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes | bytearray] = field(default_factory=list)
    keep_alive: bool = True
    lease: ResponseLease | None = None  # the memory that is counted for it

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header by its lower-case name."""
        return next((value for key, value in self.headers if key.lower() == name), None)


def outcome_of_attempt(result: UpstreamResponse | ExchangeFailure) -> interface.Outcome:
    """Returns the outcome that an attempt's result stands for. Only the outcomes in
    ``interface.NOT_EXECUTED`` mean that the server cannot have executed the request."""
    if isinstance(result, UpstreamResponse):
        if result.status == 200:
            return interface.Outcome.COMPLETED
        is_shed = result.status in (503, 504) and result.header(b"x-turned-away") == b"1"
        return interface.Outcome.FULL if is_shed else interface.Outcome.ERRORED
    if result.cause in (FailureCause.WITHDRAWN, FailureCause.OVERDUE, FailureCause.SHORT):
        return interface.Outcome.MOOT  # never written, and not because of the server
    if result.progress < ExchangeProgress.WRITTEN:
        # A server executes a request only after its last byte has arrived, and that byte was not written.
        return interface.Outcome.NOT_CONNECTED
    if result.cause == FailureCause.TIMEOUT:
        return interface.Outcome.TIMEOUT
    if result.cause in (FailureCause.CANCELLED, FailureCause.NO_MEMORY):
        return interface.Outcome.CANCELLED  # not because of the server, but it may have executed the request
    return interface.Outcome.RESET
