"""The control service on sockets: one actor that owns the rollout, one greenlet a front, one for operators.

Fronts speak the stream of docs/formats/config-stream.md. Operators speak lines of JSON on a Unix socket
in the folder: one call, one answer."""

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
from myrtleroad.control.folder import Folder, Published
from myrtleroad.control.numbering import FIRST_EPOCH, NumberTaken, worth_as_difference
from myrtleroad.control.numbering import next_number as numbered
from myrtleroad.control.rollout import (
    Rollout,
    RolloutAction,
    RolloutFinished,
    RolloutHalted,
    RolloutPlan,
    SendOffer,
    VersionRolloutPhase,
)
from myrtleroad.net.listening_socket import try_set_option

HEARTBEAT_S, SILENCE_TIMEOUT_S = 2.0, 5.0  # as the fronts': docs/formats/config-stream.md
MAX_QUEUED_FRAMES = 64  # frames that wait for a front; one that reads none of them is cut off
CALL_SOCKET = "control.sock"
MAX_FRONTS = 5000  # connections; more are turned away


@dataclass(slots=True, eq=False)
class FrontStream:
    """One front's stream. Its writer sends what waits; its reader posts what comes."""

    sock: socket.socket
    name: str = ""  # once it has said hello
    queue: SimpleQueue = field(default_factory=SimpleQueue)
    nonce: int = 0
    holds: VersionId = NO_VERSION

    def put(self, frame: bytes) -> None:
        if self.queue.qsize() >= MAX_QUEUED_FRAMES:
            self.close()
        else:
            self.queue.put(frame)

    def close(self) -> None:
        self.queue.put(None)


@dataclass(slots=True, frozen=True)
class FrameReceived:
    stream: FrontStream
    frame: Frame | None  # None: its end


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """An operator's; answered by ``reply``."""

    fields: dict[str, Any]
    reply: Callable[[dict[str, Any]], None]


class CallRefused(Exception):
    """An operator's call that can't be done; its text is the answer."""


