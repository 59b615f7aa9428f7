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
from myrtleroad.startup import release_signals

LATE_CONNECTIONS_S = 0.45  # new connections keep arriving for up to 0.4 s after SIGTERM


class Front:
    def __init__(self, told: NodeConfig, log_to: int = 1, own: str | None = None):
        self.told, self.clock, self.counters = told, Clock(), Counters()
        try:
            level = level_from_environment(os.environ)
        except ValueError as error:
            raise ConfigError(str(error)) from None
        self.log = Log(self.clock, log_to, level)
        self.brain = Dispatcher(told, self.clock, self.counters, self.log)
        deliver = self.brain.mailbox.put
        tell = self.brain.tell
        post = FollowerContext(self.clock, tell, self.brain.lookout)
        self.roster = DiscoveryClient(told, self.counters, self.log, post)
        self.bulletin = StageUpdates(told, self.counters, self.log, post)
        self.brain.list_age = self.roster.following.age_ms
        self.brain.balancer.lease = self.roster.lease
        self.started_at = self.clock()
        self.desk = VoteCaster(told, self.counters, self.log, tell)
        self.brain.vote = self.desk.mailbox.put
        self.door = ClientListener(told, self.clock, self.counters, self.log, deliver, self.is_ready)
        self.brain.clients = lambda: len(self.door.clients)
        self.stop, self.was_ready = Event(), False
        self.own, self.versions = own, None
        if own is not None:
            # Loaded only where it is wanted: a front without fits its memory as before.
            from myrtleroad.net import operator_limits
            from myrtleroad.net.front_file import control_address

            if (at := control_address(own)) is not None:
                holder = operator_limits.OperatorLimits(told, self.clock, self.brain, self.roster, self.door)
                self.versions = holder.versions(at, self.counters, self.log)

    def is_ready(self) -> bool:
        """Once the list is in the module, or could not be had for a while, and so the platform's news."""
        if self.stop.is_set() or not self.bulletin.answered:
            return False
        if not self.was_ready and not self.roster.lease.may_start(self.clock(), self.started_at):
            return False
        if not self.was_ready:
            self.was_ready = True
            self.log("ready", machines=len(self.brain.machines))
        return True

    def run(self) -> None:
        gevent.signal_handler(signal.SIGTERM, self.on_term)
        gevent.signal_handler(signal.SIGINT, self.on_term)
        gevent.signal_handler(signal.SIGUSR1, self.show)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        release_signals()
        self.log("start", name=self.told.name, machines=len(self.told.known.entries))
        self.brain.start()
        for actor in (self.log, self.brain, self.roster, self.bulletin, self.desk, self.door):
            gevent.spawn(keep_running, actor.ACTOR_NAME, actor.run, self.counters, self.log)
        if self.versions is not None:
            gevent.spawn(keep_running, "versions", self.versions.run, self.counters, self.log)
        gc.collect()
        gc.freeze()  # what is there for good need not be looked through at each collection
        self.stop.wait()
        self.drain()

    def on_term(self) -> None:
        """The first begins the stop; further ones change nothing, as what was taken is still owed."""
        self.stop.set()

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
        kept = fields_needing_restart(self.told, new)
        self.log("reload", discovery=new.discovery, platform=new.platform, kept_as_started=kept)
        self.roster.post(AddressChanged(new.discovery))
        self.bulletin.post(AddressChanged(new.platform))
        self.desk.mailbox.put(AddressChanged(new.platform))
        if self.versions is not None:
            from myrtleroad.net.front_file import control_address

            try:
                at = control_address(self.own)
            except ConfigError as fault:
                self.log("reload refused", why=str(fault))
                return
            if at is not None:
                self.versions.mailbox.put(AddressChanged(at))

    def drain(self) -> None:
        """Answer whatever comes while connections may still arrive, then what is held, then end."""
        self.log("stopping", open=len(self.brain.open))
        self.door.stopping = True
        gevent.sleep(LATE_CONNECTIONS_S)
        last = self.clock() + max(r.timeout_ms for r in self.told.facts.routes)  # for reqs half come
        self.door.shut(last)
        while self.brain.open or (self.clock() < last and not all(c.idle for c in self.door.clients)):
            gevent.sleep(0.01)
        self.show()
        self.log("stopped")
        self.log.flush()

    def show(self) -> None:
        held, open_now, dropped = len(self.brain.open), open_descriptors(), self.log.dropped
        counts = self.counters.shown()
        self.log("counters", open=held, descriptors=open_now, log_dropped=dropped, counts=counts)
