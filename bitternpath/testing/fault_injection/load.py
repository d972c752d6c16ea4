"""`bitternpath system load`: measures the system under load in the same environment, without faults."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.testing.fault_injection.checker import check
from bitternpath.testing.fault_injection.plan import Plan, Role, make_plan
from bitternpath.testing.fault_injection.processes import Usage
from bitternpath.testing.fault_injection.statistics import latency, summary_lines, violation_lines
from bitternpath.testing.fault_injection.world import SystemNotReadyError, World, monotonic_reactor

MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class RoleStatistics:
    """Statistics of all processes of a role during the traffic, without the time after it."""

    role: str
    processes: int
    processor_ms_a_message: float
    cores_a_process: float
    data_bytes_start: int
    data_bytes_end: int
    written_bytes_a_message: float
    peak_memory_mb_start: float  # maximum over the processes
    peak_memory_mb_end: float


@dataclass(frozen=True, slots=True)
class LoadStatistics:
    """Results of one measurement."""

    rate_wanted: float
    seconds: float
    edges: int
    storage: int
    accepted: int
    refused_or_unclear: int
    accepted_a_second: float
    runs_a_second: float
    latency_p50_ms: float
    latency_p99_ms: float
    latency_most_ms: float
    rehearsal_cores: float  # processor use of this tool; a value near 1 means that it is the bottleneck
    violations: int
    roles: tuple[RoleStatistics, ...]


@dataclass(frozen=True, slots=True)
class LoadParameters:
    """Messages per second, duration in seconds, nodes of each role, and the seed of the traffic."""

    rate: float
    seconds: float
    edges: int
    storage: int
    seed: int


def run_load(load: LoadParameters, file: Path | None) -> int:
    """Measure and return the exit code: 1 if a rule was violated or the system did not become ready."""
    plan = make_plan(load.rate, load.seconds, load.edges, load.storage, load.seed)
    with tempfile.TemporaryDirectory(prefix="bitternpath-load-") as folder:
        return _Load(plan, Path(folder), file).run()


class _Load:
    """One measurement."""

    def __init__(self, plan: Plan, folder: Path, file: Path | None) -> None:
        self._reactor = monotonic_reactor()
        self._file = file
        self._world = World(
            self._reactor, plan, folder, lambda line: print(line, file=sys.stderr, flush=True)
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
        Deferred.fromCoroutine(self._measure()).addErrback(self._failed).addBoth(self._end)

    async def _measure(self) -> None:
        world = self._world
        await world.start()
        before, started_at, tool_cpu = self._usages(), world.now(), time.process_time()
        await world.traffic()
        tool_cpu = (time.process_time() - tool_cpu) / (world.now() - started_at)
        after, duration_s = self._usages(), world.now() - started_at
        successes = sum(answer.status == 200 for answer in world.history.answers)
        await world.finish()
        violations = check(world.history, world.parameters)
        roles = tuple(self._role_statistics(role, before, after, duration_s) for role in Role)
        statistics = self._statistics(duration_s, successes, tool_cpu, len(violations), roles)
        lines = summary_lines(world.history, world.parameters) + violation_lines(world.history, violations)
        print("\n".join([world.cpu_wait_line(), *lines, *report_lines(statistics)]), flush=True)
        if self._file is not None:
            self._file.write_text(json.dumps(asdict(statistics), indent=1) + "\n")
        self._exit_code = 1 if violations or world.errors else 0
        for error in world.errors:
            print(f"error in the measurement itself, the result is invalid:\n{error}")

    def _usages(self) -> dict[str, Usage]:
        return {name: process.usage() for name, process in self._world.processes.items()}

    def _statistics(
        self,
        duration_s: float,
        successes: int,
        tool_cpu: float,
        violations: int,
        roles: tuple[RoleStatistics, ...],
    ) -> LoadStatistics:
        history, plan = self._world.history, self._world.plan
        times = latency(history.sends.values())
        accepted = sum(1 for _ in history.accepted())
        return LoadStatistics(
            plan.rate,
            duration_s,
            len(plan.edges),
            len(plan.machines) - len(plan.edges),
            accepted,
            len(history.sends) - accepted,
            accepted / duration_s,
            successes / duration_s,
            times.p50,
            times.p99,
            times.maximum,
            tool_cpu,
            violations,
            roles,
        )

    def _role_statistics(
        self, role: Role, before: dict[str, Usage], after: dict[str, Usage], duration_s: float
    ) -> RoleStatistics:
        names = [machine.name for machine in self._world.plan.machines if machine.role is role]
        accepted = max(sum(1 for _ in self._world.history.accepted()), 1)
        processor_s = sum(after[name].processor_s - before[name].processor_s for name in names)
        written = sum(after[name].written_bytes - before[name].written_bytes for name in names)
        return RoleStatistics(
            role.value,
            len(names),
            processor_s * MILLISECONDS / accepted,
            processor_s / duration_s / len(names),
            sum(before[name].data_bytes for name in names),
            sum(after[name].data_bytes for name in names),
            written / accepted,
            max(before[name].peak_memory_mb for name in names),
            max(after[name].peak_memory_mb for name in names),
        )

    def _failed(self, failure: Failure) -> None:
        if isinstance(failure.value, SystemNotReadyError):
            print(f"the system did not become ready: {failure.value}", file=sys.stderr)
        else:
            print(failure.getTraceback(), file=sys.stderr)

    def _end(self, _: object) -> None:
        self._world.stop()
        self._reactor.callLater(0.1, self._reactor.stop)


def report_lines(statistics: LoadStatistics) -> list[str]:
    """Return the results as lines of text."""
    lines = [
        f"rate {statistics.rate_wanted:g}/s requested, {statistics.accepted_a_second:.1f}/s accepted"
        f" ({statistics.accepted}; {statistics.refused_or_unclear} attempts not),"
        f" {statistics.runs_a_second:.1f} runs/s,"
        f" 202 p50 {statistics.latency_p50_ms:.1f} p99 {statistics.latency_p99_ms:.1f}"
        f" maximum {statistics.latency_most_ms:.1f} ms, this tool {statistics.rehearsal_cores:.2f} cores,"
        f" {statistics.violations} rule violations"
    ]
    for role in statistics.roles:
        lines.append(
            f"{role.role:8s} {role.processes} processes: {role.processor_ms_a_message:.2f} ms of processor"
            f" time per message, {role.cores_a_process:.2f} cores each, files {role.data_bytes_start} ->"
            f" {role.data_bytes_end} bytes, written {role.written_bytes_a_message:.0f} bytes per message,"
            f" peak memory {role.peak_memory_mb_start:.0f} -> {role.peak_memory_mb_end:.0f} MB"
        )
    return lines
