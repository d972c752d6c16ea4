"""The interface of the decision module: its settings, the events it takes and the actions it returns.

Times are milliseconds on the caller's clock; durations and deadlines too. Type names are also those that
`benchmarks/earlier.py` gives to the module of earlier revisions.
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
    """Which workers detect and drop a repeat of a keyed job."""

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


# These outcomes prove that the job never ran on that worker.
NOT_EXECUTED = frozenset({AttemptOutcome.FULL, AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_SENT})
# After these it likely runs on, though its result is lost.
LIKELY_STILL_RUNNING = frozenset({AttemptOutcome.RESET, AttemptOutcome.CANCELLED})


class WorkerState(Enum):
    """The state of a worker in the worker list."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `WorkerList` carries."""

    CHANGES = "changes"
    COMPLETE = "whole"
    INITIAL = "at start"
    FAILED = "failed"


# ---- settings


class JobClass(Struct):
    """One class of requests: its deadlines (ms), its value, and the effect of running a job twice.

    `aim` is the latency target, `give_up` the longest deadline, `value` what a job in time is worth,
    `late_worth` the share of it that a late one is worth, `window` the time in which repeats are dropped.
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
    kind: str | None = None  # the only machine kind that runs it
    priority: int = 0
    work_factor: float = 0.0  # the latency target grows by this multiple of the job's own work

    @property
    def retry_scope(self) -> DedupScope:
        """Which workers may run a job again that another of them may have run (none if it is unsafe)."""
        return DedupScope.ALL if self.effect is Effect.SAFE else self.dedup_scope

    @property
    def safe_to_repeat(self) -> bool:
        """Whether a repeat does no harm on any worker."""
        return self.effect is not Effect.UNSAFE and self.retry_scope is DedupScope.ALL

    def shares_learning_with(self, other: JobClass) -> bool:
        """Whether what was learned of the other holds for this one: effects must be the same."""
        return (self.effect, self.dedup_scope, self.kind) == (other.effect, other.dedup_scope, other.kind)

    def __post_init__(self) -> None:
        _require_positive("aim", self.latency_target)
        _require_positive("give_up", self.max_deadline)
        _require_not_negative("window", self.dedup_window)
        _require_not_negative("stretch", self.work_factor)
        if self.effect is Effect.KEYED and self.dedup_window <= 0:
            raise ValueError("window: a keyed class needs a time over which repeats are dropped")


class Tenant(Struct):
    """One of the parties that share the service."""

    name: str
    share: float
    quota_per_s: float


class Settings(Struct):
    """The settings of a dispatcher. Names follow the platform's file (`balancer.settings`)."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatcher_index: int = 0
    dispatchers: int = 1
    zone: str = ""
    kinds: tuple[str, ...] = ()
    list_on_request: bool = False
    must_ask_within: float = 10_000.0
    drain_grace: float = 1_000.0
    answer_grace: float = 5.0
    cold_share: float = 0.3
    warm_within: float = 10_000.0
    overload_multiple: float = 3.0
    overload_span: float = 1_000.0
    may_cancel: bool = True
    may_probe: bool = False
    second_copies: bool = False
    try_limit: int = 3
    gives_retry_after: bool = False
    max_retry_after: float = 0.0
    tick: float = 1.0
    reports_start: bool = False
    in_order: bool = False  # a worker begins jobs in the order in which they came
    retries_marked: bool = False  # clients mark their repeats
    progress_every: float = 0.0
    sizes_listed: bool = False  # the list states a size for each worker
    report_columns: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    late_fail_price: float = 0.0
    waste_price: float = 0.0
    cross_zone_price: float = 0.0

    @property
    def start_report_delay(self) -> float:
        """Time (ms) from a job's start to the first report of it; infinite if none comes.

        Where starts are not reported, the first report of progress comes one interval after the start."""
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
    """A client's request, to be answered once before `remaining` (ms) has passed."""

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
    """The answer of a streamed attempt has begun; the attempt is the client's from now on."""

    id: str
    attempt: int
    worker: str
    elapsed: float


class JobProgress(Struct):
    """The job of an attempt has begun to run (`share` None) or reports the share done."""

    id: str
    attempt: int
    worker: str
    share: float | None = None


class AttemptEnded(Struct):
    """The end of an attempt; `final` says that the request is concluded."""

    id: str
    attempt: int
    worker: str
    outcome: AttemptOutcome
    elapsed: float
    final: bool
    report: tuple[float | None, ...] | None = None


class Withdrawn(Struct):
    """The client has left."""

    id: str


class WorkerEntry(Struct):
    """A line of the worker list."""

    worker: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    scale: float = 1.0
    up_since: float | None = None
    classes: frozenset[str] | None = None  # the only classes that it serves; None: all that its kind runs
    slots: int = 0  # jobs that it takes at once; 0: not told

    def can_run(self, spec: JobClass) -> bool:
        """Whether it runs jobs of the class."""
        return spec.kind in (None, self.kind) and (self.classes is None or spec.name in self.classes)

    def dedup_scope_id(self, scope: DedupScope) -> str:
        """Name of its group of that sort; all workers of one name drop each other's repeats."""
        return {DedupScope.ALL: "", DedupScope.ZONE: self.zone, DedupScope.CELL: str(self.cell)}[scope]


class WorkerList(Struct):
    """The worker list, or changes to it."""

    kind: ListKind
    entries: list[WorkerEntry] = []


class NewSettings(Struct):
    """Other settings hold from now on; jobs that are open keep those under which they came."""

    settings: Settings


class TimerFired(Struct):
    """A timer set by `StartTimer` is due."""

    label: str


Event = (
    Request | StreamStarted | JobProgress | AttemptEnded | Withdrawn | WorkerList | NewSettings | TimerFired
)

# ---- actions


class Send(Struct):
    """Start an attempt; it may take until `timeout` (0: until the client gives up), and has to begin `within`
    ms, for example before the window closes in which repeats are dropped."""

    id: str
    worker: str
    timeout: float = 0.0
    within: float = inf


class Refuse(Struct):
    """Final answer: nothing ran or a repeat is harmless; the client may retry after `retry_after` (ms)."""

    id: str
    retry_after: float = 0.0


class Fail(Struct):
    """Final answer: the request failed, and may have run."""

    id: str


class Cancel(Struct):
    """Stop waiting for one attempt."""

    id: str
    attempt: int


class SubscribeToWorkers(Struct):
    """Subscribe to changes of the worker list."""

    on: bool = True


class StartTimer(Struct):
    """Ask for a `TimerFired`."""

    label: str
    delay: float


Action = Send | Refuse | Fail | Cancel | SubscribeToWorkers | StartTimer
