"""The stream of one front: frames in and out, as described in docs/formats/config-stream.md."""

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.config.frames import Frame, FrameDecoder, FrameError, encode_frame
from myrtleroad.config.ledger import NO_VERSION, VersionId
from myrtleroad.net.listening_socket import try_set_option

HEARTBEAT_S, SILENCE_TIMEOUT_S = 2.0, 5.0  # as in the fronts: docs/formats/config-stream.md
MAX_QUEUED_FRAMES = 64  # queued frames for a front; a front that reads none of them is disconnected
READ_BYTES = 64 * 1024


@dataclass(slots=True, eq=False)
class FrontStream:
    """The stream of one front. Its writer sends queued frames; its reader posts received frames to the
    actor."""

    sock: socket.socket
    name: str = ""  # set by its hello frame
    queue: SimpleQueue = field(default_factory=SimpleQueue)
    nonce: int = 0
    holds: VersionId = NO_VERSION

    def put(self, frame: bytes) -> None:
        """Queues a frame, or ends the stream if too many are queued."""
        if self.queue.qsize() >= MAX_QUEUED_FRAMES:
            self.close()
        else:
            self.queue.put(frame)

    def close(self) -> None:
        """Ends the stream after the queued frames."""
        self.queue.put(None)


@dataclass(slots=True, frozen=True)
class FrameReceived:
    """A frame of a front, or the end of its stream."""

    stream: FrontStream
    frame: Frame | None  # None: end of the stream


def read_frames(stream: FrontStream, post: Callable[[FrameReceived], None]) -> str:
    """Reads the frames of one front and posts them until its stream ends, and then the end. Returns the error
    that ended it, or an empty text."""
    decoder, failure = FrameDecoder(), ""
    writer = gevent.spawn(write_frames, stream)
    try:
        try_set_option(stream.sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        stream.sock.settimeout(SILENCE_TIMEOUT_S)
        while data := stream.sock.recv(READ_BYTES):
            for frame in decoder.feed(data):
                post(FrameReceived(stream, frame))
    except (OSError, FrameError) as error:
        failure = f"{type(error).__name__}: {error}"
    finally:
        writer.kill(block=False)
        stream.sock.close()
        post(FrameReceived(stream, None))
    return failure


def write_frames(stream: FrontStream) -> None:
    """Sends queued frames and heartbeats. A front that does not read delays only its own stream."""
    try:
        while True:
            frame = None
            with gevent.Timeout(HEARTBEAT_S, False):
                frame = stream.queue.get()
                if frame is None:
                    stream.sock.shutdown(socket.SHUT_RDWR)
                    return
            stream.sock.sendall(frame if frame is not None else encode_frame("alive"))
    except OSError:
        pass  # the reader sees the error too
