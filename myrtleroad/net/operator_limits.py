"""Carries what holds in effect of a version to the module, the list and the door. Loads only where a control
service is named."""

from collections.abc import Callable

from myrtleroad import interface as i
from myrtleroad.config import rules
from myrtleroad.config.entries import EMPTY
from myrtleroad.config.gate import Gate
from myrtleroad.config.narrow import narrow
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
        self.gate, self.log = Gate(), brain.log

    def versions(self, at: Address, counters: Counters, log: Log) -> ConfigVersions:
        made = ConfigVersions(at, self.told, self.clock, counters, log, self.hold, self.trial_cap)
        self.brain.on_news = made.renew
        return made

    def trial_cap(self) -> float | None:
        news = self.brain.balancer.news
        return news.cap if news.phase == i.RolloutPhase.ON_TRIAL else None

    def hold(self, bounds: rules.Bounds | None) -> None:
        now = self.clock()
        held = bounds if bounds is not None else rules.effective(EMPTY, self.told.bounds(1.0))
        event = narrow(self.told.facts, held, self.routes, self.tenants)
        if bounds is None:
            event.max_trial_share = 1.0
        zones = frozenset(self.told.zones[z] for z in held.zones_aside)
        changed = (held.machines_aside, zones) != self.brain.aside
        listing = ServerListing(
            self.roster.book.version, i.ListKind.CHANGES, list(self.roster.book.entries.values())
        )
        # From here on nothing can fail.
        self.log.level = held.log_level
        self.gate.narrow(bounds, now)
        self.brain.aside = (held.machines_aside, zones)
        self.brain.tell(event)
        if changed:
            self.brain.tell(listing)
        self.brain.hear()
        self.door.bind(event.settings, held.networks, self.gate if bounds is not None else None)
