"""Ownership of shards by the announcements of storage nodes."""

from __future__ import annotations

import unittest

from bitternpath.configuration.placement import shard_group
from tests.system.shards.shard_case import ShardCase


class OwnersTest(ShardCase):
    """Announcements with an older epoch are ignored, and a closed link ends the ownership."""

    def test_a_later_epoch_wins_and_an_earlier_one_is_ignored(self) -> None:
        self.owned(0, self.links[1], 5)
        self.owned(0, self.links[2], 4)
        owner = self.owners.owner(shard_group(0))
        self.assertIs(owner.link if owner else None, self.links[1])
        self.owned(0, self.links[0], 1, owns=False)  # a late announcement of the previous owner
        self.assertIsNotNone(self.owners.owner(shard_group(0)))

    def test_a_closed_link_owns_nothing(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.assertIsNone(self.owners.owner(shard_group(0)))


if __name__ == "__main__":
    unittest.main()
