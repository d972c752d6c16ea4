"""Checkers of what a queue's clients, workers and receivers have seen, and tests that each one fires.

The names are those of RULES. A history holds only what happened outside the queue, and what its shards said.
"""

from __future__ import annotations

import unittest
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf

from bitternpath.transport.records import MessageState


class Rule(Enum):
    """What may be broken."""

    LOST = "LOST"
    ORDER = "ORDER"
    TWICE = "TWICE"
    CEILING = "CEILING"
    MIXED = "MIXED"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: Rule
    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A client got its 202."""

    request_id: str
    sent: float
    accepted: float
    order_key: str
    route: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Run:
    """A worker began."""

    request_id: str
    began: float
    service: str


class AnswerKind(Enum):
    """What a worker answered."""

    SUCCESS = 200
    REJECTED = 422
    FAILED = 500


@dataclass(frozen=True, slots=True)
class Answer:
    """A worker answered; `stamp` only with a success. `read`: the sender got the answer whole."""

    request_id: str
    at: float
    kind: AnswerKind
    stamp: str
    read: bool


@dataclass(frozen=True, slots=True)
class Handed:
    """A pulling worker got a job."""

    request_id: str
    lease_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Word:
    """A pulling worker extended a lease, and was told that it holds it."""

    lease_id: str
    at: float


@dataclass(frozen=True, slots=True)
class EndAnswer:
    """A holder was told whether its end was taken."""

    request_id: str
    lease_id: str
    at: float
    success: bool
    pulled: bool
    taken: bool


@dataclass(frozen=True, slots=True)
class Told:
    """The state of a message, as told by the shard or by a call-back."""

    request_id: str
    at: float
    state: MessageState
    stamp: str


@dataclass(frozen=True, slots=True)
class Kept:
    """What a shard holds of a message at the end; `body` None: it is unknown there."""

    request_id: str
    state: MessageState
    body: bytes | None


@dataclass(slots=True)
class History:
    """All that happened, each list in the order of time."""

    accepted: dict[str, Accepted] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    handed: list[Handed] = field(default_factory=list)
    words: list[Word] = field(default_factory=list)
    ends: list[EndAnswer] = field(default_factory=list)
    released: dict[str, float] = field(default_factory=dict)  # by lease: when its holder gave it up
    told: list[Told] = field(default_factory=list)
    kept: dict[str, Kept] = field(default_factory=dict)
    route_dropped: dict[str, list[float]] = field(default_factory=dict)
    finished: float = 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """Figures by which a history is judged."""

    max_attempts: dict[str, int]  # by route
    retention_s: dict[str, float]  # by route
    visible_s: float
    rates: dict[str, float]  # by service
    window_s: float
    over: float
    calm: bool  # nothing failed: a success is never followed by another run


def ended_times(history: History, terms: Terms) -> dict[str, float]:
    """When each accepted message had ended by the rules ("Messages", "Ended"); infinity: not yet."""
    result: dict[str, float] = {}
    failures: dict[str, int] = defaultdict(int)
    for answer in history.answers:
        accepted = history.accepted.get(answer.request_id)
        if accepted is None or answer.request_id in result:
            continue
        failures[answer.request_id] += answer.kind is AnswerKind.FAILED
        spent = failures[answer.request_id] >= terms.max_attempts[accepted.route]
        if answer.kind is not AnswerKind.FAILED or spent:
            result[answer.request_id] = answer.at
    for request_id, accepted in history.accepted.items():
        dropped = [at for at in history.route_dropped.get(accepted.route, []) if at >= accepted.sent]
        others = min([accepted.sent + terms.retention_s[accepted.route], *dropped])
        result[request_id] = min(result.get(request_id, inf), others)
    return result


def check_lost(history: History, terms: Terms) -> list[Violation]:
    """A message that has not ended is kept as queued with its bytes; one that can be done has ended."""
    violations = []
    ended = ended_times(history, terms)
    for request_id, accepted in history.accepted.items():
        if ended[request_id] <= history.finished:
            continue
        kept = history.kept.get(request_id)
        if kept is None or kept.body != accepted.body:
            violations.append(Violation(Rule.LOST, request_id, "the body is gone"))
        elif kept.state is not MessageState.QUEUED:
            violations.append(Violation(Rule.LOST, request_id, f"said to be {kept.state.name}"))
        else:
            violations.append(Violation(Rule.LOST, request_id, "never done though all was well"))
    return violations


def check_order(history: History, terms: Terms) -> list[Violation]:
    """A run begins only after all messages of its key that were accepted before it was sent have ended."""
    violations = []
    ended = ended_times(history, terms)
    by_key: dict[str, list[Accepted]] = defaultdict(list)
    for accepted in history.accepted.values():
        if accepted.order_key:
            by_key[accepted.order_key].append(accepted)
    for run in history.runs:
        mine = history.accepted.get(run.request_id)
        if mine is None:
            continue
        for other in by_key.get(mine.order_key, ()):
            if other.accepted < mine.sent and ended[other.request_id] > run.began:
                text = f"began at {run.began:.3f} before {other.request_id} had ended"
                violations.append(Violation(Rule.ORDER, run.request_id, text))
    return violations


def check_twice(history: History, terms: Terms) -> list[Violation]:
    """One success a message is taken; a taken end stays taken; a job isn't handed out while it is held."""
    return [
        *_two_successes_taken(history),
        *_changed_answers(history),
        *_handed_out_while_held(history, terms),
        *(_runs_after_success(history) if terms.calm else ()),
    ]


