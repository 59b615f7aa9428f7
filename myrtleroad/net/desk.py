"""The platform: the bulletin of stage news on one connection, our votes on another."""

import xml.etree.ElementTree as ET
from collections.abc import Callable
from random import Random
from urllib.parse import parse_qsl, urlencode

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad import interface as i
from myrtleroad.net import head
from myrtleroad.net.counters import Counters
from myrtleroad.net.ending import Answer, Broken, Cause, Reach
from myrtleroad.net.log import Log
from myrtleroad.net.told import Told, stage_news

SILENT_S = 3.0  # a sign of life comes every second
VERDICTS = {
    i.Verdict.NONE: "clear",
    i.Verdict.ON: "approve",
    i.Verdict.HOLD: "wait",
    i.Verdict.BACK: "reject",
}
ERRORS = {"throttled": i.End.FULL, "conflict": i.End.MOOT, "internal": i.End.ERRORED}


def unanswered(end: i.End) -> i.StageNews:
    return i.StageNews(end, True, 0, 0, i.Phase.ON_TRIAL, 0.0, 0.0)


def news_of(result: Answer | Broken) -> i.StageNews:
    """What the answer to a vote says; what cannot be read may have been carried out."""
    if isinstance(result, Broken):
        # Never carried out where its last byte was not written, as if the platform had been in error.
        return unanswered(i.End.ERRORED if result.reach < Reach.WRITTEN else i.End.TIMEOUT)
    try:
        root = ET.fromstring(b"".join(result.body))
        if result.status == 200:
            item = root.find("entries/item")
            return stage_news({child.tag: child.text for child in item}, answers_vote=True)
        return unanswered(ERRORS.get(root.findtext("Code", ""), i.End.ERRORED))
    except (ET.ParseError, AttributeError, KeyError, TypeError, ValueError):
        return unanswered(i.End.TIMEOUT)


class Bulletin:
    def __init__(self, told: Told, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.told, self.counters, self.log, self.deliver = told, counters, log, deliver
        self.random = Random(told.seed).random
        self.answered = False  # whether the first bulletin has come or failed
        self.live = False  # whether the one of now has told anything, for the log
        self.rest, self.event = b"", b""

    def run(self) -> None:
        while True:
            why = self.read()
            self.answered, self.live = True, False
            self.counters.add("bulletins_ended")
            self.log("bulletin lost", why=why)
            gevent.sleep(0.25 + 0.5 * self.random())

    def read(self) -> str:
        sock = None
        self.rest, self.event = b"", b""
        try:
            sock = socket.create_connection(self.told.platform, SILENT_S)
            head.write(sock, head.call("GET", "/v1/bulletin", head.host(self.told.platform)))
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
        except (OSError, head.Unfit) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()

    def take(self, chunk: bytes) -> None:
        """Lines of an event stream, split anywhere; an event ends with its data line here."""
        *lines, self.rest = (self.rest + chunk).split(b"\n")
        for line in lines:
            name, _, value = line.strip().partition(b":")
            if name == b"event":
                self.event = value.strip()
            elif name == b"data" and self.event == b"progress":
                try:
                    news = stage_news(dict(parse_qsl(value.strip().decode())))
                except (KeyError, ValueError):
                    self.counters.add("bulletin_unreadable")
                else:
                    if not self.live:
                        self.log("bulletin read", build=news.build)
                    self.answered = self.live = True
                    self.deliver(news)
            elif name == b"data":
                self.counters.add("bulletin_unknown")


class Desk:
    """Casts votes one after another and tells the module what came of each."""

    def __init__(self, told: Told, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.told, self.counters, self.log, self.deliver = told, counters, log, deliver
        self.wait_s = told.facts.rollout.answer_wait_ms / 1000
        self.mailbox: SimpleQueue = SimpleQueue()

    def run(self) -> None:
        while True:
            vote = self.mailbox.get()
            result = self.cast(vote)
            news = news_of(result)
            self.counters.add(f"votes_{news.end.name.lower()}")
            self.log("vote answered", end=news.end.name, build=news.build, stage=news.stage)
            self.deliver(news)

    def cast(self, vote: i.Vote) -> Answer | Broken:
        """One call on a connection of its own: votes are rare, and the platform closes idle connections
        when it likes, which would leave a vote written to one in doubt."""
        fields = {
            "Action": "RecordOpinion",
            "Revision": vote.build,
            "Wave": vote.stage,
            "Decision": VERDICTS[vote.verdict],
        }
        reach, sock, answers = Reach.NOT_CONNECTED, None, head.Answers()
        try:
            with gevent.Timeout(self.wait_s, TimeoutError):
                sock = socket.create_connection(self.told.platform)
                reach = Reach.CONNECTED
                host = head.host(self.told.platform)
                head.write(sock, head.call("POST", "/v1/", host, urlencode(fields).encode()))
                reach = Reach.WRITTEN
                while not answers.complete:
                    data = head.read(sock)
                    if not data:
                        return Broken(reach, Cause.ENDED)
                    reach = Reach.BEGUN
                    answers.feed(data)
            return answers.answer
        except (OSError, head.Unfit) as error:
            cause = Cause.TIMEOUT if isinstance(error, TimeoutError) else Cause.ENDED
            return Broken(reach, cause, str(error))
        finally:
            if sock is not None:
                sock.close()
