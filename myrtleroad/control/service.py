"""The control service on sockets: one actor that owns the rollout, one greenlet for each front, one for
operators.

Fronts use the stream described in docs/formats/config-stream.md. Operators send lines of JSON to a Unix
socket in the folder: one call, one answer."""

import os
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue

from myrtleroad.config import version
from myrtleroad.config.entries import NO_ENTRIES, content_digest, diff
from myrtleroad.config.frames import Frame, FrameDecoder, FrameError, encode_frame
from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES
from myrtleroad.control.boot_clock import BootClock
from myrtleroad.control.confirmation import (
    SETTLED,
    ConfirmationCall,
    ConfirmationState,
    confirm_deadline,
    initial_confirmation,
    remaining_ms,
)
from myrtleroad.control.folder import STATE, Folder, Published
from myrtleroad.control.numbering import FIRST_EPOCH, NumberTaken, worth_as_difference
from myrtleroad.control.numbering import next_number as next_version_number
from myrtleroad.control.rollout import (
    RevokeVersion,
    Rollout,
    RolloutAction,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)
from myrtleroad.net.listening_socket import try_set_option

HEARTBEAT_S, SILENCE_TIMEOUT_S = 2.0, 5.0  # as in the fronts: docs/formats/config-stream.md
MAX_QUEUED_FRAMES = 64  # queued frames for a front; a front that reads none of them is disconnected
CALL_SOCKET = "control.sock"
CALL_TIMEOUT_S = 10.0  # of an operator's command
MAX_FRONTS = 5000  # connections; further ones are closed


@dataclass(slots=True, eq=False)
class FrontStream:
    """The stream of one front. Its writer sends queued frames; its reader posts received frames to the
    actor."""

    sock: socket.socket
    name: str = ""  # set by its hello frame
    queue: SimpleQueue = field(default_factory=SimpleQueue)
    nonce: int = 0
    holds: VersionId = NO_VERSION

    def put(self, frame: bytes) -> None:
        """Queues a frame, or ends the stream if too many are queued."""
        if self.queue.qsize() >= MAX_QUEUED_FRAMES:
            self.close()
        else:
            self.queue.put(frame)

    def close(self) -> None:
        """Ends the stream after the queued frames."""
        self.queue.put(None)


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """A frame of a front, or the end of its stream."""

    stream: FrontStream
    frame: Frame | None  # None: end of the stream


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """A call of an operator; ``reply`` is called with the answer."""

    fields: dict[str, Any]
    reply: Callable[[dict[str, Any]], None]


def decode_version_id(fields: dict[str, Any]) -> VersionId:
    """The version that a frame names. Raises KeyError, TypeError or ValueError."""
    return VersionId(int(fields["epoch"]), int(fields["number"]))


class CallRefused(Exception):
    """An operator's call was refused; the text is sent as the answer."""


class NoAnswer(Exception):
    """A call was sent and not answered, so it may have been carried out or not."""


