"""Types that the decision module and its hosts exchange, independent of any protocol.

A host builds one ``Settings``, creates one balancer from it and passes events to the balancer. Calls that do
not concern a single request return a list of actions. A request is a generator: it yields ``SendAttempt``,
``Wait`` or ``CancelAttempt`` and ends by yielding ``Shed`` or ``Fail``. Once an attempt has completed the
request, the generator is not resumed any more. It is resumed with a pair (now, result): for ``SendAttempt``
and ``Wait`` the result is the next ``AttemptEnded`` of the request, or None once ``max_wait_ms`` has passed;
for ``CancelAttempt`` it is None, immediately.

All times are floating-point milliseconds. Servers, zones, routes and tenants are small integer indices, which
a host may assign as it likes.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class RetrySafety(IntEnum):
    """Whether a request of a route may be sent again after an attempt that may have been executed."""

    RETRIABLE = 0  # executing it twice does no harm
    DEDUPED = 1  # servers drop a repeat, within the route's scope and window
    NON_RETRIABLE = 2


class DedupScope(IntEnum):
    """Which servers drop a repeat of a deduplicated request: all, or only those in the zone or cell of the
    server that got the first attempt."""

    ALL = 0
    ZONE = 1
    CELL = 2


class VoteMode(IntEnum):
    """What advances a rollout: a single vote, a number of votes, or time unless votes hold it."""

    ANY = 0
    COUNT = 1
    CLOCK = 2


class Outcome(IntEnum):
    """Result of an attempt or of a call to the platform."""

    COMPLETED = 1
    ERRORED = 2
    FULL = 3  # the server rejected the request without executing it
    TIMEOUT = 4
    NOT_CONNECTED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # withdrawn before it was sent, or overtaken by a later state


# Outcomes that prove that the request was not executed.
NOT_EXECUTED = frozenset((Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.MOOT))


class ServerStatus(IntEnum):
    """Lifecycle state of a server in the server list."""

    IN_SERVICE = 0
    DRAINING = 1
    GONE = 2


class RolloutPhase(IntEnum):
    """State of the newest build."""

    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    """What a front votes for: nothing yet, advance, hold the stage, or roll back."""

    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class ListKind(IntEnum):
    """Extent of a server list: changes only, all servers, or all servers as known before the start."""

    CHANGES = 0
    WHOLE = 1
    REMEMBERED = 2


class ListFreshness(IntEnum):
    """How far the server list can be trusted to hold every change that discovery has sent."""

    FRESH = 0  # a stream is established and has delivered data or a heartbeat recently
    DOUBTFUL = 1  # the established stream has been silent for too long and may be half-open
    BLIND = 2  # no stream that has delivered anything is established


# --- settings, fixed at the start ---


@dataclass(slots=True, frozen=True)
class Route:
    """A class of requests with its limits and its benefit to the operator."""

    retry_safety: RetrySafety
    dedup_scope: DedupScope
    dedup_window_ms: float
    objective_ms: float
    timeout_ms: float
    benefit: float
    late_benefit: float  # of a request that is answered after ``objective_ms``
    max_attempts: int = 1_000_000  # operators' limit, which applies beside ``Settings.max_attempts``
    retry_budget: float = 1.0  # the most further attempts that one request adds to the budget


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer's share of the capacity and its request quota over all fronts."""

    share: float
    quota_per_s: float


@dataclass(slots=True, frozen=True)
class ServerRules:
    """Platform rules on sending to servers that drain or have just started."""

    drain_grace_ms: float  # how long after the notice of a drain a new request may still be sent
    slow_start_ms: float  # how long a started server takes to reach full capacity
    slow_start_min_share: float  # share of the full capacity at the start
    overload_factor: float  # a cold server fails above this multiple of its capacity over the window
    overload_window_ms: float
    max_poll_interval_ms: float  # the longest time between two requests for the server list


@dataclass(slots=True, frozen=True)
class Rollout:
    """Rules for moving a build on trial through its stages."""

    vote_mode: VoteMode
    votes_to_advance: int
    votes_to_roll_back: int
    vote_lifetime_ms: float
    vote_timeout_ms: float  # how long to wait for the response to a vote
    max_calls_per_s: float  # calls to the platform, over all fronts
    stage_soak_ms: float  # minimum duration of a stage
    stage_caps: tuple[float, ...]  # exposure limit of each stage, as a share of the requests
    exposure_window_ms: float  # sliding window over which attempts and requests are counted
    free_attempts: float  # attempts on the trial build that are allowed on top of the share
    cap_per_route: bool
    retriable_only_stages: int  # in that many first stages the trial build gets retriable requests only
    forbids_downgrade: bool  # a key that the trial build has answered may not go to an earlier build
    counts_interval_ms: float  # how often the platform sends its attempt counts; 0 where it sends none
    replaces_in_place: bool = False  # servers of the earlier build are replaced when the trial starts


