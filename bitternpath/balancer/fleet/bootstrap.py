"""The first steward of a fleet, before anybody else is asked. Pure."""

from __future__ import annotations

import msgspec

from bitternpath.balancer.fleet import plan as p
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState


def bootstrap_state(me: str, terms: p.LeaseTerms, id: str) -> PersistentState:
    """What the disk of a fleet's only member holds: that it is one, and the fleet's terms."""
    members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members((me,))))
    found = Entry(2, 1, EntryKind.COMMAND, p.encode_item(p.Bootstrap(terms, id)))
    return PersistentState(term=1, vote=me, entries=[members, found])
