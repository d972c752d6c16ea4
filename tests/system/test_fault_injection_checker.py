"""Checkers of fault-injection runs: each reports a history that breaks its rule, not the nearest valid."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bitternpath.testing.fault_injection.checker import Rule, check, ended_times
from bitternpath.testing.fault_injection.records import (
    Answer,
    Arrival,
    CallbackReceived,
    DeliveryKind,
    FinalState,
    History,
    LeaseEnd,
    LeaseExtension,
    OrderOutcome,
    OrderSent,
    Outage,
    RuleParameters,
    Run,
    Send,
    SendOutcome,
)
from bitternpath.testing.fault_injection.statistics import message_history, percentile, violation_lines

PARAMETERS = RuleParameters(
    max_attempts=2,
    timeout_s=1.5,
    retention_s=90.0,
    visible_s=3.0,
    contact_s=4.0,
    loss_slack_s=0.2,
    ceiling_window_s=5.0,
    origin_rate_over=1.1,
    early_s=0.1,
    rates={"limited": 1.0},
)
BODY = b"body"
FINISHED = 50.0


def send(name: str, at: float = 0.0, outcome: SendOutcome = SendOutcome.ACCEPTED, **fields: object) -> Send:
    """A try that was answered after 0.1 s."""
    attempt = Send(name, at, "edge-1", DeliveryKind.ENDPOINT, "/t", BODY, outcome=outcome, ended_at=at + 0.1)
    return replace(attempt, **fields)  # type: ignore[arg-type]


def run(name: str, at: float, lease: str = "", **fields: object) -> Run:
    """A run of what `send` sends."""
    return replace(Run(name, at, "s", "POST", "/t", BODY, lease), **fields)  # type: ignore[arg-type]


def success(name: str, at: float, stamp: str = "s", lease: str = "") -> Answer:
    """A worker's success."""
    return Answer(name, at, 200, stamp, lease_id=lease)


def failure(name: str, at: float) -> Answer:
    """A worker's 500."""
    return Answer(name, at, 500, "")


def lease_end(name: str, lease: str, at: float, status: int = 200, accepted: bool = True) -> LeaseEnd:
    """The answer to the end of a lease."""
    return LeaseEnd(name, lease, at, status, accepted)


def order(version: int, outcome: OrderOutcome, base: int = 0, valid: bool = True, mark: int = 0) -> OrderSent:
    """A change of the configuration."""
    document = {"version": version, "mark": mark}
    return OrderSent(version, base, float(version), version + 0.1, outcome, valid, document, 412)


def final_state_of_a(
    at: float, state: str, stamp: str = "", body: bytes | None = None
) -> dict[str, FinalState]:
    return {"a": FinalState("a", at, state, stamp, body)}


def history(*sends: Send, **lists: object) -> History:
    """A history of a few events."""
    return History(sends={item.request_id: item for item in sends}, finished=FINISHED, **lists)  # type: ignore[arg-type]


SEND_A = send("a")
RUN_A, SUCCESS_A = run("a", 1.0), success("a", 1.2)
KEYED_SEND_A, KEYED_SEND_B = send("a", order_key="k"), send("b", 0.5, order_key="k")
SUCCESS_B = success("b", 3.0)
ACKNOWLEDGED, REFUSED = OrderOutcome.ACKNOWLEDGED, OrderOutcome.REFUSED
FIRST_CHANGE = order(1, ACKNOWLEDGED)
KILL = Outage("edge-1", 2.0, 3.5, planned=False)
PLANNED_STOP = Outage("edge-1", 0.0, 3.5, planned=True)
CLOSED_SEND = send("a", outcome=SendOutcome.UNCLEAR, connection_closed=True, ended_at=1.0)
PULLED_TWICE = [run("a", 1.0, "1"), run("a", 3.2, "2")]