class ControlService:
    """The control service of one folder."""

    def __init__(
        self,
        folder: Folder,
        plan: RolloutPlan,
        clock: Callable[[], float],
        log: Callable[..., None],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ):
        self.folder, self.clock, self.log = folder, clock, log
        self.state = folder.load()
        self.state.epoch = max(FIRST_EPOCH, self.state.epoch)  # it is only raised by hand, in state.json
        self.boot_clock = BootClock()
        self.rollout = Rollout(plan, VersionId(*self.state.base))
        self.rollout.expect_fronts(self.state.fronts, clock())
        self.streams: dict[str, FrontStream] = {}  # by front name; removed as each stream ends
        self.entries = {NO_VERSION: NO_ENTRIES}  # of the kept versions
        self.positions: dict[VersionId, dict] = {}  # positions of their entries
        # Differences between versions; cleared by each publication.
        self.deltas: dict[tuple[VersionId, VersionId], dict | None] = {}
        self.versions: dict[VersionId, Published] = {}
        for published in self.state.published:
            self.add_version(published)
        self.confirmation_calls: list[ConfirmationCall] = []  # each is answered in time by ``end_calls``
        self.unsaved = False  # the state in memory could not be saved yet
        self.resume()
        self.mailbox: SimpleQueue = SimpleQueue()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        self.sock.listen(256)
        self.address = self.sock.getsockname()
        self.open_streams = 0
        self.stop = Event()

    def add_version(self, published: Published) -> None:
        """Reads a published version and keeps its entries and their positions."""
        version_id = VersionId(published.epoch, published.number)
        self.versions[version_id] = published
        parsed = version.read(published.text.encode())
        self.entries[version_id], self.positions[version_id] = parsed.entries, parsed.positions

    def resume(self) -> None:
        """Continues the last rollout after a start. A version of which an earlier release did not record
        whether it was confirmed is offered to nobody."""
        for version_id, published in self.versions.items():
            published.confirmation = self.confirmation_of(version_id)
        if self.confirmation_of(self.rollout.base) == ConfirmationState.UNKNOWN:
            self.rollout.base = self.rollout.version = NO_VERSION
        last = max(self.versions, default=NO_VERSION)
        confirmation, halt_reason = self.confirmation_of(last), self.state.halted
        if confirmation == ConfirmationState.UNKNOWN:
            halt_reason = f"{STATE} does not tell whether version {last.number} was confirmed"
        if confirmation == ConfirmationState.EXPIRED:
            self.expire_pending()
        fallback = self.interrupted_version()
        if confirmation == ConfirmationState.EXPIRED and not halt_reason and fallback is not None:
            last, confirmation = fallback, self.confirmation_of(fallback)
        self.carry_out(self.rollout.resume(last, halt_reason, self.clock(), confirmation))

    def interrupted_version(self) -> VersionId | None:
        """The version above the base whose rollout was ended by newer ones: the newest that was confirmed or
        asked for no confirmation. None if there is none, or if it was halted."""
        settled = [
            version_id
            for version_id in self.versions
            if version_id > self.rollout.base and self.confirmation_of(version_id) in SETTLED
        ]
        newest = max(settled, default=None)
        return None if newest is None or self.versions[newest].halted else newest

    # --- the actor ---

    def run(self) -> None:
        """Serves until ``stop`` is set."""
        socket_path = self.folder.path / CALL_SOCKET
        socket_path.unlink(missing_ok=True)
        calls = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        calls.bind(str(socket_path))
        os.chmod(socket_path, 0o600)
        calls.listen(8)
        workers = [
            gevent.spawn(self.accept),
            gevent.spawn(self.serve_calls, calls),
            gevent.spawn(self.process_messages),
        ]
        self.log(
            "control", at=f"{self.address[0]}:{self.address[1]}", base=self.state.base, epoch=self.state.epoch
        )
        try:
            self.stop.wait()
            for stream in list(self.streams.values()):
                stream.put(encode_frame("bye", why="the control service is stopping"))
            for call in self.confirmation_calls:
                call.answer()
            gevent.sleep(0.05)
        finally:
            gevent.killall(workers, block=False)
            for stream in list(self.streams.values()):
                stream.sock.close()
            self.sock.close()
            calls.close()
            socket_path.unlink(missing_ok=True)

    def process_messages(self) -> None:
        """The loop of the actor: handles messages and timeouts one after the other."""
        while True:
            wait_s = max(0.001, min(self.next_deadline(self.clock()) - self.clock(), 1000.0) / 1000)
            message = None
            with gevent.Timeout(wait_s, False):
                message = self.mailbox.get()
            now = self.clock()
            try:
                self.retry_save()
                self.expire_version()
                if message is None:
                    self.carry_out(self.rollout.tick(now))
                elif isinstance(message, OperatorCall):
                    self.operator_called(message, now)
                else:
                    self.frame_received(message.stream, message.frame, now)
                self.end_calls(now)
            except Exception as error:  # an error of one front or operator must not end the service
                self.log("fault", error=f"{type(error).__name__}: {error}")
                if isinstance(message, FrameReceived):
                    message.stream.close()

    def next_deadline(self, now: float) -> float:
        """When something is due at the latest without a message."""
        due = [self.rollout.next_deadline(now), *(call.ends_at_ms for call in self.confirmation_calls)]
        if (left_ms := self.confirm_left_ms()) is not None:
            due.append(now + left_ms)
        return min(due)

    def frame_received(self, stream: FrontStream, frame: Frame | None, now: float) -> None:
        """Handles a frame of a front, or the end of its stream."""
        if frame is None:
            if self.streams.get(stream.name) is stream:
                del self.streams[stream.name]
                self.carry_out(self.rollout.front_disconnected(stream.name, now))
            return
        fields = frame.fields
        match frame.kind:
            case "hello":
                stream.name, stream.holds = str(fields["name"]), decode_version_id(fields["holds"])
                if (old := self.streams.get(stream.name)) is not None and old is not stream:
                    old.close()  # the front has reconnected before its old stream ended
                self.streams[stream.name] = stream
                if stream.name not in self.rollout.fronts:
                    self.state.fronts = [*self.rollout.fronts, stream.name]
                    self.save_state()
                self.send_outcome(stream)
                self.carry_out(self.rollout.front_connected(stream.name, stream.holds, now))
            case "answer" if stream.name:
                version_id, acked = decode_version_id(fields), bool(fields["acked"])
                if acked:
                    stream.holds = version_id
                    self.send_outcome(stream)
                elif fields.get("code") == "base":
                    # Its base differs: sends the whole text.
                    self.offer(stream, version_id, whole=True)
                    return
                refusal = (
                    str(fields.get("code", "")),
                    self.with_position(version_id, str(fields.get("text", "")), fields.get("path") or []),
                )
                self.carry_out(self.rollout.answer_received(stream.name, version_id, acked, *refusal, now))
            case "back" if stream.name:
                stream.holds = decode_version_id(fields["to"])
                version_id, reason = decode_version_id(fields), str(fields.get("why", ""))
                self.carry_out(
                    self.rollout.front_rolled_back(stream.name, version_id, stream.holds, reason, now)
                )
            case "confirmed" if stream.name:
                version_id = decode_version_id(fields)
                for call in self.confirmation_calls:
                    if call.version == version_id:
                        call.front_confirmed(stream.name)

    def with_position(self, version_id: VersionId, text: str, path: list[str]) -> str:
        """Adds the position in the text to a refusal: a front that was sent a difference has no
        positions."""
        position = self.positions.get(version_id, {}).get(tuple(path))
        return (
            f"line {position[0]}, column {position[1]}: {text}"
            if position and not text.startswith("line ")
            else text
        )

    def carry_out(self, actions: list[RolloutAction]) -> None:
        """Carries out the actions of the rollout."""
        for action in actions:
            match action:
                case SendOffer(front, version_id):
                    if (stream := self.streams.get(front)) is not None and version_id != NO_VERSION:
                        self.offer(stream, version_id)
                case RevokeVersion(front, version_id):
                    if (stream := self.streams.get(front)) is not None:
                        self.send_verdict(stream, "expired", version_id)
                case RolloutHalted(version_id, reason):
                    self.state.halted = self.versions[version_id].halted = reason
                    self.save_state()
                    self.log("rollout halted", epoch=version_id.epoch, number=version_id.number, why=reason)
                case RolloutFinished(version_id):
                    self.state.base = (version_id.epoch, version_id.number)
                    self.save_state()
                    self.log("rollout done", epoch=version_id.epoch, number=version_id.number)

    def offer(self, stream: FrontStream, version_id: VersionId, whole: bool = False) -> None:
        """Offers a version, as a difference to the one that the front holds if that is known and smaller."""
        published = self.versions.get(version_id)
        if published is None:
            return  # no longer kept: the front stays with its version
        confirmation = self.confirmation_of(version_id)
        if confirmation == ConfirmationState.EXPIRED:
            return  # its time ended since it was to be offered
        stream.nonce += 1
        fields = {
            "nonce": stream.nonce,
            "epoch": version_id.epoch,
            "number": version_id.number,
            "digest": published.digest,
        }
        if confirmation == ConfirmationState.PENDING:
            fields["confirm_ms"] = self.remaining_ms(published)
        elif confirmation == ConfirmationState.CONFIRMED:
            fields["confirmed"] = True
        delta_part = None if whole else self.delta_fields(stream.holds, version_id, len(published.text))
        if delta_part is not None:
            stream.put(encode_frame("offer", **fields, **delta_part))
            return
        stream.put(encode_frame("offer", **fields, text=published.text))

    def delta_fields(self, base: VersionId, version_id: VersionId, text_length: int) -> dict[str, Any] | None:
        """The difference between two versions, computed once for all fronts that hold the same version;
        None if the base is unknown or the difference is as long as the text."""
        if base == NO_VERSION or base not in self.entries:
            return None
        if (base, version_id) not in self.deltas:
            delta = diff(self.entries[base], self.entries[version_id])
            changed = [[list(path), value] for path, value in delta.changed.items()]
            delta_part = {"set": changed, "dropped": [list(path) for path in delta.removed]}
            delta_part["base"] = {"epoch": base.epoch, "number": base.number}
            self.deltas[base, version_id] = delta_part if worth_as_difference(delta, text_length) else None
        return self.deltas[base, version_id]

    # --- operators ---

    def operator_called(self, call: OperatorCall, now: float) -> None:
        """Handles an operator's call and answers it; a confirmation is answered later (``end_calls``)."""
        try:
            if call.fields["call"] == "confirm":
                self.confirm(call, now)
                return
            reply = {"ok": True, **self.execute_call(call.fields, now)}
        except CallRefused as refused:
            reply = {"ok": False, "why": str(refused)}
        except (KeyError, TypeError, ValueError) as error:
            reply = {"ok": False, "why": f"invalid call: {type(error).__name__}: {error}"}
        call.reply(reply)

    def execute_call(self, fields: dict[str, Any], now: float) -> dict[str, Any]:
        """Carries out a call and returns the fields of its answer. Raises CallRefused."""
        match fields["call"]:
            case "publish":
                return self.publish(str(fields["text"]), now)
            case "rollback":
                return self.rollback(int(fields["to"]), now)
            case "status":
                return self.status()
        raise CallRefused(f"unknown call {fields['call']!r}")

    # --- confirmations ---

    def confirmation_of(self, version_id: VersionId) -> ConfirmationState:
        """The state of the confirmation of a version now; ``NOT_REQUIRED`` for versions no longer kept."""
        published = self.versions.get(version_id)
        if published is None:
            return ConfirmationState.NOT_REQUIRED
        if published.confirmation == ConfirmationState.PENDING and not self.remaining_ms(published):
            return ConfirmationState.EXPIRED
        return published.confirmation

    def remaining_ms(self, published: Published) -> float:
        """How long a version can still be confirmed."""
        return remaining_ms(published.confirm_deadline, self.boot_clock())

    def send_verdict(self, stream: FrontStream, kind: str, version_id: VersionId) -> None:
        """Tells a front that a version is confirmed or expired (``kind`` of the frame)."""
        stream.put(encode_frame(kind, epoch=version_id.epoch, number=version_id.number))

    def send_outcome(self, stream: FrontStream) -> None:
        """Tells a front whether the version that it holds is confirmed or expired: it may have been away when
        that happened, or be checking the version."""
        match self.confirmation_of(stream.holds):
            case ConfirmationState.CONFIRMED:
                self.send_verdict(stream, "confirm", stream.holds)
            case ConfirmationState.EXPIRED:
                self.send_verdict(stream, "expired", stream.holds)

    def expire_pending(self) -> None:
        """Expires the current version and those that it followed unconfirmed: nobody can confirm them any
        more, and fronts fall back over all of them."""
        for published in self.versions.values():
            if published.confirmation == ConfirmationState.PENDING:
                published.confirmation = ConfirmationState.EXPIRED

    def expire_version(self) -> None:
        """Expires the current version if its time for a confirmation is over. Nothing is lost if that can't
        be saved now: a restarted service finds the same from the saved deadline."""
        version_id = self.rollout.version
        if (
            self.rollout.confirmation != ConfirmationState.PENDING
            or self.confirmation_of(version_id) != ConfirmationState.EXPIRED
        ):
            return
        self.expire_pending()
        self.save_state()
        self.log("version expired", level="warning", epoch=version_id.epoch, number=version_id.number)
        self.carry_out(self.rollout.expired())
        for stream in self.streams.values():
            if self.confirmation_of(stream.holds) == ConfirmationState.EXPIRED:
                self.send_verdict(stream, "expired", stream.holds)
        fallback = self.interrupted_version()
        if self.rollout.phase == VersionRolloutPhase.EXPIRED and fallback is not None:
            confirmation = self.confirmation_of(fallback)
            self.carry_out(self.rollout.fall_back(fallback, self.clock(), confirmation))

    def confirm(self, call: OperatorCall, now: float) -> None:
        """Confirms the current version: first in the state, then at the fronts that hold or were offered it.
        The call is answered once they have acknowledged that, or after a time. Raises CallRefused."""
        version_id = max(self.versions, default=NO_VERSION)
        if version_id == NO_VERSION:
            raise CallRefused("there is no version to confirm")
        self.check_confirmable(version_id)
        published = self.versions[version_id]
        holders = self.rollout.holders()
        if published.confirmation == ConfirmationState.NOT_REQUIRED:
            held = {"fronts": len(holders), "waiting": []}
            call.reply({"ok": True, "number": published.number, "required": False, **held})
            return
        if published.confirmation != ConfirmationState.CONFIRMED:
            self.save_confirmation(published)
            self.log("version confirmed", epoch=version_id.epoch, number=version_id.number)
        ends_at = now + ConfirmationCall.ANSWER_TIMEOUT_MS
        concerned = holders | self.rollout.takers()
        self.confirmation_calls.append(ConfirmationCall(version_id, concerned, ends_at, call.reply))
        for name in set(concerned):
            self.send_verdict(self.streams[name], "confirm", version_id)
        self.carry_out(self.rollout.confirmed(now))

    def check_confirmable(self, version_id: VersionId) -> None:
        """Raises CallRefused if a version has expired, or if it waits for its confirmation and its rollout
        has failed: fronts roll it back."""
        confirmation = self.confirmation_of(version_id)
        if confirmation == ConfirmationState.EXPIRED:
            raise CallRefused(
                f"version {version_id.number} was not confirmed in time and is rolled back; "
                "publish another version"
            )
        waits = confirmation in (ConfirmationState.PENDING, ConfirmationState.UNKNOWN)
        if waits and self.rollout.phase == VersionRolloutPhase.HALTED:
            raise CallRefused(
                f"the rollout of version {version_id.number} was halted ({self.rollout.halt_reason}); "
                "publish another version"
            )

    def save_confirmation(self, published: Published) -> None:
        """Saves a confirmation before any front hears of it; if all rings have the version, it becomes the
        base version in the same write. Raises CallRefused, and leaves the version unconfirmed, if that can't
        be made durable now."""
        base, failure = self.state.base, "the folder cannot be synced"
        published.confirmation = ConfirmationState.CONFIRMED
        if self.rollout.phase == VersionRolloutPhase.AWAITING_CONFIRMATION:
            self.state.base = (published.epoch, published.number)
        try:
            self.folder.save(self.state)
            if self.folder.synced:
                return
        except OSError as error:
            failure = str(error)
        self.state.base, self.unsaved = base, True
        published.confirmation = ConfirmationState.PENDING
        raise CallRefused(
            f"the confirmation of version {published.number} cannot be saved; confirm again: {failure}"
        )

    def end_calls(self, now: float) -> None:
        """Answers the confirmations that all fronts have acknowledged or that have waited long enough."""
        due = [call for call in self.confirmation_calls if call.is_due(now)]
        self.confirmation_calls = [call for call in self.confirmation_calls if call not in due]
        for call in due:
            call.answer()

    # --- publications ---

    def publish(self, text: str, now: float, restored: Published | None = None) -> dict[str, Any]:
        """Checks, saves and rolls out a version, or brings one back (``restored``), which needs no further
        confirmation if it has had one. Raises CallRefused."""
        if len(text.encode()) > MAX_DOCUMENT_BYTES:
            raise CallRefused(f"the version has more than {MAX_DOCUMENT_BYTES} bytes")
        parsed = version.read(text.encode())
        if parsed.faults:
            raise CallRefused("\n".join(fault.describe("version") for fault in parsed.faults[:20]))
        try:
            number = next_version_number(parsed.number if restored is None else None, self.state.number)
        except NumberTaken as error:
            raise CallRefused(str(error)) from None
        is_settled = restored is not None and restored.confirmation in SETTLED
        confirm_ms = None if is_settled else parsed.confirm_ms
        published = Published(
            self.state.epoch,
            number,
            content_digest(parsed.entries),
            text,
            confirm_ms,
            parsed.note,
            None if restored is None else restored.number,
            initial_confirmation(confirm_ms),
            confirm_deadline(confirm_ms, self.boot_clock()),
        )
        self.save_published(published)
        self.add_version(published)
        self.deltas.clear()
        kept = {VersionId(version.epoch, version.number) for version in self.state.published}
        for old in self.versions.keys() - kept:
            del self.versions[old], self.entries[old], self.positions[old]
        self.log(
            "published", epoch=published.epoch, number=number, entries=len(parsed.entries), of=published.of
        )
        self.carry_out(self.rollout.publish(VersionId(published.epoch, number), now, published.confirmation))
        return {"number": number}

    def save_published(self, published: Published) -> None:
        """Saves a version before any front is offered it, so that numbers never decrease. If it cannot be
        saved it is refused, and its number remains free."""
        before, halted, number = list(self.state.published), self.state.halted, self.state.number
        self.state.number, self.state.halted = published.number, ""
        self.state.published.append(published)
        try:
            self.folder.save(self.state)
        except OSError as error:
            self.state.published, self.state.halted, self.state.number = before, halted, number
            self.unsaved = True
            raise CallRefused(
                f"version {published.number} cannot be saved; publish it again later: {error}"
            ) from None

    def save_state(self) -> None:
        """Saves the state now, or later if it cannot be written now (``retry_save``)."""
        try:
            self.folder.save(self.state)
            self.unsaved = False
        except OSError as error:
            if not self.unsaved:
                self.log("state not kept", error=str(error))
            self.unsaved = True

    def retry_save(self) -> None:
        """Retries a failed save or sync."""
        if self.unsaved:
            self.save_state()
        elif not self.folder.synced:
            self.folder.synced = self.folder.sync()

    def rollback(self, number: int, now: float) -> dict[str, Any]:
        """Publishes older content under a new number, ring by ring like any version."""
        old = self.versions.get(VersionId(self.state.epoch, number))
        if old is None:
            kept = [
                version_id.number
                for version_id in sorted(self.versions)
                if version_id.epoch == self.state.epoch
            ]
            raise CallRefused(
                f"no version {number}; kept versions are {kept[0]} to {kept[-1]}"
                if kept
                else "no version is kept"
            )
        return self.publish(old.text, now, old)

    def confirm_left_ms(self) -> float | None:
        """How long the current version can still be confirmed; None if it does not wait for that."""
        if self.rollout.confirmation != ConfirmationState.PENDING:
            return None
        return self.remaining_ms(self.versions[self.rollout.version])

    def status(self) -> dict[str, Any]:
        """The rollout and the state of each front, for operators."""
        rollout = self.rollout
        return {
            "epoch": rollout.version.epoch,
            "number": rollout.version.number,
            "phase": rollout.phase.name.lower(),
            "ring": rollout.ring + 1
            if rollout.phase in (VersionRolloutPhase.ROLLING, VersionRolloutPhase.HALTED)
            else None,
            "rings": len(rollout.plan.rings),
            "why": rollout.halt_reason,
            "confirmation": rollout.confirmation.value,
            "confirm_left_ms": self.confirm_left_ms(),
            "newest": max(self.versions, default=NO_VERSION).number,
            "base": list(self.state.base),
            "fronts": [
                {
                    "name": record.name,
                    "here": record.connected,
                    "holds": [record.holds.epoch, record.holds.number],
                    "stand": record.state.name.lower(),
                    "code": record.code,
                    "text": record.text,
                }
                for _, record in sorted(rollout.fronts.items())
            ],
        }

    # --- sockets ---

    def accept(self) -> None:
        """Accepts connections of fronts."""
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if self.stop.is_set():
                    return
                self.log("accept failed", error=str(error))
                gevent.sleep(0.05)
                continue
            if self.open_streams >= MAX_FRONTS:
                sock.close()
                continue
            gevent.spawn(self.serve_front, sock)

    def serve_front(self, sock: socket.socket) -> None:
        """Reads the frames of one front until its stream ends."""
        stream, decoder = FrontStream(sock), FrameDecoder()
        self.open_streams += 1
        writer = gevent.spawn(self.write_frames, stream)
        try:
            try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.settimeout(SILENCE_TIMEOUT_S)
            while data := sock.recv(64 * 1024):
                for frame in decoder.feed(data):
                    self.mailbox.put(FrameReceived(stream, frame))
        except (OSError, FrameError) as error:
            self.log("front lost", name=stream.name, why=f"{type(error).__name__}: {error}")
        finally:
            self.open_streams -= 1
            writer.kill(block=False)
            sock.close()
            self.mailbox.put(FrameReceived(stream, None))

    def write_frames(self, stream: FrontStream) -> None:
        """Sends queued frames and heartbeats. A front that does not read delays only its own stream."""
        try:
            while True:
                frame = None
                with gevent.Timeout(HEARTBEAT_S, False):
                    frame = stream.queue.get()
                    if frame is None:
                        stream.sock.shutdown(socket.SHUT_RDWR)
                        return
                stream.sock.sendall(frame if frame is not None else encode_frame("alive"))
        except OSError:
            pass  # the reader sees the error too

    def serve_calls(self, calls: socket.socket) -> None:
        """Accepts calls of operators."""
        while True:
            try:
                sock, _ = calls.accept()
            except OSError as error:
                if self.stop.is_set():
                    return
                self.log("accept failed", error=str(error))
                gevent.sleep(0.05)
                continue
            gevent.spawn(self.serve_call, sock)

    def serve_call(self, sock: socket.socket) -> None:
        """Reads one call and sends its answer."""
        text, replies = b"", SimpleQueue()
        try:
            sock.settimeout(SILENCE_TIMEOUT_S)
            while not text.endswith(b"\n") and len(text) < 3 * MAX_DOCUMENT_BYTES:
                data = sock.recv(1 << 16)
                if not data:
                    return
                text += data
            try:
                fields = orjson.loads(text)
                if not isinstance(fields, dict):
                    raise ValueError("not an object")
            except ValueError as error:
                sock.sendall(orjson.dumps({"ok": False, "why": f"not valid JSON: {error}"}) + b"\n")
                return
            self.mailbox.put(OperatorCall(fields, replies.put))
            sock.sendall(orjson.dumps(replies.get()) + b"\n")
        except OSError:
            pass  # the operator has disconnected
        finally:
            sock.close()


def call_service(folder: Path, **fields: Any) -> dict[str, Any]:
    """Sends an operator's call to the service of this folder and returns the answer. Raises OSError if
    none is running, so that nothing was done, and NoAnswer if the call was sent and not answered."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CALL_TIMEOUT_S)
        sock.connect(str(folder / CALL_SOCKET))
        text = b""
        try:
            sock.sendall(orjson.dumps(fields) + b"\n")
            while data := sock.recv(1 << 16):
                text += data
            return orjson.loads(text)
        except (OSError, ValueError) as error:
            raise NoAnswer(
                "the control service did not answer; the call may have been carried out: look at its status, "
                f"and repeat the call if it was not ({type(error).__name__}: {error})"
            ) from None


def run_until_signal(service: ControlService) -> None:
    """Runs a service until SIGTERM or SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, service.stop.set)
    service.run()
