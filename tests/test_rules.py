"""The rules that every decision must keep, tested on the decision module alone."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import DispatcherHarness, entry, finals, job_class, listing, sends
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternpath.balancer import messages as m

NOT_EXECUTED = [m.AttemptOutcome.FULL, m.AttemptOutcome.NO_CONNECTION, m.AttemptOutcome.NOT_SENT]
MAY_HAVE_RUN = [
    m.AttemptOutcome.ERROR,
    m.AttemptOutcome.TIMEOUT,
    m.AttemptOutcome.RESET,
    m.AttemptOutcome.CANCELLED,
]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_job_that_may_have_run_is_neither_resent_nor_refused(outcome: m.AttemptOutcome) -> None:
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE))
    (send,) = sends(harness.request("r"))
    actions = harness.end_attempt("r", send.worker, outcome)
    assert actions == [m.Fail("r")]


@pytest.mark.parametrize("outcome", NOT_EXECUTED)
def test_unsafe_job_that_never_ran_goes_to_another_worker(outcome: m.AttemptOutcome) -> None:
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE))
    (send,) = sends(harness.request("r"))
    (again,) = sends(harness.end_attempt("r", send.worker, outcome))
    assert again.worker != send.worker


def test_keyed_job_is_repeated_only_in_its_dedup_scope_and_window() -> None:
    rows = [entry(f"w{k}", "ab"[k // 3], k // 2) for k in range(6)]
    for group, partners in (
        (m.DedupScope.ZONE, {0: {1, 2}, 3: {4, 5}}),
        (m.DedupScope.CELL, {0: {1}, 2: {3}, 4: {5}}),
    ):
        for seed in range(12):
            harness = DispatcherHarness(
                job_class(effect=m.Effect.KEYED, dedup_scope=group), workers=rows, seed=seed
            )
            (send,) = sends(harness.request("r"))
            again = sends(harness.end_attempt("r", send.worker, m.AttemptOutcome.ERROR))
            assert len(again) == 1
            old, new = int(send.worker[1]), int(again[0].worker[1])
            assert any({old, new} <= {k, *v} for k, v in partners.items())
    harness = DispatcherHarness(job_class(effect=m.Effect.KEYED, dedup_window=100.0), workers=rows)
    (send,) = sends(harness.request("r"))
    assert not sends(harness.end_attempt("r", send.worker, m.AttemptOutcome.ERROR, after=95.0))


def test_final_answer_comes_before_the_deadline_where_no_worker_is_known() -> None:
    harness = DispatcherHarness(workers=[])
    assert not finals(harness.request("r", remaining=150.0))
    start = harness.now
    actions = []
    while not finals(actions) and harness.now < start + 400:
        actions = harness.run_sweeps(harness.dispatcher.sweep_interval)
    assert finals(actions) and harness.now <= start + 150.0


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE))
    (send,) = sends(harness.request("r", remaining=300.0))
    assert finals(harness.end_attempt("r", send.worker, m.AttemptOutcome.TIMEOUT, after=300.0)) == [
        m.Fail("r")
    ]


@pytest.mark.parametrize("state", [m.WorkerState.DRAINING, m.WorkerState.GONE])
def test_nothing_goes_to_a_draining_worker(state: m.WorkerState) -> None:
    harness = DispatcherHarness(workers=2)
    harness.handle(listing(entry("w0", state=state), kind=m.ListKind.CHANGES))
    assert {s.worker for k in range(30) for s in sends(harness.request(f"r{k}"))} == {"w1"}
    harness.handle(listing(entry("w0"), kind=m.ListKind.CHANGES))
    assert "w0" in {s.worker for k in range(30, 60) for s in sends(harness.request(f"r{k}"))}


def test_worker_missing_from_a_complete_list_gets_nothing_more() -> None:
    harness = DispatcherHarness(workers=2)
    harness.handle(listing(entry("w1"), kind=m.ListKind.COMPLETE))
    assert {s.worker for k in range(30) for s in sends(harness.request(f"r{k}"))} == {"w1"}


def test_cold_worker_is_not_overloaded_by_all_dispatchers_together() -> None:
    """Many dispatchers with few jobs each: their sum stays near the worker's current share of capacity."""
    span, dispatchers, cold_sends, warm_sends = 1000.0, 20, 0, 0
    for seed in range(dispatchers):
        cold = {"cold_share": 0.33, "warm_within": 8800.0, "overload_span": span}
        harness = DispatcherHarness(workers=10, seed=seed, dispatchers=dispatchers, **cold)
        for turn in range(600):
            if turn == 500:
                harness.handle(listing(entry("cold", up_since=harness.now), kind=m.ListKind.CHANGES))
            for send in sends(harness.request(f"r{turn}")):
                cold_sends += send.worker == "cold"
                warm_sends += send.worker == "w1" and turn >= 500
                harness.end_attempt(f"r{turn}", send.worker, m.AttemptOutcome.OK, after=1.0)
            harness.run_sweeps(1.0)
    assert 0 < cold_sends < 0.8 * warm_sends


