"""A message as a shard stores it, and how its times survive a restart.

Times of an entry are on the local steady clock, in seconds; they serve timers only and differ between
replicas. Everything else is the same on each replica that has applied the same commands.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from sys import intern

from msgspec.structs import replace

from bitternpath.transport.records import AttemptOutcome, Header, Message, MessageState

# A time-of-day clock may step, and clocks of two machines differ; elapsed wall time counts only beyond this,
# and for delays alone. Ages (retention, tombstones) count only what the steady clock has measured: a dead
# letter or a removed tombstone too early breaks a rule, one too late costs memory.
DELAY_CLOCK_MARGIN_S = 2.0  # a delay is then never cut short by a step up to 2 s; it lasts 2 s longer at most

MAX_ENDED_LEASES = 64  # remembered ends of one message; the oldest is dropped first


@dataclass(slots=True)
class Lease:
    """The current lease of a message, as in `commands.GrantLease`."""

    lease_id: str
    holder: str
    duration_ms: int
    pulled: bool


@dataclass(slots=True)
class Entry:
    """One known message. A tombstone is an entry whose `state` isn't QUEUED."""

    message: Message
    index: int  # of the log entry that accepted it
    accepted_at: float  # local steady time of the accept; moved back by what had passed before a restart
    due_at: float  # local steady time at which its delay is over
    state: MessageState = MessageState.QUEUED
    stamp: str = ""  # of the worker that ran it, once it is done
    attempts: int = 0  # failed ones
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
        """Turn it into a tombstone; a dead letter keeps its body, which clients may still read."""
        self.state = state
        self.stamp = stamp
        self.lease = None
        self.ended_at = now
        self.callback_pending = bool(self.message.callback_url)
        if state is MessageState.DONE:
            self.message = replace(self.message, body=b"", headers=())

    def restart_delay(self, now: float) -> None:
        """Count its complete delay from now, the moment at which its owner accepts it."""
        self.due_at = now + max(0.0, self.message.delay_ms / 1000)

    def record_end(self, lease_id: str, outcome: AttemptOutcome) -> None:
        """Keep the outcome of a lease, so that a repeated report gets the same answer."""
        self.ended_leases[lease_id] = outcome
        if len(self.ended_leases) > MAX_ENDED_LEASES:
            del self.ended_leases[next(iter(self.ended_leases))]


def elapsed_beyond(margin_s: float, since_wall_ms: int, wall_ms: int) -> float:
    """Return the seconds of wall time that have surely passed, where clocks may differ by `margin_s`."""
    return max(0.0, (wall_ms - since_wall_ms) / 1000 - margin_s)


def compact(message: Message) -> Message:
    """Return the same message with interned texts: many messages have them in common."""
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
    """Return the entry of a message that is being appended, now or in a replay of the log after a restart.

    Its retention counts from now. Its delay counts from now, less the wall time since the accept beyond
    `DELAY_CLOCK_MARGIN_S` (none when the append is recent); so it ends at most one delay from now. The owner
    that accepts it counts the complete delay (`Entry.restart_delay`).
    """
    delay = max(0.0, message.delay_ms / 1000)
    elapsed_s = elapsed_beyond(DELAY_CLOCK_MARGIN_S, message.accepted_wall_ms, wall_ms)
    return Entry(compact(message), index, accepted_at=now, due_at=now + max(0.0, delay - elapsed_s))


def provisional_entry(message: Message, now: float) -> Entry:
    """Return a stand-in for the entry of a message whose append is proposed but not applied yet."""
    return Entry(message, 0, accepted_at=now, due_at=now)
