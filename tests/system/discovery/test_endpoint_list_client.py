"""Reading the endpoint list from a server on loopback (PROTOCOL, "Service discovery")."""

from __future__ import annotations

import json
import unittest
from typing import Any, ClassVar
from unittest.mock import patch
from urllib.parse import parse_qs, urlsplit

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from bitternpath.discovery import endpoint_list_client
from bitternpath.discovery.endpoint_list_client import (
    EndpointList,
    EndpointListClient,
    EndpointListUnavailableError,
)
from bitternpath.transport.feed_messages import CatalogueEntry
from tests.system import Loopback

READY = {"id": "i2", "service": "mail", "address": "10.0.0.2:80", "zone": "z", "slots": 3, "state": "ready"}
BARE = {"id": "i1", "service": "mail", "address": "10.0.0.1:80", "cold_remaining_ms": 5}


class Platform(Request):
    """Responds with one page per token."""

    pages: ClassVar[dict[str, tuple[int, bytes]]] = {}

    def process(self) -> None:
        token = parse_qs(urlsplit(self.uri.decode()).query).get("page_token", [""])[0]
        status, body = self.pages[token]
        self.setResponseCode(status)
        self.write(body)
        self.finish()


class Channel(HTTPChannel):
    requestFactory = Platform


class EndpointListClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        factory: Any = HTTPFactory(reactor=self.loopback.reactor)
        factory.protocol = Channel
        self.client = EndpointListClient(self.loopback.reactor, self.loopback.listen(factory))

    def read(self, **pages: object) -> Any:
        """The result of a reading, a list or a failure; `first` is the page without a token."""
        for token, page in pages.items():
            answer = page if isinstance(page, tuple) else (200, json.dumps(page).encode())
            Platform.pages["" if token == "first" else token] = answer
        results: list[Any] = []
        self.client.read().addBoth(results.append)
        self.loopback.until(lambda: bool(results))
        return results[0]

    def assert_unavailable(self, reason: str, **pages: object) -> None:
        result = self.read(**pages)
        self.assertIsInstance(result.value, EndpointListUnavailableError)
        self.assertIn(reason, str(result.value))

    def test_all_pages_are_one_list_ordered_by_instance(self) -> None:
        result = self.read(first={"instances": [READY], "next_page_token": "p2"}, p2={"instances": [BARE]})
        self.assertIsInstance(result, EndpointList)
        self.assertEqual(
            result.entries,
            (
                CatalogueEntry("i1", "mail", "10.0.0.1:80", "", 1, draining=True, warming_up=True),
                CatalogueEntry("i2", "mail", "10.0.0.2:80", "z", 3, draining=False, warming_up=False),
            ),
        )

    def test_a_page_without_instances_is_an_empty_list(self) -> None:
        self.assertEqual(self.read(first={}).entries, ())

    def test_an_answer_that_is_no_list_makes_it_unavailable(self) -> None:
        self.assert_unavailable("status 503", first=(503, b"{}"))
        self.assert_unavailable("not JSON", first=(200, b"{"))
        self.assert_unavailable("not an object", first=[])

    def test_pages_that_lead_in_a_circle_end(self) -> None:
        with patch.object(endpoint_list_client, "MAX_PAGES", 3):
            self.assert_unavailable(
                "more than 3 pages", first={"next_page_token": "p"}, p={"next_page_token": "p"}
            )


if __name__ == "__main__":
    unittest.main()
