"""The control service on sockets: one actor that owns the rollout, one greenlet for each front, one for
operators.

Fronts use the stream described in docs/formats/config-stream.md. Operators send lines of JSON to a Unix
socket in the folder: one call, one answer."""

import signal
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue

from myrtleroad.config import version
from myrtleroad.config.entries import content_digest
from myrtleroad.config.frames import Frame, encode_frame
from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES
from myrtleroad.control.confirmation import (
    SETTLED,
    ConfirmationCall,
    ConfirmationState,
    confirm_deadline,
    initial_confirmation,
)
from myrtleroad.control.folder import STATE, Folder, Published
from myrtleroad.control.front_stream import FrameReceived, FrontStream, read_frames
from myrtleroad.control.numbering import NumberTaken
from myrtleroad.control.numbering import next_number as next_version_number
from myrtleroad.control.operator_calls import (
    CALL_SOCKET,
    CallRefused,
    OperatorCall,
    open_call_socket,
    serve_call,
)
from myrtleroad.control.rollout import Rollout
from myrtleroad.control.rollout_types import (
    RevokeVersion,
    RolloutAction,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)
from myrtleroad.control.version_store import SaveFailed, VersionStore

MAX_FRONTS = 5000  # connections; further ones are closed
ACCEPT_RETRY_S = 0.05


