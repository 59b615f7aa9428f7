"""The platform: the bulletin of stage news on one connection, our votes on another."""

import xml.etree.ElementTree as ET
from collections.abc import Callable
from urllib.parse import parse_qsl, urlencode

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad import interface as i
from myrtleroad.net import http1
from myrtleroad.net.counters import Counters
from myrtleroad.net.discovery import follower_settings
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import DECODE_ERRORS, AddressChanged, NodeConfig, stage_update
from myrtleroad.net.stream import FollowerActor, FollowerContext, Stream

HEARTBEAT_MS = 1000.0  # a sign of life comes so often (protocol)
EVENT_TYPES = (
    b"progress",
    b"metrics",
    b"complaint",
)  # of events; the first is the only one of this deployment
VERDICTS = {
    i.Verdict.NONE: "clear",
    i.Verdict.ON: "approve",
    i.Verdict.HOLD: "wait",
    i.Verdict.BACK: "reject",
}
ERROR_OUTCOMES = {  # an answer of these statuses with these codes says that the vote was not carried out
    (400, "throttled"): i.Outcome.FULL,
    (400, "conflict"): i.Outcome.MOOT,
    (400, "invalid"): i.Outcome.ERRORED,
    (500, "internal"): i.Outcome.ERRORED,
}


def unanswered_vote(end: i.Outcome) -> i.StageUpdate:
    return i.StageUpdate(end, True, 0, 0, i.RolloutPhase.ON_TRIAL, 0.0, 0.0)


def vote_result(result: UpstreamResponse | ExchangeFailure) -> i.StageUpdate:
    """What the answer to a vote says; what cannot be read may have been carried out."""
    if isinstance(result, ExchangeFailure):
        # Never carried out where its last byte was not written, as if the platform had been in error.
        return unanswered_vote(
            i.Outcome.ERRORED if result.progress < ExchangeProgress.WRITTEN else i.Outcome.TIMEOUT
        )
    try:
        root = ET.fromstring(b"".join(result.body))
        if result.status == 200:
            item = root.find("entries/item")
            return stage_update({child.tag: child.text for child in item}, answers_vote=True)
        # The protocol shows the error alone; a platform that answers calls in a Response puts it in there.
        error = root if root.tag == "Error" else root.find(".//Error")
        code = error.findtext("Code", "") if error is not None else ""
        return unanswered_vote(ERROR_OUTCOMES.get((result.status, code), i.Outcome.TIMEOUT))
    except (ET.ParseError, *DECODE_ERRORS):
        return unanswered_vote(i.Outcome.TIMEOUT)


def describe_result(result: UpstreamResponse | ExchangeFailure) -> str:
    """What came of a vote, for the log."""
    if isinstance(result, ExchangeFailure):
        return f"{result.progress.name} {result.cause} {result.detail}"
    return f"{result.status} {b''.join(result.body)[:200].decode('latin-1')}"


class StageUpdates(FollowerActor):
    """The platform's stream of news."""

    ACTOR_NAME = "bulletin"  # the actor's name in log events
    NAME, ENDED_COUNTER = "bulletin", "bulletins_ended"

    def __init__(self, told: NodeConfig, counters: Counters, log: Log, post: FollowerContext):
        super().__init__(told.platform, follower_settings(told, HEARTBEAT_MS), told, counters, log, post)
        self.event_types: dict[int, bytes] = {}  # of each stream; an event ends with its data line here

    def open_stream(self, number: int) -> Stream:
        return Stream(number, "/v1/bulletin", self)

    def stream_gone(self, stream: Stream) -> None:
        self.event_types.pop(stream.number, None)

    def process_line(self, stream: Stream, text: bytes) -> None:
        name, mark, value = text.strip().partition(b":")
        value = value.strip()
        if not mark and name:
            raise ValueError("no line of an event stream")
        if name == b"event":
            if value not in EVENT_TYPES:
                raise ValueError("no kind of event")
            self.event_types[stream.number] = value
        elif name == b"data" and self.event_types.get(stream.number) == b"progress":
            news = stage_update(dict(parse_qsl(value.decode())))
            self.deliver(news)
            self.received(stream, build=news.build)
        elif name == b"data":
            self.counters.add("bulletin_unknown")
        elif name not in (b"", b"data", b"id", b"retry"):
            raise ValueError("no field of an event stream")


class VoteCaster:
    """Casts votes one after another and tells the module what came of each."""

    ACTOR_NAME = "desk"  # the actor's name in log events

    def __init__(self, told: NodeConfig, counters: Counters, log: Log, deliver: Callable[[object], None]):
        self.address, self.counters, self.log, self.deliver = told.platform, counters, log, deliver
        self.timeout_s = told.facts.rollout.vote_timeout_ms / 1000
        self.mailbox: SimpleQueue = SimpleQueue()

    def run(self) -> None:
        while True:
            message = self.mailbox.get()
            if isinstance(message, AddressChanged):
                self.address = message.address  # a vote that is out keeps its one result
                continue
            result = self.cast(message)
            news = vote_result(result)
            if news.outcome == i.Outcome.TIMEOUT:
                self.log("vote unclear", level="warning", what=describe_result(result))
            self.counters.add(f"votes_{news.outcome.name.lower()}")
            self.log("vote answered", end=news.outcome.name, build=news.build, stage=news.stage)
            self.deliver(news)

    def cast(self, vote: i.Vote) -> UpstreamResponse | ExchangeFailure:
        """One call on a connection of its own: votes are rare, and the platform closes idle connections
        when it likes, which would leave a vote written to one in doubt."""
        fields = {
            "Action": "RecordOpinion",
            "Revision": vote.build,
            "Wave": vote.stage,
            "Decision": VERDICTS[vote.verdict],
        }
        reach, sock, answers = ExchangeProgress.NOT_CONNECTED, None, http1.ResponseParser()
        try:
            with gevent.Timeout(self.timeout_s, TimeoutError):
                sock = socket.create_connection(self.address)
                reach = ExchangeProgress.CONNECTED
                host = http1.host_header(self.address)
                http1.send(sock, http1.request_parts("POST", "/v1/", host, urlencode(fields).encode()))
                reach = ExchangeProgress.WRITTEN
                while not answers.complete:
                    data = http1.receive(sock)
                    if not data:
                        return ExchangeFailure(reach, FailureCause.ENDED)
                    reach = ExchangeProgress.BEGUN
                    answers.feed(data)
            return answers.response
        except (OSError, http1.HttpError) as error:
            cause = FailureCause.TIMEOUT if isinstance(error, TimeoutError) else FailureCause.ENDED
            return ExchangeFailure(reach, cause, str(error))
        finally:
            if sock is not None:
                sock.close()
