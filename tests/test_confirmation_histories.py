"""Random histories of one control service and its fronts in virtual time: fronts restart, leave and come, the
service is killed between any two calls of the system, its machine reboots, its disk fails. Whatever happens,
an answered confirmation holds everywhere, and a version that was not confirmed in time is nowhere."""

import contextlib
import os
from random import Random

import pytest
from conftest import null_log

from myrtleroad.config import ledger
from myrtleroad.config.frames import Frame, FrameDecoder
from myrtleroad.control import service as control_service
from myrtleroad.control import version_store
from myrtleroad.control.confirmation import BootTime, ConfirmationState
from myrtleroad.control.folder import Folder
from myrtleroad.control.rollout_types import RolloutPlan, VersionRolloutPhase
from myrtleroad.net.config_versions import decode_offer, decode_version_id

STEPS, QUIET_MS = 60, 120_000.0
PLAN = RolloutPlan((0.4, 1.0), bad_share=0.9, watch_ms=800.0)


class Killed(BaseException):
    """The service was killed within a call of the system."""


class VirtualFront:
    """A front without sockets: a ledger that accepts every content."""

    def __init__(self, name):
        self.name, self.ledger, self.stream, self.decoder, self.streams = name, ledger.Ledger(), None, None, 0

    def connect(self, history):
        self.streams += 1
        self.ledger.stream_opened(self.streams)
        self.stream, self.decoder = control_service.FrontStream(None), FrameDecoder()
        version = self.ledger.in_force.version
        holds = {"epoch": version.epoch, "number": version.number}
        history.receive(self, Frame("hello", {"name": self.name, "holds": holds}))

    def disconnect(self):
        self.ledger.stream_closed(self.streams)
        self.stream = None

    def pump(self, history):
        """Handles all frames that the service has queued. Returns whether there were any."""
        found = False
        while self.stream is not None and self.stream.queue.qsize():
            found = True
            data = self.stream.queue.get()
            for frame in self.decoder.feed(data) if data is not None else []:
                self.frame_received(frame, history)
        self.execute(self.ledger.tick(history.now), history)
        return found

    def frame_received(self, frame, history):
        match frame.kind:
            case "offer":
                self.execute(self.ledger.offer_received(decode_offer(self.streams, frame.fields)), history)
            case "confirm" if self.ledger.confirm_received(decode_version_id(frame.fields)):
                history.receive(self, Frame("confirmed", frame.fields))
            case "expired":
                self.execute(self.ledger.expire_received(decode_version_id(frame.fields)), history)

    def execute(self, actions, history):
        for action in actions:
            match action:
                case ledger.CheckOffer(offer):
                    self.execute(self.ledger.check_finished(offer.nonce, offer.stream), history)
                case ledger.ApplyVersion(version) if version != self.ledger.in_force.version:
                    history.check_applied(version)
                    self.execute(self.ledger.apply_finished(version, history.now), history)
                case ledger.OfferAnswer(_, nonce, version, acked, code):
                    fields = {"nonce": nonce, "epoch": version.epoch, "number": version.number}
                    history.receive(self, Frame("answer", fields | {"acked": acked, "code": code}))
                case ledger.ReportRollback(version, back_to, why):
                    to = {"epoch": back_to.epoch, "number": back_to.number}
                    fields = {"epoch": version.epoch, "number": version.number, "to": to, "why": why}
                    history.receive(self, Frame("back", fields))


