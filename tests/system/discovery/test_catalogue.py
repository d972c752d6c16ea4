"""The catalogue of workers on an edge node, in virtual time."""

from __future__ import annotations

import unittest
from typing import Any

from bitternpath.discovery.catalogue import Catalogue
from bitternpath.transport.feed_messages import CatalogueUpdate
from tests.system.dispatch.delivery_case import entry


class CatalogueTest(unittest.TestCase):
    """Updates of the catalogue (RULES, DRAIN)."""

    def setUp(self) -> None:
        self.changes: list[tuple[list[str], list[str]]] = []
        self.catalogue = Catalogue(
            lambda entries, removed: self.changes.append(([each.instance for each in entries], removed))
        )

    def update(self, now: float, serial: int, entries: Any, epoch: int = 1, age_ms: int = 100) -> None:
        self.catalogue.update(now, CatalogueUpdate(epoch, serial, age_ms, entries))

    def test_a_draining_or_missing_worker_is_removed(self) -> None:
        self.update(1.0, 1, (entry(1), entry(2), entry(3)))
        self.update(2.0, 2, (entry(1), entry(2, draining=True)))
        self.assertEqual(self.changes[-1], (["i1"], ["i2", "i3"]))

    def test_age_counts_from_the_start_of_the_reading(self) -> None:
        self.update(1.0, 1, (entry(1),), age_ms=400)
        self.assertAlmostEqual(self.catalogue.age(1.5), 0.9)
        self.update(2.0, 1, None, age_ms=100)
        self.assertAlmostEqual(self.catalogue.age(2.0), 0.1)

    def test_another_reading_without_entries_confirms_nothing(self) -> None:
        self.update(1.0, 1, (entry(1),))
        self.update(9.0, 2, None)
        self.assertGreater(self.catalogue.age(9.0), 5.0)

    def test_an_older_reading_changes_nothing(self) -> None:
        self.update(5.0, 4, (entry(1),), epoch=2)
        self.update(6.0, 9, (entry(2),), epoch=1)
        self.catalogue.replace(3.0, (entry(3),))
        self.assertEqual(len(self.changes), 1)
