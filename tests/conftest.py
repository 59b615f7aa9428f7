"""Facts, machines and balancers that the tests build their state from."""

import pytest

from myrtleroad import choice
from myrtleroad import interface as i


def build_facts(**changes):
    roll = dict(
        gate=i.Gate.COUNT,
        on_votes=1,
        back_votes=1,
        vote_life_ms=6000.0,
        answer_wait_ms=2000.0,
        calls_per_s=10.0,
        soak_ms=1000.0,
        caps=(0.1, 0.5, 1.0),
        span_ms=2000.0,
        free=1.0,
        by_route=False,
        guarded_stages=0,
        no_return=False,
        counts_every_ms=2000.0,
    )
    roll.update(changes.pop("roll", {}))
    values = dict(
        balancers=1,
        zone=0,
        routes=(
            i.Route(i.Effect.RETRIABLE, i.Group.ALL, 0.0, 800.0, 2000.0, 2.0, 0.0),
            i.Route(i.Effect.DEDUPED, i.Group.ZONE, 2500.0, 800.0, 2000.0, 5.0, 0.0),
            i.Route(i.Effect.NON_RETRIABLE, i.Group.ALL, 0.0, 800.0, 2000.0, 5.0, 0.0),
        ),
        tenants=(),
        over_share_benefit=1.0,
        benefit_by_work=False,
        rules=i.Rules(250.0, 4000.0, 0.3, 2.0, 2000.0, 10000.0),
        rollout=i.Rollout(**roll),
        list_on_request=True,
        max_tries=3,
        second_copies=True,
        come_back=True,
        max_come_back_ms=400.0,
        weights_mean_size=False,
        load_column=None,
    )
    values.update(changes)
    return i.Facts(**values)


def row(machine, build=1, zone=0, started=0.0, status=i.Status.IN_SERVICE):
    return i.Row(machine, status, build, zone, 0, 0, 1.0, started)


def req(ident=1, route=0, ends_at=2000.0, key=None):
    return i.Req(ident, route, None, key, ends_at, 0.0, False)


def news(build=1, stage=0, phase=i.Phase.RELEASED, cap=0.0, age=0.0, end=i.End.COMPLETED, answers=False):
    return i.StageNews(end, answers, build, stage, phase, cap, age)


@pytest.fixture
def balancer():
    """A balancer at time 0 with three machines of build 1, released."""
    b = choice.Balancer(build_facts(), 7, 0.0)
    b.stage_news(news(), 0.0)
    b.listed(i.Listed(i.ListKind.WHOLE, [row(0), row(1), row(2, zone=1)]), 0.0)
    return b
