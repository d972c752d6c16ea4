"""An upgrade with real processes: one socket, two processes, clients and workers that notice nothing."""

from __future__ import annotations

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path

from rig import Rig, accept, done, running, until


def told(rig: Rig, what: str, times: int = 1) -> None:
    until(lambda: len(rig.logged(what)) >= times)


def test_call_backs_of_the_older_process_reach_it_and_each_job_is_answered_once(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(8) as pool:
        provider = rig.providers[0]
        jobs = [pool.submit(rig.invoke, f"old{k}", "/reminder") for k in range(4)]
        until(lambda: provider.posts == 4)
        older = rig.upgrade()
        told(rig, "the newer process serves")
        jobs += [pool.submit(rig.invoke, f"new{k}", "/reminder") for k in range(4)]
        until(lambda: provider.posts == 8)
        older.send_signal(signal.SIGTERM)
        for k in range(4):
            for which in ("old", "new"):
                assert provider.tell(f"{which}{k}", "started") == 204
                assert provider.tell(f"{which}{k}", "done", result=f"{which}{k}") == 204
                assert provider.tell(f"{which}{k}", "done", result="again") == 204
        answers = [job.result()[:2] for job in jobs]
        assert answers == [(200, f"{w}{k}".encode()) for w in ("old", "new") for k in range(4)]
        assert older.wait(20) == 0 and provider.posts == 8
        assert rig.operate("GET", "/ops/readiness")[0] == 200 and rig.invoke("after", "/nothing")[0] == 404


def test_an_upgrade_under_load_costs_no_client_a_connection(tmp_path: Path) -> None:
    with running(tmp_path, done, done, console=True) as rig, ThreadPoolExecutor(16) as pool:
        over = threading.Event()
        address = rig.address

        def client(number: int) -> list[int]:
            """Keeps its connection for as long as the node lets it."""
            got: list[int] = []
            connection = HTTPConnection(address, timeout=20)
            while not over.is_set():
                connection.request("POST", "/lookup", b"b", {"X-Call-Id": f"{number}-{len(got)}"})
                answer = connection.getresponse()
                answer.read()
                got.append(answer.status)
            connection.close()
            return got

        clients = [pool.submit(client, number) for number in range(6)]
        for turn in range(3):
            before = sum(p.posts for p in rig.providers)
            until(lambda before=before: sum(p.posts for p in rig.providers) > before + 20)  # type: ignore[misc]
            older = rig.upgrade()
            older.send_signal(signal.SIGTERM)
            assert older.wait(20) == 0
            told(rig, "event=joined ", turn + 1)
        over.set()
        got = [status for job in clients for status in job.result()]
        assert set(got) == {200} and sum(p.posts for p in rig.providers) == len(got)


def test_a_newer_process_that_is_killed_leaves_the_older_one_serving(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        older = rig.upgrade()
        told(rig, "the newer process serves")
        rig.process.kill()
        told(rig, "the newer process is gone")
        for k in range(10):
            assert rig.invoke(f"a{k}")[0] == 200
        assert older.poll() is None
        rig.upgrade()
        told(rig, "the newer process serves", 2)
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0 and rig.invoke("b")[0] == 200


def test_an_older_process_that_is_killed_leaves_the_whole_to_the_newer_one(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        provider = rig.providers[0]
        lost = pool.submit(rig.invoke, "lost", "/reminder")
        until(lambda: provider.posts == 1)
        older = rig.upgrade()
        older.kill()
        older.wait(20)
        assert isinstance(lost.exception(), ConnectionError | OSError)
        assert provider.tell("lost", "done", result="r") == 204  # nobody waits for it
        provider.does = done
        assert rig.invoke("b")[0] == 200


def test_an_id_under_way_at_one_process_is_in_use_at_the_other(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        first = pool.submit(rig.invoke, "same", "/reminder")
        until(lambda: rig.providers[0].posts == 1)
        rig.upgrade()
        told(rig, "the newer process serves")
        assert rig.invoke("same", "/reminder")[0] == 409 and rig.providers[0].posts == 1
        rig.providers[0].tell("same", "done", result="r")
        assert first.result()[:2] == (200, b"r")


def test_rubbish_in_the_folder_is_replaced_and_a_node_without_a_folder_serves_alone(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        door = rig.tmp / "bitternpath-n0.sock"
        door.unlink()
        door.write_text("rubbish")
        older = rig.upgrade()  # finds nobody, and listens beside the older one
        assert rig.logged("no older process") and door.is_socket()
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0 and rig.invoke("a")[0] == 200
        rig.tmp.rename(tmp_path / "away")
        older = rig.upgrade()
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0 and rig.invoke("b")[0] == 200
