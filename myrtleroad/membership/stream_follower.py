"""Decides which streams of one service a follower keeps open, how fresh their data is, and what to do when a
stream opens, falls silent or ends.

A pure state machine: each call takes the time and returns the actions to carry out. Streams are identified by
increasing numbers. A later stream was opened from a later state, so once it has delivered a message the
streams before it are of no use. ``due`` gives the time at which ``tick`` has to be called next."""

from collections.abc import Callable
from dataclasses import dataclass

from myrtleroad.interface import ListFreshness
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings
from myrtleroad.membership.lease import ListLease


@dataclass(slots=True, frozen=True)
class OpenStream:
    """Open a stream with this number to the current address."""

    stream: int


@dataclass(slots=True, frozen=True)
class CloseStream:
    """Close the stream with this number."""

    stream: int
    why: str


@dataclass(slots=True, frozen=True)
class FreshnessChanged:
    """The freshness of the followed data has changed."""

    freshness: ListFreshness
    confirmed_at: float  # when the last message or heartbeat arrived
    why: str


FollowerAction = OpenStream | CloseStream | FreshnessChanged


@dataclass(slots=True)
class StreamState:
    """One stream that is open or being opened."""

    source: int  # counts the addresses; all streams of one source use the same version numbers
    opened_at: float
    last_received_at: float  # of the last byte; ``opened_at`` before the first
    first_message_at: float | None = None


