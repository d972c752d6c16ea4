"""The interface of the decision module: its settings, the events it takes and the actions it returns.

Times and durations are in milliseconds, times by the caller's clock. `benchmarks/earlier.py` maps the names
here to those of earlier revisions of the module.
"""

from __future__ import annotations

from enum import Enum
from math import inf

from msgspec import Struct


class Effect(Enum):
    """The effect of running a job twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Among which workers a repeat of a keyed job is detected and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """The outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


# Outcomes that prove that the job did not run on that worker.
NOT_EXECUTED = frozenset({AttemptOutcome.FULL, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT})
# Outcomes after which the job likely runs on, though its result is lost.
LIKELY_STILL_RUNNING = frozenset({AttemptOutcome.RESET, AttemptOutcome.CANCELLED})


class WorkerState(Enum):
    """The state of a worker in the worker list."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `WorkerList` carries: changes, a whole list, the first list, or none since a call failed."""

    CHANGES = "changes"
    COMPLETE = "whole"
    INITIAL = "at start"
    FAILED = "failed"


# ---- settings


class JobClass(Struct):
    """One class of requests: its deadlines (ms), its value, and the effect of running a job twice.

    `value` is earned by a job that meets `latency_target`, `late_value_share` of it by one that is late but
    within its deadline, which is at most `max_deadline`. Repeats of a keyed job are dropped within
    `dedup_scope` for `dedup_window`.
    """

    name: str
    effect: Effect
    latency_target: float
    max_deadline: float
    value: float = 1.0
    late_value_share: float = 0.0
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    stream: bool = False
    kind: str | None = None  # the only machine kind that runs it; None: all do
    priority: int = 0
    work_factor: float = 0.0  # the latency target grows by this multiple of the job's own work

    @property
    def retry_scope(self) -> DedupScope:
        """The scope in which a job may run again after it may have run once (not used if it is unsafe)."""
        return DedupScope.ALL if self.effect is Effect.SAFE else self.dedup_scope

    @property
    def safe_to_repeat(self) -> bool:
        """Whether a job may safely run again on any worker."""
        return self.effect is not Effect.UNSAFE and self.retry_scope is DedupScope.ALL

    def shares_learning_with(self, other: JobClass) -> bool:
        """Whether what was learned of the other class holds for this one too."""
        return (self.effect, self.dedup_scope, self.kind) == (other.effect, other.dedup_scope, other.kind)

    def __post_init__(self) -> None:
        _require_positive("aim", self.latency_target)
        _require_positive("give_up", self.max_deadline)
        _require_not_negative("window", self.dedup_window)
        _require_not_negative("stretch", self.work_factor)
        if self.effect is Effect.KEYED and self.dedup_window <= 0:
            raise ValueError("window: a keyed class needs a time over which repeats are dropped")


class Tenant(Struct):
    """A tenant of the service, with its share and its rate limit."""

    name: str
    share: float
    quota_per_s: float


class Settings(Struct):
    """The settings of a dispatcher; `balancer.settings` reads them from the platform's file.

    A worker has `cold_share` of its capacity when it starts, and all of it `warm_within` ms later. It
    collapses when it gets more than `overload_multiple` times the work that it can do in `overload_span`.
    """

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatcher_index: int = 0  # position of this dispatcher among the `dispatchers`
    dispatchers: int = 1  # number of dispatchers that share the workers
    zone: str = ""
    kinds: tuple[str, ...] = ()
    list_on_request: bool = False  # discovery sends the worker list only to subscribers
    must_ask_within: float = 10_000.0  # ms after the start in which the list must be requested
    drain_grace: float = 1_000.0
    answer_grace: float = 5.0
    cold_share: float = 0.3
    warm_within: float = 10_000.0
    overload_multiple: float = 3.0
    overload_span: float = 1_000.0
    may_cancel: bool = True
    may_probe: bool = False
    second_copies: bool = False  # a job may have a second attempt while one is in flight
    try_limit: int = 3  # attempts per job
    gives_retry_after: bool = False
    max_retry_after: float = 0.0  # upper limit of `Refuse.retry_after`
    tick: float = 1.0
    reports_start: bool = False  # workers report the start of each job
    in_order: bool = False  # workers start jobs in the order of their arrival
    retries_marked: bool = False  # clients mark requests that are retries
    progress_every: float = 0.0  # interval between reports of progress; 0: none
    sizes_listed: bool = False  # the worker list states a size for each worker
    report_columns: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0

    @property
    def start_report_delay(self) -> float:
        """Time from a job's start to the first report of it; infinite if none comes.

        Where starts are not reported, the first report of progress comes one interval after the start.
        """
        return 0.0 if self.reports_start else self.progress_every or inf

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if len({c.name for c in self.classes}) != len(self.classes):
            raise ValueError("classes: two share a name")
        for name in ("must_ask_within", "warm_within", "overload_span", "overload_multiple", "tick"):
            _require_positive(name, getattr(self, name))
        for name in ("drain_grace", "answer_grace", "progress_every", "max_retry_after"):
            _require_not_negative(name, getattr(self, name))
        if not 0 < self.cold_share <= 1:
            raise ValueError(f"cold_share: must lie above 0 and at most at 1, not {self.cold_share}")
        if self.dispatchers < 1:
            raise ValueError(f"dispatchers: must be 1 or more, not {self.dispatchers}")
        if self.try_limit < 1:
            raise ValueError(f"try_limit: must be 1 or more, not {self.try_limit}")


