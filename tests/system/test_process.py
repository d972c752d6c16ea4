"""The life of a process: ports that are taken, faults at the start, damaged disks, and the end."""

from __future__ import annotations

import io
import json
import os
import tempfile
import unittest
from collections.abc import Callable
from contextlib import redirect_stderr
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import patch

import logbook
from twisted.internet import reactor as real_reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from bitternpath.cli import main
from bitternpath.configuration.results import ResultCode
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP, BootstrapFile
from bitternpath.replication.records import Members, PersistentState, Snapshot
from bitternpath.roles.edge_process import EdgeProcess
from bitternpath.roles.feed_cache import CACHE_DOCUMENT
from bitternpath.roles.operator_calls import OperatorCalls
from bitternpath.roles.process import PORT_RETRY_TIMEOUT_S, ExitCode, RoleLifecycle, build_role
from bitternpath.roles.settings import Settings, read_settings
from bitternpath.roles.storage import StorageNode
from bitternpath.roles.storage_process import StorageProcess
from bitternpath.storage.commands import Batch
from bitternpath.storage.document_writer import RETRY_S, DocumentWriter
from bitternpath.storage.documents import read_document
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.group_state import bootstrap_record
from bitternpath.storage.identity import load_identity, read_identity
from bitternpath.storage.node_disk import LocalDisk
from bitternpath.storage.quarantine import finish_quarantine, quarantine_content, quarantine_folders
from bitternpath.storage.segments import SegmentLog
from bitternpath.transport.group_messages import BootstrapDecision, GroupPlacement, MemberAddress
from bitternpath.transport.operator_messages import OperatorRequest
from bitternpath.transport.shard_messages import RefusalReason, Refused

OLD = "0123abcd"
SEGMENT = "journal/segment-00000001.log"
ME = MemberAddress(f"n/{OLD}", "n", "127.0.0.1:7780", "z")
FOUNDING = BootstrapDecision("5ec0", GroupPlacement(CONFIGURATION_GROUP, 1, (ME,)))


class Pool:
    """A thread pool that works at once."""

    def callInThreadWithCallback(
        self, finished: Callable[[bool, Any], None], work: Callable[..., Any], *arguments: Any
    ) -> None:
        from twisted.python.failure import Failure

        try:
            result = work(*arguments)
        except Exception:
            finished(False, Failure())  # type: ignore[no-untyped-call]
        else:
            finished(True, result)


