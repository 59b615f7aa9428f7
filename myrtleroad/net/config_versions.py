"""The versions actor: a stream to the control service, the acts of the ledger, and what holds in effect."""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

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
from myrtleroad.net.counters import Counters
from myrtleroad.net.log import Log
from myrtleroad.net.node_config import DECODE_ERRORS, Address, AddressChanged, NodeConfig

CONNECT_TIMEOUT_S = 1.0  # as for the other streams
HEARTBEAT_S = 2.0  # a sign of life goes out so often
SILENCE_TIMEOUT_S = 5.0  # two signs of life and some room
SLICE_S = 0.001  # reading a version lets others run after so long, once the slice of nodes it is in ends
SLICE_PAUSE_S = (
    0.004  # and sleeps so long, as a version has time and reqs have not: a fifth of a core at most. A
)
# sleep of 0 would let greenlets run, but no socket in until 50 of them have
READ_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """A frame of one stream; without one, its end."""

    stream: int
    frame: Frame | None
    reason: str = ""


@dataclass(slots=True, frozen=True)
class OfferChecked:
    """What the check of an offer says."""

    offer: Offer
    result: version.Version


class ConfigVersions:
    """Follows one control service. The ledger decides; reading and checking go on in a greenlet of their own,
    by slices, so that reqs do not wait. ``apply`` takes the bounds of now (None where nothing is
    narrowed) and must not switch; ``cap`` tells the cap of a build on trial, None where none is."""

    def __init__(
        self,
        at: Address,
        told: NodeConfig,
        clock: Callable[[], float],
        counters: Counters,
        log: Log,
        apply: Callable[[rules.EffectiveLimits | None], None],
        cap: Callable[[], float | None],
    ):
        self.address, self.node_config, self.clock, self.counters, self.log = at, told, clock, counters, log
        self.apply_limits, self.trial_cap = apply, cap
        self.mailbox: SimpleQueue = SimpleQueue()
        self.ledger = Ledger()
        self.entries_of = {
            self.ledger.in_force.version: NO_ENTRIES
        }  # of the one in force and the last good one
        self.applying = version.Version()  # the one that is being applied
        manner = FollowerSettings(
            told.facts.balancers, told.facts.server_rules.drain_grace_ms, HEARTBEAT_S * 1000
        )
        self.backoff = CallBackoff(manner, Random(told.seed + 2).random)
        self.newest_stream = 0  # the newest, of the address that holds now
        self.sockets: dict[int, socket.socket] = {}  # of the newest, and of one that a move has left behind
        self.opened_at: dict[int, float] = {}  # since when each stands; both emptied as each ends

    # --- the actor ---

    def run(self) -> None:
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
        match message:
            case FrameReceived(stream, None, why):
                self.stream_ended(stream, why)
            case FrameReceived(stream, frame) if stream in self.sockets:
                try:
                    self.process_frame(frame, stream)
                except DECODE_ERRORS as error:
                    self.end_stream(stream, f"unreadable: {type(error).__name__}: {error}")
            case OfferChecked(offer, found):
                self.finish_check(offer, found)
            case AddressChanged(at) if at != self.address:
                # The old one is followed until the new one says something: a wrong address cuts nobody off.
                self.address = at
                gevent.spawn(self.connect)

    def stream_ended(self, stream: int, why: str) -> None:
        """A stream has ended, or could not begin. Of the newest, another is begun."""
        stood = self.clock() - self.opened_at.pop(stream) if stream in self.opened_at else None
        if self.sockets.pop(stream, None) is not None:
            self.ledger.stream_closed(stream)
        self.counters.add("versions_lost")
        self.log("versions lost", level="warning", why=why)
        if stream == self.newest_stream:
            gevent.spawn_later(self.backoff.next_pause_ms(stood) / 1000, self.reconnect, stream)

    def reconnect(self, stream: int) -> None:
        if stream == self.newest_stream:  # no move has begun another meanwhile
            self.connect()

    def process_frame(self, frame: Frame, stream: int) -> None:
        f = frame.fields
        if stream == self.newest_stream:
            for left in [n for n in self.sockets if n != stream]:
                self.end_stream(left, "moved")
        match frame.kind:
            case "offer":
                name, confirm = VersionId(int(f["epoch"]), int(f["number"])), f.get("confirm_ms")
                confirm_ms = None if confirm is None else float(confirm)
                offer = Offer(stream, int(f["nonce"]), name, str(f["digest"]), confirm_ms, f)
                self.counters.add("versions_offered")
                self.execute(self.ledger.offer_received(offer))
            case "confirm":
                name = VersionId(int(f["epoch"]), int(f["number"]))
                if self.ledger.confirm_received(name):
                    self.log("version confirmed", epoch=name.epoch, number=name.number)
            case "bye":
                self.end_stream(stream, str(f.get("why", "bye")))

    # --- carrying out ---

    def execute(self, acts: list[LedgerAction]) -> None:
        for act in acts:
            match act:
                case CheckOffer(offer):
                    gevent.spawn(self.check, offer)
                case ApplyVersion(name):
                    self.apply_version(name)
                case OfferAnswer():
                    self.send_answer(act)
                case ReportRollback(name, back_to, why):
                    self.counters.add("versions_rolled_back")
                    gone = {"epoch": name.epoch, "number": name.number}
                    self.log("version rolled back", level="warning", **gone, why=why)
                    back = {"epoch": back_to.epoch, "number": back_to.number}
                    for stream in list(self.sockets):
                        self.send(stream, encode_frame("back", **gone, to=back, why=why))

    def check(self, offer: Offer) -> None:
        """In a greenlet of its own: reads by slices and lets others run between them."""
        found, begun = version.Version(), time.monotonic()
        try:
            steps = self.read_offer(offer, found)
            for _ in steps:
                if time.monotonic() - begun >= SLICE_S:
                    gevent.sleep(SLICE_PAUSE_S)
                    begun = time.monotonic()
        except Exception as error:  # whatever is wrong with it, the offer gets its answer
            found.faults = [Fault("syntax", f"{type(error).__name__}: {error}")]
        self.mailbox.put(OfferChecked(offer, found))

    def read_offer(self, offer: Offer, found: version.Version):
        """Steps over a whole text or a difference. Raises KeyError and the like where it can't be read."""
        told = self.node_config.limits(self.trial_cap(), self.address[0])
        if "text" in offer.body:
            yield from version.read_in_slices(str(offer.body["text"]).encode(), told, found)
            return
        base = offer.body["base"]
        if VersionId(int(base["epoch"]), int(base["number"])) != self.ledger.in_force.version:
            found.faults = [Fault("base", "a difference to what is not in force here")]
            return
        changed = {tuple(path): value for path, value in offer.body["set"]}
        delta = Delta(changed, [tuple(path) for path in offer.body["dropped"]])
        found.entries = apply_delta(self.entries_of[self.ledger.in_force.version], delta)
        yield from rules.check_entries(found.entries, told, {}, found.faults)

    def finish_check(self, offer: Offer, found: version.Version) -> None:
        faults = found.faults
        if not faults and content_digest(found.entries) != offer.digest:
            faults = [Fault("digest", "the content is not what its digest says")]
        if not faults:
            self.applying = found
            self.execute(self.ledger.check_finished(offer.nonce, offer.stream))
            return
        first, more = faults[0], f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        place = f"line {first.line}, column {first.column}: " if first.line else ""
        why = place + first.text + more
        self.execute(self.ledger.check_finished(offer.nonce, offer.stream, first.code, why, first.path))

    def apply_version(self, name: VersionId) -> None:
        """All or nothing: the bounds are made first and told in one call."""
        back, fault = name == self.ledger.in_force.version, ""
        entries = self.entries_of[name] if back else self.applying.entries
        try:
            self.apply_limits(self.limits_of(entries))
        except Exception as error:  # the version before stays in force
            fault = f"{type(error).__name__}: {error}"
        if back:
            return  # the ledger has gone back already
        if not fault:
            self.entries_of[name] = entries
            self.counters.add("versions_applied")
            self.log("version applied", epoch=name.epoch, number=name.number, entries=len(entries))
        self.execute(self.ledger.apply_finished(name, self.clock(), fault))
        held = (self.ledger.in_force.version, self.ledger.last_good.version)
        self.entries_of = {n: c for n, c in self.entries_of.items() if n in held}

    def limits_of(self, entries) -> rules.EffectiveLimits | None:
        return (
            rules.effective_limits(entries, self.node_config.limits(self.trial_cap()))
            if len(entries)
            else None
        )

    def reapply(self) -> None:
        """What was told has changed, as a cap: what holds in effect is made anew."""
        entries = self.entries_of[self.ledger.in_force.version]
        if len(entries):
            self.apply_limits(self.limits_of(entries))

    def send_answer(self, a: OfferAnswer) -> None:
        name = {"epoch": a.version.epoch, "number": a.version.number}
        self.counters.add("versions_acked" if a.acked else "versions_refused")
        if not a.acked:
            self.log("version refused", level="warning", **name, code=a.code, text=a.text)
        why = {"code": a.code, "text": a.text, "path": a.path}
        self.send(a.stream, encode_frame("answer", nonce=a.nonce, **name, acked=a.acked, **why))

    # --- the stream ---

    def connect(self) -> None:
        """Opens a stream and reads it to its end, which is posted once."""
        self.newest_stream += 1
        number, why, sock = self.newest_stream, "ended", None
        try:
            sock = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(SILENCE_TIMEOUT_S)
            self.sockets[number], self.opened_at[number] = sock, self.clock()
            self.ledger.stream_opened(number)
            force = self.ledger.in_force
            holds = {"epoch": force.version.epoch, "number": force.version.number, "digest": force.digest}
            self.send(number, encode_frame("hello", name=self.node_config.name, protocol=1, holds=holds))
            gevent.spawn(self.send_heartbeats, number)
            decoder = FrameDecoder()
            while data := sock.recv(READ_BYTES):
                for frame in decoder.feed(data):
                    self.mailbox.put(FrameReceived(number, frame))
        except (OSError, FrameError) as error:
            why = f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()
            self.mailbox.put(FrameReceived(number, None, why))

    def send_heartbeats(self, stream: int) -> None:
        while stream in self.sockets:
            gevent.sleep(HEARTBEAT_S)
            self.send(stream, encode_frame("alive"))

    def send(self, stream: int, frame: bytes) -> None:
        """Never waits for long: a front's frames are small, and a peer that takes none is of no use."""
        if (sock := self.sockets.get(stream)) is not None:
            try:
                with gevent.Timeout(CONNECT_TIMEOUT_S, TimeoutError):
                    sock.sendall(frame)
            except OSError as error:
                self.end_stream(stream, f"{type(error).__name__}: {error}")

    def end_stream(self, stream: int, why: str) -> None:
        """Nothing more goes out on it; its reader sees the end and posts it."""
        sock = self.sockets.pop(stream, None)
        if sock is not None:
            self.ledger.stream_closed(stream)
            self.log("versions ended", why=why)
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
