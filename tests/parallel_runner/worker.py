"""Worker process that runs batches of tests: `python -m tests.parallel_runner.worker DESCRIPTOR`.

DESCRIPTOR is the file descriptor of the inherited socket to the plugin.
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
    """Sends the start and end of each test to the plugin; collects errors outside of tests."""

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
        else:  # a class or module fixture failed; `test` is its placeholder
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
            self.unattributed_errors.append(
                f"{test}: skipped by its fixture, its tests were not run: {reason}"
            )

    def addExpectedFailure(self, test: unittest.TestCase, err: ExcInfo) -> None:
        super().addExpectedFailure(test, err)
        self._reports.append(Report(Outcome.EXPECTED_FAILURE, self.expectedFailures[-1][1]))

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:
        self._reports.append(Report(Outcome.UNEXPECTED_SUCCESS))


def load(batch: Batch) -> tuple[unittest.TestSuite, list[str]]:
    """Load the tests of a batch; return them and the errors of those that can't be loaded."""
    suite = unittest.TestSuite()
    errors: list[str] = []
    for test_id in batch.test_ids:
        try:
            suite.addTest(unittest.defaultTestLoader.loadTestsFromName(test_id))
        except Exception:  # importing a module may raise anything
            errors.append(f"{test_id} can't be loaded\n{traceback.format_exc()}")
    return suite, errors


def run_batch(batch: Batch, connection: Connection) -> None:
    """Load and run the tests of a batch and send their outcomes."""
    suite, load_errors = load(batch)
    result = ReportingResult(connection)
    suite.run(result)
    connection.send(BatchEnded((*load_errors, *result.unattributed_errors)))


def main(descriptor: int) -> None:
    """Run batches until the plugin sends None or closes the connection."""
    os.set_inheritable(descriptor, False)  # processes started by tests must not inherit it
    with Connection(descriptor) as connection:
        sys.path[:] = connection.recv()
        while (batch := connection.recv()) is not None:
            run_batch(batch, connection)


if __name__ == "__main__":
    main(int(sys.argv[1]))
