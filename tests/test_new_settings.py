"""Changes of settings while jobs are open: the file, the module, and a real node."""

from __future__ import annotations

import copy
import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from helpers import DispatcherHarness, finals, job_class, sends
from rig import SETTINGS, accept, done, reject, running, wait_until
from twisted.internet.testing import MemoryReactorClock

from bitternpath.balancer import messages as m
from bitternpath.balancer.config.load import load_all, reload_all
from bitternpath.balancer.config.platform import ConfigError, load, reload
from bitternpath.balancer.node import Node
from bitternpath.balancer.settings import settings_from

FILE: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "a",
    "limits": {"sockets": 256}, "settings": SETTINGS,
    "known": {"revision": 1, "complete": True, "members": []},
}  # fmt: skip


REMOVED = object()


def modified(value: Any, *path: str | int) -> str:
    """Return the file with another value at a path, or without the key (REMOVED)."""
    file: Any = copy.deepcopy(FILE)
    parent = file
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    if value is REMOVED:
        del parent[path[-1]]
    return json.dumps(file)


FIRST_CLASS, LIMITS_PATH = ("settings", "classes", 0), ("settings", "allowed")
VALID = json.dumps(FILE)
BAD_NUMBERS = [0, -1, "6", True, None, [], float("nan"), float("inf"), float("-inf")]


