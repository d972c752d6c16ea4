"""The broker with the decision module, in virtual time and without sockets."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.task import Clock as Reactor

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import AcceptedRequest, CallReport, CallState, UpstreamCall
from bitternpath.balancer.dispatch.dispatcher import Dispatcher


class BrokerHarness:
    """A broker whose client and upstream client record what it calls."""

    def __init__(
        self,
        effect: m.Effect = m.Effect.UNSAFE,
        endpoints: int = 2,
        handle: Any = None,
        dedup_window: float = 5000.0,
    ) -> None:
        self.reactor = Reactor()
        rows = (
            Endpoint(f"s{k}", f"h:{k}", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0)
            for k in range(endpoints)
        )
        listing = Listing(1, True, tuple(rows))
        self.calls: list[UpstreamCall] = []
        self.cancelled: list[UpstreamCall] = []
        self.answers: list[tuple[Any, ...]] = []
        self.client_left = False
        spec = m.JobClass("job", effect, 80.0, 5000.0, late_value_share=0.5, dedup_window=dedup_window)
        settings = m.Settings((spec,), second_copies=True, try_limit=6, reports_start=True)
        module = self.module = Dispatcher(settings, 1, self.now())
        self.broker = Broker(
            self.reactor, self.now, EndpointRegistry(listing), {"http": self}, handle or module.handle
        )  # type: ignore[arg-type]
        self.broker.endpoints_changed(listing, at_start=True)
        self.advance(1.0)

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0 + 1e6

    def advance(self, ms: float) -> None:
        for _ in range(int(ms)):
            self.reactor.advance(0.001)

    def submit(self, id: str = "a", budget: float = 1000.0) -> AcceptedRequest:
        request = AcceptedRequest(id, "job", self.now() + budget, self, None)
        self.broker.submit(request)
        self.advance(1.0)
        return request

    def call_reported(self, state: CallState, endpoint: str, id: str = "a", result: bytes = b"") -> None:
        self.broker.call_reported(CallReport(id, endpoint, state, None, result))
        self.advance(1.0)

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        self.calls.append(call)

    def cancel(self, call: UpstreamCall) -> None:
        self.cancelled.append(call)

    def served(self, result: bytes) -> None:
        self.answers.append(("served", result))

    def rejected(self, retry_after: float) -> None:
        self.answers.append(("rejected",))

    def failed(self) -> None:
        self.answers.append(("failed",))

    def disconnected(self) -> bool:
        return self.client_left


@pytest.mark.parametrize("effect", list(m.Effect))
def test_an_unresponsive_endpoint_leads_to_an_answer_before_the_deadline(effect: m.Effect) -> None:
    harness = BrokerHarness(effect, endpoints=1)
    harness.submit(budget=500.0)
    harness.advance(480.0)
    assert harness.answers == [] and len(harness.calls) == 1
    harness.advance(19.0)
    assert len(harness.answers) == 1 and harness.cancelled == harness.calls
    assert not harness.broker.in_progress and not harness.broker.unanswered


def test_a_request_with_almost_no_time_left_is_still_answered_by_the_module() -> None:
    # The fallback timer expired before the batch was processed, and the request failed without the module.
    harness = BrokerHarness(m.Effect.SAFE, endpoints=0)
    harness.submit(budget=3.0)
    assert harness.answers == [("rejected",)]


@pytest.mark.parametrize("state", [CallState.DONE, CallState.FAILED, CallState.LOST])
def test_only_the_first_end_of_a_call_counts(state: CallState) -> None:
    harness = BrokerHarness()
    harness.submit()
    endpoint = harness.calls[0].endpoint
    harness.call_reported(state, endpoint, result=b"r")
    for again in CallState:
        harness.call_reported(again, endpoint, result=b"other")
    harness.broker.call_ended(harness.calls[0], m.AttemptOutcome.RESET)
    harness.advance(2000.0)
    assert harness.answers == [("served", b"r") if state is CallState.DONE else ("failed",)]
    assert len(harness.calls) == 1


def test_reports_of_an_endpoint_without_a_call_are_ignored() -> None:
    harness = BrokerHarness()
    harness.submit()
    other = {"s0": "s1", "s1": "s0"}[harness.calls[0].endpoint]
    harness.call_reported(CallState.DONE, other, result=b"r")
    harness.call_reported(CallState.DONE, "s9", id="b")
    assert harness.answers == [] and not harness.calls[0].finished


def test_a_returned_job_is_retried_but_a_duplicate_of_that_report_proves_nothing() -> None:
    # A duplicate of the first call's report must not count as proof that the second call did not run.
    harness = BrokerHarness(endpoints=1)
    harness.submit(budget=4000.0)
    harness.call_reported(CallState.RETURNED, "s0")
    harness.advance(1500.0)
    assert len(harness.calls) == 2
    harness.call_reported(CallState.RETURNED, "s0")
    assert harness.answers == [("failed",)] and len(harness.calls) == 2
    assert harness.cancelled == [harness.calls[1]]  # it may be running


def test_a_repeat_of_a_keyed_job_may_start_only_within_the_window_of_the_first() -> None:
    harness = BrokerHarness(m.Effect.KEYED, dedup_window=1000.0)
    harness.submit(budget=4000.0)
    first = harness.calls[0]
    harness.advance(200.0)
    harness.broker.call_ended(first, m.AttemptOutcome.RESET)
    harness.advance(1.0)
    assert len(harness.calls) == 2 and first.sent < harness.calls[1].sent < harness.calls[1].start_deadline
    assert harness.calls[1].start_deadline < first.sent + 1000.0


def test_a_call_not_sent_because_its_endpoint_drains_goes_elsewhere() -> None:
    harness = BrokerHarness()
    serving = harness.broker.registry.endpoints
    removed = serving.pop("s0")
    for k in range(8):
        harness.submit(f"a{k}")
    assert len(harness.calls) == 8 and not any(call.endpoint == removed.id for call in harness.calls)


def test_calls_of_a_client_that_left_are_cancelled_and_it_gets_no_answer() -> None:
    harness = BrokerHarness()
    harness.broker.withdraw(harness.submit())
    harness.advance(2.0)
    assert harness.cancelled == harness.calls and harness.answers == []
    assert not harness.broker.in_progress and not harness.broker.unanswered


def test_no_call_starts_for_a_client_whose_disconnect_is_not_processed_yet() -> None:
    # A process that was suspended sent calls whose client had disconnected long before.
    harness = BrokerHarness()
    harness.client_left = True
    harness.submit()
    harness.advance(2.0)
    assert (
        harness.calls == []
        and harness.answers == []
        and not harness.broker.in_progress
        and not harness.broker.unanswered
    )


def test_an_exception_in_the_module_fails_one_request_only() -> None:
    # An exception must not lose the request, the rest of the batch, or the module's timers.
    received: list[m.Event] = []

    def handle(now: float, event: m.Event) -> list[m.Action]:
        received.append(event)
        if isinstance(event, m.TimerFired) and received.count(event) == 1:
            raise RuntimeError("alarm")
        if isinstance(event, m.Request):
            if event.id == "bad":
                raise RuntimeError("request")
            return [m.Refuse(event.id), m.StartTimer("sweep", 5.0)]
        return []

    harness = BrokerHarness(handle=handle)
    harness.broker.submit(AcceptedRequest("bad", "job", harness.now() + 500.0, harness, None))
    harness.submit("good")
    assert sorted(harness.answers) == [("failed",), ("rejected",)]
    harness.advance(200.0)
    assert received.count(m.TimerFired("sweep")) == 2 and m.Withdrawn("bad") in received


def test_a_call_that_fails_to_start_may_have_run_and_is_answered_at_once() -> None:
    # An exception in the upstream client must not leave the request unanswered until its deadline.
    harness = BrokerHarness()
    harness.start = lambda call, endpoint: 1 / 0  # type: ignore[method-assign, assignment, return-value]
    harness.submit(budget=4000.0)
    harness.advance(2.0)
    assert harness.answers == [("failed",)] and not harness.broker.in_progress


def test_a_request_that_the_module_ignores_is_answered_before_its_deadline() -> None:
    harness = BrokerHarness(handle=lambda now, event: [])
    harness.submit(budget=100.0)
    harness.advance(99.0)
    assert harness.answers == [("failed",)] and not harness.broker.unanswered


def test_requests_after_the_stop_signal_are_answered_before_the_process_may_be_killed() -> None:
    # Requests accepted late in a planned restart had no answer when the process was killed.
    harness = BrokerHarness()
    harness.broker.answer_deadline = harness.now() + 300.0
    harness.submit(budget=5000.0)
    harness.advance(290.0)
    assert harness.answers == []
    harness.advance(10.0)
    assert harness.answers == [("failed",)]


@pytest.mark.parametrize("effect", list(m.Effect))
def test_a_request_that_an_endpoint_rejects_fails_without_retry_or_learning(effect: m.Effect) -> None:
    # Each such response counted as an error of its endpoint, and the request was retried on all of them.
    harness = BrokerHarness(effect, endpoints=4)
    nets = [class_state.network for class_state in harness.module.class_states.values()]
    harness.submit()
    before = [(net.plus[:], net.minus[:], net.plus_all, net.minus_all) for net in nets]
    harness.broker.call_unusable(harness.calls[0])
    harness.broker.call_ended(harness.calls[0], m.AttemptOutcome.RESET)
    harness.advance(50.0)
    assert harness.answers == [("failed",)] and len(harness.calls) == 1 and not harness.broker.in_progress
    assert before == [(net.plus[:], net.minus[:], net.plus_all, net.minus_all) for net in nets]
    assert all(
        worker.in_flight == 0 and worker.not_started == 0 for worker in harness.module.workers.values()
    )


def test_an_id_is_not_accepted_again_soon_after_its_answer() -> None:
    # A repeat of the id a moment later would have run an unsafe request a second time.
    harness = BrokerHarness()
    harness.submit("a")
    harness.call_reported(CallState.DONE, harness.calls[0].endpoint)
    assert (
        harness.broker.has_seen("a") and not harness.broker.in_progress and not harness.broker.has_seen("b")
    )
    harness.advance(11_000.0)
    harness.submit("b")
    assert not harness.broker.has_seen("a") and harness.broker.has_seen("b")