def _two_successes_taken(history: History) -> list[Violation]:
    leases: dict[str, set[str]] = defaultdict(set)
    for end in history.ends:
        if end.taken and end.success:
            leases[end.request_id].add(end.lease_id)
    return [
        Violation(Rule.TWICE, request_id, f"ends of {sorted(taken)} taken")
        for request_id, taken in leases.items()
        if len(taken) > 1
    ]


def _changed_answers(history: History) -> list[Violation]:
    taken: set[tuple[str, bool]] = set()
    violations = []
    for end in history.ends:
        if end.taken:
            taken.add((end.lease_id, end.success))
        elif (end.lease_id, end.success) in taken:
            text = f"the end of {end.lease_id} was taken before and is refused now"
            violations.append(Violation(Rule.TWICE, end.request_id, text))
    return violations


def _handed_out_while_held(history: History, terms: Terms) -> list[Violation]:
    words: dict[str, list[float]] = defaultdict(list)
    for word in history.words:
        words[word.lease_id].append(word.at)
    last: dict[str, Handed] = {}
    violations = []
    for handed in history.handed:
        before = last.get(handed.request_id)
        last[handed.request_id] = handed
        if before is None or history.released.get(before.lease_id, inf) <= handed.at:
            continue
        times = words[before.lease_id]
        heard = times[: bisect_left(times, handed.at)]
        if handed.at < max([before.at, *heard]) + terms.visible_s:
            text = f"handed out at {handed.at:.3f} while {before.lease_id} was held"
            violations.append(Violation(Rule.TWICE, handed.request_id, text))
    return violations


def _runs_after_success(history: History) -> list[Violation]:
    done: dict[str, float] = {}
    for answer in history.answers:
        if answer.kind is AnswerKind.SUCCESS and answer.read:
            done.setdefault(answer.request_id, answer.at)
    return [
        Violation(Rule.TWICE, run.request_id, f"runs at {run.began:.3f} after its success")
        for run in history.runs
        if run.began > done.get(run.request_id, inf)
    ]


def check_ceiling(history: History, terms: Terms) -> list[Violation]:
    """Arrivals at a limited service in each sliding window."""
    violations = []
    for service, rate in terms.rates.items():
        times = sorted(run.began for run in history.runs if run.service == service)
        allowed = rate * terms.window_s * terms.over + 5
        for position, began in enumerate(times):
            count = bisect_left(times, began + terms.window_s) - position
            if count > allowed:
                text = f"{count} arrivals at {service} from {began:.3f} on; {allowed:.2f} allowed"
                violations.append(Violation(Rule.CEILING, "", text))
                break
    return violations


def check_mixed(history: History, terms: Terms) -> list[Violation]:
    """`done` comes with the stamp of a successful run; `dead_letter` only once the message has ended."""
    stamps: dict[str, set[str]] = defaultdict(set)
    for answer in history.answers:
        if answer.kind is AnswerKind.SUCCESS:
            stamps[answer.request_id].add(answer.stamp)
    ended = ended_times(history, terms)
    violations = []
    for told in history.told:
        if told.state is MessageState.DONE and told.stamp not in stamps[told.request_id]:
            violations.append(Violation(Rule.MIXED, told.request_id, "done without a stamp of its run"))
        if told.state is MessageState.DEAD_LETTER and ended.get(told.request_id, told.at) > told.at:
            violations.append(Violation(Rule.MIXED, told.request_id, "dead letter before its end"))
    for request_id, kept in history.kept.items():
        accepted = history.accepted.get(request_id)
        shown = kept.state is not MessageState.DONE and kept.body is not None
        if accepted is not None and shown and kept.body != accepted.body:
            violations.append(Violation(Rule.MIXED, request_id, "other bytes"))
    return violations


