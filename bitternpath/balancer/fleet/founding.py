"""The first steward of a fleet, before anybody else is asked. Pure."""

from __future__ import annotations

import msgspec

from bitternpath.balancer.fleet import plan as p
from bitternpath.replication.records import CHANGE, MEMBERS, Entry, Kept, Members


def founded(me: str, terms: p.Terms, id: str) -> Kept:
    """What the disk of a fleet's only member holds: that it is one, and the fleet's terms."""
    members = Entry(1, 1, MEMBERS, msgspec.msgpack.encode(Members((me,))))
    found = Entry(2, 1, CHANGE, p.item_bytes(p.Found(terms, id)))
    return Kept(term=1, vote=me, entries=[members, found])
