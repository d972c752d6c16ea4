"""What the plugin and a worker process send each other: pickled values over a socket pair.

To the worker: the plugin's `sys.path`, then `Batch`es, and None to end. From the worker: `TestStarted` and
`TestEnded` for each test of a batch, then `BatchEnded`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Outcome(enum.Enum):
    """One thing that a test reported to its result; a test with subtests may report several."""

    PASSED = enum.auto()
    FAILED = enum.auto()
    ERROR = enum.auto()
    SKIPPED = enum.auto()
    EXPECTED_FAILURE = enum.auto()
    UNEXPECTED_SUCCESS = enum.auto()


@dataclass(frozen=True)
class Report:
    """An outcome and its text: a traceback, or the reason for a skip; empty for a pass."""

    outcome: Outcome
    text: str = ""


@dataclass(frozen=True)
class Batch:
    """Tests to be run one after the other, by their ids (`package.module.Class.method`)."""

    test_ids: tuple[str, ...]


@dataclass(frozen=True)
class TestStarted:
    """The worker begins a test."""

    test_id: str


@dataclass(frozen=True)
class TestEnded:
    """A test has ended; `reports` is empty where it reported nothing, which no sound test does."""

    test_id: str
    reports: tuple[Report, ...]


@dataclass(frozen=True)
class BatchEnded:
    """The batch has ended; `errors` are those outside of a test: imports, fixtures of classes and modules."""

    errors: tuple[str, ...]
