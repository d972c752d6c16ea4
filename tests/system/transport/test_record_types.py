"""The type unions of records match the records that links carry."""

from __future__ import annotations

import unittest
from typing import get_args

from bitternpath.transport.messages import RECORDS, RESPONSE_RECORDS, Record, Response


class RecordTypesTest(unittest.TestCase):
    def test_the_unions_are_the_records_in_their_order(self) -> None:
        self.assertEqual(get_args(Record), tuple(RECORDS._numbers))
        self.assertEqual(set(get_args(Response)), RESPONSE_RECORDS)

    def test_every_response_has_the_number_of_its_request(self) -> None:
        for record in RESPONSE_RECORDS:
            self.assertIn("number", record.__struct_fields__)


if __name__ == "__main__":
    unittest.main()
