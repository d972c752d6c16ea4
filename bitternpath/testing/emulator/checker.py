"""Checks the rules that nodes must keep, from what the emulated world observed; a node's own reports don't
count. Pure.

Observed are the requests that a node accepted and their answers, the attempts as they were sent and as
they reached a worker, what the worker did with them, and which endpoint changes each node was informed of
and when. A violation names the request, the worker, the time and the preceding events.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

SOCKET_SLACK = 0.05  # s added to each time limit on sockets; virtual time needs none
RESUME_ALLOWANCE = 0.1  # s after a resume during which a stopped node may still be late
MAX_EVENTS_SHOWN = 12  # latest events listed with a violation


class Violation(Struct):
    """A violation of a rule."""

    rule: str  # lost, duplicate, drain, cold, invented, refused
    time: float
    request: str
    worker: str
    message: str
    events: list[str]

    def __str__(self) -> str:
        recent = "; ".join(self.events[-MAX_EVENTS_SHOWN:])
        subject = f"request {self.request or '-'}, worker {self.worker or '-'}"
        return f"{self.rule} at {self.time:.3f} s, {subject}: {self.message} [{recent}]"


class TrackedRequest:
    """A request that a node accepted."""

    __slots__ = ("abandoned", "answer", "at", "attempts", "deadline", "events", "may_run", "node", "safe")

    def __init__(self, node: str, at: float, deadline: float, safe: bool) -> None:
        self.node, self.at, self.deadline, self.safe = node, at, deadline, safe
        self.answer = ""
        self.abandoned = False  # its client left or its node died: no answer is owed
        self.attempts: set[int] = set()  # attempts that run or may still start
        self.may_run = False  # whether any attempt ran, runs or may still start
        self.events: list[str] = []


class Checker:
    """Follows all events of a run and records violations."""

    def __init__(self, drain_grace: float, answer_grace: float, slack: float = 0.0) -> None:
        self.drain_grace, self.answer_grace, self.slack = drain_grace, answer_grace, slack
        self.requests: dict[str, TrackedRequest] = {}
        self.violations: list[Violation] = []
        self.lost_by_death = 0  # requests whose node was killed: no violation
        # (node, worker): when the node learned that the worker drains or has ended
        self._unavailable_since: dict[tuple[str, str], float] = {}
        # (node, worker): when staff ejected the worker at that node
        self._ejected_since: dict[tuple[str, str], float] = {}
        self._results: dict[str, set[bytes]] = {}  # request: results that workers returned for it
        self._due: deque[tuple[float, str]] = deque()

    def _report(self, rule: str, now: float, request: str, worker: str, message: str) -> None:
        tracked = self.requests.get(request)
        self.violations.append(
            Violation(rule, now, request, worker, message, list(tracked.events) if tracked else [])
        )

    def _record_event(self, request: str, now: float, event: str) -> TrackedRequest | None:
        tracked = self.requests.get(request)
        if tracked is not None:
            tracked.events.append(f"{now:.3f} {event}")
        return tracked

    # ---- clients

    def accepted(self, now: float, request: str, node: str, deadline: float, safe: bool) -> None:
        tracked = self.requests[request] = TrackedRequest(node, now, deadline, safe)
        tracked.events.append(f"{now:.3f} accepted by {node}, deadline {deadline:.3f}")

    def answered(self, now: float, request: str, answer: str, result: bytes = b"") -> None:
        """Records a node's answer: served, refused or failed."""
        tracked = self._record_event(request, now, f"answered {answer}")
        if tracked is None:
            self._report("invented", now, request, "", f"answered {answer} though no node accepted it")
            return
        if tracked.answer:
            self._report("lost", now, request, "", f"answered again: {answer} after {tracked.answer}")
            return
        tracked.answer = answer
        if not tracked.abandoned and now > tracked.deadline + self.answer_grace + self.slack:
            self._report("lost", now, request, "", f"answered {(now - tracked.deadline) * 1000:.0f} ms late")
        if answer == "served" and result not in self._results.get(request, ()):
            self._report("invented", now, request, "", "served with a result that no worker returned for it")
        if answer == "refused" and tracked.may_run and not tracked.safe:
            self._report("refused", now, request, "", "refused though it may have run")

    def awaits_answer(self, request: str) -> bool:
        """Whether an answer to the request is still owed."""
        tracked = self.requests.get(request)
        return tracked is not None and not tracked.answer and not tracked.abandoned

    def deadline(self, request: str) -> float:
        """When its answer is due; infinite for a request that no node accepted."""
        tracked = self.requests.get(request)
        return tracked.deadline if tracked is not None else float("inf")

    def abandoned(self, request: str) -> None:
        """Its client has disconnected."""
        if request in self.requests:
            self.requests[request].abandoned = True

    def node_killed(self, now: float, node: str) -> None:
        """A node was killed: its open requests are lost, which is no violation."""
        for request, tracked in self.requests.items():
            if tracked.node == node and not tracked.answer and not tracked.abandoned:
                tracked.abandoned = True
                self.lost_by_death += 1
                self._record_event(request, now, "its node died")
        self._unavailable_since = {
            key: since for key, since in self._unavailable_since.items() if key[0] != node
        }

    def node_resumed(self, now: float, node: str, since: float = float("inf")) -> None:
        """A node runs again after it was stopped from outside: requests that fell due meanwhile are no
        violation.

        Requests sent to it after `since` are read only now, so their budget counts from now.
        """
        for request, tracked in self.requests.items():
            deadline = tracked.deadline + self.answer_grace + self.slack
            if (
                tracked.node == node
                and not tracked.answer
                and not tracked.abandoned
                and deadline < now + RESUME_ALLOWANCE
            ):
                tracked.abandoned = True
                self.lost_by_death += 1
                self._record_event(request, now, "its node had been stopped")
            elif tracked.node == node and not tracked.answer and tracked.at >= since:
                tracked.deadline += now - tracked.at
                self._record_event(request, now, f"read by its node after a stop: due {tracked.deadline:.3f}")

    # ---- discovery

    def discovery_notified(self, now: float, node: str, worker: str, serving: bool) -> None:
        if serving:
            self._unavailable_since.pop((node, worker), None)
        else:
            self._unavailable_since.setdefault((node, worker), now)

    # ---- manual ejections

    def worker_ejected(self, now: float, node: str, worker: str) -> None:
        """The node has confirmed the ejection: it must send nothing more there, whatever discovery says, also
        after a restart."""
        self._ejected_since.setdefault((node, worker), now)

    def worker_reinstated(self, node: str, worker: str) -> None:
        self._ejected_since.pop((node, worker), None)

    # ---- attempts

    def sent(self, now: float, request: str, node: str, worker: str) -> None:
        since = self._unavailable_since.get((node, worker))
        self._record_event(request, now, f"sent to {worker}")
        if since is not None and now > since + self.drain_grace + self.slack:
            self._report(
                "drain",
                now,
                request,
                worker,
                f"sent {now - since:.2f} s after the node learned that the worker drains or has ended",
            )
        since = self._ejected_since.get((node, worker))
        if since is not None and now > since + self.drain_grace + self.slack:
            self._report(
                "drain", now, request, worker, f"sent {now - since:.2f} s after it was ejected by hand"
            )

    def arrived(self, now: float, request: str, worker: str, attempt: int) -> None:
        """The attempt has reached the worker completely."""
        tracked = self._record_event(request, now, f"arrived at {worker}")
        if tracked is None:
            self._report("invented", now, request, worker, "an attempt for a request that no client sent")
            return
        if tracked.may_run and not tracked.safe:
            self._report("duplicate", now, request, worker, "sent again though an attempt may have run")
        tracked.may_run = True
        tracked.attempts.add(attempt)

    def rejected(self, now: float, request: str, worker: str, attempt: int) -> None:
        tracked = self._record_event(request, now, f"rejected by {worker}")
        if tracked is not None:
            tracked.attempts.discard(attempt)
            if not tracked.attempts:
                tracked.may_run = False

    def ended(self, now: float, request: str, worker: str, result: bytes | None) -> None:
        self._record_event(request, now, f"ended at {worker}")
        if result is not None:
            self._results.setdefault(request, set()).add(result)

    def worker_collapsed(self, now: float, worker: str, informed: float) -> None:
        if informed >= 2.0 / 3.0:
            self._report(
                "cold",
                now,
                "",
                worker,
                f"collapsed while cold, {informed:.0%} of the load from nodes that knew of its start",
            )

    # ---- end of a run

    def finish(self, now: float) -> None:
        """Reports every request that is unanswered past its deadline as lost."""
        for request, tracked in self.requests.items():
            if (
                not tracked.answer
                and not tracked.abandoned
                and now > tracked.deadline + self.answer_grace + self.slack
            ):
                self._report("lost", now, request, "", "never answered")

    def forget(self, request: str) -> None:
        """Frees the records of a request that ended long ago."""
        self.requests.pop(request, None)
        self._results.pop(request, None)