def decode_version_id(fields: dict[str, Any]) -> VersionId:
    """The version that a frame names. Raises KeyError, TypeError or ValueError."""
    return VersionId(int(fields["epoch"]), int(fields["number"]))


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
        self.clock, self.log = clock, log
        self.store = VersionStore(folder, log)
        self.rollout = Rollout(plan, self.store.base)
        self.rollout.expect_fronts(self.store.state.fronts, clock())
        self.streams: dict[str, FrontStream] = {}  # by front name; removed as each stream ends
        self.confirmation_calls: list[ConfirmationCall] = []  # each is answered in time by ``end_calls``
        self.resume()
        self.mailbox: SimpleQueue = SimpleQueue()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        self.sock.listen(256)
        self.address = self.sock.getsockname()
        self.open_streams = 0
        self.stop = Event()

    def resume(self) -> None:
        """Continues the last rollout after a start. A version of which an earlier release did not record
        whether it was confirmed is offered to nobody."""
        if self.store.confirmation_of(self.rollout.base) == ConfirmationState.UNKNOWN:
            self.rollout.base = self.rollout.version = NO_VERSION
        last = self.store.newest
        confirmation, halt_reason = self.store.confirmation_of(last), self.store.state.halted
        if confirmation == ConfirmationState.UNKNOWN:
            halt_reason = f"{STATE} does not tell whether version {last.number} was confirmed"
        if confirmation == ConfirmationState.EXPIRED:
            halt_reason = self.store.versions[last].halted  # not that of a rollout that went on after it
            self.store.expire_pending()
        fallback = self.store.interrupted_version()
        if confirmation == ConfirmationState.EXPIRED and not halt_reason and fallback is not None:
            last, confirmation = fallback, self.store.confirmation_of(fallback)
        self.carry_out(self.rollout.resume(last, halt_reason, self.clock(), confirmation))

    # --- the actor ---

    def run(self) -> None:
        """Serves until ``stop`` is set."""
        calls = open_call_socket(self.store.folder.path)
        workers = [
            gevent.spawn(self.accept),
            gevent.spawn(self.serve_calls, calls),
            gevent.spawn(self.process_messages),
        ]
        self.log(
            "control",
            at=f"{self.address[0]}:{self.address[1]}",
            base=self.store.state.base,
            epoch=self.store.state.epoch,
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
            (self.store.folder.path / CALL_SOCKET).unlink(missing_ok=True)

    def process_messages(self) -> None:
        """The loop of the actor: handles messages and timeouts one after the other."""
        while True:
            wait_s = max(0.001, min(self.next_deadline(self.clock()) - self.clock(), 1000.0) / 1000)
            message = None
            with gevent.Timeout(wait_s, False):
                message = self.mailbox.get()
            now = self.clock()
            try:
                self.store.retry()
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

    # --- frames of fronts ---

    def frame_received(self, stream: FrontStream, frame: Frame | None, now: float) -> None:
        """Handles a frame of a front, or the end of its stream. Raises KeyError, TypeError or ValueError if
        it can't be decoded."""
        if frame is None:
            self.stream_ended(stream, now)
            return
        match frame.kind:
            case "hello":
                self.hello_received(stream, frame.fields, now)
            case "answer" if stream.name:
                self.answer_received(stream, frame.fields, now)
            case "back" if stream.name:
                self.rollback_received(stream, frame.fields, now)
            case "confirmed" if stream.name:
                self.confirmed_received(stream, frame.fields)

    def stream_ended(self, stream: FrontStream, now: float) -> None:
        """The stream of a front has ended; nothing changes if the front has opened another one."""
        if self.streams.get(stream.name) is stream:
            del self.streams[stream.name]
            self.carry_out(self.rollout.front_disconnected(stream.name, now))

    def hello_received(self, stream: FrontStream, fields: dict[str, Any], now: float) -> None:
        """A front has connected and says what it holds. Of one name the newest stream counts."""
        stream.name, stream.holds = str(fields["name"]), decode_version_id(fields["holds"])
        old = self.streams.get(stream.name)
        if old is not None and old is not stream:
            old.close()  # the front has reconnected before its old stream ended
        self.streams[stream.name] = stream
        if stream.name not in self.rollout.fronts:
            self.store.state.fronts = [*self.rollout.fronts, stream.name]
            self.store.save()
        self.send_outcome(stream)
        self.carry_out(self.rollout.front_connected(stream.name, stream.holds, now))

    def answer_received(self, stream: FrontStream, fields: dict[str, Any], now: float) -> None:
        """A front has acknowledged or refused an offer. If it only lacks the base of a difference, it gets
        the whole text."""
        version_id, acked = decode_version_id(fields), bool(fields["acked"])
        code, text = str(fields.get("code", "")), str(fields.get("text", ""))
        if acked:
            stream.holds = version_id
            self.send_outcome(stream)
        elif code == "base":
            self.offer(stream, version_id, whole=True)
            return
        text = self.store.with_position(version_id, text, fields.get("path") or [])
        self.carry_out(self.rollout.answer_received(stream.name, version_id, acked, code, text, now))

    def rollback_received(self, stream: FrontStream, fields: dict[str, Any], now: float) -> None:
        """A front has rolled back a version by itself."""
        stream.holds = decode_version_id(fields["to"])
        version_id, reason = decode_version_id(fields), str(fields.get("why", ""))
        self.carry_out(self.rollout.front_rolled_back(stream.name, version_id, stream.holds, reason, now))

    def confirmed_received(self, stream: FrontStream, fields: dict[str, Any]) -> None:
        """A front has acknowledged the confirmation of the version that it holds."""
        version_id = decode_version_id(fields)
        for call in self.confirmation_calls:
            if call.version == version_id:
                call.front_confirmed(stream.name)

    # --- actions of the rollout ---

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
                    self.store.state.halted = self.store.versions[version_id].halted = reason
                    self.store.save()
                    self.log("rollout halted", epoch=version_id.epoch, number=version_id.number, why=reason)
                case RolloutFinished(version_id):
                    self.store.state.base = (version_id.epoch, version_id.number)
                    self.store.save()
                    self.log("rollout done", epoch=version_id.epoch, number=version_id.number)

    def offer(self, stream: FrontStream, version_id: VersionId, whole: bool = False) -> None:
        """Offers a version, as a difference to the one that the front holds if that is known and smaller."""
        published = self.store.versions.get(version_id)
        if published is None:
            return  # no longer kept: the front stays with its version
        confirmation = self.store.confirmation_of(version_id)
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
            fields["confirm_ms"] = self.store.remaining_ms(published)
        elif confirmation == ConfirmationState.CONFIRMED:
            fields["confirmed"] = True
        delta_part = None if whole else self.store.delta_fields(stream.holds, version_id, len(published.text))
        if delta_part is not None:
            stream.put(encode_frame("offer", **fields, **delta_part))
            return
        stream.put(encode_frame("offer", **fields, text=published.text))

    # --- operators ---

    def operator_called(self, call: OperatorCall, now: float) -> None:
        """Handles an operator's call and answers it; a confirmation is answered later (``end_calls``)."""
        try:
            if call.fields["call"] == "confirm":
                self.confirm(call, now)
                return
            reply = {"ok": True, **self.execute_call(call.fields, now)}
        except (CallRefused, SaveFailed) as refused:
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

    def send_verdict(self, stream: FrontStream, kind: str, version_id: VersionId) -> None:
        """Tells a front that a version is confirmed or expired (``kind`` of the frame)."""
        stream.put(encode_frame(kind, epoch=version_id.epoch, number=version_id.number))

    def send_outcome(self, stream: FrontStream) -> None:
        """Tells a front whether the version that it holds is confirmed or expired: it may have been away when
        that happened, or be checking the version."""
        match self.store.confirmation_of(stream.holds):
            case ConfirmationState.CONFIRMED:
                self.send_verdict(stream, "confirm", stream.holds)
            case ConfirmationState.EXPIRED:
                self.send_verdict(stream, "expired", stream.holds)

    def expire_version(self) -> None:
        """Expires the current version if its time for a confirmation is over. Nothing is lost if that can't
        be saved now: a restarted service finds the same from the saved deadline."""
        version_id = self.rollout.version
        if (
            self.rollout.confirmation != ConfirmationState.PENDING
            or self.store.confirmation_of(version_id) != ConfirmationState.EXPIRED
        ):
            return
        self.store.expire_pending()
        self.store.save()
        self.log("version expired", level="warning", epoch=version_id.epoch, number=version_id.number)
        self.carry_out(self.rollout.expired())
        for stream in self.streams.values():
            if self.store.confirmation_of(stream.holds) == ConfirmationState.EXPIRED:
                self.send_verdict(stream, "expired", stream.holds)
        fallback = self.store.interrupted_version()
        if self.rollout.phase == VersionRolloutPhase.EXPIRED and fallback is not None:
            confirmation = self.store.confirmation_of(fallback)
            self.carry_out(self.rollout.fall_back(fallback, self.clock(), confirmation))

    def confirm(self, call: OperatorCall, now: float) -> None:
        """Confirms the current version: first in the state, then at the fronts that hold or were offered it.
        The call is answered once they have acknowledged that, or after a time. Raises CallRefused."""
        version_id = self.store.newest
        if version_id == NO_VERSION:
            raise CallRefused("there is no version to confirm")
        self.check_confirmable(version_id)
        published = self.store.versions[version_id]
        holders = self.rollout.holders()
        if published.confirmation == ConfirmationState.NOT_REQUIRED:
            held = {"fronts": len(holders), "waiting": []}
            call.reply({"ok": True, "number": published.number, "required": False, **held})
            return
        if published.confirmation != ConfirmationState.CONFIRMED:
            is_base = self.rollout.phase == VersionRolloutPhase.AWAITING_CONFIRMATION
            self.store.save_confirmation(published, is_base)
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
        confirmation = self.store.confirmation_of(version_id)
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
            number = next_version_number(parsed.number if restored is None else None, self.store.state.number)
        except NumberTaken as error:
            raise CallRefused(str(error)) from None
        is_settled = restored is not None and restored.confirmation in SETTLED
        confirm_ms = None if is_settled else parsed.confirm_ms
        published = Published(
            self.store.state.epoch,
            number,
            content_digest(parsed.entries),
            text,
            confirm_ms,
            parsed.note,
            None if restored is None else restored.number,
            initial_confirmation(confirm_ms),
            confirm_deadline(confirm_ms, self.store.boot_clock()),
        )
        self.store.save_published(published)
        self.log(
            "published", epoch=published.epoch, number=number, entries=len(parsed.entries), of=published.of
        )
        self.carry_out(self.rollout.publish(VersionId(published.epoch, number), now, published.confirmation))
        return {"number": number}

    def rollback(self, number: int, now: float) -> dict[str, Any]:
        """Publishes older content under a new number, ring by ring like any version."""
        old = self.store.versions.get(VersionId(self.store.state.epoch, number))
        if old is None:
            kept = [
                version_id.number
                for version_id in sorted(self.store.versions)
                if version_id.epoch == self.store.state.epoch
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
        return self.store.remaining_ms(self.store.versions[self.rollout.version])

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
            "newest": self.store.newest.number,
            "base": list(self.store.state.base),
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

    def accept_next(self, listening: socket.socket) -> socket.socket | None:
        """The next connection, over failures that pass; None once the service stops."""
        while True:
            try:
                return listening.accept()[0]
            except OSError as error:
                if self.stop.is_set():
                    return None
                self.log("accept failed", error=str(error))
                gevent.sleep(ACCEPT_RETRY_S)

    def accept(self) -> None:
        """Accepts connections of fronts."""
        while (sock := self.accept_next(self.sock)) is not None:
            if self.open_streams >= MAX_FRONTS:
                sock.close()
            else:
                gevent.spawn(self.serve_front, FrontStream(sock))

    def serve_front(self, stream: FrontStream) -> None:
        """Reads the frames of one front until its stream ends."""
        self.open_streams += 1
        failure = read_frames(stream, self.mailbox.put)
        self.open_streams -= 1
        if failure:
            self.log("front lost", name=stream.name, why=failure)

    def serve_calls(self, calls: socket.socket) -> None:
        """Accepts calls of operators."""
        while (sock := self.accept_next(calls)) is not None:
            gevent.spawn(serve_call, sock, self.mailbox.put)


def run_until_signal(service: ControlService) -> None:
    """Runs a service until SIGTERM or SIGINT."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, service.stop.set)
    service.run()
