"""Nodes with real consensus servers: changes, bans, stalls, servers that are down, the audit."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from fleet_rig import Fleet, running_fleet, wait_until
from rig import Rig, done, running

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p

ROOT = Path(__file__).parent.parent
SHORT = {"BITTERNPATH_FLEET_LEASE": "1.0", "BITTERNPATH_FLEET_CATCH_UP": "1.0"}


@contextlib.contextmanager
def node(
    path: Path, fleet: Fleet, endpoints: int = 2, alone: str = "serve", folder: bool = True
) -> Iterator[Rig]:
    path.mkdir()
    flags = ("--fleet-stewards", fleet.addresses, "--fleet-alone", alone)
    flags += ("--fleet-folder", str(path / "acts")) if folder else ()
    with running(path, *[done] * endpoints, flags=flags, console=True) as rig:
        yield rig


def holders(fleet: Fleet) -> list[dict[str, Any]]:
    return list(fleet.status()["holders"])


def in_effect(fleet: Fleet, version: int) -> bool:
    holding = holders(fleet)
    return bool(holding) and all(h.get("acting", -1) >= version for h in holding)


def audit(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Return the audits by process."""
    data = msgspec.msgpack.decode(fleet.send(m.Query("audit")).data)
    return {f"{a['node']}#{a['boot']}": a for a in data["accounts"]}


def lines(fleet: Fleet) -> list[list[Any]]:
    return [line for account in audit(fleet).values() for line in account["lines"]]


