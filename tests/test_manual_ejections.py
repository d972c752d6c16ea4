"""Manual ejections of workers: on disk, in the registry, and at a real node."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from rig import accept, done, running, wait_until
from twisted.internet.task import Clock as Reactor

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.store.ejection_files import EjectionFiles
from bitternpath.balancer.store.manual_ejections import POLL_INTERVAL, ManualEjections

DOWN, UP = "/ops/calendar-workers/down", "/ops/calendar-workers/up"
UNIX = 1_800_000_000_000.0  # ms


def row(
    id: str, state: m.WorkerState = m.WorkerState.SERVING, up_since: float = 0.0, port: int = 1
) -> Endpoint:
    return Endpoint(id, f"h:{port}", "z", "k", 0, state, 1.0, up_since)


class TwoProcesses:
    """Two processes of a node that share a folder."""

    def __init__(self, folder: Path) -> None:
        self.reactor = Reactor()
        self.registries = [EndpointRegistry(Listing(1, True, (row("a"), row("b")))) for _ in range(2)]
        self.ejections = [
            ManualEjections(self.reactor, self.now, registry, EjectionFiles(folder))
            for registry in self.registries
        ]
        self.changes: list[Listing] = []
        self.registries[0].on_change = self.changes.append
        for ejections in self.ejections:
            ejections.run()

    def now(self) -> float:
        return time.time() * 1000.0


@pytest.mark.parametrize("id", ["a", "../../etc/passwd", ".", "..", "a/b", "a%2Fb", "~%", "x.out", "w" * 251])
def test_any_id_is_stored_under_its_own_file_name(tmp_path: Path, id: str) -> None:
    store = EjectionFiles(tmp_path / "out")
    with pytest.raises(FileNotFoundError):
        store.read()
    for _ in range(2):
        store.add(id)
        assert list(store.read()) == [id]
    store.add("other")
    store.remove(id)
    assert list(store.read()) == ["other"]
    assert [p.name for p in tmp_path.iterdir()] == ["out"]


def test_too_long_ids_and_foreign_files_are_no_ejections(tmp_path: Path) -> None:
    store = EjectionFiles(tmp_path)
    with pytest.raises(OSError, match="cannot be stored"):
        store.add("w" * 252)
    for name in ("x", "x.tmp", "%zz.out", "a%2fb.out", ".out.out"):
        (tmp_path / name).write_text("rubbish")
    (tmp_path / "folder.out").mkdir()
    (tmp_path / "link.out").symlink_to("x")
    assert store.read() == {}


@pytest.mark.parametrize(
    "listings",
    [
        [Listing(2, False, (row("a"),))],
        [Listing(2, False, (row("a", up_since=UNIX),))],
        [Listing(2, False, (row("a", port=9),))],
        [Listing(2, False, (row("a", m.WorkerState.GONE),)), Listing(3, False, (row("a", up_since=UNIX),))],
        [Listing(2, True, (row("b"),)), Listing(3, True, (row("a"), row("b")))],
    ],
)
def test_ejection_is_not_overridden_by_the_list(tmp_path: Path, listings: list[Listing]) -> None:
    processes = TwoProcesses(tmp_path / "out")
    registry = processes.registries[0]
    assert (
        processes.ejections[0].eject("a") and processes.changes[-1].members[0].state is m.WorkerState.DRAINING
    )
    for listing in listings:
        registry.apply(listing)
        assert registry.serving("a") is None and registry.is_known("a")
        assert all(p.state is not m.WorkerState.SERVING for p in processes.changes[-1].members if p.id == "a")
    assert registry.serving("b") and registry.discovery_listing().members[0].state is m.WorkerState.SERVING
    assert processes.ejections[0].reinstate("a") and registry.serving("a") is not None
    assert processes.changes[-1].members[0].id == "a"


def test_ejections_apply_to_both_processes(tmp_path: Path) -> None:
    processes = TwoProcesses(tmp_path / "out")
    assert processes.ejections[0].eject("a") and processes.ejections[0].eject("a")
    processes.reactor.advance(POLL_INTERVAL)
    assert processes.registries[1].serving("a") is None
    assert processes.ejections[1].reinstate("a") and processes.ejections[1].reinstate("a")
    processes.reactor.advance(POLL_INTERVAL)
    assert processes.registries[0].serving("a") and processes.registries[1].serving("a")
    assert not processes.ejections[0].eject("nobody") and not processes.ejections[0].reinstate("nobody")


def test_failed_store_changes_nothing_and_a_removed_folder_reinstates_nobody(
    tmp_path: Path,
) -> None:
    (tmp_path / "file").write_text("in the way")
    processes = TwoProcesses(tmp_path / "file")
    with pytest.raises(OSError):
        processes.ejections[0].eject("a")
    assert processes.registries[0].serving("a") and not processes.changes
    processes = TwoProcesses(tmp_path / "out")
    processes.ejections[0].eject("a")
    (tmp_path / "out").rename(tmp_path / "away")
    processes.reactor.advance(4 * POLL_INTERVAL)
    assert processes.registries[0].serving("a") is None


def test_reinstated_worker_is_cold_until_the_list_reports_its_start_time(tmp_path: Path) -> None:
    # Guards against a wrong start time of a worker that was restarted while ejected: the list may report the
    # restart seconds after the worker was reinstated.
    registry = TwoProcesses(tmp_path / "out").registries[0]
    registry.eject("a", UNIX)
    registry.reinstate("a", UNIX + 5000.0)
    endpoint: Any = registry.serving("a")
    assert (
        endpoint.up_since == UNIX + 5000.0 == registry.discovery_listing().members[0].up_since
    )  # passed on to a new process
    registry.apply(Listing(2, False, (row("a", up_since=UNIX + 3000.0),)))
    endpoint = registry.serving("a")
    assert endpoint.up_since == UNIX + 3000.0


def test_ejected_worker_gets_no_jobs_also_after_an_upgrade(tmp_path: Path) -> None:
    with running(tmp_path, done, done, console=True) as rig:
        ejected, other = rig.endpoints
        assert rig.call_console("POST", DOWN, ejected.id.encode())[0] == 200
        assert rig.call_console("POST", DOWN, b"s-9")[0] == 404 == rig.call_console("POST", UP, b"w" * 200)[0]
        before = ejected.posts
        rig.change(ejected, "up")  # the list does not override the ejection
        assert rig.statistics()["app.hosts_down"] == 1 and rig.statistics()["app.hosts_listed"] == 2
        for k in range(10):
            assert rig.submit(f"a{k}")[1] == b"made by s-1"
        rig.replace()
        assert rig.statistics()["app.hosts_down"] == 1
        for k in range(10):
            assert rig.submit(f"b{k}")[1] == b"made by s-1"
        assert ejected.posts == before and other.posts == 20
        assert rig.call_console("POST", UP, ejected.id.encode())[0] == 200
        wait_until(lambda: rig.statistics()["app.hosts_down"] == 0)


def test_queued_job_is_not_sent_to_a_worker_ejected_meanwhile(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(4) as pool:
        endpoint = rig.endpoints[0]
        first = pool.submit(rig.submit, "first", "/reminder")
        wait_until(lambda: endpoint.posts == 1)
        assert rig.call_console("POST", DOWN, endpoint.id.encode())[0] == 200
        queued = pool.submit(rig.submit, "queued", "/reminder", 600)
        assert queued.result()[0] == 503 and endpoint.posts == 1
        endpoint.send_callback("first", "done", result="r")
        assert first.result()[:2] == (200, b"r")
