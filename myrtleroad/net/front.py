"""Assembles a front: which actors are started, in which order, and how the front stops."""

import gc
import os
import signal

import gevent
from gevent.event import Event

from myrtleroad.net.actor import keep_running
from myrtleroad.net.client_listener import ClientListener
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.discovery import DiscoveryClient
from myrtleroad.net.dispatcher import Dispatcher
from myrtleroad.net.log import Log, level_from_environment, open_descriptors
from myrtleroad.net.memory_monitor import MemoryMonitor, memory_budget
from myrtleroad.net.node_config import (
    AddressChanged,
    ConfigError,
    NodeConfig,
    fields_needing_restart,
    read_node_config,
)
from myrtleroad.net.platform import StageUpdates, VoteCaster
from myrtleroad.net.stream import FollowerContext
from myrtleroad.startup import unblock_signals

LATE_CONNECTIONS_S = 0.45  # new connections keep arriving for up to 0.4 s after SIGTERM


class Front:
    """One front process: its actors and its signal handlers."""

    def __init__(
        self,
        node_config: NodeConfig,
        log_fd: int = 1,
        front_file: str | None = None,
        owns_process: bool = False,
    ):
        self.owns_process = owns_process  # so that the memory of the process is the front's own
        self.node_config, self.clock, self.counters = node_config, Clock(), Counters()
        try:
            level = level_from_environment(os.environ)
        except ValueError as error:
            raise ConfigError(str(error)) from None
        self.log = Log(self.clock, log_fd, level)
        self.memory = memory_budget(node_config)
        self.memory_monitor = MemoryMonitor(self.memory, self.clock, self.counters, self.log)
        self.dispatcher = Dispatcher(node_config, self.clock, self.counters, self.log, self.memory)
        deliver = self.dispatcher.mailbox.put
        post_update = self.dispatcher.post_update
        context = FollowerContext(self.clock, post_update, self.dispatcher.stream_poller)
        self.discovery = DiscoveryClient(node_config, self.counters, self.log, context, self.memory)
        self.stage_updates = StageUpdates(node_config, self.counters, self.log, context)
        self.dispatcher.list_age = self.discovery.stream_follower.age_ms
        self.dispatcher.balancer.lease = self.discovery.lease
        self.started_at = self.clock()
        self.vote_caster = VoteCaster(node_config, self.counters, self.log, post_update)
        self.dispatcher.cast_vote = self.vote_caster.mailbox.put
        self.client_listener = ClientListener(
            node_config, self.clock, self.counters, self.log, deliver, self.is_ready, self.memory
        )
        self.dispatcher.client_count = lambda: len(self.client_listener.connections)
        self.stop_event, self.was_ready = Event(), False
        self.front_file, self.config_versions = front_file, None
        if front_file is not None:
            # Imported only if needed: a front without the file needs neither these modules nor their memory.
            from myrtleroad.net import operator_limits
            from myrtleroad.net.front_file import control_address

            if (address := control_address(front_file)) is not None:
                limits = operator_limits.OperatorLimits(
                    node_config, self.clock, self.dispatcher, self.discovery, self.client_listener
                )
                self.config_versions = limits.config_versions(address, self.counters, self.log)

    def is_ready(self) -> bool:
        """Whether the list has reached the module, or was unavailable for long enough, and the first stage
        update is in."""
        if self.stop_event.is_set() or not self.stage_updates.answered:
            return False
        if not self.was_ready and not self.discovery.lease.may_start(self.clock(), self.started_at):
            return False
        if not self.was_ready:
            self.was_ready = True
            self.log("ready", machines=len(self.dispatcher.servers))
        return True

    def run(self) -> None:
        """Start the actors, run until the first signal to stop, and drain."""
        gevent.signal_handler(signal.SIGTERM, self.on_term)
        gevent.signal_handler(signal.SIGINT, self.on_term)
        gevent.signal_handler(signal.SIGUSR1, self.log_counters)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        unblock_signals()
        self.log("start", name=self.node_config.name, machines=len(self.node_config.initial_list.servers))
        self.dispatcher.start()
        for actor in (
            self.log,
            self.dispatcher,
            self.discovery,
            self.stage_updates,
            self.vote_caster,
            self.client_listener,
        ):
            gevent.spawn(keep_running, actor.ACTOR_NAME, actor.run, self.counters, self.log)
        if self.config_versions is not None:
            gevent.spawn(keep_running, "versions", self.config_versions.run, self.counters, self.log)
        gc.collect()
        gc.freeze()  # long-lived objects need not be traversed at each collection
        if self.owns_process:
            self.memory_monitor.start(len(self.dispatcher.servers))
            gevent.spawn(
                keep_running, MemoryMonitor.ACTOR_NAME, self.memory_monitor.run, self.counters, self.log
            )
        self.stop_event.wait()
        self.drain()

    def on_term(self) -> None:
        """Begin the stop. Further signals change nothing, as accepted requests are still to be answered."""
        self.stop_event.set()

    def reload(self) -> None:
        """Apply a new configuration: the addresses of discovery and platform are sent to their actors. A
        configuration that cannot be read changes nothing."""
        try:
            new = read_node_config()
        except ConfigError as error:
            self.counters.add("reloads_unclear")
            self.log("reload refused", why=str(error))
            return
        self.counters.add("reloads")
        kept_as_started = fields_needing_restart(self.node_config, new)
        self.log("reload", discovery=new.discovery, platform=new.platform, kept_as_started=kept_as_started)
        self.discovery.post(AddressChanged(new.discovery))
        self.stage_updates.post(AddressChanged(new.platform))
        self.vote_caster.mailbox.put(AddressChanged(new.platform))
        if self.config_versions is not None:
            from myrtleroad.net.front_file import control_address

            try:
                address = control_address(self.front_file)
            except ConfigError as error:
                self.log("reload refused", why=str(error))
                return
            if address is not None:
                self.config_versions.mailbox.put(AddressChanged(address))

    def drain(self) -> None:
        """Answer requests while connections may still arrive, then finish the open ones, then stop."""
        self.log("stopping", open=len(self.dispatcher.open_requests))
        self.client_listener.stopping = True
        gevent.sleep(LATE_CONNECTIONS_S)
        # for requests that are only partly received
        deadline = self.clock() + max(route.timeout_ms for route in self.node_config.facts.routes)
        self.client_listener.stop_listening(deadline)
        while self.dispatcher.open_requests or (
            self.clock() < deadline and not all(client.is_idle for client in self.client_listener.connections)
        ):
            gevent.sleep(0.01)
        self.log_counters()
        self.log("stopped")
        self.log.flush()

    def log_counters(self) -> None:
        """Log all counters."""
        open_count, descriptors, dropped = (
            len(self.dispatcher.open_requests),
            open_descriptors(),
            self.log.dropped,
        )
        counts = self.counters.snapshot()
        self.log("counters", open=open_count, descriptors=descriptors, log_dropped=dropped, counts=counts)
