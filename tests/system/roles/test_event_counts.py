"""Counts of log events by cause, and how `bitternpath system show --events` prints them."""

from __future__ import annotations

import io
import unittest
from typing import Any, cast

import logbook

from bitternpath.cli.system_show import StatusSurvey, report
from bitternpath.roles.event_counts import MAX_KEYS, OTHER_CAUSES, EventCounts, process_event_counts
from bitternpath.roles.logs import _LogHandler
from bitternpath.roles.status import event_counts
from bitternpath.transport.operator_messages import EventCount, EventCountsRequest, EventCountsResponse


class EventCountsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts = EventCounts()

    def add(self, *lines: str) -> list[EventCount]:
        for line in lines:
            self.counts.add(line)
        return list(self.counts.counts())

    def test_by_event_and_cause(self) -> None:
        counts = self.add(
            "event=ownership_lost group=queue-1 cause='quorum lost'",
            "event=ownership_lost group=queue-2 cause='quorum lost'",
            "event=ownership_lost group=queue-2 cause='higher term'",
            "event=listening node=a",
            "event=disk_quarantined reason=checksum file=x",
        )
        expected = [
            EventCount("disk_quarantined", "checksum", 1),
            EventCount("listening", "", 1),
            EventCount("ownership_lost", "higher term", 1),
            EventCount("ownership_lost", "quorum lost", 2),
        ]
        self.assertEqual(counts, expected)

    def test_a_line_without_an_event_isnt_counted(self) -> None:
        self.assertEqual(self.add("anything", " event=late"), [])

    def test_many_texts_of_errors_are_counted_together(self) -> None:
        counts = self.add(*(f"event=failed error='number {number}'" for number in range(2 * MAX_KEYS)))
        self.assertEqual(len(counts), MAX_KEYS + 1)
        self.assertEqual({each.cause: each.count for each in counts}[OTHER_CAUSES], MAX_KEYS)

    def test_what_is_logged_is_counted_and_sent(self) -> None:
        def count() -> int:
            answer = event_counts(EventCountsRequest(7))
            self.assertEqual(answer.number, 7)
            return next((each.count for each in answer.counts if each.event == "counted_in_test"), 0)

        before = count()
        stream = io.StringIO()
        with _LogHandler(stream, level="INFO").applicationbound():
            logbook.Logger("test").info("event=counted_in_test n={}", 1)
            logbook.Logger("test").debug("event=counted_in_test n={}", 2)
        self.assertEqual((count() - before, stream.getvalue().count("event=counted_in_test")), (1, 1))
        self.assertIsInstance(process_event_counts, EventCounts)


class EventReportTest(unittest.TestCase):
    def survey(self, events: dict[str, EventCountsResponse]) -> StatusSurvey:
        survey = cast(Any, StatusSurvey.__new__(StatusSurvey))
        survey.answers, survey.known, survey.events = {}, {}, events
        return cast(StatusSurvey, survey)

    def test_counts_of_all_nodes_are_in_one_line(self) -> None:
        events = {
            "b": EventCountsResponse(1, (EventCount("ownership_lost", "closed", 2),)),
            "a": EventCountsResponse(
                1, (EventCount("ownership_lost", "closed", 1), EventCount("listening", "", 1))
            ),
        }
        expected = [
            "log events since each process started",
            "  listening: a=1",
            "  ownership_lost cause='closed': a=1 b=2",
        ]
        self.assertEqual(report(self.survey(events))[-3:], expected)

    def test_without_counts_nothing_is_added(self) -> None:
        self.assertTrue(report(self.survey({}))[-1].startswith("total queued="))


if __name__ == "__main__":
    unittest.main()
