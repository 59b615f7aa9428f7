"""Accounting of requests: each request received is either open or has exactly one outcome."""

from collections.abc import Mapping

# One counter for each outcome that a request can have.
OUTCOME_COUNTERS = ("reqs_completed", "reqs_shed", "reqs_errored", "reqs_gone")


def unaccounted_requests(counts: Mapping[str, int], open_requests: int) -> int:
    """Number of requests received that are neither open nor have an outcome; 0 if all are accounted for.

    A negative number means that outcomes were counted more than once. Both arguments have to be read at the
    same time, between two messages of the actor. Counters that are missing from ``counts`` are 0.
    """
    return counts.get("reqs_taken", 0) - sum(counts.get(name, 0) for name in OUTCOME_COUNTERS) - open_requests
