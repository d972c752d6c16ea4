"""Checkers for the histories of simulated queues; `test_checkers` shows that each of them detects violations.

The names of the rules are those of RULES. A history contains the events at clients, workers and receivers,
and the responses and reports of the shards.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from bitternpath.transport.records import MessageState


class Rule(Enum):
    """A rule of RULES that a history may violate."""

    LOST = "LOST"
    ORDER = "ORDER"
    TWICE = "TWICE"
    CEILING = "CEILING"
    MIXED = "MIXED"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule."""

    rule: Rule
    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A client received a 202 response."""

    request_id: str
    sent: float
    accepted: float
    order_key: str
    route: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Run:
    """A worker began to run a message."""

    request_id: str
    started_at: float
    service: str


class WorkerResponseKind(Enum):
    """Status of a worker's response."""

    SUCCESS = 200
    REJECTED = 422
    FAILED = 500


@dataclass(frozen=True, slots=True)
class WorkerResponse:
    """A worker responded to a message."""

    request_id: str
    at: float
    kind: WorkerResponseKind
    stamp: str  # "" unless it is a success
    received: bool  # whether the sender received the complete response


@dataclass(frozen=True, slots=True)
class JobReceived:
    """A pulling worker received a message."""

    request_id: str
    lease_id: str
    at: float


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """A pulling worker extended its lease, and the shard confirmed it."""

    lease_id: str
    at: float


@dataclass(frozen=True, slots=True)
class EndResponse:
    """A shard responded to a holder's report that its attempt has ended."""

    request_id: str
    lease_id: str
    at: float
    success: bool
    pulled: bool
    accepted: bool


@dataclass(frozen=True, slots=True)
class StateReported:
    """A shard or a call-back reported the state of a message."""

    request_id: str
    at: float
    state: MessageState
    stamp: str


@dataclass(frozen=True, slots=True)
class StoredMessage:
    """A message stored in its shard at the end of a run."""

    request_id: str
    state: MessageState
    body: bytes | None  # None if the message is done


@dataclass(slots=True)
class History:
    """All recorded events; each list is in the order of time."""

    accepted: dict[str, Accepted] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    responses: list[WorkerResponse] = field(default_factory=list)
    jobs_received: list[JobReceived] = field(default_factory=list)
    extensions: list[LeaseExtended] = field(default_factory=list)
    ends: list[EndResponse] = field(default_factory=list)
    released: dict[str, float] = field(default_factory=dict)  # end of the attempt by lease id
    reported: list[StateReported] = field(default_factory=list)
    stored: dict[str, StoredMessage] = field(default_factory=dict)
    route_dropped: dict[str, list[float]] = field(default_factory=dict)
    finished: float = 0.0


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """Settings for checking a history."""

    max_attempts: dict[str, int]  # by route
    retention_s: dict[str, float]  # by route
    visibility_timeout_s: float
    rates: dict[str, float]  # by service
    window_s: float
    tolerance: float
    without_faults: bool  # no faults were injected, so a success must never be followed by another run


def ended_times(history: History, rule_settings: RuleSettings) -> dict[str, float]:
    """Return when each accepted message ended by the rules ("Messages", "Ended"); infinity if it did not."""
    result: dict[str, float] = {}
    failures: dict[str, int] = defaultdict(int)
    for response in history.responses:
        accepted = history.accepted.get(response.request_id)
        if accepted is None or response.request_id in result:
            continue
        failures[response.request_id] += response.kind is WorkerResponseKind.FAILED
        exhausted = failures[response.request_id] >= rule_settings.max_attempts[accepted.route]
        if response.kind is not WorkerResponseKind.FAILED or exhausted:
            result[response.request_id] = response.at
    for request_id, accepted in history.accepted.items():
        dropped = [at for at in history.route_dropped.get(accepted.route, []) if at >= accepted.sent]
        forced_end = min([accepted.sent + rule_settings.retention_s[accepted.route], *dropped])
        result[request_id] = min(result.get(request_id, inf), forced_end)
    return result


