"""SIGTERM of an edge process: unready at once, and a response to each complete request, however slow."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from bitternpath.configuration.placement import shard_group
from bitternpath.roles.edge_process import EXIT_RESERVE_S, FINAL_ANSWERS_LEAD_S, EdgeProcess
from bitternpath.shards.results import Acceptance, AcceptResult, FoundMessage, LookupFailure
from bitternpath.transport.shard_messages import Ownership
from tests.system.ingress.server_case import HEAD, Client, ClientServerCase, routing
from tests.system.roles.node_case import DiskCase, FakeReactor
from tests.system.shards.shard_case import FakeLink

READY = b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n"
UNREADY_WITHIN_S = 4.0  # RULES, DRAIN: after SIGTERM, also where several machines drain at once


class PendingRequests(ClientServerCase):
    """Responses of a server whose process is about to end."""

    def test_a_message_whose_outcome_is_unknown_gets_504(self) -> None:
        client = self.send(HEAD + b"\r\n")
        self.server.begin_shutdown()
        self.server.answer_pending()
        self.assertEqual(client.statuses(), [504])
        self.assertTrue(client.closed)
        self.accept()  # the result arrives late
        self.assertEqual(client.statuses(), [504])

    def test_complete_requests_get_one_response_each(self) -> None:
        client = self.send((HEAD + b"\r\n") * 3)
        self.server.begin_shutdown()
        self.accept()
        self.server.answer_pending()
        self.assertEqual(client.statuses(), [202, 504, 504])
        self.assertTrue(client.closed)

    def test_the_services_own_calls_get_503(self) -> None:
        self.node.lease = None
        end = b"POST /job-end/r1 HTTP/1.1\r\nHost: n\r\nX-Lease-Id: 0-1-1\r\nX-Job-Status: 500\r\n\r\n"
        clients = [self.send(call) for call in (b"GET /message/r1 HTTP/1.1\r\nHost: a\r\n\r\n", end)]
        self.server.begin_shutdown()
        self.server.answer_pending()
        self.assertEqual([client.statuses() for client in clients], [[503], [503]])

    def test_an_incomplete_request_gets_nothing(self) -> None:
        clients = [self.send(HEAD), self.send(HEAD + b"Content-Length: 4\r\n\r\nab"), self.client()]
        self.server.begin_shutdown()
        self.server.answer_pending()
        self.assertEqual([client.statuses() for client in clients], [[], [], []])
        self.assertTrue(all(client.closed for client in clients))


class Sigterm(DiskCase):
    """The edge process in virtual time, with a node that never returns a result."""

    def setUp(self) -> None:
        super().setUp()
        self.reactor = FakeReactor()
        self.process = EdgeProcess(self.reactor, self.settings())
        node = self.process.node
        node.base.feed.table = routing()
        node.base.feed.last_update_at = self.reactor.seconds()
        node.owners.ownership_changed(FakeLink("storage-1", "z"), Ownership(shard_group(0), 1, True))  # type: ignore[arg-type]
        self.grace_s = self.process.settings.bounds.grace_s
        self.pending: list[Deferred[Any]] = []
        node.accept = self.no_result  # type: ignore[method-assign]
        node.find_message = self.no_result  # type: ignore[method-assign]
        self.servers = {name: site for name, _, site in self.process._servers}
        self.process._sites = list(self.servers.values())
        self.ends: list[float] = []

    def no_result(self, *_: object, **__: object) -> Deferred[Any]:
        self.pending.append(Deferred())
        return self.pending[-1]

    def shut_down(self) -> None:
        self.process.shut_down(lambda: self.ends.append(self.reactor.seconds()))

    def test_it_is_unready_immediately_and_permanently(self) -> None:
        self.assertEqual(Client(self.servers["readiness"]).send(READY).statuses(), [200])
        self.shut_down()
        shutdown_at = self.reactor.seconds()
        while self.reactor.seconds() < shutdown_at + UNREADY_WITHIN_S:
            client = Client(self.servers["readiness"]).send(READY)
            self.assertEqual(client.statuses(), [503])
            client.lose(clean=True)
            self.reactor.advance(0.25)

    def test_pending_requests_get_a_response_before_the_end(self) -> None:
        message = Client(self.servers["front"]).send(HEAD + b"X-Deadline-Ms: 60000\r\n\r\n")
        state = Client(self.servers["front"]).send(b"GET /message/r1 HTTP/1.1\r\nHost: a\r\n\r\n")
        self.shut_down()
        self.reactor.pump([0.05] * round((self.grace_s - EXIT_RESERVE_S - FINAL_ANSWERS_LEAD_S) / 0.05 - 1))
        self.assertEqual((message.statuses(), state.statuses()), ([], [503]))
        self.reactor.pump([0.05] * 3)
        self.assertEqual(message.statuses(), [504])
        self.assertTrue(message.closed)
        self.reactor.pump([0.05] * round(EXIT_RESERVE_S / 0.05))
        self.assertEqual(len(self.ends), 1)
        self.assertLess(self.ends[0], self.grace_s)

    def test_a_result_in_time_is_the_response(self) -> None:
        message = Client(self.servers["front"]).send(HEAD + b"X-Deadline-Ms: 60000\r\n\r\n")
        state = Client(self.servers["front"]).send(b"GET /message/r1 HTTP/1.1\r\nHost: a\r\n\r\n")
        self.shut_down()
        self.reactor.pump([0.05] * 20)
        self.pending[0].callback(Acceptance(AcceptResult.ACCEPTED, "s0.r1"))
        result: FoundMessage | LookupFailure = LookupFailure.UNKNOWN_MESSAGE
        self.pending[1].callback(result)
        self.reactor.pump([0.05] * 100)
        self.assertEqual((message.statuses(), state.statuses()), ([202], [404]))


if __name__ == "__main__":
    unittest.main()
