"""The rules, held against what the world saw; the node's own word is not asked. Pure.

What the world sees: requests that a node took and what it answered, attempts as they were sent and as
they came to a worker, what the worker did with them, and when each node was told what of whom. A
violation names the request, the worker, the time and the events that led there.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

SLACK = 0.05  # s by which each limit in time is longer on sockets; 0 in virtual time
HELD_UP = 0.1  # s after it goes on in which a stopped node may still be late
KEPT = 12  # events told with a violation


class Violation(Struct):
    """A rule that was broken."""

    rule: str  # lost, duplicate, drain, cold, invented, refused
    time: float
    request: str
    worker: str
    says: str
    events: list[str]

    def __str__(self) -> str:
        led = "; ".join(self.events[-KEPT:])
        whom = f"request {self.request or '-'}, worker {self.worker or '-'}"
        return f"{self.rule} at {self.time:.3f} s, {whom}: {self.says} [{led}]"


class Taken:
    """A request that a node took."""

    __slots__ = ("answer", "at", "deadline", "events", "left", "may_run", "node", "out", "safe")

    def __init__(self, node: str, at: float, deadline: float, safe: bool) -> None:
        self.node, self.at, self.deadline, self.safe = node, at, deadline, safe
        self.answer = ""
        self.left = False  # its client has gone away, or its node has died: nothing is owed
        self.out: set[int] = set()  # attempts that may yet run or are running
        self.may_run = False  # an attempt may have run, or may yet
        self.events: list[str] = []


class Checker:
    """Hears of everything and remembers what it needs."""

    def __init__(self, drain_grace: float, answer_grace: float, slack: float = 0.0) -> None:
        self.drain_grace, self.answer_grace, self.slack = drain_grace, answer_grace, slack
        self.taken: dict[str, Taken] = {}
        self.broken: list[Violation] = []
        self.lost_by_death = 0  # requests whose node died: no fault of its
        self._told: dict[tuple[str, str], float] = {}  # node, worker: since when it knows of its drain or end
        self._out: dict[tuple[str, str], float] = {}  # node, worker: since when it is out by hand there
        self._made: dict[str, set[bytes]] = {}  # request: results that workers made for it
        self._due: deque[tuple[float, str]] = deque()

    def _break(self, rule: str, now: float, request: str, worker: str, says: str) -> None:
        found = self.taken.get(request)
        self.broken.append(Violation(rule, now, request, worker, says, list(found.events) if found else []))

    def _note(self, request: str, now: float, what: str) -> Taken | None:
        found = self.taken.get(request)
        if found is not None:
            found.events.append(f"{now:.3f} {what}")
        return found

    # ---- what clients see

    def took(self, now: float, request: str, node: str, deadline: float, safe: bool) -> None:
        found = self.taken[request] = Taken(node, now, deadline, safe)
        found.events.append(f"{now:.3f} taken by {node}, deadline {deadline:.3f}")

    def answered(self, now: float, request: str, answer: str, result: bytes = b"") -> None:
        """`answer`: served, refused or failed."""
        found = self._note(request, now, f"answered {answer}")
        if found is None:
            self._break("invented", now, request, "", f"answered {answer} though it was never taken")
            return
        if found.answer:
            self._break("lost", now, request, "", f"answered again: {answer} after {found.answer}")
            return
        found.answer = answer
        if not found.left and now > found.deadline + self.answer_grace + self.slack:
            self._break("lost", now, request, "", f"answered {(now - found.deadline) * 1000:.0f} ms late")
        if answer == "served" and result not in self._made.get(request, ()):
            self._break("invented", now, request, "", "served with what no worker made for it")
        if answer == "refused" and found.may_run and not found.safe:
            self._break("refused", now, request, "", "refused though it may have run")

    def owed(self, request: str) -> bool:
        """Whether an answer to it is still to come."""
        found = self.taken.get(request)
        return found is not None and not found.answer and not found.left

    def due(self, request: str) -> float:
        """When its answer must be there; never, for one that nobody waits for."""
        found = self.taken.get(request)
        return found.deadline if found is not None else float("inf")

    def left(self, request: str) -> None:
        """Its client has gone away."""
        if request in self.taken:
            self.taken[request].left = True

    def died(self, now: float, node: str) -> None:
        """A node was killed: what it held is lost by that, and by no fault of its."""
        for request, found in self.taken.items():
            if found.node == node and not found.answer and not found.left:
                found.left = True
                self.lost_by_death += 1
                self._note(request, now, "its node died")
        self._told = {key: since for key, since in self._told.items() if key[0] != node}

    def held_up(self, now: float, node: str, since: float = float("inf")) -> None:
        """A node goes on after it was stopped from outside: what fell due meanwhile is no fault of its.

        What was sent to it after `since` it reads only now, and counts its time from then."""
        for request, found in self.taken.items():
            due = found.deadline + self.answer_grace + self.slack
            if found.node == node and not found.answer and not found.left and due < now + HELD_UP:
                found.left = True
                self.lost_by_death += 1
                self._note(request, now, "its node had been stopped")
            elif found.node == node and not found.answer and found.at >= since:
                found.deadline += now - found.at
                self._note(request, now, f"read by its node, that had been stopped: due {found.deadline:.3f}")

    # ---- what discovery says

    def told(self, now: float, node: str, worker: str, serving: bool) -> None:
        if serving:
            self._told.pop((node, worker), None)
        else:
            self._told.setdefault((node, worker), now)

    # ---- what staff say

    def out_by_hand(self, now: float, node: str, worker: str) -> None:
        """The node has said yes: from now on nothing new, whatever discovery says, also in its next life."""
        self._out.setdefault((node, worker), now)

    def called_back(self, node: str, worker: str) -> None:
        self._out.pop((node, worker), None)

    # ---- attempts

    def sent(self, now: float, request: str, node: str, worker: str) -> None:
        since = self._told.get((node, worker))
        self._note(request, now, f"sent to {worker}")
        if since is not None and now > since + self.drain_grace + self.slack:
            self._break("drain", now, request, worker, f"sent {now - since:.2f} s after its end was told")
        since = self._out.get((node, worker))
        if since is not None and now > since + self.drain_grace + self.slack:
            self._break(
                "drain", now, request, worker, f"sent {now - since:.2f} s after it was taken out by hand"
            )

    def arrived(self, now: float, request: str, worker: str, attempt: int) -> None:
        """The last byte has come to the worker."""
        found = self._note(request, now, f"arrived at {worker}")
        if found is None:
            self._break("invented", now, request, worker, "an attempt for a request that nobody made")
            return
        if found.may_run and not found.safe:
            self._break("duplicate", now, request, worker, "sent again though an attempt may have run")
        found.may_run = True
        found.out.add(attempt)

    def turned_away(self, now: float, request: str, worker: str, attempt: int) -> None:
        found = self._note(request, now, f"turned away by {worker}")
        if found is not None:
            found.out.discard(attempt)
            if not found.out:
                found.may_run = False

    def ran(self, now: float, request: str, worker: str, result: bytes | None) -> None:
        self._note(request, now, f"ended at {worker}")
        if result is not None:
            self._made.setdefault(request, set()).add(result)

    def fell(self, now: float, worker: str, informed: float) -> None:
        if informed >= 2.0 / 3.0:
            self._break(
                "cold", now, "", worker, f"pushed over, {informed:.0%} of it by nodes that knew it is cold"
            )

    # ---- the end

    def end(self, now: float) -> None:
        """Whatever is unanswered past its deadline has been lost."""
        for request, found in self.taken.items():
            if not found.answer and not found.left and now > found.deadline + self.answer_grace + self.slack:
                self._break("lost", now, request, "", "never answered")

    def forget(self, request: str) -> None:
        """Free what is kept of a request that is over and long past."""
        self.taken.pop(request, None)
        self._made.pop(request, None)
