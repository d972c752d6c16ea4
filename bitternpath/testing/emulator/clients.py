"""Clients: what they request, how long they wait and when they retry. Pure."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import Any, Protocol

from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.scenario import JobClass, Scenario, sample
from bitternpath.testing.emulator.service import Operation, ServiceMetrics

LOAD_WAVE_PERIOD = 20.0  # s of one period of the load wave


class Target(Protocol):
    """A node, as clients see it."""

    name: str
    site: str

    def request(self, request: ClientRequest) -> bool:
        """Delivers a request; False if the connection is refused."""

    def client_disconnected(self, request: ClientRequest) -> None:
        """The client has closed its connection."""


class ClientRequest:
    """One request of a client. Times in s."""

    __slots__ = ("budget", "done", "honors_retry_after", "id", "key", "number", "operation", "sent", "target")

    def __init__(
        self,
        operation: Operation,
        id: str,
        number: int,
        sent: float,
        budget: float,
        honors_retry_after: bool,
        key: int | None,
    ) -> None:
        self.operation, self.id, self.number, self.sent, self.budget = operation, id, number, sent, budget
        self.honors_retry_after, self.key = honors_retry_after, key
        self.done = False
        self.target: Any = None


class LoadBalancer:
    """Spreads clients over the nodes of their site; learns with a delay that a node has died."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.admitted: dict[str, list[Any]] = {}

    def admit(self, node: Any) -> None:
        nodes = self.admitted.setdefault(node.site, [])
        if node not in nodes:
            nodes.append(node)

    def drop(self, node: Any) -> None:
        nodes = self.admitted.get(node.site, [])
        if node in nodes:
            nodes.remove(node)

    def pick(self, site: str) -> Any:
        """A node of the site, or of any other site if it has none; None if there are no nodes."""
        nodes = self.admitted.get(site) or [n for ns in self.admitted.values() for n in ns]
        return nodes[int(self.random.random() * len(nodes))] if nodes else None


