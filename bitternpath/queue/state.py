"""The replicated state of a queue shard: a deterministic function of the commands of its log.

Every replica applies the committed commands in order. What a command does depends on earlier commands only;
the local clocks given to `QueueState` set the times that the owner's timers use (see `entries`).

A message's state, and the commands that change it:

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

A message has at most one current lease. `GrantLease` sets it, also in place of another one, while the message
is QUEUED and the first unended one of its order key; the message's end and `EndAttempt` clear it. All other
commands leave a state as it is.
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
    """Messages of one shard: an entry for each that is known, a tombstone for each that has ended.

    Only `apply`, `apply_command` and `restore` change it; readers must not change the entries they get.
    """

    def __init__(self, clock: Callable[[], float], wall_ms: Callable[[], int]) -> None:
        """Begin without messages.

        `clock` is steady, in seconds; `wall_ms` is the time of day in milliseconds since 1970.
        """
        self._clock = clock
        self._wall_ms = wall_ms
        self._entries: dict[str, Entry] = {}
        self._order = OrderQueues()
        self.applied_index = 0  # of the last applied command
        self.queued = 0  # messages that have not ended
        self.body_bytes = 0  # of all messages whose body is kept

    def __len__(self) -> int:
        """Return the number of entries, tombstones included."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all entries, tombstones included, in log order."""
        return iter(self._entries.values())

    def find(self, request_id: str) -> Entry | None:
        """Return a message or its tombstone; None where it is unknown."""
        return self._entries.get(request_id)

    def restart_delay(self, entry: Entry) -> None:
        """Count the complete delay of a message from now.

        For a message that this replica's owner has accepted a moment ago: no clock of another machine or of
        the time of day takes part in its delay here.
        """
        entry.restart_delay(self._clock())

    def is_head(self, entry: Entry) -> bool:
        """Whether no earlier unended message has its order key."""
        key = entry.message.order_key
        return not key or self._order.head(key) == entry.message.request_id

    def order_head(self, order_key: str) -> Entry | None:
        """Return the earliest unended message of an order key; None where there is none."""
        head = self._order.head(order_key)
        return None if head is None else self._entries[head]

    def apply(self, index: int, command: bytes) -> Result:
        """Apply the encoded command at `index` of the log.

        Raises:
            CodecError: the bytes are not a command; nothing has changed. The log is damaged, or was written
                by a newer version; a retry doesn't help.

        """
        result = self.apply_command(index, COMMANDS.decode(command))
        self.applied_index = index
        return result

    def apply_command(self, index: int, command: Command) -> Result:
        """Apply a decoded command."""
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
        """Return the encoded state, which `restore` of any replica takes."""
        return encode_snapshot(self.applied_index, self._entries.values(), self._clock(), self._wall_ms())

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises:
            CodecError: the snapshot is damaged; nothing has changed. Another copy of it may be good.

        """
        restored = decode_snapshot(data, self._clock(), self._wall_ms())
        self._entries = {entry.message.request_id: entry for entry in restored.entries}
        self._order = OrderQueues()
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
            self._order.append(entry.message.order_key, entry.message.request_id)

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
        """Return the state that the end of its lease gives a message; counts a failed attempt."""
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
            self._order.remove(entry.message.order_key, entry.message.request_id)

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
