"""Entries of the replicated state, and how their times survive a restart.

The times of an entry are in seconds on the local steady clock; they are used only for timers and differ
between replicas. All other fields are identical on replicas that have applied the same commands.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from sys import intern

from msgspec.structs import replace

from bitternpath.transport.records import AttemptOutcome, Header, Message, MessageState

# Time-of-day clocks may step and differ between machines. Elapsed wall time is therefore used only for
# delays, and only as far as it exceeds this margin: a clock step of up to 2 s never shortens a delay, which
# ends at most 2 s late. Ages (retention, tombstones) count only time measured by the steady clock: ending a
# message or removing a tombstone too early breaks a rule, doing it too late only costs memory.
DELAY_CLOCK_MARGIN_S = 2.0

MAX_ENDED_LEASES = 64  # recorded outcomes per message; the oldest is dropped first


@dataclass(slots=True)
class Lease:
    """The current lease of a message, as in `commands.GrantLease`."""

    lease_id: str
    holder: str
    duration_ms: int
    pulled: bool


@dataclass(slots=True)
class Entry:
    """One message, or the tombstone of an ended message, whose `state` is not QUEUED."""

    message: Message
    index: int  # log index of the command that accepted it
    accepted_at: float  # local steady time of the accept; after a restart, minus the age at the snapshot
    due_at: float  # local steady time at which its delay ends
    state: MessageState = MessageState.QUEUED
    stamp: str = ""  # stamp of the worker that ran it, if it is done
    attempts: int = 0  # number of failed attempts
    leases_granted: int = 0
    lease: Lease | None = None
    ended_leases: dict[str, AttemptOutcome] = field(default_factory=dict)
    callback_pending: bool = False
    ended_at: float = 0.0  # local steady time

    @property
    def ended(self) -> bool:
        """Whether it is done or a dead letter."""
        return self.state is not MessageState.QUEUED

    def end(self, state: MessageState, stamp: str, now: float) -> None:
        """Turn the entry into a tombstone; a dead letter retains its body for clients to read."""
        self.state = state
        self.stamp = stamp
        self.lease = None
        self.ended_at = now
        self.callback_pending = bool(self.message.callback_url)
        if state is MessageState.DONE:
            self.message = replace(self.message, body=b"", headers=())

    def restart_delay(self, now: float) -> None:
        """Restart the full delay at `now`, when the owner accepts the message."""
        self.due_at = now + max(0.0, self.message.delay_ms / 1000)

    def record_end(self, lease_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of a lease, so that a repeated report gets the same response."""
        self.ended_leases[lease_id] = outcome
        if len(self.ended_leases) > MAX_ENDED_LEASES:
            del self.ended_leases[next(iter(self.ended_leases))]


def elapsed_beyond(margin_s: float, since_wall_ms: int, wall_ms: int) -> float:
    """Return the minimum elapsed wall time in seconds, given clocks that may differ by `margin_s`."""
    return max(0.0, (wall_ms - since_wall_ms) / 1000 - margin_s)


def compact(message: Message) -> Message:
    """Return the same message with interned strings, which many messages share."""
    return replace(
        message,
        method=intern(message.method),
        host=intern(message.host),
        headers=tuple([Header(intern(header.name), header.value) for header in message.headers]),
        order_key=intern(message.order_key),
        route=intern(message.route),
        callback_url=intern(message.callback_url),
        origin=intern(message.origin),
    )


def new_entry(message: Message, index: int, now: float, wall_ms: int) -> Entry:
    """Return the entry of a message that is appended now or replayed from the log after a restart.

    Its retention starts now. Its delay starts now too, but is shortened by the wall time since the accept as
    far as that exceeds `DELAY_CLOCK_MARGIN_S`, which a recent append does not; it ends at most one full delay
    from now. The owner that accepts the message restarts the full delay (`Entry.restart_delay`).
    """
    delay = max(0.0, message.delay_ms / 1000)
    elapsed_s = elapsed_beyond(DELAY_CLOCK_MARGIN_S, message.accepted_wall_ms, wall_ms)
    return Entry(compact(message), index, accepted_at=now, due_at=now + max(0.0, delay - elapsed_s))


def provisional_entry(message: Message, now: float) -> Entry:
    """Return a temporary entry for a message whose append is proposed but not yet applied."""
    return Entry(message, 0, accepted_at=now, due_at=now)
