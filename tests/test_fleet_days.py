"""Fleets of real processes with faults between them; the relays that play the faults; the reckoning after."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from bitternpath.balancer.fleet import audit
from bitternpath.testing.emulator.fleet import final_checks
from bitternpath.testing.emulator.fleet.relay import Relay

ROOT = Path(__file__).parent.parent


def days(build: str, seeds: list[int], scenario: str) -> list[str]:
    """What came of each, three at a time."""
    code = (
        "import sys, structlog; structlog.configure(logger_factory=structlog.ReturnLoggerFactory())\n"
        "from bitternpath.testing.emulator.fleet import processes\n"
        "from bitternpath.testing.emulator.fleet.days import lagging_scenario, scenario_for_seed\n"
        "from bitternpath.testing.emulator.sockets.play import VoidError, play_on_sockets\n"
        f"processes.BUILD = {build!r}\n"
        "if processes.BUILD:\n"
        "    processes.RECOVERY_LIMIT = 5.0\n"  # it may never come right
        "seed = int(sys.argv[1])\n"
        "try:\n"
        f"    result = play_on_sockets({scenario}, seed)\n"
        "except VoidError as error:\n"
        "    print(error)\n"
        "else:\n"
        "    rules = {v.partition(':')[0]: v for v in reversed(result.violations)}\n"
        "    print('; '.join(rules.values()) or f'rules kept, {result.requests} requests')\n"
    )

    def play(seed: int) -> str:
        run = [sys.executable, "-c", code, str(seed)]
        done = subprocess.run(run, cwd=ROOT, capture_output=True, text=True, check=False)
        return done.stdout.strip() or done.stderr[-2000:]

    with ThreadPoolExecutor(3) as pool:
        return list(pool.map(play, seeds))


def test_real_fleets_keep_the_rules_whatever_fails_between_them() -> None:
    outcomes = days("", [1, 2, 3, 5, 6, 8], "scenario_for_seed(seed)")
    assert all(says.startswith(("rules kept", "void")) for says in outcomes), outcomes
    assert sum(says.startswith("rules kept") for says in outcomes) >= 1


@pytest.mark.parametrize(("build", "rule"), [("two_versions_off", "apart"), ("lease_not_looked_at", "over")])
def test_a_broken_build_is_found_on_sockets(build: str, rule: str) -> None:
    outcomes = days(build, [1, 2, 3], "lagging_scenario(seed)")
    assert any(f"{rule}: " in says for says in outcomes), outcomes


# ---- relays


def relayed() -> tuple[MemoryReactorClock, Relay, Any, Any]:
    """A relay with one connection through it: the reactor, the relay, and both ends' protocols."""
    reactor: Any = MemoryReactorClock()
    relay = Relay(reactor, lambda: 7)
    near = reactor.tcpServers[0][1].buildProtocol(None)
    near.makeConnection(FleetConnection())
    far = reactor.tcpClients[0][2].buildProtocol(None)
    far.makeConnection(FleetConnection())
    return reactor, relay, near, far


