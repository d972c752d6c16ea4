"""What is sent and stored keeps its bytes: one example of every record, as 6e92cd6 encoded it.

A record's class is found by its number or tag, and its value built from the order and types of its fields
(`pinned.samples`), so renaming classes and fields changes nothing here.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from tests.system.pinned import program
from tests.system.pinned.samples import (
    enum_names,
    field_values,
    leaf_names,
    moved,
    sample,
    tag_of,
    union_members,
)
from tests.system.pinned.write_encodings import (
    BATCH,
    SALT,
    SNAPSHOT_INDEX,
    SNAPSHOT_NOW,
    SNAPSHOT_WALL_MS,
    all_classes,
    enums_of,
)

PINNED = json.loads((Path(__file__).parent / "pinned" / "encodings.json").read_text("utf-8"))


class PinnedCase(unittest.TestCase):
    """Checks one class of records against its two pinned encodings."""

    def check(
        self, pinned: list[str], decode: Callable[[bytes], Any], encode: Callable[[Any], bytes]
    ) -> type:
        """Both examples decode to the values of the class and encode to the same bytes; the class."""
        kinds = set()
        for text, complete in zip(pinned, (True, False), strict=True):
            data = bytes.fromhex(text)
            value = decode(data)
            kinds.add(type(value))
            self.assertEqual(value, sample(type(value), complete=complete))
            self.assertEqual(encode(value), data)
            self.assertEqual(encode(sample(type(value), complete=complete)), data)
        self.assertEqual(len(kinds), 1)
        return kinds.pop()


class RecordSets(PinnedCase):
    def test_every_record_of_a_set_has_its_number_and_bytes(self) -> None:
        self.assertEqual(list(program.RECORD_SETS), list(PINNED["record sets"]))
        for name, records in PINNED["record sets"].items():
            record_set = program.RECORD_SETS[name]
            kinds = []
            for number, pinned in enumerate(records):
                with self.subTest(set=name, number=number):
                    self.assertEqual(bytes.fromhex(pinned[0])[0], number)
                    kinds.append(self.check(pinned, record_set.decode, record_set.encode))
            self.assertEqual(len(set(kinds)), len(records), name)

    def test_a_set_has_no_further_records(self) -> None:
        for name, records in PINNED["record sets"].items():
            with self.subTest(set=name), self.assertRaisesRegex(program.CodecError, "unknown kind"):
                program.RECORD_SETS[name].decode(bytes([len(records)]) + bytes(200))

    def test_enums_have_their_numbers(self) -> None:
        expected = PINNED["enums"]
        for name, record_set in program.RECORD_SETS.items():
            kinds = [type(record_set.decode(bytes.fromhex(each[0]))) for each in PINNED["record sets"][name]]
            with self.subTest(set=name):
                self.assertEqual(enums_of(kinds), expected[name])
        self.assertEqual(enums_of(list(program.AVRO_RECORDS.values())), expected["alone"])
        self.assertEqual(enums_of(union_members(program.HANDOVER_MESSAGES)), expected["handover"])


class Places(unittest.TestCase):
    """Two fields of one type that change places keep every byte above and change what each of them means."""

    def test_no_field_stands_where_another_one_did(self) -> None:
        classes = all_classes(current_sets())
        self.assertEqual(list(classes), list(PINNED["names"]))
        for label, pinned in PINNED["names"].items():
            with self.subTest(record=label):
                names = leaf_names(classes[label])
                self.assertEqual(len(names), len(pinned["fields"]))
                self.assertEqual(moved(pinned["fields"], names), [])

    def test_no_record_has_the_number_of_another_one(self) -> None:
        """Two records of the same shape, such as a question and its answer, could change places unseen."""
        classes = all_classes(current_sets())
        for family in program.RECORD_SETS:
            before = [PINNED["names"][label]["class"] for label in classes if label.startswith(family)]
            after = [kind.__name__ for label, kind in classes.items() if label.startswith(family)]
            with self.subTest(set=family):
                self.assertEqual(moved(before, after), [])

    def test_no_member_of_an_enum_has_the_number_of_another_one(self) -> None:
        classes = all_classes(current_sets())
        for label, pinned in PINNED["names"].items():
            found = enum_names(classes[label])
            self.assertEqual(list(found), list(pinned["enums"]))
            for place, names in found.items():
                before = pinned["enums"][place]
                with self.subTest(record=label, enum=place):
                    self.assertEqual(list(names), list(before))
                    self.assertEqual(moved(list(before.values()), list(names.values())), [])


def current_sets() -> dict[str, list[type]]:
    """The classes of each set by their numbers."""
    return {
        name: [type(program.RECORD_SETS[name].decode(bytes.fromhex(pinned[0]))) for pinned in records]
        for name, records in PINNED["record sets"].items()
    }


class Alone(PinnedCase):
    def test_records_in_avro(self) -> None:
        self.assertEqual(list(program.AVRO_RECORDS), list(PINNED["avro"]))
        for name, kind in program.AVRO_RECORDS.items():
            codec = program.RecordCodec(kind)
            with self.subTest(record=name):
                self.assertIs(self.check(PINNED["avro"][name], codec.decode, codec.encode), kind)

    def test_records_in_msgpack(self) -> None:
        self.assertEqual(list(program.MSGPACK_RECORDS), list(PINNED["msgpack"]))
        for name, kind in program.MSGPACK_RECORDS.items():
            decode = msgspec.msgpack.Decoder(kind).decode
            with self.subTest(record=name):
                self.check(PINNED["msgpack"][name], decode, msgspec.msgpack.encode)

    def test_members_of_a_log_entry(self) -> None:
        members = program.members_from(bytes.fromhex(PINNED["msgpack"]["members"][0]))
        self.assertEqual(members, sample(program.MSGPACK_RECORDS["members"], complete=True))


class Journal(unittest.TestCase):
    def test_segment_header(self) -> None:
        header = bytes.fromhex(PINNED["journal"]["segment header"])
        self.assertEqual(program.encode_segment_header(SALT), header)
        self.assertEqual(program.decode_segment_header(header), SALT)

    def test_records_of_a_batch(self) -> None:
        data = bytes.fromhex(PINNED["journal"]["batch"])
        values = [
            sample(kind, complete=complete) for kind in program.JOURNAL_RECORDS for complete in (True, False)
        ]
        self.assertEqual(program.encode_batch(SALT, BATCH, values), data)
        offset, found, batches, last = 0, [], [], []
        while offset < len(data):
            frame = program.read_frame("file", SALT, data, offset)
            assert frame is not None
            start, offset, batch, is_last, record = field_values(frame)
            self.assertLess(start, offset)
            found.append(record)
            batches.append(batch)
            last.append(is_last)
        self.assertEqual(found, values)
        self.assertEqual(batches, [BATCH] * len(values))
        self.assertEqual(last, [False] * (len(values) - 1) + [True])

    def test_kinds_of_records_are_numbered_from_one(self) -> None:
        data = bytes.fromhex(PINNED["journal"]["batch"])
        offset, kinds = 0, []
        while offset < len(data):
            kinds.append(data[offset + 16])
            frame = program.read_frame("file", SALT, data, offset)
            assert frame is not None
            offset = field_values(frame)[1]
        self.assertEqual(kinds, [1, 1, 2, 2, 3, 3])


class Files(unittest.TestCase):
    def test_document(self) -> None:
        data = bytes.fromhex(PINNED["document"])
        self.assertEqual(program.encode_document(b"content of a document"), data)
        self.assertEqual(program.decode_document(Path("file"), data), b"content of a document")

    def test_snapshot_file(self) -> None:
        pinned = PINNED["snapshot file"]
        self.assertEqual(program.snapshot_file_name("shard/7", 12, 3), pinned["name"])
        self.assertEqual(program.snapshot_header(0xDEADBEEF, 4711).hex(), pinned["header"])

    def test_queue_snapshot_is_read_and_written_again(self) -> None:
        data = bytes.fromhex(PINNED["queue snapshot"])
        restored = program.decode_queue_snapshot(data, SNAPSHOT_NOW, SNAPSHOT_WALL_MS)
        index, entries = field_values(restored)
        self.assertEqual(index, SNAPSHOT_INDEX)
        self.assertEqual(len(entries), 3)
        again = program.encode_queue_snapshot(index, entries, SNAPSHOT_NOW, SNAPSHOT_WALL_MS)
        self.assertEqual(again, data)

    def test_packed_configuration(self) -> None:
        document = b'{"version": 1}'
        packed = bytes.fromhex(PINNED["packed configuration"])
        self.assertEqual(program.unpack_configuration(packed), document)
        self.assertEqual(program.unpack_configuration(program.pack_configuration(document)), document)

    def test_link_frame(self) -> None:
        self.assertEqual(program.link_frame(b"payload").hex(), PINNED["link frame"])


class OlderNode(PinnedCase):
    """The node in service: messages of stewards, agents and commands, and of two processes of one node."""

    def check_union(
        self,
        union: Any,
        pinned: dict[str, Any],
        decode: Callable[[bytes], Any],
        encode: Callable[[Any], bytes],
    ) -> None:
        self.assertEqual([tag_of(kind) for kind in union_members(union)], list(pinned))
        for kind in union_members(union):
            with self.subTest(tag=tag_of(kind)):
                self.assertIs(self.check(pinned[tag_of(kind)], decode, encode), kind)

    def test_fleet_messages(self) -> None:
        def decode(data: bytes) -> Any:
            (message,) = program.FleetFrames().feed(data)
            return message

        self.check_union(program.FLEET_MESSAGES, PINNED["fleet messages"], decode, program.fleet_frame)

    def test_consensus_messages_of_the_fleet(self) -> None:
        decode = msgspec.msgpack.Decoder(program.CONSENSUS_MESSAGES).decode
        kinds = current_sets()["consensus"]
        self.assertEqual(len(kinds), len(PINNED["consensus in msgpack"]))
        for number, (kind, pinned) in enumerate(zip(kinds, PINNED["consensus in msgpack"], strict=True)):
            with self.subTest(number=number):
                self.assertIs(self.check(pinned, decode, msgspec.msgpack.encode), kind)

    def test_changes_and_commands_of_the_fleet(self) -> None:
        for name, union in (
            ("fleet changes", program.FLEET_CHANGES),
            ("fleet commands", program.FLEET_COMMANDS),
        ):
            decode = msgspec.msgpack.Decoder(union).decode
            self.check_union(union, PINNED[name], decode, msgspec.msgpack.encode)

    def test_items_of_the_fleet_record(self) -> None:
        self.check_union(
            program.FLEET_ITEMS, PINNED["fleet items"], program.fleet_item_from, program.fleet_item_bytes
        )

    def test_handover_messages(self) -> None:
        def decode(data: bytes) -> Any:
            (message,) = program.HandoverLines().feed(data)
            return message

        self.check_union(program.HANDOVER_MESSAGES, PINNED["handover"], decode, program.handover_line)


if __name__ == "__main__":
    unittest.main()
