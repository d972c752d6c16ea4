"""How long a shard takes no message after its owner is lost, in virtual time.

    .venv/bin/python -m benchmarks.takeovers [--seeds 17] [--jobs 4] [--sync-ms 9] [--zone-ms 4]

Plays the whole service with clients that send ordered messages all the time, and one fault of one storage
machine, each of the three in turn. Prints a Markdown table by kind of fault, in ms from the fault: until a
shard that the machine owned has another owner, and until the first 202 to a message of that shard that was
sent after the fault; median, 90th percentile and worst. `kept`: shards that the machine still owns.
Virtual time passes on links and disks, not while code runs: the times are those of time-outs, messages and
syncs. `--chart FILE` draws each take-over as a dot.
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

FAULT_AT_S = 9.0  # after planned transfers of ownership, which come 6 s after the start
SECONDS = 14.0
KEYS = 12
SEND_EVERY_S = 0.02
VICTIMS = ("s1", "s2", "s3")
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
WIDTH, HEIGHT, LEFT, ROW = 720, 330, 110, 38


@dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    kind: str
    victim: str
    seed: int
    sync_ms: float
    zone_ms: float


@dataclass(frozen=True, slots=True)
class TakeOver:
    """A shard that the machine owned; ms after the fault, None where it kept its owner, or no 202 came."""

    kind: str
    owned_ms: float | None
    accepted_ms: float | None


def plan_of(case: Case) -> RunPlan:
    """Messages of all keys in turn, and the fault."""
    count = round(SECONDS / SEND_EVERY_S)
    events: list[Event] = [
        Message(
            number=100 + turn, at=turn * SEND_EVERY_S, kind=DeliveryKind.ENDPOINT, key=f"key-{turn % KEYS}"
        )
        for turn in range(count)
    ]
    fault = FAULTS[case.kind]
    if fault is None:
        events.append(Retire(number=1, at=FAULT_AT_S, node=case.victim))
    else:
        events.append(Fault(number=1, at=fault.at, kind=fault.kind, nodes=(case.victim,), lasts=fault.lasts))
    layout = Layout(storages=4 if case.kind == RETIREMENT else 3)
    events.sort(key=lambda event: event.at)
    return RunPlan(seed=case.seed, scenario="takeovers", seconds=SECONDS, layout=layout, events=tuple(events))


def play(case: Case) -> list[TakeOver]:
    """The take-overs of one run."""
    plan = plan_of(case)
    run = Run(plan)
    _set_delays(run, case)
    assert run._create_system(), run.report.findings
    run._play_events()  # not to the end of all messages: they come faster than the endpoint's rate allows
    assert not run.report.errors, run.report.errors
    began = next(send.at for send in run.history.sends.values()) - plan.events[0].at
    return list(_take_overs(run, case, began + FAULT_AT_S))


def _set_delays(run: Run, case: Case) -> None:
    for node in run.world.nodes.values():
        if case.sync_ms:
            node.sync_seconds = case.sync_ms / 1000
        for other in run.world.nodes.values():
            if case.zone_ms and other.zone != node.zone:
                run.world.network.path(node.ip, other.ip).delay = case.zone_ms / 1000


def _take_overs(run: Run, case: Case, fault_at: float) -> Iterator[TakeOver]:
    victim = run.directory.name(case.victim)
    shard_count = len(run.world.storages()) + (case.kind == RETIREMENT and case.victim not in _names(run))
    owners: dict[str, str] = {}
    gained: dict[str, float] = {}
    for change in run.world.ownerships:
        if not change.gained or not change.group.startswith(GROUP_PREFIX):
            continue
        if change.at <= fault_at:
            owners[change.group] = change.node
        else:
            gained.setdefault(change.group, change.at)
    for group in sorted(group for group, owner in owners.items() if owner == victim):
        accepted = _first_accepted(run, int(group.removeprefix(GROUP_PREFIX)), shard_count, fault_at)
        owned = gained.get(group)
        yield TakeOver(case.kind, _ms(owned, fault_at), _ms(accepted, fault_at))


def _names(run: Run) -> list[str]:
    return [node.name for node in run.world.storages()]


def _first_accepted(run: Run, shard: int, shard_count: int, fault_at: float) -> float | None:
    ends = [
        send.ended_at
        for send in run.history.accepted()
        if send.at >= fault_at and shard_for(send.order_key, 0, shard_count) == shard
    ]
    return min(ends, default=None)


def _ms(at: float | None, since: float) -> float | None:
    return None if at is None else (at - since) * 1000


def row(kind: str, found: list[TakeOver]) -> str:
    """A row of the table."""
    owned = [each.owned_ms for each in found if each.owned_ms is not None]
    accepted = [each.accepted_ms for each in found if each.accepted_ms is not None]
    kept = len(found) - len(owned)
    return f"| {kind} | {len(found)} | {kept} | {_figures(owned)} | {_figures(accepted)} |"


def _figures(values: list[float]) -> str:
    if len(values) < 2:
        return "- / - / -"
    return f"{median(values):.0f} / {quantiles(values, n=10, method='inclusive')[-1]:.0f} / {max(values):.0f}"


def chart(by_kind: dict[str, list[TakeOver]]) -> str:
    """Each take-over as a dot, by kind, from the fault to the first 202."""
    longest = max((each.accepted_ms or 0.0) for found in by_kind.values() for each in found) or 1.0
    scale = (WIDTH - LEFT - 30) / longest
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" '
        f'font-size="12"><text x="10" y="18">ms from the fault to the first 202 of the shard</text>'
    ]
    for place, (kind, found) in enumerate(by_kind.items()):
        y = 45 + place * ROW
        parts.append(f'<text x="10" y="{y + 4}">{kind}</text>')
        for each in found:
            if each.accepted_ms is not None:
                x = LEFT + each.accepted_ms * scale
                parts.append(f'<circle cx="{x:.1f}" cy="{y}" r="3" fill="#246" fill-opacity="0.4"/>')
    for mark in range(0, int(longest) + 1, 500):
        x = LEFT + mark * scale
        parts.append(f'<line x1="{x:.1f}" y1="30" x2="{x:.1f}" y2="{HEIGHT - 25}" stroke="#ccc"/>')
        parts.append(f'<text x="{x:.1f}" y="{HEIGHT - 8}" text-anchor="middle">{mark}</text>')
    return "\n".join([*parts, "</svg>", ""])


def main() -> None:
    """Play all cases, print the table and write the chart."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=17)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sync-ms", type=float, default=0.0, help="of all disks; 0: 1 to 5, by machine")
    parser.add_argument("--zone-ms", type=float, default=0.0, help="between zones; 0: as the world has it")
    parser.add_argument("--chart", type=Path)
    options = parser.parse_args()
    cases = [
        Case(kind, victim, seed, options.sync_ms, options.zone_ms)
        for kind in FAULTS
        for seed in range(options.seeds)
        for victim in VICTIMS
    ]
    by_kind: dict[str, list[TakeOver]] = {kind: [] for kind in FAULTS}
    with ProcessPoolExecutor(options.jobs) as pool:
        for case, found in zip(cases, pool.map(play, cases), strict=True):
            by_kind[case.kind] += found
    print("| fault | shards | kept | new owner: median / 90% / worst | first 202: median / 90% / worst |")
    print("| --- | --- | --- | --- | --- |")
    for kind, found in by_kind.items():
        print(row(kind, found))
    if options.chart is not None:
        options.chart.write_text(chart(by_kind))


if __name__ == "__main__":
    main()
