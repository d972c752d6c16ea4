"""Consensus between stewards, as a pure function of messages, ticks and answers of the disk.

From the extended Raft paper, figure 2 (Ongaro and Ousterhout 2014; below "fig. 2"), and Ongaro's thesis
(2014; below "T" and a section): pre-vote (T 9.6), no vote while a leader is heard (T 4.2.3), a leader that
hears no majority steps down (T 6.2), transfer of leadership (T 3.10), read index (T 6.4), snapshots in pieces
(T 5), one member at a time with learners first (T 4).

Theory of operation. A member is a follower, asks whether it would get votes, is a candidate, or leads:

    FOLLOWER --its time is up--> ASKING --a majority would vote--> CANDIDATE --a majority did--> LEADER
    each --a higher term is heard--> FOLLOWER;  LEADER --no majority heard for `election`--> FOLLOWER

Each input (`hear`, `tick`, `stored`, `propose`, `compact`, ...) changes the state; `take` gives all that
follows: messages to send, writes, and what is agreed for good. Rules of this file:

- The disk answers later. A write has a number, and is done when `stored(number)` comes; writes are done in
  order. What promises something (a vote, a candidate's asking, a follower's yes) is held back until the write
  that keeps the promise is done. A leader's entries go out at once, but it counts itself among those that
  have them only when its own write is done (T 10.2.1).
- A message may come late, twice, out of order or never. Only a term, an index and a round tell what it means.
- A *round* is a number that a leader's messages carry and the answers bring back. It only goes up in a term.
  A majority's answers to round r prove that when r began no other leader had been chosen since.

Times are in seconds on any clock that does not go back. Nothing here looks at a clock or at the network.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from random import Random

import msgspec
from msgspec import Struct

NOTHING, CHANGE, MEMBERS = 0, 1, 2  # kinds of entries; the first one that a leader writes is of no effect

BATCH_ENTRIES, BATCH_BYTES = (
    64,
    256 << 10,
)  # of one message, so that a peer's silence is never one large write
AHEAD = 256  # entries sent to a peer beyond those it has said yes to
PIECE = 128 << 10  # bytes of a snapshot in one message


class Entry(Struct, frozen=True, array_like=True):
    index: int
    term: int
    kind: int
    data: bytes


class Members(Struct, frozen=True, array_like=True):
    """Who takes part. Learners get all entries, and neither vote nor count. `generation`: of the placement
    that this follows; it never falls in a log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    generation: int = 0

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners


class Snapshot(Struct, frozen=True, array_like=True):
    """The state after `index`, in place of all entries up to it."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    data: bytes = b""


# ---- messages. `term` is the sender's, but for a pre-vote, where it is the one that the sender would have.


class AskVote(Struct, frozen=True, tag=1, array_like=True):
    """RequestVote of fig. 2; `pre`: only whether it would be given; `told`: by the leader (T 3.10)."""

    term: int
    last_index: int
    last_term: int
    pre: bool
    told: bool = False


class Vote(Struct, frozen=True, tag=2, array_like=True):
    """`term` of a granted pre-vote is the one asked for."""

    term: int
    pre: bool
    granted: bool


class Append(Struct, frozen=True, tag=3, array_like=True):
    """AppendEntries of fig. 2."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(Struct, frozen=True, tag=4, array_like=True):
    """`index`: the last one that agrees, where `ok`; else the last one that may."""

    term: int
    ok: bool
    index: int
    round: int


class Install(Struct, frozen=True, tag=5, array_like=True):
    """A piece of a snapshot (T 5.3), from `offset` on."""

    term: int
    index: int
    last_term: int
    members: Members
    size: int
    offset: int
    piece: bytes
    round: int


class Installed(Struct, frozen=True, tag=6, array_like=True):
    """How much of the snapshot up to `index` is there; all of it where `offset` is its size."""

    term: int
    index: int
    offset: int
    round: int


class TakeOver(Struct, frozen=True, tag=7, array_like=True):
    """TimeoutNow of T 3.10."""

    term: int


Message = AskVote | Vote | Append | Appended | Install | Installed | TakeOver


class Write(Struct, frozen=True):
    """One batch for the disk, to be done as a whole, after those before it."""

    number: int
    term: int
    vote: str
    cut: int | None  # entries from this index on are gone, before the new ones are added
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None  # takes the place of the one before
    before: tuple[int, int]  # index and term of the last entry that is not needed any more


