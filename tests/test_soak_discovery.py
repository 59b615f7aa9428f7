"""Real fronts as processes while discovery cannot be had: the failures of incident 3231."""

from collections import Counter

import gevent
import pytest

from soak.deployment import Deployment
from soak.play import Play
from soak.records import Outcome

LONGEST_S = 60.0  # of one test, fronts' starts included


@pytest.fixture(autouse=True)
def bound():
    with gevent.Timeout(LONGEST_S):
        yield


def test_sends_to_servers_that_drained_while_discovery_could_not_be_had():
    """Quiet fronts lose their watches, every call is turned away, and most servers drain meanwhile."""
    with Play(Deployment(fronts=6, servers=8), rate=0.5) as play:
        play.run_until(1.0)
        play.discovery.reset_watches()
        play.discovery.crowd_until = float("inf")
        play.drain(*[f"s-{n:03d}" for n in range(6)])
        play.run_until(15.0)
        breaks = play.finish()
    assert breaks == []


def test_sends_by_the_list_of_the_configuration_after_a_start_without_discovery():
    """A front that was killed starts again with a list from before the drain, and cannot get another."""
    with Play(Deployment(fronts=6, servers=8), rate=0.5) as play:
        play.run_until(1.0)
        play.discovery.reset_watches()
        play.discovery.crowd_until = float("inf")
        play.drain(*[f"s-{n:03d}" for n in range(6)])
        play.run_until(5.0)
        for front in play.fronts:
            front.kill()
            play.restart(front)
        play.run_until(14.0)
        breaks = play.finish()
    assert breaks == []


def test_calls_of_many_fronts_keep_discovery_from_ever_serving_one():
    """A crowd of others' calls ends after three seconds; what the fronts ask must let discovery recover."""
    deployment = Deployment(fronts=16, servers=8)
    call_s = 8.0 / deployment.fronts  # it takes one call from every front in 8 s, the least that pages allow
    with Play(deployment, rate=1.0, call_s=call_s) as play:
        play.run_until(1.0)
        play.discovery.reset_watches()
        play.discovery.crowd_until = play.begun + 4.0
        play.run_until(34.0)
        watching = {watch.front for watch in play.discovery.watches}
        breaks = play.finish()
    assert breaks == [] and len(watching) >= 15


def test_service_goes_on_by_servers_that_are_known_to_take_requests():
    """Longer than a list may be acted on without discovery, and nothing drains: most requests are served."""
    with Play(Deployment(fronts=2, servers=6), rate=20.0) as play:
        play.run_until(1.0)
        play.discovery.reset_watches()
        play.discovery.crowd_until = float("inf")
        play.run_until(12.0)
        late = [r for r in play.records.requests if r.sent > play.begun + 8.0]
        breaks = play.finish()
    ends = Counter(r.outcome for r in late)
    assert breaks == [] and ends[Outcome.SERVED] > 0.5 * len(late)