class Clients:
    """All clients: an open-loop stream of operations and their retries."""

    def __init__(
        self, scenario: Scenario, rate: float, scheduler: Any, random: Random,
        load_balancer: LoadBalancer, metrics: ServiceMetrics, checker: Checker,
        delay: Callable[[str, str], float], trace: Callable[..., None],
    ) -> None:  # fmt: skip
        self.scenario, self.behavior, self.rate, self.scheduler, self.random = (
            scenario,
            scenario.clients,
            rate,
            scheduler,
            random,
        )
        self.load_balancer, self.metrics, self.checker, self.delay, self.trace = (
            load_balancer,
            metrics,
            checker,
            delay,
            trace,
        )
        self.burst = 1.0  # factor on the usual rate
        self.site_burst: dict[str, float] = {}
        # Separate random sources: every policy sees the same stream of first requests.
        self.arrivals = Random(random.getrandbits(64))
        self.wave_phase = random.random() * 2 * math.pi
        self.sites = [site.name for site in scenario.sites]
        self._site_shares = [site.traffic for site in scenario.sites]
        self._classes = scenario.classes
        self._by_class = list(accumulate(c.share for c in scenario.classes))
        self.mean_work = {c.name: sample(random, c.work) / 1000.0 for c in scenario.classes}  # s
        self.unfinished = 0  # operations without a final outcome
        self._sequence = 0

    def start(self) -> None:
        self._next()

    def _rate_now(self) -> float:
        wave = 1.0 + self.behavior.swing * math.sin(
            2 * math.pi * self.scheduler.seconds() / LOAD_WAVE_PERIOD + self.wave_phase
        )
        shares = [
            s * self.site_burst.get(name, 1.0) for name, s in zip(self.sites, self._site_shares, strict=True)
        ]
        self._by_site = list(accumulate(shares))
        return self.rate * wave * self.burst * self._by_site[-1] / sum(self._site_shares)

    def _next(self) -> None:
        wait = self.arrivals.expovariate(1.0) / max(self._rate_now(), 1e-6)
        if self.scheduler.seconds() + wait < self.scenario.seconds:
            self.scheduler.callLater(wait, self._arrive)

    def _work(self, spec: JobClass) -> float:
        mean = self.mean_work[spec.name]
        if spec.spread == "fixed" or not spec.cv:
            return mean
        if spec.spread == "exp":
            return max(self.arrivals.expovariate(1.0) * mean, 1e-4)
        sigma = math.sqrt(math.log(1.0 + spec.cv**2))
        return self.arrivals.lognormvariate(math.log(mean) - sigma**2 / 2.0, sigma)

    def _arrive(self) -> None:
        self._next()
        by_class, by_site, rand = self._by_class, self._by_site, self.arrivals.random
        spec = self._classes[bisect_right(by_class, rand() * by_class[-1])]
        site = self.sites[bisect_right(by_site, rand() * by_site[-1])]
        now = self.scheduler.seconds()
        operation = Operation(spec, site, self._work(spec), now)
        self.metrics.record_arrival(operation)
        self.unfinished += 1
        honors_retry_after = rand() < self.behavior.honour
        key = int(rand() * self.behavior.keys) if self.behavior.keys else None
        self._sequence += 1
        self._send_request(operation, f"{self._sequence:x}", 0, honors_retry_after, key)

    def _send_request(
        self, operation: Operation, operation_id: str, number: int, honors_retry_after: bool, key: int | None
    ) -> None:
        now = self.scheduler.seconds()
        budget = max(operation.arrived + operation.job_class.give_up / 1000.0 - now, 0.0)
        request = ClientRequest(
            operation, f"{operation_id}-{number}", number, now, budget, honors_retry_after, key
        )
        self.scheduler.callLater(budget, self._give_up, request)
        if self.behavior.leave and self.random.random() < self.behavior.leave:
            self.scheduler.callLater(self.random.random() * budget, self._leave, request)
        node = request.target = self.load_balancer.pick(operation.site)
        if node is None:
            self.scheduler.callLater(0.001, self.answer, request, "unreachable", 0.0, b"")
            return
        self.scheduler.callLater(self.delay(operation.site, node.site), self._deliver, request)

    def _deliver(self, request: ClientRequest) -> None:
        if not request.done and not request.target.request(request):
            self.scheduler.callLater(
                self.delay(request.operation.site, request.target.site),
                self.answer,
                request,
                "unreachable",
                0.0,
                b"",
            )

    def answer(self, request: ClientRequest, outcome: str, retry_after: float, result: bytes) -> None:
        """Handles a request's outcome: served, refused, failed, reset or unreachable; `retry_after` in ms."""
        if request.done:
            return
        request.done = True
        operation, now = request.operation, self.scheduler.seconds()
        self.trace("client", request.id, outcome)
        if outcome == "served":
            operation.finished = True
            self.unfinished -= 1
            self.metrics.record_success(operation, now)
            return
        self.metrics.increment(now, outcome)
        behavior = self.behavior
        retryable = outcome in ("refused", "unreachable") or operation.job_class.safe
        wait = behavior.backoff_ms / 1000.0 * 2**request.number * (0.5 + self.random.random())
        if outcome == "refused" and request.honors_retry_after:
            wait = max(wait, min(retry_after, behavior.longest_retry_after_ms) / 1000.0)
        if (
            retryable
            and request.number < behavior.retries
            and now + wait < operation.arrived + operation.job_class.give_up / 1000.0
        ):
            self.metrics.increment(now, "retried")
            operation_id = request.id.rpartition("-")[0]
            self.scheduler.callLater(
                wait,
                self._send_request,
                operation,
                operation_id,
                request.number + 1,
                request.honors_retry_after,
                request.key,
            )
        else:
            self._fail(operation)

    def _give_up(self, request: ClientRequest) -> None:
        """The client's timeout has expired."""
        if not request.done:
            request.done = True
            self.metrics.increment(self.scheduler.seconds(), "given up")
            if request.target is not None:
                request.target.client_disconnected(request)
            self._fail(request.operation)

    def _leave(self, request: ClientRequest) -> None:
        """The client disconnects before its timeout."""
        if not request.done:
            request.done = True
            self.checker.abandoned(request.id)
            if request.target is not None:
                request.target.client_disconnected(request)
            self._fail(request.operation)

    def _fail(self, operation: Operation) -> None:
        if not operation.finished:
            operation.finished = True
            self.unfinished -= 1
            self.metrics.record_failure(operation, self.scheduler.seconds())
