"""The published versions of a control service, durable and in memory: their content, and whether they are
confirmed. What fronts and operators are told about a version is read here."""

from collections.abc import Callable
from typing import Any

from myrtleroad.config import version
from myrtleroad.config.entries import NO_ENTRIES, diff
from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.control.boot_clock import BootClock
from myrtleroad.control.confirmation import SETTLED, ConfirmationState, remaining_ms
from myrtleroad.control.folder import Folder, Published
from myrtleroad.control.numbering import FIRST_EPOCH, worth_as_difference


class SaveFailed(Exception):
    """A change could not be made durable and was taken back; the text says why."""


class VersionStore:
    """The published versions of one folder. Raises StateError or OSError if its state can't be read."""

    def __init__(self, folder: Folder, log: Callable[..., None]):
        self.folder, self.log = folder, log
        self.boot_clock = BootClock()
        self.state = folder.load()
        self.state.epoch = max(FIRST_EPOCH, self.state.epoch)  # it is only raised by hand, in state.json
        self.unsaved = False  # the state in memory could not be saved yet
        self.entries = {NO_VERSION: NO_ENTRIES}  # of the kept versions
        self.positions: dict[VersionId, dict] = {}  # positions of their entries
        # Differences between versions; cleared by each publication.
        self.deltas: dict[tuple[VersionId, VersionId], dict | None] = {}
        self.versions: dict[VersionId, Published] = {}
        for published in self.state.published:
            self.add(published)
        for version_id, published in self.versions.items():
            published.confirmation = self.confirmation_of(version_id)

    # --- content ---

    def add(self, published: Published) -> None:
        """Reads a published version and keeps its entries and their positions."""
        version_id = VersionId(published.epoch, published.number)
        self.versions[version_id] = published
        parsed = version.read(published.text.encode())
        self.entries[version_id], self.positions[version_id] = parsed.entries, parsed.positions

    def forget_dropped(self) -> None:
        """Drops from memory the versions that the folder no longer keeps, and all differences."""
        self.deltas.clear()
        kept = {VersionId(version.epoch, version.number) for version in self.state.published}
        for old in self.versions.keys() - kept:
            del self.versions[old], self.entries[old], self.positions[old]

    @property
    def base(self) -> VersionId:
        """The version that every front should hold while no rollout is in progress."""
        return VersionId(*self.state.base)

    @property
    def newest(self) -> VersionId:
        """The newest published version, or ``NO_VERSION``."""
        return max(self.versions, default=NO_VERSION)

    def with_position(self, version_id: VersionId, text: str, path: list[str]) -> str:
        """Adds the position in the text to a refusal: a front that was sent a difference has no
        positions."""
        position = self.positions.get(version_id, {}).get(tuple(path))
        return (
            f"line {position[0]}, column {position[1]}: {text}"
            if position and not text.startswith("line ")
            else text
        )

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

    def expire_pending(self) -> None:
        """Expires the current version and those that it followed unconfirmed: nobody can confirm them any
        more, and fronts fall back over all of them."""
        for published in self.versions.values():
            if published.confirmation == ConfirmationState.PENDING:
                published.confirmation = ConfirmationState.EXPIRED

    def interrupted_version(self) -> VersionId | None:
        """The version above the base whose rollout was ended by newer ones: the newest that was confirmed or
        asked for no confirmation. None if there is none, or if it was halted."""
        settled = [
            version_id
            for version_id in self.versions
            if version_id > self.base and self.confirmation_of(version_id) in SETTLED
        ]
        newest = max(settled, default=None)
        return None if newest is None or self.versions[newest].halted else newest

    # --- saving ---

    def save_confirmation(self, published: Published, is_base: bool) -> None:
        """Saves a confirmation before any front hears of it. ``is_base``: all rings have the version, so it
        becomes the base version in the same write. Raises SaveFailed, and leaves the version unconfirmed, if
        that can't be made durable now."""
        base, failure = self.state.base, "the folder cannot be synced"
        published.confirmation = ConfirmationState.CONFIRMED
        if is_base:
            self.state.base = (published.epoch, published.number)
        try:
            self.folder.save(self.state)
            if self.folder.synced:
                return
        except OSError as error:
            failure = str(error)
        self.state.base, self.unsaved = base, True
        published.confirmation = ConfirmationState.PENDING
        raise SaveFailed(
            f"the confirmation of version {published.number} cannot be saved; confirm again: {failure}"
        )

    def save_published(self, published: Published) -> None:
        """Saves a version before any front is offered it, so that numbers never decrease. If it cannot be
        saved it is taken back, and its number remains free. Raises SaveFailed."""
        before, halted, number = list(self.state.published), self.state.halted, self.state.number
        self.state.number, self.state.halted = published.number, ""
        self.state.published.append(published)
        try:
            self.folder.save(self.state)
        except OSError as error:
            self.state.published, self.state.halted, self.state.number = before, halted, number
            self.unsaved = True
            raise SaveFailed(
                f"version {published.number} cannot be saved; publish it again later: {error}"
            ) from None
        self.add(published)
        self.forget_dropped()

    def save(self) -> None:
        """Saves the state now, or later if it cannot be written now (``retry``)."""
        try:
            self.folder.save(self.state)
            self.unsaved = False
        except OSError as error:
            if not self.unsaved:
                self.log("state not kept", error=str(error))
            self.unsaved = True

    def retry(self) -> None:
        """Retries a failed save or sync."""
        if self.unsaved or not self.folder.synced:
            self.save()
