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


class RetrySafety(IntEnum):
    RETRIABLE = 0
    DEDUPED = 1
    NON_RETRIABLE = 2


class DedupScope(IntEnum):
    """Which machines drop a repeat of a deduped req."""

    ALL = 0
    ZONE = 1
    CELL = 2


class VoteMode(IntEnum):
    """How votes move a build: one vote, a number of votes, or the clock unless held."""

    ANY = 0
    COUNT = 1
    CLOCK = 2


class Outcome(IntEnum):
    """How an upstream try or a call ended."""

    COMPLETED = 1
    ERRORED = 2
    FULL = 3
    TIMEOUT = 4
    NOT_CONNECTED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


NOT_EXECUTED = frozenset((Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.MOOT))


class ServerStatus(IntEnum):
    IN_SERVICE = 0
    DRAINING = 1
    GONE = 2


class RolloutPhase(IntEnum):
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


class ListFreshness(IntEnum):
    """How far the list can be trusted to be all that was told."""

    FRESH = 0  # a stream stands and has said something lately
    DOUBTFUL = 1  # the stream that stands is silent for longer than it should be: it may be half open
    BLIND = 2  # no stream stands that has told anything


# --- facts told at the start ---


@dataclass(slots=True, frozen=True)
class Route:
    retry_safety: RetrySafety
    dedup_scope: DedupScope
    dedup_window_ms: float
    objective_ms: float
    timeout_ms: float
    benefit: float
    late_benefit: float
    max_attempts: int = 1_000_000  # that operators allow, beside the settings' own bound
    retry_budget: float = 1.0  # most further tries a req earns


@dataclass(slots=True, frozen=True)
class Tenant:
    share: float
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class ServerRules:
    drain_grace_ms: float
    slow_start_ms: float
    slow_start_min_share: float
    overload_factor: float
    overload_window_ms: float
    max_poll_interval_ms: float


@dataclass(slots=True, frozen=True)
class Rollout:
    vote_mode: VoteMode
    votes_to_advance: int
    votes_to_roll_back: int
    vote_lifetime_ms: float
    vote_timeout_ms: float
    max_calls_per_s: float
    stage_soak_ms: float
    stage_caps: tuple[float, ...]
    exposure_window_ms: float
    free_attempts: float
    cap_per_route: bool
    retriable_only_stages: int
    forbids_downgrade: bool
    counts_interval_ms: float
    replaces_in_place: bool = False  # the earlier build's machines go as the trial's start


@dataclass(slots=True, frozen=True)
class Settings:
    balancers: int
    zone: int
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...]
    over_share_benefit: float
    benefit_by_work: bool
    server_rules: ServerRules
    rollout: Rollout
    list_on_request: bool
    max_attempts: int
    hedging_allowed: bool
    retry_after_allowed: bool
    max_retry_after_ms: float
    weights_are_capacity: bool
    load_column: int | None
    handshake_cost: float = 0.0  # a new connection, in benefit of a mean req
    idle_timeout_ms: float = 0.0  # how long a machine keeps a connection that carries nothing


# --- events ---


@dataclass(slots=True)
class ServerEntry:
    server: int
    status: ServerStatus
    build: int
    zone: int
    cell: int
    server_type: int
    weight: float
    started_at: float


@dataclass(slots=True)
class ServerListUpdate:
    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(slots=True)
class ListFreshnessChanged:
    """The sight has changed; ``since`` is when the last word or sign of life came."""

    freshness: ListFreshness
    last_received_at: float


@dataclass(slots=True)
class SettingsNarrowed:
    """What operators narrow of the facts told at the start, never more than they were; ``trial_share`` bounds
    the told cap of a build on trial."""

    settings: Settings
    max_trial_share: float


@dataclass(slots=True)
class Request:
    id: int
    route: int
    tenant: int | None
    dedup_key: str | None
    deadline: float
    cost_hint_ms: float
    is_repeat: bool


@dataclass(slots=True)
class AttemptEnded:
    server: int
    attempt_number: int
    outcome: Outcome
    duration_ms: float
    reported_load: float | None
    request_finished: bool
    connected_at: float = float("inf")  # when the connection that carried it was made, if it is known


@dataclass(slots=True)
class StageUpdate:
    outcome: Outcome
    answers_vote: bool
    build: int
    stage: int
    phase: RolloutPhase
    cap: float
    stage_age_ms: float


@dataclass(slots=True)
class AttemptCounts:
    build: int
    route: int
    attempts: int
    errors: int
    mean_duration_ms: float
    age_ms: float


@dataclass(slots=True)
class BadResponseReported:
    server: int
    route: int
    age_ms: float


@dataclass(slots=True)
class ProbeEnded:
    server: int
    outcome: Outcome
    duration_ms: float
    reported_load: float | None


# --- actions ---


@dataclass(slots=True)
class SendAttempt:
    server: int
    timeout_ms: float
    max_wait_ms: float | None = None


@dataclass(slots=True)
class Wait:
    max_wait_ms: float | None = None


@dataclass(slots=True)
class CancelAttempt:
    attempt_number: int


@dataclass(slots=True)
class Shed:
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    pass


@dataclass(slots=True)
class Vote:
    build: int
    verdict: Verdict
    stage: int


@dataclass(slots=True)
class WatchServerList:
    enabled: bool = True


@dataclass(slots=True)
class FetchServerList:
    pass


@dataclass(slots=True)
class ProbeServer:
    server: int


@dataclass(slots=True)
class CloseIdleConnections:
    server: int


@dataclass(slots=True)
class SendToPeer:
    peer: int
    payload: bytes


@dataclass(slots=True)
class WakeAt:
    at: float


@dataclass(slots=True)
class LogMessage:
    text: str


Action = (
    SendAttempt
    | Wait
    | CancelAttempt
    | Shed
    | Fail
    | Vote
    | WatchServerList
    | FetchServerList
    | ProbeServer
    | CloseIdleConnections
    | SendToPeer
    | WakeAt
    | LogMessage
)
