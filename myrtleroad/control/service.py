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
from myrtleroad.config.entries import EMPTY, diff, digest
from myrtleroad.config.ledger import NONE, Name
from myrtleroad.config.scan import MOST_BYTES
from myrtleroad.config.wire import Decoder, Frame, Spoilt, encode
from myrtleroad.control.folder import Folder, Published
from myrtleroad.control.numbering import FIRST_EPOCH, Taken, as_difference
from myrtleroad.control.numbering import number as numbered
from myrtleroad.control.rollout import Act, Finished, Halted, Phase, Plan, Rollout, Send
from myrtleroad.net.listening_socket import try_set_option

ALIVE_S, SILENT_S = 2.0, 5.0  # as the fronts': docs/formats/config-stream.md
QUEUED = 64  # frames that wait for a front; one that reads none of them is cut off
CALL = "control.sock"
MOST_FRONTS = 5000  # connections; more are turned away


@dataclass(slots=True, eq=False)
class Link:
    """One front's stream. Its writer sends what waits; its reader posts what comes."""

    sock: socket.socket
    name: str = ""  # once it has said hello
    queue: SimpleQueue = field(default_factory=SimpleQueue)
    nonce: int = 0
    holds: Name = NONE

    def put(self, frame: bytes) -> None:
        if self.queue.qsize() >= QUEUED:
            self.close()
        else:
            self.queue.put(frame)

    def close(self) -> None:
        self.queue.put(None)


@dataclass(slots=True, frozen=True)
class Came:
    link: Link
    frame: Frame | None  # None: its end


@dataclass(slots=True, frozen=True)
class Call:
    """An operator's; answered by ``reply``."""

    words: dict[str, Any]
    reply: Callable[[dict[str, Any]], None]


class Refused(Exception):
    """An operator's call that can't be done; its text is the answer."""


