"""Reads the settings of the decision module from the platform's format, for a node and for the simulator."""

from __future__ import annotations

from typing import Any

from bitternpath.balancer import messages as m

EFFECTS = {"pure": m.Effect.SAFE, "token": m.Effect.KEYED, "side_effect": m.Effect.UNSAFE}


def settings_from(conf: dict[str, Any]) -> m.Settings:
    """The module's settings; keys that it doesn't use are ignored, and null counts as absent."""
    rules, allowed, family = conf.get("rules", {}), conf.get("allowed", {}), conf.get("familyInfo", {})
    prices, kinds = conf.get("deductions", {}), tuple(conf.get("kinds", ()))

    def class_value(name: str, index: int, default: Any) -> Any:
        values = family.get(name) or []
        return values[index] if index < len(values) else default

    classes = []
    for index, job_class in enumerate(conf["classes"]):
        kind = class_value("classKind", index, -1)
        classes.append(
            m.JobClass(
                name=job_class["name"],
                effect=EFFECTS[job_class["effect"]],
                latency_target=job_class["aim"],
                max_deadline=job_class["giveUp"],
                value=job_class.get("value", 1.0),
                late_value_share=job_class.get("lateWorth", 0.0),
                dedup_scope=m.DedupScope(job_class.get("group") or "all"),
                dedup_window=job_class.get("window") or 0.0,
                stream=bool(job_class.get("stream")),
                kind=kinds[kind] if 0 <= kind < len(kinds) else None,
                priority=class_value("classPriority", index, 0),
                work_factor=class_value("classStretch", index, job_class.get("aimStretch") or 0.0),
            )
        )
    options: dict[str, Any] = {
        "dispatcher_index": conf.get("me"),
        "dispatchers": conf.get("balancers"),
        "zone": conf.get("locality"),
        "must_ask_within": rules.get("mustAskIn"),
        "drain_grace": rules.get("drainGrace"),
        "answer_grace": rules.get("graceToAnswer"),
        "cold_share": rules.get("coldFrom"),
        "warm_within": rules.get("warmWithin"),
        "overload_multiple": rules.get("tipMultiple"),
        "overload_span": rules.get("fall"),
        "may_cancel": allowed.get("cancel"),
        "may_probe": allowed.get("mayProbe"),
        "second_copies": allowed.get("secondCopies"),
        "try_limit": allowed.get("tryLimit"),
        "gives_retry_after": allowed.get("retryAfter"),
        "max_retry_after": allowed.get("maxRetryAfter"),
        "tick": conf.get("tick"),
        "in_order": family.get("queueOrder") == "fifo",
        "retries_marked": (conf.get("clientHabits") or {}).get("marksRetry"),
        "reports_start": family.get("tellsStart"),
        "progress_every": family.get("progress"),
        "over_share_worth": conf.get("overShareWorth"),
        "late_fail_price": prices.get("lateFail"),
        "waste_price": prices.get("waste"),
        "cross_zone_price": prices.get("crossZone"),
    }
    return m.Settings(
        classes=tuple(classes),
        tenants=tuple(
            m.Tenant(tenant["name"], tenant.get("share", 0.0), tenant.get("quotaPerS", 0.0))
            for tenant in conf.get("realms", ())
        ),
        kinds=kinds,
        list_on_request=conf.get("registryMode") == "on_request",
        sizes_listed=conf.get("weights", "silent") != "silent",
        report_columns=tuple((conf.get("report") or {}).get("columns") or ()),
        **{name: value for name, value in options.items() if value is not None},
    )
