"""One client connection: reads its requests, passes them on and writes their final responses."""

import contextlib
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from myrtleroad.admission.request_memory import counted_bytes
from myrtleroad.admission.response_memory import ResponseLease
from myrtleroad.net import http1, response, socket_io
from myrtleroad.net.actor import report_fault
from myrtleroad.net.dispatcher import ClientGone, RequestReceived
from myrtleroad.net.loop_turn import TurnQuota, current_turn
from myrtleroad.net.read_delay import last_data_age_ms

if TYPE_CHECKING:
    from myrtleroad.net.client_listener import ClientListener

# A connection without an open request is closed after this: the least that the protocol allows, because
# clients leave connections behind.
IDLE_TIMEOUT_MS = 2000.0
# To receive a whole request, from its first byte, or from connecting for the first request of a connection.
# The documented limit is 3 s.
REQUEST_READ_TIMEOUT_MS = 2500.0
NEW_CONNECTION_MS = 250.0  # in which a client that connects sends its request
LINGER_TIMEOUT_MS = 1000.0  # for a client to read the last response and close before the front closes
# For a client to read a response: the system's buffers hold 64 KiB, and a client that reads needs
# milliseconds.
WRITE_TIMEOUT_MS = 2000.0
ANSWERS_PER_TURN = 8  # of the event loop, to one client and without a wait for anything
FIRST_READ_BYTES = 4096  # a head and a short body
# Between checks whether a client has left while its next request waits unread; reading does not show it then.
DISCONNECT_POLL_S = 0.05
# Bytes read and discarded after the last response. Closing with unread bytes would reset the connection and
# cut that response off.
MAX_DISCARDED_BYTES = 256 * 1024
# The client has disconnected, or this side has closed the socket.
DISCONNECT_ERRNOS = (
    errno.EBADF,
    errno.ECONNRESET,
    errno.ENOTCONN,
    errno.EPIPE,
)


