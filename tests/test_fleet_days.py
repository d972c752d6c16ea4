"""Fleets of real processes under faults, the relays that inject them, and the checks of the records at the
end."""

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


def run_seeds(build: str, seeds: list[int], scenario: str) -> list[str]:
    """Runs the seeds, three at a time; one line of outcome each."""
    code = (
        "import sys, structlog; structlog.configure(logger_factory=structlog.ReturnLoggerFactory())\n"
        "from bitternpath.testing.emulator.fleet import processes\n"
        "from bitternpath.testing.emulator.fleet.days import lagging_scenario, scenario_for_seed\n"
        "from bitternpath.testing.emulator.sockets.play import VoidError, play_on_sockets\n"
        f"processes.BUILD = {build!r}\n"
        "if processes.BUILD:\n"
        "    processes.RECOVERY_LIMIT = 5.0\n"  # a broken build may never recover
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
        completed = subprocess.run(run, cwd=ROOT, capture_output=True, text=True, check=False)
        return completed.stdout.strip() or completed.stderr[-2000:]

    with ThreadPoolExecutor(3) as pool:
        return list(pool.map(play, seeds))


def test_real_fleets_keep_the_rules_under_faults() -> None:
    outcomes = run_seeds("", [1, 2, 3, 5, 6, 8], "scenario_for_seed(seed)")
    assert all(outcome.startswith(("rules kept", "void")) for outcome in outcomes), outcomes
    assert sum(outcome.startswith("rules kept") for outcome in outcomes) >= 1


@pytest.mark.parametrize(("build", "rule"), [("two_versions_off", "apart"), ("lease_not_looked_at", "over")])
def test_a_broken_build_is_detected_on_sockets(build: str, rule: str) -> None:
    outcomes = run_seeds(build, [1, 2, 3], "lagging_scenario(seed)")
    assert any(f"{rule}: " in outcome for outcome in outcomes), outcomes


# ---- relays


def relayed_connection() -> tuple[MemoryReactorClock, Relay, Any, Any]:
    """A relay with one connection: the reactor, the relay, and the protocols of both sides."""
    reactor: Any = MemoryReactorClock()
    relay = Relay(reactor, lambda: 7)
    client_side = reactor.tcpServers[0][1].buildProtocol(None)
    client_side.makeConnection(RelayTransport())
    server_side = reactor.tcpClients[0][2].buildProtocol(None)
    server_side.makeConnection(RelayTransport())
    return reactor, relay, client_side, server_side


class RelayTransport(StringTransport):
    def setTcpNoDelay(self, on: bool) -> None: ...


def test_a_relay_blocks_each_direction_separately_and_silently() -> None:
    _, relay, client_side, server_side = relayed_connection()
    client_side.dataReceived(b"there")
    server_side.dataReceived(b"back")
    assert (server_side.transport.value(), client_side.transport.value()) == (b"there", b"back")
    relay.block(forward=True, backward=False)
    client_side.dataReceived(b"lost")
    server_side.dataReceived(b" and again")
    assert (server_side.transport.value(), client_side.transport.value()) == (b"there", b"back and again")
    assert not client_side.transport.disconnecting
    relay.repair()  # connections that lost bytes are reset
    assert client_side.transport.disconnected and server_side.transport.disconnected


def test_a_relay_delays_and_limits_data_unchanged() -> None:
    reactor, relay, client_side, server_side = relayed_connection()
    relay.forward.delay, relay.forward.rate = 1.0, 100.0
    client_side.dataReceived(b"0123456789")
    client_side.dataReceived(b"abc")
    reactor.advance(0.5)
    assert server_side.transport.value() == b""
    for _ in range(40):
        reactor.advance(0.5)
    assert server_side.transport.value() == b"0123456789abc"


def test_a_half_open_relay_accepts_without_dialing() -> None:
    reactor: Any = MemoryReactorClock()
    relay = Relay(reactor, lambda: 7)
    relay.half_open = True
    client_side = reactor.tcpServers[0][1].buildProtocol(None)
    client_side.makeConnection(RelayTransport())
    client_side.dataReceived(b"x")
    assert not reactor.tcpClients and not client_side.transport.disconnected


# ---- final checks


def audit_entries(*entries: tuple[str, int, int, str]) -> list[audit.AuditEntry]:
    audit_log = audit.AuditLog("b")
    for k, (what, version, fencing_token, detail) in enumerate(entries):
        audit_log.add(100.0 + k, what, version, fencing_token, detail)
    return list(audit_log.unacknowledged)


def account(entries: list[audit.AuditEntry], **overrides: Any) -> dict[str, Any]:
    audit_of_process = audit.ProcessAudit("n", "b")
    audit_of_process.add_entries(tuple(entries), 0)
    return msgspec.to_builtins(audit_of_process) | {"unheard": []} | overrides


def span(
    process: str, version: int, first: float, last: float, fencing_token: int = 7
) -> final_checks.ServedSpan:
    return final_checks.ServedSpan(process, version, fencing_token, first, last)


def test_processes_acting_two_versions_apart_are_detected() -> None:
    assert not final_checks.check_versions_apart(
        [span("a", 3, 0, 5), span("b", 4, 2, 9), span("b", 5, 5.1, 9)]
    )
    assert (
        "a accepted jobs under version 3 and b under 5"
        in final_checks.check_versions_apart([span("a", 3, 0, 5), span("b", 5, 4, 9)])[0]
    )
    assert not final_checks.check_versions_apart([span("a", 3, 0, 5), span("a", 5, 4, 9)])


def test_an_act_after_the_end_of_its_lease_is_detected() -> None:
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


def test_a_decreasing_fencing_token_is_detected() -> None:
    assert not final_checks.check_fencing_tokens(
        "a", audit_entries(("joined", 1, 4, ""), ("lost", 1, 4, ""), ("joined", 1, 9, ""))
    )
    assert final_checks.check_fencing_tokens("a", audit_entries(("joined", 1, 9, ""), ("joined", 1, 4, "")))


def test_missing_and_invented_audit_entries_are_detected() -> None:
    entries = audit_entries(("joined", 1, 4, ""), ("acts", 2, 4, ""), ("lost", 2, 4, ""))
    assert not final_checks.check_audit("a", entries, account(entries))
    assert "entry 3 is not in the audit" in final_checks.check_audit("a", entries, account(entries[:2]))[0]
    assert not final_checks.check_audit(
        "a", entries, account(entries[:2], unheard=["nothing heard after act 2"])
    )
    assert "was never written" in final_checks.check_audit("a", entries[:1], account(entries[:2]))[0]
    other = audit_entries(("joined", 1, 4, ""), ("acts", 8, 4, ""))
    assert "was never written" in final_checks.check_audit("a", entries, account(other))[0]
    assert "entry 1 is not in the audit" in final_checks.check_audit("a", entries, None)[0]


def test_lost_and_differing_versions_are_detected() -> None:
    def record(applied: int, ids: dict[str, int], *digests: bytes) -> dict[str, Any]:
        changes = [{"version": k + 1, "digest": digest} for k, digest in enumerate(digests)]
        return {"applied": applied, "ids": ids, "changes": changes, "released": len(digests)}

    records = {"S1": record(9, {"c": 1}, b"x"), "S2": record(8, {"c": 1}, b"x")}
    assert not final_checks.check_changes(records, {"c": 1})
    assert final_checks.check_changes(records, {"d": 2}) == [
        "lost: change d was answered as version 2, found None"
    ]
    records["S2"] = record(8, {"c": 1}, b"y")
    assert final_checks.check_changes(records, {"c": 1}) == ["changed: version 1 differs between S1 and S2"]
    assert final_checks.check_changes({}, {}) == ["lost: no consensus server is left to query"]
