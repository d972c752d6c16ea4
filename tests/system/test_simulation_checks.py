"""Checkers of simulated runs: each reports a history that violates its rule, and no similar correct one."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from math import inf

from bitternpath.testing.fault_injection.checker import Rule
from bitternpath.testing.fault_injection.plan import HOSTS
from bitternpath.testing.fault_injection.records import (
    Answer,
    DeliveryKind,
    OrderOutcome,
    OrderSent,
    Run,
    Send,
    SendOutcome,
)
from bitternpath.testing.simulation.checks import configuration, control, messages
from bitternpath.testing.simulation.checks.all import CHECKS, check_run
from bitternpath.testing.simulation.checks.connectivity import Connectivity
from bitternpath.testing.simulation.checks.history import (
    ConfigRead,
    Disruption,
    DisruptionKind,
    Drain,
    RetireCall,
    Retirement,
    RouteProbe,
    StateRead,
    SystemHistory,
    SystemRule,
    SystemRuleParameters,
)

PARAMETERS = SystemRuleParameters(
    max_attempts=2,
    timeout_s=1.5,
    retention_s=90.0,
    visible_s=3.0,
    contact_s=4.0,
    loss_slack_s=0.2,
    ceiling_window_s=5.0,
    origin_rate_over=1.1,
    early_s=0.1,
    rates={},
    core=frozenset({"edge-1", "edge-2", "edge-3"}),
    stores=frozenset({"storage-1", "storage-2", "storage-3"}),
    edges=frozenset({"edge-1", "edge-2", "edge-3"}),
)
ACKNOWLEDGED, REFUSED, UNCLEAR = OrderOutcome.ACKNOWLEDGED, OrderOutcome.REFUSED, OrderOutcome.UNCLEAR
HOST = HOSTS[DeliveryKind.LISTED]


def route(prefix: str, service: str = "listed") -> dict[str, str]:
    """A route of a document."""
    return {"host": HOST, "path_prefix": prefix, "service": service}


def order(version: int, base: int, outcome: OrderOutcome = ACKNOWLEDGED, **fields: object) -> OrderSent:
    """A change that is sent at `version` seconds."""
    document = {"version": version, "routes": [route("/listed/")]}
    base_order = OrderSent(version, base, float(version), version + 0.1, outcome, True, document, 412)
    return replace(base_order, **fields)  # type: ignore[arg-type]


def read(version: int, at: float, **document: object) -> ConfigRead:
    """A read of a document like those of `order`."""
    content = {"version": version, "routes": [route("/listed/")], **document}
    return ConfigRead("edge-1", at, at + 0.1, content)


def probe(status: int, at: float, path: str = "/extra/x", incarnation: int = 0) -> RouteProbe:
    """A message on a route that is added and removed."""
    return RouteProbe(f"p{at}", "edge-1", incarnation, at, at + 0.1, HOST, path, status)


def retirement(call: RetireCall, at: float, status: int, state: str = "", valid: bool = True) -> Retirement:
    """An answer about storage-1."""
    return Retirement(call, "storage-1", "edge-1", at, at + 0.1, status, state, valid)


def state(at: float, status: int, name: str = "", stamp: str = "", body: bytes | None = None) -> StateRead:
    """An answer about the message `a`."""
    return StateRead("a", "edge-2", at, at + 0.1, status, name, stamp, body)


def run(at: float, **fields: object) -> Run:
    """A run of the message `a`."""
    base_run = Run("a", at, "listed", "POST", "/listed/1", b"body")
    return replace(base_run, **fields)  # type: ignore[arg-type]


def history(**lists: object) -> SystemHistory:
    """A history of a few events, with the message `a`, accepted at 10.1."""
    send = Send("a", 10.0, "edge-1", DeliveryKind.LISTED, "/listed/1", b"body", "k")
    send.outcome, send.status, send.ended_at = SendOutcome.ACCEPTED, 202, 10.1
    return SystemHistory(sends={"a": send}, finished=50.0, **lists)  # type: ignore[arg-type]


def disruption(kind: DisruptionKind, at: float, until: float, *nodes: str) -> Disruption:
    """A disruption of some machines."""
    return Disruption(kind, frozenset(nodes), at, until)


WITH_EXTRA = {"version": 2, "routes": [route("/listed/"), route("/extra/")]}
FIRST, ADDING = order(1, 0), order(2, 1, document=WITH_EXTRA)
DROPPING = order(8, 2)
SUCCESS = Answer("a", 11.0, 200, "stamp")
FROZEN_EDGE = disruption(DisruptionKind.FROZEN, 12.0, 13.0, "edge-1")
DONE, READ, ORDER = "done", RetireCall.READ, RetireCall.ORDER

# checker, rule, description of the violation, a history that violates the rule, and a similar correct one
CASES: tuple[tuple[Callable[..., object], Enum, str, SystemHistory, SystemHistory], ...] = (
    (
        configuration.check_older_read,
        Rule.CONFIG,
        "older read back",
        history(orders=[FIRST, ADDING], reads=[read(1, 2.2)]),
        history(orders=[FIRST, ADDING], reads=[read(1, 2.05)]),
    ),
    (
        configuration.check_read_content,
        Rule.CONFIG,
        "refused and in force",
        history(orders=[FIRST, order(2, 1, REFUSED)], reads=[read(2, 3.0)]),
        history(orders=[FIRST, order(2, 1, UNCLEAR)], reads=[read(2, 3.0)]),
    ),
    (
        configuration.check_read_content,
        Rule.CONFIG,
        "invalid and in force",
        history(orders=[order(1, 0, UNCLEAR, valid=False)], reads=[read(1, 3.0)]),
        history(orders=[order(1, 0, UNCLEAR)], reads=[read(1, 3.0)]),
    ),
    (
        configuration.check_read_content,
        Rule.CONFIG,
        "content that was never sent",
        history(orders=[FIRST], reads=[read(1, 3.0, limits={})]),
        history(orders=[FIRST], reads=[read(1, 3.0)]),
    ),
    (
        configuration.check_one_chain,
        Rule.CONFIG,
        "two on one base",
        history(orders=[FIRST, order(2, 1), order(3, 1)]),
        history(orders=[FIRST, order(2, 1), order(2, 1), order(3, 2)]),
    ),
    (
        configuration.check_base_in_force,
        Rule.CONFIG,
        "based on a refused version",
        history(orders=[FIRST, order(2, 1, REFUSED), order(4, 2)]),
        history(orders=[FIRST, order(2, 1, REFUSED), order(2, 1, UNCLEAR), order(4, 2)]),
    ),
    (
        configuration.check_applied,
        Rule.CONFIG,
        "not applied in time",
        history(orders=[FIRST, ADDING], probes=[probe(404, 5.2)]),
        history(orders=[FIRST, ADDING], probes=[probe(404, 5.0)]),
    ),
    (
        configuration.check_applied,
        Rule.CONFIG,
        "removed route still in use",
        history(orders=[FIRST, ADDING, DROPPING], probes=[probe(202, 11.2)]),
        history(
            orders=[FIRST, ADDING, DROPPING],
            probes=[probe(202, 11.2)],
            disruptions=[disruption(DisruptionKind.FROZEN, 9.0, 9.5, "edge-1")],
        ),
    ),
    (
        configuration.check_goes_back,
        Rule.CONFIG,
        "goes back",
        history(orders=[FIRST, ADDING], probes=[probe(202, 2.2), probe(404, 2.6)]),
        history(orders=[FIRST, ADDING], probes=[probe(202, 2.2), probe(404, 2.6, incarnation=1)]),
    ),
    (
        control.check_retirement_refused,
        SystemRule.RETIRE,
        "a valid order refused",
        history(retirements=[retirement(ORDER, 5.0, 409)]),
        history(retirements=[retirement(ORDER, 5.0, 409, valid=False)]),
    ),
    (
        control.check_retirement_refused,
        SystemRule.RETIRE,
        "404 when repeated",
        history(retirements=[retirement(ORDER, 5.0, 0), retirement(ORDER, 7.0, 404)]),
        history(retirements=[retirement(ORDER, 5.0, 0), retirement(ORDER, 7.0, 409)]),
    ),
    (
        control.check_retirement_done,
        SystemRule.RETIRE,
        "running again after done",
        history(retirements=[retirement(READ, 5.0, 200, DONE), retirement(READ, 6.0, 200, "running")]),
        history(retirements=[retirement(READ, 5.0, 200, "running"), retirement(READ, 6.0, 200, DONE)]),
    ),
    (
        control.check_acknowledged_in_time,
        SystemRule.ACKS,
        "no acknowledgement without faults",
        history(orders=[order(3, 1, UNCLEAR, ended_at=11.0)]),
        history(orders=[order(3, 1, UNCLEAR, ended_at=11.0)], disruptions=[replace(FROZEN_EDGE, at=7.0)]),
    ),
    (
        control.check_acknowledged_in_time,
        SystemRule.ACKS,
        "no acknowledgement, though none was lost",
        history(orders=[order(3, 1, UNCLEAR, ended_at=11.0)]),
        history(orders=[order(3, 1, UNCLEAR, ended_at=11.0, lost_answers=2)]),
    ),
    (
        messages.check_route,
        SystemRule.ROUTE,
        "a service that no version names",
        history(orders=[FIRST], runs=[run(11.0, service="other")]),
        history(orders=[FIRST], runs=[run(11.0)]),
    ),
    (
        messages.check_drain,
        SystemRule.DRAIN,
        "a draining worker",
        history(runs=[run(11.0, instance="i-1")], drains=[Drain("i-1", 7.9)]),
        history(runs=[run(11.0, instance="i-1")], drains=[Drain("i-1", 8.1)]),
    ),
    (
        messages.check_budget,
        SystemRule.BUDGET,
        "runs after six failures",
        history(answers=[Answer("a", at, 500, "") for at in range(11, 17)], runs=[run(18.0)]),
        history(answers=[Answer("a", at, 500, "") for at in range(11, 16)], runs=[run(18.0)]),
    ),
    (
        messages.check_budget,
        SystemRule.BUDGET,
        "runs after three rejections",
        history(answers=[Answer("a", at, 422, "") for at in range(11, 14)], runs=[run(18.0)]),
        history(answers=[Answer("a", at, 422, "") for at in range(11, 13)], runs=[run(18.0)]),
    ),
    (
        messages.check_state_known,
        Rule.LOST,
        "404 for an accepted message",
        history(state_reads=[state(12.2, 404)]),
        history(state_reads=[state(12.0, 404)]),
    ),
    (
        messages.check_states,
        Rule.MIXED,
        "a stamp of no run",
        history(answers=[SUCCESS], state_reads=[state(12.0, 200, DONE, "other")]),
        history(answers=[SUCCESS], state_reads=[state(12.0, 200, DONE, "stamp")]),
    ),
    (
        messages.check_states,
        Rule.MIXED,
        "queued again after done",
        history(answers=[SUCCESS], state_reads=[state(12.0, 200, DONE, "stamp"), state(13.0, 200, "queued")]),
        history(answers=[SUCCESS], state_reads=[state(11.5, 200, "queued"), state(12.0, 200, DONE, "stamp")]),
    ),
    (
        messages.check_states,
        Rule.MIXED,
        "dead before its end",
        history(answers=[Answer("a", 11.0, 500, "")], state_reads=[state(12.0, 200, "dead_letter")]),
        history(answers=[Answer("a", 11.0, 422, "")], state_reads=[state(12.0, 200, "dead_letter")]),
    ),
    (
        messages.check_states,
        Rule.MIXED,
        "other bytes",
        history(state_reads=[state(12.0, 200, body=b"other")]),
        history(state_reads=[state(12.0, 200, body=b"body")]),
    ),
    (
        messages.check_one_holder,
        Rule.MIXED,
        "one lease, two workers",
        history(runs=[run(11.0, lease_id="1", instance="p-1"), run(11.5, lease_id="1", instance="p-2")]),
        history(runs=[run(11.0, lease_id="1", instance="p-1"), run(14.5, lease_id="2", instance="p-2")]),
    ),
    (
        messages.check_order_key,
        Rule.UNASKED,
        "another order key",
        history(runs=[run(11.0, order_key="j")]),
        history(runs=[run(11.0, order_key="k")]),
    ),
)


class TestChecks(unittest.TestCase):
    """Each checker on a violating and on a correct history."""

    def test_each_checker_reports_broken_histories_only(self) -> None:
        for check, rule, description, broken, correct in CASES:
            with self.subTest(check=check.__name__, description=description):
                rules = {violation.rule for violation in check(broken, PARAMETERS)}  # type: ignore[attr-defined]
                self.assertEqual(rules, {rule})
                self.assertEqual(list(check(correct, PARAMETERS)), [])  # type: ignore[call-overload]

    def test_all_new_checkers_have_a_case(self) -> None:
        covered = {case[0] for case in CASES}
        new = {check for check in CHECKS if check.__module__.startswith("bitternpath.testing.simulation")}
        self.assertEqual(new, covered)

    def test_finding_names_its_checker(self) -> None:
        broken = history(orders=[FIRST, ADDING], reads=[read(1, 2.2)])
        self.assertIn("check_older_read", {item.checker for item in check_run(broken, PARAMETERS)})


class TestConnectivity(unittest.TestCase):
    """Connected and stable machines, as defined in RULES."""

    def connectivity(self, *disruptions: Disruption) -> Connectivity:
        return Connectivity(history(disruptions=list(disruptions)), PARAMETERS)

    def test_core_is_unstable_for_contact_ms_after_a_change(self) -> None:
        connectivity = self.connectivity(disruption(DisruptionKind.DOWN, 10.0, inf, "edge-1"))
        self.assertFalse(connectivity.stable(13.9, 13.95))
        self.assertTrue(connectivity.stable(14.1, 14.2))

    def test_disrupted_machine_is_not_connected(self) -> None:
        connectivity = self.connectivity(disruption(DisruptionKind.DOWN, 10.0, inf, "edge-1"))
        self.assertFalse(connectivity.connected(["edge-1"], 20.0, 20.1))
        self.assertTrue(connectivity.connected(["edge-2"], 20.0, 20.1))

    def test_majority_of_the_core_down(self) -> None:
        connectivity = self.connectivity(
            disruption(DisruptionKind.DOWN, 1.0, inf, "edge-1"),
            disruption(DisruptionKind.DOWN, 1.0, inf, "edge-2"),
        )
        self.assertFalse(connectivity.connected(["edge-3"], 20.0, 20.1))

    def test_longest_fault_free_interval(self) -> None:
        connectivity = self.connectivity(
            disruption(DisruptionKind.FROZEN, 3.0, 6.0, "edge-1"),
            disruption(DisruptionKind.FROZEN, 5.0, 7.0, "edge-2"),
        )
        self.assertEqual(connectivity.longest_fault_free_s(0.0, 20.0), 13.0)
        self.assertEqual(connectivity.longest_fault_free_s(4.0, 6.5), 0.0)


if __name__ == "__main__":
    unittest.main()
