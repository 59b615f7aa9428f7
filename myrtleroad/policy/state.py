"""What is known of each server, and of the attempts that are out."""

from collections import deque
from dataclasses import dataclass, field

from myrtleroad import interface as i


@dataclass(slots=True)
class Attempt:
    route: int
    sent: float
    cost: float
    judged: bool
    key: str | None
    met: float  # tries on the machine when it was sent, and 2 as a few cores share them


@dataclass(slots=True, eq=False)
class Server:
    entry: i.ServerEntry
    luck: float = 0.0  # drawn anew each window: which fronts may send a cold machine the last part of a try
    luck_until: float = -1e9
    in_flight: dict[tuple[int, int], Attempt] = field(
        default_factory=dict
    )  # emptied by each try's one ending
    others: float = 0.0  # load reported beyond our own
    pace: float = 1.0  # our latencies here over the usual ones of their routes
    known: float = 0.0  # completed tries behind that
    failing: float = 0.0  # share of recent tries that failed
    ejected_until: float = 0.0
    linked: float = -1e9  # when a connection to it was last known to work
    took: float = -1e9  # when a try was sent that it completed: it drained not then
    served_at: float = -1e9  # the same, over a connection that the list vouches for
    faded: float = 0.0  # when what is not seen was last faded
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # emptied by age, see draw


Past = list[tuple[Server, Attempt, bool]]  # a req's ended tries, and whether each may have run