def check_lost(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Check that every accepted message has ended; a violation describes what is stored instead."""
    violations = []
    ended = ended_times(history, rule_settings)
    for request_id, accepted in history.accepted.items():
        if ended[request_id] <= history.finished:
            continue
        stored = history.stored.get(request_id)
        if stored is None or stored.body != accepted.body:
            violations.append(Violation(Rule.LOST, request_id, "the body is missing or differs"))
        elif stored.state is not MessageState.QUEUED:
            violations.append(Violation(Rule.LOST, request_id, f"stored as {stored.state.name}"))
        else:
            violations.append(Violation(Rule.LOST, request_id, "still queued after the time without faults"))
    return violations


def check_order(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Check that a run begins after the end of all messages of its key that were accepted before its send."""
    violations = []
    ended = ended_times(history, rule_settings)
    by_key: dict[str, list[Accepted]] = defaultdict(list)
    for accepted in history.accepted.values():
        if accepted.order_key:
            by_key[accepted.order_key].append(accepted)
    for run in history.runs:
        message = history.accepted.get(run.request_id)
        if message is None:
            continue
        for other in by_key.get(message.order_key, ()):
            if other.accepted < message.sent and ended[other.request_id] > run.started_at:
                text = f"began at {run.started_at:.3f} before {other.request_id} had ended"
                violations.append(Violation(Rule.ORDER, run.request_id, text))
    return violations


def check_twice(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Check that at most one success per message is accepted and no message is received while leased.

    Also check that responses to repeated reports do not change.
    """
    return [
        *_two_successes_accepted(history),
        *_changed_responses(history),
        *_received_while_leased(history, rule_settings),
        *(_runs_after_success(history) if rule_settings.without_faults else ()),
    ]


def _two_successes_accepted(history: History) -> list[Violation]:
    leases: dict[str, set[str]] = defaultdict(set)
    for end in history.ends:
        if end.accepted and end.success:
            leases[end.request_id].add(end.lease_id)
    return [
        Violation(Rule.TWICE, request_id, f"ends of {sorted(accepted)} accepted")
        for request_id, accepted in leases.items()
        if len(accepted) > 1
    ]


def _changed_responses(history: History) -> list[Violation]:
    accepted: set[tuple[str, bool]] = set()
    violations = []
    for end in history.ends:
        if end.accepted:
            accepted.add((end.lease_id, end.success))
        elif (end.lease_id, end.success) in accepted:
            text = f"the end of {end.lease_id} was accepted before and is now refused"
            violations.append(Violation(Rule.TWICE, end.request_id, text))
    return violations


def _received_while_leased(history: History, rule_settings: RuleSettings) -> list[Violation]:
    extensions: dict[str, list[float]] = defaultdict(list)
    for extension in history.extensions:
        extensions[extension.lease_id].append(extension.at)
    last: dict[str, JobReceived] = {}
    violations = []
    for received in history.jobs_received:
        previous = last.get(received.request_id)
        last[received.request_id] = received
        if previous is None or history.released.get(previous.lease_id, inf) <= received.at:
            continue
        times = extensions[previous.lease_id]
        earlier = times[: bisect_left(times, received.at)]
        if received.at < max([previous.at, *earlier]) + rule_settings.visibility_timeout_s:
            text = f"received at {received.at:.3f} while {previous.lease_id} was in flight"
            violations.append(Violation(Rule.TWICE, received.request_id, text))
    return violations


def _runs_after_success(history: History) -> list[Violation]:
    done: dict[str, float] = {}
    for response in history.responses:
        if response.kind is WorkerResponseKind.SUCCESS and response.received:
            done.setdefault(response.request_id, response.at)
    return [
        Violation(Rule.TWICE, run.request_id, f"runs at {run.started_at:.3f} after its success")
        for run in history.runs
        if run.started_at > done.get(run.request_id, inf)
    ]


def check_ceiling(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Check the number of arrivals at each rate-limited service in each sliding window."""
    violations = []
    for service, rate in rule_settings.rates.items():
        times = sorted(run.started_at for run in history.runs if run.service == service)
        allowed = rate * rule_settings.window_s * rule_settings.tolerance + 5
        for position, started_at in enumerate(times):
            count = bisect_left(times, started_at + rule_settings.window_s) - position
            if count > allowed:
                text = f"{count} arrivals at {service} from {started_at:.3f} on; {allowed:.2f} allowed"
                violations.append(Violation(Rule.CEILING, "", text))
                break
    return violations


def check_mixed(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Check that `done` has a successful run's stamp, and `dead_letter` and stored bodies are correct."""
    stamps: dict[str, set[str]] = defaultdict(set)
    for response in history.responses:
        if response.kind is WorkerResponseKind.SUCCESS:
            stamps[response.request_id].add(response.stamp)
    ended = ended_times(history, rule_settings)
    violations = []
    for reported in history.reported:
        if reported.state is MessageState.DONE and reported.stamp not in stamps[reported.request_id]:
            violations.append(Violation(Rule.MIXED, reported.request_id, "done without a stamp of its run"))
        if (
            reported.state is MessageState.DEAD_LETTER
            and ended.get(reported.request_id, reported.at) > reported.at
        ):
            violations.append(Violation(Rule.MIXED, reported.request_id, "dead letter before its end"))
    for request_id, stored in history.stored.items():
        accepted = history.accepted.get(request_id)
        has_body = stored.state is not MessageState.DONE and stored.body is not None
        if accepted is not None and has_body and stored.body != accepted.body:
            violations.append(Violation(Rule.MIXED, request_id, "the stored body differs"))
    return violations


def check_all(history: History, rule_settings: RuleSettings) -> list[Violation]:
    """Return all violations of a history."""
    checks = (check_lost, check_order, check_twice, check_ceiling, check_mixed)
    return [violation for check in checks for violation in check(history, rule_settings)]
