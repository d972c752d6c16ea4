"""nose2 plugin that distributes the loaded tests over worker processes and reports their outcomes.

Each loaded test is reported exactly once, even if its process dies. A test whose process exits, or sends no
message for `test_limit_s`, is an error; the tests of its batch that have not started run in another process.

Section `[parallel_runner]` of `unittest.cfg`:
    processes      number of worker processes; 0 means three quarters of the cores, since some tests
                   have wall-clock limits and start processes themselves
    test_limit_s   time limit of a test in seconds

A test class with slow tests declares the duration of its slowest test, in seconds on an otherwise idle core,
as `longest_test_s`. Each of its tests is then a separate batch, and the slowest classes start first.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from typing import TypeAlias

from nose2.events import Plugin, StartTestRunEvent
from nose2.result import PluggableTestResult

from tests.parallel_runner.messages import Batch, BatchEnded, Outcome, Report, TestEnded, TestStarted

WORKER_MODULE = "tests.parallel_runner.worker"
MAX_OUTPUT_TAIL_BYTES = 8_192  # output of a failed worker shown in the report
SHUTDOWN_TIMEOUT_S = 30.0  # for a worker's threads and exit handlers after the shutdown message
EXIT_TIMEOUT_S = 5.0  # for the process to exit after its connection was closed
# Ids of the placeholder tests that the loaders create for modules that failed to import.
IMPORT_FAILURE_PREFIXES = ("nose2.loader.", "unittest.loader.")

Case: TypeAlias = unittest.TestCase


class WorkerFailure(Exception):
    """Exception type under which errors reported by or about a worker process are shown."""


class WorkerProcessTest(unittest.TestCase):
    """Placeholder in the report for a worker process that failed outside of any test."""

    def runTest(self) -> None:
        """Never called; only errors are reported for this class."""


@dataclass
class PendingBatch:
    """Tests of a batch that have not ended, by id, in the order of execution."""

    cases: dict[str, Case]

    def message(self) -> Batch:
        return Batch(tuple(self.cases))


def flatten(suite: unittest.TestSuite | Case) -> Iterator[Case]:
    """Yield the tests of a suite in order."""
    if isinstance(suite, unittest.TestSuite):
        for member in suite:
            yield from flatten(member)
    else:
        yield suite


def longest_test_s(test: Case) -> float:
    """Return the `longest_test_s` of a test's class, 0 if it declares none."""
    return float(getattr(type(test), "longest_test_s", 0.0))


def batches(tests: list[Case]) -> list[PendingBatch]:
    """Group tests into one batch per class, or per test for classes with slow tests; slowest first."""
    grouped: dict[tuple[type[Case], str], list[PendingBatch]] = {}
    for test in tests:
        group = grouped.setdefault((type(test), test.id() if longest_test_s(test) else ""), [])
        batch = next((batch for batch in group if test.id() not in batch.cases), None)
        if batch is None:  # first test of the group, or a test that was loaded twice and therefore runs twice
            batch = PendingBatch({})
            group.append(batch)
        batch.cases[test.id()] = test
    pending = [batch for group in grouped.values() for batch in group]
    return sorted(pending, key=lambda batch: -max(map(longest_test_s, batch.cases.values())))  # stable


