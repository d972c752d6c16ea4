"""The life cycle of a process: ports in use, faults at the start, damaged disks, and the shutdown."""

from __future__ import annotations

import io
import json
import os
import unittest
from collections.abc import Callable
from contextlib import redirect_stderr
from typing import Any
from unittest.mock import patch

import logbook
from twisted.internet import reactor as real_reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from bitternpath.cli import main
from bitternpath.configuration.results import ResultCode
from bitternpath.membership.bootstrap import BootstrapFile
from bitternpath.replication.records import Members, PersistentState, Snapshot
from bitternpath.roles.edge_process import EdgeProcess
from bitternpath.roles.feed_cache import CACHE_DOCUMENT
from bitternpath.roles.operator_calls import OperatorCalls
from bitternpath.roles.process import PORT_RETRY_TIMEOUT_S, ExitCode, RoleLifecycle, build_role
from bitternpath.roles.storage_process import StorageProcess
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.identity import read_identity
from bitternpath.storage.quarantine import finish_quarantine, quarantine_content, quarantine_directories
from bitternpath.storage.segments import SegmentLog
from bitternpath.transport.operator_messages import OperatorRequest
from bitternpath.transport.shard_messages import RefusalReason, Refused
from tests.system.roles.node_case import LOCAL_MEMBER, OLD_IDENTITY, SEGMENT, DiskCase, FakeReactor, flip

STATE_CHANGED = "event=process_state_changed"


class FakeRole:
    """A role whose `listen` fails `failed_attempts` times, and whose start raises `fault`."""

    def __init__(self, failed_attempts: float = 0, fault: Exception | None = None) -> None:
        self.failed_attempts = failed_attempts
        self.fault = fault
        self.calls: list[str] = []

    def listen(self) -> None:
        if self.failed_attempts > 0:
            self.failed_attempts -= 1
            socket_error = OSError(98, "Address already in use")
            raise CannotListenError("127.0.0.1", 8069, socket_error)  # type: ignore[no-untyped-call]
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


class RoleLifecycleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = FakeReactor()
        self.logged = logbook.TestHandler()
        self.enterContext(self.logged.applicationbound())

    def events(self) -> list[str]:
        return [str(record.message).partition(" ")[0] for record in self.logged.records]

    def begin(self, role: FakeRole) -> RoleLifecycle:
        lifecycle = RoleLifecycle(self.reactor, role)
        lifecycle.begin()
        return lifecycle

    def test_listening_is_retried_while_a_port_is_in_use(self) -> None:
        role = FakeRole(failed_attempts=3)
        lifecycle = self.begin(role)
        self.assertEqual(role.calls, [])
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops), (["listen", "start"], 0))
        self.assertEqual(
            (lifecycle.exit_code, self.events()), (ExitCode.STOPPED, ["event=listen_retrying", STATE_CHANGED])
        )

    def test_a_port_that_stays_in_use_ends_the_process(self) -> None:
        role = FakeRole(failed_attempts=float("inf"))
        lifecycle = self.begin(role)
        self.reactor.pump([0.1] * int(10 * PORT_RETRY_TIMEOUT_S - 1))
        self.assertEqual(self.reactor.stops, 0)
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops), ([], 1))
        self.assertEqual(lifecycle.exit_code, ExitCode.NO_PORT)
        self.assertEqual(self.events(), ["event=listen_retrying", "event=listen_failed", STATE_CHANGED])
        self.assertIn("address=127.0.0.1:8069", self.logged.records[-2].message)
        self.assertIn(f"exit_code={int(ExitCode.NO_PORT)}", self.logged.records[-1].message)
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_a_fault_at_the_start_ends_the_process(self) -> None:
        late = CannotListenError("", 1, OSError("late"))  # type: ignore[no-untyped-call]
        for fault in (ValueError("damaged"), OSError("gone"), late):
            with self.subTest(fault):
                self.setUp()
                lifecycle = self.begin(FakeRole(fault=fault))
                self.assertEqual((lifecycle.exit_code, self.reactor.stops), (ExitCode.FAULT, 1))
                self.assertEqual(self.events(), [STATE_CHANGED, "event=role_start_failed", STATE_CHANGED])
                self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_sigterm_while_listening_is_retried(self) -> None:
        role = FakeRole(failed_attempts=3)
        lifecycle = self.begin(role)
        lifecycle.stop()
        lifecycle.stop()
        self.reactor.pump([0.1] * 10)
        self.assertEqual((role.calls, self.reactor.stops, lifecycle.exit_code), ([], 1, ExitCode.STOPPED))

    def test_repeated_sigterm_shuts_down_once(self) -> None:
        role = FakeRole()
        lifecycle = self.begin(role)
        lifecycle.stop()
        lifecycle.stop()
        self.assertEqual(role.calls, ["listen", "start", "shut_down"])
        self.assertEqual(self.reactor.stops, 1)
        changes = [str(record.message) for record in self.logged.records]
        self.assertEqual(
            changes,
            [
                f"{STATE_CHANGED} old='waiting for ports' new='running' exit_code=0",
                f"{STATE_CHANGED} old='running' new='stopping' exit_code=0",
            ],
        )


