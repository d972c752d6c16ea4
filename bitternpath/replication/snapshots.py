"""Transfer of snapshots, in pieces (T 5.3): the leader's side and the follower's."""

from __future__ import annotations

from abc import abstractmethod

from bitternpath.replication.member import MemberState, PartialSnapshot
from bitternpath.replication.messages import Appended, Install, Installed
from bitternpath.replication.progress import Progress
from bitternpath.replication.records import Snapshot

PIECE_BYTES = 128 << 10  # of a snapshot in one message


class SnapshotTransfer(MemberState):
    """A member as sender and as receiver of snapshots."""

    @abstractmethod
    def _send_entries(self, name: str, heartbeat: bool = False) -> None:
        """Send a peer what it lacks; a heartbeat is sent even where that is nothing."""

    # ---- leader

    def _needs_snapshot(self, peer: Progress) -> bool:
        """Whether the entries that a peer lacks are gone, or a snapshot is on its way to it."""
        return peer.offset is not None or not self.log.has_entry_after(peer.next_index - 1)

    def _continue_transfer(self, name: str, peer: Progress, heartbeat: bool) -> None:
        if peer.offset is None:
            self._send_piece(name, peer, 0)
        elif heartbeat:
            self._send_install(name, peer.offset, b"")

    def _send_piece(self, name: str, peer: Progress, offset: int) -> None:
        peer.offset, peer.piece_round = offset, self.round
        self._send_install(name, offset, self.snapshot.data[offset : offset + PIECE_BYTES])

    def _send_install(self, name: str, offset: int, piece: bytes) -> None:
        """An empty piece is a heartbeat to a peer that is being sent a snapshot."""
        snapshot, size = self.snapshot, len(self.snapshot.data)
        install = Install(
            self.term, snapshot.index, snapshot.term, snapshot.members, size, offset, piece, self.round
        )
        self._send.append((name, install))

    def _take_installed(self, name: str, peer: Progress, answer: Installed) -> None:
        """A peer's word on a snapshot. If it was asked after the last piece went out, and doesn't have it,
        that piece is lost; or all of them, where it was started again."""
        if peer.offset is None or answer.index != self.snapshot.index:  # it speaks of an older one
            return
        if answer.offset >= len(self.snapshot.data):
            peer.offset = None
            peer.match_index = max(peer.match_index, answer.index)
            peer.next_index = answer.index + 1
            self._send_entries(name)
        elif answer.offset > peer.offset or answer.round > peer.piece_round:
            self._send_piece(name, peer, answer.offset)

    # ---- follower

    def _take_piece(self, sender: str, install: Install) -> None:
        """InstallSnapshot of the paper's fig. 13."""
        if install.index <= self.commit_index:  # it has all of that
            self._after_writes.append((sender, Appended(self.term, True, self.commit_index, install.round)))
            return
        partial = self._partial
        if partial is None or (partial.index, partial.term) != (install.index, install.last_term):
            partial = self._partial = PartialSnapshot(install.index, install.last_term)
        if install.offset == len(partial.data):
            partial.data += install.piece
        if len(partial.data) >= install.size:
            self._partial = None
            self._install(Snapshot(install.index, install.last_term, install.members, bytes(partial.data)))
        answer = Installed(self.term, install.index, len(partial.data), install.round)
        self._after_writes.append((sender, answer))

    def _install(self, snapshot: Snapshot) -> None:
        self.log.install(snapshot)
        self._restore = snapshot
        self.commit_index = self.last_applied = snapshot.index
