"""The replicated state of a queue shard: a deterministic function of the commands in its log.

Every replica applies the committed commands in order. The effect of a command depends only on the commands
before it; the local clocks passed to `QueueState` only set the times that the owner's timers use (see
`entries`).

The states of a message and the commands that change them:

    ===========  ================================================================  ===========
    from         command                                                           to
    ===========  ================================================================  ===========
    (unknown)    `AppendMessage`                                                   QUEUED
    QUEUED       `EndAttempt` of the current lease: SUCCEEDED                      DONE
    QUEUED       `EndAttempt` of the current lease: REJECTED, ROUTE_GONE, or the   DEAD_LETTER
                 last FAILED of `max_attempts`
    QUEUED       `EndAttempt` of the current lease: other FAILED, NOT_RUN,         QUEUED
                 UNKNOWN
    QUEUED       `ExpireMessage` that names the current lease, or "" for none      DEAD_LETTER
    DONE,        `RemoveTombstones`                                                (unknown)
    DEAD_LETTER
    ===========  ================================================================  ===========

A message has at most one current lease. `GrantLease` sets or replaces it while the message is QUEUED and is
the first message of its order key that has not ended; `EndAttempt` and the end of the message clear it. In
all other cases a command does not change the message.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from bitternpath.queue.commands import (
    COMMANDS,
    AppendMessage,
    Command,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    GrantLease,
    RemoveTombstones,
)
from bitternpath.queue.entries import Entry, Lease, new_entry
from bitternpath.queue.order_queues import OrderQueues
from bitternpath.queue.results import (
    AttemptEnded,
    CallbacksConfirmed,
    LeaseGranted,
    MessageAppended,
    MessageExpired,
    Result,
    TombstonesRemoved,
)
from bitternpath.queue.snapshot import decode_snapshot, encode_snapshot
from bitternpath.transport.records import AttemptOutcome, MessageState


class QueueState:
    """Entries of one shard: one for each queued message, and a tombstone for each ended message.

    Only `apply`, `apply_command`, `restore` and `restart_delay` change it; callers must not modify the
    entries that other methods return.
    """

    def __init__(self, clock: Callable[[], float], wall_ms: Callable[[], int]) -> None:
        """Create an empty state.

        `clock` returns the steady time in seconds; `wall_ms` returns the time of day in milliseconds since
        1970.
        """
        self._clock = clock
        self._wall_ms = wall_ms
        self._entries: dict[str, Entry] = {}
        self._order_queues = OrderQueues()
        self.applied_index = 0  # log index of the last applied command
        self.queued = 0  # number of messages that have not ended
        self.body_bytes = 0  # total size of the stored bodies

    def __len__(self) -> int:
        """Return the number of entries, including tombstones."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all entries, including tombstones, in log order."""
        return iter(self._entries.values())

    def find(self, request_id: str) -> Entry | None:
        """Return a message or its tombstone, or None if the request id is unknown."""
        return self._entries.get(request_id)

    def restart_delay(self, entry: Entry) -> None:
        """Restart the full delay of a message from now.

        The owner calls this for a message that it has just accepted, so that its delay depends neither on
        another machine's clock nor on the time of day.
        """
        entry.restart_delay(self._clock())

    def is_head(self, entry: Entry) -> bool:
        """Whether no earlier message with the same order key is still queued."""
        key = entry.message.order_key
        return not key or self._order_queues.head(key) == entry.message.request_id

    def order_head(self, order_key: str) -> Entry | None:
        """Return the earliest queued message of an order key, or None."""
        head = self._order_queues.head(order_key)
        return None if head is None else self._entries[head]

    def apply(self, index: int, command: bytes) -> Result:
        """Apply the encoded command at `index` of the log.

        Raises:
            CodecError: the bytes are not a command; the state is unchanged. The log is damaged or was
                written by a newer version, so a retry does not help.

        """
        result = self.apply_command(index, COMMANDS.decode(command))
        self.applied_index = index
        return result

    def apply_command(self, index: int, command: Command) -> Result:
        """Apply a decoded command; `applied_index` does not change."""
        match command:
            case AppendMessage():
                return self._append(index, command)
            case GrantLease():
                return self._grant(command)
            case EndAttempt():
                return self._end_attempt(command)
            case ExpireMessage():
                return self._expire(command)
            case ConfirmCallbacks():
                return self._confirm_callbacks(command)
            case RemoveTombstones():
                return self._remove_tombstones(command)

    def snapshot(self) -> bytes:
        """Return the encoded state; `restore` on any replica accepts it."""
        return encode_snapshot(self.applied_index, self._entries.values(), self._clock(), self._wall_ms())

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises:
            CodecError: the snapshot is damaged; the state is unchanged. Another replica's copy may be intact.

        """
        restored = decode_snapshot(data, self._clock(), self._wall_ms())
        self._entries = {entry.message.request_id: entry for entry in restored.entries}
        self._order_queues = OrderQueues()
        self.applied_index = restored.index
        self.queued = 0
        self.body_bytes = 0
        for entry in restored.entries:
            self.body_bytes += len(entry.message.body)
            if not entry.ended:
                self.queued += 1
                self._enqueue(entry)

    def _enqueue(self, entry: Entry) -> None:
        if entry.message.order_key:
            self._order_queues.append(entry.message.order_key, entry.message.request_id)

    def _append(self, index: int, command: AppendMessage) -> MessageAppended:
        message = command.message
        existing = self._entries.get(message.request_id)
        if existing is not None:
            return MessageAppended(command, is_new=False, state=existing.state)
        entry = new_entry(message, index, self._clock(), self._wall_ms())
        self._entries[message.request_id] = entry
        self.queued += 1
        self.body_bytes += len(message.body)
        self._enqueue(entry)
        return MessageAppended(command, is_new=True, state=entry.state)

    def _grant(self, command: GrantLease) -> LeaseGranted:
        entry = self._entries.get(command.request_id)
        if entry is None or entry.ended or not self.is_head(entry):
            return LeaseGranted(command, granted=False)
        entry.lease = Lease(command.lease_id, command.holder, command.duration_ms, command.pulled)
        entry.leases_granted += 1
        return LeaseGranted(command, granted=True)

    def _end_attempt(self, command: EndAttempt) -> AttemptEnded:
        entry = self._entries.get(command.request_id)
        if entry is None:
            return AttemptEnded(command)
        recorded_outcome = entry.ended_leases.get(command.lease_id)
        if recorded_outcome is not None:
            return AttemptEnded(command, accepted=recorded_outcome is command.outcome)
        if entry.lease is None or entry.lease.lease_id != command.lease_id:
            return AttemptEnded(command)
        entry.lease = None
        entry.record_end(command.lease_id, command.outcome)
        state = self._state_after(entry, command)
        if state is not MessageState.QUEUED:
            self._end(entry, state, command.stamp if state is MessageState.DONE else "")
        return AttemptEnded(command, accepted=True, effective=True, ended_message=entry.ended)

    def _state_after(self, entry: Entry, command: EndAttempt) -> MessageState:
        """Return the state of a message after an attempt has ended, and count the attempt if it failed."""
        match command.outcome:
            case AttemptOutcome.SUCCEEDED:
                return MessageState.DONE
            case AttemptOutcome.FAILED:
                entry.attempts += 1
                exhausted = entry.attempts >= command.max_attempts
                return MessageState.DEAD_LETTER if exhausted else MessageState.QUEUED
            case AttemptOutcome.REJECTED | AttemptOutcome.ROUTE_GONE:
                return MessageState.DEAD_LETTER
            case AttemptOutcome.NOT_RUN | AttemptOutcome.UNKNOWN:
                return MessageState.QUEUED

    def _expire(self, command: ExpireMessage) -> MessageExpired:
        entry = self._entries.get(command.request_id)
        if entry is None or entry.ended:
            return MessageExpired(command, ended_message=False)
        current = "" if entry.lease is None else entry.lease.lease_id
        if current != command.lease_id:
            return MessageExpired(command, ended_message=False)
        self._end(entry, MessageState.DEAD_LETTER, "")
        return MessageExpired(command, ended_message=True)

    def _end(self, entry: Entry, state: MessageState, stamp: str) -> None:
        self.body_bytes -= len(entry.message.body)
        entry.end(state, stamp, self._clock())
        self.body_bytes += len(entry.message.body)
        self.queued -= 1
        if entry.message.order_key:
            self._order_queues.remove(entry.message.order_key, entry.message.request_id)

    def _confirm_callbacks(self, command: ConfirmCallbacks) -> CallbacksConfirmed:
        count = 0
        for request_id in command.request_ids:
            entry = self._entries.get(request_id)
            if entry is not None and entry.callback_pending:
                entry.callback_pending = False
                count += 1
        return CallbacksConfirmed(command, count)

    def _remove_tombstones(self, command: RemoveTombstones) -> TombstonesRemoved:
        count = 0
        for request_id in command.request_ids:
            entry = self._entries.get(request_id)
            if entry is None or not entry.ended:
                continue
            del self._entries[request_id]
            self.body_bytes -= len(entry.message.body)
            count += 1
        return TombstonesRemoved(command, count)
