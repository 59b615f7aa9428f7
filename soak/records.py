"""What stand-ins and clients saw: the only thing that the judge reads.

All times are seconds on the system's monotonic clock, which every process of one machine shares."""

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    WRONG = "wrong"  # 200 with a body that no server made for this request
    CLOSED = "closed"  # the connection ended with no whole answer
    SILENT = "silent"  # no answer by the time the client stopped listening
    LEFT = "left"  # the client went before its answer


@dataclass(slots=True)
class Request:
    """One request of a client to a front."""

    txn: str
    front: str
    safe: bool
    sent: float  # when its last byte was written
    deadline: float
    new_connection: bool
    outcome: Outcome | None = None
    ended: float = 0.0
    resent: bool = False  # this copy was sent again on a new connection, as a close had crossed it
    front_killed: bool = False  # its front got SIGKILL, or had got SIGTERM too long before, as it was open


@dataclass(slots=True)
class Attempt:
    """One request as a server saw it."""

    server: str
    txn: str
    begun: float  # when its first byte arrived
    whole: float = 0.0  # when its last byte had arrived
    remaining_ms: int = 0
    build: int = 0
    ran: bool = False


@dataclass(slots=True, frozen=True)
class ServerChange:
    """One server as discovery lists it from a version on."""

    version: int
    at: float  # when discovery had it
    server: str
    lifecycle: str
    build: int
    started_ms: int


@dataclass(slots=True, frozen=True)
class ListDelivery:
    """Discovery wrote everything up to a version to a front; ``whole`` is all that it lists."""

    front: str
    at: float
    version: int


@dataclass(slots=True, frozen=True)
class TimeSpan:
    begin: float
    end: float

    def contains(self, at: float) -> bool:
        return self.begin <= at < self.end


@dataclass(slots=True, frozen=True)
class StageRecord:
    """What the platform told a front of the newest build."""

    front: str
    at: float
    build: int
    state: str
    cap: float


@dataclass(slots=True, frozen=True)
class ProcessRecord:
    """One process of a front: from its start to its end; ``ready`` is None where it never was."""

    front: str
    started: float
    ready: float | None
    ended: float | None
    exit_code: int | None
    killed: bool  # by SIGKILL of ours
    stopped: float | None  # when it got its first SIGTERM


@dataclass(slots=True)
class Records:
    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[ServerChange] = field(default_factory=list)
    written: list[ListDelivery] = field(default_factory=list)
    unreachable: list[TimeSpan] = field(default_factory=list)  # spans in which discovery could not be reached
    stages: list[StageRecord] = field(default_factory=list)
    lives: list[ProcessRecord] = field(default_factory=list)
    neglected: list[tuple[float, str]] = field(default_factory=list)  # bad clients that got no end, and where
    faults: list[tuple[float, str]] = field(default_factory=list)  # what was done and when, for the reader
