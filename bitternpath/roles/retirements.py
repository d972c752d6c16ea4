"""Retirement of storage nodes by the operator: all replicas are moved away from a node.

It is one of the tasks of the configuration's owner.
"""

from __future__ import annotations

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.configuration.commands import COMMANDS, RetireNode
from bitternpath.configuration.consensus_group import ConsensusGroup
from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.configuration.retirement import (
    MembershipReports,
    RetireCheck,
    RetireState,
    decide_retirement,
    next_finished_retirement,
    retirement_state,
    state_body,
)
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.group_messages import MembershipReport

log = logbook.Logger("configuration")

FOLLOWERS_KNOWN_AFTER_S = 3.0  # since becoming owner; followers notice the loss of the last one within 1.3 s


class Retirements:
    """Answers the operator's calls; each answer follows a read barrier of the configuration group."""

    def __init__(
        self, group: ConsensusGroup, state: ConfigurationState, nodes: LiveNodes, tolerated_machines: int
    ) -> None:
        """`group` commits what changes `state`; shards have 2 * `tolerated_machines` + 1 replicas."""
        self._group = group
        self._state = state
        self._nodes = nodes
        self._tolerated_machines = tolerated_machines
        self._reports = MembershipReports()
        self._finishing = False

    def begin(self) -> None:
        """Restart for a new ownership.

        Reports to an earlier owner are lost and will be sent again; completed retirements are committed.
        """
        self._reports = MembershipReports()

    def reported(self, report: MembershipReport) -> None:
        """Handle a shard owner's report of its committed members."""
        self._reports.update(report)
        self.reconcile()

    def reconcile(self) -> None:
        """Commit the completion of a retirement once the reports prove it."""
        finish = None if self._finishing else next_finished_retirement(self._state, self._reports)
        if finish is not None:
            log.info("event=retirement_completed node={}", finish.node)
            self._finishing = True
            self._group.propose(COMMANDS.encode(finish)).addBoth(self._finished)

    def _finished(self, _: object) -> None:
        self._finishing = False

    def retire(self, node: str) -> Deferred[OperatorResult]:
        """Begin the retirement of a node; fires with the result for the operator, and never fails."""
        return self._group.barrier().addCallbacks(lambda _: self._decide(node), _not_owner)

    def _decide(self, node: str) -> OperatorResult | Deferred[OperatorResult]:
        live = self._nodes.storage()
        decision = decide_retirement(self._state, node, live, self._nodes.down_for, self._tolerated_machines)
        if decision.command is not None:
            return self._accept(decision.command)
        match decision.check:
            case RetireCheck.REPEATED:
                return OperatorResult(ResultCode.RETIRING, state_body(retirement_state(self._state, node)))
            case RetireCheck.UNKNOWN_NODE:
                return self._refuse(ResultCode.UNKNOWN_NODE, decision.check)
            case _:
                return self._refuse(ResultCode.TOO_FEW_NODES, decision.check)

    def _accept(self, command: RetireNode) -> Deferred[OperatorResult]:
        return self._group.propose(COMMANDS.encode(command)).addCallbacks(self._applied, _outcome_unknown)

    def _applied(self, accepted: object) -> OperatorResult:
        """Answer by the committed state.

        Of two concurrent retirements, one may leave too few nodes for the other.
        """
        if accepted:
            return OperatorResult(ResultCode.RETIRING, state_body(RetireState.RUNNING))
        return self._refuse(ResultCode.TOO_FEW_NODES, RetireCheck.TOO_FEW_LEFT)

    def _refuse(self, code: ResultCode, check: RetireCheck) -> OperatorResult:
        """Refuse permanently only what no node that is still unknown to this owner could make valid.

        An operator doesn't repeat a call that ended with 404 or 409. A node that joined just before this node
        became the owner is neither in the committed state nor subscribed here yet.
        """
        if self._nodes.owned_for() < FOLLOWERS_KNOWN_AFTER_S:
            return operator_result(ResultCode.NOT_OWNER, "this owner doesn't know all nodes yet")
        return operator_result(code, check.value)

    def progress(self, node: str) -> Deferred[OperatorResult]:
        """The progress of a node's retirement; fires with the result for the operator, and never fails."""
        return self._group.barrier().addCallbacks(lambda _: self._read_progress(node), _not_owner)

    def _read_progress(self, node: str) -> OperatorResult:
        state = retirement_state(self._state, node)
        if state is RetireState.UNKNOWN:
            return operator_result(ResultCode.UNKNOWN_NODE, f"{node} isn't being emptied")
        return OperatorResult(ResultCode.RETIRING, state_body(state))


def _outcome_unknown(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.OUTCOME_UNKNOWN, str(failure.value))


def _not_owner(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.NOT_OWNER, str(failure.value))
