"""`bitternpath system demo`: the whole system on loopback, with faults, checked against the rules."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bitternpath.testing.fault_injection.checker import check
from bitternpath.testing.fault_injection.fault_schedule import FaultSchedule
from bitternpath.testing.fault_injection.owner_poller import ConfigurationOwnerPoller
from bitternpath.testing.fault_injection.plan import Plan, make_plan
from bitternpath.testing.fault_injection.statistics import slow_start_lines, summary_lines, violation_lines
from bitternpath.testing.fault_injection.world import SystemNotReadyError, World, monotonic_reactor

EDGES, STORAGE = 4, 3
POLL_INTERVAL_S = 0.25


def print_line(line: str) -> None:
    """Print a line and flush it."""
    print(line, flush=True)


def run_demo(seconds: float, rate: float, seed: int, faults: bool, keep: Path | None) -> int:
    """Run the demo and return the exit code: 0 if all rules were kept, 1 if one was violated or it failed."""
    plan = make_plan(rate, seconds, EDGES, STORAGE, seed)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return _Demo(plan, keep, faults).run()
    with tempfile.TemporaryDirectory(prefix="bitternpath-demo-") as folder:
        return _Demo(plan, Path(folder), faults).run()


class _Demo:
    """One run, and the check of its history."""

    def __init__(self, plan: Plan, folder: Path, faults: bool) -> None:
        self._reactor = monotonic_reactor()
        self._faults = faults
        self._world = World(self._reactor, plan, folder, print_line)
        self._owner_poller = ConfigurationOwnerPoller(self._reactor, plan.edges)
        self._fault_schedule = FaultSchedule(
            self._world.context,
            plan,
            self._world.processes,
            self._owner_poller,
            self._print_fault,
        )
        self._exit_code = 1

    def run(self) -> int:
        """Run until the results are printed, or until Ctrl-C; return the exit code."""
        self._reactor.callWhenRunning(self._begin)
        try:
            self._reactor.run()
        finally:
            self._world.stop()
        return self._exit_code

    def _begin(self) -> None:
        Deferred.fromCoroutine(self._run_stages()).addErrback(self._failed).addBoth(self._end)

    async def _run_stages(self) -> None:
        world = self._world
        await world.start()
        self._owner_poller.start()
        world.operator.run(world.now() + world.plan.seconds, world.failed)
        if self._faults:
            self._fault_schedule.run(world.failed)
        await world.traffic()
        while self._fault_schedule.pending or world.operator.busy:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        await world.finish()
        self._report_results()

    def _report_results(self) -> None:
        world = self._world
        violations = check(world.history, world.parameters)
        lines = [world.cpu_wait_line(), *summary_lines(world.history, world.parameters)]
        lines += slow_start_lines(world.history)
        for line in lines + violation_lines(world.history, violations):
            print_line(line)
        unexpected_exits = {
            name: process.unexpected_exit_codes
            for name, process in world.processes.items()
            if process.unexpected_exit_codes
        }
        for name, codes in unexpected_exits.items():
            print_line(f"FAULT {name} exited unexpectedly, exit codes {codes}; the end of its log:")
            print_line("\n".join(world.processes[name].log.read_text(errors="replace").splitlines()[-20:]))
        for error in world.errors:
            print_line(f"error in the test environment itself, the result is invalid:\n{error}")
        if not violations and not unexpected_exits and not world.errors:
            print_line("rules kept")
            self._exit_code = 0

    def _print_fault(self, line: str) -> None:
        print_line(f"        {self._world.now():6.2f} s  {line}")

    def _failed(self, failure: Failure) -> None:
        if isinstance(failure.value, SystemNotReadyError):
            print_line(f"the system did not become ready: {failure.value}")
            for process in self._world.processes.values():
                print_line("\n".join(process.log.read_text(errors="replace").splitlines()[-3:]))
        else:
            print(failure.getTraceback(), file=sys.stderr)

    def _end(self, _: object) -> None:
        self._owner_poller.stop()
        self._world.stop()
        self._reactor.callLater(POLL_INTERVAL_S, self._reactor.stop)
