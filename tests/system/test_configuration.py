"""Conformance of the operator's documents and orders (PROTOCOL, "The operator's API"; RULES, "CONFIG")."""

from __future__ import annotations

import json
import unittest
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor
from bitternpath.configuration.commands import COMMANDS, SetPlacement
from bitternpath.configuration.errors import InvalidConfiguration
from bitternpath.configuration.json_documents import read_document
from bitternpath.configuration.patches import apply_patch
from bitternpath.configuration.results import OperatorResult, ResultCode
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.configuration.validation import parse_configuration
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.transport.group_messages import GroupPlacement


def route(name: str = "r1", **changes: Any) -> dict[str, Any]:
    """A valid route."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "service": "s1",
        "timeout_ms": 1000,
        **changes,
    }


def document(version: int = 3, **changes: Any) -> dict[str, Any]:
    """A valid configuration."""
    return {
        "version": version,
        "routes": [route()],
        "services": [{"name": "s1", "rate_per_s": 0}],
        "limits": {"max_body_bytes": 1000},
        **changes,
    }


class FakeGroup:
    """The replica group of one member; what it proposes commits at once, later, or never."""

    def __init__(self, state: ConfigurationState) -> None:
        self.state = state
        self.owner = True
        self.confirms = True
        self.held: list[tuple[bytes, Deferred[object]]] = []
        self.hold = False

    def is_owner(self) -> bool:
        return self.owner

    def propose(self, command: bytes) -> Deferred[object]:
        if self.hold:
            waiting: Deferred[object] = Deferred()
            self.held.append((command, waiting))
            return waiting
        return succeed(self.state.apply(1, command))

    def barrier(self) -> Deferred[None]:
        return succeed(None) if self.confirms else fail(NotOwnerError())


class DocumentTest(unittest.TestCase):
    """What a configuration must be."""

    INVALID = (
        ("version missing", {"version": None}),
        ("version no number", {"version": "7"}),
        ("version true", {"version": True}),
        ("version 0", {"version": 0}),
        ("routes no list", {"routes": {"r": 1}}),
        ("route no object", {"routes": ["r"]}),
        ("unknown service", {"routes": [route(service="other")]}),
        ("time-out 0", {"routes": [route(timeout_ms=0)]}),
        ("time-out negative", {"routes": [route(timeout_ms=-5)]}),
        ("time-out missing", {"routes": [{k: v for k, v in route().items() if k != "timeout_ms"}]}),
        ("time-out a text", {"routes": [route(timeout_ms="1000")]}),
        ("same host and prefix", {"routes": [route("r1"), route("r2", path_prefix="/r1/")]}),
        (
            "same place, host in capitals",
            {"routes": [route("r1"), route("r2", path_prefix="/r1/", host="A.Example")]},
        ),
        ("same name twice", {"routes": [route("r1"), route("r1", path_prefix="/x/")]}),
        ("no attempts", {"routes": [route(max_attempts=0)]}),
        ("prefix without slash", {"routes": [route(path_prefix="x")]}),
        ("service twice", {"services": [{"name": "s1"}, {"name": "s1"}]}),
        ("service without name", {"services": [{"name": "s1"}, {"rate_per_s": 1}]}),
        ("limits no object", {"limits": []}),
    )

    def test_invalid_documents_are_refused(self) -> None:
        for label, changes in self.INVALID:
            with self.subTest(label), self.assertRaises(InvalidConfiguration):
                parse_configuration(document(**changes))

    def test_bodies_that_cannot_be_read_whole_are_refused(self) -> None:
        whole = json.dumps(document()).encode()
        for body in (b"", whole[:-1], whole[: len(whole) // 2], b"[]", b"\xff\xfe", b"nonsense"):
            with self.subTest(body=body), self.assertRaises(InvalidConfiguration):
                read_document(body)

    def test_unknown_fields_are_ignored_and_kept(self) -> None:
        raw = document(extra={"a": 1}, routes=[route(novel=True)])
        self.assertEqual(parse_configuration(raw).routes[0].name, "r1")

    def test_whole_numbers_stand_for_fractions(self) -> None:
        parsed = parse_configuration(
            document(routes=[route(retention_s=90)], services=[{"name": "s1", "rate_per_s": 7}])
        )
        self.assertEqual((parsed.routes[0].retention_s, parsed.services[0].rate_per_s), (90.0, 7.0))

    def test_the_longest_prefix_wins(self) -> None:
        routes = [
            route("short", path_prefix="/a/"),
            route("long", path_prefix="/a/b/"),
            route("other", host="b.example"),
        ]
        table = RoutingTable(parse_configuration(document(routes=routes)))
        cases = (
            ("a.example", "/a/x", "short"),
            ("A.EXAMPLE:8080", "/a/b/x", "long"),
            ("a.example", "/a", None),
            ("a.example", "/b/", None),
            ("b.example", "/other/1", "other"),
            ("c.example", "/a/x", None),
        )
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                found = table.match(host, path)
                self.assertEqual(found.name if found else None, expected)

    def test_patches_replace_add_and_remove_by_name(self) -> None:
        base = document(routes=[route("r1"), route("r2")])
        patch = {
            "version": 9,
            "upsert": {"routes": [route("r2", timeout_ms=5), route("r3")]},
            "remove": {"routes": ["r1", "none"]},
        }
        result = apply_patch(base, patch)
        self.assertEqual(
            [(item["name"], item["timeout_ms"]) for item in result["routes"]], [("r2", 5), ("r3", 1000)]
        )
        self.assertEqual((result["version"], result["services"]), (9, base["services"]))
        self.assertEqual(len(base["routes"]), 2)

    def test_patches_that_make_no_sense_are_refused(self) -> None:
        for patch in (
            {"version": 9, "upsert": []},
            {"version": 9, "upsert": {"routes": ["x"]}},
            {"version": 9, "remove": 1},
        ):
            with self.subTest(patch=patch), self.assertRaises(InvalidConfiguration):
                apply_patch(document(), patch)


class OrderTest(unittest.TestCase):
    """What the operator is answered."""

    def setUp(self) -> None:
        self.state = ConfigurationState()
        self.group = FakeGroup(self.state)
        self.orders = ChangeProcessor(self.state, self.group)

    def answer(self, waiting: Deferred[OperatorResult]) -> OperatorResult:
        results: list[OperatorResult] = []
        waiting.addCallback(results.append)
        self.assertEqual(len(results), 1)
        return results[0]

    def put(self, version: int, base: str, **changes: Any) -> OperatorResult:
        body = json.dumps(document(version, **changes)).encode()
        return self.answer(self.orders.submit(ChangeRequest("PUT", base, body)))

    def patch(self, version: int, base: str, **changes: Any) -> OperatorResult:
        body = json.dumps({"version": version, **changes}).encode()
        return self.answer(self.orders.submit(ChangeRequest("PATCH", base, body)))

    def test_the_first_builds_on_nothing(self) -> None:
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

    def test_an_accepted_order_sent_again_is_acknowledged_again_whatever_came_between(self) -> None:
        first = self.put(3, "0")
        self.put(5, "3")
        self.patch(6, "5", upsert={"routes": [route("r2")]})
        self.assertEqual((first.status, self.put(3, "0").status, self.put(5, "3").status), (200, 200, 200))
        self.assertEqual(self.state.version, 6)

    def test_spellings_of_the_version_it_builds_on_dont_make_another_order(self) -> None:
        self.put(3, "0")
        self.assertEqual(self.put(5, "3").status, 200)
        for spelling in ('"3"', " 3 ", "03", ' "3"'):
            with self.subTest(spelling):
                self.assertEqual(self.put(5, spelling).status, 200)
        for other, status in (("3x", 400), ("+3", 400), ("3.0", 400), ("\u0663", 400), ("4", 412)):
            with self.subTest(other):
                self.assertEqual(self.put(5, other).status, status)
        self.assertEqual(self.state.version, 5)

    def test_methods_and_bodies_make_another_order(self) -> None:
        body = json.dumps(document(3)).encode()
        digests = {
            ChangeRequest(method, base, content).digest()
            for method in ("PUT", "PATCH")
            for base in ("0", "1", "x")
            for content in (body, body + b" ", b"")
        }
        self.assertEqual(len(digests), 18)

    def test_byte_identical_orders_of_two_operators_are_one_order(self) -> None:
        self.put(3, "0")
        self.group.hold = True
        body = json.dumps(document(5)).encode()
        waiting = [self.orders.submit(ChangeRequest("PUT", "3", body)) for _ in range(2)]
        command, proposed = self.group.held.pop()
        proposed.callback(self.state.apply(2, command))
        self.assertEqual([self.answer(each).status for each in waiting], [200, 200])
        self.assertEqual(self.group.held, [])

    def test_it_is_remembered_by_a_snapshot_too(self) -> None:
        self.put(3, "0")
        self.put(5, "3")
        restored = ConfigurationState()
        restored.restore(self.state.snapshot())
        self.state, self.group = restored, FakeGroup(restored)
        self.orders = ChangeProcessor(restored, self.group)
        self.assertEqual((self.put(3, "0").status, self.state.version), (200, 5))

    def test_of_two_on_one_version_one_wins(self) -> None:
        self.put(3, "0")
        self.group.hold = True
        bodies = [json.dumps(document(5, limits={"max_body_bytes": n})).encode() for n in (1, 2)]
        waiting = [self.orders.submit(ChangeRequest("PUT", "3", body)) for body in bodies]
        self.assertEqual(len(self.group.held), 1)  # the second waits for the first one's fate
        command, proposed = self.group.held.pop()
        proposed.callback(self.state.apply(2, command))
        self.assertEqual([self.answer(each).status for each in waiting], [200, 412])

    def test_an_order_whose_fate_is_open_gets_no_refusal(self) -> None:
        self.put(3, "0")
        self.group.hold = True
        body = json.dumps(document(5)).encode()
        waiting = self.orders.submit(ChangeRequest("PUT", "3", body))
        self.group.held.pop()[1].errback(OutcomeUnknownError())
        self.assertEqual(self.answer(waiting).status, 503)

    def test_a_node_that_is_not_owner_or_cannot_confirm_it_refuses_nothing(self) -> None:
        self.put(3, "0")
        self.group.confirms = False
        self.assertEqual([self.put(5, "0").status, self.put(5, "x").status], [503, 503])
        self.assertEqual(self.answer(self.orders.read()).status, 503)
        self.group.owner = False
        self.assertEqual(
            [self.put(5, "3").code, self.answer(self.orders.read()).code], [ResultCode.NOT_OWNER] * 2
        )

    def test_it_reads_back_what_was_sent(self) -> None:
        self.put(3, "0", novel={"kept": True})
        self.assertEqual(json.loads(self.answer(self.orders.read()).body)["novel"], {"kept": True})

    def test_placements_build_on_the_one_before(self) -> None:
        groups = (GroupPlacement("queue-0", 1, ()),)
        self.assertTrue(self.state.apply(1, COMMANDS.encode(SetPlacement(0, groups))))
        self.assertFalse(self.state.apply(2, COMMANDS.encode(SetPlacement(0, groups))))
        self.assertEqual(self.state.placement_generation, 1)


if __name__ == "__main__":
    unittest.main()