class ControlService:
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
        self.state.epoch = max(FIRST_EPOCH, self.state.epoch)  # it goes up by hand alone
        self.rollout = Rollout(plan, VersionId(*self.state.base))
        self.rollout.expect_fronts(self.state.fronts, clock())
        self.streams: dict[str, FrontStream] = {}  # by the front's name; emptied as each ends
        self.entries = {NO_VERSION: NO_ENTRIES}  # of the versions kept
        self.positions: dict[VersionId, dict] = {}  # of their entries
        self.deltas: dict[
            tuple[VersionId, VersionId], dict | None
        ] = {}  # differences; emptied by each publication
        self.versions: dict[VersionId, Published] = {}
        for p in self.state.published:
            self.add_version(p)
        self.unsaved = False  # the folder's state is behind ours, as it could not be written
        self.carry_out(
            self.rollout.resume(max(self.versions, default=NO_VERSION), self.state.halted, clock())
        )
        self.mailbox: SimpleQueue = SimpleQueue()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        self.sock.listen(256)
        self.address = self.sock.getsockname()
        self.open_streams = 0
        self.stop = Event()

    def add_version(self, p: Published) -> None:
        name = VersionId(p.epoch, p.number)
        self.versions[name] = p
        found = version.read(p.text.encode())
        self.entries[name], self.positions[name] = found.entries, found.positions

    # --- the actor ---

    def run(self) -> None:
        """Until ``stop`` is set."""
        call = self.folder.path / CALL_SOCKET
        call.unlink(missing_ok=True)
        calls = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        calls.bind(str(call))
        os.chmod(call, 0o600)
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
            for link in list(self.streams.values()):
                link.put(encode_frame("bye", why="the control service stops"))
            gevent.sleep(0.05)
        finally:
            gevent.killall(workers, block=False)
            for link in list(self.streams.values()):
                link.sock.close()
            self.sock.close()
            calls.close()
            call.unlink(missing_ok=True)

    def process_messages(self) -> None:
        while True:
            wait = max(0.001, min(self.rollout.next_deadline(self.clock()) - self.clock(), 1000.0) / 1000)
            message = None
            with gevent.Timeout(wait, False):
                message = self.mailbox.get()
            now = self.clock()
            try:
                self.retry_save()
                if message is None:
                    self.carry_out(self.rollout.tick(now))
                elif isinstance(message, OperatorCall):
                    self.operator_called(message, now)
                else:
                    self.frame_received(message.stream, message.frame, now)
            except Exception as error:  # one front's or operator's fault must not end the service
                self.log("fault", error=f"{type(error).__name__}: {error}")
                if isinstance(message, FrameReceived):
                    message.stream.close()

    def frame_received(self, link: FrontStream, frame: Frame | None, now: float) -> None:
        if frame is None:
            if self.streams.get(link.name) is link:
                del self.streams[link.name]
                self.carry_out(self.rollout.front_disconnected(link.name, now))
            return
        f = frame.fields
        match frame.kind:
            case "hello":
                holds = f["holds"]
                link.name, link.holds = str(f["name"]), VersionId(int(holds["epoch"]), int(holds["number"]))
                if (old := self.streams.get(link.name)) is not None and old is not link:
                    old.close()  # the front has come again and its old stream has not ended yet
                self.streams[link.name] = link
                if link.name not in self.rollout.fronts:
                    self.state.fronts = [*self.rollout.fronts, link.name]
                    self.save_state()
                self.carry_out(self.rollout.front_connected(link.name, link.holds, now))
            case "answer" if link.name:
                name, acked = VersionId(int(f["epoch"]), int(f["number"])), bool(f["acked"])
                if acked:
                    link.holds = name
                elif f.get("code") == "base":
                    self.offer(link, name, whole=True)  # it holds something else: the text once more, whole
                    return
                said = (
                    str(f.get("code", "")),
                    self.with_position(name, str(f.get("text", "")), f.get("path") or []),
                )
                self.carry_out(self.rollout.answer_received(link.name, name, acked, *said, now))
            case "back" if link.name:
                to = f["to"]
                link.holds = VersionId(int(to["epoch"]), int(to["number"]))
                name = VersionId(int(f["epoch"]), int(f["number"]))
                self.carry_out(
                    self.rollout.front_rolled_back(link.name, name, link.holds, str(f.get("why", "")), now)
                )

    def with_position(self, name: VersionId, text: str, path: list[str]) -> str:
        """A refusal with its place in the text: a front that was sent a difference has none."""
        at = self.positions.get(name, {}).get(tuple(path))
        return f"line {at[0]}, column {at[1]}: {text}" if at and not text.startswith("line ") else text

    def carry_out(self, acts: list[RolloutAction]) -> None:
        for act in acts:
            match act:
                case SendOffer(front, name):
                    if (link := self.streams.get(front)) is not None and name != NO_VERSION:
                        self.offer(link, name)
                case RolloutHalted(name, why):
                    self.state.halted = why
                    self.save_state()
                    self.log("rollout halted", epoch=name.epoch, number=name.number, why=why)
                case RolloutFinished(name):
                    self.state.base = (name.epoch, name.number)
                    self.save_state()
                    self.log("rollout done", epoch=name.epoch, number=name.number)

    def offer(self, link: FrontStream, name: VersionId, whole: bool = False) -> None:
        """As a difference to what the front holds, where that is known and smaller."""
        p = self.versions.get(name)
        if p is None:
            return  # too old to be kept: the front stays with what it has
        link.nonce += 1
        fields = {"nonce": link.nonce, "epoch": name.epoch, "number": name.number, "digest": p.digest}
        if p.confirm_ms is not None:
            fields["confirm_ms"] = p.confirm_ms
        part = None if whole else self.delta_fields(link.holds, name, len(p.text))
        if part is not None:
            link.put(encode_frame("offer", **fields, **part))
            return
        link.put(encode_frame("offer", **fields, text=p.text))

    def delta_fields(self, base: VersionId, name: VersionId, size: int) -> dict[str, Any] | None:
        """The difference from one version to another, found once for all fronts that hold the same; None
        where it is not known or as long as the text."""
        if base == NO_VERSION or base not in self.entries:
            return None
        if (base, name) not in self.deltas:
            delta = diff(self.entries[base], self.entries[name])
            changed = [[list(path), value] for path, value in delta.changed.items()]
            part = {"set": changed, "dropped": [list(path) for path in delta.removed]}
            part["base"] = {"epoch": base.epoch, "number": base.number}
            self.deltas[base, name] = part if worth_as_difference(delta, size) else None
        return self.deltas[base, name]

    # --- operators ---

    def operator_called(self, call: OperatorCall, now: float) -> None:
        try:
            reply = {"ok": True, **self.execute_call(call.fields, now)}
        except CallRefused as refused:
            reply = {"ok": False, "why": str(refused)}
        except (KeyError, TypeError, ValueError) as error:
            reply = {"ok": False, "why": f"unclear call: {type(error).__name__}: {error}"}
        call.reply(reply)

    def execute_call(self, words: dict[str, Any], now: float) -> dict[str, Any]:
        match words["call"]:
            case "publish":
                return self.publish(str(words["text"]), now)
            case "rollback":
                return self.rollback(int(words["to"]), now)
            case "confirm":
                name = self.rollout.version
                for link in self.streams.values():
                    link.put(encode_frame("confirm", epoch=name.epoch, number=name.number))
                return {"number": name.number, "fronts": len(self.streams)}
            case "status":
                return self.status()
        raise CallRefused(f"no call {words['call']!r}")

    def publish(self, text: str, now: float, of: int | None = None) -> dict[str, Any]:
        if len(text.encode()) > MAX_DOCUMENT_BYTES:
            raise CallRefused(f"over {MAX_DOCUMENT_BYTES} bytes")
        found = version.read(text.encode())
        if found.faults:
            raise CallRefused("\n".join(f.describe("it") for f in found.faults[:20]))
        try:
            number = numbered(found.number if of is None else None, self.state.number)
        except NumberTaken as taken:
            raise CallRefused(str(taken)) from None
        p = Published(
            self.state.epoch, number, content_digest(found.entries), text, found.confirm_ms, found.note, of
        )
        self.save_published(p)
        self.add_version(p)
        self.deltas.clear()
        for old in sorted(self.versions)[: -Folder.MAX_KEPT]:
            del self.versions[old], self.entries[old], self.positions[old]
        self.log("published", epoch=p.epoch, number=number, entries=len(found.entries), of=of)
        self.carry_out(self.rollout.publish(VersionId(p.epoch, number), now))
        return {"number": number}

    def save_published(self, p: Published) -> None:
        """Before any front hears of it, as numbers never go back. Where it cannot be kept it is not taken on,
        and its number is not used again."""
        before, halted = list(self.state.published), self.state.halted
        self.state.number, self.state.halted = p.number, ""
        self.state.published.append(p)
        try:
            self.folder.save(self.state)
        except OSError as error:
            self.state.published, self.state.halted = before, halted
            self.unsaved = True
            raise CallRefused(f"version {p.number} cannot be kept, publish it again later: {error}") from None

    def save_state(self) -> None:
        """What has been learnt goes to the folder, at once or as soon as it can be written."""
        try:
            self.folder.save(self.state)
            self.unsaved = False
        except OSError as error:
            if not self.unsaved:
                self.log("state not kept", error=str(error))
            self.unsaved = True

    def retry_save(self) -> None:
        """Writes and syncs that failed are tried again."""
        if self.unsaved:
            self.save_state()
        elif not self.folder.synced:
            self.folder.synced = self.folder.sync()

    def rollback(self, to: int, now: float) -> dict[str, Any]:
        """The older content under a new number. It goes the way of any version, ring by ring."""
        old = self.versions.get(VersionId(self.state.epoch, to))
        if old is None:
            kept = [n.number for n in sorted(self.versions) if n.epoch == self.state.epoch]
            raise CallRefused(
                f"no version {to}; kept are {kept[0]} to {kept[-1]}" if kept else "none is kept"
            )
        return self.publish(old.text, now, of=to)

    def status(self) -> dict[str, Any]:
        r = self.rollout
        return {
            "epoch": r.version.epoch,
            "number": r.version.number,
            "phase": r.phase.name.lower(),
            "ring": r.ring + 1
            if r.phase in (VersionRolloutPhase.ROLLING, VersionRolloutPhase.HALTED)
            else None,
            "rings": len(r.plan.rings),
            "why": r.halt_reason,
            "base": list(self.state.base),
            "fronts": [
                {
                    "name": f.name,
                    "here": f.connected,
                    "holds": [f.holds.epoch, f.holds.number],
                    "stand": f.state.name.lower(),
                    "code": f.code,
                    "text": f.text,
                }
                for _, f in sorted(r.fronts.items())
            ],
        }

    # --- sockets ---

    def accept(self) -> None:
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
        link, decoder = FrontStream(sock), FrameDecoder()
        self.open_streams += 1
        writer = gevent.spawn(self.write_frames, link)
        try:
            try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.settimeout(SILENCE_TIMEOUT_S)
            while data := sock.recv(64 * 1024):
                for frame in decoder.feed(data):
                    self.mailbox.put(FrameReceived(link, frame))
        except (OSError, FrameError) as error:
            self.log("front lost", name=link.name, why=f"{type(error).__name__}: {error}")
        finally:
            self.open_streams -= 1
            writer.kill(block=False)
            sock.close()
            self.mailbox.put(FrameReceived(link, None))

    def write_frames(self, link: FrontStream) -> None:
        """One front that does not read keeps nobody waiting but itself."""
        try:
            while True:
                frame = None
                with gevent.Timeout(HEARTBEAT_S, False):
                    frame = link.queue.get()
                    if frame is None:
                        link.sock.shutdown(socket.SHUT_RDWR)
                        return
                link.sock.sendall(frame if frame is not None else encode_frame("alive"))
        except OSError:
            pass  # its reader sees it too

    def serve_calls(self, calls: socket.socket) -> None:
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
        """One line, one answer."""
        text, got = b"", SimpleQueue()
        try:
            sock.settimeout(SILENCE_TIMEOUT_S)
            while not text.endswith(b"\n") and len(text) < 3 * MAX_DOCUMENT_BYTES:
                data = sock.recv(1 << 16)
                if not data:
                    return
                text += data
            try:
                words = orjson.loads(text)
                if not isinstance(words, dict):
                    raise ValueError("no object")
            except ValueError as error:
                sock.sendall(orjson.dumps({"ok": False, "why": f"no JSON: {error}"}) + b"\n")
                return
            self.mailbox.put(OperatorCall(words, got.put))
            sock.sendall(orjson.dumps(got.get()) + b"\n")
        except OSError:
            pass  # the operator left
        finally:
            sock.close()


def call_service(folder: Path, **words: Any) -> dict[str, Any]:
    """An operator's call on a service that runs over this folder. Raises OSError where none answers."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(10.0)
        sock.connect(str(folder / CALL_SOCKET))
        sock.sendall(orjson.dumps(words) + b"\n")
        text = b""
        while data := sock.recv(1 << 16):
            text += data
        return orjson.loads(text)


def run_until_signal(service: ControlService) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, service.stop.set)
    service.run()