def test_a_failed_list_call_is_retried_with_growing_delays() -> None:
    harness = DispatcherHarness(list_on_request=True)
    delays = []
    for _ in range(6):
        actions = harness.handle(m.WorkerList(m.ListKind.FAILED))
        delays += [a.delay for a in actions if isinstance(a, m.StartTimer) and a.label == "watch"]
        assert any(
            isinstance(a, m.SubscribeToWorkers) for a in harness.handle(m.TimerFired("watch"), delays[-1])
        )
    assert len(delays) == 6
    assert delays[-1] > 3 * delays[0] and max(delays) < 10_000.0


@pytest.mark.parametrize("must_ask_within", [2_000.0, 10_000.0, 60_000.0])
def test_a_failed_list_call_is_retried_before_a_change_counts_as_delivered(must_ask_within: float) -> None:
    # The delay between retries grew to 7.5 s. A change counts as delivered after 6 s, and a call may hang for
    # 1 s.
    for seed in range(50):
        harness = DispatcherHarness(list_on_request=True, must_ask_within=must_ask_within, seed=seed)
        actions = list(harness.initial_actions)
        for _ in range(6):
            actions += harness.handle(m.WorkerList(m.ListKind.FAILED))
        assert max(a.delay for a in actions if isinstance(a, m.StartTimer) and a.label == "watch") <= 4_500.0


@pytest.mark.parametrize("outcome", [m.AttemptOutcome.RESET, m.AttemptOutcome.CANCELLED])
def test_a_cold_worker_that_may_still_run_a_reset_job_is_not_idle(
    outcome: m.AttemptOutcome,
) -> None:
    # A worker whose jobs were reset at once counted as idle, so it got more jobs than its cold share allows.
    cold = {"cold_share": 0.2, "warm_within": 15_000.0, "overload_span": 1000.0, "overload_multiple": 4.0}
    for seed in range(30):
        harness = DispatcherHarness(workers=[entry("cold", up_since=1_000_000.0)], seed=seed, **cold)
        sent, k = list[m.Send](), 0
        while not sent:
            sent, k = sends(harness.request(f"r{k}") + harness.run_sweeps(10.0)), k + 1
        actions = harness.end_attempt(sent[0].id, "cold", outcome, after=1.0)
        for more in range(10):  # 500 of the 1000 ms that a job counts for while no running time is known
            actions += harness.request(f"s{more}") + harness.run_sweeps(10.0)
        assert not sends(actions)