DAMAGE: list[tuple[str, int, str]] = [
    ("identity", 0, "file=identity offset=0"),
    (SEGMENT, 40, f"file={SEGMENT} offset=16"),
    (SEGMENT, 0, f"file={SEGMENT} offset=0"),
    ("founding", -1, "founding offset=16"),
    ("founding", 0, "founding offset=0"),
]


class QuarantineTest(DiskCase):
    def build(self, role: str, **overrides: Any) -> Any:
        built: Any = build_role(role, real_reactor, self.settings(**overrides))
        self.addCleanup(built.node.base.close_disk)
        return built.node

    def test_a_damaged_disk_is_quarantined_and_gets_a_new_identity(self) -> None:
        for role in ("edge", "storage"):
            for file, offset, expected in DAMAGE:
                with self.subTest(f"{role} {file} {offset}"):
                    self.setUp()
                    self.make_disk()
                    flip(self.data / file, offset)
                    before = self.contents(self.data)
                    node = self.build(role)
                    self.assertEqual(self.contents(self.data / "damaged-1"), before)
                    self.check_new_identity(node)
                    errors = [
                        record.message for record in self.logged.records if record.level_name == "ERROR"
                    ]
                    self.assertEqual(len(errors), 1)
                    self.assertIn("event=disk_quarantined", errors[0])
                    self.assertIn(expected, errors[0])

    def check_new_identity(self, node: Any) -> None:
        """Check that nothing of the old identity is used, and that the node doesn't bootstrap a system."""
        identity = read_identity(self.data)
        self.assertIsNotNone(identity)
        self.assertNotEqual(identity, OLD_IDENTITY)
        self.assertEqual(node.base.view.local_node.disk, identity)
        self.assertEqual((node.base.transport.member_id, node.base.host.member_id), (f"n/{identity}",) * 2)
        self.assertEqual(node.base.journal.groups(), ())
        self.assertIsNone(BootstrapFile(self.data).load())
        self.assertFalse((self.data / CACHE_DOCUMENT).exists())
        self.assertFalse(node.settings.bootstrap)
        self.assertFalse(node.base.settings.bootstrap)

    def test_an_intact_disk_is_not_changed(self) -> None:
        self.make_disk()
        before = self.contents(self.data)
        node = self.build("storage")
        self.assertEqual(
            (node.base.view.local_node.disk, node.base.journal.groups()), (OLD_IDENTITY, ("g", "h"))
        )
        self.assertEqual(self.contents(self.data), before)
        self.assertTrue(node.settings.bootstrap)

    def test_the_next_process_keeps_the_new_identity_and_bootstraps_nothing(self) -> None:
        self.make_disk()
        flip(self.data / "identity", 0)
        identity = self.build("edge").base.view.local_node.disk
        next_process = self.build("edge")
        self.assertEqual(next_process.base.view.local_node.disk, identity)
        self.assertFalse(next_process.settings.bootstrap)
        self.assertEqual(quarantine_directories(self.data), ["damaged-1"])

    def test_only_the_last_quarantine_is_kept(self) -> None:
        for number in (1, 2, 3):
            for name in ("identity", "founding", CACHE_DOCUMENT):
                (self.data / name).unlink(missing_ok=True)
            (self.data / SEGMENT).unlink(missing_ok=True)
            self.make_disk()
            flip(self.data / SEGMENT, 40)
            self.build("storage")
            self.assertEqual(quarantine_directories(self.data), [f"damaged-{number}"])

    def test_a_quarantine_does_not_fill_a_small_disk(self) -> None:
        self.make_disk()
        (self.data / "snapshots").mkdir(exist_ok=True)
        (self.data / "snapshots" / "large").write_bytes(bytes(300_000))
        flip(self.data / "identity", 0)
        node = self.build("storage", disk_mb=1)
        self.assertEqual(self.contents(self.data / "damaged-1"), {})
        self.assertEqual(quarantine_directories(self.data), ["damaged-1"])
        self.check_new_identity(node)

    def test_a_quarantine_within_its_size_limit_is_kept(self) -> None:
        self.make_disk()
        before = self.contents(self.data)
        size = sum(map(len, before.values()))
        self.assertEqual(quarantine_content(self.data, max_bytes=size), "damaged-1")
        self.assertEqual(self.contents(self.data / "damaged-1"), before)

    def test_the_folder_of_a_quarantine_is_synced_before_anything_is_moved_there(self) -> None:
        self.make_disk()
        calls: list[str] = []
        original = os.rename

        def rename(old: Any, new: Any) -> None:
            calls.append("rename")
            original(old, new)

        def fsync_directory(path: Any) -> None:
            calls.append(f"sync {path}")

        with (
            patch("os.rename", rename),
            patch("bitternpath.storage.quarantine.fsync_directory", fsync_directory),
        ):
            quarantine_content(self.data)
        self.assertEqual(calls[:2], [f"sync {self.data}", "rename"])

    def test_a_quarantine_that_is_killed_is_finished_by_the_next_start(self) -> None:
        original = os.rename
        for kill_at in range(1, 7):
            with self.subTest(kill_at):
                self.setUp()
                self.make_disk()
                remaining = [kill_at]

                def rename(old: Any, new: Any, remaining: list[int] = remaining) -> None:
                    remaining[0] -= 1
                    if not remaining[0]:
                        raise KeyboardInterrupt
                    original(old, new)

                with patch("os.rename", rename), self.assertRaises(KeyboardInterrupt):
                    quarantine_content(self.data)
                node = self.build("edge")
                self.check_new_identity(node)
                self.assertEqual(quarantine_directories(self.data), ["damaged-1"])
                self.assertEqual((self.data / "damaged-1" / "identity").read_text(), OLD_IDENTITY)

    def test_without_an_unfinished_quarantine_nothing_is_moved(self) -> None:
        self.make_disk()
        before = self.contents(self.data)
        finish_quarantine(self.data)
        self.assertEqual(self.contents(self.data), before)


