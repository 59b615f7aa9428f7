"""The numbered documents that a control service hands out, and its own numbers, in one folder.

``NAME.kdl`` files are the operator's, ``state.json`` is the service's: epoch, the versions published,
and which of them every front should hold. It is written whole beside itself, synced and renamed, so that
a cut leaves the old one or the new one."""

import contextlib
import os
from dataclasses import dataclass, field
from pathlib import Path

import orjson

STATE = "state.json"


class StateError(Exception):
    """The folder's state can't be read; what is to be done is said."""


@dataclass(slots=True)
class Published:
    """One version that was handed out."""

    epoch: int
    number: int
    digest: str
    text: str
    confirm_ms: float | None = None
    note: str = ""
    of: int | None = None  # the number that it brings back


@dataclass(slots=True)
class State:
    epoch: int = 0
    number: int = 0  # the highest of this epoch
    base: tuple[int, int] = (0, 0)  # what every front should hold
    published: list[Published] = field(default_factory=list)  # the newest KEPT
    halted: str = ""  # why the last one was halted
    fronts: list[str] = field(default_factory=list)  # that have come: a restarted service waits for them


class Folder:
    MAX_KEPT = 100  # versions whose text can still be rolled back to

    def __init__(self, path: Path):
        self.path = path
        self.synced = True  # whether what was saved last is durable
        path.mkdir(parents=True, exist_ok=True)

    def load(self) -> State:
        file = self.path / STATE
        if not file.exists():
            return State()
        try:
            m = orjson.loads(file.read_bytes())
            versions = [Published(**p) for p in m["published"]]
            fronts = [str(name) for name in m["fronts"]]
            halted = str(m["halted"])
            return State(int(m["epoch"]), int(m["number"]), tuple(m["base"]), versions, halted, fronts)
        except (KeyError, TypeError, ValueError) as error:
            raise StateError(
                f"{file}: {error}; put back a copy, or remove it and begin at a higher epoch"
            ) from None

    def save(self, state: State) -> None:
        """Holds once this returns, so that numbers never go back. Raises OSError where the old one stands."""
        state.published = state.published[-self.MAX_KEPT :]
        text = orjson.dumps(
            {
                "epoch": state.epoch,
                "number": state.number,
                "base": list(state.base),
                "halted": state.halted,
                "fronts": state.fronts,
                "published": [{n: getattr(p, n) for n in p.__slots__} for p in state.published],
            }
        )
        beside = self.path / f".{STATE}.new"
        try:
            with beside.open("wb") as f:
                f.write(text)
                f.flush()
                os.fsync(f.fileno())
            os.replace(beside, self.path / STATE)
        except OSError:
            with contextlib.suppress(OSError):
                beside.unlink()  # half a file on a full disk helps nobody
            raise
        self.synced = self.sync()

    def sync(self) -> bool:
        """Whether the folder's entry for the newest state is durable too. The state itself holds from the
        renaming on, for whoever starts next; only a loss of power could bring the one before back."""
        try:
            at = os.open(self.path, os.O_RDONLY)
            try:
                os.fsync(at)
            finally:
                os.close(at)
        except OSError:
            return False
        return True
