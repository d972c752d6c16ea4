"""Scenarios for real processes, drawn from a seed: three consensus servers, six nodes, clients and faults."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.scenario import Scenario
from bitternpath.testing.emulator.scenario_file import scenario_from

FAULTS = (
    "kill-stewards", "kill-leader", "stall-stewards", "stall-leader", "cut-fleet-links", "slow-fleet-links",
    "reset-fleet-links", "half-open-fleet-links", "cut-fleet-site", "kill-nodes", "stop-nodes", "fleet-ban",
)  # fmt: skip
FAULT_START, FAULT_DURATION = (1.5, 9.0), (0.5, 5.0)  # s, earliest and latest

BASE_SCENARIO: dict[str, Any] = {
    "seconds": 15.0,
    "front_notice_s": 0.5,
    "sites": [{"name": name, "workers": 3, "nodes": 2} for name in ("suva", "lautoka", "labasa")],
    "kinds": [{"name": "standard", "speed": [0.8, 1.1], "cold_s": 8.0}],
    "classes": [
        {"name": "lookup", "share": 50, "work": 40, "aim": 80, "worth": 2, "safe": True, "give_up": 3000},
        {"name": "reminder", "share": 50, "work": 40, "aim": 80, "worth": 3, "give_up": 3000},
    ],
    "clients": {"load": 0.3},
    "fleet": {"stewards": 3, "lease": 1.5, "catch_up": 2.0},
}


def scenario_for_seed(seed: int, faults: int = 5) -> Scenario:
    """The scenario of a seed: continuous changes and `faults` random faults."""
    random = Random(f"{seed} day")
    troubles: list[dict[str, Any]] = [{"kind": "fleet-changes", "at": 0.5, "lasts": 12.0, "size": 0.7}]
    for _ in range(faults):
        kind = random.choice(FAULTS)
        spec = {
            "kind": kind,
            "at": random.uniform(*FAULT_START),
            "lasts": random.uniform(*FAULT_DURATION),
            "part": 0.2,
        }
        if kind == "slow-fleet-links":
            spec |= {
                "size": random.choice([0.05, 0.4, 1.5]),
                "extra": random.choice([0.0, 2000.0]),
                "part": 0.4,
            }
        troubles.append(spec)
    return scenario_from(BASE_SCENARIO | {"name": f"day-{seed}", "troubles": troubles}, f"day {seed}")


def lagging_scenario(seed: int) -> Scenario:
    """A site is cut off while versions advance without it, which exposes broken builds."""
    troubles = [
        {"kind": "fleet-changes", "at": 0.5, "lasts": 12.0, "size": 0.3},
        {"kind": "cut-fleet-site", "at": 3.0, "lasts": 6.0, "site": "labasa"},
    ]
    return scenario_from(BASE_SCENARIO | {"name": f"lagging-{seed}", "troubles": troubles}, f"lagging {seed}")
