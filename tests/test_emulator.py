"""The emulator: models against tables of values, the checker against faulty nodes, determinism, and whole
scenarios in virtual time and on sockets."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import structlog

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.testing.emulator import policies
from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.clock import MAX_EVENTS_PER_INSTANT, Scheduler, StuckError
from bitternpath.testing.emulator.policies import POLICIES, BasicPolicy, RandomPolicy
from bitternpath.testing.emulator.ports import ReservedPort
from bitternpath.testing.emulator.scenario import JobClass, Kind, Prices, ScenarioError
from bitternpath.testing.emulator.scenario_file import load, scenario_from
from bitternpath.testing.emulator.service import Operation, ServiceMetrics
from bitternpath.testing.emulator.sockets.processor_waits import ProcessorWaits
from bitternpath.testing.emulator.troubles.fleet import FLEET_KINDS
from bitternpath.testing.emulator.troubles.register import KINDS
from bitternpath.testing.emulator.worker import Attempt, Worker
from bitternpath.testing.emulator.world import Result, play

ROOT = Path(__file__).parent.parent
SMALL: dict[str, Any] = {
    "name": "small",
    "seconds": 12.0,
    "sites": [{"name": "a", "workers": 3}, {"name": "b", "workers": 3}],
    "classes": [
        {"name": "lookup", "share": 1.0, "work": 100.0, "safe": True, "give_up": 3000.0},
        {"name": "reminder", "share": 1.0, "work": 60.0, "give_up": 3000.0},
    ],
    "clients": {"load": 0.5},
}


@pytest.fixture(autouse=True)
def silence_logging() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def small_scenario(**overrides: Any) -> Any:
    return scenario_from(SMALL | overrides, "test")


# ---- virtual time


def test_calls_due_at_the_same_time_run_in_scheduling_order() -> None:
    clock, seen = Scheduler(), []
    for name in "ab":
        clock.callLater(1.0, seen.append, name)
    clock.callLater(0.5, lambda: clock.callLater(0.5, seen.append, "c"))
    cancelled = clock.callLater(1.0, seen.append, "never")
    cancelled.cancel()
    clock.callLater(1.0, lambda: clock.callLater(0.0, seen.append, "last"))
    clock.run(2.0)
    assert seen == ["a", "b", "c", "last"] and clock.now == 2.0 and not cancelled.active()


def test_a_zero_delay_loop_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("bitternpath.testing.emulator.clock.MAX_EVENTS_PER_INSTANT", 1000)
    clock = Scheduler()

    def reschedule() -> None:
        clock.callLater(0.0, reschedule)

    clock.callLater(3.0, reschedule)
    with pytest.raises(StuckError, match=r"3\.000000 s"):
        clock.run(10.0)
    assert MAX_EVENTS_PER_INSTANT > 1000


# ---- workers


class WorkerHarness:
    """A worker on a simulated clock, with its notifications."""

    def __init__(self, **kind: Any) -> None:
        self.clock, self.notifications = Scheduler(), list[tuple[str, str, float]]()
        defaults = {
            "name": "k",
            "cores": 2,
            "slots": 2,
            "queue": 4,
            "strain": 0.0,
            "cold_s": 10.0,
            "cold_share": 0.2,
        }
        self.worker = Worker("w", "a", Kind(**(defaults | kind)), 0, self.clock, Random(1))

    def send(self, id: str, work: float = 1.0, slots: int = 1, deadline: float = 99.0) -> bool:
        def notify(attempt: Attempt, what: str) -> None:
            self.notifications.append((attempt.id, what, round(self.clock.now, 3)))

        return self.worker.arrive(Attempt(id, "c", work, slots, deadline, None, notify))

    def completion_times(self) -> dict[str, float]:
        return {id: at for id, what, at in self.notifications if what == "done"}


@pytest.mark.parametrize(
    ("kind", "jobs", "ends"),
    [
        ({}, [("a", 1.0)], {"a": 1.0}),
        ({"speed": 0.5}, [("a", 1.0)], {"a": 2.0}),
        ({}, [("a", 1.0), ("b", 2.0), ("c", 1.0)], {"a": 1.0, "b": 2.0, "c": 2.0}),  # c waits for a
        ({"cores": 1}, [("a", 1.0), ("b", 1.0)], {"a": 2.0, "b": 2.0}),  # both share the core
        ({"cores": 1}, [("a", 1.0), ("b", 2.0)], {"a": 2.0, "b": 3.0}),
        ({"strain": 0.5, "crowded": 1.0}, [("a", 1.0), ("b", 1.0)], {"a": 1.5, "b": 1.5}),  # one job too many
    ],
)
def test_job_duration_follows_from_cores_speed_and_strain(
    kind: dict[str, Any], jobs: list[tuple[str, float]], ends: dict[str, float]
) -> None:
    harness = WorkerHarness(**kind)
    for id, work in jobs:
        assert harness.send(id, work)
    harness.clock.run(20.0)
    assert harness.completion_times() == ends


def test_the_head_of_the_queue_blocks_the_jobs_behind_it() -> None:
    harness = WorkerHarness(slots=4, cores=4)
    harness.send("a", 2.0, slots=3)
    harness.send("big", 1.0, slots=2)
    harness.send("small", 1.0, slots=1)  # it would fit, but jobs start in order
    harness.clock.run(20.0)
    assert harness.completion_times() == {"a": 2.0, "big": 3.0, "small": 3.0}


def test_jobs_are_rejected_when_the_queue_is_full() -> None:
    harness = WorkerHarness(queue=2)
    assert [harness.send(str(k)) for k in range(6)] == [True] * 4 + [False] * 2


def test_slowdown_and_pause_delay_running_jobs() -> None:
    harness = WorkerHarness()
    harness.send("a", 2.0)
    harness.clock.run(1.0)
    harness.worker.slowdown = 2.0
    harness.worker.reschedule()
    harness.clock.run(2.0)
    harness.worker.paused = True
    harness.worker.reschedule()
    harness.clock.run(5.0)
    harness.worker.paused, harness.worker.slowdown = False, 1.0
    harness.worker.reschedule()
    harness.clock.run(9.0)
    assert harness.completion_times() == {
        "a": 5.5
    }  # 1 s at full speed, 1 s at half, 3 s paused, then the remaining 0.5 s of work


def test_a_cold_worker_warms_up_and_collapses_under_overload() -> None:
    harness = WorkerHarness(queue=100)
    worker, collapses = harness.worker, []
    worker.on_collapse = lambda worker, informed: collapses.append(informed)
    harness.clock.run(1.0)
    worker.start()
    assert worker.warmth(1.0) == 0.2 and round(worker.warmth(6.0), 3) == 0.6 and worker.warmth(11.0) == 1.0
    # The threshold is 4 times the capacity (2 cores x 0.2) for 1 s, 1.6 in all, and the slack of two mean
    # jobs.
    for k in range(9):
        harness.send(str(k), 0.3)
    assert collapses == [] or len(collapses) == 1
    for k in range(9):
        harness.send(f"more{k}", 0.3)
    assert collapses == [1.0] and not worker.alive and worker.collapsed
    worker.start()
    harness.clock.run(12.5)
    for k in range(18):
        harness.send(f"warm{k}", 0.3)
    assert collapses == [1.0]  # warm by now: the same load does no harm


def test_expired_jobs_are_dropped_before_they_start_if_configured() -> None:
    for drops_expired, started in ((True, 1), (False, 2)):
        harness = WorkerHarness(cores=1, slots=1, drops_expired=drops_expired)
        harness.send("a", 2.0)
        harness.send("late", 1.0, deadline=1.0)
        harness.clock.run(9.0)
        assert sum(what == "started" for _, what, _ in harness.notifications) == started


# ---- service metrics


def test_service_is_earned_over_offered_value() -> None:
    spec = JobClass("c", 1.0, 100.0, aim=100.0, stretch=2.0, give_up=5000.0, worth=4.0, late_worth=0.25)
    metrics = ServiceMetrics([spec], Prices(0.1, 0.072, 0.03))
    for k, at in enumerate((0.2, 0.5, None, None)):  # target time: 0.1 s and twice the work of 0.1 s
        ask = Operation(spec, "a", 0.1, float(k))
        metrics.record_arrival(ask)
        if at is None:
            metrics.record_failure(ask, k + (0.1 if k == 2 else 4.0))
        else:
            metrics.record_success(ask, k + at)
    metrics.crossings, metrics.spent_work = 2, 0.3
    result = metrics.statistics()
    assert result["whole"] == (4 + 1) / 16 and result["late_fail"] == 0.25 and result["crossings"] == 0.5
    assert result["waste"] == pytest.approx(0.1 / 0.4)
    parts = 0.55 * 5 / 16 + 0.15 * 5 / 16 + 0.30 * 5 / 16
    assert result["service"] == pytest.approx(parts - 0.1 * 0.25 - 0.072 * 0.25 - 0.03 * 0.5)


# ---- scenarios


@pytest.mark.parametrize(
    ("invalid", "message"),
    [
        ({"secconds": 3}, "secconds"),
        ({"seconds": 0}, "> 0"),
        ({"seconds": 1e9}, "<= 3600"),
        ({"sites": []}, "sites"),
        ({"sites": [{"name": "a", "workers": 0}]}, "no workers"),
        ({"sites": [{"name": "a", "nodes": 0}]}, "no nodes"),
        ({"clients": {"rate": 1e9}}, "first requests are allowed"),
        ({"troubles": [{"kind": "flood", "at": 1}]}, "allowed are burst"),
        ({"troubles": [{"kind": "burst", "at": 1, "site": "z"}]}, "allowed are a, b"),
        ({"classes": [{"name": "x", "share": 1.0, "work": 5.0, "aim": -1.0}]}, "aim"),
    ],
)
def test_an_invalid_scenario_is_rejected_in_one_line(invalid: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError) as raised:
        small_scenario(**invalid)
    assert message in str(raised.value) and "\n" not in str(raised.value)


SHIPPED = sorted((ROOT / "scenarios").glob("*.toml"))


def test_an_excessive_number_of_requests_is_rejected() -> None:
    classes = [{"name": "x", "share": 1.0, "work": 0.001}]
    with pytest.raises(ScenarioError, match="at most 5000000"):
        play(small_scenario(classes=classes, clients={"load": 20.0}), 1)


def test_the_shipped_scenarios_are_valid_and_use_most_kinds_of_faults() -> None:
    scenarios = [load(path) for path in SHIPPED]
    assert len(scenarios) >= 12 and [s.name for s in scenarios] == [path.stem for path in SHIPPED]
    assert all(s.says for s in scenarios)
    kinds_used = {fault.kind for s in scenarios for fault in s.troubles}
    assert kinds_used <= set(KINDS) and len(kinds_used) >= 14


# ---- determinism


def test_scenario_and_seed_determine_the_trace_across_processes() -> None:
    # Hash order, object addresses or the real clock must not influence a run, or nobody could repeat it.
    code = (
        "import structlog; structlog.configure(logger_factory=structlog.ReturnLoggerFactory());"
        "from bitternpath.testing.emulator.scenario_file import load;"
        "from bitternpath.testing.emulator.world import play;"
        "r = play(load('scenarios/vanishing.toml'), 7); print(r.trace, r.events, r.figures)"
    )
    found = set()
    for seed in ("0", "1"):
        run = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
            env={"PYTHONHASHSEED": seed, "PATH": ""},
        )  # fmt: skip
        found.add(run.stdout)
    assert len(found) == 1
    first, second = play(small_scenario(), 1), play(small_scenario(), 2)
    assert first.trace != second.trace and first.trace == play(small_scenario(), 1).trace


def test_every_policy_sees_the_same_first_requests() -> None:
    runs = [play(small_scenario(), 4, name) for name in ("module", "random", "oracle")]
    assert len({run.requests for run in runs}) == 1
    assert len({run.trace for run in runs}) == 3


# ---- the checker against faulty nodes


class NeverAnswers(BasicPolicy):
    """Neither sends nor answers a request."""

    def _request(self, event: m.Request) -> list[m.Action]:
        return []


class RetriesUnsafely(RandomPolicy):
    """Repeats jobs that may have run, as if they had been rejected."""

    def _attempt_ended(self, event: m.AttemptEnded) -> list[m.Action]:
        if event.id in self.jobs and not event.final:
            self.jobs[event.id]["ran"] = False
            actions = super()._attempt_ended(
                m.AttemptEnded(
                    event.id, event.attempt, event.worker, m.AttemptOutcome.FULL, event.elapsed, False
                )
            )
            return actions
        return super()._attempt_ended(event)


class RefusesAfterExecution(RandomPolicy):
    """Refuses requests whose job may have run."""

    def _attempt_ended(self, event: m.AttemptEnded) -> list[m.Action]:
        job = self.jobs.get(event.id)
        if job is not None and not event.final and event.outcome not in m.NOT_EXECUTED:
            self._close(event.id)
            return [m.Refuse(event.id)]
        return super()._attempt_ended(event)


class PrefersNewestWorker(RandomPolicy):
    """Sends everything to the worker that started last."""

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        return max(usable, key=lambda w: (self.workers[w].up_since or 0.0, w))


def run_with_policy(monkeypatch: pytest.MonkeyPatch, policy: type, **overrides: Any) -> Result:
    monkeypatch.setitem(policies.POLICIES, "broken", policy)
    return play(small_scenario(**overrides), 3, "broken")


def broken_rules(result: Result) -> set[str]:
    return {violation.split(" at ")[0] for violation in result.violations}


VANISH = [{"kind": "vanish", "at": 3.0, "lasts": 4.0, "part": 0.5, "silent": False}]


def test_a_node_that_never_answers_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Broker, "_answer_without_module", lambda self, request: None)
    found = run_with_policy(monkeypatch, NeverAnswers)
    assert broken_rules(found) == {"lost"} and "never answered" in found.violations[0]
    assert "accepted by n" in found.violations[0]  # the events before the violation are listed


def test_late_and_unsolicited_answers_are_detected() -> None:
    checker = Checker(2.0, 0.008)
    for id, answered in (("in time", 3.007), ("late", 3.009)):
        checker.accepted(1.0, id, "n0", 3.0, True)
        checker.answered(answered, id, "failed")
    checker.answered(4.0, "never asked", "refused")
    assert [(v.rule, v.request) for v in checker.violations] == [
        ("lost", "late"),
        ("invented", "never asked"),
    ]
    assert "9 ms late" in str(checker.violations[0]) and "accepted by n0" in str(checker.violations[0])


def test_requests_due_during_a_stop_of_their_node_are_excused() -> None:
    checker = Checker(2.0, 0.008)
    for id, deadline in (("due", 3.0), ("not yet", 9.0)):
        checker.accepted(1.0, id, "n0", deadline, True)
    checker.node_resumed(5.0, "n0")
    checker.finish(20.0)
    assert [v.request for v in checker.violations] == ["not yet"] and checker.lost_by_death == 1


def test_requests_buffered_during_a_stop_count_from_when_they_are_read() -> None:
    checker = Checker(2.0, 0.008)
    for id, at, answered in (("before", 1.0, 9.009), ("in time", 3.0, 11.007), ("late", 3.0, 11.009)):
        checker.accepted(at, id, "n0", 9.0, True)
        if id != "before":
            checker.node_resumed(5.0, "n0", since=2.0)
        checker.answered(answered, id, "failed")
    assert [v.request for v in checker.violations] == ["before", "late"]


def test_a_node_that_answers_twice_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Broker._answer

    def answer_twice(self: Broker, request: Any, send_answer: Any, reason: str) -> None:
        original(self, request, send_answer, reason)
        send_answer()

    monkeypatch.setattr(Broker, "_answer", answer_twice)
    found = run_with_policy(monkeypatch, RandomPolicy)
    assert broken_rules(found) == {"lost"} and "answered again" in found.violations[0]


def test_a_node_that_repeats_unsafe_jobs_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    found = run_with_policy(monkeypatch, RetriesUnsafely, troubles=VANISH)
    assert "duplicate" in broken_rules(found)
    # a policy without the fault is not blamed
    assert play(small_scenario(troubles=VANISH), 3, "random").passed


def test_a_node_that_refuses_after_execution_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    assert broken_rules(run_with_policy(monkeypatch, RefusesAfterExecution, troubles=VANISH)) == {"refused"}


def test_a_node_that_sends_to_a_draining_worker_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original = EndpointRegistry.apply

    def apply_serving_only(self: EndpointRegistry, listing: Any) -> None:
        if all(p.state is m.WorkerState.SERVING for p in listing.members):
            original(self, listing)

    monkeypatch.setattr(EndpointRegistry, "apply", apply_serving_only)
    found = run_with_policy(
        monkeypatch, RandomPolicy, troubles=[{"kind": "drain", "at": 2.0, "lasts": 8.0, "part": 0.5}]
    )
    assert "drain" in broken_rules(found)


def test_a_node_that_overloads_a_cold_worker_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    found = run_with_policy(
        monkeypatch,
        PrefersNewestWorker,
        clients={"load": 0.9},
        troubles=[VANISH[0] | {"lasts": 2.0, "part": 0.2}],
    )
    assert "cold" in broken_rules(found) and "collapsed while cold" in "".join(found.violations)


def test_a_node_that_invents_answers_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Broker._answer

    def answer_invented(self: Broker, request: Any, send_answer: Any, reason: str) -> None:
        original(self, request, lambda: request.client.served(b"made up"), reason)

    monkeypatch.setattr(Broker, "_answer", answer_invented)
    assert broken_rules(run_with_policy(monkeypatch, RandomPolicy)) == {"invented"}


def test_requests_of_a_killed_node_are_no_violation() -> None:
    checker = Checker(2.0, 0.008)
    checker.accepted(1.0, "a", "n0", 3.0, False)
    checker.accepted(1.0, "b", "n1", 3.0, False)
    checker.node_killed(2.0, "n0")
    checker.finish(9.0)
    assert checker.lost_by_death == 1 and [v.request for v in checker.violations] == ["b"]
    run = play(small_scenario(troubles=[{"kind": "kill-nodes", "at": 4.0, "lasts": 2.0, "part": 0.5}]), 5)
    assert run.passed and run.lost_by_death > 0 and run.counts["reset"]


# ---- end to end


@pytest.mark.parametrize("name", ["site-loss-with-nodes", "rolling", "errors"])
def test_the_node_keeps_the_rules_and_serves_under_faults(name: str) -> None:
    run = play(load(ROOT / "scenarios" / f"{name}.toml"), 2)
    assert run.passed, run.violations[:3]
    assert run.figures["service"] > 0.7 and run.requests > 1000


def test_a_node_that_sends_to_an_ejected_worker_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    ejections = [{"kind": "out-by-hand", "at": 2.0, "lasts": 8.0, "part": 0.5}]
    assert play(small_scenario(troubles=ejections), 3, "random").passed
    monkeypatch.setattr(EndpointRegistry, "eject", lambda self, id, since: None)
    found = run_with_policy(monkeypatch, RandomPolicy, troubles=ejections)
    assert broken_rules(found) == {"drain"} and "ejected by hand" in found.violations[0]


@pytest.mark.parametrize("kind", sorted(set(KINDS) - FLEET_KINDS - {"upgrades"}))
def test_every_kind_of_fault_takes_effect_and_breaks_no_rule(kind: str) -> None:
    fault = {"kind": kind, "at": 2.0, "lasts": 4.0, "part": 0.3, "size": 1.5, "extra": 1.0}
    run = play(small_scenario(troubles=[fault], clients={"load": 0.4}), 6)
    assert run.passed, (kind, run.violations[:2])
    undisturbed = play(small_scenario(clients={"load": 0.4}), 6)
    assert run.troubles[0]["kind"] == kind
    assert run.trace != undisturbed.trace


def test_blocked_and_duplicate_call_backs_break_no_rule() -> None:
    troubles = [
        {"kind": "call-backs", "at": 1.0, "lasts": 9.0, "part": 0.3, "size": 0.5},
        {"kind": "kill-nodes", "at": 4.0, "lasts": 0.5, "part": 0.5},
        {"kind": "vanish", "at": 6.0, "lasts": 2.0, "part": 0.3},
    ]
    assert play(small_scenario(troubles=troubles), 8).passed


def test_the_command_runs_a_scenario_and_writes_json(tmp_path: Path) -> None:
    file = tmp_path / "run.json"
    scenario = tmp_path / "s.toml"
    scenario.write_text(
        'name = "s"\nseconds = 5\n[[sites]]\nname = "a"\n[[classes]]\nname = "x"\nshare = 1\nwork = 50\n'
    )
    run = subprocess.run(
        [sys.executable, "-m", "bitternpath", "emulate", str(scenario), "--seeds", "2", "--json", str(file)],
        cwd=ROOT, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert run.returncode == 0 and "rules kept" in run.stdout and "mean of 2" in run.stdout
    result = json.loads(file.read_bytes())
    assert [r["seed"] for r in result] == [1, 2]
    assert msgspec.convert(result[0], Result, strict=False).figures == result[0]["figures"]
    invalid = subprocess.run(
        [sys.executable, "-m", "bitternpath", "emulate", "nowhere.toml"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    assert invalid.returncode == 2


def run_on_sockets(path: Path, **overrides: Any) -> tuple[subprocess.CompletedProcess[str], Any]:
    """A short run with real nodes; the process and the JSON result."""
    scenario, file = path / "s.toml", path / "s.json"
    lines = [
        'name = "s"', "seconds = 6", "[clients]", "load = 0.4", "[discovery]", "notice_s = 0.5",
        "silent_notice_s = 2", "add_s = 0.3",
    ]  # fmt: skip
    lines += [f'[[sites]]\nname = "{name}"\nworkers = 3' for name in "ab"]
    lines += ['[[classes]]\nname = "lookup"\nshare = 1\nwork = 60\nsafe = true\ngive_up = 2500']
    lines += ['[[classes]]\nname = "reminder"\nshare = 1\nwork = 60\ngive_up = 2500']
    for fault in overrides.get("troubles", []):
        lines += ["[[troubles]]", *(f"{key} = {json.dumps(value)}" for key, value in fault.items())]
    scenario.write_text("\n".join(lines) + "\n")
    run = subprocess.run(
        [sys.executable, "-m", "bitternpath", "emulate", str(scenario), "--sockets", "--json", str(file)],
        cwd=ROOT, capture_output=True, text=True, check=False, timeout=120,
    )  # fmt: skip
    return run, json.loads(file.read_bytes())[0] if file.exists() else None


def test_real_nodes_keep_the_rules_while_workers_and_nodes_fail(tmp_path: Path) -> None:
    troubles = [
        {"kind": "vanish", "at": 1.0, "lasts": 2.0, "part": 0.3},
        {"kind": "vanish", "at": 1.5, "lasts": 1.5, "part": 0.2, "silent": False},
        {"kind": "kill-nodes", "at": 3.0, "lasts": 0.5, "part": 0.5},
        {"kind": "call-backs", "at": 0.5, "lasts": 4.0, "part": 0.0, "size": 0.5},
        {"kind": "reload-nodes", "at": 0.5, "lasts": 1.0},
    ]
    run, result = run_on_sockets(tmp_path, troubles=troubles)
    if run.returncode == 1 and "void" in run.stderr:
        pytest.skip("the machine is too busy to blame a node")
    assert run.returncode == 0, run.stdout + run.stderr
    assert "rules kept" in run.stdout and result["requests"] > 100 and result["counts"].get("in time")


def test_real_nodes_are_upgraded_under_load_during_manual_ejections(tmp_path: Path) -> None:
    troubles = [
        {"kind": "upgrades", "at": 1.0, "lasts": 1.0},
        {"kind": "out-by-hand", "at": 0.5, "lasts": 4.0, "part": 0.3},
    ]
    run, result = run_on_sockets(tmp_path, troubles=troubles)
    if run.returncode == 1 and "void" in run.stderr:
        pytest.skip("the machine is too busy to blame a node")
    assert run.returncode == 0, run.stdout + run.stderr
    assert "rules kept" in run.stdout and result["requests"] > 100 and not result["counts"].get("reset")
    virtual = tmp_path / "s.toml"
    refused = subprocess.run(
        [sys.executable, "-m", "bitternpath", "emulate", str(virtual)], cwd=ROOT, capture_output=True
    )
    assert refused.returncode == 2 and b"upgrades: on sockets only" in refused.stderr


def test_a_run_on_an_overloaded_machine_is_void() -> None:
    code = (
        "from bitternpath.testing.emulator.sockets import play;"
        "from bitternpath.testing.emulator.scenario_file import scenario_from;"
        "play.MAX_LATENESS = -1.0;"
        "s = scenario_from({'name': 's', 'seconds': 0.3, 'sites': [{'name': 'a', 'workers': 1}],"
        " 'classes': [{'name': 'x', 'share': 1.0, 'work': 5.0, 'give_up': 300.0}]}, 's');"
        "play.play_on_sockets(s, 1)"
    )
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert "VoidError: void: the emulator itself was" in run.stderr


# A node that answers each request a number of ms after its deadline.
LATE_NODE = """
import asyncio, json, os, sys
async def serve(reader, writer):
    while head := await reader.readuntil(b"\\r\\n\\r\\n"):
        fields = dict(l.lower().split(b": ") for l in head.split(b"\\r\\n")[1:] if l)
        await reader.readexactly(int(fields.get(b"content-length", 0)))
        if not head.startswith(b"GET"):
            await asyncio.sleep((int(fields[b"x-budget-ms"]) + int(sys.argv[1])) / 1000)
        status = b"200 OK" if head.startswith(b"GET") else b"500 Failed"
        writer.write(b"HTTP/1.1 " + status + b"\\r\\nContent-Length: 0\\r\\n\\r\\n")
