"""Member ids from letters: `a` is the member a/a, and `A` is a/A, the same node with a different disk."""

from __future__ import annotations

from bitternpath.replication.records import Members


def members(voters: str, learners: str = "", generation: int = 0) -> Members:
    """Members by letter. A capital letter is the same node with a different disk."""
    return Members(ids(voters), ids(learners), generation)


def ids(names: str) -> tuple[str, ...]:
    return tuple(f"{name.lower()}/{name}" for name in names)