@dataclass(slots=True, frozen=True)
class Settings:
    """Decoded settings of a deployment, the same for all of its fronts but for the zone."""

    balancers: int
    zone: int
    routes: tuple[Route, ...]
    tenants: tuple[Tenant, ...]
    over_share_benefit: float  # factor on the benefit of a request whose tenant exceeds its share
    benefit_by_work: bool  # benefit is counted for each unit of work rather than for each request
    server_rules: ServerRules
    rollout: Rollout
    list_on_request: bool  # the server list is requested from a shared service, not pushed by a local agent
    max_attempts: int
    hedging_allowed: bool  # a second attempt may start while the first one is outstanding
    retry_after_allowed: bool
    max_retry_after_ms: float
    weights_are_capacity: bool  # weights in the server list state the servers' capacity
    load_column: int | None  # position in load reports of the number of requests on the server
    handshake_cost: float = 0.0  # of a new connection, as a share of the benefit of a mean request
    idle_timeout_ms: float = 0.0  # how long a server keeps an idle connection open


# --- events ---


@dataclass(slots=True)
class ServerEntry:
    """One server in the server list."""

    server: int
    status: ServerStatus
    build: int
    zone: int
    cell: int
    server_type: int
    weight: float
    started_at: float  # on the clock of discovery; 0 if it started long ago


@dataclass(slots=True)
class ServerListUpdate:
    """A server list, or changes to it."""

    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(slots=True)
class ListFreshnessChanged:
    """The freshness of the server list has changed. ``last_received_at`` is when the last data or heartbeat
    came."""

    freshness: ListFreshness
    last_received_at: float


@dataclass(slots=True)
class SettingsNarrowed:
    """Operators' narrower limits, never wider than the settings at the start. ``max_trial_share`` bounds the
    cap of a build on trial that the platform sends."""

    settings: Settings
    max_trial_share: float


@dataclass(slots=True)
class Request:
    """A client's request."""

    id: int
    route: int
    tenant: int | None
    dedup_key: str | None
    deadline: float
    cost_hint_ms: float
    is_repeat: bool  # the client has sent this request before


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt of a request."""

    server: int
    attempt_number: int
    outcome: Outcome
    duration_ms: float
    reported_load: float | None  # number of requests in progress that the server reports
    request_finished: bool
    connected_at: float = float("inf")  # when the connection that carried it was established, if known


@dataclass(slots=True)
class StageUpdate:
    """State of the newest build, from the platform's event stream or from its response to a vote."""

    outcome: Outcome
    answers_vote: bool
    build: int
    stage: int
    phase: RolloutPhase
    cap: float
    stage_age_ms: float


@dataclass(slots=True)
class AttemptCounts:
    """The platform's count of recent attempts, over all fronts, for one build and route."""

    build: int
    route: int
    attempts: int
    errors: int
    mean_duration_ms: float
    age_ms: float


@dataclass(slots=True)
class BadResponseReported:
    """A response of this server was reported as bad after its attempt had completed."""

    server: int
    route: int
    age_ms: float


@dataclass(slots=True)
class ProbeEnded:
    """The end of a probe of a server."""

    server: int
    outcome: Outcome
    duration_ms: float
    reported_load: float | None


# --- actions ---


@dataclass(slots=True)
class SendAttempt:
    """Send the request to this server. ``timeout_ms`` bounds the attempt; the generator is resumed after
    ``max_wait_ms`` even if the attempt has not ended by then."""

    server: int
    timeout_ms: float
    max_wait_ms: float | None = None


@dataclass(slots=True)
class Wait:
    """Wait for the next attempt of the request to end, for at most ``max_wait_ms``."""

    max_wait_ms: float | None = None


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an outstanding attempt of the request."""

    attempt_number: int


@dataclass(slots=True)
class Shed:
    """Answer the request as shed; with a ``Retry-After`` of this time unless it is 0."""

    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Answer the request with an error that allows no repeat."""

    pass


@dataclass(slots=True)
class Vote:
    """Send a vote on a stage of a build to the platform."""

    build: int
    verdict: Verdict
    stage: int


@dataclass(slots=True)
class WatchServerList:
    """Start or stop following the server list."""

    enabled: bool = True


@dataclass(slots=True)
class FetchServerList:
    """Fetch the server list once."""

    pass


@dataclass(slots=True)
class ProbeServer:
    """Probe a server."""

    server: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another front."""

    peer: int
    payload: bytes


@dataclass(slots=True)
class WakeAt:
    """Call the balancer's ``wake`` at this time."""

    at: float


@dataclass(slots=True)
class LogMessage:
    """Write a message to the log."""

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
