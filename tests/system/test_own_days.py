"""The project's own fault scenarios (days): the files are valid, all variants occur, verdicts are correct."""

from __future__ import annotations

import tomllib
import unittest

from benchmarks.play_days import DAYS, gate_failures, minimum_score, snapshot_name

VARIANTS = {
    "core_cut": "leader one_way both seeds lure near all oldest reset race meet drain hard reader",
    "node_kill": "leader race drain hard power meet",
    "node_freeze": "leader race meet drain",
    "replace_core": "planned oldest",
    "after_ack_kill": "timed taken gone kill",
    "after_ack_wipe": "oldest",
    "retire": "wipe",
    "herd_kill": "taken all power",
    "clock_step": "back ahead",
    "node_cut": "all servers",
    "garble": "extra unframed early late",
    "answer_lost": "reset",
    "roll_term": "busy",
    "bad_config": "cut_short unknown_service same_place no_weight no_timeout old_version same_version "
    "stale_match shared_key",
}
"""Kinds of faults with variants, and the variants that the days must contain."""

PLAIN = (
    "config_race",
    "ack_lost",
    "add_nodes",
    "disk_full",
    "disk_stall",
    "disk_slow",
    "seed_turnover",
    "reset_conns",
)

ON_BOTH = ("core_cut", "node_kill", "node_freeze", "replace_core", "after_ack_wipe", "after_ack_kill")
"""Kinds that must affect both the machines of the configuration group and those of the queues."""


def days() -> dict[str, dict]:
    """The table of each day, by file name."""
    return {path.stem: tomllib.loads(path.read_text())["day"][0] for path in sorted(DAYS.glob("*.toml"))}


def entries() -> list[dict]:
    """All entries of all days."""
    return [entry for day in days().values() for entry in day["plan"] + day["faults"]]


class OwnDays(unittest.TestCase):
    def test_each_scenario_has_its_file_name_and_a_minimum_score(self) -> None:
        for stem, day in days().items():
            with self.subTest(stem):
                self.assertEqual(day["name"], stem)
                self.assertGreater(minimum_score(DAYS / f"{stem}.toml"), 0.0)

    def test_seeds_differ(self) -> None:
        seeds = [day["seed"] for day in days().values()]
        self.assertEqual(len(seeds), len(set(seeds)))

    def test_each_variant_of_the_five_points_occurs(self) -> None:
        for kind, variants in VARIANTS.items():
            occurring = {
                name for entry in entries() if entry["kind"] == kind for name in entry.get("how", "").split()
            }
            with self.subTest(kind):
                self.assertEqual(set(variants.split()) - occurring, set())

    def test_each_kind_without_variants_occurs(self) -> None:
        self.assertEqual(set(PLAIN) - {entry["kind"] for entry in entries()}, set())

    def test_losses_hit_both_kinds_of_counted_machines(self) -> None:
        for kind in ON_BOTH:
            machine_kinds = {entry.get("on", "core") for entry in entries() if entry["kind"] == kind}
            with self.subTest(kind):
                self.assertLessEqual({"core", "store"}, machine_kinds)


PASSING_RESULT: dict[str, object] = {
    "breaks": {},
    "fault": None,
    "short": [],
    "missed": [],
    "unserved": 0.1,
    "parts": [["whole day", 0.4, 0.8]],
}


class Verdicts(unittest.TestCase):
    def test_a_day_without_problems_passes(self) -> None:
        self.assertEqual(gate_failures(PASSING_RESULT, min_score=0.3), ())

    def test_each_cause_of_a_failed_gate_is_named(self) -> None:
        bad = {
            "breaks": {"LOST": 2},
            "fault": "exits",
            "short": ["zone"],
            "missed": ["order 7"],
            "unserved": 0.7,
            "parts": [["whole day", 0.4, 0.2]],
        }
        problems = gate_failures(bad, min_score=0.3)
        self.assertEqual(
            problems,
            (
                "LOST 2",
                "fault: exits",
                "short: zone",
                "missed: order 7",
                "unserved: 0.70",
                "worth 0.20 of 0.3",
            ),
        )

    def test_the_snapshot_is_read_from_the_output(self) -> None:
        self.assertEqual(snapshot_name("it took 3 s\nsnapshot f496d26b\nbuilt in 0.2 s"), "f496d26b")
        self.assertEqual(snapshot_name("no such line"), "")
