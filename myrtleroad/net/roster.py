"""The discovery actor: watches the list of machines and passes on what it says."""

from collections.abc import Callable
from random import Random

import gevent
import orjson

from myrtleroad import interface as i
from myrtleroad.net.brain import Lost
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.lookout import Lookout
from myrtleroad.net.stream import Follower, Stream
from myrtleroad.net.told import Told, listing

AGAIN_S = 1.0  # the longest pause before a watch that nobody asks for: many fronts share one discovery
SILENT_S = 4.5  # an empty line comes every 2 s: two have been missed, with some room


class Roster(Follower):
    """The module says when to watch; where changes come unasked, there is nothing to say and the watch is
    begun again by itself, after a pause that differs between fronts."""

    NAME, ENDED = "list", "watches_ended"

    def __init__(
        self,
        told: Told,
        counters: Counters,
        log: Log,
        deliver: Callable[[object], None],
        lookout: Lookout,
    ):
        super().__init__(told.discovery, counters, log, deliver, lookout)
        self.asks, self.words = told.facts.list_on_request, (told.zones, told.kinds)
        self.version = told.known.version
        self.random = Random(told.seed).random

    def run(self) -> None:
        if not self.asks:
            self.again()
        super().run()

    def open(self) -> Stream:
        target = f"/api/targets?watch=1&after={self.version}"
        return Stream(self.at, target, SILENT_S, self.mailbox.put, self.lookout)

    def line(self, stream: Stream, text: bytes) -> None:
        if not text.strip():
            return
        got = listing(orjson.loads(text), *self.words)
        # Guards against an older list over a newer one while two addresses tell; a sole one's word stands.
        stale = self.old is not None and got.version < self.version
        if not stale:
            self.version = got.version
            self.deliver(got)
            self.told(stream, version=got.version, entries=len(got.entries))

    def lost(self) -> None:
        self.deliver(Lost())
        if not self.asks:
            self.again()

    def again(self) -> None:
        gevent.spawn_later(AGAIN_S * self.random(), self.mailbox.put, i.Watch())