class RefusedStartTest(DiskCase):
    """A process that can't run reports the reason in one line."""

    def run_role(self, role: str, extra_lines: str = "", level: str = "") -> tuple[int, list[str]]:
        path = self.scratch / "boot.toml"
        path.write_text(
            'node_name = "n"\nip = "127.0.0.1"\ninternal_port_range = [7780, 7790]\n' + extra_lines
        )
        errors = io.StringIO()
        with (
            patch.dict(os.environ, {"BITTERNPATH_CONFIG": str(path), "BITTERNPATH_LOG": level}),
            patch("bitternpath.roles.process.start_logging"),
            redirect_stderr(errors),
        ):
            code = main([role])
        return code, errors.getvalue().splitlines()

    def test_storage_without_a_data_folder(self) -> None:
        expected = "bitternpath: data_dir: is missing; a storage node needs a folder"
        self.assertEqual(self.run_role("storage"), (ExitCode.WRONG_SETTINGS, [expected]))

    def test_unknown_log_level(self) -> None:
        expected = "bitternpath: BITTERNPATH_LOG: must be one of debug, info, warning, error, not 'loud'"
        for role in ("edge", "storage"):
            self.assertEqual(self.run_role(role, level="loud"), (ExitCode.WRONG_SETTINGS, [expected]))

    def test_a_disk_that_cannot_be_read(self) -> None:
        self.data.write_text("no folder")
        for role in ("edge", "storage"):
            with self.subTest(role):
                code, lines = self.run_role(role, f'data_dir = "{self.data}"\n')
                self.assertEqual((code, lines), (ExitCode.NO_DISK, []))
                self.assertIn("event=disk_unusable", self.logged.records[-1].message)
        self.assertEqual(self.data.read_text(), "no folder")


