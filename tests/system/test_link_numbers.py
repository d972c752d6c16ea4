"""Answers on links between nodes find their request by link and number. Real loopback sockets."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from bitternpath.transport import hub
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link, LinkLost
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import StateRequest, StateResponse
from tests.system import Loopback


class Node:
    """A node whose answers the test sends; it keeps what it was asked, with the link that it came over."""

    def __init__(self, loopback: Loopback, name: str) -> None:
        self.asked: list[tuple[Link, StateRequest]] = []
        self.opened: list[Link] = []
        self.closed = 0
        me = NodeDescriptor(name, "127.0.0.1:0", NodeKind.EDGE, "z", False, "", 1, 0)
        self.hub = NodeHub(loopback.reactor, self, lambda: me, Random(1))

    def link_opened(self, link: Link) -> None:
        self.opened.append(link)

    def link_closed(self, link: Link) -> None:
        self.closed += 1

    def received(self, link: Link, record: Any) -> None:
        if isinstance(record, StateRequest):
            self.asked.append((link, record))


def answer(request: StateRequest) -> StateResponse:
    """The answer that names the message that was asked for."""
    return StateResponse(request.number, True, MessageState.DONE, request.request_id, None)


class LinkCase(unittest.TestCase):
    """Two nodes: `edge` asks, `owner` answers."""

    def setUp(self) -> None:
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        self.edge, self.owner = Node(self.loopback, "edge"), Node(self.loopback, "owner")
        self.owner.hub.listen("127.0.0.1", 0)
        port = self.owner.hub._port.getHost().port
        self.dialler = self.edge.hub.dial(f"127.0.0.1:{port}", "test")
        self.addCleanup(self.edge.hub.stop)
        self.addCleanup(self.owner.hub.stop)
        self.loopback.until(lambda: self.dialler.opened is not None and len(self.owner.opened) == 1)

    @property
    def link(self) -> Link:
        link = self.dialler.opened
        assert link is not None
        return link

    def ask(self, name: str) -> list[Any]:
        """Ask over the present link; the list will hold what the request ended with."""
        results: list[Any] = []
        asked = len(self.owner.asked)
        waiting: Deferred[Any] = self.link.request(lambda number: StateRequest(number, "g", name, False))
        waiting.addBoth(results.append)
        self.loopback.until(lambda: len(self.owner.asked) > asked)
        return results

    def replace_link(self) -> None:
        """Reset the connection; the dialler makes another one."""
        before, opened = self.link, len(self.owner.opened)
        before.abort()
        self.loopback.until(
            lambda: self.dialler.opened not in (None, before) and len(self.owner.opened) > opened
        )

    def stamps(self, *results: list[Any]) -> list[list[str]]:
        """Which messages the answers name."""
        return [[record.stamp for record in each if isinstance(record, StateResponse)] for each in results]

    def two_at_once(self) -> list[list[str]]:
        """Two requests on one link, answered in the other order."""
        first, second = self.ask("first"), self.ask("second")
        for link, request in reversed(self.owner.asked):
            link.send(answer(request))
        third = self.ask("third")
        link, request = self.owner.asked[-1]
        link.send(answer(request))
        self.loopback.until(lambda: bool(third))
        return self.stamps(first, second, third)

    def over_a_replaced_link(self, late: Callable[[Link, StateRequest], None]) -> list[list[str]]:
        """A request whose link is reset before its answer, and another one with the same number."""
        first = self.ask("first")
        old, request = self.owner.asked[0]
        self.replace_link()
        second = self.ask("second")
        late(old, request)
        link, later = self.owner.asked[-1]
        self.assertEqual(later.number, request.number)
        link.send(answer(later))
        self.loopback.until(lambda: bool(second) and bool(first))
        return self.stamps(first, second)


class Numbers(LinkCase):
    """Each answer ends its own request, once."""

    def test_answers_in_another_order(self) -> None:
        self.assertEqual(self.two_at_once(), [["first"], ["second"], ["third"]])

    def test_a_replaced_link_takes_its_requests_along(self) -> None:
        stamps = self.over_a_replaced_link(lambda old, request: old.send(answer(request)))
        self.assertEqual(stamps, [[], ["second"]])

    def test_a_request_ends_with_its_link_once(self) -> None:
        results = self.ask("first")
        self.replace_link()
        self.loopback.until(lambda: bool(results))
        self.assertIsInstance(results[0].value, LinkLost)
        self.assertEqual(self.edge.closed, 1)

    def test_a_second_answer_and_one_to_nothing_end_nothing(self) -> None:
        first = self.ask("first")
        link, request = self.owner.asked[0]
        link.send(answer(request))
        link.send(StateResponse(request.number, False, MessageState.QUEUED, "again", None))
        link.send(StateResponse(99, False, MessageState.QUEUED, "nothing", None))
        second = self.ask("second")
        link.send(answer(self.owner.asked[1][1]))
        self.loopback.until(lambda: bool(second))
        self.assertEqual(self.stamps(first, second), [["first"], ["second"]])
        self.assertEqual(self.link._requests, {})

    def test_an_answer_after_the_caller_gave_up(self) -> None:
        results: list[Any] = []
        waiting: Deferred[Any] = self.link.request(lambda number: StateRequest(number, "g", "first", False))
        waiting.addBoth(results.append)
        self.loopback.until(lambda: bool(self.owner.asked))
        waiting.cancel()
        link, request = self.owner.asked[0]
        link.send(answer(request))
        second = self.ask("second")
        link.send(answer(self.owner.asked[1][1]))
        self.loopback.until(lambda: bool(second))
        self.assertEqual(self.stamps(results, second), [[], ["second"]])
        self.assertEqual(len(results), 1)

    def test_requests_on_a_link_that_has_ended_fail_at_once(self) -> None:
        link = self.link
        self.replace_link()
        results: list[Any] = []
        link.request(lambda number: StateRequest(number, "g", "late", False)).addBoth(results.append)
        self.assertIsInstance(results[0].value, LinkLost)


class OneNumber(Link):
    """Broken: the number of a link is used again while a request with it waits."""

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        self._next_number = 0
        return super().request(make)


class BrokenBuilds(LinkCase):
    """Number of a link used again: both ways of doing it are caught by the runs above."""

    def setUp(self) -> None:
        self.whole = hub.Link
        hub.Link = OneNumber  # type: ignore[misc]
        self.addCleanup(setattr, hub, "Link", self.whole)
        super().setUp()

    def test_a_number_that_is_used_again_is_caught(self) -> None:
        stamps = self.two_at_once()
        self.assertNotEqual(stamps, [["first"], ["second"], ["third"]])
        self.assertEqual(stamps[2], ["second"])  # the wrong caller has it

    def test_an_answer_over_the_peers_newest_link_is_caught(self) -> None:
        stamps = self.over_a_replaced_link(lambda old, request: self.owner.opened[-1].send(answer(request)))
        self.assertEqual(stamps, [[], ["first"]])  # the wrong caller has it


if __name__ == "__main__":
    unittest.main()
