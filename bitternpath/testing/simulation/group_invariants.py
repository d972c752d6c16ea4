"""Invariants of replica groups: at most one owner for each epoch, no committed entry is lost or changed, and
no refused term is used again as a fencing token.

The checker observes what each replica applies, through its `GroupListener`.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.interfaces import GroupListener, StateMachine
from bitternpath.replication.records import Members, RoleChangeCause
from bitternpath.testing.simulation.recorder import Recorder
from bitternpath.testing.simulation.refused_terms import RefusedTermChecker


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant of a replica group was broken; `at` in seconds of virtual time."""

    at: float
    rule: str
    text: str


class GroupInvariantChecker:
    """Records what all replicas of a run apply and which node owns each epoch, and reports contradictions."""

    def __init__(self, recorder: Recorder, seconds: Any) -> None:
        self.recorder = recorder
        self._seconds = seconds
        self.violations: list[Violation] = []
        self._owners: dict[tuple[str, int], str] = {}
        self._applied: dict[str, dict[int, int]] = {}
        self._refused_terms = RefusedTermChecker(lambda text: self._report("refused term used again", text))

    def observe(self, node: str, host: ReplicaHost) -> None:
        """Watch the groups that a process will open."""
        open_group = host.open_group

        def observed(
            group: str, machine: StateMachine, founders: Members | None, listener: GroupListener
        ) -> None:
            open_group(group, machine, founders, _Listener(self, node, group, listener))
            self._refused_terms.observe(host.member_id, group, host.groups[group])

        host.open_group = observed  # type: ignore[method-assign]
        self._observe_membership(host)

    def _observe_membership(self, host: ReplicaHost) -> None:
        change_members = host.change_members

        def observed(group: str, members: Members) -> bool:
            previous = host.members(group)
            proposed = change_members(group, members)
            if proposed:
                self.recorder.membership_change(previous, members)
            return proposed

        host.change_members = observed  # type: ignore[method-assign]

    def became_owner(self, node: str, group: str, epoch: int) -> None:
        """Record that a replica became the owner of its group, and check that it is the only one."""
        self.recorder.ownership(node, group, epoch, True)
        previous = self._owners.setdefault((group, epoch), node)
        if previous != node:
            self._report("one owner an epoch", f"{group} epoch {epoch}: {previous} and {node}")

    def applied(self, node: str, group: str, index: int, command: bytes) -> None:
        """Check a command that a replica applied against those of the others."""
        checksums = self._applied.setdefault(group, {})
        checksum = zlib.crc32(command)
        if checksums.setdefault(index, checksum) != checksum:
            self._report("committed never lost", f"{group} entry {index}: {node} applied another command")

    def _report(self, rule: str, text: str) -> None:
        self.violations.append(Violation(self._seconds(), rule, text))
        self.recorder.event("violation", f"{rule}: {text}")


class _Listener:
    """Passes the events of a replica to the checker and to its listener."""

    def __init__(
        self, checker: GroupInvariantChecker, node: str, group: str, listener: GroupListener
    ) -> None:
        self._checker = checker
        self._node = node
        self._group = group
        self._listener = listener
        self._epoch = 0

    def became_owner(self, epoch: int) -> None:
        self._epoch = epoch
        self._checker.became_owner(self._node, self._group, epoch)
        self._listener.became_owner(epoch)

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        self._checker.recorder.ownership(self._node, self._group, self._epoch, False)
        self._listener.lost_ownership(cause)

    def applied(self, index: int, command: bytes, result: object) -> None:
        self._checker.applied(self._node, self._group, index, command)
        self._listener.applied(index, command, result)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)
