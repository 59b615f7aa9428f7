"""Carries what holds in effect of a version to the module, the list and the door. Loads only where a control
service is named."""

from collections.abc import Callable

from myrtleroad import interface as i
from myrtleroad.config import rules
from myrtleroad.config.entries import NO_ENTRIES
from myrtleroad.config.narrowing import narrowed_settings
from myrtleroad.config.request_limits import RequestLimits
from myrtleroad.net.client_listener import ClientListener
from myrtleroad.net.config_versions import ConfigVersions
from myrtleroad.net.counters import Counters
from myrtleroad.net.discovery import DiscoveryClient
from myrtleroad.net.dispatcher import Dispatcher
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import Address, NodeConfig, ServerListing


class OperatorLimits:
    """The one place that knows all who are bound. ``hold`` makes everything first, so that a fault
    leaves all as it was, and then tells without a switch."""

    def __init__(
        self,
        told: NodeConfig,
        clock: Callable[[], float],
        brain: Dispatcher,
        roster: DiscoveryClient,
        door: ClientListener,
    ):
        self.told, self.clock, self.brain, self.roster, self.door = told, clock, brain, roster, door
        self.routes = [n.decode() for n in told.routes]
        self.tenants = [n.decode() for n in told.tenants]
        self.gate, self.log = RequestLimits(), brain.log

    def versions(self, at: Address, counters: Counters, log: Log) -> ConfigVersions:
        made = ConfigVersions(at, self.told, self.clock, counters, log, self.hold, self.trial_cap)
        self.brain.on_news = made.renew
        return made

    def trial_cap(self) -> float | None:
        news = self.brain.balancer.stage_update
        return news.cap if news.phase == i.RolloutPhase.ON_TRIAL else None

    def hold(self, bounds: rules.EffectiveLimits | None) -> None:
        now = self.clock()
        held = bounds if bounds is not None else rules.effective_limits(NO_ENTRIES, self.told.bounds(1.0))
        event = narrowed_settings(self.told.facts, held, self.routes, self.tenants)
        if bounds is None:
            event.max_trial_share = 1.0
        zones = frozenset(self.told.zones[z] for z in held.drained_zones)
        changed = (held.drained_servers, zones) != self.brain.aside
        listing = ServerListing(
            self.roster.book.version, i.ListKind.CHANGES, list(self.roster.book.entries.values())
        )
        # From here on nothing can fail.
        self.log.level = held.log_level
        self.gate.update(bounds, now)
        self.brain.aside = (held.drained_servers, zones)
        self.brain.tell(event)
        if changed:
            self.brain.tell(listing)
        self.brain.hear()
        self.door.bind(event.settings, held.networks, self.gate if bounds is not None else None)