def _require_positive(name: str, value: float) -> None:
    if not value > 0:
        raise ValueError(f"{name}: must be above 0, not {value}")


def _require_not_negative(name: str, value: float) -> None:
    if not value >= 0:
        raise ValueError(f"{name}: must not be negative, not {value}")


# ---- events


class Request(Struct):
    """A client's request, to be answered exactly once within `remaining` ms; `hint` is its expected work."""

    id: str
    job_class: str
    remaining: float
    tenant: str | None = None
    key: int | None = None
    hint: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False


class StreamStarted(Struct):
    """The response of a streaming attempt has started, and is passed on to the client."""

    id: str
    attempt: int
    worker: str
    elapsed: float


class JobProgress(Struct):
    """The job of an attempt has started (`share` is None), or reports the share done (0 to 1)."""

    id: str
    attempt: int
    worker: str
    share: float | None = None


class AttemptEnded(Struct):
    """The end of an attempt; `final`: the request needs no further answer."""

    id: str
    attempt: int
    worker: str
    outcome: AttemptOutcome
    elapsed: float
    final: bool
    report: tuple[float | None, ...] | None = None


class Withdrawn(Struct):
    """The client of a request has left."""

    id: str


class WorkerEntry(Struct):
    """An entry of the worker list."""

    worker: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    scale: float = 1.0
    up_since: float | None = None
    classes: frozenset[str] | None = None  # the only classes that it runs; None: all that its kind runs
    slots: int = 0  # jobs that it runs at the same time; 0: not stated

    def can_run(self, spec: JobClass) -> bool:
        """Whether the worker runs jobs of the class."""
        return spec.kind in (None, self.kind) and (self.classes is None or spec.name in self.classes)

    def dedup_scope_id(self, scope: DedupScope) -> str:
        """Id of the worker's scope of that kind; workers with the same id detect each other's repeats."""
        return {DedupScope.ALL: "", DedupScope.ZONE: self.zone, DedupScope.CELL: str(self.cell)}[scope]


class WorkerList(Struct):
    """The worker list, changes to it, or a failed call for it."""

    kind: ListKind
    entries: list[WorkerEntry] = []


class NewSettings(Struct):
    """The settings for requests from now on; open jobs keep those under which they came."""

    settings: Settings


class TimerFired(Struct):
    """A timer that `StartTimer` set has expired."""

    label: str


Event = (
    Request | StreamStarted | JobProgress | AttemptEnded | Withdrawn | WorkerList | NewSettings | TimerFired
)

# ---- actions


class Send(Struct):
    """Start an attempt, which ends after `timeout` ms (0: at the client's deadline).

    It must be sent within `within` ms, for example before the deduplication window of its class closes.
    """

    id: str
    worker: str
    timeout: float = 0.0
    within: float = inf


class Refuse(Struct):
    """Final answer: the job did not run or may safely run again; the client may retry after `retry_after`."""

    id: str
    retry_after: float = 0.0


class Fail(Struct):
    """Final answer: the request failed, and may have run."""

    id: str


class Cancel(Struct):
    """Cancel one attempt."""

    id: str
    attempt: int


class SubscribeToWorkers(Struct):
    """Subscribe to changes of the worker list."""

    on: bool = True


class StartTimer(Struct):
    """Set a timer that ends with `TimerFired`."""

    label: str
    delay: float


Action = Send | Refuse | Fail | Cancel | SubscribeToWorkers | StartTimer
