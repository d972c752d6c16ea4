"""The scopes that are searched, and their initial states."""

from __future__ import annotations

from bitternpath.testing.emulator.fleet.search.consensus import Consensus, Scope
from bitternpath.testing.emulator.fleet.search.explore import State
from bitternpath.testing.emulator.fleet.search.leases import Leases, LeaseScope

# In increasing size. The cost of the last ones is listed in docs/results/fleet.md.
SCOPES: tuple[Scope | LeaseScope, ...] = (
    Scope(rings=1, changes=1, crashes=1),
    LeaseScope(steps=2, changes=0, crashes=1),
    Scope(rings=2, changes=0, crashes=0),
    Scope(rings=1, changes=1, crashes=1, slow_disks=True),
    LeaseScope(steps=1, changes=1, crashes=0),
    LeaseScope(steps=3, changes=0, crashes=0),
    Scope(rings=2, changes=0, crashes=1),
    Scope(rings=1, changes=1, crashes=1, cuts=1, slow_disks=True),
    Scope(rings=2, changes=0, crashes=0, slow_disks=True),
    LeaseScope(steps=1, changes=2, crashes=0),
    LeaseScope(steps=2, changes=1, crashes=0),
    LeaseScope(steps=1, changes=1, crashes=1),
    Scope(rings=2, changes=1, crashes=0),
)


def initial_state(scope: Scope | LeaseScope) -> State:
    """The initial state of a scope."""
    return Leases(scope) if isinstance(scope, LeaseScope) else Consensus(scope)
