"""The next step of a replica group towards its desired members. Pure.

One member changes at a time (Ongaro's thesis, section 4): a new member learns first, is made a voter once it
has caught up, and members that aren't desired go only when all desired ones vote. An empty disk is another
member than the one that was lost, so it counts for nothing before it has caught up.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.replication.records import Members


def next_members(
    current: Members, desired: Sequence[str], caught_up: Callable[[str], bool]
) -> Members | None:
    """The members after one change; None where there is nothing to change now."""
    for learner in current.learners:
        if learner not in desired:
            return _without(current, learner)
    for learner in current.learners:
        if caught_up(learner):
            learners = tuple(name for name in current.learners if name != learner)
            return Members((*current.voters, learner), learners)
    for name in desired:
        if name not in current.voters and name not in current.learners:
            return Members(current.voters, (*current.learners, name))
    if all(name in current.voters for name in desired):
        for voter in current.voters:
            if voter not in desired and len(current.voters) > 1:
                return _without(current, voter)
    return None


def _without(current: Members, name: str) -> Members:
    voters = tuple(voter for voter in current.voters if voter != name)
    learners = tuple(learner for learner in current.learners if learner != name)
    return Members(voters, learners)
