"""A test case in which expected errors are not printed."""

from __future__ import annotations

import unittest

import logbook


class QuietLogsTestCase(unittest.TestCase):
    """Expected errors of state machines are not printed."""

    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
