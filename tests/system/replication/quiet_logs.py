"""A test case that doesn't print logged errors."""

from __future__ import annotations

import unittest

import logbook


class QuietLogsTestCase(unittest.TestCase):
    """Discards log records, such as the expected errors of state machines."""

    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
