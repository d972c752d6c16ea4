"""The configuration group as the operator's calls need it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration.results import OperatorResult, not_owner


class ConsensusGroup(Protocol):
    """The configuration group, as far as orders need it."""

    def is_owner(self) -> bool:
        """Whether this node owns the group and has applied all before it."""

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit and apply; fails where the node doesn't own the group (any more)."""

    def barrier(self) -> Deferred[None]:
        """Fires once ownership was confirmed after the call."""


def confirmed(group: ConsensusGroup, answer: Callable[[], OperatorResult]) -> Deferred[OperatorResult]:
    """`answer()` as of the moment at which ownership is confirmed; never fails.

    The answer is reckoned after the confirmation, so that it can't be older than what was told to others
    before the call came.
    """
    if not group.is_owner():
        return succeed(not_owner())
    return group.barrier().addCallbacks(
        lambda _: answer(),
        lambda failure: not_owner(str(failure.value)),
    )
