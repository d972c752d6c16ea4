"""The operator's orders to empty storage nodes, answered by the configuration's owner."""

from __future__ import annotations

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.configuration.changes import ConsensusGroup, OperatorResult, ResultCode, operator_result
from bitternpath.configuration.retirement import (
    MembershipReports,
    RetireCheck,
    RetireState,
    decide_retirement,
    next_finished_retirement,
    retirement_state,
    state_body,
)
from bitternpath.configuration.state_machine import COMMANDS, ConfigurationState, RetireNode
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.group_messages import MembershipReport

log = logbook.Logger("configuration")

FOLLOWERS_KNOWN_AFTER_S = 3.0  # of ownership: a follower notices within 1.3 s that the owner before is gone


class Retirements:
    """All answers are reckoned after the owner has confirmed that it still is the owner."""

    def __init__(
        self, group: ConsensusGroup, state: ConfigurationState, nodes: LiveNodes, tolerated: int
    ) -> None:
        self._group, self._state, self._nodes = group, state, nodes
        self._tolerated = tolerated
        self._reports = MembershipReports()
        self._finishing = False

    def begin(self) -> None:
        """This node owns the configuration from now on. Reports are heard anew; what is done is committed."""
        self._reports = MembershipReports()

    def reported(self, report: MembershipReport) -> None:
        """A shard's owner has told who the members are."""
        self._reports.update(report)
        self.reconcile()

    def reconcile(self) -> None:
        """Commit the end of a retirement, once there is one."""
        finish = None if self._finishing else next_finished_retirement(self._state, self._reports)
        if finish is not None:
            log.info("event=retirement_done node={}", finish.node)
            self._finishing = True
            self._group.propose(COMMANDS.encode(finish)).addBoth(self._finished)

    def _finished(self, _: object) -> None:
        self._finishing = False

    def order(self, node: str) -> Deferred[OperatorResult]:
        """The operator wants a node emptied; never fails."""
        return self._group.barrier().addCallbacks(lambda _: self._decide(node), _not_owner)

    def _decide(self, node: str) -> OperatorResult | Deferred[OperatorResult]:
        here = self._nodes.storage()
        decision = decide_retirement(self._state, node, here, self._nodes.down_for, self._tolerated)
        if decision.command is not None:
            return self._accept(decision.command)
        match decision.check:
            case RetireCheck.REPEATED:
                return OperatorResult(ResultCode.RETIRING, state_body(retirement_state(self._state, node)))
            case RetireCheck.UNKNOWN_NODE if self._nodes.owned_for() < FOLLOWERS_KNOWN_AFTER_S:
                return operator_result(ResultCode.NOT_OWNER, "this owner hasn't heard of all nodes yet")
            case RetireCheck.UNKNOWN_NODE:
                return operator_result(ResultCode.UNKNOWN_NODE, decision.check.value)
            case _:
                return operator_result(ResultCode.TOO_FEW_NODES, decision.check.value)

    def _accept(self, command: RetireNode) -> Deferred[OperatorResult]:
        return self._group.propose(COMMANDS.encode(command)).addCallbacks(_accepted, _fate_open)

    def state(self, node: str) -> Deferred[OperatorResult]:
        """How far the emptying of a node is; never fails."""
        return self._group.barrier().addCallbacks(lambda _: self._state_now(node), _not_owner)

    def _state_now(self, node: str) -> OperatorResult:
        state = retirement_state(self._state, node)
        if state is RetireState.UNKNOWN:
            return operator_result(ResultCode.UNKNOWN_NODE, f"{node} isn't being emptied")
        return OperatorResult(ResultCode.RETIRING, state_body(state))


def _accepted(applied: object) -> OperatorResult:
    """By the committed state: of two orders at once, one may have left too few nodes for the other."""
    if applied:
        return OperatorResult(ResultCode.RETIRING, state_body(RetireState.RUNNING))
    return operator_result(ResultCode.TOO_FEW_NODES, RetireCheck.TOO_FEW_LEFT.value)


def _fate_open(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.FATE_OPEN, str(failure.value))


def _not_owner(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.NOT_OWNER, str(failure.value))
