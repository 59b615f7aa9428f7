"""Real fronts as processes while discovery cannot be had: the failures of incident 3231."""

from collections import Counter

import gevent
import pytest

from soak.deployment import Deployment
from soak.records import Outcome
from soak.run import SoakRun

LONGEST_S = 60.0  # of one test, fronts' starts included


@pytest.fixture(autouse=True)
def bound():
    with gevent.Timeout(LONGEST_S):
        yield


def test_sends_to_servers_that_drained_while_discovery_could_not_be_had():
    """Quiet fronts lose their watches, every call is turned away, and most servers drain meanwhile."""
    with SoakRun(Deployment(fronts=6, servers=8), rate_per_s=0.5) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = float("inf")
        run.drain_servers(*[f"s-{n:03d}" for n in range(6)])
        run.run_until(15.0)
        violations = run.finish()
    assert violations == []


def test_sends_by_the_list_of_the_configuration_after_a_start_without_discovery():
    """A front that was killed starts again with a list from before the drain, and cannot get another."""
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


def test_calls_of_many_fronts_keep_discovery_from_ever_serving_one():
    """A crowd of others' calls ends after three seconds; what the fronts ask must let discovery recover."""
    deployment = Deployment(fronts=16, servers=8)
    # it takes one call from every front in 8 s, the least that pages allow
    call_duration_s = 8.0 / deployment.fronts
    with SoakRun(deployment, rate_per_s=1.0, call_duration_s=call_duration_s) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = run.started_at + 4.0
        run.run_until(34.0)
        watching = {watch.front for watch in run.discovery.watches}
        violations = run.finish()
    assert violations == [] and len(watching) >= 15


def test_service_goes_on_by_servers_that_are_known_to_take_requests():
    """Longer than a list may be acted on without discovery, and nothing drains: most requests are served."""
    with SoakRun(Deployment(fronts=2, servers=6), rate_per_s=20.0) as run:
        run.run_until(1.0)
        run.discovery.reset_watches()
        run.discovery.crowded_until = float("inf")
        run.run_until(12.0)
        late = [r for r in run.records.requests if r.sent > run.started_at + 8.0]
        violations = run.finish()
    outcomes = Counter(r.outcome for r in late)
    assert violations == [] and outcomes[Outcome.SERVED] > 0.5 * len(late)
