"""The account of all reqs: every one taken has ended in exactly one way, or is open."""

from collections.abc import Mapping

OUTCOME_COUNTERS = (
    "reqs_completed",
    "reqs_shed",
    "reqs_errored",
    "reqs_gone",
)  # each way that a taken req can end


def unaccounted_requests(counts: Mapping[str, int], open_now: int) -> int:
    """Reqs taken that have neither ended nor are open (below 0: that ended more than once), by the counters
    of one moment between two messages; 0 where the account holds. ``counts`` may lack what never happened."""
    return counts.get("reqs_taken", 0) - sum(counts.get(end, 0) for end in OUTCOME_COUNTERS) - open_now
