"""Test case that suppresses log output."""

from __future__ import annotations

import unittest

import logbook


class QuietTestCase(unittest.TestCase):
    """Discards all log lines."""

    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
