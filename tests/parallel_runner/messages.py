"""Messages between the plugin and a worker process: pickled values over a socket pair.

The plugin sends its `sys.path`, then any number of `Batch` messages, and None to shut the worker down. The
worker sends `TestStarted` and `TestEnded` for each test of a batch, then `BatchEnded`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Outcome(enum.Enum):
    """Outcome of a test; a test with subtests may report several."""

    PASSED = enum.auto()
    FAILED = enum.auto()
    ERROR = enum.auto()
    SKIPPED = enum.auto()
    EXPECTED_FAILURE = enum.auto()
    UNEXPECTED_SUCCESS = enum.auto()


@dataclass(frozen=True)
class Report:
    """An outcome with its traceback or skip reason; the text is empty for a passed test."""

    outcome: Outcome
    text: str = ""


@dataclass(frozen=True)
class Batch:
    """Ids of tests to run sequentially, as `package.module.Class.method`."""

    test_ids: tuple[str, ...]


@dataclass(frozen=True)
class TestStarted:
    """A test has started."""

    test_id: str


@dataclass(frozen=True)
class TestEnded:
    """A test has ended; `reports` is empty if it reported no outcome, which the plugin treats as an error."""

    test_id: str
    reports: tuple[Report, ...]


@dataclass(frozen=True)
class BatchEnded:
    """A batch has ended; `errors` are those outside of tests: imports, class and module fixtures."""

    errors: tuple[str, ...]
