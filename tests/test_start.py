"""Platform configuration, the command line, startup cost, and the list of endpoints."""

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

CONFIG: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    return subprocess.run(
        [sys.executable, "-m", "bitternpath", *arguments],
        cwd=Path(__file__).parent.parent, env=env, capture_output=True, text=True, check=False,
    )  # fmt: skip


@pytest.mark.parametrize(
    "invalid",
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
def test_invalid_configuration_is_one_line_with_exit_code_2(tmp_path: Path, invalid: Any) -> None:
    file = tmp_path / "config.json"
    file.write_text(invalid if isinstance(invalid, str) else json.dumps(CONFIG | invalid))
    run = command("check-config", "--config", str(file))
    assert run.returncode == 2
    assert len(run.stderr.splitlines()) == 1 and run.stderr.startswith(f"bitternpath: {file}: ")


def test_commands(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONFIG))
    assert command("check-config", "--config", str(file)).returncode == 0
    assert command("version").stdout.startswith("bitternpath ")
    without = command()
    assert without.returncode == 2 and len(without.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("environ", "start", "reloaded", "expected"),
    [
        ({}, "h:1", "h:2", ("h", 2)),
        # The environment must not override a changed address.
        ({"PROXY_DISCOVERY": "h:1"}, "h:1", "h:2", ("h", 2)),
        ({"PROXY_DISCOVERY": "h:7"}, "h:1", "h:1", ("h", 7)),  # the address in the file is unchanged
        ({"PROXY_DISCOVERY": "h:7"}, "h:1", None, ("h", 7)),
    ],
)
def test_discovery_address_after_a_reload(
    tmp_path: Path, environ: dict[str, str], start: str, reloaded: str | None, expected: tuple[str, int]
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONFIG | {"discovery": start}))
    running = load(environ, str(file))
    file.write_text(json.dumps(CONFIG | {"discovery": reloaded}))
    assert reload(running, environ, str(file)).discovery == expected


def test_startup_disables_gc_and_skips_unneeded_imports() -> None:
    # Guards against a slower start, during which possibly no process serves: garbage collection and the
    # import of importlib.metadata took a fifth of the startup time.
    script = (
        "import gc, sys, bitternpath.__main__; print(gc.isenabled(), 'importlib.metadata' in sys.modules)"
    )
    run = subprocess.run(
        [sys.executable, "-c", script], cwd=Path(__file__).parent.parent, capture_output=True
    )
    assert run.stdout.split() == [b"False", b"False"]


def test_registry_applies_changes_in_order_and_complete_lists_always() -> None:
    def listing(revision: int, complete: bool, **phases: str) -> Any:
        rows = [{"id": id, "host_port": "h:1", "phase": phase} for id, phase in phases.items()]
        return listing_from({"revision": revision, "complete": complete, "members": rows})

    registry = EndpointRegistry(listing(3, True, a="up", b="up"))
    revisions: list[int] = []
    registry.on_change = lambda listing: revisions.append(listing.revision)
    registry.apply(listing(4, False, a="draining", b="removed", c="up"))
    assert registry.serving("a") is None and registry.serving("b") is None and registry.serving("c")
    assert registry.endpoints["a"].state is m.WorkerState.DRAINING and "b" not in registry.endpoints
    registry.apply(listing(4, False, b="up"))  # an outdated message that is repeated
    assert registry.serving("b") is None
    registry.apply(listing(2, True, b="up"))
    assert list(registry.endpoints) == ["b"] and revisions == [4, 2]