class Kept(Struct):
    """What a disk holds at the start."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    before: tuple[int, int] = (0, 0)  # index and term of the entry before the first one kept
    entries: list[Entry] = []


class Out(Struct):
    """What follows from the inputs since the last `take`."""

    send: list[tuple[str, Message]]
    writes: list[Write]
    restore: Snapshot | None  # the state is this one; comes before `agreed`
    agreed: list[Entry]


class Times(Struct, frozen=True):
    """In s. An election wants messages to take much less than `election`."""

    election: float = 1.0  # the least time without a leader after which a follower asks; at most twice that
    heartbeat: float = 0.2


USUAL = Times()


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Peer:
    """What a leader knows of another member."""

    __slots__ = ("heard", "match", "next", "offset", "piece_round", "round")

    def __init__(self, next: int, now: float) -> None:
        self.next, self.match, self.round = next, 0, 0
        self.heard = now
        self.offset: int | None = None  # of the snapshot, while one is being sent
        self.piece_round = 0  # in which the piece at `offset` was sent


class Raft:
    """One member."""

    def __init__(self, me: str, kept: Kept, random: Random, now: float, times: Times = USUAL) -> None:
        self.me, self.random, self.times, self.now = me, random, times, now
        self.term, self.vote = kept.term, kept.vote
        self.snapshot, self.before, self.log = kept.snapshot, kept.before, list(kept.entries)
        self.commit = self.told = kept.snapshot.index  # agreed, and handed out as such
        self.stable = self.last  # what is on disk up to here
        self.role, self.leader = Role.FOLLOWER, ""
        self.heard = now - 2 * times.election  # of a leader
        self.peers: dict[str, Peer] = {}
        self.votes: set[str] = set()
        self.round = self.confirmed = 0  # the last one begun, and the last one that a majority answered
        self.since = 0  # the index of the leader's own first entry
        self.led_from = 0.0  # when it was chosen
        self.heir = ""  # to whom leadership is being passed on
        self._round_wanted = False
        self._beat_at = self._heir_until = 0.0
        self._partial: tuple[int, int, bytearray] | None = (
            None  # snapshot's index and term, and what is there
        )
        self._written = self._done = 0  # numbers of writes
        self._pending: list[list[int]] = []  # number and last index of the writes that are not done
        self._held: list[tuple[int, str, Message]] = []  # until which write is done
        self._after: list[tuple[str, Message]] = []  # to be held back until all that there is now is on disk
        self._send: list[tuple[str, Message]] = []
        self._cut: int | None = None
        self._new: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self._restore: Snapshot | None = None
        self._dirty = False
        self._find_members()
        self._set_alarm()

    # ---- the log

    @property
    def last(self) -> int:
        return self.log[-1].index if self.log else self.before[0]

    def term_at(self, index: int) -> int:
        """Of an entry that is kept, or of the one before the first."""
        if index == self.before[0]:
            return self.before[1]
        return self.log[index - self.before[0] - 1].term

    def _from(self, index: int) -> list[Entry]:
        return self.log[index - self.before[0] - 1 :]

    def _members_upto(self, index: int) -> tuple[Members, int]:
        """The last members named by then, and by which entry."""
        for entry in reversed(self.log):
            if entry.kind == MEMBERS and entry.index <= index:
                return members_from(entry.data), entry.index
        return self.snapshot.members, self.snapshot.index

    def _find_members(self) -> None:
        """The last ones in the log count, agreed or not (T 4.1)."""
        self.members, self.members_at = self._members_upto(self.last)

    @property
    def _stands(self) -> bool:
        """Whether it may be a candidate: also one that is no member any more while that is not agreed, for
        nobody else may have the entries that the others want of a leader (T 4.2.2)."""
        if self.me in self.members.voters:
            return True
        open_ = [e for e in self.log if e.kind == MEMBERS and e.index > self.commit]
        named = [self._members_upto(self.commit)[0], *(members_from(e.data) for e in open_)]
        return bool(open_) and any(self.me in members.voters for members in named)

    def _add(self, entry: Entry) -> None:
        self.log.append(entry)
        self._new.append(entry)
        self._dirty = True
        if entry.kind == MEMBERS:
            self.members, self.members_at = members_from(entry.data), entry.index

    def _cut_from(self, index: int) -> None:
        del self.log[index - self.before[0] - 1 :]
        self._new = [e for e in self._new if e.index < index]
        self._cut = index if self._cut is None else min(self._cut, index)
        self.stable = min(self.stable, index - 1)
        for pending in self._pending:
            pending[1] = min(pending[1], index - 1)
        self._dirty = True
        if self.members_at >= index:
            self._find_members()

    # ---- inputs

    def tick(self, now: float) -> None:
        """Time has passed; to be called at `alarm` at the latest."""
        self.now = now
        if self.role is Role.LEADER:
            if now >= self._beat_at:
                self._lead_on()
        elif now >= self._alarm:
            self._set_alarm()
            if self._stands:
                self._ask(pre=True)

    @property
    def alarm(self) -> float:
        """When `tick` is wanted next."""
        return self._beat_at if self.role is Role.LEADER else self._alarm

    def stored(self, now: float, number: int) -> None:
        """The disk has done the writes up to that number."""
        self.now = now
        self._done = max(self._done, number)
        while self._pending and self._pending[0][0] <= number:
            self.stable = max(self.stable, self._pending.pop(0)[1])
        due = [held for held in self._held if held[0] <= number]
        self._held = [held for held in self._held if held[0] > number]
        for _, to, message in due:
            self._deliver(to, message)
        if self.role is Role.LEADER:
            self._count()

    def hear(self, now: float, sender: str, message: Message) -> None:
        """A message has come; one that makes no sense is passed over."""
        self.now = now
        match message:
            case AskVote():
                self._asked(sender, message)
            case Vote():
                self._voted(sender, message)
            case Append():
                if self._follows(sender, message.term, message.round):
                    self._append(sender, message)
            case Install():
                if self._follows(sender, message.term, message.round):
                    self._install(sender, message)
            case Appended() | Installed():
                if message.term > self.term:
                    self._become_follower(message.term)
                elif self.role is Role.LEADER and message.term == self.term and sender in self.peers:
                    self._answered(sender, self.peers[sender], message)
            case TakeOver():
                if message.term == self.term and sender == self.leader and self.me in self.members.voters:
                    self._stand(told=True)

    def propose(self, now: float, kind: int, data: bytes) -> int | None:
        """A leader's entry; its index, or None where this member cannot say yes to it now."""
        self.now = now
        if self.role is not Role.LEADER or self.heir:
            return None
        if kind == MEMBERS and not self.may_change_members:
            return None
        self._add(Entry(self.last + 1, self.term, kind, data))
        if kind == MEMBERS:
            self._meet()
        for name in self.peers:
            self._feed(name)
        return self.last

    def propose_many(self, now: float, commands: Sequence[bytes]) -> int | None:
        """As `propose` with CHANGE for each, but a peer gets them together; the index of the first."""
        self.now = now
        if self.role is not Role.LEADER or self.heir:
            return None
        first = self.last + 1
        for command in commands:
            self._add(Entry(self.last + 1, self.term, CHANGE, command))
        for name, peer in self.peers.items():
            sent = 0
            while sent < peer.next <= self.last:
                sent = peer.next
                self._feed(name)
        return first

    @property
    def may_change_members(self) -> bool:
        """One change at a time, and the leader has agreed something in its own term (Ongaro's correction of
        T 4 on the raft-dev list, 2015)."""
        return self.ready and self.members_at <= self.commit

    @property
    def ready(self) -> bool:
        """A leader that knows all that was agreed before it (T 6.4)."""
        return self.role is Role.LEADER and self.commit >= self.since

    def want_round(self) -> int:
        """The number of a round that begins after this; it does so soon."""
        self._round_wanted = True
        return self.round + 1

    @property
    def wanted(self) -> bool:
        """Whether a round is asked for that has not begun."""
        return self._round_wanted

    def pass_on(self, now: float, to: str) -> bool:
        """Leadership is to go to another voter; whether that was begun."""
        self.now = now
        if self.role is not Role.LEADER or to not in self.members.voters or to == self.me:
            return False
        self.heir, self._heir_until = to, now + self.times.election
        self._feed(to)
        self._hand_over()
        return True

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """`data` is the state after that index, which is agreed; `keep` entries before it stay."""
        if not self.snapshot.index < index <= self.told:
            return
        members, _ = self._members_upto(index)
        self.snapshot = self._new_snapshot = Snapshot(index, self.term_at(index), members, data)
        before = max(index - keep, self.before[0])
        term = self.term_at(before)
        self.log = self._from(before + 1)
        self.before = before, term
        self._new = [e for e in self._new if e.index > before]
        self._dirty = True

    def take(self, now: float) -> Out:
        """All that follows from what was put in."""
        self.now = now
        if self.role is Role.LEADER:
            if self._round_wanted and (self.confirmed >= self.round or not self.peers):
                self._begin_round()
            self._count()
        writes = []
        while self._dirty or self._after:
            if self._dirty:
                writes.append(self._flush())
            after, self._after = self._after, []
            for to, message in after:
                if self._written > self._done:
                    self._held.append((self._written, to, message))
                else:
                    self._deliver(to, message)
        out = Out(self._send, writes, self._restore, [])
        self._send, self._restore = [], None
        if self.commit > self.told:
            out.agreed = self._from(self.told + 1)[: self.commit - self.told]
            self.told = self.commit
        return out

    def _flush(self) -> Write:
        self._written += 1
        self._pending.append([self._written, self.last])
        new, snapshot = tuple(self._new), self._new_snapshot
        write = Write(self._written, self.term, self.vote, self._cut, new, snapshot, self.before)
        self._dirty, self._cut, self._new, self._new_snapshot = False, None, [], None
        return write

    # ---- elections

    def _set_alarm(self) -> None:
        self._alarm = self.now + self.times.election * (1.0 + self.random.random())

    def _become_follower(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term, self.vote, self._dirty = term, "", True
        if self.role is not Role.FOLLOWER:
            self._set_alarm()
        self.role, self.leader, self.heir = Role.FOLLOWER, leader, ""
        self.peers.clear()
        self.votes.clear()
        self._round_wanted = False

    def _ask(self, pre: bool, told: bool = False) -> None:
        self.votes.clear()
        self.leader = ""
        term = self.term + 1 if pre else self.term
        asking = AskVote(term, self.last, self.term_at(self.last), pre, told)
        self.role = Role.ASKING if pre else Role.CANDIDATE
        # Its own vote counts as any other's: once it is on disk.
        self._after.append((self.me, Vote(term, pre, True)))
        self._after += [(name, asking) for name in self.members.voters if name != self.me]

    def _stand(self, told: bool = False) -> None:
        self.term, self.vote, self._dirty = self.term + 1, self.me, True
        self._set_alarm()
        self._ask(pre=False, told=told)

    def _asked(self, sender: str, asking: AskVote) -> None:
        leads = self.role is Role.LEADER
        if not asking.told and (leads or (self.leader and self.now < self.heard + self.times.election)):
            self._send.append((sender, Vote(self.term, asking.pre, False)))
            return
        if asking.term > self.term and not asking.pre:
            self._become_follower(asking.term)
        fresh = (asking.last_term, asking.last_index) >= (self.term_at(self.last), self.last)
        if asking.pre:
            granted = asking.term > self.term and fresh
            self._after.append((sender, Vote(asking.term if granted else self.term, True, granted)))
            return
        granted = asking.term == self.term and fresh and self.vote in ("", sender)
        granted = granted and self.role is not Role.LEADER
        if granted:
            if not self.vote:
                self.vote, self._dirty = sender, True
            self._set_alarm()
        self._after.append((sender, Vote(self.term, False, granted)))

    def _voted(self, sender: str, vote: Vote) -> None:
        if vote.term > self.term and not (vote.pre and vote.granted):
            self._become_follower(vote.term)
            return
        wanted = self.term + 1 if vote.pre else self.term
        role = Role.ASKING if vote.pre else Role.CANDIDATE
        if self.role is not role or not vote.granted or vote.term != wanted:
            return
        if sender in self.members.voters:
            self.votes.add(sender)
        if 2 * len(self.votes) > len(self.members.voters):
            if vote.pre:
                self._stand()
            else:
                self._lead()

    # ---- leading

    def _lead(self) -> None:
        self.role, self.leader, self.led_from = Role.LEADER, self.me, self.now
        self.round = self.confirmed = 0
        self.votes.clear()
        self.peers = {}
        self._meet()
        self._add(Entry(self.last + 1, self.term, NOTHING, b""))
        self.since = self.last
        self._lead_on()

    def _meet(self) -> None:
        """The peers are the members, whoever else they were."""
        before, self.peers = self.peers, {}
        for name in self.members.all:
            if name != self.me:
                self.peers[name] = before.get(name) or Peer(self.last + 1, self.now)

    def _lead_on(self) -> None:
        """Once a heartbeat: is there a majority still?"""
        self._beat_at = self.now + self.times.heartbeat
        if self.heir and self.now >= self._heir_until:
            self.heir = ""
        heard = sum(
            self.now < peer.heard + self.times.election
            for name, peer in self.peers.items()
            if self._votes(name)
        )
        if 2 * (heard + (self.me in self.members.voters)) <= len(self.members.voters):
            self._become_follower(self.term)
            return
        self.heard = self.now
        self._begin_round()

    def _votes(self, name: str) -> bool:
        return name in self.members.voters

    def _begin_round(self) -> None:
        self.round += 1
        self._round_wanted = False
        for name, peer in self.peers.items():
            # A peer that says nothing is only asked where it stands. If what was sent is lost, it says no.
            silent = peer.heard < self.now - self.times.heartbeat
            if silent and peer.offset is None and peer.next > self.before[0]:
                self._send_empty(name, peer)
            else:
                self._feed(name, beat=True)

    def _feed(self, name: str, beat: bool = False) -> None:
        """Send a peer what it lacks; a heartbeat is sent even where that is nothing."""
        peer = self.peers[name]
        if peer.next <= self.before[0] or peer.offset is not None:
            if peer.offset is None:
                self._feed_snapshot(name, peer, 0)
            elif beat:
                self._send_piece(name, peer.offset, b"")
            return
        entries: list[Entry] = []
        size = 0
        if peer.next <= peer.match + AHEAD:
            start = peer.next - self.before[0] - 1
            for entry in self.log[start : start + BATCH_ENTRIES]:
                size += len(entry.data)
                if entries and size > BATCH_BYTES:
                    break
                entries.append(entry)
        if entries or beat:
            previous = peer.next - 1
            told = Append(
                self.term, previous, self.term_at(previous), tuple(entries), self.commit, self.round
            )
            self._send.append((name, told))
            peer.next += len(entries)

    def _send_empty(self, name: str, peer: Peer) -> None:
        at = peer.next - 1
        self._send.append((name, Append(self.term, at, self.term_at(at), (), self.commit, self.round)))

    def _feed_snapshot(self, name: str, peer: Peer, at: int) -> None:
        peer.offset, peer.piece_round = at, self.round
        self._send_piece(name, at, self.snapshot.data[at : at + PIECE])

    def _send_piece(self, name: str, at: int, piece: bytes) -> None:
        """An empty piece is a heartbeat to a peer that is being sent a snapshot."""
        snapshot = self.snapshot
        self._send.append(
            (
                name,
                Install(
                    self.term, snapshot.index, snapshot.term, snapshot.members, len(snapshot.data), at, piece,
                    self.round,
                ),
            )
        )  # fmt: skip

    def _answered(self, name: str, peer: Peer, answer: Appended | Installed) -> None:
        peer.heard = self.now
        peer.round = max(peer.round, answer.round)
        if isinstance(answer, Installed):
            self._installed(name, peer, answer)
        elif answer.ok:
            peer.match = max(peer.match, answer.index)
            peer.next = max(peer.next, peer.match + 1)
            peer.offset = None
            if peer.next <= self.last:
                self._feed(name)
            if name == self.heir:
                self._hand_over()
        else:
            peer.next = max(min(answer.index + 1, peer.next - 1), peer.match + 1)
            self._feed(name, beat=True)
        self._count()

    def _installed(self, name: str, peer: Peer, answer: Installed) -> None:
        """A peer's word on a snapshot. If it was asked after the last piece went out, and doesn't have it,
        that piece is lost; or all of them, where it was started again."""
        if peer.offset is None or answer.index != self.snapshot.index:  # it speaks of an older one
            return
        if answer.offset >= len(self.snapshot.data):
            peer.offset = None
            peer.match, peer.next = max(peer.match, answer.index), answer.index + 1
            self._feed(name)
        elif answer.offset > peer.offset or answer.round > peer.piece_round:
            self._feed_snapshot(name, peer, answer.offset)

    def _count(self) -> None:
        """What do majorities have, and which rounds have they answered?"""
        voters = self.members.voters
        if self.role is not Role.LEADER or not voters:
            return
        mine = self.me in voters
        peers = [self.peers[name] for name in voters if name != self.me]
        most = len(voters) // 2  # the place, counted from the highest, of what a majority has
        matches = sorted([p.match for p in peers] + [self.stable] * mine, reverse=True)
        if matches[most] > self.commit and self.term_at(matches[most]) == self.term:
            self.commit = matches[most]
            if self.members_at <= self.commit and not mine:  # also as a learner: nobody would promote it
                self._tell_commit()
                self._become_follower(self.term)
                return
        self.confirmed = max(
            self.confirmed, sorted([p.round for p in peers] + [self.round] * mine, reverse=True)[most]
        )

    def _tell_commit(self) -> None:
        """A leader that is no voter any more says what was agreed before it goes (T 4.2.2)."""
        for name, peer in self.peers.items():
            if peer.next > self.before[0] and peer.offset is None:
                self._send_empty(name, peer)

    def _hand_over(self) -> None:
        if self.heir in self.peers and self.peers[self.heir].match == self.last:
            self._send.append((self.heir, TakeOver(self.term)))

    # ---- following

    def _follows(self, sender: str, term: int, round: int) -> bool:
        """Whether the sender leads this member; else it is told the term that it lacks."""
        if term < self.term:
            self._after.append((sender, Appended(self.term, False, self.last, round)))
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._become_follower(term, sender)
        self.leader, self.heard = sender, self.now
        self._set_alarm()
        return True

    def _append(self, sender: str, told: Append) -> None:
        previous, entries = told.previous_index, told.entries
        if previous < self.before[0]:  # agreed long ago, and so the same here
            entries = tuple(e for e in entries if e.index > self.before[0])
            previous = self.before[0]
        elif previous > self.last or self.term_at(previous) != told.previous_term:
            at = min(previous - 1, self.last)
            if previous <= self.last:  # the whole of the term that differs (fig. 2, section 5.3)
                term = self.term_at(previous)
                while at > self.commit and self.term_at(at) == term:
                    at -= 1
            self._after.append((sender, Appended(self.term, False, max(at, self.commit), told.round)))
            return
        for entry in entries:
            if entry.index <= self.last:
                if self.term_at(entry.index) == entry.term:
                    continue
                if entry.index <= self.commit:
                    raise AssertionError(f"{self.me}: entry {entry.index} is agreed and would be cut")
                self._cut_from(entry.index)
            self._add(entry)
        agrees = max(previous + len(entries), told.previous_index)
        agrees = min(agrees, self.last)
        self.commit = max(self.commit, min(told.commit, agrees))
        # A heartbeat is answered at once with what is on disk, so that a slow disk is no silence. The term
        # itself need not be: an entry of this term that is on disk was written together with it.
        if agrees <= self.stable or not told.entries:
            self._send.append((sender, Appended(self.term, True, min(agrees, self.stable), told.round)))
        if agrees > self.stable:
            self._after.append((sender, Appended(self.term, True, agrees, told.round)))

    def _install(self, sender: str, told: Install) -> None:
        if told.index <= self.commit:  # it has all of that
            self._after.append((sender, Appended(self.term, True, self.commit, told.round)))
            return
        key = told.index, told.last_term
        if self._partial is None or self._partial[:2] != key:
            self._partial = (*key, bytearray())
        data = self._partial[2]
        if told.offset == len(data):
            data += told.piece
        if len(data) < told.size:
            self._after.append((sender, Installed(self.term, told.index, len(data), told.round)))
            return
        self._partial = None
        snapshot = Snapshot(told.index, told.last_term, told.members, bytes(data))
        if self.before[0] < told.index <= self.last and self.term_at(told.index) == told.last_term:
            self.log = self._from(told.index + 1)  # what follows it stays (fig. 13, step 6)
            self._new = [e for e in self._new if e.index > told.index]
        else:
            self._cut = self.before[0] + 1
            self.stable = 0  # until the snapshot is on disk, nothing there is of this log
            for pending in self._pending:
                pending[1] = 0
            self.log, self._new = [], []
        self.before = told.index, told.last_term
        self.snapshot = self._new_snapshot = self._restore = snapshot
        self.commit = self.told = told.index
        self._dirty = True
        self._find_members()
        self._after.append((sender, Installed(self.term, told.index, told.size, told.round)))

    # ---- itself

    def _deliver(self, to: str, message: Message) -> None:
        if to == self.me:
            self.hear(self.now, to, message)
        else:
            self._send.append((to, message))


def members_from(data: bytes) -> Members:
    return msgspec.msgpack.decode(data, type=Members)
