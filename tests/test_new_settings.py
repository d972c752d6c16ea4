"""Settings that change while jobs are open: the file, the module, and a real node."""

from __future__ import annotations

import copy
import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from helpers import DispatcherHarness, finals, job_class, sends
from rig import SETTINGS, accept, done, reject, running, until
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


GONE = object()


def but(value: Any, *path: str | int) -> str:
    """The file with another value there, or without it (GONE)."""
    told: Any = copy.deepcopy(FILE)
    inner = told
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    if value is GONE:
        del inner[path[-1]]
    return json.dumps(told)


FIRST, ALLOWED = ("settings", "classes", 0), ("settings", "allowed")
WHOLE = json.dumps(FILE)
BAD_NUMBERS = [0, -1, "6", True, None, [], float("nan"), float("inf"), float("-inf")]


@pytest.mark.parametrize(
    "text",
    [
        "", "   ", "[]", "null", "7", '"x"', WHOLE[:-1], WHOLE + "}",
        *(WHOLE[: len(WHOLE) * k // 9] for k in range(9)),
        *(but(GONE, key) for key in FILE if key != "known"),
        *(but(GONE, "settings", key) for key in SETTINGS),
        *(but(GONE, *FIRST, key) for key in SETTINGS["classes"][0]),
        but(GONE, *ALLOWED, "tryLimit"),
        *(but(bad, *FIRST, "giveUp") for bad in BAD_NUMBERS),
        *(but(bad, *ALLOWED, "tryLimit") for bad in BAD_NUMBERS),
        but("reminder", *FIRST, "name"), but("harmless", *FIRST, "effect"), but(None, *FIRST, "effect"),
        but([], "settings", "classes"), but({"lookup": {}}, "settings", "classes"),
    ],
)  # fmt: skip
def test_a_file_that_is_cut_or_wrong_is_turned_down_in_one_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(WHOLE)
    environ = {"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2", "PROXY_NAME": "n0"}
    running = load(environ, str(file))
    file.write_text(text)
    with pytest.raises(ConfigError) as fault:
        reload(running, environ, str(file))
    assert str(fault.value).startswith(f"{file}: ") and "\n" not in str(fault.value)


@pytest.mark.parametrize(
    "text",
    [WHOLE, but(GONE, "known"), but(0.5, *FIRST, "giveUp"), but(1, *ALLOWED, "tryLimit"),
     but([1], *FIRST, "new"), json.dumps(dict(reversed(FILE.items())), indent=1), but(1, "more")],
)  # fmt: skip
def test_a_file_that_changes_values_adds_keys_or_their_order_is_taken(tmp_path: Path, text: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(WHOLE)
    running = load({}, str(file))
    file.write_text(text)
    assert reload(running, {}, str(file)).settings.classes[1].name == "reminder"


def test_on_the_simulators_wire_null_is_what_is_absent() -> None:
    allowed = SETTINGS["allowed"] | {"tryLimit": None}
    assert settings_from(SETTINGS | {"allowed": allowed}).try_limit == 3


def test_the_module_knows_a_class_as_soon_as_the_front_does(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(WHOLE)
    node = Node(load_all({}, str(file), None, {}), MemoryReactorClock())
    file.write_text(but("new", *FIRST, "name"))
    node.reload(lambda running: reload_all(running, {}, str(file), None, {}))
    assert set(node.handler.classes) == {b"new", b"reminder"} and node._retry_after("new") >= 0.0


def changed(harness: DispatcherHarness, *classes: m.JobClass, **more: Any) -> None:
    given = {"second_copies": True, "try_limit": 3} | more
    assert harness.handle(m.NewSettings(m.Settings(classes, **given))) == []


def test_a_job_keeps_its_attempts_and_its_effect_a_new_one_has_the_new() -> None:
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE), workers=6, try_limit=4)
    (old,) = sends(harness.request("old"))
    changed(harness, job_class(effect=m.Effect.SAFE), try_limit=1)
    (new,) = sends(harness.request("new"))
    for n in range(1, 4):  # the old one has four attempts, of which none ran
        (old,) = sends(harness.end_attempt("old", old.worker, m.AttemptOutcome.FULL, n - 1))
    assert isinstance(finals(harness.end_attempt("old", old.worker, m.AttemptOutcome.RESET, 3))[0], m.Fail)
    assert isinstance(finals(harness.end_attempt("new", new.worker, m.AttemptOutcome.RESET))[0], m.Refuse)


def test_what_was_learned_of_a_class_that_stays_stays_and_one_with_another_effect_is_new() -> None:
    harness = DispatcherHarness(job_class("a"), job_class("b"), workers=4)
    for k in range(20):
        for name in "ab":
            (send,) = sends(harness.request(f"{name}{k}", name))
            harness.end_attempt(f"{name}{k}", send.worker, m.AttemptOutcome.OK, after=50.0)
    before = {name: harness.dispatcher.class_states[name] for name in "ab"}
    changed(harness, job_class("b", latency_target=300.0), job_class("c"), job_class("a", m.Effect.UNSAFE))
    lines = harness.dispatcher.class_states
    assert list(lines) == ["b", "c", "a"]
    assert (
        lines["b"].network is before["b"].network
        and lines["b"].mean_run_time == before["b"].mean_run_time
        and lines["b"].spec.latency_target == 300.0
    )
    assert lines["a"].network is not before["a"].network and lines["a"].ended_jobs == 0
    assert all(len(line.network.neurons) == 4 for line in lines.values())
    assert len(sends(harness.request("c1", "c"))) == 1


def test_a_held_job_of_a_dropped_class_is_answered_as_owed_and_goes_to_nobody_who_has_left() -> None:
    harness = DispatcherHarness(
        job_class("old", max_deadline=60_000.0), job_class("stays"), workers=2, try_limit=6
    )
    first = [sends(harness.request(f"f{k}", "old", 60_000.0)) for k in range(2)]
    for k, (send,) in enumerate(first):
        harness.end_attempt(f"f{k}", send.worker, m.AttemptOutcome.FULL, after=1.0)  # both are full
    changed(harness, job_class("stays"))
    leaver = m.WorkerEntry("w0", "a", "k", 0, m.WorkerState.DRAINING)
    harness.handle(m.WorkerList(m.ListKind.CHANGES, [leaver]))
    acts = harness.run_sweeps(60_000.0)
    assert all(send.worker == "w1" for send in sends(acts))
    for job in list(harness.dispatcher.jobs.values()):
        for attempt in [t for t in job.attempts if t.in_flight]:
            acts += harness.end_attempt(job.id, attempt.worker.name, m.AttemptOutcome.RESET, attempt.number)
    acts += harness.run_sweeps(1000.0)
    assert {a.id for a in finals(acts)} == {"f0", "f1"} and not harness.dispatcher.jobs


def test_a_node_takes_new_classes_and_attempts_under_open_jobs(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(4) as pool:
        endpoint = rig.endpoints[0]
        open_ = [pool.submit(rig.submit, name, f"/{name}") for name in ("lookup", "reminder")]
        until(lambda: endpoint.posts == 2)
        lookup, _ = SETTINGS["classes"]
        classes = [{**lookup, "name": "text", "effect": "side_effect"}, lookup]
        now = SETTINGS | {"classes": classes, "allowed": SETTINGS["allowed"] | {"tryLimit": 1}}
        rig.reload(json.dumps(rig.conf | {"settings": now}))
        told = rig.statistics()
        assert told["app.calls.text.success"] == 0 and told["app.reconfig_ok"] == 1
        assert rig.submit("r2", "/reminder")[0] == 404  # dropped
        for name in ("lookup", "reminder"):
            endpoint.tell(name, "done", result=name)
        assert [job.result()[:2] for job in open_] == [(200, b"lookup"), (200, b"reminder")]
        endpoint.does = done
        assert rig.submit("t", "/text")[0] == 200 and rig.submit("l", "/lookup")[0] == 200
        endpoint.does = reject
        posts = endpoint.posts
        assert rig.submit("t2", "/text")[0] == 503 and endpoint.posts == posts + 1
        rig.reload(WHOLE[:200], "event=reload_failed")
        told = rig.statistics()
        assert told["app.calls.text.success"] == 1 == told["app.calls.text.busy"]
        assert told["app.calls.reminder.success"] == 1 == told["app.reconfig_failed"]
        assert rig.submit("t3", "/text")[0] == 503  # what was in use goes on
