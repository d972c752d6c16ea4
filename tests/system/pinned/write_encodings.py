"""Writes `encodings.json`: run at 6e92cd6, from the repository's root, as

python -m tests.system.pinned.write_encodings
"""

from __future__ import annotations

import json
import struct
from pathlib import Path
from typing import Any

import msgspec

from tests.system.pinned import program
from tests.system.pinned.samples import (
    enum_names,
    enum_values,
    field_values,
    leaf_names,
    sample,
    tag_of,
    union_members,
)

FILE = Path(__file__).with_name("encodings.json")
SALT, BATCH = 0x5EED_CAFE, 7
SNAPSHOT_INDEX, SNAPSHOT_WALL_MS, SNAPSHOT_NOW = 23, 1_700_000_000_000, 100.0


def both(kind: type) -> list[Any]:
    """A value with all parts, and one without those that may be missing."""
    return [sample(kind, complete=True), sample(kind, complete=False)]


def encoded(kind: type, encode: Any) -> list[str]:
    """Bytes of both values."""
    return [encode(value).hex() for value in both(kind)]


def records_of(record_set: Any) -> list[type]:
    """The classes of a set by their numbers (of 6e92cd6: the set has no public list of them)."""
    return [codec.record for codec in record_set._codecs]


def enums_of(kinds: list[Any]) -> list[list[Any]]:
    """Values of all enums that these classes lead to."""
    found: dict[type, list[Any]] = {}
    for kind in kinds:
        enum_values(kind, found)
    return list(found.values())


def all_classes(sets: dict[str, list[type]]) -> dict[str, type]:
    """Every class of records that is pinned, by a label that is no name of the program."""
    found = {f"{name} {number}": kind for name, kinds in sets.items() for number, kind in enumerate(kinds)}
    found |= program.AVRO_RECORDS | program.MSGPACK_RECORDS
    found |= {f"journal {number}": kind for number, kind in enumerate(program.JOURNAL_RECORDS, 1)}
    unions = (program.FLEET_MESSAGES, program.FLEET_ITEMS, program.HANDOVER_MESSAGES)
    for name, union in zip(("fleet message", "fleet item", "handover"), unions, strict=True):
        found |= {f"{name} {tag_of(kind)}": kind for kind in union_members(union)}
    return found


def names_of(classes: dict[str, type]) -> dict[str, Any]:
    """Names of classes, fields and members of enums, by the labels of `all_classes`."""
    return {
        label: {"class": kind.__name__, "fields": leaf_names(kind), "enums": enum_names(kind)}
        for label, kind in classes.items()
    }


def queue_snapshot() -> bytes:
    """A snapshot with three messages: one without optional parts, one that waits, and one that is done."""
    header = program.AVRO_RECORDS["queue snapshot header"]
    bare, waits, done = (
        saved_message(complete=False, index=2, state=0, ended_ms=0),
        saved_message(complete=True, index=5, state=0, ended_ms=0),
        saved_message(complete=True, index=9, state=1, ended_ms=1500),
    )
    values = [header(SNAPSHOT_INDEX, SNAPSHOT_WALL_MS, 3), bare, waits, done]
    parts = [program.RecordCodec(type(value)).encode(value) for value in values]
    return b"".join(struct.pack(">I", len(part)) + part for part in parts)


def saved_message(*, complete: bool, index: int, state: int, ended_ms: int) -> Any:
    """A message of a snapshot; the named fields are the second, the third and the last."""
    kind = program.AVRO_RECORDS["queue snapshot message"]
    message, _, sampled_state, *others, _ = field_values(sample(kind, complete=complete))
    return kind(message, index, type(sampled_state)(state), *others, ended_ms)


def pinned() -> dict[str, Any]:
    """All that is pinned."""
    sets = {name: records_of(each) for name, each in program.RECORD_SETS.items()}
    alone = list(program.AVRO_RECORDS.values())
    journal = [value for kind in program.JOURNAL_RECORDS for value in both(kind)]
    return {
        "record sets": {
            name: [encoded(kind, program.RECORD_SETS[name].encode) for kind in kinds]
            for name, kinds in sets.items()
        },
        "avro": {
            name: encoded(kind, program.RecordCodec(kind).encode)
            for name, kind in program.AVRO_RECORDS.items()
        },
        "msgpack": {
            name: encoded(kind, msgspec.msgpack.encode) for name, kind in program.MSGPACK_RECORDS.items()
        },
        "enums": {
            **{name: enums_of(kinds) for name, kinds in sets.items()},
            "alone": enums_of(alone),
            "handover": enums_of(union_members(program.HANDOVER_MESSAGES)),
        },
        "names": names_of(all_classes(sets)),
        "journal": {
            "segment header": program.encode_segment_header(SALT).hex(),
            "batch": program.encode_batch(SALT, BATCH, journal).hex(),
        },
        "queue snapshot": queue_snapshot().hex(),
        "document": program.encode_document(b"content of a document").hex(),
        "snapshot file": {
            "name": program.snapshot_file_name("shard/7", 12, 3),
            "header": program.snapshot_header(0xDEADBEEF, 4711).hex(),
        },
        "packed configuration": program.pack_configuration(b'{"version": 1}').hex(),
        "link frame": program.link_frame(b"payload").hex(),
        "consensus in msgpack": [encoded(kind, msgspec.msgpack.encode) for kind in sets["consensus"]],
        "fleet changes": {
            tag_of(kind): encoded(kind, msgspec.msgpack.encode)
            for kind in union_members(program.FLEET_CHANGES)
        },
        "fleet commands": {
            tag_of(kind): encoded(kind, msgspec.msgpack.encode)
            for kind in union_members(program.FLEET_COMMANDS)
        },
        "fleet messages": {
            tag_of(kind): encoded(kind, program.fleet_frame) for kind in union_members(program.FLEET_MESSAGES)
        },
        "fleet items": {
            tag_of(kind): encoded(kind, program.fleet_item_bytes)
            for kind in union_members(program.FLEET_ITEMS)
        },
        "handover": {
            tag_of(kind): encoded(kind, program.handover_line)
            for kind in union_members(program.HANDOVER_MESSAGES)
        },
    }


if __name__ == "__main__":
    FILE.write_text(json.dumps(pinned(), indent=1) + "\n", "utf-8")
