"""The settings as operators write them, turned into the module's words; adapter and node share this."""

from __future__ import annotations

from typing import Any

from bitternpath.balancer import messages as m

EFFECTS = {"pure": m.Effect.SAFE, "token": m.Effect.KEYED, "side_effect": m.Effect.UNSAFE}


def settings_from(conf: dict[str, Any]) -> m.Settings:
    """The settings in the module's words; keys that it has no use for are left out."""
    rules, allowed, family = conf.get("rules", {}), conf.get("allowed", {}), conf.get("familyInfo", {})
    prices, kinds = conf.get("deductions", {}), tuple(conf.get("kinds", ()))

    def at(row: str, place: int, default: Any) -> Any:
        values = family.get(row) or []
        return values[place] if place < len(values) else default

    classes = []
    for place, c in enumerate(conf["classes"]):
        kind = at("classKind", place, -1)
        classes.append(
            m.JobClass(
                name=c["name"],
                effect=EFFECTS[c["effect"]],
                latency_target=c["aim"],
                max_deadline=c["giveUp"],
                value=c.get("value", 1.0),
                late_value_share=c.get("lateWorth", 0.0),
                dedup_scope=m.DedupScope(c.get("group") or "all"),
                dedup_window=c.get("window") or 0.0,
                stream=bool(c.get("stream")),
                kind=kinds[kind] if 0 <= kind < len(kinds) else None,
                priority=at("classPriority", place, 0),
                work_factor=at("classStretch", place, c.get("aimStretch") or 0.0),
            )
        )
    given: dict[str, Any] = {
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
            m.Tenant(t["name"], t.get("share", 0.0), t.get("quotaPerS", 0.0)) for t in conf.get("realms", ())
        ),
        kinds=kinds,
        list_on_request=conf.get("registryMode") == "on_request",
        sizes_listed=conf.get("weights", "silent") != "silent",
        report_columns=tuple((conf.get("report") or {}).get("columns") or ()),
        **{name: value for name, value in given.items() if value is not None},
    )
