"""Workers taken out by hand: on disk, in the registry, and at a real node."""

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


class Desk:
    """Two processes of a node over one folder."""

    def __init__(self, folder: Path) -> None:
        self.reactor = Reactor()
        self.registries = [EndpointRegistry(Listing(1, True, (row("a"), row("b")))) for _ in range(2)]
        self.ejections = [
            ManualEjections(self.reactor, self.now, registry, EjectionFiles(folder))
            for registry in self.registries
        ]
        self.heard: list[Listing] = []
        self.registries[0].on_change = self.heard.append
        for ejections in self.ejections:
            ejections.run()

    def now(self) -> float:
        return time.time() * 1000.0


@pytest.mark.parametrize("id", ["a", "../../etc/passwd", ".", "..", "a/b", "a%2Fb", "~%", "x.out", "w" * 251])
def test_any_id_is_stored_under_a_name_of_its_own(tmp_path: Path, id: str) -> None:
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


def test_an_id_too_long_to_store_and_rubbish_in_the_folder_are_no_bans(tmp_path: Path) -> None:
    store = EjectionFiles(tmp_path)
    with pytest.raises(OSError, match="cannot be stored"):
        store.add("w" * 252)
    for name in ("x", "x.tmp", "%zz.out", "a%2fb.out", ".out.out"):
        (tmp_path / name).write_text("rubbish")
    (tmp_path / "folder.out").mkdir()
    (tmp_path / "link.out").symlink_to("x")
    assert store.read() == {}


@pytest.mark.parametrize(
    "said",
    [
        [Listing(2, False, (row("a"),))],
        [Listing(2, False, (row("a", up_since=UNIX),))],
        [Listing(2, False, (row("a", port=9),))],
        [Listing(2, False, (row("a", m.WorkerState.GONE),)), Listing(3, False, (row("a", up_since=UNIX),))],
        [Listing(2, True, (row("b"),)), Listing(3, True, (row("a"), row("b")))],
    ],
)
def test_a_ban_holds_whatever_the_list_says(tmp_path: Path, said: list[Listing]) -> None:
    desk = Desk(tmp_path / "out")
    registry = desk.registries[0]
    assert desk.ejections[0].eject("a") and desk.heard[-1].members[0].state is m.WorkerState.DRAINING
    for listing in said:
        registry.apply(listing)
        assert registry.serving("a") is None and registry.is_known("a")
        assert all(p.state is not m.WorkerState.SERVING for p in desk.heard[-1].members if p.id == "a")
    assert registry.serving("b") and registry.discovery_listing().members[0].state is m.WorkerState.SERVING
    assert desk.ejections[0].reinstate("a") and registry.serving("a") is not None
    assert desk.heard[-1].members[0].id == "a"


def test_what_one_process_is_told_the_other_one_keeps(tmp_path: Path) -> None:
    desk = Desk(tmp_path / "out")
    assert desk.ejections[0].eject("a") and desk.ejections[0].eject("a")
    desk.reactor.advance(POLL_INTERVAL)
    assert desk.registries[1].serving("a") is None
    assert desk.ejections[1].reinstate("a") and desk.ejections[1].reinstate("a")
    desk.reactor.advance(POLL_INTERVAL)
    assert desk.registries[0].serving("a") and desk.registries[1].serving("a")
    assert not desk.ejections[0].eject("nobody") and not desk.ejections[0].reinstate("nobody")


def test_a_ban_that_cannot_be_stored_changes_nothing_and_a_lost_folder_calls_nobody_back(
    tmp_path: Path,
) -> None:
    (tmp_path / "file").write_text("in the way")
    desk = Desk(tmp_path / "file")
    with pytest.raises(OSError):
        desk.ejections[0].eject("a")
    assert desk.registries[0].serving("a") and not desk.heard
    desk = Desk(tmp_path / "out")
    desk.ejections[0].eject("a")
    (tmp_path / "out").rename(tmp_path / "away")
    desk.reactor.advance(4 * POLL_INTERVAL)
    assert desk.registries[0].serving("a") is None


def test_one_called_back_is_cold_from_then_on_until_the_list_tells_of_its_start(tmp_path: Path) -> None:
    # Guards: staff start a worker anew while it is out, and the list says so seconds after the call back.
    registry = Desk(tmp_path / "out").registries[0]
    registry.eject("a", UNIX)
    registry.reinstate("a", UNIX + 5000.0)
    found: Any = registry.serving("a")
    assert (
        found.up_since == UNIX + 5000.0 == registry.discovery_listing().members[0].up_since
    )  # a newer process knows it
    registry.apply(Listing(2, False, (row("a", up_since=UNIX + 3000.0),)))
    found = registry.serving("a")
    assert found.up_since == UNIX + 3000.0


def test_nothing_new_goes_to_a_worker_that_is_out_also_after_an_upgrade(tmp_path: Path) -> None:
    with running(tmp_path, done, done, console=True) as rig:
        out, other = rig.endpoints
        assert rig.call_console("POST", DOWN, out.id.encode())[0] == 200
        assert rig.call_console("POST", DOWN, b"s-9")[0] == 404 == rig.call_console("POST", UP, b"w" * 200)[0]
        before = out.posts
        rig.change(out, "up")  # whatever the list says
        assert rig.statistics()["app.hosts_down"] == 1 and rig.statistics()["app.hosts_listed"] == 2
        for k in range(10):
            assert rig.submit(f"a{k}")[1] == b"made by s-1"
        rig.replace()
        assert rig.statistics()["app.hosts_down"] == 1
        for k in range(10):
            assert rig.submit(f"b{k}")[1] == b"made by s-1"
        assert out.posts == before and other.posts == 20
        assert rig.call_console("POST", UP, out.id.encode())[0] == 200
        wait_until(lambda: rig.statistics()["app.hosts_down"] == 0)


def test_a_job_that_waits_for_a_place_does_not_go_to_a_worker_taken_out_meanwhile(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(4) as pool:
        endpoint = rig.endpoints[0]
        first = pool.submit(rig.submit, "first", "/reminder")
        wait_until(lambda: endpoint.posts == 1)
        assert rig.call_console("POST", DOWN, endpoint.id.encode())[0] == 200
        held = pool.submit(rig.submit, "held", "/reminder", 600)
        assert held.result()[0] == 503 and endpoint.posts == 1
        endpoint.send_callback("first", "done", result="r")
        assert first.result()[:2] == (200, b"r")
