"""The plan of a run: a layout and a list of events, which determine it together with the seed.

Each event has a unique number and draws its random values from the run's seed and that number, so that
removing one event doesn't change the others. Times are seconds after all nodes have become ready. Plans are
saved as JSON: names of fields and values of enums are part of the format.
"""

from __future__ import annotations

import json
from enum import Enum
from pathlib import Path
from random import Random

import msgspec

from bitternpath.testing.fault_injection.records import DeliveryKind


class FaultKind(Enum):
    """Kinds of faults of machines. `nodes` are the affected machines."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"  # loss of power and of the disk's content
    FREEZE = "freeze"
    PARTITION = "cut"  # from all other nodes, in both directions
    PARTITION_INBOUND = "cut_in"  # only packets to the machine are dropped
    PARTITION_OUTBOUND = "cut_out"  # only packets from the machine are dropped
    PARTITION_WITH_SEEDS = "cut_seeds"  # a partition with settings that name the machine itself as only seed
    SLOW = "slow"
    STALL = "stall"  # the disk completes no write
    RESET = "reset"  # resets all connections to other nodes
    REPLACE = "replace"
    ADD = "add"
    TERM = "term"
    ALL_KILLED = "all_killed"
    ALL_POWER = "all_power"
    HALVES = "halves"  # a partition between `nodes` and the other machines that count for the quorum
    HERD_KILLED = "herd_killed"  # kills the processes of `nodes` at the same time
    POWER_CHAIN = "power_chain"  # `nodes` lose power one after the other, more than are tolerated at one time
    CLOCK_STEP = "clock_step"  # a step of the wall clock
    LOSSY = "lossy"  # links lose packets


class Fault(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="fault"):
    """A fault of machines. `nodes` are names of the plan, which a successor inherits from its predecessor."""

    number: int
    at: float
    kind: FaultKind
    nodes: tuple[str, ...] = ()
    lasts: float = 0.0  # duration in seconds
    wiped: tuple[str, ...] = ()  # the machines of `nodes` that lose their disks in a loss of power
    gap_s: float = 0.0  # POWER_CHAIN: time between the losses of two machines
    step_ms: int = 0  # CLOCK_STEP


class OrderStyle(Enum):
    """How a change is sent."""

    PUT = "put"
    PATCH = "patch"
    INVALID = "invalid"


class Order(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="order"):
    """A change of the configuration, based on the newest version that operators know."""

    number: int
    at: float
    style: OrderStyle = OrderStyle.PUT
    step: int = 1  # increment of the version
    lost_answers: int = 0  # number of first answers that never reach the operator
    again: bool = False  # resent after its acknowledgement
    twice: bool = False  # another operator sends the same change concurrently
    rivals: int = 0  # number of operators that concurrently send other changes with the same version


class Retire(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="retire"):
    """Retirement of a storage machine, which is removed once the retirement is reported as done."""

    number: int
    at: float
    node: str


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="message"):
    """A client's message. `ask_after`: seconds until its state is read; 0: it isn't read."""

    number: int
    at: float
    kind: DeliveryKind
    key: str = ""
    delay_s: float = 0.0
    zone: str = ""
    size: int = 200
    ask_after: float = 0.0


class Probe(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="probe"):
    """A message sent directly to one node, on a route that may have been added, removed, or never existed."""

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
    """A called worker is faulty for `lasts` seconds. `worker`: its index; -1 is the endpoint."""

    number: int
    at: float
    worker: int
    fault: WorkerFaultKind = msgspec.field(name="mood")  # "mood": the key in saved plans
    lasts: float


class WorkerDeparture(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="worker_leaves"):
    """A listed worker is shown as draining and ends; a new incarnation replaces it."""

    number: int
    at: float
    worker: int


Event = Fault | Order | Retire | Message | Probe | ReadConfiguration | WorkerFault | WorkerDeparture


class Layout(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The machines at the beginning of a run."""

    core_edges: int = 3
    other_edges: int = 1
    storages: int = 3
    tolerated: int = 1  # number of machines that may be lost at one time
    small_logs: bool = False  # compact every few entries; a short run never reaches the default sizes
    processor_share: float = 1.0  # share of each 0.1 s in which a process may run


class RunPlan(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The plan of one run. `checker`: the checker that a shrunk plan fails."""

    seed: int
    scenario: str
    seconds: float  # duration of traffic and faults
    layout: Layout = Layout()
    events: tuple[Event, ...] = ()
    checker: str = ""

    def random(self, event: Event) -> Random:
        """The random generator of one event."""
        return Random(f"{self.seed}/{event.number}")


def save_plan(plan: RunPlan, path: Path) -> None:
    """Write a plan as JSON, with one event per line."""
    events = ",\n  ".join(msgspec.json.encode(event).decode() for event in plan.events)
    head = msgspec.to_builtins(msgspec.structs.replace(plan, events=()))
    path.write_text(f'{json.dumps(head)[:-1]}, "events": [\n  {events}\n]}}\n')


def load_plan(path: Path) -> RunPlan:
    """Read a plan; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(path.read_bytes(), type=RunPlan)
