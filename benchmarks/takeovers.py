"""Measures for how long a shard accepts no messages after its owner fails, in virtual time.

    .venv/bin/python -m benchmarks.takeovers [--seeds 17] [--jobs 4] [--sync-ms 9] [--zone-ms 4]

Simulates the service with clients that continuously send ordered messages, and injects one fault into one of
the three storage nodes per run. Prints a Markdown table by kind of fault with the time in ms from the fault
until a shard of the node has another owner, and until the first 202 to a message of that shard sent after
the fault: median, 90th percentile and maximum. `kept` counts the shards that the node still owns.
Virtual time passes on links and disks, not while code runs, so the results consist of timeouts, message
delays and disk syncs. `--chart FILE` draws each takeover as a dot.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import median, quantiles

from bitternpath.queue.sharding import shard_for
from bitternpath.testing.fault_injection.records import DeliveryKind
from bitternpath.testing.simulation.events import Event, Fault, FaultKind, Layout, Message, Retire, RunPlan
from bitternpath.testing.simulation.runs.play import Run

FAULT_AT_S = 9.0  # after the planned ownership transfers, which start at 6 s
RUN_SECONDS = 14.0
KEYS = 12
SEND_INTERVAL_S = 0.02
FAULTY_NODES = ("s1", "s2", "s3")
GROUP_PREFIX = "queue-"
RETIREMENT = "retire"
FAULTS: dict[str, Fault | None] = {
    "kill": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.KILL, lasts=4.0),
    "silence": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.POWER, lasts=4.0),
    "freeze": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.FREEZE, lasts=4.0),
    "cut": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.PARTITION, lasts=4.0),
    "slow disk": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.STALL, lasts=4.0),
    "SIGTERM": Fault(number=1, at=FAULT_AT_S, kind=FaultKind.TERM),
    RETIREMENT: None,
}
CHART_WIDTH, CHART_HEIGHT, LABEL_WIDTH, ROW_HEIGHT = 720, 330, 110, 38


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one simulated run."""

    kind: str
    faulty_node: str
    seed: int
    sync_ms: float
    zone_ms: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """Takeover of a shard of the faulty node, in ms after the fault.

    The times are None if the owner did not change or no message was accepted.
    """

    kind: str
    new_owner_ms: float | None
    accepted_ms: float | None


def build_plan(case: Case) -> RunPlan:
    """Return a plan with messages that cycle through all keys, and the fault."""
    count = round(RUN_SECONDS / SEND_INTERVAL_S)
    events: list[Event] = [
        Message(
            number=100 + number,
            at=number * SEND_INTERVAL_S,
            kind=DeliveryKind.ENDPOINT,
            key=f"key-{number % KEYS}",
        )
        for number in range(count)
    ]
    fault = FAULTS[case.kind]
    if fault is None:
        events.append(Retire(number=1, at=FAULT_AT_S, node=case.faulty_node))
    else:
        events.append(
            Fault(number=1, at=fault.at, kind=fault.kind, nodes=(case.faulty_node,), lasts=fault.lasts)
        )
    layout = Layout(storages=4 if case.kind == RETIREMENT else 3)
    events.sort(key=lambda event: event.at)
    return RunPlan(
        seed=case.seed, scenario="takeovers", seconds=RUN_SECONDS, layout=layout, events=tuple(events)
    )


def run_case(case: Case) -> list[Takeover]:
    """Simulate one run and return its takeovers."""
    plan = build_plan(case)
    run = Run(plan)
    _set_delays(run, case)
    assert run._create_system(), run.report.findings
    # Doesn't wait for all deliveries: messages arrive faster than the endpoint's rate limit.
    run._play_events()
    assert not run.report.errors, run.report.errors
    started_at = next(send.at for send in run.history.sends.values()) - plan.events[0].at
    return list(_takeovers(run, case, started_at + FAULT_AT_S))


def _set_delays(run: Run, case: Case) -> None:
    for node in run.world.nodes.values():
        if case.sync_ms:
            node.sync_seconds = case.sync_ms / 1000
        for other in run.world.nodes.values():
            if case.zone_ms and other.zone != node.zone:
                run.world.network.path(node.ip, other.ip).delay = case.zone_ms / 1000


