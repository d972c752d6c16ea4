"""Decoding, validation and patches of configuration documents (PROTOCOL, "The operator's API")."""

from __future__ import annotations

import json
import unittest

from bitternpath.configuration.errors import InvalidConfigurationError
from bitternpath.configuration.json_documents import decode_document
from bitternpath.configuration.patches import apply_patch
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from tests.system.configuration.sample_documents import document, route


class DocumentTest(unittest.TestCase):
    """Which documents and patches are valid, and how routes are looked up."""

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
            "same host in capitals and prefix",
            {"routes": [route("r1"), route("r2", path_prefix="/r1/", host="A.Example")]},
        ),
        ("same name twice", {"routes": [route("r1"), route("r1", path_prefix="/x/")]}),
        ("no attempts", {"routes": [route(max_attempts=0)]}),
        ("prefix without slash", {"routes": [route(path_prefix="x")]}),
        ("service twice", {"services": [{"name": "s1"}, {"name": "s1"}]}),
        ("service without name", {"services": [{"name": "s1"}, {"rate_per_s": 1}]}),
        ("limits no object", {"limits": []}),
    )

    def test_invalid_documents_are_rejected(self) -> None:
        for label, changes in self.INVALID:
            with self.subTest(label), self.assertRaises(InvalidConfigurationError):
                parse_configuration(document(**changes))

    def test_incomplete_bodies_are_rejected(self) -> None:
        complete = json.dumps(document()).encode()
        for body in (b"", complete[:-1], complete[: len(complete) // 2], b"[]", b"\xff\xfe", b"nonsense"):
            with self.subTest(body=body), self.assertRaises(InvalidConfigurationError):
                decode_document(body)

    def test_unknown_fields_are_ignored(self) -> None:
        raw = document(extra={"a": 1}, routes=[route(novel=True)])
        self.assertEqual(parse_configuration(raw).routes[0].name, "r1")

    def test_integers_are_accepted_for_fractions(self) -> None:
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
                matched = table.match(host, path)
                self.assertEqual(matched.name if matched else None, expected)

    def test_patches_replace_add_and_remove_by_name(self) -> None:
        base = document(routes=[route("r1"), route("r2")])
        patch = {
            "version": 9,
            "upsert": {"routes": [route("r2", timeout_ms=5), route("r3")]},
            "remove": {"routes": ["r1", "none"]},
        }
        patched = apply_patch(base, patch)
        self.assertEqual(
            [(item["name"], item["timeout_ms"]) for item in patched["routes"]], [("r2", 5), ("r3", 1000)]
        )
        self.assertEqual((patched["version"], patched["services"]), (9, base["services"]))
        self.assertEqual(len(base["routes"]), 2)

    def test_malformed_patches_are_rejected(self) -> None:
        for patch in (
            {"version": 9, "upsert": []},
            {"version": 9, "upsert": {"routes": ["x"]}},
            {"version": 9, "remove": 1},
        ):
            with self.subTest(patch=patch), self.assertRaises(InvalidConfigurationError):
                apply_patch(document(), patch)


if __name__ == "__main__":
    unittest.main()
