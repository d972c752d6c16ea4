"""Observations of a simulated run: those of `fault_injection.records`, and of operators, probes and faults.

Times are seconds of virtual time. All observations are made from outside of the system.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from bitternpath.testing.fault_injection.records import History, OrderSent, RuleParameters


class SystemRule(Enum):
    """Rules that can be violated, besides those of `fault_injection.checker.Rule`."""

    ROUTE = "ROUTE"
    DRAIN = "DRAIN"
    BUDGET = "BUDGET"
    RETIRE = "RETIRE"
    ACKS = "ACKS"
    GROUP_INVARIANT = "INSIDE"  # an invariant of `group_invariants`; saved plans contain the value
    FOUNDING = "FOUNDING"  # no first configuration, or nodes that don't become ready
    FAULT = "FAULT"  # an error inside a node, or a process that exited by itself


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A `GET /config` that was answered with 200."""

    node: str
    sent_at: float
    ended_at: float
    document: Any  # as JSON values

    @property
    def version(self) -> int:
        """The version that was read; 0 if the document has none."""
        version = self.document.get("version", 0) if isinstance(self.document, dict) else 0
        return version if isinstance(version, int) else 0


@dataclass(frozen=True, slots=True)
class RouteProbe:
    """A message sent directly to one node, on a route that may have been added or removed."""

    request_id: str
    node: str
    incarnation: int  # incarnation of the node's process
    sent_at: float
    ended_at: float
    host: str
    path: str
    status: int  # 0: no answer


@dataclass(frozen=True, slots=True)
class StateRead:
    """An answer to `GET /message/ID` or `GET /message-body/ID` during the run."""

    request_id: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    state: str = ""
    stamp: str = ""
    body: bytes | None = None


class RetireCall(Enum):
    """Methods of `/retire/NODE`."""

    ORDER = "POST"
    READ = "GET"


@dataclass(frozen=True, slots=True)
class Retirement:
    """An answer to a call of `/retire/NODE`; `node` gave it."""

    call: RetireCall
    machine: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    state: str = ""
    valid: bool = True  # whether the machine ran and enough others remained


class DisruptionKind(Enum):
    """Kinds of disruptions of machines."""

    DOWN = "down"  # killed or without power, until its restart
    LEAVING = "leaving"  # planned shutdown by SIGTERM
    FROZEN = "frozen"
    PARTITION = "cut"  # from all or some others, in one direction or both
    SLOWED = "slowed"
    NEW = "new"  # started on an empty machine
    CLOCK = "clock"  # a step of the wall clock
    LOSSY = "lossy"  # links lose packets


@dataclass(frozen=True, slots=True)
class Disruption:
    """A disruption of machines from `at` to `until`."""

    kind: DisruptionKind
    nodes: frozenset[str]
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class Drain:
    """The platform's list showed a worker as draining, or no longer contained it."""

    instance: str
    shown_at: float


@dataclass(slots=True)
class SystemHistory(History):
    """All observations of a simulated run."""

    reads: list[ConfigRead] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    state_reads: list[StateRead] = field(default_factory=list)
    retirements: list[Retirement] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)

    def possible_orders(self, sent_before: float) -> list[OrderSent]:
        """Valid orders that may have been in force at the time `sent_before`."""
        return [
            order
            for order in self.orders
            if order.valid and order.sent_at <= sent_before and order.outcome.value != "refused"
        ]


@dataclass(frozen=True, slots=True)
class SystemRuleParameters(RuleParameters):
    """Parameters of the rules of a simulated run (RULES; DEPLOY, `bounds`)."""

    core: frozenset[str] = frozenset()  # machines with a disk that serve `control_plane`
    stores: frozenset[str] = frozenset()
    edges: frozenset[str] = frozenset()
    config_apply_s: float = 3.0
    downgrade_slack_s: float = 0.25
    drain_s: float = 3.0
    list_lag_s: float = 0.8
    ack_s: float = 5.0
    status_s: float = 120.0
    state_known_s: float = 2.0  # time from the acceptance after which no read of a state is answered with 404
