"""Evaluates the accuracy and the speed of the emulator; prints Markdown tables.

.venv/bin/python benchmarks/emulator.py sockets SCENARIO...   virtual time compared with wall time, seed 1
.venv/bin/python benchmarks/emulator.py troubles [--seeds N]  cost of each fault, module compared with oracle
.venv/bin/python benchmarks/emulator.py speed                 jobs per second of wall time; CPU by fleet size
.venv/bin/python benchmarks/emulator.py days FOLDER           days of the operators' bench, see `compare_days`
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


def _run_scenario(run: tuple[Any, int, str]) -> Result:
    scenario, seed, policy = run
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    return play(scenario, seed, policy, traced=False)


def run_in_parallel(runs: list[tuple[Any, int, str]]) -> list[Result]:
    with multiprocessing.get_context("spawn").HttpUpstreamClient() as pool:
        return pool.map(_run_scenario, runs, chunksize=1)


def format_table(headings: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(headings) + " |", "|" + " --- |" * len(headings)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def compare_sockets(names: list[str]) -> None:
    """Run each scenario in virtual time and over sockets in wall time and compare the results."""
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
        virtual_service, wall_service = virtual.figures["service"], wall["figures"]["service"]
        rules = "kept" if virtual.passed and not wall["violations"] else str(wall["violations"][:2])
        rows.append(
            [
                name,
                f"{virtual_service:.3f}",
                f"{wall_service:.3f}",
                f"{wall_service - virtual_service:+.3f}",
                rules,
            ]
        )
        file.unlink()
    print(format_table(["scenario", "virtual", "sockets", "difference", "rules"], rows))


def measure_faults(seeds: int) -> None:
    """Inject each fault separately into the calm scenario and compare the module with the oracle."""
    base = msgspec.to_builtins(load(SCENARIOS / "calm.toml")) | {"clients": {"load": 0.55}}
    faults = {
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
    runs = [
        (scenario_from(base | {"name": name, "troubles": fault_entries}, name), seed, policy)
        for name, fault_entries in faults.items()
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    results: dict[tuple[str, str], list[Result]] = {}
    for (scenario, _, policy), result in zip(runs, run_in_parallel(runs), strict=True):
        results.setdefault((scenario.name, policy), []).append(result)

    def mean(name: str, policy: str, key: str = "service") -> float:
        return statistics.mean(r.figures[key] for r in results[name, policy])

    rows = []
    for name in faults:
        service_gap = mean(name, "oracle") - mean(name, "module")
        classes = {
            c: statistics.mean(r.by_class[c] for r in results[name, "oracle"])
            - statistics.mean(r.by_class[c] for r in results[name, "module"])
            for c in results[name, "module"][0].by_class
        }
        worst = max(classes, key=lambda c: classes[c])
        seconds = {}
        for s in results[name, "module"][0].by_second:
            services = [[r.by_second.get(s, 1.0) for r in results[name, p]] for p in ("oracle", "module")]
            seconds[s] = statistics.mean(services[0]) - statistics.mean(services[1])
        worst_second = max(seconds, key=lambda s: seconds[s])
        broken_runs = sum(not r.passed for r in results[name, "module"])
        rows.append(
            [name, *(f"{mean(name, p):.3f}" for p in policies), f"{service_gap:.3f}",
             f"{worst} ({classes[worst]:.3f})",
             f"{worst_second} s ({seconds[worst_second]:.3f})", str(broken_runs)]
        )  # fmt: skip
    rows.sort(key=lambda row: float(row[4]), reverse=True)
    headings = [
        "trouble",
        *policies,
        "module to oracle",
        "class that loses most",
        "second that loses most",
        "runs with rules broken",
    ]
    print(format_table(headings, rows))


def measure_speed() -> None:
    """Measure jobs per second, and CPU time per job by fleet size at a constant load per worker."""
    rows = []
    for name in ("calm", "neighbours", "cyclone-week"):
        runs = [play(load(SCENARIOS / f"{name}.toml"), seed) for seed in (1, 2, 3)]
        rate = statistics.median(r.requests / r.wall_s for r in runs)
        rows.append([name, str(runs[0].requests), f"{rate:.0f}"])
    print(format_table(["scenario (14 workers, 3 nodes)", "jobs", "jobs a second of wall time"], rows))
    base = msgspec.to_builtins(load(SCENARIOS / "calm.toml"))
    rows = []
    for workers, nodes in ((14, 3), (100, 8), (500, 30)):  # 2,000 workers take too long, see docs/results
        sites = [
            {"name": f"s{k}", "workers": workers // 2, "nodes": max(nodes // 2, 1), "traffic": 1.0}
            for k in range(2)
        ]
        seconds = max(1200.0 / workers, 1.5)
        scenario_table = base | {"sites": sites, "seconds": seconds, "clients": {"load": 0.5}}
        cpu_us = {}
        for policy in ("module", "random"):
            world = World(scenario_from(scenario_table, "speed"), 1, policy, traced=False)
            started_at = time.perf_counter()
            result = world.run()
            cpu_us[policy] = (time.perf_counter() - started_at) / max(result.requests, 1) * 1e6
        module_us = cpu_us["module"] - cpu_us["random"]
        rows.append(
            [
                str(workers),
                str(nodes),
                f"{cpu_us['module']:.0f}",
                f"{cpu_us['random']:.0f}",
                f"{module_us:.0f}",
            ]
        )
    print()
    print(format_table(["workers", "nodes", "us a job, module", "us a job, random", "difference"], rows))


def scenario_of_day(day: dict[str, Any]) -> tuple[Any, dict[str, Any]]:
    """Convert a day of the operators' bench into a scenario, as far as the two models overlap."""
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
    fault_entries = []
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
        fault_entries.append(entry)
    servers, nodes = day["servers"], day["balancers"]
    clients, discovery = day["clients"], day["discovery"]
    scenario_table = {
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
        "discovery": {"notice_s": discovery["notice"] / 1e6,
                      "silent_notice_s": discovery["silent_notice"] / 1e6,
                      "add_s": discovery["add"] / 1e6, "spread_s": discovery["spread"] / 1e6},
        "front_notice_s": day["front_notice"] / 1e6,
        "troubles": fault_entries,
    }  # fmt: skip
    return scenario_from(scenario_table, "day"), day