class StreamFollower:
    """Follows one service over one stream, with a second beside it while the first is in doubt."""

    DOUBTFUL_INTERVALS = 1.3  # heartbeat intervals without a byte; event loops stall for tenths of a second
    SILENT_INTERVALS = 2.25  # heartbeat intervals without a byte: two heartbeats missed, plus some margin
    # For a connection and the first message: a service responds within ms, one behind a queue within 2 s.
    OPEN_TIMEOUT_MS = 2500.0
    OLD_SOURCE_READ_MS = 5000.0  # for how long a previous source is read once the new one has sent a byte

    __slots__ = (
        "backoff",
        "confirmed_at",
        "freshness",
        "is_started",
        "lease",
        "next_open_at",
        "next_stream",
        "settings",
        "source",
        "streams",
    )

    def __init__(self, settings: FollowerSettings, random: Callable[[], float], now: float):
        self.settings, self.backoff = settings, CallBackoff(settings, random)
        # In the order of their numbers: the established stream, one opened beside it, and after a change of
        # address one to the previous address.
        self.streams: dict[int, StreamState] = {}
        self.next_stream, self.source, self.is_started = 0, 0, False
        self.next_open_at: float | None = None  # when to open the next stream, if one is scheduled
        self.freshness, self.confirmed_at = ListFreshness.BLIND, now
        self.lease: ListLease | None = None  # on the followed data, if that expires

    # --- events ---

    def start(self, now: float) -> list[FollowerAction]:
        """Starts following; does nothing once started."""
        if self.is_started:
            return []
        self.is_started = True
        return [self.open(now)]

    def bytes_received(self, stream: int, now: float) -> list[FollowerAction]:
        """The stream has received bytes; a heartbeat counts as well."""
        if (state := self.streams.get(stream)) is not None:
            state.last_received_at = now
        return self.update_freshness(now, "bytes received again")

    def message_received(self, stream: int, now: float) -> list[FollowerAction]:
        """The stream has delivered a readable message, which makes the streams before it obsolete."""
        state = self.streams.get(stream)
        if state is None:
            return []
        state.last_received_at = now
        state.first_message_at = now if state.first_message_at is None else state.first_message_at
        if self.lease is not None and state.source == self.source:
            self.lease.new_address_confirmed()
        actions: list[FollowerAction] = [
            self.close(number, "superseded by a newer stream") for number in self.streams if number < stream
        ]
        for action in actions:
            del self.streams[action.stream]
        return actions + self.update_freshness(now, "told")

    def stream_ended(self, stream: int, now: float, why: str, connected: bool = True) -> list[FollowerAction]:
        """The peer or the network has ended the stream. ``connected``: its connection was established."""
        state = self.streams.pop(stream, None)
        if state is None:
            return []
        self.schedule_reopen(state, now, connected)
        return self.update_freshness(now, why)

    def address_changed(self, now: float) -> list[FollowerAction]:
        """The service has a new address: a stream to it is opened at once, and the old stream is read until
        the new one delivers a message. Guards against losing a message between the two, and against waiting
        out a pause that began before the change."""
        self.source += 1
        self.is_started = True
        if self.lease is not None:
            self.lease.address_changed(now)
        # Guards against several changes in a row: of the old streams, only the last established one is kept.
        established = [number for number, state in self.streams.items() if state.first_message_at is not None]
        obsolete = [number for number in self.streams if number not in established[-1:]]
        actions: list[FollowerAction] = [self.close(number, "left") for number in obsolete]
        for number in obsolete:
            del self.streams[number]
        return [*actions, self.open(now)]

    def tick(self, now: float) -> list[FollowerAction]:
        """Acts on the passing of time. Everything that has arrived must have been passed in before the call:
        a stalled event loop must not mistake its own silence for that of the peer."""
        actions: list[FollowerAction] = []
        for number, state in list(self.streams.items()):
            if now >= self.expires_at(state):
                del self.streams[number]
                actions.append(self.close(number, "silent"))
                self.schedule_reopen(state, now)
        if self.next_open_at is not None and now >= self.next_open_at:
            actions.append(self.open(now))
        actions += self.update_freshness(now, "silent")
        if (
            self.next_open_at is None
            and (newest := self.newest_established()) is not None
            and now >= self.doubtful_at(newest)
        ):
            # Guards against a half-open connection: a second stream is opened, and both are read.
            actions.append(self.open(now))
        return actions

    # --- queries and transitions ---

    def due(self) -> float:
        """When ``tick`` next has something to do."""
        times = [self.expires_at(state) for state in self.streams.values()]
        if self.next_open_at is not None:
            times.append(self.next_open_at)
        elif (newest := self.newest_established()) is not None:
            times.append(self.doubtful_at(newest))
        return min(times, default=float("inf"))

    def age_ms(self, now: float) -> float:
        """The time since the last message or heartbeat, in ms."""
        return now - self.confirmed_at

    def is_sole_source(self, stream: int) -> bool:
        """Whether no stream of another source that has delivered a message is still open."""
        state = self.streams.get(stream)
        return state is not None and not any(
            other.first_message_at is not None and other.source != state.source
            for other in self.streams.values()
        )

    def newest_established(self) -> StreamState | None:
        """The newest stream, if it has delivered a message; it decides whether another one is opened."""
        newest = next(reversed(self.streams.values()), None)
        return newest if newest is not None and newest.first_message_at is not None else None

    def open(self, now: float) -> OpenStream:
        """Adds a stream to the current address and returns the action that opens it."""
        number, self.next_stream, self.next_open_at = self.next_stream, self.next_stream + 1, None
        self.streams[number] = StreamState(self.source, now, now)
        if self.lease is not None:
            self.lease.set_call_pending(True)
        return OpenStream(number)

    def close(self, number: int, why: str) -> CloseStream:
        """The action that closes a stream; the caller removes it from ``streams``."""
        return CloseStream(number, why)

    def schedule_reopen(self, ended: StreamState, now: float, connected: bool = True) -> None:
        """Schedules another stream after one has gone, if none of the current source is left or all that are
        left are doubtful. The backoff sets the pause by how the stream ended."""
        current = [state for state in self.streams.values() if state.source == self.source]
        if not current or all(
            state.first_message_at is not None and now >= self.doubtful_at(state) for state in current
        ):
            self.next_open_at = now + self.backoff.next_pause_ms(
                None if ended.first_message_at is None else now - ended.first_message_at, connected
            )

    def expires_at(self, state: StreamState) -> float:
        """When a stream is given up if it stays silent, or if a newer source has replaced its own."""
        if state.last_received_at == state.opened_at:
            return state.opened_at + self.OPEN_TIMEOUT_MS
        silent_at = state.last_received_at + self.SILENT_INTERVALS * self.settings.heartbeat_interval_ms
        newer_opened_at = [
            other.opened_at
            for other in self.streams.values()
            if other.source > state.source and other.last_received_at > other.opened_at
        ]
        return min([silent_at, *(opened_at + self.OLD_SOURCE_READ_MS for opened_at in newer_opened_at)])

    def doubtful_at(self, state: StreamState) -> float:
        """From when a stream is in doubt if it stays silent."""
        return state.last_received_at + self.DOUBTFUL_INTERVALS * self.settings.heartbeat_interval_ms

    def update_lease(self, now: float, has_established: bool) -> None:
        """Updates the lease with the state of the streams."""
        if self.lease is None:
            return
        if has_established:
            self.lease.confirm(self.confirmed_at)
        else:
            self.lease.stream_lost(now, self.freshness is not ListFreshness.FRESH)
        self.lease.set_call_pending(any(state.first_message_at is None for state in self.streams.values()))

    def update_freshness(self, now: float, why: str) -> list[FollowerAction]:
        """Recomputes the freshness and reports it if it has changed."""
        established = [state for state in self.streams.values() if state.first_message_at is not None]
        if established:
            self.confirmed_at = max(self.confirmed_at, *(state.last_received_at for state in established))
            freshness = (
                ListFreshness.FRESH
                if any(now < self.doubtful_at(state) for state in established)
                else ListFreshness.DOUBTFUL
            )
        else:
            freshness = ListFreshness.BLIND
        self.update_lease(now, bool(established))
        if (
            (newest := self.newest_established()) is not None
            and newest.source == self.source
            and now < self.doubtful_at(newest)
        ):
            self.next_open_at = None  # the stream that was in doubt has sent bytes again
        if freshness == self.freshness:
            return []
        self.freshness = freshness
        return [FreshnessChanged(freshness, self.confirmed_at, why)]
