"""Which storage node owns which shard, as the owners themselves have told."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bitternpath.transport.connections import Link
from bitternpath.transport.messages import Ownership


@dataclass(frozen=True, slots=True)
class Owner:
    """A shard's owner. A higher epoch is a later one."""

    link: Link
    epoch: int
    zone: str


class ShardOwners:
    """Owners by replica group. `changed` hears a group whose owner is another one now."""

    def __init__(self, changed: Callable[[str], None]) -> None:
        self._owners: dict[str, Owner] = {}
        self._changed = changed

    def owner(self, group: str) -> Owner | None:
        """The owner as last told; None while nobody is known to be it."""
        return self._owners.get(group)

    def owned_groups(self) -> list[str]:
        """The groups that have an owner."""
        return list(self._owners)

    def groups_near(self, zone: str) -> list[str]:
        """The groups whose owner is in a zone."""
        return [group for group, owner in self._owners.items() if owner.zone == zone]

    def told(self, link: Link, ownership: Ownership) -> None:
        """A storage node has become or ceased to be an owner."""
        known = self._owners.get(ownership.group)
        if ownership.owns:
            if known is not None and known.epoch > ownership.epoch:
                return
            zone = link.peer.zone if link.peer else ""
            self._owners[ownership.group] = Owner(link, ownership.epoch, zone)
            self._changed(ownership.group)
        elif known is not None and known.link is link:
            del self._owners[ownership.group]
            self._changed(ownership.group)

    def closed(self, link: Link) -> None:
        """A link has ended, and with it what its node has told."""
        gone = [group for group, owner in self._owners.items() if owner.link is link]
        for group in gone:
            del self._owners[group]
            self._changed(group)
