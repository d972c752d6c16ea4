"""The types of a scenario file: an environment and its faults, with bounds (read by `scenario_file.py`).

Ranges (`[low, high]`) are drawn for each seed, so that one file gives many different runs.
"""

from __future__ import annotations

from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NonNegative = Annotated[float, Meta(ge=0.0)]
Range = float | tuple[float, float]

MAX_SECONDS = 3600.0  # longest run, in s
MAX_REQUESTS = 5_000_000  # largest number of first requests in a run


class ScenarioError(Exception):
    """The scenario is invalid; the message says why in one line."""


class Site(Struct, frozen=True, forbid_unknown_fields=True):
    """A site; traffic is split over the sites in proportion to `traffic`."""

    name: str
    traffic: NonNegative = 1.0
    workers: Annotated[int, Meta(ge=0, le=100_000)] = 4
    nodes: Annotated[int, Meta(ge=0, le=10_000)] = 1


class Kind(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of machine."""

    name: str
    share: Positive = 1.0
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    # jobs that run at once; beyond `cores` they share the cores
    slots: Annotated[int, Meta(ge=1, le=1024)] = 2
    speed: Range = 1.0  # speed of a core; 1 is the reference
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 30  # jobs that can wait
    crowded: NonNegative = 16.0  # jobs on the worker beyond which each one costs `strain` of its efficiency
    strain: NonNegative = 0.03
    cold_share: Range = 0.25  # share of its capacity that a worker has right after a start
    cold_s: Range = 16.0  # s until a started worker is warm
    errors: Share = 0.0  # share of jobs that fail
    drops_expired: bool = False  # whether a job past its deadline is dropped before it starts
    # limit of connections per worker, idle ones included; 0: no limit
    connections: Annotated[int, Meta(ge=0)] = 0


class JobClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests. Times in ms, work in ms on a core of speed 1."""

    name: str
    share: Positive
    work: Range
    spread: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: NonNegative = 0.5  # coefficient of variation of the work, for lognormal
    aim: Positive = 100.0
    stretch: NonNegative = 2.0  # multiple of the job's own work that is added to `aim`
    give_up: Positive = 5000.0
    worth: Positive = 1.0
    late_worth: Share = 0.25  # share of `worth` that an answer after the target time earns
    safe: bool = False


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """Client behavior."""

    rate: NonNegative = 0.0  # first requests per second; 0: set by `load`
    load: Annotated[float, Meta(ge=0.0, le=20.0)] = 0.6  # share of the warm fleet's capacity
    swing: Share = 0.1  # amplitude of the load wave, as a share of the rate
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 15.0  # doubled for each retry, times a factor drawn from 0.5 to 1.5
    honour: Share = 0.35  # share of clients that obey Retry-After
    longest_retry_after_ms: NonNegative = 2000.0
    marks_retry: bool = True
    leave: Share = 0.0  # share of clients that disconnect before their timeout
    keys: Annotated[int, Meta(ge=0)] = 0  # number of route keys; 0: none


class Net(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays in ms."""

    same_ms: Range = 0.2
    cross_ms: Range = 15.0
    client_ms: Range = 0.6
    jitter: Share = 0.2
    dial_timeout_ms: Positive = 250.0
    handshake_rtts: NonNegative = 2.5
    handshake_work_ms: NonNegative = 1.5  # work on a worker's core for each new connection
    idle_s: Positive = 10.0


class Discovery(Struct, frozen=True, forbid_unknown_fields=True):
    """Discovery reports late, and only whether a process runs. Delays in s."""

    notice_s: Range = 1.0  # until the end of a process is reported
    silent_notice_s: Range = 8.0  # until an unreachable machine is reported
    add_s: Range = 0.7  # until the start of a process is reported
    spread_s: NonNegative = 0.1  # between the first node that gets an update and the last
    # Subscribe calls per second that the service handles, one at a time, for all nodes; 0: it pushes updates
    # without calls.
    calls_per_s: NonNegative = 0.0
    call_waits_s: Positive = 2.0  # a call that waits longer fails, and still costs the service its time
    must_ask_s: Positive = 10.0  # interval within which a node has to subscribe, by its settings


class Rules(Struct, frozen=True, forbid_unknown_fields=True):
    """The limits that nodes must keep."""

    drain_grace_ms: NonNegative = 2000.0
    answer_grace_ms: NonNegative = 8.0
    fall_multiple: Positive = 4.0
    fall_ms: Positive = 1000.0
    stated_cold_share: Share = 0.15
    stated_warm_ms: Positive = 23_000.0
    try_limit: Annotated[int, Meta(ge=1, le=100)] = 6
    second_copies: bool = True
    progress_ms: NonNegative = 1000.0
    tells_start: bool = True


class Prices(Struct, frozen=True, forbid_unknown_fields=True):
    """Deductions from the service, each a factor on a share."""

    waste: NonNegative = 0.10
    late_fail: NonNegative = 0.072
    cross_site: NonNegative = 0.03


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Consensus servers, and nodes that hold leases from them; on sockets only."""

    # number of consensus servers, spread over the sites in turn; 0: no fleet
    stewards: Annotated[int, Meta(ge=0, le=9)] = 0
    lease: Annotated[float, Meta(ge=1.0, le=60.0)] = 2.0
    catch_up: Annotated[float, Meta(ge=1.0, le=600.0)] = 3.0
    drift: Annotated[float, Meta(ge=0.0, le=0.2)] = 0.02
    alone: Literal["serve", "leave"] = "serve"


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of a run, see `troubles/`. The meaning of its fields depends on its kind."""

    kind: str
    at: Range  # s of the run
    lasts: Range = 10.0  # s
    part: Range = 0.2  # share of the workers, nodes or links that it affects
    size: Range = 1.0
    extra: Range = 0.0
    site: str = ""  # empty: drawn
    other: str = ""  # the other end of a link
    # whether machines become unreachable; otherwise processes die and connections are reset
    silent: bool = True
    nodes: bool = False  # whether the nodes of the site are killed as well


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A complete scenario."""

    name: str
    sites: Annotated[list[Site], Meta(min_length=1)]
    classes: Annotated[list[JobClass], Meta(min_length=1)]
    kinds: Annotated[list[Kind], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Kind("standard")]
    )
    says: str = ""  # what it shows, in one line
    seconds: Annotated[float, Meta(gt=0.0, le=MAX_SECONDS)] = 45.0
    clients: Clients = Clients()
    net: Net = Net()
    discovery: Discovery = Discovery()
    rules: Rules = Rules()
    prices: Prices = Prices()
    fleet: FleetSettings = FleetSettings()
    front_notice_s: Range = 2.0  # s until the load balancer notices that a node has died
    start_spread_s: NonNegative = 0.8  # s between the first node's start and the last's
    troubles: list[Fault] = msgspec.field(default_factory=list)


def sample(random: Random, value: Range) -> float:
    """The value itself, or a uniform draw from the range."""
    return value if isinstance(value, int | float) else random.uniform(*value)
