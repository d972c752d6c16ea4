"""Requests of edge nodes for a job, at the shard's owner: by the owner's number, and by link and request."""

from __future__ import annotations

from bitternpath.transport.connections import Link
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import PullResponse


class WaitingPolls:
    """Polls that haven't been answered. Numbers are never used again."""

    def __init__(self) -> None:
        self._requests: dict[int, tuple[Link, int]] = {}
        self._numbers: dict[tuple[Link, int], int] = {}
        self._last = 0

    def add(self, link: Link, request: int) -> int:
        """A worker waits; the number of its poll."""
        self._last += 1
        self._requests[self._last] = link, request
        self._numbers[link, request] = self._last
        return self._last

    def find(self, link: Link, request: int) -> int | None:
        """The poll of a request that hasn't been answered."""
        return self._numbers.get((link, request))

    def answer(self, poll_id: int, lease_id: str = "", message: Message | None = None) -> None:
        """Give a poll a job, or none; one that is gone is passed over."""
        found = self._drop(poll_id)
        if found is not None:
            link, request = found
            link.send(PullResponse(request, lease_id, message))

    def answer_all(self) -> None:
        """No job comes from here for any of them."""
        for poll_id in list(self._requests):
            self.answer(poll_id)

    def drop_link(self, link: Link) -> list[int]:
        """The polls that came over a link that has ended; they are gone."""
        dropped = [poll_id for poll_id, (other, _) in self._requests.items() if other is link]
        for poll_id in dropped:
            self._drop(poll_id)
        return dropped

    def _drop(self, poll_id: int) -> tuple[Link, int] | None:
        found = self._requests.pop(poll_id, None)
        if found is not None:
            self._numbers.pop(found, None)
        return found
