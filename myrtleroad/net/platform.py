"""The platform: stage updates on one connection, this front's votes on others."""

import xml.etree.ElementTree as ET
from collections.abc import Callable
from urllib.parse import parse_qsl, urlencode

import gevent
from gevent.queue import SimpleQueue

from myrtleroad import interface
from myrtleroad.membership.stream_quota import StreamLimits
from myrtleroad.net import http1, socket_io
from myrtleroad.net.connecting import connect_by_name
from myrtleroad.net.counters import Counters
from myrtleroad.net.discovery import follower_settings
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse
from myrtleroad.net.log import Log
from myrtleroad.net.loop_turn import current_turn
from myrtleroad.net.node_config import DECODE_ERRORS, AddressChanged, NodeConfig, stage_update
from myrtleroad.net.stream import FollowerActor, FollowerContext, Stream

HEARTBEAT_MS = 1000.0  # interval of heartbeats (protocol)
# event types; this deployment sends only the first
EVENT_TYPES = (b"progress", b"metrics", b"complaint")
VERDICTS = {
    interface.Verdict.NONE: "clear",
    interface.Verdict.ON: "approve",
    interface.Verdict.HOLD: "wait",
    interface.Verdict.BACK: "reject",
}
# responses with these statuses and codes mean that the vote was not executed
ERROR_OUTCOMES = {
    (400, "throttled"): interface.Outcome.FULL,
    (400, "conflict"): interface.Outcome.MOOT,
    (400, "invalid"): interface.Outcome.ERRORED,
    (500, "internal"): interface.Outcome.ERRORED,
}


def unanswered_vote(outcome: interface.Outcome) -> interface.StageUpdate:
    """The result of a vote whose response carries no stage."""
    return interface.StageUpdate(outcome, True, 0, 0, interface.RolloutPhase.ON_TRIAL, 0.0, 0.0)


def vote_result(result: UpstreamResponse | ExchangeFailure) -> interface.StageUpdate:
    """The outcome of a vote and the stage in the response. An unreadable response may belong to an executed
    vote."""
    if isinstance(result, ExchangeFailure):
        # Not executed if its last byte was not written: the same as an error of the platform.
        return unanswered_vote(
            interface.Outcome.ERRORED
            if result.progress < ExchangeProgress.WRITTEN
            else interface.Outcome.TIMEOUT
        )
    try:
        root = ET.fromstring(b"".join(result.body))
        if result.status == 200:
            item = root.find("entries/item")
            return stage_update({child.tag: child.text for child in item}, answers_vote=True)
        # The protocol specifies a bare error; a platform that wraps responses in a Response puts it inside.
        error = root if root.tag == "Error" else root.find(".//Error")
        code = error.findtext("Code", "") if error is not None else ""
        return unanswered_vote(ERROR_OUTCOMES.get((result.status, code), interface.Outcome.TIMEOUT))
    except (ET.ParseError, *DECODE_ERRORS):
        return unanswered_vote(interface.Outcome.TIMEOUT)


def describe_result(result: UpstreamResponse | ExchangeFailure) -> str:
    """The result of a vote, for the log."""
    if isinstance(result, ExchangeFailure):
        return f"{result.progress.name} {result.cause} {result.detail}"
    return f"{result.status} {b''.join(result.body)[:200].decode('latin-1')}"


