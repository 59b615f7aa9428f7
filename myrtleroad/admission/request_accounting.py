"""Accounting of requests: each one taken is either open or has ended in exactly one way."""

from collections.abc import Mapping

# One counter for each way in which a request that was taken can end.
OUTCOME_COUNTERS = ("reqs_completed", "reqs_shed", "reqs_errored", "reqs_gone")


def unaccounted_requests(counts: Mapping[str, int], open_requests: int) -> int:
    """Number of requests taken that have neither ended nor are open; 0 if all are accounted for.

    A negative number means that requests were counted as ended more than once. Both arguments have to be of
    one moment between two messages of the actor. Counters that are missing from ``counts`` are 0.
    """
    return counts.get("reqs_taken", 0) - sum(counts.get(name, 0) for name in OUTCOME_COUNTERS) - open_requests
