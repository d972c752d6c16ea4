"""Clients: what they ask, for how long they wait, and when they try again. Pure."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import Any, Protocol

from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.scenario import JobClass, Scenario, drawn
from bitternpath.testing.emulator.service import Ask, Tally

WAVE = 20.0  # s of a swing


class Target(Protocol):
    """A node, as clients see it."""

    name: str
    site: str

    def request(self, told: Try) -> bool:
        """A request has arrived; False where nobody listens."""

    def gone(self, told: Try) -> None:
        """The client has closed the connection."""


class Try:
    """One request of a client. Times in s."""

    __slots__ = ("ask", "budget", "done", "honours", "id", "key", "number", "sent", "target")

    def __init__(
        self, ask: Ask, id: str, number: int, sent: float, budget: float, honours: bool, key: int | None
    ) -> None:
        self.ask, self.id, self.number, self.sent, self.budget = ask, id, number, sent, budget
        self.honours, self.key = honours, key
        self.done = False
        self.target: Any = None


class Front:
    """Spreads clients over the nodes of their site; hears late that one has died."""

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
        """A node of the site, else of any other; None where there is none."""
        nodes = self.admitted.get(site) or [n for ns in self.admitted.values() for n in ns]
        return nodes[int(self.random.random() * len(nodes))] if nodes else None


class Clients:
    """All of them: an open stream of first tries, and what follows from each."""

    def __init__(
        self, scenario: Scenario, rate: float, later: Any, random: Random, front: Front, tally: Tally,
        checker: Checker, delay: Callable[[str, str], float], trace: Callable[..., None],
    ) -> None:  # fmt: skip
        self.scenario, self.habits, self.rate, self.later, self.random = (
            scenario,
            scenario.clients,
            rate,
            later,
            random,
        )
        self.front, self.tally, self.checker, self.delay, self.trace = front, tally, checker, delay, trace
        self.burst = 1.0  # times the usual rate
        self.site_burst: dict[str, float] = {}
        # Drawn apart from what follows, so that every policy meets the same first tries.
        self.arrivals = Random(random.getrandbits(64))
        self.phase = random.random() * 2 * math.pi
        self.sites = [site.name for site in scenario.sites]
        self._site_shares = [site.traffic for site in scenario.sites]
        self._classes = scenario.classes
        self._by_class = list(accumulate(c.share for c in scenario.classes))
        self.mean_work = {c.name: drawn(random, c.work) / 1000.0 for c in scenario.classes}  # s
        self.open = 0  # asks that have no end yet
        self._made = 0

    def start(self) -> None:
        self._next()

    def _rate_now(self) -> float:
        wave = 1.0 + self.habits.swing * math.sin(2 * math.pi * self.later.seconds() / WAVE + self.phase)
        shares = [
            s * self.site_burst.get(name, 1.0) for name, s in zip(self.sites, self._site_shares, strict=True)
        ]
        self._by_site = list(accumulate(shares))
        return self.rate * wave * self.burst * self._by_site[-1] / sum(self._site_shares)

    def _next(self) -> None:
        wait = self.arrivals.expovariate(1.0) / max(self._rate_now(), 1e-6)
        if self.later.seconds() + wait < self.scenario.seconds:
            self.later.callLater(wait, self._arrive)

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
        now = self.later.seconds()
        ask = Ask(spec, site, self._work(spec), now)
        self.tally.first(ask)
        self.open += 1
        honours = rand() < self.habits.honour
        key = int(rand() * self.habits.keys) if self.habits.keys else None
        self._made += 1
        self._try(ask, f"{self._made:x}", 0, honours, key)

    def _try(self, ask: Ask, name: str, number: int, honours: bool, key: int | None) -> None:
        now = self.later.seconds()
        budget = max(ask.arrived + ask.job_class.give_up / 1000.0 - now, 0.0)
        told = Try(ask, f"{name}-{number}", number, now, budget, honours, key)
        self.later.callLater(budget, self._give_up, told)
        if self.habits.leave and self.random.random() < self.habits.leave:
            self.later.callLater(self.random.random() * budget, self._leave, told)
        node = told.target = self.front.pick(ask.site)
        if node is None:
            self.later.callLater(0.001, self.answer, told, "unreachable", 0.0, b"")
            return
        self.later.callLater(self.delay(ask.site, node.site), self._reach, told)

    def _reach(self, told: Try) -> None:
        if not told.done and not told.target.request(told):
            self.later.callLater(
                self.delay(told.ask.site, told.target.site), self.answer, told, "unreachable", 0.0, b""
            )

    def answer(self, told: Try, what: str, retry_after: float, result: bytes) -> None:
        """What a try came to: served, refused, failed, reset or unreachable; `retry_after` in ms."""
        if told.done:
            return
        told.done = True
        ask, now = told.ask, self.later.seconds()
        self.trace("client", told.id, what)
        if what == "served":
            ask.over = True
            self.open -= 1
            self.tally.served(ask, now)
            return
        self.tally.count(now, what)
        habits = self.habits
        again = what in ("refused", "unreachable") or ask.job_class.safe
        wait = habits.backoff_ms / 1000.0 * 2**told.number * (0.5 + self.random.random())
        if what == "refused" and told.honours:
            wait = max(wait, min(retry_after, habits.longest_retry_after_ms) / 1000.0)
        if (
            again
            and told.number < habits.retries
            and now + wait < ask.arrived + ask.job_class.give_up / 1000.0
        ):
            self.tally.count(now, "retried")
            name = told.id.rpartition("-")[0]
            self.later.callLater(wait, self._try, ask, name, told.number + 1, told.honours, told.key)
        else:
            self._fail(ask)

    def _give_up(self, told: Try) -> None:
        """The client's time is up."""
        if not told.done:
            told.done = True
            self.tally.count(self.later.seconds(), "given up")
            if told.target is not None:
                told.target.gone(told)
            self._fail(told.ask)

    def _leave(self, told: Try) -> None:
        """The client goes away before its time."""
        if not told.done:
            told.done = True
            self.checker.left(told.id)
            if told.target is not None:
                told.target.gone(told)
            self._fail(told.ask)

    def _fail(self, ask: Ask) -> None:
        if not ask.over:
            ask.over = True
            self.open -= 1
            self.tally.failed(ask, self.later.seconds())
