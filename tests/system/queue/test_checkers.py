"""Each checker of `checkers` reports a history that violates its rule, and no similar valid history."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bitternpath.transport.records import MessageState
from tests.system.queue.checkers import (
    Accepted,
    EndResponse,
    History,
    JobReceived,
    LeaseExtended,
    RuleSettings,
    Run,
    StateReported,
    StoredMessage,
    WorkerResponse,
    WorkerResponseKind,
    check_ceiling,
    check_lost,
    check_mixed,
    check_order,
    check_twice,
)

RULE_SETTINGS = RuleSettings({"r": 2}, {"r": 90.0}, 3.0, {"limited": 1.0}, 5.0, 1.1, without_faults=False)
A = Accepted("a", 0.0, 0.1, "k", "r", b"body")
B = Accepted("b", 0.2, 0.3, "k", "r", b"body")
QUEUED, DONE, DEAD = MessageState.QUEUED, MessageState.DONE, MessageState.DEAD_LETTER
SUCCESS_A = WorkerResponse("a", 2.0, WorkerResponseKind.SUCCESS, "s", True)
FAILED_A = WorkerResponse("a", 2.0, WorkerResponseKind.FAILED, "", True)


def history(*accepted: Accepted, **lists: object) -> History:
    """Return a history of a few events."""
    return History(accepted={item.request_id: item for item in accepted}, finished=50.0, **lists)


class CheckersDetectViolations(unittest.TestCase):
    """Each checker reports a history that violates its rule, but not the most similar valid history."""

    CASES = (
        ("not stored", check_lost, history(A), history(A, responses=[SUCCESS_A])),
        (
            "stored as dead",
            check_lost,
            history(A, stored={"a": StoredMessage("a", DEAD, b"body")}),
            history(A, stored={"a": StoredMessage("a", DEAD, b"body")}, route_dropped={"r": [3.0]}),
        ),
        (
            "successor early",
            check_order,
            history(A, B, runs=[Run("b", 1.9, "s")], responses=[SUCCESS_A]),
            history(A, B, runs=[Run("b", 2.1, "s")], responses=[SUCCESS_A]),
        ),
        (
            "successor after one failure of two",
            check_order,
            history(A, B, runs=[Run("b", 3.0, "s")], responses=[FAILED_A]),
            history(A, B, runs=[Run("b", 3.0, "s")], responses=[FAILED_A, FAILED_A]),
        ),
        (
            "two successes accepted",
            check_twice,
            history(A, ends=[EndResponse("a", lease, 1.0, True, True, True) for lease in ("1", "2")]),
            history(A, ends=[EndResponse("a", "1", at, True, True, True) for at in (1.0, 2.0)]),
        ),
        (
            "an accepted end refused later",
            check_twice,
            history(A, ends=[EndResponse("a", "1", 1.0, True, True, accepted) for accepted in (True, False)]),
            history(A, ends=[EndResponse("a", "1", 1.0, True, True, accepted) for accepted in (False, True)]),
        ),
        (
            "received while leased",
            check_twice,
            history(
                A,
                jobs_received=[JobReceived("a", "1", 1.0), JobReceived("a", "2", 4.5)],
                extensions=[LeaseExtended("1", 2.0)],
            ),
            history(
                A,
                jobs_received=[JobReceived("a", "1", 1.0), JobReceived("a", "2", 5.0)],
                extensions=[LeaseExtended("1", 2.0)],
            ),
        ),
        (
            "over the rate limit",
            check_ceiling,
            history(runs=[Run("a", at * 0.45, "limited") for at in range(11)]),
            history(runs=[Run("a", at * 0.5, "limited") for at in range(11)]),
        ),
        (
            "done without a run's stamp",
            check_mixed,
            history(A, responses=[SUCCESS_A], reported=[StateReported("a", 3.0, DONE, "t")]),
            history(A, responses=[SUCCESS_A], reported=[StateReported("a", 3.0, DONE, "s")]),
        ),
        (
            "dead before its end",
            check_mixed,
            history(A, responses=[FAILED_A], reported=[StateReported("a", 3.0, DEAD, "")]),
            history(A, responses=[FAILED_A, FAILED_A], reported=[StateReported("a", 3.0, DEAD, "")]),
        ),
        (
            "stored body differs",
            check_mixed,
            history(A, stored={"a": StoredMessage("a", QUEUED, b"")}),
            history(A, stored={"a": StoredMessage("a", QUEUED, b"body")}),
        ),
    )

    def test_each_checker_reports_only_violations(self) -> None:
        for name, check, broken, correct in self.CASES:
            with self.subTest(name):
                self.assertTrue(check(broken, RULE_SETTINGS))
                self.assertEqual(check(correct, RULE_SETTINGS), [])

    def test_a_second_run_after_a_success_counts_where_nothing_failed(self) -> None:
        rerun = history(A, runs=[Run("a", 3.0, "s")], responses=[SUCCESS_A])
        self.assertEqual(check_twice(rerun, RULE_SETTINGS), [])
        self.assertTrue(check_twice(rerun, replace(RULE_SETTINGS, without_faults=True)))
