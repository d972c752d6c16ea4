"""Configuration, command line, log lines and the list of endpoints."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from rig import SETTINGS

from bitternpath.balancer import messages as m
from bitternpath.balancer.config.platform import load, reload
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.http.discovery_messages import listing_from

GOOD: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    return subprocess.run(
        [sys.executable, "-m", "bitternpath", *arguments],
        cwd=Path(__file__).parent.parent, env=env, capture_output=True, text=True, check=False,
    )  # fmt: skip


@pytest.mark.parametrize(
    "wrong",
    [
        "{",
        "[]",
        {"listen": "nowhere"},
        {"discovery": None},
        {"seed": "xyz"},
        {"limits": {"sockets": 8}},
        {"settings": {}},
        {"settings": {**SETTINGS, "rules": {"coldFrom": 0.0}}},
        {"known": {"members": []}},
        {"known": {"revision": 1, "members": [{"id": "a", "phase": "odd"}]}},
    ],
)
def test_a_bad_configuration_ends_in_one_line_and_2(tmp_path: Path, wrong: Any) -> None:
    file = tmp_path / "config.json"
    file.write_text(wrong if isinstance(wrong, str) else json.dumps(GOOD | wrong))
    run = command("check-config", "--config", str(file))
    assert run.returncode == 2
    assert len(run.stderr.splitlines()) == 1 and run.stderr.startswith(f"bitternpath: {file}: ")


def test_commands(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    assert command("check-config", "--config", str(file)).returncode == 0
    assert command("version").stdout.startswith("bitternpath ")
    without = command()
    assert without.returncode == 2 and len(without.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("environ", "start", "then", "want"),
    [
        ({}, "h:1", "h:2", ("h", 2)),
        ({"PROXY_DISCOVERY": "h:1"}, "h:1", "h:2", ("h", 2)),  # the environment must not pin the old one
        ({"PROXY_DISCOVERY": "h:7"}, "h:1", "h:1", ("h", 7)),  # the file says nothing new
        ({"PROXY_DISCOVERY": "h:7"}, "h:1", None, ("h", 7)),
    ],
)
def test_where_discovery_is_after_a_reload(
    tmp_path: Path, environ: dict[str, str], start: str, then: str | None, want: tuple[str, int]
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD | {"discovery": start}))
    running = load(environ, str(file))
    file.write_text(json.dumps(GOOD | {"discovery": then}))
    assert reload(running, environ, str(file)).discovery == want


def test_a_start_does_nothing_that_is_not_needed_to_serve() -> None:
    # Guards: while a restarted node starts nobody may be there to serve; these two were a fifth of that time.
    look = "import gc, sys, bitternpath.__main__; print(gc.isenabled(), 'importlib.metadata' in sys.modules)"
    run = subprocess.run([sys.executable, "-c", look], cwd=Path(__file__).parent.parent, capture_output=True)
    assert run.stdout.split() == [b"False", b"False"]


def test_the_list_takes_changes_in_order_and_whole_lists_always() -> None:
    def listing(revision: int, complete: bool, **phases: str) -> Any:
        rows = [{"id": id, "host_port": "h:1", "phase": phase} for id, phase in phases.items()]
        return listing_from({"revision": revision, "complete": complete, "members": rows})

    registry = EndpointRegistry(listing(3, True, a="up", b="up"))
    heard: list[int] = []
    registry.on_change = lambda listing: heard.append(listing.revision)
    registry.apply(listing(4, False, a="draining", b="removed", c="up"))
    assert registry.serving("a") is None and registry.serving("b") is None and registry.serving("c")
    assert registry.endpoints["a"].state is m.WorkerState.DRAINING and "b" not in registry.endpoints
    registry.apply(listing(4, False, b="up"))  # an old line that came again
    assert registry.serving("b") is None
    registry.apply(listing(2, True, b="up"))
    assert list(registry.endpoints) == ["b"] and heard == [4, 2]