class RuleChecker:
    """Records attempts and answers, and asserts the rules for every action of the module."""

    def __init__(self, effect: m.Effect, group: m.DedupScope, seed: int, second_copies: bool) -> None:
        self.rows = [entry(f"w{k}", "ab"[k % 2], k // 2) for k in range(6)]
        self.entries = {r.worker: r for r in self.rows}
        self.spec = job_class(effect=effect, dedup_scope=group, dedup_window=600.0, max_deadline=2000.0)
        self.harness = DispatcherHarness(
            self.spec, workers=self.rows, seed=seed, second_copies=second_copies, reports_start=True
        )
        self.second_copies, self.down = second_copies, set[str]()
        self.deadlines: dict[str, float] = {}
        self.attempts: dict[str, list[dict[str, Any]]] = {}
        self.answered: set[str] = set()

    def check(self, actions: list[m.Action]) -> None:
        now = self.harness.now
        for action in actions:
            if isinstance(action, m.Send):
                attempts = self.attempts[action.id]
                live = [t for t in attempts if t["outcome"] not in NOT_EXECUTED]
                assert action.id not in self.answered and now < self.deadlines[action.id]
                assert action.worker not in self.down
                assert len(attempts) < self.harness.dispatcher.settings.try_limit
                if not self.second_copies:
                    assert all(t["outcome"] for t in attempts)
                if live and self.spec.effect is not m.Effect.SAFE:
                    assert self.spec.effect is m.Effect.KEYED
                    assert now - live[0]["sent"] <= self.spec.dedup_window
                    new = self.entries[action.worker]
                    for old in (self.entries[t["worker"]] for t in live):
                        assert self.spec.dedup_scope is not m.DedupScope.ZONE or old.zone == new.zone
                        assert self.spec.dedup_scope is not m.DedupScope.CELL or old.cell == new.cell
                attempts.append({"worker": action.worker, "outcome": None, "sent": now})
            elif isinstance(action, m.Refuse | m.Fail):
                assert action.id not in self.answered
                self.answered.add(action.id)
                if isinstance(action, m.Refuse) and self.spec.effect is not m.Effect.SAFE:
                    ran = any(t["outcome"] not in NOT_EXECUTED for t in self.attempts[action.id])
                    assert not ran or (
                        self.spec.effect is m.Effect.KEYED and self.spec.dedup_scope is m.DedupScope.ALL
                    )

    def finish(self, name: str, n: int, outcome: m.AttemptOutcome) -> None:
        attempt = self.attempts[name][n]
        attempt["outcome"] = outcome
        if outcome is m.AttemptOutcome.OK:
            self.answered.add(name)
        elapsed = self.harness.now - attempt["sent"]
        self.check(
            self.harness.handle(
                m.AttemptEnded(name, n, attempt["worker"], outcome, elapsed, name in self.answered)
            )
        )

    def expire(self) -> None:
        """End attempts at their request's deadline, as a node does; every such request must be answered."""
        for name, end in self.deadlines.items():
            if self.harness.now >= end:
                for n, attempt in enumerate(self.attempts[name]):
                    if attempt["outcome"] is None:
                        self.finish(name, n, m.AttemptOutcome.TIMEOUT)
                assert name in self.answered


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from([(e, g) for e in m.Effect for g in m.DedupScope]),
    st.booleans(),
    st.integers(0, 10**6),
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, 999), st.floats(1.0, 200.0)), min_size=20, max_size=150
    ),
)
def test_rules_hold_through_any_sequence_of_events(
    effect_and_scope: tuple[m.Effect, m.DedupScope],
    second_copies: bool,
    seed: int,
    steps: list[tuple[int, int, float]],
) -> None:
    checker = RuleChecker(*effect_and_scope, seed, second_copies)
    harness = checker.harness
    for step, (choice, number, wait) in enumerate(steps):
        until = harness.now + wait
        while harness.now < until:
            gap = min(harness.dispatcher.sweep_interval, until - harness.now)
            checker.check(harness.handle(m.TimerFired("sweep"), gap))
            checker.expire()
        open_attempts = [
            (r, n) for r, ts in checker.attempts.items() for n, t in enumerate(ts) if t["outcome"] is None
        ]
        if choice <= 2:
            name = f"r{step}"
            checker.attempts[name], checker.deadlines[name] = [], harness.now + 300.0 + number
            checker.check(harness.request(name, remaining=300.0 + number))
        elif choice <= 4 and open_attempts:
            name, n = open_attempts[number % len(open_attempts)]
            checker.finish(
                name, n, [*MAY_HAVE_RUN, *NOT_EXECUTED, m.AttemptOutcome.OK, m.AttemptOutcome.OK][number % 9]
            )
        elif choice == 5:
            row = checker.rows[number % 6]
            state = [m.WorkerState.SERVING, m.WorkerState.DRAINING, m.WorkerState.GONE][number % 3]
            (checker.down.discard if state is m.WorkerState.SERVING else checker.down.add)(row.worker)
            line = entry(row.worker, row.zone, row.cell, state=state)
            checker.check(harness.handle(listing(line, kind=m.ListKind.CHANGES)))
        elif open_attempts:
            name, n = open_attempts[number % len(open_attempts)]
            checker.check(harness.handle(m.JobProgress(name, n, checker.attempts[name][n]["worker"])))
    for _ in range(200):
        checker.check(harness.handle(m.TimerFired("sweep"), harness.dispatcher.sweep_interval))
        checker.expire()
    assert checker.answered == set(checker.deadlines)
    assert not harness.dispatcher.jobs and not harness.dispatcher.in_flight


