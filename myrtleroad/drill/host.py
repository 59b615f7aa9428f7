"""Hosts the balancers of simulated fronts: their request coroutines, server indices and timers.

No decisions are made here."""

from collections.abc import Iterable
from random import Random
from typing import Any

from myrtleroad import interface
from myrtleroad.drill import codec
from myrtleroad.membership.call_backoff import CallBackoff, FollowerSettings, ServiceKind
from myrtleroad.policy.balancer import Balancer
from myrtleroad.request_coroutine import RequestCoroutine
from myrtleroad.settings import decode_settings

# Timer cookies of the balancer's wake-up and of the next call for the server list. Higher ones belong to
# requests.
WAKE_COOKIE, LIST_CALL_COOKIE = 0, 1
# The simulator's protocol has no heartbeats; this is the interval of the platform's protocol.
HEARTBEAT_INTERVAL_MS = 2000.0


class SimulatedFront:
    """One front: its own balancer and the server indices and timers that belong to this front alone."""

    def __init__(self, front_id: int, raw_settings: dict[str, Any], seed: int, now: float):
        self.front_id = front_id
        settings = decode_settings(raw_settings)
        self.balancer = Balancer(settings, seed, now)
        rules = settings.server_rules
        max_poll_interval_ms, service_kind = (
            rules.max_poll_interval_ms or float("inf"),
            ServiceKind.SHARED,
        )  # the list is requested, from a service that all fronts share
        follower_settings = FollowerSettings(
            settings.balancers,
            rules.drain_grace_ms,
            HEARTBEAT_INTERVAL_MS,
            max_poll_interval_ms,
            service_kind,
        )
        self.list_on_request, self.list_backoff = (
            settings.list_on_request,
            CallBackoff(follower_settings, Random(seed).random),
        )
        self.list_received_at: float | None = None  # when the first list since the last failed call came
        self.server_indices: dict[str, int] = {}  # by server id; grows with the fleet, never with requests
        self.server_ids: list[str] = []
        self.open_requests: dict[int, RequestCoroutine] = {}  # entries are removed when their request ends
        # Request and wait number for each timer; entries are removed when their timer fires.
        self.timers: dict[int, tuple[RequestCoroutine, int]] = {}
        self.next_cookie = LIST_CALL_COOKIE + 1
        self.messages: list[dict[str, Any]] = []  # to be sent with the reply to the current batch

    def server_index(self, server_id: str) -> int:
        """The index of a server, assigned when the server is first seen."""
        if server_id not in self.server_indices:
            self.server_indices[server_id] = len(self.server_ids)
            self.server_ids.append(server_id)
        return self.server_indices[server_id]

    def handle_event(self, cmd: str, event: dict[str, Any], now: float, lists: dict[int, Any]) -> None:
        """Processes one event. ``lists`` holds the entries of the server lists by their reference.

        Raises ``codec.ProtocolError`` on an unknown event."""
        balancer = self.balancer
        match cmd:
            case "ACCEPT":
                request = RequestCoroutine(
                    event["job"], balancer.serve_request(codec.decode_request(event, now), now)
                )
                self.open_requests[request.request_id] = request
                self.resume_request(request, None, now)
            case "CLOSED_ATTEMPT":
                ended = codec.decode_attempt_ended(event, self.server_index(event["machine"]))
                balancer.record_outcome(event["job"], ended, now)
                request = self.open_requests.get(event["job"])
                if request and ended.request_finished:
                    self.drop_request(request)
                elif request:
                    self.resume_request(request, ended, now)
            case "RING":
                if event["cookie"] == WAKE_COOKIE:
                    self.perform(balancer.wake(now))
                elif event["cookie"] == LIST_CALL_COOKIE:
                    self.perform([interface.WatchServerList()])
                elif timer := self.timers.pop(event["cookie"], None):
                    request, wait_number = timer
                    if request.wait_number == wait_number:
                        self.resume_request(request, None, now)
            case "CANCELLED_BY_CLIENT":
                if request := self.open_requests.get(event["job"]):
                    self.drop_request(request)
            case "ACCEPTED":
                if request := self.open_requests.get(event["job"]):
                    request.cancel_timeout()  # the response has begun
            case "DISCOVERY":
                if event["kind"] == codec.LIST_UNAVAILABLE:
                    self.schedule_list_call(now)
                    return
                kind = codec.LIST_KINDS[event["kind"]]
                if kind != interface.ListKind.REMEMBERED:
                    self.list_received_at = now if self.list_received_at is None else self.list_received_at
                entries = [
                    codec.decode_server_entry(entry, self.server_index(entry["machine"]))
                    for entry in lists[event.get("ref", 0)]
                ]
                self.perform(balancer.update_server_list(interface.ServerListUpdate(kind, entries), now))
            case "SHIP_STATE":
                self.perform(balancer.update_stage(codec.decode_stage_update(event), now))
            case "BAD_ANSWER":
                balancer.record_bad_response(
                    codec.decode_bad_response(event, self.server_index(event["machine"])), now
                )
            case "SCORECARD":
                balancer.record_counts(codec.decode_attempt_counts(event), now)
            case "PROBED" | "DATAGRAM":
                pass  # the decision module requests no probes and sends no messages to peers
            case _:
                raise codec.ProtocolError(f"unknown event {cmd!r}")

    def start(self, now: float) -> None:
        """Performs the first actions of a new front."""
        self.perform(self.balancer.wake(now))
        if self.list_on_request:
            self.perform([interface.WatchServerList()])

    def schedule_list_call(self, now: float) -> None:
        """Schedules the next call for the server list after the previous one has failed or ended."""
        lasted_ms = None if self.list_received_at is None else now - self.list_received_at
        self.list_received_at = None
        self.add_message(
            codec.encode_action(
                interface.WakeAt(now + self.list_backoff.next_pause_ms(lasted_ms)),
                None,
                None,
                LIST_CALL_COOKIE,
            )
        )

    def drop_request(self, request: RequestCoroutine) -> None:
        """Closes a request that needs no further actions."""
        request.close()
        del self.open_requests[request.request_id]

    def perform(self, actions: Iterable[interface.Action]) -> None:
        """Adds the messages of actions that belong to no request."""
        for action in actions:
            server_id = (
                self.server_ids[action.server]
                if isinstance(action, interface.ProbeServer | interface.CloseIdleConnections)
                else None
            )
            self.add_message(codec.encode_action(action, server_id, None, WAKE_COOKIE))

    def add_message(self, message: dict[str, Any]) -> None:
        """Adds a message of this front to the reply."""
        message["front_id"] = self.front_id
        self.messages.append(message)

    def resume_request(
        self, request: RequestCoroutine, result: interface.AttemptEnded | None, now: float
    ) -> None:
        """Resumes a request and sets the timer of its next wait. ``result`` is None after a timeout and at
        the start."""
        for action in request.resume(result, now):
            server_id = self.server_ids[action.server] if isinstance(action, interface.SendAttempt) else None
            self.add_message(codec.encode_action(action, server_id, request.request_id))
        if request.finished:
            del self.open_requests[request.request_id]
        elif request.max_wait_ms is not None:
            self.timers[self.next_cookie] = (request, request.wait_number)
            self.add_message(
                codec.encode_action(interface.WakeAt(now + request.max_wait_ms), None, None, self.next_cookie)
            )
            self.next_cookie += 1


