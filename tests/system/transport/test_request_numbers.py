"""Responses are matched to requests by link and number, on real loopback sockets."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from bitternpath.transport import hub
from bitternpath.transport.errors import LinkLostError
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import StateRequest, StateResponse
from tests.system import Loopback


class Node:
    """A node that records requests with their link; the test sends the responses."""

    def __init__(self, loopback: Loopback, name: str) -> None:
        self.requests: list[tuple[Link, StateRequest]] = []
        self.opened: list[Link] = []
        self.closed = 0
        descriptor = NodeDescriptor(name, "127.0.0.1:0", NodeKind.EDGE, "z", False, "", 1, 0)
        self.hub = NodeHub(loopback.reactor, self, lambda: descriptor, Random(1))

    def link_opened(self, link: Link) -> None:
        self.opened.append(link)

    def link_closed(self, link: Link) -> None:
        self.closed += 1

    def received(self, link: Link, record: Any) -> None:
        if isinstance(record, StateRequest):
            self.requests.append((link, record))


def response_to(request: StateRequest) -> StateResponse:
    """A response that names the requested message."""
    return StateResponse(request.number, True, MessageState.DONE, request.request_id, None)


class LinkCase(unittest.TestCase):
    """A test case with two nodes: `edge` sends requests, `owner` responds."""

    def setUp(self) -> None:
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        self.edge, self.owner = Node(self.loopback, "edge"), Node(self.loopback, "owner")
        self.owner.hub.listen("127.0.0.1", 0)
        port = self.owner.hub.listening_port
        self.dialler = self.edge.hub.dial(f"127.0.0.1:{port}", "test")
        self.addCleanup(self.edge.hub.stop)
        self.addCleanup(self.owner.hub.stop)
        self.loopback.until(lambda: self.dialler.open_link is not None and len(self.owner.opened) == 1)

    @property
    def link(self) -> Link:
        link = self.dialler.open_link
        assert link is not None
        return link

    def request(self, name: str) -> list[Any]:
        """Send a request over the current link; the returned list receives its result."""
        results: list[Any] = []
        before = len(self.owner.requests)
        pending: Deferred[Any] = self.link.request(lambda number: StateRequest(number, "g", name, False))
        pending.addBoth(results.append)
        self.loopback.until(lambda: len(self.owner.requests) > before)
        return results

    def replace_link(self) -> None:
        """Reset the connection; the dialler creates another one."""
        before, opened = self.link, len(self.owner.opened)
        before.abort()
        self.loopback.until(
            lambda: self.dialler.open_link not in (None, before) and len(self.owner.opened) > opened
        )

    def stamps(self, *results: list[Any]) -> list[list[str]]:
        """The messages named by the responses."""
        return [[record.stamp for record in each if isinstance(record, StateResponse)] for each in results]

    def respond_in_reverse_order(self) -> list[list[str]]:
        """Send two requests on one link and respond in reverse order, then a third one."""
        first, second = self.request("first"), self.request("second")
        for link, request in reversed(self.owner.requests):
            link.send(response_to(request))
        third = self.request("third")
        link, request = self.owner.requests[-1]
        link.send(response_to(request))
        self.loopback.until(lambda: bool(third))
        return self.stamps(first, second, third)

    def respond_over_a_replaced_link(
        self, send_late_response: Callable[[Link, StateRequest], None]
    ) -> list[list[str]]:
        """Send a request whose link is reset before its response, and another one with the same number."""
        first = self.request("first")
        old_link, request = self.owner.requests[0]
        self.replace_link()
        second = self.request("second")
        send_late_response(old_link, request)
        link, later = self.owner.requests[-1]
        self.assertEqual(later.number, request.number)
        link.send(response_to(later))
        self.loopback.until(lambda: bool(second) and bool(first))
        return self.stamps(first, second)


class RequestNumberTest(LinkCase):
    """Each response completes its own request, once."""

    def test_responses_in_another_order(self) -> None:
        self.assertEqual(self.respond_in_reverse_order(), [["first"], ["second"], ["third"]])

    def test_a_response_on_a_replaced_link_is_ignored(self) -> None:
        stamps = self.respond_over_a_replaced_link(
            lambda old_link, request: old_link.send(response_to(request))
        )
        self.assertEqual(stamps, [[], ["second"]])

    def test_a_request_fails_once_when_its_link_closes(self) -> None:
        results = self.request("first")
        self.replace_link()
        self.loopback.until(lambda: bool(results))
        self.assertIsInstance(results[0].value, LinkLostError)
        self.assertEqual(self.edge.closed, 1)

    def test_a_second_response_and_one_without_a_request_are_ignored(self) -> None:
        first = self.request("first")
        link, request = self.owner.requests[0]
        link.send(response_to(request))
        link.send(StateResponse(request.number, False, MessageState.QUEUED, "again", None))
        link.send(StateResponse(99, False, MessageState.QUEUED, "nothing", None))
        second = self.request("second")
        link.send(response_to(self.owner.requests[1][1]))
        self.loopback.until(lambda: bool(second))
        self.assertEqual(self.stamps(first, second), [["first"], ["second"]])
        self.assertEqual(self.link.pending_requests, 0)

    def test_a_response_after_the_request_was_cancelled(self) -> None:
        results: list[Any] = []
        pending: Deferred[Any] = self.link.request(lambda number: StateRequest(number, "g", "first", False))
        pending.addBoth(results.append)
        self.loopback.until(lambda: bool(self.owner.requests))
        pending.cancel()
        link, request = self.owner.requests[0]
        link.send(response_to(request))
        second = self.request("second")
        link.send(response_to(self.owner.requests[1][1]))
        self.loopback.until(lambda: bool(second))
        self.assertEqual(self.stamps(results, second), [[], ["second"]])
        self.assertEqual(len(results), 1)

    def test_requests_on_a_closed_link_fail_at_once(self) -> None:
        link = self.link
        self.replace_link()
        results: list[Any] = []
        link.request(lambda number: StateRequest(number, "g", "late", False)).addBoth(results.append)
        self.assertIsInstance(results[0].value, LinkLostError)


class LinkThatReusesNumbers(Link):
    """Broken on purpose: reuses a number while a request with it is pending."""

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        self._last_number = 0
        return super().request(make)


class BrokenBuildTest(LinkCase):
    """Checks that the tests above would detect reused numbers on a link and responses on the wrong link."""

    def setUp(self) -> None:
        self.link_class = hub.Link
        hub.Link = LinkThatReusesNumbers  # type: ignore[misc]
        self.addCleanup(setattr, hub, "Link", self.link_class)
        super().setUp()

    def test_a_reused_number_is_detected(self) -> None:
        stamps = self.respond_in_reverse_order()
        self.assertNotEqual(stamps, [["first"], ["second"], ["third"]])
        self.assertEqual(stamps[2], ["second"])  # the wrong request has it

    def test_a_response_over_the_newest_link_is_detected(self) -> None:
        stamps = self.respond_over_a_replaced_link(
            lambda old_link, request: self.owner.opened[-1].send(response_to(request))
        )
        self.assertEqual(stamps, [[], ["first"]])  # the wrong request has it


if __name__ == "__main__":
    unittest.main()
