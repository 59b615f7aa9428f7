"""Each request gets exactly one response and the counters add up, in any order of arrivals, delays, outcomes,
client disconnects, faults and advances of the clock."""

import pytest
from conftest import build_node_config, discovery_entry, null_log
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from myrtleroad import interface
from myrtleroad.admission.request_accounting import unaccounted_requests
from myrtleroad.net import dispatcher, upstream_server
from myrtleroad.net.counters import Counters
from myrtleroad.net.exchange_result import ExchangeFailure, ExchangeProgress, FailureCause, UpstreamResponse

RESULTS = {
    interface.Outcome.COMPLETED: UpstreamResponse(200, [], [b"hi"]),
    interface.Outcome.ERRORED: UpstreamResponse(500),
    interface.Outcome.FULL: UpstreamResponse(503, [(b"X-Turned-Away", b"1")]),
    interface.Outcome.TIMEOUT: ExchangeFailure(ExchangeProgress.WRITTEN, FailureCause.TIMEOUT),
    interface.Outcome.RESET: ExchangeFailure(ExchangeProgress.WRITTEN, FailureCause.ENDED),
    interface.Outcome.NOT_CONNECTED: ExchangeFailure(ExchangeProgress.NOT_CONNECTED, FailureCause.REFUSED),
    interface.Outcome.MOOT: ExchangeFailure(ExchangeProgress.CONNECTED, FailureCause.WITHDRAWN),
}


class AccountingMachine(RuleBasedStateMachine):
    """A dispatcher whose requests, server actors and clock are driven by the rules."""

    request_ids = Bundle("request_ids")

    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0
        node_config = build_node_config(
            *(discovery_entry(f"s-{number}", ("127.0.0.1", 9)) for number in range(3))
        )
        self.dispatcher = dispatcher.Dispatcher(node_config, lambda: self.now, Counters(), null_log)
        self.dispatcher.start()
        self.deadlines, self.responses, self.disconnected = {}, {}, set()
        self.unhandled, self.running_jobs, self.executed = [], [], {}
        self.last_request_id = 0

    def collect_jobs(self):
        """Moves the attempts from the server actors' mailboxes to ``running_jobs``."""
        for server in self.dispatcher.servers.values():
            while server.mailbox.qsize():
                message = server.mailbox.get()
                if isinstance(message, upstream_server.StartAttempt):
                    job = message.job
                    assert job.request_id not in self.disconnected and not self.responses.get(job.request_id)
                    # A request that may have been executed isn't sent again if its route forbids that.
                    assert (
                        self.dispatcher.open_requests[job.request_id].received.request.route == 0
                        or job.request_id not in self.executed
                    )
                    self.running_jobs.append(job)

    @rule(
        target=request_ids,
        route=st.integers(0, 1),
        within_ms=st.floats(1.0, 900.0),
        read_delay_ms=st.floats(0.0, 300.0),
    )
    def arrive(self, route, within_ms, read_delay_ms):
        self.last_request_id += 1
        request_id = self.last_request_id
        request = interface.Request(
            request_id, route, 0, None, self.now - read_delay_ms + within_ms, 0.0, False
        )
        message = dispatcher.Message(b"GET", b"/api", first_values={b"x-txn": b"%d" % request_id})
        self.deadlines[request_id], self.responses[request_id] = request.deadline, []

        def respond(final):
            self.responses[request_id].append((final, self.now))

        self.unhandled.append(dispatcher.RequestReceived(request, message, self.now, respond, read_delay_ms))
        return request_id

    @rule(count=st.integers(1, 5))
    def handle_messages(self, count):
        for message in self.unhandled[:count]:
            self.dispatcher.handle(message)
        del self.unhandled[:count]
        self.collect_jobs()

    @rule(job_index=st.integers(0), outcome=st.sampled_from(list(RESULTS)), fault=st.booleans())
    def finish_attempt(self, job_index, outcome, fault):
        if not self.running_jobs:
            return
        job = self.running_jobs.pop(job_index % len(self.running_jobs))
        if outcome not in interface.NOT_EXECUTED:
            self.executed[job.request_id] = True
        if fault:
            self.dispatcher.load_report = lambda message: 1 / 0
        self.dispatcher.attempt_ended(
            upstream_server.AttemptResult(job, outcome, self.now - job.decided_at, RESULTS[outcome])
        )
        self.dispatcher.process_ended_attempts()
        if fault:
            del self.dispatcher.load_report
        self.collect_jobs()

    @rule(request_id=request_ids)
    def client_disconnects(self, request_id):
        if all(message.request.id != request_id for message in self.unhandled):
            self.disconnected.add(request_id)
            self.dispatcher.handle(dispatcher.ClientGone(request_id))

    @rule(duration_ms=st.floats(0.0, 400.0))
    def pass_time(self, duration_ms):
        self.now += duration_ms
        self.dispatcher.run_timers(self.now)
        self.dispatcher.expire_requests(self.now)
        self.collect_jobs()

    @invariant()
    def each_request_has_at_most_one_response_and_the_counters_add_up(self):
        assert all(len(responses) <= 1 for responses in self.responses.values())
        assert unaccounted_requests(self.dispatcher.counters.counts, len(self.dispatcher.open_requests)) == 0

    @invariant()
    def no_request_is_open_past_its_deadline(self):
        if self.now >= self.dispatcher.next_expiry_check - dispatcher.DEADLINE_SLACK_MS:
            checked_at = self.dispatcher.next_expiry_check - dispatcher.DEADLINE_SLACK_MS
            assert all(
                request.received.request.deadline + dispatcher.DEADLINE_SLACK_MS >= checked_at
                for request in self.dispatcher.open_requests.values()
            )

    def teardown(self):
        self.handle_messages(len(self.unhandled))
        self.now += 2 * 900.0
        self.dispatcher.expire_requests(self.now)
        for request_id, responses in self.responses.items():
            assert len(responses) == 1 or request_id in self.disconnected, request_id
        assert not self.dispatcher.open_requests
        for job in self.running_jobs:
            self.dispatcher.attempt_ended(
                upstream_server.AttemptResult(
                    job, interface.Outcome.RESET, 1.0, RESULTS[interface.Outcome.RESET]
                )
            )
        self.dispatcher.process_ended_attempts()
        assert not self.dispatcher.ids_in_use  # no request leaves state behind, so none accumulates


AccountingMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestAccounting = AccountingMachine.TestCase


@pytest.mark.parametrize("guard", ["expire_requests", "release_id"])
def test_the_accounting_machine_detects_a_disabled_guard(monkeypatch, guard):
    monkeypatch.setattr(dispatcher.Dispatcher, guard, lambda self, argument: None)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            AccountingMachine, settings=settings(AccountingMachine.TestCase.settings, print_blob=False)
        )


def test_an_unaccounted_request_is_logged_once():
    accounting = AccountingMachine()
    lines = []
    accounting.dispatcher.log = lambda event, **fields: lines.append((event, fields.get("reqs")))
    accounting.arrive(0, 500.0, 0.0)
    accounting.handle_messages(1)
    accounting.dispatcher.open_requests.clear()
    accounting.pass_time(100.0)
    accounting.pass_time(100.0)
    assert [line for line in lines if line[0] == "account off"] == [("account off", 1)]
    assert accounting.dispatcher.counters.counts["account_off"] == 1
