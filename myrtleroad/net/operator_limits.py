"""Applies the limits in force to the module, the server list and the client listener. Loaded only if a
control service is configured."""

from collections.abc import Callable

from myrtleroad import interface
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
    """Applies limits to every component that they concern. ``apply`` computes everything first, so that
    an exception changes nothing, and then sets it without a greenlet switch."""

    def __init__(
        self,
        node_config: NodeConfig,
        clock: Callable[[], float],
        dispatcher: Dispatcher,
        discovery: DiscoveryClient,
        client_listener: ClientListener,
    ):
        self.node_config, self.clock, self.dispatcher, self.discovery, self.client_listener = (
            node_config,
            clock,
            dispatcher,
            discovery,
            client_listener,
        )
        self.route_names = [name.decode() for name in node_config.routes]
        self.tenant_names = [name.decode() for name in node_config.tenants]
        self.request_limits, self.log = RequestLimits(), dispatcher.log

    def config_versions(self, address: Address, counters: Counters, log: Log) -> ConfigVersions:
        """The actor that receives configuration versions from this address."""
        versions = ConfigVersions(
            address, self.node_config, self.clock, counters, log, self.apply, self.trial_cap
        )
        self.dispatcher.on_stage_update = versions.reapply
        return versions

    def trial_cap(self) -> float | None:
        """The latest cap of the build on trial, None without one."""
        update = self.dispatcher.balancer.stage_update
        return update.cap if update.phase == interface.RolloutPhase.ON_TRIAL else None

    def apply(self, limits: rules.EffectiveLimits | None) -> None:
        """Put limits in force; None removes all of them."""
        now = self.clock()
        effective = (
            limits if limits is not None else rules.effective_limits(NO_ENTRIES, self.node_config.limits(1.0))
        )
        narrowed = narrowed_settings(self.node_config.facts, effective, self.route_names, self.tenant_names)
        if limits is None:
            narrowed.max_trial_share = 1.0
        zones = frozenset(self.node_config.zones[zone] for zone in effective.drained_zones)
        changed = (effective.drained_servers, zones) != self.dispatcher.out_of_service
        listing = ServerListing(
            self.discovery.server_list.version,
            interface.ListKind.CHANGES,
            list(self.discovery.server_list.entries.values()),
        )
        # From here on nothing can fail.
        self.log.level = effective.log_level
        self.request_limits.update(limits, now)
        self.dispatcher.out_of_service = (effective.drained_servers, zones)
        self.dispatcher.post_update(narrowed)
        if changed:
            self.dispatcher.post_update(listing)
        self.dispatcher.apply_updates()
        self.client_listener.apply_limits(
            narrowed.settings, effective.networks, self.request_limits if limits is not None else None
        )