class GracefulShutdownTest(DiskCase):
    """On SIGTERM, the links are closed, then the disk, then the process ends."""

    def record_closing(self, node: Any, reactor: FakeReactor) -> list[tuple[str, float]]:
        calls: list[tuple[str, float]] = []

        def wrap(owner: Any, method: str, name: str) -> None:
            original = getattr(owner, method)

            def called() -> None:
                calls.append((name, reactor.seconds()))
                original()

            setattr(owner, method, called)

        wrap(node.base.hub, "stop", "links")
        wrap(node.base.journal, "close", "disk")
        return calls

    def test_queued_writes_are_made_after_the_links_are_closed(self) -> None:
        kinds: list[type[EdgeProcess] | type[StorageProcess]] = [EdgeProcess, StorageProcess]
        for kind in kinds:
            with self.subTest(kind):
                self.setUp()
                reactor = FakeReactor()
                process = kind(reactor, self.settings())
                calls = self.record_closing(process.node, reactor)
                journal = process.node.base.journal
                assert journal is not None
                process.shut_down(lambda: calls.append(("end", reactor.seconds())))  # noqa: B023
                first = PersistentState(snapshot=Snapshot(members=Members((LOCAL_MEMBER.member,))))
                journal.bootstrap_group("g", first)
                reactor.pump([0.05] * 200)
                self.assertEqual([name for name, _ in calls], ["links", "disk", "end"])
                self.assertGreater(calls[1][1], calls[0][1])  # closing the links needs a reactor turn
                log = SegmentLog(LocalFileSystem(self.data), lambda: 7, 1 << 30)
                self.assertEqual(log.groups, ("g",))


class OwnerFeed:
    """Replaces `FeedClient`; its link to the owner responds with a record other than `OperatorResponse`."""

    def owner_link(self) -> OwnerFeed:
        return self

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        request = make(1)
        assert isinstance(request, OperatorRequest)
        return succeed(Refused(1, RefusalReason.NOT_OWNER))


class ForwardedCallTest(unittest.TestCase):
    def test_an_unclear_answer_of_the_owner_has_a_result_code(self) -> None:
        calls = OperatorCalls(Clock(), OwnerFeed(), None)  # type: ignore[arg-type]
        answers: list[Any] = []
        calls.call("PUT", "/config", "", b"{}").addCallback(answers.append)
        self.assertEqual(answers[0].status, 503)
        body = json.loads(answers[0].body)
        self.assertEqual((body["code"], body["result"]), (ResultCode.OUTCOME_UNKNOWN.value, "fate_open"))
        self.assertIn("no clear answer", body["error"])


if __name__ == "__main__":
    unittest.main()