class FakeReactor(Clock):
    """Virtual time; remembers whether it was stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0
        self.pool = Pool()

    def stop(self) -> None:
        self.stops += 1

    def getThreadPool(self) -> Pool:
        return self.pool

    def callFromThread(self, call: Callable[..., Any], *arguments: Any) -> None:
        call(*arguments)


class FakeRole:
    """Its port is taken for the first `taken` attempts."""

    def __init__(self, taken: float = 0, fault: Exception | None = None) -> None:
        self.taken, self.fault = taken, fault
        self.calls: list[str] = []

    def listen(self) -> None:
        if self.taken > 0:
            self.taken -= 1
            in_use = OSError(98, "Address already in use")
            raise CannotListenError("127.0.0.1", 8069, in_use)  # type: ignore[no-untyped-call]
        self.calls.append("listen")

    def start(self) -> None:
        self.calls.append("start")
        if self.fault is not None:
            raise self.fault

    def reload(self) -> None:
        self.calls.append("reload")

    def shut_down(self, finished: Callable[[], None]) -> None:
        self.calls.append("shut_down")
        finished()


class Start(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = FakeReactor()
        self.logged = logbook.TestHandler()
        self.enterContext(self.logged.applicationbound())

    def events(self) -> list[str]:
        return [str(record.message).partition(" ")[0] for record in self.logged.records]

    def begin(self, role: FakeRole) -> RoleLifecycle:
        life = RoleLifecycle(self.reactor, role)
        life.begin()
        return life

    def test_a_port_that_is_taken_for_a_moment_is_waited_for(self) -> None:
        role = FakeRole(taken=3)
        life = self.begin(role)
        self.assertEqual(role.calls, [])
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops), (["listen", "start"], 0))
        self.assertEqual((life.exit_code, self.events()), (ExitCode.STOPPED, ["event=listen_retrying"]))

    def test_a_port_that_stays_taken_ends_the_process(self) -> None:
        role = FakeRole(taken=float("inf"))
        life = self.begin(role)
        self.reactor.pump([0.1] * int(10 * PORT_RETRY_TIMEOUT_S - 1))
        self.assertEqual(self.reactor.stops, 0)
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops), ([], 1))
        self.assertEqual(life.exit_code, ExitCode.NO_PORT)
        self.assertEqual(self.events(), ["event=listen_retrying", "event=listen_failed"])
        self.assertIn("address=127.0.0.1:8069", self.logged.records[-1].message)
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_fault_at_the_start_ends_the_process(self) -> None:
        late = CannotListenError("", 1, OSError("late"))  # type: ignore[no-untyped-call]
        for fault in (ValueError("damaged"), OSError("gone"), late):
            with self.subTest(fault):
                self.setUp()
                life = self.begin(FakeRole(fault=fault))
                self.assertEqual((life.exit_code, self.reactor.stops), (ExitCode.FAULT, 1))
                self.assertEqual(self.events(), ["event=role_start_failed"])
                self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_sigterm_while_a_port_is_awaited(self) -> None:
        role = FakeRole(taken=3)
        life = self.begin(role)
        life.stop()
        life.stop()
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops, life.exit_code), ([], 1, ExitCode.STOPPED))

    def test_sigterm_leaves_in_order_once(self) -> None:
        role = FakeRole()
        life = self.begin(role)
        life.stop()
        life.stop()
        self.assertEqual(role.calls, ["listen", "start", "shut_down"])
        self.assertEqual(self.reactor.stops, 1)


class DiskCase(unittest.TestCase):
    """Has a data folder, and settings that name it."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.scratch = Path(temporary.name)
        self.data = self.scratch / "data"
        self.logged = logbook.TestHandler()
        self.enterContext(self.logged.applicationbound())

    def settings(self, **more: Any) -> Settings:
        made = read_settings(
            {
                "node_name": "n",
                "ip": "127.0.0.1",
                "internal_port_range": [7780, 7790],
                "data_dir": str(self.data),
                "counts_for_quorum": True,
                "bootstrap": True,
                "seeds": ["127.0.0.1:8064"],
            }
        )
        return replace(made, **more)

    def make_disk(self) -> None:
        """A founder's disk, with one group."""
        load_identity(self.data, draw=lambda: OLD)
        BootstrapFile(self.data).store(FOUNDING)
        LocalDisk(self.data).write_document(CACHE_DOCUMENT, b"any")
        log = SegmentLog(LocalFileSystem(self.data), lambda: 7, 1 << 30)
        for group in ("g", "h"):
            founded = bootstrap_record(
                group, PersistentState(snapshot=Snapshot(members=Members((ME.member,))))
            )
            log.write(Batch([founded], []))
        log.close()

    def contents(self, folder: Path) -> dict[str, bytes]:
        files = [path for path in folder.rglob("*") if path.is_file()]
        return {str(path.relative_to(folder)): path.read_bytes() for path in files}