def _takeovers(run: Run, case: Case, fault_at: float) -> Iterator[Takeover]:
    faulty_node = run.directory.name(case.faulty_node)
    shard_count = len(run.world.storages()) + (
        case.kind == RETIREMENT and case.faulty_node not in _storage_names(run)
    )
    owners: dict[str, str] = {}
    new_owner_at: dict[str, float] = {}
    for change in run.world.ownerships:
        if not change.gained or not change.group.startswith(GROUP_PREFIX):
            continue
        if change.at <= fault_at:
            owners[change.group] = change.node
        else:
            new_owner_at.setdefault(change.group, change.at)
    for group in sorted(group for group, owner in owners.items() if owner == faulty_node):
        accepted = _first_accepted(run, int(group.removeprefix(GROUP_PREFIX)), shard_count, fault_at)
        owned_at = new_owner_at.get(group)
        yield Takeover(case.kind, _elapsed_ms(owned_at, fault_at), _elapsed_ms(accepted, fault_at))


def _storage_names(run: Run) -> list[str]:
    return [node.name for node in run.world.storages()]


def _first_accepted(run: Run, shard: int, shard_count: int, fault_at: float) -> float | None:
    accepted_at = [
        send.ended_at
        for send in run.history.accepted()
        if send.at >= fault_at and shard_for(send.order_key, 0, shard_count) == shard
    ]
    return min(accepted_at, default=None)


def _elapsed_ms(at: float | None, since: float) -> float | None:
    return None if at is None else (at - since) * 1000


def table_row(kind: str, takeovers: list[Takeover]) -> str:
    """Format a row of the table."""
    new_owner_times = [takeover.new_owner_ms for takeover in takeovers if takeover.new_owner_ms is not None]
    accepted = [takeover.accepted_ms for takeover in takeovers if takeover.accepted_ms is not None]
    unchanged = len(takeovers) - len(new_owner_times)
    return f"| {kind} | {len(takeovers)} | {unchanged} | {_summary(new_owner_times)} | {_summary(accepted)} |"


def _summary(values: list[float]) -> str:
    if len(values) < 2:
        return "- / - / -"
    return f"{median(values):.0f} / {quantiles(values, n=10, method='inclusive')[-1]:.0f} / {max(values):.0f}"


def chart(by_kind: dict[str, list[Takeover]]) -> str:
    """Return an SVG with a dot per takeover, by kind of fault: ms from the fault to the first 202."""
    max_ms = (
        max((takeover.accepted_ms or 0.0) for takeovers in by_kind.values() for takeover in takeovers) or 1.0
    )
    scale = (CHART_WIDTH - LABEL_WIDTH - 30) / max_ms
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{CHART_WIDTH}" height="{CHART_HEIGHT}" '
        f'font-family="sans-serif" font-size="12">'
        '<text x="10" y="18">ms from the fault to the first 202 of the shard</text>'
    ]
    for index, (kind, takeovers) in enumerate(by_kind.items()):
        y = 45 + index * ROW_HEIGHT
        elements.append(f'<text x="10" y="{y + 4}">{kind}</text>')
        for takeover in takeovers:
            if takeover.accepted_ms is not None:
                x = LABEL_WIDTH + takeover.accepted_ms * scale
                elements.append(f'<circle cx="{x:.1f}" cy="{y}" r="3" fill="#246" fill-opacity="0.4"/>')
    for tick_ms in range(0, int(max_ms) + 1, 500):
        x = LABEL_WIDTH + tick_ms * scale
        elements.append(f'<line x1="{x:.1f}" y1="30" x2="{x:.1f}" y2="{CHART_HEIGHT - 25}" stroke="#ccc"/>')
        elements.append(f'<text x="{x:.1f}" y="{CHART_HEIGHT - 8}" text-anchor="middle">{tick_ms}</text>')
    return "\n".join([*elements, "</svg>", ""])


def main() -> None:
    """Run all cases, print the table and write the chart."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=17)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--sync-ms",
        type=float,
        default=0.0,
        help="sync time of all disks in ms; 0: 1 to 5 ms, depending on the node",
    )
    parser.add_argument(
        "--zone-ms",
        type=float,
        default=0.0,
        help="delay between zones in ms; 0: the default of the simulated network",
    )
    parser.add_argument("--chart", type=Path)
    options = parser.parse_args()
    cases = [
        Case(kind, faulty_node, seed, options.sync_ms, options.zone_ms)
        for kind in FAULTS
        for seed in range(options.seeds)
        for faulty_node in FAULTY_NODES
    ]
    by_kind: dict[str, list[Takeover]] = {kind: [] for kind in FAULTS}
    with ProcessPoolExecutor(options.jobs) as pool:
        for case, takeovers in zip(cases, pool.map(run_case, cases), strict=True):
            by_kind[case.kind] += takeovers
    print("| fault | shards | kept | new owner: median / 90% / worst | first 202: median / 90% / worst |")
    print("| --- | --- | --- | --- | --- |")
    for kind, takeovers in by_kind.items():
        print(table_row(kind, takeovers))
    if options.chart is not None:
        options.chart.write_text(chart(by_kind))


if __name__ == "__main__":
    main()
