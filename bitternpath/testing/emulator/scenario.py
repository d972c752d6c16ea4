"""What a scenario says: a world and what goes wrong in it, typed and bounded (`scenario_file.py` reads it).

Ranges (`[low, high]`) are drawn anew for each seed, so that one file gives many days.
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

MAX_SECONDS = 3600.0  # s of a scenario
MAX_REQUESTS = 5_000_000  # first tries that a scenario may ask for


class ScenarioError(Exception):
    """The scenario cannot be used; the text says why, in one line."""


class Site(Struct, frozen=True, forbid_unknown_fields=True):
    """A site, with the shares of traffic, workers and nodes that are there (in proportion)."""

    name: str
    traffic: NonNegative = 1.0
    workers: Annotated[int, Meta(ge=0, le=100_000)] = 4
    nodes: Annotated[int, Meta(ge=0, le=10_000)] = 1


class Kind(Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of machine."""

    name: str
    share: Positive = 1.0
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    slots: Annotated[int, Meta(ge=1, le=1024)] = 2  # jobs in work at once; beyond the cores they share them
    speed: Range = 1.0  # of a core; 1 is the yardstick
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 30  # jobs that wait
    crowded: NonNegative = 16.0  # jobs held beyond which each one more costs `strain` of the efficiency
    strain: NonNegative = 0.03
    cold_share: Range = 0.25  # of the capacity right after a start
    cold_s: Range = 16.0  # s until it is warm
    errors: Share = 0.0  # of jobs
    drops_expired: bool = False  # a job whose time is up is not begun
    connections: Annotated[int, Meta(ge=0)] = 0  # that a worker holds at once, idle ones too; 0: any number


class JobClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests. Times in ms, work in ms on a core of speed 1."""

    name: str
    share: Positive
    work: Range
    spread: Literal["fixed", "exp", "lognormal"] = "lognormal"
    cv: NonNegative = 0.5  # of the work, where lognormal
    aim: Positive = 100.0
    stretch: NonNegative = 2.0  # the aim grows by this multiple of the job's own work
    give_up: Positive = 5000.0
    worth: Positive = 1.0
    late_worth: Share = 0.25  # of the worth, for an answer after the aim
    safe: bool = False


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """How clients behave."""

    rate: NonNegative = 0.0  # first tries a second; 0: by `load`
    load: Annotated[float, Meta(ge=0.0, le=20.0)] = 0.6  # of the warm fleet's capacity
    swing: Share = 0.1  # of the rate, as a wave over the day
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 15.0  # doubled for each retry, drawn from half to one and a half
    honour: Share = 0.35  # of the clients heed Retry-After
    longest_retry_after_ms: NonNegative = 2000.0
    marks_retry: bool = True
    leave: Share = 0.0  # of the clients go away early
    keys: Annotated[int, Meta(ge=0)] = 0  # route keys; 0: none


class Net(Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays in ms."""

    same_ms: Range = 0.2
    cross_ms: Range = 15.0
    client_ms: Range = 0.6
    jitter: Share = 0.2
    dial_timeout_ms: Positive = 250.0
    handshake_rtts: NonNegative = 2.5
    handshake_work_ms: NonNegative = 1.5  # of a worker's core for each new connection
    idle_s: Positive = 10.0


class Discovery(Struct, frozen=True, forbid_unknown_fields=True):
    """Late, and knows only whether a process runs. In s."""

    notice_s: Range = 1.0  # until an end is told
    silent_notice_s: Range = 8.0  # until silence is told
    add_s: Range = 0.7  # until a start is told
    spread_s: NonNegative = 0.1  # between the first node that hears and the last
    # Calls a second that one service answers in turn for all nodes; 0: it tells each node by itself.
    calls_per_s: NonNegative = 0.0
    call_waits_s: Positive = (
        2.0  # a call fails when it has waited so long, and costs the service all the same
    )
    must_ask_s: Positive = 10.0  # within which a node has to ask, as it is told


class Rules(Struct, frozen=True, forbid_unknown_fields=True):
    """What binds the nodes."""

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
    """Taken off the service, each times its share."""

    waste: NonNegative = 0.10
    late_fail: NonNegative = 0.072
    cross_site: NonNegative = 0.03


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Stewards, and nodes under their word; on sockets alone."""

    stewards: Annotated[int, Meta(ge=0, le=9)] = 0  # one a site in turn; 0: none
    lease: Annotated[float, Meta(ge=1.0, le=60.0)] = 2.0
    catch_up: Annotated[float, Meta(ge=1.0, le=600.0)] = 3.0
    drift: Annotated[float, Meta(ge=0.0, le=0.2)] = 0.02
    alone: Literal["serve", "leave"] = "serve"


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong, see `troubles/`. What the fields mean is the trouble's to say."""

    kind: str
    at: Range  # s
    lasts: Range = 10.0  # s
    part: Range = 0.2  # of the workers, or of whatever it takes
    size: Range = 1.0
    extra: Range = 0.0
    site: str = ""  # "": drawn
    other: str = ""  # the other end of a link
    silent: bool = True  # says nothing; else connections are reset
    nodes: bool = False  # takes its nodes along


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole one."""

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
    front_notice_s: Range = 2.0  # until the front knows that a node has died
    start_spread_s: NonNegative = 0.8  # between the first node's start and the last's
    troubles: list[Fault] = msgspec.field(default_factory=list)


def sample(random: Random, value: Range) -> float:
    """A value, or one out of its range."""
    return value if isinstance(value, int | float) else random.uniform(*value)
