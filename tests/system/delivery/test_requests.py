"""The bytes of a delivery's request, on an in-memory network in virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from bitternpath.delivery.requests import request_bytes
from bitternpath.transport.records import Header
from tests.system.delivery.client_case import (
    DEADLINE_MS,
    MESSAGE,
    TARGET,
    ClientCase,
)


class RequestTest(ClientCase):
    """The request that a worker reads."""

    def test_all_fields_of_a_message(self) -> None:
        headers = (Header("Content-Type", "a/b"), Header("X-A", "1"), Header("X-A", "\xe9 2"))
        full = structs.replace(MESSAGE, method="PUT", headers=headers, order_key="k 1", body=b"\x00\r\n\r\n")
        expected = (
            b"PUT /p/x HTTP/1.1\r\nHost: a.example\r\nContent-Type: a/b\r\nX-A: 1\r\nX-A: \xe9 2\r\n"
            b"X-Request-Id: r1\r\nX-Order-Key: k 1\r\nX-Deadline-Ms: 750\r\nX-Expect-Instance: i-1\r\n"
            b"Content-Length: 5\r\n\r\n\x00\r\n\r\n"
        )
        self.assertEqual(request_bytes(TARGET, full, 750), expected)

    def test_lengths_and_endpoints(self) -> None:
        endpoint = replace(TARGET, instance="")
        for method, body, length in (("POST", b"", b"0"), ("GET", b"", None), ("GET", b"a", b"1")):
            with self.subTest(method=method, body=body):
                data = request_bytes(endpoint, structs.replace(MESSAGE, method=method, body=body), 5)
                self.assertEqual(b"Content-Length: " in data, length is not None)
                if length is not None:
                    self.assertIn(b"\r\nContent-Length: " + length + b"\r\n", data)
                self.assertNotIn(b"X-Expect-Instance", data)
                self.assertNotIn(b"X-Order-Key", data)

    @settings(max_examples=200, deadline=None)
    @given(target=st.binary(max_size=80), body=st.binary(max_size=80))
    def test_target_and_body_are_sent_byte_for_byte(self, target: bytes, body: bytes) -> None:
        self.setUp()
        target = b"/" + bytes(byte for byte in target if byte > 0x20)
        changed = structs.replace(MESSAGE, target=target.decode("latin-1"), body=body)
        self.client.deliver(TARGET, changed, DEADLINE_MS)
        head, _, rest = self.connect().take_sent().partition(b"\r\n\r\n")
        self.assertEqual(head.split(b"\r\n")[0], b"POST " + target + b" HTTP/1.1")
        self.assertEqual(rest, body)

    def test_deadline_is_what_is_left(self) -> None:
        self.deliver()
        self.network.advance(0.2)
        self.assertIn(b"\r\nX-Deadline-Ms: 700\r\n", self.connect().take_sent())


if __name__ == "__main__":
    unittest.main()