class Worker:
    """A worker process with its connection and its current batch."""

    def __init__(self) -> None:
        with ExitStack() as on_error:
            self._output = on_error.enter_context(tempfile.TemporaryFile())
            parent_socket, child_socket = socket.socketpair()
            with child_socket:
                self.connection = on_error.enter_context(Connection(parent_socket.detach()))
                self._process = subprocess.Popen(
                    [sys.executable, "-m", WORKER_MODULE, str(child_socket.fileno())],
                    stdin=subprocess.DEVNULL,
                    stdout=self._output,
                    stderr=subprocess.STDOUT,
                    pass_fds=[child_socket.fileno()],
                    start_new_session=True,  # lets `kill` also kill the processes that tests started
                )
                self.connection.send(tuple(sys.path))
            on_error.pop_all()
        self.batch = PendingBatch({})
        self.running: str | None = None
        self.last_message_at = time.monotonic()

    def start_batch(self, batch: PendingBatch) -> None:
        """Send a batch. A dead worker is detected later, by the end of its connection."""
        self.batch = batch
        self.last_message_at = time.monotonic()
        with suppress(OSError):
            self.connection.send(batch.message())

    def kill(self) -> str:
        """Kill the process and its children; return its exit status and the end of its output as a text."""
        self._kill_group()
        status = self._process.wait()
        self._output.seek(0, os.SEEK_END)
        self._output.seek(max(0, self._output.tell() - MAX_OUTPUT_TAIL_BYTES))
        tail = self._output.read().decode("utf-8", "replace")
        self.close()
        return f"its process ended with status {status}; the end of its output:\n{tail}"

    def shut_down(self) -> int:
        """Shut down an idle process, kill it after `SHUTDOWN_TIMEOUT_S`, and return its exit status."""
        with suppress(OSError):
            self.connection.send(None)
        try:
            self._process.wait(SHUTDOWN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._kill_group()
        return self._process.wait()

    def wait_for_exit(self) -> None:
        """Wait for a process whose connection was closed, so that its exit status isn't that of a kill."""
        with suppress(subprocess.TimeoutExpired):
            self._process.wait(EXIT_TIMEOUT_S)

    def close(self) -> None:
        """Kill the process group and close the connection and the output file."""
        self._kill_group()
        self._process.wait()
        self.connection.close()
        self._output.close()

    def _kill_group(self) -> None:
        with suppress(ProcessLookupError):
            os.killpg(self._process.pid, signal.SIGKILL)


class BatchReport:
    """Passes the outcomes sent by workers to nose2's result."""

    def __init__(self, result: PluggableTestResult) -> None:
        self._result = result
        self.count = 0

    def add_result(self, test: Case, reports: tuple[Report, ...]) -> None:
        """Report the outcomes of a test; a test without any is an error."""
        self.count += 1
        self._result.startTest(test)
        for report in reports or (Report(Outcome.ERROR, "the test ended without an outcome\n"),):
            self._add_outcome(test, report)
        self._result.stopTest(test)

    def add_error(self, test: Case, text: str) -> None:
        self.add_result(test, (Report(Outcome.ERROR, text + "\n"),))

    def add_unattributed_error(self, text: str) -> None:
        """Report an error that belongs to no test; it isn't counted as a test."""
        self._add_outcome(WorkerProcessTest(), Report(Outcome.ERROR, text + "\n"))

    def _add_outcome(self, test: Case, report: Report) -> None:
        # nose2 prints a string in place of a traceback unchanged.
        match report.outcome:
            case Outcome.PASSED:
                self._result.addSuccess(test)
            case Outcome.FAILED:
                failure = test.failureException
                self._result.addFailure(test, (failure, failure(), report.text))
            case Outcome.ERROR:
                self._result.addError(test, (WorkerFailure, WorkerFailure(), report.text))
            case Outcome.SKIPPED:
                self._result.addSkip(test, report.text)
            case Outcome.EXPECTED_FAILURE:
                failure = test.failureException
                self._result.addExpectedFailure(test, (failure, failure(), report.text))
            case Outcome.UNEXPECTED_SUCCESS:
                failure = test.failureException  # nose2 would count it and let the run pass
                self._result.addFailure(test, (failure, failure(), "unexpected success\n"))


@dataclass
class Schedule:
    """Assigns waiting batches to workers and collects their reports."""

    waiting: deque[PendingBatch]
    report: BatchReport
    processes: int
    test_limit_s: float
    workers: list[Worker] = field(default_factory=list)

    def run(self) -> None:
        """Run until each test is reported; closes all workers."""
        try:
            while self.waiting or self.workers:
                while self.waiting and len(self.workers) < self.processes:
                    self._start(Worker())
                self._process_messages()
        finally:
            for worker in self.workers:
                worker.close()

    def _start(self, worker: Worker) -> None:
        self.workers.append(worker)
        worker.start_batch(self.waiting.popleft())

    def _process_messages(self) -> None:
        """Wait for messages, at most until the earliest test limit expires, and process them."""
        deadline = min(worker.last_message_at for worker in self.workers) + self.test_limit_s
        ready = wait([worker.connection for worker in self.workers], max(0.0, deadline - time.monotonic()))
        for worker in list(self.workers):
            if worker.connection in ready:
                self._receive(worker)
            elif time.monotonic() - worker.last_message_at >= self.test_limit_s:
                self._handle_lost_worker(worker, f"no message from it for {self.test_limit_s:g} s")

    def _receive(self, worker: Worker) -> None:
        try:
            message = worker.connection.recv()
        except (EOFError, OSError):
            worker.wait_for_exit()
            self._handle_lost_worker(worker, "the connection to its process was closed")
            return
        worker.last_message_at = time.monotonic()
        match message:
            case TestStarted():
                worker.running = message.test_id
            case TestEnded():
                worker.running = None
                self._test_ended(worker, message)
            case BatchEnded():
                self._batch_ended(worker, message)

    def _test_ended(self, worker: Worker, message: TestEnded) -> None:
        case = worker.batch.cases.pop(message.test_id, None)
        if case is not None:
            self.report.add_result(case, message.reports)
        else:  # the id loaded a test with another id; the requested test is reported when the batch ends
            details = "\n".join(report.text for report in message.reports)
            self.report.add_unattributed_error(f"{message.test_id} does not belong to the batch\n{details}")

    def _batch_ended(self, worker: Worker, message: BatchEnded) -> None:
        for error in message.errors:
            self.report.add_unattributed_error(error)
        for case in worker.batch.cases.values():
            self.report.add_error(case, "not run by its process: see the errors of its class or module")
        worker.batch = PendingBatch({})
        if self.waiting:
            worker.start_batch(self.waiting.popleft())
            return
        self.workers.remove(worker)
        status = worker.shut_down()
        if status != 0:
            self.report.add_unattributed_error(f"all tests done, but {worker.kill()}")
        worker.close()

    def _handle_lost_worker(self, worker: Worker, reason: str) -> None:
        """Report the running or else the next test as an error and requeue the others of the batch."""
        self.workers.remove(worker)
        exit_description = worker.kill()
        cases = worker.batch.cases
        failed_test_id = worker.running if worker.running in cases else next(iter(cases), None)
        if failed_test_id is None:
            self.report.add_unattributed_error(f"after a batch's last test: {reason}; {exit_description}")
            return
        self.report.add_error(cases.pop(failed_test_id), f"{reason}; {exit_description}")
        if cases:
            self.waiting.appendleft(PendingBatch(cases))


class ParallelRunner(Plugin):
    """Runs the loaded tests in worker processes; `--serial` disables it."""

    configSection = "parallel_runner"

    def __init__(self) -> None:
        self._processes = self.config.as_int("processes", 0) or max(1, (os.cpu_count() or 1) * 3 // 4)
        self._test_limit_s = self.config.as_float("test_limit_s", 300.0)
        self._serial = False
        self.addFlag(self._set_serial, None, "serial", "Run the tests sequentially in this process")

    def startTestRun(self, event: StartTestRunEvent) -> None:
        """Replace the executor of the tests; a hook that nose2 calls before the run."""
        if not self._serial:
            event.executeTests = self._run

    def _set_serial(self, _: object) -> None:
        self._serial = True

    def _run(self, suite: unittest.TestSuite, result: PluggableTestResult) -> None:
        cases = list(flatten(suite))
        import_failures = [case for case in cases if case.id().startswith(IMPORT_FAILURE_PREFIXES)]
        loaded = [case for case in cases if not case.id().startswith(IMPORT_FAILURE_PREFIXES)]
        for case in import_failures:
            case.run(result)  # reports the import error
        report = BatchReport(result)
        waiting = deque(batches(loaded))
        Schedule(waiting, report, self._processes, self._test_limit_s).run()
        if report.count != len(loaded):
            report.add_unattributed_error(f"{len(loaded)} tests loaded, {report.count} reported")
