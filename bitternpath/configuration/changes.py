"""Processing of the operator's changes by the owner of the configuration group.

Each change is processed in three steps. First, a majority confirms that the owner still leads the group (a
read index that starts after the request arrived). The request is then evaluated against the state at that
time. A valid change is proposed in the same reactor turn and acknowledged once it is committed. Only one
proposal is in flight at a time.

Resulting invariants:
- Any result other than 503 requires the confirmation by a majority and is based on the state after it.
- A request is never rejected while an earlier attempt of it may still be committed: the outcome of entries of
  earlier epochs is known before an owner becomes ready, and proposals of its own epoch are awaited.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import logbook
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.change_evaluation import ProposedChange, evaluate_change
from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.consensus_group import ConsensusGroup, result_after_confirmation
from bitternpath.configuration.errors import InvalidConfigurationError
from bitternpath.configuration.results import OperatorResult, ResultCode, not_owner, operator_result
from bitternpath.configuration.state_machine import ConfigurationState

log = logbook.Logger("configuration")


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A request that awaits its result.

    Attributes:
        request: the request as received.
        digest: cached digest of the request.
        result: fires once, with the result.
    """

    request: ChangeRequest
    digest: bytes
    result: Deferred[OperatorResult]


class ChangeProcessor:
    """Processes changes and reads on the owner. Confirmations run concurrently, proposals one at a time.

    Attributes:
        state: this node's replica of the configuration.
        group: the replica group that commits changes.
    """

    def __init__(self, state: ConfigurationState, group: ConsensusGroup) -> None:
        """Start without requests."""
        self.state = state
        self.group = group
        self._confirmed: deque[PendingChange] = deque()  # requests whose ownership confirmation has arrived
        self._proposing = False

    def submit(self, request: ChangeRequest) -> Deferred[OperatorResult]:
        """Process a change; the Deferred never fails."""
        if not self.group.is_owner():
            return succeed(not_owner())
        result: Deferred[OperatorResult] = Deferred()
        change = PendingChange(request, request.digest(), result)
        self.group.barrier().addCallbacks(
            lambda _: self._ownership_confirmed(change),
            lambda failure: result.callback(not_owner(str(failure.value))),
        )
        return result

    def read(self) -> Deferred[OperatorResult]:
        """Read the current document after confirmation by a majority; the Deferred never fails."""
        return result_after_confirmation(self.group, self._current)

    def _current(self) -> OperatorResult:
        if not self.state.document:
            return operator_result(ResultCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        return OperatorResult(ResultCode.CURRENT, self.state.document)

    def _ownership_confirmed(self, change: PendingChange) -> None:
        self._confirmed.append(change)
        self._process_confirmed()

    def _process_confirmed(self) -> None:
        """Evaluate confirmed requests in order, until one has to be proposed."""
        while self._confirmed and not self._proposing:
            change = self._confirmed.popleft()
            evaluated = self._evaluate(change)
            if isinstance(evaluated, ProposedChange):
                self._propose(change, evaluated)
            else:
                change.result.callback(evaluated)

    def _evaluate(self, change: PendingChange) -> ProposedChange | OperatorResult:
        """Evaluate a request against the current state; never raises."""
        if not self.group.is_owner():
            return not_owner()
        try:
            return evaluate_change(self.state, change.request, change.digest)
        except InvalidConfigurationError as error:
            return operator_result(ResultCode.INVALID, str(error))
        except Exception as error:  # a failed evaluation must not block later requests
            log.exception("event=change_evaluation_failed")
            return operator_result(ResultCode.INVALID, f"can't be read: {type(error).__name__}")

    def _propose(self, change: PendingChange, proposed: ProposedChange) -> None:
        self._proposing = True
        self.group.propose(proposed.command).addCallbacks(
            lambda applied: _commit_result(proposed.version, took_effect=bool(applied)),
            _failure_result,
        ).addCallback(self._proposal_ended, change)

    def _proposal_ended(self, result: OperatorResult, change: PendingChange) -> None:
        self._proposing = False
        change.result.callback(result)
        self._process_confirmed()


def _commit_result(version: int, *, took_effect: bool) -> OperatorResult:
    if took_effect:
        log.info("event=configuration_accepted version={}", version)
        return operator_result(ResultCode.ACCEPTED, version=version)
    return operator_result(ResultCode.OUTCOME_UNKNOWN, "a concurrent change was committed first")


def _failure_result(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.OUTCOME_UNKNOWN, f"ownership was lost: {failure.value}")
