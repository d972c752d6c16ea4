"""Transfer of snapshots, in pieces (T 5.3): the leader's side and the follower's.

A peer is sent one piece at a time; its answer names the next one, so that a transfer goes on where it was
after a lost piece or a lost link. A leader sends the snapshot that it began with to its end, and keeps the
entries behind it for as long (`Leadership.needed_index`). Pieces wait for a share of the bandwidth.
"""

from __future__ import annotations

import zlib
from abc import abstractmethod

from bitternpath.replication.member import MemberState, PartialSnapshot
from bitternpath.replication.messages import AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from bitternpath.replication.progress import Progress, Transfer
from bitternpath.replication.records import Snapshot

CHUNK_BYTES = 128 << 10  # of a snapshot in one message


class SnapshotTransfer(MemberState):
    """A member as sender and as receiver of snapshots."""

    @abstractmethod
    def _send_entries(self, name: str, heartbeat: bool = False) -> None:
        """Send a peer what it lacks; a heartbeat is sent even where that is nothing."""

    # ---- leader

    def _needs_snapshot(self, peer: Progress) -> bool:
        """Whether the entries that a peer lacks are gone, or a snapshot is on its way to it."""
        return peer.transfer is not None or not self.log.has_entry_after(peer.next_index - 1)

    def _continue_transfer(self, name: str, peer: Progress, heartbeat: bool) -> None:
        if peer.transfer is None:
            peer.transfer = Transfer(self.snapshot)
            self._schedule_piece(name, peer.transfer, 0)
        elif heartbeat:
            self._send_install(name, peer.transfer, b"")

    def _schedule_piece(self, name: str, transfer: Transfer, offset: int) -> None:
        """Send the piece at that offset as soon as there is bandwidth."""
        transfer.offset = offset
        size = min(CHUNK_BYTES, len(transfer.snapshot.data) - offset)
        due = self._budget.reserve(self.now, size)
        if due > self.now:
            transfer.due = due
            self._piece_at = min(self._piece_at, due)
        else:
            self._send_piece(name, transfer)

    def _send_due_pieces(self) -> None:
        self._piece_at = float("inf")
        for name, peer in self.peers.items():
            transfer = peer.transfer
            if transfer is None or transfer.due is None:
                continue
            if transfer.due <= self.now:
                self._send_piece(name, transfer)
            else:
                self._piece_at = min(self._piece_at, transfer.due)

    def _send_piece(self, name: str, transfer: Transfer) -> None:
        transfer.due, transfer.piece_round = None, self.heartbeat_round
        self._send_install(
            name, transfer, transfer.snapshot.data[transfer.offset : transfer.offset + CHUNK_BYTES]
        )

    def _send_install(self, name: str, transfer: Transfer, chunk: bytes) -> None:
        """An empty piece is a heartbeat to a peer that is being sent a snapshot."""
        snapshot = transfer.snapshot
        install = InstallSnapshot(
            self.term, snapshot.index, snapshot.term, snapshot.members, len(snapshot.data),
            transfer.offset, chunk, zlib.crc32(chunk), self.heartbeat_round,
        )  # fmt: skip
        self._send.append((name, install))

    def _take_installed(self, name: str, peer: Progress, answer: InstallSnapshotResponse) -> None:
        """A peer's word on a snapshot. If it was asked after the last piece went out, and doesn't have it,
        that piece is lost; or all of them, where it was started again."""
        transfer = peer.transfer
        if transfer is None or answer.index != transfer.snapshot.index:  # it speaks of an older one
            return
        if answer.stored:
            peer.transfer = None
            peer.match_index = max(peer.match_index, answer.index)
            peer.next_index = answer.index + 1
            self._send_entries(name)
        elif answer.offset >= len(transfer.snapshot.data) > 0:  # it is writing
            return
        elif transfer.due is None and (
            answer.offset > transfer.offset or answer.heartbeat_round > transfer.piece_round
        ):
            self._schedule_piece(name, transfer, answer.offset)

    # ---- follower

    def _take_piece(self, sender: str, install: InstallSnapshot) -> None:
        """InstallSnapshot of the paper's fig. 13. What isn't on disk yet is answered at once, since it
        promises nothing: a slow disk is no silence."""
        if install.index <= self.commit_index:
            self._answer_known(sender, install)
            return
        partial = self._partial
        if partial is None or (partial.index, partial.term) != (install.index, install.last_term):
            partial = self._partial = PartialSnapshot(install.index, install.last_term)
        if install.offset == len(partial.data) and install.checksum == zlib.crc32(install.chunk):
            partial.data += install.chunk
        if len(partial.data) < install.size:
            self._answer_piece(sender, install, len(partial.data))
            return
        self._partial = None
        self._install(Snapshot(install.index, install.last_term, install.members, bytes(partial.data)))
        stored = InstallSnapshotResponse(
            self.term, install.index, install.size, True, install.heartbeat_round
        )
        self._after_writes.append((sender, stored))

    def _answer_known(self, sender: str, install: InstallSnapshot) -> None:
        """All of that snapshot is here already, or on its way to the disk."""
        if self.log.stable_index >= self.commit_index:
            answer = AppendEntriesResponse(self.term, True, self.commit_index, install.heartbeat_round)
            self._after_writes.append((sender, answer))
        else:
            self._answer_piece(sender, install, install.size)

    def _answer_piece(self, sender: str, install: InstallSnapshot, offset: int) -> None:
        self._send.append(
            (
                sender,
                InstallSnapshotResponse(self.term, install.index, offset, False, install.heartbeat_round),
            )
        )

    def _install(self, snapshot: Snapshot) -> None:
        self.log.install(snapshot)
        self._restore = snapshot
        self.commit_index = self.last_applied = snapshot.index