def check_all(history: History, terms: Terms) -> list[Violation]:
    """All violations of a history."""
    checks = (check_lost, check_order, check_twice, check_ceiling, check_mixed)
    return [violation for check in checks for violation in check(history, terms)]


TERMS = Terms({"r": 2}, {"r": 90.0}, 3.0, {"limited": 1.0}, 5.0, 1.1, calm=False)
A = Accepted("a", 0.0, 0.1, "k", "r", b"body")
B = Accepted("b", 0.2, 0.3, "k", "r", b"body")
QUEUED, DONE, DEAD = MessageState.QUEUED, MessageState.DONE, MessageState.DEAD_LETTER
SUCCESS_A = Answer("a", 2.0, AnswerKind.SUCCESS, "s", True)
FAILED_A = Answer("a", 2.0, AnswerKind.FAILED, "", True)


def history(*accepted: Accepted, **lists: object) -> History:
    """A history of a few events."""
    return History(accepted={item.request_id: item for item in accepted}, finished=50.0, **lists)


class CheckersFire(unittest.TestCase):
    """Each rule's checker fires on a history that breaks it and is silent on the nearest that doesn't."""

    CASES = (
        ("gone", check_lost, history(A), history(A, answers=[SUCCESS_A])),
        (
            "said to be dead",
            check_lost,
            history(A, kept={"a": Kept("a", DEAD, b"body")}),
            history(A, kept={"a": Kept("a", DEAD, b"body")}, route_dropped={"r": [3.0]}),
        ),
        (
            "successor early",
            check_order,
            history(A, B, runs=[Run("b", 1.9, "s")], answers=[SUCCESS_A]),
            history(A, B, runs=[Run("b", 2.1, "s")], answers=[SUCCESS_A]),
        ),
        (
            "successor after one failure of two",
            check_order,
            history(A, B, runs=[Run("b", 3.0, "s")], answers=[FAILED_A]),
            history(A, B, runs=[Run("b", 3.0, "s")], answers=[FAILED_A, FAILED_A]),
        ),
        (
            "two successes taken",
            check_twice,
            history(A, ends=[EndAnswer("a", lease, 1.0, True, True, True) for lease in ("1", "2")]),
            history(A, ends=[EndAnswer("a", "1", at, True, True, True) for at in (1.0, 2.0)]),
        ),
        (
            "a taken end refused later",
            check_twice,
            history(A, ends=[EndAnswer("a", "1", 1.0, True, True, taken) for taken in (True, False)]),
            history(A, ends=[EndAnswer("a", "1", 1.0, True, True, taken) for taken in (False, True)]),
        ),
        (
            "handed out while held",
            check_twice,
            history(A, handed=[Handed("a", "1", 1.0), Handed("a", "2", 4.5)], words=[Word("1", 2.0)]),
            history(A, handed=[Handed("a", "1", 1.0), Handed("a", "2", 5.0)], words=[Word("1", 2.0)]),
        ),
        (
            "over the ceiling",
            check_ceiling,
            history(runs=[Run("a", at * 0.45, "limited") for at in range(11)]),
            history(runs=[Run("a", at * 0.5, "limited") for at in range(11)]),
        ),
        (
            "done without a run's stamp",
            check_mixed,
            history(A, answers=[SUCCESS_A], told=[Told("a", 3.0, DONE, "t")]),
            history(A, answers=[SUCCESS_A], told=[Told("a", 3.0, DONE, "s")]),
        ),
        (
            "dead before its end",
            check_mixed,
            history(A, answers=[FAILED_A], told=[Told("a", 3.0, DEAD, "")]),
            history(A, answers=[FAILED_A, FAILED_A], told=[Told("a", 3.0, DEAD, "")]),
        ),
        (
            "other bytes",
            check_mixed,
            history(A, kept={"a": Kept("a", QUEUED, b"")}),
            history(A, kept={"a": Kept("a", QUEUED, b"body")}),
        ),
    )

    def test_each_checker_fires_and_only_then(self) -> None:
        for name, check, broken, sound in self.CASES:
            with self.subTest(name):
                self.assertTrue(check(broken, TERMS))
                self.assertEqual(check(sound, TERMS), [])

    def test_a_second_run_after_a_success_counts_where_nothing_failed(self) -> None:
        twice = history(A, runs=[Run("a", 3.0, "s")], answers=[SUCCESS_A])
        self.assertEqual(check_twice(twice, TERMS), [])
        self.assertTrue(check_twice(twice, replace(TERMS, calm=True)))
