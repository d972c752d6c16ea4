"""Installation of snapshots in chunks (T 5.3), on the leader and on the follower.

The leader sends one chunk at a time, and the follower's response contains the offset of the next one, so that
sending resumes at the right offset after a lost chunk or connection. A leader completes the snapshot that it
started to send, and retains the entries after it in the meantime (`Leadership.needed_index`). Chunks are
subject to the rate limit.
"""

from __future__ import annotations

import zlib
from abc import abstractmethod

from bitternpath.replication.member import NEVER, MemberState, PartialSnapshot
from bitternpath.replication.messages import AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse
from bitternpath.replication.progress import OutgoingSnapshot, Progress
from bitternpath.replication.records import Snapshot

CHUNK_BYTES = 128 << 10  # maximum size of a chunk


class SnapshotInstallation(MemberState):
    """The behaviour of a member as sender and receiver of snapshots."""

    @abstractmethod
    def _send_entries(self, name: str, *, heartbeat: bool = False) -> None:
        """Send a peer the entries that it lacks. A heartbeat is sent even without entries."""

    # ---- leader

    def _needs_snapshot(self, peer: Progress) -> bool:
        """Whether entries that a peer lacks are compacted, or a snapshot is already being sent to it."""
        return peer.outgoing_snapshot is not None or not self.log.has_entry_after(peer.next_index - 1)

    def _continue_snapshot(self, name: str, peer: Progress, *, heartbeat: bool) -> None:
        if peer.outgoing_snapshot is None:
            peer.outgoing_snapshot = OutgoingSnapshot(self.snapshot)
            self._schedule_chunk(name, peer.outgoing_snapshot, 0)
        elif heartbeat:
            self._send_install_snapshot(name, peer.outgoing_snapshot, b"")

    def _schedule_chunk(self, name: str, outgoing_snapshot: OutgoingSnapshot, offset: int) -> None:
        """Send the chunk at `offset` as soon as the rate limit permits."""
        outgoing_snapshot.offset = offset
        size = min(CHUNK_BYTES, len(outgoing_snapshot.snapshot.data) - offset)
        due = self._snapshot_rate_limiter.reserve(self.now, size)
        if due > self.now:
            outgoing_snapshot.due = due
            self._chunk_at = min(self._chunk_at, due)
        else:
            self._send_chunk(name, outgoing_snapshot)

    def _send_due_chunks(self) -> None:
        self._chunk_at = NEVER
        for name, peer in self.peers.items():
            outgoing_snapshot = peer.outgoing_snapshot
            if outgoing_snapshot is None or outgoing_snapshot.due is None:
                continue
            if outgoing_snapshot.due <= self.now:
                self._send_chunk(name, outgoing_snapshot)
            else:
                self._chunk_at = min(self._chunk_at, outgoing_snapshot.due)

    def _send_chunk(self, name: str, outgoing_snapshot: OutgoingSnapshot) -> None:
        outgoing_snapshot.due = None
        outgoing_snapshot.chunk_round = self.heartbeat_round
        chunk = outgoing_snapshot.snapshot.data[
            outgoing_snapshot.offset : outgoing_snapshot.offset + CHUNK_BYTES
        ]
        self._send_install_snapshot(name, outgoing_snapshot, chunk)

    def _send_install_snapshot(self, name: str, outgoing_snapshot: OutgoingSnapshot, chunk: bytes) -> None:
        """Send a chunk. An empty chunk is a heartbeat."""
        snapshot = outgoing_snapshot.snapshot
        request = InstallSnapshot(
            term=self.term,
            index=snapshot.index,
            last_term=snapshot.term,
            members=snapshot.members,
            size=len(snapshot.data),
            offset=outgoing_snapshot.offset,
            chunk=chunk,
            checksum=zlib.crc32(chunk),
            heartbeat_round=self.heartbeat_round,
        )
        self._messages.append((name, request))

    def _on_install_response(self, name: str, peer: Progress, response: InstallSnapshotResponse) -> None:
        """Handle a peer's progress on a snapshot.

        If the response answers a request sent after the last chunk and doesn't cover this chunk, the chunk
        was lost, or all chunks if the peer's process restarted. Sending then resumes at the peer's offset.
        """
        outgoing_snapshot = peer.outgoing_snapshot
        if (
            outgoing_snapshot is None or response.index != outgoing_snapshot.snapshot.index
        ):  # for an earlier snapshot
            return
        if response.stored:
            peer.outgoing_snapshot = None
            peer.match_index = max(peer.match_index, response.index)
            peer.next_index = response.index + 1
            self._send_entries(name)
            return
        if response.offset >= len(outgoing_snapshot.snapshot.data) > 0:  # received, but not written yet
            return
        chunk_received = response.offset > outgoing_snapshot.offset
        chunk_lost = response.heartbeat_round > outgoing_snapshot.chunk_round
        if outgoing_snapshot.due is None and (chunk_received or chunk_lost):
            self._schedule_chunk(name, outgoing_snapshot, response.offset)

    # ---- follower

    def _on_install_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        """Handle InstallSnapshot (fig. 13 of the paper).

        Chunks are acknowledged before they are on disk, since this doesn't confirm the snapshot. Otherwise a
        follower with a slow disk would appear unresponsive.
        """
        if request.index <= self.commit_index:
            self._acknowledge_known_snapshot(sender, request)
            return
        partial = self._partial_snapshot
        if partial is None or (partial.index, partial.term) != (request.index, request.last_term):
            partial = PartialSnapshot(request.index, request.last_term)
            self._partial_snapshot = partial
        if request.offset == len(partial.data) and request.checksum == zlib.crc32(request.chunk):
            partial.data += request.chunk
        if len(partial.data) < request.size:
            self._acknowledge_chunk(sender, request, len(partial.data))
            return
        self._partial_snapshot = None
        self._install(Snapshot(request.index, request.last_term, request.members, bytes(partial.data)))
        response = InstallSnapshotResponse(
            self.term, request.index, request.size, True, request.heartbeat_round
        )
        self._messages_awaiting_next_write.append((sender, response))

    def _acknowledge_known_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        """Acknowledge a snapshot whose entries are all committed here, even if they aren't on disk yet."""
        if self.log.stable_index >= self.commit_index:
            response = AppendEntriesResponse(self.term, True, self.commit_index, request.heartbeat_round)
            self._messages_awaiting_next_write.append((sender, response))
        else:
            self._acknowledge_chunk(sender, request, request.size)

    def _acknowledge_chunk(self, sender: str, request: InstallSnapshot, offset: int) -> None:
        response = InstallSnapshotResponse(self.term, request.index, offset, False, request.heartbeat_round)
        self._messages.append((sender, response))

    def _install(self, snapshot: Snapshot) -> None:
        self.log.install(snapshot)
        self._snapshot_to_restore = snapshot
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index
