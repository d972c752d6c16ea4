"""State transitions of the system that a run records, to measure which of them faults coincide with."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from bitternpath.replication.records import Members


class TransitionKind(Enum):
    """Kinds of transitions."""

    BOOTSTRAP = "bootstrap"  # the first owner of a group
    OWNER_GAINED = "owner gained"
    OWNER_LOST = "owner lost"
    LEARNER_ADDED = "learner added"
    VOTER_ADDED = "voter added"
    MEMBER_REMOVED = "member removed"
    RETIREMENT_ORDERED = "retirement ordered"
    RETIREMENT_DONE = "retirement done"


@dataclass(frozen=True, slots=True)
class Transition:
    """A transition; `at` in seconds of virtual time."""

    at: float
    kind: TransitionKind


def membership_changes(before: Members, after: Members) -> Iterator[TransitionKind]:
    """The kinds of changes in a proposed membership, one for each changed member."""
    for name in {*before.voters, *before.learners, *after.voters, *after.learners}:
        if name not in (*after.voters, *after.learners):
            yield TransitionKind.MEMBER_REMOVED
        elif name in after.voters and name not in before.voters:
            yield TransitionKind.VOTER_ADDED
        elif name in after.learners and name not in before.learners:
            yield TransitionKind.LEARNER_ADDED
