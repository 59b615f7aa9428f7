"""Observations of the stand-ins and clients: the only input of the checker besides the deployment.

All times are seconds of the system's monotonic clock, which all processes of a host share. The names of the
fields are written to ``.jsonl`` files when a seed fails."""

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request as its client saw it."""

    SERVED = "served"
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    WRONG = "wrong"  # 200 with a body other than the one that servers send for this request
    CLOSED = "closed"  # the connection ended without a whole response
    SILENT = "silent"  # no response before the client stopped waiting
    LEFT = "left"  # the client closed the connection before its response


@dataclass(slots=True)
class Request:
    """One request of a client to a front. ``txn`` is the request id."""

    txn: str
    front: str
    safe: bool  # may be executed more than once
    sent: float  # when the client wrote its last byte
    deadline: float
    new_connection: bool
    outcome: Outcome | None = None
    ended: float = 0.0
    resent: bool = False  # sent again on a new connection, as the front closed the first one meanwhile
    front_killed: bool = False  # excused: its front got SIGKILL while the request was open


@dataclass(slots=True)
class Attempt:
    """One attempt of a front as the server saw it."""

    server: str
    txn: str
    begun: float  # when its first byte arrived
    whole: float = 0.0  # when its last byte had arrived
    remaining_ms: int = 0  # X-Remaining-Ms of the attempt
    build: int = 0
    ran: bool = False  # whether the server executed the request


@dataclass(slots=True, frozen=True)
class ServerChange:
    """The entry of one server in discovery from a list version on."""

    version: int
    at: float  # when discovery had it
    server: str
    lifecycle: str
    build: int
    started_ms: int


@dataclass(slots=True, frozen=True)
class ListDelivery:
    """Discovery wrote to a front all changes up to a version."""

    front: str
    at: float
    version: int


@dataclass(slots=True, frozen=True)
class TimeSpan:
    """A span of time."""

    begin: float
    end: float  # exclusive

    def contains(self, at: float) -> bool:
        """Returns whether a time lies in the span."""
        return self.begin <= at < self.end


@dataclass(slots=True, frozen=True)
class StageRecord:
    """A stage of the newest build as the platform sent it to a front."""

    front: str
    at: float
    build: int
    state: str
    cap: float


@dataclass(slots=True, frozen=True)
class ProcessRecord:
    """One process of a front, from its start to its end. ``ready`` is None if it never became ready."""

    front: str
    started: float
    ready: float | None
    ended: float | None
    exit_code: int | None
    killed: bool  # by a SIGKILL that the soak sent
    stopped: float | None  # when it got its first SIGTERM


@dataclass(slots=True)
class Records:
    """All observations of one run."""

    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[ServerChange] = field(default_factory=list)
    written: list[ListDelivery] = field(default_factory=list)
    unreachable: list[TimeSpan] = field(default_factory=list)  # while discovery could not be reached
    stages: list[StageRecord] = field(default_factory=list)
    lives: list[ProcessRecord] = field(default_factory=list)
    # time and front of each partial request that got neither an error nor a close
    neglected: list[tuple[float, str]] = field(default_factory=list)
    # time and call of each injected fault, for the person who reads the records
    faults: list[tuple[float, str]] = field(default_factory=list)
