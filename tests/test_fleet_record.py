"""The fleet's record in virtual time: consensus, versions and leases under faults; broken builds."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.bootstrap import bootstrap_state
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, ProcessIdentity
from bitternpath.replication.consensus import Raft
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVote,
    RequestVoteResponse,
)
from bitternpath.replication.records import Entry, EntryKind, MemberRole, Members, PersistentState, Snapshot
from bitternpath.testing.emulator.fleet.broken import BUILDS, broken_build
from bitternpath.testing.emulator.fleet.campaign import run_seed
from bitternpath.testing.emulator.fleet.random_schedule import RandomSchedule, run_schedule
from bitternpath.testing.emulator.fleet.search.consensus import Scope
from bitternpath.testing.emulator.fleet.search.explore import search
from bitternpath.testing.emulator.fleet.search.leases import LeaseScope
from bitternpath.testing.emulator.fleet.search.scopes import SCOPES, initial_state

ROOT = Path(__file__).parent.parent


# Seeds that found faults, since fixed: the audit of a lease without entries was dropped at once; a leader
# demoted to learner stayed leader; an expired lease was resumed.
FIXED_SEEDS = (283, 656, 884, 1732)


@pytest.mark.parametrize("seed", FIXED_SEEDS)
def test_fixed_seeds_keep_the_rules(seed: int) -> None:
    assert run_seed(seed).passed, str(run_seed(seed))


@pytest.mark.parametrize("first", range(0, 80, 10))
def test_the_rules_hold_and_the_fleet_recovers_under_faults(first: int) -> None:
    outcomes = [run_seed(seed) for seed in range(first, first + 10)]
    assert not [str(outcome) for outcome in outcomes if not outcome.passed]
    assert sum(outcome.versions for outcome in outcomes) > 60 and all(o.acts > 100 for o in outcomes)


def test_random_schedules_do_not_break_the_record() -> None:
    walks = [RandomSchedule(seed) for seed in range(250)]
    outcomes = [(seed, walk.run(1500).violations) for seed, walk in enumerate(walks)]
    assert not [found for found in outcomes if found[1]]
    assert (
        sum(len(walk.elected) for walk in walks) > 1000
        and sum(walk.checker.last_index for walk in walks) > 2000
    )


# How each broken build was detected: the kind of run, and the seed that is tried first.
FIRST_SEEDS = {
    "vote_not_on_disk": ("walk", 513),
    "yes_before_the_disk": ("walk", 0),
    "other_terms_counted": ("walk", 70),
    "no_round": ("walk", 205),
    "no_wait_for_leases": ("play", 0),
    "drift_forgotten": ("play", 6),
    "two_versions_off": ("play", 3),
    "lease_from_arrival": ("play", 30),
    "lease_by_timer": ("play", 0),
    "fence_ignored": ("play", 31),
    "digest_ignored": ("play", 586),
    "told_before_written": ("play", 28),
    "lease_not_looked_at": ("play", 0),
}
MAX_SEEDS = {"walk": 3000, "play": 800}  # seeds to try if another change has altered the runs of the seeds


def breaks_rule(way: str, seed: int) -> object:
    try:
        return run_schedule(seed).violations if way == "walk" else run_seed(seed).violations
    except AssertionError as error:  # an assertion in the build itself
        return error


@pytest.mark.parametrize("name", BUILDS)
def test_a_build_without_a_safeguard_is_detected(name: str) -> None:
    way, first = FIRST_SEEDS[name]
    assert not breaks_rule(way, first)
    with broken_build(name):
        assert any(breaks_rule(way, seed) for seed in [first, *range(MAX_SEEDS[way])])


@pytest.mark.parametrize("scope", SCOPES[:4], ids=str)
def test_no_order_of_events_within_a_small_scope_breaks_a_rule(scope: Scope | LeaseScope) -> None:
    result = search(initial_state(scope), 100_000)
    assert result.complete and not result.violation and result.states > 2000


@pytest.mark.parametrize(
    ("name", "scope", "moves"),
    [
        ("two_versions_off", LeaseScope(steps=0, changes=2, crashes=0), 9),
        ("no_wait_for_leases", LeaseScope(steps=1, changes=0, crashes=1), 3),
        ("lease_from_arrival", LeaseScope(steps=3, changes=0, crashes=0), 6),
        ("lease_not_looked_at", LeaseScope(steps=3, changes=0, crashes=0), 7),
        ("vote_not_on_disk", Scope(rings=2, changes=0, crashes=1), 11),
    ],
)
def test_the_search_finds_the_shortest_trail_to_a_fault(
    name: str, scope: Scope | LeaseScope, moves: int
) -> None:
    with broken_build(name):
        found = search(initial_state(scope), 20_000)
    assert found.violation and len(found.trace) == moves, found


def test_two_requests_to_join_leave_a_node_the_later_lease() -> None:
    """The node kept the earlier lease, which could not be renewed, and had none once that one expired."""
    holder = LeaseHolder(
        ProcessIdentity("n", "b", "s", (1,)), ["S"], Random(1), 0.0, lambda: 0.0, lambda plan: ""
    )
    holder.connection_made(0.0, "S")
    for fencing_token in (6, 7, 6):
        holder.receive(0.1, m.Lease(0.0, 1.0, fencing_token, 0, b""))
    assert holder.fencing_token == 7 and [act.fencing_token for act in holder.events] == [6, 7]


def test_an_expired_lease_is_not_resumed() -> None:
    holder = LeaseHolder(
        ProcessIdentity("n", "b", "s", (1,)), ["S"], Random(1), 0.0, lambda: 0.0, lambda plan: ""
    )
    holder.connection_made(0.0, "S")
    holder.receive(0.1, m.Lease(0.0, 1.0, 6, 0, b""))
    assert holder.holds_lease(0.9) and not holder.holds_lease(1.0)
    holder.receive(1.1, m.Lease(0.8, 1.0, 6, 0, b""))  # a delayed renewal
    assert not holder.holds_lease(1.1)
    holder.receive(1.2, m.Lease(1.1, 1.0, 9, 0, b""))
    assert holder.holds_lease(1.3) and holder.fencing_token == 9


def test_a_seed_determines_the_run() -> None:
    code = "from bitternpath.testing.emulator.fleet.campaign import run_seed; print(run_seed(5).trace)"
    traces = {
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True).stdout
        for _ in range(2)
    }
    assert len(traces) == 1 and len(traces.pop().strip()) == 16


def raft(me: str, voters: tuple[str, ...], entries: list[Entry] | None = None, term: int = 1) -> Raft:
    snapshot = Snapshot(0, 0, Members(voters))
    return Raft(me, PersistentState(term, "", snapshot, (0, 0), entries or []), Random(1), 0.0)


def take_and_store(member: Raft, now: float) -> list[tuple[str, object]]:
    """Take effects and complete their writes until none is left; return the messages sent."""
    out = member.take_effects(now)
    sent: list[tuple[str, object]] = list(out.messages)
    while out.writes:
        member.write_completed(now, out.writes[-1].number)
        out = member.take_effects(now)
        sent += out.messages
    return sent


def test_a_vote_is_sent_only_once_it_is_on_disk() -> None:
    member = raft("b", ("a", "b", "c"))
    member.receive(5.0, "a", RequestVote(2, 0, 0, pre_vote=False))
    out = member.take_effects(5.0)
    assert not out.messages and out.writes[0].vote == "a" and out.writes[0].term == 2
    member.write_completed(5.0, out.writes[0].number)
    assert member.take_effects(5.0).messages == [("a", RequestVoteResponse(2, False, True))]
    member.receive(5.1, "c", RequestVote(2, 0, 0, pre_vote=False))
    assert take_and_store(member, 5.1) == [("c", RequestVoteResponse(2, False, False))]


def test_no_vote_is_given_while_a_leader_is_active_except_for_a_transfer() -> None:
    member = raft("b", ("a", "b", "c"))
    member.receive(5.0, "a", AppendEntries(2, 0, 0, (), 0, 1))
    take_and_store(member, 5.0)
    member.receive(5.5, "c", RequestVote(3, 9, 2, pre_vote=False))
    assert take_and_store(member, 5.5) == [("c", RequestVoteResponse(2, False, False))] and member.term == 2
    member.receive(5.6, "c", RequestVote(3, 9, 2, pre_vote=False, leadership_transfer=True))
    assert take_and_store(member, 5.6) == [("c", RequestVoteResponse(3, False, True))]


def test_a_removed_member_campaigns_until_its_removal_is_committed() -> None:
    """Each of three members had the removal of another as its last entry, and no election could be won."""
    removal = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(("a", "b"))))
    member = raft("c", ("a", "b", "c"), [removal])
    assert member.member_id not in member.members.voters
    member.tick(9.0)
    take_and_store(member, 9.0)
    assert member.role is MemberRole.PRE_CANDIDATE
    removed = raft("c", ("a", "b"))
    removed.tick(9.0)
    assert removed.role is MemberRole.FOLLOWER


def test_a_leader_demoted_to_learner_steps_down_once_that_is_committed() -> None:
    demotion = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(("b", "c"), ("a",))))
    member = raft("a", ("a", "b", "c"), [demotion])
    member.tick(9.0)
    for pre_vote in (True, False):
        take_and_store(member, 9.0)
        for name in ("b", "c"):
            member.receive(9.0, name, RequestVoteResponse(2, pre_vote, True))
    take_and_store(member, 9.0)
    assert member.role is MemberRole.LEADER
    for name in ("b", "c"):
        member.receive(9.1, name, AppendEntriesResponse(2, True, member.last_index, 1))
    assert member.role is MemberRole.FOLLOWER and member.commit_index == member.last_index


def test_the_audit_of_a_lease_without_entries_is_retained() -> None:
    record = p.Record()
    started = p.LeaseStarted("n", "b", "s", (1,), "serve", 0, record.digest_of(0) or b"", 10.0)
    record.apply(2, started)
    record.apply(3, p.LeaseEnded("n", "b", 2, "its lease is over", 20.0))
    record.apply(4, p.AuditRecorded("other", "b", (), 0, 30.0))
    missing = record.process_audits["n#b"].missing_entries(False)
    assert missing == ["nothing received after entry 0 under fencing token 2"]
    record.apply(5, p.AuditRecorded("other", "b", (), 0, 20.1 + p.AUDIT_RETENTION))
    assert "n#b" not in record.process_audits


def test_committed_entries_are_never_truncated() -> None:
    member = raft("b", ("a", "b", "c"))
    entry = Entry(1, 2, EntryKind.COMMAND, b"x")
    member.receive(5.0, "a", AppendEntries(2, 0, 0, (entry,), 1, 1))
    assert member.take_effects(5.0).committed == [entry]
    with pytest.raises(AssertionError):
        member.receive(6.0, "c", AppendEntries(3, 0, 0, (Entry(1, 3, EntryKind.COMMAND, b"y"),), 0, 1))


def test_the_only_member_leads_once_its_vote_is_stored() -> None:
    member = Raft("a", bootstrap_state("a", p.LeaseTerms(), "f"), Random(1), 0.0)
    member.tick(9.0)
    first = member.take_effects(9.0)
    assert member.role is MemberRole.PRE_CANDIDATE or first.writes
    take_and_store(member, 9.0)
    out = first
    for _ in range(4):
        for write in out.writes:
            member.write_completed(9.0, write.number)
        out = member.take_effects(9.0)
    assert member.role is MemberRole.LEADER and member.commit_index == 3 and member.has_committed_in_term


# ---- the plan


def commit_change(record: p.Record, index: int, change: p.Change, id: str = "") -> str:
    return record.apply(index, p.AgreeChange(id or f"c{index}", "ana", "because", 0.0, change))


def test_a_retried_change_is_committed_once() -> None:
    record = p.Record()
    assert not commit_change(record, 1, p.EjectWorker("w1"), "c") and not commit_change(
        record, 2, p.EjectWorker("w1"), "c"
    )
    assert record.latest.version == 1 and record.change_versions == {"c": 1}


def test_a_withdrawn_version_stays_in_the_record_as_a_no_op() -> None:
    record = p.Record()
    commit_change(record, 1, p.EjectWorker("w1"))
    commit_change(record, 2, p.EjectWorker("w2"))
    before = record.digest_of(2)
    assert not record.apply(3, p.WithdrawVersion(1, "ana", "a mistake"))
    assert record.latest.ejections == {"w2": 2} and record.digest_of(2) != before
    assert record.changes[0].withdrawn == "ana: a mistake" and record.latest.version == 2
    record.apply(4, p.Release(1, 0.0))
    assert "is released" in record.apply(5, p.WithdrawVersion(1, "ana", "again"))


def test_a_version_that_a_later_one_depends_on_is_not_withdrawn() -> None:
    record = p.Record()
    commit_change(record, 1, p.EjectWorker("w1"))
    commit_change(record, 2, p.ReinstateWorker("w1"))
    assert "version 2 depends on it" in record.apply(3, p.WithdrawVersion(1, "ana", ""))
    assert len(record.unreleased) == 2 and record.changes[0].change == p.EjectWorker("w1")


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (p.SetClass("lookup", {"speed": 1.0}), "lookup.speed: unknown field; allowed are aim"),
        (p.SetClass("lookup", {"aim": 0.0}), "must be a number above 0"),
        (p.SetClass("", {"aim": 1.0}), "names the class"),
        (p.SetRule("rules", "colour", 1.0), "rules.colour: unknown; allowed are rules.drainGrace"),
        (p.SetRule("allowed", "tryLimit", 0.0), "must be a number above 0"),
        (p.ReinstateWorker("w9"), "w9: is not banned by the fleet"),
        (p.EjectWorker(""), "no worker is named"),
        (p.LeastRelease(()), "must be numbers"),
    ],
)
def test_an_invalid_change_is_rejected_in_one_line(change: p.Change, expected: str) -> None:
    record = p.Record()
    error = commit_change(record, 1, change)
    assert expected in error and "\n" not in error and record.latest.version == 0


# ---- the wire


def test_messages_are_decoded_from_any_chunks_and_garbage_is_an_error() -> None:
    renew = m.RenewLease("n1", "b", "suva", (1, 2), "serve", 1.5, 7, 3, 4, b"d")
    messages: list[m.FleetMessage] = [
        m.Hello(m.PROTOCOL_VERSION, "vanua", "agent", "n1#b"), renew, m.ForwardedRequest(4, renew),
        m.Consensus(AppendEntries(2, 0, 0, (Entry(1, 2, EntryKind.COMMAND, b"x"),), 1, 1)),
        m.CommandRequest(1, m.Propose("c", "ana", "because", p.SetClass("lookup", {"aim": 50.0}))),
    ]  # fmt: skip
    data = b"".join(m.encode_frame(each) for each in messages)
    decoder, found = m.FrameDecoder(), []
    for at in range(len(data)):
        found += decoder.feed(data[at : at + 1])
    assert found == messages
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x03abc", b"\x00\x00\x00\x01\xc0"):
        with pytest.raises(m.WireError):
            m.FrameDecoder().feed(garbage)
