"""The platform: the bulletin of stage news on one connection, our votes on another."""

import xml.etree.ElementTree as ET
from collections.abc import Callable
from urllib.parse import parse_qsl, urlencode

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad import interface as i
from myrtleroad.net import head
from myrtleroad.net.counters import Counters
from myrtleroad.net.ending import Answer, Broken, Cause, Reach
from myrtleroad.net.log import Log
from myrtleroad.net.roster import manner
from myrtleroad.net.stream import Follower, Post, Stream
from myrtleroad.net.told import UNREADABLE, Moved, Told, stage_news

SIGN_MS = 1000.0  # a sign of life comes so often (protocol)
KINDS = (b"progress", b"metrics", b"complaint")  # of events; the first is the only one of this deployment
VERDICTS = {
    i.Verdict.NONE: "clear",
    i.Verdict.ON: "approve",
    i.Verdict.HOLD: "wait",
    i.Verdict.BACK: "reject",
}
ERRORS = {  # an answer of these statuses with these codes says that the vote was not carried out
    (400, "throttled"): i.Outcome.FULL,
    (400, "conflict"): i.Outcome.MOOT,
    (400, "invalid"): i.Outcome.ERRORED,
    (500, "internal"): i.Outcome.ERRORED,
}


def unanswered(end: i.Outcome) -> i.StageUpdate:
    return i.StageUpdate(end, True, 0, 0, i.RolloutPhase.ON_TRIAL, 0.0, 0.0)


def news_of(result: Answer | Broken) -> i.StageUpdate:
    """What the answer to a vote says; what cannot be read may have been carried out."""
    if isinstance(result, Broken):
        # Never carried out where its last byte was not written, as if the platform had been in error.
        return unanswered(i.Outcome.ERRORED if result.reach < Reach.WRITTEN else i.Outcome.TIMEOUT)
    try:
        root = ET.fromstring(b"".join(result.body))
        if result.status == 200:
            item = root.find("entries/item")
            return stage_news({child.tag: child.text for child in item}, answers_vote=True)
        # The protocol shows the error alone; a platform that answers calls in a Response puts it in there.
        error = root if root.tag == "Error" else root.find(".//Error")
        code = error.findtext("Code", "") if error is not None else ""
        return unanswered(ERRORS.get((result.status, code), i.Outcome.TIMEOUT))
    except (ET.ParseError, *UNREADABLE):
        return unanswered(i.Outcome.TIMEOUT)


def said(result: Answer | Broken) -> str:
    """What came of a vote, for the log."""
    if isinstance(result, Broken):
        return f"{result.reach.name} {result.cause} {result.detail}"
    return f"{result.status} {b''.join(result.body)[:200].decode('latin-1')}"


class Bulletin(Follower):
    """The platform's stream of news."""

    NAME, ENDED = "bulletin", "bulletins_ended"

    def __init__(self, told: Told, counters: Counters, log: Log, post: Post):
        super().__init__(told.platform, manner(told, SIGN_MS), told, counters, log, post)
        self.events: dict[int, bytes] = {}  # of each stream; an event ends with its data line here

    def open(self, number: int) -> Stream:
        return Stream(number, "/v1/bulletin", self)

    def parted(self, stream: Stream) -> None:
        self.events.pop(stream.number, None)

    def line(self, stream: Stream, text: bytes) -> None:
        name, mark, value = text.strip().partition(b":")
        value = value.strip()
        if not mark and name:
            raise ValueError("no line of an event stream")
        if name == b"event":
            if value not in KINDS:
                raise ValueError("no kind of event")
            self.events[stream.number] = value
        elif name == b"data" and self.events.get(stream.number) == b"progress":
            news = stage_news(dict(parse_qsl(value.decode())))
            self.deliver(news)
            self.told(stream, build=news.build)
        elif name == b"data":
            self.counters.add("bulletin_unknown")
        elif name not in (b"", b"data", b"id", b"retry"):
            raise ValueError("no field of an event stream")


class Desk:
    """Casts votes one after another and tells the module what came of each."""

    def __init__(self, told: Told, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.at, self.counters, self.log, self.deliver = told.platform, counters, log, deliver
        self.wait_s = told.facts.rollout.vote_timeout_ms / 1000
        self.mailbox: SimpleQueue = SimpleQueue()

    def run(self) -> None:
        while True:
            message = self.mailbox.get()
            if isinstance(message, Moved):
                self.at = message.at  # a vote that is out keeps its one result
                continue
            result = self.cast(message)
            news = news_of(result)
            if news.outcome == i.Outcome.TIMEOUT:
                self.log("vote unclear", level="warning", what=said(result))
            self.counters.add(f"votes_{news.outcome.name.lower()}")
            self.log("vote answered", end=news.outcome.name, build=news.build, stage=news.stage)
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
                sock = socket.create_connection(self.at)
                reach = Reach.CONNECTED
                host = head.host(self.at)
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
