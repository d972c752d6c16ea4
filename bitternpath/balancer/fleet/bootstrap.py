"""The initial state of a fleet's first consensus server. Does no I/O."""

from __future__ import annotations

import msgspec

from bitternpath.balancer.fleet import plan as p
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState


def bootstrap_state(member_id: str, terms: p.LeaseTerms, fleet_id: str) -> PersistentState:
    """Return the persistent state of a fleet's only member: its membership and the lease terms."""
    members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members((member_id,))))
    bootstrap = Entry(2, 1, EntryKind.COMMAND, p.encode_item(p.Bootstrap(terms, fleet_id)))
    return PersistentState(term=1, vote=member_id, entries=[members, bootstrap])
