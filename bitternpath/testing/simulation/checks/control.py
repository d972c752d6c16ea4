"""Rules of retirement and acknowledgement (PROTOCOL, "The operator's API"; RULES, "Acks"). Pure functions."""

from __future__ import annotations

from collections.abc import Iterator

from bitternpath.testing.fault_injection.checker import Violation
from bitternpath.testing.fault_injection.records import OrderOutcome
from bitternpath.testing.simulation.checks.connectivity import Connectivity
from bitternpath.testing.simulation.checks.history import (
    RetireCall,
    SystemHistory,
    SystemRule,
    SystemRuleParameters,
)


def check_retirement_refused(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A valid order to retire a machine isn't refused, except by 409 (in progress) when it is repeated."""
    first_sent_at: dict[str, float] = {}
    for order in history.retirements:
        if order.call is not RetireCall.ORDER or not order.valid:
            continue
        repeated = first_sent_at.setdefault(order.machine, order.sent_at) < order.sent_at
        allowed = (409,) if repeated else ()
        if 400 <= order.status < 500 and order.status not in (408, 429, *allowed):
            text = f"{order.node} refused to retire {order.machine} with {order.status}"
            yield Violation(SystemRule.RETIRE, "", f"{text} at {order.ended_at:.3f}")


def check_retirement_done(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A retirement that was reported as done stays done."""
    done: dict[str, float] = {}
    for poll in sorted(history.retirements, key=lambda poll: poll.ended_at):
        if poll.call is not RetireCall.READ or poll.status != 200:
            continue
        if poll.state == "done":
            done.setdefault(poll.machine, poll.ended_at)
        elif done.get(poll.machine, poll.sent_at) < poll.sent_at:
            text = f"{poll.machine} was done at {done[poll.machine]:.3f}"
            yield Violation(SystemRule.RETIRE, "", f"{text}, and {poll.state!r} at {poll.ended_at:.3f}")


def check_acknowledged_in_time(
    history: SystemHistory, parameters: SystemRuleParameters
) -> Iterator[Violation]:
    """A valid change is acknowledged within `ack_ms` of an interval without faults."""
    connectivity = Connectivity(history, parameters)
    for order in history.orders:
        if not order.valid or order.lost_answers or order.outcome is OrderOutcome.REFUSED:
            continue
        # All machines start at 0, so the core isn't stable before `contact_s`.
        began = max(order.sent_at, parameters.contact_s)
        fault_free = connectivity.longest_fault_free_s(began, order.ended_at)
        if fault_free > parameters.ack_s:
            text = f"version {order.version}, sent at {order.sent_at:.3f}, is {order.outcome.value}"
            yield Violation(SystemRule.ACKS, "", f"{text} after {fault_free:.1f} s without faults")
