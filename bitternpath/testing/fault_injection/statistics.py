"""Statistics of a run, computed from its history. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from bitternpath.testing.fault_injection.checker import Violation, ended_times
from bitternpath.testing.fault_injection.records import (
    DeliveryKind,
    History,
    RuleParameters,
    Send,
    SendOutcome,
)

SLOW_START_AFTER_S = 2.0  # the history of a message that starts later is printed
HISTORIES_SHOWN = 5  # maximum violations printed for each rule; the others are only counted


@dataclass(frozen=True, slots=True)
class Latency:
    """Latency from the sending to the 202, in milliseconds."""

    p50: float
    p99: float
    maximum: float


@dataclass(frozen=True, slots=True)
class KindStatistics:
    """Statistics of the messages of one delivery kind."""

    kind: DeliveryKind
    attempts: int
    accepted: int
    not_executed: int
    unclear: int
    not_sent: int
    rejected: int
    done: int
    dead: int
    runs: int
    repeated_runs: int  # runs after a success
    start_p50_ms: float  # time from the sending to the first run, without the requested delay
    start_p99_ms: float


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that `share` of the values don't exceed; 0 if there are no values."""
    return sorted(values)[max(ceil(share * len(values)) - 1, 0)] if values else 0.0


def latency(sends: Iterable[Send]) -> Latency:
    """Return the latency of the accepted attempts."""
    times_ms = [(s.ended_at - s.at) * 1000 for s in sends if s.outcome is SendOutcome.ACCEPTED]
    return Latency(percentile(times_ms, 0.5), percentile(times_ms, 0.99), max(times_ms, default=0.0))


def kind_statistics(history: History, parameters: RuleParameters, kind: DeliveryKind) -> KindStatistics:
    """Compute the statistics of one delivery kind."""
    sends = {request_id: send for request_id, send in history.sends.items() if send.kind is kind}
    successes = [a for a in history.answers if a.status == 200 and a.at <= history.finished]
    succeeded_at = {a.request_id: a.at for a in reversed(successes) if a.request_id in sends}
    ended = ended_times(history, parameters)
    accepted = [send for send in sends.values() if send.outcome is SendOutcome.ACCEPTED]
    runs = [run for run in history.runs if run.request_id in sends]
    first_starts = {run.request_id: run.at for run in reversed(runs)}
    start_delays_ms = [
        (first_starts[s.request_id] - s.at - s.delay_s) * 1000
        for s in accepted
        if s.request_id in first_starts
    ]
    outcomes = [send.outcome for send in sends.values()]
    succeeded_accepted = sum(send.request_id in succeeded_at for send in accepted)
    return KindStatistics(
        kind,
        len(sends),
        len(accepted),
        outcomes.count(SendOutcome.NOT_EXECUTED),
        outcomes.count(SendOutcome.UNCLEAR),
        outcomes.count(SendOutcome.NOT_SENT),
        outcomes.count(SendOutcome.REJECTED),
        succeeded_accepted,
        sum(ended[s.request_id] <= history.finished for s in accepted) - succeeded_accepted,
        len(runs),
        sum(run.at > succeeded_at.get(run.request_id, run.at) for run in runs),
        percentile(start_delays_ms, 0.5),
        percentile(start_delays_ms, 0.99),
    )


def second_line(second: int, sends: list[Send], done: int, waiting: int, cpu_wait_share: float) -> str:
    """Return the line of one second; `sends` are the attempts that ended in it."""
    accepted = sum(send.outcome is SendOutcome.ACCEPTED for send in sends)
    refused = sum(send.outcome is SendOutcome.NOT_EXECUTED for send in sends)
    unclear = sum(send.outcome in (SendOutcome.UNCLEAR, SendOutcome.NOT_SENT) for send in sends)
    times = latency(sends)
    return (
        f"{second:4d} s  accepted {accepted:4d}  done {done:4d}  refused {refused:3d}  unclear {unclear:3d}"
        f"  waiting {waiting:4d}  202 p50 {times.p50:6.1f} ms  p99 {times.p99:7.1f} ms"
        f"  cpu wait {cpu_wait_share:4.0%}"
    )