@pytest.mark.parametrize(
    "text",
    [
        "", "   ", "[]", "null", "7", '"x"', VALID[:-1], VALID + "}",
        *(VALID[: len(VALID) * k // 9] for k in range(9)),
        *(modified(REMOVED, key) for key in FILE if key != "known"),
        *(modified(REMOVED, "settings", key) for key in SETTINGS),
        *(modified(REMOVED, *FIRST_CLASS, key) for key in SETTINGS["classes"][0]),
        modified(REMOVED, *LIMITS_PATH, "tryLimit"),
        *(modified(bad, *FIRST_CLASS, "giveUp") for bad in BAD_NUMBERS),
        *(modified(bad, *LIMITS_PATH, "tryLimit") for bad in BAD_NUMBERS),
        modified("reminder", *FIRST_CLASS, "name"), modified("harmless", *FIRST_CLASS, "effect"),
        modified(None, *FIRST_CLASS, "effect"),
        modified([], "settings", "classes"), modified({"lookup": {}}, "settings", "classes"),
    ],
)  # fmt: skip
def test_a_truncated_or_invalid_file_is_rejected_with_one_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(VALID)
    environ = {"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2", "PROXY_NAME": "n0"}
    running = load(environ, str(file))
    file.write_text(text)
    with pytest.raises(ConfigError) as fault:
        reload(running, environ, str(file))
    assert str(fault.value).startswith(f"{file}: ") and "\n" not in str(fault.value)


@pytest.mark.parametrize(
    "text",
    [VALID, modified(REMOVED, "known"), modified(0.5, *FIRST_CLASS, "giveUp"),
     modified(1, *LIMITS_PATH, "tryLimit"), modified([1], *FIRST_CLASS, "new"),
     json.dumps(dict(reversed(FILE.items())), indent=1), modified(1, "more")],
)  # fmt: skip
def test_changed_values_new_keys_and_another_key_order_are_accepted(tmp_path: Path, text: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(VALID)
    running = load({}, str(file))
    file.write_text(text)
    assert reload(running, {}, str(file)).settings.classes[1].name == "reminder"


def test_null_means_absent_in_settings_of_the_simulator() -> None:
    allowed = SETTINGS["allowed"] | {"tryLimit": None}
    assert settings_from(SETTINGS | {"allowed": allowed}).try_limit == 3


def test_the_module_knows_a_new_class_as_soon_as_the_server_does(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(VALID)
    node = Node(load_all({}, str(file), None, {}), MemoryReactorClock())
    file.write_text(modified("new", *FIRST_CLASS, "name"))
    node.reload(lambda running: reload_all(running, {}, str(file), None, {}))
    assert set(node.handler.classes) == {b"new", b"reminder"} and node._retry_after("new") >= 0.0


def apply_settings(harness: DispatcherHarness, *classes: m.JobClass, **extra: Any) -> None:
    options = {"second_copies": True, "try_limit": 3} | extra
    assert harness.handle(m.NewSettings(m.Settings(classes, **options))) == []


def test_an_open_job_keeps_its_attempts_and_effect() -> None:
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE), workers=6, try_limit=4)
    (old,) = sends(harness.request("old"))
    apply_settings(harness, job_class(effect=m.Effect.SAFE), try_limit=1)
    (new,) = sends(harness.request("new"))
    for n in range(1, 4):  # the old job has four attempts; none of them ran
        (old,) = sends(harness.end_attempt("old", old.worker, m.AttemptOutcome.FULL, n - 1))
    assert isinstance(finals(harness.end_attempt("old", old.worker, m.AttemptOutcome.RESET, 3))[0], m.Fail)
    assert isinstance(finals(harness.end_attempt("new", new.worker, m.AttemptOutcome.RESET))[0], m.Refuse)


def test_a_class_keeps_its_learned_state_unless_its_effect_changes() -> None:
    harness = DispatcherHarness(job_class("a"), job_class("b"), workers=4)
    for k in range(20):
        for name in "ab":
            (send,) = sends(harness.request(f"{name}{k}", name))
            harness.end_attempt(f"{name}{k}", send.worker, m.AttemptOutcome.OK, after=50.0)
    before = {name: harness.dispatcher.class_states[name] for name in "ab"}
    apply_settings(
        harness, job_class("b", latency_target=300.0), job_class("c"), job_class("a", m.Effect.UNSAFE)
    )
    class_states = harness.dispatcher.class_states
    assert list(class_states) == ["b", "c", "a"]
    assert (
        class_states["b"].network is before["b"].network
        and class_states["b"].mean_run_time == before["b"].mean_run_time
        and class_states["b"].spec.latency_target == 300.0
    )
    assert class_states["a"].network is not before["a"].network and class_states["a"].ended_jobs == 0
    assert all(len(class_state.network.neurons) == 4 for class_state in class_states.values())
    assert len(sends(harness.request("c1", "c"))) == 1


def test_a_queued_job_of_a_removed_class_is_answered_and_not_sent_to_draining_workers() -> None:
    harness = DispatcherHarness(
        job_class("old", max_deadline=60_000.0), job_class("stays"), workers=2, try_limit=6
    )
    first = [sends(harness.request(f"f{k}", "old", 60_000.0)) for k in range(2)]
    for k, (send,) in enumerate(first):
        harness.end_attempt(f"f{k}", send.worker, m.AttemptOutcome.FULL, after=1.0)  # both workers are full
    apply_settings(harness, job_class("stays"))
    draining = m.WorkerEntry("w0", "a", "k", 0, m.WorkerState.DRAINING)
    harness.handle(m.WorkerList(m.ListKind.CHANGES, [draining]))
    actions = harness.run_sweeps(60_000.0)
    assert all(send.worker == "w1" for send in sends(actions))
    for job in list(harness.dispatcher.jobs.values()):
        for attempt in [t for t in job.attempts if t.in_flight]:
            actions += harness.end_attempt(
                job.id, attempt.worker.name, m.AttemptOutcome.RESET, attempt.number
            )
    actions += harness.run_sweeps(1000.0)
    assert {action.id for action in finals(actions)} == {"f0", "f1"} and not harness.dispatcher.jobs


def test_a_node_applies_new_settings_with_open_jobs(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(4) as pool:
        endpoint = rig.endpoints[0]
        open_requests = [pool.submit(rig.submit, name, f"/{name}") for name in ("lookup", "reminder")]
        wait_until(lambda: endpoint.posts == 2)
        lookup, _ = SETTINGS["classes"]
        classes = [{**lookup, "name": "text", "effect": "side_effect"}, lookup]
        changed_settings = SETTINGS | {"classes": classes, "allowed": SETTINGS["allowed"] | {"tryLimit": 1}}
        rig.reload(json.dumps(rig.config | {"settings": changed_settings}))
        statistics = rig.statistics()
        assert statistics["app.calls.text.success"] == 0 and statistics["app.reconfig_ok"] == 1
        assert rig.submit("r2", "/reminder")[0] == 404  # removed class
        for name in ("lookup", "reminder"):
            endpoint.send_callback(name, "done", result=name)
        assert [job.result()[:2] for job in open_requests] == [(200, b"lookup"), (200, b"reminder")]
        endpoint.behavior = done
        assert rig.submit("t", "/text")[0] == 200 and rig.submit("l", "/lookup")[0] == 200
        endpoint.behavior = reject
        posts = endpoint.posts
        assert rig.submit("t2", "/text")[0] == 503 and endpoint.posts == posts + 1
        rig.reload(VALID[:200], "event=reload_failed")
        statistics = rig.statistics()
        assert statistics["app.calls.text.success"] == 1 == statistics["app.calls.text.busy"]
        assert statistics["app.calls.reminder.success"] == 1 == statistics["app.reconfig_failed"]
        assert rig.submit("t3", "/text")[0] == 503  # the previous settings stay in use
