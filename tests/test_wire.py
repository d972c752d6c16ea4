"""The simulator adapter, run as a process on hand-written lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

CONF: dict[str, Any] = {
    "allowed": {"cancel": True, "tryLimit": 4, "unheardOf": 1},
    "balancers": 2,
    "classes": [
        {"name": "scan", "aim": 300.0, "effect": "pure", "giveUp": 900.0, "value": 1.0},
        {"name": "post", "aim": 300.0, "effect": "token", "group": "cell", "giveUp": 900.0, "window": 2000.0},
    ],
    "familyInfo": {"classKind": [-1, 1], "classStretch": [1.0, 2.0], "tellsStart": True, "progress": 0.0},
    "kinds": ["big", "small"],
    "me": 1,
    "registryMode": "on_request",
    "rules": {"coldFrom": 0.4, "drainGrace": 500.0, "fall": 900.0, "mustAskIn": 8000.0, "tipMultiple": 3.0},
    "somethingNew": [1, 2],
    "tick": 4.0,
}
ROWS = [[f"10.0.0.{k}:80", "z", "big" if k < 3 else "small", 0, "in_service", 1, None] for k in range(6)]
START = [["CONFIGURE", 1, 99, CONF], ["PEERS_KNOWN", 1, "C", 1, ROWS]]


def run_simhost(*lines: Any, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "bitternpath.balancer.simhost"],
        input=text,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def batch(time: float, *events: Any) -> dict[str, Any]:
    return {"time": time, "inbox": list(events)}


def request_event(name: str, service: str = "scan") -> list[Any]:
    return ["KNOCK", 1, name, service, None, None, 900.0, 10.0, 1, None, 1]


def decisions(run: subprocess.CompletedProcess[str]) -> list[list[Any]]:
    assert run.returncode == 0, run.stderr
    return [action for line in run.stdout.splitlines() for action in json.loads(line)["decisions"]]


def test_a_request_is_routed_to_a_worker_of_its_kind() -> None:
    run = run_simhost(
        batch(5.0, *START),
        batch(6.0, request_event("a")),
        batch(7.0, request_event("b", "post"), ["NOVEL", 1, 2]),
    )
    routes = {a[2]: a[3] for a in decisions(run) if a[0] == "ROUTE"}
    assert routes["a"] in [r[0] for r in ROWS]
    assert routes["b"] in [r[0] for r in ROWS[3:]]


def test_every_event_is_read_and_every_final_answer_written() -> None:
    first = run_simhost(batch(5.0, *START), batch(6.0, request_event("a", "post")))
    worker = next(a[3] for a in decisions(first) if a[0] == "ROUTE")
    run = run_simhost(
        batch(5.0, *START),
        batch(6.0, request_event("a", "post")),
        batch(9.0, ["NOTE", 1, "a", 0, worker, 1, None]),
        batch(12.0, ["PONG", 1, 1.4, "GOOD", worker, None], ["PEERS_KNOWN", 1, "X", 1, []]),
        batch(906.0, ["ENDED", 1, "a", 0, worker, "LATE", 900.0, False, None, None]),
        batch(950.0, ["WITHDRAWN", 1, "a"], ["FIRED", 1, "sweep"]),
    )
    actions = decisions(run)
    assert ["REPORT_FAILURE", 1, "a"] in actions
    assert sum(a[0] == "SCHEDULE" and a[2] == "watch" for a in actions) == 2


def test_a_stopped_instance_ignores_events() -> None:
    run = run_simhost(batch(5.0, *START), batch(6.0, ["POWER_OFF", 1], request_event("a")))
    assert not [a for a in decisions(run) if a[0] == "ROUTE"]


def test_malformed_input_ends_in_one_line_on_standard_error() -> None:
    short, invalid = ["KNOCK", 1, "a"], ["ENDED", 1, "a", 0, "w", "ODD", 1, 1]
    for bad in ("{", "[]", '{"time":1}', batch(6.0, short), batch(6.0, invalid)):
        run = run_simhost(batch(5.0, *START), bad)
        assert run.returncode != 0
        assert len(run.stderr.splitlines()) == 1 and run.stderr.startswith("bitternpath: malformed")


def test_impossible_settings_are_named() -> None:
    conf = {**CONF, "rules": {"coldFrom": 0.0}}
    run = run_simhost(batch(5.0, ["CONFIGURE", 1, 99, conf]))
    assert run.returncode != 0 and "cold_share" in run.stderr


def test_same_events_give_the_same_actions_whatever_the_hash_seed() -> None:
    requests = [request_event(f"r{k}", "scan" if k % 3 else "post") for k in range(60)]
    lines = [batch(5.0, *START), *(batch(6.0 + k, request) for k, request in enumerate(requests))]
    assert run_simhost(*lines, hash_seed="1").stdout == run_simhost(*lines, hash_seed="2").stdout


def test_an_exception_in_an_instance_is_reported_on_the_wire() -> None:
    invalid = ["KNOCK", 1, "a", "scan", None, None, "soon", 10.0, 1, None, 1]
    run = run_simhost(batch(5.0, *START), batch(6.0, invalid))
    assert any(a[0] == "DIE" and "TypeError" in a[2] for a in decisions(run))
