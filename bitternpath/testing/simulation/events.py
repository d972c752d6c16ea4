"""The plan of a run: a layout, and a list of events. It says all that isn't drawn while the run is played.

Each event has a number of its own and draws what it needs from the run's seed and that number, so that
leaving out one event doesn't change the others. Times are seconds after all nodes have become ready.
"""

from __future__ import annotations

import json
from enum import Enum
from pathlib import Path
from random import Random

import msgspec

from bitternpath.testing.fault_injection.records import Kind


class FaultKind(Enum):
    """Kinds of faults of machines."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"  # starts again with an empty disk
    FREEZE = "freeze"
    PARTITION = "cut"  # from all other nodes, both ways
    PARTITION_INBOUND = "cut_in"  # nothing reaches it
    PARTITION_OUTBOUND = "cut_out"  # nothing of it reaches others
    PARTITION_WITH_SEEDS = "cut_seeds"  # cut off, and its settings name only itself
    SLOW = "slow"
    STALL = "stall"  # its disk
    RESET = "reset"  # all its connections to other nodes
    REPLACE = "replace"
    ADD = "add"
    TERM = "term"
    ALL_KILLED = "all_killed"
    ALL_POWER = "all_power"
    HALVES = "halves"  # `nodes` are cut off from the other machines that count
    HERD_KILLED = "herd_killed"  # the processes of `nodes` at the same moment
    POWER_CHAIN = "power_chain"  # `nodes` lose power one after the other, more than may be lost at one time
    CLOCK_STEP = "clock_step"  # of the time of day
    LOSSY = "lossy"  # its links lose packets


class Fault(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="fault"):
    """A fault of machines; `nodes` are their names at the beginning of the run, which successors keep."""

    number: int
    at: float
    kind: FaultKind
    nodes: tuple[str, ...] = ()
    lasts: float = 0.0
    wiped: tuple[str, ...] = ()  # of those that lose power together: these lose their disks too
    gap_s: float = 0.0  # POWER_CHAIN: between one machine and the next
    step_ms: int = 0  # CLOCK_STEP


class OrderStyle(Enum):
    """The way in which a change is sent."""

    PUT = "put"
    PATCH = "patch"
    INVALID = "invalid"


class Order(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="order"):
    """A change of the configuration, on top of the newest version that operators know of."""

    number: int
    at: float
    style: OrderStyle = OrderStyle.PUT
    step: int = 1  # of the version
    lost_answers: int = 0  # so many first answers never reach the operator
    again: bool = False  # sent once more after its acknowledgement
    twice: bool = False  # another operator sends the very same at once
    rivals: int = 0  # so many others send different changes under the same number at once


class Retire(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="retire"):
    """A storage machine is emptied, and removed as soon as that is said to be done."""

    number: int
    at: float
    node: str


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="message"):
    """A client's message. `ask_after`: its state is read so many seconds later; 0: it isn't read."""

    number: int
    at: float
    kind: Kind
    key: str = ""
    delay_s: float = 0.0
    zone: str = ""
    size: int = 200
    ask_after: float = 0.0


class Probe(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="probe"):
    """A message sent directly to one node, on a route that may have come or gone, or never was."""

    number: int
    at: float


class ReadConfiguration(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="look"):
    """An operator reads the configuration from one node."""

    number: int
    at: float


class WorkerFaultKind(Enum):
    """How a faulty worker behaves."""

    FAILING = "failing"  # 500
    REFUSING = "refusing"  # 503 with `X-Not-Executed`
    NO_ANSWER = "silent"  # runs, never answers
    DROPPING = "dropping"  # runs, closes without an answer
    JUNK = "junk"  # answers bytes that are no answer
    OTHER_ID = "other_id"  # answers a success that names another message
    SHORT = "short"  # a success that ends before its length
    NO_STAMP = "no_stamp"  # a 2xx without a stamp


class WorkerFault(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="worker"):
    """A worker that is called is faulty for `lasts` seconds. `worker`: its index; -1 is the endpoint."""

    number: int
    at: float
    worker: int
    fault: WorkerFaultKind = msgspec.field(name="mood")  # "mood": the key in saved plans
    lasts: float


class WorkerDeparture(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="worker_leaves"):
    """A listed worker is shown as draining and ends; a new incarnation takes its place."""

    number: int
    at: float
    worker: int


Event = Fault | Order | Retire | Message | Probe | ReadConfiguration | WorkerFault | WorkerDeparture


class Layout(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The machines at the beginning of a run."""

    core_edges: int = 3
    other_edges: int = 1
    storages: int = 3
    tolerated: int = 1  # machines that may be lost at one time
    small_logs: bool = False  # shortened every few entries; the usual sizes are never reached in a short run
    processor_share: float = 1.0  # of each tenth of a second that a process may run, at full speed


class RunPlan(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One run. `checker`: the one that a shrunk plan is known to fail."""

    seed: int
    scenario: str
    seconds: float  # of traffic and faults
    layout: Layout = Layout()
    events: tuple[Event, ...] = ()
    checker: str = ""

    def random(self, event: Event) -> Random:
        """The generator of one event."""
        return Random(f"{self.seed}/{event.number}")


def save_plan(plan: RunPlan, path: Path) -> None:
    """Write a plan as JSON, one event a line."""
    events = ",\n  ".join(msgspec.json.encode(event).decode() for event in plan.events)
    head = msgspec.to_builtins(msgspec.structs.replace(plan, events=()))
    path.write_text(f'{json.dumps(head)[:-1]}, "events": [\n  {events}\n]}}\n')


def load_plan(path: Path) -> RunPlan:
    """Read a plan; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(path.read_bytes(), type=RunPlan)
