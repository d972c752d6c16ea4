"""Merges the fleet's plan into a node's own configuration. Does no I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from bitternpath.balancer import messages as m
from bitternpath.balancer.config.platform import Config
from bitternpath.balancer.fleet.plan import Plan, PlanError

# Names in the platform's configuration, and the names of the settings' fields.
CLASS_FIELDS = {
    "aim": "latency_target",
    "giveUp": "max_deadline",
    "value": "value",
    "lateWorth": "late_value_share",
}
RULE_FIELDS = {
    "rules.drainGrace": "drain_grace",
    "rules.graceToAnswer": "answer_grace",
    "rules.warmWithin": "warm_within",
    "rules.coldFrom": "cold_share",
    "rules.tipMultiple": "overload_multiple",
    "allowed.tryLimit": "try_limit",
    "allowed.maxRetryAfter": "max_retry_after",
    "allowed.secondCopies": "second_copies",
    "allowed.cancel": "may_cancel",
}


def with_plan(config: Config, plan: Plan) -> Config:
    """Return the configuration with the plan merged in; raise PlanError if the two conflict."""
    return replace(config, settings=_merged_settings(config.settings, plan))


def _merged_settings(settings: m.Settings, plan: Plan) -> m.Settings:
    known_classes = {spec.name for spec in settings.classes}
    for name in plan.classes:
        if name not in known_classes:
            raise PlanError(f"no class {name} in this node's file; it has {', '.join(sorted(known_classes))}")
    classes = tuple(
        msgspec.structs.replace(
            spec, **{CLASS_FIELDS[key]: value for key, value in plan.classes.get(spec.name, {}).items()}
        )
        for spec in settings.classes
    )
    rules: dict[str, Any] = {}
    for section, keys in plan.rules.items():
        for key, value in keys.items():
            name = RULE_FIELDS[f"{section}.{key}"]
            kind = type(getattr(settings, name))
            rules[name] = kind(value)
    return msgspec.structs.replace(settings, classes=classes, **rules)