async def main():
    host, port = json.load(open(os.environ["PROXY_CONFIG"]))["listen"].split(":")
    await (await asyncio.start_server(serve, host, int(port))).serve_forever()
asyncio.run(main())
"""


@pytest.mark.parametrize(("late_ms", "found"), [(20, "[]"), (400, "ms late")])
def test_clients_read_answers_within_the_grace_and_measure_later_ones(late_ms: int, found: str) -> None:
    code = f"""
import subprocess, sys
from bitternpath.testing.emulator.scenario_file import scenario_from
from bitternpath.testing.emulator.sockets import node, play
class Popen(subprocess.Popen):
    def __init__(self, args, **kwargs):
        super().__init__([sys.executable, "-c", {LATE_NODE!r}, "{late_ms}"], **kwargs)
node.subprocess.Popen = Popen
classes = [{{"name": "x", "share": 1.0, "work": 5.0, "give_up": 300.0}}]
s = scenario_from({{"name": "s", "seconds": 1.0, "sites": [{{"name": "a", "workers": 1}}],
    "clients": {{"rate": 5.0, "retries": 0}}, "classes": classes}}, "s")
result = play.play_on_sockets(s, 1)
assert result.requests
print([v for v in result.violations if "ended by itself" not in v])
"""
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    if "void" in run.stderr:
        pytest.skip("the machine is too busy to blame a node")
    assert run.returncode == 0, run.stderr
    assert found in run.stdout and ("never answered" in run.stdout) is False


def test_a_late_answer_is_excused_by_at_most_the_measured_wait() -> None:
    waits = ProcessorWaits()
    waits.record(4.93, "n1", 0.04)  # shortly before the deadline at 5.0
    waits.record(5.03, "", 0.02)
    waits.record(3.0, "n1", 9.0)  # neither near the arrival nor near the deadline
    waits.record(5.0, "n2", 9.0)  # another node
    assert waits.explains(0.055, "n1", 1.0, 5.0, 5.05)
    assert not waits.explains(0.065, "n1", 1.0, 5.0, 5.05)
    assert not waits.explains(0.021, "n3", 1.0, 5.0, 5.05)
    waits.record(1.05, "n3", 0.03)  # at the arrival of the request
    assert waits.explains(0.045, "n3", 1.0, 5.0, 5.05)


def test_a_reserved_port_is_assigned_once_and_can_be_bound_repeatedly() -> None:
    reserved = ReservedPort()
    others = [ReservedPort() for _ in range(200)]
    assert len({port.number for port in [reserved, *others]}) == 201
    for _ in range(2):
        with socket.create_server(("127.0.0.1", reserved.number)) as server:
            socket.create_connection(server.getsockname()).close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", reserved.number))
    for port in [reserved, *others]:
        port.close()


def test_an_interrupted_demo_stops_its_child_processes() -> None:
    demo = subprocess.Popen([sys.executable, "-m", "bitternpath", "demo"], cwd=ROOT, stdout=subprocess.PIPE)
    assert demo.stdout is not None
    for line in demo.stdout:
        if line.startswith(b"s 0 "):
            break
    children = Path(f"/proc/{demo.pid}/task/{demo.pid}/children").read_text().split()
    assert len(children) == 3
    demo.send_signal(signal.SIGINT)
    assert demo.wait(30) == 1
    assert not any(Path(f"/proc/{child}").exists() for child in children)


def test_a_node_imports_neither_the_emulator_nor_the_fleet() -> None:
    found = "[m for m in sys.modules if m.rpartition('.')[2] in ('emulator', 'fleet', 'lmdb', 'blake3')]"
    program = f"import sys, bitternpath.cli.run, bitternpath.balancer.node; print({found})"
    run = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]" and len(POLICIES) == 7
