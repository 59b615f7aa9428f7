"""Stand-in for the platform: a stream of stage updates that each front follows, and an endpoint for votes."""

from time import monotonic

import gevent
from gevent import socket

from soak.http_wire import (
    STREAM_RESPONSE_HEAD,
    ConnectionEnded,
    MessageReader,
    address_of,
    encode_chunk,
    open_listener,
    reset_connection,
    response,
)
from soak.records import Records, StageRecord

HEARTBEAT_INTERVAL_S = 1.0  # of the comment line sent on each stream


class Platform:
    """The newest build and its stage. ``set_stage`` sends an update on every open stream."""

    def __init__(self, host: str, build: int, records: Records):
        self.host, self.records = host, records
        self.build, self.stage, self.state, self.cap = build, 0, "released", 0.0
        self.stage_since = monotonic() - 60.0
        self.update_streams: list[tuple[str, socket.socket]] = []  # each is removed when it ends
        self.listeners: dict[str, socket.socket] = {}
        self.vote_count = 0
        self.heartbeat_loop = gevent.spawn(self.send_heartbeats)

    def stage_fields(self) -> dict[str, object]:
        """Returns the current stage under the field names of the protocol."""
        age_ms = int(1000 * (monotonic() - self.stage_since))
        names = ("Revision", "Wave", "State", "MaxShare", "AgeMs")
        return dict(zip(names, (self.build, self.stage, self.state, self.cap, age_ms), strict=True))

    def set_stage(self, build: int, stage: int, state: str, cap: float) -> None:
        """Moves to a stage and sends it to all fronts."""
        self.build, self.stage, self.state, self.cap = build, stage, state, cap
        self.stage_since = monotonic()
        for front, sock in list(self.update_streams):
            self.send_update(front, sock)

    def send_update(self, front: str, sock: socket.socket) -> None:
        """Sends the current stage on one stream and records that."""
        data = "&".join(f"{name}={value}" for name, value in self.stage_fields().items())
        try:
            sock.sendall(encode_chunk(f"event: progress\ndata: {data}\n\n".encode()))
        except OSError:
            self.update_streams.remove((front, sock))
            return
        self.records.stages.append(StageRecord(front, monotonic(), self.build, self.state, self.cap))

    def record_start(self, front: str) -> None:
        """Records the current stage as received: a starting process reads it from its node configuration."""
        self.records.stages.append(StageRecord(front, monotonic(), self.build, self.state, self.cap))

    def new_address(self, front: str) -> str:
        """Returns the address at which this front reaches the platform from now on."""
        sock = open_listener(self.host)
        previous = self.listeners.get(front)
        self.listeners[front] = sock
        gevent.spawn(self.accept_connections, front, sock)
        if previous is not None:
            gevent.spawn_later(1.5, previous.close)
        return address_of(sock)

    def accept_connections(self, front: str, listener: socket.socket) -> None:
        """Accepts connections of one front until the listener closes."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            gevent.spawn(self.serve_connection, front, sock)

    def serve_connection(self, front: str, sock: socket.socket) -> None:
        """Handles one request: opens a stream of stage updates, or counts a vote and responds to it."""
        reader = MessageReader(sock, monotonic)
        try:
            message = reader.read_message()
            if message.start_line[1] == "/v1/bulletin":
                sock.sendall(STREAM_RESPONSE_HEAD)
                self.update_streams.append((front, sock))
                self.send_update(front, sock)
                return
            self.vote_count += 1
            items = "".join(f"<{name}>{value}</{name}>" for name, value in self.stage_fields().items())
            body = f"<Response><entries><item>{items}</item></entries></Response>"
            sock.sendall(response(200, body.encode()))
            sock.close()
        except (ConnectionEnded, OSError):
            sock.close()

    def send_heartbeats(self) -> None:
        """Sends a comment line on every stream, over and over."""
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_S)
            for front, sock in list(self.update_streams):
                try:
                    sock.sendall(encode_chunk(b":\n"))
                except OSError:
                    self.update_streams.remove((front, sock))

    def reset_update_streams(self) -> None:
        """Resets the connections of all streams."""
        for _, sock in self.update_streams:
            reset_connection(sock)
        self.update_streams = []

    def close(self) -> None:
        """Closes all streams and listeners."""
        self.heartbeat_loop.kill()
        self.reset_update_streams()
        for sock in self.listeners.values():
            sock.close()
