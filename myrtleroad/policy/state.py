"""What the balancer knows of each server and of the attempts in flight."""

from dataclasses import dataclass, field

from myrtleroad import interface


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    route: int
    sent_at: float
    expected_cost_ms: float  # mean latency of the route when it was sent
    counts_for_trial: bool  # its duration is a sample for the test of the build on trial
    dedup_key: str | None
    concurrency: float  # attempts on the server when it was sent, plus 2, as a few cores share them


@dataclass(slots=True, eq=False)
class Server:
    """One server: its list entry, this front's attempts on it and statistics of recent ones."""

    entry: interface.ServerEntry
    # Rounds a cold server's budget to whole attempts at random, anew in each window: decides which fronts may
    # send the last fraction of an attempt.
    rounding_draw: float = 0.0
    draw_expires_at: float = -1e9
    # By request id and attempt number; an entry is removed when its attempt ends.
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    other_load: float = 0.0  # reported load minus this front's own attempts
    relative_latency: float = 1.0  # latencies on this server over the mean ones of their routes
    latency_samples: float = 0.0  # completed attempts behind ``relative_latency``
    failure_rate: float = 0.0  # share of recent attempts that failed
    ejected_until: float = 0.0
    last_connected_at: float = -1e9  # when a connection to it was last known to work
    accepted_at: float = -1e9  # send time of the last attempt that it completed: it was not draining then
    served_at: float = -1e9  # the same, over a connection that the lease on the server list covers
    decayed_at: float = 0.0  # when the estimates that need new samples were last decayed
    # Send times and costs of attempts while the server is cold; dropped by age in ``refresh_cold_window``.
    # A list, as an empty deque takes more memory than all the rest.
    cold_attempts: list[tuple[float, float]] = field(default_factory=list)


# Ended attempts of a request, each with whether it may have been executed.
PastAttempts = list[tuple[Server, Attempt, bool]]
