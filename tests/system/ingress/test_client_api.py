"""The service's own calls: states of messages, pulls and ends of jobs, in memory and in virtual time."""

from __future__ import annotations

import unittest

from twisted.internet.defer import succeed

from bitternpath.ingress.client_api import LEASE_CALL_TIMEOUT_S, LOOKUP_TIMEOUT_S
from bitternpath.ingress.pull_calls import PULL_GRACE_S
from bitternpath.shards.results import FoundMessage, LeaseAnswer, LookupFailure
from bitternpath.transport.records import MessageState
from tests.system.ingress.server_case import (
    Client,
    ClientServerCase,
    job,
)


class MessageStateTest(ClientServerCase):
    """GET /message and /message-body."""

    def get(self, path: bytes) -> Client:
        return self.send(b"GET " + path + b" HTTP/1.1\r\nHost: any thing\r\n\r\n")

    def test_states(self) -> None:
        found = FoundMessage
        table = [
            (found(MessageState.QUEUED, "", None), 200, b'{"state":"queued"}'),
            (found(MessageState.DONE, '3e.07."x', None), 200, b'{"state":"done","stamp":"3e.07.\\"x"}'),
            (found(MessageState.DEAD_LETTER, "", None), 200, b'{"state":"dead_letter"}'),
            (LookupFailure.UNKNOWN_MESSAGE, 404, b""),
            (LookupFailure.UNAVAILABLE, 503, b""),
        ]
        for result, status, body in table:
            with self.subTest(result):
                self.node.found = succeed(result)
                (response,) = self.get(b"/message/Ab.1_-").responses()
                self.assertEqual((response.status, response.body), (status, body))
                if status == 200:
                    self.assertEqual(response.headers[b"content-type"], b"application/json")
                self.assertEqual(b"retry-after" in response.headers, status == 503)
        self.assertEqual(set(self.node.lookups), {("Ab.1_-", False)})

    def test_bodies(self) -> None:
        found = FoundMessage
        table = [
            (found(MessageState.QUEUED, "", b"\x00\xff"), 200, b"\x00\xff"),
            (found(MessageState.DEAD_LETTER, "", b""), 200, b""),
            (found(MessageState.QUEUED, "", None), 503, b""),
            (found(MessageState.DONE, "s", None), 404, b""),
            (LookupFailure.UNKNOWN_MESSAGE, 404, b""),
            (LookupFailure.UNAVAILABLE, 503, b""),
        ]
        for result, status, body in table:
            with self.subTest(result):
                self.node.found = succeed(result)
                (response,) = self.get(b"/message-body/r1").responses()
                self.assertEqual((response.status, response.body), (status, body))
        self.assertEqual(set(self.node.lookups), {("r1", True)})

    def test_lookup_time_out(self) -> None:
        client = self.get(b"/message/r1")
        self.assertLess(LOOKUP_TIMEOUT_S, 1.8)
        self.clock.advance(LOOKUP_TIMEOUT_S)
        self.assertEqual(client.statuses(), [503])
        self.node.found.callback(LookupFailure.UNKNOWN_MESSAGE)
        self.assertEqual(client.statuses(), [503])

    def test_client_that_disconnects(self) -> None:
        client = self.get(b"/message/r1")
        client.lose()
        self.node.found.callback(FoundMessage(MessageState.QUEUED, "", None))
        self.clock.advance(5)
        self.assertEqual(client.responses(), [])

    def test_node_that_fails(self) -> None:
        client = self.get(b"/message/r1")
        self.node.found.errback(RuntimeError("planned"))
        self.assertEqual(client.statuses(), [503])