def command(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    env = {"BITTERNPATH_FLEET_STEWARDS": fleet.addresses, "PATH": "/usr/bin", "HOME": "/"}
    run = [sys.executable, "-m", "bitternpath", "fleet", *arguments, "--author", "ana"]
    return subprocess.run(run, cwd=ROOT, env=env, capture_output=True, text=True, check=False)


def test_a_change_and_a_ban_take_effect_at_the_node_and_are_audited(tmp_path: Path) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        with node(tmp_path / "n", fleet) as rig:
            wait_until(lambda: holders(fleet))
            changed = command(fleet, "change", "lookup.aim=4000", "--reason", "slower", "--required")
            assert changed.returncode == 0, changed.stderr
            assert "version 1 is in effect at 1 processes" in changed.stdout
            rig.wait_for_log("event=settings_applied")
            assert command(fleet, "ban", "s-0", "--reason", "it errs", "--required").returncode == 0
            assert all(rig.submit(f"a{k}")[0] == 200 for k in range(10))
            assert rig.endpoints[0].posts == 0 and rig.endpoints[1].posts == 10
            # A ban at the node's own console stays when the fleet's ban of the same worker ends.
            assert rig.call_console("POST", "/ops/calendar-workers/down", b"s-0")[0] == 200
            assert command(fleet, "back", "s-0", "--reason", "mended", "--required").returncode == 0
            assert all(rig.submit(f"b{k}")[0] == 200 for k in range(10))
            assert rig.endpoints[0].posts == 0
            assert rig.call_console("POST", "/ops/calendar-workers/up", b"s-0")[0] == 200
            wait_until(lambda: rig.submit(f"c{rig.posts}")[0] == 200 and rig.endpoints[0].posts)
            wait_until(lambda: any(line[2] == "back by hand" for line in lines(fleet)))
            kinds = [line[2] for line in lines(fleet)]
            assert kinds.count("joined") == 1 and kinds.count("acts") == 3
            assert [line[5] for line in lines(fleet) if "by hand" in line[2]] == ["s-0", "s-0"]
            served = [json.loads(line[5])["taken"] for line in lines(fleet) if line[2] == "served"]
            assert served == [{"lookup": 10}]  # under version 2; the span under version 3 is still open
            shown = command(fleet, "audit", "--version", "2")
            assert shown.returncode == 0 and " acts " in shown.stdout and " joined " not in shown.stdout
            now = command(fleet, "audit", "--at", "2100-01-01 00:00:00")
            assert "version 3 under fence" in now.stdout
            assert "All is well." in command(fleet, "explain", "n0").stdout
            status = command(fleet, "status").stdout
            assert "n0" in status and status.rstrip().endswith("ok")
            rig.terminate()
            assert rig.process.wait(20) == 0
            wait_until(lambda: not holders(fleet))
            wait_until(lambda: lines(fleet)[-1][2] == "left")


def test_a_node_stalled_during_a_change_does_nothing_under_its_old_lease(tmp_path: Path) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        with node(tmp_path / "n", fleet) as rig:
            wait_until(lambda: holders(fleet))
            assert all(rig.submit(f"a{k}")[0] == 200 for k in range(5))
            rig.process.send_signal(signal.SIGSTOP)
            callers = [rig.open() for _ in range(100)]
            for k, caller in enumerate(callers):
                caller.request("POST", "/lookup", b"b", {"X-Call-Id": f"z{k}", "X-Budget-Ms": "20000"})
            assert fleet.change("a", p.EjectWorker("s-0")) == 1
            wait_until(lambda: fleet.status()["released"] == 1)  # only once the node's lease has expired
            assert not holders(fleet)
            rig.process.send_signal(signal.SIGCONT)
            assert all(caller.getresponse().status == 200 for caller in callers)
            wait_until(lambda: in_effect(fleet, 1))
            assert all(rig.submit(f"b{k}")[0] == 200 for k in range(5))
            command(fleet, "ban", "s-9", "--reason", "ends the span of version 1", "--required")
            wait_until(lambda: len([line for line in lines(fleet) if line[2] == "served"]) >= 3)
            entries = [(line[2], line[3], line[4], line[5]) for line in lines(fleet)]
            first = next(fencing_token for what, _, fencing_token, _ in entries if what == "joined")
            served = {(v, f): json.loads(d)["taken"]["lookup"] for w, v, f, d in entries if w == "served"}
            assert served[0, first] == 5  # served before the stall
            assert (
                sum(served.values()) == 110
                and served[0, 0] + sum(many for (version, _), many in served.items() if version) == 105
            )


@pytest.mark.parametrize("alone", ["serve", "leave"])
def test_without_servers_a_node_follows_its_setting_and_recovers_by_itself(
    tmp_path: Path, alone: str
) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        (server,) = fleet.servers.values()
        with node(tmp_path / "n", fleet, alone=alone) as rig:
            fleet.change("a", p.EjectWorker("s-0"))
            wait_until(lambda: in_effect(fleet, 1))
            wait_until(lambda: rig.send("GET", "/ready")[0] == 200)
            server.kill()
            rig.wait_for_log("event=serving_without_lease")
            if alone == "leave":
                assert rig.send("GET", "/ready")[0] == 503
                status, _, answer = rig.submit("x")
                assert status == 503 and float(answer.headers["Retry-After"]) > 0 and not rig.posts
            else:
                assert rig.send("GET", "/ready")[0] == 200
                assert all(rig.submit(f"x{k}")[0] == 200 for k in range(10))
                assert rig.endpoints[0].posts == 0  # by the plan last applied
            server.start()
            wait_until(lambda: holders(fleet))
            wait_until(lambda: rig.send("GET", "/ready")[0] == 200)
            assert rig.submit("y")[0] == 200


def test_a_node_that_starts_without_a_server_applies_the_last_plan_and_keeps_its_audit(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        (server,) = fleet.servers.values()
        with node(tmp_path / "n", fleet) as rig:
            fleet.change("a", p.EjectWorker("s-0"))
            wait_until(lambda: in_effect(fleet, 1))
            wait_until(lambda: any(line[2] == "acts" or line[3] == 1 for line in lines(fleet)))
            server.kill()
            rig.wait_for_log("event=serving_without_lease")
            rig.process.kill()
            rig.process.wait(20)
            rig.start()
            assert all(rig.submit(f"x{k}")[0] == 200 for k in range(10))
            assert rig.endpoints[0].posts == 0
            server.start()
            wait_until(lambda: holders(fleet))
            # The first process wrote its last entry while no server was up.
            wait_until(lambda: any(line[2] == "lost" for line in lines(fleet)))
            assert not any(a["faults"] for a in audit(fleet).values())


def test_a_tampered_audit_log_file_is_detected_and_reported(tmp_path: Path) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        with node(tmp_path / "n", fleet) as rig:
            fleet.change("a", p.EjectWorker("s-0"))
            wait_until(lambda: in_effect(fleet, 1) and len(lines(fleet)) >= 1)
            rig.process.kill()
            rig.process.wait(20)
            (file,) = (tmp_path / "n" / "acts").glob("acts-*")
            entries = [json.loads(line) for line in file.read_text().splitlines()]
            entries[0][3] = 7  # claims another version than was reported
            file.write_text("".join(json.dumps(line) + "\n" for line in entries))
            rig.start()
            wait_until(lambda: any(a["faults"] for a in audit(fleet).values()))
            shown = command(fleet, "audit", "--node", "n0").stdout
            assert "line 1 is another one than was heard before: changed" in shown
            rig.wait_for_log("event=earlier_audit_log_corrupt")


def test_a_change_rejected_by_a_node_is_blocked_with_the_reason_until_it_is_withdrawn(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        with node(tmp_path / "n", fleet) as rig:
            wait_until(lambda: holders(fleet))
            refused = command(fleet, "change", "dispatch.aim=90", "--reason", "a typo", "--required")
            assert refused.returncode == 1 and "is refused by 1 of 1, first by n0" in refused.stderr
            assert "no class dispatch in this node's file" in command(fleet, "explain", "n0").stdout
            assert command(fleet, "withdraw", "1", "--reason", "a typo").returncode == 0
            assert fleet.change("b", p.EjectWorker("s-0")) == 2
            wait_until(lambda: in_effect(fleet, 2))
            assert all(rig.submit(f"x{k}")[0] == 200 for k in range(5)) and rig.endpoints[0].posts == 0
            listed = command(fleet, "versions").stdout
            assert "withdrawn (ana: a typo)" in listed and "ban s-0" in listed
            # A reload of a file that conflicts with the plan is rejected as a whole.
            assert fleet.change("c", p.SetClass("reminder", {"aim": 700.0})) == 3
            wait_until(lambda: in_effect(fleet, 3))
            conf = json.loads(rig.file.read_text())
            conf["settings"]["classes"] = conf["settings"]["classes"][:1]
            rig.reload(json.dumps(conf), "event=reload_failed")
            assert "no class reminder" in rig.logged("event=reload_failed")[0]


def test_an_older_release_gets_no_lease(tmp_path: Path) -> None:
    with running_fleet(tmp_path / "s", 1, SHORT) as fleet:
        fleet.start()
        fleet.change("a", p.LeastRelease((99,)))
        with node(tmp_path / "n", fleet) as rig:
            rig.wait_for_log("event=lease_refused")
            assert "older than 99" in rig.logged("event=lease_refused")[0] and not holders(fleet)
            assert rig.submit("x")[0] == 200
