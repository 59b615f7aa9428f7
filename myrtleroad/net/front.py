"""The front put together: who is started, in which order, and how it stops."""

import gc
import os
import signal

import gevent
from gevent.event import Event

from myrtleroad.net.actor import keep
from myrtleroad.net.brain import Brain
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.desk import Bulletin, Desk
from myrtleroad.net.door import Door
from myrtleroad.net.log import Log, descriptors, level_of
from myrtleroad.net.roster import Roster
from myrtleroad.net.stream import Post
from myrtleroad.net.told import Moved, Told, Unclear, fixed, read
from myrtleroad.startup import release_signals

LATE_S = 0.45  # new connections keep arriving for up to 0.4 s after SIGTERM


class Front:
    def __init__(self, told: Told, log_to: int = 1, own: str | None = None):
        self.told, self.clock, self.counters = told, Clock(), Counters()
        try:
            level = level_of(os.environ)
        except ValueError as error:
            raise Unclear(str(error)) from None
        self.log = Log(self.clock, log_to, level)
        self.brain = Brain(told, self.clock, self.counters, self.log)
        deliver = self.brain.mailbox.put
        tell = self.brain.tell
        post = Post(self.clock, tell, self.brain.lookout)
        self.roster = Roster(told, self.counters, self.log, post)
        self.bulletin = Bulletin(told, self.counters, self.log, post)
        self.brain.list_age = self.roster.following.age
        self.brain.balancer.lease = self.roster.lease
        self.started_at = self.clock()
        self.desk = Desk(told, self.counters, self.log, tell)
        self.brain.vote = self.desk.mailbox.put
        self.door = Door(told, self.clock, self.counters, self.log, deliver, self.is_ready)
        self.brain.clients = lambda: len(self.door.clients)
        self.stop, self.was_ready = Event(), False
        self.own, self.versions = own, None
        if own is not None:
            # Loaded only where it is wanted: a front without fits its memory as before.
            from myrtleroad.net import bounds
            from myrtleroad.net.own import control

            if (at := control(own)) is not None:
                holder = bounds.Holder(told, self.clock, self.brain, self.roster, self.door)
                self.versions = holder.versions(at, self.counters, self.log)

    def is_ready(self) -> bool:
        """Once the list is in the module, or could not be had for a while, and so the platform's news."""
        if self.stop.is_set() or not self.bulletin.answered:
            return False
        if not self.was_ready and not self.roster.lease.may_begin(self.clock(), self.started_at):
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
            gevent.spawn(keep, type(actor).__name__.lower(), actor.run, self.counters, self.log)
        if self.versions is not None:
            gevent.spawn(keep, "versions", self.versions.run, self.counters, self.log)
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
            new = read()
        except Unclear as fault:
            self.counters.add("reloads_unclear")
            self.log("reload refused", why=str(fault))
            return
        self.counters.add("reloads")
        kept = fixed(self.told, new)
        self.log("reload", discovery=new.discovery, platform=new.platform, kept_as_started=kept)
        self.roster.post(Moved(new.discovery))
        self.bulletin.post(Moved(new.platform))
        self.desk.mailbox.put(Moved(new.platform))
        if self.versions is not None:
            from myrtleroad.net.own import control

            try:
                at = control(self.own)
            except Unclear as fault:
                self.log("reload refused", why=str(fault))
                return
            if at is not None:
                self.versions.mailbox.put(Moved(at))

    def drain(self) -> None:
        """Answer whatever comes while connections may still arrive, then what is held, then end."""
        self.log("stopping", open=len(self.brain.open))
        self.door.stopping = True
        gevent.sleep(LATE_S)
        last = self.clock() + max(r.timeout_ms for r in self.told.facts.routes)  # for reqs half come
        self.door.shut(last)
        while self.brain.open or (self.clock() < last and not all(c.idle for c in self.door.clients)):
            gevent.sleep(0.01)
        self.show()
        self.log("stopped")
        self.log.flush()

    def show(self) -> None:
        held, open_now, dropped = len(self.brain.open), descriptors(), self.log.dropped
        counts = self.counters.shown()
        self.log("counters", open=held, descriptors=open_now, log_dropped=dropped, counts=counts)
