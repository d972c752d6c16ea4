"""Rules of messages that `fault_injection.checker` lacks: ROUTE, DRAIN, BUDGET, states. Pure functions."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from math import inf
from typing import Any

from bitternpath.testing.fault_injection.checker import Rule, Violation, ended_times
from bitternpath.testing.fault_injection.plan import HOSTS
from bitternpath.testing.simulation.checks.connectivity import Connectivity
from bitternpath.testing.simulation.checks.history import (
    StateRead,
    SystemHistory,
    SystemRule,
    SystemRuleParameters,
)

UNKNOWN_STATUSES = (404, 410)
FINAL_STATES = ("done", "dead_letter")
REJECTED_RUNS = 3  # number of 422 answers after which a message must not run again
BUDGET_FACTOR = 3  # a message must not run again after this factor times `max_attempts` 500 answers


def check_route(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A service runs a message only if some configuration that was sent routes the message to it."""
    documents = [order.document for order in history.orders if order.valid]
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is None:
            continue
        host = HOSTS[send.kind]
        services = {_service(document, host, send.target) for document in documents}
        if run.service not in services:
            yield Violation(
                SystemRule.ROUTE, run.request_id, f"ran at {run.service!r}, which no version allows"
            )


def check_drain(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """Connected machines send nothing to a worker from `drain_ms` after it is shown as draining."""
    connectivity = Connectivity(history, parameters)
    shown = {drain.instance: drain.shown_at for drain in reversed(history.drains)}
    for run in history.runs:
        until = shown.get(run.instance, inf) + parameters.drain_s
        if run.at > until and connectivity.connected(parameters.edges, shown[run.instance], run.at):
            text = f"reached {run.instance} at {run.at:.3f}, {run.at - until:.3f} s after its drain time"
            yield Violation(SystemRule.DRAIN, run.request_id, text)


def check_budget(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A message that always fails is not run without limit."""
    events = sorted(
        [(answer.at, 0, answer.request_id, answer.status) for answer in history.answers]
        + [(run.at, 1, run.request_id, 0) for run in history.runs]
    )
    failures: dict[int, Counter[str]] = {500: Counter(), 422: Counter()}
    for at, is_run, request_id, status in events:
        if not is_run:
            if status in failures:
                failures[status][request_id] += 1
            continue
        failed, rejected = failures[500][request_id], failures[422][request_id]
        if failed >= BUDGET_FACTOR * parameters.max_attempts or rejected >= REJECTED_RUNS:
            text = f"ran at {at:.3f} after {failed} answers of 500 and {rejected} of 422"
            yield Violation(SystemRule.BUDGET, request_id, text)


def check_state_known(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """From 2 s after a message was accepted, connected machines never answer that it doesn't exist."""
    connectivity = Connectivity(history, parameters)
    ended = ended_times(history, parameters)
    for read in history.state_reads:
        send = history.sends.get(read.request_id)
        if send is None or read.status not in UNKNOWN_STATUSES or send.status != 202:
            continue
        known = read.sent_at > send.ended_at + parameters.state_known_s
        retained = read.ended_at < ended[read.request_id] + parameters.status_s
        if known and retained and connectivity.connected([read.node], read.sent_at, read.ended_at):
            text = (
                f"{read.node} answered {read.status} at {read.ended_at:.3f}, accepted at {send.ended_at:.3f}"
            )
            yield Violation(Rule.LOST, read.request_id, text)


def check_states(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A final state has the stamp of a run, isn't reported before the message's end, and never changes."""
    stamps: dict[str, set[str]] = defaultdict(set)
    for answer in history.answers:
        if answer.stamp:
            stamps[answer.request_id].add(answer.stamp)
    ended = ended_times(history, parameters)
    final: dict[str, tuple[float, str, str]] = {}
    for read in sorted(history.state_reads, key=lambda read: read.ended_at):
        send = history.sends.get(read.request_id)
        if read.status != 200 or send is None:
            continue
        if read.body is not None:
            if read.body != send.body:
                yield Violation(Rule.MIXED, read.request_id, f"{read.node} returned other bytes")
            continue
        at, state, stamp = final.get(read.request_id, (inf, "", ""))
        if at < read.sent_at and (state, stamp) != (read.state, read.stamp):
            text = f"reported as {state!r} at {at:.3f}, and as {read.state!r} at {read.ended_at:.3f}"
            yield Violation(Rule.MIXED, read.request_id, text)
        yield from _check_final_state(read, stamps[read.request_id], ended.get(read.request_id, inf))
        if read.state in FINAL_STATES:
            final.setdefault(read.request_id, (read.ended_at, read.state, read.stamp))


def _check_final_state(read: StateRead, stamps: set[str], ended_at: float) -> Iterator[Violation]:
    """Check one read; `stamps` are those of the message's runs, `ended_at` is when it had certainly ended."""
    if read.state == "done" and read.stamp not in stamps:
        text = f"{read.node} reported it as done, with the stamp {read.stamp!r} of no run"
        yield Violation(Rule.MIXED, read.request_id, text)
    if read.state == "dead_letter" and ended_at > read.ended_at:
        text = f"{read.node} reported it as dead at {read.ended_at:.3f}, before its end"
        yield Violation(Rule.MIXED, read.request_id, text)


def check_one_holder(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A lease belongs to one worker and one message."""
    holders: dict[str, tuple[str, str]] = {}
    for run in history.runs:
        if not run.lease_id:
            continue
        holder = (run.request_id, run.instance)
        if holders.setdefault(run.lease_id, holder) != holder:
            text = f"lease {run.lease_id} was granted to {holders[run.lease_id]} and {holder}"
            yield Violation(Rule.MIXED, run.request_id, text)


def check_order_key(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A message runs with the order key that its sender set."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is not None and run.order_key is not None and run.order_key != send.order_key:
            text = f"ran with the order key {run.order_key!r} in place of {send.order_key!r}"
            yield Violation(Rule.UNASKED, run.request_id, text)


def _service(document: Any, host: str, target: str) -> str:
    """The service of the route with the longest matching prefix; "" if no route matches."""
    fitting = [
        route
        for route in document["routes"]
        if route["host"] == host and target.startswith(route["path_prefix"])
    ]
    best = max(fitting, key=lambda route: len(route["path_prefix"]), default=None)
    return str(best["service"]) if best is not None else ""
