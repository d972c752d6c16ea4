"""A scenario's settings of a node, in the format of the platform's configuration file."""

from __future__ import annotations

from typing import Any

from bitternpath.testing.emulator.scenario import Scenario

TICK = 2.0  # ms


def settings_json(scenario: Scenario, site: str, number: int, nodes: int) -> dict[str, Any]:
    """The `settings` section of the configuration file of node `number`, at `site`, one of `nodes` nodes."""
    rules, prices, classes = scenario.rules, scenario.prices, scenario.classes
    return {
        "allowed": {
            "cancel": True, "connIdle": scenario.net.idle_s * 1000,
            "dialTimeout": scenario.net.dial_timeout_ms,
            "maxRetryAfter": scenario.clients.longest_retry_after_ms, "secondCopies": rules.second_copies,
            "tryLimit": rules.try_limit, "mayProbe": False,
        },
        "balancers": nodes,
        "classes": [
            {"name": c.name, "aim": c.aim, "giveUp": c.give_up, "value": c.worth, "lateWorth": c.late_worth,
             "effect": "pure" if c.safe else "side_effect"}
            for c in classes
        ],
        "clientHabits": {"marksRetry": scenario.clients.marks_retry},
        "deductions": {
            "crossZone": prices.cross_site, "waste": prices.waste, "lateFail": prices.late_fail,
        },
        "familyInfo": {
            "classStretch": [c.stretch for c in classes], "progress": rules.progress_ms,
            "tellsStart": rules.tells_start, "queueOrder": "fifo",
        },
        "kinds": [kind.name for kind in scenario.kinds],
        "locality": site,
        "me": number,
        "rules": {
            "coldFrom": rules.stated_cold_share, "drainGrace": rules.drain_grace_ms, "fall": rules.fall_ms,
            "graceToAnswer": rules.answer_grace_ms, "tipMultiple": rules.fall_multiple,
            "warmWithin": rules.stated_warm_ms,
        },
        "tick": TICK,
    }  # fmt: skip