def _run_day(run: tuple[str, str]) -> float:
    file, policy = run
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    scenario, day = scenario_of_day(json.loads(Path(file).read_text()))
    values = []
    for seed in (1, 2, 3):
        world = World(scenario, seed, policy, traced=False)
        workers = sorted(world.workers.values(), key=lambda w: (w.site, w.id))
        for site in {w.site for w in workers}:
            servers = [s for s in day["servers"] if day["zones"][s["zone"]] == site]
            for worker, server in zip([w for w in workers if w.site == site], servers, strict=True):
                worker.speed, worker.kind = server["speed"], scenario.kinds[server["kind"]]
        world.clients.rate = scenario.clients.load * world.capacity()
        values.append(world.run().figures["service"])
    return statistics.mean(values)


def compare_days(folder: Path) -> None:
    """Compare the emulator with the operators' simulator on the days in a folder.

    `NAME.json` is a day, `NAME.POLICY` the score (G) that the simulator computed for it with a policy.
    """
    policies = ("module", "random", "least")
    files = sorted(folder.glob("*.json"))
    runs = [(str(file), policy) for file in files for policy in policies]
    with multiprocessing.get_context("spawn").HttpUpstreamClient() as pool:
        emulator_scores = dict(zip(runs, pool.map(_run_day, runs, chunksize=1), strict=True))
    rows = []
    for kind in sorted({file.stem.split("-")[0] for file in files}):
        kind_files = [file for file in files if file.stem.split("-")[0] == kind]
        for policy in policies:
            simulator_files = {f: f.with_suffix(f".{policy}") for f in kind_files}
            pairs = [
                (emulator_scores[str(f), policy], float(g.read_text()))
                for f, g in simulator_files.items()
                if g.exists()
            ]
            if pairs:
                emulator_mean, simulator_mean = (
                    statistics.mean(column) for column in zip(*pairs, strict=True)
                )
                mean_distance = statistics.mean(abs(a - b) for a, b in pairs)
                rows.append(
                    [
                        kind,
                        policy,
                        str(len(pairs)),
                        f"{emulator_mean:.3f}",
                        f"{simulator_mean:.3f}",
                        f"{emulator_mean - simulator_mean:+.3f}",
                        f"{mean_distance:.3f}",
                    ]
                )
    print(
        format_table(
            ["days", "policy", "number", "emulator", "simulator", "difference", "mean distance"], rows
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("sockets", "troubles", "speed", "days"))
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    if options.what == "sockets":
        compare_sockets(options.names)
    elif options.what == "troubles":
        measure_faults(options.seeds)
    elif options.what == "speed":
        measure_speed()
    else:
        compare_days(Path(options.names[0]))


if __name__ == "__main__":
    main()
