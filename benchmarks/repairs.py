"""How long a repair leaves replica groups one loss from no majority, in virtual time.

    .venv/bin/python -m benchmarks.repairs [--groups 1,2,10,50] [--tolerated 1,2] [--state 0,1,8] [--seeds 3]

Prints a Markdown table and, with `--chart FILE`, writes a chart (SVG) of the time to full redundancy by size
of state; `--before FILE` adds the rows of a table that was printed earlier, as rings.

All times are in ms after the return (the start of the process that has the empty disk, or the order):
`learner`, `voter` and `complete` of the slowest group; `exposed` is the time, of the group for which it is
longest, with no voter to spare, from the return on. `moved` is all that members sent one another until the
end of the repair.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bitternpath.testing.simulation.repairs import RepairPlan, RepairWorld

AWAY_S = 1.0  # between a machine's end and the start of what comes after it
LONGEST_S = 60.0
MB = 1 << 20
BYTES_PER_S_IN_MBIT = 125_000


@dataclass(frozen=True, slots=True)
class Row:
    """One measured repair, the worst of its seeds; times in ms."""

    repair: str
    groups: int
    tolerated: int
    state_mb: float
    learner: float
    voter: float
    complete: float
    exposed: float
    moved_mb: float


def wiped(world: RepairWorld) -> None:
    """Power lost and the disk with it; the machine comes back at its address."""
    world.stop("s0", graceful=False, wipe=True)
    world.run(AWAY_S)
    world.start("s0")


def replaced(world: RepairWorld) -> None:
    """Power lost for good; an empty machine comes at another address."""
    world.stop("s0", graceful=False)
    world.run(AWAY_S)
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")


def replaced_after_sigterm(world: RepairWorld) -> None:
    """As `replaced`, but the process was told to end."""
    world.drain("s0")
    world.run(0.5)
    world.stop("s0", graceful=True)
    world.run(AWAY_S)
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")


def retired(world: RepairWorld) -> None:
    """The operator's order, with a spare machine there."""
    world.add_machine("t0", world.machines["s0"].zone)
    world.start("t0")
    world.run(2.0)
    world.controller.retire("s0")


REPAIRS: dict[str, Callable[[RepairWorld], None]] = {
    "wiped": wiped,
    "replaced": replaced,
    "replaced after SIGTERM": replaced_after_sigterm,
    "retired": retired,
}


def measure(repair: str, seed: int, plan: RepairPlan) -> Row:
    """Play one repair."""
    world = RepairWorld(seed, plan)
    world.fill()
    world.traffic()
    world.run(0.5)
    REPAIRS[repair](world)
    began = world.clock.seconds()
    world.measure()
    if not world.run_until(world.repaired, LONGEST_S):
        raise SystemExit(f"{repair}, seed {seed}, {plan}: not repaired within {LONGEST_S} s")
    moved = world.bytes_sent
    world.check_nothing_lost()
    times = [each for each in world.times.values() if each.complete_at is not None]

    def slowest(at: Callable[[int], float | None]) -> float:
        return max(((at(n) or began) - began) * 1000 for n in range(len(times)))

    return Row(
        repair,
        plan.groups,
        plan.tolerated,
        plan.state_bytes / MB,
        slowest(lambda n: times[n].learner_at),
        slowest(lambda n: times[n].voter_at),
        slowest(lambda n: times[n].complete_at),
        max(each.exposed_s for each in times) * 1000,
        moved / MB,
    )


def worst(rows: list[Row]) -> Row:
    """The longest of each column."""
    first = rows[0]
    return Row(
        first.repair,
        first.groups,
        first.tolerated,
        first.state_mb,
        max(row.learner for row in rows),
        max(row.voter for row in rows),
        max(row.complete for row in rows),
        max(row.exposed for row in rows),
        max(row.moved_mb for row in rows),
    )


def print_row(row: Row) -> None:
    """A line of the table."""
    print(
        f"| {row.repair} | {row.tolerated} | {row.groups} | {row.state_mb:g} | {row.learner:.0f} "
        f"| {row.voter:.0f} | {row.complete:.0f} | {row.exposed:.0f} | {row.moved_mb:.1f} |",
        flush=True,
    )


def read_table(path: Path) -> list[Row]:
    """The rows of a table that was printed before."""
    rows = []
    for line in path.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("| ").split("|")]
        if len(cells) == len(Row.__dataclass_fields__) and cells[0] in REPAIRS:
            repair, tolerated, groups, *numbers = cells
            rows.append(Row(repair, int(groups), int(tolerated), *map(float, numbers)))
    return rows


WIDTH, HEIGHT, MARGIN = 640, 360, 50
COLOURS = dict(zip(REPAIRS, ("#1f5fa8", "#b8442c", "#3c8246", "#7a4a9c"), strict=True))


def chart(before: list[Row], after: list[Row]) -> str:
    """Time to full redundancy against the state of all groups together: rings before, dots after."""
    most_x = max((row.state_mb * row.groups for row in after), default=0.0) or 1.0
    most_y = max(row.complete for row in [*before, *after])
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" '
        'font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<path d="M{MARGIN} 20V{HEIGHT - MARGIN}H{WIDTH - 20}" fill="none" stroke="black"/>',
        f'<text x="{WIDTH / 2:.0f}" y="{HEIGHT - 12}" text-anchor="middle">'
        f"state of all groups, 0 to {most_x:g} MB</text>",
        f'<text x="8" y="14">ms to full redundancy, 0 to {most_y:.0f}; rings: before, dots: after</text>',
    ]
    for rows, filled in ((before, False), (after, True)):
        for row in rows:
            x = MARGIN + (WIDTH - 20 - MARGIN) * row.state_mb * row.groups / most_x
            y = HEIGHT - MARGIN - (HEIGHT - MARGIN - 20) * row.complete / most_y
            colour = COLOURS[row.repair]
            fill = colour if filled else "none"
            parts.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="4" fill="{fill}" stroke="{colour}"/>')
    for place, (repair, colour) in enumerate(COLOURS.items()):
        parts.append(f'<text x="{WIDTH - 170}" y="{40 + 14 * place}" fill="{colour}">{repair}</text>')
    return "\n".join([*parts, "</svg>", ""])


def main() -> None:
    """Measure all that was asked for."""
    parser = argparse.ArgumentParser(description="Repairs in virtual time.")
    parser.add_argument("--groups", default="1,2,10,50")
    parser.add_argument("--tolerated", default="1,2")
    parser.add_argument("--state", default="0,1", help="MB of each group")
    parser.add_argument("--repairs", default=",".join(REPAIRS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=20.0, help="commands a second of each group")
    parser.add_argument("--link", type=float, default=1000.0, help="Mbit/s of each machine, each way")
    parser.add_argument("--chart", type=Path)
    parser.add_argument("--before", type=Path, help="a table of an earlier run, for the chart")
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
                    link_bytes_per_s=options.link * BYTES_PER_S_IN_MBIT,
                )
                for repair in options.repairs.split(","):
                    row = worst([measure(repair, seed, plan) for seed in range(options.seeds)])
                    rows.append(row)
                    print_row(row)
    if options.chart is not None:
        before = read_table(options.before) if options.before is not None else []
        options.chart.write_text(chart(before, rows))


if __name__ == "__main__":
    main()
