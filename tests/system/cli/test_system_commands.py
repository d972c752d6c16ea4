"""The system's command line: help, exit codes, and `check-disk` on intact and damaged folders."""

from __future__ import annotations

import io
import os
import re
import shutil
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import typer.main

from bitternpath.cli import main
from bitternpath.cli.system import app
from bitternpath.cli.system_tree import command as system_tree
from bitternpath.membership.bootstrap import BootstrapFile
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot, StorageWrite
from bitternpath.storage.commands import Batch, NewSnapshot
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.group_state import bootstrap_record, write_record
from bitternpath.storage.identity import load_identity
from bitternpath.storage.node_disk import LocalDisk
from bitternpath.storage.quarantine import quarantine_content
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES
from bitternpath.storage.segments import SegmentLog
from bitternpath.storage.snapshots import file_name
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.feed_messages import FeedUpdate
from bitternpath.transport.group_messages import BootstrapDecision, GroupPlacement, MemberAddress

COMMANDS = ("edge", "storage", "check-config", "check-disk", "show", "demo", "load")
MEMBERS = Members(("a", "b", "c"))
SALT = 7
SNAPSHOT = Snapshot(2, 1, MEMBERS, b"state")
SEGMENT = "journal/segment-00000001.log"
FIRST_BODY = SEGMENT_HEADER_BYTES + 20  # inside the first record

INVALID_ARGUMENTS: list[tuple[str, str]] = [
    ("system", "Usage"),
    ("system nope", "nope"),
    ("system --nope", "--nope"),
    ("system show", "node"),
    ("system show 10.0.0.1:1 --seconds 0", "0.2"),
    ("system show 10.0.0.1:1 --seconds soon", "Invalid value for '--seconds'"),
    ("system check-disk", "folder"),
    ("system check-disk a b", "b"),
    ("system check-config file", "file"),
    ("system check-config --config", "--config"),
    ("system edge more", "more"),
    ("edge more", "edge"),
    ("storage more", "storage"),
]


@dataclass(frozen=True, slots=True)
class Result:
    """Exit code and output of a command."""

    code: int
    output: str
    errors: str


def run(*arguments: str) -> Result:
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        code = main(arguments)
    return Result(code, output.getvalue(), errors.getvalue())


def entries(first: int, number: int) -> tuple[Entry, ...]:
    return tuple(Entry(index, 1, EntryKind.COMMAND, b"x" * 20) for index in range(first, first + number))


def make_folder(folder: Path) -> None:
    """Write a data folder with two groups, one of which has a snapshot and an entry after it."""
    load_identity(folder, generate=lambda: "0123abcd")
    log = SegmentLog(LocalFileSystem(folder), lambda: SALT, 1 << 30)
    records = [
        bootstrap_record(group, PersistentState(snapshot=Snapshot(members=MEMBERS))) for group in ("g", "h")
    ]
    log.write(Batch(records, []))
    log.write(Batch([write_record("g", StorageWrite(1, 1, "a", None, entries(1, 2), None, (0, 0)))], []))
    named = StorageWrite(2, 1, "a", None, entries(3, 1), SNAPSHOT, (2, 1))
    log.write(Batch([write_record("g", named)], [NewSnapshot("g", SNAPSHOT)]))
    log.write(Batch([write_record("h", StorageWrite(1, 3, "b", None, entries(1, 4), None, (0, 0)))], []))
    log.close()


def contents(folder: Path) -> dict[str, bytes]:
    return {str(path.relative_to(folder)): path.read_bytes() for path in folder.rglob("*") if path.is_file()}


