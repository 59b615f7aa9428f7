"""The front put together: who is started, in which order, and how it stops."""

import gc
import random
import signal
import sys

import gevent
from gevent.event import Event

from myrtleroad.net.brain import Brain
from myrtleroad.net.clock import Clock
from myrtleroad.net.counters import Counters
from myrtleroad.net.desk import Bulletin, Desk
from myrtleroad.net.door import Door
from myrtleroad.net.log import Log, descriptors
from myrtleroad.net.roster import Roster
from myrtleroad.net.told import Told

LATE_S = 0.45  # new connections keep arriving for up to 0.4 s after SIGTERM


class Front:
    def __init__(self, told: Told):
        self.clock, self.counters = Clock(), Counters()
        self.log = Log(self.clock)
        self.brain = Brain(told, self.clock, self.counters, self.log)
        deliver = self.brain.mailbox.put
        self.roster = Roster(told, self.counters, self.log, deliver)
        self.bulletin = Bulletin(told, self.counters, self.log, random.Random(told.seed).random, deliver)
        self.desk = Desk(told, self.counters, self.log, deliver)
        self.brain.watch, self.brain.vote = self.roster.mailbox.put, self.desk.mailbox.put
        self.door = Door(told, self.clock, self.counters, self.log, deliver, self.is_ready)
        self.stop = Event()
        self.told = told

    def is_ready(self) -> bool:
        return self.roster.answered and self.bulletin.answered and not self.stop.is_set()

    def run(self) -> None:
        gevent.signal_handler(signal.SIGTERM, self.on_term)
        gevent.signal_handler(signal.SIGINT, self.on_term)
        gevent.signal_handler(signal.SIGUSR1, self.show)
        for actor in (self.log, self.brain, self.roster, self.bulletin, self.desk, self.door):
            gevent.spawn(actor.run)
        self.log("start", name=self.told.name, machines=len(self.told.known.entries))
        gc.collect()
        gc.freeze()
        self.stop.wait()
        self.drain()

    def on_term(self) -> None:
        if self.stop.is_set():
            sys.exit(1)
        self.stop.set()

    def drain(self) -> None:
        self.log("stopping", open=len(self.brain.open))
        self.door.stopping = True
        gevent.sleep(LATE_S)
        self.door.sock.close()
        while self.brain.open:
            gevent.sleep(0.01)
        gevent.sleep(0.05)
        self.show()
        self.log("stopped")
        self.log.flush()

    def show(self) -> None:
        self.log(
            "counters", open=len(self.brain.open), descriptors=descriptors(), counts=self.counters.shown()
        )