class ClientConnection:
    """One client connection. Its own greenlet reads requests; a response that the system does not take at
    once is written by another greenlet."""

    __slots__ = (
        "answers_at_once",
        "closing",
        "counted_tenant",
        "discarded_bytes",
        "first_turn",
        "has_received_request",
        "held_request",
        "listener",
        "loop_turn",
        "open_request_id",
        "overdue_from",
        "parser",
        "peer_ip",
        "pipelined_since",
        "ready_for_request",
        "response_due",
        "response_lease",
        "shed_only",
        "sock",
        "start_delay_ms",
        "timed_from",
        "write_started_at",
    )

    def __init__(
        self, listener: "ClientListener", sock: socket.socket, peer_ip: str = "", shed_only: bool = False
    ):
        self.listener, self.sock, self.peer_ip = listener, sock, peer_ip
        self.shed_only = shed_only  # accepted beyond the limit: its first request is shed and is its last
        self.counted_tenant: str | None = None  # the tenant whose limits count the open request
        self.parser = http1.RequestParser()
        self.open_request_id: int | None = None  # the request that the dispatcher has
        self.response_due = False  # a request has no response yet; only the first response is written
        # What memory is counted for: the whole request that is open, and the response that is being written.
        self.held_request: http1.Message | None = None
        self.response_lease: ResponseLease | None = None
        self.ready_for_request = Event()  # set while no response is due
        self.ready_for_request.set()
        # Whether the next response is the last or the last is already written; whether a whole request came.
        self.closing, self.has_received_request = False, False
        self.discarded_bytes = 0  # read after the last response
        # Time from connecting until the reader started, and the event loop's turn in which it started.
        self.start_delay_ms, self.first_turn = 0.0, 0
        self.pipelined_since: float | None = None  # since when bytes of a next request have waited here
        # The time of accepting, of the last response's end, or of the first byte of a later request.
        self.timed_from = listener.clock()
        self.overdue_from: float | None = None  # ``timed_from`` of the request that a sweep found overdue
        self.write_started_at: float | None = None  # None while no response is being written
        self.loop_turn = current_turn()
        # Requests that the listener answers itself, which does not wait for anything.
        self.answers_at_once = TurnQuota(self.loop_turn, ANSWERS_PER_TURN)

    @property
    def is_idle(self) -> bool:
        """Whether no response is due and no part of a request has been read."""
        return self.ready_for_request.is_set() and not self.parser.started

    def is_new(self, now: float) -> bool:
        """Whether the connection, or the request that it has received in part, is too new to be given up for
        others: usual clients' requests are whole after a moment."""
        return now - self.timed_from < NEW_CONNECTION_MS

    def run(self) -> None:
        """Reads requests until the connection ends, then releases all that it holds."""
        self.start_delay_ms, self.first_turn = (
            self.listener.clock() - self.timed_from,
            self.listener.read_delay.turns,
        )
        try:
            self.read_requests()
        except OSError as error:
            if error.errno not in DISCONNECT_ERRNOS:
                self.handle_read_error()
        except Exception as error:
            report_fault("client", error, self.listener.counters, self.listener.log)
            self.handle_reader_fault()
        finally:
            if self.open_request_id is not None:
                self.listener.deliver(ClientGone(self.open_request_id))
            self.release_tenant()
            self.close()
            self.parser.close()

    def handle_read_error(self) -> None:
        """Waits for the due response: nothing more can be read, but a response may still reach the client."""
        self.closing = True
        self.ready_for_request.wait()

    def handle_reader_fault(self) -> None:
        """Makes sure that a request gets its response in spite of a fault in its reader: from the dispatcher
        if that has the request, otherwise status 500."""
        self.closing = True
        if self.open_request_id is None and (self.response_due or self.parser.started):
            self.reject(500)
        self.ready_for_request.wait()

    def read_requests(self) -> None:
        """Keeps reading while a request is open, so that a client's disconnect is noticed at once."""
        rest: memoryview | bytes = b""
        while data := rest or self.receive():
            if self.closing:
                rest = b""  # bytes after the last response are not parsed as a request
                self.discarded_bytes += len(data)
                if self.discarded_bytes > MAX_DISCARDED_BYTES:
                    self.ready_for_request.wait()
                    return
            elif not self.ready_for_request.is_set():
                rest = bytes(data)  # pipelined bytes wait until the open request has its response
                if self.pipelined_since is None:
                    self.pipelined_since = self.listener.clock()
                if not self.wait_for_response():
                    return
            elif rest and socket_io.has_left(self.sock):
                return  # what it sent ahead is not begun for a client that has gone
            else:
                rest = self.parse(data)
            self.let_others_run(bool(rest))

    def let_others_run(self, has_more: bool) -> None:
        """Gives way to others between two pieces of input. Guards against a client that sends as fast as it
        is read: no read of its bytes waits."""
        if has_more or self.parser.started or self.closing:
            self.loop_turn.wait_if_over(for_client=True)
        elif self.ready_for_request.is_set():
            self.answers_at_once.use()

    def receive(self) -> memoryview:
        """Waits for bytes. The first read of a request is a short one: hundreds of clients may send long ones
        at the same moment, and only the later reads take turns."""
        return socket_io.receive(self.sock, 0 if self.parser.started or self.closing else FIRST_READ_BYTES)

    def parse(self, data: memoryview | bytes) -> bytes:
        """Parses at most one request from the data; returns the bytes after it."""
        parser = self.parser
        if self.has_received_request and not parser.started:
            self.timed_from = self.listener.clock()
        try:
            consumed = parser.feed(data)
        except http1.HttpError as error:
            self.reject(error.status)
            return b""
        rest = bytes(data[consumed:])
        if not self.hold_memory():
            return b""
        if parser.complete:
            read_delay_ms = self.read_delay_ms()
            self.has_received_request, self.response_due = True, True
            self.ready_for_request.clear()
            self.handle_request(parser.take_message(), read_delay_ms)
        elif parser.expects_continue:
            parser.expects_continue = False
            socket_io.send(self.sock, [http1.CONTINUE])
        if not rest:
            self.pipelined_since = None
        return rest

    def hold_memory(self) -> bool:
        """Counts the memory of the current request, and sheds the requests for which there is none; returns
        False if this one was shed."""
        memory, parser = self.listener.request_memory, self.parser
        held_bytes = counted_bytes(parser.held_bytes)
        if not held_bytes:
            return True
        if not parser.complete:
            evicted = memory.hold_partial(self, held_bytes)
        else:
            memory.release(self)
            self.held_request = parser.message
            evicted = memory.hold_complete(self.held_request, held_bytes)
        for holder in evicted:
            connection = self if holder is self.held_request else holder
            connection.end_with(self.listener.out_of_memory())
        return self not in evicted and self.held_request not in evicted

    def wait_for_response(self) -> bool:
        """Waits until the due response has been written; returns False if the client disconnects first."""
        while not self.ready_for_request.wait(DISCONNECT_POLL_S):
            if socket_io.has_left(self.sock):
                return False
        return True

    def read_delay_ms(self) -> float:
        """How long the request that is complete now waited to be read: the longest of the waits for the event
        loop, in the system's buffer and behind another request, and for a request that came with its
        connection the wait until this greenlet started."""
        delay_ms = max(self.listener.read_delay.current_ms(), last_data_age_ms(self.sock))
        if self.pipelined_since is not None:
            delay_ms = max(delay_ms, self.listener.clock() - self.pipelined_since)
        return (
            max(delay_ms, self.start_delay_ms)
            if not self.has_received_request and self.listener.read_delay.turns == self.first_turn
            else delay_ms
        )

    def handle_request(self, message: http1.Message, read_delay_ms: float) -> None:
        """Passes a request to the dispatcher, or responds at once if it is rejected or shed here."""
        listener, now = self.listener, self.listener.clock()
        self.closing = not message.keep_alive
        request = listener.parse_request(message, now - read_delay_ms)
        if self.shed_only:
            self.closing = True
            request = request if isinstance(request, response.Response) else listener.overloaded()
        if (
            not isinstance(request, response.Response)
            and (early_response := listener.check_read_delay(request, message, read_delay_ms, now))
            is not None
        ):
            request = early_response
        if (
            not isinstance(request, response.Response)
            and (early_response := listener.check_limits(self, request, now)) is not None
        ):
            request = early_response
        if isinstance(request, response.Response):
            self.respond(request)
        else:
            self.open_request_id = request.id
            listener.deliver(RequestReceived(request, message, now, self.respond, read_delay_ms))

    def reject(self, status: int) -> None:
        """Rejects a request whose framing is lost or which stays incomplete."""
        self.end_with(response.rejected(status))

    def end_with(self, last_response: response.Response) -> None:
        """Writes the last response of a connection, in the middle of a request, and drops what came of it."""
        self.closing, self.response_due = True, True
        self.ready_for_request.clear()
        self.parser.reset()
        self.respond(last_response)

    def respond(self, final_response: response.Response) -> None:
        """Writes the final response of the open request, from any greenlet; never blocks. Without effect if
        no response is due."""
        if not self.response_due:
            return  # it has its response already, or the client has disconnected
        self.open_request_id, self.response_due = None, False
        self.release_tenant()
        self.release_request()
        self.closing = self.closing or self.listener.stopping or self.listener.is_crowded
        self.listener.counters.add(f"answers_{final_response.status}")
        self.write_started_at = self.listener.clock()
        self.response_lease = final_response.lease
        parts = self.serialize(final_response)
        unsent = self.close_on_error(lambda: socket_io.send_nowait(self.sock, parts))
        if unsent:
            gevent.spawn(self.write_rest, unsent)
        else:
            self.finish_response()

    def serialize(self, final_response: response.Response) -> list[bytes]:
        """Returns a response as bytes. A response that cannot be serialized is replaced by status 502, as the
        connection's last."""
        try:
            return final_response.serialize(self.closing)
        except Exception as error:
            report_fault("answer", error, self.listener.counters, self.listener.log)
            self.closing = True
            return response.bad_gateway().serialize(True)

    def release_tenant(self) -> None:
        """Ends the counting of the open request among its tenant's."""
        if self.counted_tenant is not None and self.listener.request_limits is not None:
            self.listener.request_limits.release(self.counted_tenant)
        self.counted_tenant = None

    def release_request(self) -> None:
        """Ends the counting of the memory of the current request."""
        memory = self.listener.request_memory
        memory.release(self)
        if self.held_request is not None:
            memory.release(self.held_request)
            self.held_request = None

    def write_rest(self, unsent: list[memoryview]) -> None:
        """Writes what the system did not take of a response at once, as the client reads."""
        self.close_on_error(lambda: socket_io.send_all(self.sock, unsent))
        self.finish_response()

    def close_on_error(self, write: Callable[[], list[memoryview] | None]) -> list[memoryview] | None:
        """Closes the connection if a response cannot be written; otherwise its reader would wait for it for
        ever."""
        try:
            return write()
        except OSError:
            self.close()
        except Exception as error:
            report_fault("answer", error, self.listener.counters, self.listener.log)
            self.close()
        return None

    def finish_response(self) -> None:
        """Makes the connection ready for its next request, or shuts down sending after the last response."""
        if self.closing:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.timed_from, self.write_started_at, self.response_lease = self.listener.clock(), None, None
        self.ready_for_request.set()

    def close(self) -> None:
        """Closes the socket and removes the connection from its listener."""
        self.closing, self.response_lease = True, None
        self.sock.close()
        self.listener.connections.discard(self)
        self.release_request()

    def check_timeouts(self, now: float) -> None:
        """Applies the connection's timeouts; they do not affect a request that the dispatcher has."""
        if not self.ready_for_request.is_set():
            if self.write_started_at is not None and now - self.write_started_at > WRITE_TIMEOUT_MS:
                self.listener.counters.add("writes_given_up")
                self.close()
        elif self.closing:
            if now - self.timed_from > LINGER_TIMEOUT_MS:
                self.close()
        elif self.parser.started:
            if now - self.timed_from > REQUEST_READ_TIMEOUT_MS:
                self.reject_overdue()
        elif now - self.timed_from > IDLE_TIMEOUT_MS and socket_io.peek(self.sock) is None:
            self.listener.counters.add("idle_closed")
            self.close()

    def reject_overdue(self) -> None:
        """Rejects a request that is not whole after its time. Bytes that wait unread may be the rest of it,
        as after a pause of this process; they have been read by the next sweep, and what comes later is too
        late."""
        if self.overdue_from == self.timed_from or socket_io.peek(self.sock) is None:
            self.reject(408)
        self.overdue_from = self.timed_from
