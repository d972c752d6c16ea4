"""Carries the simulator's wire to the decision module and back; decides nothing.

One batch a line on standard input, one reply a line on standard output. Each instance has a Dispatcher of
its own. What is malformed ends the program with one line on standard error; what is unknown is passed over.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.settings import settings_from

ENDS = {
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
LISTS = {"D": m.ListKind.CHANGES, "F": m.ListKind.COMPLETE, "C": m.ListKind.INITIAL, "X": m.ListKind.FAILED}


class Malformed(Exception):
    """A line that is not what the wire allows."""


def _request(v: list[Any]) -> m.Event:
    _, _, rid, service, project, key, expires, work, slots, mem, bits = v[:11]
    hint = work if (bits or 0) & 1 else None
    return m.Request(
        rid, service, expires, project, key, hint, slots or 1.0, mem or 0.0, bool((bits or 0) & 2)
    )


def _list(v: list[Any]) -> m.Event:
    rows = [
        m.WorkerEntry(r[0], r[1], r[2], r[3], STATES[r[4]], r[5], r[6] if len(r) > 6 else None)
        for r in v[4] or ()
    ]
    return m.WorkerList(LISTS[v[2]], rows)


EVENTS: dict[str, Callable[[list[Any]], m.Event]] = {
    "KNOCK": _request,
    "PEERS_KNOWN": _list,
    "STARTED": lambda v: m.StreamStarted(v[2], v[5], v[4], v[3]),
    "NOTE": lambda v: m.JobProgress(v[2], v[3], v[4], v[6] if v[5] == 2 else None),
    "ENDED": lambda v: m.AttemptEnded(
        v[2], v[3], v[4], ENDS[v[5]], v[6], bool(v[7]), v[9] if len(v) > 9 else None
    ),
    "WITHDRAWN": lambda v: m.Withdrawn(v[2]),
    "FIRED": lambda v: m.TimerFired(v[2]),
}

ACTIONS: dict[type[Any], Callable[[int, Any], list[Any]]] = {
    m.Send: lambda i, a: ["ROUTE", i, a.id, a.worker, a.timeout],
    m.Refuse: lambda i, a: ["PUSH_BACK", i, a.id, a.retry_after],
    m.Fail: lambda i, a: ["REPORT_FAILURE", i, a.id],
    m.Cancel: lambda i, a: ["CALL_OFF", i, a.id, a.attempt],
    m.SubscribeToWorkers: lambda i, a: ["FOLLOW", i, a.on],
    m.StartTimer: lambda i, a: ["SCHEDULE", i, a.label, a.delay],
}


class Host:
    """The instances that this process was given."""

    def __init__(self) -> None:
        self.instances: dict[int, Dispatcher] = {}

    def reply(self, line: bytes) -> bytes:
        try:
            batch = orjson.loads(line)
            now, inbox = float(batch["time"]), list(batch["inbox"])
            names = [(str(v[0]), int(v[1])) for v in inbox]
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise Malformed(f"malformed batch: {error}") from error
        decisions: list[list[Any]] = []
        for (name, i), values in zip(names, inbox, strict=True):
            if name == "CONFIGURE":
                self.instances[i] = self.start(values, now)
            elif name == "POWER_OFF":
                self.instances.pop(i, None)
            elif name in EVENTS and i in self.instances:
                try:
                    event = EVENTS[name](values)
                except (ValueError, TypeError, KeyError, IndexError) as error:
                    raise Malformed(f"malformed {name}: {error!r}") from error
                try:
                    for action in self.instances[i].handle(now, event):
                        decisions.append(ACTIONS[type(action)](i, action))
                except Exception as error:  # the day ends with this text
                    decisions.append(["DIE", i, f"{type(error).__name__}: {error}"])
        return orjson.dumps({"decisions": decisions})

    @staticmethod
    def start(values: list[Any], now: float) -> Dispatcher:
        try:
            return Dispatcher(settings_from(values[3]), int(values[2]), now)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError) as error:
            raise Malformed(f"malformed CONFIGURE: {error!r}") from error


def main() -> int:
    host = Host()
    for line in sys.stdin.buffer:
        try:
            answer = host.reply(line)
        except Malformed as error:
            print(f"bitternpath: {error}", file=sys.stderr)
            return 1
        sys.stdout.buffer.write(answer + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
