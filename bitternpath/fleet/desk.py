"""What a steward does with what it is told: the record, leases, releases, answers. Pure.

A `Desk` is a member of the consensus with the record that follows from it. What agents and commands say goes
to the leader, whichever steward hears it. The leader alone grants leases and releases versions; what it needs
for that beyond the record it keeps in a `Tenure`, which ends with its leadership.

Why two stewards never grant at odds:

- A lease is granted only once a round has been answered by a majority that began after the request came. Who
  answered had voted for nobody else by then, so the request is older than any later leader's election.
- A node's lease runs from the moment of its asking, by its own clock. For the leader it runs from the moment
  in which the request came, and `Terms.longest` on: longer, whatever both clocks do within the drift stated.
- A new leader takes every holder's lease as granted in the moment of its election.
- A holder leaves the record only after that time, or by its own word; and a version is released only when
  every holder in the record has said, under its fence, that it acts on the one before and has taken this one.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from msgspec import Struct

from bitternpath.fleet import messages as m
from bitternpath.fleet import plan as p
from bitternpath.replication.consensus import Raft
from bitternpath.replication.records import CHANGE, MEMBERS, Entry, Kept, Members, Role, Times, Write

Route = tuple[str, int]  # the steward whose connection it is, and its number there

COMPACT_EVERY = 1024  # entries after which the record is written down whole
KEPT_ENTRIES = 512  # that stay for members that lag
CLOSE = 64  # entries by which a learner may lag to become a voter


class Watch:
    """What the leader knows of a holder."""

    __slots__ = (
        "acting", "behind_since", "digest", "ending", "have", "heard", "refuses", "route", "sent", "until",
    )  # fmt: skip

    def __init__(self, until: float) -> None:
        self.until = until  # its lease may hold until then
        self.heard = 0.0
        self.sent = float("-inf")  # by the holder's clock, of the last request heard
        self.acting = self.have = -1  # not told yet
        self.digest = b""
        self.refuses = ""
        self.route: Route | None = None
        self.behind_since: float | None = None
        self.ending = False  # its end is in the log

    def told(self, now: float, route: Route, renew: m.Renew) -> None:
        self.heard, self.route, self.sent = now, route, renew.sent
        self.acting, self.have, self.digest, self.refuses = (
            renew.acting,
            renew.have,
            renew.digest,
            renew.refuses,
        )


class Waiting(Struct):
    """A request that waits for a round, or for an entry to be agreed."""

    at: int  # the round, or the entry's index
    came: float
    route: Route
    said: m.Renew | m.Acts | m.Ask


class Tenure:
    """One leadership."""

    def __init__(self, term: int, since: float) -> None:
        self.term, self.since = term, since
        self.watches: dict[str, Watch] = {}
        self.rounds: list[Waiting] = []
        self.entries: dict[int, Waiting] = {}
        self.joining: dict[str, int] = {}  # process: the index of its entry
        self.releasing = 0  # the index of a release that is not agreed yet
        self.began = False  # the record is that of the leaders before


class Effects(Struct):
    """What follows; `agreed` tells of entries that changed the record."""

    send: list[tuple[str, m.Consensus | m.Passed | m.Back]]  # to other stewards
    writes: list[Write]
    replies: list[tuple[int, m.ToOutside]]  # on this steward's own connections
    agreed: list[tuple[int, p.Item]]
    applied: list[tuple[int, int, bytes]]  # index, term and content of all that was taken for agreed


class Desk:
    """One steward."""

    def __init__(
        self, me: str, kept: Kept, random: Random, now: float, wall: Callable[[], float], times: Times
    ) -> None:  # fmt: skip
        self.me, self.wall = me, wall
        self.record = p.record_from(kept.snapshot.data)
        self.applied = kept.snapshot.index
        self.raft = Raft(me, kept, random, now, times)
        self.tenure: Tenure | None = None
        self.known: dict[str, str] = {}  # a steward's name: the member that it is, as it last said
        self._send: list[tuple[str, m.Consensus | m.Passed | m.Back]] = []
        self._replies: list[tuple[int, m.ToOutside]] = []

    # ---- inputs

    @property
    def alarm(self) -> float:
        return self.raft.alarm

    def tick(self, now: float) -> None:
        self.raft.tick(now)

    def stored(self, now: float, number: int) -> None:
        self.raft.stored(now, number)

    def hear(self, now: float, sender: str, said: m.Consensus | m.Passed | m.Back) -> None:
        """Another steward speaks."""
        match said:
            case m.Consensus(message):
                self.raft.hear(now, sender, message)
            case m.Passed(token, outside):
                self._said(now, (sender, token), outside, passed=True)
            case m.Back(token, answer):
                self._replies.append((token, answer))

    def say(self, now: float, token: int, said: m.FromOutside) -> None:
        """An agent or a command speaks on a connection of this steward's."""
        self._said(now, (self.me, token), said, passed=False)

    def take(self, now: float) -> Effects:
        """All that follows from what was put in."""
        effects = Effects([], [], [], [], [])
        self._keep_tenure()
        while True:
            out = self.raft.take(now)
            effects.send += [(to, m.Consensus(message)) for to, message in out.send]
            effects.writes += out.writes
            if out.restore is not None:
                self.record, self.applied = p.record_from(out.restore.data), out.restore.index
            for entry in out.committed:
                self._apply(now, entry, effects)
            before = self.raft.last_index, self.raft.round_wanted
            self._lead(now)
            if (self.raft.last_index, self.raft.round_wanted) == before:
                break
        self._compact()
        effects.send += self._send
        effects.replies = self._replies
        self._send, self._replies = [], []
        return effects

    def met(self, id: str) -> None:
        """A steward has said who it is: its name, a dot, and its incarnation."""
        self.known[id.partition(".")[0]] = id

    # ---- what is said

    def _said(self, now: float, route: Route, said: m.FromOutside, passed: bool) -> None:
        raft = self.raft
        if isinstance(said, m.Ask) and isinstance(said.command, m.Look) and said.command.stale:
            self._reply(route, self._looked(now, said))
        elif raft.role is Role.LEADER:
            if self.tenure is not None and self.tenure.began:
                self._lead_said(now, self.tenure, route, said)
            else:
                self._turn_away(route, said, "the leader is new and does not know the record yet")
        elif raft.leader and not passed:
            self._send.append((raft.leader, m.Passed(route[1], said)))
        else:
            self._turn_away(route, said, "no leader is known here")

    def _turn_away(self, route: Route, said: m.FromOutside, why: str) -> None:
        if isinstance(said, m.Renew):
            self._reply(route, m.Withheld(said.sent, why, elsewhere=True))
        elif isinstance(said, m.Ask):
            self._reply(route, m.Answer(said.number, False, why))

    def _reply(self, route: Route, said: m.ToOutside) -> None:
        if route[0] == self.me:
            self._replies.append((route[1], said))
        else:
            self._send.append((route[0], m.Back(route[1], said)))

    def _lead_said(self, now: float, tenure: Tenure, route: Route, said: m.FromOutside) -> None:
        match said:
            case m.Renew():
                holder = self.record.holders.get(f"{said.node}#{said.boot}")
                if holder is not None and said.sent < tenure.watches[holder.key].sent:
                    return  # it came late, and says less than what is known
                if holder is not None and holder.fence == said.fence:
                    self._renew(now, tenure, tenure.watches[holder.key], route, said)
                else:
                    self._join(now, tenure, route, said)
            case m.Parting(node, boot, fence):
                holder = self.record.holders.get(f"{node}#{boot}")
                if holder is not None and holder.fence == fence:
                    self._part(tenure, holder, "it ended")
            case m.Acts():
                self._noted(now, tenure, route, said)
            case m.Ask():
                self._asked(now, tenure, route, said)

    # ---- leases

    def _renew(self, now: float, tenure: Tenure, watch: Watch, route: Route, said: m.Renew) -> None:
        watch.told(now, route, said)
        behind = said.acting < self.record.released.version or not self._has(
            watch, self.record.latest.version
        )
        if not behind:
            watch.behind_since = None
        elif watch.behind_since is None:
            watch.behind_since = now
        if behind:
            self._bring_up(route, said)
        if (
            behind
            and now > (watch.behind_since or now) + self.record.terms.catch_up
            and not self._excused(tenure, watch.refuses)
        ):
            why = watch.refuses or f"it acts on {said.acting} and has {said.have}"
            self._reply(
                route, m.Withheld(said.sent, f"a straggler for {self.record.terms.catch_up:g} s: {why}")
            )
            return
        tenure.rounds.append(Waiting(self.raft.want_round(), now, route, said))

    def _has(self, watch: Watch, version: int) -> bool:
        """Whether a holder has taken that version as it is now."""
        return watch.have >= version and self.record.digest_of(watch.have) == watch.digest

    @staticmethod
    def _excused(tenure: Tenure, refuses: str) -> bool:
        """Where half of the holders refuse a change, it is the change that is wrong."""
        many = sum(bool(watch.refuses) for watch in tenure.watches.values())
        return bool(refuses) and 2 * many >= len(tenure.watches)

    def _bring_up(self, route: Route, said: m.Renew) -> None:
        """What a process lacks."""
        since = self.record.since(said.have, said.digest)
        if since is None:
            self._reply(route, m.Whole(self.record.released, tuple(self.record.waiting)))
        elif changes := tuple(since):
            self._reply(route, m.Changes(changes))

    def _join(self, now: float, tenure: Tenure, route: Route, said: m.Renew) -> None:
        record, key = self.record, f"{said.node}#{said.boot}"
        if said.release < record.latest.least_release:
            least = ".".join(map(str, record.latest.least_release))
            self._reply(route, m.Withheld(said.sent, f"its release is older than {least}, the least allowed"))
            return
        if said.have < record.latest.version or record.digest_of(said.have) != said.digest:
            self._bring_up(route, said)
        if said.have < record.released.version or record.digest_of(said.have) != said.digest:
            why = said.refuses or f"it has {said.have}, {record.released.version} is released"
            self._reply(route, m.Withheld(said.sent, why))
            return
        if said.refuses and said.have < record.latest.version and not self._excused(tenure, said.refuses):
            self._reply(route, m.Withheld(said.sent, said.refuses))  # it would hold up all the others
            return
        if tenure.joining.get(key, 0) > self.applied:
            return
        item = p.Joined(
            said.node, said.boot, said.site, said.release, said.alone, said.have, said.digest, self.wall()
        )  # fmt: skip
        index = self.raft.propose(now, CHANGE, p.item_bytes(item))
        if index is not None:
            tenure.joining[key] = index
            tenure.entries[index] = Waiting(index, now, route, said)

    def _grant(self, now: float, tenure: Tenure, waiting: Waiting) -> None:
        """A request's round is answered, or its entry agreed."""
        said = waiting.said
        assert isinstance(said, m.Renew)
        holder = self.record.holders.get(f"{said.node}#{said.boot}")
        watch = tenure.watches.get(holder.key) if holder is not None else None
        if holder is None or watch is None or watch.ending:
            return
        watch.until = max(watch.until, waiting.came + self.record.terms.longest)
        released = self.record.released
        self._reply(
            waiting.route,
            m.Lease(said.sent, self.record.terms.lease, holder.fence, released.version, released.digest),
        )

    def _part(self, tenure: Tenure, holder: p.Holder, why: str) -> None:
        watch = tenure.watches[holder.key]
        if not watch.ending:
            item = p.Parted(holder.node, holder.boot, holder.fence, why, self.wall())
            watch.ending = self.raft.propose(self.raft.now, CHANGE, p.item_bytes(item)) is not None

    # ---- the audit

    def _noted(self, now: float, tenure: Tenure, route: Route, said: m.Acts) -> None:
        """Lines are acknowledged once the record has them."""
        account = self.record.accounts.get(f"{said.node}#{said.boot}")
        upto = account.upto if account is not None else 0
        fresh = any(line.number > upto for line in said.lines)
        if not fresh and not 0 < said.final < upto and account is not None and account.agrees(said.lines):
            self._reply(route, m.Heard(said.boot, upto))
            return
        item = p.Noted(said.node, said.boot, said.lines, said.final, self.wall())
        index = self.raft.propose(now, CHANGE, p.item_bytes(item))
        if index is not None:
            tenure.entries[index] = Waiting(index, now, route, said)

    # ---- leading

    def _lead(self, now: float) -> None:
        self._keep_tenure()
        raft, tenure = self.raft, self.tenure
        if tenure is None or not raft.ready or self.applied < raft.first_own_index:
            return
        if not tenure.began:
            tenure.began = True
            for key in self.record.holders:
                tenure.watches[key] = Watch(tenure.since + self.record.terms.longest)
        due = [waiting for waiting in tenure.rounds if waiting.at <= raft.confirmed_round]
        tenure.rounds = [waiting for waiting in tenure.rounds if waiting.at > raft.confirmed_round]
        for waiting in due:
            if isinstance(waiting.said, m.Ask):
                self._reply(waiting.route, self._looked(now, waiting.said))
            else:
                self._grant(now, tenure, waiting)
        for key, watch in tenure.watches.items():
            if now > watch.until and not watch.ending:
                self._part(tenure, self.record.holders[key], "its lease is over")
        self._release(now, tenure)
        self._promote(now)

    def _keep_tenure(self) -> None:
        """A tenure is one term's."""
        tenure, leads = self.tenure, self.raft.role is Role.LEADER
        if tenure is not None and not (leads and tenure.term == self.raft.term):
            self._step_down(tenure)
        if self.tenure is None and leads:
            self.tenure = Tenure(self.raft.term, self.raft.elected_at)

    def _step_down(self, tenure: Tenure) -> None:
        self.tenure = None
        for waiting in [*tenure.rounds, *tenure.entries.values()]:
            self._turn_away(waiting.route, waiting.said, "the leader has changed; ask again")

    def _release(self, now: float, tenure: Tenure) -> None:
        """The next version, once every holder has it and acts on the one before."""
        record, released = self.record, self.record.released.version
        if record.latest.version <= released or tenure.releasing > self.applied:
            return
        if all(w.acting >= released and self._has(w, released + 1) for w in tenure.watches.values()):
            item = p.Release(released + 1, self.wall())
            tenure.releasing = self.raft.propose(now, CHANGE, p.item_bytes(item)) or 0

    def _promote(self, now: float) -> None:
        """A learner that has nearly all becomes a voter."""
        members, raft = self.raft.members, self.raft
        if not members.learners or not raft.may_change_members:
            return
        for name in members.learners:
            peer = raft.peers.get(name)
            if peer is not None and peer.match_index >= raft.commit_index - CLOSE and peer.match_index:
                left = tuple(other for other in members.learners if other != name)
                self._propose_members(now, Members((*members.voters, name), left))
                return

    def _propose_members(self, now: float, members: Members) -> int | None:
        return self.raft.propose(now, MEMBERS, msgspec.msgpack.encode(members))

    # ---- the record

    def _apply(self, now: float, entry: Entry, effects: Effects) -> None:
        self.applied = entry.index
        effects.applied.append((entry.index, entry.term, entry.data))
        tenure = self.tenure
        waiting = None
        if tenure is not None and tenure.term == entry.term:
            waiting = tenure.entries.pop(entry.index, None)
        if entry.kind != CHANGE:
            if waiting is not None and isinstance(waiting.said, m.Ask):
                self._reply(waiting.route, m.Answer(waiting.said.number, True, ""))
            return
        item = p.item_from(entry.data)
        why = self.record.apply(entry.index, item)
        if not why:
            effects.agreed.append((entry.index, item))
        if tenure is None or not tenure.began:
            return
        match item:
            case p.Joined(node, boot):
                key = f"{node}#{boot}"
                holder = self.record.holders.get(key)
                if not why and holder is not None:
                    # Proposed by this leader: entries of earlier ones were applied before its tenure began.
                    assert waiting is not None and isinstance(waiting.said, m.Renew)
                    watch = tenure.watches[key] = Watch(waiting.came + self.record.terms.longest)
                    watch.told(now, waiting.route, waiting.said)
                    self._grant(now, tenure, waiting)
            case p.Parted(node, boot):
                if not why:
                    tenure.watches.pop(f"{node}#{boot}", None)
            case p.Adopt() | p.Void() | p.Release():
                if not why:
                    news = m.News(self.record.released.version, self.record.latest.version)
                    for watch in tenure.watches.values():
                        if watch.route is not None:
                            self._reply(watch.route, news)
            case p.Noted(node, boot):
                if waiting is not None:
                    upto = self.record.accounts[f"{node}#{boot}"].upto
                    self._reply(waiting.route, m.Heard(boot, upto))
        if waiting is not None and isinstance(waiting.said, m.Ask):
            data = {"version": self.record.ids.get(item.id, 0)} if isinstance(item, p.Adopt) else None
            self._reply(waiting.route, _answer(waiting.said.number, why, data))

    def _compact(self) -> None:
        if self.applied - self.raft.snapshot.index >= COMPACT_EVERY:
            self.raft.compact(self.applied, p.record_bytes(self.record), KEPT_ENTRIES)

    # ---- commands

    def _asked(self, now: float, tenure: Tenure, route: Route, said: m.Ask) -> None:
        index: int | None = None
        match said.command:
            case m.Look():
                tenure.rounds.append(Waiting(self.raft.want_round(), now, route, said))
                return
            case m.Propose(id, author, reason, change):
                if id in self.record.ids:
                    self._reply(route, _answer(said.number, "", {"version": self.record.ids[id]}))
                    return
                item: p.Item = p.Adopt(id, author, reason, self.wall(), change)
                index = self.raft.propose(now, CHANGE, p.item_bytes(item))
            case m.Withdraw(version, author, reason):
                index = self.raft.propose(now, CHANGE, p.item_bytes(p.Void(version, author, reason)))
            case m.ChangeMembers(add, remove):
                if add and add not in self.known:
                    self._reply(
                        route, _answer(said.number, f"{add} has not been heard of; does it run?", None)
                    )
                    return
                add = self.known.get(add, "")
                remove = next((id for id in self.raft.members.all if id.partition(".")[0] == remove), remove)
                why = self._members_fault(add, remove)
                if why:
                    self._reply(route, _answer(said.number, why, None))
                    return
                members = self.raft.members
                voters = tuple(name for name in members.voters if name != remove)
                learners = tuple(name for name in members.learners if name != remove)
                index = self._propose_members(now, Members(voters, (*learners, add) if add else learners))
            case m.PassOn(to):
                to = next((id for id in self.raft.members.voters if id.partition(".")[0] == to), to)
                done = self.raft.transfer_leadership(now, to)
                self._reply(route, _answer(said.number, "" if done else f"{to} is no other voter", None))
                return
        if index is None:
            self._reply(route, _answer(said.number, "leadership or membership is changing; ask again", None))
        else:
            tenure.entries[index] = Waiting(index, now, route, said)

    def _members_fault(self, add: str, remove: str) -> str:
        members = self.raft.members
        if bool(add) == bool(remove):
            return "one steward is added or removed at a time"
        if not self.raft.may_change_members or (members.learners and add):
            return "another change of members is under way; ask again"
        if add in members.all:
            return f"{add} is a member already"
        if remove and remove not in members.all:
            return f"{remove} is no member; members are {', '.join(members.all)}"
        if remove and members.voters == (remove,):
            return f"{remove} is the last one"
        return ""

    def _looked(self, now: float, said: m.Ask) -> m.Answer:
        """What is known. Times in s; those of holders are ages on the leader's clock."""
        record, tenure, raft = self.record, self.tenure, self.raft
        watches = tenure.watches if tenure is not None else {}
        found: dict[str, Any] = {
            "steward": self.me,
            "applied": self.applied,
            "terms": record.terms,
            "leader": raft.leader,
            "term": raft.term,
            "voters": raft.members.voters,
            "learners": raft.members.learners,
            "heard": now - raft.last_contact if raft.role is not Role.LEADER else 0.0,
            "released": record.released.version,
            "latest": record.latest.version,
            "in_effect": min((w.acting for w in watches.values()), default=record.released.version),
            "plan": record.released,
            "waiting": record.waiting,
            "changes": record.changes,
            "release_times": record.release_times,
            "holders": [self._seen(now, holder, watches.get(key)) for key, holder in record.holders.items()],
        }
        if isinstance(said.command, m.Look) and said.command.what == "audit":
            found["ids"] = record.ids
            found["accounts"] = [
                msgspec.to_builtins(account) | {"unheard": account.says_missing(key in record.holders)}
                for key, account in record.accounts.items()
            ]
        return _answer(said.number, "", found)

    @staticmethod
    def _seen(now: float, holder: p.Holder, watch: Watch | None) -> dict[str, Any]:
        seen: dict[str, Any] = msgspec.to_builtins(holder)
        if watch is not None:
            seen |= {
                "acting": watch.acting,
                "have": watch.have,
                "heard": now - watch.heard if watch.route is not None else None,
                "until": watch.until - now,
                "refuses": watch.refuses,
                "behind": now - watch.behind_since if watch.behind_since is not None else 0.0,
            }
        return seen


def _answer(number: int, why: str, data: Any) -> m.Answer:
    return m.Answer(number, not why, why, msgspec.Raw(msgspec.msgpack.encode(data)))