def flip(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


class HelpTest(unittest.TestCase):
    def test_all_commands_are_named(self) -> None:
        result = run("system", "--help")
        self.assertEqual((result.code, result.errors), (0, ""))
        for command in COMMANDS:
            with self.subTest(command):
                self.assertRegex(result.output, rf"(?m)^\W*{command}\s")
                self.assertEqual(run("system", command, "--help").code, 0)

    def test_the_main_help_names_the_system_commands(self) -> None:
        result = run("--help")
        self.assertEqual(result.code, 0)
        self.assertRegex(result.output, r"(?m)^\s+system\s")


class InvalidArgumentsTest(unittest.TestCase):
    def test_exit_code_and_what_is_wrong(self) -> None:
        for line, expected in INVALID_ARGUMENTS:
            with self.subTest(line):
                result = run(*line.split())
                self.assertEqual(result.code, 2)
                self.assertIn(expected, result.output + result.errors)

    def test_invalid_settings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text("ip = 5")
            result = run("system", "check-config", "--config", str(path))
            self.assertEqual((result.code, len(result.output.splitlines())), (2, 1))
            path.write_text('node_name = "a"\nip = "10.0.0.1"\ninternal_port_range = [1, 2]\n')
            self.assertEqual(run("system", "check-config", "--config", str(path)).code, 0)


# A command line whose last word is completed; some expected and some unexpected completions.
COMPLETIONS: list[tuple[str, set[str], set[str]]] = [
    ("sys", {"system"}, {"steward"}),
    ("", {"serve", "system", "version"}, {"show"}),
    ("system ", {"edge", "storage", "check-config", "check-disk", "show"}, {"serve"}),
    ("system s", {"show", "storage"}, {"edge"}),
    ("system show --", {"--seconds", "--help"}, {"--config"}),
    ("system check-config --", {"--config"}, {"--seconds"}),
    ("system demo --", {"--no-faults", "--faults"}, {"--config"}),
    ("system nope ", set(), {"--config"}),
]


class CompletionTest(unittest.TestCase):
    def complete(self, line: str) -> set[str]:
        words = ["bitternpath", *line.split(" ")]
        result = subprocess.run(
            [sys.executable, "-m", "bitternpath"],
            env={
                **os.environ,
                "_BITTERNPATH_COMPLETE": "bash_complete",
                "COMP_WORDS": " ".join(words),
                "COMP_CWORD": str(len(words) - 1),
            },
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        self.assertEqual(result.stderr, "")
        return {line.partition(",")[2] for line in result.stdout.splitlines()}

    def test_completion_of_system_commands(self) -> None:
        for line, wanted, unwanted in COMPLETIONS:
            with self.subTest(line):
                found = self.complete(line)
                self.assertEqual((wanted - found, unwanted & found), (set(), set()))

    def test_the_click_mirror_has_all_commands_and_options(self) -> None:
        source: Any = typer.main.get_command(app)
        self.assertEqual(set(system_tree.commands), set(source.commands))
        for name, each in source.commands.items():
            names = {option for one in each.params for option in [*one.opts, *one.secondary_opts]}
            mirrored = system_tree.commands[name].params
            self.assertEqual({o for one in mirrored for o in [*one.opts, *one.secondary_opts]}, names)

    def test_a_call_through_click_runs_the_command(self) -> None:
        for line, code in (("system --help", 0), ("system show", 2), ("system check-disk /nowhere", 1)):
            with self.subTest(line):
                self.assertEqual(run("--", *line.split()).code, code)


class CheckDiskTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name) / "data"
        make_folder(self.folder)

    def check(self, expected: int) -> str:
        """Run the command and return its output; it must not change the folder."""
        before = contents(self.folder)
        result = run("system", "check-disk", str(self.folder))
        self.assertEqual(result.code, expected, result.output + result.errors)
        self.assertEqual(contents(self.folder), before)
        return result.output

    def test_intact_folder(self) -> None:
        lines = self.check(0).splitlines()
        self.assertRegex(lines[0], r"^identity=True bytes=[1-9]\d*$")
        self.assertEqual(
            [line.strip() for line in lines[1:]],
            [
                "g term=1 snapshot_index=2 entries=1 last_index=3",
                "h term=3 snapshot_index=0 entries=4 last_index=4",
            ],
        )

    def test_torn_tail_is_no_damage(self) -> None:
        path = self.folder / SEGMENT
        path.write_bytes(path.read_bytes()[:-5])
        original_size = path.stat().st_size + 5
        printed = self.check(0)
        self.assertNotIn("h term=3", printed)
        found = re.search(rf"torn tail: {SEGMENT} at offset (\d+): (\d+) bytes", printed)
        assert found is not None
        self.assertEqual(int(found[1]) + int(found[2]), original_size - 5)
        self.assertGreater(int(found[2]), 0)

    def test_torn_header_is_no_damage(self) -> None:
        torn = SEGMENT.replace("1.log", "2.log")
        (self.folder / torn).write_bytes(b"BTWL")
        self.assertIn(f"torn tail: {torn} at offset 0: 4 bytes", self.check(0))

    def test_intact_has_no_torn_tail(self) -> None:
        self.assertNotIn("torn", self.check(0))

    def test_damaged_identity(self) -> None:
        (self.folder / "identity").write_text("0123abcX")
        self.assertEqual(self.check(1), "damaged: identity at offset 0: not 8 hex digits\n")

    def test_bootstrap_decision(self) -> None:
        placement = GroupPlacement("configuration", 1, (MemberAddress("a/1", "a", "10.0.0.1:1", "z"),))
        BootstrapFile(self.folder).store(BootstrapDecision("5ec0", placement))
        self.assertIn("  founding system=5ec0 members=1\n", self.check(0))
        flip(self.folder / "founding", -1)
        self.assertRegex(self.check(1), r"^damaged: \S+founding at offset 16: the checksum")
        LocalDisk(self.folder).write_document("founding", b"\xff no record")
        self.assertRegex(self.check(1), r"^damaged: \S+founding: ")

    def test_feed_cache(self) -> None:
        update = FeedUpdate(0, 7, None, 3, None, 1)
        LocalDisk(self.folder).write_document("feed", RecordCodec(FeedUpdate).encode(update))
        self.assertIn("  feed version=7 generation=3\n", self.check(0))
        flip(self.folder / "feed", -1)
        self.assertRegex(self.check(0), r"  feed is damaged, a start drops it: \S+feed at offset 16")
        LocalDisk(self.folder).write_document("feed", b"\xff no record")
        self.assertIn("  feed is damaged, a start drops it: ", self.check(0))

    def test_quarantined_content(self) -> None:
        quarantine_content(self.folder)
        self.assertEqual(self.check(0), "identity=False bytes=0\n  set aside: damaged-1\n")

    def test_folder_that_cannot_be_read(self) -> None:
        shutil.rmtree(self.folder / "journal")
        (self.folder / "journal").write_text("no folder")
        self.assertRegex(self.check(1), r"^\S+data: can't be read: ")
        self.assertEqual(len(self.check(1).splitlines()), 1)

    def test_empty_folder(self) -> None:
        for path in sorted(self.folder.rglob("*"), reverse=True):
            if path.is_dir():
                path.rmdir()
            else:
                path.unlink()
        self.assertEqual(self.check(0), "identity=False bytes=0\n")

    def test_damaged_middle(self) -> None:
        flip(self.folder / SEGMENT, FIRST_BODY)
        self.assertIn(f"damaged: {SEGMENT} at offset {SEGMENT_HEADER_BYTES}: ", self.check(1))

    def test_damaged_header(self) -> None:
        flip(self.folder / SEGMENT, 0)
        self.assertIn(f"damaged: {SEGMENT} at offset 0: ", self.check(1))

    def test_missing_segment(self) -> None:
        path = self.folder / SEGMENT
        (path.parent / "segment-00000003.log").write_bytes(path.read_bytes())
        self.assertIn(
            "damaged: journal/segment-00000002.log at offset 0: the segment is missing", self.check(1)
        )

    def test_snapshot_damaged_or_missing(self) -> None:
        name = f"snapshots/{file_name('g', SNAPSHOT.index, SNAPSHOT.term)}"
        flip(self.folder / name, -1)
        self.assertIn(f"damaged: {name} at offset 0: the checksum", self.check(1))
        (self.folder / name).unlink()
        self.assertIn(f"damaged: {name} at offset 0: the snapshot is missing", self.check(1))

    def test_no_such_folder(self) -> None:
        result = run("system", "check-disk", str(self.folder / "nowhere"))
        self.assertEqual(result.code, 1)
        self.assertTrue(re.search(r"nowhere: no such folder", result.output))


if __name__ == "__main__":
    unittest.main()