class History:
    """One random history."""

    def __init__(self, folder, seed, monkeypatch):
        self.folder, self.random, self.now, self.boot = folder, Random(seed), 0.0, 0
        self.steps_to_kill, self.disk_fails, self.confirmed = None, False, set()
        self.fronts = [VirtualFront(f"n{n}") for n in range(4)]
        monkeypatch.setattr(version_store, "BootClock", lambda: lambda: BootTime(str(self.boot), self.now))
        for name in ("fsync", "replace"):
            monkeypatch.setattr(os, name, self.failing(getattr(os, name)))
        self.service = None
        self.start_service()

    def failing(self, call):
        """A call of the system that fails while the disk does, and before or after which the service may be
        killed."""

        def run(*arguments):
            if self.steps_to_kill is not None:
                self.steps_to_kill -= 1
                if self.steps_to_kill < 0:
                    raise Killed
            if self.disk_fails:
                raise OSError(28, "no space")
            return call(*arguments)

        return run

    def close(self):
        if self.service is not None:
            self.service.sock.close()

    def start_service(self):
        self.close()
        self.steps_to_kill = None
        for front in self.fronts:
            front.disconnect()
        self.service = control_service.ControlService(Folder(self.folder), PLAN, lambda: self.now, null_log)

    def receive(self, front, frame):
        if front.stream is not None:
            self.service.frame_received(front.stream, frame, self.now)

    def check_applied(self, version):
        assert self.service.store.confirmation_of(version) != ConfirmationState.EXPIRED, (
            "applied after its time"
        )

    def call(self, **fields):
        replies = []
        self.service.operator_called(control_service.OperatorCall(fields, replies.append), self.now)
        self.settle()
        if not replies:
            self.now += 3000.0
            self.settle()
        return replies[0]

    def settle(self):
        """Lets the service and all fronts handle what is due now."""
        self.service.store.retry()
        self.service.expire_version()
        self.service.carry_out(self.service.rollout.tick(self.now))
        while any([front.pump(self) for front in self.fronts]):
            pass
        self.service.end_calls(self.now)

    def step(self):
        random, front = self.random, self.random.choice(self.fronts)
        match random.choice("ttttrdccccpoxkfb"):
            case "t":
                self.now += random.expovariate(1 / 700.0)
            case "r":
                self.leave(front)
                self.fronts[self.fronts.index(front)] = VirtualFront(front.name)
            case "d":
                self.leave(front)
            case "c":
                self.connect_all(0.5)
            case "p":
                head = random.choice(["", "confirm=(s)1", "confirm=(s)3", "confirm=(s)8"])
                number = self.service.store.state.number + 1
                self.call(call="publish", text=f"version {number} {head}\n")
            case "o":
                answer = self.call(call="confirm")
                if answer["ok"]:
                    self.confirmed.add(number := answer["number"])
                    held = [front.ledger.in_force for front in self.fronts if front.stream]
                    states = [version.state for version in held if version.version.number == answer["number"]]
                    assert len(states) >= answer["fronts"] and set(states) <= {ledger.VersionState.CONFIRMED}
            case "x":
                self.steps_to_kill = random.randrange(8)
            case "k":
                self.start_service()
            case "f":
                self.disk_fails = not self.disk_fails
            case "b":
                self.boot += random.random() < 0.3
                self.start_service()
        self.settle()

    def leave(self, front):
        if front.stream is not None:
            self.receive(front, None)
            front.disconnect()

    def connect_all(self, share):
        for front in self.fronts:
            if front.stream is None and self.random.random() < share:
                front.connect(self)

    def run(self):
        for _ in range(STEPS):
            try:
                self.step()
            except Killed:
                self.start_service()
            held = {front.ledger.in_force.version for front in self.fronts if front.stream is not None}
            assert ConfirmationState.EXPIRED not in map(self.service.store.confirmation_of, held)
        self.disk_fails, self.steps_to_kill = False, None
        self.connect_all(1.0)
        end = self.now + QUIET_MS
        while self.now < end:
            self.settle()
            self.now += 500.0
        self.check_end()

    def check_end(self):
        rollout = self.service.rollout
        assert rollout.confirmation != ConfirmationState.PENDING
        if any(published.halted for published in self.service.store.versions.values()):
            return  # fronts of the halted version's rings hold it until the operator brings another
        held = [front.ledger.in_force.version for front in self.fronts]
        expired = rollout.phase == VersionRolloutPhase.EXPIRED
        assert held == [rollout.base if expired else rollout.version] * len(held)
        assert self.service.store.confirmation_of(held[0]) != ConfirmationState.EXPIRED
        assert held[0].number >= max(self.confirmed, default=0)


@pytest.mark.parametrize("seed", range(60))
def test_history_ends_with_one_version_that_no_answer_contradicts(tmp_path, seed, monkeypatch):
    # Guards against an answer of `confirm`, or a version's time, that a restart anywhere forgets.
    history = History(tmp_path, seed, monkeypatch)
    with contextlib.closing(history):
        history.run()
