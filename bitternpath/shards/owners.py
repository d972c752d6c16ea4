"""Which storage node owns which shard, as the owners themselves have told, and questions to owners."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.transport.connections import Link, LinkLost
from bitternpath.transport.shard_messages import Ownership


@dataclass(frozen=True, slots=True)
class Owner:
    """A shard's owner. A higher epoch is a later one."""

    link: Link
    epoch: int
    zone: str


class _Question:
    """A request to an owner. It ends with the first of: its answer, the link's end, another owner."""

    def __init__(self, link: Link, open_questions: dict[_Question, None]) -> None:
        self.link = link
        self.answer: Deferred[Any] = Deferred()
        self._open = open_questions
        open_questions[self] = None

    def answered(self, record: Any) -> None:
        """The owner's answer; one that comes after the end is dropped."""
        if self._ends():
            self.answer.callback(record)

    def lost(self, _: Failure | None = None) -> None:
        """No answer will come from there, or none that is worth the wait."""
        if self._ends():
            self.answer.errback(LinkLost())

    def _ends(self) -> bool:
        """Whether it was open; it no longer is."""
        if self not in self._open:
            return False
        del self._open[self]
        return True


class ShardOwners:
    """Owners by replica group. `changed` hears a group whose owner is another one now."""

    def __init__(self, changed: Callable[[str], None]) -> None:
        self._owners: dict[str, Owner] = {}
        self._questions: dict[str, dict[_Question, None]] = {}
        self._changed = changed

    def ask(self, group: str, make: Callable[[int], Any]) -> Deferred[Any] | None:
        """Send `make(number)` to the owner; None where nobody is known to be it.

        Fails with `LinkLost` as soon as another node is the owner: the one that was asked may be stopped or
        cut off, and its link is given up much later. For requests that may be repeated: the first may have
        been done, and an answer that comes after all is dropped.
        """
        owner = self._owners.get(group)
        if owner is None:
            return None
        question = _Question(owner.link, self._questions.setdefault(group, {}))
        owner.link.request(make).addCallbacks(question.answered, question.lost)
        return question.answer

    def owner(self, group: str) -> Owner | None:
        """The owner as last told; None while nobody is known to be it."""
        return self._owners.get(group)

    def owned_groups(self) -> list[str]:
        """The groups that have an owner."""
        return list(self._owners)

    def groups_near(self, zone: str) -> list[str]:
        """The groups whose owner is in a zone."""
        return [group for group, owner in self._owners.items() if owner.zone == zone]

    def ownership_changed(self, link: Link, ownership: Ownership) -> None:
        """A storage node has become or ceased to be an owner."""
        known = self._owners.get(ownership.group)
        if ownership.owns:
            if known is not None and known.epoch > ownership.epoch:
                return
            zone = link.peer.zone if link.peer else ""
            self._owners[ownership.group] = Owner(link, ownership.epoch, zone)
            self._changed(ownership.group)
            self._ask_anew(ownership.group)
        elif known is not None and known.link is link:
            del self._owners[ownership.group]
            self._changed(ownership.group)

    def closed(self, link: Link) -> None:
        """A link has ended, and with it what its node has told."""
        gone = [group for group, owner in self._owners.items() if owner.link is link]
        for group in gone:
            del self._owners[group]
            self._changed(group)
            self._ask_anew(group)

    def _ask_anew(self, group: str) -> None:
        """End the questions to another node than the present owner."""
        owner = self._owners.get(group)
        for question in list(self._questions.get(group, ())):
            if owner is None or question.link is not owner.link:
                question.lost()
