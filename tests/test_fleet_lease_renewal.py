"""When a `LeaseHolder` renews its lease."""

from __future__ import annotations

from random import Random

import pytest

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.lease_holder import RENEWAL_SHARE, LeaseHolder, ProcessIdentity

TOKEN = 7


def connected_holder(now: float) -> LeaseHolder:
    """Return a holder that requested a lease from its only server at `now`."""
    identity = ProcessIdentity("n0", "b007", "", (1,))
    holder = LeaseHolder(identity, ["S1"], Random(1), now, lambda: now, lambda plan: "")
    holder.server_to_dial = None
    holder.connection_made(now, "S1")
    return holder


def requests(holder: LeaseHolder) -> list[m.RenewLease]:
    """Return the lease requests sent since the last call."""
    sent, holder.outgoing = holder.outgoing, []
    return [message for message in sent if isinstance(message, m.RenewLease)]


def granted(sent: float, length: float) -> m.Lease:
    """Return a lease for the empty plan."""
    return m.Lease(sent, length, TOKEN, 0, p.Plan().digest)


@pytest.mark.parametrize("length", [0.4, 1.0, 3.0, 30.0])
def test_the_first_lease_is_renewed_long_before_it_ends(length: float) -> None:
    holder = connected_holder(100.0)
    (first,) = requests(holder)
    holder.receive(100.0 + length / 10, granted(first.sent, length))
    assert holder.next_timeout_at <= 100.0 + length * RENEWAL_SHARE
    holder.tick(100.0 + length * RENEWAL_SHARE)
    (renewal,) = requests(holder)
    assert renewal.fencing_token == TOKEN


@pytest.mark.parametrize("length", [0.4, 1.0, 3.0])
def test_a_lease_that_became_shorter_is_renewed_by_its_new_length(length: float) -> None:
    holder = connected_holder(100.0)
    holder.receive(100.0, granted(100.0, 30.0))
    holder.tick(101.0)
    requests(holder)
    holder.receive(101.1, granted(101.0, length))
    assert holder.next_timeout_at <= 101.0 + length * RENEWAL_SHARE


def test_a_lease_that_comes_when_the_connection_is_lost_plans_no_renewal() -> None:
    holder = connected_holder(100.0)
    holder.connection_lost(100.1)
    requests(holder)
    holder.receive(100.2, granted(100.0, 1.0))
    dial_at = holder.next_timeout_at
    holder.tick(dial_at)
    assert not requests(holder)
    assert dial_at > 100.1
