"""A node's side of the fleet on sockets: the `LeaseHolder` with its connection, its files and what it does.

The node gives three things: a check of a plan, a way to act on one, and its roster. In return it asks `gate`
before it takes an invocation: there the lease is looked at, in the very turn in which the act happens.
What lasts of it stands in `fleet.folder`, where one is given (files.py): a process's audit, and the plan last
acted on, so that a node which starts without a steward serves as last agreed.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import structlog
from msgspec import Struct

from bitternpath import __version__
from bitternpath.balancer.config.operator import Fleet
from bitternpath.balancer.config.platform import Address
from bitternpath.balancer.core.endpoint_registry import BY_OPERATOR, EndpointRegistry
from bitternpath.balancer.fleet import audit, clock
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.files import Folder
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, Who
from bitternpath.balancer.fleet.steward import DIAL_WITHIN, where
from bitternpath.balancer.fleet.wire import Wire
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="agent")

BY_FLEET = "fleet"  # who takes providers out
ALONE = 0  # the fence of what is done without a lease


class Span(Struct):
    """What was taken under one version and one fence, or without a lease."""

    version: int
    fence: int
    first: float = 0.0  # Unix s
    last: float = 0.0
    taken: Counter[str] = msgspec.field(default_factory=Counter)  # by class

    def detail(self) -> str:
        return msgspec.json.encode(
            {"first": round(self.first, 3), "last": round(self.last, 3), "taken": dict(self.taken)}
        ).decode()


def release_of(version: str) -> tuple[int, ...]:
    """The numbers that a version begins with."""
    numbers = []
    for part in version.split("."):
        if not part.isdigit():
            break
        numbers.append(int(part))
    return tuple(numbers)


class Agent:
    """One process of a node."""

    def __init__(
        self,
        reactor: Any,
        fleet: Fleet,
        node: str,
        site: str,
        registry: EndpointRegistry,
        check: Callable[[p.Plan], str],
        act: Callable[[p.Plan], None],
        advice: Callable[[str], float],
    ) -> None:
        self.reactor, self.fleet, self.registry, self.act, self.advice = reactor, fleet, registry, act, advice
        self.stewards: dict[str, Address] = where(fleet)
        who = Who(node, secrets.token_hex(4), fleet.site or site, release_of(__version__), fleet.alone)
        self.holder = LeaseHolder(who, list(self.stewards), Random(), clock.elapsed(), time.time, check)
        self.wire: Wire | None = None
        self.fleet_id = ""  # of the first fleet that granted a lease
        self._alarm: Any = None
        self.span = Span(0, ALONE)
        registry.on_ejection_change = self._noted
        self.folder = self._open(Path(fleet.folder)) if fleet.folder else None

    # ---- what the node asks

    def gate(self, job_class: str) -> float | None:
        """An invocation has come; None, or the ms after which it may come again where this node leaves."""
        holder = self.holder
        if holder.fence != self.span.fence or (holder.fence and clock.elapsed() >= holder.until):
            self.settle()
        span = self.span
        if span.fence == ALONE and self.fleet.alone == "leave":
            return self.advice(job_class)
        span.last = time.time()
        span.first = span.first or span.last
        span.taken[job_class] += 1
        return None

    def welcome(self) -> bool:
        """Whether consumers may be sent here."""
        return self.fleet.alone == "serve" or self.holder.holds(clock.elapsed())

    # ---- files

    def _open(self, path: Path) -> Folder | None:
        """What earlier processes did and had agreed. Nothing of it keeps a node from starting."""
        holder = self.holder
        try:
            folder = Folder(self.reactor, path, holder.who.boot, self._written)
            holder.older += folder.older()
        except OSError as error:
            log.error("no file for the audit: kept in memory", folder=str(path), why=error)
            return None
        holder.ledger.written = 0
        plan = folder.plan()
        if plan is not None and (why := holder.check(plan)):
            log.warning("the plan last acted on cannot be taken", version=plan.version, why=why)
        elif plan is not None:
            holder.plan = holder.taken = plan
            self.span.version = plan.version
        return folder

    def _written(self, upto: int | None) -> None:
        self.holder.wrote(clock.elapsed(), upto)
        self.settle()

    def _write_down(self, plan: p.Plan | None = None) -> None:
        """In the order in which it is done; a steward hears of it once it is on file."""
        ledger = self.holder.ledger
        fresh, ledger.fresh = ledger.fresh, []
        if self.folder is not None and (fresh or plan is not None):
            self.folder.write(fresh, plan)

    # ---- what is done

    def begin(self) -> None:
        """Serve as last agreed, and ask for a lease."""
        if self.holder.plan.version:
            self._do(self.holder.plan)
        self.settle()

    def settle(self) -> None:
        """Carry out what follows, in its order: written down, then done, then said."""
        holder, now = self.holder, clock.elapsed()
        under = holder.fence if holder.holds(now) else ALONE
        if (holder.plan.version, under) != (self.span.version, self.span.fence):
            self._turn(under)
        self._write_down()
        holder.acts.clear()
        sends, holder.sends = holder.sends, []
        for said in sends:
            if self.wire is not None:
                self.wire.say(said)
        if holder.hang_up:
            holder.hang_up = False
            wire, self.wire = self.wire, None
            if wire is not None:
                wire.close()
        if holder.dial is not None:
            name, holder.dial = holder.dial, None
            self._dial(name)
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()
        self._alarm = None
        if holder.alarm != float("inf"):
            self._alarm = self.reactor.callLater(max(holder.alarm - now, 0.0), self._tick)

    def _turn(self, under: int) -> None:
        """Another version, or a lease got or lost: what comes from now on is under that."""
        plan, before = self.holder.plan, self.span.version
        self._close_span()
        self.span = Span(plan.version, under)
        changed = plan.version != before
        self._write_down(plan if changed else None)
        if changed:
            self._do(plan)
        log.info("alone" if under == ALONE else "under the fleet's word", version=plan.version, fence=under)

    def _close_span(self) -> None:
        span = self.span
        if span.taken:
            self.holder.ledger.add(time.time(), audit.SERVED, span.version, span.fence, span.detail())
            span.taken = Counter()

    def _do(self, plan: p.Plan) -> None:
        for id in plan.bans:
            self.registry.eject(id, time.time() * 1000.0, BY_FLEET)
        for id in self.registry.ejected_by(BY_FLEET):
            if id not in plan.bans:
                self.registry.reinstate(id, time.time() * 1000.0, BY_FLEET)
        self.act(plan)

    def _noted(self, id: str, by: str, out: bool) -> None:
        """Staff have taken a provider out, or back, at this node's own console."""
        if by == BY_OPERATOR:
            self.holder.note(audit.OUT if out else audit.BACK, id)
            self._write_down()

    def stop(self) -> None:
        """The node ends: it acts no more."""
        self._close_span()
        self.holder.end(clock.elapsed())
        self.settle()

    # ---- the connection

    def _tick(self) -> None:
        self.holder.tick(clock.elapsed())
        self.settle()

    def _dial(self, name: str) -> None:
        who = self.holder.who
        hello = m.Hello(m.VERSION, self.fleet_id, "agent", f"{who.node}#{who.boot}")
        wire = Wire(self.reactor, hello, self._hear, self._lost)
        wire.name = name
        self.wire = wire
        made = dial(self.reactor, *self.stewards[name], DIAL_WITHIN, wire)
        made.addErrback(lambda failure: self._lost(wire))

    def _hear(self, wire: Wire, said: m.Said) -> None:
        if wire is not self.wire:
            return
        now = clock.elapsed()
        if isinstance(said, m.Hello):
            self.holder.up(now, wire.name)
        elif isinstance(said, m.Lease | m.Withheld | m.Changes | m.Whole | m.News | m.Heard):
            if isinstance(said, m.Lease) and not self.fleet_id and wire.peer is not None:
                self.fleet_id = wire.peer.fleet
            before = self.holder.withheld
            self.holder.hear(now, said)
            if isinstance(said, m.Withheld) and said.why != before:
                log.warning("withheld", steward=wire.name, why=said.why)
        else:
            wire.drop(f"a steward does not say {type(said).__name__} to an agent")
        self.settle()

    def _lost(self, wire: Wire) -> None:
        if wire is self.wire:
            self.wire = None
            self.holder.lost(clock.elapsed())
            self.settle()
