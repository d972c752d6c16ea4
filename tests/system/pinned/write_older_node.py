"""Writes `older_node.json`: run at 6e92cd6, from the repository's root, as

    python -m tests.system.pinned.write_older_node

What the older node in service keeps on disk: a steward's record of the fleet (LMDB, told here as its keys and
values, since a folder is bound to its file's inode), a node's folder of the fleet, and the workers that were
taken out by hand.
"""

from __future__ import annotations

import json
import tempfile
from enum import Enum
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from tests.system.pinned import program
from tests.system.pinned.samples import field_values, is_record

FILE = Path(__file__).with_name("older_node.json")
STEWARD = "steward-1"
TERM, VOTERS = 3, 1
NOTHING, CHANGE, MEMBERS = 0, 1, 2  # kinds of entries
WORKERS = ("worker-1", "an id/with.marks ~\u00e9")


def changes() -> list[Any]:
    """Entries of the record: each kind of item, and each kind of change."""
    plan = program.fleet_plan
    made: list[Any] = [plan.Bootstrap(plan.LeaseTerms(), "fleet-1")]
    each = [
        plan.SetClass("short", {"aim": 250.0, "value": 2.0}),
        plan.SetRule("rules", "drainGrace", 2000.0),
        plan.SetRule("allowed", "cancel", True),
        plan.EjectWorker("worker-1"),
        plan.EjectWorker("worker-2"),
        plan.ReinstateWorker("worker-2"),
        plan.LeastRelease((1, 4, 0)),
    ]
    for version, change in enumerate(each, 1):
        made.append(plan.AgreeChange(f"id-{version}", "ann", "why", 1000.0 + version, change))
        made.append(plan.Release(version, 2000.0 + version))
    made.append(plan.AgreeChange("id-8", "bob", "not released", 3000.0, plan.EjectWorker("worker-3")))
    made.append(plan.AgreeChange("id-9", "bob", "withdrawn", 3001.0, plan.EjectWorker("worker-4")))
    made.append(plan.WithdrawVersion(9, "cid", "a slip"))
    return made


def joins(digest: bytes) -> list[Any]:
    """A process that holds a lease, and one that has parted."""
    plan = program.fleet_plan
    lines = tuple(ledger().fresh)
    return [
        plan.LeaseStarted("node-1", "boot-1", "site-1", (1, 4, 0), "serve", 7, digest, 4000.0),
        plan.LeaseStarted("node-2", "boot-2", "site-1", (1, 4, 0), "leave", 7, digest, 4001.0),
        plan.AuditRecorded("node-1", "boot-1", lines, 0, 4002.0),
        plan.LeaseEnded("node-2", "boot-2", 22, "it ended", 4003.0),
    ]


def ledger() -> Any:
    """What a process did."""
    made = program.AuditLedger("boot-1")
    made.add(1000.5, "joined", 7, 21)
    made.add(1001.5, "acts", 7, 21, "detail")
    made.add(1002.5, "lost", 7, 21, "no word")
    return made


def entries() -> tuple[list[Any], Any]:
    """The log's entries, and the record after them."""
    record = program.FleetRecord()
    made = [
        program.LogEntry(1, 1, MEMBERS, msgspec.msgpack.encode(program.LogMembers((f"{STEWARD}.aa",)))),
        program.LogEntry(2, 2, NOTHING, b""),
    ]
    for index, item in enumerate(changes(), 3):
        made.append(program.LogEntry(index, 2, CHANGE, program.fleet_item_bytes(item)))
        record.apply(index, item)
    for index, item in enumerate(joins(record.released.digest), 3 + len(changes())):
        made.append(program.LogEntry(index, TERM, CHANGE, program.fleet_item_bytes(item)))
        record.apply(index, item)
    return made, record


def steward() -> dict[str, dict[str, str]]:
    """Keys and values of a steward's folder."""
    log, _ = entries()
    half = len(log) // 2
    before = (log[half - 1].index, log[half - 1].term)
    early = program.FleetRecord()
    for entry in log[:half]:
        if entry.kind == CHANGE:
            early.apply(entry.index, program.fleet_item_from(entry.data))
    snapshot = program.LogSnapshot(
        before[0], before[1], program.LogMembers((f"{STEWARD}.aa",)), program.fleet_record_bytes(early)
    )
    with tempfile.TemporaryDirectory() as name:
        made = program.StewardStore(Path(name), STEWARD)
        made.write([program.LogWrite(1, 2, STEWARD, None, tuple(log[:-2]), None, (0, 0))], VOTERS)
        made.write(
            [program.LogWrite(2, TERM, STEWARD, len(log) - 2, tuple(log[-3:]), snapshot, before)], VOTERS
        )
        made.close()
        return read_all(Path(name))