def test_events_of_unknown_or_finished_attempts_are_ignored() -> None:
    harness = DispatcherHarness()
    (send,) = sends(harness.request("r"))
    harness.end_attempt("r", send.worker, m.AttemptOutcome.OK)
    for event in (
        m.AttemptEnded("r", 0, send.worker, m.AttemptOutcome.OK, 5.0, True),
        m.AttemptEnded("x", 3, "nowhere", m.AttemptOutcome.ERROR, 5.0, False),
        m.JobProgress("r", 0, send.worker),
        m.JobProgress("x", -1, "nowhere", 0.5),
        m.Withdrawn("x"),
        m.TimerFired("old"),
        listing(entry("nowhere", state=m.WorkerState.GONE), kind=m.ListKind.CHANGES),
    ):
        assert harness.handle(event) == []
    assert len(sends(harness.request("r2"))) == 1


def test_impossible_settings_name_the_field() -> None:
    for field, value in (("cold_share", 0.0), ("try_limit", 0), ("tick", -1.0), ("dispatchers", 0)):
        with pytest.raises(ValueError, match=field):
            m.Settings(classes=(job_class(),), **{field: value})  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="aim"):
        job_class(latency_target=0.0)


def test_heavy_job_pending_in_a_full_fleet_is_answered_before_its_deadline() -> None:
    """The latency target of a very large job lies beyond its deadline, which still has to be kept."""
    harness = DispatcherHarness(
        job_class(effect=m.Effect.UNSAFE, max_deadline=1000.0), workers=[], reports_start=True
    )
    harness.request("usual", remaining=1000.0, hint=10.0)
    harness.dispatcher.class_states["job"].run_time_by_kind["k"] = 1.0
    start, answers = harness.now, finals(harness.request("heavy", remaining=1000.0, hint=400.0))
    assert harness.dispatcher.jobs["heavy"].on_time_by > harness.dispatcher.jobs["heavy"].deadline
    while not answers and harness.now < start + 2000.0:
        answers = [
            a for a in finals(harness.run_sweeps(harness.dispatcher.sweep_interval)) if a == m.Refuse("heavy")
        ]
    assert answers and harness.now < start + 1000.0


def test_the_retry_after_of_a_refusal_follows_the_known_waits() -> None:
    # A refused client must not retry at once into the same queues, nor be sent away for too long.
    def advice(waited: float, longest: float) -> float:
        harness = DispatcherHarness(
            job_class(late_value_share=0.0), max_retry_after=longest, reports_start=True, workers=1
        )
        harness.request("first")
        harness.handle(m.JobProgress("first", 0, "w0"), after=waited)
        harness.end_attempt("first", "w0", m.AttemptOutcome.OK, after=200.0)
        harness.request("busy")
        (refusal,) = finals(harness.request("late", remaining=1.0))
        assert isinstance(refusal, m.Refuse)
        return refusal.retry_after

    assert 0 < advice(1.0, 2000.0) < advice(1500.0, 2000.0) <= 2000.0
    assert advice(1500.0, 100.0) == 100.0
