"""The plugin of nose2: hands batches of the loaded tests to worker processes and reports what they send.

Each test that nose2 has loaded is reported once, whatever becomes of its process. A test whose process ends,
or that reports nothing for `test_limit_s`, is an error; the tests of its batch that were not begun go to
another process.

Section `[parallel_runner]` of `unittest.cfg`:
    processes      how many; 0: three quarters of the cores: some tests have limits on the wall
                   clock, and start processes themselves
    test_limit_s   seconds that a test may take

A test class whose tests take long says how long the longest does in its attribute `longest_test_s` (seconds
on a core of its own): each of its tests is a batch of its own, and those of the longest classes begin first.
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
MAX_OUTPUT_TAIL_BYTES = 8_192  # what is shown of the output of a process that was lost
SHUTDOWN_TIMEOUT_S = 30.0  # a worker that was told to end: its threads and exit handlers may take this long
EXIT_TIMEOUT_S = 5.0  # between the end of a worker's connection and that of its process
IMPORT_FAILURE_PREFIXES = (
    "nose2.loader.",
    "unittest.loader.",
)  # tests that stand for modules

Case: TypeAlias = unittest.TestCase


class WorkerFailure(Exception):
    """A test's process ended or was ended; the text says how."""


class WorkerProcessTest(unittest.TestCase):
    """Stands in the report for a worker process as a whole, where it fails outside of any test."""

    def runTest(self) -> None:
        """Never run: only errors are reported on it."""


@dataclass
class PendingBatch:
    """Tests of a batch that have not ended, by id; in order."""

    cases: dict[str, Case]

    def message(self) -> Batch:
        return Batch(tuple(self.cases))


def flatten(suite: unittest.TestSuite | Case) -> Iterator[Case]:
    """The tests of a suite, in order."""
    if isinstance(suite, unittest.TestSuite):
        for member in suite:
            yield from flatten(member)
    else:
        yield suite


def longest_test_s(test: Case) -> float:
    """What the class of a test says of itself; 0 where it says nothing."""
    return float(getattr(type(test), "longest_test_s", 0.0))


def batches(tests: list[Case]) -> list[PendingBatch]:
    """A batch for each class, and for each test of the classes with long tests; those come first."""
    grouped: dict[tuple[type[Case], str], list[PendingBatch]] = {}
    for test in tests:
        group = grouped.setdefault((type(test), test.id() if longest_test_s(test) else ""), [])
        batch = next((batch for batch in group if test.id() not in batch.cases), None)
        if batch is None:  # the first, or a test that was loaded twice and so is run twice
            batch = PendingBatch({})
            group.append(batch)
        batch.cases[test.id()] = test
    pending = [batch for group in grouped.values() for batch in group]
    return sorted(pending, key=lambda batch: -max(map(longest_test_s, batch.cases.values())))  # stable


