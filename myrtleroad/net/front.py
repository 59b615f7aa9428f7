"""The front put together: who is started, in which order, and how it stops."""

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
    def __init__(self, told: NodeConfig, log_to: int = 1, front_file: str | None = None):
        self.node_config, self.clock, self.counters = told, Clock(), Counters()
        try:
            level = level_from_environment(os.environ)
        except ValueError as error:
            raise ConfigError(str(error)) from None
        self.log = Log(self.clock, log_to, level)
        self.dispatcher = Dispatcher(told, self.clock, self.counters, self.log)
        deliver = self.dispatcher.mailbox.put
        tell = self.dispatcher.post_update
        post = FollowerContext(self.clock, tell, self.dispatcher.stream_poller)
        self.discovery = DiscoveryClient(told, self.counters, self.log, post)
        self.stage_updates = StageUpdates(told, self.counters, self.log, post)
        self.dispatcher.list_age = self.discovery.stream_follower.age_ms
        self.dispatcher.balancer.lease = self.discovery.lease
        self.started_at = self.clock()
        self.vote_caster = VoteCaster(told, self.counters, self.log, tell)
        self.dispatcher.cast_vote = self.vote_caster.mailbox.put
        self.client_listener = ClientListener(
            told, self.clock, self.counters, self.log, deliver, self.is_ready
        )
        self.dispatcher.client_count = lambda: len(self.client_listener.connections)
        self.stop_event, self.was_ready = Event(), False
        self.front_file, self.config_versions = front_file, None
        if front_file is not None:
            # Loaded only where it is wanted: a front without fits its memory as before.
            from myrtleroad.net import operator_limits
            from myrtleroad.net.front_file import control_address

            if (at := control_address(front_file)) is not None:
                holder = operator_limits.OperatorLimits(
                    told, self.clock, self.dispatcher, self.discovery, self.client_listener
                )
                self.config_versions = holder.config_versions(at, self.counters, self.log)

    def is_ready(self) -> bool:
        """Once the list is in the module, or could not be had for a while, and so the platform's news."""
        if self.stop_event.is_set() or not self.stage_updates.answered:
            return False
        if not self.was_ready and not self.discovery.lease.may_start(self.clock(), self.started_at):
            return False
        if not self.was_ready:
            self.was_ready = True
            self.log("ready", machines=len(self.dispatcher.servers))
        return True

    def run(self) -> None:
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
        gc.freeze()  # what is there for good need not be looked through at each collection
        self.stop_event.wait()
        self.drain()

    def on_term(self) -> None:
        """The first begins the stop; further ones change nothing, as what was taken is still owed."""
        self.stop_event.set()

    def reload(self) -> None:
        """Take up a new configuration: the addresses of discovery and platform go to their actors. One that
        cannot be read changes nothing."""
        try:
            new = read_node_config()
        except ConfigError as fault:
            self.counters.add("reloads_unclear")
            self.log("reload refused", why=str(fault))
            return
        self.counters.add("reloads")
        kept = fields_needing_restart(self.node_config, new)
        self.log("reload", discovery=new.discovery, platform=new.platform, kept_as_started=kept)
        self.discovery.post(AddressChanged(new.discovery))
        self.stage_updates.post(AddressChanged(new.platform))
        self.vote_caster.mailbox.put(AddressChanged(new.platform))
        if self.config_versions is not None:
            from myrtleroad.net.front_file import control_address

            try:
                at = control_address(self.front_file)
            except ConfigError as fault:
                self.log("reload refused", why=str(fault))
                return
            if at is not None:
                self.config_versions.mailbox.put(AddressChanged(at))

    def drain(self) -> None:
        """Answer whatever comes while connections may still arrive, then what is held, then end."""
        self.log("stopping", open=len(self.dispatcher.open_requests))
        self.client_listener.stopping = True
        gevent.sleep(LATE_CONNECTIONS_S)
        last = self.clock() + max(r.timeout_ms for r in self.node_config.facts.routes)  # for reqs half come
        self.client_listener.stop_listening(last)
        while self.dispatcher.open_requests or (
            self.clock() < last and not all(c.is_idle for c in self.client_listener.connections)
        ):
            gevent.sleep(0.01)
        self.log_counters()
        self.log("stopped")
        self.log.flush()

    def log_counters(self) -> None:
        held, open_now, dropped = len(self.dispatcher.open_requests), open_descriptors(), self.log.dropped
        counts = self.counters.snapshot()
        self.log("counters", open=held, descriptors=open_now, log_dropped=dropped, counts=counts)
