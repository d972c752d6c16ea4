"""Long polls of pulling workers at a shard's owner, by poll id and by link and request number."""

from __future__ import annotations

from typing import NamedTuple

from bitternpath.transport.links import Link
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import PullResponse


class PullKey(NamedTuple):
    """Identifies a `PullRequest`, whose number is unique on its link only."""

    link: Link
    number: int


class PendingPolls:
    """Long polls that haven't been answered. Poll ids are never reused."""

    def __init__(self) -> None:
        """Create an object without polls."""
        self._keys: dict[int, PullKey] = {}
        self._poll_ids: dict[PullKey, int] = {}
        self._last_poll_id = 0

    def add(self, link: Link, number: int) -> int:
        """Register the request `number` of an edge node; return the id of its poll."""
        self._last_poll_id += 1
        key = PullKey(link, number)
        self._keys[self._last_poll_id] = key
        self._poll_ids[key] = self._last_poll_id
        return self._last_poll_id

    def find(self, link: Link, number: int) -> int | None:
        """The poll id of a request; None if it has been answered."""
        return self._poll_ids.get(PullKey(link, number))

    def answer(self, poll_id: int, lease_id: str = "", message: Message | None = None) -> None:
        """Answer a poll, with a job or without one. Does nothing if it is no longer pending."""
        key = self._remove(poll_id)
        if key is not None:
            key.link.send(PullResponse(key.number, lease_id, message))

    def answer_all(self) -> None:
        """Answer all polls without a job."""
        for poll_id in list(self._keys):
            self.answer(poll_id)

    def drop_link(self, link: Link) -> list[int]:
        """Remove the polls of a link that has closed; return their ids."""
        dropped = [poll_id for poll_id, key in self._keys.items() if key.link is link]
        for poll_id in dropped:
            self._remove(poll_id)
        return dropped

    def _remove(self, poll_id: int) -> PullKey | None:
        key = self._keys.pop(poll_id, None)
        if key is not None:
            self._poll_ids.pop(key, None)
        return key
