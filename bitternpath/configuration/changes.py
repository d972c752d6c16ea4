"""The operator's orders, decided by the owner of the configuration group.

Each order goes through the same three steps: the owner confirms that it still owns the group (a read index
that begins after the order came); only then it reckons the answer, from the state as it is at that moment;
what changes the state is proposed in the same turn and acknowledged once it is committed. Proposals are made
one at a time. So no answer but 503 is given without a majority's word, none is older than the state in which
it is told, and no refusal meets an earlier try that may still be committed: entries of earlier epochs are
settled when an owner is ready, and those of its own epoch have had their result.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import logbook
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.commands import COMMANDS, ReplaceDocument
from bitternpath.configuration.consensus_group import ConsensusGroup, confirmed
from bitternpath.configuration.errors import InvalidConfiguration
from bitternpath.configuration.json_documents import encode_document, read_document
from bitternpath.configuration.patches import apply_patch
from bitternpath.configuration.results import OperatorResult, ResultCode, not_owner, operator_result
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.configuration.validation import parse_configuration

log = logbook.Logger("configuration")


@dataclass(frozen=True, slots=True)
class _Submission:
    """An order that waits for its result."""

    order: ChangeRequest
    digest: bytes
    answer: Deferred[OperatorResult]


@dataclass(frozen=True, slots=True)
class _Acceptable:
    """An order that may be proposed now, and the document that it makes."""

    version: int
    command: bytes


class ChangeProcessor:
    """Decides orders on the owner. Confirmations overlap; proposals are made one at a time."""

    def __init__(self, state: ConfigurationState, group: ConsensusGroup) -> None:
        self.state, self.group = state, group
        self._confirmed: deque[_Submission] = deque()
        self._proposing = False

    def submit(self, order: ChangeRequest) -> Deferred[OperatorResult]:
        """Decide a change; never fails."""
        if not self.group.is_owner():
            return succeed(not_owner())
        answer: Deferred[OperatorResult] = Deferred()
        submission = _Submission(order, order.digest(), answer)
        self.group.barrier().addCallbacks(
            lambda _: self._confirm(submission),
            lambda failure: answer.callback(not_owner(str(failure.value))),
        )
        return answer

    def read(self) -> Deferred[OperatorResult]:
        """The document in force, confirmed; never fails."""
        return confirmed(self.group, self._current)

    def _current(self) -> OperatorResult:
        if not self.state.document:
            return operator_result(ResultCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        return OperatorResult(ResultCode.CURRENT, self.state.document)

    def _confirm(self, submission: _Submission) -> None:
        self._confirmed.append(submission)
        self._next()

    def _next(self) -> None:
        """Decide what was confirmed, up to the first order that has to be proposed."""
        while self._confirmed and not self._proposing:
            submission = self._confirmed.popleft()
            reckoned = self._reckon(submission)
            if isinstance(reckoned, _Acceptable):
                self._propose(submission, reckoned)
            else:
                submission.answer.callback(reckoned)

    def _propose(self, submission: _Submission, acceptable: _Acceptable) -> None:
        self._proposing = True
        self.group.propose(acceptable.command).addCallbacks(
            lambda applied: _committed(bool(applied), acceptable.version),
            _failed,
        ).addCallback(self._decided, submission)

    def _decided(self, decided: OperatorResult, submission: _Submission) -> None:
        self._proposing = False
        submission.answer.callback(decided)
        self._next()

    def _reckon(self, submission: _Submission) -> _Acceptable | OperatorResult:
        """What the order comes to in the state as it is now."""
        if not self.group.is_owner():
            return not_owner()
        known = self.state.accepted_as(submission.digest)
        if known is not None:
            return operator_result(ResultCode.ACCEPTED, version=known)
        try:
            return self._check(submission)
        except InvalidConfiguration as error:
            return operator_result(ResultCode.INVALID, str(error))
        except Exception as error:  # one order must not hold up those after it
            log.exception("event=order_not_checked")
            return operator_result(ResultCode.INVALID, f"can't be read: {type(error).__name__}")

    def _check(self, submission: _Submission) -> _Acceptable | OperatorResult:
        """The command that the order asks for, or its refusal; raises `InvalidConfiguration`."""
        order = submission.order
        try:
            base = order.base_version()
        except ValueError:
            raise InvalidConfiguration("If-Match: must be the version that the change builds on") from None
        if base != self.state.version:
            return self._other_version(base)
        document = self._document(order)
        command = ReplaceDocument(base, submission.digest, encode_document(document))
        return _Acceptable(int(document["version"]), COMMANDS.encode(command))

    def _other_version(self, base: int) -> OperatorResult:
        if self.state.may_have_evicted(base):
            return operator_result(ResultCode.FATE_OPEN, "too old to tell whether it was accepted")
        return operator_result(
            ResultCode.OTHER_VERSION, "another version is in force", version=self.state.version
        )

    def _document(self, order: ChangeRequest) -> dict[str, Any]:
        document: Mapping[str, Any] = read_document(order.body)
        if order.method == "PATCH":
            if not self.state.document:
                raise InvalidConfiguration("there is no configuration to change yet")
            document = apply_patch(self.state.raw, document)
        configuration = parse_configuration(document)
        if configuration.version <= self.state.version:
            raise InvalidConfiguration(f"version: must be above {self.state.version}")
        return dict(document)


def _committed(applied: bool, version: int) -> OperatorResult:
    if applied:
        log.info("event=configuration_accepted version={}", version)
        return operator_result(ResultCode.ACCEPTED, version=version)
    return operator_result(ResultCode.FATE_OPEN, "the order met another one")


def _failed(failure: Failure) -> OperatorResult:
    return operator_result(ResultCode.FATE_OPEN, f"ownership was lost: {failure.value}")