class Service:
    def __init__(
        self,
        folder: Folder,
        plan: Plan,
        clock: Callable[[], float],
        log: Callable[..., None],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ):
        self.folder, self.clock, self.log = folder, clock, log
        self.state = folder.load()
        self.state.epoch = max(FIRST_EPOCH, self.state.epoch)  # it goes up by hand alone
        self.rollout = Rollout(plan, Name(*self.state.base))
        self.rollout.expect(self.state.fronts, clock())
        self.links: dict[str, Link] = {}  # by the front's name; emptied as each ends
        self.contents = {NONE: EMPTY}  # of the versions kept
        self.places: dict[Name, dict] = {}  # of their entries
        self.parts: dict[tuple[Name, Name], dict | None] = {}  # differences; emptied by each publication
        self.texts: dict[Name, Published] = {}
        for p in self.state.published:
            self.keep(p)
        self.unsaved = False  # the folder's state is behind ours, as it could not be written
        self.carry(self.rollout.resume(max(self.texts, default=NONE), self.state.halted, clock()))
        self.mailbox: SimpleQueue = SimpleQueue()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        self.sock.listen(256)
        self.at = self.sock.getsockname()
        self.open = 0
        self.stop = Event()

    def keep(self, p: Published) -> None:
        name = Name(p.epoch, p.number)
        self.texts[name] = p
        found = version.read(p.text.encode())
        self.contents[name], self.places[name] = found.entries, found.where

    # --- the actor ---

    def run(self) -> None:
        """Until ``stop`` is set."""
        call = self.folder.path / CALL
        call.unlink(missing_ok=True)
        calls = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        calls.bind(str(call))
        os.chmod(call, 0o600)
        calls.listen(8)
        workers = [gevent.spawn(self.accept), gevent.spawn(self.serve_calls, calls), gevent.spawn(self.act)]
        self.log("control", at=f"{self.at[0]}:{self.at[1]}", base=self.state.base, epoch=self.state.epoch)
        try:
            self.stop.wait()
            for link in list(self.links.values()):
                link.put(encode("bye", why="the control service stops"))
            gevent.sleep(0.05)
        finally:
            gevent.killall(workers, block=False)
            for link in list(self.links.values()):
                link.sock.close()
            self.sock.close()
            calls.close()
            call.unlink(missing_ok=True)

    def act(self) -> None:
        while True:
            wait = max(0.001, min(self.rollout.due(self.clock()) - self.clock(), 1000.0) / 1000)
            message = None
            with gevent.Timeout(wait, False):
                message = self.mailbox.get()
            now = self.clock()
            try:
                self.catch_up()
                if message is None:
                    self.carry(self.rollout.tick(now))
                elif isinstance(message, Call):
                    self.called(message, now)
                else:
                    self.came(message.link, message.frame, now)
            except Exception as error:  # one front's or operator's fault must not end the service
                self.log("fault", error=f"{type(error).__name__}: {error}")
                if isinstance(message, Came):
                    message.link.close()

    def came(self, link: Link, frame: Frame | None, now: float) -> None:
        if frame is None:
            if self.links.get(link.name) is link:
                del self.links[link.name]
                self.carry(self.rollout.gone(link.name, now))
            return
        f = frame.fields
        match frame.kind:
            case "hello":
                holds = f["holds"]
                link.name, link.holds = str(f["name"]), Name(int(holds["epoch"]), int(holds["number"]))
                if (old := self.links.get(link.name)) is not None and old is not link:
                    old.close()  # the front has come again and its old stream has not ended yet
                self.links[link.name] = link
                if link.name not in self.rollout.fronts:
                    self.state.fronts = [*self.rollout.fronts, link.name]
                    self.keep_state()
                self.carry(self.rollout.hello(link.name, link.holds, now))
            case "answer" if link.name:
                name, acked = Name(int(f["epoch"]), int(f["number"])), bool(f["acked"])
                if acked:
                    link.holds = name
                elif f.get("code") == "base":
                    self.offer(link, name, whole=True)  # it holds something else: the text once more, whole
                    return
                said = str(f.get("code", "")), self.placed(name, str(f.get("text", "")), f.get("path") or [])
                self.carry(self.rollout.answered(link.name, name, acked, *said, now))
            case "back" if link.name:
                to = f["to"]
                link.holds = Name(int(to["epoch"]), int(to["number"]))
                name = Name(int(f["epoch"]), int(f["number"]))
                self.carry(self.rollout.went_back(link.name, name, link.holds, str(f.get("why", "")), now))

    def placed(self, name: Name, text: str, path: list[str]) -> str:
        """A refusal with its place in the text: a front that was sent a difference has none."""
        at = self.places.get(name, {}).get(tuple(path))
        return f"line {at[0]}, column {at[1]}: {text}" if at and not text.startswith("line ") else text

    def carry(self, acts: list[Act]) -> None:
        for act in acts:
            match act:
                case Send(front, name):
                    if (link := self.links.get(front)) is not None and name != NONE:
                        self.offer(link, name)
                case Halted(name, why):
                    self.state.halted = why
                    self.keep_state()
                    self.log("rollout halted", epoch=name.epoch, number=name.number, why=why)
                case Finished(name):
                    self.state.base = (name.epoch, name.number)
                    self.keep_state()
                    self.log("rollout done", epoch=name.epoch, number=name.number)

    def offer(self, link: Link, name: Name, whole: bool = False) -> None:
        """As a difference to what the front holds, where that is known and smaller."""
        p = self.texts.get(name)
        if p is None:
            return  # too old to be kept: the front stays with what it has
        link.nonce += 1
        fields = {"nonce": link.nonce, "epoch": name.epoch, "number": name.number, "digest": p.digest}
        if p.confirm_ms is not None:
            fields["confirm_ms"] = p.confirm_ms
        part = None if whole else self.part(link.holds, name, len(p.text))
        if part is not None:
            link.put(encode("offer", **fields, **part))
            return
        link.put(encode("offer", **fields, text=p.text))

    def part(self, base: Name, name: Name, size: int) -> dict[str, Any] | None:
        """The difference from one version to another, found once for all fronts that hold the same; None
        where it is not known or as long as the text."""
        if base == NONE or base not in self.contents:
            return None
        if (base, name) not in self.parts:
            delta = diff(self.contents[base], self.contents[name])
            changed = [[list(path), value] for path, value in delta.set.items()]
            part = {"set": changed, "dropped": [list(path) for path in delta.dropped]}
            part["base"] = {"epoch": base.epoch, "number": base.number}
            self.parts[base, name] = part if as_difference(delta, size) else None
        return self.parts[base, name]

    # --- operators ---

    def called(self, call: Call, now: float) -> None:
        try:
            reply = {"ok": True, **self.answer(call.words, now)}
        except Refused as refused:
            reply = {"ok": False, "why": str(refused)}
        except (KeyError, TypeError, ValueError) as error:
            reply = {"ok": False, "why": f"unclear call: {type(error).__name__}: {error}"}
        call.reply(reply)

    def answer(self, words: dict[str, Any], now: float) -> dict[str, Any]:
        match words["call"]:
            case "publish":
                return self.publish(str(words["text"]), now)
            case "rollback":
                return self.rollback(int(words["to"]), now)
            case "confirm":
                name = self.rollout.name
                for link in self.links.values():
                    link.put(encode("confirm", epoch=name.epoch, number=name.number))
                return {"number": name.number, "fronts": len(self.links)}
            case "status":
                return self.status()
        raise Refused(f"no call {words['call']!r}")

    def publish(self, text: str, now: float, of: int | None = None) -> dict[str, Any]:
        if len(text.encode()) > MOST_BYTES:
            raise Refused(f"over {MOST_BYTES} bytes")
        found = version.read(text.encode())
        if found.faults:
            raise Refused("\n".join(f.said("it") for f in found.faults[:20]))
        try:
            number = numbered(found.number if of is None else None, self.state.number)
        except Taken as taken:
            raise Refused(str(taken)) from None
        p = Published(self.state.epoch, number, digest(found.entries), text, found.confirm_ms, found.note, of)
        self.save_published(p)
        self.keep(p)
        self.parts.clear()
        for old in sorted(self.texts)[: -Folder.KEPT]:
            del self.texts[old], self.contents[old], self.places[old]
        self.log("published", epoch=p.epoch, number=number, entries=len(found.entries), of=of)
        self.carry(self.rollout.publish(Name(p.epoch, number), now))
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
            raise Refused(f"version {p.number} cannot be kept, publish it again later: {error}") from None

    def keep_state(self) -> None:
        """What has been learnt goes to the folder, at once or as soon as it can be written."""
        try:
            self.folder.save(self.state)
            self.unsaved = False
        except OSError as error:
            if not self.unsaved:
                self.log("state not kept", error=str(error))
            self.unsaved = True

    def catch_up(self) -> None:
        """Writes and syncs that failed are tried again."""
        if self.unsaved:
            self.keep_state()
        elif not self.folder.synced:
            self.folder.synced = self.folder.sync()

    def rollback(self, to: int, now: float) -> dict[str, Any]:
        """The older content under a new number. It goes the way of any version, ring by ring."""
        old = self.texts.get(Name(self.state.epoch, to))
        if old is None:
            kept = [n.number for n in sorted(self.texts) if n.epoch == self.state.epoch]
            raise Refused(f"no version {to}; kept are {kept[0]} to {kept[-1]}" if kept else "none is kept")
        return self.publish(old.text, now, of=to)

    def status(self) -> dict[str, Any]:
        r = self.rollout
        return {
            "epoch": r.name.epoch,
            "number": r.name.number,
            "phase": r.phase.name.lower(),
            "ring": r.ring + 1 if r.phase in (Phase.ROLLING, Phase.HALTED) else None,
            "rings": len(r.plan.rings),
            "why": r.why,
            "base": list(self.state.base),
            "fronts": [
                {
                    "name": f.name,
                    "here": f.stands,
                    "holds": [f.holds.epoch, f.holds.number],
                    "stand": f.stand.name.lower(),
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
            if self.open >= MOST_FRONTS:
                sock.close()
                continue
            gevent.spawn(self.front, sock)

    def front(self, sock: socket.socket) -> None:
        link, decoder = Link(sock), Decoder()
        self.open += 1
        writer = gevent.spawn(self.write, link)
        try:
            try_set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sock.settimeout(SILENT_S)
            while data := sock.recv(64 * 1024):
                for frame in decoder.feed(data):
                    self.mailbox.put(Came(link, frame))
        except (OSError, Spoilt) as error:
            self.log("front lost", name=link.name, why=f"{type(error).__name__}: {error}")
        finally:
            self.open -= 1
            writer.kill(block=False)
            sock.close()
            self.mailbox.put(Came(link, None))

    def write(self, link: Link) -> None:
        """One front that does not read keeps nobody waiting but itself."""
        try:
            while True:
                frame = None
                with gevent.Timeout(ALIVE_S, False):
                    frame = link.queue.get()
                    if frame is None:
                        link.sock.shutdown(socket.SHUT_RDWR)
                        return
                link.sock.sendall(frame if frame is not None else encode("alive"))
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
            gevent.spawn(self.call, sock)

    def call(self, sock: socket.socket) -> None:
        """One line, one answer."""
        text, got = b"", SimpleQueue()
        try:
            sock.settimeout(SILENT_S)
            while not text.endswith(b"\n") and len(text) < 3 * MOST_BYTES:
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
            self.mailbox.put(Call(words, got.put))
            sock.sendall(orjson.dumps(got.get()) + b"\n")
        except OSError:
            pass  # the operator left
        finally:
            sock.close()


def ask(folder: Path, **words: Any) -> dict[str, Any]:
    """An operator's call on a service that runs over this folder. Raises OSError where none answers."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(10.0)
        sock.connect(str(folder / CALL))
        sock.sendall(orjson.dumps(words) + b"\n")
        text = b""
        while data := sock.recv(1 << 16):
            text += data
        return orjson.loads(text)


def until_signal(service: Service) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, service.stop.set)
    service.run()
