"""Receives configuration versions: a stream to the control service, the actions of the ledger, the limits in
force."""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.config import rules, version
from myrtleroad.config.document import Fault
from myrtleroad.config.entries import NO_ENTRIES, Delta, apply_delta, content_digest
from myrtleroad.config.frames import Frame, FrameDecoder, FrameError, encode_frame
from myrtleroad.config.ledger import (
    ApplyVersion,
    CheckOffer,
    Ledger,
    LedgerAction,
    Offer,
    OfferAnswer,
    ReportRollback,
    VersionId,
)
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings
from myrtleroad.net.connecting import connect_by_name
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.loop_turn import current_turn
from myrtleroad.net.node_config import DECODE_ERRORS, Address, AddressChanged, NodeConfig

CONNECT_TIMEOUT_S = 1.0  # as for the other streams
HEARTBEAT_S = 2.0  # interval of heartbeats sent
SILENCE_TIMEOUT_S = 5.0  # two heartbeats and some margin
# reading a version yields to other greenlets after this long, at the end of the current slice of nodes
SLICE_S = 0.001
# and sleeps this long, as requests are urgent and a version is not: at most a fifth of a core. A sleep of 0
# would run other greenlets, but read no socket until 50 of them had run.
SLICE_PAUSE_S = 0.004
READ_BYTES = 64 * 1024
MAX_UNREAD_FRAMES = 1024  # that wait for the ledger before more are read


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """A frame received on a stream; without a frame, the end of the stream."""

    stream: int
    frame: Frame | None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class OfferChecked:
    """The result of checking an offered version."""

    offer: Offer
    result: version.Version


def decode_version_id(fields: dict[str, Any]) -> VersionId:
    """The version that a frame names. Raises one of ``DECODE_ERRORS``."""
    return VersionId(int(fields["epoch"]), int(fields["number"]))


def decode_offer(stream: int, fields: dict[str, Any]) -> Offer:
    """The offer of a frame. Raises one of ``DECODE_ERRORS``."""
    confirm_ms = fields.get("confirm_ms")
    return Offer(
        stream,
        int(fields["nonce"]),
        decode_version_id(fields),
        str(fields["digest"]),
        None if confirm_ms is None else float(confirm_ms),
        fields,
        fields.get("confirmed") is True,
    )