class Host:
    """All simulated fronts of one process. They share the entries of the server lists and nothing else."""

    def __init__(self) -> None:
        self.fronts: dict[int, SimulatedFront] = {}
        self.lists: dict[int, list[dict[str, Any]]] = {}

    def process_event(self, event: dict[str, Any], now: float, messages_by_front: dict[int, list]) -> bool:
        """Processes one event and stores the messages of the front that it concerned in
        ``messages_by_front``.

        Returns False after the decision module has raised an exception; the front's messages are then
        replaced by the one that reports it."""
        cmd, front_id = event["cmd"], event.get("front_id")
        if cmd == "SNAPSHOT_ROWS":
            self.lists[event["ref"]] = event.get("entries", [])
            return True
        if cmd == "CRASH_NOW":
            self.fronts.pop(front_id, None)
            messages_by_front.pop(front_id, None)
            return True
        try:
            if cmd == "BORN":
                front = SimulatedFront(front_id, event["settings"], event["salt"], now)
                self.fronts[front_id] = front
                front.start(now)
            elif front_id in self.fronts:
                front = self.fronts[front_id]
                front.handle_event(cmd, event, now, self.lists)
            else:
                return True
        except codec.ProtocolError:
            raise
        except Exception as error:
            messages_by_front[front_id] = [codec.failure_message(front_id, cmd, error)]
            return False
        messages_by_front[front_id] = front.messages
        return True

    def process_batch(self, now: float, events: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Processes the events of a batch in order and returns the messages of the reply, front by front in
        the order in which the events first concerned them. ``now`` is in ms. The rest of the batch is
        skipped once an event has failed."""
        messages_by_front: dict[int, list] = {}
        for event in events:
            if not self.process_event(event, now, messages_by_front):
                break
        reply = [message for messages in messages_by_front.values() for message in messages]
        for front_id in messages_by_front:
            if front_id in self.fronts:
                self.fronts[front_id].messages = []
        return reply
