"""Results of the operator's changes (PROTOCOL, "The operator's API"; RULES, "CONFIG")."""

from __future__ import annotations

import json
import unittest
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor
from bitternpath.configuration.commands import COMMANDS, SetPlacement
from bitternpath.configuration.results import OperatorResult, ResultCode
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.transport.group_messages import GroupPlacement
from tests.system.configuration.sample_documents import document, route


class FakeGroup:
    """A replica group of one member, in which proposals commit immediately, later, or never."""

    def __init__(self, state: ConfigurationState) -> None:
        self.state = state
        self.owner = True
        self.confirms_ownership = True
        self.pending: list[tuple[bytes, Deferred[object]]] = []
        self.delays_commits = False

    def is_owner(self) -> bool:
        return self.owner

    def propose(self, command: bytes) -> Deferred[object]:
        if self.delays_commits:
            committed: Deferred[object] = Deferred()
            self.pending.append((command, committed))
            return committed
        return succeed(self.state.apply(1, command))

    def barrier(self) -> Deferred[None]:
        return succeed(None) if self.confirms_ownership else fail(NotOwnerError())


class ChangeTest(unittest.TestCase):
    """The result of each change."""

    def setUp(self) -> None:
        self.state = ConfigurationState()
        self.group = FakeGroup(self.state)
        self.changes = ChangeProcessor(self.state, self.group)

    def result_of(self, pending: Deferred[OperatorResult]) -> OperatorResult:
        results: list[OperatorResult] = []
        pending.addCallback(results.append)
        self.assertEqual(len(results), 1)
        return results[0]

    def put(self, version: int, base: str, **changes: Any) -> OperatorResult:
        body = json.dumps(document(version, **changes)).encode()
        return self.result_of(self.changes.submit(ChangeRequest("PUT", base, body)))

    def patch(self, version: int, base: str, **changes: Any) -> OperatorResult:
        body = json.dumps({"version": version, **changes}).encode()
        return self.result_of(self.changes.submit(ChangeRequest("PATCH", base, body)))

    def test_the_first_change_builds_on_version_0(self) -> None:
        self.assertEqual(self.put(3, "0").status, 200)
        self.assertEqual(self.state.version, 3)

    def test_statuses(self) -> None:
        self.put(3, "0")
        cases = (
            ("stale base", self.put(5, "0"), 412),
            ("unknown base", self.put(5, "4"), 412),
            ("same version", self.put(3, "3", limits={}), 400),
            ("lower version", self.put(2, "3"), 400),
            ("base no number", self.put(5, "x"), 400),
            ("unknown service", self.put(5, "3", routes=[route(service="none")]), 400),
            (
                "patch, unknown service",
                self.patch(5, "3", upsert={"routes": [route("r9", service="none")]}),
                400,
            ),
            ("patch, removes a service in use", self.patch(5, "3", remove={"services": ["s1"]}), 400),
            ("next", self.put(5, "3"), 200),
            ("patch", self.patch(9, "5", upsert={"routes": [route("r2")]}), 200),
        )
        for label, result, status in cases:
            with self.subTest(label):
                self.assertEqual(result.status, status)
        self.assertEqual(self.state.version, 9)

    def test_a_retry_of_an_accepted_change_is_acknowledged_whatever_came_between(self) -> None:
        first = self.put(3, "0")
        self.put(5, "3")
        self.patch(6, "5", upsert={"routes": [route("r2")]})
        self.assertEqual((first.status, self.put(3, "0").status, self.put(5, "3").status), (200, 200, 200))
        self.assertEqual(self.state.version, 6)

    def test_spellings_of_if_match_dont_make_another_request(self) -> None:
        self.put(3, "0")
        self.assertEqual(self.put(5, "3").status, 200)
        for spelling in ('"3"', " 3 ", "03", ' "3"'):
            with self.subTest(spelling):
                self.assertEqual(self.put(5, spelling).status, 200)
        for other, status in (("3x", 400), ("+3", 400), ("3.0", 400), ("\u0663", 400), ("4", 412)):
            with self.subTest(other):
                self.assertEqual(self.put(5, other).status, status)
        self.assertEqual(self.state.version, 5)

    def test_methods_and_bodies_make_another_request(self) -> None:
        body = json.dumps(document(3)).encode()
        digests = {
            ChangeRequest(method, base, content).digest()
            for method in ("PUT", "PATCH")
            for base in ("0", "1", "x")
            for content in (body, body + b" ", b"")
        }
        self.assertEqual(len(digests), 18)

    def test_byte_identical_requests_of_two_operators_are_one_change(self) -> None:
        self.put(3, "0")
        self.group.delays_commits = True
        body = json.dumps(document(5)).encode()
        pending = [self.changes.submit(ChangeRequest("PUT", "3", body)) for _ in range(2)]
        command, proposed = self.group.pending.pop()
        proposed.callback(self.state.apply(2, command))
        self.assertEqual([self.result_of(each).status for each in pending], [200, 200])
        self.assertEqual(self.group.pending, [])

    def test_accepted_changes_are_remembered_in_a_snapshot(self) -> None:
        self.put(3, "0")
        self.put(5, "3")
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        self.state, self.group = restored, FakeGroup(restored)
        self.changes = ChangeProcessor(restored, self.group)
        self.assertEqual((self.put(3, "0").status, self.state.version), (200, 5))

    def test_of_two_changes_of_one_version_one_is_accepted(self) -> None:
        self.put(3, "0")
        self.group.delays_commits = True
        bodies = [json.dumps(document(5, limits={"max_body_bytes": n})).encode() for n in (1, 2)]
        pending = [self.changes.submit(ChangeRequest("PUT", "3", body)) for body in bodies]
        self.assertEqual(len(self.group.pending), 1)  # the second waits for the result of the first
        command, proposed = self.group.pending.pop()
        proposed.callback(self.state.apply(2, command))
        self.assertEqual([self.result_of(each).status for each in pending], [200, 412])

    def test_a_change_whose_outcome_is_unknown_is_not_rejected(self) -> None:
        self.put(3, "0")
        self.group.delays_commits = True
        body = json.dumps(document(5)).encode()
        pending = self.changes.submit(ChangeRequest("PUT", "3", body))
        self.group.pending.pop()[1].errback(OutcomeUnknownError())
        self.assertEqual(self.result_of(pending).status, 503)

    def test_without_confirmed_ownership_nothing_is_rejected(self) -> None:
        self.put(3, "0")
        self.group.confirms_ownership = False
        self.assertEqual([self.put(5, "0").status, self.put(5, "x").status], [503, 503])
        self.assertEqual(self.result_of(self.changes.read()).status, 503)
        self.group.owner = False
        self.assertEqual(
            [self.put(5, "3").code, self.result_of(self.changes.read()).code], [ResultCode.NOT_OWNER] * 2
        )

    def test_the_document_is_read_back_as_it_was_sent(self) -> None:
        self.put(3, "0", novel={"kept": True})
        self.assertEqual(json.loads(self.result_of(self.changes.read()).body)["novel"], {"kept": True})

    def test_a_placement_must_build_on_the_one_in_force(self) -> None:
        groups = (GroupPlacement("queue-0", 1, ()),)
        self.assertTrue(self.state.apply(1, COMMANDS.encode(SetPlacement(0, groups))))
        self.assertFalse(self.state.apply(2, COMMANDS.encode(SetPlacement(0, groups))))
        self.assertEqual(self.state.placement_generation, 1)


if __name__ == "__main__":
    unittest.main()
