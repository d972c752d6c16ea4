"""What the emulator's figures are worth, as tables in Markdown.

.venv/bin/python benchmarks/emulator.py sockets SCENARIO...   virtual against wall time, seed 1
.venv/bin/python benchmarks/emulator.py troubles [--seeds N]  what each trouble costs the module against
the oracle .venv/bin/python benchmarks/emulator.py speed                 jobs a second of wall time;
cost against workers .venv/bin/python benchmarks/emulator.py days FOLDER           days drawn by the
operators' bench, see `days`
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import structlog

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
structlog.configure(logger_factory=structlog.ReturnLoggerFactory())

from bitternpath.testing.emulator.scenario_file import load, scenario_from  # noqa: E402
from bitternpath.testing.emulator.world import Result, World, play  # noqa: E402

SCENARIOS = ROOT / "scenarios"


def _play(given: tuple[Any, int, str]) -> Result:
    scenario, seed, policy = given
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    return play(scenario, seed, policy, traced=False)


def on_all_cores(work: list[tuple[Any, int, str]]) -> list[Result]:
    with multiprocessing.get_context("spawn").HttpUpstreamClient() as pool:
        return pool.map(_play, work, chunksize=1)


def table(heads: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def sockets(names: list[str]) -> None:
    """Each scenario in both kinds of time."""
    rows = []
    for name in names:
        file = Path(f"/tmp/{name}-sockets.json")
        command = [
            sys.executable,
            "-m",
            "bitternpath",
            "emulate",
            str(SCENARIOS / f"{name}.toml"),
            "--sockets",
        ]
        run = subprocess.run(
            [*command, "--json", str(file)], cwd=ROOT, capture_output=True, text=True, check=False
        )
        if not file.exists():
            rows.append([name, "-", "-", "-", run.stderr.strip()[-80:]])
            continue
        wall = json.loads(file.read_bytes())[0]
        virtual = play(load(SCENARIOS / f"{name}.toml"), 1)
        one, two = virtual.figures["service"], wall["figures"]["service"]
        kept = "kept" if virtual.passed and not wall["violations"] else str(wall["violations"][:2])
        rows.append([name, f"{one:.3f}", f"{two:.3f}", f"{two - one:+.3f}", kept])
        file.unlink()
    print(table(["scenario", "virtual", "sockets", "difference", "rules"], rows))


def troubles(seeds: int) -> None:
    """Each trouble alone on the calm scenario's world: what it costs the module and the oracle."""
    base = msgspec.to_builtins(load(SCENARIOS / "calm.toml")) | {"clients": {"load": 0.55}}
    single = {
        "none": [],
        "burst": [{"kind": "burst", "at": 15, "lasts": 7, "size": 2.0}],
        "slow": [{"kind": "slow", "at": 10, "lasts": 25, "part": 0.2, "size": 6.0}],
        "pauses": [{"kind": "pauses", "at": 8, "lasts": 30, "part": 0.39, "size": 60.0, "extra": 2.0}],
        "neighbour": [{"kind": "neighbour", "at": 8, "lasts": 30, "part": 0.4, "size": 0.55, "extra": 3.0}],
        "vanish": [{"kind": "vanish", "at": 10, "lasts": 18, "part": 0.19}],
        "site-loss": [{"kind": "site-loss", "at": 12, "lasts": 15, "site": "labasa"}],
        "site-loss, nodes": [{"kind": "site-loss", "at": 12, "lasts": 15, "site": "labasa", "nodes": True}],
        "link-cut": [
            {"kind": "link-cut", "at": 12, "lasts": 12, "site": "labasa", "other": "suva", "size": 2}
        ],
        "errors": [{"kind": "errors", "at": 10, "lasts": 20, "part": 0.15, "size": 0.9}],
        "discovery down": [
            {"kind": "discovery-down", "at": 8, "lasts": 20},
            {"kind": "vanish", "at": 10, "lasts": 12, "part": 0.12},
        ],
    }  # fmt: skip
    policies = ("module", "least", "oracle")
    work = [
        (scenario_from(base | {"name": name, "troubles": told}, name), seed, policy)
        for name, told in single.items()
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    found: dict[tuple[str, str], list[Result]] = {}
    for (scenario, _, policy), result in zip(work, on_all_cores(work), strict=True):
        found.setdefault((scenario.name, policy), []).append(result)

    def mean(name: str, policy: str, key: str = "service") -> float:
        return statistics.mean(r.figures[key] for r in found[name, policy])

    rows = []
    for name in single:
        gap = mean(name, "oracle") - mean(name, "module")
        classes = {
            c: statistics.mean(r.by_class[c] for r in found[name, "oracle"])
            - statistics.mean(r.by_class[c] for r in found[name, "module"])
            for c in found[name, "module"][0].by_class
        }
        worst = max(classes, key=lambda c: classes[c])
        seconds = {}
        for s in found[name, "module"][0].by_second:
            both = [[r.by_second.get(s, 1.0) for r in found[name, p]] for p in ("oracle", "module")]
            seconds[s] = statistics.mean(both[0]) - statistics.mean(both[1])
        worst_second = max(seconds, key=lambda s: seconds[s])
        broken = sum(not r.passed for r in found[name, "module"])
        rows.append(
            [name, *(f"{mean(name, p):.3f}" for p in policies), f"{gap:.3f}",
             f"{worst} ({classes[worst]:.3f})",
             f"{worst_second} s ({seconds[worst_second]:.3f})", str(broken)]
        )  # fmt: skip
    rows.sort(key=lambda row: float(row[4]), reverse=True)
    heads = [
        "trouble",
        *policies,
        "module to oracle",
        "class that loses most",
        "second that loses most",
        "runs with rules broken",
    ]
    print(table(heads, rows))


def speed() -> None:
    """Jobs a second, and what a job costs as the fleet grows at the same load a worker."""
    rows = []
    for name in ("calm", "neighbours", "cyclone-week"):
        runs = [play(load(SCENARIOS / f"{name}.toml"), seed) for seed in (1, 2, 3)]
        rate = statistics.median(r.requests / r.wall_s for r in runs)
        rows.append([name, str(runs[0].requests), f"{rate:.0f}"])
    print(table(["scenario (14 workers, 3 nodes)", "jobs", "jobs a second of wall time"], rows))
    base = msgspec.to_builtins(load(SCENARIOS / "calm.toml"))
    rows = []
    for workers, nodes in ((14, 3), (100, 8), (500, 30)):  # 2,000 takes too long yet, see docs/results
        sites = [
            {"name": f"s{k}", "workers": workers // 2, "nodes": max(nodes // 2, 1), "traffic": 1.0}
            for k in range(2)
        ]
        seconds = max(1200.0 / workers, 1.5)
        told = base | {"sites": sites, "seconds": seconds, "clients": {"load": 0.5}}
        spent = {}
        for policy in ("module", "random"):
            world = World(scenario_from(told, "speed"), 1, policy, traced=False)
            begun = time.perf_counter()
            result = world.run()
            spent[policy] = (time.perf_counter() - begun) / max(result.requests, 1) * 1e6
        own = spent["module"] - spent["random"]
        rows.append(
            [str(workers), str(nodes), f"{spent['module']:.0f}", f"{spent['random']:.0f}", f"{own:.0f}"]
        )
    print()
    print(table(["workers", "nodes", "us a job, module", "us a job, random", "difference"], rows))


def of_day(day: dict[str, Any]) -> tuple[Any, dict[str, Any]]:
    """A day of the operators' bench in our words, as far as both know the same things."""
    tier, net, zones = day["tiers"][0], day["net"], day["zones"]
    kinds = [
        {"name": k["name"], "cores": k["cores"], "slots": k["slots"], "queue": k["queue"],
         "crowded": k["knee"], "strain": k["thrash"], "cold_share": k["cold_from"], "cold_s": k["cold"] / 1e6,
         "errors": k["error_rate"], "drops_expired": k["drops_expired"]}
        for k in tier["kinds"]
    ]  # fmt: skip
    classes = [
        {"name": c["name"], "share": c["share"], "work": c["work"] / 1000.0, "spread": c["dist"],
         "cv": c["cv"], "aim": c["aim"] / 1000.0, "stretch": n["stretch"],
         "give_up": c["deadline"] / 1000.0, "worth": c["worth"],
         "late_worth": c["late_worth"], "safe": c["effect"] == "safe"}
        for c, n in zip(day["classes"], day["fam"]["needs"], strict=True)
    ]  # fmt: skip
    names = {
        "pauses": "pauses",
        "neighbour": "neighbour",
        "slow": "slow",
        "vanish": "vanish",
        "burst": "burst",
    }
    told = []
    for t in day["troubles"]:
        entry = {"kind": names.get(t["kind"], "site-loss"), "at": t["at"] / 1e6, "lasts": t["len"] / 1e6}
        if t["kind"] == "zone_loss":
            entry |= {"site": zones[t["which"]], "nodes": t["size"] > 0.5, "silent": t["extra"] > 0.5}
        else:
            entry |= {
                "size": t["size"],
                "extra": t["extra"],
                "part": max(len(t["on"]), 1) / len(day["servers"]),
            }
            if t["kind"] == "pauses":
                entry |= {
                    "size": t["size"] / 1000.0 if t["size"] > 1000 else t["size"],
                    "extra": t["extra"] / 1e6 if t["extra"] > 100 else t["extra"],
                }
            if t["kind"] == "neighbour" and t["extra"] > 100:
                entry["extra"] = t["extra"] / 1e6
        told.append(entry)
    servers, nodes = day["servers"], day["balancers"]
    clients, found = day["clients"], day["discovery"]
    made = {
        "name": "day",
        "seconds": day["length"] / 1e6,
        "sites": [
            {"name": zone, "traffic": day["traffic"]["zone_share"][k],
             "workers": sum(s["zone"] == k for s in servers), "nodes": sum(b["zone"] == k for b in nodes)}
            for k, zone in enumerate(zones)
        ],
        "kinds": kinds,
        "classes": classes,
        "clients": {"load": day["traffic"]["load"], "retries": clients["retries"],
                    "backoff_ms": clients["backoff_us"] / 1000.0, "honour": clients["honour"]},
        "net": {"same_ms": net["same"] / 1000.0, "cross_ms": net["cross"] / 1000.0,
                "client_ms": net["client"] / 1000.0, "jitter": net["jitter"]},
        "discovery": {"notice_s": found["notice"] / 1e6, "silent_notice_s": found["silent_notice"] / 1e6,
                      "add_s": found["add"] / 1e6, "spread_s": found["spread"] / 1e6},
        "front_notice_s": day["front_notice"] / 1e6,
        "troubles": told,
    }  # fmt: skip
    return scenario_from(made, "day"), day


def _play_day(given: tuple[str, str]) -> float:
    file, policy = given
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    scenario, day = of_day(json.loads(Path(file).read_text()))
    values = []
    for seed in (1, 2, 3):
        world = World(scenario, seed, policy, traced=False)
        workers = sorted(world.workers.values(), key=lambda w: (w.site, w.id))
        for site in {w.site for w in workers}:
            own = [s for s in day["servers"] if day["zones"][s["zone"]] == site]
            for worker, server in zip([w for w in workers if w.site == site], own, strict=True):
                worker.speed, worker.kind = server["speed"], scenario.kinds[server["kind"]]
        world.clients.rate = scenario.clients.load * world.capacity()
        values.append(world.run().figures["service"])
    return statistics.mean(values)


def days(folder: Path) -> None:
    """`FOLDER/NAME.json` are days, `FOLDER/NAME.POLICY` what the operators' simulator made of them (G)."""
    policies = ("module", "random", "least")
    files = sorted(folder.glob("*.json"))
    work = [(str(file), policy) for file in files for policy in policies]
    with multiprocessing.get_context("spawn").HttpUpstreamClient() as pool:
        ours = dict(zip(work, pool.map(_play_day, work, chunksize=1), strict=True))
    rows = []
    for kind in sorted({file.stem.split("-")[0] for file in files}):
        named = [file for file in files if file.stem.split("-")[0] == kind]
        for policy in policies:
            theirs = {f: f.with_suffix(f".{policy}") for f in named}
            pairs = [(ours[str(f), policy], float(g.read_text())) for f, g in theirs.items() if g.exists()]
            if pairs:
                one, two = (statistics.mean(column) for column in zip(*pairs, strict=True))
                apart = statistics.mean(abs(a - b) for a, b in pairs)
                rows.append(
                    [
                        kind,
                        policy,
                        str(len(pairs)),
                        f"{one:.3f}",
                        f"{two:.3f}",
                        f"{one - two:+.3f}",
                        f"{apart:.3f}",
                    ]
                )
    print(table(["days", "policy", "number", "emulator", "simulator", "difference", "mean distance"], rows))


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("what", choices=("sockets", "troubles", "speed", "days"))
    options.add_argument("names", nargs="*")
    options.add_argument("--seeds", type=int, default=20)
    given = options.parse_args()
    if given.what == "sockets":
        sockets(given.names)
    elif given.what == "troubles":
        troubles(given.seeds)
    elif given.what == "speed":
        speed()
    else:
        days(Path(given.names[0]))


if __name__ == "__main__":
    main()
