"""Rules of the configuration (RULES, "Configuration"; PROTOCOL, "The operator's API"). Pure functions."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from typing import Any

from bitternpath.testing.fault_injection.checker import Rule, Violation
from bitternpath.testing.fault_injection.records import OrderOutcome, OrderSent
from bitternpath.testing.simulation.checks.connectivity import Connectivity
from bitternpath.testing.simulation.checks.history import RouteProbe, SystemHistory, SystemRuleParameters

NO_ROUTE = 404
NO_VERSION = 0  # the version before the first configuration


def check_older_read(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A read that began after an acknowledgement returns that version or a newer one."""
    for read in history.reads:
        newest = max((order.version for order in _acknowledged(history, read.sent_at)), default=0)
        if read.version < newest:
            text = f"{read.node} read back {read.version} at {read.ended_at:.3f}, {newest} was acknowledged"
            yield Violation(Rule.CONFIG, "", text)


def check_read_content(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """A document that is read was sent with that version, and was neither refused nor invalid."""
    for read in history.reads:
        if read.version == NO_VERSION:
            continue
        same_version = [order for order in history.orders if order.version == read.version]
        matching = [order for order in same_version if order.document == read.document]
        if not matching:
            text = f"{read.node} read back {read.version} at {read.ended_at:.3f}, which was never sent so"
            yield Violation(Rule.CONFIG, "", text)
        elif not any(order.valid for order in matching):
            yield Violation(Rule.CONFIG, "", f"the invalid version {read.version} is in force")
        elif all(_refused(order) for order in matching):
            text = f"version {read.version} is in force at {read.ended_at:.3f}, and was refused"
            yield Violation(Rule.CONFIG, "", f"{text} with {matching[0].status}")


def check_one_chain(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """Acknowledged changes form a chain: none is based on a version older than its predecessor's."""
    distinct: dict[tuple[int, int, str], OrderSent] = {}
    for order in _acknowledged(history):
        distinct.setdefault((order.version, order.base, repr(order.document)), order)
    chain = sorted(distinct.values(), key=lambda order: (order.version, order.base))
    for earlier, later in pairwise(chain):
        if later.base < earlier.version:
            text = f"{earlier.version} on {earlier.base} and {later.version} on {later.base} acknowledged"
            yield Violation(Rule.CONFIG, "", text)


def check_base_in_force(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """An acknowledged change is based on a version that was not refused."""
    for order in _acknowledged(history):
        same_version = [other for other in history.orders if other.version == order.base]
        if same_version and all(_refused(other) for other in same_version):
            text = f"{order.version} was acknowledged on top of {order.base}, which was refused"
            yield Violation(Rule.CONFIG, "", f"{text} with {same_version[0].status}")


def check_applied(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """Connected machines apply an acknowledged version within `config_apply_ms`."""
    connectivity = Connectivity(history, parameters)
    for probe in history.probes:
        if not _answered(probe) or not connectivity.connected([probe.node], probe.sent_at, probe.ended_at):
            continue
        due = _acknowledged(history, probe.sent_at - parameters.config_apply_s)
        min_version = max((order.version for order in due), default=NO_VERSION)
        allowed = [version for version in _versions(history, probe) if version[0] >= min_version]
        if allowed and not any(_is_consistent(probe, document) for _, document in allowed):
            text = f"{probe.node} answered {probe.status} to {probe.path} sent at {probe.sent_at:.3f}"
            yield Violation(Rule.CONFIG, probe.request_id, f"{text}, as in versions below {min_version} only")


def check_goes_back(history: SystemHistory, parameters: SystemRuleParameters) -> Iterator[Violation]:
    """Within one incarnation, a machine never goes back to an older version."""
    floors: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for probe in sorted(history.probes, key=lambda probe: probe.ended_at):
        if not _answered(probe):
            continue
        seen = floors.setdefault((probe.node, probe.incarnation), [])
        before = probe.sent_at - parameters.downgrade_slack_s
        floor = max((version for at, version in seen if at <= before), default=NO_VERSION)
        possible = [
            version
            for version, document in _versions(history, probe)
            if version >= floor and _is_consistent(probe, document)
        ]
        if possible:
            seen.append((probe.ended_at, min(possible)))
        else:
            text = f"{probe.node} went back below {floor}: {probe.status} to {probe.path}"
            yield Violation(Rule.CONFIG, probe.request_id, f"{text} sent at {probe.sent_at:.3f}")


def _acknowledged(history: SystemHistory, before: float | None = None) -> list[OrderSent]:
    return [
        order
        for order in history.orders
        if order.outcome is OrderOutcome.ACKNOWLEDGED and (before is None or order.ended_at <= before)
    ]


def _refused(order: OrderSent) -> bool:
    return order.outcome is OrderOutcome.REFUSED


def _answered(probe: RouteProbe) -> bool:
    """Whether the answer shows if the node knows the route."""
    return probe.status in (202, NO_ROUTE)


def _versions(history: SystemHistory, probe: RouteProbe) -> list[tuple[int, Any]]:
    """Versions, with their documents, that may have been in force when the probe was answered."""
    sent = [(order.version, order.document) for order in history.possible_orders(probe.ended_at)]
    return [(NO_VERSION, {"routes": []}), *sent]


def _is_consistent(probe: RouteProbe, document: Any) -> bool:
    has_route = any(
        route["host"] == probe.host and probe.path.startswith(route["path_prefix"])
        for route in document["routes"]
    )
    return has_route == (probe.status != NO_ROUTE)
