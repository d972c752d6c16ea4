"""Adapter between the simulator's wire protocol and the decision module; it decides nothing.

Standard input has one batch of events per line, standard output one reply per line. Each instance of the
simulator has a Dispatcher of its own. Malformed input ends the program with one line on standard error;
unknown events and keys are ignored.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.settings import settings_from

OUTCOMES = {
    "GOOD": m.AttemptOutcome.OK,
    "BAD": m.AttemptOutcome.ERROR,
    "FULL": m.AttemptOutcome.FULL,
    "LATE": m.AttemptOutcome.TIMEOUT,
    "NOCONN": m.AttemptOutcome.NO_CONNECTION,
    "RST": m.AttemptOutcome.RESET,
    "CXL": m.AttemptOutcome.CANCELLED,
    "NOP": m.AttemptOutcome.NOT_SENT,
}
STATES = {
    "in_service": m.WorkerState.SERVING,
    "terminating": m.WorkerState.DRAINING,
    "terminated": m.WorkerState.GONE,
}
LIST_KINDS = {
    "D": m.ListKind.CHANGES,
    "F": m.ListKind.COMPLETE,
    "C": m.ListKind.INITIAL,
    "X": m.ListKind.FAILED,
}


class MalformedInput(Exception):
    """A line of input that violates the protocol."""


def _request(values: list[Any]) -> m.Event:
    _, _, id, job_class, tenant, key, remaining, work, slots, memory, flags = values[:11]
    hint = work if (flags or 0) & 1 else None
    return m.Request(
        id, job_class, remaining, tenant, key, hint, slots or 1.0, memory or 0.0, bool((flags or 0) & 2)
    )


def _worker_list(values: list[Any]) -> m.Event:
    rows = [
        m.WorkerEntry(
            row[0], row[1], row[2], row[3], STATES[row[4]], row[5], row[6] if len(row) > 6 else None
        )
        for row in values[4] or ()
    ]
    return m.WorkerList(LIST_KINDS[values[2]], rows)


EVENTS: dict[str, Callable[[list[Any]], m.Event]] = {
    "KNOCK": _request,
    "PEERS_KNOWN": _worker_list,
    "STARTED": lambda values: m.StreamStarted(values[2], values[5], values[4], values[3]),
    "NOTE": lambda values: m.JobProgress(
        values[2], values[3], values[4], values[6] if values[5] == 2 else None
    ),
    "ENDED": lambda values: m.AttemptEnded(
        values[2],
        values[3],
        values[4],
        OUTCOMES[values[5]],
        values[6],
        bool(values[7]),
        values[9] if len(values) > 9 else None,
    ),
    "WITHDRAWN": lambda values: m.Withdrawn(values[2]),
    "FIRED": lambda values: m.TimerFired(values[2]),
}

ACTIONS: dict[type[Any], Callable[[int, Any], list[Any]]] = {
    m.Send: lambda instance, action: ["ROUTE", instance, action.id, action.worker, action.timeout],
    m.Refuse: lambda instance, action: ["PUSH_BACK", instance, action.id, action.retry_after],
    m.Fail: lambda instance, action: ["REPORT_FAILURE", instance, action.id],
    m.Cancel: lambda instance, action: ["CALL_OFF", instance, action.id, action.attempt],
    m.SubscribeToWorkers: lambda instance, action: ["FOLLOW", instance, action.on],
    m.StartTimer: lambda instance, action: ["SCHEDULE", instance, action.label, action.delay],
}


class Host:
    """The dispatchers of this process by the number of their instance."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}

    def reply(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
            now, inbox = float(batch["time"]), list(batch["inbox"])
            names = [(str(values[0]), int(values[1])) for values in inbox]
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise MalformedInput(f"malformed batch: {error}") from error
        decisions: list[list[Any]] = []
        for (name, instance), values in zip(names, inbox, strict=True):
            if name == "CONFIGURE":
                self.instances[instance] = self.create(values, now)
            elif name == "POWER_OFF":
                self.instances.pop(instance, None)
            elif name in EVENTS and instance in self.instances:
                try:
                    event = EVENTS[name](values)
                except (ValueError, TypeError, KeyError, IndexError) as error:
                    raise MalformedInput(f"malformed {name}: {error!r}") from error
                try:
                    for action in self.instances[instance].handle(now, event):
                        decisions.append(ACTIONS[type(action)](instance, action))
                except Exception as error:  # the simulator ends its run with this text
                    decisions.append(["DIE", instance, f"{type(error).__name__}: {error}"])
        return orjson.dumps({"decisions": decisions})

    @staticmethod
    def create(values: list[Any], now: float) -> Dispatcher:
        try:
            return Dispatcher(settings_from(values[3]), int(values[2]), now)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
            raise MalformedInput(f"malformed CONFIGURE: {error!r}") from error


def main() -> int:
    host = Host()
    for line in sys.stdin.buffer:
        try:
            answer = host.reply(line)
        except MalformedInput as error:
            print(f"bitternpath: {error}", file=sys.stderr)
            return 1
        sys.stdout.buffer.write(answer + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
