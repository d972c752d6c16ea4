"""The core on a clock of its own: no sockets, no waiting."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.task import Clock as Reactor

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import AcceptedRequest, CallReport, CallState, UpstreamCall
from bitternpath.balancer.dispatch.dispatcher import Dispatcher


class Desk:
    """A broker between a client and an upstream client that write down what they are told."""

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
        self.given_up: list[UpstreamCall] = []
        self.answers: list[tuple[Any, ...]] = []
        self.left = False
        spec = m.JobClass("job", effect, 80.0, 5000.0, late_value_share=0.5, dedup_window=dedup_window)
        settings = m.Settings((spec,), second_copies=True, try_limit=6, reports_start=True)
        module = self.module = Dispatcher(settings, 1, self.now())
        self.broker = Broker(
            self.reactor, self.now, EndpointRegistry(listing), {"http": self}, handle or module.handle
        )  # type: ignore[arg-type]
        self.broker.endpoints_changed(listing, at_start=True)
        self.pass_time(1.0)

    def now(self) -> float:
        return self.reactor.seconds() * 1000.0 + 1e6

    def pass_time(self, ms: float) -> None:
        for _ in range(int(ms)):
            self.reactor.advance(0.001)

    def submit(self, id: str = "a", budget: float = 1000.0) -> AcceptedRequest:
        request = AcceptedRequest(id, "job", self.now() + budget, self, None)
        self.broker.submit(request)
        self.pass_time(1.0)
        return request

    def call_reported(self, state: CallState, endpoint: str, id: str = "a", result: bytes = b"") -> None:
        self.broker.call_reported(CallReport(id, endpoint, state, None, result))
        self.pass_time(1.0)

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        self.calls.append(call)

    def give_up(self, call: UpstreamCall) -> None:
        self.given_up.append(call)

    def served(self, result: bytes) -> None:
        self.answers.append(("served", result))

    def rejected(self, retry_after: float) -> None:
        self.answers.append(("rejected",))

    def failed(self) -> None:
        self.answers.append(("failed",))

    def gone(self) -> bool:
        return self.left


@pytest.mark.parametrize("effect", list(m.Effect))
def test_a_silent_endpoint_costs_an_answer_before_the_deadline(effect: m.Effect) -> None:
    desk = Desk(effect, endpoints=1)
    desk.submit(budget=500.0)
    desk.pass_time(480.0)
    assert desk.answers == [] and len(desk.calls) == 1
    desk.pass_time(19.0)
    assert len(desk.answers) == 1 and desk.given_up == desk.calls
    assert not desk.broker.in_progress and not desk.broker.unanswered


def test_an_request_with_next_to_no_time_left_is_still_the_modules_to_answer() -> None:
    # Guards: the last-moment timer was due before the drain, and 'failed' was said without asking the module.
    desk = Desk(m.Effect.SAFE, endpoints=0)
    desk.submit(budget=3.0)
    assert desk.answers == [("rejected",)]


@pytest.mark.parametrize("state", [CallState.DONE, CallState.FAILED, CallState.LOST])
def test_the_first_end_of_a_call_counts(state: CallState) -> None:
    desk = Desk()
    desk.submit()
    endpoint = desk.calls[0].endpoint
    desk.call_reported(state, endpoint, result=b"r")
    for again in CallState:
        desk.call_reported(again, endpoint, result=b"other")
    desk.broker.call_ended(desk.calls[0], m.AttemptOutcome.RESET)
    desk.pass_time(2000.0)
    assert desk.answers == [("served", b"r") if state is CallState.DONE else ("failed",)]
    assert len(desk.calls) == 1


def test_news_from_an_endpoint_that_has_no_call_changes_nothing() -> None:
    desk = Desk()
    desk.submit()
    other = {"s0": "s1", "s1": "s0"}[desk.calls[0].endpoint]
    desk.call_reported(CallState.DONE, other, result=b"r")
    desk.call_reported(CallState.DONE, "s9", id="b")
    assert desk.answers == [] and not desk.calls[0].finished


def test_a_job_handed_back_goes_on_but_a_repeat_of_that_news_proves_nothing() -> None:
    # Guards: a late copy of 'returned' for the first call must not count as proof for a second one there.
    desk = Desk(endpoints=1)
    desk.submit(budget=4000.0)
    desk.call_reported(CallState.RETURNED, "s0")
    desk.pass_time(1500.0)
    assert len(desk.calls) == 2
    desk.call_reported(CallState.RETURNED, "s0")
    assert desk.answers == [("failed",)] and len(desk.calls) == 2
    assert desk.given_up == [desk.calls[1]]  # it may be running


def test_a_repeat_of_a_keyed_job_may_begin_only_inside_the_window_of_the_first() -> None:
    desk = Desk(m.Effect.KEYED, dedup_window=1000.0)
    desk.submit(budget=4000.0)
    first = desk.calls[0]
    desk.pass_time(200.0)
    desk.broker.call_ended(first, m.AttemptOutcome.RESET)
    desk.pass_time(1.0)
    assert len(desk.calls) == 2 and first.sent < desk.calls[1].sent < desk.calls[1].start_deadline
    assert desk.calls[1].start_deadline < first.sent + 1000.0


def test_a_call_not_sent_because_its_endpoint_drains_goes_elsewhere() -> None:
    desk = Desk()
    serving = desk.broker.registry.endpoints
    drained = serving.pop("s0")
    for k in range(8):
        desk.submit(f"a{k}")
    assert len(desk.calls) == 8 and not any(call.endpoint == drained.id for call in desk.calls)


def test_a_client_that_has_gone_has_its_calls_given_up_and_no_answer() -> None:
    desk = Desk()
    desk.broker.withdraw(desk.submit())
    desk.pass_time(2.0)
    assert desk.given_up == desk.calls and desk.answers == []
    assert not desk.broker.in_progress and not desk.broker.unanswered


def test_a_call_for_a_client_that_is_gone_before_anybody_heard_of_it_does_not_begin() -> None:
    # Guards: a process that did not come to look sent what its client had long left.
    desk = Desk()
    desk.left = True
    desk.submit()
    desk.pass_time(2.0)
    assert (
        desk.calls == [] and desk.answers == [] and not desk.broker.in_progress and not desk.broker.unanswered
    )


def test_an_exception_in_the_module_costs_one_failed_answer_and_no_more() -> None:
    # Guards: an exception must not lose the request, the rest of the batch, or the module's alarms.
    heard: list[m.Event] = []

    def handle(now: float, event: m.Event) -> list[m.Action]:
        heard.append(event)
        if isinstance(event, m.TimerFired) and heard.count(event) == 1:
            raise RuntimeError("alarm")
        if isinstance(event, m.Request):
            if event.id == "bad":
                raise RuntimeError("request")
            return [m.Refuse(event.id), m.StartTimer("sweep", 5.0)]
        return []

    desk = Desk(handle=handle)
    desk.broker.submit(AcceptedRequest("bad", "job", desk.now() + 500.0, desk, None))
    desk.submit("good")
    assert sorted(desk.answers) == [("failed",), ("rejected",)]
    desk.pass_time(200.0)
    assert heard.count(m.TimerFired("sweep")) == 2 and m.Withdrawn("bad") in heard


def test_a_call_that_fails_to_start_may_have_run_and_is_answered_at_once() -> None:
    # Guards: an exception in the upstream client must not leave its request waiting for the deadline.
    desk = Desk()
    desk.start = lambda call, endpoint: 1 / 0  # type: ignore[method-assign, assignment, return-value]
    desk.submit(budget=4000.0)
    desk.pass_time(2.0)
    assert desk.answers == [("failed",)] and not desk.broker.in_progress


def test_an_request_that_the_module_forgets_is_answered_all_the_same() -> None:
    desk = Desk(handle=lambda now, event: [])
    desk.submit(budget=100.0)
    desk.pass_time(99.0)
    assert desk.answers == [("failed",)] and not desk.broker.unanswered


def test_what_arrives_after_the_signal_to_stop_is_answered_before_the_process_may_be_killed() -> None:
    # Guards: what was taken late in a planned restart had no answer when the process was killed.
    desk = Desk()
    desk.broker.answer_deadline = desk.now() + 300.0
    desk.submit(budget=5000.0)
    desk.pass_time(290.0)
    assert desk.answers == []
    desk.pass_time(10.0)
    assert desk.answers == [("failed",)]


@pytest.mark.parametrize("effect", list(m.Effect))
def test_what_an_endpoint_cannot_use_fails_without_another_try_or_a_lesson(effect: m.Effect) -> None:
    # Guards: each answer of that kind was an error, tried on every endpoint and held against each of them.
    desk = Desk(effect, endpoints=4)
    nets = [class_state.network for class_state in desk.module.class_states.values()]
    desk.submit()
    before = [(net.plus[:], net.minus[:], net.plus_all, net.minus_all) for net in nets]
    desk.broker.call_unusable(desk.calls[0])
    desk.broker.call_ended(desk.calls[0], m.AttemptOutcome.RESET)
    desk.pass_time(50.0)
    assert desk.answers == [("failed",)] and len(desk.calls) == 1 and not desk.broker.in_progress
    assert before == [(net.plus[:], net.minus[:], net.plus_all, net.minus_all) for net in nets]
    assert all(worker.in_flight == 0 and worker.not_started == 0 for worker in desk.module.workers.values())


def test_an_id_is_not_taken_again_soon_after_its_answer() -> None:
    # Guards: the same id a moment later would have run a second time what must run once.
    desk = Desk()
    desk.submit("a")
    desk.call_reported(CallState.DONE, desk.calls[0].endpoint)
    assert desk.broker.has_seen("a") and not desk.broker.in_progress and not desk.broker.has_seen("b")
    desk.pass_time(11_000.0)
    desk.submit("b")
    assert not desk.broker.has_seen("a") and desk.broker.has_seen("b")