# rule, what is wrong, a history that breaks it, and one near it that doesn't
CASES: tuple[tuple[Rule, str, History, History], ...] = (
    (
        Rule.LOST,
        "not ended, and no body comes",
        history(SEND_A, runs=[RUN_A], final_states=final_state_of_a(51.0, "queued")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.LOST,
        "not ended, and said to be done",
        history(
            SEND_A,
            runs=[RUN_A],
            answers=[failure("a", 1.2)],
            final_states=final_state_of_a(51.0, "done", "s", BODY),
        ),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "s")),
    ),
    (
        Rule.LOST,
        "never runs",
        history(SEND_A, final_states=final_state_of_a(51.0, "queued", "", BODY)),
        history(send("a", outcome=SendOutcome.UNCLEAR)),
    ),
    (
        Rule.LOST,
        "one failure of two is no end",
        history(
            SEND_A,
            runs=[RUN_A],
            answers=[failure("a", 1.2)],
            final_states=final_state_of_a(51.0, "queued", "", BODY),
        ),
        history(SEND_A, runs=[RUN_A], answers=[failure("a", 1.2), failure("a", 2.2)]),
    ),
    (
        Rule.LOST,
        "a pulled job whose end was not taken has not ended",
        history(
            SEND_A,
            runs=[run("a", 1.0, "1")],
            answers=[success("a", 1.2, lease="1")],
            ends=[lease_end("a", "1", 1.3, accepted=False)],
        ),
        history(
            SEND_A,
            runs=[run("a", 1.0, "1")],
            answers=[success("a", 1.2, lease="1")],
            ends=[lease_end("a", "1", 1.3)],
        ),
    ),
    (
        Rule.LOST,
        "ended, and its state never comes",
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "s")),
    ),
    (
        Rule.LOST,
        "no answer around a planned stop",
        history(CLOSED_SEND, outages=[PLANNED_STOP]),
        history(CLOSED_SEND, outages=[PLANNED_STOP, replace(KILL, at=-3.0, until=-1.0)]),
    ),
    (
        Rule.LOST,
        "broken off at once, before it was read",
        history(CLOSED_SEND, outages=[PLANNED_STOP]),
        history(replace(CLOSED_SEND, ended_at=0.1), outages=[PLANNED_STOP]),
    ),
    (
        Rule.ORDER,
        "the successor begins early",
        history(KEYED_SEND_A, KEYED_SEND_B, runs=[RUN_A, run("b", 1.1)], answers=[SUCCESS_A, SUCCESS_B]),
        history(KEYED_SEND_A, KEYED_SEND_B, runs=[RUN_A, run("b", 1.3)], answers=[SUCCESS_A, SUCCESS_B]),
    ),
    (
        Rule.ORDER,
        "the successor begins after one failure of two",
        history(
            KEYED_SEND_A,
            KEYED_SEND_B,
            runs=[RUN_A, run("b", 1.3), run("a", 2.0)],
            answers=[failure("a", 1.2), success("a", 2.2), SUCCESS_B],
        ),
        history(
            KEYED_SEND_A,
            KEYED_SEND_B,
            runs=[RUN_A, run("a", 2.0), run("b", 2.3)],
            answers=[failure("a", 1.2), failure("a", 2.2), SUCCESS_B],
        ),
    ),
    (
        Rule.ORDER,
        "what goes on after the end of the run counts as well",
        history(
            KEYED_SEND_A, KEYED_SEND_B, runs=[run("a", 51.0), run("b", 51.1)], answers=[success("a", 51.2)]
        ),
        history(
            KEYED_SEND_A, KEYED_SEND_B, runs=[run("a", 51.0), run("b", 51.3)], answers=[success("a", 51.2)]
        ),
    ),
    (
        Rule.LOST,
        "a run after the end of the run came too late",
        history(
            SEND_A,
            runs=[run("a", 51.0)],
            answers=[success("a", 51.1)],
            final_states=final_state_of_a(50.5, "queued", "", BODY),
        ),
        history(
            SEND_A,
            runs=[run("a", 49.0)],
            answers=[success("a", 49.1)],
            final_states=final_state_of_a(50.5, "done", "s"),
        ),
    ),
    (
        Rule.ORDER,
        "only messages that were accepted before the sending go first",
        history(
            KEYED_SEND_A, KEYED_SEND_B, runs=[run("b", 0.9), RUN_A], answers=[success("b", 0.95), SUCCESS_A]
        ),
        history(
            KEYED_SEND_A,
            replace(KEYED_SEND_B, at=0.05),
            runs=[run("b", 0.9), RUN_A],
            answers=[success("b", 0.95), SUCCESS_A],
        ),
    ),
    (
        Rule.TWICE,
        "two ends are taken",
        history(
            SEND_A,
            runs=[run("a", 1.0, "1"), run("a", 9.0, "2")],
            answers=[success("a", 9.1, "s", "1"), success("a", 9.2, "t", "2")],
            ends=[lease_end("a", "1", 9.1), lease_end("a", "2", 9.2)],
        ),
        history(
            SEND_A,
            runs=[run("a", 1.0, "1"), run("a", 9.0, "2")],
            answers=[success("a", 9.1, "s", "1"), success("a", 9.2, "t", "2")],
            ends=[lease_end("a", "1", 9.1, accepted=False), lease_end("a", "2", 9.2)],
        ),
    ),
    (
        Rule.TWICE,
        "an end is taken, then refused",
        history(
            SEND_A,
            answers=[success("a", 1.0, lease="1")],
            ends=[lease_end("a", "1", 1.0), lease_end("a", "1", 2.0, 200, False)],
        ),
        history(
            SEND_A,
            answers=[success("a", 1.0, lease="1")],
            ends=[lease_end("a", "1", 1.0), lease_end("a", "1", 2.0)],
        ),
    ),
    (
        Rule.TWICE,
        "a run after a success that was read, in calm",
        history(
            SEND_A,
            runs=[run("a", 11.0), run("a", 12.0)],
            answers=[success("a", 11.1)],
            outages=[replace(KILL, at=6.0, until=6.9), replace(KILL, at=12.1, until=12.2)],
        ),
        history(
            SEND_A,
            runs=[run("a", 11.0), run("a", 12.0)],
            answers=[success("a", 11.1)],
            outages=[replace(KILL, at=6.0, until=7.1)],
        ),
    ),
    (
        Rule.TWICE,
        "an outage between the success and the next arrival is an excuse, however long before that it ended",
        history(
            SEND_A,
            runs=[RUN_A, run("a", 17.6)],
            answers=[SUCCESS_A],
            outages=[replace(KILL, at=17.7, until=18.0)],
        ),
        history(
            SEND_A,
            runs=[RUN_A, run("a", 17.6)],
            answers=[SUCCESS_A],
            outages=[replace(KILL, at=1.2, until=1.5)],
        ),
    ),
    (
        Rule.TWICE,
        "a planned stop is no excuse",
        history(SEND_A, runs=[RUN_A, run("a", 4.0)], answers=[SUCCESS_A], outages=[PLANNED_STOP]),
        history(
            SEND_A,
            runs=[RUN_A, run("a", 4.0)],
            answers=[replace(SUCCESS_A, read=False)],
            outages=[PLANNED_STOP],
        ),
    ),
    (
        Rule.TWICE,
        "a success just before the time-out may not have been read",
        history(SEND_A, runs=[RUN_A, run("a", 4.0)], answers=[success("a", 2.44)]),
        history(SEND_A, runs=[RUN_A, run("a", 4.0)], answers=[success("a", 2.46)]),
    ),
    (
        Rule.VISIBLE,
        "handed out while it is held",
        history(
            SEND_A,
            runs=[run("a", 1.0, "1"), run("a", 4.5, "2")],
            lease_extensions=[LeaseExtension("a", "1", 2.0)],
        ),
        history(
            SEND_A,
            runs=[run("a", 1.0, "1"), run("a", 5.1, "2")],
            lease_extensions=[LeaseExtension("a", "1", 2.0)],
        ),
    ),
    (
        Rule.VISIBLE,
        "an end may be taken before its answer comes",
        history(SEND_A, runs=PULLED_TWICE, answers=[Answer("a", 3.3, 500, "", lease_id="1")]),
        history(
            SEND_A,
            runs=PULLED_TWICE,
            answers=[Answer("a", 3.1, 500, "", lease_id="1")],
            ends=[lease_end("a", "1", 3.3, 500)],
        ),
    ),
    (
        Rule.CEILING,
        "more arrivals than a window may have",
        history(arrivals=[Arrival(number * 0.45, "limited") for number in range(11)]),
        history(arrivals=[Arrival(number * 0.5, "limited") for number in range(11)]),
    ),
    (
        Rule.MIXED,
        "a state with the stamp of no run",
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "t")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "s")),
    ),
    (
        Rule.MIXED,
        "a call-back with the stamp of no run",
        history(
            SEND_A,
            runs=[RUN_A],
            answers=[SUCCESS_A],
            callbacks=[CallbackReceived("a", 2.0, "done", "", True)],
        ),
        history(
            SEND_A,
            runs=[RUN_A],
            answers=[SUCCESS_A],
            callbacks=[CallbackReceived("a", 2.0, "done", "s", True)],
        ),
    ),
    (
        Rule.MIXED,
        "said to be dead before its end",
        history(
            SEND_A,
            runs=[RUN_A, run("a", 3.0)],
            answers=[failure("a", 1.2), failure("a", 3.2)],
            callbacks=[CallbackReceived("a", 2.0, "dead_letter", "", True)],
        ),
        history(
            SEND_A,
            runs=[RUN_A, run("a", 3.0)],
            answers=[failure("a", 1.2), failure("a", 3.2)],
            callbacks=[CallbackReceived("a", 3.3, "dead_letter", "", True)],
        ),
    ),
    (
        Rule.MIXED,
        "other bytes come back",
        history(
            SEND_A,
            runs=[RUN_A],
            answers=[SUCCESS_A],
            final_states=final_state_of_a(51.0, "queued", "", b"else"),
        ),
        history(
            SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "queued", "", BODY)
        ),
    ),
    (
        Rule.REFUSED,
        "runs after a promise",
        history(send("a", outcome=SendOutcome.NOT_EXECUTED), runs=[RUN_A], answers=[SUCCESS_A]),
        history(send("a", outcome=SendOutcome.UNCLEAR), runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "no client sent it",
        history(runs=[RUN_A], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "runs with another target",
        history(SEND_A, runs=[replace(RUN_A, target="/T")], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "runs with another body",
        history(SEND_A, runs=[replace(RUN_A, body=b"")], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.EARLY,
        "runs before its delay is over",
        history(send("a", delay_s=1.2), runs=[RUN_A], answers=[SUCCESS_A]),
        history(send("a", delay_s=1.05), runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.CONFIG,
        "an older version is read back",
        history(orders=[FIRST_CHANGE, order(3, ACKNOWLEDGED, 1)], read_back=FIRST_CHANGE.document),
        history(orders=[FIRST_CHANGE, order(3, OrderOutcome.UNCLEAR, 1)], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "nothing is read back",
        history(orders=[FIRST_CHANGE]),
        history(orders=[FIRST_CHANGE], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "something else is read back",
        history(orders=[FIRST_CHANGE], read_back={"version": 1, "mark": 9}),
        history(
            orders=[FIRST_CHANGE, order(2, OrderOutcome.UNCLEAR, 1, mark=9)],
            read_back={"version": 2, "mark": 9},
        ),
    ),
    (
        Rule.CONFIG,
        "an invalid change is acknowledged",
        history(
            orders=[replace(FIRST_CHANGE, valid=False), order(2, ACKNOWLEDGED, 1)],
            read_back=order(2, ACKNOWLEDGED).document,
        ),
        history(orders=[FIRST_CHANGE, order(2, REFUSED, 1, valid=False)], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "two changes of one version are acknowledged",
        history(orders=[FIRST_CHANGE, order(1, ACKNOWLEDGED, mark=1)], read_back=FIRST_CHANGE.document),
        history(orders=[FIRST_CHANGE, order(1, REFUSED, mark=1)], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "an acknowledged change is refused when it is sent again",
        history(orders=[FIRST_CHANGE, order(1, REFUSED)], read_back=FIRST_CHANGE.document),
        history(orders=[FIRST_CHANGE, FIRST_CHANGE], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CALLBACK,
        "owed, and never taken",
        history(
            send("a", wants_callback=True),
            runs=[RUN_A],
            answers=[SUCCESS_A],
            callbacks=[CallbackReceived("a", 2.0, "done", "s", False)],
        ),
        history(
            send("a", wants_callback=True),
            runs=[RUN_A],
            answers=[SUCCESS_A],
            callbacks=[CallbackReceived("a", 2.0, "done", "s", True)],
        ),
    ),
)


def broken_rules(observed: History) -> set[Rule]:
    """The rules that a history breaks."""
    return {violation.rule for violation in check(observed, PARAMETERS)}


class TestCheckers(unittest.TestCase):
    """The table of cases."""

    def test_each_checker_reports_its_violation(self) -> None:
        for rule, name, broken, _ in CASES:
            with self.subTest(rule=rule.value, case=name):
                self.assertIn(rule, broken_rules(broken))

    def test_no_checker_reports_the_nearest_valid_history(self) -> None:
        for rule, name, _, valid in CASES:
            with self.subTest(rule=rule.value, case=name):
                self.assertNotIn(rule, broken_rules(valid))

    def test_every_rule_has_a_case(self) -> None:
        self.assertEqual({rule for rule, *_ in CASES}, set(Rule))

    def test_complete_valid_history_breaks_nothing(self) -> None:
        valid = history(
            send("a", order_key="k", wants_callback=True),
            send("b", 1.5, order_key="k"),
            send("c", 2.0, SendOutcome.NOT_EXECUTED),
            runs=[RUN_A, run("b", 2.0), run("b", 2.6)],
            answers=[SUCCESS_A, failure("b", 2.1), success("b", 2.8, "t")],
            callbacks=[CallbackReceived("a", 1.3, "done", "s", True)],
            final_states={"a": FinalState("a", 51.0, "done", "s"), "b": FinalState("b", 51.0, "done", "t")},
            orders=[FIRST_CHANGE],
            read_back=FIRST_CHANGE.document,
        )
        self.assertEqual(check(valid, PARAMETERS), [])


class TestEndedTimes(unittest.TestCase):
    """When messages have ended."""

    def test_message_ends_when_its_retention_is_over(self) -> None:
        observed = history(SEND_A)
        self.assertEqual(ended_times(observed, PARAMETERS), {"a": 90.0})
        self.assertEqual(broken_rules(observed), {Rule.LOST})
        observed.finished = 91.0
        self.assertEqual(broken_rules(observed), set())

    def test_rejection_ends_a_message(self) -> None:
        observed = history(SEND_A, answers=[Answer("a", 1.2, 422, "")])
        self.assertEqual(ended_times(observed, PARAMETERS), {"a": 1.2})


class TestReport(unittest.TestCase):
    """What is printed of a broken rule."""

    def test_message_history_is_ordered_by_time(self) -> None:
        observed = history(SEND_A, runs=[RUN_A, run("a", 7.6)], answers=[SUCCESS_A])
        times = [float(line.split()[0]) for line in message_history(observed, "a")]
        self.assertEqual(times, [0.0, 0.1, 1.0, 1.2, 7.6])

    def test_violation_is_shown_with_its_message_history(self) -> None:
        observed = history(SEND_A, runs=[RUN_A, run("a", 7.6)], answers=[SUCCESS_A])
        lines = violation_lines(observed, check(observed, PARAMETERS))
        self.assertEqual(lines[0], "BROKEN TWICE: 1")
        self.assertIn("a: ran at 7.600 after its success at 1.200", lines[1])

    def test_percentiles_are_observed_values(self) -> None:
        self.assertEqual(percentile([], 0.5), 0.0)
        self.assertEqual(percentile([3.0, 1.0, 2.0], 0.5), 2.0)
        self.assertEqual(percentile([float(value) for value in range(1, 101)], 0.99), 99.0)
