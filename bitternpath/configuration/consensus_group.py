"""The interface to the configuration's replica group for the processing of operators' calls."""

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

        Fires with the result of the state machine. Fails if this node doesn't lead the group (nothing was
        done) or lost its leadership in the meantime (the outcome is unknown).
        """

    def barrier(self) -> Deferred[None]:
        """Confirm ownership by a majority (read index).

        Fires once a majority has answered a heartbeat that was sent after the call. Fails if leadership is
        lost before that.
        """


def result_after_confirmation(
    group: ConsensusGroup, make_result: Callable[[], OperatorResult]
) -> Deferred[OperatorResult]:
    """Confirm ownership, then fire with the result of `make_result()`; never fails.

    The result is computed after the confirmation, so it reflects everything that was acknowledged before this
    call. If ownership can't be confirmed, the result is NOT_OWNER.
    """
    if not group.is_owner():
        return succeed(not_owner())
    return group.barrier().addCallbacks(
        lambda _: make_result(),
        lambda failure: not_owner(str(failure.value)),
    )
