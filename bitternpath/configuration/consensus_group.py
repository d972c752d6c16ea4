"""The configuration's replica group as the operator's calls need it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration.results import OperatorResult, not_owner


class ConsensusGroup(Protocol):
    """This node's member of the configuration group."""

    def is_owner(self) -> bool:
        """Whether this node leads the group and has applied all entries of earlier epochs."""

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit a command of `commands.COMMANDS` and apply it.

        Fires with what the state machine returned. Fails where this node doesn't lead the group (nothing was
        done), or lost its leadership meanwhile (the outcome is unknown).
        """

    def barrier(self) -> Deferred[None]:
        """Confirm ownership by a majority (read index).

        Fires once a majority has answered a heartbeat that was sent after the call; fails where leadership
        was lost before.
        """


def result_after_confirmation(
    group: ConsensusGroup, make_result: Callable[[], OperatorResult]
) -> Deferred[OperatorResult]:
    """The result of `make_result()` as of the moment at which ownership is confirmed; never fails.

    It is called after the confirmation, so that its result can't be older than what was acknowledged to
    anyone before the call came. Without a confirmation the result is NOT_OWNER.
    """
    if not group.is_owner():
        return succeed(not_owner())
    return group.barrier().addCallbacks(
        lambda _: make_result(),
        lambda failure: not_owner(str(failure.value)),
    )
