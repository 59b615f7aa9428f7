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
        self.node_config, self.clock, self.dispatcher, self.discovery, self.client_listener = (
            told,
            clock,
            brain,
            roster,
            door,
        )
        self.route_names = [n.decode() for n in told.routes]
        self.tenant_names = [n.decode() for n in told.tenants]
        self.request_limits, self.log = RequestLimits(), brain.log

    def config_versions(self, at: Address, counters: Counters, log: Log) -> ConfigVersions:
        made = ConfigVersions(at, self.node_config, self.clock, counters, log, self.apply, self.trial_cap)
        self.dispatcher.on_stage_update = made.reapply
        return made

    def trial_cap(self) -> float | None:
        news = self.dispatcher.balancer.stage_update
        return news.cap if news.phase == i.RolloutPhase.ON_TRIAL else None

    def apply(self, bounds: rules.EffectiveLimits | None) -> None:
        now = self.clock()
        held = (
            bounds if bounds is not None else rules.effective_limits(NO_ENTRIES, self.node_config.limits(1.0))
        )
        event = narrowed_settings(self.node_config.facts, held, self.route_names, self.tenant_names)
        if bounds is None:
            event.max_trial_share = 1.0
        zones = frozenset(self.node_config.zones[z] for z in held.drained_zones)
        changed = (held.drained_servers, zones) != self.dispatcher.out_of_service
        listing = ServerListing(
            self.discovery.server_list.version,
            i.ListKind.CHANGES,
            list(self.discovery.server_list.entries.values()),
        )
        # From here on nothing can fail.
        self.log.level = held.log_level
        self.request_limits.update(bounds, now)
        self.dispatcher.out_of_service = (held.drained_servers, zones)
        self.dispatcher.post_update(event)
        if changed:
            self.dispatcher.post_update(listing)
        self.dispatcher.apply_updates()
        self.client_listener.apply_limits(
            event.settings, held.networks, self.request_limits if bounds is not None else None
        )