class FleetConnection(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...


def test_a_relay_cuts_each_direction_by_itself_and_silently() -> None:
    _, relay, near, far = relayed()
    near.dataReceived(b"there")
    far.dataReceived(b"back")
    assert (far.transport.value(), near.transport.value()) == (b"there", b"back")
    relay.block(forward=True, backward=False)
    near.dataReceived(b"lost")
    far.dataReceived(b" and again")
    assert (far.transport.value(), near.transport.value()) == (b"there", b"back and again")
    assert not near.transport.disconnecting
    relay.repair()  # what has lost bytes is of no more use
    assert near.transport.disconnected and far.transport.disconnected


def test_a_relay_delays_and_slows_without_changing_a_byte() -> None:
    reactor, relay, near, far = relayed()
    relay.forward.delay, relay.forward.rate = 1.0, 100.0
    near.dataReceived(b"0123456789")
    near.dataReceived(b"abc")
    reactor.advance(0.5)
    assert far.transport.value() == b""
    for _ in range(40):
        reactor.advance(0.5)
    assert far.transport.value() == b"0123456789abc"


def test_a_half_open_relay_accepts_and_leads_nowhere() -> None:
    reactor: Any = MemoryReactorClock()
    relay = Relay(reactor, lambda: 7)
    relay.half_open = True
    near = reactor.tcpServers[0][1].buildProtocol(None)
    near.makeConnection(FleetConnection())
    near.dataReceived(b"x")
    assert not reactor.tcpClients and not near.transport.disconnected


# ---- final checks


def written(*told: tuple[str, int, int, str]) -> list[audit.AuditEntry]:
    audit_log = audit.AuditLog("b")
    for k, (what, version, fencing_token, detail) in enumerate(told):
        audit_log.add(100.0 + k, what, version, fencing_token, detail)
    return list(audit_log.unacknowledged)


def account(lines: list[audit.AuditEntry], **more: Any) -> dict[str, Any]:
    made = audit.ProcessAudit("n", "b")
    made.add_entries(tuple(lines), 0)
    return msgspec.to_builtins(made) | {"unheard": []} | more


def span(
    process: str, version: int, first: float, last: float, fencing_token: int = 7
) -> final_checks.ServedSpan:
    return final_checks.ServedSpan(process, version, fencing_token, first, last)


def test_processes_that_act_two_versions_apart_at_one_time_are_found() -> None:
    assert not final_checks.check_versions_apart(
        [span("a", 3, 0, 5), span("b", 4, 2, 9), span("b", 5, 5.1, 9)]
    )
    assert (
        "a accepted jobs under version 3 and b under 5"
        in final_checks.check_versions_apart([span("a", 3, 0, 5), span("b", 5, 4, 9)])[0]
    )
    assert not final_checks.check_versions_apart([span("a", 3, 0, 5), span("a", 5, 4, 9)])


def test_an_act_after_the_stewards_let_go_of_the_lease_is_found() -> None:
    let_go = {"a": {"let_go": [(7, 4.0, "its lease is over")]}}
    assert not final_checks.check_ended_leases(
        [span("a", 3, 0, 3.9), span("a", 3, 6, 9, fencing_token=8)], let_go
    )
    assert (
        "under fencing token 7, which ended at 4.000"
        in final_checks.check_ended_leases([span("a", 3, 0, 4.2)], let_go)[0]
    )
    assert not final_checks.check_ended_leases(
        [span("a", 3, 0, 4.2)], {"a": {"let_go": [(7, 4.0, "it ended")]}}
    )


def test_a_fence_lower_than_one_already_used_is_found() -> None:
    assert not final_checks.check_fencing_tokens(
        "a", written(("joined", 1, 4, ""), ("lost", 1, 4, ""), ("joined", 1, 9, ""))
    )
    assert final_checks.check_fencing_tokens("a", written(("joined", 1, 9, ""), ("joined", 1, 4, "")))


def test_lines_that_the_audit_lacks_or_made_up_are_found() -> None:
    lines = written(("joined", 1, 4, ""), ("acts", 2, 4, ""), ("lost", 2, 4, ""))
    assert not final_checks.check_audit("a", lines, account(lines))
    assert "entry 3 is not in the audit" in final_checks.check_audit("a", lines, account(lines[:2]))[0]
    assert not final_checks.check_audit("a", lines, account(lines[:2], unheard=["nothing heard after act 2"]))
    assert "was never written" in final_checks.check_audit("a", lines[:1], account(lines[:2]))[0]
    other = written(("joined", 1, 4, ""), ("acts", 8, 4, ""))
    assert "was never written" in final_checks.check_audit("a", lines, account(other))[0]
    assert "entry 1 is not in the audit" in final_checks.check_audit("a", lines, None)[0]


def test_versions_that_are_lost_or_differ_are_found() -> None:
    def record(applied: int, ids: dict[str, int], *digests: bytes) -> dict[str, Any]:
        changes = [{"version": k + 1, "digest": digest} for k, digest in enumerate(digests)]
        return {"applied": applied, "ids": ids, "changes": changes, "released": len(digests)}

    both = {"S1": record(9, {"c": 1}, b"x"), "S2": record(8, {"c": 1}, b"x")}
    assert not final_checks.check_changes(both, {"c": 1})
    assert final_checks.check_changes(both, {"d": 2}) == [
        "lost: change d was answered as version 2, found None"
    ]
    both["S2"] = record(8, {"c": 1}, b"y")
    assert final_checks.check_changes(both, {"c": 1}) == ["changed: version 1 differs between S1 and S2"]
    assert final_checks.check_changes({}, {}) == ["lost: no consensus server is left to query"]