def summary_lines(history: History, parameters: RuleParameters) -> list[str]:
    """Return a table by delivery kind, and lines about the operator's orders and the call-backs."""
    lines = [
        "kind      tries accepted refused unclear unsent done dead  runs again  start p50     p99 ms",
    ]
    for kind in DeliveryKind:
        row = kind_statistics(history, parameters, kind)
        lines.append(
            f"{kind.value:9s} {row.attempts:5d} {row.accepted:8d} {row.not_executed:7d} {row.unclear:7d}"
            f" {row.not_sent:6d} {row.done:4d} {row.dead:4d} {row.runs:5d} {row.repeated_runs:5d}"
            f" {row.start_p50_ms:10.0f} {row.start_p99_ms:7.0f}"
        )
    orders = [order.outcome.value for order in history.orders]
    decision_times_ms = [(order.ended_at - order.sent_at) * 1000 for order in history.orders if order.valid]
    outcome_counts = ", ".join(f"{orders.count(name)} {name}" for name in dict.fromkeys(orders))
    lines.append(
        f"orders: {outcome_counts}; time to the final answer p50 {percentile(decision_times_ms, 0.5):.0f} ms,"
        f" maximum {max(decision_times_ms, default=0.0):.0f} ms"
    )
    statuses = Counter(send.status for send in history.sends.values() if send.status not in (0, 202))
    lines.append(f"answers other than 202: {dict(sorted(statuses.items()))}")
    accepted = sum(callback.accepted for callback in history.callbacks)
    lines.append(f"call-backs: {len(history.callbacks)} received, {accepted} accepted")
    return lines


def slow_start_lines(history: History) -> list[str]:
    """Return the history of the slowest start of each delivery kind, if it exceeds `SLOW_START_AFTER_S`."""
    first_starts = {run.request_id: run.at for run in reversed(history.runs)}
    lines: list[str] = []
    for kind in DeliveryKind:
        sends = [send for send in history.accepted() if send.kind is kind and send.request_id in first_starts]
        slowest = max(
            sends, key=lambda send: first_starts[send.request_id] - send.at - send.delay_s, default=None
        )
        if slowest is None:
            continue
        start_delay_s = first_starts[slowest.request_id] - slowest.at - slowest.delay_s
        if start_delay_s > SLOW_START_AFTER_S:
            lines.append(f"slowest start, {kind.value}: {slowest.request_id} after {start_delay_s:.2f} s")
            lines += [f"    {line}" for line in message_history(history, slowest.request_id)]
    return lines


def violation_lines(history: History, violations: list[Violation]) -> list[str]:
    """Return the violations of each rule with the histories of their messages, up to `HISTORIES_SHOWN`."""
    lines: list[str] = []
    for rule in dict.fromkeys(violation.rule for violation in violations):
        broken = [violation for violation in violations if violation.rule is rule]
        lines.append(f"BROKEN {rule.value}: {len(broken)}")
        for violation in broken[:HISTORIES_SHOWN]:
            lines.append(f"  {violation.request_id or '-'}: {violation.text}")
            lines += [f"    {line}" for line in message_history(history, violation.request_id)]
    return lines


def message_history(history: History, request_id: str) -> list[str]:
    """Return all observations of a message, ordered by time."""
    send = history.sends.get(request_id)
    events: list[tuple[float, str]] = []
    if send is not None:
        order_key = f" key {send.order_key}" if send.order_key else ""
        events.append(
            (send.at, f"sent to {send.node}, {send.kind.value}{order_key}, delay {send.delay_s:g} s")
        )
        events.append((send.ended_at, f"{send.outcome.value} ({send.status}) {send.message_id}"))
    events += [
        (run.at, f"runs at {run.service} {run.lease_id}")
        for run in history.runs
        if run.request_id == request_id
    ]
    events += [
        (answer.at, f"worker answers {answer.status} {answer.stamp} read={answer.read} {answer.lease_id}")
        for answer in history.answers
        if answer.request_id == request_id
    ]
    events += [
        (extension.at, f"extended {extension.lease_id}")
        for extension in history.lease_extensions
        if extension.request_id == request_id
    ]
    events += [
        (end.at, f"end {end.status} of {end.lease_id} accepted={end.accepted}")
        for end in history.ends
        if end.request_id == request_id
    ]
    events += [
        (callback.at, f"call-back {callback.state} {callback.stamp} accepted={callback.accepted}")
        for callback in history.callbacks
        if callback.request_id == request_id
    ]
    final_state = history.final_states.get(request_id)
    if final_state is not None:
        size = "none" if final_state.body is None else f"{len(final_state.body)} bytes"
        events.append(
            (final_state.at, f"read as {final_state.state or 'no answer'} {final_state.stamp} body {size}")
        )
    return [f"{at:8.3f} {text}" for at, text in sorted(events, key=lambda event: event[0])]
