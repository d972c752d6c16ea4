"""A process that runs batches of tests: `python -m tests.parallel_runner.worker DESCRIPTOR`.

DESCRIPTOR is the number of the inherited socket to the plugin.
"""

from __future__ import annotations

import os
import sys
import traceback
import unittest
from multiprocessing.connection import Connection
from types import TracebackType
from typing import TypeAlias

from tests.parallel_runner.messages import Batch, BatchEnded, Outcome, Report, TestEnded, TestStarted

ExcInfo: TypeAlias = tuple[type[BaseException], BaseException, TracebackType] | tuple[None, None, None]


class ReportingResult(unittest.TestResult):
    """Sends each test's start and end to the plugin; keeps errors outside of tests for the batch's end."""

    def __init__(self, connection: Connection) -> None:
        super().__init__()
        self.unattributed_errors: list[str] = []
        self._connection = connection
        self._reports: list[Report] = []
        self._in_test = False

    def startTest(self, test: unittest.TestCase) -> None:
        super().startTest(test)
        self._in_test = True
        self._reports = []
        self._connection.send(TestStarted(test.id()))

    def stopTest(self, test: unittest.TestCase) -> None:
        super().stopTest(test)
        self._in_test = False
        self._connection.send(TestEnded(test.id(), tuple(self._reports)))

    def addSuccess(self, test: unittest.TestCase) -> None:
        self._reports.append(Report(Outcome.PASSED))

    def addError(self, test: unittest.TestCase, err: ExcInfo) -> None:
        super().addError(test, err)
        text = self.errors[-1][1]
        if self._in_test:
            self._reports.append(Report(Outcome.ERROR, text))
        else:  # a fixture of a class or module: `test` stands for it
            self.unattributed_errors.append(f"{test}\n{text}")

    def addFailure(self, test: unittest.TestCase, err: ExcInfo) -> None:
        super().addFailure(test, err)
        self._reports.append(Report(Outcome.FAILED, self.failures[-1][1]))

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: ExcInfo | None) -> None:
        if err is None or err[0] is None:
            return
        super().addSubTest(test, subtest, err)
        failed = issubclass(err[0], test.failureException)
        text = (self.failures if failed else self.errors)[-1][1]
        self._reports.append(Report(Outcome.FAILED if failed else Outcome.ERROR, f"{subtest}\n{text}"))

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:
        if self._in_test:
            self._reports.append(Report(Outcome.SKIPPED, reason))
        else:
            self.unattributed_errors.append(f"{test}: skipped as a whole, its tests were not run: {reason}")

    def addExpectedFailure(self, test: unittest.TestCase, err: ExcInfo) -> None:
        super().addExpectedFailure(test, err)
        self._reports.append(Report(Outcome.EXPECTED_FAILURE, self.expectedFailures[-1][1]))

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:
        self._reports.append(Report(Outcome.UNEXPECTED_SUCCESS))


def load(batch: Batch) -> tuple[unittest.TestSuite, list[str]]:
    """The batch's tests, and the errors of those that can't be loaded."""
    suite = unittest.TestSuite()
    errors: list[str] = []
    for test_id in batch.test_ids:
        try:
            suite.addTest(unittest.defaultTestLoader.loadTestsFromName(test_id))
        except Exception:  # whatever a module raises that is imported
            errors.append(f"{test_id} can't be loaded\n{traceback.format_exc()}")
    return suite, errors


def run_batch(batch: Batch, connection: Connection) -> None:
    """Loads the batch's tests by their ids, runs them and reports."""
    suite, load_errors = load(batch)
    result = ReportingResult(connection)
    suite.run(result)
    connection.send(BatchEnded((*load_errors, *result.unattributed_errors)))


def main(descriptor: int) -> None:
    """Runs batches until the plugin sends None or is gone."""
    os.set_inheritable(descriptor, False)  # not for the processes that tests start
    with Connection(descriptor) as connection:
        sys.path[:] = connection.recv()
        while (batch := connection.recv()) is not None:
            run_batch(batch, connection)


if __name__ == "__main__":
    main(int(sys.argv[1]))
