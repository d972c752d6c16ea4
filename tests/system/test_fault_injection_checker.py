"""Checkers of fault-injection runs: each reports a violation, but not a valid history close to it."""

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
    """An attempt that was answered after 0.1 s."""
    attempt = Send(name, at, "edge-1", DeliveryKind.ENDPOINT, "/t", BODY, outcome=outcome, ended_at=at + 0.1)
    return replace(attempt, **fields)  # type: ignore[arg-type]


def run(name: str, at: float, lease: str = "", **fields: object) -> Run:
    """A run of a message of `send`."""
    return replace(Run(name, at, "s", "POST", "/t", BODY, lease), **fields)  # type: ignore[arg-type]


def success(name: str, at: float, stamp: str = "s", lease: str = "") -> Answer:
    """An answer with 200."""
    return Answer(name, at, 200, stamp, lease_id=lease)


def failure(name: str, at: float) -> Answer:
    """An answer with 500."""
    return Answer(name, at, 500, "")


def lease_end(name: str, lease: str, at: float, status: int = 200, accepted: bool = True) -> LeaseEnd:
    """The answer to a worker that reported the end of a lease."""
    return LeaseEnd(name, lease, at, status, accepted)


def order(
    version: int, outcome: OrderOutcome, base: int = 0, valid: bool = True, variant: int = 0
) -> OrderSent:
    """A configuration change."""
    document = {"version": version, "variant": variant}
    return OrderSent(version, base, float(version), version + 0.1, outcome, valid, document, 412)


def final_state_of_a(
    at: float, state: str, stamp: str = "", body: bytes | None = None
) -> dict[str, FinalState]:
    return {"a": FinalState("a", at, state, stamp, body)}


def history(*sends: Send, **lists: object) -> History:
    """A history of these sends and lists of events."""
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

# The rule, the name of the case, a history that violates the rule, and a similar one that doesn't.
CASES: tuple[tuple[Rule, str, History, History], ...] = (
    (
        Rule.LOST,
        "a message has not ended, and its body cannot be read",
        history(SEND_A, runs=[RUN_A], final_states=final_state_of_a(51.0, "queued")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.LOST,
        "a message has not ended, but is reported as done",
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
        "an accepted message never runs",
        history(SEND_A, final_states=final_state_of_a(51.0, "queued", "", BODY)),
        history(send("a", outcome=SendOutcome.UNCLEAR)),
    ),
    (
        Rule.LOST,
        "one failure of two attempts does not end a message",
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
        "a pulled job whose end was refused has not ended",
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
        "a message has ended, but its state cannot be read",
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "s")),
    ),
    (
        Rule.LOST,
        "a node that is stopped as planned does not answer",
        history(CLOSED_SEND, outages=[PLANNED_STOP]),
        history(CLOSED_SEND, outages=[PLANNED_STOP, replace(KILL, at=-3.0, until=-1.0)]),
    ),
    (
        Rule.LOST,
        "a connection that closes at once may close before the request was read",
        history(CLOSED_SEND, outages=[PLANNED_STOP]),
        history(replace(CLOSED_SEND, ended_at=0.1), outages=[PLANNED_STOP]),
    ),
    (
        Rule.ORDER,
        "the next message of a key starts before the previous one has ended",
        history(KEYED_SEND_A, KEYED_SEND_B, runs=[RUN_A, run("b", 1.1)], answers=[SUCCESS_A, SUCCESS_B]),
        history(KEYED_SEND_A, KEYED_SEND_B, runs=[RUN_A, run("b", 1.3)], answers=[SUCCESS_A, SUCCESS_B]),
    ),
    (
        Rule.ORDER,
        "the next message of a key starts after one failure of two attempts",
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
        "order is checked after `History.finished`, too",
        history(
            KEYED_SEND_A, KEYED_SEND_B, runs=[run("a", 51.0), run("b", 51.1)], answers=[success("a", 51.2)]
        ),
        history(
            KEYED_SEND_A, KEYED_SEND_B, runs=[run("a", 51.0), run("b", 51.3)], answers=[success("a", 51.2)]
        ),
    ),
    (
        Rule.LOST,
        "a run after `History.finished` is too late",
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
        "only messages that were accepted before the send have to end first",
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
        "successes of two leases are accepted",
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
        "an end is accepted, then refused",
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
        "a run follows a success that was read, without an outage in between",
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
        "an outage between a success and the next run allows the run, however early it ended",
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
        "a planned stop does not allow a repeated run",
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
        "a job is leased again while its lease is valid",
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
        "an end can take effect before its answer arrives",
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
        "a window has more arrivals than the limit",
        history(arrivals=[Arrival(number * 0.45, "limited") for number in range(11)]),
        history(arrivals=[Arrival(number * 0.5, "limited") for number in range(11)]),
    ),
    (
        Rule.MIXED,
        "a state has the stamp of no run",
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "t")),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A], final_states=final_state_of_a(51.0, "done", "s")),
    ),
    (
        Rule.MIXED,
        "a call-back has the stamp of no run",
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
        "a message is reported as dead before its end",
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
        "a body is read with different bytes",
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
        "a message runs although its answer promised that it does not",
        history(send("a", outcome=SendOutcome.NOT_EXECUTED), runs=[RUN_A], answers=[SUCCESS_A]),
        history(send("a", outcome=SendOutcome.UNCLEAR), runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "a message runs that no client sent",
        history(runs=[RUN_A], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "a message runs with another target",
        history(SEND_A, runs=[replace(RUN_A, target="/T")], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.UNASKED,
        "a message runs with another body",
        history(SEND_A, runs=[replace(RUN_A, body=b"")], answers=[SUCCESS_A]),
        history(SEND_A, runs=[RUN_A], answers=[SUCCESS_A]),
    ),
    (
        Rule.EARLY,
        "a message runs before its delay is over",
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
        "no configuration is read back",
        history(orders=[FIRST_CHANGE]),
        history(orders=[FIRST_CHANGE], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "a document that was not sent is read back",
        history(orders=[FIRST_CHANGE], read_back={"version": 1, "variant": 9}),
        history(
            orders=[FIRST_CHANGE, order(2, OrderOutcome.UNCLEAR, 1, variant=9)],
            read_back={"version": 2, "variant": 9},
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
        history(orders=[FIRST_CHANGE, order(1, ACKNOWLEDGED, variant=1)], read_back=FIRST_CHANGE.document),
        history(orders=[FIRST_CHANGE, order(1, REFUSED, variant=1)], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CONFIG,
        "an acknowledged change is refused when it is sent again",
        history(orders=[FIRST_CHANGE, order(1, REFUSED)], read_back=FIRST_CHANGE.document),
        history(orders=[FIRST_CHANGE, FIRST_CHANGE], read_back=FIRST_CHANGE.document),
    ),
    (
        Rule.CALLBACK,
        "a call-back is never accepted",
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
    """The rules that a history violates."""
    return {violation.rule for violation in check(observed, PARAMETERS)}


class TestCheckers(unittest.TestCase):
    """The checkers, with the table of cases."""

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
    """The times at which messages have ended."""

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
    """The report about a violated rule."""

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
