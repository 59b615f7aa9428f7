"""The folder of a control service: the numbered versions that it has published, and its state.

``NAME.kdl`` files belong to the operator, ``state.json`` to the service: epoch, published versions, and
the version that every front should hold. The state is written to a temporary file, synced and renamed, so
that an interruption leaves either the old or the new state."""

import contextlib
import os
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from myrtleroad.control.confirmation import BootTime, ConfirmationState

STATE = "state.json"


class StateError(Exception):
    """The state of the folder can't be read; the text says how to recover."""


@dataclass(slots=True)
class Published:
    """One published version. Its fields are keys in state.json."""

    epoch: int
    number: int
    digest: str
    text: str
    confirm_ms: float | None = None
    note: str = ""
    of: int | None = None  # the number of the version that this one restores
    confirmation: ConfirmationState = ConfirmationState.NOT_REQUIRED
    confirm_deadline: BootTime | None = None  # until when it can be confirmed
    halted: str = ""  # why its rollout was halted

    @classmethod
    def from_stored(cls, stored: dict) -> "Published":
        """A version from state.json. Raises KeyError, TypeError or ValueError."""
        version = cls(**stored)
        if "confirmation" not in stored and version.confirm_ms is not None:
            version.confirmation = ConfirmationState.UNKNOWN
        version.confirmation = ConfirmationState(version.confirmation)
        if (deadline := stored.get("confirm_deadline")) is not None:
            version.confirm_deadline = BootTime(str(deadline["boot_id"]), float(deadline["ms"]))
        return version


@dataclass(slots=True)
class State:
    """The state of a control service. Its fields are keys in state.json."""

    epoch: int = 0
    number: int = 0  # the highest of this epoch
    base: tuple[int, int] = (0, 0)  # epoch and number of the version that every front should hold
    published: list[Published] = field(default_factory=list)  # the newest MAX_KEPT
    halted: str = ""  # why the last rollout was halted
    # Names of known fronts: a restarted service waits for them.
    fronts: list[str] = field(default_factory=list)


class Folder:
    """The folder in which a control service keeps its state."""

    MAX_KEPT = 100  # versions that can still be restored

    def __init__(self, path: Path):
        self.path = path
        self.synced = True  # whether the last saved state is durable
        path.mkdir(parents=True, exist_ok=True)

    def load(self) -> State:
        """Reads the state; an empty one if there is none yet. Raises StateError if it can't be read."""
        file = self.path / STATE
        if not file.exists():
            return State()
        try:
            stored = orjson.loads(file.read_bytes())
            versions = [Published.from_stored(version) for version in stored["published"]]
            fronts = [str(name) for name in stored["fronts"]]
            halted = str(stored["halted"])
            return State(
                int(stored["epoch"]), int(stored["number"]), tuple(stored["base"]), versions, halted, fronts
            )
        except (KeyError, TypeError, ValueError) as error:
            raise StateError(
                f"{file}: {error}; restore a copy, or remove the file and start again at a higher epoch"
            ) from None

    def save(self, state: State) -> None:
        """Saves the state. It is kept once this returns, so that numbers never decrease. Raises OSError if
        the old state remains."""
        state.published = self.kept_versions(state)
        text = orjson.dumps(
            {
                "epoch": state.epoch,
                "number": state.number,
                "base": list(state.base),
                "halted": state.halted,
                "fronts": state.fronts,
                "published": [
                    {field_name: getattr(version, field_name) for field_name in version.__slots__}
                    for version in state.published
                ],
            }
        )
        temporary = self.path / f".{STATE}.new"
        try:
            with temporary.open("wb") as opened:
                opened.write(text)
                opened.flush()
                os.fsync(opened.fileno())
            os.replace(temporary, self.path / STATE)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()  # removes the incomplete file from a full disk
            raise
        self.synced = self.sync()

    def kept_versions(self, state: State) -> list[Published]:
        """The newest published versions, and the base version however old it is: fronts that start have to
        get it."""
        older = state.published[: -self.MAX_KEPT]
        base = [version for version in older if (version.epoch, version.number) == tuple(state.base)]
        return base + state.published[-self.MAX_KEPT :]

    def sync(self) -> bool:
        """Syncs the folder; returns whether the directory entry of the newest state is durable too. The
        new state is in place once it is renamed; only a power loss could bring back the previous one."""
        try:
            descriptor = os.open(self.path, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError:
            return False
        return True
