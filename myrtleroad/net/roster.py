"""The discovery actor: watches the list of machines and passes on what it says."""

from collections.abc import Callable
from random import Random

import gevent
import orjson
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.net import head
from myrtleroad.net.brain import Lost
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.told import Told, listing

UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)  # a line that is no list of machines
AGAIN_S = 1.0  # the longest pause before a watch that nobody asks for: many fronts share one discovery
SILENT_S = 4.5  # an empty line comes every 2 s: two have been missed, with some room


class Roster:
    def __init__(self, told: Told, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.told, self.counters, self.log, self.deliver = told, counters, log, deliver
        self.mailbox: SimpleQueue = SimpleQueue()
        self.version = told.known.version
        self.answered = False  # whether the first watch has answered or failed
        self.live = False  # whether the watch of now has told anything, for the log
        self.rest = b""  # of a line that has not ended yet
        self.random = Random(told.seed).random

    def run(self) -> None:
        """The module says when to watch; where changes come unasked, there is nothing to say and the
        watch is begun again by itself, after a pause that differs between fronts."""
        while True:
            if self.told.facts.list_on_request:
                self.mailbox.get()
            else:
                gevent.sleep(AGAIN_S * self.random())
            why = self.watch()
            self.counters.add("watches_ended")
            self.log("list lost", why=why)
            self.answered, self.live = True, False
            self.deliver(Lost())

    def watch(self) -> str:
        """One watch, from its call to its end; says how it ended."""
        sock = None
        self.rest = b""
        try:
            sock = socket.create_connection(self.told.discovery, SILENT_S)
            target = f"/api/targets?watch=1&after={self.version}"
            head.write(sock, head.call("GET", target, head.host(self.told.discovery)))
            answers = head.Answers()
            while not answers.complete:
                data = head.read(sock)
                if not data:
                    return "ended"
                answers.feed(data)
                if answers.answer.status not in (0, 200):
                    return f"status {answers.answer.status}"
                chunks, answers.answer.body = answers.answer.body, []
                for chunk in chunks:
                    self.take(chunk)
            return "ended"
        except (OSError, head.Unfit, *UNREADABLE) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()

    def take(self, chunk: bytes) -> None:
        """Lines may be split anywhere."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                got = listing(orjson.loads(line), self.told.zones, self.told.kinds)
                self.version = got.version
                if not self.live:
                    self.log("list watched", version=got.version, entries=len(got.entries))
                self.answered = self.live = True
                self.deliver(got)