class ConfigVersions:
    """Follows one control service. The ledger decides; reading and checking run in a separate greenlet, in
    slices, so that requests do not wait. ``apply_limits`` sets the limits in force (None if nothing is
    limited) and must not switch greenlets; ``trial_cap`` returns the cap of the build on trial, None without
    one."""

    def __init__(
        self,
        address: Address,
        node_config: NodeConfig,
        clock: Callable[[], float],
        counters: Counters,
        log: Log,
        apply_limits: Callable[[rules.EffectiveLimits | None], None],
        trial_cap: Callable[[], float | None],
    ):
        self.address, self.node_config, self.clock, self.counters, self.log = (
            address,
            node_config,
            clock,
            counters,
            log,
        )
        self.apply_limits, self.trial_cap = apply_limits, trial_cap
        self.mailbox: SimpleQueue = SimpleQueue()
        self.ledger = Ledger()
        # entries of the version in force and of the last good one
        self.entries_of = {self.ledger.in_force.version: NO_ENTRIES}
        self.applying = version.Version()  # the version that is being applied
        settings = FollowerSettings(
            node_config.facts.balancers, node_config.facts.server_rules.drain_grace_ms, HEARTBEAT_S * 1000
        )
        self.backoff = CallBackoff(settings, Random(node_config.seed + 2).random)
        self.newest_stream = 0  # the newest one, connected to the current address
        # of the newest stream and of one left open after a change of address
        self.sockets: dict[int, socket.socket] = {}
        # when each was opened; entries of both are removed as streams end
        self.opened_at: dict[int, float] = {}

    # --- actor ---

    def run(self) -> None:
        """Process messages and the ledger's deadlines; does not return."""
        gevent.spawn(self.connect)
        while True:
            wait = max(0.0, min(self.ledger.next_deadline() - self.clock(), 1000.0)) / 1000
            message = None
            with gevent.Timeout(wait, False):
                message = self.mailbox.get()
            if message is not None:
                self.process(message)
            self.execute(self.ledger.tick(self.clock()))

    def process(self, message: object) -> None:
        """Process one message; frames of streams already closed are ignored."""
        match message:
            case FrameReceived(stream, None, reason):
                self.stream_ended(stream, reason)
            case FrameReceived(stream, frame) if stream in self.sockets:
                try:
                    self.process_frame(frame, stream)
                except DECODE_ERRORS as error:
                    self.end_stream(stream, f"unreadable: {type(error).__name__}: {error}")
            case OfferChecked(offer, result):
                self.finish_check(offer, result)
            case AddressChanged(address) if address != self.address:
                # The old stream is followed until the new one delivers a frame: a wrong address disconnects
                # no front.
                self.address = address
                gevent.spawn(self.connect)

    def stream_ended(self, stream: int, reason: str) -> None:
        """A stream has ended, or could not be opened. If it was the newest, another one is opened."""
        open_ms = self.clock() - self.opened_at.pop(stream) if stream in self.opened_at else None
        if self.sockets.pop(stream, None) is not None:
            self.ledger.stream_closed(stream)
        self.counters.add("versions_lost")
        self.log("versions lost", level="warning", why=reason)
        if stream == self.newest_stream:
            gevent.spawn_later(self.backoff.next_pause_ms(open_ms) / 1000, self.reconnect, stream)

    def reconnect(self, stream: int) -> None:
        """Open another stream after the pause, unless a change of address already did."""
        if stream == self.newest_stream:  # no change of address has opened another one meanwhile
            self.connect()

    def process_frame(self, frame: Frame, stream: int) -> None:
        """Process a frame of the control service. Raises one of ``DECODE_ERRORS``."""
        fields = frame.fields
        if stream == self.newest_stream:
            for old_stream in [number for number in self.sockets if number != stream]:
                self.end_stream(old_stream, "moved")
        match frame.kind:
            case "offer":
                self.counters.add("versions_offered")
                self.execute(self.ledger.offer_received(decode_offer(stream, fields)))
            case "confirm":
                self.confirm(decode_version_id(fields), stream)
            case "expired":
                self.execute(self.ledger.expire_received(decode_version_id(fields)))
            case "bye":
                self.end_stream(stream, str(fields.get("why", "bye")))

    def confirm(self, version_id: VersionId, stream: int) -> None:
        """Confirm a version, and acknowledge that on its stream if the version is in force."""
        was_waiting = self.ledger.confirm_deadline_ms is not None
        if not self.ledger.confirm_received(version_id):
            return
        fields = {"epoch": version_id.epoch, "number": version_id.number}
        if was_waiting:
            self.log("version confirmed", **fields)
        self.send(stream, encode_frame("confirmed", **fields))

    # --- actions of the ledger ---

    def execute(self, actions: list[LedgerAction]) -> None:
        """Execute actions of the ledger."""
        for action in actions:
            match action:
                case CheckOffer(offer):
                    gevent.spawn(self.check, offer)
                case ApplyVersion(version_id):
                    self.apply_version(version_id)
                case OfferAnswer():
                    self.send_answer(action)
                case ReportRollback(version_id, back_to, reason):
                    self.counters.add("versions_rolled_back")
                    rolled_back = {"epoch": version_id.epoch, "number": version_id.number}
                    self.log("version rolled back", level="warning", **rolled_back, why=reason)
                    target = {"epoch": back_to.epoch, "number": back_to.number}
                    for stream in list(self.sockets):
                        self.send(stream, encode_frame("back", **rolled_back, to=target, why=reason))

    def check(self, offer: Offer) -> None:
        """Check an offer in a separate greenlet, in slices, yielding to other greenlets between them."""
        result, began_at = version.Version(), time.monotonic()
        try:
            steps = self.read_offer(offer, result)
            for _ in steps:
                if time.monotonic() - began_at >= SLICE_S:
                    gevent.sleep(SLICE_PAUSE_S)
                    began_at = time.monotonic()
        except Exception as error:  # whatever is wrong with it, the offer is answered
            result.faults = [Fault("syntax", f"{type(error).__name__}: {error}")]
        self.mailbox.put(OfferChecked(offer, result))

    def read_offer(self, offer: Offer, result: version.Version):
        """Read a whole text or a difference in steps. Raises KeyError and other ``DECODE_ERRORS`` if it
        cannot be decoded."""
        limits = self.node_config.limits(self.trial_cap(), self.address[0])
        if "text" in offer.body:
            yield from version.read_in_slices(str(offer.body["text"]).encode(), limits, result)
            return
        base = offer.body["base"]
        if decode_version_id(base) != self.ledger.in_force.version:
            result.faults = [Fault("base", "difference to a version that is not in force here")]
            return
        changed = {tuple(path): value for path, value in offer.body["set"]}
        delta = Delta(changed, [tuple(path) for path in offer.body["dropped"]])
        result.entries = apply_delta(self.entries_of[self.ledger.in_force.version], delta)
        yield from rules.check_entries(result.entries, limits, {}, result.faults)

    def finish_check(self, offer: Offer, result: version.Version) -> None:
        """Pass the result of a check to the ledger, with the first error if there are any."""
        faults = result.faults
        if not faults and content_digest(result.entries) != offer.digest:
            faults = [Fault("digest", "the content does not match its digest")]
        if not faults:
            self.applying = result
            self.execute(self.ledger.check_finished(offer.nonce, offer.stream))
            return
        first_fault, more_text = faults[0], f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        place = f"line {first_fault.line}, column {first_fault.column}: " if first_fault.line else ""
        reason = place + first_fault.text + more_text
        self.execute(
            self.ledger.check_finished(offer.nonce, offer.stream, first_fault.code, reason, first_fault.path)
        )

    def apply_version(self, version_id: VersionId) -> None:
        """Apply a version completely or not at all: the limits are computed first and set in one call."""
        is_rollback, failure = version_id == self.ledger.in_force.version, ""
        entries = self.entries_of[version_id] if is_rollback else self.applying.entries
        try:
            self.apply_limits(self.limits_of(entries))
        except Exception as error:  # the previous version stays in force
            failure = f"{type(error).__name__}: {error}"
        if is_rollback:
            return  # the ledger has rolled back already
        if not failure:
            self.entries_of[version_id] = entries
            self.counters.add("versions_applied")
            self.log(
                "version applied", epoch=version_id.epoch, number=version_id.number, entries=len(entries)
            )
        self.execute(self.ledger.apply_finished(version_id, self.clock(), failure))
        kept = (self.ledger.in_force.version, self.ledger.last_good.version)
        self.entries_of = {
            kept_id: content for kept_id, content in self.entries_of.items() if kept_id in kept
        }

    def limits_of(self, entries) -> rules.EffectiveLimits | None:
        """The limits in effect with these entries, None without entries."""
        return (
            rules.effective_limits(entries, self.node_config.limits(self.trial_cap()))
            if len(entries)
            else None
        )

    def reapply(self) -> None:
        """Compute the limits in force anew after something that bounds them, such as the cap, has changed."""
        entries = self.entries_of[self.ledger.in_force.version]
        if len(entries):
            self.apply_limits(self.limits_of(entries))

    def send_answer(self, answer: OfferAnswer) -> None:
        """Send the answer to an offer, and log it if the version was refused."""
        version_fields = {"epoch": answer.version.epoch, "number": answer.version.number}
        self.counters.add("versions_acked" if answer.acked else "versions_refused")
        if not answer.acked:
            self.log("version refused", level="warning", **version_fields, code=answer.code, text=answer.text)
        reason_fields = {"code": answer.code, "text": answer.text, "path": answer.path}
        self.send(
            answer.stream,
            encode_frame("answer", nonce=answer.nonce, **version_fields, acked=answer.acked, **reason_fields),
        )

    # --- stream ---

    def connect(self) -> None:
        """Open a stream and read it to its end, which is posted once."""
        self.newest_stream += 1
        number, reason, sock = self.newest_stream, "ended", None
        try:
            sock = connect_by_name(self.address, CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(SILENCE_TIMEOUT_S)
            self.sockets[number], self.opened_at[number] = sock, self.clock()
            self.ledger.stream_opened(number)
            in_force = self.ledger.in_force
            holds = {
                "epoch": in_force.version.epoch,
                "number": in_force.version.number,
                "digest": in_force.digest,
            }
            self.send(number, encode_frame("hello", name=self.node_config.name, protocol=1, holds=holds))
            gevent.spawn(self.send_heartbeats, number)
            decoder = FrameDecoder()
            while data := sock.recv(READ_BYTES):
                for frame in decoder.feed(data):
                    self.mailbox.put(FrameReceived(number, frame))
                while self.mailbox.qsize() > MAX_UNREAD_FRAMES:
                    gevent.sleep(SLICE_PAUSE_S)  # what is not read stays in the system's buffer
                current_turn().wait_if_over()
        except (OSError, FrameError) as error:
            reason = f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()
            self.mailbox.put(FrameReceived(number, None, reason))

    def send_heartbeats(self, stream: int) -> None:
        """Send heartbeats for as long as the stream is open."""
        while stream in self.sockets:
            gevent.sleep(HEARTBEAT_S)
            self.send(stream, encode_frame("alive"))

    def send(self, stream: int, frame: bytes) -> None:
        """Send a frame. Never blocks for long: frames of a front are small, and a peer that does not read is
        of no use."""
        if (sock := self.sockets.get(stream)) is not None:
            try:
                with gevent.Timeout(CONNECT_TIMEOUT_S, TimeoutError):
                    sock.sendall(frame)
            except OSError as error:
                self.end_stream(stream, f"{type(error).__name__}: {error}")

    def end_stream(self, stream: int, reason: str) -> None:
        """Send nothing more on a stream; its reader sees the end and posts it."""
        sock = self.sockets.pop(stream, None)
        if sock is not None:
            self.ledger.stream_closed(stream)
            self.log("versions ended", why=reason)
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
