"""Real front processes while discovery is unavailable: no attempts by outdated lists, and no overload of
discovery by their calls, as in incident 3231."""

from collections import Counter

import gevent
import pytest

from soak.deployment import Deployment
from soak.records import Outcome
from soak.run import SoakRun

TIME_LIMIT_S = 60.0  # for one test, with the start of its fronts


@pytest.fixture(autouse=True)
def time_limit():
    with gevent.Timeout(TIME_LIMIT_S):
        yield


def test_no_attempts_to_servers_that_drained_while_discovery_was_unavailable():
    """Fronts with little traffic lose their watches, all calls are rejected and most servers drain."""
    with SoakRun(Deployment(fronts=6, servers=8), rate_per_s=0.5) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = float("inf")
        run.drain_servers(*[f"s-{n:03d}" for n in range(6)])
        run.run_until(15.0)
        violations = run.finish()
    assert violations == []


def test_no_attempts_by_an_outdated_list_after_a_start_without_discovery():
    """A killed front restarts with a configured list from before the drain and can't get a newer one."""
    with SoakRun(Deployment(fronts=6, servers=8), rate_per_s=0.5) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = float("inf")
        run.drain_servers(*[f"s-{n:03d}" for n in range(6)])
        run.run_until(5.0)
        for front in run.fronts:
            front.kill()
            run.restart_front(front)
        run.run_until(14.0)
        violations = run.finish()
    assert violations == []


def test_calls_of_many_fronts_do_not_keep_discovery_overloaded():
    """Calls of other clients overload discovery for three seconds; the fronts' calls must let it recover."""
    deployment = Deployment(fronts=16, servers=8)
    # capacity for one call of every front in 8 s, the least that the specifications allow
    call_duration_s = 8.0 / deployment.fronts
    with SoakRun(deployment, rate_per_s=1.0, call_duration_s=call_duration_s) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = run.started_at + 4.0
        run.run_until(34.0)
        watching = {watch.front for watch in run.discovery.watches}
        violations = run.finish()
    assert violations == [] and len(watching) >= 15


def test_requests_are_served_while_discovery_is_unavailable():
    """Nothing drains and the outage outlasts the lease on the server list: most requests are served."""
    with SoakRun(Deployment(fronts=2, servers=6), rate_per_s=20.0) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = float("inf")
        run.run_until(12.0)
        late = [r for r in run.records.requests if r.sent > run.started_at + 8.0]
        violations = run.finish()
    outcomes = Counter(r.outcome for r in late)
    assert violations == [] and outcomes[Outcome.SERVED] > 0.5 * len(late)