def read_all(folder: Path) -> dict[str, dict[str, str]]:
    """All keys and values of an LMDB folder."""
    environment = lmdb.open(str(folder), max_dbs=2, lock=False, readonly=True)
    found = {}
    for name in ("meta", "log"):
        table = environment.open_db(name.encode(), create=False)
        with environment.begin(db=table) as reading:
            found[name] = {bytes(key).hex(): bytes(value).hex() for key, value in reading.cursor()}
    environment.close()
    return found


def bans() -> list[str]:
    """Names of the files of workers that were taken out."""
    with tempfile.TemporaryDirectory() as name:
        made = program.ManualEjections(Path(name) / "out")
        for worker in WORKERS:
            made.add(worker)
        return sorted(path.name for path in (Path(name) / "out").iterdir())


def node_config() -> dict[str, Any]:
    """A node's file with every key, none of them at its default."""
    job_class = {
        "name": "short",
        "effect": "token",
        "aim": 250.0,
        "giveUp": 900.0,
        "value": 2.5,
        "lateWorth": 0.25,
        "group": "cell",
        "window": 30.0,
        "stream": True,
        "aimStretch": 1.5,
    }
    member = {
        "id": "w-1",
        "host_port": "10.0.0.1:80",
        "locality": "zone-1",
        "flavor": "k-2",
        "cell": 2,
        "phase": "draining",
        "size": 1.25,
        "up_since_ms": 29.0,
    }
    return {
        "name": "node-7",
        "listen": "127.0.0.1:8001",
        "discovery": "127.0.0.1:8002",
        "console": "127.0.0.1:8003",
        "seed": "ff",
        "limits": {"sockets": 333},
        "known": {"revision": 9, "complete": True, "members": [member]},
        "settings": {
            "classes": [job_class],
            "me": 3,
            "balancers": 5,
            "locality": "zone-2",
            "rules": {
                "mustAskIn": 11.0,
                "drainGrace": 12.0,
                "graceToAnswer": 13.0,
                "coldFrom": 0.14,
                "warmWithin": 15.0,
                "tipMultiple": 1.6,
                "fall": 17.0,
            },
            "allowed": {
                "cancel": True,
                "mayProbe": True,
                "secondCopies": True,
                "tryLimit": 4,
                "retryAfter": True,
                "maxRetryAfter": 18.0,
                "dialTimeout": 19.0,
                "connIdle": 20.0,
            },
            "familyInfo": {
                "classKind": [1],
                "classPriority": [2],
                "classStretch": [1.75],
                "queueOrder": "fifo",
                "tellsStart": True,
                "progress": 21.0,
            },
            "deductions": {"lateFail": 22.0, "waste": 23.0, "crossZone": 24.0},
            "kinds": ["k-1", "k-2"],
            "tick": 25.0,
            "clientHabits": {"marksRetry": True},
            "overShareWorth": 0.26,
            "realms": [{"name": "realm-1", "share": 0.27, "quotaPerS": 28.0}],
            "registryMode": "on_request",
            "weights": "told",
            "report": {"columns": ["a", "b"]},
        },
    }


def leaves(value: Any) -> list[Any]:
    """All values in a configuration that was read, in the order of the fields; enums by their place."""
    if is_record(type(value)):
        return [leaf for each in field_values(value) for leaf in leaves(each)]
    if isinstance(value, list | tuple):
        return [leaf for each in value for leaf in leaves(each)]
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, Enum):
        return [list(type(value)).index(value)]
    return [value]


def read_config() -> list[Any]:
    """What a node makes of that file."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "node.json"
        path.write_text(json.dumps(node_config()), "utf-8")
        return leaves(program.load_node_config({}, str(path)))


def pinned() -> dict[str, Any]:
    """All that is pinned."""
    _, record = entries()
    return {
        "steward": steward(),
        "record": program.fleet_record_bytes(record).hex(),
        "released": msgspec.msgpack.encode(record.released).hex(),
        "acts-boot-1": "".join(msgspec.json.encode(line).decode() + "\n" for line in ledger().fresh),
        "plan": msgspec.msgpack.encode(record.released).hex(),
        "bans": bans(),
        "configuration": read_config(),
    }


if __name__ == "__main__":
    FILE.write_text(json.dumps(pinned(), indent=1, ensure_ascii=True) + "\n", "utf-8")