class StageUpdates(FollowerActor):
    """Follows the platform's event stream of stage updates."""

    ACTOR_NAME = "bulletin"  # the actor's name in log events
    NAME, ENDED_COUNTER = "bulletin", "bulletins_ended"
    MAX_LINE_BYTES = 16 * 1024  # an event is one stage, some hundred bytes
    # At once as much as the platform holds for a slow reader.
    LIMITS = StreamLimits(256 * 1024, 64 * 1024.0, 1024, 256.0)

    def __init__(self, node_config: NodeConfig, counters: Counters, log: Log, context: FollowerContext):
        super().__init__(
            node_config.platform,
            follower_settings(node_config, HEARTBEAT_MS),
            node_config,
            counters,
            log,
            context,
        )
        # event type of each stream; here an event ends with its data line
        self.event_types: dict[int, bytes] = {}

    def open_stream(self, number: int) -> Stream:
        return Stream(number, "/v1/bulletin", self)

    def stream_gone(self, stream: Stream) -> None:
        self.event_types.pop(stream.number, None)

    def process_line(self, stream: Stream, line: bytes) -> None:
        field_name, separator, value = line.strip().partition(b":")
        value = value.strip()
        if not separator and field_name:
            raise ValueError("not a line of an event stream")
        if field_name == b"event":
            if value not in EVENT_TYPES:
                raise ValueError("unknown event type")
            self.event_types[stream.number] = value
        elif field_name == b"data" and self.event_types.get(stream.number) == b"progress":
            self.count_message()
            update = stage_update(dict(parse_qsl(value.decode())))
            self.deliver(update)
            self.received(stream, build=update.build)
        elif field_name == b"data":
            self.counters.add("bulletin_unknown")
        elif field_name not in (b"", b"data", b"id", b"retry"):
            raise ValueError("unknown field of an event stream")


class VoteCaster:
    """Casts votes one at a time and delivers the result of each to the module."""

    ACTOR_NAME = "desk"  # the actor's name in log events

    def __init__(
        self, node_config: NodeConfig, counters: Counters, log: Log, deliver: Callable[[object], None]
    ):
        self.address, self.counters, self.log, self.deliver = node_config.platform, counters, log, deliver
        self.timeout_s = node_config.facts.rollout.vote_timeout_ms / 1000
        self.mailbox: SimpleQueue = SimpleQueue()

    def run(self) -> None:
        """Cast queued votes one after another; does not return."""
        while True:
            message = self.mailbox.get()
            if isinstance(message, AddressChanged):
                self.address = message.address  # a vote in progress keeps its connection and its one result
                continue
            result = self.cast(message)
            update = vote_result(result)
            if update.outcome == interface.Outcome.TIMEOUT:
                self.log("vote unclear", level="warning", what=describe_result(result))
            self.counters.add(f"votes_{update.outcome.name.lower()}")
            self.log("vote answered", end=update.outcome.name, build=update.build, stage=update.stage)
            self.deliver(update)

    def cast(self, vote: interface.Vote) -> UpstreamResponse | ExchangeFailure:
        """Cast one vote on a new connection. Votes are rare, and the platform closes idle connections at any
        time, which would leave the result of a vote written to one unknown."""
        fields = {
            "Action": "RecordOpinion",
            "Revision": vote.build,
            "Wave": vote.stage,
            "Decision": VERDICTS[vote.verdict],
        }
        progress, sock, parser = ExchangeProgress.NOT_CONNECTED, None, http1.ResponseParser()
        try:
            with gevent.Timeout(self.timeout_s, TimeoutError):
                sock = connect_by_name(self.address, self.timeout_s)
                progress = ExchangeProgress.CONNECTED
                host = http1.host_header(self.address)
                socket_io.send(sock, http1.request_parts("POST", "/v1/", host, urlencode(fields).encode()))
                progress = ExchangeProgress.WRITTEN
                while not parser.complete:
                    data = socket_io.receive(sock)
                    if not data:
                        return ExchangeFailure(progress, FailureCause.ENDED)
                    progress = ExchangeProgress.BEGUN
                    parser.feed(data)
                    current_turn().wait_if_over()
            return parser.response
        except (OSError, http1.HttpError) as error:
            cause = FailureCause.TIMEOUT if isinstance(error, TimeoutError) else FailureCause.ENDED
            return ExchangeFailure(progress, cause, str(error))
        finally:
            if sock is not None:
                sock.close()
            parser.close()
