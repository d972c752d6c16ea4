"""Invocations, their calls, and the seams at which a protocol plugs in.

A *front* makes invocations and hands each to `Broker.invoke` with a `Consumer` that hears the one answer. An
`Invoker` carries calls to providers of its protocol. A *source* tells the roster which providers there are
(`core.roster.Listing`). Each protocol is one package and one line in `node.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct

if TYPE_CHECKING:
    from bitternpath.balancer.core.roster import Provider

ID_LIMIT = 200  # characters of an invocation's id, all of them visible ASCII: it must pass in any protocol


class Consumer(Protocol):
    """The side that waits for the answer of one invocation; exactly one of its answers is called, once."""

    def served(self, result: bytes) -> None: ...

    def rejected(self, retry_after: float) -> None: ...

    def failed(self) -> None: ...

    def gone(self) -> bool:
        """Whether it has left, though nobody may have heard of that yet."""
        ...


class Payload(Protocol):
    """What an invoker sends on: a request in the platform's own words (PROTOCOL, 'Clients to nodes').

    `target` is the path with its query, `/CLASS` and what follows; `headers` has lower-case names:
    `x-call-class`, `x-route-hash`, `x-again`, `x-call-info`, `content-type`, where the consumer gave them."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class Work(Struct):
    """A payload of a front that does not speak HTTP."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class Invoker(Protocol):
    """The side that carries calls to providers. What becomes of them it tells by `Broker.ended`."""

    def start(self, call: InvokerCall, provider: Provider) -> None: ...

    def give_up(self, call: InvokerCall) -> None: ...


Invokers = Mapping[str, Invoker]  # by the protocol of the provider
CALLS_BACK = "http"  # the protocol whose providers report by call-backs at the listener


class State(Enum):
    """What a provider reports of a call."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class News(Struct):
    """A provider's report of a call: what it says, and of which job."""

    id: str
    provider: str
    state: State
    share: float | None
    result: bytes


class InvokerCall(Struct, eq=False):
    """One attempt of an invocation at a provider."""

    invocation: Invocation
    number: int
    provider: str
    sent: float
    expires: float
    begin_by: float = inf  # later it may not go out: what has run is no longer known to be the same job
    protocol: str = CALLS_BACK  # of the provider, and so whose invoker carries it
    over: bool = False  # its outcome is known; what comes later is passed over
    ran: bool = True  # it may have run, as far as is known
    accepted: bool = False  # the provider has taken the job: its connection no longer matters
    returned: bool = False  # ended by a call-back that handed it back
    timer: Any = None
    carrier: Any = None  # the invoker's own

    @property
    def id(self) -> str:
        return self.invocation.id


class Invocation(Struct, eq=False):
    """A request that was taken and is owed one answer. Times are in ms on the node's clock."""

    id: str
    job_class: str
    deadline: float
    consumer: Consumer
    payload: Any  # a Payload; nothing in the core looks inside
    key: int | None = None
    hint: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    answered: bool = False
    calls: list[InvokerCall] = []
    timer: Any = None


def figures(info: bytes) -> dict[str, float]:
    """The further figures of a request: `name=value,name=value`, those whose values are numbers."""
    found: dict[str, float] = {}
    for pair in info.split(b","):
        name, _, value = pair.strip().partition(b"=")
        try:
            found[name.decode()] = float(value)
        except ValueError:
            continue
    return found
