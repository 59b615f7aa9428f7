"""What the decision module is told and what it may ask for, in no protocol's words.

A host builds one ``Facts``, makes one balancer from it and hands it events. Calls that are not about a
single req return actions. A req is a generator: it yields ``Send``, ``Await`` or ``Cancel`` and ends by
yielding ``Shed`` or ``Fail`` (or is simply not resumed once an upstream try has completed the req).
The generator is resumed with (now, result). For ``Send`` and ``Await`` the result is the next ``Ended`` of
that req, or None once ``patience_ms`` has passed; for ``Cancel`` it is None at once.
All times are float milliseconds. Machines, zones, routes
and tenants are small indices; a host may give them any meaning.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    RETRIABLE = 0
    DEDUPED = 1
    NON_RETRIABLE = 2


class Group(IntEnum):
    """Which machines drop a repeat of a deduped req."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Gate(IntEnum):
    """How votes move a build: one vote, a number of votes, or the clock unless held."""

    ANY = 0
    COUNT = 1
    CLOCK = 2


class End(IntEnum):
    """How an upstream try or a call ended."""

    COMPLETED = 1
    ERRORED = 2
    FULL = 3
    TIMEOUT = 4
    NOT_CONNECTED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


NEVER_RAN = frozenset((End.FULL, End.NOT_CONNECTED, End.MOOT))


class Status(IntEnum):
    IN_SERVICE = 0
    DRAINING = 1
    GONE = 2


class Phase(IntEnum):
    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class ListKind(IntEnum):
    CHANGES = 0
    WHOLE = 1
    REMEMBERED = 2


class Sight(IntEnum):
    """How far the list can be trusted to be all that was told."""

    FRESH = 0  # a stream stands and has said something lately
    DOUBTFUL = 1  # the stream that stands is silent for longer than it should be: it may be half open
    BLIND = 2  # no stream stands that has told anything


# --- facts told at the start ---


@dataclass(slots=True, frozen=True)
class Route:
    effect: Effect
    group: Group
    dedup_ms: float
    objective_ms: float
    timeout_ms: float
    benefit: float
    late_benefit: float
    most_tries: int = 1_000_000  # that operators allow, beside the settings' own bound
    retry_budget: float = 1.0  # most further tries a req earns


@dataclass(slots=True, frozen=True)
class Tenant:
    share: float
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class Rules:
    drain_grace_ms: float
    cold_ms: float
    cold_share: float
    overload_factor: float
    fall_ms: float
    ask_every_ms: float


@dataclass(slots=True, frozen=True)
class Rollout:
    gate: Gate
    on_votes: int
    back_votes: int
    vote_life_ms: float
    answer_wait_ms: float
    calls_per_s: float
    soak_ms: float
    caps: tuple[float, ...]
    span_ms: float
    free: float
    by_route: bool
    guarded_stages: int
    no_return: bool
    counts_every_ms: float
    in_place: bool = False  # the earlier build's machines go as the trial's start


@dataclass(slots=True, frozen=True)
class Facts:
    balancers: int
    zone: int
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...]
    over_share_benefit: float
    benefit_by_work: bool
    rules: Rules
    rollout: Rollout
    list_on_request: bool
    max_tries: int
    second_copies: bool
    come_back: bool
    max_come_back_ms: float
    weights_mean_size: bool
    load_column: int | None
    handshake_price: float = 0.0  # a new connection, in benefit of a mean req
    idle_ms: float = 0.0  # how long a machine keeps a connection that carries nothing


# --- events ---


@dataclass(slots=True)
class Row:
    machine: int
    status: Status
    build: int
    zone: int
    cell: int
    kind: int
    weight: float
    started: float


@dataclass(slots=True)
class Listed:
    kind: ListKind
    rows: list[Row] = field(default_factory=list)


@dataclass(slots=True)
class Sighted:
    """The sight has changed; ``since`` is when the last word or sign of life came."""

    sight: Sight
    since: float


@dataclass(slots=True)
class Narrowed:
    """What operators narrow of the facts told at the start, never more than they were; ``trial_share`` bounds
    the told cap of a build on trial."""

    facts: Facts
    trial_share: float


@dataclass(slots=True)
class Req:
    ident: int
    route: int
    tenant: int | None
    key: str | None
    ends_at: float
    cost_ms: float
    repeat: bool


@dataclass(slots=True)
class Ended:
    machine: int
    try_no: int
    end: End
    took_ms: float
    load: float | None
    finished: bool
    connected_at: float = float("inf")  # when the connection that carried it was made, if it is known


@dataclass(slots=True)
class StageNews:
    end: End
    answers_vote: bool
    build: int
    stage: int
    phase: Phase
    cap: float
    age_ms: float


@dataclass(slots=True)
class Tally:
    build: int
    route: int
    count: int
    errors: int
    mean_ms: float
    age_ms: float


@dataclass(slots=True)
class Flagged:
    machine: int
    route: int
    age_ms: float


@dataclass(slots=True)
class Probed:
    machine: int
    end: End
    took_ms: float
    load: float | None


# --- actions ---


@dataclass(slots=True)
class Send:
    machine: int
    timeout_ms: float
    patience_ms: float | None = None


@dataclass(slots=True)
class Await:
    patience_ms: float | None = None


@dataclass(slots=True)
class Cancel:
    try_no: int


@dataclass(slots=True)
class Shed:
    come_back_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    pass


@dataclass(slots=True)
class Vote:
    build: int
    verdict: Verdict
    stage: int


@dataclass(slots=True)
class Watch:
    on: bool = True


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class Probe:
    machine: int


@dataclass(slots=True)
class CloseIdle:
    machine: int


@dataclass(slots=True)
class Tell:
    peer: int
    payload: bytes


@dataclass(slots=True)
class WakeAt:
    at: float


@dataclass(slots=True)
class Note:
    text: str


Action = Send | Await | Cancel | Shed | Fail | Vote | Watch | Fetch | Probe | CloseIdle | Tell | WakeAt | Note
