"""Measures for how long replica groups are one failure from losing quorum in a repair, in virtual time.

    .venv/bin/python -m benchmarks.repairs [--groups 1,2,10,50] [--tolerated 1,2] [--state 0,1,8] [--seeds 3]

Prints a Markdown table and, with `--chart FILE`, writes an SVG chart of the time to full redundancy by state
size; `--before FILE` adds the rows of an earlier table as rings.

All times are in ms after the start of the process with the empty disk, or after the retirement command.
`learner`, `voter` and `complete` are those of the slowest group; `exposed` is the longest time of any group
during which the loss of one more voter would have cost the quorum. `moved` is the traffic between members
until the end of the repair.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bitternpath.testing.simulation.repairs import RepairPlan, RepairWorld

DOWNTIME_S = 1.0  # between the stop of a machine and the start of it or its replacement
REPAIR_TIMEOUT_S = 60.0
MB = 1 << 20
BYTES_PER_S_PER_MBIT = 125_000


@dataclass(frozen=True, slots=True)
class Row:
    """Measurements of a repair; the worst of several seeds in the table."""

    repair: str
    groups: int
    tolerated: int
    state_mb: float
    learner_ms: float
    voter_ms: float
    complete_ms: float
    exposed_ms: float
    sent_mb: float


def wipe_machine(world: RepairWorld) -> None:
    """Power off a machine, erase its disk and restart it at the same address."""
    world.stop("s0", graceful=False, wipe=True)
    world.run(DOWNTIME_S)
    world.start("s0")


def replace_machine(world: RepairWorld) -> None:
    """Power off a machine for good and start an empty one at another address."""
    world.stop("s0", graceful=False)
    world.run(DOWNTIME_S)
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")


def replace_after_sigterm(world: RepairWorld) -> None:
    """Replace a machine as `replace_machine` does, after a graceful shutdown."""
    world.drain("s0")
    world.run(0.5)
    world.stop("s0", graceful=True)
    world.run(DOWNTIME_S)
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")


def retire_machine(world: RepairWorld) -> None:
    """Retire a machine by an operator command while a spare one is running."""
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")
    world.run(2.0)
    world.controller.retire("s0")


REPAIRS: dict[str, Callable[[RepairWorld], None]] = {
    "wiped": wipe_machine,
    "replaced": replace_machine,
    "replaced after SIGTERM": replace_after_sigterm,
    "retired": retire_machine,
}


def measure_repair(repair: str, seed: int, plan: RepairPlan) -> Row:
    """Simulate one repair.

    Raises:
        SystemExit: the repair did not complete within REPAIR_TIMEOUT_S.
    """
    world = RepairWorld(seed, plan)
    world.fill()
    world.traffic()
    world.run(0.5)
    REPAIRS[repair](world)
    started_at = world.clock.seconds()
    world.measure()
    if not world.run_until(world.repaired, REPAIR_TIMEOUT_S):
        raise SystemExit(f"{repair}, seed {seed}, {plan}: not repaired within {REPAIR_TIMEOUT_S} s")
    bytes_sent = world.bytes_sent
    world.check_nothing_lost()
    group_times = [group for group in world.times.values() if group.complete_at is not None]

    def max_elapsed_ms(time_of: Callable[[int], float | None]) -> float:
        return max(((time_of(index) or started_at) - started_at) * 1000 for index in range(len(group_times)))

    return Row(
        repair,
        plan.groups,
        plan.tolerated,
        plan.state_bytes / MB,
        max_elapsed_ms(lambda index: group_times[index].learner_at),
        max_elapsed_ms(lambda index: group_times[index].voter_at),
        max_elapsed_ms(lambda index: group_times[index].complete_at),
        max(group.exposed_s for group in group_times) * 1000,
        bytes_sent / MB,
    )


def column_maxima(rows: list[Row]) -> Row:
    """Combine rows of the same repair into one with the maximum of each column."""
    first_row = rows[0]
    return Row(
        first_row.repair,
        first_row.groups,
        first_row.tolerated,
        first_row.state_mb,
        max(row.learner_ms for row in rows),
        max(row.voter_ms for row in rows),
        max(row.complete_ms for row in rows),
        max(row.exposed_ms for row in rows),
        max(row.sent_mb for row in rows),
    )


def print_row(row: Row) -> None:
    """Print a row of the table."""
    print(
        f"| {row.repair} | {row.tolerated} | {row.groups} | {row.state_mb:g} | {row.learner_ms:.0f} "
        f"| {row.voter_ms:.0f} | {row.complete_ms:.0f} | {row.exposed_ms:.0f} | {row.sent_mb:.1f} |",
        flush=True,
    )


def read_table(path: Path) -> list[Row]:
    """Parse the rows of a table printed by an earlier run."""
    rows = []
    for line in path.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("| ").split("|")]
        if len(cells) == len(Row.__dataclass_fields__) and cells[0] in REPAIRS:
            repair, tolerated, groups, *numbers = cells
            rows.append(Row(repair, int(groups), int(tolerated), *map(float, numbers)))
    return rows


CHART_WIDTH, CHART_HEIGHT, CHART_MARGIN = 640, 360, 50
COLOURS = dict(zip(REPAIRS, ("#1f5fa8", "#b8442c", "#3c8246", "#7a4a9c"), strict=True))


def chart(before: list[Row], after: list[Row]) -> str:
    """Return an SVG of the time to full redundancy by total state size; rings: `before`, dots: `after`."""
    max_x = max((row.state_mb * row.groups for row in after), default=0.0) or 1.0
    max_y = max(row.complete_ms for row in [*before, *after])
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{CHART_WIDTH}" height="{CHART_HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        f'<rect width="{CHART_WIDTH}" height="{CHART_HEIGHT}" fill="white"/>',
        f'<path d="M{CHART_MARGIN} 20V{CHART_HEIGHT - CHART_MARGIN}H{CHART_WIDTH - 20}" '
        f'fill="none" stroke="black"/>',
        f'<text x="{CHART_WIDTH / 2:.0f}" y="{CHART_HEIGHT - 12}" text-anchor="middle">'
        f"state of all groups, 0 to {max_x:g} MB</text>",
        f'<text x="8" y="14">ms to full redundancy, 0 to {max_y:.0f}; rings: before, dots: after</text>',
    ]
    for rows, filled in ((before, False), (after, True)):
        for row in rows:
            x = CHART_MARGIN + (CHART_WIDTH - 20 - CHART_MARGIN) * row.state_mb * row.groups / max_x
            y = CHART_HEIGHT - CHART_MARGIN - (CHART_HEIGHT - CHART_MARGIN - 20) * row.complete_ms / max_y
            colour = COLOURS[row.repair]
            fill = colour if filled else "none"
            elements.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="4" fill="{fill}" stroke="{colour}"/>')
    for index, (repair, colour) in enumerate(COLOURS.items()):
        elements.append(
            f'<text x="{CHART_WIDTH - 170}" y="{40 + 14 * index}" fill="{colour}">{repair}</text>'
        )
    return "\n".join([*elements, "</svg>", ""])


def main() -> None:
    """Measure all selected combinations and print the table."""
    parser = argparse.ArgumentParser(description="Repairs in virtual time.")
    parser.add_argument("--groups", default="1,2,10,50")
    parser.add_argument("--tolerated", default="1,2")
    parser.add_argument("--state", default="0,1", help="state size of each group in MB")
    parser.add_argument("--repairs", default=",".join(REPAIRS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=20.0, help="commands per second and group")
    parser.add_argument(
        "--link", type=float, default=1000.0, help="link rate of each machine in Mbit/s, per direction"
    )
    parser.add_argument("--chart", type=Path)
    parser.add_argument("--before", type=Path, help="table of an earlier run to add to the chart")
    options = parser.parse_args()
    print("| repair | f | groups | state, MB a group | learner | voter | complete | exposed | moved, MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    rows = []
    for tolerated in map(int, options.tolerated.split(",")):
        for groups in map(int, options.groups.split(",")):
            for state in map(float, options.state.split(",")):
                plan = RepairPlan(
                    groups,
                    tolerated,
                    state_bytes=int(state * MB),
                    commands_per_s=options.rate,
                    link_bytes_per_s=options.link * BYTES_PER_S_PER_MBIT,
                )
                for repair in options.repairs.split(","):
                    row = column_maxima([measure_repair(repair, seed, plan) for seed in range(options.seeds)])
                    rows.append(row)
                    print_row(row)
    if options.chart is not None:
        before = read_table(options.before) if options.before is not None else []
        options.chart.write_text(chart(before, rows))


if __name__ == "__main__":
    main()
