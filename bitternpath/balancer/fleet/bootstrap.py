"""The first steward of a fleet, before anybody else is asked. Pure."""

from __future__ import annotations

import msgspec

from bitternpath.balancer.fleet import plan as p
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState


def bootstrap_state(member_id: str, terms: p.LeaseTerms, fleet_id: str) -> PersistentState:
    """What the disk of a fleet's only member holds: that it is one, and the fleet's terms."""
    members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members((member_id,))))
    bootstrap = Entry(2, 1, EntryKind.COMMAND, p.encode_item(p.Bootstrap(terms, fleet_id)))
    return PersistentState(term=1, vote=member_id, entries=[members, bootstrap])