def flip(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


DAMAGE: list[tuple[str, int, str]] = [
    ("identity", 0, "file=identity offset=0"),
    (SEGMENT, 40, f"file={SEGMENT} offset=16"),
    (SEGMENT, 0, f"file={SEGMENT} offset=0"),
    ("founding", -1, "founding offset=16"),
    ("founding", 0, "founding offset=0"),
]


class DamagedDisk(DiskCase):
    def build(self, role: str, **more: Any) -> Any:
        built: Any = build_role(role, real_reactor, self.settings(**more))
        self.addCleanup(built.node.base.close_disk)
        return built.node

    def test_it_is_set_aside_and_the_node_is_another_one(self) -> None:
        for role in ("edge", "storage"):
            for file, offset, told in DAMAGE:
                with self.subTest(f"{role} {file} {offset}"):
                    self.setUp()
                    self.make_disk()
                    flip(self.data / file, offset)
                    before = self.contents(self.data)
                    node = self.build(role)
                    self.assertEqual(self.contents(self.data / "damaged-1"), before)
                    self.check_new(node)
                    errors = [
                        record.message for record in self.logged.records if record.level_name == "ERROR"
                    ]
                    self.assertEqual(len(errors), 1)
                    self.assertIn("event=disk_quarantined", errors[0])
                    self.assertIn(told, errors[0])

    def check_new(self, node: Any) -> None:
        """Nothing of the old identity is used, nor does the node found a system."""
        identity = read_identity(self.data)
        self.assertIsNotNone(identity)
        self.assertNotEqual(identity, OLD)
        self.assertEqual(node.base.view.local_node.disk, identity)
        self.assertEqual((node.base.transport.member_id, node.base.host.member_id), (f"n/{identity}",) * 2)
        self.assertEqual(node.base.journal.groups(), ())
        self.assertIsNone(BootstrapFile(self.data).load())
        self.assertFalse((self.data / CACHE_DOCUMENT).exists())
        self.assertFalse(node.settings.bootstrap)
        self.assertFalse(node.base.settings.bootstrap)

    def test_a_whole_disk_is_left_alone(self) -> None:
        self.make_disk()
        before = self.contents(self.data)
        node = self.build("storage")
        self.assertEqual((node.base.view.local_node.disk, node.base.journal.groups()), (OLD, ("g", "h")))
        self.assertEqual(self.contents(self.data), before)
        self.assertTrue(node.settings.bootstrap)

    def test_the_next_life_has_the_new_identity_and_founds_nothing_either(self) -> None:
        self.make_disk()
        flip(self.data / "identity", 0)
        identity = self.build("edge").base.view.local_node.disk
        again = self.build("edge")
        self.assertEqual(again.base.view.local_node.disk, identity)
        self.assertFalse(again.settings.bootstrap)
        self.assertEqual(quarantine_folders(self.data), ["damaged-1"])

    def test_only_the_last_is_kept(self) -> None:
        for number in (1, 2, 3):
            for name in ("identity", "founding", CACHE_DOCUMENT):
                (self.data / name).unlink(missing_ok=True)
            (self.data / SEGMENT).unlink(missing_ok=True)
            self.make_disk()
            flip(self.data / SEGMENT, 40)
            self.build("storage")
            self.assertEqual(quarantine_folders(self.data), [f"damaged-{number}"])

    def test_it_does_not_fill_a_small_disk(self) -> None:
        self.make_disk()
        (self.data / "snapshots").mkdir(exist_ok=True)
        (self.data / "snapshots" / "large").write_bytes(bytes(300_000))
        flip(self.data / "identity", 0)
        node = self.build("storage", disk_mb=1)
        self.assertEqual(self.contents(self.data / "damaged-1"), {})
        self.assertEqual(quarantine_folders(self.data), ["damaged-1"])
        self.check_new(node)

    def test_a_process_that_is_killed_on_the_way_goes_on_at_the_next_start(self) -> None:
        whole = os.rename
        for kill_at in range(1, 7):
            with self.subTest(kill_at):
                self.setUp()
                self.make_disk()
                left = [kill_at]

                def rename(old: Any, new: Any, left: list[int] = left) -> None:
                    left[0] -= 1
                    if not left[0]:
                        raise KeyboardInterrupt
                    whole(old, new)

                with patch("os.rename", rename), self.assertRaises(KeyboardInterrupt):
                    quarantine_content(self.data)
                node = self.build("edge")
                self.check_new(node)
                self.assertEqual(quarantine_folders(self.data), ["damaged-1"])
                self.assertEqual((self.data / "damaged-1" / "identity").read_text(), OLD)

    def test_without_anything_to_finish_nothing_moves(self) -> None:
        self.make_disk()
        before = self.contents(self.data)
        finish_quarantine(self.data)
        self.assertEqual(self.contents(self.data), before)


class Refusals(DiskCase):
    """A process that can't run says so in one line."""

    def run_role(self, role: str, more: str = "", level: str = "") -> tuple[int, list[str]]:
        path = self.scratch / "boot.toml"
        path.write_text('node_name = "n"\nip = "127.0.0.1"\ninternal_port_range = [7780, 7790]\n' + more)
        errors = io.StringIO()
        with (
            patch.dict(os.environ, {"BITTERNPATH_CONFIG": str(path), "BITTERNPATH_LOG": level}),
            patch("bitternpath.roles.process.start_logging"),
            redirect_stderr(errors),
        ):
            code = main([role])
        return code, errors.getvalue().splitlines()

    def test_storage_without_a_folder(self) -> None:
        told = "bitternpath: data_dir: is missing; a storage node needs a folder"
        self.assertEqual(self.run_role("storage"), (ExitCode.WRONG_SETTINGS, [told]))

    def test_level_of_the_log(self) -> None:
        told = "bitternpath: BITTERNPATH_LOG: must be one of debug, info, warning, error, not 'loud'"
        for role in ("edge", "storage"):
            self.assertEqual(self.run_role(role, level="loud"), (ExitCode.WRONG_SETTINGS, [told]))

    def test_a_disk_that_cannot_be_read(self) -> None:
        self.data.write_text("no folder")
        for role in ("edge", "storage"):
            with self.subTest(role):
                code, lines = self.run_role(role, f'data_dir = "{self.data}"\n')
                self.assertEqual((code, lines), (ExitCode.NO_DISK, []))
                self.assertIn("event=disk_unusable", self.logged.records[-1].message)
        self.assertEqual(self.data.read_text(), "no folder")


class FeedCache(DiskCase):
    def test_a_damaged_one_is_dropped_and_the_node_takes_part(self) -> None:
        for content in (b"BTPD", None, b""):
            with self.subTest(content):
                self.setUp()
                self.data.mkdir()
                if content is None:
                    LocalDisk(self.data).write_document(CACHE_DOCUMENT, b"\xff\xff no record")
                else:
                    (self.data / CACHE_DOCUMENT).write_bytes(content)
                reactor = FakeReactor()
                node = StorageNode(reactor, self.settings(seeds=()))
                self.addCleanup(node.base.close_disk)
                node.start()
                self.assertTrue(reactor.getDelayedCalls())
                self.assertFalse((self.data / CACHE_DOCUMENT).exists())
                warnings = [record.message for record in self.logged.records if "cache" in record.message]
                self.assertEqual(
                    [line.partition(" ")[0] for line in warnings], ["event=feed_cache_discarded"]
                )


class Documents(DiskCase):
    def setUp(self) -> None:
        super().setUp()
        self.reactor = FakeReactor()
        self.path = self.data / "feed"
        self.writer = DocumentWriter(self.reactor, self.path)

    def warnings(self) -> int:
        return sum("document_write_failed" in record.message for record in self.logged.records)

    def test_a_write_that_failed_is_repeated(self) -> None:
        self.writer.write(b"one")  # there is no folder
        self.reactor.pump([RETRY_S] * 3)
        self.assertEqual(self.warnings(), 1)
        self.data.mkdir()
        self.reactor.advance(RETRY_S)
        self.assertEqual(read_document(self.path), b"one")
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_newer_content_takes_its_place_after_the_pause(self) -> None:
        self.writer.write(b"one")
        self.writer.write(b"two")
        self.data.mkdir()
        self.writer.write(b"three")
        self.assertIsNone(read_document(self.path))
        self.reactor.advance(RETRY_S)
        self.assertEqual(read_document(self.path), b"three")
        self.writer.write(b"four")
        self.assertEqual(read_document(self.path), b"four")

    def test_what_waits_while_a_write_fails_is_written(self) -> None:
        self.reactor.pool = held = HeldPool()
        self.writer.write(b"one")
        self.writer.write(b"two")
        held.run()
        self.data.mkdir()
        self.reactor.advance(RETRY_S)
        held.run()
        self.assertEqual(read_document(self.path), b"two")


class HeldPool(Pool):
    """Works when it is told to."""

    def __init__(self) -> None:
        self.held: list[tuple[Any, ...]] = []

    def callInThreadWithCallback(self, *call: Any) -> None:
        self.held.append(call)

    def run(self) -> None:
        held, self.held = self.held, []
        for call in held:
            super().callInThreadWithCallback(*call)


class End(DiskCase):
    """SIGTERM: links are closed, then the disk, then the process ends."""

    def watch(self, node: Any, reactor: FakeReactor) -> list[tuple[str, float]]:
        calls: list[tuple[str, float]] = []

        def wrap(owner: Any, method: str, name: str) -> None:
            whole = getattr(owner, method)

            def called() -> None:
                calls.append((name, reactor.seconds()))
                whole()

            setattr(owner, method, called)

        wrap(node.base.hub, "stop", "links")
        wrap(node.base.journal, "close", "disk")
        return calls

    def test_what_waits_is_written_once_the_links_are_closed(self) -> None:
        kinds: list[type[EdgeProcess] | type[StorageProcess]] = [EdgeProcess, StorageProcess]
        for kind in kinds:
            with self.subTest(kind):
                self.setUp()
                reactor = FakeReactor()
                process = kind(reactor, self.settings())
                calls = self.watch(process.node, reactor)
                journal = process.node.base.journal
                assert journal is not None
                process.shut_down(lambda: calls.append(("end", reactor.seconds())))  # noqa: B023
                first = PersistentState(snapshot=Snapshot(members=Members((ME.member,))))
                journal.bootstrap_group("g", first)
                reactor.pump([0.05] * 200)
                self.assertEqual([name for name, _ in calls], ["links", "disk", "end"])
                self.assertGreater(calls[1][1], calls[0][1])  # links are closed in a turn of the reactor
                log = SegmentLog(LocalFileSystem(self.data), lambda: 7, 1 << 30)
                self.assertEqual(log.groups, ("g",))


class FeedStub:
    """Has a link to the owner, which answers with what isn't an operator's answer."""

    def owner_link(self) -> FeedStub:
        return self

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        order = make(1)
        assert isinstance(order, OperatorRequest)
        return succeed(Refused(1, RefusalReason.NOT_OWNER))


class ForwardedOrder(unittest.TestCase):
    def test_an_unclear_answer_has_a_result_code(self) -> None:
        calls = OperatorCalls(Clock(), FeedStub(), None)  # type: ignore[arg-type]
        answers: list[Any] = []
        calls.call("PUT", "/config", "", b"{}").addCallback(answers.append)
        self.assertEqual(answers[0].status, 503)
        body = json.loads(answers[0].body)
        self.assertEqual((body["code"], body["result"]), (ResultCode.FATE_OPEN.value, "fate_open"))
        self.assertIn("no clear answer", body["error"])


if __name__ == "__main__":
    unittest.main()
