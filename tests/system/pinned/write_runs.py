"""Writes `runs.json`: run at 6e92cd6, from the repository's root, as

    python -m tests.system.pinned.write_runs

What follows from a seed (plans, simulated runs, days of the older node's fleet and of its emulator) or from a
hash (shards of order keys and services, digests of changes).
"""

from __future__ import annotations

import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from tests.system.pinned import program

FILE = Path(__file__).with_name("runs.json")
ROOT = Path(__file__).resolve().parents[3]
PLAN_SEEDS = (1, 2, 3)
RUNS = (("mixed", 1), ("losses", 2), ("snapshots", 5))
FLEET_SEEDS = (1, 2, 283)
EMULATED = (("calm", 3), ("errors", 3), ("link-cut", 3))
KEYS = ("", "a", "key-7", "\u00e9 k", "0123456789" * 5)


def digest(data: bytes) -> str:
    """Short enough to be read in a comparison."""
    return hashlib.sha256(data).hexdigest()[:24]


def plans() -> dict[str, list[str]]:
    """Digests of the drawn plans, by scenario."""
    return {
        name: [digest(msgspec.json.encode(program.draw_plan(seed, scenario))) for seed in PLAN_SEEDS]
        for name, scenario in program.SCENARIOS.items()
    }


def run(name: str, seed: int) -> dict[str, Any]:
    """What a simulated run came to: as many events, in the same order, with the same end."""
    report = program.play_plan(program.draw_plan(seed, program.SCENARIOS[name]))
    return {
        "digest": report.digest,
        "seconds": round(report.seconds, 6),
        "events": report.events,
        "accepted": report.accepted,
        "acknowledged": report.acknowledged,
        "found": len(report.findings),
        "errors": len(report.errors),
    }


def emulated(name: str, seed: int) -> str:
    """Digest of all figures of a day of the emulator, but for how long it took to play."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "day.json"
        command = ["emulate", f"scenarios/{name}.toml", "--seed", str(seed), "--json", str(file)]
        done = subprocess.run([sys.executable, "-m", "bitternpath", *command], cwd=ROOT, capture_output=True)
        assert done.returncode in (0, 1), done.stderr  # 1: a rule was broken in it
        days = json.loads(file.read_bytes())
    for day in days:
        del day["wall_s"]
    return digest(json.dumps(days).encode())


def hashes() -> dict[str, Any]:
    """Shards, names and digests."""
    return {
        "shards of keys": [[program.shard_for(key, 2, shards) for key in KEYS] for shards in (3, 16, 300)],
        "home shards": [[program.home_shard(key, shards) for key in KEYS] for shards in (3, 16, 300)],
        "names": [program.message_id(7, "id-1"), program.lease_id(7, 3, 12)],
        "digests of changes": [
            program.Change(method, if_match, body).digest().hex()
            for method, if_match, body in (
                ("PUT", "", b"{}"),
                ("PATCH", '"12"', b'{"version": 13}'),
                ("PATCH", "no version", b""),
            )
        ],
    }


def pinned() -> dict[str, Any]:
    """All that is pinned."""
    return {
        "plans": plans(),
        "runs": {f"{name} {seed}": run(name, seed) for name, seed in RUNS},
        "fleet": {str(seed): str(program.play_fleet(seed)) for seed in FLEET_SEEDS},
        "emulator": {f"{name} {seed}": emulated(name, seed) for name, seed in EMULATED},
        "hashes": hashes(),
    }


if __name__ == "__main__":
    FILE.write_text(json.dumps(pinned(), indent=1) + "\n", "utf-8")