class PullTest(ClientServerCase):
    """Calls of pulling workers."""

    def call(self, path: bytes, *headers: bytes) -> Client:
        lines = (b"POST " + path + b" HTTP/1.1", b"Host: a", *headers)
        return self.send(b"\r\n".join(lines) + b"\r\n\r\n")

    def pull(self) -> Client:
        return self.call(b"/pull/huvo11a", b"X-Instance-Id: i-7", b"X-Wait-Ms: 1000")

    def test_job(self) -> None:
        client = self.pull()
        self.assertEqual(client.responses(), [])
        self.node.waiting_pulls[0].result.callback(job())
        (response,) = client.responses()
        expected = {
            b"x-request-id": b"r9",
            b"x-job-method": b"PUT",
            b"x-job-target": b"/p/%41?q=\xe9",
            b"x-lease-id": b"L1",
        }
        self.assertLessEqual(expected.items(), response.headers.items())
        self.assertEqual((response.status, response.body), (200, b"\x00body"))
        self.assertEqual(self.node.pulls, [("huvo11a", "i-7", 1000)])
        self.assertEqual(self.node.ends, [])

    def test_no_job(self) -> None:
        client = self.pull()
        self.node.waiting_pulls[0].result.callback(None)
        (response,) = client.responses()
        self.assertEqual((response.status, response.body), (204, b""))
        self.assertNotIn(b"transfer-encoding", response.headers)

    def test_node_that_exceeds_the_wait(self) -> None:
        client = self.pull()
        self.clock.advance(1.0 + PULL_GRACE_S)
        self.assertEqual(client.statuses(), [204])
        self.assertTrue(self.node.waiting_pulls[0].cancelled)
        self.node.waiting_pulls[0].result.callback(job())
        self.assertEqual(self.node.ends, [("L1", "r9", 503, "")])
        self.assertEqual(client.statuses(), [204])

    def test_worker_that_disconnects(self) -> None:
        for disconnect in ("lose", "half"):
            with self.subTest(disconnect):
                client = self.pull()
                if disconnect == "half":
                    client.channel.readConnectionLost()
                    self.assertTrue(client.closed)
                client.lose(clean=True)
                self.assertTrue(self.node.waiting_pulls[-1].cancelled)
                self.node.ends.clear()
                self.node.waiting_pulls[-1].result.callback(job())
                self.assertEqual(self.node.ends, [("L1", "r9", 503, "")])

    def test_bad_pulls(self) -> None:
        for headers in ((), (b"X-Wait-Ms: 5",), (b"X-Instance-Id: i", b"X-Wait-Ms: x")):
            with self.subTest(headers):
                self.assertEqual(self.call(b"/pull/s", *headers).statuses(), [400])
        self.assertEqual(self.node.pulls, [])

    def test_ends(self) -> None:
        lease, ok, stamp = b"X-Lease-Id: L", b"X-Job-Status: 200", b"X-Server-Stamp: s.1"
        table = [
            ((lease, ok, stamp), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 200, "s.1")),
            ((lease, ok, stamp), LeaseAnswer.NOT_CURRENT, 409, ("L", "r1", 200, "s.1")),
            ((lease, ok, stamp), LeaseAnswer.UNAVAILABLE, 503, ("L", "r1", 200, "s.1")),
            ((lease, b"X-Job-Status: 500"), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 500, "")),
            ((lease, b"X-Job-Status: 503"), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 503, "")),
            ((lease, ok), None, 400, None),
            ((ok, stamp), None, 400, None),
            ((lease, stamp), None, 400, None),
            ((lease, stamp, b"X-Job-Status: fine"), None, 400, None),
        ]
        for headers, result, status, end in table:
            with self.subTest(headers, result=result):
                self.node.ends.clear()
                self.node.lease = result
                self.assertEqual(self.call(b"/job-end/r1", *headers).statuses(), [status])
                self.assertEqual(self.node.ends, [] if end is None else [end])

    def test_repeated_end_reaches_the_node_each_time(self) -> None:
        for _ in range(2):
            client = self.call(b"/job-end/r1", b"X-Lease-Id: L", b"X-Job-Status: 422")
            self.assertEqual(client.statuses(), [200])
        self.assertEqual(self.node.ends, [("L", "r1", 422, "")] * 2)

    def test_extensions(self) -> None:
        for result in LeaseAnswer:
            with self.subTest(result):
                self.node.lease = result
                client = self.call(b"/job-extend/r1", b"X-Lease-Id: L")
                self.assertEqual(client.statuses(), [result.value])
        self.assertEqual(self.call(b"/job-extend/r1").statuses(), [400])
        self.assertEqual(self.node.extensions, [("L", "r1")] * 3)

    def test_lease_call_time_out(self) -> None:
        self.node.lease = None
        client = self.call(b"/job-extend/r1", b"X-Lease-Id: L")
        self.clock.advance(LEASE_CALL_TIMEOUT_S)
        self.assertEqual(client.statuses(), [503])


if __name__ == "__main__":
    unittest.main()
