"""Request bodies that must be rejected with 4xx and must not block or break later requests.

Covers the kinds of invalid configurations that operators send, and bodies that once raised an exception,
after which the owner processed no more changes or the replica group stopped on all members.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration import change_evaluation
from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor
from bitternpath.configuration.json_documents import MAX_NESTING_LEVELS, decode_document
from bitternpath.configuration.results import OperatorResult
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.configuration.validation import MAX_VERSION
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.feed_messages import FeedUpdate


def route(**changes: Any) -> dict[str, Any]:
    """A valid route."""
    base = {"name": "r1", "host": "a.example", "path_prefix": "/a/", "service": "s1", "timeout_ms": 1000}
    return {**base, **changes}


def document(version: int, **changes: Any) -> dict[str, Any]:
    """A valid configuration."""
    return {"version": version, "routes": [route()], "services": [{"name": "s1"}], **changes}


def encode(content: Any) -> bytes:
    """Encode as JSON."""
    return json.dumps(content).encode()


class Group:
    """A group of one member that commits immediately."""

    def __init__(self, state: ConfigurationState) -> None:
        self.state = state

    def is_owner(self) -> bool:
        return True

    def propose(self, command: bytes) -> Deferred[object]:
        return succeed(self.state.apply(1, command))

    def barrier(self) -> Deferred[None]:
        return succeed(None)


COMPLETE = encode(document(5))
NESTED = b"[" * MAX_NESTING_LEVELS + b"]" * MAX_NESTING_LEVELS
SECOND = route(name="r2", path_prefix="/b/")

INVALID_PUTS: dict[str, tuple[str, bytes]] = {
    "cut_short": ("3", COMPLETE[: len(COMPLETE) // 2]),
    "cut_short by one byte": ("3", COMPLETE[:-1]),
    "empty": ("3", b""),
    "unknown_service": ("3", encode(document(5, routes=[route(service="none")]))),
    "same_place": ("3", encode(document(5, routes=[route(), route(name="r2")]))),
    "same_place, capitals": ("3", encode(document(5, routes=[route(), route(name="r2", host="A.EXAMPLE")]))),
    "same name": ("3", encode(document(5, routes=[route(), route(path_prefix="/b/")]))),
    "no_timeout: 0": ("3", encode(document(5, routes=[route(timeout_ms=0)]))),
    "no_timeout: missing": ("3", encode(document(5, routes=[route(timeout_ms=None)]))),
    "no_timeout: below 1 ms": ("3", encode(document(5, routes=[route(timeout_ms=0.4)]))),
    "old_version": ("3", encode(document(2))),
    "same_version": ("3", encode(document(3, limits={"max_body_bytes": 7}))),
    "stale_match": ("1", COMPLETE),
    "stale_match: ahead": ("4", COMPLETE),
    "match is no number": ("3x", COMPLETE),
    "match is negative": ("-3", COMPLETE),
    "match is very long": ("3" * 5000, COMPLETE),
    "a time-out beyond floats": ("3", COMPLETE.replace(b"1000", b"1e999")),
    "a time-out that is no number": ("3", COMPLETE.replace(b"1000", b"NaN")),
    "a time-out that is endless": ("3", COMPLETE.replace(b"1000", b"Infinity")),
    "a time-out beyond 64 bits": ("3", COMPLETE.replace(b"1000", b"9" * 30)),
    "a number of 5,000 digits": ("3", COMPLETE.replace(b"1000", b"9" * 5000)),
    "a version beyond 64 bits": ("3", encode(document(MAX_VERSION + 1))),
    "lists without end": ("3", b"[" * 100_000),
    "nested too deep": ("3", b'{"version":5,"x":%b}' % NESTED),
    "objects without end": ("3", b'{"version":5,"x":' + b'{"a":' * 50_000),
    "no UTF-8": ("3", b"\xff" + COMPLETE),
}  # fmt: skip

INVALID_PATCHES: dict[str, tuple[str, bytes]] = {
    "cut_short": ("3", b'{"version":5,"upsert":{"routes":['),
    "unknown_service": ("3", encode({"version": 5, "upsert": {"routes": [route(service="none")]}})),
    "same_place": ("3", encode({"version": 5, "upsert": {"routes": [route(name="r2")]}})),
    "no_timeout": ("3", encode({"version": 5, "upsert": {"routes": [route(timeout_ms=0)]}})),
    "old_version": ("3", encode({"version": 2})),
    "same_version": ("3", encode({"version": 3, "upsert": {"routes": [SECOND]}})),
    "no version": ("3", encode({"upsert": {"routes": [SECOND]}})),
    "stale_match": ("1", encode({"version": 5})),
    "removes what is in use": ("3", encode({"version": 5, "remove": {"services": ["s1"]}})),
    "removes by no list": ("3", encode({"version": 5, "remove": {"routes": 7}})),
    "removes by no names": ("3", encode({"version": 5, "remove": {"routes": [["r1"]]}})),
    "alters items whose names are lists": ("3", encode({"version": 5, "upsert": {"extra": []}})),
    "a time-out beyond floats": ("3", b'{"version":5,"upsert":{"routes":[{"name":"r","timeout_ms":1e999}]}}'),
}  # fmt: skip


class InvalidChangeTest(unittest.TestCase):
    """Each invalid change gets 4xx, has no effect, and the next valid one is accepted."""

    def setUp(self) -> None:
        self.state = ConfigurationState()
        self.processor = ChangeProcessor(self.state, Group(self.state))
        self.assertEqual(self.send("PUT", "0", encode(document(3, extra=[{"name": ["x"]}]))), 200)

    def send(self, method: str, base: str, body: bytes) -> int:
        results: list[OperatorResult] = []
        self.processor.submit(ChangeRequest(method, base, body)).addCallback(results.append)
        return results[0].status

    def check(self, method: str, cases: dict[str, tuple[str, bytes]]) -> None:
        for label, (base, body) in cases.items():
            with self.subTest(label):
                self.setUp()
                before = self.state.snapshot()
                self.assertIn(self.send(method, base, body), (400, 412))
                self.assertEqual(self.state.snapshot(), before)
                self.assertEqual(self.send("PUT", "3", COMPLETE), 200)

    def test_invalid_configurations(self) -> None:
        self.check("PUT", INVALID_PUTS)

    def test_invalid_patches(self) -> None:
        self.check("PATCH", INVALID_PATCHES)

    def test_accepted_documents_fit_records_and_snapshots(self) -> None:
        cases: tuple[tuple[str, Callable[[], dict[str, Any]]], ...] = (
            ("the largest version", lambda: document(MAX_VERSION)),
            ("unknown fields of any size", lambda: document(5, novel=[10**40, 1e300, "x" * 100])),
            ("unknown fields of a route", lambda: document(5, routes=[route(made_at=10**18)])),
        )
        for label, make in cases:
            with self.subTest(label):
                self.setUp()
                self.assertEqual(self.send("PUT", "3", encode(make())), 200)
                restored = ConfigurationState()
                restored.restore(self.state.snapshot())
                self.assertEqual(restored.version, self.state.version)
                RecordCodec(FeedUpdate).encode(FeedUpdate(1, self.state.version, b"", 0, None, 1))

    def test_a_fault_in_the_evaluation_blocks_no_other_change(self) -> None:
        def decode(body: bytes) -> dict[str, Any]:
            if body == b"faulty":
                raise ZeroDivisionError
            return decode_document(body)

        with patch.object(change_evaluation, "decode_document", decode):
            statuses = [self.send("PUT", "3", body) for body in (b"faulty", COMPLETE)]
        self.assertEqual(statuses, [400, 200])


if __name__ == "__main__":
    unittest.main()