class Worker:
    """A worker process, its connection and the batch that it runs."""

    def __init__(self) -> None:
        with ExitStack() as on_error:
            self._output = on_error.enter_context(tempfile.TemporaryFile())
            ours, theirs = socket.socketpair()
            with theirs:
                self.connection = on_error.enter_context(Connection(ours.detach()))
                self._process = subprocess.Popen(
                    [sys.executable, "-m", WORKER_MODULE, str(theirs.fileno())],
                    stdin=subprocess.DEVNULL,
                    stdout=self._output,
                    stderr=subprocess.STDOUT,
                    pass_fds=[theirs.fileno()],
                    start_new_session=True,  # so that `kill` also ends what its tests have started
                )
                self.connection.send(tuple(sys.path))
            on_error.pop_all()
        self.batch = PendingBatch({})
        self.running: str | None = None
        self.last_message_at = time.monotonic()

    def start_batch(self, batch: PendingBatch) -> None:
        """Hands over a batch; a worker that is gone shows it by the end of its connection."""
        self.batch = batch
        self.last_message_at = time.monotonic()
        with suppress(OSError):
            self.connection.send(batch.message())

    def kill(self) -> str:
        """Ends the process and what its tests have started; says how it ended, with the end of its output."""
        self._kill_group()
        status = self._process.wait()
        self._output.seek(0, os.SEEK_END)
        self._output.seek(max(0, self._output.tell() - MAX_OUTPUT_TAIL_BYTES))
        tail = self._output.read().decode("utf-8", "replace")
        self.close()
        return f"its process ended with status {status}; the end of its output:\n{tail}"

    def shut_down(self) -> int:
        """Lets an idle process end by itself, kills it after `END_LIMIT_S`; its exit status."""
        with suppress(OSError):
            self.connection.send(None)
        try:
            self._process.wait(SHUTDOWN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._kill_group()
        return self._process.wait()

    def wait_for_exit(self) -> None:
        """Gives a process whose connection has ended the time to end, so that its exit status is its own."""
        with suppress(subprocess.TimeoutExpired):
            self._process.wait(EXIT_TIMEOUT_S)

    def close(self) -> None:
        """Ends the process if it still runs, and closes what belongs to it."""
        self._kill_group()
        self._process.wait()
        self.connection.close()
        self._output.close()

    def _kill_group(self) -> None:
        with suppress(ProcessLookupError):
            os.killpg(self._process.pid, signal.SIGKILL)


class BatchReport:
    """Tells nose2's result what workers send."""

    def __init__(self, result: PluggableTestResult) -> None:
        self._result = result
        self.count = 0

    def add_result(self, test: Case, reports: tuple[Report, ...]) -> None:
        """A test's outcomes; a test without any is an error."""
        self.count += 1
        self._result.startTest(test)
        for report in reports or (Report(Outcome.ERROR, "the test ended without an outcome\n"),):
            self._add_outcome(test, report)
        self._result.stopTest(test)

    def add_error(self, test: Case, text: str) -> None:
        self.add_result(test, (Report(Outcome.ERROR, text + "\n"),))

    def add_unattributed_error(self, text: str) -> None:
        """An error outside of any test; it doesn't count as a test."""
        self._add_outcome(WorkerProcessTest(), Report(Outcome.ERROR, text + "\n"))

    def _add_outcome(self, test: Case, report: Report) -> None:
        # nose2 shows text in a traceback's place as it is
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
                failure = test.failureException  # nose2 would count it and pass
                self._result.addFailure(test, (failure, failure(), "unexpected success\n"))


@dataclass
class Schedule:
    """The batches that wait, the workers that run one, and the report."""

    waiting: deque[PendingBatch]
    report: BatchReport
    processes: int
    test_limit_s: float
    workers: list[Worker] = field(default_factory=list)

    def run(self) -> None:
        """Returns when each test is reported; ends all workers."""
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
        """Waits for messages, at most until a test's time is up."""
        deadline = min(worker.last_message_at for worker in self.workers) + self.test_limit_s
        ready = wait([worker.connection for worker in self.workers], max(0.0, deadline - time.monotonic()))
        for worker in list(self.workers):
            if worker.connection in ready:
                self._receive(worker)
            elif time.monotonic() - worker.last_message_at >= self.test_limit_s:
                self._handle_lost_worker(worker, f"no news of it for {self.test_limit_s:g} s")

    def _receive(self, worker: Worker) -> None:
        try:
            message = worker.connection.recv()
        except (EOFError, OSError):
            worker.wait_for_exit()
            self._handle_lost_worker(worker, "the connection to its process ended")
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
        else:  # loaded by an id that isn't its own; the test that was meant is reported at the batch's end
            details = "\n".join(report.text for report in message.reports)
            self.report.add_unattributed_error(
                f"{message.test_id} is none of the tests of the batch\n{details}"
            )

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
        """The test that ran, or else the next, is an error; the others of the batch wait again."""
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
    """Replaces the way nose2 runs the loaded tests; `--serial` leaves it as it is."""

    configSection = "parallel_runner"

    def __init__(self) -> None:
        self._processes = self.config.as_int("processes", 0) or max(1, (os.cpu_count() or 1) * 3 // 4)
        self._test_limit_s = self.config.as_float("test_limit_s", 300.0)
        self._serial = False
        self.addFlag(self._set_serial, None, "serial", "Run the tests in this process, one after the other")

    def startTestRun(self, event: StartTestRunEvent) -> None:
        """Hook of nose2, before the tests are run."""
        if not self._serial:
            event.executeTests = self._run

    def _set_serial(self, _: object) -> None:
        self._serial = True

    def _run(self, suite: unittest.TestSuite, result: PluggableTestResult) -> None:
        cases = list(flatten(suite))
        import_failures = [case for case in cases if case.id().startswith(IMPORT_FAILURE_PREFIXES)]
        loaded = [case for case in cases if not case.id().startswith(IMPORT_FAILURE_PREFIXES)]
        for case in import_failures:
            case.run(result)  # reports why
        report = BatchReport(result)
        waiting = deque(batches(loaded))
        Schedule(waiting, report, self._processes, self._test_limit_s).run()
        if report.count != len(loaded):
            report.add_unattributed_error(f"{len(loaded)} tests loaded, {report.count} reported")
