"""All checkers of a simulated run, by name."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bitternpath.testing.fault_injection import checker as message_checker
from bitternpath.testing.fault_injection.checker import Violation
from bitternpath.testing.simulation.checks import configuration, control, messages
from bitternpath.testing.simulation.checks.history import SystemHistory, SystemRuleParameters

Check = Callable[[SystemHistory, SystemRuleParameters], Iterator[Violation]]

CHECKS: tuple[Check, ...] = (
    *message_checker.CHECKS,
    configuration.check_older_read,
    configuration.check_read_content,
    configuration.check_one_chain,
    configuration.check_base_in_force,
    configuration.check_applied,
    configuration.check_goes_back,
    control.check_retirement_refused,
    control.check_retirement_done,
    control.check_acknowledged_in_time,
    messages.check_route,
    messages.check_drain,
    messages.check_budget,
    messages.check_state_known,
    messages.check_states,
    messages.check_one_holder,
    messages.check_order_key,
)


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation, with the name of the checker that found it."""

    checker: str
    violation: Violation

    def __str__(self) -> str:
        violation = self.violation
        about = f" {violation.request_id}" if violation.request_id else ""
        return f"{violation.rule.value} ({self.checker}){about}: {violation.text}"


def check_run(history: SystemHistory, parameters: SystemRuleParameters) -> list[Finding]:
    """All violations of a run."""
    return [
        Finding(check.__name__, violation) for check in CHECKS for violation in check(history, parameters)
    ]
